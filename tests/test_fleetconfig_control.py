"""The control machine's core: its answers one by one."""

from fleetconfig_bench import Bench, chain_of, head_of, item
from fleetconfig_machines import LIMITS

from hazelhold.fleetconfig import control_actions as a
from hazelhold.fleetconfig.codec import MAX_MESSAGE, encode
from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.group import BASE_TOO_OLD, MAX_CHANGE
from hazelhold.fleetconfig.head import Advance, Settle, decode_head
from hazelhold.fleetconfig.revision import (
    MAX_REVISION,
    Change,
    Position,
)
from hazelhold.replica.proposer import Read


def test_it_settles_first_and_group_commits_what_waits_meanwhile() -> None:
    bench = Bench()
    assert [type(asked.change) for asked in bench.asked] == [Settle]
    bench.holding = True
    bench.propose("w0", item("0", "x/0", 0))
    for number in range(1, 50):
        assert bench.propose(f"w{number}", item(str(number), f"x/{number}", 0)) is None
    bench.propose("bad", item("bad", "teams/t", 0, {"quota_cores": "many", "parent": "nobody"}))
    bench.propose("late", item("late", "x/0", 0))
    bench.holding = False
    bench.agree()
    assert bench.core.position.number == 2 and len(bench.stored[1].revision.changes) == 49
    assert {bench.answers[f"w{number}"].number for number in range(1, 50)} == {2}
    assert bench.answers["bad"].outcome == "invalid" and bench.answers["late"].outcome == "conflict"
    assert [fault.item for fault in bench.answers["late"].faults] == ["x/0"]
    assert [type(action) for action in bench.others] == [a.Publish, a.Publish]


def test_a_change_that_is_asked_for_again_is_told_where_it_was_carried_out() -> None:
    bench = Bench()
    change = item("1", "x/1", 0)
    assert bench.propose("first", change).number == 1
    bench.propose("other", item("2", "x/2", 0))
    again = bench.propose("again", change)
    assert (again.outcome, again.number) == ("committed", 1)
    answer = bench.propose("abused", item("1", "x/9", 0))
    assert answer.outcome == "invalid" and "another change" in answer.faults[0].text
    restarted = Bench(a.StoredState(Position(), Document(), tuple(bench.stored)), value=bench.value)
    assert restarted.propose("again", change).number == 1
    assert restarted.core.position == bench.core.position


def test_a_base_before_the_window_is_never_carried_out() -> None:
    bench = Bench(limits=LIMITS._replace(history=3))
    for number in range(5):
        bench.propose(number, item(str(number), f"x/{number}", number))
    answer = bench.propose("again", item("0", "x/0", 0))
    assert answer.outcome == "refused" and answer.text.startswith(BASE_TOO_OLD)
    assert bench.propose("edge", item("e", "x/e", 2)).outcome == "committed"
    assert bench.core.history.floor == 3 and len(bench.core.history.done) == 3


def test_the_window_is_bounded_by_what_it_holds_too() -> None:
    bench = Bench(limits=LIMITS._replace(history_entries=20))
    for number in range(30):
        assert bench.propose(number, item(str(number), f"x/{number}", number)).outcome == "committed"
    history = bench.core.history
    assert len(history.done) + len(history.changed) <= 20 and history.floor == 20
    assert history.position_at(20) is not None and history.position_at(19) is None


def test_a_base_that_is_not_known_here_is_looked_for() -> None:
    chain = chain_of(3)
    bench = Bench(a.StoredState(Position(), Document(), tuple(chain[:1])), value=head_of(chain[:1]))
    bench.value = head_of(chain, tail=2)
    answer = bench.propose("w", item("w", "x/1", 3))
    assert (answer.outcome, answer.number) == ("committed", 4)
    assert [type(asked.change) for asked in bench.asked] == [Settle, Read, Advance]
    answer = bench.propose("bogus", item("bogus", "x/1", 99))
    assert answer.outcome == "invalid" and "is no revision" in answer.faults[0].text


def test_what_is_open_is_settled_before_anything_else_and_unknown_only_at_the_deadline() -> None:
    bench = Bench()
    bench.holding = True
    bench.propose("w", item("w", "x/1", 0), span=200_000)
    bench.end("open")
    assert bench.propose("next", item("next", "x/2", 0), span=5_000_000) is None
    bench.pass_time(150_000)
    assert isinstance(bench.asked[-1].change, Settle) and not bench.answers
    bench.pass_time(100_000)
    assert bench.answers["w"].outcome == "unknown"
    bench.holding = False
    bench.agree()
    assert bench.answers["next"].number == 1 and len(bench.stored[0].revision.changes) == 1


def test_a_change_that_is_under_way_is_unknown_however_its_repetition_ends() -> None:
    """Refused would say that nobody carries it out."""
    bench = Bench(limits=LIMITS._replace(waiting_changes=2))
    change = item("1", "x/1", 0)
    bench.holding = True
    bench.propose("first", change, span=100_000)
    bench.end("open")  # the register's settling round is still held
    bench.propose("again", change, span=200_000)
    assert bench.propose("no room", change).outcome == "unknown"
    bench.pass_time(300_000)
    assert bench.answers["first"].outcome == bench.answers["again"].outcome == "unknown"
    bench.holding = False
    bench.agree()
    assert bench.propose("later", change).number == 1


