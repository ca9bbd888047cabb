"""The soak's checks: each finds the break in a recorded history that has one, and passes over what is excused."""
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))

from soaklib import checks  # noqa: E402
from soaklib.history import (Change, Commit, Draining, History, ProcessEnd, Promotion, Reading, Request,  # noqa: E402
                             ResourceSample, Run, SessionEnd, Trouble, UnknownStatement)
from soaklib.failover_plan import FailoverPlayer, draw_failover_plan  # noqa: E402
from soaklib.plan import SIZES, draw_plan  # noqa: E402

TERM_AT = 10000.0


def request_of(name="c1.1", **fields):
    values = {"id": name, "client": "c1", "machine": "pooler-0", "text": "FETCH 1", "sent_at": TERM_AT + 5700,
              "timeout_ms": 2000, "repeatable": True}
    return Request(**(values | fields))


def history_of(*requests, **fields):
    history = History(requests={request.id: request for request in requests}, ended_at=60000)
    for name, value in fields.items():
        setattr(history, name, value)
    return history


def ended_pooler(asked_at=TERM_AT, at=TERM_AT + 5800, **fields):
    return ProcessEnd("pooler-0/pooler", at, 0, True, asked_at, **fields)


class Broken(unittest.TestCase):
    def assert_broken(self, check, history, times=1):
        self.assertEqual(len(check(history).broken), times, check(history))

    def assert_held(self, check, history, excuse=None):
        result = check(history)
        self.assertEqual(result.broken, [])
        if excuse:
            self.assertEqual(list(result.excused), [excuse])


class CutRequests(Broken):
    def cut(self, **fields):
        values = {"outcome": "cut", "ended_at": TERM_AT + 5800, "runs": [Run("i-1", TERM_AT + 5701, TERM_AT + 5800)]}
        return request_of(**(values | fields))

    def test_a_statement_that_was_passed_on_and_cut_breaks_the_rule(self):
        self.assert_broken(checks.check_cut_requests, history_of(self.cut(), process_ends=[ended_pooler()]))

    def test_one_that_was_not_passed_on_and_cut_late_breaks_it(self):
        cut = self.cut(runs=[], sent_at=TERM_AT + 5500)
        self.assert_broken(checks.check_cut_requests, history_of(cut, process_ends=[ended_pooler()]))

    def test_a_cut_after_sighup_breaks_it(self):
        hung_up = Trouble("sighup", "pooler-0", TERM_AT + 5000, TERM_AT + 5000, True)
        self.assert_broken(checks.check_cut_requests, history_of(self.cut(), troubles=[hung_up]))

    def test_trouble_of_another_machine_is_no_excuse(self):
        other = Trouble("sigkill", "pooler-1", TERM_AT + 5000, TERM_AT + 5400, False)
        self.assert_broken(checks.check_cut_requests,
                           history_of(self.cut(), process_ends=[ended_pooler()], troubles=[other]))

    def test_excuses(self):
        ends = [ended_pooler()]
        crash = Trouble("crash", "service-0", TERM_AT, TERM_AT + 3000, False)
        excused = [
            (self.cut(runs=[], ended_at=TERM_AT + 5800, sent_at=TERM_AT + 5700), {},
             "not passed on, and the end came at once"),
            (self.cut(runs=[], sent_at=TERM_AT + 5000, behind_another=True), {}, "behind another one, and not passed on"),
            (self.cut(sent_at=TERM_AT + 3000, timeout_ms=8000), {},
             "its database was at work in the last sixth of the grace period"),
            (self.cut(sent_at=TERM_AT + 3700), {}, "the timeout was reached"),
            (self.cut(runs=[Run("i-1", TERM_AT, TERM_AT, True)]), {}, "the database broke off"),
            (self.cut(), {"troubles": [crash]}, "unplanned trouble"),
            (self.cut(), {"busy_spans": [(TERM_AT + 5600, TERM_AT + 5900)]}, "this machine was too busy to tell"),
            (self.cut(), {"process_ends": []}, "no planned work of its machine")]
        for request, fields, excuse in excused:
            with self.subTest(excuse):
                self.assert_held(checks.check_cut_requests, history_of(request, **({"process_ends": ends} | fields)),
                                 excuse)


