"""Decisions on machines that have just started: which start counts, and how much this planner may send them.

A machine that has just started bears a budget of offers, from all planners together, which agree on nothing.
"""

from hazelhold.interface import Deployment, ListedMachine

BUDGET_PART = 0.8
"""The part of a cold machine's budget that is used: offers take time to arrive, and random excess counts
against the planners."""


def is_restarted(entry: ListedMachine, known: ListedMachine) -> bool:
    """Whether a machine runs another process than before.

    Where the list identifies processes their start times do not count: a clock that was stepped back makes a
    new one look older than the last.
    """
    return entry.incarnation != known.incarnation or entry.started > known.started


def start_that_counts(entry: ListedMachine, known: ListedMachine, now: int) -> int:
    """From when a restarted machine warms up, in microseconds: its listed start, or now if by that it is no
    younger than its last process."""
    return entry.started if entry.started > known.started else now


def own_share(deployment: Deployment, machine_hash: int) -> int:
    """How many offers this planner may have sent to a cold machine, within twice the budget's window, before
    it sends another one.

    Single offers rotate among planners from a start that the machine's id fixes, so that the planners' shares
    sum to the budget.
    """
    rotation = (deployment.slot + machine_hash) % deployment.planners
    return (int(deployment.cold_offers * BUDGET_PART) - 1 - rotation) // deployment.planners
