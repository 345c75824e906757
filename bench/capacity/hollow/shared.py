"""Keeps each trial's result for one benchmark run, so that many rows can be read off one trial."""

from collections.abc import Callable
from hashlib import blake2b
from typing import TypeVar

import msgspec

from bench.capacity.hollow.children import RigError, SizeRefusedError
from bench.capacity.hollow.course import run
from bench.capacity.hollow.results import Result, Trial
from bench.capacity.hollow.run_folder import run_folder


class Kept(msgspec.Struct):
    """A trial's result as JSON, or why there is none."""

    result: msgspec.Raw = msgspec.Raw(b"null")
    failure: str = ""
    refused: bool = False


Kind = TypeVar("Kind", bound=msgspec.Struct)


def once(key: bytes, kind: type[Kind], make: Callable[[], Kind]) -> Kind:
    """What `make` gives: made now, or by an earlier row of this benchmark run. RigError if it failed."""
    file = run_folder() / f"{kind.__name__}-{blake2b(key, digest_size=12).hexdigest()}.json"
    if not file.exists():
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
