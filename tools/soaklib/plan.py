"""The trouble of one run, drawn from its seed: the same seed gives the same plan."""
import asyncio
from dataclasses import dataclass, field
from random import Random

from soaklib.controller_links import ControllerLinks
from soaklib.machines import RESTART_S

FIRST_AT_S = 4.0  # in touch by then
CALM_END_S = 4.0  # answers and read-backs without further trouble
SLOW_LINK_S = 0.15
SERIES = 3  # times that a step of a series is carried out
LONGEST_STEP_S = 40.0  # after the last one began; an order that is never acknowledged is given up before
PLANNED_SHARE = 0.55  # of the time, from the begin on, in which only planned work comes


@dataclass
class Sizes:
    name: str
    mesh: bool
    controllers: int
    edges: int
    services: int
    clients: int


SIZES = {"small": Sizes("small", False, 3, 3, 1, 120), "mesh": Sizes("mesh", True, 3, 6, 2, 60),
         "large": Sizes("large", False, 5, 50, 6, 300), "huge": Sizes("huge", False, 5, 110, 8, 300)}


@dataclass
class Step:
    at_s: float
    kind: str
    index: int = 0  # of the machine or database, by its place
    seconds: float = 0
    detail: dict = field(default_factory=dict)

    def text(self):
        return f"{self.at_s:6.2f} s  {self.kind}  {self.index}  {self.seconds:.2f} s"


PLANNED = ["terminate", "terminate_twice", "terminate_and_hang_up", "terminate_two", "terminate_in_series", "hang_up",
           "hang_up_in_series", "terminate_core", "change", "change_in_series", "patch", "race", "invalid", "odd",
           "release", "lose_answers"]
PLANNED_MESH = [kind for kind in PLANNED if kind != "release"] + ["restart_database"]
UNPLANNED = ["kill", "kill_core", "wipe_core", "freeze", "freeze_core", "crash_primary", "deaf_replica",
             "slow_platform", "terminate_in_failover", "terminate", "reset_links", "slow_links", "slow_core_links",
             "silent_core_links", "drop_core_links"]
UNPLANNED_MESH = ["kill", "kill_core", "freeze", "freeze_core", "crash_database", "terminate", "reset_links",
                  "slow_links", "slow_core_links", "silent_core_links", "drop_core_links"]


def draw_plan(seed, sizes, seconds):
    random = Random(f"{sizes.name}-{seed}")
    planned, unplanned = (PLANNED_MESH, UNPLANNED_MESH) if sizes.mesh else (PLANNED, UNPLANNED)
    last_at = seconds - CALM_END_S
    mixed_from = FIRST_AT_S + (last_at - FIRST_AT_S) * PLANNED_SHARE
    steps, at = [], FIRST_AT_S
    while at < last_at:
        kinds = planned if at < mixed_from else planned + unplanned
        steps.append(Step(at, random.choice(kinds), random.randrange(1000), random.uniform(0.5, 3.0),
                          {"service": random.randrange(1000)}))
        at += random.uniform(0.1, 1.6)
    return steps


