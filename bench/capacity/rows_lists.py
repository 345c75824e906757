"""Rows of the list service as a process of its own, told by hollow workers and watched by real planners.

The service is the project's stand-in, which is a model behind a real socket; what a deployment's own service
costs is not said here, but the bytes that cross are the protocol's.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from bench.capacity.hollow.results import ListResult, Trial
from bench.capacity.registry import RefusedError, measurement
from bench.capacity.rows_hollow import MANY_PLANNERS, WORKERS, Family

INPUTS = ("bench/capacity/hollow", "bench/capacity/rows_hollow.py", "examples/planner.json5")
SLOW = True  # its small sizes are trials of several seconds each

Value = Callable[[ListResult], float]


class Quantity(NamedTuple):
    """What is read off the list service's result, in a phase."""

    key: str
    text: str
    unit: str
    value: Value


def crossed(phase: str, kind: str, direction: str, what: str) -> Value:
    """Messages or bytes with all peers of a kind, one way: incoming is to the service."""
    return lambda found: float(getattr(getattr(found.phases[phase].ways[kind], direction), what))


def told_a_second(found: ListResult) -> float:
    phase = found.phases["rest"]
    return sum(way.incoming.bytes + way.outgoing.bytes for way in phase.ways.values()) / phase.seconds


QUANTITIES = [
    Quantity("memory", "resident memory", "bytes", lambda found: float(found.uses["start"].resident)),
    Quantity("descriptors", "open descriptors", "", lambda found: float(found.uses["start"].descriptors)),
    Quantity(
        "start.cpu",
        "processor time of whole lists for all planners",
        "s",
        lambda found: found.phases["start"].cpu,
    ),
    Quantity(
        "start.bytes",
        "bytes to all planners, from their start to all links ready",
        "bytes",
        crossed("start", "list", "outgoing", "bytes"),
    ),
    Quantity("rest.bytes", "bytes a second at rest, all planners, both ways", "bytes/s", told_a_second),
    Quantity(
        "restart.bytes",
        "bytes to all planners when a zone of workers restarts",
        "bytes",
        crossed("restart", "list", "outgoing", "bytes"),
    ),
    Quantity(
        "restart.told.bytes",
        "bytes from workers when a zone of them restarts",
        "bytes",
        crossed("restart", "worker", "incoming", "bytes"),
    ),
]
NOTE = (
    "the stand-in list service as a real process; planners are real processes, workers hollow; "
    "a zone is a 24th of the workers"
)
FAMILIES = [
    Family(
        "list.process",
        "workers, 3 planners",
        WORKERS,
        lambda size: Trial(workers=size, planners=3, told_planners=MANY_PLANNERS),
        NOTE,
    ),
    Family(
        "list.process.planners",
        "planners, 456 workers",
        (2, 4, 8, 16),
        lambda size: Trial(workers=456, planners=size, told_planners=MANY_PLANNERS),
        NOTE,
    ),
]


def register(family: Family, quantity: Quantity) -> None:
    @measurement(
        id=f"{family.prefix}.{quantity.key}",
        role="list service",
        quantity=quantity.text,
        unit=quantity.unit,
        by=family.by,
        how="real process",
        sizes=family.sizes,
        small=None,
        note=family.note,
    )
    def measured(size: int) -> Iterator[float]:
        result = family.result(size)
        if not all(planner.phases["start"].complete for planner in result.planners):
            raise RefusedError(f"not all links ready after {result.trial.most_start:g} s")
        yield quantity.value(result.lister)


for each_family in FAMILIES:
    for each_quantity in QUANTITIES:
        register(each_family, each_quantity)
