"""The engine's hard cases: broken links, crossed answers, cancels, restarts. No sockets, no clock."""

import pytest

from hazelhold.engine.cases import HangUp
from hazelhold.protocol import messages as m
from tests.helpers import MS, Desk, of, stand


def lose(desk: Desk, now: int, machine: str, dead: bool = True) -> None:
    (desk.dead.add if dead else desk.dead.discard)(machine)
    desk.engine.link_down(now, machine)
    desk.run(now)


def back(desk: Desk, now: int, machine: str, complete: bool = True) -> list[m.Message]:
    """The machine answers the dial that is under way."""
    desk.dead.discard(machine)
    desk.run(now)
    if desk.engine.links[machine].state == "dialling":
        desk.comes_up(now, machine, complete)
    said = desk.run(now)
    assert now >= 1000 * MS or desk.engine.links[machine].state == "up"
    return said


def test_a_guest_is_held_offered_and_placed_once() -> None:
    desk = Desk()
    offer, machine = desk.offer(0, "g")
    desk.says(9 * MS, machine, of(m.Taken, offer))
    assert len(desk.sent(m.Held)) == len(desk.sent(m.Offer)) == len(desk.sent(m.Placed)) == 1
    desk.says(9 * MS, machine, of(m.Taken, offer))
    assert len(desk.sent(m.Placed)) == 1


def test_an_answer_in_the_instant_of_its_time_out_counts() -> None:
    desk = Desk()
    offer, machine = desk.offer(0, "g", "once")
    due = desk.engine.overdue[0][0]
    desk.says(due, machine, of(m.Taken, offer))
    assert desk.sent(m.Placed) and not desk.sent(m.BrokenOff) and not desk.sent(m.Withdraw)


@pytest.mark.parametrize(("product", "ends"), [("once", m.BrokenOff), ("plain", m.TurnedBack)])
def test_silence_until_the_patience_ends_is_answered_in_time(product: str, ends: type) -> None:
    desk = Desk("a")
    desk.offer(0, "g", product)
    for now in range(0, 5100 * MS, 100 * MS):
        desk.run(now)
    assert len(desk.sent(ends, "g")) == 1 and len(desk.sent(m.Withdraw)) >= 1


def test_accepted_after_it_was_given_up_an_exclusive_guest_is_kept_and_known() -> None:
    desk = Desk("a")
    offer, machine = desk.offer(0, "g", "once")
    desk.run(desk.engine.overdue[0][0])
    assert desk.sent(m.BrokenOff)
    assert desk.owner(5000 * MS, m.Query(guest="g"))[-1].state == "unsettled"
    desk.says(5100 * MS, machine, of(m.Taken, offer))
    assert desk.owner(5200 * MS, m.Query(guest="g"))[-1].state == "running"
    assert not desk.sent(m.Stop) and not desk.sent(m.Placed)


def test_accepted_after_it_was_given_up_a_rerunnable_copy_is_stopped() -> None:
    desk = Desk("ab")
    first, machine = desk.offer(0, "g")
    desk.engine.brain.answers[0].extend([10 * MS] * 20)  # so that the next time-out is short
    desk.run(desk.engine.overdue[0][0])
    other = [message for message in desk.sent(m.Offer) if message.attempt == 1]
    if not other:  # the first time-out was the whole patience: ask once more with what is known now
        first, machine = desk.offer(6000 * MS, "h")
        desk.run(desk.engine.overdue[0][0])
        other = [message for message in desk.sent(m.Offer, "h") if message.attempt == 1]
    said = desk.says(7000 * MS, machine, of(m.Taken, first))
    assert other and [message.guest for message in said if isinstance(message, m.Stop)] == [first.guest]


def test_held_again_a_late_copy_is_the_guests_place() -> None:
    desk = Desk("a")
    offer, machine = desk.offer(0, "g", "ticket")
    case = desk.engine.cases["g/0"]
    desk.engine._give_up(1000 * MS, case)
    from hazelhold.interface import Ending, Remark

    desk.engine._ended(1000 * MS, case, Ending.OVERDUE, Remark.NONE)
    desk.engine.machine_said(1001 * MS, machine, of(m.Taken, offer))
    desk.run(1001 * MS)
    assert len(desk.sent(m.Placed)) == 1 and len(desk.sent(m.Offer)) == 1


def test_a_broken_link_is_asked_first_and_what_never_arrived_goes_again() -> None:
    desk = Desk("a")
    desk.offer(0, "g", "once")
    lose(desk, 10 * MS, "a")
    assert not desk.sent(m.BrokenOff)
    back(desk, 100 * MS, "a")  # same life, complete, nothing there: proof that it never ran
    assert len(desk.sent(m.Offer, "g")) == 2 and not desk.sent(m.BrokenOff)


