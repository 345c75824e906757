"""Revisions in a compact form for connections, without loss. No I/O.

What the receiver can work out is left out: the number, the parent's and the content's checksum of each
revision, and field names; the rest is deflated, many revisions together. The receiver encodes each revision
anew on top of what it has. Only the chain checksum of the last one travels: it covers the last revision's
bytes, these its parent's checksum, and so on down to the position that the receiver has itself. If it is not
the one that comes out, nothing is taken.

A revision whose bytes this program would not encode so (a newer one has written fields into it that are not
known here) cannot be packed, and travels as it is.
"""

import zlib
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from msgspec import Struct

from hazelhold.fleetconfig.document import Document, Preview, Put
from hazelhold.fleetconfig.messages import PAGE_BYTES, PackedRevisions
from hazelhold.fleetconfig.revision import (
    MAX_REVISION,
    Change,
    Position,
    Revision,
    RevisionError,
    SealedRevision,
    is_reproducible,
    seal,
)

MAX_ROWS = 1024  # revisions in one message
MAX_PLAIN = MAX_REVISION + 2 * PAGE_BYTES  # bytes of the rows before they are deflated
RAW_DEFLATE = -15  # window of 32 KiB, without a header or a checksum of its own
KEPT = 4  # packed messages that are kept for other followers at the same place


class PackedChange(Struct, frozen=True, array_like=True):
    """A `Change`; `back` is how many revisions before its own the writer had seen less than the last."""

    id: str
    back: int
    author: str
    puts: tuple[Put, ...]
    removals: tuple[str, ...]


class PackedRow(Struct, frozen=True, array_like=True):
    """A revision; `elapsed` is the time of its commit after that of the row before, microseconds."""

    elapsed: int
    changes: tuple[PackedChange, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[PackedRow, ...])


class Packed(NamedTuple):
    """A message and how many revisions it carries."""

    message: PackedRevisions
    count: int


def pack(sealed: Sequence[SealedRevision]) -> Packed | None:
    """As many of these consecutive revisions, from the first on, as can be packed; None if the first cannot
    be."""
    rows: list[PackedRow] = []
    before = 0
    for each in sealed[:MAX_ROWS]:
        if not is_reproducible(each):
            break
        rows.append(_row(each.revision, before))
        before = each.revision.committed_at
    plain = _ENCODER.encode(rows)
    if not rows or len(plain) > MAX_PLAIN:
        return None
    first, last = sealed[0].revision.number, sealed[len(rows) - 1].chain
    return Packed(PackedRevisions(first=first, chain=last, rows=_deflated(plain)), len(rows))


def unpack(message: PackedRevisions, position: Position, document: Document) -> list[SealedRevision]:
    """The message's revisions that come after this position, at which the document is. None are if the
    message ends before it.

    RevisionError: `bomb` (more inflated bytes or rows than allowed), `unreadable`, `gap` (begins after the
    next revision) or `damaged_pack` (another last revision comes out than it promises).
    """
    rows = _read(message.rows)
    if message.first > position.number + 1:
        raise RevisionError("gap", f"revisions from {message.first} on where {position.number} is here")
    try:
        found = _build(message.first, rows, position, document)
    except (OverflowError, msgspec.MsgspecError) as wrong:
        raise RevisionError("unreadable", f"packed revisions with impossible numbers: {wrong}") from None
    if found:
        check_last(found[-1], message)
    return found


def check_last(last: SealedRevision, message: PackedRevisions) -> None:
    """RevisionError `damaged_pack` unless this is the revision with which the message promises to end."""
    if last.chain != message.chain:
        raise RevisionError(
            "damaged_pack", f"packed revisions up to {last.revision.number} do not give the one promised"
        )


def last_number(message: PackedRevisions) -> int:
    """The number of the message's last revision. RevisionError as with `unpack`."""
    return message.first + len(_read(message.rows)) - 1


class Packer:
    """Packs once for all followers that are at the same place."""

    def __init__(self) -> None:
        self._kept: dict[tuple[bytes, bytes], Packed | None] = {}

    def pack(self, sealed: Sequence[SealedRevision]) -> Packed | None:
        """As `pack`, kept by the first and the last revision."""
        key = sealed[0].chain, sealed[-1].chain
        if key not in self._kept:
            while len(self._kept) >= KEPT:
                del self._kept[next(iter(self._kept))]
            self._kept[key] = pack(sealed)
        return self._kept[key]


def _row(revision: Revision, before: int) -> PackedRow:
    changes = tuple(
        PackedChange(
            change.id, revision.number - 1 - change.base, change.author, change.puts, change.removals
        )
        for change in revision.changes
    )
    return PackedRow(revision.committed_at - before, changes)


def _build(
    first: int, rows: Sequence[PackedRow], position: Position, document: Document
) -> list[SealedRevision]:
    found: list[SealedRevision] = []
    preview, parent, committed_at = Preview(document), position.chain, 0
    for number, row in enumerate(rows, first):
        committed_at += row.elapsed
        if number <= position.number:
            continue
        changes = tuple(_change(change, number) for change in row.changes)
        for change in changes:
            preview.apply(change.edit)
        sealed = seal(
            Revision(
                number=number,
                parent=parent,
                content=preview.checksum,
                changes=changes,
                committed_at=committed_at,
            )
        )
        found.append(sealed)
        parent = sealed.chain
    return found


def _change(packed: PackedChange, number: int) -> Change:
    return Change(
        id=packed.id,
        base=number - 1 - packed.back,
        author=packed.author,
        puts=packed.puts,
        removals=packed.removals,
    )


def _read(deflated: bytes) -> tuple[PackedRow, ...]:
    try:
        rows = _DECODER.decode(inflated(deflated, MAX_PLAIN))
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
        raise RevisionError("unreadable", f"no packed revisions: {wrong}") from None
    if not rows:
        raise RevisionError("unreadable", "no revision is in the message")
    if len(rows) > MAX_ROWS:
        raise RevisionError("bomb", f"{len(rows)} packed revisions; {MAX_ROWS} are allowed")
    return rows


def inflated(deflated: bytes, most: int) -> bytes:
    """The plain bytes. RevisionError `bomb` if they are more than `most`; no more than that is ever made.
    zlib.error if it is no deflated stream or only the beginning of one."""
    stream = zlib.decompressobj(RAW_DEFLATE)
    plain = stream.decompress(deflated, most + 1)
    if len(plain) > most:
        raise RevisionError("bomb", f"packed revisions of more than {most} bytes")
    if not stream.eof or stream.unused_data:
        raise zlib.error("the stream does not end with the message")
    return plain


def _deflated(plain: bytes) -> bytes:
    stream = zlib.compressobj(wbits=RAW_DEFLATE)
    return stream.compress(plain) + stream.flush()
