"""The engine's hard cases: broken links, crossed answers, cancels, restarts. No sockets, no clock."""

import pytest

from hazelhold.engine.cases import HangUp
from hazelhold.protocol import messages as m
from tests.helpers import MS, EngineHarness, of, stand


def lose(harness: EngineHarness, now: int, machine: str, dead: bool = True) -> None:
    (harness.dead.add if dead else harness.dead.discard)(machine)
    harness.engine.link_down(now, machine)
    harness.run(now)


def back(harness: EngineHarness, now: int, machine: str, complete: bool = True) -> list[m.Message]:
    """The machine answers the dial that is under way."""
    harness.dead.discard(machine)
    harness.run(now)
    if harness.engine.links[machine].state == "dialling":
        harness.comes_up(now, machine, complete)
    said = harness.run(now)
    assert now >= 1000 * MS or harness.engine.links[machine].state == "up"
    return said


def test_a_guest_is_held_offered_and_placed_once() -> None:
    harness = EngineHarness()
    offer, machine = harness.offer(0, "g")
    harness.says(9 * MS, machine, of(m.Taken, offer))
    assert len(harness.sent(m.Held)) == len(harness.sent(m.Offer)) == len(harness.sent(m.Placed)) == 1
    harness.says(9 * MS, machine, of(m.Taken, offer))
    assert len(harness.sent(m.Placed)) == 1


def test_an_answer_in_the_instant_of_its_time_out_counts() -> None:
    harness = EngineHarness()
    offer, machine = harness.offer(0, "g", "once")
    due = harness.engine.overdue[0][0]
    harness.says(due, machine, of(m.Taken, offer))
    assert harness.sent(m.Placed) and not harness.sent(m.BrokenOff) and not harness.sent(m.Withdraw)


@pytest.mark.parametrize(("product", "ends"), [("once", m.BrokenOff), ("plain", m.TurnedBack)])
def test_silence_until_the_patience_ends_is_answered_in_time(product: str, ends: type) -> None:
    harness = EngineHarness("a")
    harness.offer(0, "g", product)
    for now in range(0, 5100 * MS, 100 * MS):
        harness.run(now)
    assert len(harness.sent(ends, "g")) == 1 and len(harness.sent(m.Withdraw)) >= 1


def test_accepted_after_it_was_given_up_an_exclusive_guest_is_kept_and_known() -> None:
    harness = EngineHarness("a")
    offer, machine = harness.offer(0, "g", "once")
    harness.run(harness.engine.overdue[0][0])
    assert harness.sent(m.BrokenOff)
    assert harness.owner(5000 * MS, m.Query(guest="g"))[-1].state == "unsettled"
    harness.says(5100 * MS, machine, of(m.Taken, offer))
    assert harness.owner(5200 * MS, m.Query(guest="g"))[-1].state == "running"
    assert not harness.sent(m.Stop) and not harness.sent(m.Placed)


def test_accepted_after_it_was_given_up_a_rerunnable_copy_is_stopped() -> None:
    harness = EngineHarness("ab")
    first, machine = harness.offer(0, "g")
    harness.engine.scheduler.answers[0].extend([10 * MS] * 20)  # so that the next time-out is short
    harness.run(harness.engine.overdue[0][0])
    other = [message for message in harness.sent(m.Offer) if message.attempt == 1]
    if not other:  # the first time-out was the whole patience: ask once more with what is known now
        first, machine = harness.offer(6000 * MS, "h")
        harness.run(harness.engine.overdue[0][0])
        other = [message for message in harness.sent(m.Offer, "h") if message.attempt == 1]
    said = harness.says(7000 * MS, machine, of(m.Taken, first))
    assert other and [message.guest for message in said if isinstance(message, m.Stop)] == [first.guest]


