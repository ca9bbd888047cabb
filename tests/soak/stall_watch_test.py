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
STOPPED_S = 0.6


class StallWatch(unittest.TestCase):
    def test_a_span_in_which_it_was_stopped_is_reported_as_a_stall_without_waiting(self):
        with tempfile.TemporaryDirectory() as folder:
            began = time.monotonic()
            watch = subprocess.Popen([sys.executable, SCRIPT, folder, str(began)], stdout=subprocess.PIPE, text=True)
            time.sleep(START_S)
            watch.send_signal(signal.SIGSTOP)
            time.sleep(STOPPED_S)
            watch.send_signal(signal.SIGCONT)
            time.sleep(START_S)
            watch.kill()
            stalls = [json.loads(line) for line in watch.communicate()[0].splitlines()]
        longest = max((stall for stall in stalls if stall["kind"] == "timer"), key=lambda each: each["until"] - each["since"])
        length_ms = longest["until"] - longest["since"]
        self.assertGreaterEqual(length_ms, STOPPED_S * 1000 * 0.9)
        self.assertLess(longest["waited_ms"], length_ms / 2)


if __name__ == "__main__":
    unittest.main()
