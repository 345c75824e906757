"""One planner's votes and the disk under them: what it promised and accepted, its seat, what it let go.

A seat says that this folder has what its planner promised: an operator's word when the set is founded
(`found`, once for each planner), later the planner's own once it has copied all anew. One without a seat, or
found damaged, has nothing to give to others that come back. Called from one place; no trio here.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import xxhash
from msgspec import Struct

from hazelhold.config.planner import CopiesConfig
from hazelhold.replica import claims, messages
from hazelhold.replica.acceptor import Acceptor, Cell
from hazelhold.replica.rejoin import RejoinClient, RejoinServer
from hazelhold.replica.sets import ReplicaCandidate, ReplicaSets
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
    copied: bool = False


class Floor(Struct, array_like=True, frozen=True):
    """Below this number no ballot is answered for a key without a cell."""

    number: int


class IncImage(Struct, array_like=True, frozen=True):
    """The latest incarnation known of a planner."""

    number: int
    nonce: int


class ConfirmationImage(Struct, array_like=True, frozen=True):
    """An operator's word, for the next start alone, that this folder is the newest that its planner had."""

    at: int


KINDS: dict[str, type[Struct]] = {
    "seat": Seat,
    "floor": Floor,
    "cell": CellImage,
    "inc": IncImage,
    "vouch": ConfirmationImage,
}
SWEEP_MOST = 1000  # cells let go at a time
Retention = Callable[[str, bytes], bool]  # key and accepted value: whether they are kept for ever


def keep_open_claims(key: str, value: bytes) -> bool:
    """Retention where the values are claims and lives (`claims`): those whose end is not known are kept."""
    return claims.lasts(value)


def keep_all(key: str, value: bytes) -> bool:
    """Retention where no value may ever be let go, such as the one head of a configuration."""
    return True


def digest(config: CopiesConfig) -> str:
    """The same for the same set, in whatever order."""
    said = [config.replicas, *sorted((p.name, p.zone) for p in config.planners)]
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(said))


def found(disk: Disk, name: str, config: CopiesConfig, wall: int) -> None:
    """Gives an empty folder its seat. StateError if anything is there: a planner that lost its disk must not
    get it back this way."""
    store = Store(disk, name, KINDS)
    seen = store.open(wall, name)
    try:
        if not seen.fresh:
            raise StateError("the folder has votes or parts of them: it is founded already")
        store.apply([put("seat", "", Seat(name, config.deployment, config.epoch, digest(config)))])
        store.begin(wall)
    finally:
        store.close()


def vouch(disk: Disk, name: str, wall: int) -> None:
    """Leaves an operator's word that the folder is the newest. StateError if it has no sound votes."""
    store = Store(disk, name, KINDS)
    seen = store.open(wall, name)
    try:
        if not seen.complete or store.ledger.image("seat", "") is None:
            raise StateError("the folder has no seat, or is damaged: there is nothing to vouch for")
        store.apply([put("vouch", "", ConfirmationImage(wall))])
        store.begin(wall)
    finally:
        store.close()


class Aging(NamedTuple):
    due: int  # wall clock
    key: str
    ballot: messages.Ballot


