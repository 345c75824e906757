"""What is told of a member, and which of two tellings holds: a total order, so that any order of merging
agrees.

A row is (life, nonce) of one process under a name, `seq`, which only that process raises, and a state. The
younger life holds; within a life `left` is final, then the greater `seq`, then the worse state. So a
suspicion or a `gone` of a life is undone by that life's own word alone (a greater `seq`), and no other
member can bring it back.
"""

from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta, Struct

ALIVE, SUSPECTED, GONE, LEFT = range(4)
STATES = ("alive", "suspected", "gone", "left")
SEQ_BOUND = 1 << 53
Name = Annotated[str, Meta(min_length=1, max_length=100)]
Count = Annotated[int, Meta(ge=0, lt=SEQ_BOUND)]
Nonce = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Row(Struct, array_like=True, frozen=True):
    """One member as it is told of. `by` names who accuses it or called it gone; empty where nobody does."""

    name: Name
    life: Count
    nonce: Nonce
    seq: Count
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    address: Annotated[str, Meta(max_length=120)]
    by: Annotated[str, Meta(max_length=100)] = ""
    zone: Annotated[str, Meta(max_length=60)] = ""
    program: Annotated[str, Meta(max_length=40)] = ""
    speaks: Annotated[list[Annotated[int, Meta(ge=0, le=1 << 31)]], Meta(max_length=16)] = []


Key = tuple[int, int, bool, int, int]


def key(row: Row) -> Key:
    """What decides between two rows of one name: the greater holds."""
    return row.life, row.nonce, row.state == LEFT, row.seq, row.state


def same_life(a: Row, b: Row) -> bool:
    return a.life == b.life and a.nonce == b.nonce


ENCODER = msgspec.msgpack.Encoder()


def told(row: Row) -> msgspec.Raw:
    """The row as it goes on the wire."""
    return msgspec.Raw(ENCODER.encode(row))


def digest(row: Row) -> int:
    """63 bits of all that has to agree between members: not of who accuses."""
    text = b"%b/%d/%d/%d/%d" % (row.name.encode(), row.life, row.nonce, row.seq, row.state)
    return xxhash.xxh3_64_intdigest(text) >> 1


def bucket(name: str, buckets: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % buckets
