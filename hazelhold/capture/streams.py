"""TCP streams put together again, and the frames of our protocol in them.

Copes with reordering, retransmission, overlaps (the first copy counts; a contradicting one is named), loss,
wrap of sequence numbers, streams that began before the file and those of which one direction was captured.
Memory is bounded whatever comes: streams by number, each direction's early segments by bytes.
"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from hazelhold.capture.files import Packet
from hazelhold.capture.packets import FIN, RST, SYN, Segment, name
from hazelhold.capture.skips import Skips
from hazelhold.protocol.frames import MAX_LIST_FRAME

STREAMS = 20_000  # directions at a time; the longest silent gives way
EARLY = 1 << 19  # bytes of early segments that a direction keeps until a hole is given up
ALL_EARLY = 1 << 26  # and all directions together
FRAME = MAX_LIST_FRAME  # the longest frame
START = b"\xa1t"  # the key `t` in MessagePack
OLD = 4096  # delivered bytes kept to hold later copies against
End = tuple[bytes, int]


class Frame(NamedTuple):
    """One frame of our protocol; `packet` and `at` are those of the packet that completed it."""

    at: int
    source: End
    target: End
    life: int  # counts the connections between the same two ends
    body: bytes
    message: dict[str, Any]
    packet: int
    file: str


class Flow:
    """One direction of one connection."""

    def __init__(self, life: int) -> None:
        self.life = life
        self.next: int | None = None  # the sequence number that is due
        self.early: dict[int, bytes] = {}  # by sequence number
        self.early_bytes = 0
        self.buffer = b""
        self.old = b""
        self.synced = False  # a frame begins where the buffer does
        self.looked = 0  # up to where no frame can begin
        self.begun = False  # the stream's first byte was seen
        self.ours: bool | None = None
        self.lost = self.ended = False


def decoded(body: bytes) -> dict[str, Any] | None:
    """A frame's body as a message, whatever its type; None if it is none."""
    try:
        made = msgspec.msgpack.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return made if isinstance(made, dict) and isinstance(made.get("t"), str) else None


