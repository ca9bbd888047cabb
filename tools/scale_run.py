#!/usr/bin/env python3
"""Real cores over loopback, with hollow nodes and databases in this one process speaking the same messages.

    tools/scale_run.py BINARY [--cores 5] [--sizes 100,300,1000] [--databases-per-node 2] [--seconds 8]

For each size: starts the cores, lets the databases register, links the nodes (each renews its lease every 0.3 s and
takes its feed), puts a configuration, changes one route every second, and prints a line of figures. Bounded: SECONDS a
size, as many processes as cores, and it ends them all. Not part of CI; `--sizes 20 --seconds 3` is the small twin.
"""
import argparse
import asyncio
import json
import os
import subprocess
import tempfile
import time

from soaklib.http_calls import call as http_call

RENEW_S = 0.3


def configuration(revision, services, routes):
    return json.dumps({
        "Revision": revision,
        "Routes": [{"Name": f"r{i}", "Hostname": f"h{i}", "PathPrefix": "/", "RouteType": "primary",
                    "TimeoutMs": 500 + (revision if i == 0 else 0), "TargetService": f"s{i % services}"}
                   for i in range(routes)],
        "Services": [{"Name": f"s{i}", "MaxConnections": 50, "SyncReplicas": 1} for i in range(services)]})


async def call(*request):
    """The status of the answer; 0 where there was none."""
    status, _ = await http_call(*request)
    return status


