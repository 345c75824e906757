"""How recent the list of machines is known to be, and whether that is recent enough to send guests by it.

A planner is bound by what the list service reports whether or not the report has arrived. So guests may be
sent only while the list is known to have been current less than the grace period for drains ago: a drain
reported after that time is still within its grace period. The lease's duration is part of that period, and
nothing else extends it: a machine that answers probes or accepts guests proves nothing about what the list
shows of it.
"""

from enum import Enum

GRACE_PART = 0.8  # of the drain grace; the rest is for an offer's transit to its machine


def lease_duration(grace: int) -> int:
    """How long a confirmation of the list is valid, given the drain grace, both in microseconds.

    At least 1, since 0 means that no confirmation is required.
    """
    return max(1, round(GRACE_PART * grace))


class Lapse(Enum):
    """Why the lease does not hold, or what may have prevented its renewal."""

    NEVER_CONFIRMED = "not confirmed since the start"
    NOT_RENEWED = "no answer has confirmed it in time"
    FAILED = "a call has failed"
    REQUIRED = "the service confirms its list from now on, and has not yet"
    MOVED = "the service has a new address"


class ListLease:
    """One planner's lease on its list. Times are microseconds of the engine's clock.

    `duration`: how long a confirmation holds, from the time at which the list was current; 0 for list
    services whose listings count as current without confirmation.
    """

    def __init__(self, duration: int) -> None:
        self.duration = duration
        self.confirmed_as_of: int | None = None
        self.lapse: Lapse | None = Lapse.NEVER_CONFIRMED if duration else None

    def confirm(self, as_of: int) -> None:
        """The service answered a call made at `as_of`: the list was current at that time."""
        if self.confirmed_as_of is None or as_of >= self.confirmed_as_of:
            self.confirmed_as_of = as_of
            self.lapse = None

    def require(self, duration: int) -> None:
        """Requires confirmations from now on, each valid for `duration`; one received before counts."""
        if not self.duration:
            self.lapse = Lapse.REQUIRED
        self.duration = duration

    def waive(self) -> None:
        """Requires no confirmation: the service is of a version that gives none."""
        self.duration, self.confirmed_as_of, self.lapse = 0, None, None

    def note(self, lapse: Lapse) -> None:
        """Records what may prevent a renewal; the first reason is kept."""
        if self.duration and self.lapse is None:
            self.lapse = lapse

    def end(self, lapse: Lapse) -> None:
        """Ends the lease until the next confirmation."""
        if self.duration:
            self.confirmed_as_of = None
            self.lapse = lapse

    def holds(self, now: int) -> bool:
        """Whether guests may be sent by the list now."""
        if not self.duration:
            return True
        if self.confirmed_as_of is None:
            return False
        if now - self.confirmed_as_of <= self.duration:
            return True
        self.note(Lapse.NOT_RENEWED)
        return False
