"""The rules, each checked against the history of a run. Bounds and excuses are those of the rules themselves."""
from collections import Counter
from dataclasses import asdict, dataclass, field
from statistics import median

TIMEOUT_MARGIN_MS = 50
LATE_AFTER_TERM_MS = 3000  # a request sent later than this after SIGTERM has to be answered
MOST_GONE_ARRIVALS = 3
GONE_MS = 500
GONE_SHARE = 0.25
FEWEST_GONE = 8
DESCRIPTOR_GROWTH = 200
MEMORY_GROWTH_KB = 60000
FEWEST_SAMPLES = 8


@dataclass
class Result:
    """What one rule came to: cases looked at, excused by which excuse, and the trace of each break."""
    rule: str
    looked_at: int = 0
    excused: Counter = field(default_factory=Counter)
    broken: list = field(default_factory=list)

    def excuse(self, why):
        self.excused[why] += 1

    def break_with(self, why, **trace):
        self.broken.append({"why": why, **trace})


def check_all(history):
    checks = [check_cut_requests, check_drain, check_open_transactions, check_configuration, check_content,
              check_unasked, check_run_twice, check_promises, check_acknowledged_commits, check_fencing, check_gone, check_processes,
              check_resources, check_silence, check_steps]
    return [check(history) for check in checks]


# --- what several rules ask


def is_busy(history, begin, end):
    """Whether the stand-ins themselves were late in that span, so that its times say nothing."""
    return any(begin <= until and end >= since for since, until in history.busy_spans)


def unplanned_trouble(history, begin, end, machine=None):
    """The first unplanned trouble in that span that may concern the machine; troubles of others' processes do not."""
    for trouble in history.troubles:
        if trouble.planned or trouble.at > end or trouble.until < begin:
            continue
        of_other_machine = not trouble.core and trouble.kind in ("sigkill", "freeze") and trouble.target != machine
        if not of_other_machine or machine is None:
            return trouble
    return None


def term_of(history, machine, at):
    """When the process that served clients on this machine at that time had been sent SIGTERM; none if it had not."""
    for end in history.process_ends:
        name, _, command = end.process.partition("/")
        if name == machine and command != "agent" and end.asked_at is not None and end.asked_at <= at <= end.at + 50:
            return end.asked_at
    return None


def in_touch(history, machine, at):
    since = at - history.bounds.contact_ms
    touched = [trouble for trouble in history.troubles
               if (trouble.target == machine or trouble.core) and trouble.at <= at and trouble.until >= since]
    started = [end for end in history.process_ends if end.process.startswith(machine + "/") and since <= end.at <= at]
    return not touched and not started


# --- the rules


def check_cut_requests(history):
    """LOST around planned work: a whole request was read and the connection ended without a complete answer."""
    result = Result("LOST: requests cut around planned work")
    for request in history.requests.values():
        if request.outcome != "cut":
            continue
        result.looked_at += 1
        why = excuse_of_cut(history, request)
        if why:
            result.excuse(why)
        else:
            term = term_of(history, request.machine, request.ended_at)
            result.break_with("cut without an answer", request=asdict(request), sigterm_at=term)
    return result


def excuse_of_cut(history, request):
    bounds = history.bounds
    term = term_of(history, request.machine, request.ended_at)
    hung_up = any(trouble.kind == "sighup" and trouble.target == request.machine and
                  request.sent_at - trouble.at <= bounds.config_apply_ms and request.ended_at >= trouble.at
                  for trouble in history.troubles)
    if unplanned_trouble(history, request.sent_at - bounds.contact_ms, request.ended_at, request.machine):
        return "unplanned trouble"
    if term is None and not hung_up:
        return "no planned work of its machine"
    if not request.runs and request.ended_at <= request.sent_at + bounds.loss_slack_ms:
        return "not passed on, and the end came at once"
    if not request.runs and request.behind_another:
        return "behind another one, and not passed on"
    if any(run.broken_off_by_database for run in request.runs):
        return "the database broke off"
    if request.ended_at >= request.sent_at + request.timeout_ms - TIMEOUT_MARGIN_MS:
        return "the timeout was reached"
    if term is not None and request.sent_at <= term + LATE_AFTER_TERM_MS:
        last_sixth = term + bounds.grace_ms * 5 / 6
        if any(run.ended_at is None or run.ended_at >= last_sixth for run in request.runs):
            return "its database was at work in the last sixth of the grace period"
    if is_busy(history, request.sent_at, request.ended_at):
        return "this machine was too busy to tell"
    return None


def check_steps(history):
    """Every step of the plan comes to an end: an order that nobody answers, a process that cannot be stopped."""
    result = Result("Every step of the plan ends", looked_at=len(history.unfinished_steps))
    for step in history.unfinished_steps:
        result.break_with("did not end", step=step)
    return result


