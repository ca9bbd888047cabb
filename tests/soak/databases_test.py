"""The soak's databases keep to the wire: what a paused replica receives, and what a closed connection ends."""
import asyncio
import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))

from soaklib.databases import Connection, Database, Service  # noqa: E402
from soaklib.history import History  # noqa: E402
from soaklib.listener import take_slot  # noqa: E402
from soaklib.wire import read_message  # noqa: E402

WORK_S = 0.01


class FleetOfNone:
    controllers = ()

    @staticmethod
    def database_host(_):
        return "127.0.0.1"


def service_of_two():
    loop = asyncio.get_running_loop()
    service = Service("service-0", History(), lambda: loop.time() * 1000, None, lambda _: WORK_S)
    for number in range(2):
        service.databases.append(Database(service, FleetOfNone(), number, f"i-{number}", number == 0))
        service.databases[-1].up = True
    return service


class Paused(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.service = service_of_two()
        self.primary, self.replica = self.service.databases

    async def ask(self, statement):
        rows, _ = await Connection(self.replica, asyncio.StreamReader(), None).statement("-", statement)
        return rows.split()

    async def test_a_paused_replica_receives_nothing(self):
        row = await self.ask("PAUSE 7")
        self.assertEqual(row[4], "7")
        self.assertFalse(self.replica.receives_from(self.primary))

    async def test_continue_lets_it_receive_from_the_term_it_followed(self):
        await self.ask("PAUSE 7")
        row = await self.ask("CONTINUE")
        self.assertEqual(row[4], "0")
        self.assertTrue(self.replica.receives_from(self.primary))

    async def test_a_pause_for_a_term_that_is_not_above_the_newest_holds_nothing(self):
        await self.ask("PAUSE 1")
        self.assertTrue(self.replica.receives_from(self.primary))

    async def test_a_promote_ends_the_pause(self):
        await self.ask("PAUSE 7")
        promote = asyncio.create_task(self.service.promote(self.replica, "core-0", 1, 0.0))
        await asyncio.sleep(WORK_S)
        self.assertTrue(self.replica.primary)
        self.assertEqual((self.replica.paused, self.replica.held), (False, 0))
        promote.cancel()


class Messages(unittest.IsolatedAsyncioTestCase):
    async def test_only_cr_lf_ends_a_message(self):
        reader = asyncio.StreamReader()
        reader.feed_data(b"QUERY a STORE 1 x\nQUERY b STORE 1 y\rz\r\nCLOSE\r\n")
        self.assertEqual(await read_message(reader), "QUERY a STORE 1 x\nQUERY b STORE 1 y\rz")
        self.assertEqual(await read_message(reader), "CLOSE")


class ClosedConnections(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.slots = asyncio.Semaphore(1)
        await self.slots.acquire()
        self.reader = asyncio.StreamReader()
        self.waiting = asyncio.create_task(take_slot(self.slots, self.reader))
        await asyncio.sleep(0)

    async def assert_gone(self):
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(self.waiting, 1)
        self.slots.release()
        await asyncio.wait_for(self.slots.acquire(), 1)  # nobody took it meanwhile

    async def test_a_statement_waits_for_a_slot(self):
        await asyncio.sleep(5 * WORK_S)
        self.assertFalse(self.waiting.done())
        self.slots.release()
        await asyncio.wait_for(self.waiting, 1)
        self.assertTrue(self.slots.locked())

    async def test_one_that_waits_leaves_the_queue_when_its_connection_closes(self):
        self.reader.feed_eof()
        await self.assert_gone()

    async def test_one_that_waits_leaves_the_queue_when_its_connection_breaks(self):
        self.reader.set_exception(ConnectionResetError())
        await self.assert_gone()


if __name__ == "__main__":
    unittest.main()
