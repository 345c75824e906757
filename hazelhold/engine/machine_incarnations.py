"""When the old life of a machine ended that the list tells to have begun a new one under its name.

Tasks that came to the old life are over, those of the new one stand. The list dates the new life by its own
wall clock, and the clock of this machine may have been stepped against it. A process that dies has its
connections reset, so each of them ends at the death or was opened after it: that needs no clock but this
planner's own.
"""

from typing import NamedTuple

from hazelhold.engine.machines import Link

MAX_LIST_DELAY = 8_000_000
"""Microseconds: how late the list may be with a new life."""

CLOCK_TOLERANCE = 1_000_000
"""Microseconds between a connection's end and a birth by the clock within which both mean one event."""


class PreviousIncarnation(NamedTuple):
    """When the old life ended, in microseconds of this planner's clock.

    `ended_at`: what was sent before is over; 0 if nothing shows that any is. `reset_at`: when the machine
    ended a connection last; 0 if it did not lately.
    """

    ended_at: int
    reset_at: int


def previous_incarnation_ended(now: int, link: Link, started: int) -> PreviousIncarnation:
    """`started` is the begin of the new life by the list's clock, as this planner reads it; one that is not
    past shows that the clocks differ."""
    ends = [
        each for each in link.past_connections if each.by_machine and now - each.ended_at <= MAX_LIST_DELAY
    ]
    if not ends:
        return PreviousIncarnation(started if started < now else 0, 0)
    last = ends[-1].ended_at
    if started >= now:
        return PreviousIncarnation(last, last)
    nearest = min(ends, key=lambda each: abs(each.ended_at - started)).ended_at
    if abs(nearest - started) <= CLOCK_TOLERANCE:
        return PreviousIncarnation(nearest, last)
    outlived = any(each.opened_at <= started < each.ended_at for each in ends)
    speaks_since = link.state == "up" and link.opened_at <= started < link.heard_at
    return PreviousIncarnation(last if outlived or speaks_since else started, last)
