"""Rows of the holder of configuration: real control machines and planners among hollow followers, through
loads and faults (bench.capacity.configuration). Every row of a family is read off the same trials.

Bytes are those of frames, both ways together unless a row says otherwise; TCP and IP headers come on top.
tests/test_capacity_configuration.py has a small size.
"""

from collections.abc import Callable, Iterator
from functools import partial
from statistics import median
from typing import NamedTuple

import msgspec

from bench.capacity.configuration.course import run
from bench.capacity.configuration.results import Result, Taken, Trial, Used
from bench.capacity.hollow.children import RigError
from bench.capacity.hollow.shared import once
from bench.capacity.registry import RefusedError, measurement

INPUTS = ("bench/capacity/configuration", "examples/planner.json5")

ROLE = "holder of configuration"
PLANNERS = (16, 32, 64, 128, 230)
STEADY = {"rest": "at rest", "mean": "at 0.19 changes a second", "burst": "at 11.1 changes a second for 20 s"}
FAULTS = {
    "zone": "while a zone's followers are killed and return with old state",
    "cut_in": "while a region hears nobody",
    "cut_out": "while nobody hears a region",
    "cut_both": "while a region is cut off both ways",
    "control": "while a control machine is killed and returns",
}
NOTE = (
    "6 control machines (5 keep the head) and 4 planners are real processes, the others hollow followers "
    "with the real protocol and no planner inside, all on one machine; 110 teams; changes of some 300 bytes"
)
Value = Callable[[Result], float]


class Family(NamedTuple):
    """Rows that are read off the same trials: the beginning of their ids, phases, sizes, and trials."""

    prefix: str
    phases: dict[str, str]
    sizes: tuple[int, ...]
    trial: Callable[[int], Trial]
    note: str


FAMILIES = [
    Family(
        "configuration.process", STEADY, PLANNERS, lambda size: Trial(planners=size), "tree with two relays"
    ),
    Family(
        "configuration.process.direct",
        STEADY,
        PLANNERS,
        lambda size: Trial(planners=size, relays=0),
        "no relays: all follow control machines",
    ),
    Family(
        "configuration.process.faults",
        FAULTS,
        PLANNERS,
        lambda size: Trial(planners=size, faults=True),
        "tree with two relays; each fault for 5 s, with a change a second",
    ),
]


class Quantity(NamedTuple):
    """What is read off a phase: the row's last part, text and unit."""

    key: str
    text: str
    unit: str
    value: Callable[[Result, str], float]


def most(field: str, *kinds: str) -> Callable[[Result, str], float]:
    """The most of any machine of these kinds."""
    return lambda result, phase: max(getattr(each, field) for each in result.of(phase, *kinds))


def mean(field: str) -> Callable[[Result, str], float]:
    """The mean of all planners."""

    def value(result: Result, phase: str) -> float:
        used: list[Used] = result.planners(phase)
        return sum(getattr(each, field) for each in used) / len(used)

    return value


def spans(field: str, pick: Callable[[list[float]], float]) -> Callable[[Result, str], float]:
    """A time of all revisions of a phase, in seconds."""

    def value(result: Result, phase: str) -> float:
        taken: list[Taken] = result.phases[phase].taken
        known = [getattr(each, field) for each in taken if getattr(each, field) >= 0]
        if not known or (field == "in_force" and len(known) < len(taken)):
            raise RefusedError(f"known of {len(known)} of {len(taken)} revisions")
        return pick(known)

    return value


def returned(result: Result, phase: str) -> float:
    found = result.phases[phase].returned
    if found < 0:
        raise RefusedError(f"not all have the latest revision {result.trial.most_return:g} s after the end")
    return found


