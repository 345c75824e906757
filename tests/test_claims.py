"""Claims: what may follow what, engines that share an agreed value, and proof that each part is needed."""

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.audit import claims as judge
from hazelhold.audit.history import Call
from hazelhold.protocol import messages as m
from hazelhold.replica import claims as c
from hazelhold.replica.gate import FACTS_MOST, Gate
from tests.helpers import MS, EngineHarness, of, stand

PLANNERS = st.sampled_from(["p0", "p1"])
FACTS = st.builds(
    c.Fact,
    PLANNERS,
    st.integers(0, 2),
    st.sampled_from(["placed", "over"]),
    st.just("a"),
    st.sampled_from(["done", "evicted"]),
)
CHANGES = st.one_of(
    st.builds(
        c.Take,
        PLANNERS,
        st.integers(1, 3),
        st.integers(0, 2),
        st.integers(0, 2),
        st.just("a"),
        st.integers(1, 9),
        st.just(b""),
    ),
    FACTS,
    st.just("release"),
    st.just("known"),
)


def apply(value: bytes, change: object) -> bytes:
    if change == "release":
        change = c.Release(value)
    if change == "known":
        change = c.Take("p0", 9, 0, 0, "b", 1, value)
    return change(value)


@settings(max_examples=300, deadline=None)
@given(st.lists(CHANGES, max_size=12))
def test_nothing_is_unlearned_but_by_a_release_or_an_ask_after_an_end(changes: list) -> None:
    value = b""
    for change in changes:
        before, value = c.decode(value), apply(value, change)
        after = c.decode(value)
        if before is None or after == before:
            continue
        same = (after.planner, after.life, after.ask, after.no) == (
            before.planner,
            before.life,
            before.ask,
            before.no,
        )
        if same and change != "release":
            assert c.RANK[after.state] >= c.RANK[before.state]
        elif not same and before.state in ("held", "placed"):
            own = (after.planner, after.life) == (before.planner, before.life)
            assert (
                own
                and (before.state == "held" or after.ask > before.ask)
                or (change == "known" and before.state == "held")
            )
        elif not same and before.state == "over":
            assert before.how != "done" and after.ask > before.ask


@settings(max_examples=200, deadline=None)
@given(st.lists(FACTS, min_size=1, max_size=4))
def test_facts_join_in_any_order_and_twice(facts: list[c.Fact]) -> None:
    facts = [f._replace(how="done" if f.state == "over" else "") for f in facts]
    base = c.encode(c.Claim("p0", 1, 0, 0, "held", "a"))
    ends = set()
    for order in permutations(facts):
        value = base
        for fact in (*order, *order):
            value = fact(value)
        ends.add(value)
    assert len(ends) == 1


@settings(max_examples=300, deadline=None)
@given(st.lists(CHANGES, max_size=12))
def test_the_audits_own_rules_say_the_same(changes: list) -> None:
    value = b""
    for change in changes:
        if change == "release":
            change = c.Release(value)
        if change == "known":
            change = c.Take("p0", 9, 0, 0, "b", 1, value)
        call = Call(type(change).__name__.lower(), tuple(change), None, 0)
        after = change(value)
        assert judge.step(value, call) == after
        value = after
    assert judge.step(b"7", Call("nextlife", (), None, 0)) == c.NextLife()(b"7") == b"8"


def test_what_a_newer_program_wrote_is_touched_by_nobody() -> None:
    assert c.decode(b"\xc1").state == "held"
    assert c.Take("p0", 1, 5, 0, "a", 1)(b"\xc1") == b"\xc1"
    assert c.lasts(b"\xc1") and c.lasts(b"12") and not c.lasts(b"")


# Engines that share agreed values.


class Member(EngineHarness):
    """A harness whose engine claims."""

    def __init__(self, name: str, gate: type = Gate, machines: str = "ab") -> None:
        super().__init__(machines)
        self.engine.claim_by(0, gate(name, 500 * MS))


