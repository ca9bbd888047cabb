"""The operator: changes the configuration by PUT and PATCH, and reads it back."""
import asyncio
import json

from soaklib.history import Change, Reading
from soaklib.http_calls import call_within
from soaklib.machines import CONTROL_PORT
from soaklib.odd_input import ODD_ORDERS

ANSWER_S = 1.0
TRIES = 20
FINAL = (400, 409, 412, 413, 422)


class Operator:
    def __init__(self, fleet, history, clock, random, services, mesh):
        self.fleet, self.history, self.clock, self.random = fleet, history, clock, random
        self.services, self.mesh = services, mesh
        self.revision = 0
        self.lost_answers = False

    def routes(self, revision):
        if self.mesh:
            kinds = [("idempotent", 2000), ("non_idempotent", 2500)]
            return [{"Name": f"r-{service}-{kind}", "Hostname": "soak.example", "PathPrefix": f"/{service}/{kind}/",
                     "RouteType": kind, "TimeoutMs": timeout + revision % 7, "TargetLatencyMs": 500, "Priority": 1,
                     "TargetService": service, "MaxAttempts": 2}
                    for service in self.services for kind, timeout in kinds]
        kinds = [("primary", 1000), ("bounded", 2000), ("read_your_writes", 1000)]
        return [{"Name": f"r-{service}-{kind}", "Hostname": f"{kind}-{service}", "PathPrefix": "/", "RouteType": kind,
                 "TimeoutMs": timeout + revision % 7, "TargetLatencyMs": 300, "Priority": 1, "TargetService": service,
                 "MaxAttempts": 2, "stale_ms": 1500} for service in self.services for kind, timeout in kinds]

    def configuration(self, revision):
        return {"Revision": revision, "Routes": self.routes(revision),
                "Services": [{"Name": service, "HealthCheckPath": "/health", "MaxConnections": 180, "Protocol": "h1",
                              "TlsEnabled": False, "SyncReplicas": 0 if self.mesh else 1}
                             for service in self.services],
                "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                           "IdleTimeoutMs": 15000, "TransactionIdleMs": 3000}}

    async def first(self):
        return (await self.put(1, 0)).status == 200

    async def put(self, revision, base, body=None, valid=True, method="PUT", text=None):
        """text: sent in place of the body as JSON."""
        change = Change(revision, base, valid, self.clock(), body=body or self.configuration(revision))
        self.history.changes.append(change)
        if text is None:
            text = json.dumps(change.body)
        for attempt in range(TRIES):
            controller = self.random.choice(self.fleet.controllers)
            status, _ = await call_within(ANSWER_S, controller.address(CONTROL_PORT), method, "/configuration", text,
                                          [f"If-Match: {base}", "Content-Type: application/json"])
            if self.lost_answers and attempt == 0:
                status = 0  # its answer did not arrive: the same is sent again
            if status == 200 or status in FINAL:
                change.status = status
                break
            await asyncio.sleep(min(1.0, 0.05 * (attempt + 1)))
        change.ended_at = self.clock()
        if change.status == 200:
            self.revision = max(self.revision, revision)
        return change

    async def change(self):
        await self.put(self.revision + self.random.randint(1, 5), self.revision)

    async def patch(self):
        revision = self.revision + self.random.randint(1, 5)
        body = {"Revision": revision, "Upsert": {"Routes": [self.routes(revision)[0]]}, "Remove": {"Routes": []}}
        await self.put(revision, self.revision, body, method="PATCH")

    async def race(self):
        base = self.revision
        await asyncio.gather(self.put(base + 2, base), self.put(base + 3, base))

    async def invalid(self):
        revision = self.revision + 1
        body = self.configuration(revision)
        body["Routes"][0]["TargetService"] = "nobody"
        await self.put(revision, self.revision, body, valid=False)

    async def odd(self):
        """An order that no state makes valid, as text that may be no configuration at all."""
        method, text = self.random.choice(ODD_ORDERS)
        await self.put(self.revision + 1, self.revision, {"text": text[:100]}, valid=False, method=method, text=text)

    async def read_back(self):
        for _ in range(TRIES):
            controller = self.random.choice(self.fleet.controllers)
            status, text = await call_within(ANSWER_S, controller.address(CONTROL_PORT), "GET", "/configuration")
            if status == 200:
                self.history.readings.append(Reading(self.clock(), json.loads(text)["Revision"]))
                return
            await asyncio.sleep(0.2)
        self.history.readings.append(Reading(self.clock(), None))
