"""The datagrams between planners: one letter each, MessagePack, at most 1,200 bytes, at most one kind of
matter.

Each names its deployment, so that strangers are told apart, and its sender with life and nonce, so that
what an earlier life sent is known as such. `at` is where the sender is reached: answers never go by a
datagram's source, which address translation and the rig's wires change.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from hazelhold.membership.rows import Count, Name, Nonce, Row

VERSION = 1
BYTES = 1200
BUCKETS = 32
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Bits = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Matter(Struct, array_like=True, frozen=True):
    pass


class Ping(Matter, tag=1):
    """Are you there? Answered by the member `who` alone, at whatever address it came."""

    no: Number
    who: Name


class Ack(Matter, tag=2):
    """`who` answered the ping `no`: the sender itself, or a helper who asked it."""

    no: Number
    who: Name


class Ask(Matter, tag=3):
    """Ping `who` (at `where`) in my place."""

    no: Number
    who: Name
    where: Annotated[str, Meta(max_length=120)]


class Nack(Matter, tag=4):
    """A helper's word: I hear you, and `who` does not answer me either."""

    no: Number
    who: Name


class Sync(Matter, tag=5):
    """Digests of my table by bucket: send me what differs."""

    no: Number
    digests: Annotated[list[Bits], Meta(max_length=64)]


class Rows(Matter, tag=6):
    """Rows, in answer to the sync `to` (0: unasked). `want`: buckets to send me."""

    to: Number = 0
    want: Annotated[list[Annotated[int, Meta(ge=0, lt=64)]], Meta(max_length=64)] = []


class Query(Matter, tag=7):
    """An operator's question: your view, from the name after `after`."""

    no: Number
    after: Annotated[str, Meta(max_length=100)] = ""


class Seen(Struct, array_like=True, frozen=True):
    """A member in somebody's view. Times in microseconds, -1 where there is none."""

    row: Row
    since: int  # how long its state has stood
    heard: int  # how long ago it last answered here
    rtt: int
    unanswered: int  # own probes in a row that nobody could confirm nor answer
    via: str  # through whom it last answered; empty if directly
    accusers: list[str]


class Page(Matter, tag=8):
    """A part of a view, by name. `mine` holds the planner's own standing."""

    no: Number
    seen: list[Seen]
    more: bool
    mine: dict[str, int | str | bool]


class Letter(Struct, array_like=True, frozen=True):
    """One datagram."""

    version: Annotated[int, Meta(ge=1, le=1 << 31)]
    deployment: Annotated[str, Meta(max_length=100)]
    sender: Annotated[str, Meta(max_length=100)]  # empty: no member but an operator's command
    life: Count
    nonce: Nonce
    at: Annotated[str, Meta(max_length=120)]
    matter: Ping | Ack | Ask | Nack | Sync | Rows | Query | Page
    rows: Annotated[list[Row], Meta(max_length=256)] = []


class _Sent(Struct, array_like=True, frozen=True):
    """A letter whose rows are encoded already."""

    version: int
    deployment: str
    sender: str
    life: int
    nonce: int
    at: str
    matter: Matter
    rows: list[msgspec.Raw]


class _Stamp(Struct, array_like=True, frozen=True):
    """What every version's letters begin with."""

    version: int
    deployment: str


class UnreadableError(Exception):
    """A datagram that is no letter for us; its text is a word for the counts."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Letter)
STAMPS = msgspec.msgpack.Decoder(_Stamp)


def encode(deployment: str, me: Row, matter: Matter, rows: list[msgspec.Raw]) -> bytes:
    return ENCODER.encode(_Sent(VERSION, deployment, me.name, me.life, me.nonce, me.address, matter, rows))


def decode(body: bytes, deployment: str) -> Letter:
    """The letter; UnreadableError says in a word what is wrong with it."""
    if len(body) > BYTES:
        raise UnreadableError("too_long")
    try:
        stamp = STAMPS.decode(body)
        if stamp.deployment != deployment:
            raise UnreadableError("stranger")
        if stamp.version > VERSION:
            raise UnreadableError("newer_version")
        return DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError):
        raise UnreadableError("spoilt") from None
