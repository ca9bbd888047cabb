"""A plan of nothing but failovers: series of troubles that matter to one another, at a promote and around it.

Each scene ends the primary of a service in some way, with other troubles shortly before and after it. Doses are those
of the pages: a primary is away for 7 s at most, replicas receive nothing for 6.5 s, a heartbeat comes seconds late.
"""
import asyncio
import json
from random import Random

from soaklib.http_calls import call_within
from soaklib.machines import CONTROL_PORT
from soaklib.plan import CALM_END_S, FIRST_AT_S, Player, Step

SCENE_S = (3.5, 7.0)
BEFORE = ["deaf_but_one", "leave_draining", "leave_unannounced", "join"]
ENDINGS = ["crash_renamed", "crash_renamed", "release_primary", "crash_primary"]
PLATFORM = ["slow_platform_for_long", "platform_down", "platform_mute"]
AFTER = ["kill_holder", "freeze_holder", "terminate_holder", "crash_replica", "crash_renamed", "deaf_but_one",
         "slow_core_links", "silent_core_links", "drop_core_links"]
LATE_PROMOTE_HOLDER = ["kill_holder", "freeze_holder", "silent_core_links", "drop_core_links"]
STATUS_S = 0.5
LONGEST_DEAF_S, LONGEST_AWAY_S, SLOW_S, LATEST_BEAT_S = 6.5, 6.0, 2.5, 4.0


def draw_failover_plan(seed, sizes, seconds):
    """Scenes one after the other: of those drawn freely, and of those that leave one replica alone with the newest
    commits or a promote on its way."""
    random = Random(f"failover-{sizes.name}-{seed}")
    steps, at, scene = [], FIRST_AT_S, 0
    while at < seconds - CALM_END_S - SCENE_S[0]:
        draw = random.choice([draw_free, draw_free, lone_holder_leaves, lone_holder_renamed, late_promote])
        service, scene = random.randrange(1000), scene + 1
        for after_s, kind, long_s, late_s in draw(random):
            detail = {"service": service, "scene": scene, "late_s": late_s}
            steps.append(Step(at + after_s, kind, random.randrange(1000), long_s, detail))
        at += random.uniform(*SCENE_S)
    return sorted(steps, key=lambda step: step.at_s)


def draw_free(random):
    """(seconds after the scene's begin, kind, how long, how late the first heartbeat is) of each step"""
    def late():
        return random.choice([0, 0, random.uniform(0, LATEST_BEAT_S)])

    if random.random() < 0.7:
        yield random.uniform(0, 1), random.choice(BEFORE), random.uniform(0.5, LONGEST_DEAF_S), 0
    if random.random() < 0.6:
        yield random.uniform(0.5, 1.5), random.choice(PLATFORM), random.uniform(0.5, 5.0), 0
    ending_at = random.uniform(1.0, 2.5)
    yield ending_at, random.choice(ENDINGS), random.uniform(0.5, random.choice([1.0, 2.5, LONGEST_AWAY_S])), late()
    for _ in range(random.randrange(3)):
        yield ending_at + random.uniform(0, 3), random.choice(AFTER), random.uniform(0.5, 2.0), late()


def lone_holder_leaves(random):
    """A replica that alone receives leaves and ends, or serves on; then the primary is away."""
    serves_on_s = random.choice([0.0, random.uniform(0, 3)])
    yield 0.0, "lone_holder_leaves_unannounced", serves_on_s, 0
    yield 1.5, "deaf_but_lone_holder", LONGEST_DEAF_S, 0
    if random.random() < 0.5:
        yield random.uniform(2.0, 3.0), "kill_holder", 0.0, 0
    yield random.uniform(3.0, 4.0), "crash_renamed", random.uniform(3.5, LONGEST_AWAY_S), 0


def lone_holder_renamed(random):
    """A replica that alone receives starts anew, and its heartbeat is late; the primary is away meanwhile."""
    yield 0.0, "deaf_but_lone_holder", LONGEST_DEAF_S, 0
    yield 1.0, "crash_lone_holder", 0.3, LATEST_BEAT_S
    if random.random() < 0.5:
        yield random.uniform(1.5, 2.5), "kill_holder", 0.0, 0
    yield random.uniform(1.0, 1.3), "crash_renamed", random.uniform(4.0, LONGEST_AWAY_S), 0


def late_promote(random):
    """The platform is slow; the primary is back, under a new ID, before a promote is carried out."""
    yield 0.0, random.choice(["slow_platform_for_long", "platform_mute"]), 5.0, 0
    yield 0.5, "crash_renamed", random.uniform(1.0, 2.0), 0
    if random.random() < 0.5:
        yield random.uniform(1.0, 3.0), random.choice(LATE_PROMOTE_HOLDER), 1.0, 0


