"""Turns a day's faults into timed steps. The same day and seed give the same steps in any environment."""

from random import Random
from typing import NamedTuple

from hazelhold.config.day import Day, Trouble


class Target(NamedTuple):
    """What faults select a machine by."""

    name: str
    kind: str
    zone: int
    cell: int


class FaultStep(NamedTuple):
    """A change of the environment, `at` microseconds after the start of the day."""

    at: int
    what: str
    machine: str = ""
    value: object = None


def plan(day: Day, seed: int, targets: list[Target], services: list[str]) -> list[FaultStep]:
    """Returns all steps of a day, ordered by time."""
    random = Random(f"troubles/{seed}")
    steps: list[FaultStep] = []
    for fault in day.troubles:
        steps += [
            FaultStep(round(at * 1e6), what, machine, value)
            for at, what, machine, value in SHAPES[fault.kind](fault, random, targets, services, day)
        ]
    return sorted(steps, key=lambda s: s.at)


def affected_machines(fault: Trouble, random: Random, targets: list[Target]) -> list[str]:
    """Draws the machines that a fault affects: part of the fleet, from one kind, cell or zone if set."""
    limit = max(1, round(fault.part * len(targets)))
    chosen = list(targets)
    random.shuffle(chosen)
    if fault.by != "any":
        group = getattr(random.choice(targets), fault.by)
        chosen = [s for s in chosen if getattr(s, fault.by) == group]
    return [s.name for s in chosen[:limit]]


def _fleet_wide(what: str, field: str) -> object:
    """A fault that changes one value of the whole fleet for a while."""

    def shape(t: Trouble, *_: object) -> list[tuple]:
        return [(t.at_s, what, "", getattr(t, field)), (t.at_s + t.for_s, what, "", None)]

    return shape