class Table:
    """Members around agreed values that change one after another."""

    def __init__(self, *members: Member) -> None:
        self.members, self.values = members, {}

    def agree(self, now: int, *who: Member) -> None:
        """Lets these (all, else) have their askings agreed until they want nothing more."""
        for _ in range(20):
            for member in who or self.members:
                member.run(now)
                asks, member.asks = member.asks, []
                for ask in asks:
                    self.values[ask.key] = value = ask.change(self.values.get(ask.key, b""))
                    member.engine.agreed(now, ask.no, "agreed", value, "")
                    member.run(now)

    def refuse(self, now: int, member: Member, outcome: str = "refused", reason: str = "no_majority") -> None:
        asks, member.asks = member.asks, []
        for ask in asks:
            member.engine.agreed(now, ask.no, outcome, b"", reason)
        member.run(now)

    def claim(self, guest: str) -> c.Claim | None:
        return c.decode(self.values.get("claim/" + guest, b""))


def two(gate: type = Gate) -> tuple[Member, Member, Table]:
    one, other = Member("p0", gate), Member("p1", gate)
    table = Table(one, other)
    table.agree(0)
    return one, other, table


def test_no_offer_leaves_before_its_claim_is_agreed_and_rerunnable_guests_ask_nobody() -> None:
    one, _, table = two()
    one.submits(10, "r", "plain")
    assert one.sent(m.Offer, "r") and not one.asks
    one.submits(10, "x", "once")
    assert not one.sent(m.Offer, "x") and [a.key for a in one.asks] == ["claim/x"]
    table.agree(20)
    offer = one.sent(m.Offer, "x")[0]
    assert table.claim("x") == c.Claim("p0", 1, 0, 0, "held", table.claim("x").machine, "", 2)
    one.says(30, table.claim("x").machine, of(m.Taken, offer))
    table.agree(30)
    assert table.claim("x").state == "placed"
    one.says(40, table.claim("x").machine, of(m.Ended, offer, how="done"))
    table.agree(40)
    assert (table.claim("x").state, table.claim("x").how) == ("over", "done")


def test_a_second_planner_tells_the_truth_and_never_sends() -> None:
    one, other, table = two()
    one.submits(10, "x", "once")
    table.agree(10)
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    other.submits(20, "x", "once", ask=1, reason="unanswered")
    table.agree(20)
    said = other.sent(m.BrokenOff, "x")[0]
    assert (said.reason, said.planner) == ("claimed", "p0")
    other.owner(30, m.Query(guest="x", ask=1))
    table.agree(30)
    assert (other.sent(m.State)[-1].state, other.sent(m.State)[-1].planner) == ("unsettled", "p0")
    one.says(40, at, of(m.Taken, offer))
    table.agree(40)
    other.owner(50, m.Query(guest="x", ask=1))
    table.agree(50)
    other.submits(50, "x", "once", ask=2, reason="broken_off")
    table.agree(50)
    assert (other.sent(m.State)[-1].state, other.sent(m.State)[-1].machine) == ("running", at)
    assert (other.sent(m.Placed, "x")[-1].machine, other.sent(m.Placed, "x")[-1].planner) == (at, "p0")
    one.says(60, at, of(m.Ended, offer, how="done"))
    table.agree(60)
    other.owner(70, m.Query(guest="x", ask=2))
    table.agree(70)
    other.submits(70, "x", "once", ask=3, reason="lost")
    table.agree(70)
    assert other.sent(m.State)[-1].state == "done"
    assert other.sent(m.GuestEnded, "x")[-1].how == "done"
    assert not other.sent(m.Offer, "x") and not other.engine.cases and not other.engine.scheduler.guests


def test_two_planners_asked_at_once_send_one_offer() -> None:
    one, other, table = two()
    for member in (one, other):
        member.submits(10, "x", "once")
    table.agree(10, other)
    table.agree(10, one)
    assert len(other.sent(m.Offer, "x")) == 1 and not one.sent(m.Offer, "x")
    assert one.sent(m.BrokenOff, "x")[0].planner == "p1"


