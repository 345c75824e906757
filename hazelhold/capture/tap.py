"""What a planner puts into its capture: its connections, and notes of what its engine was told beside frames.

An engine that is given the same inputs in the same order with the same moments decides the same; the frames
and these notes together are those inputs.
"""

import hashlib
import inspect
import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import trio

from hazelhold import brain, interface
from hazelhold.capture.packets import name
from hazelhold.capture.read import MAGIC
from hazelhold.capture.write import NOTE_PACKETS, CapturedConnection, CaptureWriter
from hazelhold.config.planner import CaptureConfig, PlannerConfig


def module_digest() -> str:
    """Names the text of the decision files."""
    text = "".join(inspect.getsource(module) for module in (brain, interface))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class Tap:
    """One planner's capture. `now` is the planner's clock in microseconds at the start."""

    def __init__(self, path: Path, limits: CaptureConfig, config: PlannerConfig, seed: int, now: int) -> None:
        offset = time.time_ns() // 1000 - now
        self.life = f"{config.name}@{offset + now}"  # a planner's lives are told apart, also in one file
        start = {
            "n": "start",
            "p": self.life,
            "planner": config.name,
            "seed": seed,
            "sheet": msgspec.to_builtins(config),
            "module": module_digest(),
            "offset": offset,
        }
        self.writer = CaptureWriter(
            path,
            start,
            offset,
            now,
            round(limits.rotate_mb * 1e6),
            limits.rotate_s,
            round(limits.total_mb * 1e6),
            round(limits.queue_mb * 1e6),
        )
        self.made = 0
        self.pumped = NOTE_PACKETS.udp(MAGIC + msgspec.msgpack.encode({"n": "pump", "p": self.life}))
        self.house = hashlib.sha256(self.life.encode()).digest()[:3]

    def captured_connection(
        self, role: str, who: str, stream: trio.abc.Stream, dialled: bool, now: int
    ) -> CapturedConnection:
        """A new connection with its true addresses; made-up ones where it has none."""
        near, far = self._ends(stream)
        captured_connection = CapturedConnection(self.writer, near, far, dialled, now)
        self.note(now, "stream", near=name(near), far=name(far), role=role, who=who)
        return captured_connection

    def pump(self, now: int) -> None:
        """The note that is made most often: every decision follows one."""
        self.writer.put(now, self.pumped)

    def note(self, now: int, kind: str, **data: Any) -> None:  # noqa: ANN401 - plain values
        self.writer.note(now, {"n": kind, "p": self.life, **data})

    def _ends(self, stream: trio.abc.Stream) -> tuple[tuple[bytes, int], tuple[bytes, int]]:
        sock = getattr(stream, "socket", None)
        if sock is not None:
            try:
                ends = [address[:2] for address in (sock.getsockname(), sock.getpeername())]
                return tuple(
                    (socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host), port)
                    for host, port in ends
                )
            except OSError:
                pass
        self.made += 1
        here = bytes((10,)) + self.house
        return (here, 7400), (bytes((11,)) + here[1:3] + bytes((self.made & 255,)), 1024 + (self.made >> 8))
