"""One planner's votes and the disk under them: what it promised and accepted, its seat, what it let go.

Who has a seat is an operator's word (`found`, once for each planner when the set is founded). A folder
without one does not vote: whether it is new or lost, it cannot tell by itself, and a lost one may have
promised anything. Nor does one that was found damaged. Called from one place; no trio here.
"""

from collections import deque
from typing import NamedTuple

import msgspec
import xxhash
from msgspec import Struct

from hazelhold.config.planner import CopiesSheet
from hazelhold.replica import claims
from hazelhold.replica import words as w
from hazelhold.replica.acceptor import Acceptor, Cell
from hazelhold.state.disk import Disk
from hazelhold.state.images import Change, drop, put
from hazelhold.state.store import Found, StateError, Store


class Seat(Struct, array_like=True, frozen=True):
    """The place of this folder in the agreed set: whose it is, and of which set."""

    planner: str
    deployment: str
    epoch: int
    digest: str  # of the set


class CellImage(Struct, array_like=True, frozen=True):
    """One key's cell."""

    promised: tuple[int, str]
    accepted: tuple[int, str]
    value: bytes


class Floor(Struct, array_like=True, frozen=True):
    """Below this number no ballot is answered for a key without a cell."""

    number: int


KINDS: dict[str, type[Struct]] = {"seat": Seat, "floor": Floor, "cell": CellImage}
SWEEP_MOST = 1000  # cells let go at a time


def digest(sheet: CopiesSheet) -> str:
    """The same for the same set, in whatever order."""
    said = [sheet.replicas, *sorted((p.name, p.zone) for p in sheet.planners)]
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(said))


def found(disk: Disk, name: str, sheet: CopiesSheet, wall: int) -> None:
    """Gives an empty folder its seat. StateError if anything is there: a planner that lost its disk must not
    get it back this way."""
    store = Store(disk, name, KINDS)
    seen = store.open(wall, name)
    try:
        if not seen.fresh:
            raise StateError("the folder has votes or parts of them: it is founded already")
        store.apply([put("seat", "", Seat(name, sheet.deployment, sheet.epoch, digest(sheet)))])
        store.begin(wall)
    finally:
        store.close()


class Aging(NamedTuple):
    due: int  # wall clock
    key: str
    ballot: w.Ballot


class Votes:
    """Opened once: `acceptor` votes if `why` is empty."""

    def __init__(self, disk: Disk, name: str, sheet: CopiesSheet) -> None:
        self.name, self.sheet = name, sheet
        self.store = Store(disk, name, KINDS)
        self.keep = round(sheet.keep_s * 1e6)
        self.aging: deque[Aging] = deque()  # cells that may be let go, by when; emptied by `sweep`
        self.acceptor = Acceptor(sheet.epoch, False)
        self.why = "not opened"

    def open(self, wall: int, text: str) -> Found:
        """Reads what was promised. StateError if the folder is another planner's, another set's or in use."""
        seen = self.store.open(wall, text)
        ledger = self.store.ledger
        seat: Seat | None = ledger.image("seat", "")
        cells: dict[str, Cell] = {}
        for key, change in ledger.tables["cell"].items():
            image = ledger.decoders["cell"].decode(change.image)
            cells[key] = Cell(w.Ballot(*image.promised), w.Ballot(*image.accepted), image.value)
            self._ages(key, cells[key], wall)
        floor = ledger.image("floor", "")
        if seat is not None:
            self._check(seat)
        self.why = "no_seat" if seat is None else "" if seen.complete else "damaged"
        self.acceptor = Acceptor(self.sheet.epoch, not self.why, cells, floor.number if floor else 0)
        return seen

    def _check(self, seat: Seat) -> None:
        sheet, wrong = self.sheet, ""
        if (seat.planner, seat.deployment) != (self.name, sheet.deployment):
            wrong = f"is the seat of {seat.planner!r} in {seat.deployment!r}"
        elif (seat.epoch, seat.digest) != (sheet.epoch, digest(sheet)):
            wrong = (f"votes in epoch {seat.epoch}; the configuration says {sheet.epoch}, or another set: "
                     "a set is not changed by its file alone")
        if wrong:
            self.store.close()
            raise StateError(f"the folder {wrong}")

    def hear(self, word: w.Prepare | w.Accept | w.Look, wall: int) -> tuple[w.Word, list[Change]]:
        """The answer, and what has to be safe before it leaves."""
        answer, change = self.acceptor.hear(word)
        if change is None:
            return answer, []
        self._ages(change.key, change.cell, wall)
        return answer, [put("cell", change.key, CellImage(*change.cell))]

    def _ages(self, key: str, cell: Cell, wall: int) -> None:
        if cell.accepted != w.NONE and not claims.lasts(cell.value):
            self.aging.append(Aging(wall + self.keep, key, cell.accepted))

    def sweep(self, wall: int) -> list[Change]:
        """Lets go of what has been over for as long as is stated; what must be safe of that."""
        changes: list[Change] = []
        cells = self.acceptor.cells
        while self.aging and self.aging[0].due <= wall and len(changes) < SWEEP_MOST:
            _, key, ballot = self.aging.popleft()
            cell = cells.get(key)
            if cell is not None and cell.accepted == ballot:
                self.acceptor.let_go(key)
                changes.append(drop("cell", key))
        return [put("floor", "", Floor(self.acceptor.floor)), *changes] if changes else []
