"""Each argument for the spread's safety: a scenario that holds, and a broken variant that it catches."""

import pytest
from msgspec.structs import replace

from hazelhold.emulate.spread_nodes import Dialing, PlannerNode
from hazelhold.emulate.spread_world import World
from hazelhold.fleetconfig import follower, history, snapshot
from hazelhold.fleetconfig.codec import encode
from hazelhold.fleetconfig.document import Document, Put
from hazelhold.fleetconfig.everywhere import FleetCoverage
from hazelhold.fleetconfig.follower import FollowerCore
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.links import Link, Links
from hazelhold.fleetconfig.messages import ConfigMessage, Heartbeat, MemberState, Revisions, SnapshotPage
from hazelhold.fleetconfig.revision import Position, RevisionError, SealedRevision, seal, unseal
from hazelhold.fleetconfig.roster import Source
from hazelhold.fleetconfig.snapshot import Assembly, page_check
from hazelhold.fleetconfig.spread_actions import PutInForce, Times
from tests.broken_variants import Variant, assert_caught, patched
from tests.spread_rig import (
    DELTAS,
    SETTLED,
    TOLD,
    Direct,
    Impostor,
    assert_settled,
    assert_told,
    chain_of,
    control_machines,
    document_at,
    fleet,
    heal,
    item,
    planned,
    revisions,
    snapshot_at,
)

CHAIN = chain_of(
    [item("teams/a", 10), item("teams/b", 20)],
    [item("teams/a", 1)],
    [item("teams/b", 2), item("teams/c", {"limit": 3})],
)
BIG = chain_of([item(f"teams/t{n}", "x" * 50_000) for n in range(4)], [item("teams/u", 1)])
PAGE = snapshot_at(CHAIN, 2).pages[0]


# Scenarios.


def contradicting_revisions() -> None:
    world = fleet(4)
    impostor = Impostor(world, {"c0", "c1"}, DELTAS)
    world.wires.tamper = impostor
    for number in range(3):
        world.commit_at("c2", "work", [item("teams/a", number)])
        world.run(2)
    assert impostor.sent
    heal(world)
    world.run(SETTLED)
    assert_settled(world)


def lying_snapshot() -> None:
    (page,) = snapshot_at(CHAIN, 2).pages
    forged = replace(page, items=tuple(Put(put.name, b"7") for put in page.items))
    direct = Direct()
    direct.hear(replace(forged, check=page_check(forged)))
    assert direct.history.position.number == 0
    assert not direct.all_of(PutInForce)


def lying_revision() -> None:
    direct = Direct()
    direct.hear(revisions(CHAIN[0]))
    direct.hear(revisions(seal(replace(CHAIN[1].revision, content=b"0" * 16))))
    assert direct.history.position == CHAIN[0].position


def snapshot_that_breaks_off() -> None:
    pages = snapshot_at(BIG, 2).pages
    assert len(pages) > 2
    direct = Direct(History(BIG[0].position, document_at(BIG, 1)))
    before = dict(direct.history.document.items)
    for page in pages[:-1]:
        direct.hear(page)
    assert direct.history.document.items == before
    assert direct.history.position == BIG[0].position
    assert [one.position for one in direct.all_of(PutInForce)] == [BIG[0].position]


def older_snapshot() -> None:
    direct = Direct()
    direct.hear(revisions(*CHAIN))
    direct.hear(snapshot_at(CHAIN, 2).pages[0])
    assert direct.history.position == CHAIN[2].position
    numbers = [one.position.number for one in direct.all_of(PutInForce)]
    assert numbers == sorted(numbers)


def refused_by_one_program() -> None:
    world = fleet(4)
    world.refused.add(("p1", 2))
    world.commit_at("c0", "work", [item("teams/a", 1)])
    world.run(SETTLED)
    assert_settled(world)
    assert_told(world)


