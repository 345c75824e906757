"""Reassembles TCP streams and decodes the protocol's frames in them.

Handles reordering, retransmission, overlaps (the first copy is used, a contradicting one is reported), loss,
wrap-around of sequence numbers, streams that began before the file, and streams of which only one direction
was captured. Memory is bounded for any input: the number of streams, and the bytes of out-of-order segments.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from hazelhold.capture.files import Packet
from hazelhold.capture.packets import FIN, RST, SYN, Segment, name
from hazelhold.capture.skips import Skips
from hazelhold.protocol.frames import MAX_LIST_FRAME

MAX_STREAMS = 20_000  # directions at a time; the least recently active one is evicted
MAX_EARLY_BYTES = 1 << 19  # out-of-order bytes buffered per direction before a hole is skipped
MAX_TOTAL_EARLY_BYTES = 1 << 26  # the same limit over all directions
MAX_FRAME_BYTES = MAX_LIST_FRAME
FRAME_START = b"\xa1t"  # the key `t` in MessagePack, the first of every message
OVERLAP_BYTES = 4096  # delivered bytes kept for comparison with retransmissions
Endpoint = tuple[bytes, int]


class Frame(NamedTuple):
    """One protocol frame.

    `packet` and `at` (microseconds since 1970) are those of the packet that completed it.
    """

    at: int
    source: Endpoint
    target: Endpoint
    connection: int  # number of the connection among those between the same endpoints
    body: bytes
    message: dict[str, Any]
    packet: int
    file: str


class Flow:
    """Reassembly state of one direction of a connection."""

    def __init__(self, connection: int) -> None:
        self.connection = connection
        self.next_seq: int | None = None  # the next expected sequence number
        self.early: dict[int, bytes] = {}  # out-of-order segments by sequence number
        self.early_bytes = 0
        self.buffer = b""
        self.delivered = b""
        self.synced = False  # the buffer begins at a frame boundary
        self.searched = 0  # buffer offset before which no frame begins
        self.saw_start = False  # the capture contains the stream's first byte
        self.is_hazelhold: bool | None = None  # whether it carries frames; None until known
        self.after_hole = self.ended = False


def decode_message(body: bytes) -> dict[str, Any] | None:
    """Decodes a frame's body as a message of any type; None if it is not a message."""
    try:
        message = msgspec.msgpack.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return message if isinstance(message, dict) and isinstance(message.get("t"), str) else None


