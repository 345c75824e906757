"""The messages between proposers and acceptors of agreed values. Plain data, without I/O.

A ballot is (number, process): the number grows, and the process (name, life and a random part) makes it the
only one of its number. Every message names the epoch of the configured set that it was made for.
"""

from typing import Literal, NamedTuple

from msgspec import Struct


class Ballot(NamedTuple):
    number: int
    process: str


class Incarnation(NamedTuple):
    """An incarnation of an acceptor: a start of its process, the number above all that others know of it."""

    number: int
    nonce: int


NO_BALLOT = Ballot(0, "")
NO_INCARNATION = Incarnation(0, 0)
RefusalReason = Literal["ballot", "epoch", "no_vote"]


class Message(Struct, frozen=True, tag_field="t"):
    """What concerns one key.

    The ballot is the attempt: answers to an earlier one are not taken for the next.
    """

    key: str
    epoch: int
    ballot: Ballot


class Reply(Message, frozen=True, tag_field="t"):
    """`inc` is the acceptor's own; `known` the latest that it knows of the others in the key's set, which is
    how an answer of an earlier incarnation is found out (`proposer`)."""

    inc: Incarnation = NO_INCARNATION
    known: dict[str, Incarnation] = {}


class Prepare(Message, frozen=True, tag_field="t", tag="prepare"):
    """Promise me nothing below this ballot, and say what you accepted last."""


class Promise(Reply, frozen=True, tag_field="t", tag="promise"):
    """The answer to Prepare: what was accepted last, if anything was."""

    accepted: Ballot = NO_BALLOT  # NO_BALLOT: nothing was
    value: bytes = b""


class Accept(Message, frozen=True, tag_field="t", tag="accept"):
    """`next`: whoever accepts promises that ballot too, so that the proposer's next change of the key needs
    no Prepare (the one-round step of the CASPaxos paper)."""

    value: bytes
    next: Ballot = NO_BALLOT


class Accepted(Reply, frozen=True, tag_field="t", tag="accepted"):
    """The answer to Accept."""


class Query(Message, frozen=True, tag_field="t", tag="look"):
    """Say what you accepted last; promises nothing and writes nothing."""


class QueryReply(Reply, frozen=True, tag_field="t", tag="seen"):
    """The answer to Query."""

    accepted: Ballot = NO_BALLOT
    value: bytes = b""


class Refused(Message, frozen=True, tag_field="t", tag="refused"):
    """`ballot` is the one refused; `higher` what was promised instead, `now` the acceptor's epoch."""

    why: RefusalReason
    higher: Ballot = NO_BALLOT
    now: int = 0


# Coming back (`rejoin`). Between two planners; `no` ties an answer to what was asked last.


class CellCopy(NamedTuple):
    """A cell as it is copied: key, promised, accepted, value."""

    key: str
    promised: Ballot
    accepted: Ballot
    value: bytes


class RejoinQuery(Struct, frozen=True, tag_field="t", tag="hail"):
    """I have started: which incarnation of me do you know, and may I copy from you?"""

    no: int


class RejoinReply(Struct, frozen=True, tag_field="t", tag="hailed"):
    """`source`: this planner's votes can be copied; one that lost its own has none to give."""

    no: int
    known: Incarnation
    source: bool


class RejoinEntry(Struct, frozen=True, tag_field="t", tag="enter"):
    """I am this incarnation now. Tell everybody who asks; and send me the cells of the slots in which yours
    are not these (digests by slot)."""

    no: int
    inc: Incarnation
    digests: dict[int, int]


class PageRequest(Struct, frozen=True, tag_field="t", tag="next"):
    """The page after this many cells."""

    no: int
    inc: Incarnation
    after: int


class CellPage(Struct, frozen=True, tag_field="t", tag="page"):
    """Cells from `after` on; `total` in all. `unready`: slots of ours in which the sender does not vote.
    `known`: all incarnations that it knows. Total -1: it knows nothing of this copying, which begins anew."""

    no: int
    after: int
    total: int
    cells: list[CellCopy] = []
    unready: list[int] = []
    known: dict[str, Incarnation] = {}
    floor: int = 0  # of ballots for keys without a cell
