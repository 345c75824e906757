"""Revisions in their compact form: what comes out is what went in, to the byte, and nothing else is taken."""

import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.fleetconfig import packed as form
from hazelhold.fleetconfig.codec import MAX_MESSAGE, MessageError, decode, encode
from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.messages import PAGE_BYTES, Follow, PackedRevisions
from hazelhold.fleetconfig.packed import MAX_PLAIN, MAX_ROWS, RAW_DEFLATE, Packer, pack, unpack
from hazelhold.fleetconfig.revision import Change, Position, Revision, RevisionError, SealedRevision, seal
from hazelhold.fleetconfig.revision import unseal as unseal_body
from hazelhold.fleetconfig.spread_actions import Send
from tests.spread_rig import Direct, chain_of, document_at, fork, item, packed, revisions

CHAIN = chain_of(*([item(f"teams/t{n % 3}", {"quota": n})] for n in range(12)))

names = st.sampled_from(["teams/a", "teams/b", "kinds/k", "x"])
puts = st.builds(Put, names, st.integers(-5, 5).map(canonical))
changes = st.builds(
    Change,
    id=st.text(min_size=1, max_size=5),
    base=st.integers(0, 2**62),
    author=st.text(max_size=3),
    puts=st.lists(puts, max_size=3).map(tuple),
    removals=st.lists(names, max_size=2).map(tuple),
)
steps = st.lists(
    st.tuples(st.lists(changes, min_size=1, max_size=3), st.integers(-(2**40), 2**60)), min_size=1, max_size=8
)


def sealed_chain(drawn: list[tuple[list[Change], int]]) -> list[SealedRevision]:
    position, document, made = Position(), Document(), []
    for of_one, committed_at in drawn:
        content = document.checksum_after([change.edit for change in of_one])
        made.append(
            seal(
                Revision(
                    number=position.number + 1,
                    parent=position.chain,
                    content=content,
                    changes=tuple(of_one),
                    committed_at=committed_at,
                )
            )
        )
        document.apply(made[-1].revision.edits)
        assert document.checksum == content
        position = made[-1].position
    return made


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps, st.data())
def test_what_comes_out_is_what_went_in_to_the_byte(drawn: list, data: st.DataObject) -> None:
    chain = sealed_chain(drawn)
    first = data.draw(st.integers(0, len(chain) - 1))
    here = data.draw(st.integers(first, len(chain)))
    message = decode(encode(packed(*chain[first:])))
    assert isinstance(message, PackedRevisions)
    position = chain[here - 1].position if here else Position()
    document = document_at(chain, here)
    before = dict(document.items), document.checksum
    assert [one.body for one in unpack(message, position, document)] == [one.body for one in chain[here:]]
    assert (document.items, document.checksum) == before, "the document was changed"
    assert form.last_number(message) == len(chain)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps, st.integers(0, 10**6), st.integers(1, 255))
def test_a_damaged_byte_gives_nothing_else(drawn: list, at: int, flip: int) -> None:
    chain = sealed_chain(drawn)
    body = bytearray(encode(packed(*chain)))
    body[at % len(body)] ^= flip
    try:
        message = decode(bytes(body))
        assert isinstance(message, PackedRevisions)
        found = unpack(message, Position(), Document())
    except (MessageError, RevisionError, AssertionError):
        return
    assert [one.body for one in found] == [one.body for one in chain]


def test_a_revision_with_fields_that_are_not_known_travels_as_it_is() -> None:
    fields = msgspec.msgpack.decode(CHAIN[1].body)
    newer = unseal_body(msgspec.msgpack.encode({**fields, "hue": "green"}))
    assert pack([newer]) is None
    made = pack([CHAIN[0], newer])
    assert made is not None and made.count == 1


def test_another_chain_is_not_taken_and_the_plain_form_is_asked_for_once() -> None:
    direct = Direct()
    direct.hear(revisions(*CHAIN[:2]))
    for _ in range(2):
        direct.hear(packed(*fork(CHAIN)[2:4]))
    assert direct.history.position == CHAIN[1].position
    counts = direct.core.counts
    assert (counts["refused_damaged_pack"], counts["refused_unexpected"]) == (1, 1)
    asked = [action.message for action in direct.all_of(Send) if isinstance(action.message, Follow)]
    assert [one.packed for one in asked] == [True, False, True], "a new connection is asked for both again"


