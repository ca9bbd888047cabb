#!/usr/bin/env python3
"""Controllers of two builds over loopback: each is replaced in turn by the other build while changes go on.

    tools/upgrade_run.py OLD NEW [--old-command controller] [--changes 40]

First OLD writes state, all its processes end, and NEW starts on the same directories: what GET /configuration and
status say has to be the same. Then three of OLD are replaced one after the other by NEW while databases and
configurations change, and the other way round. Every change that was acknowledged has to be there in the end.
Bounded: it ends by itself, and ends all its processes; exit code 1 when something is lost. Not part of CI: it needs a
build of an older commit (a work tree of it; --old-command where the program had another name).
"""
import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time

from scale_run import call, configuration, start_cores
from soaklib.http_calls import call as http_call

CONTROL_PORT = 7500
SERVICES = 3
IN_SYNC_S = 30


class Build:
    def __init__(self, binary, command):
        self.binary, self.command = binary, command


async def get(host, path):
    status, body = await http_call(host, CONTROL_PORT, "GET", path)
    return body if status == 200 else None


class Fleet:
    def __init__(self, folder, build, number):
        self.folder = folder
        self.hosts, self.processes = start_cores(build.binary, 3, folder, 60 + 3 * number + os.getpid() % 150,
                                                 build.command)
        self.revision, self.databases = 0, set()

    def start(self, index, build):
        env = dict(os.environ, PEBBLESPINDLE_SETTINGS=os.path.join(self.folder, f"core{index}.json"))
        self.processes[index] = subprocess.Popen([build.binary, build.command], stdout=subprocess.DEVNULL,
                                                 stderr=subprocess.DEVNULL, env=env)

    def kill_all(self):
        for process in self.processes:
            process.kill()
            process.wait()

    async def repeat(self, method, path, body, headers=()):
        """To one controller after the other, until it is acknowledged."""
        for attempt in range(300):
            try:
                status = await asyncio.wait_for(
                    call(self.hosts[attempt % 3], CONTROL_PORT, method, path, body, headers), 2)
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"never acknowledged: {method} {path}")

    async def change(self, number):
        name = f"i-{number}"
        await self.repeat("PUT", f"/instances/{name}", json.dumps({
            "TargetService": f"s{number % SERVICES}", "Address": f"10.9.0.{number + 1}:80", "Zone": "z",
            "State": "available", "CallCount": 1, "Capacity": 4,
            "DatabaseRole": "primary" if number < SERVICES else "replica"}))
        self.databases.add(name)
        if number % 5 == 0:
            body = configuration(self.revision + 1, SERVICES, SERVICES)
            await self.repeat("PUT", "/configuration", body, [f"If-Match: {self.revision}"])
            self.revision += 1

    async def wait_in_sync(self):
        """Until all three stand in one view, in sync."""
        end = time.monotonic() + IN_SYNC_S
        while time.monotonic() < end:
            try:
                states = [json.loads(await get(host, "/status")) for host in self.hosts]
                if all(s["seated"] and len(s["view"]["chain"]) == 3 and not s["view"]["catching_up"] for s in states):
                    return
            except (OSError, TypeError, ValueError, IndexError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("not in sync")

    async def check(self):
        for host in self.hosts:
            stored = json.loads(await get(host, "/configuration"))
            status = json.loads(await get(host, "/status/whole"))
            known = {database["id"] for database in status["databases"]["all"]}
            if stored["Revision"] != self.revision or known != self.databases:
                raise RuntimeError(f"{host} has revision {stored['Revision']} of {self.revision}, "
                                   f"{len(known)} databases of {len(self.databases)}")


async def restart_on_other_build(folder, first, second, changes):
    fleet = Fleet(folder, first, 0)
    try:
        await fleet.wait_in_sync()
        for number in range(changes):
            await fleet.change(number)
        fleet.kill_all()
        for index in range(3):
            fleet.start(index, second)
        await fleet.wait_in_sync()
        await fleet.check()
    finally:
        fleet.kill_all()


async def roll(folder, first, second, changes, number):
    fleet = Fleet(folder, first, number)
    try:
        await fleet.wait_in_sync()
        for index in range(3):
            for change in range(index * changes, (index + 1) * changes):
                await fleet.change(change)
                if change == index * changes + changes // 2:
                    fleet.processes[index].kill()
                    fleet.processes[index].wait()
                    fleet.start(index, second)
            await fleet.wait_in_sync()
        await fleet.check()
    finally:
        fleet.kill_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("old")
    parser.add_argument("new")
    parser.add_argument("--old-command", default="controller")
    parser.add_argument("--changes", type=int, default=40)
    arguments = parser.parse_args()
    old, new = Build(arguments.old, arguments.old_command), Build(arguments.new, "controller")
    steps = [("state of the old build, read by the new one", restart_on_other_build, (old, new, arguments.changes)),
             ("old replaced by new, one by one", roll, (old, new, arguments.changes // 3, 1)),
             ("new replaced by old, one by one", roll, (new, old, arguments.changes // 3, 2))]
    for name, step, parameters in steps:
        with tempfile.TemporaryDirectory() as folder:
            try:
                asyncio.run(step(folder, *parameters))
            except RuntimeError as error:
                print(f"{name}: FAILED: {error}")
                return 1
        print(f"{name}: nothing lost", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
