"""The configuration's spread: bad input, fields of a newer program, and the source's bounds."""

import msgspec
import pytest
from msgspec.structs import replace

from hazelhold.fleetconfig.codec import MAX_MESSAGE, MessageError, decode, encode
from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import Follow, Heartbeat, Revisions, SnapshotPage
from hazelhold.fleetconfig.revision import MAX_REVISION, SealedRevision, unseal
from hazelhold.fleetconfig.snapshot import MAX_PAGES, page_check
from hazelhold.fleetconfig.source import SourceCore
from hazelhold.fleetconfig.spread_actions import Close, PutInForce, Received, Send, Times
from tests.spread_rig import (
    Direct,
    chain_of,
    document_at,
    fork,
    item,
    revisions,
    snapshot_at,
)

CHAIN = chain_of([item("teams/a", 1)], [item("teams/b", {"x": [1, 2]})], [item("teams/a", 3)])
LONG = chain_of([item(f"teams/t{n}", "x" * 40_000) for n in range(5)], [item("teams/u", 1)])


# Bad input.


@pytest.mark.parametrize(
    "message",
    [revisions(CHAIN[1]), snapshot_at(CHAIN, 2).pages[0], Heartbeat(number=1, chain=CHAIN[0].chain)],
    ids=["revisions", "page", "heartbeat"],
)
def test_truncated_messages_are_refused(message: Revisions | SnapshotPage | Heartbeat) -> None:
    body = encode(message)
    for length in range(len(body)):
        with pytest.raises(MessageError):
            decode(body[:length])
    assert decode(body) == message


@pytest.mark.parametrize("mask", [0x01, 0x80, 0xFF])
@pytest.mark.parametrize("kind", ["revisions", "page"])
def test_no_damaged_byte_is_taken(kind: str, mask: int) -> None:
    whole = encode(revisions(*CHAIN[1:]) if kind == "revisions" else snapshot_at(CHAIN, 3).pages[0])
    taken = 0
    for at in range(len(whole)):
        direct = Direct(History(CHAIN[0].position, document_at(CHAIN, 1)))
        direct.hear_bytes(whole[:at] + bytes([whole[at] ^ mask]) + whole[at + 1 :])
        position = direct.history.position
        assert position in (CHAIN[0].position, CHAIN[2].position)
        assert direct.history.document.items == document_at(CHAIN, position.number).items
        taken += position.number > 1
    assert taken == 0  # also the names of fields are needed


def damaged(message: Revisions) -> Revisions:
    return replace(message, bodies=(message.bodies[0][:-1] + b"?", *message.bodies[1:]))


FORK = fork(CHAIN)
BAD = {
    "refused_damaged": damaged(revisions(*CHAIN[1:])),
    "refused_unreadable": Revisions(bodies=(b"no revision",), chain=CHAIN[1].chain),
    "refused_too_long": Revisions(bodies=(bytes(MAX_REVISION + 1),), chain=CHAIN[1].chain),
    "refused_other_chain": revisions(FORK[1]),
    "refused_contradiction": revisions(FORK[0]),
    "refused_unexpected": Follow(number=0, chain=bytes(16)),
    "refused_damaged_page": replace(snapshot_at(CHAIN, 2).pages[0], number=3),
    "gaps": revisions(CHAIN[2]),
    "duplicates": revisions(CHAIN[0]),
    "snapshots_not_newer": snapshot_at(CHAIN, 1).pages[0],
    "cycles": Heartbeat(number=1, chain=CHAIN[0].chain, route=("c0", "p0", "p7")),
}


@pytest.mark.parametrize("count", BAD)
def test_bad_messages_are_counted_and_nothing_is_lost(count: str) -> None:
    direct = Direct(History(CHAIN[0].position, document_at(CHAIN, 1)))
    direct.hear(BAD[count])
    assert direct.core.counts[count] == 1
    assert direct.history.position == CHAIN[0].position
    assert [one.position for one in direct.all_of(PutInForce)] == [CHAIN[0].position]
    assert len(direct.all_of(Close)) == (count not in ("gaps", "duplicates", "snapshots_not_newer"))
    direct.hear(revisions(*CHAIN[1:]))
    assert direct.history.position == CHAIN[2].position
    assert direct.core.standing(direct.now).in_force == CHAIN[2].position


