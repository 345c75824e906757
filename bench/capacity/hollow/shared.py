"""Keeps each trial's result for the length of one benchmark run, so that many rows can be read off one trial.

Rows are measured in forked processes of their own; the folder's name is fixed in the process that forks them.
"""

import atexit
import os
import shutil
import tempfile
import time
from hashlib import blake2b
from pathlib import Path

import msgspec

from bench.capacity.hollow.children import RigError
from bench.capacity.hollow.course import run
from bench.capacity.hollow.results import Result, Trial

OWNER = os.getpid()
FOLDER = Path(tempfile.gettempdir()) / f"hazelhold-trials-{OWNER}-{time.time_ns()}"


class Failure(msgspec.Struct, tag="failure"):
    """A trial that gave no result, and why."""

    reason: str


class Success(msgspec.Struct, tag="success"):
    """A trial's result."""

    result: Result


def result_of(trial: Trial) -> Result:
    """The trial's result: run now, or by an earlier row of this benchmark run. RigError if it failed."""
    file = FOLDER / f"{blake2b(msgspec.json.encode(trial), digest_size=12).hexdigest()}.json"
    if not file.exists():
        FOLDER.mkdir(parents=True, exist_ok=True)
        file.write_bytes(msgspec.json.encode(_run(trial)))
    found = msgspec.json.decode(file.read_bytes(), type=Success | Failure)
    if isinstance(found, Failure):
        raise RigError(found.reason)
    return found.result


def _run(trial: Trial) -> Success | Failure:
    try:
        return Success(run(trial))
    except RigError as wrong:
        return Failure(str(wrong))


def _clear() -> None:
    if os.getpid() == OWNER:
        shutil.rmtree(FOLDER, ignore_errors=True)


atexit.register(_clear)
