"""Final checks of whether an offer may be sent or repeated, a guest accepted or a connection closed.

They are made at the last possible time: when the bytes of an offer are written, when a submission is
accepted, when a connection is closed. An earlier decision, whoever made it, is not carried out if its
preconditions no longer hold. These are pure functions without I/O or state.
"""

from enum import Enum

from hazelhold.engine.machines import RosterMachine
from hazelhold.engine.records import GuestRecord
from hazelhold.interface import GuestClass, MachineMode, RepeatSemantics


class Denial(Enum):
    """Why an action is not allowed now."""

    OVER = "the guest is answered or not held"
    OTHER_ATTEMPT = "another dispatch has taken its place"
    CANCELLED = "its owner cancelled it"
    MAY_HAVE_RUN = "an earlier dispatch may have run"
    TOO_MANY = "it has had as many dispatches as are allowed"
    WINDOW_CLOSED = "the deduplication window is over"
    OUT_OF_TIME = "its deadline has passed"
    MACHINE_GONE = "its machine has left the list"
    MACHINE_DRAINING = "its machine takes no guests"
    LIST_NOT_CURRENT = "the list is not known to be current"
    STOPPING = "the planner is stopping"
    IN_HAND = "a guest of this name is held"
    OWED = "answers are still due on the connection"


def offer_denied(
    now: int,
    record: GuestRecord | None,
    dispatch_number: int,
    product: GuestClass,
    max_dispatches: int,
    listed: RosterMachine | None,
    list_holds: bool,
) -> Denial | None:
    """Why the bytes of an offer may not be written, or None if they may.

    `record` is the guest held under the offer's name, `dispatch_number` the number in the offer,
    `max_dispatches` how many dispatches are allowed, `list_holds` whether the list is current enough.
    """
    if record is None or record.placed:
        return Denial.OVER
    if not record.sent or record.dispatch_number != dispatch_number:
        return Denial.OTHER_ATTEMPT
    if record.cancelled:
        return Denial.CANCELLED
    if denial := repeat_denied(now, record, product, max_dispatches):
        return denial
    if record.due_at <= now:
        return Denial.OUT_OF_TIME
    return machine_denied(listed, list_holds)


def repeat_denied(now: int, record: GuestRecord, product: GuestClass, max_dispatches: int) -> Denial | None:
    """Why no further dispatch may follow those already made, or None if one may."""
    if record.offers >= max_dispatches:
        return Denial.TOO_MANY
    if not record.may_have_run_since:
        return None
    if product.repeat is RepeatSemantics.AT_MOST_ONCE:
        return Denial.MAY_HAVE_RUN
    if (
        product.repeat is RepeatSemantics.DEDUPLICATED
        and now - record.may_have_run_since >= product.dedup_window
    ):
        return Denial.WINDOW_CLOSED
    return None


def machine_denied(listed: RosterMachine | None, list_holds: bool) -> Denial | None:
    """Why a machine may not be sent new guests, or None if it may."""
    if listed is None or listed.mode is MachineMode.GONE:
        return Denial.MACHINE_GONE
    if listed.mode is not MachineMode.READY:
        return Denial.MACHINE_DRAINING
    return None if list_holds else Denial.LIST_NOT_CURRENT


def start_denied(stopping: bool, is_held: bool) -> Denial | None:
    """Why a submission may not be accepted, or None if it may."""
    if is_held:
        return Denial.IN_HAND
    return Denial.STOPPING if stopping else None


def close_denied(open_guests: int) -> Denial | None:
    """Why this side may not close the connection of a connected owner, or None if it may."""
    return Denial.OWED if open_guests else None
