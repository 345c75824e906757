"""Engine edge cases: broken links, crossing answers, cancels, restarts. No sockets, no clock."""

import pytest

from hazelhold.engine.records import HangUp
from hazelhold.protocol import messages as m
from tests.helpers import MS, ConfirmedHarness, EngineHarness, of, stand


def break_link(harness: EngineHarness, now: int, machine: str, dead: bool = True) -> None:
    (harness.dead.add if dead else harness.dead.discard)(machine)
    harness.engine.link_down(now, machine)
    harness.run(now)


def reconnect(harness: EngineHarness, now: int, machine: str, complete: bool = True) -> list[m.Message]:
    """The machine answers the dial that is under way; returns the messages sent then."""
    harness.dead.discard(machine)
    harness.run(now)
    if harness.engine.links[machine].state == "dialling":
        harness.comes_up(now, machine, complete)
    said = harness.run(now)
    assert now >= 1000 * MS or harness.engine.links[machine].state == "up"
    return said


def test_a_guest_is_held_offered_and_placed_once() -> None:
    harness = ConfirmedHarness()
    offer, machine = harness.offer(0, "g")
    harness.says(9 * MS, machine, of(m.OfferAccepted, offer))
    assert len(harness.sent(m.Acknowledged)) == len(harness.sent(m.Offer)) == len(harness.sent(m.Placed)) == 1
    harness.says(9 * MS, machine, of(m.OfferAccepted, offer))
    assert len(harness.sent(m.Placed)) == 1


def test_an_answer_at_the_time_of_its_timeout_counts() -> None:
    harness = ConfirmedHarness()
    offer, machine = harness.offer(0, "g", "once")
    due = harness.engine.overdue[0][0]
    harness.says(due, machine, of(m.OfferAccepted, offer))
    assert harness.sent(m.Placed) and not harness.sent(m.GuestFailed) and not harness.sent(m.Withdraw)


@pytest.mark.parametrize(("product", "ends"), [("once", m.GuestFailed), ("plain", m.GuestRefused)])
def test_a_guest_without_an_answer_is_answered_at_its_deadline(product: str, ends: type) -> None:
    harness = ConfirmedHarness("a")
    harness.offer(0, "g", product)
    for now in range(0, 5100 * MS, 100 * MS):
        harness.run(now)
    assert len(harness.sent(ends, "g")) == 1 and len(harness.sent(m.Withdraw)) >= 1


def test_an_at_most_once_guest_accepted_after_its_dispatch_was_abandoned_is_kept_and_known() -> None:
    harness = ConfirmedHarness("a")
    offer, machine = harness.offer(0, "g", "once")
    harness.run(harness.engine.overdue[0][0])
    assert harness.sent(m.GuestFailed)
    assert harness.owner(5000 * MS, m.Query(guest="g"))[-1].state == "unsettled"
    harness.says(5100 * MS, machine, of(m.OfferAccepted, offer))
    assert harness.owner(5200 * MS, m.Query(guest="g"))[-1].state == "running"
    assert not harness.sent(m.Stop) and not harness.sent(m.Placed)


def test_an_idempotent_copy_accepted_after_its_dispatch_was_abandoned_is_stopped() -> None:
    harness = ConfirmedHarness("ab")
    first, machine = harness.offer(0, "g")
    harness.engine.scheduler.answers[0].extend([10 * MS] * 20)  # makes the next timeout short
    harness.run(harness.engine.overdue[0][0])
    other = [message for message in harness.sent(m.Offer) if message.attempt == 1]
    if not other:  # the first timeout was the whole time left: submit once more with what is known now
        first, machine = harness.offer(6000 * MS, "h")
        harness.run(harness.engine.overdue[0][0])
        other = [message for message in harness.sent(m.Offer, "h") if message.attempt == 1]
    said = harness.says(7000 * MS, machine, of(m.OfferAccepted, first))
    assert other and [message.guest for message in said if isinstance(message, m.Stop)] == [first.guest]


