"""The registry of measurements: each row of the result file is one registered generator of values.

A module named `rows_*.py` in this package is found by itself. In it, a function that takes a size and yields
one or more values for it is registered with `@measurement(...)`. It raises `Refused` for a size that the
program or this machine does not bear; any other exception is kept as a failure of that size.

A module may name paths, from the root of the repository, that its rows depend on besides the program and the
module itself, in `INPUTS`; they are part of the rows' revision. One whose small sizes take more than a few
seconds sets `SLOW = True`: `--small` leaves its rows out unless `--only` names them.
"""

import importlib
import pkgutil
from collections.abc import Callable, Iterator
from typing import NamedTuple

from bench.capacity.schema import How

Measure = Callable[[int], Iterator[float]]


class RefusedError(Exception):
    """A size that is not measured, with the reason as its text."""


Refused = RefusedError


class Measurement(NamedTuple):
    """One row to be: what is measured, at which sizes, and the function that yields values."""

    id: str
    role: str
    quantity: str
    unit: str
    by: str
    how: How
    sizes: tuple[int, ...]
    small: tuple[int, ...]
    seed: int
    note: str
    module: str
    inputs: tuple[str, ...]
    measure: Measure
    seconds: float = 300.0  # the longest that one size may take
    rounds: int = 1  # how often all sizes are measured, one after another
    slow: bool = False  # left out of `--small`


REGISTERED: dict[str, Measurement] = {}


def measurement(
    id: str,
    role: str,
    quantity: str,
    unit: str,
    by: str,
    how: How,
    sizes: tuple[int, ...],
    small: tuple[int, ...] | None = (),
    seed: int = 1,
    note: str = "",
    seconds: float = 300.0,
    rounds: int = 1,
) -> Callable[[Measure], Measure]:
    """Registers a row. `small` are the sizes of `--small`; without them the first sizes are halved twice;
    None if the row is left out of such a run.

    Rows of processor time have several `rounds`: other work on the machine comes and goes, and should meet
    all sizes alike. At small sizes one round is made.
    """

    def register(measure: Measure) -> Measure:
        if id in REGISTERED and REGISTERED[id].module != measure.__module__:
            raise ValueError(f"two rows are called {id!r}")
        module = importlib.import_module(measure.__module__)
        REGISTERED[id] = Measurement(
            id,
            role,
            quantity,
            unit,
            by,
            how,
            tuple(sizes),
            small_sizes(sizes, small),
            seed,
            note,
            measure.__module__,
            tuple(getattr(module, "INPUTS", ())),
            measure,
            seconds,
            rounds,
            getattr(module, "SLOW", False),
        )
        return measure

    return register


def small_sizes(sizes: tuple[int, ...], small: tuple[int, ...] | None) -> tuple[int, ...]:
    """The sizes of a `--small` run."""
    if small is None:
        return ()
    return tuple(small) or tuple(max(1, size // 4) for size in sizes[:3])


def discover() -> list[Measurement]:
    """Imports every module named rows_* of this package; returns their rows in the order of registration."""
    import bench.capacity

    for found in sorted(pkgutil.iter_modules(bench.capacity.__path__), key=lambda each: each.name):
        if found.name.startswith("rows_"):
            importlib.import_module(f"bench.capacity.{found.name}")
    return list(REGISTERED.values())
