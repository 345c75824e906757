"""The final checks of what may be sent, repeated, accepted and closed, and the run-time rule monitor."""

import pytest

from hazelhold.engine.machines import RosterMachine
from hazelhold.engine.monitor import RuleMonitor, Violation
from hazelhold.engine.permission import (
    Denial,
    close_denied,
    offer_denied,
    start_denied,
)
from hazelhold.engine.records import GuestRecord
from hazelhold.interface import GuestClass, MachineMode, RepeatSemantics, Scope
from hazelhold.protocol import messages as m


def product(effect: RepeatSemantics, window: int = 1000) -> GuestClass:
    return GuestClass(effect, Scope.ALL, window, 1, 1.0, 1.0, 0, 1.0, 1.0, -1, Scope.NOWHERE, 1)


def record(**changes: object) -> GuestRecord:
    made = GuestRecord(
        "g/0",
        "g",
        0,
        "o",
        0,
        m.Submit(guest="g", product="p", service="s", cores=1.0, memory=1.0, patience=1),
    )
    made.sent, made.dispatch_number, made.due_at = True, 0, 100
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def listed(mode: MachineMode = MachineMode.READY) -> RosterMachine:
    return RosterMachine("a", "a:1", mode, 0, 0, 0)


AT_MOST_ONCE, DEDUPLICATED = product(RepeatSemantics.AT_MOST_ONCE), product(RepeatSemantics.DEDUPLICATED)
IDEMPOTENT = product(RepeatSemantics.IDEMPOTENT)


@pytest.mark.parametrize(
    "held,dispatch_number,of,where,list_holds,denial",
    [
        (record(), 0, AT_MOST_ONCE, listed(), True, None),
        (None, 0, AT_MOST_ONCE, listed(), True, Denial.OVER),
        (record(placed=True), 0, AT_MOST_ONCE, listed(), True, Denial.OVER),
        (record(sent=False), 0, AT_MOST_ONCE, listed(), True, Denial.OTHER_ATTEMPT),
        (record(dispatch_number=2), 1, AT_MOST_ONCE, listed(), True, Denial.OTHER_ATTEMPT),
        (record(cancelled=True), 0, AT_MOST_ONCE, listed(), True, Denial.CANCELLED),
        (record(may_have_run_since=1), 0, AT_MOST_ONCE, listed(), True, Denial.MAY_HAVE_RUN),
        (record(may_have_run_since=1, due_at=9000), 0, DEDUPLICATED, listed(), True, None),
        (record(may_have_run_since=1), 0, IDEMPOTENT, listed(), True, None),
        (record(offers=3), 0, IDEMPOTENT, listed(), True, None),
        (record(offers=4), 0, IDEMPOTENT, listed(), True, Denial.TOO_MANY),
        (record(due_at=50), 0, IDEMPOTENT, listed(), True, Denial.OUT_OF_TIME),
        (record(), 0, IDEMPOTENT, None, True, Denial.MACHINE_GONE),
        (record(), 0, IDEMPOTENT, listed(MachineMode.CORDONED), True, Denial.MACHINE_DRAINING),
        (record(), 0, IDEMPOTENT, listed(), False, Denial.LIST_NOT_CURRENT),
    ],
)
def test_an_offer_is_sent_only_if_all_its_preconditions_still_hold(
    held: GuestRecord | None,
    dispatch_number: int,
    of: GuestClass,
    where: RosterMachine | None,
    list_holds: bool,
    denial: Denial | None,
) -> None:
    assert offer_denied(50, held, dispatch_number, of, 4, where, list_holds) is denial


def test_a_deduplicated_guest_is_not_repeated_after_its_window() -> None:
    late = record(may_have_run_since=1, due_at=9000)
    assert offer_denied(1000, late, 0, DEDUPLICATED, 4, listed(), True) is None
    assert offer_denied(1001, late, 0, DEDUPLICATED, 4, listed(), True) is Denial.WINDOW_CLOSED


def test_submissions_and_connections() -> None:
    assert start_denied(stopping=False, is_held=False) is None
    assert start_denied(stopping=True, is_held=False) is Denial.STOPPING
    assert start_denied(stopping=False, is_held=True) is Denial.IN_HAND
    assert close_denied(0) is None and close_denied(1) is Denial.OWED


# The run-time rule monitor.


def test_the_monitor_reports_each_violation_and_no_valid_guest() -> None:
    monitor = RuleMonitor(max_dispatches=2)
    once = RepeatSemantics.AT_MOST_ONCE
    assert monitor.dispatch_sent("sound", "a", once, list_holds=True) == []
    monitor.dispatch_ended("sound", may_have_run=False)
    assert monitor.dispatch_sent("sound", "b", once, list_holds=True) == []
    assert monitor.answered("sound", once) == []
    monitor.forget("sound")
    assert monitor.accounts == {}

    assert monitor.dispatch_sent("t", "a", once, list_holds=False) == [Violation.LIST_NOT_CURRENT]
    assert monitor.dispatch_sent("t", "b", once, list_holds=True) == [Violation.TWO_OUT]
    monitor.dispatch_ended("t", may_have_run=True)
    assert monitor.answered("t", once) == []
    assert monitor.answered("t", once) == [Violation.SECOND_ANSWER]
    assert monitor.dispatch_sent("t", "c", once, list_holds=True) == [
        Violation.REPEATED,
        Violation.AFTER_ANSWER,
        Violation.TOO_MANY,
    ]