def test_a_late_copy_of_a_guest_that_is_held_again_becomes_its_placement() -> None:
    harness = ConfirmedHarness("a")
    offer, machine = harness.offer(0, "g", "ticket")
    record = harness.engine.records["g/0"]
    harness.engine._withdraw_dispatch(1000 * MS, record)
    from hazelhold.interface import DispatchOutcome, OutcomeReason

    harness.engine._dispatch_ended(1000 * MS, record, DispatchOutcome.TIMED_OUT, OutcomeReason.NONE)
    harness.engine.machine_said(1001 * MS, machine, of(m.OfferAccepted, offer))
    harness.run(1001 * MS)
    assert len(harness.sent(m.Placed)) == 1 and len(harness.sent(m.Offer)) == 1


def test_after_a_broken_link_the_machine_is_queried_and_a_lost_offer_sent_again() -> None:
    harness = ConfirmedHarness("a")
    harness.offer(0, "g", "once")
    break_link(harness, 10 * MS, "a")
    assert not harness.sent(m.GuestFailed)
    reconnect(harness, 100 * MS, "a")  # same incarnation, complete and empty: proof that it never ran
    assert len(harness.sent(m.Offer, "g")) == 2 and not harness.sent(m.GuestFailed)


@pytest.mark.parametrize("why", ["new life", "incomplete"])
def test_without_proof_that_it_never_ran_an_at_most_once_guest_fails(why: str) -> None:
    harness = ConfirmedHarness("a")
    harness.offer(0, "g", "once")
    break_link(harness, 10 * MS, "a")
    harness.lives["a"] = 2 if why == "new life" else 1
    reconnect(harness, 100 * MS, "a", complete=why != "incomplete")
    assert len(harness.sent(m.Offer, "g")) == 1 and len(harness.sent(m.GuestFailed)) == 1


def test_a_placed_guest_outlives_its_link() -> None:
    harness = ConfirmedHarness("a")
    offer, _ = harness.offer(0, "g")
    harness.says(5 * MS, "a", of(m.OfferAccepted, offer))
    break_link(harness, 10 * MS, "a")
    harness.stands["a"] = [stand(offer)]
    reconnect(harness, 100 * MS, "a")
    assert (
        not harness.sent(m.GuestEnded) and harness.owner(400 * MS, m.Query(guest="g"))[-1].state == "running"
    )


def test_a_machine_that_stays_away_loses_its_guests_and_returns_them() -> None:
    harness = ConfirmedHarness("a", reconnect_ms=1000.0)
    offer, _ = harness.offer(0, "g", "once")
    harness.says(5 * MS, "a", of(m.OfferAccepted, offer))
    break_link(harness, 10 * MS, "a")
    for now in range(20 * MS, 2000 * MS, 50 * MS):
        if harness.engine.links["a"].state == "dialling":
            harness.engine.link_failed(now, "a")
        harness.run(now)
    assert [e.how for e in harness.sent(m.GuestEnded)] == ["lost"]
    assert (
        harness.owner(2000 * MS, m.Query(guest="g"))[-1].state == "unsettled"
    )  # it may run on behind a partition
    harness.stands["a"] = [stand(offer)]
    for now in range(2000 * MS, 5000 * MS, 100 * MS):
        reconnect(harness, now, "a")
    assert harness.owner(5000 * MS, m.Query(guest="g"))[-1].state == "running"


def test_no_offer_is_sent_to_a_machine_that_began_to_drain_while_it_was_dialled() -> None:
    harness = ConfirmedHarness("")
    harness.dead.update("a")
    harness.lists(0, [harness.entry("a")])
    harness.submits(0, "g")
    assert harness.engine.links["a"].queue
    harness.lists(5 * MS, [harness.entry("a", "cordoned")])
    reconnect(harness, 6 * MS, "a")
    assert not harness.sent(m.Offer)


