"""Events for the host's log: state changes and their reasons. No behaviour depends on them."""

from typing import NamedTuple


class GuestEvent(NamedTuple):
    """The state of a guest changed."""

    change: str  # sent, held_back, ended, answered, released, given_up, handed_over
    guest: str
    dispatch_number: int
    machine: str
    reason: str


class MachineEvent(NamedTuple):
    """What the engine knows of a machine changed."""

    change: str  # listed, closed, gone, new_life, test_passed, test_failed, lost, silent
    machine: str
    reason: str


class ListEvent(NamedTuple):
    """The list has become current, or stopped being so."""

    current: bool
    reason: str
    age: int  # microseconds since the last call that confirmed it; -1: none


class RuleEvent(NamedTuple):
    """A violated rule was detected."""

    rule: str
    guest: str
    machine: str


Event = GuestEvent | MachineEvent | ListEvent | RuleEvent
