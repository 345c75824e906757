"""TCP segments and UDP datagrams out of packets and into them: Ethernet with VLAN tags, Linux cooked,
loopback, raw.

Own code for reading rather than a library's: what a snap length cut, and by how much, has to be told for each
segment, and it is several times as fast (docs/capture.md). Tests read what is written here with dpkt.
"""

import struct
from ipaddress import ip_address
from typing import NamedTuple

FIN, SYN, RST, PSH, ACK = 1, 2, 4, 8, 16
TAGS = (0x8100, 0x88A8, 0x9100)
LINKS = {1: 12, 113: 14, 276: 0}  # where the type of the payload stands


class Segment(NamedTuple):
    """One TCP segment, or a UDP datagram with `seq` -1. `missing` bytes of its payload were not captured."""

    source: tuple[bytes, int]
    target: tuple[bytes, int]
    seq: int
    flags: int
    payload: bytes
    missing: int


def parse(link: int, data: bytes) -> Segment | str:
    """The segment in a packet, or why there is none."""
    try:
        at, kind = _network(link, data)
        if kind == 0x0800:
            return _ipv4(data, at)
        if kind == 0x86DD:
            return _ipv6(data, at)
        return f"other protocol {kind:#06x}" if kind else f"link type {link} is not known"
    except (struct.error, IndexError):
        return "headers cut or damaged"


def _network(link: int, data: bytes) -> tuple[int, int]:
    if link in (1, 113):
        at = LINKS[link]
        (kind,) = struct.unpack_from(">H", data, at)
        at += 2
        while kind in TAGS:
            (kind,) = struct.unpack_from(">H", data, at + 2)
            at += 4
        return at, kind
    if link == 276:
        return 20, struct.unpack_from(">H", data, 0)[0]
    if link in (0, 108):  # the family in either byte order: 2, or one of the systems' numbers for IPv6
        family = int.from_bytes(data[:4], "big" if data[0] == 0 else "little")
        return 4, {2: 0x0800, 10: 0x86DD, 24: 0x86DD, 28: 0x86DD, 30: 0x86DD}.get(family, 0xFFFF)
    if link in (12, 14, 101, 228, 229):
        return 0, {4: 0x0800, 6: 0x86DD}.get(data[0] >> 4, 0xFFFF)
    return 0, 0


def _ipv4(data: bytes, at: int) -> Segment | str:
    head = (data[at] & 15) * 4
    (total,) = struct.unpack_from(">H", data, at + 2)
    (bits,) = struct.unpack_from(">H", data, at + 6)
    if data[at] >> 4 != 4 or head < 20 or total and total < head:
        return "headers cut or damaged"
    if bits & 0x3FFF:
        return "fragment"
    total = total or len(data) - at  # 0 where the sending host left cutting to its card
    return _transport(
        data, at + head, total - head, data[at + 9], data[at + 12 : at + 16], data[at + 16 : at + 20]
    )


def _ipv6(data: bytes, at: int) -> Segment | str:
    size, kind = struct.unpack_from(">HB", data, at + 4)
    source, target = data[at + 8 : at + 24], data[at + 24 : at + 40]
    start = at = at + 40
    while kind in (0, 43, 60):
        kind, length = data[at], (data[at + 1] + 1) * 8
        at += length
    if kind == 44:
        return "fragment"
    return _transport(data, at, size - (at - start), kind, source, target)


def _transport(data: bytes, at: int, size: int, kind: int, source: bytes, target: bytes) -> Segment | str:
    if kind not in (6, 17):
        return f"other protocol, IP {kind}"
    sport, dport = struct.unpack_from(">HH", data, at)
    if kind == 17:
        head, seq, flags = 8, -1, 0
        size = min(size, struct.unpack_from(">H", data, at + 4)[0] or size)
    else:
        seq, _, offset, flags = struct.unpack_from(">IIBB", data, at + 4)
        head = (offset >> 4) * 4
        if head < 20:
            return "headers cut or damaged"
    wanted = size - head
    if wanted < 0:
        return "headers cut or damaged"
    payload = data[at + head : at + size]
    return Segment((source, sport), (target, dport), seq, flags, payload, wanted - len(payload))


def name(end: tuple[bytes, int]) -> str:
    """An end for people."""
    host = str(ip_address(end[0]))
    return f"[{host}]:{end[1]}" if ":" in host else f"{host}:{end[1]}"


def parse_endpoint(text: str) -> tuple[bytes, int]:
    """The end that an address as host:port names."""
    host, _, port = text.rpartition(":")
    return ip_address(host.strip("[]")).packed, int(port)


def _folded(total: int) -> int:
    """A sum of 16-bit words as a checksum. Sums are taken modulo 65535, which folds as the checksum does."""
    return 0xFFFF - (total % 0xFFFF or (0xFFFF if total else 0))


def _sum(data: bytes) -> int:
    return int.from_bytes(data if len(data) % 2 == 0 else data + b"\0") % 0xFFFF


class PacketBuilder:
    """From one end to another: what all Ethernet frames on this way have in common is made once."""

    def __init__(self, source: tuple[bytes, int], target: tuple[bytes, int]) -> None:
        self.four = len(source[0]) == 4
        self.ports = struct.pack(">HH", source[1], target[1])
        self.hosts = source[0] + target[0]
        self.ends_sum = _sum(self.hosts) + source[1] + target[1]
        self.ether = b"\2\0\0\0\0\1\2\0\0\0\0\2" + (b"\x08\x00" if self.four else b"\x86\xdd")
        self.ip_sum = _sum(self.hosts) + 0x4500 + 0x4000 + (64 << 8)

    def tcp(self, payload: bytes, seq: int, ack: int, flags: int) -> bytes:
        """A frame with a TCP segment."""
        seq, ack, size = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 20 + len(payload)
        total = (
            self.ends_sum
            + 6
            + size
            + (seq >> 16)
            + (seq & 0xFFFF)
            + (ack >> 16)
            + (ack & 0xFFFF)
            + (0x5000 | flags)
            + 65535
            + (_sum(payload) if payload else 0)
        )
        return b"".join(
            (
                self._ip(6, size),
                self.ports,
                TCP.pack(seq, ack, 0x50, flags, 65535, _folded(total), 0),
                payload,
            )
        )

    def udp(self, payload: bytes) -> bytes:
        """A frame with a UDP datagram."""
        size = 8 + len(payload)
        total = _folded(self.ends_sum + 17 + 2 * size + _sum(payload)) or 0xFFFF
        return b"".join((self._ip(17, size), self.ports, struct.pack(">HH", size, total), payload))

    def _ip(self, kind: int, size: int) -> bytes:
        if not self.four:
            return self.ether + struct.pack(">IHBB", 6 << 28, size, kind, 64) + self.hosts
        return (
            self.ether
            + IP.pack(0x45, 0, 20 + size, 0, 0x4000, 64, kind, _folded(self.ip_sum + 20 + size + kind))
            + self.hosts
        )


TCP, IP = struct.Struct(">IIBBHHH"), struct.Struct(">BBHHHBBH")


def build(
    source: tuple[bytes, int],
    target: tuple[bytes, int],
    payload: bytes,
    seq: int = -1,
    ack: int = 0,
    flags: int = 0,
) -> bytes:
    """An Ethernet frame with a TCP segment, or a UDP datagram if there is no `seq`, with sound checksums."""
    way = PacketBuilder(source, target)
    return way.udp(payload) if seq < 0 else way.tcp(payload, seq, ack, flags)
