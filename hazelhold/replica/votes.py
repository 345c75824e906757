"""A planner's votes on disk: what it promised and accepted, its seat, and the floor of discarded cells.

A seat states that this folder holds what its planner promised. An operator creates it when the set is founded
(`found`, once for each planner); later the planner itself does so, once it has copied everything again. A
folder without a seat, or a damaged one, cannot serve votes to planners that rejoin. All calls come from one
place; no trio here.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import xxhash
from msgspec import Struct

from hazelhold.config.planner import ReplicationConfig
from hazelhold.replica import claims, messages
from hazelhold.replica.acceptor import Acceptor, Cell
from hazelhold.replica.rejoin import RejoinClient, RejoinServer
from hazelhold.replica.sets import ReplicaCandidate, ReplicaSets
from hazelhold.state.disk import Disk
from hazelhold.state.images import Change, drop, put
from hazelhold.state.store import StateError, Store, StoreContents


class Seat(Struct, array_like=True, frozen=True):
    """The place of this folder in the agreed set: its planner and the set."""

    planner: str
    deployment: str
    epoch: int
    digest: str  # of the set


class CellImage(Struct, array_like=True, frozen=True):
    """The cell of one key."""

    promised: tuple[int, str]
    accepted: tuple[int, str]
    value: bytes
    copied: bool = False


class Floor(Struct, array_like=True, frozen=True):
    """The lowest ballot number that is accepted for a key without a cell."""

    number: int


class IncImage(Struct, array_like=True, frozen=True):
    """The latest known incarnation of a planner."""

    number: int
    nonce: int


class ConfirmationImage(Struct, array_like=True, frozen=True):
    """An operator's confirmation, for the next start only, that this folder is the newest of its planner."""

    at: int


KINDS: dict[str, type[Struct]] = {
    "seat": Seat,
    "floor": Floor,
    "cell": CellImage,
    "inc": IncImage,
    "vouch": ConfirmationImage,
}
MAX_SWEEP = 1000  # cells discarded in one sweep
Retention = Callable[[str, bytes], bool]  # from key and accepted value: whether to keep them permanently


def keep_open_claims(key: str, value: bytes) -> bool:
    """Retention for claims and run numbers (`claims`): keeps those whose end is not known."""
    return claims.lasts(value)


def keep_all(key: str, value: bytes) -> bool:
    """Retention where no value may ever be discarded, such as the single head of a configuration."""
    return True


def digest(config: ReplicationConfig) -> str:
    """A digest of the configured set that does not depend on its order."""
    described = [config.replicas, *sorted((p.name, p.zone) for p in config.planners)]
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(described))


def found(disk: Disk, name: str, config: ReplicationConfig, wall: int) -> None:
    """Creates the seat in an empty folder. StateError if the folder is not empty: a planner that lost its
    disk must not regain its seat this way."""
    store = Store(disk, name, KINDS)
    seen = store.open(wall, name)
    try:
        if not seen.fresh:
            raise StateError("the folder is not empty: it is founded already")
        store.apply([put("seat", "", Seat(name, config.deployment, config.epoch, digest(config)))])
        store.begin(wall)
    finally:
        store.close()


def confirm(disk: Disk, name: str, wall: int) -> None:
    """Stores an operator's confirmation that the folder is the newest. StateError without valid votes."""
    store = Store(disk, name, KINDS)
    seen = store.open(wall, name)
    try:
        if not seen.complete or store.state_table.image("seat", "") is None:
            raise StateError("the folder has no seat, or is damaged: there is nothing to confirm")
        store.apply([put("vouch", "", ConfirmationImage(wall))])
        store.begin(wall)
    finally:
        store.close()


class Aging(NamedTuple):
    """A cell that may be discarded at `due`, if its accepted ballot is still the same."""

    due: int  # microseconds of the wall clock
    key: str
    ballot: messages.Ballot


