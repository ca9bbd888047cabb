#!/usr/bin/env python3
"""Real cores over loopback with a large state: each is restarted in turn and one emptied, while changes go on.

    tools/worst_case_run.py BINARY [--cores 3] [--databases 41000] [--routes 5000] [--changes 2000] [--patches 5]

Prints a line of figures a step: seconds until the core is in step again, views decided meanwhile, the times from a
change to its acknowledgement, peak memory and size of the disk. Bounded: it ends by itself, and ends all its cores.
Not part of CI; `--databases 300 --routes 200 --changes 100 --patches 2` is the small twin.
"""
import argparse
import asyncio
import json
import os
import shutil
import statistics
import subprocess
import tempfile
import time

from scale_run import Run, call, configuration

IN_STEP_S = 60


class Worst(Run):
    def __init__(self, a):
        super().__init__(a.binary, a.cores, 0, a.databases, 0)
        self.a, self.calls, self.marks, self.services = a, {}, [], max(1, a.databases // 3)

    def start(self, i):
        env = dict(os.environ, PEBBLESPINDLE_SETTINGS=os.path.join(self.folder, f"core{i}.json"))
        return subprocess.Popen([self.binary, "controller"], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                                env=env)

    async def status(self, i):
        reader, writer = await asyncio.open_connection(self.hosts[i], 7500, limit=1 << 24)
        writer.write(b"GET /status HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n")
        text = await reader.read()
        writer.close()
        return json.loads(text.split(b"\r\n\r\n", 1)[1])

    async def change(self, n):
        """One database tells something new; it is told again, to the next core, until it is acknowledged."""
        calls = self.calls[n] = self.calls.get(n, 0) + 1
        body = json.dumps({"TargetService": f"s{n % self.services}", "Address": f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:80",
                           "Zone": "z", "State": "available" if calls % 2 else "draining", "CallCount": calls,
                           "Capacity": 4, "DatabaseRole": "primary" if n < self.services else "replica"})
        began = time.monotonic()
        for attempt in range(10 * IN_STEP_S):
            host = self.hosts[(n + attempt) % len(self.hosts)]
            try:
                status = await asyncio.wait_for(call(host, 7500, "PUT", f"/instances/i-{n}", body), 1)
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                status = 0
            if status == 200:
                return time.monotonic() - began
            await asyncio.sleep(0.05)
        raise RuntimeError("a change was never acknowledged")

    async def many(self, numbers, at_once):
        gate = asyncio.Semaphore(at_once)

        async def one(n):
            async with gate:
                return await self.change(n)

        return await asyncio.gather(*(one(n) for n in numbers))

    async def patch(self, revision):
        body = json.dumps({"Revision": revision, "Upsert": {"Routes": [
            {"Name": "r0", "Hostname": "h0", "PathPrefix": "/", "RouteType": "primary", "TimeoutMs": 500 + revision,
             "TargetService": "s0"}]}})
        for attempt in range(10 * IN_STEP_S):
            host = self.hosts[attempt % len(self.hosts)]
            try:
                status = await asyncio.wait_for(
                    call(host, 7500, "PATCH", "/configuration", body, [f"If-Match: {revision - 1}"]), 3)
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("a configuration was never acknowledged")

    async def in_step(self, i, began):
        """Seconds until core i stands in its own view with nobody catching up."""
        while time.monotonic() < began + IN_STEP_S:
            try:
                s = await asyncio.wait_for(self.status(i), 1)
                if s["seated"] and s["name"] in s["view"]["chain"] and not s["view"]["catching_up"]:
                    return round(time.monotonic() - began, 2)
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                pass
            await asyncio.sleep(0.05)
        return None

    async def step(self, what, i, wipe):
        other = (i + 1) % len(self.hosts)
        view = (await self.status(other))["view"]["number"]
        self.processes[i].kill()
        self.processes[i].wait()
        if wipe:
            shutil.rmtree(os.path.join(self.folder, f"core{i}"))
            os.mkdir(os.path.join(self.folder, f"core{i}"))
            path = os.path.join(self.folder, f"core{i}.json")
            settings = json.load(open(path))
            json.dump(dict(settings, Bootstrap=False), open(path, "w"))
        began = time.monotonic()
        self.processes[i] = self.start(i)
        numbers = [(self.done_changes + k) % self.a.databases for k in range(self.a.changes // (self.a.cores + 1))]
        self.done_changes += len(numbers)
        changes = asyncio.create_task(self.many(numbers, 8))
        for _ in range(max(1, self.a.patches // (self.a.cores + 1))):
            self.revision += 1
            await self.patch(self.revision)
        waited = await self.in_step(i, began)
        times = sorted(await changes)
        views = (await self.status(other))["view"]["number"] - view
        disk = sum(f.stat().st_size for f in os.scandir(os.path.join(self.folder, f"core{i}")))
        print(json.dumps({
            "step": what, "in_step_s": waited, "views": views, "ack_median_ms": round(1000 * statistics.median(times)),
            "ack_worst_ms": round(1000 * times[-1]), "peak_mb": round(max(self.used(p)[1] for p in self.processes), 1),
            "disk_mb": round(disk / 1e6, 1)}), flush=True)

    async def play(self):
        self.base = 10 + os.getpid() % 200
        with tempfile.TemporaryDirectory() as self.folder:
            self.hosts, self.processes = self.start_cores(self.folder)
            self.done_changes, self.revision = 0, 1
            try:
                await asyncio.sleep(4)
                self.put_body = configuration(1, self.services, self.a.routes)
                for attempt in range(60):
                    status = await call(self.hosts[attempt % len(self.hosts)], 7500, "PUT", "/configuration",
                                        self.put_body, ["If-Match: 0"])
                    if status == 200:
                        break
                    await asyncio.sleep(0.2)
                else:
                    raise RuntimeError("the first configuration was not taken")
                began = time.monotonic()
                await self.many(range(self.a.databases), 64)
                print(json.dumps({"databases": self.a.databases, "routes": self.a.routes, "cores": self.a.cores,
                                  "register_s": round(time.monotonic() - began, 1)}), flush=True)
                for i in range(self.a.cores):
                    await self.step(f"core{i} killed, its disk kept", i, False)
                await self.step("core0 killed, its disk lost", 0, True)
            finally:
                for p in self.processes:
                    p.kill()
                    p.wait()


def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("binary")
    p.add_argument("--cores", type=int, default=3)
    p.add_argument("--databases", type=int, default=41000)
    p.add_argument("--routes", type=int, default=5000)
    p.add_argument("--changes", type=int, default=2000)
    p.add_argument("--patches", type=int, default=5)
    asyncio.run(Worst(p.parse_args()).play())


if __name__ == "__main__":
    main()
