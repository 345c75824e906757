"""The datagrams between planners: MessagePack, at most 1,200 bytes, one payload each.

Each names its deployment, so that foreign datagrams are recognized, and its sender with `life` and `nonce`
(its incarnation), so that datagrams of an earlier incarnation are recognized. `at` is the sender's address:
replies never go to a datagram's source, which address translation and the test rig's proxies change.
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
    """The purpose of a datagram, besides the rows that it carries."""


class Ping(Payload, tag=1):
    """Probes the member `who`. No other member answers, whatever address the ping arrived at."""

    no: Number
    who: Name


class Ack(Payload, tag=2):
    """`who` answered the ping `no`. Sent by `who` itself or by the helper that probed it."""

    no: Number
    who: Name


class PingRequest(Payload, tag=3):
    """Requests an indirect probe of `who` (at the address `where`)."""

    no: Number
    who: Name
    where: Annotated[str, Meta(max_length=120)]


class Nack(Payload, tag=4):
    """A helper's reply that `who` does not answer it either. It proves that the sender and the helper reach
    each other."""

    no: Number
    who: Name


class Sync(Payload, tag=5):
    """The digests of the sender's table by bucket, which requests the buckets that differ."""

    no: Number
    digests: Annotated[list[Bits], Meta(max_length=64)]


class Rows(Payload, tag=6):
    """Rows, in reply to the sync `to` (0: unsolicited). `want`: buckets that the sender requests."""

    to: Number = 0
    want: Annotated[list[Annotated[int, Meta(ge=0, lt=64)]], Meta(max_length=64)] = []


class ViewQuery(Payload, tag=7):
    """An operator's query for the receiver's view, from the name after `after`."""

    no: Number
    after: Annotated[str, Meta(max_length=100)] = ""


class MemberView(Struct, array_like=True, frozen=True):
    """A member as a planner sees it. Times in microseconds, -1 where there is none."""

    row: Row
    since: int  # time since its state changed
    heard: int  # time since its last ack
    rtt: int
    unanswered: int  # consecutive probes by this planner without an ack or a witness
    via: str  # the helper through which it last answered; empty if directly
    accusers: list[str]


class ViewPage(Payload, tag=8):
    """A part of a view, ordered by name. `mine` holds the planner's own status."""

    no: Number
    seen: list[MemberView]
    more: bool
    mine: dict[str, int | str | bool]


class Datagram(Struct, array_like=True, frozen=True):
    """A datagram as it is received."""

    version: Annotated[int, Meta(ge=1, le=1 << 31)]
    deployment: Annotated[str, Meta(max_length=100)]
    sender: Annotated[str, Meta(max_length=100)]  # empty: an operator's command, not a member
    life: Count
    nonce: Nonce
    at: Annotated[str, Meta(max_length=120)]
    payload: Ping | Ack | PingRequest | Nack | Sync | Rows | ViewQuery | ViewPage
    rows: Annotated[list[Row], Meta(max_length=256)] = []


class _EncodedDatagram(Struct, array_like=True, frozen=True):
    """A datagram to send, whose rows are already encoded."""

    version: int
    deployment: str
    sender: str
    life: int
    nonce: int
    at: str
    payload: Payload
    rows: list[msgspec.Raw]


class _Header(Struct, array_like=True, frozen=True):
    """The fields that datagrams of every version begin with."""

    version: int
    deployment: str


class UnreadableError(Exception):
    """A datagram that is not accepted. The text is the cause under which it is counted."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)
HEADER_DECODER = msgspec.msgpack.Decoder(_Header)


def encode(deployment: str, me: Row, payload: Payload, rows: list[msgspec.Raw]) -> bytes:
    """Encodes a datagram from `me`; `rows` are already encoded."""
    return ENCODER.encode(
        _EncodedDatagram(VERSION, deployment, me.name, me.life, me.nonce, me.address, payload, rows)
    )


def decode(body: bytes, deployment: str) -> Datagram:
    """Decodes a datagram. UnreadableError gives the cause: `too_long`, `stranger`, `newer_version` or
    `spoilt`."""
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