class Streams:
    """Reassembles all connections of a capture."""

    def __init__(self, skips: Skips) -> None:
        self.skips = skips
        self.flows: OrderedDict[tuple[Endpoint, Endpoint], Flow] = OrderedDict()
        # The number of the last connection between two endpoints; bounded like `flows`.
        self.connection_numbers: OrderedDict[tuple[Endpoint, Endpoint], int] = OrderedDict()
        self.early_bytes = 0
        self.last: Packet | None = None

    def feed(self, packet: Packet, segment: Segment) -> Iterator[Frame]:
        """Takes a TCP segment and yields the frames that it completes."""
        self.last = packet
        key = segment.source, segment.target
        flow = self.flows.get(key)
        if flow is None or segment.flags & SYN and self._reopens(flow, segment):
            if flow is not None:
                yield from self._finish(key, flow)
            flow = self._open_flow(key, segment)
        self.flows.move_to_end(key)
        if segment.flags & SYN:
            flow.next_seq, flow.saw_start, flow.synced = (segment.seq + 1) & 0xFFFFFFFF, True, True
        if segment.payload or segment.missing:
            if segment.missing:
                self._note(key, "payload cut by the snap length", segment.missing)
            yield from self._receive(key, flow, segment)
        if segment.flags & (FIN | RST):
            flow.ended = True

    def finish(self) -> Iterator[Frame]:
        """Ends all streams: yields frames buffered behind holes and reports the other bytes as skipped."""
        for key, flow in list(self.flows.items()):
            yield from self._finish(key, flow)
        self.flows.clear()

    def _reopens(self, flow: Flow, segment: Segment) -> bool:
        """Whether a SYN opens a new connection rather than repeating the SYN that opened this flow."""
        return (
            flow.next_seq is not None
            and (not flow.saw_start or flow.ended or bool(flow.delivered or flow.buffer))
            and ((segment.seq + 1) & 0xFFFFFFFF) != flow.next_seq
        )

    def _open_flow(self, key: tuple[Endpoint, Endpoint], segment: Segment) -> Flow:
        reverse = self.flows.get((key[1], key[0]))
        pair = min(key, (key[1], key[0]))
        is_new = segment.flags & SYN and not (
            reverse
            and reverse.saw_start
            and not reverse.ended
            and not reverse.delivered
            and not reverse.buffer
        )
        self.connection_numbers[pair] = self.connection_numbers.get(pair, 0) + bool(
            is_new or pair not in self.connection_numbers
        )
        self.connection_numbers.move_to_end(pair)
        flow = self.flows[key] = Flow(self.connection_numbers[pair])
        while len(self.connection_numbers) > 2 * MAX_STREAMS:
            self.connection_numbers.popitem(last=False)
        while len(self.flows) > MAX_STREAMS:
            evicted_key, evicted = self.flows.popitem(last=False)
            self._drop_early(evicted)
            left = len(evicted.buffer)
            if left or evicted.is_hazelhold is None:
                self.skips.note(
                    self.last.file,
                    "too many streams at once",
                    left,
                    self.last.offset,
                    self.last.number,
                    self.last.at,
                )
        return flow

    def _receive(self, key: tuple[Endpoint, Endpoint], flow: Flow, segment: Segment) -> Iterator[Frame]:
        seq, data = segment.seq & 0xFFFFFFFF, segment.payload
        if segment.flags & SYN:
            seq = (seq + 1) & 0xFFFFFFFF
        if flow.next_seq is None:
            flow.next_seq = seq
        ahead = ((seq - flow.next_seq + (1 << 31)) & 0xFFFFFFFF) - (1 << 31)
        if ahead > 0:
            self._store_early(key, flow, seq, data)
            if flow.early_bytes > MAX_EARLY_BYTES or self.early_bytes > MAX_TOTAL_EARLY_BYTES:
                yield from self._skip_hole(key, flow)
            return
        yield from self._deliver(key, flow, -ahead, data)
        yield from self._deliver_early(key, flow)

    def _store_early(self, key: tuple[Endpoint, Endpoint], flow: Flow, seq: int, data: bytes) -> None:
        overlap = flow.early.get(seq)
        if overlap is not None:
            if overlap[: len(data)] != data[: len(overlap)]:
                self._note(key, "contradicting overlap", len(data))
            if len(overlap) >= len(data):
                return
            data = overlap + data[len(overlap) :]
            self._pop_early(flow, seq)
        flow.early[seq] = data
        flow.early_bytes += len(data)
        self.early_bytes += len(data)

    def _pop_early(self, flow: Flow, seq: int) -> bytes:
        data = flow.early.pop(seq)
        flow.early_bytes -= len(data)
        self.early_bytes -= len(data)
        return data

    def _drop_early(self, flow: Flow) -> int:
        size = flow.early_bytes
        self.early_bytes -= size
        flow.early.clear()
        flow.early_bytes = 0
        return size

    def _deliver_early(self, key: tuple[Endpoint, Endpoint], flow: Flow) -> Iterator[Frame]:
        while flow.early:
            seq = min(flow.early, key=lambda s: (s - flow.next_seq + (1 << 31)) & 0xFFFFFFFF)
            ahead = ((seq - flow.next_seq + (1 << 31)) & 0xFFFFFFFF) - (1 << 31)
            if ahead > 0:
                return
            yield from self._deliver(key, flow, -ahead, self._pop_early(flow, seq))

    def _deliver(
        self, key: tuple[Endpoint, Endpoint], flow: Flow, overlap: int, data: bytes
    ) -> Iterator[Frame]:
        """Appends bytes of which the first `overlap` were delivered before."""
        repeated = data[:overlap]
        if repeated and overlap <= len(flow.delivered):
            if flow.delivered[len(flow.delivered) - overlap :][: len(repeated)] != repeated:
                self._note(key, "contradicting overlap", len(repeated))
        data = data[overlap:]
        if not data:
            return
        flow.next_seq = (flow.next_seq + len(data)) & 0xFFFFFFFF
        flow.delivered = (flow.delivered + data)[-OVERLAP_BYTES:]
        if flow.is_hazelhold is False:
            self._note(key, "other protocol in the stream", len(data))
            return
        flow.buffer += data
        yield from self._frames(key, flow)

    def _frames(self, key: tuple[Endpoint, Endpoint], flow: Flow) -> Iterator[Frame]:
        if not flow.synced and not self._sync(key, flow):
            return
        at = 0
        buffer = flow.buffer
        while len(buffer) - at >= 4:
            size = int.from_bytes(buffer[at : at + 4])
            if not 0 < size <= MAX_FRAME_BYTES:
                flow.buffer = buffer[at:]
                self._reject(key, flow)
                return
            if len(buffer) - at - 4 < size:
                break
            body = buffer[at + 4 : at + 4 + size]
            message = decode_message(body)
            if message is None:
                if flow.is_hazelhold is None:
                    flow.buffer = buffer[at:]
                    self._reject(key, flow)
                    return
                self._note(key, "frame that is no message", size + 4)
            else:
                flow.is_hazelhold = True
                yield Frame(
                    self.last.at,
                    key[0],
                    key[1],
                    flow.connection,
                    body,
                    message,
                    self.last.number,
                    self.last.file,
                )
            at += 4 + size
        flow.buffer = buffer[at:]

    def _sync(self, key: tuple[Endpoint, Endpoint], flow: Flow) -> bool:
        """Searches for the next frame after a hole or in a stream that began before the file.

        A frame is a length followed by a map of that length whose first key is `t` and that decodes.
        """
        buffer, found, incomplete_at = flow.buffer, flow.searched, -1
        while (found := buffer.find(FRAME_START, found)) >= 0:
            at = found - 5
            found += 1
            if at < 0 or not 0x80 <= buffer[at + 4] <= 0x8F:
                continue
            size = int.from_bytes(buffer[at : at + 4])
            if not 8 <= size <= MAX_FRAME_BYTES:
                continue
            if len(buffer) - at - 4 < size:
                incomplete_at = at if incomplete_at < 0 else incomplete_at
            elif decode_message(buffer[at + 4 : at + 4 + size]):
                flow.searched = 0
                if at:
                    self._note(
                        key,
                        "after a hole, up to the next frame"
                        if flow.after_hole
                        else "began before the file, up to the next frame",
                        at,
                    )
                flow.buffer, flow.synced = buffer[at:], True
                return True
        flow.searched = max(0, len(buffer) - 1 if incomplete_at < 0 else incomplete_at)
        if len(buffer) > 2 * MAX_FRAME_BYTES:
            flow.searched = 0
            self._reject(key, flow)
        return False

    def _reject(self, key: tuple[Endpoint, Endpoint], flow: Flow) -> None:
        """Handles a buffer that does not begin with a frame.

        In a stream that carried frames before, this is damage and the next frame is searched for; any other
        stream belongs to another protocol.
        """
        if flow.is_hazelhold:
            self._note(key, "damage in the stream", 1)
            flow.buffer, flow.synced, flow.after_hole, flow.searched = flow.buffer[1:], False, True, 0
            return
        flow.is_hazelhold = False
        self._note(key, "other protocol in the stream", len(flow.buffer))
        flow.buffer = b""

    def _skip_hole(self, key: tuple[Endpoint, Endpoint], flow: Flow) -> Iterator[Frame]:
        """Skips bytes that were not captured and continues after them."""
        seq = min(flow.early, key=lambda s: (s - flow.next_seq + (1 << 31)) & 0xFFFFFFFF)
        gap = (seq - flow.next_seq) & 0xFFFFFFFF
        self._note(key, "hole in the stream", gap)
        if flow.buffer:
            self._note(key, "frame cut by a hole", len(flow.buffer))
        flow.buffer, flow.synced, flow.after_hole, flow.searched = b"", False, True, 0
        flow.delivered, flow.next_seq = b"", seq
        yield from self._deliver_early(key, flow)

    def _finish(self, key: tuple[Endpoint, Endpoint], flow: Flow) -> Iterator[Frame]:
        while flow.early:
            yield from self._skip_hole(key, flow)
        if flow.buffer:
            self._note(
                key,
                "stream ends mid-frame"
                if flow.synced
                else "after a hole, up to the next frame"
                if flow.after_hole
                else "began before the file, up to the next frame",
                len(flow.buffer),
            )
            flow.buffer = b""

    def _note(self, key: tuple[Endpoint, Endpoint], reason: str, size: int) -> None:
        last = self.last
        self.skips.note(
            last.file, reason, size, last.offset, last.number, last.at, f"{name(key[0])} > {name(key[1])}"
        )
