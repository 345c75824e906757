"""Keeps each trial's result for the length of one benchmark run, so that many rows can be read off one trial.

Rows are measured in forked processes of their own; the folder's name is fixed in the process that forks them.
"""

import atexit
import os
import shutil
import tempfile
import time
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import TypeVar

import msgspec

from bench.capacity.hollow.children import RigError, SizeRefusedError
from bench.capacity.hollow.course import run
from bench.capacity.hollow.results import Result, Trial

PREFIX = "hazelhold-trials"
OWNER = os.getpid()
FOLDER = Path(tempfile.gettempdir()) / f"{PREFIX}-{OWNER}-{time.time_ns()}"


class Kept(msgspec.Struct):
    """A trial's result as JSON, or why there is none."""

    result: msgspec.Raw = msgspec.Raw(b"null")
    failure: str = ""
    refused: bool = False


Kind = TypeVar("Kind", bound=msgspec.Struct)


def once(key: bytes, kind: type[Kind], make: Callable[[], Kind]) -> Kind:
    """What `make` gives: made now, or by an earlier row of this benchmark run. RigError if it failed."""
    file = FOLDER / f"{kind.__name__}-{blake2b(key, digest_size=12).hexdigest()}.json"
    if not file.exists():
        clear_left(FOLDER.parent)
        FOLDER.mkdir(parents=True, exist_ok=True)
        try:
            kept = Kept(result=msgspec.Raw(msgspec.json.encode(make())))
        except RigError as wrong:
            kept = Kept(failure=str(wrong), refused=isinstance(wrong, SizeRefusedError))
        file.write_bytes(msgspec.json.encode(kept))
    found = msgspec.json.decode(file.read_bytes(), type=Kept)
    if found.failure:
        raise (SizeRefusedError if found.refused else RigError)(found.failure)
    return msgspec.json.decode(found.result, type=kind)


def result_of(trial: Trial) -> Result:
    """A trial's result, run once in a benchmark run."""
    return once(msgspec.json.encode(trial), Result, lambda: run(trial))


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
