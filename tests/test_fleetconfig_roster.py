"""Who follows whom, and rosters that disagree."""

from random import Random

import pytest

from hazelhold.emulate.spread_nodes import Planned, PlannerNode
from hazelhold.emulate.spread_world import World, put_planner
from hazelhold.fleetconfig import roster as rosters
from hazelhold.fleetconfig.document import Document, canonical
from hazelhold.fleetconfig.roster import Place, Roster, Source
from tests.spread_rig import (
    assert_settled,
    chain_of,
    control_machines,
    item,
    planned,
)

LONG = chain_of([item(f"teams/t{n}", "x" * 40_000) for n in range(5)], [item("teams/u", 1)])


# The roster.


def roster_of(all_planned: list[Planned], controls: int = 6, regions: int = 8) -> tuple[Roster, Document]:
    document = Document([put_planner(one) for one in all_planned])
    roster = Roster(control_machines(controls, regions))
    roster.load(document)
    return roster, document


def test_no_cycle_and_every_source_is_nearer_to_control() -> None:
    all_planned = planned(230, regions=8, zones=3)
    roster, _ = roster_of(all_planned)
    ranks = {"zone": 1, "region": 2, "control": 3}

    def rank(name: str) -> int:
        place = places[name]
        if name in roster.region_relays(place.region):
            return 2
        return 1 if name in roster.zone_relays(place) else 0

    places = {one.name: one.place for one in all_planned}
    for one in all_planned:
        sources = roster.sources(one.name)
        assert [source.role for source in sources] == sorted(
            (source.role for source in sources), key=lambda role: ranks[role]
        )
        assert len({source.name for source in sources}) == len(sources)
        assert sum(source.role == "control" for source in sources) == 6
        for source in sources:
            if source.role != "control":
                assert rank(source.name) > rank(one.name)
                assert places[source.name].region == one.place.region


def test_control_machines_get_their_share() -> None:
    """By the first choice of 2,000 planners in regions without a control machine of their own."""
    roster, _ = roster_of([], controls=6, regions=1)
    first = [roster.sources(f"p{n}", Place("elsewhere", "z"))[0].name for n in range(2000)]
    assert {name: first.count(name) for name in set(first)}.keys() == {f"c{n}" for n in range(6)}
    assert all(250 <= first.count(f"c{n}") <= 420 for n in range(6))
    roster, _ = roster_of([], controls=6, regions=3)
    near = {roster.sources(f"p{n}", Place("r1", "z"))[0].name for n in range(100)}
    assert near == {"c1", "c4"}


def test_a_change_redraws_only_its_own_zone_and_region(monkeypatch: pytest.MonkeyPatch) -> None:
    all_planned = planned(64, regions=4, zones=2)
    roster, document = roster_of(all_planned)
    drawn: list[str] = []
    draw = rosters.replicas
    monkeypatch.setattr(rosters, "replicas", lambda key, *rest: drawn.append(key) or draw(key, *rest))
    before = {one.name: roster.sources(one.name) for one in all_planned}
    assert len(drawn) == 4 + 8
    drawn.clear()
    document.apply([LONG[0].revision.edits[0]])
    assert not roster.note(document, ["teams/t0", "planner/x"])
    assert {one.name: roster.sources(one.name) for one in all_planned} == before
    assert not drawn
    item_ = put_planner(Planned("new", Place("r1", "z0")))
    document.items[item_.name] = item_.value
    assert roster.note(document, [item_.name])
    after = {one.name: roster.sources(one.name) for one in all_planned}
    assert sorted(drawn) == ["region/r1", "zone/r1/z0"]
    assert all(after[one.name] == before[one.name] for one in all_planned if one.place.region != "r1")


def test_the_roster_follows_the_document() -> None:
    roster, document = roster_of(planned(6), controls=1)
    whole = {**roster.planners}
    document.items["planners/p1"] = canonical({"address": 7})
    assert roster.note(document, ["planners/p1"])
    assert roster.unreadable == {"p1"} and "p1" not in roster.planners
    document.items["planners/p1"] = canonical(
        {"address": "p1", "zone": "z0", "region": "r1", "from_a_newer_program": 1}
    )
    roster.note(document, ["planners/p1"])
    assert roster.planners == whole and not roster.unreadable
    del document.items["planners/p2"]
    assert roster.load(document)
    assert not roster.load(document)
    assert roster.planners.keys() == {"p0", "p1", "p3", "p4", "p5"}


class Disagreeing(PlannerNode):
    """Prefers other planners in an order of its own, as if its roster were of another revision."""

    def __init__(self, world: World, *arguments: object) -> None:
        super().__init__(world, *arguments)
        others = [name for name in world.planned if name != self.name]
        Random(f"{self.name}/{world.new_seed()}").shuffle(others)
        sources = [Source(name, name, "zone") for name in others[:3]] + [Source("c0", "c0", "control")]
        self.follower.roster.note = lambda document, changed: False
        self.follower.roster.load = lambda document: False
        self.follower.links.choice.set_sources(sources)


@pytest.mark.parametrize("seed", range(4))
def test_rosters_that_disagree_come_apart(seed: int) -> None:
    world = World(control_machines(1, 1), planned(8), seed, node_type=Disagreeing)
    world.start_all()
    world.run(90)
    assert sum(node.follower.counts["cycles"] for node in world.planners), "no cycle came about"
    assert_settled(world)
    for number in range(3):
        world.commit_at("c0", "work", [item("teams/a", number)])
        world.run(8)
        assert_settled(world)
