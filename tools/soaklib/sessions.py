"""Clients of a pooler: sessions that keep their connection until it ends, then connect elsewhere."""
import asyncio

from soaklib.history import Request, SessionEnd
from soaklib.machines import FRONT_PORT
from soaklib.wire import Wire, data_of, row_of

GREETING_S = 2.0
ANSWER_S = 8.0
STATEMENTS = 12
PROMISES = {"THROTTLED", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
TIMEOUT_MS = {"primary": 1000, "bounded": 2000, "read_your_writes": 1000}


class SessionClient:
    """One client; its kind of work is drawn operation by operation."""

    def __init__(self, name, world):
        self.name, self.world, self.random = name, world, world.client_random(name)
        self.history, self.clock = world.history, world.clock
        self.wire = self.machine = None
        self.state, self.kind, self.began_at = "I", "bounded", None
        self.number, self.last_end_at = 0, None

    async def run(self):
        while not self.world.stopping:
            if self.wire is None and not await self.connect():
                await asyncio.sleep(0.1)
                continue
            await self.operation()
            if self.wire and self.wire.ended_at is not None:
                self.note_session_end()
            await asyncio.sleep(self.random.uniform(0.02, 0.3))

    async def connect(self):
        self.machine = self.world.platform.pick(self.random, but=self.machine)
        self.kind = self.random.choice(list(TIMEOUT_MS))
        host, port = self.machine.address(FRONT_PORT)
        try:
            self.wire = await Wire.connect(self.clock, host, port)
        except (OSError, asyncio.TimeoutError):
            return False
        self.state, self.began_at = "I", None
        service = self.random.choice(self.world.service_names)
        self.wire.send(f"CONNECT {self.kind}-{service} {self.name}\r\n")
        end = self.clock() + GREETING_S * 1000
        greeting = self.wire.take_line()
        while greeting is None and self.wire.ended_at is None and self.clock() < end:
            await self.wire.wait(0.5)
            greeting = self.wire.take_line()
        if greeting is None or not greeting.startswith("IDLE I"):
            self.drop()
            return False
        return True

    def drop(self):
        if self.wire:
            self.last_end_at = self.wire.ended_at or self.clock()
            self.wire.close()
        self.wire = None

    def note_session_end(self):
        if self.wire is None:
            return
        self.history.session_ends.append(
            SessionEnd(self.name, self.machine.name, self.wire.ended_at, self.state, self.began_at))
        self.drop()

    # --- operations

    async def operation(self):
        draw = self.random.random()
        if draw < 0.25:
            await self.one(self.read() if draw < 0.15 else self.write())
        elif draw < 0.75:
            await self.transaction()
        elif draw < 0.85:
            await self.pipeline()
        elif draw < 0.9:
            await self.prepared()
        elif draw < 0.93:
            await self.leave_partway()
        elif draw < 0.96:
            await self.close()
        else:
            await asyncio.sleep(self.random.uniform(0.5, 2))  # it rests

    async def close(self):
        """One operation, and CLOSE right behind it: the session ends from this side, mostly with its last answer."""
        request = self.ask(self.read())
        if self.wire:
            self.wire.send("CLOSE\r\n")
            if self.random.random() < 0.5 and await self.answer(request):
                await asyncio.sleep(self.random.uniform(0, 0.005))
            elif request.outcome == "open":
                request.outcome, request.ended_at = "left", self.clock()
        self.drop()

    def read(self):
        return f"FETCH {self.random.randrange(1000)}"

    def write(self):
        return f"STORE {self.random.randrange(1000)} {data_of(f'{self.name}.{self.number}')}"

    async def one(self, text):
        request = self.ask(text)
        await self.answer(request)

    async def transaction(self):
        reads_only = self.random.random() < 0.5
        if not await self.begin(reads_only):
            return
        writes = []
        for number in range(self.random.randint(1, STATEMENTS)):
            await asyncio.sleep(self.random.uniform(0.05, 0.45))
            if self.wire.ended_at is not None:
                return self.note_session_end()
            text = self.read() if reads_only or self.random.random() < 0.5 else self.write()
            request = self.ask(text, in_transaction=True)
            request.opens_transaction = number == 0
            if not await self.answer(request):
                return await self.roll_back()
            if text.startswith("STORE"):
                writes.append(request.id)
        if self.random.random() < 0.1:
            return await self.roll_back()
        await self.answer(self.ask("COMMIT", writes=writes, in_transaction=True))
        self.began_at = None

    async def begin(self, reads_only):
        request = self.ask("BEGIN FETCH" if reads_only else "BEGIN")
        if not await self.answer(request):
            return False
        self.began_at = self.clock()
        return True

    async def roll_back(self):
        if self.wire and self.wire.ended_at is None and self.state in "TE":
            await self.answer(self.ask("ROLLBACK", in_transaction=True))
        self.began_at = None

    async def pipeline(self):
        """Statements of a transaction that are sent without waiting."""
        requests = [self.ask("BEGIN")]
        for _ in range(self.random.randint(1, STATEMENTS - 2)):
            requests.append(self.ask(self.write(), in_transaction=True, behind=True))
        requests.append(self.ask("COMMIT", writes=[request.id for request in requests[1:]], in_transaction=True,
                                 behind=True))
        self.began_at = self.clock()
        for request in requests:
            await self.answer(request)
        self.began_at = None
        if self.wire and self.state != "I":
            self.drop()

    async def prepared(self):
        name = f"p{self.random.randrange(3)}"
        if await self.answer(self.ask(f"PREPARE {name} FETCH q{self.random.randrange(5)}")):
            await self.one(f"EXECUTE {name} {self.random.randrange(1000)}")
            await self.answer(self.ask(f"RELEASE {name}"))

    async def leave_partway(self):
        """Leaves in the middle of a transaction, or of a read that takes long."""
        if self.random.random() < 0.5:
            if await self.begin(True):
                await self.answer(self.ask(self.read(), in_transaction=True))
        else:
            request = self.ask("FETCH slow")
            await asyncio.sleep(0.1)
            request.outcome, request.ended_at = "left", self.clock()
        self.drop()

    # --- statements

    def ask(self, text, writes=(), in_transaction=False, behind=False):
        self.number += 1
        request = Request(f"{self.name}.{self.number}", self.name, self.machine.name, text, self.clock(),
                          TIMEOUT_MS[self.kind], text.startswith(("FETCH", "EXECUTE")),
                          opens_transaction=not in_transaction, behind_another=behind)
        request.writes = list(writes) if text == "COMMIT" else [request.id] if text.startswith("STORE") else []
        if text.startswith("STORE") and in_transaction:
            request.writes = []  # its COMMIT asks for it to be kept
        self.history.requests[request.id] = request
        if self.wire is None or self.wire.ended_at is not None:
            del self.history.requests[request.id]  # never sent
        else:
            self.wire.send(f"QUERY {request.id} {text}\r\n")
        return request

    async def answer(self, request):
        """True when it succeeded."""
        if self.wire is None and request.outcome == "open":
            request.outcome, request.ended_at = "cut", self.last_end_at  # sent behind one that was cut
        if request.id not in self.history.requests or self.wire is None:
            self.note_session_end()
            return False
        rows, code = [], None
        while True:
            line = await self.next_line(request)
            if line is None:
                return False
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word in ("COMPLETE", "STMTERR"):
                if code is not None:
                    request.wrong = f"answered twice: {line}"
                code = (word, rest)
            elif word == "IDLE":
                break
            else:
                request.wrong = f"not a line of an answer: {line}"
        request.ended_at, self.state = self.clock(), rest[:1]
        return self.judge(request, rows, code)

    async def next_line(self, request):
        end = request.sent_at + ANSWER_S * 1000
        line = self.wire.take_line()
        while line is None:
            if self.wire.ended_at is not None:
                request.outcome, request.ended_at = "cut", self.wire.ended_at
                self.drop()
                return None
            if self.clock() > end:
                request.outcome, request.ended_at = "silence", self.clock()
                self.drop()
                return None
            await self.wire.wait(0.5)
            line = self.wire.take_line()
        return line

    def judge(self, request, rows, code):
        word, rest = code or ("", "")
        if word == "COMPLETE":
            request.outcome = "success"
            self.check_content(request, rows, rest)
            return True
        request.answer = rest
        name = rest.split(" ")[0]
        request.outcome = "promise" if name in PROMISES else "unknown" if name == "UNKNOWN" else "error"
        if not word:
            request.wrong = "an end without an answer"
        if self.state == "E" and request.text.split(" ")[0] in ("CONFIGURE", "PREPARE", "RELEASE"):
            self.drop()
        return False

    def check_content(self, request, rows, stamp):
        verb = request.text.split(" ")[0]
        if verb in ("FETCH", "STORE", "COMMIT", "EXECUTE") and not stamp.endswith("." + request.id):
            request.wrong = f"the stamp of another request: {stamp}"
        if rows and rows != [row_of(request.id)]:
            request.wrong = f"the rows of another request: {rows}"
        if verb == "FETCH" and not rows:
            request.wrong = "its rows are missing"