class Votes:
    """The votes of one planner; `open` once. `acceptor` votes on the slots that `rejoin_client` has copied;
    `source` serves the votes to others."""

    def __init__(
        self,
        disk: Disk,
        name: str,
        config: ReplicationConfig,
        nonce: int,
        retention: Retention = keep_open_claims,
    ) -> None:
        self.name, self.config, self.nonce, self.retention = name, config, nonce, retention
        self.store = Store(disk, name, KINDS)
        self.sets = ReplicaSets([ReplicaCandidate(p.name, p.zone) for p in config.planners], config.replicas)
        self.retention_time = round(config.keep_s * 1e6)
        self.aging: deque[Aging] = deque()  # cells that may be discarded, by time; emptied by `sweep`
        self.acceptor = Acceptor(config.epoch, set(), name=name, sets=self.sets)
        # incarnations that are on disk or being written
        self.stored_incarnations: dict[str, messages.Incarnation] = {}
        self.rejoin_client: RejoinClient | None = None
        self.source = RejoinServer(name, self.sets, self.acceptor)
        self.unusable_reason = (
            "not_opened"  # why these votes cannot be served: not_opened, no_seat or damaged; else empty
        )

    def open(self, wall: int, text: str) -> StoreContents:
        """Reads the votes. StateError if the folder belongs to another planner or set, or is in use."""
        seen = self.store.open(wall, text)
        state_table, acceptor = self.store.state_table, self.acceptor
        seat: Seat | None = state_table.image("seat", "")
        if seat is not None:
            self._check(seat)
        decoder = state_table.decoders["cell"]
        for key, change in state_table.tables["cell"].items():
            image = decoder.decode(change.image)
            cell = Cell(
                messages.Ballot(*image.promised), messages.Ballot(*image.accepted), image.value, image.copied
            )
            acceptor.set(key, cell)
            self._schedule_discard(key, cell, wall)
        if floor := state_table.image("floor", ""):
            acceptor.raise_floor(floor.number)
        for name in state_table.tables["inc"]:
            image = state_table.image("inc", name)
            self.stored_incarnations[name] = messages.Incarnation(image.number, image.nonce)
        acceptor.inc = self.stored_incarnations.get(self.name, messages.NO_INCARNATION)
        acceptor.known = {n: inc for n, inc in self.stored_incarnations.items() if n != self.name}
        self.unusable_reason = "no_seat" if seat is None else "" if seen.complete else "damaged"
        self.source.can_serve = not self.unusable_reason
        trusted = not self.unusable_reason and state_table.image("vouch", "") is not None
        state_table.apply([drop("vouch", "")])
        self.rejoin_client = RejoinClient(self.name, self.sets, acceptor, self.nonce, trusted)
        if self.rejoin_client.is_complete():
            state_table.apply(self.incarnations())
            acceptor.voting = set(self.rejoin_client.voted)
        return seen

    def _check(self, seat: Seat) -> None:
        config, error = self.config, ""
        if (seat.planner, seat.deployment) != (self.name, config.deployment):
            error = f"is the seat of {seat.planner!r} in {seat.deployment!r}"
        elif (seat.epoch, seat.digest) != (config.epoch, digest(config)):
            error = (
                f"votes in epoch {seat.epoch}; the configuration has epoch {config.epoch}, or another set: "
                "a set is not changed by its file alone"
            )
        if error:
            self.store.close()
            raise StateError(f"the folder {error}")

    def receive(
        self, message: messages.Prepare | messages.Accept | messages.Query, wall: int
    ) -> tuple[messages.Message, list[Change]]:
        """Returns the acceptor's reply and the changes that have to be durable before it is sent."""
        reply, change = self.acceptor.receive(message)
        if change is None:
            return reply, []
        self._schedule_discard(change.key, change.cell, wall)
        return reply, [put("cell", change.key, CellImage(*change.cell))]

    def receive_rejoin(
        self, other: str, message: messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest
    ) -> tuple[messages.RejoinReply | messages.CellPage, list[Change]]:
        """Handles the message of a rejoining planner. Returns the reply and the changes that have to be
        durable before it is sent."""
        reply = self.source.receive(other, message)
        return reply, self.incarnations()

    def receive_rejoin_reply(
        self, other: str, message: messages.RejoinReply | messages.CellPage, wall: int
    ) -> list[Change]:
        """Handles a reply to this planner's rejoin. Returns the changes that have to be durable before it
        votes on them."""
        changes, floor = [], self.acceptor.floor
        for change in self.rejoin_client.receive(other, message):
            self._schedule_discard(change.key, change.cell, wall)
            changes.append(put("cell", change.key, CellImage(*change.cell)))
        if self.acceptor.floor > floor:
            changes.append(put("floor", "", Floor(self.acceptor.floor)))
        return [*changes, *self.incarnations()]

    def vote(self, slots: set[int], inc: messages.Incarnation) -> None:
        """Lets the acceptor vote on these slots, since what it copied for them as incarnation `inc` is
        durable."""
        if inc == self.acceptor.inc:
            self.acceptor.voting = slots

    def incarnations(self) -> list[Change]:
        """The changes for incarnations that are known but not yet on disk or being written."""
        changes = []
        for name, inc in [(self.name, self.acceptor.inc), *self.acceptor.known.items()]:
            if inc != self.stored_incarnations.get(name, messages.NO_INCARNATION):
                self.stored_incarnations[name] = inc
                changes.append(put("inc", name, IncImage(*inc)))
        return changes

    def restore_seat(self) -> list[Change]:
        """Marks the votes as fit to be served, since all slots are copied; returns the seat to store."""
        self.unusable_reason, self.source.can_serve = "", True
        return [
            put("seat", "", Seat(self.name, self.config.deployment, self.config.epoch, digest(self.config)))
        ]

    def _schedule_discard(self, key: str, cell: Cell, wall: int) -> None:
        if cell.accepted != messages.NO_BALLOT and not self.retention(key, cell.value):
            self.aging.append(Aging(wall + self.retention_time, key, cell.accepted))

    def sweep(self, wall: int) -> list[Change]:
        """Discards the cells whose retention time is over. Returns the changes to make durable."""
        changes: list[Change] = []
        cells = self.acceptor.cells
        while self.aging and self.aging[0].due <= wall and len(changes) < MAX_SWEEP:
            _, key, ballot = self.aging.popleft()
            cell = cells.get(key)
            if cell is not None and cell.accepted == ballot:
                self.acceptor.discard(key)
                changes.append(drop("cell", key))
        return [put("floor", "", Floor(self.acceptor.floor)), *changes] if changes else []
