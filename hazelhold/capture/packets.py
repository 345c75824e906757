"""Parses and builds packets with TCP segments and UDP datagrams.

Reads Ethernet with VLAN tags, Linux cooked, loopback and raw IP link types; writes Ethernet. Parsing is done
here rather than by a library because the bytes cut off by a snap length must be known for each segment, and
because it is several times as fast (docs/capture.md). Tests read the written packets with dpkt.
"""

import struct
from ipaddress import ip_address
from typing import NamedTuple

FIN, SYN, RST, PSH, ACK = 1, 2, 4, 8, 16
VLAN_TAGS = (0x8100, 0x88A8, 0x9100)
ETHERTYPE_OFFSETS = {1: 12, 113: 14, 276: 0}  # by link type


class Segment(NamedTuple):
    """One TCP segment, or a UDP datagram if `seq` is -1.

    `missing` is the number of payload bytes that were not captured.
    """

    source: tuple[bytes, int]
    target: tuple[bytes, int]
    seq: int
    flags: int
    payload: bytes
    missing: int


def parse(link: int, data: bytes) -> Segment | str:
    """The segment in a packet, or the reason why there is none."""
    try:
        at, kind = _parse_link(link, data)
        if kind == 0x0800:
            return _ipv4(data, at)
        if kind == 0x86DD:
            return _ipv6(data, at)
        return f"other protocol {kind:#06x}" if kind else f"link type {link} is not known"
    except (struct.error, IndexError):
        return "headers cut or damaged"


def _parse_link(link: int, data: bytes) -> tuple[int, int]:
    if link in (1, 113):
        at = ETHERTYPE_OFFSETS[link]
        (kind,) = struct.unpack_from(">H", data, at)
        at += 2
        while kind in VLAN_TAGS:
            (kind,) = struct.unpack_from(">H", data, at + 2)
            at += 4
        return at, kind
    if link == 276:
        return 20, struct.unpack_from(">H", data, 0)[0]
    if link in (0, 108):  # address family in either byte order; the number of AF_INET6 depends on the system
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
    total = total or len(data) - at  # 0 if the packet was captured before segmentation offload
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
    expected = size - head
    if expected < 0:
        return "headers cut or damaged"
    payload = data[at + head : at + size]
    return Segment((source, sport), (target, dport), seq, flags, payload, expected - len(payload))


def name(end: tuple[bytes, int]) -> str:
    """Formats an endpoint as host:port."""
    host = str(ip_address(end[0]))
    return f"[{host}]:{end[1]}" if ":" in host else f"{host}:{end[1]}"


def parse_endpoint(text: str) -> tuple[bytes, int]:
    """Parses an endpoint written as host:port."""
    host, _, port = text.rpartition(":")
    return ip_address(host.strip("[]")).packed, int(port)


def _fold_checksum(total: int) -> int:
    """The Internet checksum for a sum of 16-bit words.

    Reducing modulo 65535 is the same as folding the carries of a one's complement sum.
    """
    return 0xFFFF - (total % 0xFFFF or (0xFFFF if total else 0))


def _sum16(data: bytes) -> int:
    return int.from_bytes(data if len(data) % 2 == 0 else data + b"\0") % 0xFFFF


class PacketBuilder:
    """Builds Ethernet frames from one endpoint to another, with their common parts computed once."""

    def __init__(self, source: tuple[bytes, int], target: tuple[bytes, int]) -> None:
        self.is_ipv4 = len(source[0]) == 4
        self.ports = struct.pack(">HH", source[1], target[1])
        self.hosts = source[0] + target[0]
        self.endpoints_sum = _sum16(self.hosts) + source[1] + target[1]
        self.ethernet_header = b"\2\0\0\0\0\1\2\0\0\0\0\2" + (b"\x08\x00" if self.is_ipv4 else b"\x86\xdd")
        self.ip_sum = _sum16(self.hosts) + 0x4500 + 0x4000 + (64 << 8)

    def tcp(self, payload: bytes, seq: int, ack: int, flags: int) -> bytes:
        """An Ethernet frame with a TCP segment."""
        seq, ack, size = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 20 + len(payload)
        total = (
            self.endpoints_sum
            + 6
            + size
            + (seq >> 16)
            + (seq & 0xFFFF)
            + (ack >> 16)
            + (ack & 0xFFFF)
            + (0x5000 | flags)
            + 65535
            + (_sum16(payload) if payload else 0)
        )
        return b"".join(
            (
                self._ip(6, size),
                self.ports,
                TCP.pack(seq, ack, 0x50, flags, 65535, _fold_checksum(total), 0),
                payload,
            )
        )

    def udp(self, payload: bytes) -> bytes:
        """An Ethernet frame with a UDP datagram."""
        size = 8 + len(payload)
        total = _fold_checksum(self.endpoints_sum + 17 + 2 * size + _sum16(payload)) or 0xFFFF
        return b"".join((self._ip(17, size), self.ports, struct.pack(">HH", size, total), payload))

    def _ip(self, kind: int, size: int) -> bytes:
        if not self.is_ipv4:
            return self.ethernet_header + struct.pack(">IHBB", 6 << 28, size, kind, 64) + self.hosts
        return (
            self.ethernet_header
            + IP.pack(0x45, 0, 20 + size, 0, 0x4000, 64, kind, _fold_checksum(self.ip_sum + 20 + size + kind))
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
    """An Ethernet frame with a TCP segment, or with a UDP datagram if `seq` is -1. Checksums are valid."""
    builder = PacketBuilder(source, target)
    return builder.udp(payload) if seq < 0 else builder.tcp(payload, seq, ack, flags)
