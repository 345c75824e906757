"""The folder of one benchmark run: results of its trials, and what its processes write.

Rows are measured in forked processes; the folder's name is fixed in the process that forks them, which
removes it at its end. What a run that was killed left is removed by the next one.
"""

import atexit
import os
import shutil
import tempfile
import time
from pathlib import Path

PREFIX = "hazelhold-trials"
OWNER = os.getpid()
FOLDER = Path(tempfile.gettempdir()) / f"{PREFIX}-{OWNER}-{time.time_ns()}"


def run_folder() -> Path:
    """The folder, made if it is not there."""
    if not FOLDER.exists():
        clear_left(FOLDER.parent)
        FOLDER.mkdir(parents=True, exist_ok=True)
    return FOLDER


def clear_left(place: Path) -> None:
    """Removes the folders of benchmark runs that were killed."""
    for left in place.glob(f"{PREFIX}-*-*"):
        owner = left.name.split("-")[2]
        if owner.isdecimal() and not Path("/proc", owner).exists():
            shutil.rmtree(left, ignore_errors=True)


def _clear() -> None:
    if os.getpid() == OWNER:
        shutil.rmtree(FOLDER, ignore_errors=True)


atexit.register(_clear)
