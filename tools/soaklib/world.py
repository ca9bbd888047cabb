"""One run: the system's processes, the stand-ins around them, the plan, and the history of it all."""
import asyncio
import json
import os
import resource
import subprocess
import sys
import time
from random import Random

from soaklib.applications import Application
from soaklib.databases import Database, Service
from soaklib.history import History, Stall
from soaklib.machines import Fleet, service_of
from soaklib.mesh_clients import MeshClient
from soaklib.operator_calls import Operator
from soaklib.plan import Player
from soaklib.platform_api import Platform
from soaklib.sessions import SessionClient

READY_S = 20.0
LAG_STEP_S = 0.05
BUSY_LAG_S = 0.15  # this process itself was late by so much: times in that span say nothing
SAMPLE_S = 1.0
DATABASES = 3
SLOW_WORK_S = 1.2


class CannotRun(Exception):
    """The run shows nothing: the system or the stand-ins did not come up."""


class World:
    def __init__(self, binary, sizes, seed, player=Player):
        self.began = time.monotonic()
        self.player = player
        self.sizes, self.seed, self.random = sizes, seed, Random(seed)
        self.history = History()
        self.fleet = Fleet(binary, self.history, self.clock, sizes, seed)
        self.service_names = [service_of(number, sizes) for number in range(sizes.services)]
        self.services, self.applications, self.databases_started, self.database_ids = [], [], 0, 0
        if not sizes.mesh:
            self.services = [Service(name, self.history, self.clock, self.random, self.work_s)
                             for name in self.service_names]
        self.platform = Platform(self.fleet, self.services)
        self.operator = Operator(self.fleet, self.history, self.clock, Random(seed + 1), self.service_names,
                                 sizes.mesh)
        self.stopping = False

    def clock(self):
        return (time.monotonic() - self.began) * 1000

    def client_random(self, name):
        return Random(f"{self.seed}-{name}")

    def work_s(self, request):
        if request is not None and request.text.endswith("slow"):
            return SLOW_WORK_S
        return min(0.3, self.random.lognormvariate(-3.4, 0.7))

    def new_database_id(self):
        """Every start of a database is a new life."""
        self.database_ids += 1
        return f"i-{self.database_ids:08x}"

    async def add_database(self, service):
        number = self.databases_started
        self.databases_started += 1
        database = Database(service, self.fleet, number, self.new_database_id(), not service.databases)
        service.databases.append(database)
        await database.start()

    async def play(self, steps, seconds):
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(20000, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),) * 2)
        watch = self.start_stall_watch()
        try:
            await self.come_up()
            await self.trouble_and_traffic(steps, seconds)
        finally:
            self.history.ended_at = self.clock()
            self.fleet.end()
            watch.kill()
            measured = watch.communicate()[0]
            self.history.stalls = [Stall(**json.loads(line)) for line in measured.splitlines(True)
                                   if line.endswith("\n")]

    def start_stall_watch(self):
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "stall_watch.py")
        return subprocess.Popen([sys.executable, script, self.fleet.folder, str(self.began)], text=True,
                                stdin=subprocess.DEVNULL, stdout=subprocess.PIPE)

    async def come_up(self):
        await self.platform.start()
        await self.fleet.start_all()
        await asyncio.sleep(1)
        self.fleet.end_bootstrap()
        if not await self.operator.first():
            raise CannotRun("no configuration was acknowledged")
        for service in self.services:
            for _ in range(DATABASES):
                await self.add_database(service)
        if self.sizes.mesh:
            self.applications = [Application(self.fleet, machine, self.history, self.clock, self.work_s, self.sizes)
                                 for machine in self.fleet.edges]
            for application in self.applications:
                await application.start()
        end = self.clock() + READY_S * 1000
        while len(self.platform.ready_machines()) < len(self.fleet.edges):
            if self.clock() > end:
                raise CannotRun("not all machines became ready")
            await asyncio.sleep(0.1)

    async def trouble_and_traffic(self, steps, seconds):
        loop = asyncio.get_running_loop()
        helpers = [loop.create_task(self.watch_lag()), loop.create_task(self.watch_resources())]
        kind = MeshClient if self.sizes.mesh else SessionClient
        clients = [loop.create_task(kind(f"c{number}", self).run()) for number in range(self.sizes.clients)]
        end = self.clock() + seconds * 1000
        await self.player(self).play(steps)
        await asyncio.sleep(max(0, (end - self.clock()) / 1000))
        self.stopping = True
        await asyncio.wait(clients, timeout=12)
        await self.operator.read_back()
        self.note_final_logs()
        for task in clients:
            if task.done() and task.exception():
                raise task.exception()
        for task in helpers:
            task.cancel()

    def note_final_logs(self):
        for service in self.services:
            leader = service.leader()
            self.history.final_logs[service.name] = [entry.request for entry in leader.log] if leader else None

    async def watch_lag(self):
        while True:
            before = self.clock()
            await asyncio.sleep(LAG_STEP_S)
            if self.clock() - before > (LAG_STEP_S + BUSY_LAG_S) * 1000:
                self.history.busy_spans.append((before, self.clock()))

    async def watch_resources(self):
        while True:
            self.fleet.sample_resources()
            await asyncio.sleep(SAMPLE_S)
