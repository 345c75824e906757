"""Rows of real planner processes among hollow workers, on loopback sockets with the real protocol.

Every row of a family is read off the same trials (bench.capacity.hollow.rig). Bytes are those of frames: TCP
and IP headers come on top. Values of a size are one for each planner process.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from bench.capacity.hollow.children import SizeRefusedError
from bench.capacity.hollow.results import KINDS, Phase, PlannerResult, Result, Trial
from bench.capacity.hollow.shared import result_of
from bench.capacity.registry import RefusedError, measurement

INPUTS = ("bench/capacity/hollow", "examples/planner.json5")
SLOW = True  # its small sizes are trials of several seconds each

WORKERS = (456, 912, 1825, 3650, 7300)
MANY_PLANNERS = (
    60  # told to the decision module: past eight it probes nobody; 1,200 starts a second are 20 each
)
STARTS = 20.0  # a second, each planner
Value = Callable[[PlannerResult], float]


class Quantity(NamedTuple):
    """One row of a family: what is read off a planner's result, and the phase that must have been whole, or
    "" if the row says of itself how far it got."""

    key: str
    text: str
    unit: str
    value: Value
    phase: str  # start, rest, load or restart


class Family(NamedTuple):
    """Rows that are read off the same trials."""

    prefix: str
    by: str
    sizes: tuple[int, ...]
    trial: Callable[[int], Trial]
    note: str

    def result(self, size: int) -> Result:
        """The trial of a size; RefusedError if this machine does not bear it."""
        try:
            return result_of(self.trial(size))
        except SizeRefusedError as reason:
            raise RefusedError(str(reason)) from None


def spent(phase: str) -> Value:
    """Processor time of a phase, in seconds."""
    return lambda planner: planner.phases[phase].cpu


def share(phase: str) -> Value:
    """Processor time a second."""
    return lambda planner: planner.phases[phase].cpu / planner.phases[phase].seconds


def crossed(phase: str, what: str) -> Value:
    """Messages or bytes of all connections, both ways, in the whole phase."""

    def value(planner: PlannerResult) -> float:
        ways = planner.phases[phase].ways.values()
        return float(sum(getattr(way.incoming, what) + getattr(way.outgoing, what) for way in ways))

    return value


def a_second(phase: str, what: str) -> Value:
    """The same by time."""
    return lambda planner: crossed(phase, what)(planner) / planner.phases[phase].seconds


def one_way(phase: str, kind: str, direction: str) -> Value:
    """Bytes a second of one kind of connection, one way."""

    def value(planner: PlannerResult) -> float:
        found: Phase = planner.phases[phase]
        return getattr(found.ways[kind], direction).bytes / found.seconds

    return value


STEADY = (
    ("rest", "at rest"),
    ("load", "at the stated rate of starts"),
)
QUANTITIES = [
    Quantity("memory", "resident memory at rest", "bytes", lambda p: float(p.uses["rest"].resident), "rest"),
    Quantity(
        "memory.proportional",
        "proportional memory (PSS) at rest",
        "bytes",
        lambda p: float(p.uses["rest"].proportional),
        "rest",
    ),
    Quantity(
        "memory.load",
        "resident memory under starts",
        "bytes",
        lambda p: float(p.uses["load"].resident),
        "load",
    ),
    Quantity(
        "descriptors", "open descriptors at rest", "", lambda p: float(p.uses["rest"].descriptors), "rest"
    ),
    Quantity("start.cpu", "processor time from start to all links ready", "s", spent("start"), "start"),
    Quantity(
        "start.bytes",
        "bytes from start to all links ready",
        "bytes",
        crossed("start", "bytes"),
        "start",
    ),
    Quantity(
        "start.messages",
        "messages from start to all links ready",
        "messages",
        crossed("start", "messages"),
        "start",
    ),
    Quantity(
        "restart.cpu",
        "processor time while a zone of workers restarts",
        "s",
        spent("restart"),
        "restart",
    ),
    Quantity(
        "restart.bytes",
        "bytes while a zone of workers restarts",
        "bytes",
        crossed("restart", "bytes"),
        "restart",
    ),
    Quantity(
        "restart.messages",
        "messages while a zone of workers restarts",
        "messages",
        crossed("restart", "messages"),
        "restart",
    ),
]
for phase, text in STEADY:
    QUANTITIES += [
        Quantity(f"{phase}.cpu", f"processor time a second {text}", "s/s", share(phase), phase),
        Quantity(f"{phase}.bytes", f"bytes a second {text}", "bytes/s", a_second(phase, "bytes"), phase),
        Quantity(
            f"{phase}.messages",
            f"messages a second {text}",
            "messages/s",
            a_second(phase, "messages"),
            phase,
        ),
    ]
    QUANTITIES += [
        Quantity(
            f"{phase}.{kind}.{short}.bytes",
            f"bytes a second {text}, {kind} connections, {short}",
            "bytes/s",
            one_way(phase, kind, direction),
            phase,
        )
        for kind in KINDS
        for short, direction in (("in", "incoming"), ("out", "outgoing"))
        if phase == "load" or kind != "owner"
    ]

PROCESSES = "planners are real processes, workers and owners hollow ones, all on one machine; "
RAISED = "connect_ms and reconnect_ms raised to 20 s; "
RESTARTED = "a zone is a 24th of the workers, down for 1 s; "
FAMILIES = [
    Family(
        "planner.process",
        "workers",
        WORKERS,
        lambda size: Trial(workers=size, planners=3, told_planners=MANY_PLANNERS, rate=STARTS),
        PROCESSES + RESTARTED + RAISED + "3 processes of 60 planners, so no probes; 20 starts a second each",
    ),
    Family(
        "planner.process.probing",
        "workers",
        WORKERS,
        lambda size: Trial(workers=size, planners=3, told_planners=3, rate=STARTS),
        PROCESSES + RESTARTED + RAISED + "3 planners of 3, which probe every worker; 20 starts a second each",
    ),
    Family(
        "planner.process.region",
        "workers of a region",
        (114, 228, 456, 912),
        lambda size: Trial(workers=size, planners=8, told_planners=8, rate=STARTS),
        PROCESSES
        + RESTARTED
        + RAISED
        + "8 planners of 8 with the workers of one region; 20 starts a second each",
    ),
    Family(
        "planner.process.starts",
        "starts a second of each planner, 912 workers",
        (5, 10, 20, 40, 80),
        lambda size: Trial(workers=912, planners=2, told_planners=MANY_PLANNERS, rate=float(size)),
        PROCESSES + RAISED + "2 processes of 60 planners, so no probes; tasks live 5 s",
    ),
]


def whole(result: Result, quantity: Quantity) -> None:
    """RefusedError unless the state that the quantity speaks of was reached in every planner."""
    trial = result.trial
    for planner in result.planners:
        if quantity.phase and not planner.phases["start"].complete:
            reason = f"{planner.ready} of {trial.workers} links ready after {trial.most_start:g} s"
            raise RefusedError(reason)
        if quantity.phase == "restart" and not planner.phases["restart"].complete:
            raise RefusedError(f"not all links ready {trial.most_restart:g} s after the restart")


def register(family: Family, quantity: Quantity) -> None:
    @measurement(
        id=f"{family.prefix}.{quantity.key}",
        role="planner",
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
        whole(result, quantity)
        for planner in result.planners:
            yield quantity.value(planner)


DEFAULTS = Family(
    "planner.process.default",
    "workers",
    WORKERS,
    lambda size: Trial(
        workers=size,
        planners=3,
        told_planners=MANY_PLANNERS,
        connect_ms=0.0,
        reconnect_ms=0.0,
        start_only=True,
    ),
    PROCESSES + "3 processes of 60 planners, the example's limits: connect_ms 250",
)
DEFAULT_QUANTITIES = [
    Quantity(
        "missing",
        "workers without a link 25 s after a planner's start",
        "workers",
        lambda p: float(p.workers - p.ready),
        "",
    ),
    Quantity("start.cpu", "processor time in the first 25 s, or until all links", "s", spent("start"), ""),
    Quantity(
        "start.bytes",
        "bytes in the first 25 s, or until all links are ready",
        "bytes",
        crossed("start", "bytes"),
        "",
    ),
]
for each_quantity in DEFAULT_QUANTITIES:
    register(DEFAULTS, each_quantity)


def wanted(family: Family, quantity: Quantity) -> bool:
    """Whether a family has a row of this quantity: by kind of connection only where nothing is probed."""
    if family.prefix == "planner.process.starts":
        return quantity.phase == "load"
    return family.prefix == "planner.process" or quantity.key.count(".") < 3


def register_unplaced(family: Family) -> None:
    @measurement(
        id=f"{family.prefix}.load.unplaced",
        role="planner",
        quantity="part of the tasks that are not placed by their deadline",
        unit="",
        by=family.by,
        how="real process",
        sizes=family.sizes,
        small=None,
        note=family.note + "; all planners together, over the whole time of starts",
    )
    def measured(size: int) -> Iterator[float]:
        result = family.result(size)
        yield (result.submitted - result.placed) / result.submitted


for each_family in FAMILIES:
    register_unplaced(each_family)
    for each_quantity in QUANTITIES:
        if wanted(each_family, each_quantity):
            register(each_family, each_quantity)
