"""Small cases of the scheduler, one for each rule and each failure that was found."""

from collections import Counter
from random import Random

import pytest

from hazelhold.interface import (
    Decision,
    DecisionKind,
    DispatchOutcome,
    EarlierDispatch,
    Load,
    MachineMode,
    OutcomeReason,
)
from tests.helpers import GUEST_CLASSES, MS, decisions, entry, scheduler, submission


def place(made: object, now: int, name: str, product: int = 0, **more: object) -> object:
    made.guest_submitted(now, submission(name, product, **more))
    return decisions(made, now)[0]


def end(
    made: object, now: int, sent: object, outcome: DispatchOutcome, reason: OutcomeReason = OutcomeReason.NONE
) -> list:
    made.dispatch_ended(now, sent.guest, outcome, False, reason)
    return decisions(made, now)


def test_at_most_once_guest_that_may_have_run_fails_at_once() -> None:
    made = scheduler()
    sent = place(made, 0, "g", 1)
    assert [d.kind for d in end(made, 9 * MS, sent, DispatchOutcome.TIMED_OUT)] == [DecisionKind.FAIL]


def test_at_most_once_guest_that_never_ran_is_dispatched_again() -> None:
    made = scheduler()
    sent = place(made, 0, "g", 1)
    again = end(made, 9 * MS, sent, DispatchOutcome.UNREACHABLE)
    assert [(d.kind, d.machine != sent.machine) for d in again] == [(DecisionKind.DISPATCH, True)]


def test_at_most_once_guest_avoids_a_machine_that_refused_it() -> None:
    """A duplicate of the refusal would count as proof that the second dispatch never ran."""
    made = scheduler("ab", dispatches_identified=False)
    first = place(made, 0, "g", 1)
    (second,) = end(made, 100 * MS, first, DispatchOutcome.REFUSED)
    end(made, 200 * MS, second, DispatchOutcome.REFUSED)
    assert {first.machine, second.machine} == {"a", "b"}
    assert [d for now in range(300, 4900, 50) for d in decisions(made, now * MS)] == []
    assert [d.kind for d in decisions(made, 4990 * MS)] == [DecisionKind.REFUSE]


def test_deduplicated_guest_stays_in_its_cell() -> None:
    made = scheduler("abcdef")
    sent = place(made, 0, "g", 2)
    again = end(made, 9 * MS, sent, DispatchOutcome.ERROR)
    assert {sent.machine, again[0].machine} in ({"a", "b"}, {"c", "d"}, {"e", "f"})


def test_held_guest_is_answered_before_its_deadline() -> None:
    made = scheduler("a")
    made.machines_listed(0, [entry("a", MachineMode.CORDONED)], False)
    made.guest_submitted(0, submission("g"))
    assert decisions(made, 0) == []
    assert [d.kind for d in decisions(made, 4990 * MS)] == [DecisionKind.REFUSE]
    assert decisions(made, 5100 * MS) == []


def test_no_machines_and_unknown_ids_are_ignored() -> None:
    made = scheduler("")
    made.guest_abandoned(0, "nobody")
    made.dispatch_ended(0, "nobody", DispatchOutcome.COMPLETED, True, OutcomeReason.NONE)
    made.dispatch_accepted(0, "nobody", 0)
    made.memory_pressure_reported(0, "a", 0.9)
    made.machine_reported(0, "a", Load(None, None, None))
    made.guest_submitted(0, submission("g", time_left=0))
    assert [d.kind for d in decisions(made, 0)] == [DecisionKind.REFUSE]


def test_machine_missing_from_a_whole_list_gets_nothing() -> None:
    made = scheduler()
    made.machines_listed(0, [entry("b")], True)
    assert place(made, 0, "g").machine == "b"


def test_list_is_polled_again_after_a_failed_call_and_after_silence() -> None:
    made = scheduler()
    made.list_failed(0)
    polled = [
        t for t in range(0, 12_000, 50) if (d := made.decide(t * MS)) and d.kind is DecisionKind.WATCH_LIST
    ]
    assert (
        polled and polled[0] <= 3000 and max(b - a for a, b in zip(polled, polled[1:], strict=False)) <= 3100
    )


