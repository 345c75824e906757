"""One member of a key's replica set: what it promised and what it accepted, for ever.

`hear` returns the answer and what has to be safe on the disk *before the answer may leave*: an answer that
left on a promise that a crash forgets is how two values get chosen. A member that does not have the disk it
promised on does not vote (`voting` False) until a change of the set takes it in again as a new one.
"""

from typing import NamedTuple

from hazelhold.replica import words as w


class Cell(NamedTuple):
    """What one key's acceptor must never forget."""

    promised: w.Ballot = w.NONE
    accepted: w.Ballot = w.NONE
    value: bytes = b""


class Change(NamedTuple):
    """To be made durable: this key's cell is now this."""

    key: str
    cell: Cell



class Acceptor:
    """All cells of one planner in one epoch."""

    def __init__(
        self, epoch: int, voting: bool, cells: dict[str, Cell] | None = None, floor: int = 0
    ) -> None:
        self.epoch, self.voting = epoch, voting
        self.cells = cells if cells is not None else {}
        self.empty = Cell(w.Ballot(floor, ""))

    @property
    def floor(self) -> int:
        """No ballot below this number is answered for a key without a cell: higher than all that a cell which
        was let go had promised, so that nothing of before comes back."""
        return self.empty.promised.number

    def let_go(self, key: str) -> None:
        """Forgets a cell whose value may be forgotten. The new floor has to be safe with it."""
        if cell := self.cells.pop(key, None):
            self.empty = Cell(w.Ballot(max(self.floor, cell.promised.number + 1), ""))

    def hear(self, word: w.Prepare | w.Accept | w.Look) -> tuple[w.Word, Change | None]:
        key, epoch, ballot = word.key, word.epoch, word.ballot
        if epoch != self.epoch:
            return w.Refused(key, epoch, ballot, "epoch", now=self.epoch), None
        if not self.voting:
            return w.Refused(key, epoch, ballot, "no_vote", now=self.epoch), None
        cell = self.cells.get(key, self.empty)
        if isinstance(word, w.Look):
            return w.Seen(key, epoch, ballot, cell.accepted, cell.value), None
        if ballot < cell.promised:
            return w.Refused(key, epoch, ballot, "ballot", cell.promised, self.epoch), None
        if isinstance(word, w.Prepare):
            answer: w.Word = w.Promise(key, epoch, ballot, cell.accepted, cell.value)
            new = cell._replace(promised=ballot)
        else:
            answer = w.Accepted(key, epoch, ballot)
            new = Cell(ballot, ballot, word.value)
        if new == cell:
            return answer, None
        self.cells[key] = new
        return answer, Change(key, new)
