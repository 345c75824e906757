"""Each argument for the safety of packed revisions: a scenario that holds, and a variant that it catches."""

import tracemalloc
import zlib

import pytest
from msgspec.structs import replace

from hazelhold.fleetconfig import follower, history
from hazelhold.fleetconfig import packed as packed_form
from hazelhold.fleetconfig.codec import encode
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.messages import PackedRevisions
from hazelhold.fleetconfig.packed import MAX_PLAIN, RAW_DEFLATE
from hazelhold.fleetconfig.revision import Position, SealedRevision
from hazelhold.fleetconfig.spread_actions import PutInForce
from tests.broken_variants import Variant, assert_caught, patched
from tests.spread_rig import Direct, fork, packed, revisions
from tests.test_fleetconfig_spread_broken import CHAIN, assert_of_the_chain, flipped

# Scenarios.


def damaged_bytes_of_packed_revisions() -> None:
    whole = encode(packed(*CHAIN[1:]))
    for at in range(len(whole)):
        direct = Direct()
        direct.hear(revisions(CHAIN[0]))
        direct.hear_bytes(flipped(whole, at))
        assert_of_the_chain(direct)


def packed_revisions_of_another_chain() -> None:
    direct = Direct()
    direct.hear(revisions(*CHAIN[:2]))
    direct.hear(packed(*fork(CHAIN)[1:]))
    assert_of_the_chain(direct)
    direct.hear(revisions(CHAIN[2]))
    assert direct.history.position == CHAIN[2].position


def packed_revisions_over_some_that_are_here() -> None:
    direct = Direct()
    direct.hear(revisions(*CHAIN[:2]))
    direct.hear(packed(*CHAIN))
    assert_of_the_chain(direct)
    assert direct.history.position == CHAIN[2].position
    numbers = [one.position.number for one in direct.all_of(PutInForce)]
    assert numbers == [2, 3]


def packed_revisions_after_a_gap() -> None:
    direct = Direct()
    direct.hear(revisions(CHAIN[0]))
    direct.hear(packed(CHAIN[2]))
    assert direct.history.position == CHAIN[0].position
    assert not direct.core.counts["refused_damaged_pack"], "a gap is taken for damage"


def bomb() -> None:
    """Some hundred bytes that would be 64 MB."""
    plain = bytes(MAX_PLAIN)
    stream = zlib.compressobj(9, wbits=RAW_DEFLATE)
    rows = b"".join(stream.compress(plain) for _ in range(200)) + stream.flush()
    direct = Direct()
    direct.hear(revisions(CHAIN[0]))
    tracemalloc.start()
    direct.hear(replace(packed(CHAIN[1]), rows=rows))
    _, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert most < 4 * MAX_PLAIN
    assert direct.core.counts["refused_bomb"] == 1
    assert direct.history.position == CHAIN[0].position


# Broken variants.


def no_check(position: Position, document: Document, sealed: SealedRevision) -> None:
    """Takes anything."""


def inflate_all(deflated: bytes, most: int) -> bytes:
    return zlib.decompress(deflated, RAW_DEFLATE)


def pack_from_where_it_begins(message: PackedRevisions, position: Position, document: Document) -> list:
    """Builds all rows on what is here, also those that are here already."""
    rows = packed_form._read(message.rows)
    before = position._replace(number=message.first - 1)
    return packed_form._build(message.first, rows, before, document)


def pack_over_a_gap(message: PackedRevisions, position: Position, document: Document) -> list:
    rows = packed_form._read(message.rows)
    return packed_form._build(message.first, rows, position, document)


def last_not_compared(last: SealedRevision, message: PackedRevisions) -> None:
    """Whatever comes out is taken."""


VARIANTS: dict[str, Variant] = {
    "packed: last chain checksum not compared": Variant(
        damaged_bytes_of_packed_revisions,
        patched((packed_form, "check_last", last_not_compared)),
    ),
    "packed: another chain": Variant(
        packed_revisions_of_another_chain,
        patched((packed_form, "check_last", last_not_compared)),
    ),
    "packed: rows that are here built again": Variant(
        packed_revisions_over_some_that_are_here,
        patched((follower, "unpack", pack_from_where_it_begins)),
    ),
    "packed: built over a gap": Variant(
        packed_revisions_after_a_gap,
        patched((follower, "unpack", pack_over_a_gap), (history, "check_next", no_check)),
    ),
    "packed: inflated without a bound": Variant(bomb, patched((packed_form, "inflated", inflate_all))),
}


@pytest.mark.parametrize("name", VARIANTS)
def test_the_scenario_holds(name: str) -> None:
    VARIANTS[name].scenario()


@pytest.mark.parametrize("name", VARIANTS)
def test_the_broken_variant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert_caught(VARIANTS[name], monkeypatch)
