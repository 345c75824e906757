"""The datagrams between planners: MessagePack, at most 1,200 bytes, one payload each.

Each names its deployment, so that strangers are told apart, and its sender with life and nonce, so that
what an earlier life sent is known as such. `at` is where the sender is reached: answers never go by a
datagram's source, which address translation and the rig's wires change.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from hazelhold.membership.rows import Count, Name, Nonce, Row

VERSION = 1  # of the protocol
MAX_BYTES = 1200  # of a datagram
BUCKETS = 32  # of the table, in digests
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Bits = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Payload(Struct, array_like=True, frozen=True):
    """What a datagram is for, besides the rows that it carries."""


class Ping(Payload, tag=1):
    """Are you there? Answered by the member `who` alone, at whatever address it came."""

    no: Number
    who: Name


class Ack(Payload, tag=2):
    """`who` answered the ping `no`: the sender itself, or a helper who asked it."""

    no: Number
    who: Name


class PingRequest(Payload, tag=3):
    """Ping `who` (at `where`) in my place."""

    no: Number
    who: Name
    where: Annotated[str, Meta(max_length=120)]


class Nack(Payload, tag=4):
    """A helper's answer: I hear you, and `who` does not answer me either."""

    no: Number
    who: Name


class Sync(Payload, tag=5):
    """Digests of my table by bucket: send me what differs."""

    no: Number
    digests: Annotated[list[Bits], Meta(max_length=64)]


class Rows(Payload, tag=6):
    """Rows, in answer to the sync `to` (0: unasked). `want`: buckets to send me."""

    to: Number = 0
    want: Annotated[list[Annotated[int, Meta(ge=0, lt=64)]], Meta(max_length=64)] = []


class ViewQuery(Payload, tag=7):
    """An operator's question: your view, from the name after `after`."""

    no: Number
    after: Annotated[str, Meta(max_length=100)] = ""


class MemberView(Struct, array_like=True, frozen=True):
    """A member in somebody's view. Times in microseconds, -1 where there is none."""

    row: Row
    since: int  # how long its state has stood
    heard: int  # how long ago it last answered here
    rtt: int
    unanswered: int  # own probes in a row that nobody could confirm nor answer
    via: str  # through whom it last answered; empty if directly
    accusers: list[str]


class ViewPage(Payload, tag=8):
    """A part of a view, by name. `mine` holds the planner's own standing."""

    no: Number
    seen: list[MemberView]
    more: bool
    mine: dict[str, int | str | bool]


class Datagram(Struct, array_like=True, frozen=True):
    """One datagram."""

    version: Annotated[int, Meta(ge=1, le=1 << 31)]
    deployment: Annotated[str, Meta(max_length=100)]
    sender: Annotated[str, Meta(max_length=100)]  # empty: no member but an operator's command
    life: Count
    nonce: Nonce
    at: Annotated[str, Meta(max_length=120)]
    payload: Ping | Ack | PingRequest | Nack | Sync | Rows | ViewQuery | ViewPage
    rows: Annotated[list[Row], Meta(max_length=256)] = []


class _EncodedDatagram(Struct, array_like=True, frozen=True):
    """A datagram whose rows are encoded already."""

    version: int
    deployment: str
    sender: str
    life: int
    nonce: int
    at: str
    payload: Payload
    rows: list[msgspec.Raw]


class _Header(Struct, array_like=True, frozen=True):
    """What datagrams of every version begin with."""

    version: int
    deployment: str


class UnreadableError(Exception):
    """A datagram that cannot be taken; its text is the cause as it is counted."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)
HEADER_DECODER = msgspec.msgpack.Decoder(_Header)


def encode(deployment: str, me: Row, payload: Payload, rows: list[msgspec.Raw]) -> bytes:
    """A datagram from `me`; `rows` are encoded already."""
    return ENCODER.encode(
        _EncodedDatagram(VERSION, deployment, me.name, me.life, me.nonce, me.address, payload, rows)
    )


def decode(body: bytes, deployment: str) -> Datagram:
    """The datagram; UnreadableError names the cause (`too_long`, `stranger`, `newer_version`, `spoilt`)."""
    if len(body) > MAX_BYTES:
        raise UnreadableError("too_long")
    try:
        header = HEADER_DECODER.decode(body)
        if header.deployment != deployment:
            raise UnreadableError("stranger")
        if header.version > VERSION:
            raise UnreadableError("newer_version")
        return DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError):
        raise UnreadableError("spoilt") from None