def test_a_pack_before_what_is_here_is_held_against_it() -> None:
    direct = Direct()
    direct.hear(revisions(*CHAIN[:6]))
    direct.hear(packed(*CHAIN[:3]))
    assert direct.core.counts["duplicates"] == 1
    direct.hear(packed(*fork(CHAIN)[:3]))
    assert direct.core.counts["refused_contradiction"] == 1


def test_who_cannot_unpack_as_it_was_packed_goes_on_with_the_plain_form(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A program that encodes a field otherwise: its followers lose bytes, not revisions."""

    def otherwise(revision: Revision) -> SealedRevision:
        return seal(msgspec.structs.replace(revision, committed_at=revision.committed_at + 1))

    monkeypatch.setattr(form, "seal", otherwise)
    direct = Direct()
    direct.hear(packed(*CHAIN[:3]))
    assert direct.history.position.number == 0
    direct.hear(revisions(*CHAIN[:3]))
    assert direct.history.position == CHAIN[2].position


def deflated(plain: bytes) -> bytes:
    stream = zlib.compressobj(wbits=RAW_DEFLATE)
    return stream.compress(plain) + stream.flush()


@pytest.mark.parametrize(
    ("rows", "code"),
    [
        (b"", "unreadable"),
        (b"\xff\xff\xff", "unreadable"),
        (deflated(b"\x80"), "unreadable"),
        (deflated(b"\x90"), "unreadable"),
        (deflated(b"\x91\x92\x01\x90")[:-1], "unreadable"),
        (deflated(b"\x91\x92\x01\x90") + b"x", "unreadable"),
        (deflated(b"\x91\x92\xcf" + b"\xff" * 8 + b"\x90"), "damaged_pack"),
        (deflated(b"\x92" + b"\x92\xcf" + b"\xff" * 8 + b"\x90" + b"\x92\x01\x90"), "unreadable"),
        (deflated(bytes(MAX_PLAIN + 1)), "bomb"),
        (deflated(b"\xdc" + (MAX_ROWS + 1).to_bytes(2) + b"\x92\x00\x90" * (MAX_ROWS + 1)), "bomb"),
    ],
)
def test_bad_input_is_refused_with_its_reason(rows: bytes, code: str) -> None:
    message = PackedRevisions(first=1, chain=bytes(16), rows=rows)
    with pytest.raises(RevisionError) as refused:
        unpack(message, Position(), Document())
    assert refused.value.code == code


def test_numbers_past_all_bounds_are_refused() -> None:
    for first in (2**63, 2**64 - 1):
        message = msgspec.structs.replace(packed(*CHAIN), first=first)
        with pytest.raises(RevisionError, match="gap"):
            unpack(message, Position(), Document())
    with pytest.raises(RevisionError, match="unreadable"):
        unpack(msgspec.structs.replace(packed(*CHAIN), first=2**64 - 1), Position(2**64 - 2), Document())
    with pytest.raises(MessageError, match="first is negative"):
        decode(encode(msgspec.structs.replace(packed(*CHAIN), first=-1)))


def test_the_largest_pack_is_within_a_message() -> None:
    big = chain_of(*([item(f"teams/t{n}", "x" * 50_000)] for n in range(8)))
    made = pack(big)
    assert made is None or len(encode(made.message)) < MAX_MESSAGE
    assert pack(big[:3]) is not None
    assert PAGE_BYTES < MAX_PLAIN < MAX_MESSAGE


def test_followers_at_the_same_place_share_one_message() -> None:
    packer = Packer()
    one = packer.pack(CHAIN[:4])
    assert packer.pack(CHAIN[:4]) is one
    assert packer.pack(CHAIN[:5]) is not one
    for first in range(10):
        packer.pack(CHAIN[first:])
    assert len(packer._kept) <= form.KEPT