def test_held_again_a_late_copy_is_the_guests_place() -> None:
    harness = EngineHarness("a")
    offer, machine = harness.offer(0, "g", "ticket")
    case = harness.engine.cases["g/0"]
    harness.engine._give_up(1000 * MS, case)
    from hazelhold.interface import DispatchOutcome, OutcomeReason

    harness.engine._ended(1000 * MS, case, DispatchOutcome.TIMED_OUT, OutcomeReason.NONE)
    harness.engine.machine_said(1001 * MS, machine, of(m.Taken, offer))
    harness.run(1001 * MS)
    assert len(harness.sent(m.Placed)) == 1 and len(harness.sent(m.Offer)) == 1


def test_a_broken_link_is_asked_first_and_what_never_arrived_goes_again() -> None:
    harness = EngineHarness("a")
    harness.offer(0, "g", "once")
    lose(harness, 10 * MS, "a")
    assert not harness.sent(m.BrokenOff)
    back(harness, 100 * MS, "a")  # same life, complete, nothing there: proof that it never ran
    assert len(harness.sent(m.Offer, "g")) == 2 and not harness.sent(m.BrokenOff)


@pytest.mark.parametrize("why", ["new life", "incomplete"])
def test_without_proof_an_exclusive_guest_is_broken_off(why: str) -> None:
    harness = EngineHarness("a")
    harness.offer(0, "g", "once")
    lose(harness, 10 * MS, "a")
    harness.lives["a"] = 2 if why == "new life" else 1
    back(harness, 100 * MS, "a", complete=why != "incomplete")
    assert len(harness.sent(m.Offer, "g")) == 1 and len(harness.sent(m.BrokenOff)) == 1


def test_a_placed_guest_outlives_its_link() -> None:
    harness = EngineHarness("a")
    offer, _ = harness.offer(0, "g")
    harness.says(5 * MS, "a", of(m.Taken, offer))
    lose(harness, 10 * MS, "a")
    harness.stands["a"] = [stand(offer)]
    back(harness, 100 * MS, "a")
    assert (
        not harness.sent(m.GuestEnded) and harness.owner(400 * MS, m.Query(guest="g"))[-1].state == "running"
    )


def test_a_machine_that_stays_away_loses_its_guests_and_returns_them() -> None:
    harness = EngineHarness("a", reconnect_ms=1000.0)
    offer, _ = harness.offer(0, "g", "once")
    harness.says(5 * MS, "a", of(m.Taken, offer))
    lose(harness, 10 * MS, "a")
    for now in range(20 * MS, 2000 * MS, 50 * MS):
        if harness.engine.links["a"].state == "dialling":
            harness.engine.link_failed(now, "a")
        harness.run(now)
    assert [e.how for e in harness.sent(m.GuestEnded)] == ["lost"]
    assert harness.owner(2000 * MS, m.Query(guest="g"))[-1].state == "unsettled"  # it may run on, cut off
    harness.stands["a"] = [stand(offer)]
    for now in range(2000 * MS, 5000 * MS, 100 * MS):
        back(harness, now, "a")
    assert harness.owner(5000 * MS, m.Query(guest="g"))[-1].state == "running"


def test_no_offer_leaves_for_a_machine_that_was_told_to_drain_while_its_link_was_made() -> None:
    harness = EngineHarness("")
    harness.dead.update("a")
    harness.lists(0, [harness.entry("a")])
    harness.submits(0, "g")
    assert harness.engine.links["a"].queue
    harness.lists(5 * MS, [harness.entry("a", "cordoned")])
    back(harness, 6 * MS, "a")
    assert not harness.sent(m.Offer)


def test_a_new_address_is_dialled_and_asked_before_anything_is_lost() -> None:
    harness = EngineHarness("a")
    offer, _ = harness.offer(0, "g")
    harness.says(5 * MS, "a", of(m.Taken, offer))
    harness.stands["a"] = [stand(offer)]
    harness.lists(10 * MS, [m.Entry(machine="a", address="moved", mode="ready", kind="box", incarnation=1)])
    harness.run(20 * MS)
    assert harness.dialled[-1] == "moved" and not harness.sent(m.GuestEnded)


