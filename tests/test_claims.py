"""Claims: the allowed transitions, engines that share agreed values, and proof that each part is needed."""

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.audit import claims as judge
from hazelhold.audit.history import Call
from hazelhold.protocol import messages as m
from hazelhold.replica import claims as c
from hazelhold.replica.gate import MAX_FACTS, ClaimGate
from tests.helpers import MS, ConfirmedHarness, of, stand

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
def test_claims_only_go_back_by_a_release_or_a_submission_after_an_end(changes: list) -> None:
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
def test_facts_join_in_any_order_and_repeatedly(facts: list[c.Fact]) -> None:
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
def test_the_rules_of_the_audit_agree(changes: list) -> None:
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


def test_a_value_of_a_newer_program_is_never_changed() -> None:
    assert c.decode(b"\xc1").state == "held"
    assert c.Take("p0", 1, 5, 0, "a", 1)(b"\xc1") == b"\xc1"
    assert c.lasts(b"\xc1") and c.lasts(b"12") and not c.lasts(b"")


# Engines that share agreed values.


class Member(ConfirmedHarness):
    """An engine harness whose engine uses claims."""

    def __init__(self, name: str, gate: type = ClaimGate, machines: str = "ab") -> None:
        super().__init__(machines)
        self.engine.use_claims(0, gate(name, 500 * MS))


class Table:
    """Members that share agreed values, which change one after another."""

    def __init__(self, *members: Member) -> None:
        self.members, self.values = members, {}

    def agree(self, now: int, *who: Member) -> None:
        """Agrees the proposals of these members (default: all) until there are no more."""
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


def two(gate: type = ClaimGate) -> tuple[Member, Member, Table]:
    one, other = Member("p0", gate), Member("p1", gate)
    table = Table(one, other)
    table.agree(0)
    return one, other, table


def test_no_offer_is_sent_before_its_claim_is_agreed_and_idempotent_guests_need_none() -> None:
    one, _, table = two()
    one.submits(10, "r", "plain")
    assert one.sent(m.Offer, "r") and not one.asks
    one.submits(10, "x", "once")
    assert not one.sent(m.Offer, "x") and [a.key for a in one.asks] == ["claim/x"]
    table.agree(20)
    offer = one.sent(m.Offer, "x")[0]
    assert table.claim("x") == c.Claim("p0", 1, 0, 0, "held", table.claim("x").machine, "", 2)
    one.says(30, table.claim("x").machine, of(m.OfferAccepted, offer))
    table.agree(30)
    assert table.claim("x").state == "placed"
    one.says(40, table.claim("x").machine, of(m.Ended, offer, how="done"))
    table.agree(40)
    assert (table.claim("x").state, table.claim("x").how) == ("over", "done")


def test_a_second_planner_reports_the_claim_and_never_sends() -> None:
    one, other, table = two()
    one.submits(10, "x", "once")
    table.agree(10)
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    other.submits(20, "x", "once", ask=1, reason="unanswered")
    table.agree(20)
    answer = other.sent(m.GuestFailed, "x")[0]
    assert (answer.reason, answer.planner) == ("claimed", "p0")
    other.owner(30, m.Query(guest="x", ask=1))
    table.agree(30)
    assert (other.sent(m.State)[-1].state, other.sent(m.State)[-1].planner) == ("unsettled", "p0")
    one.says(40, at, of(m.OfferAccepted, offer))
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
    assert not other.sent(m.Offer, "x") and not other.engine.records and not other.engine.scheduler.guests


def test_two_planners_with_the_same_guest_send_one_offer() -> None:
    one, other, table = two()
    for member in (one, other):
        member.submits(10, "x", "once")
    table.agree(10, other)
    table.agree(10, one)
    assert len(other.sent(m.Offer, "x")) == 1 and not one.sent(m.Offer, "x")
    assert one.sent(m.GuestFailed, "x")[0].planner == "p1"


