"""Determines when the previous incarnation of a restarted machine ended.

Guests sent to the previous incarnation are over, those sent to the new one are placed. The list dates the
start of the new incarnation by its own wall clock, and this machine's clock may have been stepped against it.
A process that dies has its connections reset, so each connection ends at the death or was opened after it:
that needs no clock but this planner's own. One that was closed in order shows nothing of a death, and one
that is open when the list shows the restart may be to either incarnation until it carries evidence: see
`engine.restarts`.
"""

from typing import NamedTuple

from hazelhold.engine.machines import ConnectionEvidence, Link, PastConnection

MAX_LIST_DELAY = 8_000_000
"""Microseconds: how late the list may show a new incarnation."""

CLOCK_TOLERANCE = 1_000_000
"""Microseconds between a connection's end and a start by the list's clock within which both are one event."""


class PreviousIncarnation(NamedTuple):
    """When the previous incarnation ended, in microseconds of this planner's clock.

    `ended_at`: guests sent before this are over; 0 if nothing shows that any is. `reset_at`: when the machine
    last reset a connection; 0 if it did not lately.
    """

    ended_at: int
    reset_at: int


def previous_incarnation_ended(now: int, link: Link, started: int) -> PreviousIncarnation:
    """When the incarnation before the one that started at `started` ended.

    `started` comes from the list's clock, converted to this planner's when the list showed the restart, at
    `now`; a time that was not in the past shows that the clocks differ.
    """
    evidence = link.restart.evidence if link.restart else ConnectionEvidence.NONE
    if evidence in (ConnectionEvidence.RESET, ConnectionEvidence.SILENCE):
        return PreviousIncarnation(link.restart.connection_ended_at, link.restart.connection_ended_at)
    if link.restart and started < link.restart.earliest_end:
        started = now  # the clock is ahead by more than the list can be late, so it shows nothing
    contradicted = _contradicts_clock(link, started, evidence)
    resets = [each for each in link.past_connections if each.reset and now - each.ended_at <= MAX_LIST_DELAY]
    if resets:
        return _dated_by_resets(now, resets, started, contradicted)
    is_new = evidence is ConnectionEvidence.NEW_INCARNATION or now - link.opened_at <= MAX_LIST_DELAY
    if contradicted and is_new:
        return PreviousIncarnation(link.opened_at, 0)
    return PreviousIncarnation(started if started < now else 0, 0)


def _dated_by_resets(
    now: int, resets: list[PastConnection], started: int, contradicted: bool
) -> PreviousIncarnation:
    """What the resets of connections show, and the list's clock where no connection contradicts it."""
    last = resets[-1].ended_at
    if started >= now:
        return PreviousIncarnation(last, last)
    nearest = min(resets, key=lambda each: abs(each.ended_at - started)).ended_at
    if abs(nearest - started) <= CLOCK_TOLERANCE:
        return PreviousIncarnation(nearest, last)
    outlived = any(each.opened_at <= started < each.ended_at for each in resets)
    return PreviousIncarnation(last if outlived or contradicted else started, last)


def _contradicts_clock(link: Link, started: int, evidence: ConnectionEvidence) -> bool:
    """Whether the open connection is older than `started` by the clock and of the new incarnation.

    So is one on which the machine has sent something since `started`, as far as nothing else is known of it.
    """
    if link.state != "up" or link.opened_at > started:
        return False
    return evidence is ConnectionEvidence.NEW_INCARNATION or started < link.heard_at