def start_cores(binary, cores, folder, base, command="controller"):
    """Starts controllers with settings and disks of their own in a folder; returns their hosts and processes."""
    processes = []
    hosts = [f"127.0.{base}.{i + 1}" for i in range(cores)]
    for i, host in enumerate(hosts):
        data = os.path.join(folder, f"core{i}")
        os.mkdir(data)
        settings = {"NodeName": f"core{i}", "IpAddress": host, "Zone": "z",
                    "Listeners": {"ControlPlane": f"{host}:7500"}, "InternalPortRange": [7440, 7455],
                    "SeedNodes": [f"{h}:7500" for h in hosts[:3]], "Bootstrap": True, "DataDirectory": data,
                    "FaultTolerance": {"MachineLosses": cores // 2}}
        path = os.path.join(folder, f"core{i}.json")
        with open(path, "w") as f:
            json.dump(settings, f)
        processes.append(subprocess.Popen([binary, command], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                                          env=dict(os.environ, PEBBLESPINDLE_SETTINGS=path)))
    return hosts, processes


class Node:
    def __init__(self, name, host, port, run):
        self.name, self.host, self.port, self.run = name, host, port, run
        self.have, self.bytes, self.grants, self.messages = 0, 0, 0, 0

    async def live(self):
        reader, writer = await asyncio.open_connection(self.host, self.port, limit=1 << 24)
        say = lambda m: writer.write((json.dumps(m) + "\n").encode())
        say({"t": "hi", "node": self.name, "zone": "z", "have": 0})

        async def renew():
            while True:
                say({"t": "renew", "at": 1, "ack": self.have})
                await asyncio.sleep(RENEW_S)

        renewing = asyncio.create_task(renew())
        try:
            while True:
                line = await reader.readline()
                if not line:
                    self.run.lost += 1
                    return
                self.bytes += len(line)
                self.messages += 1
                m = json.loads(line)
                if m["t"] == "grant":
                    self.grants += 1
                elif m["t"] == "up":
                    if "left" in m:
                        say({"t": "got"})
                    if not m.get("left"):
                        self.have = m["k"]
                    for row in m["r"]:
                        if row[0] == "h":
                            self.run.told(json.loads(row[2])[0])
        finally:
            renewing.cancel()


class Run:
    def __init__(self, binary, cores, nodes, databases, seconds):
        self.binary, self.cores, self.nodes_wanted = binary, cores, nodes
        self.databases, self.seconds = databases, seconds
        self.lost, self.counts, self.done = 0, {}, {}

    def told(self, revision):
        self.counts[revision] = self.counts.get(revision, 0) + 1
        if self.counts[revision] == self.nodes_wanted:
            self.done[revision] = time.monotonic()

    def start_cores(self, folder):
        return start_cores(self.binary, self.cores, folder, self.base)

    @staticmethod
    def used(process):
        with open(f"/proc/{process.pid}/stat") as f:
            fields = f.read().rsplit(")", 1)[1].split()
        with open(f"/proc/{process.pid}/status") as f:
            rss = next(int(l.split()[1]) for l in f if l.startswith("VmHWM"))
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), rss / 1024

    async def play(self):
        self.base = 10 + os.getpid() % 200
        with tempfile.TemporaryDirectory() as folder:
            hosts, processes = self.start_cores(folder)
            try:
                return await asyncio.wait_for(self.measure(hosts, processes), self.seconds + 90)
            finally:
                for p in processes:
                    p.kill()
                    p.wait()

    async def put(self, hosts, base, revision):
        for attempt in range(60):
            host = hosts[attempt % len(hosts)]
            try:
                status = await call(host, 7500, "PUT", "/configuration",
                                    configuration(revision, self.services, self.services),
                                    [f"If-Match: {base}", "Content-Type: application/json"])
            except OSError:
                status = 0
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(0.2)
        raise RuntimeError("no configuration was taken")

    async def measure(self, hosts, processes):
        self.services = max(1, self.databases // 3)
        await asyncio.sleep(4)
        await self.put(hosts, 0, 1)
        began = time.monotonic()
        gate = asyncio.Semaphore(64)

        async def register(i):
            body = json.dumps({"TargetService": f"s{i % self.services}", "Address": f"10.9.{i // 250}.{i % 250}:80",
                               "Zone": "z", "State": "available", "CallCount": 1, "Capacity": 4,
                               "DatabaseRole": "primary" if i < self.services else "replica"})
            async with gate:
                while await call(hosts[i % len(hosts)], 7500, "PUT", f"/instances/i-{i}", body) != 200:
                    await asyncio.sleep(0.1)

        await asyncio.gather(*(register(i) for i in range(self.databases)))
        registered = time.monotonic() - began
        nodes = [Node(f"n{i}", hosts[i % len(hosts)], 7440, self) for i in range(self.nodes_wanted)]
        tasks = [asyncio.create_task(n.live()) for n in nodes]
        began = time.monotonic()
        while any(n.have == 0 for n in nodes) and time.monotonic() < began + 40:
            await asyncio.sleep(0.02)
        joined = time.monotonic() - began
        await asyncio.sleep(1)
        before = [self.used(p)[0] for p in processes]
        received = sum(n.bytes for n in nodes)
        messages = sum(n.messages for n in nodes)
        began = time.monotonic()
        delays = []
        for revision in range(2, 2 + self.seconds):
            sent = await self.put(hosts, revision - 1, revision)
            await asyncio.sleep(max(0, began + revision - 1 - time.monotonic()))
            if revision in self.done:
                delays.append(self.done[revision] - sent)
        span = time.monotonic() - began
        after = [self.used(p) for p in processes]
        for t in tasks:
            t.cancel()
        per_core = sorted((a[0] - b) / span for a, b in zip(after, before))
        return {"nodes": self.nodes_wanted, "databases": self.databases, "cores": self.cores,
                "register_s": round(registered, 2), "join_s": round(joined, 2),
                "core_cpu_mean": round(sum(per_core) / len(per_core), 4), "core_cpu_most": round(per_core[-1], 4),
                "core_peak_mb": round(max(a[1] for a in after), 1),
                "node_bytes_s": round((sum(n.bytes for n in nodes) - received) / span / len(nodes)),
                "messages_s": round((sum(n.messages for n in nodes) - messages) / span),
                "last_node_ms": round(1000 * max(delays)) if delays else None,
                "changes_delivered": len(delays), "links_lost": self.lost}


def main():
    p = argparse.ArgumentParser()
    p.add_argument("binary")
    p.add_argument("--cores", type=int, default=5)
    p.add_argument("--sizes", default="100,300,1000")
    p.add_argument("--databases-per-node", type=float, default=2)
    p.add_argument("--seconds", type=int, default=8)
    a = p.parse_args()
    for size in a.sizes.split(","):
        n = int(size)
        print(json.dumps(asyncio.run(Run(a.binary, a.cores, n, max(3, int(n * a.databases_per_node)),
                                         a.seconds).play())), flush=True)


if __name__ == "__main__":
    main()
