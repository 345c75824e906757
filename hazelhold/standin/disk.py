"""A stand-in disk in memory that fails as it is told: killed at a numbered point, full, read-only, failing
syncs.

What was written and not synced is lost at a crash but for a prefix drawn at random, as on a real disk. Points
are counted over all disks of a rehearsal and over the sends of its planners, so that every one can be struck.
"""

import errno
import os
from random import Random


class Killed(Exception):  # noqa: N818 - it is no error of the program
    """The process dies here."""


class Points:
    """Counts what happens; `strike` are the numbers at which the process that does it dies."""

    def __init__(self, strike: set[int], seed: int) -> None:
        self.strike, self.count, self.random = strike, 0, Random(f"points/{seed}")
        self.struck: list[str] = []

    def reached(self, what: str) -> bool:
        self.count += 1
        if self.count in self.strike:
            self.struck.append(f"{self.count}: {what}")
            return True
        return False


class FaultyDisk:
    """One folder. `fails` names what fails now: write, sync, rename, read; with which errno."""

    threaded = False

    def __init__(self, points: Points) -> None:
        self.points = points
        self.safe: dict[str, bytes] = {}
        self.loose: dict[str, bytes] = {}  # written, not synced
        self.fails: dict[str, int] = {}
        self.room: int | None = None  # bytes that may still be written
        self.holder = ""
        self.dead = False
        self.ops = 0

    def crash(self) -> None:
        """The process is gone: of what was not synced a random part stays."""
        for name, data in self.loose.items():
            self.safe[name] = self.safe.get(name, b"") + data[: self.points.random.randint(0, len(data))]
        self.loose.clear()
        self.holder, self.dead = "", False

    def _op(self, what: str, name: str = "") -> None:
        self.ops += 1
        if self.dead:
            raise Killed(what)
        if self.points.reached(f"{what} {name}"):
            self.dead = True
            raise Killed(what)
        if what in self.fails:
            raise OSError(self.fails[what], os.strerror(self.fails[what]))

    def names(self) -> list[str]:
        return sorted(self.safe.keys() | self.loose.keys())

    def read(self, name: str) -> bytes:
        self._op("read", name)
        if name not in self.names():
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return self.safe.get(name, b"") + self.loose.get(name, b"")

    def write(self, name: str, data: bytes) -> None:
        if self.room is not None and len(data) > self.room:  # a full disk takes a part
            self.loose[name] = self.loose.get(name, b"") + data[: self.room]
            self.room = 0
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        try:
            self._op("write", name)
        except Killed:  # amid the write
            part = data[: self.points.random.randint(0, len(data))]
            self.loose[name] = self.loose.get(name, b"") + part
            raise
        if self.room is not None:
            self.room -= len(data)
        self.loose[name] = self.loose.get(name, b"") + data

    def sync(self, name: str) -> None:
        self._op("sync", name)
        self.safe[name] = self.safe.get(name, b"") + self.loose.pop(name, b"")

    def rename(self, old: str, new: str) -> None:
        self._op("rename", new)
        self.safe[new] = self.safe.pop(old)

    def remove(self, name: str) -> None:
        self._op("remove", name)
        self.safe.pop(name, None)
        self.loose.pop(name, None)

    def lock(self, text: str) -> bool:
        if self.holder:
            return False
        self.holder = text
        return True

    def owner(self) -> str:
        return self.holder

    def unlock(self) -> None:
        self.holder = ""
