"""What an engine tells its host's log: changes of state, with the reason of each. Nothing rests on them."""

from typing import NamedTuple


class TaskEvent(NamedTuple):
    """Something became of a task."""

    change: str  # sent, held_back, ended, answered, released, given_up, handed_over
    task: str
    attempt: int
    machine: str
    reason: str


class MachineEvent(NamedTuple):
    """What is known of a machine has changed."""

    change: str  # listed, closed, gone, new_life, test_passed, test_failed, lost, silent
    machine: str
    reason: str


class ListEvent(NamedTuple):
    """Whether the list is taken for the present has changed."""

    current: bool
    reason: str
    age: int  # microseconds since the call that confirmed it last; -1: none has


class RuleEvent(NamedTuple):
    """A rule was seen broken."""

    rule: str
    task: str
    machine: str


Event = TaskEvent | MachineEvent | ListEvent | RuleEvent