class FailoverPlayer(Player):
    """Carries out the steps of a failover plan, beside those of the ordinary one."""

    def __init__(self, world):
        super().__init__(world)
        world.platform.enforces_fences = world.seed % 2 == 0
        self.lone_holders = {}  # by scene

    def new_id(self):
        return self.world.new_database_id()

    async def holder(self):
        """The controller that says it holds the failover duty; any, where none says so."""
        for controller in self.fleet.controllers:
            status, body = await call_within(STATUS_S, controller.address(CONTROL_PORT), "GET", "/status")
            if status == 200 and json.loads(body)["duty"]["held_here"]:
                return controller
        return self.fleet.controllers[0]

    async def with_holder(self, work):
        if self.core_busy:
            return
        self.core_busy = True
        await work(await self.holder())
        await asyncio.sleep(4)  # CatchUpS: it counts as lost until then
        self.core_busy = False

    async def kill_holder(self, _):
        async def work(controller):
            self.fleet.kill(controller)
        await self.with_holder(work)

    async def freeze_holder(self, step):
        await self.with_holder(lambda controller: self.fleet.freeze(controller, step.seconds))

    async def terminate_holder(self, _):
        await self.with_holder(self.fleet.terminate)

    async def trouble_core_links(self, step, trouble):
        """Here at the controller that holds the duty."""
        await self.with_holder(lambda controller: self.trouble_links(controller, step, trouble))

    async def away(self, database, step):
        self.fleet.trouble("crash", database.service.name, step.seconds * 1000 + 2000, False)
        await database.crash(step.seconds, self.new_id(), step.detail["late_s"])

    async def crash_renamed(self, step):
        """The primary is away, and comes back with its log under a new ID."""
        leader = self.service(step).leader()
        if leader and leader.up and len(self.service(step).running()) > 2:
            await self.away(leader, step)

    async def crash_replica(self, step):
        replicas = [database for database in self.service(step).running() if not database.primary]
        if len(replicas) > 1:
            await self.away(replicas[step.index % len(replicas)], step)

    def lone_holder(self, step):
        """The replica that this scene leaves alone with the newest commits; none where there are too few."""
        replicas = [one for one in self.service(step).running() if not one.primary and not one.leaving]
        if len(replicas) > 1:
            self.lone_holders.setdefault(step.detail["scene"], replicas[step.index % len(replicas)])
        return self.lone_holders.get(step.detail["scene"])

    async def lone_holder_leaves_unannounced(self, step):
        await self.replace(step, lambda _: self.lone_holder(step), lambda old: old.leave_unannounced(step.seconds))

    async def crash_lone_holder(self, step):
        holder = self.lone_holder(step)
        if holder and holder.up:
            await self.away(holder, step)

    async def deaf_but_lone_holder(self, step):
        holder = self.lone_holder(step)
        if holder:
            await self.deafen(step, holder)

    async def deaf_but_one(self, step):
        replicas = [database for database in self.service(step).running() if not database.primary]
        if len(replicas) > 1:
            await self.deafen(step, replicas[step.index % len(replicas)])

    async def deafen(self, step, hearing):
        service = self.service(step)
        replicas = [database for database in service.running() if not database.primary]
        self.fleet.trouble("deaf", service.name, step.seconds * 1000, False)
        deaf = [database for database in replicas if database is not hearing]
        for database in deaf:
            database.deaf = True
        await asyncio.sleep(step.seconds)
        for database in deaf:
            database.deaf = False

    async def replace(self, step, choose, leave):
        service = self.service(step)
        old = choose(service)
        if not old or not old.up or old.leaving:
            return
        old.leaving = True
        self.fleet.trouble("release", service.name, 0, True)
        await self.world.add_database(service)
        await leave(old)

    def replica(self, step):
        def choose(service):
            replicas = [database for database in service.running() if not database.primary and not database.leaving]
            return replicas[step.index % len(replicas)] if len(replicas) > 1 else None
        return choose

    async def leave_draining(self, step):
        await self.replace(step, self.replica(step), lambda old: old.leave(step.seconds))

    async def leave_unannounced(self, step):
        await self.replace(step, self.replica(step), lambda old: old.leave_unannounced(step.seconds))

    async def release_primary(self, step):
        await self.replace(step, lambda service: service.leader(), lambda old: old.leave(step.seconds))

    async def join(self, step):
        await self.world.add_database(self.service(step))

    async def with_platform(self, step, kind, name, value, usual):
        self.fleet.trouble(kind, "all", step.seconds * 1000 + SLOW_S * 1000, False)
        setattr(self.world.platform, name, value)
        await asyncio.sleep(step.seconds)
        setattr(self.world.platform, name, usual)

    async def slow_platform_for_long(self, step):
        await self.with_platform(step, "slow platform", "slow_s", SLOW_S, 0.0)

    async def platform_down(self, step):
        await self.with_platform(step, "platform down", "is_down", True, False)

    async def platform_mute(self, step):
        await self.with_platform(step, "platform mute", "is_mute", True, False)