def test_a_refused_guest_may_be_taken_by_another_planner() -> None:
    one, other, table = two()
    offer, at = None, ""
    one.submits(10, "x", "once", patience=200 * MS)
    table.agree(10)
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    one.says(20, at, of(m.OfferRefused, offer, remark="no_memory"))
    one.owner(30, m.Cancel(guest="x"))
    table.agree(30)
    assert one.sent(m.GuestRefused, "x") and table.claim("x").state == "free"
    other.submits(40, "x", "once", ask=1, reason="turned_back")
    table.agree(40)
    assert other.sent(m.Offer, "x") and table.claim("x").planner == "p1"


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [("refused", "no_majority"), ("open", "no_majority"), ("refused", "no_votes"), ("refused", "busy")],
)
def test_without_an_agreed_claim_the_guest_is_refused_with_reason_and_wait(outcome: str, reason: str) -> None:
    one, other, table = two()
    one.submits(10, "x", "once")
    one.submits(10, "r", "plain")
    assert one.sent(m.Offer, "r")
    table.refuse(500 * MS, one, outcome, reason)
    answer = one.sent(m.GuestRefused, "x")[0]
    assert answer.reason == reason and answer.again_after > 0
    assert not one.sent(m.Offer, "x") and not one.engine.scheduler.guests.get("x/0")
    if outcome == "open":  # it may be in force: it is released, so that another planner may take the guest
        table.values["claim/x"] = c.encode(
            c.Take("p0", 1, 0, 0, c.decode(one.asks[0].change.known).machine, 2).claim()
        )
        table.agree(600 * MS, one)
        assert table.claim("x").state == "free"
    other.submits(700 * MS, "x", "once", ask=1, reason="turned_back")
    table.agree(700 * MS)
    assert other.sent(m.Offer, "x")


def test_before_the_run_number_is_agreed_nothing_is_claimed() -> None:
    one = Member("p0")
    table = Table(one)
    table.refuse(0, one)  # its first proposal of a run number
    one.submits(10, "x", "once")
    assert [a.key for a in one.asks] == ["life/p0"]
    table.agree(10)
    assert one.sent(m.Offer, "x") and table.claim("x").life == 1
    again = Member("p0")
    late = Table(again)
    late.values = table.values
    late.agree(20)
    assert again.engine.claims.life == 2


def test_a_run_without_state_does_not_send_what_an_earlier_run_may_have_sent() -> None:
    one, _, table = two()
    one.submits(10, "x", "once")
    table.agree(10)
    blank = Member("p0", machines="")  # it knows no machine that might have the guest
    table.members = (blank,)
    table.agree(20)
    blank.lists(20, [blank.entry("c")])
    blank.submits(30, "x", "once", ask=1, reason="unanswered")
    table.agree(30)
    assert not blank.sent(m.Offer, "x") and blank.sent(m.GuestFailed, "x")[0].planner == "p0"


def recovered(one: Member, table: Table, stands: dict, life_of: dict[str, int] | None = None) -> Member:
    """The next run of this planner, with the state persisted at this moment."""
    from hazelhold.state.state_table import StateTable

    state_table = StateTable()
    state_table.apply(one.engine.flush(100))
    made = Member("p0", machines="")
    made.stands, made.lives = stands, life_of or {}
    made.asks.clear()
    made.engine.claims = None
    made.engine.keep(100, 0, state_table, True)
    made.engine.use_claims(100, ClaimGate("p0", 500 * MS))
    table.members = (made, *table.members[1:])
    table.agree(100)
    made.lists(110, [made.entry(n) for n in "ab"], whole=True)
    table.agree(110)
    return made


def persisted() -> tuple[Member, Table]:
    """A planner with persisted state and a claimed guest, and another planner."""
    from hazelhold.state.state_table import StateTable

    one, other = Member("p0", machines=""), Member("p1")
    one.engine.claims = None
    one.engine.keep(0, 0, StateTable(), True)
    one.engine.use_claims(0, ClaimGate("p0", 500 * MS))
    table = Table(one, other)
    table.agree(0)
    one.lists(0, [one.entry(n) for n in "ab"], whole=True)
    one.submits(10, "x", "once")
    table.agree(10)
    return one, table


