#!/usr/bin/env python3
"""No input ends a process: odd orders, heartbeats, statements, requests and link messages at the system's own processes.

    tests/soak/odd_input_test.py BINARY

Real processes over loopback. Guards against an order that ends each controller that processes it, and against an
order that no controller answers with a 4xx.
"""
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))

from soaklib.history import History  # noqa: E402
from soaklib.http_calls import call_within  # noqa: E402
from soaklib.machines import APP_PORT, CONTROL_PORT, FIRST_PORT, FRONT_PORT, READY_PORT, Fleet  # noqa: E402
from soaklib.odd_input import DEEP_LIST, DEEP_OBJECT, NESTING, ODD_ORDERS  # noqa: E402
from soaklib.plan import Sizes  # noqa: E402

BINARY = os.path.abspath(sys.argv.pop(1)) if len(sys.argv) > 1 else ""
ANSWER_S = 3.0
START_S = 20.0
SETTLE_S = 0.5
LEASE_END_S = 3.0
REPLY_S = 0.02
SEED = 1
POOLERS = Sizes("pooler", False, 3, 1, 1, 0)
SIDECARS = Sizes("sidecar", True, 3, 1, 1, 0)

ODD_HEARTBEATS = [
    DEEP_LIST, DEEP_OBJECT, "", "null", "{}", "[]",
    '{"TargetService":7,"Address":"127.0.0.1:1","Zone":"z","State":"available","CallCount":1}',
    '{"TargetService":"s","Address":"127.0.0.1","Zone":"z","State":"available","CallCount":1}',
    '{"TargetService":"s","Address":"127.0.0.1:99999999999999999999","Zone":"z","State":"available","CallCount":1}',
    '{"TargetService":"s","Address":"127.0.0.1:1","Zone":"z","State":"gone","CallCount":1}',
    '{"TargetService":"s","Address":"127.0.0.1:1","Zone":"z","State":"available","CallCount":-1}',
    '{"TargetService":"s","Address":"127.0.0.1:1","Zone":"z","State":"available","CallCount":1,"Capacity":-1}',
]

WRONG_VALUES = ["7", "-1", "1e400", '"x"', "null", "true", "[]", "{}", "[[]]", '[{"a":[]}]', "18446744073709551615"]
FIELDS_OF_LINKS = ["name", "zone", "node", "have", "s", "at", "id", "met", "ack", "v", "n", "k", "l", "me", "known",
                   "want", "from", "sum", "r", "ok", "slow", "once", "d", "calls", "left", "whole", "q", "u", "m",
                   "life", "p", "c", "ms"]
TYPES_OF_LINKS = ["core", "who", "hi", "got", "sound", "full", "renew", "sus", "sight", "pay", "beat", "leave", "bye",
                  "status", "hm", "sums", "paid", "tight", "told", "up", "grant", "depth", "avoid", "beaten", "away",
                  "cores"]


def odd_link_lines():
    """Lines of the links between own processes: each type with each field of a wrong type, and no message at all."""
    lines = [b"", b"x", b"\xff\xfe", b"null", b"[]", b"7", b'{"t":7}', b'{"t":{}}', b'{"t":"nothing"}',
             ('{"t":' + DEEP_LIST + "}").encode(), DEEP_OBJECT.encode()]
    for kind in TYPES_OF_LINKS:
        lines.append(json.dumps({"t": kind}).encode())
        lines.append(f'{{"t":"{kind}","deep":{DEEP_LIST}}}'.encode())
        for value in WRONG_VALUES:
            fields = ",".join(f'"{name}":{value}' for name in FIELDS_OF_LINKS)
            lines.append(f'{{"t":"{kind}",{fields}}}'.encode())
    return lines


async def say(address, data, end=b"\n"):
    """Sends bytes over a connection of their own and waits for what comes back, for a short while."""
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data + end)
        await writer.drain()
        try:
            await asyncio.wait_for(reader.read(1), REPLY_S)
        except asyncio.TimeoutError:
            pass
        writer.close()
    except OSError:
        pass  # the connection was ended, as it may be


