"""Clients of a mesh: kept connections to a machine, with requests one by one or sent ahead, until they end."""
import asyncio

from soaklib.history import Request
from soaklib.machines import FRONT_PORT
from soaklib.wire import Wire

ANSWER_S = 6.0
TIMEOUT_MS = {"idempotent": 2000, "non_idempotent": 2500}
PROMISES = (408, 421, 429, 503)


class MeshClient:
    def __init__(self, name, world):
        self.name, self.world, self.random = name, world, world.client_random(name)
        self.history, self.clock = world.history, world.clock
        self.wire = self.machine = None
        self.number = 0

    async def run(self):
        while not self.world.stopping:
            if self.wire is None and not await self.connect():
                await asyncio.sleep(0.1)
                continue
            ahead = self.random.choice([1, 1, 1, 2, 3])
            requests = [self.ask("idempotent" if ahead > 1 else self.random.choice(list(TIMEOUT_MS)), step > 0)
                        for step in range(ahead)]
            if self.random.random() < 0.03:
                await self.leave([*requests, self.ask("idempotent", True, "slow")])
                continue
            for request in requests:
                await self.answer(request)
            await asyncio.sleep(self.random.uniform(0.01, 0.3))
            if self.wire and self.wire.ended_at is not None:
                self.drop()

    async def connect(self):
        self.machine = self.world.platform.pick(self.random, but=self.machine)
        try:
            self.wire = await Wire.connect(self.clock, *self.machine.address(FRONT_PORT))
        except (OSError, asyncio.TimeoutError):
            return False
        return True

    def drop(self):
        if self.wire:
            self.wire.close()
        self.wire = None

    async def leave(self, requests):
        await asyncio.sleep(0.05)
        for request in requests:
            request.outcome, request.ended_at = "left", self.clock()
        self.drop()

    def ask(self, kind, behind, what="x"):
        self.number += 1
        service = self.random.choice(self.world.service_names)
        name = f"{self.name}.{self.number}"
        text = f"/{service}/{kind}/{what}"
        request = Request(name, self.name, self.machine.name, text, self.clock(), TIMEOUT_MS[kind],
                          kind == "idempotent", opens_transaction=True, behind_another=behind)
        if self.wire and self.wire.ended_at is None:
            self.history.requests[name] = request
            self.wire.send(f"GET {text} HTTP/1.1\r\nHost: soak.example\r\nX-Pebblespindle-Request-Id: {name}\r\n"
                           f"X-Pebblespindle-Deadline-Ms: {TIMEOUT_MS[kind]}\r\n\r\n")
        return request

    async def answer(self, request):
        if request.id not in self.history.requests or self.wire is None:
            if request.outcome == "open":
                request.outcome = "unread"  # behind an answer that closed the connection
                request.ended_at = self.clock()
            return
        head = await self.head(request)
        if head is None:
            return
        status = int(head[0].split(" ")[1])
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        body = await self.body(request, int(fields.get("content-length", 0)))
        if body is None:
            return
        request.ended_at, request.answer = self.clock(), str(status)
        request.outcome = "success" if status < 300 else "promise" if status in PROMISES else "unknown"
        if status < 300:
            self.check_content(request, fields, body)
        if fields.get("connection", "") == "close":
            self.drop()

    async def head(self, request):
        lines = []
        while True:
            line = await self.take(request, self.wire.take_line)
            if line is None:
                return None
            if not line:
                return lines
            lines.append(line)

    async def body(self, request, length):
        return await self.take(request, lambda: self.wire.take_bytes(length)) if length else ""

    async def take(self, request, attempt):
        end = request.sent_at + ANSWER_S * 1000
        while True:
            found = attempt()
            if found is not None:
                return found
            if self.wire.ended_at is not None or self.clock() > end:
                request.outcome = "cut" if self.wire.ended_at is not None else "silence"
                request.ended_at = self.wire.ended_at or self.clock()
                self.drop()
                return None
            await self.wire.wait(0.5)

    @staticmethod
    def check_content(request, fields, body):
        if fields.get("x-pebblespindle-response-seal") != f"seal.{request.id}":
            request.wrong = f"the seal of another request: {fields}"
        if body != f"for {request.id}":
            request.wrong = f"the body of another request: {body}"