A_SECOND, BYTES = "messages/s", "bytes/s"
MACHINES = [
    Quantity("planner.messages", "messages a second, mean of all planners", A_SECOND, mean("messages")),
    Quantity("planner.bytes", "bytes a second, mean of all planners", BYTES, mean("bytes")),
    Quantity("planner.in.bytes", "bytes a second in, mean of all planners", BYTES, mean("bytes_in")),
    Quantity("planner.out.bytes", "bytes a second out, mean of all planners", BYTES, mean("bytes_out")),
    Quantity("busiest.bytes", "bytes a second, busiest planner", BYTES, most("bytes", "real", "hollow")),
    Quantity("worst.bytes", "bytes in the worst second of a planner", BYTES, most("worst", "real", "hollow")),
    Quantity("planner.cpu", "processor time a second, busiest planner process", "s/s", most("cpu", "real")),
    Quantity(
        "worst.cpu", "processor time in the worst second of a planner", "s/s", most("worst_cpu", "real")
    ),
    Quantity("off.cpu", "processor time a second, planner without it", "s/s", most("cpu", "off")),
    Quantity("control.messages", "messages a second, busiest machine", A_SECOND, most("messages", "control")),
    Quantity("control.bytes", "bytes a second, busiest control machine", BYTES, most("bytes", "control")),
    Quantity(
        "control.worst.bytes",
        "bytes in the worst second of a control machine",
        BYTES,
        most("worst", "control"),
    ),
    Quantity("control.cpu", "processor time a second, busiest machine", "s/s", most("cpu", "control")),
    Quantity(
        "control.worst.cpu",
        "processor time in the worst second of a control machine",
        "s/s",
        most("worst_cpu", "control"),
    ),
]
MEMORY = [
    Quantity("planner.memory", "resident memory, largest planner process", "bytes", most("resident", "real")),
    Quantity("off.memory", "resident memory, planner without it", "bytes", most("resident", "off")),
    Quantity(
        "control.memory", "resident memory, largest control machine", "bytes", most("resident", "control")
    ),
]
TIMES = [
    Quantity("committed.median", "time from asking to committed, median", "s", spans("committed", median)),
    Quantity("committed.worst", "time from asking to committed, longest", "s", spans("committed", max)),
    Quantity(
        "in_force.median",
        "time from asking to in force at the last planner, by its clock, median",
        "s",
        spans("in_force", median),
    ),
    Quantity(
        "in_force.worst",
        "time from asking to in force at the last planner, by its clock, longest",
        "s",
        spans("in_force", max),
    ),
    Quantity(
        "told.median",
        "time until a control machine told that it is in force everywhere, median",
        "s",
        spans("told", median),
    ),
    Quantity(
        "told.worst",
        "time until a control machine told that it is in force everywhere, longest",
        "s",
        spans("told", max),
    ),
]
RETURNED = Quantity("returned", "time from the end until all have the latest revision", "s", returned)


def quantities(phase: str) -> list[Quantity]:
    """What is measured in a phase."""
    if phase == "rest":
        return MACHINES
    if phase in FAULTS:
        return [*MACHINES, TIMES[0], TIMES[1], RETURNED]
    return [*MACHINES, *TIMES] + (MEMORY if phase == "burst" else [])


def result_of(trial: Trial) -> Result:
    """A trial's result, run once in a benchmark run. RefusedError if this machine does not bear it."""
    try:
        return once(msgspec.json.encode(trial), Result, partial(run, trial))
    except RigError as wrong:
        raise RefusedError(str(wrong)) from None


def register(family: Family, phase: str, words: str, quantity: Quantity) -> None:
    @measurement(
        id=f"{family.prefix}.{phase}.{quantity.key}",
        role=ROLE,
        quantity=f"{quantity.text}, {words}",
        unit=quantity.unit,
        by="planners",
        how="real process",
        sizes=family.sizes,
        small=None,
        note=f"{NOTE}; {family.note}",
    )
    def measured(size: int) -> Iterator[float]:
        result = result_of(family.trial(size))
        if result.faults or (result.unequal and not result.trial.faults):  # who is killed reads no more
            raise ValueError(f"{result.unequal} pairs counted differently; {result.faults[:1]}")
        yield quantity.value(result, phase)


for each_family in FAMILIES:
    for each_phase, each_text in each_family.phases.items():
        for each_quantity in quantities(each_phase):
            register(each_family, each_phase, each_text, each_quantity)
