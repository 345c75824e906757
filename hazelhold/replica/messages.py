"""What proposers and acceptors of agreed values say to each other. Plain data, without I/O.

A ballot is (number, process): the number grows, and the process (name, life and a random part) makes it the
only one of its number. Every message names the epoch of the configured set that it was made for.
"""

from typing import Literal, NamedTuple

from msgspec import Struct


class Ballot(NamedTuple):
    number: int
    process: str


class Inc(NamedTuple):
    """An incarnation of an acceptor: a start of its process, the number above all that others know of it."""

    number: int
    nonce: int


NONE = Ballot(0, "")
NEVER = Inc(0, 0)
Why = Literal["ballot", "epoch", "no_vote"]


class Word(Struct, frozen=True, tag_field="t"):
    """The ballot is the attempt: answers to an earlier one are not taken for the next."""

    key: str
    epoch: int
    ballot: Ballot


class Answer(Word, frozen=True, tag_field="t"):
    """`inc` is the acceptor's own; `known` the latest that it knows of the others in the key's set, which is
    how an answer of an earlier incarnation is found out (`proposer`)."""

    inc: Inc = NEVER
    known: dict[str, Inc] = {}


class Prepare(Word, frozen=True, tag_field="t", tag="prepare"):
    """Promise me nothing below this ballot, and say what you accepted last."""


class Promise(Answer, frozen=True, tag_field="t", tag="promise"):
    accepted: Ballot = NONE  # NONE: nothing was
    value: bytes = b""


class Accept(Word, frozen=True, tag_field="t", tag="accept"):
    """`next`: whoever accepts promises that ballot too, so that the proposer's next change of the key needs
    no Prepare (the one-round step of the CASPaxos paper)."""

    value: bytes
    next: Ballot = NONE


class Accepted(Answer, frozen=True, tag_field="t", tag="accepted"):
    pass


class Look(Word, frozen=True, tag_field="t", tag="look"):
    """Say what you accepted last; promises nothing and writes nothing."""


class Seen(Answer, frozen=True, tag_field="t", tag="seen"):
    accepted: Ballot = NONE
    value: bytes = b""


class Refused(Word, frozen=True, tag_field="t", tag="refused"):
    """`ballot` is the one refused; `higher` what was promised instead, `now` the acceptor's epoch."""

    why: Why
    higher: Ballot = NONE
    now: int = 0


# Coming back (`rejoin`). Between two planners; `no` ties an answer to what was asked last.


class Cells(NamedTuple):
    """A cell on its way: key, promised, accepted, value."""

    key: str
    promised: Ballot
    accepted: Ballot
    value: bytes


class Hail(Struct, frozen=True, tag_field="t", tag="hail"):
    """I have started: which incarnation of me do you know, and may I copy from you?"""

    no: int


class Hailed(Struct, frozen=True, tag_field="t", tag="hailed"):
    """`source`: this planner's votes can be copied; one that lost its own has none to give."""

    no: int
    known: Inc
    source: bool


class Enter(Struct, frozen=True, tag_field="t", tag="enter"):
    """I am this incarnation now. Tell everybody who asks; and send me the cells of the slots in which yours
    are not these (digests by slot)."""

    no: int
    inc: Inc
    digests: dict[int, int]


class Next(Struct, frozen=True, tag_field="t", tag="next"):
    """The page after this many cells."""

    no: int
    inc: Inc
    after: int


class Page(Struct, frozen=True, tag_field="t", tag="page"):
    """Cells from `after` on; `total` in all. `unready`: slots of ours in which the sender does not vote.
    `known`: all incarnations that it knows. Total -1: it knows nothing of this copying, which begins anew."""

    no: int
    after: int
    total: int
    cells: list[Cells] = []
    unready: list[int] = []
    known: dict[str, Inc] = {}
    floor: int = 0  # of ballots for keys without a cell