def test_what_a_settling_round_does_not_contain_is_proposed_again() -> None:
    bench = Bench()
    bench.holding = True
    bench.propose("w", item("w", "x/1", 0), span=5_000_000)
    bench.end("open")
    bench.holding = False
    bench.pass_time(100_000)
    assert bench.answers["w"].outcome == "committed"
    assert [type(asked.change) for asked in bench.asked] == [Settle, Advance, Settle, Advance]


def test_what_a_settling_round_contains_is_committed() -> None:
    bench = Bench()
    bench.holding = True
    bench.propose("w", item("w", "x/1", 0), span=5_000_000)
    bench.value = bench.asked[-1].change(bench.value)  # a majority accepted it after all
    bench.end("open")
    bench.holding = False
    bench.pass_time(100_000)
    assert bench.answers["w"].number == 1
    assert [type(asked.change) for asked in bench.asked] == [Settle, Advance, Settle]


def test_without_a_majority_what_only_waits_is_refused_at_its_deadline() -> None:
    bench = Bench()
    bench.holding = True
    bench.propose("w", item("w", "x/1", 0), span=300_000)
    while "w" not in bench.answers:
        asked = len(bench.asked)
        bench.end("refused")
        bench.pass_time(20_000)
        assert len(bench.asked) <= asked + 1
    assert bench.answers["w"].outcome in ("refused", "unknown")
    assert bench.propose("gone", item("gone", "x/2", 0), span=0).outcome == "refused"


def test_waiting_changes_are_bounded() -> None:
    bench = Bench(limits=LIMITS._replace(waiting_bytes=1000, waiting_changes=20))
    bench.holding = True
    outcomes = [bench.propose(n, item(str(n), f"x/{n}", 0)) for n in range(40)]
    refused = [answer for answer in outcomes if answer is not None]
    assert 20 <= len(refused) < 40 and {(r.outcome, r.text) for r in refused} == {("refused", "busy")}
    assert bench.core.pending.bytes <= 1000
    bench.holding = False
    bench.agree()
    assert bench.core.pending.bytes == 0 and not bench.core.pending.by_id
    assert bench.propose("then", item("then", "x/then", 0)).outcome == "committed"


def test_revisions_too_few_have_stored_are_carried_up_to_a_bound() -> None:
    bench = Bench(limits=LIMITS._replace(tail_bytes=4000))
    bench.storing = False
    committed = 0
    for number in range(40):
        bench.propose(number, item(str(number), f"x/{number}", 0, "y" * 100), span=10_000)
        bench.pass_time(20_000)
        committed += bench.answers[number].outcome == "committed"
        assert len(bench.value) <= 4000 + 500
    assert 5 < committed < 40
    assert "stored by too few" in bench.answers[39].text
    bench.store_all()
    assert bench.propose("then", item("then", "x/then", 0)).outcome == "committed"
    assert len(decode_head(bench.value).tail) == 1


def test_a_change_takes_no_more_than_a_revision_may() -> None:
    bench = Bench(limits=LIMITS._replace(waiting_bytes=64 << 20))
    large = tuple(Put(f"x/{n}", canonical("y" * 60_000)) for n in range(5))
    answer = bench.propose("w", Change(id="w", base=0, puts=large))
    assert answer.outcome == "invalid" and str(MAX_CHANGE) in answer.faults[0].text
    bench.holding = True
    bench.propose("first", item("first", "x/0", 0))
    for number in range(1, 9):
        bench.propose(number, item(str(number), f"x/{number}", 0, "y" * 60_000), span=5_000_000)
    bench.holding = False
    bench.agree()
    assert {bench.answers[n].outcome for n in range(1, 9)} == {"committed"}
    assert all(len(sealed.body) <= MAX_REVISION for sealed in bench.stored)
    assert [len(sealed.revision.changes) for sealed in bench.stored] == [1, 4, 2, 2], "the tail is bounded"


def test_an_answer_fits_into_a_message_however_much_is_wrong() -> None:
    """Else its writer would hear nothing and ask again and again."""
    name = "\U00010140" * 200  # 4 bytes each
    puts = tuple(Put(f"{number}{name}", b"no JSON") for number in range(1000))
    answer = Bench().propose("w", Change(id="w", base=0, puts=puts))
    assert answer.outcome == "invalid" and answer.faults[-1].text.endswith("faults more")
    assert len(answer.faults) > 500 and len(encode(answer)) < MAX_MESSAGE


def test_all_that_is_wrong_with_a_change_is_told_at_once() -> None:
    change = Change(
        id="",
        base=-1,
        author="a" * 101,
        puts=(Put("no name", b"1"), Put("x/1", b"{"), Put("x/2", b'{"b":1,"a":2}'), Put("x/3", b"1")),
        removals=("x/3",),
    )
    answer = Bench().propose("w", change)
    assert answer.outcome == "invalid" and len(answer.faults) == 7
