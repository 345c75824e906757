"""Records a planner's connections, and notes of the engine inputs that are not frames, in a capture.

The engine is deterministic: the same inputs in the same order with the same timestamps lead to the same
decisions. The frames and these notes together are all its inputs.
"""

import hashlib
import inspect
import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import trio

from hazelhold import interface, scheduler
from hazelhold.capture.packets import name
from hazelhold.capture.read import MAGIC
from hazelhold.capture.write import NOTE_PACKETS, CapturedConnection, CaptureWriter
from hazelhold.config.planner import CaptureConfig, PlannerConfig


def module_digest() -> str:
    """Identifies the source of the scheduling modules by the first 16 hex digits of its SHA-256."""
    text = "".join(inspect.getsource(module) for module in (scheduler, interface))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


class Tap:
    """The capture of one run of a planner. `now` is the planner's clock in microseconds at the start."""

    def __init__(self, path: Path, limits: CaptureConfig, config: PlannerConfig, seed: int, now: int) -> None:
        offset = time.time_ns() // 1000 - now
        self.run_name = (
            f"{config.name}@{offset + now}"  # distinguishes runs of one planner, even within one file
        )
        start = {
            "n": "start",
            "p": self.run_name,
            "planner": config.name,
            "seed": seed,
            "sheet": msgspec.to_builtins(config),
            "module": module_digest(),
            "offset": offset,
            "list_lease": True,
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
        self.synthetic_count = 0
        self.pump_packet = NOTE_PACKETS.udp(MAGIC + msgspec.msgpack.encode({"n": "pump", "p": self.run_name}))
        self.synthetic_host = hashlib.sha256(self.run_name.encode()).digest()[:3]

    def captured_connection(
        self, role: str, who: str, stream: trio.abc.Stream, dialled: bool, now: int
    ) -> CapturedConnection:
        """Starts capturing a connection, with its real or else synthetic addresses."""
        near, far = self._endpoints(stream)
        captured_connection = CapturedConnection(self.writer, near, far, dialled, now)
        self.note(now, "stream", near=name(near), far=name(far), role=role, who=who)
        return captured_connection

    def pump(self, now: int) -> None:
        """Notes a run of the engine. Its packet is built once, since it is by far the most frequent note."""
        self.writer.put(now, self.pump_packet)

    def note(self, now: int, kind: str, **data: Any) -> None:  # noqa: ANN401 - plain values
        """Notes an engine input of the given kind at `now`, in microseconds of the planner's clock."""
        self.writer.note(now, {"n": kind, "p": self.run_name, **data})

    def _endpoints(self, stream: trio.abc.Stream) -> tuple[tuple[bytes, int], tuple[bytes, int]]:
        sock = getattr(stream, "socket", None)
        if sock is not None:
            try:
                addresses = [address[:2] for address in (sock.getsockname(), sock.getpeername())]
                return tuple(
                    (socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host), port)
                    for host, port in addresses
                )
            except OSError:
                pass
        self.synthetic_count += 1
        near = bytes((10,)) + self.synthetic_host
        return (near, 7400), (
            bytes((11,)) + near[1:3] + bytes((self.synthetic_count & 255,)),
            1024 + (self.synthetic_count >> 8),
        )