def test_a_contradicting_heartbeat_is_counted_and_its_source_left() -> None:
    direct = Direct(History(CHAIN[0].position, document_at(CHAIN, 1)))
    direct.hear(Heartbeat(number=1, chain=FORK[0].chain, confirmed_age=0, route=("c0",)))
    assert direct.core.counts["refused_contradiction"] == 1
    assert direct.core.confirmation.confirmed_at is None
    assert len(direct.all_of(Close)) == 1


def test_oversized_messages_and_snapshots_are_refused() -> None:
    with pytest.raises(MessageError, match="too_long"):
        decode(bytes(MAX_MESSAGE + 1))
    page = replace(snapshot_at(CHAIN, 2).pages[0], pages=MAX_PAGES + 1)
    direct = Direct()
    direct.hear(replace(page, check=page_check(page)))
    assert direct.core.counts["refused_too_long"] == 1


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(number=-1, chain=bytes(16)),
        Heartbeat(number=1, chain=bytes(15)),
        Heartbeat(number=1, chain=bytes(16), confirmed_age=-2),
        Follow(number=1, chain=b""),
        Revisions(bodies=(), chain=bytes(17)),
    ],
    ids=["number", "short chain", "age", "no chain", "long chain"],
)
def test_fields_out_of_bounds_are_refused(message: Heartbeat | Follow | Revisions) -> None:
    with pytest.raises(MessageError, match="bad_field"):
        decode(encode(message))


def newer_revision() -> SealedRevision:
    """Revision 2 as a newer program writes it: fields in the revision and its change that are not known
    here."""
    change = msgspec.msgpack.decode(msgspec.msgpack.encode(CHAIN[1].revision.changes[0]))
    whole = msgspec.msgpack.decode(CHAIN[1].body)
    whole |= {"changes": [{**change, "approved_by": ["x", "y"]}], "signature": b"\x00\x01"}
    return unseal(msgspec.msgpack.encode(whole))


def test_fields_of_a_newer_program_are_passed_on_to_the_byte() -> None:
    newer = newer_revision()
    assert newer.body != CHAIN[1].body
    body = msgspec.msgpack.encode(
        {**msgspec.msgpack.decode(encode(revisions(newer))), "priority": 3},
    )
    direct = Direct(History(CHAIN[0].position, document_at(CHAIN, 1)))
    assert direct.hear_bytes(body)
    (received,) = direct.all_of(Received)
    assert received.revisions[0].body == newer.body
    passed_on = direct.history.after(1)
    assert passed_on == revisions(newer)
    assert direct.history.position.chain == newer.chain


# A source.


def source_at(number: int, window: int = 512) -> SourceCore:
    history = History(window_revisions=window)
    for sealed in LONG[:number]:
        history.append(sealed)
    return SourceCore("c0", history, Subtree(), Times(), 0)


def test_one_message_at_a_time_to_each_follower() -> None:
    source = source_at(1)
    source.connected(0, 1, "p0")
    source.heard(0, 1, Follow(number=0, chain=bytes(16)))
    sent = []
    for now in range(10):
        actions = source.take_actions()
        assert len(actions) <= 1
        sent += [type(one.message).__name__ for one in actions]
        assert not source.take_actions()
        source.advanced(now)
        assert not source.take_actions(), "the last message is not written yet"
        source.written(now, 1)
    assert sent == ["Heartbeat", "Revisions"]


def test_followers_share_one_snapshot_and_none_is_held_after_that() -> None:
    source = source_at(2, window=1)
    for connection in (1, 2, 3):
        source.connected(0, connection, f"p{connection}")
        source.heard(0, connection, Follow(number=0, chain=bytes(16)))
    source.take_actions()
    pages: list[SnapshotPage] = []
    for _ in range(10):
        for connection in (1, 2, 3):
            source.written(0, connection)
        pages += [one.message for one in source.take_actions() if isinstance(one, Send)]
    assert len(pages) == 3 * pages[0].pages and pages[0].pages > 2
    assert len({id(page) for page in pages}) == pages[0].pages
    assert source.history._snapshot is not None
    del pages
    assert source.history._snapshot() is None


def test_a_slow_or_silent_follower_is_left() -> None:
    times = Times()
    source = source_at(2)
    for connection in (1, 2):
        source.connected(0, connection, f"p{connection}")
        source.heard(0, connection, Follow(number=2, chain=LONG[1].chain))
    for now in range(0, times.follower_silent + 3 * times.heartbeat, times.heartbeat):
        source.tick(now)
        source.written(now, 2)
    assert source.counts == {"followers_too_slow": 1, "followers_silent": 1}
    assert source.followers == []
