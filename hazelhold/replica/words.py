"""What proposers and acceptors of agreed values say to each other. Plain data, without I/O.

A ballot is (number, process): the number grows, and the process (name, life and a random part) makes it the
only one of its number. Every message names the epoch of the configured set that it was made for.
"""

from typing import Literal, NamedTuple

from msgspec import Struct


class Ballot(NamedTuple):
    number: int
    process: str


NONE = Ballot(0, "")
Why = Literal["ballot", "epoch", "no_vote"]


class Word(Struct, frozen=True, tag_field="t"):
    """The ballot is the attempt: answers to an earlier one are not taken for the next."""

    key: str
    epoch: int
    ballot: Ballot


class Prepare(Word, frozen=True, tag_field="t", tag="prepare"):
    """Promise me nothing below this ballot, and say what you accepted last."""


class Promise(Word, frozen=True, tag_field="t", tag="promise"):
    accepted: Ballot  # NONE: nothing was
    value: bytes


class Accept(Word, frozen=True, tag_field="t", tag="accept"):
    value: bytes


class Accepted(Word, frozen=True, tag_field="t", tag="accepted"):
    pass


class Look(Word, frozen=True, tag_field="t", tag="look"):
    """Say what you accepted last; promises nothing and writes nothing."""


class Seen(Word, frozen=True, tag_field="t", tag="seen"):
    accepted: Ballot
    value: bytes


class Refused(Word, frozen=True, tag_field="t", tag="refused"):
    """`ballot` is the one refused; `higher` what was promised instead, `now` the acceptor's epoch."""

    why: Why
    higher: Ballot = NONE
    now: int = 0
