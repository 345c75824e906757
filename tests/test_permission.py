"""What may be sent, repeated, started and closed, and the check of it at run time."""

import pytest

from hazelhold.engine.cases import Case
from hazelhold.engine.machines import Fellow
from hazelhold.engine.monitor import RuleMonitor, Violation
from hazelhold.engine.permission import (
    Denial,
    close_denied,
    offer_denied,
    start_denied,
)
from hazelhold.interface import GuestClass, MachineMode, RepeatSemantics, Scope
from hazelhold.protocol import messages as m


def product(effect: RepeatSemantics, window: int = 1000) -> GuestClass:
    return GuestClass(effect, Scope.ALL, window, 1, 1.0, 1.0, 0, 1.0, 1.0, -1, Scope.NOWHERE, 1)


def case(**changes: object) -> Case:
    made = Case(
        "g/0",
        "g",
        0,
        "o",
        0,
        m.Submit(guest="g", product="p", service="s", cores=1.0, memory=1.0, patience=1),
    )
    made.sent, made.attempt, made.due_at = True, 0, 100
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def fellow(mode: MachineMode = MachineMode.READY) -> Fellow:
    return Fellow("a", "a:1", mode, 0, 0, 0)


AT_MOST_ONCE, DEDUPLICATED = product(RepeatSemantics.AT_MOST_ONCE), product(RepeatSemantics.DEDUPLICATED)
IDEMPOTENT = product(RepeatSemantics.IDEMPOTENT)


@pytest.mark.parametrize(
    "in_hand,attempt,of,where,list_holds,denial",
    [
        (case(), 0, AT_MOST_ONCE, fellow(), True, None),
        (None, 0, AT_MOST_ONCE, fellow(), True, Denial.OVER),
        (case(placed=True), 0, AT_MOST_ONCE, fellow(), True, Denial.OVER),
        (case(sent=False), 0, AT_MOST_ONCE, fellow(), True, Denial.OTHER_ATTEMPT),
        (case(attempt=2), 1, AT_MOST_ONCE, fellow(), True, Denial.OTHER_ATTEMPT),
        (case(cancelled=True), 0, AT_MOST_ONCE, fellow(), True, Denial.CANCELLED),
        (case(ran_from=1), 0, AT_MOST_ONCE, fellow(), True, Denial.MAY_HAVE_RUN),
        (case(ran_from=1, due_at=9000), 0, DEDUPLICATED, fellow(), True, None),
        (case(ran_from=1), 0, IDEMPOTENT, fellow(), True, None),
        (case(offers=3), 0, IDEMPOTENT, fellow(), True, None),
        (case(offers=4), 0, IDEMPOTENT, fellow(), True, Denial.TOO_MANY),
        (case(due_at=50), 0, IDEMPOTENT, fellow(), True, Denial.OUT_OF_TIME),
        (case(), 0, IDEMPOTENT, None, True, Denial.MACHINE_GONE),
        (case(), 0, IDEMPOTENT, fellow(MachineMode.CORDONED), True, Denial.MACHINE_DRAINING),
        (case(), 0, IDEMPOTENT, fellow(), False, Denial.LIST_NOT_CURRENT),
    ],
)
def test_an_offer_leaves_only_if_all_that_it_rested_on_still_holds(
    in_hand: Case | None,
    attempt: int,
    of: GuestClass,
    where: Fellow | None,
    list_holds: bool,
    denial: Denial | None,
) -> None:
    assert offer_denied(50, in_hand, attempt, of, 4, where, list_holds) is denial


def test_a_repeat_within_its_group_ends_with_its_window() -> None:
    late = case(ran_from=1, due_at=9000)
    assert offer_denied(1000, late, 0, DEDUPLICATED, 4, fellow(), True) is None
    assert offer_denied(1001, late, 0, DEDUPLICATED, 4, fellow(), True) is Denial.WINDOW_CLOSED


def test_requests_and_connections() -> None:
    assert start_denied(stopping=False, in_hand=False) is None
    assert start_denied(stopping=True, in_hand=False) is Denial.STOPPING
    assert start_denied(stopping=False, in_hand=True) is Denial.IN_HAND
    assert close_denied(0) is None and close_denied(1) is Denial.OWED


# The check at run time.


def test_each_broken_rule_is_seen_and_sound_lives_are_not() -> None:
    monitor = RuleMonitor(most_attempts=2)
    once = RepeatSemantics.AT_MOST_ONCE
    assert monitor.attempt_leaves("sound", "a", once, list_holds=True) == []
    monitor.attempt_ended("sound", may_have_run=False)
    assert monitor.attempt_leaves("sound", "b", once, list_holds=True) == []
    assert monitor.answered("sound", once) == []
    monitor.forget("sound")
    assert monitor.accounts == {}

    assert monitor.attempt_leaves("t", "a", once, list_holds=False) == [Violation.LIST_NOT_CURRENT]
    assert monitor.attempt_leaves("t", "b", once, list_holds=True) == [Violation.TWO_OUT]
    monitor.attempt_ended("t", may_have_run=True)
    assert monitor.answered("t", once) == []
    assert monitor.answered("t", once) == [Violation.SECOND_ANSWER]
    assert monitor.attempt_leaves("t", "c", once, list_holds=True) == [
        Violation.REPEATED,
        Violation.AFTER_ANSWER,
        Violation.TOO_MANY,
    ]
