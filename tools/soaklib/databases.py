"""Databases that replicate: a primary and replicas of each service, on the wire of the pooler, with heartbeats."""
import asyncio
import json

from soaklib.history import Commit, Draining, Promotion, Run, UnknownStatement
from soaklib.http_calls import call_within
from soaklib.listener import Listener, be_busy, take_slot
from soaklib.machines import CONTROL_PORT, DATABASE_PORT, ZONES
from soaklib.wire import read_message, row_of

HEARTBEAT_S = 1.0
HEARTBEAT_ANSWER_S = 1.0
NETWORK_S = 0.002
APPLY_S = 0.02
SLOTS = 10
MAX_CONNECTIONS = 200
STEP_DOWN_AFTER_S = 1.0  # an old primary that can reach the new one
WAIT_STEP_S = 0.002


class Entry:
    def __init__(self, term, number, request, writes):
        self.position, self.request, self.writes = (term, number), request, writes


class Service:
    """One primary, its replicas, and the log that goes from one to the others."""

    def __init__(self, name, history, clock, random, work_s):
        self.name, self.history, self.clock, self.random, self.work_s = name, history, clock, random, work_s
        self.databases = []
        self.term = 1

    def leader(self):
        leaders = [database for database in self.databases if database.primary]
        return max(leaders, key=lambda database: database.term, default=None)

    def running(self):
        return [database for database in self.databases if database.up]

    async def replicate(self, source, entry):
        """Hands a commit to the replicas that receive; returns once one of them has it."""
        while source.up and source.primary:
            await asyncio.sleep(NETWORK_S)
            received = False
            for replica in self.running():
                if replica is not source and replica.receives_from(source):
                    replica.catch_up(source)
                    received = received or entry in replica.log
            if received:
                return True
        return False

    async def promote(self, database, holder, token, called_at):
        """The platform's call: this database leads the next term with what it has received."""
        self.term += 1
        old = [other for other in self.databases if other.primary and other is not database]
        database.primary, database.term = True, self.term
        database.resume()
        kept = [entry.request for entry in database.log]
        self.history.promotions.append(Promotion(self.name, database.id, holder, token, self.clock(), kept,
                                                 called_at))
        for other in self.running():
            if other is not database and not other.primary:
                del other.log[common_length(other.log, database.log):]
        await database.beat_now()
        await asyncio.sleep(STEP_DOWN_AFTER_S)
        for other in old:
            if other.up and other.primary and other.term < database.term:
                other.step_down(database.term)


def common_length(one, other):
    length = 0
    for mine, theirs in zip(one, other):
        if mine is not theirs:
            break
        length += 1
    return length