def test_a_new_address_is_dialled_and_queried_before_anything_is_lost() -> None:
    harness = ConfirmedHarness("a")
    offer, _ = harness.offer(0, "g")
    harness.says(5 * MS, "a", of(m.OfferAccepted, offer))
    harness.stands["a"] = [stand(offer)]
    harness.lists(10 * MS, [m.Entry(machine="a", address="moved", mode="ready", kind="box", incarnation=1)])
    harness.run(20 * MS)
    assert harness.dialled[-1] == "moved" and not harness.sent(m.GuestEnded)


def test_another_machine_that_answers_at_the_address_is_rejected() -> None:
    harness = ConfirmedHarness("")
    harness.dead.add("a")
    harness.lists(0, [harness.entry("a")])
    harness.submits(0, "g")
    harness.engine.link_up(MS, "a", m.Welcome(name="b", incarnation=1))
    harness.run(MS)
    assert harness.engine.counts["wrong_machine"] == 1 and not harness.sent(m.Offer)
    harness.engine.link_up(2 * MS, "zzz", m.Welcome(name="zzz"))
    assert isinstance(harness.engine.actions[-1], HangUp)


def test_a_repeat_joins_the_held_guest_and_each_submission_is_answered() -> None:
    harness = ConfirmedHarness("a")
    offer, _ = harness.offer(0, "g")
    harness.submits(10 * MS, "g", ask=1, reason="unanswered")
    harness.says(20 * MS, "a", of(m.OfferAccepted, offer))
    assert [p.ask for p in harness.sent(m.Placed)] == [0, 1] and len(harness.sent(m.Offer)) == 1
    harness.submits(30 * MS, "g", ask=2, reason="unanswered")
    assert [p.ask for p in harness.sent(m.Placed)] == [0, 1, 2] and len(harness.sent(m.Offer)) == 1


def test_an_answer_is_kept_for_a_disconnected_owner_and_then_forgotten() -> None:
    harness = ConfirmedHarness("a", keep_answers_ms=1000.0)
    harness.lists(0, [harness.entry("a", "cordoned")])
    harness.submits(0, "g", patience=100 * MS)
    harness.run(100 * MS)
    assert harness.owner(200 * MS, m.Query(guest="g"))[-1].state == "turned_back"
    assert isinstance(harness.submits(200 * MS, "g", patience=100 * MS)[-1], m.GuestRefused)
    harness.run(5000 * MS)
    assert harness.owner(5000 * MS, m.Query(guest="g"))[-1].state == "unknown"
    assert not harness.engine.answers and not harness.engine.records and not harness.engine.newest_records


class TestCancel:
    """Before, during and after the offer of an at-most-once guest: one start at most, one final state."""

    def test_held(self) -> None:
        harness = ConfirmedHarness("a")
        harness.lists(0, [harness.entry("a", "cordoned")])
        harness.submits(0, "g", "once")
        said = harness.owner(10 * MS, m.Cancel(guest="g"))
        assert [(type(s), s.reason) for s in said] == [(m.GuestRefused, "cancelled")]

    def test_outstanding_and_withdrawn(self) -> None:
        harness = ConfirmedHarness("a")
        offer, _ = harness.offer(0, "g", "once")
        assert [type(s) for s in harness.owner(10 * MS, m.Cancel(guest="g"))] == [m.Withdraw]
        said = harness.says(20 * MS, "a", of(m.Ended, offer, how="withdrawn"))
        assert [(type(s), s.reason) for s in said] == [(m.GuestRefused, "cancelled")]

    def test_outstanding_and_accepted_meanwhile(self) -> None:
        harness = ConfirmedHarness("a")
        offer, _ = harness.offer(0, "g", "once")
        harness.owner(10 * MS, m.Cancel(guest="g"))
        said = harness.says(20 * MS, "a", of(m.OfferAccepted, offer))
        assert [type(s) for s in said] == [m.Placed, m.Stop]
        said = harness.says(30 * MS, "a", of(m.Ended, offer, how="stopped"))
        assert [(type(s), s.how) for s in said] == [(m.GuestEnded, "stopped")]
        assert len(harness.sent(m.Offer)) == 1

    def test_outstanding_and_never_answered(self) -> None:
        harness = ConfirmedHarness("a")
        harness.offer(0, "g", "once")
        harness.owner(10 * MS, m.Cancel(guest="g"))
        for now in range(10 * MS, 5100 * MS, 100 * MS):
            harness.run(now)
        assert [b.reason for b in harness.sent(m.GuestFailed)] == ["cancelled"] and len(
            harness.sent(m.Offer)
        ) == 1

    def test_submitted_again_while_its_cancel_is_under_way(self) -> None:
        harness = ConfirmedHarness("ab")
        harness.offer(0, "g", "once")
        harness.owner(10 * MS, m.Cancel(guest="g"))
        said = harness.submits(20 * MS, "g", "once", ask=1)
        assert len(harness.sent(m.Offer)) == 1 and any(
            isinstance(s, m.GuestFailed) and s.ask == 1 for s in said
        )

    def test_of_an_unknown_guest(self) -> None:
        assert [s.state for s in ConfirmedHarness().owner(0, m.Cancel(guest="who"))] == ["unknown"]


