"""The rows that members exchange, and their precedence: a total order, so that merging in any order gives
the same result.

A row holds (life, nonce), the incarnation of one process with the name; `seq`, which only that process
raises; and a state. The younger incarnation takes precedence; within an incarnation `left` is final, then
the greater `seq`, then the worse state. So `suspected` or `gone` is refuted only by the incarnation itself
(with a greater `seq`); no other member can revive it.
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
    """A member as it is reported. `by` names the member that suspects it or reported it gone, if any."""

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
    """The precedence of a row among those of one name: the greatest key wins."""
    return row.life, row.nonce, row.state == LEFT, row.seq, row.state


def same_life(a: Row, b: Row) -> bool:
    """Whether both rows are of the same incarnation."""
    return a.life == b.life and a.nonce == b.nonce


ENCODER = msgspec.msgpack.Encoder()


def encode_row(row: Row) -> msgspec.Raw:
    """The row in its encoded form, as it is sent."""
    return msgspec.Raw(ENCODER.encode(row))


def digest(row: Row) -> int:
    """A 63-bit hash of all that must agree between members, which excludes who suspects."""
    text = b"%b/%d/%d/%d/%d" % (row.name.encode(), row.life, row.nonce, row.seq, row.state)
    return xxhash.xxh3_64_intdigest(text) >> 1


def bucket(name: str, buckets: int) -> int:
    """The bucket of the table that holds the name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % buckets
