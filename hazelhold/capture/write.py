"""Writes a planner's traffic as captures. The planner only queues bytes; a separate thread writes them.

A full or slow disk never delays a decision: packets that do not fit into the queue are dropped and counted,
and a note of how many are missing precedes the next packet that fits.
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
MAX_SEGMENT_BYTES = 60_000
WRITE_INTERVAL_S = 0.05
# Notes are addressed to the discard port of the loopback address.
NOTE_PACKETS = PacketBuilder((b"\x7f\0\0\1", 9), (b"\x7f\0\0\1", 9))


class CapturedConnection:
    """One TCP connection in the capture, with the sequence numbers of both directions."""

    def __init__(self, writer: "CaptureWriter", near: End, far: End, dialled: bool, at: int) -> None:
        self.writer = writer
        self.builders = {True: PacketBuilder(near, far), False: PacketBuilder(far, near)}
        # The next sequence number by direction (True: the planner sends).
        self.seq = {True: 1000, False: 5000}
        self.open = True
        self._packet(dialled, b"", SYN, at)
        self._packet(not dialled, b"", SYN | ACK, at)
        self._packet(dialled, b"", ACK, at)

    def data(self, outgoing: bool, body: bytes, at: int) -> None:
        """Records bytes that the planner sent (`outgoing`) or received."""
        for start in range(0, len(body), MAX_SEGMENT_BYTES):
            self._packet(outgoing, body[start : start + MAX_SEGMENT_BYTES], PSH | ACK, at)

    def close(self, at: int) -> None:
        """Records the close of both directions. Further calls have no effect."""
        if self.open:
            self.open = False
            for outgoing in (True, False):
                self._packet(outgoing, b"", FIN | ACK, at)
            self._packet(True, b"", ACK, at)

    def _packet(self, outgoing: bool, payload: bytes, flags: int, at: int) -> None:
        ack = self.seq[not outgoing] if flags & ACK else 0
        self.writer.put(at, self.builders[outgoing].tcp(payload, self.seq[outgoing], ack, flags))
        self.seq[outgoing] = (self.seq[outgoing] + len(payload) + bool(flags & (SYN | FIN))) & 0xFFFFFFFF


class CaptureWriter:
    """A capture of bounded size on disk.

    `path` with the suffix .pcapng makes that format, any other classic pcap. With `rotate_bytes` or
    `rotate_s` the files are numbered path-000001 and so on, and the oldest are deleted so that all stay under
    `total_bytes`. Every file begins with the note `start`. Times are microseconds of the planner's clock;
    `offset` converts them to the wall clock.
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
        self.is_pcapng = path.suffix == ".pcapng"
        self.rotate_bytes, self.rotate_s, self.total_bytes = rotate_bytes, rotate_s, total_bytes
        self.queue_bytes = queue_bytes
        self.queue: deque[tuple[int, bytes]] = deque()
        self.queued = 0
        self.lost = self.lost_bytes = self.total_lost = 0
        self.file_number = 0
        self.files: deque[tuple[Path, int]] = deque()
        self.file = None
        self.fault = ""
        self.stop_event, self.stopping = threading.Event(), False
        self._open_file(now + offset, first=True)
        self.thread = threading.Thread(target=self._run, name="capture", daemon=True)
        self.thread.start()

    def put(self, at: int, packet: bytes) -> None:
        """Queues a packet, or counts it as lost if the queue is full. Ignored after `end`."""
        if self.stopping:
            return
        data = record(self.is_pcapng, at + self.offset, packet)
        if self.queued + len(data) > self.queue_bytes:
            self.lost += 1
            self.lost_bytes += len(data)
            self.total_lost += 1
            return
        if self.lost:
            lost, self.lost = self.lost, 0
            self.note(at, {"n": "lost", "p": self.start["p"], "packets": lost, "bytes": self.lost_bytes})
            self.lost_bytes = 0
        self.queued += len(data)
        self.queue.append((at + self.offset, data))

    def note(self, at: int, data: dict[str, Any]) -> None:
        """Queues a note, encoded as a UDP datagram."""
        self.put(at, NOTE_PACKETS.udp(MAGIC + msgspec.msgpack.encode(data)))

    def end(self) -> None:
        """Accepts no more packets.

        Called by the thread that puts packets, so that the capture does not end between a message and
        its answer.
        """
        self.stopping = True
        self.stop_event.set()

    def close(self) -> None:
        """Ends the capture and waits up to two seconds until the queue is written. Safe in any thread."""
        self.end()
        self.thread.join(2.0)

    # The methods below run in the writer thread, except for the first call of `_open_file`.

    def _open_file(self, at: int, first: bool = False) -> None:
        if self.file is not None:
            self.file.close()
            self.file = None
        self.file_number += 1
        path = self.path
        if self.rotate_bytes or self.rotate_s:
            path = path.with_name(f"{path.stem}-{self.file_number:06d}{path.suffix}")
        if first:
            path.parent.mkdir(parents=True, exist_ok=True)
        self.file = path.open("wb", buffering=0)
        head = file_head(self.is_pcapng) + record(
            self.is_pcapng,
            at,
            NOTE_PACKETS.udp(MAGIC + msgspec.msgpack.encode(self.start | {"file": self.file_number})),
        )
        self.file.write(head)
        self.size, self.file_started_at = len(head), time.monotonic()
        self.files.append((path, len(head)))

    def _run(self) -> None:
        while not self.stopping or self.queue:
            self.stop_event.wait(WRITE_INTERVAL_S)  # a wake-up per packet costs the planner more than writing
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
                self._open_file(at)
            if (
                self.rotate_bytes
                and self.size + size > self.rotate_bytes
                or self.rotate_s
                and time.monotonic() - self.file_started_at > self.rotate_s
            ):
                self._open_file(at)
                self._delete_oldest()
            data = b"".join(batch)
            done = 0
            while done < size:
                done += self.file.write(data[done:])
            self.size += size
            self.files[-1] = self.files[-1][0], self.size
        except OSError as error:
            self.fault = error.strerror or str(error)
            self.lost += len(batch)
            self.lost_bytes += size
            self.total_lost += len(batch)
            if not self.stopping:
                time.sleep(0.1)
            if self.file is not None:
                with contextlib.suppress(OSError):  # removes a partly written batch
                    self.file.truncate(self.size)
                    self.file.seek(self.size)
        finally:
            self.queued -= size

    def _delete_oldest(self) -> None:
        while (
            self.total_bytes
            and len(self.files) > 1
            and (sum(size for _, size in self.files) + self.rotate_bytes > self.total_bytes)
        ):
            path, _ = self.files.popleft()
            path.unlink(missing_ok=True)