class Database(Listener):
    def __init__(self, service, fleet, number, database_id, primary):
        super().__init__()
        self.service, self.fleet, self.number, self.id, self.primary = service, fleet, number, database_id, primary
        self.host, self.zone = fleet.database_host(number), ZONES[number % 3]
        self.term, self.held, self.log, self.applied = service.term, 0, [], 0
        self.paused = self.deaf = self.draining = self.leaving = False
        self.slots, self.call_count, self.running = asyncio.Semaphore(SLOTS), 0, 0
        self.beating, self.silent_until = None, 0.0

    # --- life

    async def start(self):
        self.resume()
        await self.listen(self.host, DATABASE_PORT)
        if not self.primary and self.service.leader():
            self.catch_up(self.service.leader())
        self.beating = asyncio.get_running_loop().create_task(self.beat())

    async def stop(self):
        self.beating.cancel()
        self.stop_listening()

    async def crash(self, seconds, new_id=None, silent_s=0.0):
        """It is away for a while and comes back with its log: under a new ID, and with a first heartbeat that comes
        late, where these are given."""
        await self.stop()
        await asyncio.sleep(seconds)
        if new_id:
            self.id, self.call_count = new_id, 0
        self.silent_until = self.service.clock() + silent_s * 1000
        leader = self.service.leader()
        if leader is not self and leader and leader.term > self.term:
            self.primary = False
            del self.log[common_length(self.log, leader.log):]
        await self.start()

    async def leave_unannounced(self, extra_s):
        """A planned end of one that never says draining: DELETE first, then it serves on as long, and ends."""
        self.beating.cancel()
        for _ in range(20):
            if await self.call("DELETE", ""):
                self.service.history.draining.append(Draining(self.id, self.service.clock()))
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(self.service.history.bounds.drain_ms / 1000 + extra_s)
        self.service.databases.remove(self)
        await self.stop()

    async def leave(self, extra_s):
        """A planned end: draining, served on for DrainMs after the acknowledgement and a little longer."""
        self.draining = True
        acknowledged = await self.beat_now()
        for _ in range(20):
            if acknowledged:
                break
            await asyncio.sleep(0.2)
            acknowledged = await self.beat_now()
        if acknowledged:
            self.service.history.draining.append(Draining(self.id, self.service.clock()))
        await asyncio.sleep(self.service.history.bounds.drain_ms / 1000 + extra_s)
        await self.call("DELETE", "")
        self.service.databases.remove(self)
        await self.stop()

    # --- heartbeats

    async def beat(self):
        while self.up:
            silent_ms = self.silent_until - self.service.clock()
            if silent_ms > 0:
                await asyncio.sleep(silent_ms / 1000)
            await self.beat_now()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat_now(self):
        if self.service.clock() < self.silent_until:
            return False
        self.call_count += 1
        return await self.call("PUT", json.dumps({
            "TargetService": self.service.name, "Address": f"{self.host}:{DATABASE_PORT}", "Zone": self.zone,
            "Revision": "v1", "Capacity": SLOTS, "State": "draining" if self.draining else "available",
            "WarmupRemainingMs": 0, "CallCount": self.call_count,
            "DatabaseRole": "primary" if self.primary else "replica"}))

    async def call(self, method, body):
        """To one controller after the other until one acknowledges; False where none did."""
        first = self.number % len(self.fleet.controllers)
        for step in range(len(self.fleet.controllers)):
            controller = self.fleet.controllers[(first + step) % len(self.fleet.controllers)]
            status, _ = await call_within(HEARTBEAT_ANSWER_S, controller.address(CONTROL_PORT), method,
                                          f"/instances/{self.id}", body, ["Content-Type: application/json"])
            if 200 <= status < 300:
                return True
        return False

    # --- the log

    def pause(self, term):
        """Receives nothing until CONTINUE, a promote or its restart."""
        if not self.primary and term > self.term:
            self.paused, self.held = True, max(self.held, term)

    def resume(self):
        self.paused, self.held = False, 0

    def receives_from(self, source):
        return not (self.paused or self.deaf or self.primary) and source.term >= self.term

    def catch_up(self, source):
        same = common_length(self.log, source.log)
        del self.log[same:]
        self.log.extend(source.log[same:])
        self.term = max(self.term, source.term)
        asyncio.get_running_loop().call_later(APPLY_S, self.apply, len(self.log))

    def apply(self, length):
        self.applied = min(max(self.applied, length), len(self.log))

    def step_down(self, term):
        self.primary, self.term = False, max(self.term, term)
        leader = self.service.leader()
        if leader:
            del self.log[common_length(self.log, leader.log):]

    @property
    def position(self):
        log = self.log if self.primary else self.log[:self.applied]
        return log[-1].position if log else (1, 0)

    @property
    def received(self):
        return self.log[-1].position if self.log else (1, 0)

    def info(self):
        role = "primary" if self.primary else "replica"
        return (f"{role} {self.term} {text_of(self.received)} {self.held} {0 if self.primary else int(APPLY_S * 1000)} "
                f"{self.running} {len(self.connections)}")

    # --- the wire

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            if await self.greet(reader, writer):
                await Connection(self, reader, writer).run()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def greet(self, reader, writer):
        words = (await read_message(reader)).split()
        if len(words) < 3 or words[0] != "CONNECT":
            return False
        if words[1] != self.service.name or (len(words) > 3 and words[3] != self.id):
            writer.write(f"STMTERR WRONGNODE {self.id}\r\n".encode())
            return False
        if len(self.connections) > MAX_CONNECTIONS:
            writer.write(b"STMTERR CONNLIMIT full\r\n")
            return False
        writer.write(f"IDLE I {text_of(self.position)}\r\n".encode())
        return True


def text_of(position):
    return f"{position[0]}.{position[1]}"


class Refused(Exception):
    """A statement that is answered with an error."""