def test_silent_machine_is_probed_before_it_gets_guests_again() -> None:
    made = scheduler()
    sent = place(made, 0, "g")
    assert end(made, 600 * MS, sent, DispatchOutcome.TIMED_OUT)[0].machine != sent.machine
    probes = [d for t in range(600, 3000, 50) if (d := made.decide(t * MS)) and d.machine == sent.machine]
    assert probes and all(d.kind is DecisionKind.PROBE for d in probes)
    made.probe_answered(3000 * MS, sent.machine, True)
    made.machines_listed(3000 * MS, [entry("ab".replace(sent.machine, ""), MachineMode.CORDONED)], False)
    assert place(made, 3001 * MS, "h").machine == sent.machine


def test_machine_that_answers_more_slowly_than_others_is_avoided() -> None:
    made = scheduler("abc")
    for turn in range(40):
        now = turn * 100 * MS
        sent = place(made, now, f"g{turn}")
        made.dispatch_accepted(now, sent.guest, 4000 * MS if sent.machine == "a" else 10 * MS)
        end(made, now, sent, DispatchOutcome.COMPLETED)
    assert made.machines["a"].failures or len(made.machines["a"].answers) < 4
    assert not made.machines["b"].failures and not made.machines["c"].failures


def test_if_most_machines_look_unhealthy_placing_goes_on() -> None:
    made = scheduler("abc")
    for name in "abc":
        made.probe_answered(0, name, False)
    assert place(made, MS, "g").kind is DecisionKind.DISPATCH


def test_machine_whose_queue_is_full_is_avoided_for_a_quarter_second() -> None:
    made = scheduler("a")
    sent = place(made, 0, "g", cores=0.1)
    assert end(made, MS, sent, DispatchOutcome.REFUSED, OutcomeReason.QUEUE_FULL) == []
    assert decisions(made, 240 * MS) == [] and decisions(made, 450 * MS)


def test_refusal_for_memory_excludes_requests_of_that_size() -> None:
    made = scheduler("a")
    sent = place(made, 0, "g")
    assert end(made, MS, sent, DispatchOutcome.REFUSED, OutcomeReason.NO_MEMORY) == []
    assert place(made, 2 * MS, "small", cores=0.2).kind is DecisionKind.DISPATCH


def test_restart_is_suspected_from_a_lost_guest() -> None:
    made = scheduler("ab")
    sent = place(made, 20_000 * MS, "g")
    made.dispatch_accepted(20_010 * MS, "g", 10 * MS)
    made.dispatch_ended(30_000 * MS, "g", DispatchOutcome.INTERRUPTED, True, OutcomeReason.NONE)
    assert made.machines[sent.machine].cold_at == 30_000 * MS and not made.guests


def test_estimated_use_is_the_90th_percentile_of_the_service() -> None:
    made = scheduler("a")
    place(made, 0, "g")
    for use in range(1, 11):
        made.cores_used(use, "g", use / 10)
        made.memory_used(use, "g", use / 5)
    assert made.services["service-0"].estimated_use(submission("x")) == (0.9, 1.8)
    assert scheduler("a").services == {}


def test_with_a_fleet_price_an_empty_machine_stays_empty_while_others_have_capacity() -> None:
    made = scheduler("abc", fleet_price=0.2)
    first = place(made, 0, "g0").machine
    assert {place(made, n * MS, f"g{n}", cores=0.5).machine for n in range(1, 6)} == {first}


def test_idle_tables_empty() -> None:
    made = scheduler("ab")
    for n in range(30):
        sent = place(made, n * MS, f"g{n}")
        made.dispatch_accepted(n * MS, sent.guest, MS)
        made.dispatch_ended(n * MS, sent.guest, DispatchOutcome.COMPLETED, True, OutcomeReason.NONE)
    made.guest_submitted(200_000 * MS, submission("late", 4))
    decisions(made, 200_000 * MS)
    assert list(made.services) == ["service-4"] and list(made.guests) == ["late"] and not made.held