@pytest.mark.parametrize("why", ["new life", "incomplete"])
def test_without_proof_an_exclusive_guest_is_broken_off(why: str) -> None:
    desk = Desk("a")
    desk.offer(0, "g", "once")
    lose(desk, 10 * MS, "a")
    desk.lives["a"] = 2 if why == "new life" else 1
    back(desk, 100 * MS, "a", complete=why != "incomplete")
    assert len(desk.sent(m.Offer, "g")) == 1 and len(desk.sent(m.BrokenOff)) == 1


def test_a_placed_guest_outlives_its_link() -> None:
    desk = Desk("a")
    offer, _ = desk.offer(0, "g")
    desk.says(5 * MS, "a", of(m.Taken, offer))
    lose(desk, 10 * MS, "a")
    desk.stands["a"] = [stand(offer)]
    back(desk, 100 * MS, "a")
    assert not desk.sent(m.GuestEnded) and desk.owner(400 * MS, m.Query(guest="g"))[-1].state == "running"


def test_a_machine_that_stays_away_loses_its_guests_and_returns_them() -> None:
    desk = Desk("a", reconnect_ms=1000.0)
    offer, _ = desk.offer(0, "g", "once")
    desk.says(5 * MS, "a", of(m.Taken, offer))
    lose(desk, 10 * MS, "a")
    for now in range(20 * MS, 2000 * MS, 50 * MS):
        if desk.engine.links["a"].state == "dialling":
            desk.engine.link_failed(now, "a")
        desk.run(now)
    assert [e.how for e in desk.sent(m.GuestEnded)] == ["lost"]
    assert desk.owner(2000 * MS, m.Query(guest="g"))[-1].state == "unsettled"  # it may run on, cut off
    desk.stands["a"] = [stand(offer)]
    for now in range(2000 * MS, 5000 * MS, 100 * MS):
        back(desk, now, "a")
    assert desk.owner(5000 * MS, m.Query(guest="g"))[-1].state == "running"


def test_no_offer_leaves_for_a_machine_that_was_told_to_drain_while_its_link_was_made() -> None:
    desk = Desk("")
    desk.dead.update("a")
    desk.lists(0, [desk.entry("a")])
    desk.submits(0, "g")
    assert desk.engine.links["a"].queue
    desk.lists(5 * MS, [desk.entry("a", "cordoned")])
    back(desk, 6 * MS, "a")
    assert not desk.sent(m.Offer)


def test_a_new_address_is_dialled_and_asked_before_anything_is_lost() -> None:
    desk = Desk("a")
    offer, _ = desk.offer(0, "g")
    desk.says(5 * MS, "a", of(m.Taken, offer))
    desk.stands["a"] = [stand(offer)]
    desk.lists(10 * MS, [m.Entry(machine="a", address="moved", mode="ready", kind="box", incarnation=1)])
    desk.run(20 * MS)
    assert desk.dialled[-1] == "moved" and not desk.sent(m.GuestEnded)


def test_another_machine_at_the_address_is_not_taken_for_it() -> None:
    desk = Desk("")
    desk.dead.add("a")
    desk.lists(0, [desk.entry("a")])
    desk.submits(0, "g")
    desk.engine.link_up(MS, "a", m.Welcome(name="b", incarnation=1))
    desk.run(MS)
    assert desk.engine.counts["wrong_machine"] == 1 and not desk.sent(m.Offer)
    desk.engine.link_up(2 * MS, "zzz", m.Welcome(name="zzz"))
    assert isinstance(desk.engine.actions[-1], HangUp)


def test_a_repeat_joins_what_is_held_and_each_ask_is_answered() -> None:
    desk = Desk("a")
    offer, _ = desk.offer(0, "g")
    desk.submits(10 * MS, "g", ask=1, reason="unanswered")
    desk.says(20 * MS, "a", of(m.Taken, offer))
    assert [p.ask for p in desk.sent(m.Placed)] == [0, 1] and len(desk.sent(m.Offer)) == 1
    desk.submits(30 * MS, "g", ask=2, reason="unanswered")
    assert [p.ask for p in desk.sent(m.Placed)] == [0, 1, 2] and len(desk.sent(m.Offer)) == 1


