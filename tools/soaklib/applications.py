"""Application databases beside sidecars: HTTP with slots, seals and ids, and heartbeats to their own sidecar."""
import asyncio
import json

from soaklib.history import Run
from soaklib.http_calls import answer_bytes, call_within, read_request
from soaklib.listener import Listener, be_busy
from soaklib.machines import APP_PORT, CONTROL_PORT, service_of

HEARTBEAT_S = 1.0
SLOTS = 8


class Application(Listener):
    def __init__(self, fleet, machine, history, clock, work_s, sizes):
        super().__init__()
        self.fleet, self.machine, self.history, self.clock, self.work_s = fleet, machine, history, clock, work_s
        self.service = service_of(fleet.edges.index(machine), sizes)
        self.life, self.call_count, self.slots = 0, 0, asyncio.Semaphore(SLOTS)
        self.beating = None

    @property
    def id(self):
        return f"a-{self.machine.name}-{self.life}"

    async def start(self):
        self.life += 1
        await self.listen(self.machine.host, APP_PORT)
        self.beating = asyncio.get_running_loop().create_task(self.beat())

    async def stop(self):
        self.beating.cancel()
        self.stop_listening()

    async def crash(self, seconds):
        await self.stop()
        await asyncio.sleep(seconds)
        await self.start()

    async def beat(self):
        while self.up:
            self.call_count += 1
            body = json.dumps({"TargetService": self.service, "Address": f"{self.machine.host}:{APP_PORT}",
                               "Zone": self.machine.zone, "Revision": "v1", "Capacity": SLOTS, "State": "available",
                               "WarmupRemainingMs": 0, "CallCount": self.call_count})
            status, _ = await call_within(1.0, self.machine.address(CONTROL_PORT), "PUT", f"/instances/{self.id}",
                                          body, ["Content-Type: application/json"])
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.up:
                request = await read_request(reader)
                if request is None or not self.up:
                    return
                answer = await self.run(reader, *request)
                await asyncio.sleep(self.delay_s)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, reader, _method, _path, headers, _body):
        name = headers.get("x-pebblespindle-request-id", "")
        if headers.get("x-pebblespindle-target-instance", self.id) != self.id:
            return answer_bytes(421, "", ["X-Pebblespindle-Not-Executed: 1", f"X-Pebblespindle-Request-Id: {name}"])
        run, resets = Run(self.id, self.clock()), self.resets
        known = self.history.requests.get(name)
        if known:
            known.runs.append(run)
        try:
            async with self.slots:
                await be_busy(reader, self.clock, self.work_s(known))
        finally:
            run.ended_at = self.clock()
            run.broken_off_by_database = self.has_broken_off_since(resets)
        return answer_bytes(200, f"for {name}", [f"X-Pebblespindle-Request-Id: {name}",
                                                 f"X-Pebblespindle-Response-Seal: seal.{name}"])