def test_a_guest_that_was_turned_back_may_be_had_by_another() -> None:
    one, other, table = two()
    offer, at = None, ""
    one.submits(10, "x", "once", patience=200 * MS)
    table.agree(10)
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    one.says(20, at, of(m.Refused, offer, remark="no_memory"))
    one.owner(30, m.Cancel(guest="x"))
    table.agree(30)
    assert one.sent(m.TurnedBack, "x") and table.claim("x").state == "free"
    other.submits(40, "x", "once", ask=1, reason="turned_back")
    table.agree(40)
    assert other.sent(m.Offer, "x") and table.claim("x").planner == "p1"


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [("refused", "no_majority"), ("open", "no_majority"), ("refused", "no_votes"), ("refused", "busy")],
)
def test_a_claim_that_is_not_agreed_turns_the_guest_back_with_reason_and_wait(
    outcome: str, reason: str
) -> None:
    one, other, table = two()
    one.submits(10, "x", "once")
    one.submits(10, "r", "plain")
    assert one.sent(m.Offer, "r")
    table.refuse(500 * MS, one, outcome, reason)
    said = one.sent(m.TurnedBack, "x")[0]
    assert said.reason == reason and said.again_after > 0
    assert not one.sent(m.Offer, "x") and not one.engine.scheduler.guests.get("x/0")
    if outcome == "open":  # it may stand yet: released, so that another may have it
        table.values["claim/x"] = c.encode(
            c.Take("p0", 1, 0, 0, c.decode(one.asks[0].change.known).machine, 2).claim()
        )
        table.agree(600 * MS, one)
        assert table.claim("x").state == "free"
    other.submits(700 * MS, "x", "once", ask=1, reason="turned_back")
    table.agree(700 * MS)
    assert other.sent(m.Offer, "x")


def test_before_this_lifes_number_is_agreed_nothing_is_claimed() -> None:
    one = Member("p0")
    table = Table(one)
    table.refuse(0, one)  # its first asking for a life
    one.submits(10, "x", "once")
    assert [a.key for a in one.asks] == ["life/p0"]
    table.agree(10)
    assert one.sent(m.Offer, "x") and table.claim("x").life == 1
    again = Member("p0")
    late = Table(again)
    late.values = table.values
    late.agree(20)
    assert again.engine.claims.life == 2


def test_a_life_without_memory_does_not_send_what_an_earlier_one_may_have_sent() -> None:
    one, _, table = two()
    one.submits(10, "x", "once")
    table.agree(10)
    blank = Member("p0", machines="")  # nothing is known of any machine that might have it
    table.members = (blank,)
    table.agree(20)
    blank.lists(20, [blank.entry("c")])
    blank.submits(30, "x", "once", ask=1, reason="unanswered")
    table.agree(30)
    assert not blank.sent(m.Offer, "x") and blank.sent(m.BrokenOff, "x")[0].planner == "p0"


def recovered(one: Member, table: Table, stands: dict, life_of: dict[str, int] | None = None) -> Member:
    """The next life of this planner, with all that its state had at this moment."""
    from hazelhold.state.ledger import Ledger

    ledger = Ledger()
    ledger.apply(one.engine.flush(100))
    made = Member("p0", machines="")
    made.stands, made.lives = stands, life_of or {}
    made.asks.clear()
    made.engine.claims = None
    made.engine.keep(100, 0, ledger, True)
    made.engine.claim_by(100, Gate("p0", 500 * MS))
    table.members = (made, *table.members[1:])
    table.agree(100)
    made.lists(110, [made.entry(n) for n in "ab"], whole=True)
    table.agree(110)
    return made


def kept() -> tuple[Member, Table]:
    from hazelhold.state.ledger import Ledger

    one, other = Member("p0", machines=""), Member("p1")
    one.engine.claims = None
    one.engine.keep(0, 0, Ledger(), True)
    one.engine.claim_by(0, Gate("p0", 500 * MS))
    table = Table(one, other)
    table.agree(0)
    one.lists(0, [one.entry(n) for n in "ab"], whole=True)
    one.submits(10, "x", "once")
    table.agree(10)
    return one, table