class Streams:
    """All connections of a capture."""

    def __init__(self, skips: Skips) -> None:
        self.skips = skips
        self.flows: OrderedDict[tuple[End, End], Flow] = OrderedDict()
        self.lives: OrderedDict[tuple[End, End], int] = OrderedDict()  # bounded as the flows are
        self.early_bytes = 0
        self.last: Packet | None = None

    def feed(self, packet: Packet, segment: Segment) -> Iterator[Frame]:
        """Takes a TCP segment; gives the frames that it completes."""
        self.last = packet
        key = segment.source, segment.target
        flow = self.flows.get(key)
        if flow is None or segment.flags & SYN and self._anew(flow, segment):
            if flow is not None:
                yield from self._finish(key, flow)
            flow = self._open(key, segment)
        self.flows.move_to_end(key)
        if segment.flags & SYN:
            flow.next, flow.begun, flow.synced = (segment.seq + 1) & 0xFFFFFFFF, True, True
        if segment.payload or segment.missing:
            if segment.missing:
                self._note(key, "payload cut by the snap length", segment.missing)
            yield from self._take(key, flow, segment)
        if segment.flags & (FIN | RST):
            flow.ended = True

    def finish(self) -> Iterator[Frame]:
        """At the end: what still waits behind holes comes out, and what is left is named."""
        for key, flow in list(self.flows.items()):
            yield from self._finish(key, flow)
        self.flows.clear()

    def _anew(self, flow: Flow, segment: Segment) -> bool:
        """A SYN that does not repeat the one that opened this flow."""
        return (
            flow.next is not None
            and (not flow.begun or flow.ended or bool(flow.old or flow.buffer))
            and ((segment.seq + 1) & 0xFFFFFFFF) != flow.next
        )

    def _open(self, key: tuple[End, End], segment: Segment) -> Flow:
        back = self.flows.get((key[1], key[0]))
        pair = min(key, (key[1], key[0]))
        fresh = segment.flags & SYN and not (
            back and back.begun and not back.ended and not back.old and not back.buffer
        )
        self.lives[pair] = self.lives.get(pair, 0) + bool(fresh or pair not in self.lives)
        self.lives.move_to_end(pair)
        flow = self.flows[key] = Flow(self.lives[pair])
        while len(self.lives) > 2 * STREAMS:
            self.lives.popitem(last=False)
        while len(self.flows) > STREAMS:
            old, gone = self.flows.popitem(last=False)
            self._drop_early(gone)
            left = len(gone.buffer)
            if left or gone.ours is None:
                self.skips.note(
                    self.last.file,
                    "too many streams at once",
                    left,
                    self.last.offset,
                    self.last.number,
                    self.last.at,
                )
        return flow

    def _take(self, key: tuple[End, End], flow: Flow, segment: Segment) -> Iterator[Frame]:
        seq, data = segment.seq & 0xFFFFFFFF, segment.payload
        if segment.flags & SYN:
            seq = (seq + 1) & 0xFFFFFFFF
        if flow.next is None:
            flow.next = seq
        ahead = ((seq - flow.next + (1 << 31)) & 0xFFFFFFFF) - (1 << 31)
        if ahead > 0:
            self._keep(key, flow, seq, data)
            if flow.early_bytes > EARLY or self.early_bytes > ALL_EARLY:
                yield from self._hole(key, flow)
            return
        yield from self._deliver(key, flow, -ahead, data)
        yield from self._from_early(key, flow)

    def _keep(self, key: tuple[End, End], flow: Flow, seq: int, data: bytes) -> None:
        known = flow.early.get(seq)
        if known is not None:
            if known[: len(data)] != data[: len(known)]:
                self._note(key, "contradicting overlap", len(data))
            if len(known) >= len(data):
                return
            data = known + data[len(known) :]
            self._shed(flow, seq)
        flow.early[seq] = data
        flow.early_bytes += len(data)
        self.early_bytes += len(data)

    def _shed(self, flow: Flow, seq: int) -> bytes:
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

    def _from_early(self, key: tuple[End, End], flow: Flow) -> Iterator[Frame]:
        while flow.early:
            seq = min(flow.early, key=lambda s: (s - flow.next + (1 << 31)) & 0xFFFFFFFF)
            ahead = ((seq - flow.next + (1 << 31)) & 0xFFFFFFFF) - (1 << 31)
            if ahead > 0:
                return
            yield from self._deliver(key, flow, -ahead, self._shed(flow, seq))

    def _deliver(self, key: tuple[End, End], flow: Flow, known: int, data: bytes) -> Iterator[Frame]:
        """Bytes of which the first `known` were delivered before."""
        again = data[:known]
        if again and known <= len(flow.old):
            if flow.old[len(flow.old) - known :][: len(again)] != again:
                self._note(key, "contradicting overlap", len(again))
        data = data[known:]
        if not data:
            return
        flow.next = (flow.next + len(data)) & 0xFFFFFFFF
        flow.old = (flow.old + data)[-OLD:]
        if flow.ours is False:
            self._note(key, "other protocol in the stream", len(data))
            return
        flow.buffer += data
        yield from self._frames(key, flow)

    def _frames(self, key: tuple[End, End], flow: Flow) -> Iterator[Frame]:
        if not flow.synced and not self._sync(key, flow):
            return
        at = 0
        buffer = flow.buffer
        while len(buffer) - at >= 4:
            size = int.from_bytes(buffer[at : at + 4])
            if not 0 < size <= FRAME:
                flow.buffer = buffer[at:]
                self._not_ours(key, flow)
                return
            if len(buffer) - at - 4 < size:
                break
            body = buffer[at + 4 : at + 4 + size]
            message = decoded(body)
            if message is None:
                if flow.ours is None:
                    flow.buffer = buffer[at:]
                    self._not_ours(key, flow)
                    return
                self._note(key, "frame that is no message", size + 4)
            else:
                flow.ours = True
                yield Frame(
                    self.last.at, key[0], key[1], flow.life, body, message, self.last.number, self.last.file
                )
            at += 4 + size
        flow.buffer = buffer[at:]

    def _sync(self, key: tuple[End, End], flow: Flow) -> bool:
        """After a hole, or where the file begins mid-stream, a frame is looked for: a length, and a map
        whose first key is `t`, as every message begins, that decodes whole."""
        buffer, found, open_at = flow.buffer, flow.looked, -1
        while (found := buffer.find(START, found)) >= 0:
            at = found - 5
            found += 1
            if at < 0 or not 0x80 <= buffer[at + 4] <= 0x8F:
                continue
            size = int.from_bytes(buffer[at : at + 4])
            if not 8 <= size <= FRAME:
                continue
            if len(buffer) - at - 4 < size:
                open_at = at if open_at < 0 else open_at
            elif decoded(buffer[at + 4 : at + 4 + size]):
                flow.looked = 0
                if at:
                    self._note(
                        key,
                        "after a hole, up to the next frame"
                        if flow.lost
                        else "began before the file, up to the next frame",
                        at,
                    )
                flow.buffer, flow.synced = buffer[at:], True
                return True
        flow.looked = max(0, len(buffer) - 1 if open_at < 0 else open_at)
        if len(buffer) > 2 * FRAME:
            flow.looked = 0
            self._not_ours(key, flow)
        return False

    def _not_ours(self, key: tuple[End, End], flow: Flow) -> None:
        """What no frame can begin with: another protocol, or damage; with frames before, the next is looked
        for."""
        if flow.ours:
            self._note(key, "damage in the stream", 1)
            flow.buffer, flow.synced, flow.lost, flow.looked = flow.buffer[1:], False, True, 0
            return
        flow.ours = False
        self._note(key, "other protocol in the stream", len(flow.buffer))
        flow.buffer = b""

    def _hole(self, key: tuple[End, End], flow: Flow) -> Iterator[Frame]:
        """Gives up on bytes that never came and goes on behind them."""
        seq = min(flow.early, key=lambda s: (s - flow.next + (1 << 31)) & 0xFFFFFFFF)
        gap = (seq - flow.next) & 0xFFFFFFFF
        self._note(key, "hole in the stream", gap)
        if flow.buffer:
            self._note(key, "frame cut by a hole", len(flow.buffer))
        flow.buffer, flow.synced, flow.lost, flow.looked = b"", False, True, 0
        flow.old, flow.next = b"", seq
        yield from self._from_early(key, flow)

    def _finish(self, key: tuple[End, End], flow: Flow) -> Iterator[Frame]:
        while flow.early:
            yield from self._hole(key, flow)
        if flow.buffer:
            self._note(
                key,
                "stream ends mid-frame"
                if flow.synced
                else "after a hole, up to the next frame"
                if flow.lost
                else "began before the file, up to the next frame",
                len(flow.buffer),
            )
            flow.buffer = b""

    def _note(self, key: tuple[End, End], reason: str, size: int) -> None:
        last = self.last
        self.skips.note(
            last.file, reason, size, last.offset, last.number, last.at, f"{name(key[0])} > {name(key[1])}"
        )