def continued() -> tuple[Member, Member, Table, m.Offer, str]:
    """A run and the next one, whose machine has refused the only offer that was sent."""
    one, table = persisted()
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    after = recovered(one, table, {at: [stand(offer, "line")]})
    after.says(120, at, of(m.OfferRefused, offer, remark="no_memory"))
    table.agree(120 + 800 * MS)
    return one, after, table, offer, at


def test_a_run_with_persisted_state_continues_after_a_machines_report() -> None:
    _, after, table, _, _ = continued()
    assert after.sent(m.Offer, "x") and table.claim("x").life > 1 and table.claim("x").attempt == 1


def test_persisted_state_does_not_continue_a_guest_that_machines_merely_lack() -> None:
    """The persisted state may be older than what that run saw: the guest may have run and been forgotten."""
    one, table = persisted()
    after = recovered(one, table, {})
    table.agree(200 * MS)
    assert not after.sent(m.Offer, "x") and after.sent(m.GuestFailed, "x")
    assert table.claim("x").life == 1


def test_the_older_of_two_runs_sends_nothing_more() -> None:
    one, after, table, offer, at = continued()
    one.says(130, at, of(m.OfferRefused, offer, remark="no_memory"))  # it was only paused
    table.members = (*table.members, one)
    table.agree(140 + 900 * MS)
    assert len(one.sent(m.Offer, "x")) == 1 and len(after.sent(m.Offer, "x")) == 1
    assert one.sent(m.GuestFailed, "x")[0].reason == "claimed"


def test_a_late_copy_that_is_adopted_is_reported_with_its_machine() -> None:
    one, other, table = two()
    one.submits(10, "x", "once")
    table.agree(10)
    offer, at = one.sent(m.Offer, "x")[0], table.claim("x").machine
    for now in range(100, 5100, 100):  # overdue: given up, and failed in the end
        table.agree(now * MS)
    assert one.sent(m.GuestFailed, "x")
    one.says(5200 * MS, at, of(m.OfferAccepted, offer))
    table.agree(5200 * MS)
    assert (table.claim("x").state, table.claim("x").machine) == ("placed", at)
    other.submits(5300 * MS, "x", "once", ask=1, reason="broken_off")
    table.agree(5300 * MS)
    assert other.sent(m.Placed, "x")[0].machine == at


def test_facts_in_progress_are_bounded() -> None:
    gate = ClaimGate("p0", 500)
    for number in range(MAX_FACTS + 5):
        gate.report_fact(0, f"g{number}", 0, "placed", "a")
    assert len(gate.wanted) == MAX_FACTS and gate.counts["facts_dropped"] == 5


# Proof of the tests: a variant without any one part is detected.


class LetsAllPass(ClaimGate):
    """Assumes that there is no other planner."""

    def may_dispatch(self, *arguments: object) -> bool:
        return True


class Overtakes(ClaimGate):
    """Takes a silent planner for dead, and takes its claim."""

    def proposal_ended(self, now: int, no: int, outcome: str, value: bytes, reason: str) -> list:
        return [
            v._replace(what="mine") if v.what == "theirs" else v
            for v in super().proposal_ended(now, no, outcome, value, reason)
        ]

    def mine(self, value: bytes) -> bool:
        return bool(value)

    def may_dispatch(
        self, now: int, name: str, guest: str, ask: int, attempt: int, machine: str, known: bytes
    ) -> bool:
        return bool(known) or super().may_dispatch(now, name, guest, ask, attempt, machine, known)


@pytest.mark.parametrize("gate", [LetsAllPass, Overtakes])
def test_a_gate_that_trusts_its_view_is_detected(gate: type) -> None:
    one, other, table = two(gate)
    one.submits(10, "x", "once")
    table.agree(10)
    other.submits(20, "x", "once", ask=1, reason="unanswered")
    table.agree(20)
    assert one.sent(m.Offer, "x") and other.sent(m.Offer, "x"), (
        "both planners sent the offer, which is the fault to detect"
    )