class OddInput(unittest.IsolatedAsyncioTestCase):
    sizes = POOLERS

    async def asyncSetUp(self):
        self.history = History()
        began = time.monotonic()
        self.fleet = Fleet(BINARY, self.history, lambda: (time.monotonic() - began) * 1000, self.sizes, SEED)
        self.addCleanup(self.fleet.end)
        await self.fleet.start_all()
        await asyncio.sleep(1)
        self.fleet.end_bootstrap()
        await self.acknowledged(0, 1)

    def configuration(self, revision):
        return json.dumps({"Revision": revision, "Services": [{"Name": "s", "SyncReplicas": 0}],
                           "Routes": [{"Name": "r", "Hostname": "h", "PathPrefix": "/", "RouteType": "idempotent",
                                       "TimeoutMs": 1000, "TargetService": "s"}],
                           "Limits": {"IdleTimeoutMs": 15000}})

    async def order(self, controller, method, base, body):
        status, _ = await call_within(ANSWER_S, controller.address(CONTROL_PORT), method, "/configuration", body,
                                      [f"If-Match: {base}", "Content-Type: application/json"])
        return status

    async def acknowledged(self, base, revision):
        """A valid configuration is acknowledged, so the controllers still work."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            for controller in self.fleet.controllers:
                if await self.order(controller, "PUT", base, self.configuration(revision)) == 200:
                    return
            await asyncio.sleep(0.1)
        self.fail(f"no controller acknowledged revision {revision}")

    def assert_no_process_ended(self):
        self.assertEqual([], [(end.process, end.code) for end in self.history.process_ends])

    async def still_works(self, base, revision):
        await asyncio.sleep(SETTLE_S)
        self.assert_no_process_ended()
        await self.acknowledged(base, revision)


class EarlySignal(unittest.TestCase):
    """A SIGHUP that comes while a process is starting is kept until the process can handle it."""

    def test_a_hang_up_while_the_disk_cannot_be_opened_does_not_end_a_controller(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = {"NodeName": "n", "IpAddress": "127.0.0.1", "Zone": "z", "SeedNodes": ["127.0.0.1:1"], "Bootstrap": False,
                        "Listeners": {"ControlPlane": "127.0.0.1:1"}, "InternalPortRange": [FIRST_PORT, FIRST_PORT + 15],
                        "DataDirectory": os.path.join(folder, "settings.json", "no-folder")}
            path = os.path.join(folder, "settings.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            process = subprocess.Popen([BINARY, "controller"], stderr=subprocess.PIPE, text=True,
                                       env=dict(os.environ, PEBBLESPINDLE_SETTINGS=path))
            try:
                self.assertIn("disk cannot be used", process.stderr.readline())
                process.send_signal(signal.SIGHUP)
                time.sleep(SETTLE_S)
                self.assertIsNone(process.poll())
            finally:
                process.kill()
                process.communicate()


class OddInputAtControllers(OddInput):
    async def test_odd_orders_are_refused_by_each_controller_and_end_none(self):
        for controller in self.fleet.controllers:
            for method, body in ODD_ORDERS:
                with self.subTest(controller=controller.name, method=method, body=body[:80]):
                    status = await self.order(controller, method, 1, body)
                    self.assertTrue(400 <= status < 500, f"answered {status}")
        await self.still_works(1, 2)

    async def test_an_odd_order_is_refused_by_a_controller_that_is_alone(self):
        lone, *others = self.fleet.controllers
        for other in others:
            self.fleet.signal(other, signal.SIGSTOP)  # its links stay open
        await asyncio.sleep(LEASE_END_S)
        for method, body in ODD_ORDERS:
            with self.subTest(method=method, body=body[:80]):
                status = await self.order(lone, method, 1, body)
                self.assertTrue(400 <= status < 500, f"answered {status}")
        for body in ODD_HEARTBEATS:
            with self.subTest(heartbeat=body[:80]):
                status, _ = await call_within(ANSWER_S, lone.address(CONTROL_PORT), "PUT", "/instances/i-1", body)
                self.assertTrue(400 <= status < 500, f"answered {status}")
        for other in others:
            self.fleet.signal(other, signal.SIGCONT)
        await self.still_works(1, 2)

    async def test_odd_heartbeats_are_refused_and_end_none(self):
        for controller in self.fleet.controllers:
            for body in ODD_HEARTBEATS:
                with self.subTest(controller=controller.name, body=body[:80]):
                    status, _ = await call_within(ANSWER_S, controller.address(CONTROL_PORT), "PUT",
                                                  "/instances/i-1", body)
                    self.assertTrue(400 <= status < 500, f"answered {status}")
        await self.still_works(1, 2)

    async def test_odd_lines_of_links_end_none(self):
        hello_of_agent = b'{"t":"hi","node":"n","zone":"z","have":0}\n'
        hello_of_controller = b'{"t":"core","name":"127.0.0.9#1","zone":"z"}\n'
        for controller in self.fleet.controllers:
            address = self.fleet.links[controller.name].inner
            for line in odd_link_lines():
                for hello in (b"", hello_of_agent, hello_of_controller):
                    await say(address, hello + line)
            status, _ = await call_within(ANSWER_S, controller.address(CONTROL_PORT), "GET", "/status/whole")
            self.assertEqual(status, 200)
        await self.still_works(1, 2)


class OddInputAtPoolers(OddInput):
    async def test_odd_lines_end_no_agent_and_no_pooler(self):
        edge = self.fleet.edges[0]
        for line in odd_link_lines():
            await say(edge.address(FIRST_PORT + 1), line)
        for line in odd_link_lines() + [b"CONNECT", b"CONNECT s", b"QUERY", b"QUERY 1 EXECUTE", b"CLOSE"]:
            await say(edge.address(FRONT_PORT), line, b"\r\n")
            await say(edge.address(FRONT_PORT), b"CONNECT h u\r\n" + line, b"\r\n")
            await say(edge.address(READY_PORT), line, b"\r\n\r\n")
        await self.still_works(1, 2)


class OddInputAtSidecars(OddInput):
    sizes = SIDECARS

    async def test_odd_requests_and_frames_end_no_sidecar(self):
        edge = self.fleet.edges[0]
        frames = [b"\xdf\xff\xff\xff\xff", b"\xdd\xff\xff\xff\xff", b"\x81\xa1t\xa1q", b"\x82\xa1t\xa1q\xa1h\x07",
                  b"\x91" * NESTING, b"\x81\xa1t\x07", b"\xc1", b"", b"\x81\xa1t\xa1x"]
        for frame in frames:
            await say(edge.address(FIRST_PORT + 2), len(frame).to_bytes(4, "big") + frame, b"")
        for line in odd_link_lines():
            await say(edge.address(FIRST_PORT + 1), line)
            await say(edge.address(FRONT_PORT), line, b"\r\n\r\n")
            await say(edge.address(APP_PORT + 10), line, b"\r\n\r\n")
            await say(edge.address(READY_PORT), line, b"\r\n\r\n")
        for body in ODD_HEARTBEATS:
            await say(edge.address(CONTROL_PORT), f"PUT /instances/i-1 HTTP/1.1\r\nHost: h\r\nContent-Length: "
                      f"{len(body)}\r\n\r\n{body}".encode(), b"")
        await self.still_works(1, 2)


if __name__ == "__main__":
    unittest.main()
