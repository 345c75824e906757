"""An engine that is brought to where an earlier life left off."""

import msgspec
import pytest

from hazelhold.protocol import messages as m
from hazelhold.state.images import LooseImage, drop, put
from hazelhold.state.ledger import Ledger
from tests.helpers import MS, EngineHarness, of, scheduler, stand, submission
from tests.state_rig import S


class Life:
    """Desks, one after the other, over one ledger."""

    def __init__(self) -> None:
        self.ledger = Ledger()

    def harness(self, now: int, dead: str = "", complete: bool = True, **limits: object) -> EngineHarness:
        harness = EngineHarness("", **limits)
        harness.dead = set(dead)
        harness.engine.keep(now, 0, self.ledger, complete)
        harness.run(now)
        return harness

    def dies(self, harness: EngineHarness, now: int) -> None:
        self.ledger.apply(harness.engine.flush(now))


def started(**limits: object) -> tuple[Life, EngineHarness]:
    life = Life()
    harness = life.harness(0, **limits)
    harness.lists(0, [harness.entry(name) for name in "ab"], whole=True)
    return life, harness


def test_a_held_guest_keeps_the_rest_of_its_patience() -> None:
    life, harness = started()
    harness.lists(0, [harness.entry(n, "cordoned") for n in "ab"])
    harness.submits(S, "g", "once", patience=4 * S)
    life.dies(harness, 2 * S)
    again = life.harness(3 * S)
    assert again.owner(3 * S, m.Query(guest="g"))[0].state == "held"
    again.run(4900 * MS)
    assert not again.sent(m.TurnedBack)
    again.run(5 * S)
    assert [a.reason for a in again.sent(m.TurnedBack)] == ["no_machine"]
    life.dies(again, 5 * S)
    assert life.harness(6 * S).owner(6 * S, m.Query(guest="g"))[0].state == "turned_back"


@pytest.mark.parametrize("there", ["", "line", "runs", "ended"])
def test_an_offer_that_had_left_is_settled_by_its_machines_word(there: str) -> None:
    life, harness = started()
    offer, machine = harness.offer(S, "g", "once")
    life.dies(harness, S)
    again = EngineHarness("")
    again.dead = {"a", "b"}
    again.engine.keep(1500 * MS, 0, life.ledger, True)
    again.run(1500 * MS)
    again.lists(1500 * MS, [again.entry(n) for n in "ab"], whole=True)
    assert not again.sent(m.Offer)  # it may run: nothing else is tried
    if there:
        again.stands[machine] = [stand(offer, there, "done" if there == "ended" else "")]
    again.dead.clear()
    for name in "ab":
        again.comes_up(1600 * MS, name)
    again.run(1600 * MS)
    if there in ("runs", "ended"):
        assert again.sent(m.Placed) and bool(again.sent(m.GuestEnded)) is (there == "ended")
    elif there == "line":
        assert again.engine.cases["g/0"].machine == machine and not again.sent(m.Offer)
    else:
        assert [o.attempt for o in again.sent(m.Offer, "g")] == [1]  # it never arrived


def test_a_guest_that_ran_is_found_and_one_that_ended_meanwhile_is_told() -> None:
    life, harness = started()
    first, one = harness.offer(S, "g1", "once")
    harness.says(S, one, of(m.Taken, first))
    second, two = harness.offer(S, "g2", "once")
    harness.says(S, two, of(m.Taken, second))
    life.dies(harness, S)
    again = EngineHarness("")
    again.stands = {one: [stand(first, "runs")]}
    again.stands.setdefault(two, []).append(stand(second, "ended", "done"))
    again.engine.keep(2 * S, 0, life.ledger, True)
    again.run(2 * S)
    assert [(e.guest, e.how) for e in again.sent(m.GuestEnded)] == [("g2", "done")]
    assert again.owner(2 * S, m.Query(guest="g1"))[0].state == "running" and not again.sent(m.Offer)


@pytest.mark.parametrize(("product", "sent"), [("once", 0), ("plain", 1)])
def test_if_something_may_be_missing_no_held_guest_is_sent_that_must_not_run_twice(
    product: str, sent: int
) -> None:
    life, harness = started()
    harness.lists(0, [harness.entry(n, "cordoned") for n in "ab"])
    harness.submits(S, "g", product)
    life.dies(harness, S)
    again = life.harness(2 * S, complete=False)
    again.lists(2 * S, [again.entry(n) for n in "ab"], whole=True)
    again.run(2100 * MS)
    assert len(again.sent(m.Offer)) == sent and len(again.sent(m.BrokenOff)) == 1 - sent


def test_attempts_are_counted_over_lives_and_the_list_must_speak_before_anything_is_sent() -> None:
    life, harness = started()
    offer, machine = harness.offer(S, "g")
    harness.says(S, machine, of(m.Refused, offer, remark="no_cores"))
    life.dies(harness, S)
    again = life.harness(2 * S)
    assert again.engine.scheduler.guests["g/0"].dispatches >= 1 and len(again.sent(m.Offer)) == 0
    again.lists(2 * S, [again.entry(n) for n in "ab"], whole=True)
    assert all(o.attempt >= 1 for o in again.sent(m.Offer))


def test_a_given_up_dispatch_that_runs_after_all_brings_no_second_answer_in_the_next_life() -> None:
    life, harness = started()
    offer, machine = harness.offer(S, "g", "ticket")
    life.dies(harness, S)
    image = life.ledger.image("guest", "g/0")
    assert image.asks == (0,)  # as it was when the dispatch was given up, before its answer
    life.ledger.apply(
        [drop("guest", "g/0"), put("loose", f"g\0{machine}", LooseImage(image, machine, 0, S, False))]
    )
    again = EngineHarness("")
    again.stands = {machine: [stand(offer, "runs")]}
    again.engine.keep(2 * S, 0, life.ledger, True)
    again.run(2 * S)
    assert again.owner(2 * S, m.Query(guest="g"))[0].state == "running" and not again.sent(m.Placed)


def test_what_was_learned_comes_back_for_machines_in_the_same_life() -> None:
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