class Player:
    """Carries the steps of a plan out on a world."""

    def __init__(self, world):
        self.world, self.fleet, self.operator = world, world.fleet, world.operator
        self.tasks = []
        self.core_busy = False  # one controller at a time: what may be lost at once with all rules kept

    async def play(self, steps):
        begin = self.world.clock()
        for step in steps:
            await asyncio.sleep(max(0, step.at_s - (self.world.clock() - begin) / 1000))
            self.tasks.append(asyncio.get_running_loop().create_task(getattr(self, step.kind)(step), name=step.text()))
        done, unfinished = await asyncio.wait(self.tasks, timeout=LONGEST_STEP_S) if self.tasks else ((), ())
        for task in unfinished:
            self.world.history.unfinished_steps.append(f"{task.get_name()}: {task.get_stack(limit=1)}")
            task.cancel()
        for task in done:
            if task.exception():
                raise task.exception()

    def edge(self, step, offset=0):
        return self.fleet.edges[(step.index + offset) % len(self.fleet.edges)]

    def core(self, step):
        return self.fleet.controllers[step.index % len(self.fleet.controllers)]

    def service(self, step):
        return self.world.services[step.detail["service"] % len(self.world.services)]

    # --- planned work

    async def terminate(self, step):
        await self.fleet.terminate(self.edge(step))

    async def terminate_twice(self, step):
        first = asyncio.get_running_loop().create_task(self.fleet.terminate(self.edge(step)))
        await asyncio.sleep(step.seconds)
        self.fleet.ask_to_end(self.edge(step))
        await first

    async def terminate_and_hang_up(self, step):
        self.fleet.hang_up(self.edge(step))
        first = asyncio.get_running_loop().create_task(self.fleet.terminate(self.edge(step)))
        await asyncio.sleep(step.seconds / 3)
        self.fleet.hang_up(self.edge(step))
        await first

    async def terminate_two(self, step):
        await asyncio.gather(self.fleet.terminate(self.edge(step)), self.fleet.terminate(self.edge(step, 1)))

    async def hang_up(self, step):
        self.fleet.hang_up(self.edge(step))

    async def hang_up_in_series(self, step):
        """Again and again, at the machine and its neighbour in turn, also while they start."""
        for turn in range(SERIES):
            self.fleet.hang_up(self.edge(step, turn % 2))
            await asyncio.sleep(step.seconds / SERIES)

    async def terminate_in_series(self, step):
        """As soon as the machine's processes have started again, they are asked to end again."""
        for _ in range(SERIES):
            await self.fleet.terminate(self.edge(step))
            await asyncio.sleep(RESTART_S + step.seconds / SERIES)

    async def with_one_core(self, work, rest_s):
        if self.core_busy:
            return
        self.core_busy = True
        await work
        await asyncio.sleep(rest_s)  # CatchUpS: it counts as lost until then
        self.core_busy = False

    async def terminate_core(self, step):
        if not self.core_busy:
            await self.with_one_core(self.fleet.terminate(self.core(step)), 4)

    async def change(self, _):
        await self.operator.change()

    async def change_in_series(self, _):
        for _ in range(SERIES):
            await self.operator.change()

    async def patch(self, _):
        await self.operator.patch()

    async def race(self, _):
        await self.operator.race()

    async def invalid(self, _):
        await self.operator.invalid()

    async def odd(self, _):
        await self.operator.odd()

    async def lose_answers(self, step):
        self.operator.lost_answers = True
        await self.operator.change()
        await asyncio.sleep(step.seconds)
        self.operator.lost_answers = False

    async def release(self, step):
        """A database is replaced: the new one starts first, the old one drains."""
        service = self.service(step)
        old = service.databases[step.index % len(service.databases)]
        if old.draining or not old.up:
            return
        self.fleet.trouble("release", service.name, 0, True)
        await self.world.add_database(service)
        await old.leave(step.seconds / 2)

    async def restart_database(self, step):
        """The mesh: a machine's processes end in order and start again; its database runs on."""
        await self.fleet.terminate(self.edge(step))

    # --- unplanned trouble

    async def kill(self, step):
        self.fleet.kill(self.edge(step))

    async def kill_core(self, step):
        async def work():
            self.fleet.kill(self.core(step))
        if not self.core_busy:
            await self.with_one_core(work(), 4)

    async def wipe_core(self, step):
        async def work():
            self.fleet.kill(self.core(step), wipe=True)
        if not self.core_busy:
            await self.with_one_core(work(), 5)

    async def freeze(self, step):
        await self.fleet.freeze(self.edge(step), step.seconds)

    async def freeze_core(self, step):
        if not self.core_busy:
            await self.with_one_core(self.fleet.freeze(self.core(step), step.seconds), 4)

    async def trouble_links(self, controller, step, trouble):
        """Trouble on links of one controller, which counts as lost meanwhile."""
        self.fleet.trouble(f"{trouble.__name__} of core links", controller.name, step.seconds * 1000, False, core=True)
        await trouble(self.fleet.links[controller.name], step.seconds)

    async def trouble_core_links(self, step, trouble):
        if not self.core_busy:
            await self.with_one_core(self.trouble_links(self.core(step), step, trouble), 4)

    async def slow_core_links(self, step):
        await self.trouble_core_links(step, ControllerLinks.delay)

    async def silent_core_links(self, step):
        await self.trouble_core_links(step, ControllerLinks.silence)

    async def drop_core_links(self, step):
        await self.trouble_core_links(step, ControllerLinks.drop)

    async def crash_primary(self, step):
        service = self.service(step)
        leader = service.leader()
        if leader and leader.up and len(service.running()) > 2:
            self.fleet.trouble("crash", service.name, step.seconds * 1000 + 2000, False)
            await leader.crash(step.seconds)

    async def terminate_in_failover(self, step):
        await asyncio.gather(self.crash_primary(step), self.terminate_after(step, 0.4))

    async def terminate_after(self, step, seconds):
        await asyncio.sleep(seconds)
        await self.fleet.terminate(self.edge(step))

    async def deaf_replica(self, step):
        service = self.service(step)
        replicas = [database for database in service.running() if not database.primary]
        if len(replicas) < 2:
            return
        replica = replicas[step.index % len(replicas)]
        self.fleet.trouble("deaf", service.name, step.seconds * 1000, False)
        replica.deaf = True
        await asyncio.sleep(step.seconds)
        replica.deaf = False

    async def slow_platform(self, step):
        self.fleet.trouble("slow platform", "all", step.seconds * 1000, False)
        self.world.platform.slow_s = 0.6
        await asyncio.sleep(step.seconds)
        self.world.platform.slow_s = 0

    def database(self, step):
        """(a database, what its troubles are named for)"""
        if self.world.applications:
            application = self.world.applications[step.index % len(self.world.applications)]
            return application, application.machine.name
        service = self.service(step)
        return service.databases[step.index % len(service.databases)], service.name

    async def reset_links(self, step):
        database, target = self.database(step)
        self.fleet.trouble("reset links", target, 500, False)
        database.reset_links()

    async def slow_links(self, step):
        database, target = self.database(step)
        self.fleet.trouble("slow links", target, step.seconds * 1000, False)
        database.delay_s = SLOW_LINK_S
        await asyncio.sleep(step.seconds)
        database.delay_s = 0

    async def crash_database(self, step):
        application = self.world.applications[step.index % len(self.world.applications)]
        if application.up:
            self.fleet.trouble("crash", application.machine.name, step.seconds * 1000 + 1000, False)
            await application.crash(step.seconds)