def test_planners_shares_of_a_cold_machines_budget_sum_to_it() -> None:
    for planners in (1, 3, 7, 16, 50, 330):
        offers = 0
        for slot in range(planners):
            made = scheduler("a", planners=planners, slot=slot, probing=False)
            made.machines_listed(MS, [entry("a", started=MS)], False)
            for n in range(20):
                made.guest_submitted(MS, submission(f"g{n}", cores=0.1))
            offers += len(decisions(made, MS))
        assert offers == 16


def test_many_planners_weigh_the_same_few_machines_for_a_service() -> None:
    found = set()
    for slot in range(30):
        made = scheduler("abcdefghijkl", planners=30, slot=slot, probing=False)
        made.random.seed(slot)
        found |= {place(made, n * MS, f"g{n}").machine for n in range(3)}
    assert len(found) <= 3


def test_old_report_is_replaced_by_the_free_capacity_in_the_list() -> None:
    made = scheduler("ab", at=0)
    for name in "ab":
        made.machine_reported(0, name, Load(12.0, 20.0, None))
    made.machines_listed(9000 * MS, [entry("a", room=0.0), entry("b", room=22.0)], True)
    assert (
        made._usage_by_others(made.machines["a"], 9000 * MS)[0]
        > made._usage_by_others(made.machines["b"], 9000 * MS)[0]
    )
    assert place(made, 9000 * MS, "g").machine == "b"


def test_guest_refused_twice_backs_off_before_it_is_offered_again() -> None:
    made = scheduler("abcd")
    sent = place(made, 0, "g")
    again = end(made, MS, sent, DispatchOutcome.REFUSED, OutcomeReason.NO_MEMORY)[0]
    assert end(made, 2 * MS, again, DispatchOutcome.REFUSED, OutcomeReason.NO_MEMORY) == []
    made.machines_listed(3 * MS, [entry("d", room=20.0)], False)
    assert decisions(made, 60 * MS) == []
    assert decisions(made, 2000 * MS)


def test_one_of_many_planners_places_at_once_and_probes_no_machine_for_a_guest() -> None:
    made = scheduler("abcdefghijkl", planners=16)
    for number in range(20):
        now = number * 700 * MS
        made.guest_submitted(now, submission(f"g{number}"))
        found = []
        while (decision := made.decide(now)) is not None:
            found.append(decision.kind)
            if decision.kind is DecisionKind.DISPATCH:
                made.dispatch_accepted(now, decision.guest, 9 * MS)
        assert [step for step in found if step is not DecisionKind.WATCH_LIST] == [DecisionKind.DISPATCH]


def test_where_only_probes_bring_reports_candidates_are_probed_first() -> None:
    made = scheduler("abcdefghijkl", planners=60, reports_on_probe=True)
    made.guest_submitted(0, submission("g"))
    decided = []
    while (decision := made.decide(0)) is not None:
        decided.append(decision)
    probed = {d.machine for d in decided if d.kind is DecisionKind.PROBE}
    assert len(probed) >= 3 and not [d for d in decided if d.kind is DecisionKind.DISPATCH]
    assert decisions(made, 50 * MS)[0].machine in probed


def test_an_unseen_start_alone_opens_no_machine_where_machines_in_use_cost() -> None:
    """Assumed late, a first start on the machines in use looked worse than one on an empty machine."""
    made = scheduler("abcdef", fleet_price=0.1)
    used = [entry("a", room=20.0), entry("b", room=21.0), entry("c", room=22.0)]
    made.machines_listed(0, used, False)
    assert {place(made, n * MS, f"g{n}", n % 2).machine for n in range(6)} <= {"a", "b", "c"}


def test_count_of_placed_guests_by_priority_equals_a_plain_count() -> None:
    made, random = scheduler("abcd"), Random(3)
    for number in range(200):
        sent = place(made, number * MS, f"g{number}", random.choice([0, 1, 3]), cores=0.1)
        if random.random() < 0.6:
            made.dispatch_ended(number * MS, sent.guest, DispatchOutcome.COMPLETED, True, OutcomeReason.NONE)
        plain = Counter(g.guest_class.priority for g in made.guests.values() if g.machine)
        assert plain == {p: n for p, n in made.placed_by_priority.items() if n}


