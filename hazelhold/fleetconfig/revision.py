"""Revisions: immutable steps of the document, each naming the one before by checksum, so that they form one
chain.

A revision travels and is stored as the bytes that its committer encoded: whoever passes it on changes none
of them, also not fields that only a newer program knows. No I/O.
"""

from collections import Counter
from hashlib import blake2b
from typing import NamedTuple

import msgspec
from msgspec import Struct

from hazelhold.fleetconfig.document import CHECKSUM_BYTES, Document, Edit, Fault, Put, item_faults

MAX_REVISION = 256 << 10  # bytes of one encoded revision
MAX_EDITS = 1000  # items that one change touches
MAX_ID = 100  # characters of a change's id and its author
START = bytes(CHECKSUM_BYTES)  # the chain checksum before the first revision


class Change(Struct, frozen=True, omit_defaults=True, kw_only=True):
    """What a writer asks for, carried out whole or refused whole.

    `id` names this asking: the same id is never carried out twice. `base` is the revision that the writer
    had seen: the change conflicts if any item that it touches was changed after it (compare-and-set by
    item).
    """

    id: str
    base: int
    author: str = ""
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()

    @property
    def edit(self) -> Edit:
        return Edit(self.puts, self.removals)

    def names(self) -> list[str]:
        """Every item that the change touches."""
        return [*(put.name for put in self.puts), *self.removals]


class Revision(Struct, frozen=True, kw_only=True):
    """One step of the agreed order: the changes that it carries out, in order."""

    number: int  # from 1, without gaps
    parent: bytes  # chain checksum of the revision before
    content: bytes  # checksum of the document after it
    changes: tuple[Change, ...]
    committed_at: int = 0  # wall clock of the committing machine, microseconds: for people, decides nothing

    @property
    def edits(self) -> list[Edit]:
        return [change.edit for change in self.changes]


class Position(NamedTuple):
    """A place in the agreed order: the last revision's number and chain checksum."""

    number: int = 0
    chain: bytes = START


class SealedRevision(NamedTuple):
    """A revision with the bytes that it was decoded from. `chain` is the checksum of these bytes."""

    body: bytes
    revision: Revision
    chain: bytes

    @property
    def position(self) -> Position:
        return Position(self.revision.number, self.chain)


class RevisionError(Exception):
    """A revision that cannot be taken. `code` is one word for counters, `text` is for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code, self.text = code, text


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Revision)


def seal(revision: Revision) -> SealedRevision:
    """Encodes a revision for good."""
    body = _ENCODER.encode(revision)
    return SealedRevision(body, revision, _chain(body))


def is_reproducible(sealed: SealedRevision) -> bool:
    """Whether this program would encode the revision to the same bytes: it knows all that is in them."""
    return _ENCODER.encode(sealed.revision) == sealed.body


def unseal(body: bytes) -> SealedRevision:
    """Reads an encoded revision. RevisionError `too_long` or `unreadable` if it is none."""
    if len(body) > MAX_REVISION:
        raise RevisionError("too_long", f"a revision of {len(body)} bytes; {MAX_REVISION} are allowed")
    try:
        revision = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
        raise RevisionError("unreadable", f"no revision: {wrong}") from None
    return SealedRevision(body, revision, _chain(body))


def _chain(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).digest()


def check_next(position: Position, document: Document, sealed: SealedRevision) -> None:
    """Raises RevisionError unless the revision follows this position and leaves the document that it
    promises.

    Codes: `gap` (another number is next), `other_chain` (its parent is another revision), `wrong_content`.
    """
    revision = sealed.revision
    if revision.number != position.number + 1:
        raise RevisionError("gap", f"revision {revision.number} came where {position.number + 1} is next")
    if revision.parent != position.chain:
        raise RevisionError("other_chain", f"revision {revision.number} does not follow the one that is here")
    if document.checksum_after(revision.edits) != revision.content:
        raise RevisionError(
            "wrong_content", f"revision {revision.number} leaves another document than it says"
        )


def change_faults(change: Change) -> list[Fault]:
    """What is wrong with a change by itself; what it does to the document is for `validation`."""
    faults = [
        Fault("", f"{field} has {len(text)} characters; 1 to {MAX_ID} are allowed")
        for field, text in (("id", change.id), ("author", change.author))
        if len(text) > MAX_ID or (field == "id" and not text)
    ]
    names = change.names()
    if not names:
        faults.append(Fault("", "touches no item"))
    if len(names) > MAX_EDITS:
        faults.append(Fault("", f"touches {len(names)} items; {MAX_EDITS} are allowed"))
        return faults
    touched = Counter(names)
    faults += [Fault(name, "is touched twice") for name in sorted(touched) if touched[name] > 1]
    if change.base < 0:
        faults.append(Fault("", f"base {change.base} is no revision"))
    for put in change.puts:
        faults += item_faults(put)
    return faults