def damaged_revision_at_a_relay() -> None:
    world = fleet(8)
    world.run(20)  # by then relays are followed
    relayed = [node for node in world.planners if len(node.follower.standing(world.now).route) > 1]
    assert relayed
    impostor = Impostor(world, {"c0", "c1", "c2"}, DELTAS)
    world.wires.tamper = impostor
    world.commit_at("c0", "work", [item("teams/a", 1)])
    world.run(2)
    assert impostor.sent
    for node in relayed:
        assert not [code for code in node.follower.counts if code.startswith("refused")]


def planner_that_stops() -> None:
    world = fleet(4)
    world.run(TOLD)
    world.nodes["p2"].stop()
    world.commit_at("c0", "work", [item("teams/a", 1)])
    world.run(TOLD)
    for control in world.controls:
        assert [state.name for state in control.fleet.lacking(world.now)] == ["p2"]
    assert_told(world)


class Stubborn(PlannerNode):
    """p0 and p1 would rather follow each other than a control machine, and never doubt a source's age."""

    def __init__(self, world: World, *arguments: object) -> None:
        super().__init__(world, *arguments)
        other = {"p0": "p1", "p1": "p0"}[self.name]
        sources = [Source(other, other, "zone"), Source("c0", "c0", "control")]
        self.follower.links.choice.set_sources(sources)
        self.follower.roster.note = lambda document, changed: False
        self.follower.roster.load = lambda document: False


def two_that_follow_each_other() -> None:
    times = Times(stale=10**15)
    world = World(control_machines(1, 1), planned(2), 1, times, node_type=Stubborn)
    world.start_all()
    world.run(5)
    for number in range(4):
        world.commit_at("c0", "work", [item("teams/a", number)])
        world.run(5)
        assert_settled(world)


def damaged_bytes_of_a_revision() -> None:
    whole = encode(revisions(CHAIN[1]))
    for at in range(len(whole)):
        direct = Direct()
        direct.hear(revisions(CHAIN[0]))
        direct.hear_bytes(flipped(whole, at))
        assert_of_the_chain(direct)


def damaged_bytes_of_a_page() -> None:
    whole = encode(PAGE)
    for at in range(len(whole)):
        direct = Direct()
        direct.hear_bytes(flipped(whole, at))
        assert_of_the_chain(direct)


def flipped(body: bytes, at: int) -> bytes:
    return body[:at] + bytes([body[at] ^ 1]) + body[at + 1 :]


def assert_of_the_chain(direct: Direct) -> None:
    number = direct.history.position.number
    assert number <= len(CHAIN)
    if number:
        assert direct.history.position == CHAIN[number - 1].position
        assert direct.history.document.items == document_at(CHAIN, number).items


# Broken variants.


def no_chain_check(position: Position, document: Document, sealed: SealedRevision) -> None:
    if sealed.revision.number != position.number + 1:
        raise RevisionError("gap", "")


def heartbeats_that_waited_while_it_was_paused() -> None:
    """Those of the first seconds of a pause wait in the connection; the source has ended it meanwhile."""
    direct, pause = Direct(), 300_000_000
    word = Heartbeat(number=0, chain=Position().chain, confirmed_age=200_000, route=("c0",))
    direct.hear(word)
    assert direct.core.standing(direct.now).cut_off is None
    before, direct.now = direct.connection, direct.now + pause
    for _ in range(3):
        direct.core.heard(direct.now, before, word)
        told = direct.core.standing(direct.now)
        assert told.confirmed_age >= pause and told.cut_off is not None
    direct.settle()
    assert direct.connection != before
    direct.hear(word)
    assert direct.core.standing(direct.now).confirmed_age == 200_000


def an_old_word_soon_after_the_machine_was_started() -> None:
    """The clock counts from there: a word may be older than it."""
    direct = Direct()
    direct.now = 3_000_000
    direct.hear(Heartbeat(number=0, chain=Position().chain, confirmed_age=600_000_000, route=("c0",)))
    told = direct.core.standing(direct.now)
    assert told.confirmed_age == 600_000_000 and told.cut_off is not None


def age_from_the_start_of_the_clock(links: Links, now: int, link: Link, heartbeat: Heartbeat) -> None:
    HEARTBEAT(links, now, link, heartbeat)
    if link.confirmed_at is not None:
        link.confirmed_at = max(0, link.confirmed_at)