def test_a_new_planner_finds_running_guests_and_reports_none_as_unknown_before() -> None:
    harness = ConfirmedHarness("")
    harness.dead.update("ab")
    harness.engine.list_heard = False
    assert harness.owner(0, m.Query(guest="g"))[-1].state == "unsettled"
    harness.lists(0, [harness.entry("a"), harness.entry("b")], whole=True)
    offer = m.Offer(guest="g", product="once", service="s", cores=1.0, memory=1.0, owner="o")
    harness.stands["a"] = [stand(offer)]
    reconnect(harness, 10 * MS, "a")
    assert harness.owner(20 * MS, m.Query(guest="g"))[-1].state == "running"
    assert harness.owner(20 * MS, m.Query(guest="other"))[-1].state == "unsettled"
    said = harness.submits(30 * MS, "third", "once", ask=1, reason="unanswered")
    assert isinstance(said[-1], m.GuestFailed) and not harness.sent(m.Offer)
    reconnect(harness, 40 * MS, "b")
    assert harness.owner(50 * MS, m.Query(guest="other"))[-1].state == "unknown"
    harness.says(60 * MS, "a", of(m.Ended, offer, how="done"))
    assert [e.how for e in harness.sent(m.GuestEnded, "g")] == ["done"]


def test_stopping_answers_held_and_outstanding_guests() -> None:
    harness = ConfirmedHarness("a")
    offer, _ = harness.offer(0, "g", "once")
    other, _ = harness.offer(0, "h")
    harness.says(1 * MS, "a", of(m.OfferAccepted, other))
    harness.engine.stop(10 * MS)
    harness.run(10 * MS)
    assert isinstance(harness.submits(20 * MS, "late")[-1], m.Rejected)
    assert harness.engine.unanswered() == 1
    harness.engine.stop_now(30 * MS)
    harness.run(30 * MS)
    assert harness.engine.unanswered() == 0 and len(harness.sent(m.GuestFailed, "g")) == 1
    assert not harness.sent(m.Stop)  # placed guests run on


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"product": "odd"}, "unknown_product"),
        ({"customer": "odd"}, "unknown_customer"),
        ({"patience": 10**12}, "patience"),
    ],
)
def test_invalid_submissions_are_rejected_and_counted(change: dict, code: str) -> None:
    harness = ConfirmedHarness()
    plain = {"guest": "g", "product": "plain", "service": "s", "cores": 1.0, "memory": 1.0, "patience": 1000}
    said = harness.owner(0, m.Submit(**(plain | change)))
    assert (
        said[-1].code == code
        and harness.engine.counts["rejected_" + code] == 1
        and not harness.engine.records
    )


def test_an_incarnation_keeps_one_start_time_whatever_age_the_list_shows() -> None:
    harness = ConfirmedHarness("")
    for now, age in ((10**9, 5 * 10**6), (2 * 10**9, 0), (3 * 10**9, 3600 * 10**6)):
        harness.lists(now, [harness.entry("a", up_for=age)])
        assert harness.engine.scheduler.machines["a"].listed.started == 10**9 - 5 * 10**6
    harness.lives["a"] = 2
    harness.lists(4 * 10**9, [harness.entry("a", up_for=10**6)])
    assert harness.engine.scheduler.machines["a"].cold_at == 4 * 10**9 - 10**6


