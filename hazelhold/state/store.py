"""The files of one planner's state: snapshots and logs. Independent of trio and of the engine.

Files are numbered by generation: `snapshot-N`, and `log-N` with the changes since that snapshot. A new
generation starts with a new log; then the snapshot is written to a temporary file, synced and renamed, and
only then are the older files deleted. Recovery reads the newest valid snapshot and all logs from its number
on. Nothing is appended to a file of an earlier run or after a failure: after a failed sync it is unknown
which part of a file is durable, so the next attempt is a new, complete generation.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from msgspec import Struct

from hazelhold.state import frames
from hazelhold.state.disk import Disk
from hazelhold.state.frames import Header, Scan
from hazelhold.state.images import FORMAT, KINDS, Change, GuestImage
from hazelhold.state.state_table import StateTable

MIN_LOG_BYTES = 4 << 20  # size of a log before a new generation is worth its snapshot
# Converts batches of older file formats to the current one, by format number.
UPGRADES: dict[int, Callable[[list[Change]], list[Change]]] = {}


class StateError(Exception):
    """The state cannot be used and was not modified; the text names the file and the reason."""


class InUseError(StateError):
    """Another process uses the folder; `pid` is its process id, 0 if unknown."""

    def __init__(self, text: str, pid: int) -> None:
        super().__init__(text)
        self.pid = pid


class StoreContents(NamedTuple):
    """The result of reading a folder. `complete` is False if something that a peer may have seen can be
    missing."""

    state_table: StateTable
    complete: bool
    fresh: bool  # the folder held no state
    generation: int
    notes: list[str]  # faults found, one line for each file
    batches: int = 0


def numbered(names: list[str], kind: str) -> list[int]:
    """Returns the generations of the files of a kind, in ascending order."""
    return sorted(
        int(n[len(kind) + 1 :]) for n in names if n.startswith(kind + "-") and n[len(kind) + 1 :].isdigit()
    )


def _scan(disk: Disk, name: str, planner: str) -> Scan:
    try:
        result = frames.scan(disk.read(name))
    except OSError as error:
        raise StateError(f"{name}: {error.strerror or error}") from None
    head = result.header
    if head is not None:
        if head.format > FORMAT or head.format < FORMAT and head.format not in UPGRADES:
            raise StateError(
                f"{name}: format {head.format}; this program reads format {FORMAT}"
                + "".join(f" and {old}" for old in sorted(UPGRADES))
            )
        if planner and head.planner != planner:
            raise StateError(f"{name}: is of planner {head.planner!r}, not of {planner!r}")
        if head.format != FORMAT:
            result = result._replace(batches=[UPGRADES[head.format](each) for each in result.batches])
    return result


def read(disk: Disk, planner: str = "", kinds: Mapping[str, type[Struct]] = KINDS) -> StoreContents:
    """Reads a folder, without effect on a running planner. Raises StateError if the state belongs to another
    planner or was written by a newer program."""
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
        # The logs in between continue from the older snapshot.
        complete = set(range(base, snapshots[-1])) <= set(logs)
    needed = [n for n in logs if n >= base]
    if base and base not in logs:
        complete = False
        notes.append(f"log-{base}: is missing")
    for number in needed:
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
    """One planner's state on its disk. Times are Unix microseconds."""

    def __init__(self, disk: Disk, planner: str, kinds: Mapping[str, type[Struct]] = KINDS) -> None:
        self.disk, self.planner, self.kinds = disk, planner, kinds
        self.state_table = StateTable(kinds)
        self.generation = 0
        self.healthy = False
        # Images of changed guests that the disk may still hold; cleared by each durable batch.
        self.before: dict[str, GuestImage] = {}
        self.written = self.snapshot_bytes = 0  # bytes in this generation's log and in its snapshot
        self.syncs = self.bytes = self.generations = 0  # totals

    def open(self, now: int, text: str) -> StoreContents:
        """Locks the folder and reads its state. Raises InUseError if another process uses it, StateError if
        the state belongs to another planner or was written by a newer program. Writes nothing; `begin`
        does."""
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
        """Applies and logs changes; durable when it returns. After an OSError none of them may be relied on,
        and the store is unhealthy."""
        self.apply(changes)
        self.log(frames.batch(changes))

    def apply(self, changes: list[Change]) -> None:
        """Applies changes to the state table only; remembers the images that the disk may still hold of
        guests."""
        for change in changes:
            if (
                change.kind == "guest"
                and change.key not in self.before
                and (old := self.state_table.image("guest", change.key))
            ):
                self.before[change.key] = old
        self.state_table.apply(changes)

    def log(self, data: bytes) -> None:
        """Writes and syncs a batch that was applied before; may run in a worker thread."""
        if not self.healthy:
            raise OSError("the store has failed and no new generation was begun")
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
        """Returns whether the log has outgrown its snapshot, so that a new generation is due."""
        return self.healthy and self.written > max(MIN_LOG_BYTES, 2 * self.snapshot_bytes)

    def begin(self, now: int) -> None:
        """Writes a new generation with the whole state. An OSError leaves the older files unchanged."""
        self.finish(*self.prepare(now))

    def prepare(self, now: int) -> tuple[int, bytes, bytes]:
        """Returns the number, the log's header and the snapshot of a new generation, from the current state
        table."""
        self.healthy = False
        self.state_table.expire(now)
        self.before.clear()
        number = self.generation = self.generation + 1  # a number is never reused, even if this fails
        changes = list(self.state_table.changes())
        return (
            number,
            frames.header(Header(FORMAT, self.planner, number, "log", now)),
            frames.header(Header(FORMAT, self.planner, number, "snapshot", now))
            + b"".join(frames.batch(changes[at : at + 1000]) for at in range(0, len(changes), 1000)),
        )

    def finish(self, number: int, log: bytes, data: bytes) -> None:
        """Writes the result of `prepare`; may run in a worker thread."""
        self.disk.write(f"log-{number}", log)
        self.disk.sync(f"log-{number}")
        snapshot = f"snapshot-{number}"
        self.disk.write(snapshot + ".new", data)
        self.disk.sync(snapshot + ".new")
        self.disk.rename(snapshot + ".new", snapshot)
        if number != self.generation:
            return  # a newer generation was begun in the meantime
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
                    return  # the next generation deletes it

    def close(self) -> None:
        """Releases the folder."""
        self.disk.unlock()
