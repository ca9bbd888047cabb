"""Application databases beside sidecars: HTTP with slots, seals and ids, and heartbeats to their own sidecar."""
import asyncio
import json

from soaklib.history import Run
from soaklib.http_calls import answer_bytes, call_within, read_request
from soaklib.machines import APP_PORT, CONTROL_PORT, service_of

HEARTBEAT_S = 1.0
SLOTS = 8


class Application:
    def __init__(self, fleet, machine, history, clock, work_s, sizes):
        self.fleet, self.machine, self.history, self.clock, self.work_s = fleet, machine, history, clock, work_s
        self.service = service_of(fleet.edges.index(machine), sizes)
        self.life, self.call_count, self.slots = 0, 0, asyncio.Semaphore(SLOTS)
        self.up = False
        self.server = self.beating = None
        self.connections = set()
        self.delay_s, self.resets = 0.0, 0  # of its links

    @property
    def id(self):
        return f"a-{self.machine.name}-{self.life}"

    async def start(self):
        self.life, self.up = self.life + 1, True
        self.server = await asyncio.start_server(self.serve, self.machine.host, APP_PORT, limit=1 << 20)
        self.beating = asyncio.get_running_loop().create_task(self.beat())

    async def stop(self):
        self.up = False
        self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def reset_links(self):
        """All its connections break; the application itself runs on."""
        self.resets += 1
        for writer in list(self.connections):
            writer.transport.abort()

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
            await self.work(reader, known)
        finally:
            run.ended_at = self.clock()
            run.broken_off_by_database = not self.up or self.resets != resets
        return answer_bytes(200, f"for {name}", [f"X-Pebblespindle-Request-Id: {name}",
                                                 f"X-Pebblespindle-Response-Seal: seal.{name}"])

    async def work(self, reader, known):
        """Takes a slot for a while; a connection that closes ends the work."""
        async with self.slots:
            end = self.clock() + self.work_s(known) * 1000
            while self.clock() < end and not reader.at_eof():
                await asyncio.sleep(min(0.02, max(0.001, (end - self.clock()) / 1000)))
        if reader.at_eof():
            raise ConnectionResetError