def test_an_answer_is_kept_for_an_owner_that_was_away_and_then_forgotten() -> None:
    desk = Desk("a", keep_answers_ms=1000.0)
    desk.lists(0, [desk.entry("a", "cordoned")])
    desk.submits(0, "g", patience=100 * MS)
    desk.run(100 * MS)
    assert desk.owner(200 * MS, m.Query(guest="g"))[-1].state == "turned_back"
    assert isinstance(desk.submits(200 * MS, "g", patience=100 * MS)[-1], m.TurnedBack)
    desk.run(5000 * MS)
    assert desk.owner(5000 * MS, m.Query(guest="g"))[-1].state == "unknown"
    assert not desk.engine.answers and not desk.engine.cases and not desk.engine.newest


class TestCancel:
    """Before, during and after the offer of an exclusive guest: one start at most, one final state."""

    def test_held(self) -> None:
        desk = Desk("a")
        desk.lists(0, [desk.entry("a", "cordoned")])
        desk.submits(0, "g", "once")
        said = desk.owner(10 * MS, m.Cancel(guest="g"))
        assert [(type(s), s.reason) for s in said] == [(m.TurnedBack, "cancelled")]

    def test_out_and_handed_back(self) -> None:
        desk = Desk("a")
        offer, _ = desk.offer(0, "g", "once")
        assert [type(s) for s in desk.owner(10 * MS, m.Cancel(guest="g"))] == [m.Withdraw]
        said = desk.says(20 * MS, "a", of(m.Ended, offer, how="withdrawn"))
        assert [(type(s), s.reason) for s in said] == [(m.TurnedBack, "cancelled")]

    def test_out_and_accepted_meanwhile(self) -> None:
        desk = Desk("a")
        offer, _ = desk.offer(0, "g", "once")
        desk.owner(10 * MS, m.Cancel(guest="g"))
        said = desk.says(20 * MS, "a", of(m.Taken, offer))
        assert [type(s) for s in said] == [m.Placed, m.Stop]
        said = desk.says(30 * MS, "a", of(m.Ended, offer, how="stopped"))
        assert [(type(s), s.how) for s in said] == [(m.GuestEnded, "stopped")]
        assert len(desk.sent(m.Offer)) == 1

    def test_out_and_never_answered(self) -> None:
        desk = Desk("a")
        desk.offer(0, "g", "once")
        desk.owner(10 * MS, m.Cancel(guest="g"))
        for now in range(10 * MS, 5100 * MS, 100 * MS):
            desk.run(now)
        assert [b.reason for b in desk.sent(m.BrokenOff)] == ["cancelled"] and len(desk.sent(m.Offer)) == 1

    def test_wanted_again_while_its_cancel_is_on_its_way(self) -> None:
        desk = Desk("ab")
        desk.offer(0, "g", "once")
        desk.owner(10 * MS, m.Cancel(guest="g"))
        said = desk.submits(20 * MS, "g", "once", ask=1)
        assert len(desk.sent(m.Offer)) == 1 and any(isinstance(s, m.BrokenOff) and s.ask == 1 for s in said)

    def test_of_nobody(self) -> None:
        assert [s.state for s in Desk().owner(0, m.Cancel(guest="who"))] == ["unknown"]


def test_a_new_planner_finds_what_runs_and_calls_nothing_unknown_before() -> None:
    desk = Desk("")
    desk.dead.update("ab")
    desk.engine.list_heard = False
    assert desk.owner(0, m.Query(guest="g"))[-1].state == "unsettled"
    desk.lists(0, [desk.entry("a"), desk.entry("b")], whole=True)
    offer = m.Offer(guest="g", product="once", service="s", cores=1.0, memory=1.0, owner="o")
    desk.stands["a"] = [stand(offer)]
    back(desk, 10 * MS, "a")
    assert desk.owner(20 * MS, m.Query(guest="g"))[-1].state == "running"
    assert desk.owner(20 * MS, m.Query(guest="other"))[-1].state == "unsettled"
    said = desk.submits(30 * MS, "third", "once", ask=1, reason="unanswered")
    assert isinstance(said[-1], m.BrokenOff) and not desk.sent(m.Offer)
    back(desk, 40 * MS, "b")
    assert desk.owner(50 * MS, m.Query(guest="other"))[-1].state == "unknown"
    desk.says(60 * MS, "a", of(m.Ended, offer, how="done"))
    assert [e.how for e in desk.sent(m.GuestEnded, "g")] == ["done"]


