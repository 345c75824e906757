"""Whether the list of machines may be taken for the present.

What the list service tells counts as told whether or not it was heard, so a list that nothing has confirmed
lately proves nothing about which machines take work. It starts unconfirmed: that a process has just read a
list from its file confirms nothing.
"""

from enum import Enum

LEASE = 2_500_000  # microseconds: two calls of a second each that wait in vain for news, and a late answer


class Doubt(Enum):
    """Why the list is not taken for the present."""

    NEVER_CONFIRMED = "not confirmed since the start"
    LATE = "an answer is overdue"
    FAILED = "a call has failed"
    MOVED = "the service has a new address"
    EXPIRED = "not confirmed for too long"


class ListCurrency:
    """One planner's knowledge of how current its list is. Times are microseconds of the engine's clock.

    `always`: for list services whose word is taken as it is.
    """

    def __init__(self, always: bool) -> None:
        self.always = always
        self.confirmed_as_of: int | None = None
        self.doubt: Doubt | None = None if always else Doubt.NEVER_CONFIRMED

    def confirm(self, as_of: int) -> None:
        """The service answered a call that was made at this moment: the list was current then."""
        if self.confirmed_as_of is None or as_of >= self.confirmed_as_of:
            self.confirmed_as_of = as_of
            self.doubt = None

    def put_in_doubt(self, doubt: Doubt) -> None:
        """Until the next confirmation; the first reason stays."""
        if not self.always and self.doubt is None:
            self.doubt = doubt

    def is_current(self, now: int) -> bool:
        """Whether the list may be taken for the present at this moment."""
        if self.always:
            return True
        if self.doubt is None and now - self.confirmed_as_of > LEASE:
            self.doubt = Doubt.EXPIRED
        return self.doubt is None