def test_another_machine_at_the_address_is_not_taken_for_it() -> None:
    harness = EngineHarness("")
    harness.dead.add("a")
    harness.lists(0, [harness.entry("a")])
    harness.submits(0, "g")
    harness.engine.link_up(MS, "a", m.Welcome(name="b", incarnation=1))
    harness.run(MS)
    assert harness.engine.counts["wrong_machine"] == 1 and not harness.sent(m.Offer)
    harness.engine.link_up(2 * MS, "zzz", m.Welcome(name="zzz"))
    assert isinstance(harness.engine.actions[-1], HangUp)


def test_a_repeat_joins_what_is_held_and_each_ask_is_answered() -> None:
    harness = EngineHarness("a")
    offer, _ = harness.offer(0, "g")
    harness.submits(10 * MS, "g", ask=1, reason="unanswered")
    harness.says(20 * MS, "a", of(m.Taken, offer))
    assert [p.ask for p in harness.sent(m.Placed)] == [0, 1] and len(harness.sent(m.Offer)) == 1
    harness.submits(30 * MS, "g", ask=2, reason="unanswered")
    assert [p.ask for p in harness.sent(m.Placed)] == [0, 1, 2] and len(harness.sent(m.Offer)) == 1


def test_an_answer_is_kept_for_an_owner_that_was_away_and_then_forgotten() -> None:
    harness = EngineHarness("a", keep_answers_ms=1000.0)
    harness.lists(0, [harness.entry("a", "cordoned")])
    harness.submits(0, "g", patience=100 * MS)
    harness.run(100 * MS)
    assert harness.owner(200 * MS, m.Query(guest="g"))[-1].state == "turned_back"
    assert isinstance(harness.submits(200 * MS, "g", patience=100 * MS)[-1], m.TurnedBack)
    harness.run(5000 * MS)
    assert harness.owner(5000 * MS, m.Query(guest="g"))[-1].state == "unknown"
    assert not harness.engine.answers and not harness.engine.cases and not harness.engine.newest


class TestCancel:
    """Before, during and after the offer of an exclusive guest: one start at most, one final state."""

    def test_held(self) -> None:
        harness = EngineHarness("a")
        harness.lists(0, [harness.entry("a", "cordoned")])
        harness.submits(0, "g", "once")
        said = harness.owner(10 * MS, m.Cancel(guest="g"))
        assert [(type(s), s.reason) for s in said] == [(m.TurnedBack, "cancelled")]

    def test_out_and_handed_back(self) -> None:
        harness = EngineHarness("a")
        offer, _ = harness.offer(0, "g", "once")
        assert [type(s) for s in harness.owner(10 * MS, m.Cancel(guest="g"))] == [m.Withdraw]
        said = harness.says(20 * MS, "a", of(m.Ended, offer, how="withdrawn"))
        assert [(type(s), s.reason) for s in said] == [(m.TurnedBack, "cancelled")]

    def test_out_and_accepted_meanwhile(self) -> None:
        harness = EngineHarness("a")
        offer, _ = harness.offer(0, "g", "once")
        harness.owner(10 * MS, m.Cancel(guest="g"))
        said = harness.says(20 * MS, "a", of(m.Taken, offer))
        assert [type(s) for s in said] == [m.Placed, m.Stop]
        said = harness.says(30 * MS, "a", of(m.Ended, offer, how="stopped"))
        assert [(type(s), s.how) for s in said] == [(m.GuestEnded, "stopped")]
        assert len(harness.sent(m.Offer)) == 1

    def test_out_and_never_answered(self) -> None:
        harness = EngineHarness("a")
        harness.offer(0, "g", "once")
        harness.owner(10 * MS, m.Cancel(guest="g"))
        for now in range(10 * MS, 5100 * MS, 100 * MS):
            harness.run(now)
        assert [b.reason for b in harness.sent(m.BrokenOff)] == ["cancelled"] and len(
            harness.sent(m.Offer)
        ) == 1

    def test_wanted_again_while_its_cancel_is_on_its_way(self) -> None:
        harness = EngineHarness("ab")
        harness.offer(0, "g", "once")
        harness.owner(10 * MS, m.Cancel(guest="g"))
        said = harness.submits(20 * MS, "g", "once", ask=1)
        assert len(harness.sent(m.Offer)) == 1 and any(
            isinstance(s, m.BrokenOff) and s.ask == 1 for s in said
        )

    def test_of_nobody(self) -> None:
        assert [s.state for s in EngineHarness().owner(0, m.Cancel(guest="who"))] == ["unknown"]


