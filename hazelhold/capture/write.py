"""Writes a planner's exchanges as captures. The planner only queues bytes; a thread of its own writes them.

A disk that is full or slow never holds a decision up: what finds the queue full is counted, and the next
packet that does find room is preceded by a note that says how much is missing.
"""

import contextlib
import threading
import time
from collections import deque
from pathlib import Path
from typing import Any

import msgspec

from hazelhold.capture.files import file_head, record
from hazelhold.capture.packets import ACK, FIN, PSH, SYN, PacketBuilder
from hazelhold.capture.read import MAGIC

End = tuple[bytes, int]
SEGMENT = 60_000
PAUSE = 0.05  # seconds between writes
NOTE_PACKETS = PacketBuilder(
    (b"\x7f\0\0\1", 9), (b"\x7f\0\0\1", 9)
)  # our own notes seem to go to the discard port


class CapturedConnection:
    """One connection: keeps both directions' sequence numbers."""

    def __init__(self, writer: "CaptureWriter", near: End, far: End, dialled: bool, at: int) -> None:
        self.writer = writer
        self.ways = {True: PacketBuilder(near, far), False: PacketBuilder(far, near)}
        self.seq = {True: 1000, False: 5000}  # of what leaves here, of what comes
        self.open = True
        self._packet(dialled, b"", SYN, at)
        self._packet(not dialled, b"", SYN | ACK, at)
        self._packet(dialled, b"", ACK, at)

    def data(self, leaves: bool, body: bytes, at: int) -> None:
        """Bytes that left or came."""
        for start in range(0, len(body), SEGMENT):
            self._packet(leaves, body[start : start + SEGMENT], PSH | ACK, at)

    def close(self, at: int) -> None:
        if self.open:
            self.open = False
            for leaves in (True, False):
                self._packet(leaves, b"", FIN | ACK, at)
            self._packet(True, b"", ACK, at)

    def _packet(self, leaves: bool, payload: bytes, flags: int, at: int) -> None:
        ack = self.seq[not leaves] if flags & ACK else 0
        self.writer.put(at, self.ways[leaves].tcp(payload, self.seq[leaves], ack, flags))
        self.seq[leaves] = (self.seq[leaves] + len(payload) + bool(flags & (SYN | FIN))) & 0xFFFFFFFF


class CaptureWriter:
    """A capture of bounded size on disk.

    `path` with the suffix .pcapng makes that format, any other classic pcap. With `rotate_bytes` or
    `rotate_s` the files are path-000001 and so on, and the oldest go so that all stay under `total_bytes`.
    `start` is the note that every file begins with. Moments are those of the planner's clock, put on the
    wall clock by `offset`.
    """

    def __init__(
        self,
        path: Path,
        start: dict[str, Any],
        offset: int,
        now: int = 0,
        rotate_bytes: int = 0,
        rotate_s: float = 0.0,
        total_bytes: int = 0,
        queue_bytes: int = 1 << 24,
    ) -> None:
        self.path, self.start, self.offset = path, start, offset
        self.ng = path.suffix == ".pcapng"
        self.rotate_bytes, self.rotate_s, self.total_bytes = rotate_bytes, rotate_s, total_bytes
        self.queue_bytes = queue_bytes
        self.queue: deque[tuple[int, bytes]] = deque()
        self.queued = 0
        self.lost = self.lost_bytes = self.lost_in_all = 0
        self.number = 0
        self.kept: deque[tuple[Path, int]] = deque()
        self.file = None
        self.fault = ""
        self.ended, self.ending = threading.Event(), False
        self._begin(now + offset, first=True)
        self.thread = threading.Thread(target=self._run, name="capture", daemon=True)
        self.thread.start()

    def put(self, at: int, packet: bytes) -> None:
        """Queues a packet, or counts it as lost. Passed over once the capture has ended."""
        if self.ending:
            return
        data = record(self.ng, at + self.offset, packet)
        if self.queued + len(data) > self.queue_bytes:
            self.lost += 1
            self.lost_bytes += len(data)
            self.lost_in_all += 1
            return
        if self.lost:
            lost, self.lost = self.lost, 0
            self.note(at, {"n": "lost", "p": self.start["p"], "packets": lost, "bytes": self.lost_bytes})
            self.lost_bytes = 0
        self.queued += len(data)
        self.queue.append((at + self.offset, data))

    def note(self, at: int, data: dict[str, Any]) -> None:
        """A note of our own, in a datagram."""
        self.put(at, NOTE_PACKETS.udp(MAGIC + msgspec.msgpack.encode(data)))

    def end(self) -> None:
        """Takes nothing more. To be called by the thread that puts packets, so that the capture does not end
        between something that came and what was answered to it."""
        self.ending = True
        self.ended.set()

    def close(self) -> None:
        """Ends it, and waits until what is queued is written: two seconds at most. In any thread."""
        self.end()
        self.thread.join(2.0)

    # In the thread.

    def _begin(self, at: int, first: bool = False) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None
        self.number += 1
        path = self.path
        if self.rotate_bytes or self.rotate_s:
            path = path.with_name(f"{path.stem}-{self.number:06d}{path.suffix}")
        if first:
            path.parent.mkdir(parents=True, exist_ok=True)
        self.file = path.open("wb", buffering=0)
        head = file_head(self.ng) + record(
            self.ng, at, NOTE_PACKETS.udp(MAGIC + msgspec.msgpack.encode(self.start | {"file": self.number}))
        )
        self.file.write(head)
        self.size, self.began = len(head), time.monotonic()
        self.kept.append((path, len(head)))

    def _run(self) -> None:
        while not self.ending or self.queue:
            self.ended.wait(PAUSE)  # waking for each packet would cost the planner more than writing does
            while self.queue:
                batch: list[bytes] = []
                at, size = self.queue[0][0], 0
                while self.queue and size < 1 << 16:
                    batch.append(self.queue.popleft()[1])
                    size += len(batch[-1])
                self._write(at, batch, size)
        if self.file is not None:
            with contextlib.suppress(OSError):
                self.file.close()

    def _write(self, at: int, batch: list[bytes], size: int) -> None:
        try:
            if self.file is None:
                self._begin(at)
            if (
                self.rotate_bytes
                and self.size + size > self.rotate_bytes
                or self.rotate_s
                and time.monotonic() - self.began > self.rotate_s
            ):
                self._begin(at)
                self._make_room()
            data = b"".join(batch)
            done = 0
            while done < size:
                done += self.file.write(data[done:])
            self.size += size
            self.kept[-1] = self.kept[-1][0], self.size
        except OSError as wrong:
            self.fault = wrong.strerror or str(wrong)
            self.lost += len(batch)
            self.lost_bytes += size
            self.lost_in_all += len(batch)
            if not self.ending:
                time.sleep(0.1)
            if self.file is not None:
                with contextlib.suppress(OSError):  # what was written in part is cut off again
                    self.file.truncate(self.size)
                    self.file.seek(self.size)
        finally:
            self.queued -= size

    def _make_room(self) -> None:
        while (
            self.total_bytes
            and len(self.kept) > 1
            and (sum(size for _, size in self.kept) + self.rotate_bytes > self.total_bytes)
        ):
            path, _ = self.kept.popleft()
            path.unlink(missing_ok=True)
