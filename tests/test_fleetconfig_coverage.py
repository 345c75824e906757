"""Who has which revision in force: told upwards, and judged at the control machines."""

import pytest

from hazelhold.emulate.spread_nodes import Planned, Stored
from hazelhold.emulate.spread_world import put_planner
from hazelhold.fleetconfig.coverage import Feed, Subtree
from hazelhold.fleetconfig.everywhere import FleetCoverage
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import CHAIN_MARK, Coverage, MemberState
from hazelhold.fleetconfig.roster import Place, Roster
from hazelhold.fleetconfig.spread_actions import Times
from tests.spread_rig import (
    assert_settled,
    assert_told,
    chain_of,
    document_at,
    fleet,
    item,
)

# Coverage.


def state(name: str, in_force: int) -> MemberState:
    return MemberState(name=name, in_force=in_force, received=in_force)


def test_a_planner_that_changes_its_source_stays_connected_whatever_comes_first() -> None:
    for ended_first in (True, False):
        subtree = Subtree()
        for connection in (1, 2):
            subtree.add(connection)
        subtree.tell(1, Coverage(members=(state("p", 4),)))
        if ended_first:
            subtree.end(1)
        subtree.tell(2, Coverage(members=(state("p", 5),)))
        if not ended_first:
            subtree.end(1)
        assert subtree.state("p") == state("p", 5)
        subtree.tell(2, Coverage(members=(), whole=True))
        assert subtree.state("p") is None


def test_what_another_control_machine_tells_is_not_passed_on() -> None:
    subtree = Subtree()
    subtree.add(1)
    subtree.add(2, passed_on=False)
    subtree.tell(1, Coverage(members=(state("p", 4),)))
    subtree.tell(2, Coverage(members=(state("p", 5), state("q", 5))))
    assert list(subtree.states_passed_on()) == [state("p", 4)]
    assert subtree.state("p") == state("p", 5)


def test_what_is_not_told_further_is_not_told_as_gone_either() -> None:
    """Control machines hear of most planners from one another; each such word came back as "not connected" to
    all of them."""
    subtree, times = Subtree(), Times()
    feed = Feed(subtree, times)
    subtree.add(1)
    subtree.add(2, passed_on=False)
    feed.begin(0)
    subtree.tell(1, Coverage(members=(state("p", 4),)))
    told = feed.take(0)
    assert [one.members for one in told] == [(state("p", 4),)]
    for number in range(5, 9):
        subtree.tell(2, Coverage(members=(state("q", number), state("p", number))))
    assert feed.take(0) == []
    assert feed.next_at() == times.coverage_whole
    subtree.end(1)
    assert feed.take(times.coverage) == []
    now = feed.next_at()
    assert now == times.coverage + times.coverage_hold
    (gone,) = feed.take(now)
    assert [(one.name, one.connected) for one in gone.members] == [("p", False)]
    subtree.end(2)
    assert feed.next_at() == times.coverage_whole


def test_who_changed_its_source_is_told_as_gone_once_and_again_when_it_is_back() -> None:
    subtree, times = Subtree(), Times()
    feed = Feed(subtree, times)
    feed.begin(0)
    feed.take(0)
    connected, now = [], 0
    for turn in range(6):
        if turn % 2 == 0:
            subtree.add(turn)
            subtree.tell(turn, Coverage(members=(state("p", 4),)))
        else:
            subtree.end(turn - 1)
        now += times.coverage
        (told,) = feed.take(now) or feed.take(feed.next_at())
        connected += [one.connected for one in told.members]
    assert connected == [True, False] * 3


def test_coverage_is_told_twice_a_second_at_most() -> None:
    subtree, times = Subtree(), Times()
    subtree.add(1)
    feed = Feed(subtree, times)
    feed.begin(0)
    told = []
    for now in range(0, 5_000_000, 10_000):
        subtree.tell(1, Coverage(members=tuple(state(f"p{n}", now) for n in range(20))))
        told += [(now, one) for one in feed.take(now)]
    assert 9 <= len(told) <= 11
    assert all(len(one.members) == 20 for _, one in told[1:])


def test_every_revision_is_told_everywhere_and_by_every_control_machine() -> None:
    world = fleet(12)
    world.run(20)
    for number in range(3):
        world.commit_at("c0", "work", [item("teams/a", number)])
        world.run(4)
        assert_settled(world)
        assert_told(world)
    for control in world.controls:
        for told in control.fleet.revisions(world.now):
            assert 0 <= told.everywhere_after <= 3_000_000


def test_who_is_not_listed_is_counted_and_who_is_removed_is_dropped() -> None:
    world = fleet(5)
    stranger = Planned("stranger", Place("r0", "z0"))
    world.start(stranger)
    world.run(3)
    assert_told(world)
    assert [control.fleet.unexpected for control in world.controls] == [1, 1, 1]
    world.commit_at("c1", "add", [put_planner(stranger)], ("planners/p4",))
    world.run(4)
    assert_told(world)
    assert [control.fleet.expected for control in world.controls] == [5, 5, 5]


