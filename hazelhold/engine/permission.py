"""The one place that decides whether something may be sent, repeated, started or closed now.

It is asked at the last moment: when the bytes of an offer leave, when a request is taken, when a connection
is to be closed. What was decided earlier, by whatever module, does not leave if what it rested on no longer
holds. Decides only; no I/O and no state of its own.
"""

from enum import Enum

from hazelhold.engine.cases import Case
from hazelhold.engine.machines import Fellow
from hazelhold.interface import GuestClass, MachineMode, RepeatSemantics


class Denial(Enum):
    """Why something may not be done now."""

    OVER = "the task is answered or not in hand"
    OTHER_ATTEMPT = "another attempt has taken its place"
    CANCELLED = "its owner gave it up"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    TOO_MANY = "it has had as many attempts as are allowed"
    WINDOW_CLOSED = "the window for a repeat is over"
    OUT_OF_TIME = "its time is up"
    MACHINE_GONE = "its machine has left the list"
    MACHINE_DRAINING = "its machine takes no work"
    LIST_NOT_CURRENT = "the list is not known to be current"
    STOPPING = "the planner stops"
    IN_HAND = "a task of this name is in hand"
    OWED = "answers are owed on the connection"


def offer_denied(
    now: int,
    case: Case | None,
    attempt: int,
    product: GuestClass,
    most: int,
    fellow: Fellow | None,
    list_holds: bool,
) -> Denial | None:
    """Whether the bytes of an offer may leave. `case` is the task in hand under its name, `attempt` the
    number that the offer carries, `most` how many attempts are allowed, `list_holds` whether the list
    may be sent work by at this moment."""
    if case is None or case.placed:
        return Denial.OVER
    if not case.sent or case.attempt != attempt:
        return Denial.OTHER_ATTEMPT
    if case.cancelled:
        return Denial.CANCELLED
    if denial := repeat_denied(now, case, product, most):
        return denial
    if case.due_at <= now:
        return Denial.OUT_OF_TIME
    return machine_denied(fellow, list_holds)


def repeat_denied(now: int, case: Case, product: GuestClass, most: int) -> Denial | None:
    """Whether an attempt may follow those that were made, of which there may be `most`."""
    if case.offers >= most:
        return Denial.TOO_MANY
    if not case.ran_from:
        return None
    if product.repeat is RepeatSemantics.AT_MOST_ONCE:
        return Denial.MAY_HAVE_RUN
    if product.repeat is RepeatSemantics.DEDUPLICATED and now - case.ran_from >= product.dedup_window:
        return Denial.WINDOW_CLOSED
    return None


def machine_denied(fellow: Fellow | None, list_holds: bool) -> Denial | None:
    """Whether a machine may be sent new work."""
    if fellow is None or fellow.mode is MachineMode.GONE:
        return Denial.MACHINE_GONE
    if fellow.mode is not MachineMode.READY:
        return Denial.MACHINE_DRAINING
    return None if list_holds else Denial.LIST_NOT_CURRENT


def start_denied(stopping: bool, in_hand: bool) -> Denial | None:
    """Whether a request may be taken."""
    if in_hand:
        return Denial.IN_HAND
    return Denial.STOPPING if stopping else None


def close_denied(open_requests: int) -> Denial | None:
    """Whether a connection of owners may be closed by this side while its owner is there."""
    return Denial.OWED if open_requests else None
