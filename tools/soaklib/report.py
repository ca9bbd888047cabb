"""What one run came to, as text and for a script."""
from dataclasses import asdict

import numpy

PERCENTILES = [50, 90, 99, 99.9]
MOST_BUSY_SHARE = 0.25  # of a run: with more, it says nothing
HELD, BROKEN, TOO_BUSY = "held", "broken", "too busy to tell"


def latencies(history):
    """Milliseconds to success at these percentiles: in calm, and while trouble lasted or had just ended."""
    spans = [(trouble.at, trouble.until + history.bounds.contact_ms) for trouble in history.troubles]
    calm, troubled = [], []
    for request in history.requests.values():
        if request.outcome == "success":
            in_trouble = any(since <= request.sent_at <= until for since, until in spans)
            (troubled if in_trouble else calm).append(request.ended_at - request.sent_at)
    return {name: percentiles_of(values) for name, values in (("calm", calm), ("trouble", troubled))}


def percentiles_of(values):
    if not values:
        return {"requests": 0}
    figures = numpy.percentile(numpy.array(values), PERCENTILES)
    return {"requests": len(values)} | {f"p{name}": round(float(figure), 1) for name, figure in zip(PERCENTILES, figures)}


def document(seed, sizes, steps, history, results):
    outcomes = {}
    for request in history.requests.values():
        outcomes[request.outcome] = outcomes.get(request.outcome, 0) + 1
    return {"seed": seed, "size": sizes.name, "plan": [step.text() for step in steps], "outcomes": outcomes,
            "latency_ms": latencies(history), "busy_spans": len(history.busy_spans),
            "stalls": describe_stalls(history.stalls), "each_stall": [asdict(stall) for stall in history.stalls],
            "verdict": verdict_of(history, results),
            "rules": [{"rule": result.rule, "looked_at": result.looked_at, "excused": dict(result.excused),
                       "broken": result.broken} for result in results]}


def verdict_of(history, results):
    if any(result.broken for result in results):
        return BROKEN
    busy_ms = sum(until - since for since, until in history.busy_spans)
    return TOO_BUSY if busy_ms > MOST_BUSY_SHARE * history.ended_at else HELD


def print_document(report, most_traces=3):
    print(f"seed {report['seed']}, {report['size']}: {report['verdict']}; "
          f"requests {report['outcomes']}; latency ms {report['latency_ms']}; "
          f"spans in which this machine was late: {report['busy_spans']}; stalls measured: {report['stalls']}")
    for rule in report["rules"]:
        if not rule["broken"] and not rule["excused"]:
            continue
        print(f"  {rule['rule']}: looked at {rule['looked_at']}, excused {rule['excused']}, "
              f"broken {len(rule['broken'])}")
        for trace in rule["broken"][:most_traces]:
            print(f"    {trace}")
    if report["verdict"] != HELD:
        print(f"  stalls: {report['each_stall']}")
        print("  plan:")
        for step in report["plan"]:
            print(f"    {step}")


def describe_stalls(stalls):
    """Number and longest of each kind, in ms."""
    lengths = {}
    for stall in stalls:
        lengths.setdefault(stall.kind, []).append(round(stall.until - stall.since))
    return ", ".join(f"{kind} {len(of_kind)} (longest {max(of_kind)} ms)" for kind, of_kind in lengths.items()) or "none"


def print_table(reports):
    for size in sorted({report["size"] for report in reports}):
        of_size = [report for report in reports if report["size"] == size]
        held = sum(report["verdict"] == HELD for report in of_size)
        others = [f"{report['seed']} ({report['verdict']})" for report in of_size if report["verdict"] != HELD]
        print(f"{size}: {held} of {len(of_size)} seeds held; others: {', '.join(others) or 'none'}")