def _per_machine(what: str) -> object:
    """A fault that changes one value of some machines for a while."""

    def shape(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
        names = affected_machines(t, random, targets)
        return [
            (at, what, n, value) for n in names for at, value in ((t.at_s, t.size), (t.at_s + t.for_s, None))
        ]

    return shape


def _crash(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
    return [
        (at, what, n, None)
        for n in affected_machines(t, random, targets)
        for at, what in ((t.at_s, "crash"), (t.at_s + t.for_s, "up"))
    ]


def _vanish(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
    return [
        (at, what, n, None)
        for n in affected_machines(t, random, targets)
        for at, what in ((t.at_s, "silent"), (t.at_s + t.for_s, "crash"), (t.at_s + t.for_s + 0.2, "up"))
    ]


def _mass_restart(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
    steps = []
    for name in affected_machines(t, random, targets):
        at = t.at_s + random.uniform(0, min(t.size, 0.5))
        steps += [(at, "crash", name, None), (at + t.for_s, "up", name, None)]
    return steps


def _deploy(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
    """Batches of `size` of the fleet drain for `extra` seconds, stop, and come back cold, one after
    another."""
    names = affected_machines(t, random, targets)
    batch = max(1, round(min(1.0, t.size) * len(targets)))
    batches = [names[i : i + batch] for i in range(0, len(names), batch)]
    steps = []
    for number, each in enumerate(batches):
        at = t.at_s + number * t.for_s / len(batches)
        for name in each:
            steps += [
                (at, "drain", name, None),
                (at + t.extra, "crash", name, None),
                (at + t.extra + 1.0, "up", name, None),
            ]
    return steps


def _preempt(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
    """In up to four waves: listed as draining, dead `size` seconds later, replaced `extra` seconds after
    that."""
    names = affected_machines(t, random, targets)
    waves = min(4, len(names))
    steps = []
    for at, name in enumerate(names):
        start = t.at_s + (at % waves) * t.for_s / waves
        steps += [
            (start, "notice", name, None),
            (start + t.size, "crash", name, None),
            (start + t.size + t.extra, "up", name, None),
        ]
    return steps


def _ageing(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
    steps = []
    for name in affected_machines(t, random, targets):
        for part in range(1, 9):
            steps.append((t.at_s + t.for_s * part / 9, "slow", name, 1 + (t.size - 1) * part / 8))
        steps += [
            (t.at_s + t.for_s, "crash", name, None),
            (t.at_s + t.for_s, "slow", name, None),
            (t.at_s + t.for_s + t.extra, "up", name, None),
        ]
    return steps


def _heavy(t: Trouble, random: Random, targets: list[Target], services: list[str], day: Day) -> list[tuple]:
    product = day.wares[t.which % len(day.wares)].product
    return [(t.at_s, "heavy", "", (product, t.part, t.size)), (t.at_s + t.for_s, "heavy", "", None)]


def _hot(t: Trouble, random: Random, targets: list[Target], services: list[str], day: Day) -> list[tuple]:
    hot = random.sample(services, max(1, round(t.part * len(services))))
    return [(t.at_s, "hot", "", hot), (t.at_s + t.for_s, "hot", "", None)]


def _flush(t: Trouble, random: Random, targets: list[Target], *_: object) -> list[tuple]:
    return [(t.at_s, "flush", s.name, t.size) for s in targets]


def _cut(t: Trouble, *_: object) -> list[tuple]:
    return [(t.at_s, "cut", "", t.which), (t.at_s + t.for_s, "heal", "", t.which)]


def _planner(first: str) -> object:
    def shape(t: Trouble, *_: object) -> list[tuple]:
        return [(t.at_s, first, "", t.which), (t.at_s + t.for_s, "planner_start", "", t.which)]

    return shape


def _disk(t: Trouble, *_: object) -> list[tuple]:
    """A planner is killed and starts with an empty disk, or with its disk of `extra` seconds before."""
    before = [(t.at_s - t.extra, "planner_copy", "", t.which)] if t.extra else []
    return [
        *before,
        (t.at_s, "planner_kill", "", t.which),
        (t.at_s + t.for_s / 2, "planner_old_disk" if t.extra else "planner_no_disk", "", t.which),
        (t.at_s + t.for_s, "planner_start", "", t.which),
    ]


def _reconnect(t: Trouble, *_: object) -> list[tuple]:
    return [(t.at_s, "rejoin", "", (t.part, round(t.for_s * 1e6)))]


def affected_planners(t: Trouble, day: Day) -> tuple[list[int], list[int]]:
    """The numbers of the planners that a fault affects, and of the peers that it separates them from."""
    if t.by == "zone":
        affected = [n for n in range(day.planners) if n % day.zones == t.which % day.zones]
    else:
        affected = list(t.whom) or [t.which]
    return affected, list(t.others) or [n for n in range(day.planners) if n not in affected]


def _pause(t: Trouble, random: Random, targets: list[Target], services: list[str], day: Day) -> list[tuple]:
    return [
        (at, what, "", number)
        for number in affected_planners(t, day)[0]
        for at, what in ((t.at_s, "planner_pause"), (t.at_s + t.for_s, "planner_resume"))
    ]


def _planner_pairs(first: str, last: str) -> object:
    def shape(
        t: Trouble, random: Random, targets: list[Target], services: list[str], day: Day
    ) -> list[tuple]:
        affected, others = affected_planners(t, day)
        return [
            (t.at_s, first, "", (affected, others, t.way, t.part, t.size)),
            (t.at_s + t.for_s, last, "", (affected, others, t.way, 0.0, 0.0)),
        ]

    return shape


SHAPES = {
    "burst": _fleet_wide("burst", "size"),
    "list_down": _fleet_wide("list_down", "part"),
    "deploy": _deploy,
    "flush": _flush,
    "heavy_tail": _heavy,
    "hot_service": _hot,
    "mass_restart": _mass_restart,
    "preempt": _preempt,
    "vanish": _vanish,
    "report_late": _per_machine("report_late"),
    "fast_errors": _per_machine("errors"),
    "answer_lost": _per_machine("lost"),
    "ageing": _ageing,
    "crash": _crash,
    "zone_cut": _cut,
    "planner_kill": _planner("planner_kill"),
    "planner_stop": _planner("planner_stop"),
    "planner_disk": _disk,
    "reconnect": _reconnect,
    "planner_pause": _pause,
    "planner_cut": _planner_pairs("planner_cut", "planner_heal"),
    "planner_loss": _planner_pairs("planner_loss", "planner_loss"),
}
