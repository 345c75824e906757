"""An engine that is restored from the state of an earlier run."""

import msgspec
import pytest

from hazelhold.protocol import messages as m
from hazelhold.state.images import LooseImage, drop, put
from hazelhold.state.state_table import StateTable
from tests.helpers import MS, ConfirmedHarness, of, scheduler, stand, submission
from tests.state_rig import S


class PlannerRuns:
    """Consecutive runs of an engine over one state table."""

    def __init__(self) -> None:
        self.state_table = StateTable()

    def harness(self, now: int, dead: str = "", complete: bool = True, **limits: object) -> ConfirmedHarness:
        harness = ConfirmedHarness("", **limits)
        harness.dead = set(dead)
        harness.engine.keep(now, 0, self.state_table, complete)
        harness.run(now)
        return harness

    def crash(self, harness: ConfirmedHarness, now: int) -> None:
        self.state_table.apply(harness.engine.flush(now))


def started(**limits: object) -> tuple[PlannerRuns, ConfirmedHarness]:
    runs = PlannerRuns()
    harness = runs.harness(0, **limits)
    harness.lists(0, [harness.entry(name) for name in "ab"], whole=True)
    return runs, harness


def test_a_held_guest_keeps_its_deadline() -> None:
    runs, harness = started()
    harness.lists(0, [harness.entry(n, "cordoned") for n in "ab"])
    harness.submits(S, "g", "once", patience=4 * S)
    runs.crash(harness, 2 * S)
    again = runs.harness(3 * S)
    assert again.owner(3 * S, m.Query(guest="g"))[0].state == "held"
    again.run(4900 * MS)
    assert not again.sent(m.GuestRefused)
    again.run(5 * S)
    assert [a.reason for a in again.sent(m.GuestRefused)] == ["no_machine"]
    runs.crash(again, 5 * S)
    assert runs.harness(6 * S).owner(6 * S, m.Query(guest="g"))[0].state == "turned_back"


@pytest.mark.parametrize("there", ["", "line", "runs", "ended"])
def test_a_sent_offer_is_settled_by_what_its_machine_reports(there: str) -> None:
    runs, harness = started()
    offer, machine = harness.offer(S, "g", "once")
    runs.crash(harness, S)
    again = ConfirmedHarness("")
    again.dead = {"a", "b"}
    again.engine.keep(1500 * MS, 0, runs.state_table, True)
    again.run(1500 * MS)
    again.lists(1500 * MS, [again.entry(n) for n in "ab"], whole=True)
    assert not again.sent(m.Offer)  # it may run: no other offer is sent
    if there:
        again.stands[machine] = [stand(offer, there, "done" if there == "ended" else "")]
    again.dead.clear()
    for name in "ab":
        again.comes_up(1600 * MS, name)
    again.run(1600 * MS)
    if there in ("runs", "ended"):
        assert again.sent(m.Placed) and bool(again.sent(m.GuestEnded)) is (there == "ended")
    elif there == "line":
        assert again.engine.records["g/0"].machine == machine and not again.sent(m.Offer)
    else:
        assert [o.attempt for o in again.sent(m.Offer, "g")] == [1]  # it never arrived


def test_a_running_guest_is_found_and_the_end_of_another_is_reported() -> None:
    runs, harness = started()
    first, one = harness.offer(S, "g1", "once")
    harness.says(S, one, of(m.OfferAccepted, first))
    second, two = harness.offer(S, "g2", "once")
    harness.says(S, two, of(m.OfferAccepted, second))
    runs.crash(harness, S)
    again = ConfirmedHarness("")
    again.stands = {one: [stand(first, "runs")]}
    again.stands.setdefault(two, []).append(stand(second, "ended", "done"))
    again.engine.keep(2 * S, 0, runs.state_table, True)
    again.run(2 * S)
    assert [(e.guest, e.how) for e in again.sent(m.GuestEnded)] == [("g2", "done")]
    assert again.owner(2 * S, m.Query(guest="g1"))[0].state == "running" and not again.sent(m.Offer)


@pytest.mark.parametrize(("product", "sent"), [("once", 0), ("plain", 1)])
def test_with_incomplete_state_no_held_guest_is_sent_that_must_not_run_twice(product: str, sent: int) -> None:
    runs, harness = started()
    harness.lists(0, [harness.entry(n, "cordoned") for n in "ab"])
    harness.submits(S, "g", product)
    runs.crash(harness, S)
    again = runs.harness(2 * S, complete=False)
    again.lists(2 * S, [again.entry(n) for n in "ab"], whole=True)
    again.run(2100 * MS)
    assert len(again.sent(m.Offer)) == sent and len(again.sent(m.GuestFailed)) == 1 - sent


def test_dispatches_are_counted_over_runs_and_nothing_is_sent_before_the_list_arrives() -> None:
    runs, harness = started()
    offer, machine = harness.offer(S, "g")
    harness.says(S, machine, of(m.OfferRefused, offer, remark="no_cores"))
    runs.crash(harness, S)
    again = runs.harness(2 * S)
    assert again.engine.scheduler.guests["g/0"].dispatches >= 1 and len(again.sent(m.Offer)) == 0
    again.lists(2 * S, [again.entry(n) for n in "ab"], whole=True)
    assert all(o.attempt >= 1 for o in again.sent(m.Offer))


def test_an_abandoned_dispatch_that_runs_after_all_causes_no_second_answer_in_the_next_run() -> None:
    runs, harness = started()
    offer, machine = harness.offer(S, "g", "ticket")
    runs.crash(harness, S)
    image = runs.state_table.image("guest", "g/0")
    assert image.asks == (0,)  # as when the dispatch was abandoned, before its answer
    runs.state_table.apply(
        [drop("guest", "g/0"), put("loose", f"g\0{machine}", LooseImage(image, machine, 0, S, False))]
    )
    again = ConfirmedHarness("")
    again.stands = {machine: [stand(offer, "runs")]}
    again.engine.keep(2 * S, 0, runs.state_table, True)
    again.run(2 * S)
    assert again.owner(2 * S, m.Query(guest="g"))[0].state == "running" and not again.sent(m.Placed)


def test_learned_state_is_restored_for_machines_of_the_same_incarnation() -> None:
    made = scheduler("ab", at=S)
    for n in range(4):
        made.guest_submitted(S, submission(f"g{n}"))
        decision = made.decide(S)
        made.dispatch_accepted(S, f"g{n}", 5 * MS)
        made.guest_started(2 * S, f"g{n}")
        made.memory_used(2 * S, f"g{n}", 1.5)
    made.probe_answered(2 * S, decision.machine, False)
    later = scheduler("ab", at=10 * S)
    past = made.learned_state()
    later.restore_learned(10 * S, msgspec.convert(msgspec.to_builtins(past), type(past)), False)
    assert len(later.services["service-0"].samples) == 4 and later.answers[0]
    assert later.machines[decision.machine].unresponsive and later.no_cold_until == 14 * S
    late = scheduler("ab", at=100 * S)
    late.restore_learned(100 * S, made.learned_state(), True)
    assert not late.services and not late.no_cold_until