def test_large_guests_are_not_timed_out_by_the_answers_of_small_ones() -> None:
    made = scheduler("ab")
    for n in range(20):
        sent = place(made, n * MS, f"g{n}", cores=0.1)
        made.dispatch_accepted(n * MS, sent.guest, 100 * MS)
    assert place(made, 30 * MS, "small").timeout == 500 * MS
    assert place(made, 30 * MS, "large", 3, cores=8.0).timeout > 4000 * MS


def test_silent_list_does_not_block_placement() -> None:
    made = scheduler("ab")
    made.machines_listed(0, [entry(name, room=-60.0) for name in "ab"], True)
    made.guest_submitted(0, submission("g"))
    assert decisions(made, 1900 * MS) == []
    assert [d.kind for d in decisions(made, 2200 * MS)] == [DecisionKind.DISPATCH]


def test_higher_priority_counts_lower_guests_as_capacity_where_machines_preempt() -> None:
    for preempts in (True, False):
        made = scheduler(
            "a", preempts=preempts, guest_classes=(GUEST_CLASSES[0], GUEST_CLASSES[0]._replace(priority=1))
        )
        place(made, 0, "low")
        made.dispatch_accepted(MS, "low", MS)
        made.machines_listed(MS, [entry("a", room=-36.0)], False)
        made.guest_submitted(2 * MS, submission("high", 1))
        assert bool(decisions(made, 2 * MS)) is preempts


def test_a_cancelled_held_guest_is_answered_and_an_outstanding_one_withdrawn_once() -> None:
    made = scheduler()
    sent = place(made, 0, "g", 1)
    made.guest_cancelled(1 * MS, "g")
    assert decisions(made, 1 * MS) == [Decision(DecisionKind.WITHDRAW, "g", sent.machine)]
    assert [d.kind for d in end(made, 2 * MS, sent, DispatchOutcome.REFUSED)] == [DecisionKind.REFUSE]
    made.machines_listed(3 * MS, [entry(n, MachineMode.CORDONED) for n in "ab"], False)
    made.guest_submitted(3 * MS, submission("h", 1))
    made.guest_cancelled(4 * MS, "h")
    assert [d.kind for d in decisions(made, 4 * MS)] == [DecisionKind.REFUSE]


def test_a_cancel_that_crosses_the_answer_stops_what_runs() -> None:
    made = scheduler()
    sent = place(made, 0, "g", 1)
    made.guest_cancelled(1 * MS, "g")
    decisions(made, 1 * MS)
    made.dispatch_accepted(2 * MS, "g", 2 * MS)
    assert decisions(made, 2 * MS) == [Decision(DecisionKind.WITHDRAW, "g", sent.machine)]


def test_an_earlier_dispatch_fails_an_at_most_once_guest_and_binds_a_deduplicated_one() -> None:
    made = scheduler("abcdef")
    made.guest_submitted(0, submission("g", 1)._replace(earlier_dispatch=EarlierDispatch("a", 0)))
    assert [d.kind for d in decisions(made, 0)] == [DecisionKind.FAIL]
    made.guest_submitted(0, submission("h", 2)._replace(earlier_dispatch=EarlierDispatch("c", 0)))
    assert decisions(made, 0)[0].machine in ("c", "d")
    made.guest_submitted(0, submission("i")._replace(earlier_dispatch=EarlierDispatch("nobody", 0)))
    assert [d.kind for d in decisions(made, 0)] == [DecisionKind.DISPATCH]