def test_a_new_planner_finds_what_runs_and_calls_nothing_unknown_before() -> None:
    harness = EngineHarness("")
    harness.dead.update("ab")
    harness.engine.list_heard = False
    assert harness.owner(0, m.Query(guest="g"))[-1].state == "unsettled"
    harness.lists(0, [harness.entry("a"), harness.entry("b")], whole=True)
    offer = m.Offer(guest="g", product="once", service="s", cores=1.0, memory=1.0, owner="o")
    harness.stands["a"] = [stand(offer)]
    back(harness, 10 * MS, "a")
    assert harness.owner(20 * MS, m.Query(guest="g"))[-1].state == "running"
    assert harness.owner(20 * MS, m.Query(guest="other"))[-1].state == "unsettled"
    said = harness.submits(30 * MS, "third", "once", ask=1, reason="unanswered")
    assert isinstance(said[-1], m.BrokenOff) and not harness.sent(m.Offer)
    back(harness, 40 * MS, "b")
    assert harness.owner(50 * MS, m.Query(guest="other"))[-1].state == "unknown"
    harness.says(60 * MS, "a", of(m.Ended, offer, how="done"))
    assert [e.how for e in harness.sent(m.GuestEnded, "g")] == ["done"]


def test_stopping_answers_all_that_is_held_and_out() -> None:
    harness = EngineHarness("a")
    offer, _ = harness.offer(0, "g", "once")
    other, _ = harness.offer(0, "h")
    harness.says(1 * MS, "a", of(m.Taken, other))
    harness.engine.stop(10 * MS)
    harness.run(10 * MS)
    assert isinstance(harness.submits(20 * MS, "late")[-1], m.Rejected)
    assert harness.engine.unanswered() == 1
    harness.engine.stop_now(30 * MS)
    harness.run(30 * MS)
    assert harness.engine.unanswered() == 0 and len(harness.sent(m.BrokenOff, "g")) == 1
    assert not harness.sent(m.Stop)  # what runs, runs on


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"product": "odd"}, "unknown_product"),
        ({"customer": "odd"}, "unknown_customer"),
        ({"patience": 10**12}, "patience"),
    ],
)
def test_asks_that_make_no_sense_are_rejected_and_counted(change: dict, code: str) -> None:
    harness = EngineHarness()
    plain = {"guest": "g", "product": "plain", "service": "s", "cores": 1.0, "memory": 1.0, "patience": 1000}
    said = harness.owner(0, m.Submit(**(plain | change)))
    assert (
        said[-1].code == code and harness.engine.counts["rejected_" + code] == 1 and not harness.engine.cases
    )


def test_a_life_keeps_one_start_time_whatever_the_list_says_of_its_age() -> None:
    harness = EngineHarness("")
    for now, age in ((10**9, 5 * 10**6), (2 * 10**9, 0), (3 * 10**9, 3600 * 10**6)):
        harness.lists(now, [harness.entry("a", up_for=age)])
        assert harness.engine.scheduler.machines["a"].listed.started == 10**9 - 5 * 10**6
    harness.lives["a"] = 2
    harness.lists(4 * 10**9, [harness.entry("a", up_for=10**6)])
    assert harness.engine.scheduler.machines["a"].cold_at == 4 * 10**9 - 10**6


