"""Reads several capture files as one stream of frames and planner notes, ordered by time."""

import heapq
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hazelhold.capture.files import Packet, read_packets
from hazelhold.capture.packets import Segment, parse
from hazelhold.capture.skips import Skips
from hazelhold.capture.streams import Frame, Streams

MAGIC = b"hazelhold capture 1\n"
# Fields that a note of each kind must have. A datagram without them is not treated as a note.
REQUIRED_FIELDS: dict[str, dict[str, type]] = {
    "start": {"planner": str, "seed": int, "sheet": dict, "module": str, "offset": int, "file": int},
    "stream": {"near": str, "far": str, "role": str, "who": str},
    "lost": {"packets": int},
    "unsent": {"role": str, "who": str, "message": dict},
    "link_up": {"who": str, "welcome": dict},
    "link_failed": {"who": str},
    "link_down": {"who": str},
}


class Note(NamedTuple):
    """A note that a planner wrote as a datagram: engine input that is not part of any frame.

    `data["n"]` is its kind (docs/capture.md); `at` is in microseconds since 1970.
    """

    at: int
    data: dict[str, Any]
    packet: int
    file: str


def packets(
    files: list[Path], skips: Skips, progress: Callable[[Packet], None] | None = None
) -> Iterator[Packet]:
    """Merges the packets of all files by time.

    Packets of one file stay in the file's order, even where its timestamps go back.
    """

    def sorted_source(number: int, path: Path) -> Iterator[tuple[int, int, int, Packet]]:
        latest = 0
        for packet in read_packets(path, skips):
            if packet.at < latest:
                skips.note(
                    packet.file,
                    "time goes back (kept in file order)",
                    0,
                    packet.offset,
                    packet.number,
                    packet.at,
                )
            latest = max(latest, packet.at)
            yield latest, number, packet.number, packet

    sources = [sorted_source(number, path) for number, path in enumerate(files)]
    for _, _, _, packet in heapq.merge(*sources, key=lambda item: item[:3]):
        if progress:
            progress(packet)
        yield packet


def read(
    files: list[Path],
    skips: Skips,
    progress: Callable[[Packet], None] | None = None,
) -> Iterator[Frame | Note]:
    """Yields every readable frame and note. Once exhausted, `skips` lists all that could not be read."""
    streams = Streams(skips)
    for packet in packets(files, skips, progress):
        segment = parse(packet.link, packet.data)
        if isinstance(segment, str):
            skips.note(packet.file, segment, len(packet.data), packet.offset, packet.number, packet.at)
        elif segment.seq >= 0:
            yield from streams.feed(packet, segment)
        else:
            note = own_note(packet, segment)
            if note is None:
                skips.note(
                    packet.file,
                    "other protocol, UDP",
                    len(packet.data),
                    packet.offset,
                    packet.number,
                    packet.at,
                )
            else:
                yield note
    yield from streams.finish()


def own_note(packet: Packet, segment: Segment) -> Note | None:
    """The planner's note in a UDP datagram, or None if the datagram holds none."""
    if not segment.payload.startswith(MAGIC) or segment.missing:
        return None
    try:
        data = msgspec.msgpack.decode(segment.payload[len(MAGIC) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    if not isinstance(data, dict) or not isinstance(data.get("n"), str):
        return None
    required = REQUIRED_FIELDS.get(data["n"], {}) | {"p": str}
    if not all(isinstance(data.get(key), kind) for key, kind in required.items()):
        return None
    return Note(packet.at, data, packet.number, packet.file)
