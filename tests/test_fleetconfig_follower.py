"""What a planner knows of its own configuration, and whom it follows."""

import pytest

from hazelhold.emulate.spread_nodes import PlannerNode
from hazelhold.emulate.spread_world import World
from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.follower import FollowerCore
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import NEVER, Heartbeat
from hazelhold.fleetconfig.revision import Position
from hazelhold.fleetconfig.roster import Roster
from hazelhold.fleetconfig.spread_actions import PutInForce, Times
from tests.spread_rig import (
    Direct,
    assert_settled,
    chain_of,
    document_at,
    fleet,
    fork,
    heal,
    item,
)

CHAIN = chain_of([item("teams/a", 1)], [item("teams/b", 2)], [item("teams/a", 3)])


def cut_off(world: World, name: str) -> None:
    """Nothing reaches this machine, nothing leaves it."""
    for other in world.nodes:
        world.wires.cuts |= {(name, other), (other, name)}


def planner(world: World, name: str) -> PlannerNode:
    node = world.nodes[name]
    assert isinstance(node, PlannerNode)
    return node


def test_a_planner_that_is_cut_off_works_on_and_says_so() -> None:
    world = fleet(6)
    world.run(20)
    node = planner(world, "p3")
    assert node.follower.standing(world.now).cut_off is None
    cut_off(world, "p3")
    world.commit_at("c0", "work", [item("teams/a", 1)])
    world.run(30)
    told = node.follower.standing(world.now)
    assert told.in_force.number == told.received.number == 1
    assert told.cut_off is not None
    assert 29_000_000 < told.cut_off.age == told.confirmed_age < 33_000_000
    assert "no source is followed" in told.cut_off.reason
    heal(world)
    world.run(40)
    assert node.follower.standing(world.now).cut_off is None
    assert_settled(world)


def test_a_planner_that_never_heard_anybody_says_so() -> None:
    core = FollowerCore("p0", History(), Roster([]), Subtree(), Times(), 1, 0)
    told = core.standing(10_000_000)
    assert told.confirmed_age == NEVER
    assert told.cut_off is not None and "none yet" in told.cut_off.reason


def test_a_planner_whose_folder_is_ahead_of_the_order_says_so() -> None:
    direct = Direct(History(CHAIN[2].position, document_at(CHAIN, 3)))
    direct.hear(Heartbeat(number=2, chain=fork(CHAIN)[1].chain, confirmed_age=0, route=("c0",)))
    told = direct.core.standing(direct.now)
    assert told.confirmed_age == NEVER and told.cut_off is not None
    assert "at revision 2, before the 3 that is here" in told.cut_off.reason


def test_no_majority_anywhere_is_told_as_such() -> None:
    world = fleet(6)
    world.run(20)
    for control in world.controls:
        control.is_in_touch = False
    world.run(30)
    for node in world.planners:
        told = node.follower.standing(world.now)
        assert told.cut_off is not None and "not in touch with a majority" in told.cut_off.reason
        assert 28_000_000 < told.cut_off.age < 33_000_000
    followed = sum(node.follower.counts["sources_followed"] for node in world.planners)
    heal(world)
    world.run(5)
    assert_settled(world)
    assert followed < 8 * len(world.planners), "sources are changed all the time"


def test_a_source_that_lost_touch_is_left_for_one_that_did_not() -> None:
    world = fleet(6)
    world.run(20)
    world.controls[0].is_in_touch = False
    world.run(12)
    world.commit_at("c1", "work", [item("teams/a", 1)])
    world.run(2)
    for node in world.planners:
        told = node.follower.standing(world.now)
        assert told.route[0] != "c0"
        assert told.received == world.head


def test_a_better_source_is_returned_to() -> None:
    world = fleet(8)
    world.run(20)
    before = {node.name: node.follower.standing(world.now).source for node in world.planners}
    relay = next(name for name in before.values() if name.startswith("p"))
    below = [name for name, source in before.items() if source == relay]
    stopped = planner(world, relay)
    stored = stopped.stored
    stopped.stop()
    world.run(5)
    assert_settled(world)
    assert all(planner(world, name).follower.standing(world.now).source != relay for name in below)
    world.start(world.planned[relay], stored)
    world.run(60)
    assert {node.name: node.follower.standing(world.now).source for node in world.planners} == before


