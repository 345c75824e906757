"""The disk operations that the store requires, and their implementation on a file system.

Tests and rehearsals replace it with a faulty disk (`hazelhold.standin.disk`).
"""

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """One folder. Operations raise OSError on failure; nothing is retried here."""

    threaded: bool  # calls may block and must run in a thread

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def write(self, name: str, data: bytes) -> None:
        """Appends to the file, creating it if it is missing. Not durable before a `sync`."""

    def sync(self, name: str) -> None:
        """Returns once everything written to the file is durable. After a failure none of it may be relied
        on."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file; durable when it returns."""

    def remove(self, name: str) -> None: ...

    def lock(self, text: str) -> bool:
        """Locks the folder for this process until it ends; returns False if another process holds the lock.

        `text` identifies the holder and is returned by `owner`.
        """

    def owner(self) -> str:
        """Returns the text stored by the last holder of the lock."""

    def unlock(self) -> None: ...


class RealDisk:
    """A folder of the file system."""

    threaded = True

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.files: dict[str, int] = {}
        self.lock_descriptor: int | None = None

    def names(self) -> list[str]:
        return sorted(p.name for p in self.folder.iterdir()) if self.folder.is_dir() else []

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def write(self, name: str, data: bytes) -> None:
        if name not in self.files:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.files[name] = os.open(self.folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o640)
        view = memoryview(data)
        while view:
            view = view[os.write(self.files[name], view) :]

    def sync(self, name: str) -> None:
        os.fdatasync(self.files[name])

    def rename(self, old: str, new: str) -> None:
        os.rename(self.folder / old, self.folder / new)
        if old in self.files:
            os.close(self.files.pop(old))
        self._sync_folder()

    def remove(self, name: str) -> None:
        if name in self.files:
            os.close(self.files.pop(name))
        os.unlink(self.folder / name)

    def _sync_folder(self) -> None:
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def lock(self, text: str) -> bool:
        self.folder.mkdir(parents=True, exist_ok=True)
        descriptor = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o640)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        os.ftruncate(descriptor, 0)
        os.write(descriptor, text.encode())
        self.lock_descriptor = descriptor
        return True

    def owner(self) -> str:
        try:
            return (self.folder / "lock").read_text(errors="replace")
        except OSError:
            return ""

    def unlock(self) -> None:
        for descriptor in self.files.values():
            os.close(descriptor)
        self.files.clear()
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None
