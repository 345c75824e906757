"""Capture files as streams of packets: classic pcap of both byte orders and resolutions, and pcapng.

Reads in bounded memory and recovers from damage: after an invalid record, reading resumes at the next offset
with two plausible records in a row, and the bytes between are reported as skipped. The formats are those of
draft-ietf-opsawg-pcap and draft-ietf-opsawg-pcapng.
"""

import struct
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, NamedTuple

from hazelhold.capture.skips import Skips

MAX_PACKET_BYTES = 1 << 18  # the maximum that common tools write
CHUNK_BYTES = 1 << 20
PCAP_MAGICS = {0xA1B2C3D4: 1, 0xA1B23C4D: 1000}  # time units per microsecond
SECTION = 0x0A0D0D0A
DAY_US = 86_400 * 1_000_000


class Packet(NamedTuple):
    """One packet of a file.

    `at` is in microseconds since 1970; `length` is the size on the wire in bytes, which may exceed `data`.
    `number` counts from 1, `link` is the link-layer type.
    """

    file: str
    number: int
    offset: int
    at: int
    link: int
    data: bytes
    length: int


class Window:
    """Random access to a file's bytes with one buffered chunk in memory."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.size = file.seek(0, 2)
        self.base, self.chunk = 0, b""

    def get(self, at: int, size: int) -> bytes:
        """`size` bytes from offset `at`; fewer at the end of the file."""
        inside = at - self.base
        if inside < 0 or inside + size > len(self.chunk):
            self.file.seek(at)
            self.base, self.chunk = at, self.file.read(max(size, CHUNK_BYTES))
            inside = 0
        return self.chunk[inside : inside + size]


def read_packets(path: Path, skips: Skips) -> Iterator[Packet]:
    """Yields a file's packets in their order; adds what cannot be read to `skips`.

    Raises OSError if the file cannot be opened.
    """
    with path.open("rb") as file:
        window = Window(file)
        head = window.get(0, 24)
        name = str(path)
        if len(head) >= 4 and int.from_bytes(head[:4], "big") == SECTION:
            yield from _read_pcapng(window, name, skips)
            return
        for order in "<>":
            if len(head) >= 4 and (units := PCAP_MAGICS.get(struct.unpack(order + "I", head[:4])[0])):
                if len(head) < 24:
                    skips.note(name, "cut in the file's head", len(head))
                else:
                    yield from _read_pcap(window, name, order, units, skips)
                return
        if head:
            skips.note(name, "not a capture file", window.size)
        else:
            skips.note(name, "empty file", 0)


class _PcapRecords:
    """Validates and finds the records of one classic pcap file."""

    def __init__(self, window: Window, order: str, units: int, snap_length: int) -> None:
        self.window, self.head, self.units = window, struct.Struct(order + "IIII"), units
        self.max_length = (
            MAX_PACKET_BYTES if not 0 < snap_length <= MAX_PACKET_BYTES else max(snap_length, 64)
        )
        self.last = 0  # time of the last valid record: a record far from it is implausible

    def plausible(self, at: int) -> bool:
        """Whether a record may begin at this offset. The end of the file counts as one."""
        data = self.window.get(at, 16)
        if len(data) < 16:
            return not data
        seconds, part, captured, length = self.head.unpack(data)
        if (
            part >= 1_000_000 * self.units
            or captured > self.max_length
            or not captured <= length <= 1 << 24
            or not length
        ):
            return False
        return not self.last or abs(seconds * 1_000_000 + part // self.units - self.last) < 30 * DAY_US

    def resync(self, at: int, until: int) -> int:
        """The next offset before `until` with two plausible records in a row, or `until`."""
        while at < until:
            if self.plausible(at):
                data = self.window.get(at, 16)
                if len(data) == 16 and self.plausible(at + 16 + self.head.unpack(data)[2]):
                    return at
            at += 1
        return until


def _read_pcap(window: Window, name: str, order: str, units: int, skips: Skips) -> Iterator[Packet]:
    snap_length, link = struct.unpack(order + "16xII", window.get(0, 24))
    link &= 0xFFFF
    records = _PcapRecords(window, order, units, snap_length)
    at, number, end = 24, 0, window.size
    while at < end:
        head = window.get(at, 16)
        if len(head) < 16:
            skips.note(name, "cut mid-packet", len(head), at, number + 1, records.last)
            return
        seconds, part, captured, length = records.head.unpack(head)
        if not records.plausible(at):
            to = records.resync(at + 1, end)
            skips.note(name, "bad record", to - at, at, number + 1, records.last)
            at = to
            continue
        after = at + 16 + captured
        if after > end or not records.plausible(after):
            # Either this length or the next record is damaged. Two plausible records in a row inside this
            # one show that it is the length.
            inside = records.resync(at + 16, min(after, end))
            if inside < min(after, end):
                skips.note(name, "bad record", inside - at, at, number + 1, records.last)
                at = inside
                continue
            if after > end:
                skips.note(name, "cut mid-packet", end - at, at, number + 1, records.last)
                return
        number += 1
        records.last = seconds * 1_000_000 + part // units
        yield Packet(name, number, at, records.last, link, window.get(at + 16, captured), length)
        at = after


class _Section:
    """Byte order and interfaces of a pcapng section, as read so far."""

    def __init__(self, order: str) -> None:
        self.order = order
        self.links: list[tuple[int, int, int]] = []  # link type, time units per second, snap length


def _block(window: Window, at: int, order: str) -> tuple[int, int] | None:
    """Type and length of the block at this offset, or None if no valid block begins there."""
    data = window.get(at, 8)
    if len(data) < 8:
        return None
    kind, size = struct.unpack(order + "II", data)
    if kind == SECTION:
        byte_order_magic = window.get(at + 8, 4)
        order = (
            "<"
            if byte_order_magic == b"\x4d\x3c\x2b\x1a"
            else ">"
            if byte_order_magic == b"\x1a\x2b\x3c\x4d"
            else ""
        )
        if not order:
            return None
        size = struct.unpack(order + "I", data[4:])[0]
    if size < 12 or size % 4 or size > MAX_PACKET_BYTES + 4096 or at + size > window.size:
        return None
    if struct.unpack(order + "I", window.get(at + size - 4, 4))[0] != size:
        return None
    return kind, size


def _read_pcapng(window: Window, name: str, skips: Skips) -> Iterator[Packet]:
    section = _Section("<")
    at, number, last = 0, 0, 0
    while at < window.size:
        found = _block(window, at, section.order)
        if found is None:
            to = at + 4
            while to < window.size and _block(window, to, section.order) is None:
                to += 4
            data = window.get(at, 8)
            claimed = struct.unpack(section.order + "I", data[4:])[0] if len(data) == 8 else 0
            cut = to >= window.size and (
                len(data) < 8 or at + claimed > window.size and claimed <= MAX_PACKET_BYTES + 4096
            )
            skips.note(
                name,
                "cut mid-packet" if cut else "bad record",
                min(to, window.size) - at,
                at,
                number + 1,
                last,
            )
            at = to
            continue
        kind, size = found
        body = window.get(at + 8, size - 12)
        try:
            if kind == SECTION:
                section = _Section("<" if body[:4] == b"\x4d\x3c\x2b\x1a" else ">")
            elif kind == 1:
                section.links.append(_interface(body, section.order))
            elif kind in (2, 3, 6):
                number += 1
                packet = _pcapng_packet(kind, body, section, last)
                last = packet[0]
                yield Packet(name, number, at, last, packet[1], packet[2], packet[3])
            else:
                skips.note(name, f"block of type {kind:#x}", size, at)
        except (struct.error, IndexError):
            skips.note(name, "bad record", size, at, number, last)
        at += size


def _interface(body: bytes, order: str) -> tuple[int, int, int]:
    link, _, snap_length = struct.unpack(order + "HHI", body[:8])
    units, at = 1_000_000, 8
    while at + 4 <= len(body):
        code, size = struct.unpack(order + "HH", body[at : at + 4])
        if not code:
            break
        if code == 9 and size == 1:
            value = body[at + 4]
            units = 1 << (value & 0x7F) if value & 0x80 else 10 ** min(value, 12)
        at += 4 + size + -size % 4
    return link, units, snap_length


def _pcapng_packet(kind: int, body: bytes, section: _Section, last: int) -> tuple[int, int, bytes, int]:
    order = section.order
    if kind == 3:  # a Simple Packet Block has no timestamp: the previous packet's is used
        (length,) = struct.unpack(order + "I", body[:4])
        link, _, snap_length = section.links[0]
        captured = min(length, snap_length or length, len(body) - 4)
        return last, link, body[4 : 4 + captured], length
    if kind == 6:
        which, high, low, captured, length = struct.unpack(order + "IIIII", body[:20])
    else:
        which, _, high, low, captured, length = struct.unpack(order + "HHIIII", body[:20])
    if captured > len(body) - 20:
        raise IndexError
    link, units, _ = section.links[which]
    return ((high << 32) + low) * 1_000_000 // units, link, body[20 : 20 + captured], length


# Writing.


def file_head(is_pcapng: bool, link: int = 1) -> bytes:
    """The header of a new file with microsecond timestamps."""
    if not is_pcapng:
        return struct.pack("<IHHiIII", 0xA1B2C3D4, 2, 4, 0, 0, MAX_PACKET_BYTES, link)
    section = struct.pack("<IIIHHqI", SECTION, 28, 0x1A2B3C4D, 1, 0, -1, 28)
    return section + struct.pack("<IIHHII", 1, 20, link, 0, MAX_PACKET_BYTES, 20)


def record(is_pcapng: bool, at: int, data: bytes, length: int | None = None) -> bytes:
    """Encodes one packet as a record; `at` is in microseconds since 1970."""
    length = len(data) if length is None else length
    if not is_pcapng:
        return struct.pack("<IIII", at // 1_000_000, at % 1_000_000, len(data), length) + data
    size = 32 + len(data) + -len(data) % 4
    return b"".join(
        (
            struct.pack("<IIIIIII", 6, size, 0, at >> 32, at & 0xFFFFFFFF, len(data), length),
            data,
            bytes(-len(data) % 4),
            struct.pack("<I", size),
        )
    )
