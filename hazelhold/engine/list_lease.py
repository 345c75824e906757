"""As of when the list of machines is known, and whether that is recent enough to send work by it.

What the list service tells counts as told whether or not it was heard. So work may be sent only while the
list is known as of a moment that is less than the grace for drains ago: a drain told after that moment is
still within its grace. The span of such a lease is part of that grace, and nothing else extends it: a machine
that answers tests or takes work says nothing about what the list tells of it.
"""

from enum import Enum


class Lapse(Enum):
    """Why the lease does not hold, or what may have kept it from being renewed."""

    NEVER_CONFIRMED = "not confirmed since the start"
    NOT_RENEWED = "no answer has confirmed it in time"
    FAILED = "a call has failed"
    MOVED = "the service has a new address"


class ListLease:
    """One planner's lease on its list. Times are microseconds of the engine's clock.

    `span`: for how long a confirmation holds, counted from the moment as of which it tells; 0 for list
    services whose word is taken as it is.
    """

    def __init__(self, span: int) -> None:
        self.span = span
        self.confirmed_as_of: int | None = None
        self.lapse: Lapse | None = Lapse.NEVER_CONFIRMED if span else None

    def confirm(self, as_of: int) -> None:
        """The service answered a call that was made at this moment: the list was current then."""
        if self.confirmed_as_of is None or as_of >= self.confirmed_as_of:
            self.confirmed_as_of = as_of
            self.lapse = None

    def note(self, lapse: Lapse) -> None:
        """Something may keep it from being renewed; the first reason stays."""
        if self.span and self.lapse is None:
            self.lapse = lapse

    def end(self, lapse: Lapse) -> None:
        """It holds no longer, until the next confirmation."""
        if self.span:
            self.confirmed_as_of = None
            self.lapse = lapse

    def holds(self, now: int) -> bool:
        """Whether work may be sent by the list at this moment."""
        if not self.span:
            return True
        if self.confirmed_as_of is None:
            return False
        if now - self.confirmed_as_of <= self.span:
            return True
        self.note(Lapse.NOT_RENEWED)
        return False