class Leaving(Broken):
    def test_drain(self):
        left = [Draining("i-1", 10000)]
        late = request_of(runs=[Run("i-1", 13001)], sent_at=12990, opens_transaction=True)
        self.assert_broken(checks.check_drain, history_of(late, draining=left))
        inside = request_of(runs=[Run("i-1", 13001)], sent_at=12990)
        self.assert_held(checks.check_drain, history_of(inside, draining=left))
        early = request_of(runs=[Run("i-1", 12999)], sent_at=12990, opens_transaction=True)
        self.assert_held(checks.check_drain, history_of(early, draining=left))
        cut_off = [Trouble("sigkill", "pooler-0", 11000, 11400, False)]
        self.assert_held(checks.check_drain, history_of(late, draining=left, troubles=cut_off),
                         "its machine was not in touch")

    def test_open_transactions(self):
        def ended(after_ms):
            return [SessionEnd("c1", "pooler-0", TERM_AT + after_ms, "T", 9000)]
        ends = [ended_pooler()]
        self.assert_broken(checks.check_open_transactions, history_of(session_ends=ended(2999), process_ends=ends))
        self.assert_held(checks.check_open_transactions, history_of(session_ends=ended(3000), process_ends=ends))

    def test_gone(self):
        def left(number, until):
            return request_of(f"c1.{number}", text="FETCH slow", outcome="left", sent_at=20000, ended_at=20100,
                              runs=[Run("i-1", 20001, until)])
        self.assert_broken(checks.check_gone, history_of(*(left(number, 21200) for number in range(10))))
        self.assert_held(checks.check_gone, history_of(*(left(number, 20500) for number in range(10))))
        late = [request_of(f"c1.{number}", outcome="left", ended_at=20100, runs=[Run("i-1", 20601, 20602)])
                for number in range(4)]
        self.assert_broken(checks.check_gone, history_of(*late))


class Configuration(Broken):
    def change(self, revision, base, status=200, valid=True):
        return Change(revision, base, valid, 0, status, 1, {"Revision": revision})

    def test_breaks(self):
        one, two = self.change(2, 1), self.change(3, 1)
        self.assert_broken(checks.check_configuration, history_of(changes=[one, two]))
        self.assert_broken(checks.check_configuration, history_of(changes=[self.change(2, 1, valid=False)]))
        self.assert_broken(checks.check_configuration, history_of(changes=[one], readings=[Reading(5, 1)]))
        self.assert_broken(checks.check_configuration, history_of(changes=[one], readings=[Reading(5, None)]))
        self.assert_broken(checks.check_configuration, history_of(changes=[self.change(2, 1, 0)]))
        self.assert_broken(checks.check_configuration, history_of(changes=[self.change(2, 1, 0, valid=False)]))
        self.assert_broken(checks.check_steps, history_of(unfinished_steps=["4.00 s  change"]))

    def test_held(self):
        changes = [self.change(2, 1), self.change(3, 1, 412), self.change(4, 2, 400, valid=False)]
        self.assert_held(checks.check_configuration, history_of(changes=changes, readings=[Reading(5, 2)]))