class Connection:
    """One connection at a database: its transaction, and its statements one after the other."""

    def __init__(self, database, reader, writer):
        self.database, self.reader, self.writer = database, reader, writer
        self.state, self.read_only, self.writes, self.names = "I", False, [], {}

    async def run(self):
        while self.database.up:
            line = await read_message(self.reader)
            if line == "CLOSE":
                return
            _, request, text = line.split(" ", 2)
            rows = ""
            try:
                rows, stamp = await self.statement(request, text)
                rows += f"COMPLETE {stamp}\r\n"
            except Refused as refused:
                rows = f"STMTERR {refused}\r\n"
                if self.state == "T":
                    self.state = "E"
            await asyncio.sleep(self.database.delay_s)
            if not self.database.up:
                return
            self.writer.write(f"{rows}IDLE {self.state} {text_of(self.database.position)}\r\n".encode())

    async def statement(self, request, text):
        words = text.split(" ")
        if words[0] == "WAITFOR":
            term, number = words[1].split(".")
            if self.database.position < (int(term), int(number)):
                raise Refused("LAGGING later")
            words = words[2:]
        verb = words[0]
        if request == "-" or verb in ("BEGIN", "ROLLBACK", "CONFIGURE", "PREPARE", "RELEASE", "RESET"):
            return self.own_statement(verb, words)
        if self.state == "E":
            raise Refused("MALFORMED the transaction has failed")
        if verb == "EXECUTE":
            verb = self.names.get(words[1], "")
            if not verb:
                raise Refused(f"NOTFOUND {words[1]}")
        return await self.work(request, verb, text)

    def own_statement(self, verb, words):
        database = self.database
        if verb == "BEGIN":
            self.read_only = "FETCH" in words
            if not self.read_only and not database.primary:
                raise Refused(f"READONLY {database.id}")
            self.state, self.writes = "T", []
        elif verb == "ROLLBACK":
            self.state, self.writes = "I", []
        elif verb == "PREPARE":
            self.names[words[1]] = words[2]
        elif verb == "RESET":
            self.names.clear()
        elif verb == "PAUSE":
            database.pause(int(words[1]))
        elif verb == "CONTINUE":
            database.resume()
        elif verb == "STEPDOWN" and database.term < int(words[1]):
            database.step_down(int(words[1]))
        if verb in ("INFO", "PAUSE", "CONTINUE", "STEPDOWN"):
            return f"DATAROW {database.info()}\r\n", "-"
        return "", "-"

    async def work(self, request, verb, text):
        """A read, write or commit: takes a slot for a while, then does what it says."""
        database = self.database
        run, resets = Run(database.id, database.service.clock(), text=text), database.resets
        known = database.service.history.requests.get(request)
        if known:
            known.runs.append(run)
        else:
            database.service.history.unknown_statements.append(UnknownStatement(database.id, run.reached_at, request, text))
        try:
            await take_slot(database.slots, self.reader)
            database.running += 1
            try:
                await be_busy(self.reader, database.service.clock, database.service.work_s(known))
                stamp = await self.effect(request, verb)
            finally:
                database.running -= 1
                database.slots.release()
        finally:
            run.ended_at = database.service.clock()
            run.broken_off_by_database = database.has_broken_off_since(resets)
        row = f"DATAROW {row_of(request)}\r\n" if verb == "FETCH" else ""
        return row, stamp

    async def effect(self, request, verb):
        database = self.database
        if not database.up:
            raise ConnectionResetError
        if verb in ("STORE", "COMMIT"):
            needs_primary = verb == "STORE" or bool(self.writes)
            if needs_primary and (not database.primary or self.read_only):
                raise Refused(f"READONLY {database.id}")
            writes = [*self.writes, request] if verb == "STORE" else self.writes
            if verb == "STORE" and self.state == "T":
                self.writes = writes
            elif writes:
                await self.commit(request, writes)
            if verb == "COMMIT":
                self.state, self.writes = "I", []
        return f"{database.id}.{database.position[0]}.{request}"

    async def commit(self, request, writes):
        database = self.database
        entry = Entry(database.term, database.received[1] + 1, request, writes)
        database.log.append(entry)
        database.applied = len(database.log)
        database.service.history.commits.append(
            Commit(database.service.name, request, list(writes), database.service.clock()))
        if not await database.service.replicate(database, entry):
            raise ConnectionResetError
