"""A clock that lasts from one process to the next: real time, whatever is done to the wall clock in between.

Moments in a folder of kept state are Unix microseconds. Within one boot of the system they are counted by its
monotonic clock from an offset that the folder keeps, so that a step of the wall clock between two processes
moves no deadline and no window. After another boot the wall clock is all there is.
"""

import contextlib
import os
import time
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
FILE = "clock"


def boot_id() -> str:
    """The name of this boot; empty if the system has none."""
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError):
        return ""


def lasting_now(folder: Path) -> int:
    """Unix time in microseconds, by the clock of this folder."""
    offset = lasting_offset(folder, time.time_ns() - time.monotonic_ns())
    return (time.monotonic_ns() + offset) // 1000


def lasting_offset(folder: Path, offset: int) -> int:
    """Nanoseconds from the monotonic clock to Unix time, as the first process of this boot that used the
    folder had them; `offset` if this is the first, which is kept. A folder that cannot be read or written
    changes nothing: the offset of this process holds then."""
    boot = boot_id()
    if not boot:
        return offset
    path = folder / FILE
    with contextlib.suppress(OSError, ValueError):
        kept_boot, kept = path.read_text(encoding="ascii").split()
        if kept_boot == boot:
            return int(kept)
    with contextlib.suppress(OSError):
        folder.mkdir(parents=True, exist_ok=True)
        new = path.with_suffix(".new")
        new.write_text(f"{boot} {offset}\n", encoding="ascii")
        os.replace(new, path)
    return offset
