"""The files of one planner's state: snapshots with logs. Free of trio and of the engine; called from one
place.

Files are numbered by generation: `snapshot-N` and `log-N`, the log with what changed since that snapshot. A
new generation is a new log, then a snapshot that is written beside, made safe and renamed; only then the
older files go. Recovery reads the newest snapshot that is whole and all logs from its number on. Nothing is
ever appended to a file of an earlier run or after a failure: after a failed sync nobody knows what of a file
is safe, so the next try is a new generation, whole.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from msgspec import Struct

from hazelhold.state import frames
from hazelhold.state.disk import Disk
from hazelhold.state.frames import Header, Scan
from hazelhold.state.images import FORMAT, KINDS, Change, GuestImage
from hazelhold.state.state_table import StateTable

LEAST = 4 << 20  # bytes of log before a new generation is worth its snapshot
# How files of older formats become changes of this one: number of the format, and what to do with a batch.
UPGRADES: dict[int, Callable[[list[Change]], list[Change]]] = {}


class StateError(Exception):
    """The state cannot be used, and was not touched; the text says which file and why."""


class InUseError(StateError):
    """Another process has the folder; `pid` is its number, 0 if it is not known."""

    def __init__(self, text: str, pid: int) -> None:
        super().__init__(text)
        self.pid = pid


class StoreContents(NamedTuple):
    """What recovery found. `complete` is False if something that a peer may have seen can be missing."""

    state_table: StateTable
    complete: bool
    fresh: bool  # there was no state
    generation: int
    notes: list[str]  # what was wrong, one line for each file
    batches: int = 0


def numbered(names: list[str], kind: str) -> list[int]:
    return sorted(
        int(n[len(kind) + 1 :]) for n in names if n.startswith(kind + "-") and n[len(kind) + 1 :].isdigit()
    )


def _scan(disk: Disk, name: str, planner: str) -> Scan:
    try:
        found = frames.scan(disk.read(name))
    except OSError as wrong:
        raise StateError(f"{name}: {wrong.strerror or wrong}") from None
    head = found.header
    if head is not None:
        if head.format > FORMAT or head.format < FORMAT and head.format not in UPGRADES:
            raise StateError(
                f"{name}: format {head.format}; this program reads format {FORMAT}"
                + "".join(f" and {old}" for old in sorted(UPGRADES))
            )
        if planner and head.planner != planner:
            raise StateError(f"{name}: is of planner {head.planner!r}, not of {planner!r}")
        if head.format != FORMAT:
            found = found._replace(batches=[UPGRADES[head.format](each) for each in found.batches])
    return found


def read(disk: Disk, planner: str = "", kinds: Mapping[str, type[Struct]] = KINDS) -> StoreContents:
    """What a folder holds; harmless beside a running planner. StateError if it is of another planner or of a
    newer program."""
    names, notes, state_table = disk.names(), [], StateTable(kinds)
    snapshots, logs = numbered(names, "snapshot"), numbered(names, "log")
    if not snapshots and not logs:
        return StoreContents(
            state_table, not any(n.startswith(("snapshot", "log")) for n in names), True, 0, notes
        )
    base, complete, batches = 0, True, 0
    for number in reversed(snapshots):
        scan = _scan(disk, f"snapshot-{number}", planner)
        if scan.header is None or scan.error:
            notes.append(f"snapshot-{number}: {scan.error or 'empty'} {scan.error_detail}")
            continue
        base = number
        for changes in scan.batches:
            state_table.apply(changes)
        break
    else:
        complete = not snapshots and logs[0] == 1
        if not complete:
            notes.append("no snapshot can be read")
    if base and base != snapshots[-1]:
        complete = set(range(base, snapshots[-1])) <= set(logs)  # the logs between lead on from the older one
    wanted = [n for n in logs if n >= base]
    if base and base not in logs:
        complete = False
        notes.append(f"log-{base}: is missing")
    for number in wanted:
        scan = _scan(disk, f"log-{number}", planner)
        for changes in scan.batches:
            state_table.apply(changes)
        batches += len(scan.batches)
        if scan.error:
            notes.append(f"log-{number}: {scan.error} {scan.error_detail}")
            complete = complete and scan.error == "torn"
    top = max([*snapshots, *logs])
    return StoreContents(state_table, complete, False, top, notes, batches)


class Store:
    """One planner's state on its disk."""

    def __init__(self, disk: Disk, planner: str, kinds: Mapping[str, type[Struct]] = KINDS) -> None:
        self.disk, self.planner, self.kinds = disk, planner, kinds
        self.state_table = StateTable(kinds)
        self.generation = 0
        self.healthy = False
        # What the disk may still have of guests that have changed since; emptied by each batch that is safe.
        self.before: dict[str, GuestImage] = {}
        self.written = self.snapshot_bytes = 0  # in this generation's log, in its snapshot
        self.syncs = self.bytes = self.generations = 0  # in all

    def open(self, now: int, text: str) -> StoreContents:
        """Takes the folder and reads what is there. InUseError if another process has it, StateError if it is
        not this planner's or of a newer program. Nothing is written; `begin` does that."""
        if not self.disk.lock(text):
            owner = self.disk.owner().strip()
            pid = owner.rpartition(" ")[2]
            raise InUseError(
                f"the state is in use by {owner or 'another process'}", int(pid) if pid.isdigit() else 0
            )
        try:
            found = read(self.disk, self.planner, self.kinds)
        except StateError:
            self.disk.unlock()
            raise
        self.state_table, self.generation = found.state_table, found.generation
        self.state_table.expire(now)
        return found

    def commit(self, changes: list[Change]) -> None:
        """Safe when it returns. OSError: nothing of it may be relied on, and the store is unhealthy."""
        self.apply(changes)
        self.log(frames.batch(changes))

    def apply(self, changes: list[Change]) -> None:
        """Into the ledger alone; remembers what the disk may still have of guests that it is behind on."""
        for change in changes:
            if (
                change.kind == "guest"
                and change.key not in self.before
                and (old := self.state_table.image("guest", change.key))
            ):
                self.before[change.key] = old
        self.state_table.apply(changes)

    def log(self, data: bytes) -> None:
        """Writes and syncs a batch that `apply` has seen; may run in a thread of its own."""
        if not self.healthy:
            raise OSError("the store has failed and was not begun anew")
        try:
            name = f"log-{self.generation}"
            self.disk.write(name, data)
            self.disk.sync(name)
        except OSError:
            self.healthy = False
            raise
        self.syncs += 1
        self.written += len(data)
        self.bytes += len(data)

    def due(self) -> bool:
        """Whether the log has outgrown its snapshot."""
        return self.healthy and self.written > max(LEAST, 2 * self.snapshot_bytes)

    def begin(self, now: int) -> None:
        """A new generation with all that is kept. OSError leaves the older files as they are."""
        self.finish(*self.prepare(now))

    def prepare(self, now: int) -> tuple[int, bytes, bytes]:
        """The number, the log's head and the snapshot of a new generation, as the ledger is now."""
        self.healthy = False
        self.state_table.expire(now)
        self.before.clear()
        number = self.generation = self.generation + 1  # a number is never used twice, also if this fails
        kept = list(self.state_table.changes())
        return (
            number,
            frames.header(Header(FORMAT, self.planner, number, "log", now)),
            frames.header(Header(FORMAT, self.planner, number, "snapshot", now))
            + b"".join(frames.batch(kept[at : at + 1000]) for at in range(0, len(kept), 1000)),
        )

    def finish(self, number: int, log: bytes, data: bytes) -> None:
        """Writes what `prepare` made; may run in a thread of its own."""
        self.disk.write(f"log-{number}", log)
        self.disk.sync(f"log-{number}")
        snapshot = f"snapshot-{number}"
        self.disk.write(snapshot + ".new", data)
        self.disk.sync(snapshot + ".new")
        self.disk.rename(snapshot + ".new", snapshot)
        if number != self.generation:
            return  # it took so long that another was begun
        self.healthy, self.written, self.snapshot_bytes = True, 0, len(data)
        self.generations += 1
        self.bytes += len(data)
        for name in self.disk.names():
            kind, _, rest = name.partition("-")
            if (
                kind in ("snapshot", "log")
                and rest.removesuffix(".new").isdigit()
                and (int(rest.removesuffix(".new")) < number)
            ):
                try:
                    self.disk.remove(name)
                except OSError:
                    return  # it goes with the next generation

    def close(self) -> None:
        self.disk.unlock()
