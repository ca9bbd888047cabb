"""The platform: carries out promotes, asks machines whether they are ready, and hands clients to those that are."""
import asyncio
import json

from soaklib.http_calls import answer_bytes, call_within, read_request
from soaklib.listener import serve_at
from soaklib.machines import PLATFORM_PORT, READY_PORT

PROMOTE_S = 0.1
PROBE_S = 1.0
MISSES_UNTIL_OUT = 2
MUTE_S = 5.0  # callers have given up by then


def find_running(service, database_id):
    return next((one for one in service.running() if one.id == database_id), None) if service else None


class Platform:
    def __init__(self, fleet, services):
        self.clock = fleet.clock
        self.fleet, self.services = fleet, {service.name: service for service in services}
        self.slow_s = 0.0  # until a call is carried out and answered
        self.is_down, self.is_mute = False, False  # refuses calls; carries them out and never answers
        self.enforces_fences, self.newest_tokens = False, {}
        self.misses = {machine.name: MISSES_UNTIL_OUT for machine in fleet.edges}
        self.server = None

    async def start(self):
        self.server = await serve_at(self.serve, self.fleet.platform_host(), PLATFORM_PORT)
        for machine in self.fleet.edges:
            asyncio.get_running_loop().create_task(self.probe(machine))

    async def serve(self, reader, writer):
        request = await read_request(reader)
        if request and not self.is_down:
            mute = self.is_mute
            status = await self.answer(*request)
            if mute:
                await asyncio.sleep(MUTE_S)
            else:
                writer.write(answer_bytes(status))
        writer.close()

    async def answer(self, method, path, headers, body):
        if method != "POST" or path != "/failovers":
            return 404
        called_at = self.clock()
        order = json.loads(body)
        holder, token = headers["x-pebblespindle-duty-holder"], int(headers["x-pebblespindle-fence-token"])
        service = self.services.get(order["TargetService"])
        database = find_running(service, order["InstanceId"])
        await asyncio.sleep(PROMOTE_S + self.slow_s)
        if self.enforces_fences and token < self.newest_tokens.get(order["TargetService"], 0):
            return 409
        self.newest_tokens[order["TargetService"]] = max(token, self.newest_tokens.get(order["TargetService"], 0))
        # One that has started anew meanwhile has another ID.
        if not database or find_running(service, order["InstanceId"]) is not database:
            return 409
        if service.leader() is database:
            return 200
        asyncio.get_running_loop().create_task(service.promote(database, holder, token, called_at))
        return 200

    async def probe(self, machine):
        while True:
            status, _ = await call_within(PROBE_S, machine.address(READY_PORT), "GET", "/readiness")
            self.misses[machine.name] = 0 if status == 200 else self.misses[machine.name] + 1
            await asyncio.sleep(PROBE_S)

    def ready_machines(self):
        return [machine for machine in self.fleet.edges if self.misses[machine.name] < MISSES_UNTIL_OUT]

    def pick(self, random, but=None):
        """A machine for a new connection: one that is ready, else any."""
        fit = [machine for machine in self.ready_machines() if machine is not but] or self.fleet.edges
        return random.choice(fit)
