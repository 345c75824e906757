"""Decisions of process checks: whether a guest is moved to identify its machine's process, and which guest.

A guest that was handed over is over if its machine runs another process by now. `engine.process_checks`
shows that by moving one guest, which costs its owner a restart if the guest still runs. So a guest is moved
only where the machine's load reports are those of a process without guests. Reports never prove that: they
are late, off by noise of unknown size, and guests use any share of what they request.
"""

from collections.abc import Callable, Iterable, Sequence
from math import sqrt
from statistics import fmean
from typing import NamedTuple

from hazelhold.interface import GuestClass, Load, MachineKind, RepeatSemantics

PRIOR_NOISE = 0.075
"""Standard deviation of a report as a share of its true value: half of the largest that the bench draws."""

PRIOR_WEIGHT = 4
"""Reported values that count for as much as `PRIOR_NOISE`."""

MAX_SHORTFALL = 3.0
"""Standard errors by which the reports of an empty machine may be too low in all; one in 700 is lower."""

MAX_DEVIATION = 4.0
"""Standard errors by which the reports of an empty machine may be off in one resource."""


class MovableGuest(NamedTuple):
    """A guest that may be moved to check the process of its machine; `name` is the scheduler's."""

    name: str
    guest_class: GuestClass
    cores: float
    memory: float


def report_noise(series: Iterable[Sequence[Load]]) -> float:
    """Estimates the standard deviation of load reports, as a share of the true value.

    `series` holds the reports of each machine over a time in which its use hardly changes. What does change
    makes the result larger, so that more machines look empty.
    """
    squares, degrees = PRIOR_WEIGHT * PRIOR_NOISE**2, PRIOR_WEIGHT
    for reports in series:
        for values, _ in _free_series(reports):
            mean = fmean(values)
            if mean > 0:
                squares += sum((value / mean - 1) ** 2 for value in values)
                degrees += len(values) - 1
    return sqrt(squares / degrees)


def looks_empty(reports: Sequence[Load], kinds: Iterable[MachineKind], noise: float) -> bool:
    """Whether reports may be those of a machine without guests, of any kind: another machine may have the
    address by now. False without reports.
    """
    series = _free_series(reports)
    return bool(series) and any(_may_be_free(series, kind, noise) for kind in kinds)


def guest_to_move(guests: Iterable[MovableGuest], kinds: Sequence[MachineKind]) -> str:
    """The name of the guest whose move costs its owner least; at most once is moved only if all are.

    `guests` must not be empty.
    """
    cores, memory = max(kind.cores for kind in kinds), max(kind.memory for kind in kinds)

    def cost(guest: MovableGuest) -> tuple[bool, float, str]:
        at_most_once = guest.guest_class.repeat is RepeatSemantics.AT_MOST_ONCE
        size = guest.cores / cores + guest.memory / memory
        return at_most_once, guest.guest_class.value * size, guest.name

    return min(guests, key=cost).name


class _FreeSeries(NamedTuple):
    """The values of one resource in successive reports, and how much of it a machine of each kind has."""

    values: list[float]
    of_kind: Callable[[MachineKind], float]


def _free_series(reports: Sequence[Load]) -> list[_FreeSeries]:
    """The free capacity in the reports by resource, as far as all of them have it."""
    series = [
        _FreeSeries([each.cores_free for each in reports], lambda kind: kind.cores),
        _FreeSeries([each.memory_free for each in reports], lambda kind: kind.memory),
    ]
    return [each for each in series if each.values and None not in each.values]


def _may_be_free(series: list[_FreeSeries], kind: MachineKind, noise: float) -> bool:
    """Whether a machine of this kind with all of its capacity free may have sent these reports."""
    deviations = [
        (fmean(values) / of_kind(kind) - 1) * sqrt(len(values)) / noise for values, of_kind in series
    ]
    if max(map(abs, deviations)) > MAX_DEVIATION:
        return False
    return sum(deviations) / sqrt(len(deviations)) >= -MAX_SHORTFALL
