"""A disk in memory with injected faults: crashes at numbered points, a full or read-only disk, failing syncs.

At a crash, bytes that were written and not synced are lost except for a prefix of random length, as on a real
disk. Points are counted over all disks of a rehearsal and over the sends of its planners, so that a crash can
be injected at each of them.
"""

import errno
import os
from random import Random


class Killed(Exception):  # noqa: N818 - not an error of the program
    """Simulates the death of the process at this point."""


class Points:
    """Counts operations; `crash_at` holds the numbers of those at which their process crashes."""

    def __init__(self, crash_at: set[int], seed: int) -> None:
        self.crash_at, self.count, self.random = crash_at, 0, Random(f"points/{seed}")
        self.crashes: list[str] = []

    def reached(self, what: str) -> bool:
        """Counts an operation; returns whether its process crashes at it."""
        self.count += 1
        if self.count in self.crash_at:
            self.crashes.append(f"{self.count}: {what}")
            return True
        return False


class FaultyDisk:
    """One folder in memory. `error_codes` holds the errno of each operation that currently fails: write,
    sync, rename, read."""

    threaded = False

    def __init__(self, points: Points) -> None:
        self.points = points
        self.safe: dict[str, bytes] = {}
        self.unsynced: dict[str, bytes] = {}  # written and not yet synced
        self.error_codes: dict[str, int] = {}
        self.free_bytes: int | None = None  # bytes that can still be written; None: unlimited
        self.lock_holder = ""
        self.dead = False
        self.ops = 0

    def crash(self) -> None:
        """Simulates the end of the process: keeps a random prefix of the unsynced bytes of each file."""
        for name, data in self.unsynced.items():
            self.safe[name] = self.safe.get(name, b"") + data[: self.points.random.randint(0, len(data))]
        self.unsynced.clear()
        self.lock_holder, self.dead = "", False

    def _op(self, what: str, name: str = "") -> None:
        self.ops += 1
        if self.dead:
            raise Killed(what)
        if self.points.reached(f"{what} {name}"):
            self.dead = True
            raise Killed(what)
        if what in self.error_codes:
            raise OSError(self.error_codes[what], os.strerror(self.error_codes[what]))

    def names(self) -> list[str]:
        return sorted(self.safe.keys() | self.unsynced.keys())

    def read(self, name: str) -> bytes:
        self._op("read", name)
        if name not in self.names():
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return self.safe.get(name, b"") + self.unsynced.get(name, b"")

    def write(self, name: str, data: bytes) -> None:
        if self.free_bytes is not None and len(data) > self.free_bytes:  # a full disk writes what fits
            self.unsynced[name] = self.unsynced.get(name, b"") + data[: self.free_bytes]
            self.free_bytes = 0
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        try:
            self._op("write", name)
        except Killed:  # in the middle of the write
            part = data[: self.points.random.randint(0, len(data))]
            self.unsynced[name] = self.unsynced.get(name, b"") + part
            raise
        if self.free_bytes is not None:
            self.free_bytes -= len(data)
        self.unsynced[name] = self.unsynced.get(name, b"") + data

    def sync(self, name: str) -> None:
        self._op("sync", name)
        self.safe[name] = self.safe.get(name, b"") + self.unsynced.pop(name, b"")

    def rename(self, old: str, new: str) -> None:
        self._op("rename", new)
        self.safe[new] = self.safe.pop(old)

    def remove(self, name: str) -> None:
        self._op("remove", name)
        self.safe.pop(name, None)
        self.unsynced.pop(name, None)

    def lock(self, text: str) -> bool:
        if self.lock_holder:
            return False
        self.lock_holder = text
        return True

    def owner(self) -> str:
        return self.lock_holder

    def unlock(self) -> None:
        self.lock_holder = ""