def test_a_late_copy_becomes_the_guest_only_without_another_dispatch() -> None:
    made = scheduler("ab")
    for product, name in ((0, "g"), (3, "h"), (1, "i")):
        sent = place(made, 0, name, product)
        made.dispatch_ended(1 * MS, name, DispatchOutcome.TIMED_OUT, product == 1, OutcomeReason.NONE)
        made.late_copy_accepted(2 * MS, sent.machine, submission(name, product))
        assert made.guests[name].placed and decisions(made, 2 * MS) == []
    made.late_copy_accepted(3 * MS, "a", submission("g"))
    assert decisions(made, 3 * MS) == [Decision(DecisionKind.WITHDRAW, "g", "a")]


def test_a_cold_machine_that_leaves_the_list_and_returns_without_its_start_is_still_cold() -> None:
    now = 10**9
    made = scheduler("a", at=now, planners=40)
    made.machines_listed(now, [entry("a", started=now)], False)
    made.machines_listed(now + 1, [entry("a", MachineMode.GONE)], False)
    made.machines_listed(now + 2, [entry("a")], False)
    assert now - made.machines["a"].cold_at < 15_000 * MS
    made.machines_listed(now + 3, [entry("a", MachineMode.GONE)], False)
    made.machines_listed(now + 20_000 * MS, [entry("b")], False)
    assert "a" not in made.machines


def test_a_guest_deduplicated_on_an_unlisted_machine_is_bound_to_no_known_group() -> None:
    made = scheduler("ab")
    made.guest_submitted(0, submission("g", 2))
    made.restore_dispatch(0, "elsewhere", "g", 0)
    made.dispatch_ended(MS, "g", DispatchOutcome.TIMED_OUT, False, OutcomeReason.NONE)
    found = [d for now in range(MS, 4000 * MS, 100 * MS) for d in decisions(made, now)]
    assert all(d.kind is not DecisionKind.DISPATCH for d in found)


def test_an_unknown_start_is_not_preferred_to_a_known_one() -> None:
    """In a planner's first seconds only warm starts are known: unknown cold starts must not count as free."""
    made = scheduler("abcd")
    for at, machine in enumerate("abcd"):  # as many guests on each, of a's service only there
        for n in range(4):
            service = "mine" if machine == "a" else machine
            made.guest_discovered(0, machine, submission(f"f{at}{n}")._replace(service=service))
    made.starts[0, True].extend([100 * MS] * 5)
    picked = []
    for n in range(3):
        made.guest_submitted(n * MS, submission(f"g{n}")._replace(service="mine"))
        picked += [d.machine for d in decisions(made, n * MS) if d.kind is DecisionKind.DISPATCH]
    assert picked == ["a", "a", "a"]


def test_a_lost_answer_does_not_count_against_a_machine_that_reported_since() -> None:
    made = scheduler("ab")
    sent = place(made, 0, "g")
    made.machine_reported(100 * MS, sent.machine, Load(20.0, 30.0, None))
    end(made, 500 * MS, sent, DispatchOutcome.TIMED_OUT)
    machine = made.machines[sent.machine]
    assert not machine.unresponsive and not machine.failures and machine.backoff_until <= 500 * MS
    made = scheduler("ab")
    sent = place(made, 0, "g")
    end(made, 500 * MS, sent, DispatchOutcome.TIMED_OUT)
    machine = made.machines[sent.machine]
    assert machine.unresponsive and machine.failures == 1 and machine.backoff_until > 500 * MS


@pytest.mark.parametrize("reason", [OutcomeReason.NONE, OutcomeReason.QUEUE_FULL])
def test_a_machine_that_refused_is_avoided_for_longer_than_a_duplicate_refusal_takes(
    reason: OutcomeReason,
) -> None:
    """Where messages do not name the dispatch, a duplicate some ms later counts for the next one."""
    made = scheduler("a", dispatches_identified=False)
    now = 20_000 * MS
    made.guest_submitted(now, submission("g"))
    (first,) = decisions(made, now)
    made.dispatch_ended(now + 5 * MS, first.guest, DispatchOutcome.REFUSED, False, reason)
    assert all(not decisions(made, now + 5 * MS + after * MS) for after in (0, 50, 100, 200))
    (again,) = decisions(made, now + 700 * MS)
    assert (again.kind, again.machine) == (DecisionKind.DISPATCH, "a")
