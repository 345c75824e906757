"""One member of a key's replica set: what it promised and what it accepted, for ever.

`hear` returns the answer and what has to be safe on the disk *before the answer may leave*: an answer that
left on a promise that a crash forgets is how two values get chosen. A disk can be lost, or come back older
than it was, and neither shows from inside. So whoever starts is a new incarnation, and votes on a slot only
once `rejoin` has copied what the others of the set know (`ready`).
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash
from msgspec import msgpack

from hazelhold.replica import messages
from hazelhold.replica.sets import ReplicaSets


class Cell(NamedTuple):
    """What one key's acceptor must never forget. `copied`: what was accepted is another's word, told to
    whoever prepares, but no vote of this acceptor's."""

    promised: messages.Ballot = messages.NO_BALLOT
    accepted: messages.Ballot = messages.NO_BALLOT
    value: bytes = b""
    copied: bool = False


class Change(NamedTuple):
    """To be made durable: this key's cell is now this."""

    key: str
    cell: Cell


def digest(key: str, cell: Cell) -> int:
    return xxhash.xxh3_64_intdigest(ENCODER.encode((key, cell.promised, cell.accepted, cell.value)))


ENCODER = msgpack.Encoder()
COPY = messages.Ballot(-1, "")  # what a look is told of a copied cell: no majority agrees with it


class Acceptor:
    """All cells of one planner in one epoch. `voting`: the slots that it votes on, or whether it does."""

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
        self.known: dict[str, messages.Incarnation] = {}  # of the others
        self.digests: dict[int, int] = {}  # by slot: a sum over its cells, whatever their order
        if sets is not None:
            for key, cell in self.cells.items():
                self._sum(key, digest(key, cell))

    @property
    def floor(self) -> int:
        """No ballot below this number is answered for a key without a cell: higher than all that a cell which
        was let go had promised, so that nothing of before comes back."""
        return self.empty.promised.number

    def discard(self, key: str) -> None:
        """Forgets a cell whose value may be forgotten. The new floor has to be safe with it."""
        if cell := self.cells.pop(key, None):
            self._sum(key, -digest(key, cell))
            self.raise_floor(cell.promised.number + 1)

    def raise_floor(self, number: int) -> None:
        self.empty = Cell(messages.Ballot(max(self.floor, number), ""))

    def votes_on(self, slot: int) -> bool:
        return self.voting if isinstance(self.voting, bool) else slot in self.voting

    def record_incarnation(self, name: str, inc: messages.Incarnation) -> bool:
        """Another has started anew; False if a later start of it is known. To be made safe before it is
        told so."""
        if inc < self.known.get(name, messages.NO_INCARNATION):
            return False
        self.known[name] = inc
        return True

    def copy(self, found: messages.CellCopy) -> Change | None:
        """Takes over what another knows of a key on which this one does not vote yet."""
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
            answer: messages.Message = messages.Promise(
                key, epoch, ballot, accepted=cell.accepted, value=cell.value, **mine
            )
            new = cell._replace(promised=ballot)
        else:
            answer = messages.Accepted(key, epoch, ballot, **mine)
            new = Cell(max(ballot, message.next), ballot, message.value)
        if new == cell:
            return answer, None
        self.set(key, new)
        return answer, Change(key, new)

    def set(self, key: str, cell: Cell) -> None:
        if self.sets is not None:
            old = self.cells.get(key)
            self._sum(key, digest(key, cell) - (digest(key, old) if old is not None else 0))
        self.cells[key] = cell

    def _sum(self, key: str, more: int) -> None:
        if self.sets is not None:
            slot = self.sets.slot(key)
            self.digests[slot] = (self.digests.get(slot, 0) + more) % (1 << 63)

    def digests_of(self, slots: Iterable[int]) -> dict[int, int]:
        """What is known in each of these slots, as one number a slot; slots without cells left out."""
        return {s: d for s in slots if (d := self.digests.get(s, 0))}

    def _known(self, key: str) -> dict[str, messages.Incarnation]:
        peers = self.known if self.sets is None else self.sets(key)
        return {n: self.known[n] for n in peers if n in self.known}