def test_a_pause_is_not_held_against_the_source() -> None:
    world = fleet(6)
    world.run(20)
    node = planner(world, "p3")
    source = node.follower.standing(world.now).source
    lost = node.follower.counts["sources_silent"]
    node.is_paused = True
    world.run(12)
    world.commit_at("c0", "work", [item("teams/a", 1)])
    node.resume()
    world.run(2)
    assert node.follower.counts["pauses"] == 1
    assert node.follower.counts["sources_silent"] == lost
    assert node.follower.standing(world.now).source == source
    assert_settled(world)


def started(last_in_force: tuple[Position, Document] | None) -> FollowerCore:
    history = History(CHAIN[2].position, document_at(CHAIN, 3), CHAIN[1:])
    return FollowerCore("p0", history, Roster([]), Subtree(), Times(), 1, 0, last_in_force=last_in_force)


def offers(core: FollowerCore) -> list[PutInForce]:
    return [one for one in core.take_actions() if isinstance(one, PutInForce)]


@pytest.mark.parametrize("takes_the_last", [True, False])
def test_a_restart_begins_with_the_last_and_only_if_that_is_refused_with_what_was_in_force(
    takes_the_last: bool,
) -> None:
    """The note of what is in force is written after it is: the last may have been already."""
    core = started((CHAIN[1].position, document_at(CHAIN, 2)))
    (first,) = offers(core)
    assert first.position == CHAIN[2].position and first.document.items == document_at(CHAIN, 3).items
    if takes_the_last:
        core.in_force(0, first.position)
    else:
        core.refused(0, first.position, "unknown field")
        (second,) = offers(core)
        assert second.position == CHAIN[1].position
        assert second.document.items == document_at(CHAIN, 2).items and second.changed is None
        core.in_force(0, second.position)
    told = core.standing(0)
    assert told.in_force == (CHAIN[2] if takes_the_last else CHAIN[1]).position
    assert told.reason == ("" if takes_the_last else "refused 3: unknown field")
    assert offers(core) == []


def test_after_what_was_in_force_the_next_one_is_offered_whole() -> None:
    core = started((CHAIN[1].position, document_at(CHAIN, 2)))
    (last,) = offers(core)
    core.refused(0, last.position, "unknown field")
    (before,) = offers(core)
    core.in_force(0, before.position)
    longer = chain_of([item("teams/a", 1)], [item("teams/b", 2)], [item("teams/a", 3)], [item("teams/c", 4)])
    core.history.append(longer[3])
    core.enforcement.received(longer[3].revision.edits)
    core.tick(0)
    (later,) = offers(core)
    assert (later.position, later.changed) == (longer[3].position, None)
    assert later.document.items == document_at(longer, 4).items
    assert before.document.items == document_at(CHAIN, 2).items
    core.in_force(0, later.position)
    assert core.standing(0).reason == ""


def test_an_answer_that_was_not_asked_for_changes_nothing() -> None:
    core = started(None)
    (offer,) = offers(core)
    core.in_force(0, CHAIN[0].position)
    assert core.standing(0).in_force.number == 0
    assert core.counts["answers_not_asked_for"] == 1
    core.in_force(0, offer.position)
    assert core.standing(0).in_force == CHAIN[2].position


def test_a_document_is_not_changed_while_the_host_has_it() -> None:
    core = started(None)
    (offer,) = offers(core)
    longer = chain_of(
        [item("teams/a", 1)],
        [item("teams/b", 2)],
        [item("teams/a", 3)],
        [item("teams/c", 4)],
        [item("teams/a", 5)],
    )
    assert longer[:3] == CHAIN
    for sealed in longer[3:]:
        core.history.append(sealed)
        core.enforcement.received(sealed.revision.edits)
    core.tick(0)
    assert offers(core) == []
    assert offer.document.items == document_at(CHAIN, 3).items
    core.in_force(0, offer.position)
    (later,) = offers(core)
    assert later.position == longer[4].position
    assert later.changed == {"teams/a", "teams/c"}
    assert later.document.items == document_at(longer, 5).items


def test_stored_revisions_that_do_not_lead_to_the_position_are_not_passed_on() -> None:
    whole = History(CHAIN[2].position, document_at(CHAIN, 3), CHAIN[1:])
    assert whole.after(1) is not None
    for recent in (CHAIN[:2], [CHAIN[0], CHAIN[2]], [fork(CHAIN)[1], CHAIN[2]]):
        other = History(CHAIN[2].position, document_at(CHAIN, 3), recent)
        assert other.after(1) is None and not other.window
