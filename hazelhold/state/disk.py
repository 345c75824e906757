"""The few things that the store asks of a disk, and the real one. Faulty ones stand in for it in tests."""

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """One folder. Whatever fails raises OSError; nothing is retried here."""

    threaded: bool  # calls may take long and belong into a thread

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def write(self, name: str, data: bytes) -> None:
        """Appends; the file is made if it is not there. Not safe before a sync."""

    def sync(self, name: str) -> None:
        """Returns once all that was written to the file is safe. After a failure nothing of it is."""

    def rename(self, old: str, new: str) -> None:
        """Safe when it returns."""

    def remove(self, name: str) -> None: ...

    def lock(self, text: str) -> bool:
        """Takes the folder for this process until it ends; False if another has it."""

    def owner(self) -> str:
        """The text that who has the lock left."""

    def unlock(self) -> None: ...


class RealDisk:
    """A folder of the file system."""

    threaded = True

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.files: dict[str, int] = {}
        self.locked: int | None = None

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
        held = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o640)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(held)
            return False
        os.ftruncate(held, 0)
        os.write(held, text.encode())
        self.locked = held
        return True

    def owner(self) -> str:
        try:
            return (self.folder / "lock").read_text(errors="replace")
        except OSError:
            return ""

    def unlock(self) -> None:
        for held in self.files.values():
            os.close(held)
        self.files.clear()
        if self.locked is not None:
            os.close(self.locked)
            self.locked = None