def gone_on() -> tuple[Member, Member, Table, m.Offer, str]:
    """A life and the next, whose machine has refused the one offer that left."""
    one, table = kept()
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    after = recovered(one, table, {at: [stand(offer, "line")]})
    after.says(120, at, of(m.Refused, offer, remark="no_memory"))
    table.agree(120 + 800 * MS)
    return one, after, table, offer, at


def test_a_life_that_kept_its_state_goes_on_from_a_machines_word() -> None:
    _, after, table, _, _ = gone_on()
    assert after.sent(m.Offer, "x") and table.claim("x").life > 1 and table.claim("x").attempt == 1


def test_what_only_an_absence_proves_is_not_gone_on_with_from_kept_state() -> None:
    """The kept state may be older than what its life saw: the guest may have run and been forgotten since."""
    one, table = kept()
    after = recovered(one, table, {})
    table.agree(200 * MS)
    assert not after.sent(m.Offer, "x") and after.sent(m.BrokenOff, "x")
    assert table.claim("x").life == 1


def test_the_older_of_two_lives_sends_nothing_more() -> None:
    one, after, table, offer, at = gone_on()
    one.says(130, at, of(m.Refused, offer, remark="no_memory"))  # it was only paused
    table.members = (*table.members, one)
    table.agree(140 + 900 * MS)
    assert len(one.sent(m.Offer, "x")) == 1 and len(after.sent(m.Offer, "x")) == 1
    assert one.sent(m.BrokenOff, "x")[0].reason == "claimed"


def test_a_late_copy_that_is_adopted_is_told_with_its_machine() -> None:
    one, other, table = two()
    one.submits(10, "x", "once")
    table.agree(10)
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    for now in range(100, 5100, 100):  # overdue: given up, and broken off in the end
        table.agree(now * MS)
    assert one.sent(m.BrokenOff, "x")
    one.says(5200 * MS, at, of(m.Taken, offer))
    table.agree(5200 * MS)
    assert (table.claim("x").state, table.claim("x").machine) == ("placed", at)
    other.submits(5300 * MS, "x", "once", ask=1, reason="broken_off")
    table.agree(5300 * MS)
    assert other.sent(m.Placed, "x")[0].machine == at


def test_facts_under_way_are_bounded() -> None:
    gate = Gate("p0", 500)
    for number in range(FACTS_MOST + 5):
        gate.fact(0, f"g{number}", 0, "placed", "a")
    assert len(gate.wanted) == FACTS_MOST and gate.counts["facts_dropped"] == 5


# The proof of the tests: each part taken away is found out.


class LetsAllPass(Gate):
    """Takes it that nobody else is there."""

    def clear(self, *given_: object) -> bool:
        return True


class Overtakes(Gate):
    """Takes a silent planner for dead, and its claim."""

    def told(self, now: int, no: int, outcome: str, value: bytes, reason: str) -> list:
        return [
            v._replace(what="mine") if v.what == "theirs" else v
            for v in super().told(now, no, outcome, value, reason)
        ]

    def mine(self, value: bytes) -> bool:
        return bool(value)

    def clear(
        self, now: int, name: str, guest: str, ask: int, attempt: int, machine: str, known: bytes
    ) -> bool:
        return bool(known) or super().clear(now, name, guest, ask, attempt, machine, known)


@pytest.mark.parametrize("gate", [LetsAllPass, Overtakes])
def test_a_gate_that_trusts_its_view_is_caught(gate: type) -> None:
    one, other, table = two(gate)
    one.submits(10, "x", "once")
    table.agree(10)
    other.submits(20, "x", "once", ask=1, reason="unanswered")
    table.agree(20)
    assert one.sent(m.Offer, "x") and other.sent(m.Offer, "x"), "two planners sent it: this is what is caught"
