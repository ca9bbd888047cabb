"""The system's own processes: settings, start, signals, ends; each machine has a loopback address of its own."""
import asyncio
import fcntl
import json
import os
import signal
import socket
import subprocess
import tempfile

from soaklib.controller_links import ControllerLinks
from soaklib.history import ProcessEnd, ResourceSample, Trouble

FIRST_PORT = 7440
CONTROL_PORT, FRONT_PORT, READY_PORT, APP_PORT, DATABASE_PORT, PLATFORM_PORT = 7500, 7501, 7502, 7503, 7504, 7505
ZONES = ["hall-a", "hall-b", "hall-c"]
POLL_S = 0.01
RESTART_S = 0.4


class Machine:
    """A machine with the processes of its class; `controller`, or `agent` beside `pooler` or `sidecar`."""

    def __init__(self, name, host, zone, commands):
        self.name, self.host, self.zone, self.commands = name, host, zone, commands
        self.processes = {}
        self.generation = 0

    def address(self, port):
        return self.host, port


class Fleet:
    def __init__(self, binary, history, clock, sizes, seed):
        self.binary, self.history, self.clock, self.sizes = binary, history, clock, sizes
        self.folder = tempfile.mkdtemp(prefix="soak-")
        self.network, self.network_lock = free_network()
        self.restarts = 0
        self.ending = False
        self.controllers = [Machine(f"core-{i}", f"{self.network}.1.{i + 1}", ZONES[i % 3], ["controller"])
                            for i in range(sizes.controllers)]
        self.links = {machine.name: ControllerLinks(machine.name, machine.address(FIRST_PORT),
                                                    (f"{self.network}.5.{i + 1}", FIRST_PORT), seed)
                      for i, machine in enumerate(self.controllers)}
        proxy = "sidecar" if sizes.mesh else "pooler"
        self.edges = [Machine(f"{proxy}-{i}", f"{self.network}.2.{i + 1}", ZONES[i % 3], ["agent", proxy])
                      for i in range(sizes.edges)]

    @property
    def machines(self):
        return self.controllers + self.edges

    def database_host(self, number):
        return f"{self.network}.3.{number + 1}"

    def platform_host(self):
        return f"{self.network}.4.1"

    async def start_all(self):
        for links in self.links.values():
            await links.start()
        for machine in self.machines:
            self.write_settings(machine, bootstrap=True)
            self.start(machine)

    def end_bootstrap(self):
        """Bootstrap is true at the very first start only."""
        for machine in self.machines:
            self.write_settings(machine)

    def write_settings(self, machine, bootstrap=False):
        bounds = self.history.bounds
        core = machine in self.controllers
        listeners = {"ControlPlane": f"{machine.host}:{CONTROL_PORT}"}
        if not core and not self.sizes.mesh:
            listeners = {"Frontend": f"{machine.host}:{FRONT_PORT}", "Readiness": f"{machine.host}:{READY_PORT}"}
        elif not core:
            listeners |= {"OutboundAddr": f"{machine.host}:{FRONT_PORT}", "Readiness": f"{machine.host}:{READY_PORT}",
                          "InboundAddr": f"{machine.host}:{APP_PORT + 10}"}
        settings = {
            "NodeName": machine.name, "IpAddress": machine.host, "Zone": machine.zone, "Listeners": listeners,
            "InternalPortRange": [FIRST_PORT, FIRST_PORT + 15],
            "AgentLinkAddr": f"{machine.host}:{FIRST_PORT + 1}",
            "SeedNodes": [f"{seed.host}:{CONTROL_PORT}" for seed in self.controllers[:3]],
            "Bootstrap": bootstrap and core, "HeartbeatMs": 1000,
            "DataDirectory": self.disk(machine) if core else None,
            "FaultTolerance": {"MachineLosses": len(self.controllers) // 2},
            "Limits": {"MaxOpenFiles": 4000},
            "Bounds": {"DrainMs": bounds.drain_ms, "GracePeriodS": bounds.grace_ms / 1000,
                       "ContactMs": bounds.contact_ms, "ConfigApplyMs": bounds.config_apply_ms, "RetryRatio": 0.2,
                       "RetryWindowS": 10, "RetrySlack": 70},
            "PlatformApi": {"Address": f"{self.platform_host()}:{PLATFORM_PORT}"}}
        if self.sizes.mesh and not core:
            settings |= {"TargetService": service_of(self.edges.index(machine), self.sizes),
                         "AppServerAddr": f"{machine.host}:{APP_PORT}"}
        if core:
            settings["ControlLinkAddr"] = "{}:{}".format(*self.links[machine.name].inner)
        path = self.settings_path(machine)
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(path + ".new", path)

    def settings_path(self, machine):
        return os.path.join(self.folder, machine.name + ".json")

    def disk(self, machine):
        path = os.path.join(self.folder, machine.name + ".disk")
        os.makedirs(path, exist_ok=True)
        return path

    def wipe(self, machine):
        path = self.disk(machine)
        for name in os.listdir(path):
            os.remove(os.path.join(path, name))

    def start(self, machine):
        """Starts what does not run of a machine's processes."""
        for command in machine.commands:
            if command not in machine.processes:
                self.start_process(machine, command)

    def start_process(self, machine, command):
        log = open(os.path.join(self.folder, f"{machine.name}.{command}.log"), "ab")
        process = subprocess.Popen([self.binary, command], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                   env=dict(os.environ, PEBBLESPINDLE_SETTINGS=self.settings_path(machine)))
        log.close()
        machine.processes[command] = process
        machine.generation += 1
        process.asked_at, process.killed, process.outlived, process.at_deadline = None, False, False, {}
        asyncio.get_running_loop().create_task(self.watch(machine, command, process))

    async def watch(self, machine, command, process):
        """Takes note of the end of a process, and starts it again, as the platform does."""
        while process.poll() is None:
            await asyncio.sleep(POLL_S)
        expected = process.asked_at is not None or process.killed
        self.history.process_ends.append(ProcessEnd(f"{machine.name}/{command}", self.clock(), process.returncode,
                                                    expected or self.ending, process.asked_at,
                                                    process.outlived, process.at_deadline))
        if machine.processes.get(command) is process:
            del machine.processes[command]
        await asyncio.sleep(RESTART_S)
        if not self.ending and command not in machine.processes:
            self.restarts += 1
            self.start_process(machine, command)

    def trouble(self, kind, target, span_ms, planned, core=False):
        now = self.clock()
        self.history.troubles.append(Trouble(kind, target, now, now + span_ms, planned, core))

    def signal(self, machine, number):
        for process in list(machine.processes.values()):
            if process.poll() is None:
                process.send_signal(number)

    def is_core(self, machine):
        return machine in self.controllers

    async def terminate(self, machine):
        """SIGTERM, and SIGKILL after the grace period to what still runs."""
        grace_ms = self.history.bounds.grace_ms
        self.trouble("sigterm", machine.name, grace_ms + 1000, True, self.is_core(machine))
        ending = self.ask_to_end(machine)
        await asyncio.sleep(grace_ms / 1000)
        for process in ending:
            if process.poll() is None and process.asked_at + grace_ms <= self.clock():
                process.at_deadline = {"late_ms": round(self.clock() - process.asked_at - grace_ms, 1)} | \
                    read_scheduling(process.pid)
                process.killed = process.outlived = True
                process.kill()

    def ask_to_end(self, machine):
        """SIGTERM; the processes that it was sent to."""
        asked = list(machine.processes.values())
        for process in asked:
            if process.asked_at is None:
                process.asked_at = self.clock()
        self.signal(machine, signal.SIGTERM)
        return asked

    def hang_up(self, machine):
        self.trouble("sighup", machine.name, 0, True, self.is_core(machine))
        self.signal(machine, signal.SIGHUP)

    def kill(self, machine, wipe=False):
        self.trouble("wipe" if wipe else "sigkill", machine.name, RESTART_S * 1000, False, self.is_core(machine))
        for process in machine.processes.values():
            process.killed = True
            process.kill()
            process.wait()
        if wipe:
            self.wipe(machine)

    async def freeze(self, machine, seconds):
        self.trouble("freeze", machine.name, seconds * 1000, False, self.is_core(machine))
        frozen = list(machine.processes.values())
        self.signal(machine, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for process in frozen:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    def sample_resources(self):
        for machine in self.machines:
            for command, process in list(machine.processes.items()):
                sample = read_resources(process.pid)
                if sample:
                    name = f"{machine.name}/{command}/{process.pid}"
                    self.history.resources.append(ResourceSample(name, self.clock(), *sample, self.restarts))

    def end(self):
        self.ending = True
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()

    def logs_of(self, machine_name):
        parts = []
        for name in sorted(os.listdir(self.folder)):
            if name.startswith(machine_name + ".") and name.endswith(".log"):
                with open(os.path.join(self.folder, name), encoding="utf-8", errors="replace") as file:
                    parts.append(f"{name}:\n{file.read()[-2000:]}")
        return "\n".join(parts)


def service_of(number, sizes):
    return f"service-{number % sizes.services}"


def read_resources(pid):
    """(descriptors, kB in memory) of a process; none once it has ended."""
    try:
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        with open(f"/proc/{pid}/status", encoding="utf-8") as file:
            memory = next((int(line.split()[1]) for line in file if line.startswith("VmRSS")), 0)
        return descriptors, memory
    except OSError:
        return None


def read_scheduling(pid):
    """State, what it waits for in the kernel, and its times on and for a processor, in ms; empty once it has ended."""
    try:
        texts = {}
        for name in ("stat", "wchan", "schedstat"):
            with open(f"/proc/{pid}/{name}", encoding="ascii", errors="replace") as file:
                texts[name] = file.read()
        ran, waited = (int(figure) / 1e6 for figure in texts["schedstat"].split()[:2])
        return {"state": texts["stat"].rpartition(")")[2].split()[0], "waits_in": texts["wchan"],
                "ran_ms": round(ran, 1), "waited_ms": round(waited, 1)}
    except (OSError, ValueError, IndexError):
        return {}


def free_network():
    """(127.x whose first addresses nobody listens at, a lock on it that lasts as long as the file is open)."""
    for step in range(180):
        network = f"127.{40 + (os.getpid() + step * 7) % 180}"
        lock = open(os.path.join(tempfile.gettempdir(), f"soak-network-{network}.lock"), "w", encoding="utf-8")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            for host, port in ((f"{network}.1.1", CONTROL_PORT), (f"{network}.4.1", PLATFORM_PORT)):
                with socket.socket() as probe:
                    probe.bind((host, port))
                    probe.listen()
            return network, lock
        except OSError:
            lock.close()
    raise OSError("no free loopback network")
