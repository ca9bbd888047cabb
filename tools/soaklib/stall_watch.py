#!/usr/bin/env python3
"""Measures, in a process of its own, when this machine stands still: a timer that fires late, a write that lasts.

    stall_watch.py FOLDER BEGAN     BEGAN: seconds of the monotonic clock that count as zero

Writes one JSON object a stall to standard output until it is ended. A late timer comes with the time that its thread
was ready but not run: nearly all of it where processors are short, nearly none where the machine itself stood still.
"""
import json
import os
import sys
import threading
import time

TIMER_S = 0.01
WRITE_PAUSE_S = 0.02
STALL_S = 0.1
LINE = b"stall watch" * 8 + b"\n"


def ready_ms():
    """Milliseconds that this thread was ready to run without running."""
    with open(f"/proc/self/task/{threading.get_native_id()}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[1]) / 1e6


def report(kind, since, until, began, waited_ms=None):
    stall = {"kind": kind, "since": round((since - began) * 1000, 1), "until": round((until - began) * 1000, 1)}
    if waited_ms is not None:
        stall["waited_ms"] = round(waited_ms, 1)
    sys.stdout.write(json.dumps(stall) + "\n")
    sys.stdout.flush()


def watch_timer(began):
    while True:
        waited, before = ready_ms(), time.monotonic()
        time.sleep(TIMER_S)
        now = time.monotonic()
        if now - before > TIMER_S + STALL_S:
            report("timer", before, now, began, ready_ms() - waited)


def watch_writes(folder, began):
    """Writes as the system's processes write their logs."""
    with open(os.path.join(folder, "stall-watch.written"), "ab", buffering=0) as file:
        while True:
            before = time.monotonic()
            file.write(LINE)
            now = time.monotonic()
            if now - before > STALL_S:
                report("write", before, now, began)
            time.sleep(WRITE_PAUSE_S)


def main():
    folder, began = sys.argv[1], float(sys.argv[2])
    threading.Thread(target=watch_writes, args=(folder, began), daemon=True).start()
    watch_timer(began)


if __name__ == "__main__":
    main()