class Votes:
    """Opened once. `acceptor` votes where `joiner` has it; `source` is what others copy from."""

    def __init__(
        self,
        disk: Disk,
        name: str,
        config: CopiesConfig,
        nonce: int,
        retention: Retention = keep_open_claims,
    ) -> None:
        self.name, self.config, self.nonce, self.retention = name, config, nonce, retention
        self.store = Store(disk, name, KINDS)
        self.sets = ReplicaSets([ReplicaCandidate(p.name, p.zone) for p in config.planners], config.replicas)
        self.keep = round(config.keep_s * 1e6)
        self.aging: deque[Aging] = deque()  # cells that may be let go, by when; emptied by `sweep`
        self.acceptor = Acceptor(config.epoch, set(), name=name, sets=self.sets)
        self.kept: dict[
            str, messages.Incarnation
        ] = {}  # incarnations as they are on the disk, or on their way there
        self.rejoin_client: RejoinClient | None = None
        self.source = RejoinServer(name, self.sets, self.acceptor)
        self.why = "not_opened"  # why these votes are none to give: empty, no_seat or damaged

    def open(self, wall: int, text: str) -> Found:
        """Reads what was promised. StateError if the folder is another planner's, another set's or in use."""
        seen = self.store.open(wall, text)
        ledger, acceptor = self.store.ledger, self.acceptor
        seat: Seat | None = ledger.image("seat", "")
        if seat is not None:
            self._check(seat)
        decoder = ledger.decoders["cell"]
        for key, change in ledger.tables["cell"].items():
            image = decoder.decode(change.image)
            cell = Cell(
                messages.Ballot(*image.promised), messages.Ballot(*image.accepted), image.value, image.copied
            )
            acceptor.set(key, cell)
            self._ages(key, cell, wall)
        if floor := ledger.image("floor", ""):
            acceptor.raise_floor(floor.number)
        for name in ledger.tables["inc"]:
            image = ledger.image("inc", name)
            self.kept[name] = messages.Incarnation(image.number, image.nonce)
        acceptor.inc = self.kept.get(self.name, messages.NO_INCARNATION)
        acceptor.known = {n: inc for n, inc in self.kept.items() if n != self.name}
        self.why = "no_seat" if seat is None else "" if seen.complete else "damaged"
        self.source.can_serve = not self.why
        trusted = not self.why and ledger.image("vouch", "") is not None
        ledger.apply([drop("vouch", "")])
        self.rejoin_client = RejoinClient(self.name, self.sets, acceptor, self.nonce, trusted)
        if self.rejoin_client.is_complete():
            ledger.apply(self.incarnations())
            acceptor.voting = set(self.rejoin_client.voted)
        return seen

    def _check(self, seat: Seat) -> None:
        config, wrong = self.config, ""
        if (seat.planner, seat.deployment) != (self.name, config.deployment):
            wrong = f"is the seat of {seat.planner!r} in {seat.deployment!r}"
        elif (seat.epoch, seat.digest) != (config.epoch, digest(config)):
            wrong = (
                f"votes in epoch {seat.epoch}; the configuration says {config.epoch}, or another set: "
                "a set is not changed by its file alone"
            )
        if wrong:
            self.store.close()
            raise StateError(f"the folder {wrong}")

    def receive(
        self, message: messages.Prepare | messages.Accept | messages.Query, wall: int
    ) -> tuple[messages.Message, list[Change]]:
        """The answer, and what has to be safe before it leaves."""
        answer, change = self.acceptor.receive(message)
        if change is None:
            return answer, []
        self._ages(change.key, change.cell, wall)
        return answer, [put("cell", change.key, CellImage(*change.cell))]

    def receive_rejoin(
        self, other: str, message: messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest
    ) -> tuple[messages.RejoinReply | messages.CellPage, list[Change]]:
        """Somebody comes back: the answer, and what has to be safe before it leaves."""
        answer = self.source.receive(other, message)
        return answer, self.incarnations()

    def receive_rejoin_reply(
        self, other: str, message: messages.RejoinReply | messages.CellPage, wall: int
    ) -> list[Change]:
        """What somebody told this one that comes back: what has to be safe before it votes on it."""
        changes, floor = [], self.acceptor.floor
        for change in self.rejoin_client.receive(other, message):
            self._ages(change.key, change.cell, wall)
            changes.append(put("cell", change.key, CellImage(*change.cell)))
        if self.acceptor.floor > floor:
            changes.append(put("floor", "", Floor(self.acceptor.floor)))
        return [*changes, *self.incarnations()]

    def vote(self, slots: set[int], inc: messages.Incarnation) -> None:
        """What was copied for these slots as this incarnation is safe."""
        if inc == self.acceptor.inc:
            self.acceptor.voting = slots

    def incarnations(self) -> list[Change]:
        """What is known of incarnations and not on its way to the disk."""
        changes = []
        for name, inc in [(self.name, self.acceptor.inc), *self.acceptor.known.items()]:
            if inc != self.kept.get(name, messages.NO_INCARNATION):
                self.kept[name] = inc
                changes.append(put("inc", name, IncImage(*inc)))
        return changes

    def restore_seat(self) -> list[Change]:
        """All is copied: these votes are good to give from here on."""
        self.why, self.source.can_serve = "", True
        return [
            put("seat", "", Seat(self.name, self.config.deployment, self.config.epoch, digest(self.config)))
        ]

    def _ages(self, key: str, cell: Cell, wall: int) -> None:
        if cell.accepted != messages.NO_BALLOT and not self.retention(key, cell.value):
            self.aging.append(Aging(wall + self.keep, key, cell.accepted))

    def sweep(self, wall: int) -> list[Change]:
        """Lets go of what has been over for as long as is stated; what must be safe of that."""
        changes: list[Change] = []
        cells = self.acceptor.cells
        while self.aging and self.aging[0].due <= wall and len(changes) < SWEEP_MOST:
            _, key, ballot = self.aging.popleft()
            cell = cells.get(key)
            if cell is not None and cell.accepted == ballot:
                self.acceptor.discard(key)
                changes.append(drop("cell", key))
        return [put("floor", "", Floor(self.acceptor.floor)), *changes] if changes else []
