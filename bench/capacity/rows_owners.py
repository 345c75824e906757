"""Rows of owners' connections: what a planner's own process keeps for each that is open."""

import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import msgspec
from msgspec.structs import replace

from bench import throughput
from bench.capacity.meters import Usage, usage
from bench.capacity.registry import RefusedError, measurement
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameReader

OWNERS = (64, 128, 256, 512, 1024)
FEW_OWNERS = (4, 8, 16)
NOBODY = "127.0.0.1:1"  # no list service: the planner only has its owners
ANSWER_S = 10.0
TO_OWNER = m.Codec(m.TO_OWNER)


@contextmanager
def planner_process() -> Iterator[tuple[int, str]]:
    """A planner as an operator starts it; its process number and address."""
    made = throughput.planner_config(lister=NOBODY)
    made = replace(made, limits=replace(made.limits, handshakes_a_second=1e6, handshake_burst=100_000))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "planner.json5"
        path.write_bytes(msgspec.json.encode(made))
        command = [sys.executable, "-m", "hazelhold", "planner", "--config", str(path), "--ready"]
        process = subprocess.Popen(
            [*command, "--level", "error"], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
        )
        try:
            address = process.stdout.readline().strip()
            if not address:
                raise RuntimeError(f"the planner ended with {process.wait(5)}")
            yield process.pid, address
        finally:
            process.terminate()
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def greet(address: str, name: str) -> socket.socket:
    """An owner's connection, welcomed."""
    host, _, port = address.rpartition(":")
    made = socket.create_connection((host, int(port)), timeout=ANSWER_S)
    made.sendall(m.encode(m.Hello(role="owner", name=name)))
    reader = FrameReader()
    while not (bodies := reader.feed(made.recv(65536))):
        pass
    answer = TO_OWNER.decode(bodies[0])
    if not isinstance(answer, m.Welcome):
        made.close()
        raise RefusedError(f"owner {name} was answered {answer!r}")
    return made


def open_owners(count: int) -> tuple[Usage, Usage]:
    """The planner's usage with no owner, and with so many."""
    with planner_process() as (number, address), ExitStack() as opened:
        greet(address, "first").close()  # what is loaded at the first connection counts for none
        before = usage(number)
        for owner in range(count):
            try:
                opened.enter_context(greet(address, f"owner-{owner}"))
            except OSError as wrong:
                raise RefusedError(f"connection {owner}: {wrong}") from None
        return before, usage(number)


@measurement(
    id="planner.owner.memory",
    role="owner and client",
    quantity="resident memory of the planner's process for open owners",
    unit="bytes",
    by="owners' connections",
    how="real process",
    sizes=OWNERS,
    small=FEW_OWNERS,
    note="above that with none; the kernel's buffers are not in it",
)
def owner_memory(size: int) -> Iterator[float]:
    before, after = open_owners(size)
    yield after.resident - before.resident


@measurement(
    id="planner.owner.descriptors",
    role="owner and client",
    quantity="descriptors of the planner's process",
    unit="descriptors",
    by="owners' connections",
    how="real process",
    sizes=OWNERS,
    small=FEW_OWNERS,
)
def owner_descriptors(size: int) -> Iterator[float]:
    yield open_owners(size)[1].descriptors


@measurement(
    id="planner.owner.cpu",
    role="owner and client",
    quantity="processor time of the planner's process for greeting owners",
    unit="s",
    by="owners' connections",
    how="real process",
    sizes=OWNERS,
    small=(64, 128, 256),
    note="by the kernel's count of each thread's time",
    rounds=3,
)
def owner_time(size: int) -> Iterator[float]:
    before, after = open_owners(size)
    yield after.processor - before.processor


@measurement(
    id="planner.idle.memory",
    role="planner",
    quantity="resident memory of a planner's process that has no worker",
    unit="bytes",
    by="owners' connections",
    how="real process",
    sizes=(1, 2, 4, 8),
    small=(1, 2, 4),
    note="what the interpreter, the libraries and the program take",
)
def idle_memory(size: int) -> Iterator[float]:
    yield open_owners(size)[1].resident