def check_drain(history):
    """DRAIN: a request reaches a database later than DrainMs after a machine acknowledged that it is draining."""
    result = Result("DRAIN: requests at databases that have left")
    acknowledged = {draining.database: draining.acknowledged_at for draining in history.draining}
    for request in history.requests.values():
        for run in request.runs:
            since = acknowledged.get(run.database)
            if since is None or not request.opens_transaction or run.reached_at <= since:
                continue
            result.looked_at += 1
            if run.reached_at <= since + history.bounds.drain_ms:
                continue
            if not in_touch(history, request.machine, run.reached_at):
                result.excuse("its machine was not in touch")
            elif is_busy(history, request.sent_at, run.reached_at):
                result.excuse("this machine was too busy to tell")
            else:
                result.break_with("reached a database after DrainMs", request=asdict(request), acknowledged_at=since)
    return result


def check_open_transactions(history):
    """DRAIN: an open transaction is given the first half of GracePeriodS."""
    result = Result("DRAIN: open transactions have half of the grace period")
    for end in history.session_ends:
        if end.state != "T":
            continue
        result.looked_at += 1
        term = term_of(history, end.machine, end.at)
        if term is None:
            result.excuse("no SIGTERM of its machine")
        elif end.at >= term + history.bounds.grace_ms / 2:
            continue
        elif unplanned_trouble(history, term - history.bounds.contact_ms, end.at, end.machine):
            result.excuse("unplanned trouble")
        else:
            result.break_with("ended too soon", session=asdict(end), sigterm_at=term)
    return result


def check_configuration(history):
    """CONFIG: nothing acknowledged comes back older, nothing invalid is taken, no base is taken twice."""
    result = Result("CONFIG: acknowledged changes")
    taken = {}
    for change in history.changes:
        result.looked_at += 1
        if change.status == 0:
            result.break_with("no controller answered" if change.valid else "no controller refused it",
                              change=summary_of(change))
        if change.status != 200:
            continue
        if not change.valid:
            result.break_with("an invalid change was acknowledged", change=summary_of(change))
        if change.base in taken and taken[change.base].body != change.body:
            result.break_with("two changes of one version", change=summary_of(change),
                              other=summary_of(taken[change.base]))
        taken[change.base] = change
    newest = max((change.revision for change in history.changes if change.status == 200), default=0)
    for reading in history.readings:
        result.looked_at += 1
        if reading.revision is None or reading.revision < newest:
            result.break_with("an older configuration came back", reading=asdict(reading), newest=newest)
    return result


def summary_of(change):
    return {name: value for name, value in asdict(change).items() if name != "body"}


def check_content(history):
    """MIXED: an answer that is foreign, doubled or mixed."""
    result = Result("MIXED: answers of their own requests")
    for request in history.requests.values():
        result.looked_at += 1
        if request.wrong:
            result.break_with(request.wrong, request=asdict(request))
    return result


def check_unasked(history):
    """UNASKED: a database runs a statement that no client sent, or one whose text was changed."""
    result = Result("UNASKED: statements as their clients sent them")
    for statement in history.unknown_statements:
        result.looked_at += 1
        result.break_with("no client sent it", statement=asdict(statement))
    for request in history.requests.values():
        for run in request.runs:
            if run.text is None:
                continue
            result.looked_at += 1
            if not is_same_statement(request.text, run.text):
                result.break_with("its text was changed", request=asdict(request))
    return result


def is_same_statement(sent, run):
    """Whether a database's text is the client's: WAITFOR may stand before a read, and a prepared name may be another."""
    if run.startswith("WAITFOR ") and sent.startswith(("FETCH ", "EXECUTE ")):
        run = run.split(" ", 2)[2]
    if sent.startswith("EXECUTE ") and run.startswith("EXECUTE "):
        return sent.split(" ", 2)[2] == run.split(" ", 2)[2]
    return sent == run


def check_run_twice(history):
    """TWICE: for one try a write takes effect twice; a request that may not be repeated runs twice."""
    result = Result("TWICE: writes and requests run once")
    kept = Counter(write for commit in history.commits for write in commit.writes)
    for write, times in kept.items():
        result.looked_at += 1
        if times > 1:
            result.break_with("a write was kept twice", write=write, times=times)
    for request in history.requests.values():
        if request.text.startswith("/") and not request.repeatable:
            result.looked_at += 1
            if len(request.runs) > 1:
                result.break_with("run twice", request=asdict(request))
    return result


def check_promises(history):
    """REFUSED: the client was promised that nothing is kept, yet it ran or was committed."""
    result = Result("REFUSED: promises are kept")
    kept = {write for commit in history.commits for write in commit.writes}
    for request in history.requests.values():
        if request.outcome != "promise":
            continue
        result.looked_at += 1
        if any(write in kept for write in request.writes):
            result.break_with("kept after a promise", request=asdict(request))
        if request.text.startswith("/") and request.runs:
            result.break_with("run although it was promised not to", request=asdict(request))
    return result


