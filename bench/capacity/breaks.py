"""At which part of the target each role breaks: the first step of the page's rule.

Each verdict's arithmetic is evaluated for 1/64, 1/32, ... 1 of the target: rows that are read at one of
TARGET_SIZES are read at so much of it, but for costs of one (`row@7300 / 7300`), and demands grow as
EXPONENTS says. Everything that the operators told grows with the part, and with it the number of planners;
what does not (a rack, bytes of a change, periods) stays.

A role that the program has no mechanism for breaks at the smallest part. Verdicts in CONSTANTS are limits
that a file sets, and those in VARIANTS are told for comparison: by the rule, neither breaks a role.
"""

import re
from dataclasses import dataclass
from fractions import Fraction

from bench.capacity import target
from bench.capacity.arithmetic import Known, MissingError
from bench.capacity.figures import show, verdict_id
from bench.capacity.schema import ResultFile, Verdict

PARTS = tuple(Fraction(1, 2**power) for power in range(6, -1, -1))
"""1/64, 1/32, ... 1, the smallest first."""

NO_MECHANISM = "none:"
"""How the note of a verdict begins if the program has no mechanism for it."""

EXPONENTS = {
    "planner.starts": 0,  # of one planner; there are as many fewer planners
    "planner.starts.half": 0,
    "planner.starts.twice": 0,
    "planner.tasks": 0,
    "planner.reports": 0,
    "list.changes.rack": 0,
    "voter.claims": 0,
    "voter.cells": 0,
    "news.bytes": -1,
}
"""With which power of the part a demand grows; those not named here, with the first."""

PLANNERS_TOGETHER = {"list-service/traffic-list-with-rooms-to-all-planners"}
"""Verdicts whose budget is that of all planners together, so that it grows with their number."""

RATES = re.compile(r"^(configuration\.process\.)(mean|burst)\.")
"""Rows that were measured at the target's own rate of changes. At a part of it they have so much of what is
beyond rest, unless the arithmetic itself multiplies by a rate."""

OWN_RATE = "demand.configuration."

CONSTANTS = {"list-service/frame-of-the-whole-list", "planner/descriptors"}
"""Verdicts on a constant of a file."""

VARIANTS = (
    "half as many planners",
    "twice as many planners",
    "as up to eight planners send them",
    "without relays",
    "workers of one region alone",
    "eight planners that probe",
)
"""How the resource of a verdict ends that is on other planners, workers or settings than the page
reckons with."""

TARGET_SIZES = {
    float(size)
    for size in (
        target.WORKERS,
        target.WORKERS // target.REGIONS,
        target.PLANNERS,
        2 * target.PLANNERS,
        round(2 * target.STARTS_A_SECOND * target.LIST_PERIOD_S),
    )
}
"""Sizes that a part of the target has less of; a row that is read at another size stays there."""

COST_OF_ONE = re.compile(r"(?P<row>[\w.]+@(?P<size>\d+))(?= / (?P=size)\b)")


@dataclass(frozen=True)
class Break:
    """A role, the smallest part at which it breaks, and by what."""

    role: str
    part: Fraction
    why: str


class PartOfTarget(Known):
    """What references mean at a part of the target."""

    def __init__(self, result: ResultFile, part: Fraction) -> None:
        super().__init__(result.rows, result.demands)
        self.part = float(part)
        self.whole_rate = False  # the arithmetic that is evaluated multiplies by a rate of its own

    def value(self, reference: str) -> float:
        """A row at its part of the size, or a demand at the part."""
        name, at, size = reference.partition("@")
        if name.startswith("demand."):
            return self._demand(name.removeprefix("demand."), super().value(name))
        if at and float(size) in TARGET_SIZES:
            return self._at_rate(name, max(1.0, float(size) * self.part))
        return super().value(reference)

    def _at_rate(self, name: str, size: float) -> float:
        """A row at a size, at a part of the rate that it was measured at if it has one."""
        whole = super().value(f"{name}@{size!r}")
        rest = RATES.sub(r"\1rest.", name)
        if self.whole_rate or rest == name or rest not in self.rows:
            return whole
        at_rest = super().value(f"{rest}@{size!r}")
        return at_rest + (whole - at_rest) * self.part

    def evaluate(self, text: str) -> float:
        """As `Known` does, but for costs of one, which are read at their whole size."""
        self.whole_rate = OWN_RATE in text
        return super().evaluate(COST_OF_ONE.sub(lambda found: repr(Known.value(self, found["row"])), text))

    def _demand(self, name: str, whole: float) -> float:
        """What rests on rows is computed anew from them; the rest grows by its exponent."""
        if name not in EXPONENTS and self.rows_in(self.demands[name].arithmetic):
            return self.evaluate(self.demands[name].arithmetic)
        return whole * self.part ** EXPONENTS.get(name, 1)


def is_variant(verdict: Verdict) -> bool:
    """Whether the verdict is told for comparison only."""
    return verdict.resource.endswith(VARIANTS)


def without_mechanism(verdict: Verdict) -> bool:
    """Whether the program has nothing that could be measured here."""
    return verdict.note.startswith(NO_MECHANISM)


def breaks_at(verdict: Verdict, result: ResultFile) -> Fraction | None:
    """The smallest part at which the verdict's value exceeds its budget."""
    if without_mechanism(verdict):
        return PARTS[0]
    if verdict.value is None:
        return None
    for part in PARTS:
        budget = verdict.budget * (float(part) if verdict_id(verdict) in PLANNERS_TOGETHER else 1.0)
        try:
            if PartOfTarget(result, part).evaluate(verdict.arithmetic) > budget:
                return part
        except MissingError:
            return None
    return None


def _why(verdict: Verdict) -> str:
    name = f"[{verdict.resource}](#{verdict_id(verdict)})"
    if without_mechanism(verdict):
        return f"{name}: no mechanism"
    spent, budget = show(verdict.value or 0.0, verdict.unit), show(verdict.budget, verdict.unit)
    return f"{name}: {spent} at full size, {budget} budgeted"


def find_breaks(result: ResultFile) -> list[Break]:
    """Each role that breaks, the smallest part first; of equals, those without mechanism, then by factor."""
    found: dict[str, tuple[Fraction, float, str]] = {}
    for verdict in result.verdicts:
        if verdict_id(verdict) in CONSTANTS or is_variant(verdict):
            continue
        part = breaks_at(verdict, result)
        if part is None:
            continue
        worst = float("-inf") if without_mechanism(verdict) else -(verdict.factor or 0.0)
        entry = (part, worst, _why(verdict))
        if verdict.role not in found or entry < found[verdict.role]:
            found[verdict.role] = entry
    ordered = sorted(found.items(), key=lambda item: item[1][:2])
    return [Break(role, part, why) for role, (part, _, why) in ordered]