def test_strays_and_nonsense_from_machines_change_nothing() -> None:
    harness = EngineHarness("a")
    offer, _ = harness.offer(0, "g")
    for message in (
        m.Taken(guest="x"),
        m.Ended(guest="g", attempt=7, how="done"),
        m.Use(guest="g", ask=3, cores=1, memory=1),
        m.Pressed(share=0.9),
        m.Running(guests=[]),
        of(m.Refused, offer, remark="odd"),
    ):
        harness.says(MS, "a", message)
    assert not harness.sent(m.Placed) and harness.engine.cases


def test_found_guests_count_before_offers_that_waited_for_the_same_link() -> None:
    harness = EngineHarness("")
    harness.dead.add("a")
    harness.lists(0, [harness.entry("a")])
    harness.submits(0, "g")
    harness.submits(0, "h", "once")
    harness.stands["a"] = [
        stand(m.Offer(guest="old", product="plain", service="splain", cores=1.0, memory=1.0))
    ]
    back(harness, 10 * MS, "a")
    first = [offer.guest for offer in harness.sent(m.Offer)]
    harness.run(500 * MS)
    assert first[0] == "h" and harness.engine.cases["g/0"].attempt == 1  # g was decided anew, knowing of old


def test_what_ended_while_no_planner_listened_is_not_called_unknown() -> None:
    harness = EngineHarness("")
    harness.dead.add("a")
    harness.lists(0, [harness.entry("a")])
    harness.stands["a"] = [
        stand(m.Offer(guest="g", product="once", service="s", cores=1.0, memory=1.0), "ended", "done")
    ]
    back(harness, 10 * MS, "a")
    assert harness.owner(20 * MS, m.Query(guest="g"))[-1].state == "done"


def test_a_ticketed_copy_too_many_is_called_off() -> None:
    harness = EngineHarness("ab")
    offer, machine = harness.offer(0, "g", "ticket")
    harness.says(MS, machine, of(m.Taken, offer))
    other = {"a": "b", "b": "a"}[machine]
    harness.engine.link_down(2 * MS, other)
    harness.stands[other] = [stand(offer)]
    harness.engine._dial(3 * MS, harness.engine.roster.fellows[other])
    back(harness, 3 * MS, other)
    assert [(peer, said.guest) for peer, said in harness.said if isinstance(said, m.Stop)] == [(other, "g")]


def test_news_of_a_machines_new_life_leaves_an_offer_to_its_answer_or_its_links_end() -> None:
    harness = EngineHarness("ab")
    offer, machine = harness.offer(0, "g", "once")
    harness.lives[machine] = 2
    harness.lists(10 * MS, [harness.entry(machine, up_for=5 * MS)])
    assert not harness.sent(m.BrokenOff) and len(harness.sent(m.Offer)) == 1
    assert harness.engine.scheduler.machines[machine].cold_at == 5 * MS
    lose(harness, 20 * MS, machine)
    back(harness, 40 * MS, machine)  # in the life that the list told of: whether it ran cannot be known
    assert len(harness.sent(m.BrokenOff)) == 1 and len(harness.sent(m.Offer)) == 1


def test_by_a_list_that_has_been_silent_for_longer_than_the_grace_nothing_is_offered() -> None:
    """The own protocol's list service tells changes as they come and confirms nothing. What it told while its
    connection was silent counts as told: a machine may have begun to drain seconds ago."""
    harness = EngineHarness("ab")
    for now in range(0, 10_000, 50):
        harness.run(now * MS)
    harness.submits(10_000 * MS, "g")
    assert harness.sent(m.Held, "g")
    assert not harness.sent(m.Offer)