def check_acknowledged_commits(history):
    """LOST: the log of a promoted database, or the last one, lacks an acknowledged commit."""
    result = Result("LOST: acknowledged commits")
    service_of = {commit.request: commit.service for commit in history.commits}
    acknowledged = [request for request in history.requests.values()
                    if request.outcome == "success" and request.id in service_of]
    logs = [(promotion.service, promotion.at, set(promotion.kept), f"{promotion.database}, promoted")
            for promotion in history.promotions]
    logs += [(service, history.ended_at, set(log), "the last leader")
             for service, log in history.final_logs.items() if log is not None]
    for service, at, log, whose in logs:
        for request in acknowledged:
            if service_of[request.id] != service or request.ended_at >= at:
                continue
            result.looked_at += 1
            if request.id not in log:
                result.break_with(f"not in the log of {whose}", request=asdict(request), at=at)
    return result


def called_at(promotion):
    return promotion.at if promotion.called_at is None else promotion.called_at


def check_fencing(history):
    """ONE: two holders promote with the same token, or a token lower than one seen before is used."""
    result = Result("ONE: fencing tokens")
    holders, newest = {}, {}
    for promotion in sorted(history.promotions, key=called_at):
        result.looked_at += 1
        first = holders.setdefault((promotion.service, promotion.token), promotion)
        if first.holder != promotion.holder:
            result.break_with("two holders of one token", token=promotion.token,
                              holders=[first.holder, promotion.holder])
        if promotion.token < newest.get(promotion.service, 0):
            result.break_with("a lower token than one seen before", token=promotion.token)
        newest[promotion.service] = max(promotion.token, newest.get(promotion.service, 0))
    return result


def check_gone(history):
    """GONE: requests reach a database, or are at work there, after their client has left."""
    result = Result("GONE: requests of clients that have left")
    arrivals, lasting, at_work = [], 0, []
    for request in history.requests.values():
        if request.outcome != "left":
            continue
        result.looked_at += 1
        if not in_touch(history, request.machine, request.ended_at + GONE_MS):
            result.excuse("its machine was not in touch")
            continue
        for run in request.runs:
            if run.reached_at > request.ended_at + GONE_MS:
                arrivals.append(asdict(request))
            elif request.text.endswith("slow"):
                lasting += 1
                if run.ended_at is None or run.ended_at > request.ended_at + GONE_MS:
                    at_work.append(asdict(request))
    if len(arrivals) > MOST_GONE_ARRIVALS:
        result.break_with("they reach a database", requests=arrivals)
    if lasting >= FEWEST_GONE and len(at_work) > GONE_SHARE * lasting:
        result.break_with(f"at work half a second later: {len(at_work)} of {lasting}", requests=at_work[:3])
    return result


def check_processes(history):
    """Processes that end by themselves, or outlive their grace period."""
    result = Result("Processes end when asked, and only then")
    for end in history.process_ends:
        result.looked_at += 1
        if not end.expected:
            result.break_with("ended by itself", end=asdict(end))
        elif end.outlived:
            if is_busy(history, end.asked_at, end.at):
                result.excuse("this machine was too busy to tell")
            elif unplanned_trouble(history, end.asked_at, end.at, end.process.partition("/")[0]):
                result.excuse("unplanned trouble")
            else:
                result.break_with("outlived its grace period", end=asdict(end))
    return result


def check_resources(history):
    """Descriptors and memory of a process do not grow from restart to restart of the others."""
    result = Result("Descriptors and memory do not grow")
    samples = {}
    for sample in history.resources:
        samples.setdefault(sample.process, []).append(sample)
    for process, taken in samples.items():
        if len(taken) < FEWEST_SAMPLES or taken[-1].restarts_of_others == taken[0].restarts_of_others:
            continue
        result.looked_at += 1
        third = len(taken) // 3
        early, late = taken[third:2 * third], taken[-third:]
        descriptors = median(one.descriptors for one in late) - median(one.descriptors for one in early)
        memory = median(one.memory_kb for one in late) - median(one.memory_kb for one in early)
        if descriptors > DESCRIPTOR_GROWTH or memory > MEMORY_GROWTH_KB:
            result.break_with("grows", process=process, descriptors=descriptors, memory_kb=memory)
    return result


def check_silence(history):
    """A request without any answer, and without an end of its connection, for seconds after its timeout."""
    result = Result("No request hangs")
    for request in history.requests.values():
        result.looked_at += 1
        if request.outcome != "silence":
            continue
        if unplanned_trouble(history, request.sent_at - history.bounds.contact_ms, request.ended_at, request.machine):
            result.excuse("unplanned trouble")
        elif is_busy(history, request.sent_at, request.ended_at):
            result.excuse("this machine was too busy to tell")
        else:
            result.break_with("no answer and no end", request=asdict(request))
    return result
