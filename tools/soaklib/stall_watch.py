#!/usr/bin/env python3
"""Measures, in processes of its own, when this machine stands still: a timer that fires late, a write or a sync of a
file that lasts. Each processor has a process that runs on it alone, since one of them may stand still by itself: what
runs on the others is on time then, but a process that ends has to wait for all.

    stall_watch.py FOLDER BEGAN     BEGAN: seconds of the monotonic clock that count as zero

Writes one JSON object a stall to standard output until it is ended. A late timer comes with its processor, with the time
that its thread was ready but not run (nearly all of it where processors are short, nearly none where the machine itself
stood still), and with the time that the host took from this processor.
"""
import ctypes
import json
import os
import signal
import sys
import threading
import time

TIMER_S = 0.02
STEAL_FIELD = 8  # of a processor's line in /proc/stat
SET_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)
WRITE_PAUSE_S = 0.02
SYNC_PAUSE_S = 0.1
STALL_S = 0.1
LINE = b"stall watch" * 8 + b"\n"


def ready_ms():
    """Milliseconds that this thread was ready to run without running."""
    with open(f"/proc/self/task/{threading.get_native_id()}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[1]) / 1e6


def stolen_ms(processor):
    """Milliseconds that the host has taken from a processor."""
    with open("/proc/stat", encoding="ascii") as file:
        for line in file:
            if line.startswith(f"cpu{processor} "):
                return int(line.split()[STEAL_FIELD]) * 1000 / os.sysconf("SC_CLK_TCK")
    return 0.0


def report(kind, since, until, began, **details):
    stall = {"kind": kind, "since": round((since - began) * 1000, 1), "until": round((until - began) * 1000, 1)}
    os.write(sys.stdout.fileno(), (json.dumps(stall | details) + "\n").encode())


def watch_timer(processor, began):
    os.sched_setaffinity(0, {processor})
    while True:
        waited, stolen, before = ready_ms(), stolen_ms(processor), time.monotonic()
        time.sleep(TIMER_S)
        now = time.monotonic()
        if now - before > TIMER_S + STALL_S:
            report("timer", before, now, began, processor=processor, waited_ms=round(ready_ms() - waited, 1),
                   stolen_ms=stolen_ms(processor) - stolen)


def watch_file(kind, folder, began, pause_s, use):
    with open(os.path.join(folder, f"stall-watch.{kind}"), "ab", buffering=0) as file:
        while True:
            before = time.monotonic()
            use(file)
            now = time.monotonic()
            if now - before > STALL_S:
                report(kind, before, now, began)
            time.sleep(pause_s)


def write_line(file):
    """As the system's processes write their logs."""
    file.write(LINE)


def write_and_sync(file):
    """As controllers write their state."""
    file.write(LINE)
    os.fsync(file.fileno())


def die_with(parent):
    """Ends this process when its parent ends, however that comes."""
    ctypes.CDLL(None).prctl(SET_DEATH_SIGNAL, signal.SIGKILL)
    if os.getppid() != parent:
        sys.exit(0)


def main():
    folder, began = sys.argv[1], float(sys.argv[2])
    parent = os.getpid()
    for processor in sorted(os.sched_getaffinity(0)):
        if os.fork() == 0:
            die_with(parent)
            watch_timer(processor, began)
    for kind, pause_s, use in (("write", WRITE_PAUSE_S, write_line), ("sync", SYNC_PAUSE_S, write_and_sync)):
        threading.Thread(target=watch_file, args=(kind, folder, began, pause_s, use), daemon=True).start()
    signal.pause()


if __name__ == "__main__":
    main()