def test_stopping_answers_all_that_is_held_and_out() -> None:
    desk = Desk("a")
    offer, _ = desk.offer(0, "g", "once")
    other, _ = desk.offer(0, "h")
    desk.says(1 * MS, "a", of(m.Taken, other))
    desk.engine.stop(10 * MS)
    desk.run(10 * MS)
    assert isinstance(desk.submits(20 * MS, "late")[-1], m.Rejected)
    assert desk.engine.unanswered() == 1
    desk.engine.stop_now(30 * MS)
    desk.run(30 * MS)
    assert desk.engine.unanswered() == 0 and len(desk.sent(m.BrokenOff, "g")) == 1
    assert not desk.sent(m.Stop)  # what runs, runs on


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"product": "odd"}, "unknown_product"),
        ({"customer": "odd"}, "unknown_customer"),
        ({"patience": 10**12}, "patience"),
    ],
)
def test_asks_that_make_no_sense_are_rejected_and_counted(change: dict, code: str) -> None:
    desk = Desk()
    plain = {"guest": "g", "product": "plain", "service": "s", "cores": 1.0, "memory": 1.0, "patience": 1000}
    said = desk.owner(0, m.Submit(**(plain | change)))
    assert said[-1].code == code and desk.engine.counts["rejected_" + code] == 1 and not desk.engine.cases


def test_a_life_keeps_one_start_time_whatever_the_list_says_of_its_age() -> None:
    desk = Desk("")
    for now, age in ((10**9, 5 * 10**6), (2 * 10**9, 0), (3 * 10**9, 3600 * 10**6)):
        desk.lists(now, [desk.entry("a", up_for=age)])
        assert desk.engine.brain.machines["a"].listed.started == 10**9 - 5 * 10**6
    desk.lives["a"] = 2
    desk.lists(4 * 10**9, [desk.entry("a", up_for=10**6)])
    assert desk.engine.brain.machines["a"].cold_at == 4 * 10**9 - 10**6


def test_strays_and_nonsense_from_machines_change_nothing() -> None:
    desk = Desk("a")
    offer, _ = desk.offer(0, "g")
    for message in (
        m.Taken(guest="x"),
        m.Ended(guest="g", attempt=7, how="done"),
        m.Use(guest="g", ask=3, cores=1, memory=1),
        m.Pressed(share=0.9),
        m.Running(guests=[]),
        of(m.Refused, offer, remark="odd"),
    ):
        desk.says(MS, "a", message)
    assert not desk.sent(m.Placed) and desk.engine.cases


def test_found_guests_count_before_offers_that_waited_for_the_same_link() -> None:
    desk = Desk("")
    desk.dead.add("a")
    desk.lists(0, [desk.entry("a")])
    desk.submits(0, "g")
    desk.submits(0, "h", "once")
    desk.stands["a"] = [stand(m.Offer(guest="old", product="plain", service="splain", cores=1.0, memory=1.0))]
    back(desk, 10 * MS, "a")
    first = [offer.guest for offer in desk.sent(m.Offer)]
    desk.run(500 * MS)
    assert first[0] == "h" and desk.engine.cases["g/0"].attempt == 1  # g was decided anew, knowing of old


def test_what_ended_while_no_planner_listened_is_not_called_unknown() -> None:
    desk = Desk("")
    desk.dead.add("a")
    desk.lists(0, [desk.entry("a")])
    desk.stands["a"] = [
        stand(m.Offer(guest="g", product="once", service="s", cores=1.0, memory=1.0), "ended", "done")
    ]
    back(desk, 10 * MS, "a")
    assert desk.owner(20 * MS, m.Query(guest="g"))[-1].state == "done"


def test_a_ticketed_copy_too_many_is_called_off() -> None:
    desk = Desk("ab")
    offer, machine = desk.offer(0, "g", "ticket")
    desk.says(MS, machine, of(m.Taken, offer))
    other = {"a": "b", "b": "a"}[machine]
    desk.engine.link_down(2 * MS, other)
    desk.stands[other] = [stand(offer)]
    desk.engine._dial(3 * MS, desk.engine.roster.fellows[other])
    back(desk, 3 * MS, other)
    assert [(peer, said.guest) for peer, said in desk.said if isinstance(said, m.Stop)] == [(other, "g")]


def test_news_of_a_machines_new_life_leaves_an_offer_to_its_answer_or_its_links_end() -> None:
    desk = Desk("ab")
    offer, machine = desk.offer(0, "g", "once")
    desk.lives[machine] = 2
    desk.lists(10 * MS, [desk.entry(machine, up_for=5 * MS)])
    assert not desk.sent(m.BrokenOff) and len(desk.sent(m.Offer)) == 1
    assert desk.engine.brain.machines[machine].cold_at == 5 * MS
    lose(desk, 20 * MS, machine)
    back(desk, 40 * MS, machine)  # in the life that the list told of: whether it ran cannot be known
    assert len(desk.sent(m.BrokenOff)) == 1 and len(desk.sent(m.Offer)) == 1
