"""The messages between proposers and acceptors. Plain data, without I/O.

A ballot is (number, process): the number grows, and the process (name, start time and a random part) makes it
unique. Every message names the epoch of the configured set that it was made for.
"""

from typing import Literal, NamedTuple

from msgspec import Struct


class Ballot(NamedTuple):
    """A ballot number. Ballots are ordered by number, then by process."""

    number: int
    process: str


class Incarnation(NamedTuple):
    """A start of an acceptor's process. The number is higher than all that others know of this acceptor."""

    number: int
    nonce: int


NO_BALLOT = Ballot(0, "")
NO_INCARNATION = Incarnation(0, 0)
RefusalReason = Literal["ballot", "epoch", "no_vote"]


class Message(Struct, frozen=True, tag_field="t"):
    """A message about one key.

    The ballot identifies the round: replies to an earlier round are not taken for the next.
    """

    key: str
    epoch: int
    ballot: Ballot


class Reply(Message, frozen=True, tag_field="t"):
    """`inc` is the acceptor's incarnation; `known` the latest that it knows of the other replicas of the key,
    by which the proposer recognizes replies of an earlier incarnation."""

    inc: Incarnation = NO_INCARNATION
    known: dict[str, Incarnation] = {}


class Prepare(Message, frozen=True, tag_field="t", tag="prepare"):
    """Requests a promise to accept nothing below this ballot, and the value accepted last."""


class Promise(Reply, frozen=True, tag_field="t", tag="promise"):
    """The reply to Prepare, with the ballot and value accepted last."""

    accepted: Ballot = NO_BALLOT  # NO_BALLOT: nothing was accepted
    value: bytes = b""


class Accept(Message, frozen=True, tag_field="t", tag="accept"):
    """Requests acceptance of a value. An acceptor that accepts also promises the ballot `next`, so that the
    proposer's next change of the key needs no Prepare (the one-round step of the CASPaxos paper)."""

    value: bytes
    next: Ballot = NO_BALLOT


class Accepted(Reply, frozen=True, tag_field="t", tag="accepted"):
    """The positive reply to Accept."""


class Query(Message, frozen=True, tag_field="t", tag="look"):
    """Requests the value accepted last. The acceptor promises nothing and writes nothing."""


class QueryReply(Reply, frozen=True, tag_field="t", tag="seen"):
    """The reply to Query, with the ballot and value accepted last."""

    accepted: Ballot = NO_BALLOT
    value: bytes = b""


class Refused(Message, frozen=True, tag_field="t", tag="refused"):
    """The negative reply. `ballot` is the one refused, `higher` the one promised instead, and `now` the
    acceptor's epoch."""

    why: RefusalReason
    higher: Ballot = NO_BALLOT
    now: int = 0


# Rejoining (`rejoin`), between two planners. `no` matches a reply to the last request.


class CellCopy(NamedTuple):
    """A cell as it is copied to another replica."""

    key: str
    promised: Ballot
    accepted: Ballot
    value: bytes


class RejoinQuery(Struct, frozen=True, tag_field="t", tag="hail"):
    """Sent after a start: requests the incarnation of the sender that the receiver knows, and whether the
    sender can copy from it."""

    no: int


class RejoinReply(Struct, frozen=True, tag_field="t", tag="hailed"):
    """`source`: whether this planner's votes can be copied; one that lost its own cannot serve them."""

    no: int
    known: Incarnation
    source: bool


class RejoinEntry(Struct, frozen=True, tag_field="t", tag="enter"):
    """Announces the sender's incarnation, which the receiver then reports in its replies, and requests the
    cells of the slots whose digests differ (`digests` by slot)."""

    no: int
    inc: Incarnation
    digests: dict[int, int]


class PageRequest(Struct, frozen=True, tag_field="t", tag="next"):
    """Requests the page after the first `after` cells."""

    no: int
    inc: Incarnation
    after: int


class CellPage(Struct, frozen=True, tag_field="t", tag="page"):
    """Cells from `after` on, of `total`. `unready`: slots that both share and on which the sender does not
    vote. `known`: all incarnations that it knows. A `total` of -1: the sender does not know this copy, which
    has to start again."""

    no: int
    after: int
    total: int
    cells: list[CellCopy] = []
    unready: list[int] = []
    known: dict[str, Incarnation] = {}
    floor: int = 0  # lowest ballot number for keys without a cell