HEARTBEAT = Links.heartbeat


def assembled_unchecked(assembly: Assembly) -> Document:
    document = Document(assembly._items)
    assembly.clear()
    return document


def take_pages_as_they_come(core: FollowerCore, now: int, link: Link, page: SnapshotPage) -> None:
    items = {**core.history.document.items, **{put.name: put.value for put in page.items}}
    if page.number > core.history.position.number:
        core._replace(Position(page.number, page.chain), Document(Put(*pair) for pair in items.items()))


def take_any_snapshot(core: FollowerCore, now: int, link: Link, page: SnapshotPage) -> None:
    if link.assembly.take(page) == "complete":
        document = link.assembly.document()
        core.history.position, core.history.document = Position(page.number, page.chain), document
        core.enforcement._tried = Position()
        core.enforcement.replaced()


def in_force_when_received(**fields: object) -> MemberState:
    return MemberState(**{**fields, "in_force": fields["received"]})


def forward_unverified(port: Dialing, connection: int, message: ConfigMessage) -> None:
    node = port.node
    if isinstance(message, DELTAS) and isinstance(node, PlannerNode):
        for one in list(node.source._followers):
            node.world.wires.send(node.listening, one, message)
    node.event(lambda now: port.core.heard(now, connection, message))


def forget_who_ended(coverage: FleetCoverage, now: int, name: str) -> None:
    if coverage._subtree.state(name) is None and name in coverage._known:
        coverage._numbers[coverage._known.pop(name).in_force] -= 1
        return
    TAKE(coverage, now, name)


TAKE = FleetCoverage._take


def unseal_without_checksum(message: Revisions) -> list[SealedRevision]:
    return [unseal(body) for body in message.bodies]


VARIANTS: dict[str, Variant] = {
    "no chain check": Variant(contradicting_revisions, patched((history, "check_next", no_chain_check))),
    "content of a revision not compared": Variant(
        lying_revision, patched((history, "check_next", no_chain_check))
    ),
    "content of a snapshot not compared": Variant(
        lying_snapshot,
        patched((Assembly, "document", assembled_unchecked)),
    ),
    "snapshot pages applied as they come": Variant(
        snapshot_that_breaks_off,
        patched((FollowerCore, "_take_page", take_pages_as_they_come)),
    ),
    "going back by snapshot": Variant(
        older_snapshot, patched((FollowerCore, "_take_page", take_any_snapshot))
    ),
    "in force when received": Variant(
        refused_by_one_program,
        patched(
            (follower, "MemberState", in_force_when_received),
            (FleetCoverage, "_judged", lambda coverage, known, state: (state.in_force, "")),
        ),
    ),
    "relay passes on unverified": Variant(
        damaged_revision_at_a_relay,
        patched((Dialing, "message", forward_unverified)),
    ),
    "coverage forgets who ended": Variant(
        planner_that_stops, patched((FleetCoverage, "_take", forget_who_ended))
    ),
    "route not looked at": Variant(
        two_that_follow_each_other,
        patched((Links, "_goes_in_circles", lambda links, route: False)),
    ),
    "last revision's checksum not compared": Variant(
        damaged_bytes_of_a_revision,
        patched((follower, "unseal_all", unseal_without_checksum)),
    ),
    "heartbeats that waited count as new": Variant(
        heartbeats_that_waited_while_it_was_paused,
        patched((Links, "drop_all", lambda links, reason: None)),
    ),
    "no word is older than the clock": Variant(
        an_old_word_soon_after_the_machine_was_started,
        patched((Links, "heartbeat", age_from_the_start_of_the_clock)),
    ),
    "page's checksum not compared": Variant(
        damaged_bytes_of_a_page,
        patched((snapshot, "page_check", lambda page: page.check)),
    ),
}


@pytest.mark.parametrize("name", VARIANTS)
def test_the_scenario_holds(name: str) -> None:
    VARIANTS[name].scenario()


@pytest.mark.parametrize("name", VARIANTS)
def test_the_broken_variant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert_caught(VARIANTS[name], monkeypatch)
