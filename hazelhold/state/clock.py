"""A clock that stays consistent between consecutive processes even if the wall clock is stepped.

Times in a state folder are Unix microseconds. Within one boot of the system they are derived from its
monotonic clock and an offset stored in the folder, so that a step of the wall clock between two processes
shifts no deadline and no window. After a reboot only the wall clock is available.
"""

import contextlib
import os
import time
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
FILE = "clock"


def boot_id() -> str:
    """Returns the system's id of this boot; empty if it has none."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        return ""


def lasting_now(folder: Path) -> int:
    """Returns Unix time in microseconds by the clock of this folder."""
    offset = lasting_offset(folder, time.time_ns() - time.monotonic_ns())
    return (time.monotonic_ns() + offset) // 1000


def lasting_offset(folder: Path, offset: int) -> int:
    """Returns the nanoseconds from the monotonic clock to Unix time, as stored by the first process of this
    boot that used the folder. If this is the first, `offset` is stored and returned. If the folder cannot be
    read or written, `offset` is returned."""
    boot = boot_id()
    if not boot:
        return offset
    path = folder / FILE
    with contextlib.suppress(OSError, ValueError):
        stored_boot, stored = path.read_text(encoding="ascii").split()
        if stored_boot == boot:
            return int(stored)
    with contextlib.suppress(OSError):
        folder.mkdir(parents=True, exist_ok=True)
        new = path.with_suffix(".new")
        new.write_text(f"{boot} {offset}\n", encoding="ascii")
        os.replace(new, path)
    return offset