def test_stray_and_invalid_messages_of_machines_change_nothing() -> None:
    harness = ConfirmedHarness("a")
    offer, _ = harness.offer(0, "g")
    for message in (
        m.OfferAccepted(guest="x"),
        m.Ended(guest="g", attempt=7, how="done"),
        m.ResourceUse(guest="g", ask=3, cores=1, memory=1),
        m.MemoryPressure(share=0.9),
        m.Inventory(guests=[]),
        of(m.OfferRefused, offer, remark="odd"),
    ):
        harness.says(MS, "a", message)
    assert not harness.sent(m.Placed) and harness.engine.records


def test_found_guests_count_before_offers_that_waited_for_the_same_link() -> None:
    harness = ConfirmedHarness("")
    harness.dead.add("a")
    harness.lists(0, [harness.entry("a")])
    harness.submits(0, "g")
    harness.submits(0, "h", "once")
    harness.stands["a"] = [
        stand(m.Offer(guest="old", product="plain", service="splain", cores=1.0, memory=1.0))
    ]
    reconnect(harness, 10 * MS, "a")
    first = [offer.guest for offer in harness.sent(m.Offer)]
    harness.run(500 * MS)
    assert (
        first[0] == "h" and harness.engine.records["g/0"].dispatch_number == 1
    )  # g was decided again, knowing of old


def test_a_guest_that_ended_while_no_planner_was_connected_is_not_unknown() -> None:
    harness = ConfirmedHarness("")
    harness.dead.add("a")
    harness.lists(0, [harness.entry("a")])
    harness.stands["a"] = [
        stand(m.Offer(guest="g", product="once", service="s", cores=1.0, memory=1.0), "ended", "done")
    ]
    reconnect(harness, 10 * MS, "a")
    assert harness.owner(20 * MS, m.Query(guest="g"))[-1].state == "done"


def test_a_second_copy_of_a_deduplicated_guest_is_withdrawn() -> None:
    harness = ConfirmedHarness("ab")
    offer, machine = harness.offer(0, "g", "ticket")
    harness.says(MS, machine, of(m.OfferAccepted, offer))
    other = {"a": "b", "b": "a"}[machine]
    harness.engine.link_down(2 * MS, other)
    harness.stands[other] = [stand(offer)]
    harness.engine._dial(3 * MS, harness.engine.roster.machines[other])
    reconnect(harness, 3 * MS, other)
    assert [(peer, said.guest) for peer, said in harness.said if isinstance(said, m.Stop)] == [(other, "g")]


def test_a_listed_new_incarnation_leaves_an_offer_to_its_answer_or_the_end_of_its_link() -> None:
    harness = ConfirmedHarness("ab")
    offer, machine = harness.offer(0, "g", "once")
    harness.lives[machine] = 2
    harness.lists(10 * MS, [harness.entry(machine, up_for=5 * MS)])
    assert not harness.sent(m.GuestFailed) and len(harness.sent(m.Offer)) == 1
    assert harness.engine.scheduler.machines[machine].cold_at == 5 * MS
    break_link(harness, 20 * MS, machine)
    reconnect(harness, 40 * MS, machine)  # in the incarnation that the list showed: whether it ran is unknown
    assert len(harness.sent(m.GuestFailed)) == 1 and len(harness.sent(m.Offer)) == 1


def test_nothing_is_offered_by_a_list_that_was_silent_for_longer_than_the_grace_period() -> None:
    """The list service of this project's protocol reports changes as they come and confirms nothing.

    What it reported while its connection was silent counts as reported: a machine may have begun to drain
    seconds ago.
    """
    harness = EngineHarness("ab")
    for now in range(0, 10_000, 50):
        harness.run(now * MS)
    harness.submits(10_000 * MS, "g")
    assert harness.sent(m.Acknowledged, "g")
    assert not harness.sent(m.Offer)
