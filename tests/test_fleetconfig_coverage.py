"""Who has which revision in force: told upwards, and judged at the control machines."""

from hazelhold.emulate.spread_nodes import Planned
from hazelhold.emulate.spread_world import put_planner
from hazelhold.fleetconfig.coverage import Feed, Subtree
from hazelhold.fleetconfig.messages import Coverage, MemberState
from hazelhold.fleetconfig.roster import Place
from hazelhold.fleetconfig.spread_actions import Times
from tests.spread_rig import (
    assert_settled,
    assert_told,
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
