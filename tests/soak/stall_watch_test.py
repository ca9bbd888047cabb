"""The stall watch reports a span in which it did not run, and says whether it waited for a processor meanwhile."""
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest

SCRIPT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools", "soaklib", "stall_watch.py")
START_S = 1.0
COME_UP_S = 20.0
STOPPED_S = 0.6


def await_children(pid):
    """The processes of the watch, in the order of their processors; fails where they do not come up."""
    end = time.monotonic() + COME_UP_S
    while time.monotonic() < end:
        with open(f"/proc/{pid}/task/{pid}/children", encoding="ascii") as file:
            children = [int(child) for child in file.read().split()]
        if len(children) == len(os.sched_getaffinity(0)):
            return children
        time.sleep(0.05)
    raise AssertionError(f"only {len(children)} processes of the watch")


def is_running(pid):
    try:
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            return file.read().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


class StallWatch(unittest.TestCase):
    def test_a_processor_that_stands_still_is_reported_and_no_other_one(self):
        with tempfile.TemporaryDirectory() as folder:
            began = time.monotonic()
            watch = subprocess.Popen([sys.executable, SCRIPT, folder, str(began)], stdout=subprocess.PIPE, text=True)
            one = await_children(watch.pid)[0]
            time.sleep(START_S)
            os.kill(one, signal.SIGSTOP)
            time.sleep(STOPPED_S)
            os.kill(one, signal.SIGCONT)
            time.sleep(START_S)
            watch.kill()
            stalls = [json.loads(line) for line in watch.communicate()[0].splitlines()]
        without_waiting = [stall for stall in stalls if stall["kind"] == "timer" and
                           stall["until"] - stall["since"] - stall["waited_ms"] >= STOPPED_S * 1000 * 0.5]
        self.assertEqual([stall["processor"] for stall in without_waiting], [min(os.sched_getaffinity(0))], stalls)

    def test_it_ends_with_the_process_that_was_started(self):
        with tempfile.TemporaryDirectory() as folder:
            watch = subprocess.Popen([sys.executable, SCRIPT, folder, "0"], stdout=subprocess.DEVNULL)
            children = await_children(watch.pid)
            watch.kill()
            watch.wait()
            end = time.monotonic() + COME_UP_S
            while time.monotonic() < end and any(is_running(child) for child in children):
                time.sleep(0.05)
            self.assertEqual([child for child in children if is_running(child)], [])


if __name__ == "__main__":
    unittest.main()
