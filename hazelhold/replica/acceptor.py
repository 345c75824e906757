"""The acceptor of a replica: what it promised and accepted for each key, permanently.

`receive` returns the reply and the change that has to be durable *before the reply may be sent*: if a reply
leaves and a crash then loses its promise, two values can be chosen. A disk can be lost, or be restored to an
older state, and a replica cannot detect either by itself. So each start is a new incarnation, which votes on
a slot only once `rejoin` has copied what the other replicas of the set know.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash
from msgspec import msgpack

from hazelhold.replica import messages
from hazelhold.replica.sets import ReplicaSets


class Cell(NamedTuple):
    """The state of one key that an acceptor must never forget. `copied`: the accepted value was copied from
    another replica. It is reported to proposers that prepare, but it is not a vote of this acceptor."""

    promised: messages.Ballot = messages.NO_BALLOT
    accepted: messages.Ballot = messages.NO_BALLOT
    value: bytes = b""
    copied: bool = False


class Change(NamedTuple):
    """A change to make durable: the new cell of the key."""

    key: str
    cell: Cell


def digest(key: str, cell: Cell) -> int:
    """A hash of a key and its cell, without `copied`."""
    return xxhash.xxh3_64_intdigest(ENCODER.encode((key, cell.promised, cell.accepted, cell.value)))


ENCODER = msgpack.Encoder()
COPY = messages.Ballot(-1, "")  # reported to queries for a copied cell: no majority agrees with it


class Acceptor:
    """All cells of a planner in one epoch. `voting`: the slots that it votes on, or a bool for all slots."""

    def __init__(
        self,
        epoch: int,
        voting: bool | set[int],
        cells: dict[str, Cell] | None = None,
        floor: int = 0,
        name: str = "",
        sets: ReplicaSets | None = None,
    ) -> None:
        self.epoch, self.name = epoch, name
        self.voting = voting
        self.sets = sets
        self.cells = cells if cells is not None else {}
        self.empty = Cell(messages.Ballot(floor, ""))
        self.inc = messages.NO_INCARNATION
        self.known: dict[str, messages.Incarnation] = {}  # of the other replicas
        self.digests: dict[int, int] = {}  # by slot: a sum over its cells, in any order
        if sets is not None:
            for key, cell in self.cells.items():
                self._sum(key, digest(key, cell))

    @property
    def floor(self) -> int:
        """The lowest ballot number that is accepted for a key without a cell. It is higher than all that the
        discarded cells had promised, so that no earlier ballot can succeed."""
        return self.empty.promised.number

    def discard(self, key: str) -> None:
        """Removes a cell whose value need not be kept. The new floor has to become durable with it."""
        if cell := self.cells.pop(key, None):
            self._sum(key, -digest(key, cell))
            self.raise_floor(cell.promised.number + 1)

    def raise_floor(self, number: int) -> None:
        """Raises the floor to at least `number`."""
        self.empty = Cell(messages.Ballot(max(self.floor, number), ""))

    def votes_on(self, slot: int) -> bool:
        """Whether this acceptor votes on the keys of the slot."""
        return self.voting if isinstance(self.voting, bool) else slot in self.voting

    def record_incarnation(self, name: str, inc: messages.Incarnation) -> bool:
        """Records a new incarnation of another replica; False if a later one is known. The record has to be
        durable before it is confirmed."""
        if inc < self.known.get(name, messages.NO_INCARNATION):
            return False
        self.known[name] = inc
        return True

    def copy(self, found: messages.CellCopy) -> Change | None:
        """Merges another replica's cell of a key that this acceptor does not vote on yet."""
        mine = self.cells.get(found.key, self.empty)
        new = mine._replace(promised=max(mine.promised, found.promised))
        if found.accepted > mine.accepted:
            new = new._replace(accepted=found.accepted, value=found.value, copied=True)
        if new == mine:
            return None
        self.set(found.key, new)
        return Change(found.key, new)

    def receive(
        self, message: messages.Prepare | messages.Accept | messages.Query
    ) -> tuple[messages.Message, Change | None]:
        """Handles a proposer's message. The change has to be durable before the reply is sent."""
        key, epoch, ballot = message.key, message.epoch, message.ballot
        if epoch != self.epoch:
            return messages.Refused(key, epoch, ballot, "epoch", now=self.epoch), None
        if not (self.voting if isinstance(self.voting, bool) else self.sets.slot(key) in self.voting):
            return messages.Refused(key, epoch, ballot, "no_vote", now=self.epoch), None
        cell = self.cells.get(key, self.empty)
        mine = {"inc": self.inc, "known": self._known(key)}
        if isinstance(message, messages.Query):
            accepted = COPY._replace(process=self.name) if cell.copied else cell.accepted
            return messages.QueryReply(key, epoch, ballot, accepted=accepted, value=cell.value, **mine), None
        if ballot < cell.promised:
            return messages.Refused(key, epoch, ballot, "ballot", cell.promised, self.epoch), None
        if isinstance(message, messages.Prepare):
            reply: messages.Message = messages.Promise(
                key, epoch, ballot, accepted=cell.accepted, value=cell.value, **mine
            )
            new = cell._replace(promised=ballot)
        else:
            reply = messages.Accepted(key, epoch, ballot, **mine)
            new = Cell(max(ballot, message.next), ballot, message.value)
        if new == cell:
            return reply, None
        self.set(key, new)
        return reply, Change(key, new)

    def set(self, key: str, cell: Cell) -> None:
        """Replaces the cell of a key and updates the digest of its slot."""
        if self.sets is not None:
            old = self.cells.get(key)
            self._sum(key, digest(key, cell) - (digest(key, old) if old is not None else 0))
        self.cells[key] = cell

    def _sum(self, key: str, difference: int) -> None:
        if self.sets is not None:
            slot = self.sets.slot(key)
            self.digests[slot] = (self.digests.get(slot, 0) + difference) % (1 << 63)

    def digests_of(self, slots: Iterable[int]) -> dict[int, int]:
        """One number per slot that summarizes its cells; slots without cells are left out."""
        return {s: d for s in slots if (d := self.digests.get(s, 0))}

    def _known(self, key: str) -> dict[str, messages.Incarnation]:
        others = self.known if self.sets is None else self.sets(key)
        return {n: self.known[n] for n in others if n in self.known}
