"""Guards against a soak that never ends: a task whose cancellation comes together with what it waits for is cancelled."""
import asyncio
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))

from soaklib import http_calls  # noqa: E402
from soaklib.wire import Wire  # noqa: E402

WAIT_S = 5.0


class Cancellation(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_that_waits_for_its_answer(self):
        wire = Wire(lambda: 0)
        task = asyncio.create_task(wire.wait(WAIT_S))
        await asyncio.sleep(0)
        wire.wake()
        task.cancel()
        await asyncio.wait({task})
        self.assertTrue(task.cancelled())

    async def test_a_call(self):
        answered = asyncio.get_running_loop().create_future()

        async def answer(*_):
            return await answered
        whole_call, http_calls.call = http_calls.call, answer
        self.addCleanup(setattr, http_calls, "call", whole_call)
        task = asyncio.create_task(http_calls.call_within(WAIT_S, ("127.0.0.1", 1), "GET", "/"))
        await asyncio.sleep(0.01)
        answered.set_result((200, ""))
        task.cancel()
        await asyncio.wait({task})
        self.assertTrue(task.cancelled())


if __name__ == "__main__":
    unittest.main()
