"""Loaded by a planner process at its start (PYTHONPATH): wall clock steps and failing system calls.

`HAZELHOLD_FAULTS` names a JSON file of `tests.faults.shim_plan`. Times in it are seconds of CLOCK_MONOTONIC.
The kernel answers whatever is not drawn to fail, so that only what Linux documents is injected.
"""

import contextlib
import errno
import json
import os
import random
import socket
import time

REAL_TIME, REAL_TIME_NS = time.time, time.time_ns


class Plan:
    """The faults of one process."""

    def __init__(self, raw: dict) -> None:
        self.random = random.Random(raw["seed"])
        self.steps = raw["clock_steps"]
        self.faults = raw["calls"]

    def clock_offset(self) -> float:
        now = time.monotonic()
        return sum(step["seconds"] for step in self.steps if step["at"] <= now)

    def error(self, call: str) -> int | None:
        """The error number that this call is to fail with, or None."""
        now = time.monotonic()
        for fault in self.faults:
            hit = fault["call"] == call and fault["start"] <= now < fault["end"]
            if hit and self.random.random() < fault["share"]:
                return getattr(errno, self.random.choice(fault["errors"]))
        return None

    def is_short(self, call: str) -> bool:
        return self.error("short_" + call) is not None


def install(plan: Plan) -> None:
    """Puts the faults between Python's calls and the kernel, before any library has taken hold of them."""
    time.time = lambda: REAL_TIME() + plan.clock_offset()
    time.time_ns = lambda: REAL_TIME_NS() + int(plan.clock_offset() * 1e9)
    kind = socket.socket
    real_init, real_accept = kind.__init__, kind.accept
    real_connect, real_recv, real_send = kind.connect, kind.recv, kind.send

    def fail(number: int) -> None:
        raise OSError(number, os.strerror(number))

    def fail_broken(opened: socket.socket, number: int) -> None:
        """A connection that failed once stays broken."""
        with contextlib.suppress(OSError):
            ports = opened.getsockname()[1], opened.getpeername()[1]
            os.write(2, b"SHIM_BROKE %d %d %.6f\n" % (*ports, time.monotonic()))
            opened.shutdown(socket.SHUT_RDWR)
        fail(number)

    def init(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:  # noqa: ANN001
        if fileno is None and (number := plan.error("socket")):
            fail(number)
        real_init(self, family, type, proto, fileno)

    def accept(self) -> tuple:  # noqa: ANN001
        if number := plan.error("accept"):
            fail(number)
        accepted, address = real_accept(self)
        os.write(2, b"SHIM_ACCEPTED %d %.6f\n" % (address[1], time.monotonic()))
        return accepted, address

    def connect(self, address: object) -> None:  # noqa: ANN001
        if number := plan.error("connect"):
            fail(number)
        return real_connect(self, address)

    def recv(self, size: int, *flags: int) -> bytes:  # noqa: ANN001
        if self.family != socket.AF_INET:
            return real_recv(self, size, *flags)
        if number := plan.error("recv"):
            fail_broken(self, number)
        return real_recv(self, 1 + plan.random.randrange(40) if plan.is_short("recv") else size, *flags)

    def send(self, data: bytes, *flags: int) -> int:  # noqa: ANN001
        if self.family != socket.AF_INET:
            return real_send(self, data, *flags)
        if number := plan.error("send"):
            fail_broken(self, number)
        if plan.is_short("send"):
            data = memoryview(data)[: 1 + plan.random.randrange(40)]
        return real_send(self, data, *flags)

    kind.__init__, kind.accept, kind.connect, kind.recv, kind.send = init, accept, connect, recv, send


if path := os.environ.get("HAZELHOLD_FAULTS"):
    with open(path, encoding="utf-8") as held:
        install(Plan(json.load(held)))
