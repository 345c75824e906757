"""Figures of one phase, from what was counted at the connections' ends and noted by followers."""

from collections import Counter
from typing import TYPE_CHECKING

from bench.capacity.configuration.fleet import Fleet
from bench.capacity.configuration.messages import Crossed
from bench.capacity.configuration.results import Taken, Used

if TYPE_CHECKING:
    from bench.capacity.configuration.course import Course


def machine_figures(fleet: Fleet, first: int, last: int, span: float) -> dict[str, Used]:
    """What every machine sent and received in these seconds, the last one excluded, by `span` seconds. A
    hollow follower counts for itself; for a process its peers do, or the wires."""
    found = {name: Used() for name in fleet.addresses}
    hollow = set(fleet.layout.hollow)
    worst: dict[str, Counter[int]] = {name: Counter() for name in found}
    for each in fleet.crossed:
        if not first <= each.second < last:
            continue
        if each.sender in found and counts(each, each.sender, "sender", hollow):
            found[each.sender].messages_out += each.messages
            found[each.sender].bytes_out += each.bytes
            worst[each.sender][each.second] += each.bytes
        if each.receiver in found and counts(each, each.receiver, "receiver", hollow):
            found[each.receiver].messages_in += each.messages
            found[each.receiver].bytes_in += each.bytes
            worst[each.receiver][each.second] += each.bytes
    for name, used in found.items():
        for field in ("messages_in", "messages_out", "bytes_in", "bytes_out"):
            setattr(used, field, getattr(used, field) / span)
        used.worst = float(max(worst[name].values(), default=0))
    return found


def counts(each: Crossed, machine: str, end: str, hollow: set[str]) -> bool:
    """Whether this count is the one that stands for that machine: its own if it is hollow, else a peer's."""
    return each.seen == end if machine in hollow else each.seen != end


def revision_figures(course: "Course", known: int) -> list[Taken]:
    """All revisions after this one: when they, or newer ones, were in force at each planner."""
    numbers = sorted(number for number in course.asked_at if number > known)
    first: dict[str, dict[int, int]] = {}  # by planner: when it had that revision or a newer one
    for each in sorted(course.fleet.enforced, key=lambda one: one.at):
        at = first.setdefault(each.name, {})
        for number in numbers:
            if number <= each.number:
                at.setdefault(number, each.at)
    found = []
    for number in numbers:
        asked = course.asked_at[number]
        moments = [at[number] for at in first.values() if number in at]
        whole = len(moments) == len(course.fleet.layout.places)
        found.append(
            Taken(
                number=number,
                committed=(course.committed_at[number] - asked) / 1e6,
                in_force=(max(moments) - asked) / 1e6 if whole else -1.0,
                told=-1.0,
                planners=len(moments),
            )
        )
    return found