class Statements(Broken):
    def test_content(self):
        self.assert_broken(checks.check_content, history_of(request_of(wrong="the stamp of another request")))

    def test_unasked(self):
        unknown = UnknownStatement("i-1", 1, "c1.1.smuggled", "STORE 1 0")
        self.assert_broken(checks.check_unasked, history_of(unknown_statements=[unknown]))
        sent = "STORE 1 a\nb"
        for text in ("STORE 1 a", "STORE 1 a b", "FETCH 1", f"WAITFOR 1.2 {sent}"):
            changed = request_of(text=sent, runs=[Run("i-1", 1, text=text)])
            self.assert_broken(checks.check_unasked, history_of(changed))
        for wanted, text in ((sent, sent), ("FETCH 1", "WAITFOR 1.2 FETCH 1"), ("EXECUTE p a b", "EXECUTE p7 a b"),
                             ("EXECUTE p a b", "WAITFOR 1.2 EXECUTE p7 a b")):
            same = request_of(text=wanted, runs=[Run("i-1", 1, text=text)])
            self.assert_held(checks.check_unasked, history_of(same))

    def test_run_twice(self):
        twice = [Commit("s", "c1.1", ["c1.1"], 1), Commit("s", "c1.1", ["c1.1"], 2)]
        self.assert_broken(checks.check_run_twice, history_of(commits=twice))
        unsafe = request_of(text="/s/non_idempotent/x", repeatable=False, runs=[Run("a", 1), Run("b", 2)])
        self.assert_broken(checks.check_run_twice, history_of(unsafe))

    def test_promises(self):
        promised = request_of(text="STORE 1 x", outcome="promise", writes=["c1.1"])
        self.assert_broken(checks.check_promises, history_of(promised, commits=[Commit("s", "c1.1", ["c1.1"], 1)]))
        self.assert_held(checks.check_promises, history_of(promised))
        run = request_of(text="/s/idempotent/x", outcome="promise", runs=[Run("a", 1)])
        self.assert_broken(checks.check_promises, history_of(run))

    def test_acknowledged_commits(self):
        stored = request_of(text="STORE 1 x", outcome="success", ended_at=20000, writes=["c1.1"])
        commits = [Commit("s", "c1.1", ["c1.1"], 19000)]
        lacks = Promotion("s", "i-2", "core-0", 5, 21000, [])
        self.assert_broken(checks.check_acknowledged_commits, history_of(stored, commits=commits, promotions=[lacks]))
        before = Promotion("s", "i-2", "core-0", 5, 19500, [])
        self.assert_held(checks.check_acknowledged_commits, history_of(stored, commits=commits, promotions=[before]))
        self.assert_broken(checks.check_acknowledged_commits,
                           history_of(stored, commits=commits, final_logs={"s": []}))
        self.assert_held(checks.check_acknowledged_commits,
                         history_of(stored, commits=commits, final_logs={"s": ["c1.1"]}))

    def test_fencing(self):
        def promote(holder, token, at):
            return Promotion("s", "i-1", holder, token, at, [])
        self.assert_broken(checks.check_fencing, history_of(promotions=[promote("a", 3, 1), promote("b", 3, 2)]))
        self.assert_broken(checks.check_fencing, history_of(promotions=[promote("a", 4, 1), promote("b", 3, 2)]))
        self.assert_held(checks.check_fencing, history_of(promotions=[promote("a", 3, 1), promote("b", 4, 2)]))

    def test_tokens_are_compared_in_the_order_of_calls(self):
        late = Promotion("s", "i-1", "a", 3, 9, [], called_at=1)
        self.assert_held(checks.check_fencing, history_of(promotions=[Promotion("s", "i-2", "b", 4, 5, [], 4), late]))
        low = Promotion("s", "i-1", "a", 3, 9, [], called_at=6)
        self.assert_broken(checks.check_fencing, history_of(promotions=[Promotion("s", "i-2", "b", 4, 5, [], 4), low]))

    def test_silence(self):
        self.assert_broken(checks.check_silence, history_of(request_of(outcome="silence", ended_at=TERM_AT + 13700)))


class Processes(Broken):
    def test_ends(self):
        crash = ProcessEnd("core-0/controller", 5000, -6, False)
        self.assert_broken(checks.check_processes, history_of(process_ends=[crash]))
        self.assert_broken(checks.check_processes,
                           history_of(process_ends=[ended_pooler(at=TERM_AT + 6000, outlived=True)]))
        self.assert_held(checks.check_processes, history_of(process_ends=[ended_pooler()]))

    def test_resources(self):
        def samples(step):
            return [ResourceSample("core-0/controller/1", at, 50 + step * at, 9000, at) for at in range(30)]
        self.assert_broken(checks.check_resources, history_of(resources=samples(30)))
        self.assert_held(checks.check_resources, history_of(resources=samples(0)))


class Plans(unittest.TestCase):
    def test_a_seed_gives_the_same_plan_each_time(self):
        for sizes in SIZES.values():
            first, again = draw_plan(7, sizes, 24), draw_plan(7, sizes, 24)
            self.assertEqual([step.text() for step in first], [step.text() for step in again])
            self.assertNotEqual([step.text() for step in first], [step.text() for step in draw_plan(8, sizes, 24)])

    def test_a_failover_plan_repeats_and_names_only_steps_that_can_be_played(self):
        for seed in range(30):
            steps = draw_failover_plan(seed, SIZES["small"], 24)
            again = draw_failover_plan(seed, SIZES["small"], 24)
            self.assertEqual([step.text() for step in steps], [step.text() for step in again])
            for step in steps:
                self.assertTrue(hasattr(FailoverPlayer, step.kind), step.kind)


if __name__ == "__main__":
    unittest.main()