def test_a_planner_whose_folder_is_of_another_order_is_not_counted_whatever_its_numbers() -> None:
    """Of another deployment, or of this one before it was founded anew: its numbers are higher."""
    another_order_in_a_folder()


def another_order_in_a_folder() -> None:
    world = fleet(4)
    for number in range(3):
        world.commit_at("c0", "work", [item("teams/a", number)])
    world.run(3)
    stranger = chain_of(*([item("teams/z", number)] for number in range(40)))
    judge = world.judge  # what p2 begins with is no revision of the order, as this scenario wants it
    world.judge = lambda node, action: None if node.name == "p2" else judge(node, action)
    world.nodes["p2"].stop()
    world.start(world.planned["p2"], Stored(stranger[-1].position, document_at(stranger, 40)))
    world.commit_at("c0", "work", [item("teams/a", 9)])
    world.run(5)
    head = world.head.number
    assert head < 40
    for control in world.controls:
        newest, *older = control.fleet.revisions(world.now)
        assert (newest.number, newest.everywhere_after, newest.have, newest.expected) == (head, -1, 3, 4)
        (told,) = control.fleet.lacking(world.now)
        assert told.name == "p2" and "tells of revision 40, which is not known here" in told.reason
    while world.head.number < 45:  # now they have revisions under its numbers too
        world.commit_at("c0", "work", [item("teams/a", world.head.number)])
    world.run(5)
    for control in world.controls:
        assert control.fleet.revisions(world.now)[0].everywhere_after == -1
        (told,) = control.fleet.lacking(world.now)
        assert told.name == "p2" and told.reason.startswith(("has a revision 40 of another", "not connected"))


def test_the_number_alone_would_tell_it_everywhere(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(FleetCoverage, "_judged", lambda coverage, known, state: (state.in_force, ""))
    with pytest.raises(AssertionError):
        another_order_in_a_folder()


def test_a_word_about_a_revision_that_is_not_known_here_yet_counts_once_it_is() -> None:
    chain = chain_of([item("planners/p", {"address": "p", "zone": "", "region": ""})], [item("teams/a", 1)])
    history, subtree = History(), Subtree()
    coverage = FleetCoverage(history, Roster([]), subtree, 0)
    subtree.add(1)
    history.append(chain[0])
    coverage.committed(1, chain[:1])
    word = MemberState(name="p", in_force=2, received=2, chain=chain[1].chain[:CHAIN_MARK])
    subtree.tell(1, Coverage(members=(word,)))
    coverage.settle(2)
    assert coverage.revisions(2)[0].everywhere_after == -1
    history.append(chain[1])
    coverage.committed(3, chain[1:])
    assert [told.everywhere_after for told in coverage.revisions(3)] == [0, 2] and not coverage.lacking(3)


def test_why_each_one_lacks_the_last_revision() -> None:
    world = fleet(5)
    world.commit_at("c0", "add", [put_planner(Planned("never", Place("r0", "z0")))])
    world.run(3)
    world.refused.add(("p1", 3))
    world.nodes["p2"].stop()
    world.nodes["p3"].is_paused = True
    world.commit_at("c0", "work", [item("teams/a", 1)])
    world.run(2.2)
    told = {one.name: one for one in world.controls[0].fleet.lacking(world.now)}
    assert told["never"].reason == "never heard"
    assert "refused 3" in told["p1"].reason and told["p1"].received == 3
    assert told["p2"].reason.startswith("not connected for") and told["p2"].in_force == 2
    assert told["p3"].reason == "behind by 1"
    assert told.keys() == {"never", "p1", "p2", "p3"}


def test_a_word_without_a_chain_comes_from_the_version_before_and_counts_by_its_number() -> None:
    chain = chain_of([item("planners/p", {"address": "p", "zone": "", "region": ""})], [item("teams/a", 1)])
    history, subtree = History(), Subtree()
    coverage = FleetCoverage(history, Roster([]), subtree, 0)
    subtree.add(1)
    for sealed in chain:
        history.append(sealed)
    coverage.committed(1, chain)
    subtree.tell(1, Coverage(members=(MemberState(name="p", in_force=1, received=2),)))
    coverage.settle(2)
    (told,) = coverage.lacking(2)
    assert (told.name, told.in_force) == ("p", 1) and coverage.revisions(2)[0].everywhere_after == -1
    subtree.tell(1, Coverage(members=(MemberState(name="p", in_force=2, received=2),)))
    coverage.settle(3)
    assert not coverage.lacking(3) and coverage.revisions(3)[0].everywhere_after == 2
