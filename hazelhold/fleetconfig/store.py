"""The durable copy of the configuration on one machine: the document at a position, and the revisions before
it that others may still ask for.

It rests on `hazelhold.state`: snapshots with logs, each batch a frame with a checksum. What one step changes
is one batch, so that a revision is there whole or not at all, and a crash at any byte leaves a prefix of the
batches. What was read is checked against the checksums of its own position: files that fit their frames but
not each other count as damage. Called from one place; no trio here.

A planner may have received a revision that it has not put in force. Then the document in force is kept as its
differences from the one received: by item, the value before (`BeforeImage`).
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from msgspec import Struct

from hazelhold.fleetconfig.document import Document, Edit, Put
from hazelhold.fleetconfig.revision import (
    START,
    Position,
    RevisionError,
    SealedRevision,
    unseal,
)
from hazelhold.state.disk import Disk
from hazelhold.state.images import Change, drop, put
from hazelhold.state.state_table import StateTable
from hazelhold.state.store import Store

KEEP = 1000  # revisions kept behind the position, for followers that were away


class PositionImage(Struct, array_like=True, frozen=True):
    """Which revision the items are the document of, and that document's checksum."""

    number: int
    chain: bytes
    content: bytes


class ItemImage(Struct, array_like=True, frozen=True):
    """One item's value. Its key is the item's name."""

    value: bytes


class RevisionImage(Struct, array_like=True, frozen=True):
    """One encoded revision. Its key is its number."""

    body: bytes


class BeforeImage(Struct, array_like=True, frozen=True):
    """An item of the document in force where the one received differs. Its key is the item's name."""

    value: bytes
    is_there: bool


KINDS: dict[str, type[Struct]] = {
    "position": PositionImage,
    "in_force": PositionImage,
    "before": BeforeImage,
    "item": ItemImage,
    "revision": RevisionImage,
}


class Stored(NamedTuple):
    """What a folder holds. `revisions` ends at the position and has no gaps; `notes` names what could not be
    used, one line for each; `complete` is False if something that was safe here may be missing. `in_force` is
    the document that was in force last, with its position; None if it is that at `position`, or not known.
    """

    position: Position
    document: Document
    revisions: tuple[SealedRevision, ...]
    complete: bool
    notes: tuple[str, ...]
    in_force: tuple[Position, Document] | None = None


class RevisionStore:
    """One machine's copy. `open` first; then each step's changes come from `append` or `replace`, and count
    once whoever writes them (`writer.StoreWriter`) has made them safe."""

    def __init__(self, disk: Disk, name: str, keep: int = KEEP) -> None:
        self.files = Store(disk, name, KINDS)
        self.keep = keep
        self.position = Position()  # with all changes that were handed out
        self.oldest = 1  # number of the first revision that is kept
        self.values: dict[str, bytes] = {}  # the items at the position
        self.in_force: Position | None = None  # None: not told in any life
        self.before: dict[str, bytes | None] = {}  # differences of the document in force

    def open(self, wall: int, text: str) -> Stored:
        """Takes the folder and reads it. StateError if it is in use, another machine's or of a newer program.
        Nothing is written; `begin` of `files` does that."""
        found = self.files.open(wall, text)
        stored = read_ledger(found.state_table, found.complete, found.notes)
        if not stored.complete and stored.position == Position():
            found.state_table.apply(_all_dropped(found.state_table))  # none of it fits: nothing of it is kept
        self.position, self.values = stored.position, dict(stored.document.items)
        self.oldest = stored.position.number - len(stored.revisions) + 1
        self._open_in_force(stored)
        wanted = {_key(r.revision.number) for r in stored.revisions}
        tables = found.state_table.tables
        found.state_table.apply([drop("revision", key) for key in tables["revision"] if key not in wanted])
        return stored

    def _open_in_force(self, stored: Stored) -> None:
        state_table, kept = self.files.state_table, self.files.state_table.tables["before"]
        if stored.in_force is not None:
            self.in_force, document = stored.in_force
            self.before = {name: document.items.get(name) for name in kept}  # also where it is the same again
            return
        image = state_table.image("in_force", "")
        if image is not None and (image.number, image.chain) == stored.position:
            self.in_force = stored.position
        else:
            state_table.apply([drop("in_force", key) for key in state_table.tables["in_force"]])
        state_table.apply([drop("before", name) for name in kept])

    def append(self, revisions: Sequence[SealedRevision]) -> list[Change]:
        """The changes that lead on by these revisions, which follow the position. ValueError if they do
        not."""
        changes: dict[tuple[str, str], Change] = {}
        for sealed in revisions:
            revision = sealed.revision
            if (revision.number, revision.parent) != (self.position.number + 1, self.position.chain):
                raise ValueError(f"revision {revision.number} does not follow {self.position.number}")
            self._step(sealed, changes)
        return list(changes.values())

    def put_in_force(self, position: Position, document: Document) -> list[Change]:
        """The changes that note that this document is in force now. Work grows with what differs from the
        position's document, and with all items if it is not that one."""
        before = {} if position == self.position else _differences(document.items, self.values)
        changes = [drop("before", name) for name in self.before if name not in before]
        changes += [_before(name, value) for name, value in before.items()]
        changes.append(put("in_force", "", PositionImage(*position, document.checksum)))
        self.in_force, self.before = position, before
        return changes

    def _step(self, sealed: SealedRevision, changes: dict[tuple[str, str], Change]) -> None:
        revision, made = sealed.revision, []
        for edit in revision.edits:
            for each in edit.puts:
                made += self._set(each.name, each.value)
            for name in edit.removals:
                made += self._set(name, None)
        made.append(put("revision", _key(revision.number), RevisionImage(sealed.body)))
        made.append(put("position", "", PositionImage(revision.number, sealed.chain, revision.content)))
        while self.oldest <= revision.number - self.keep:
            made.append(drop("revision", _key(self.oldest)))
            self.oldest += 1
        changes.update(((change.kind, change.key), change) for change in made)
        self.position = sealed.position

    def _set(self, name: str, value: bytes | None) -> list[Change]:
        """The changes of one item, and of what is kept of the document in force."""
        old, made = self.values.get(name), []
        if self.in_force is not None and name not in self.before:
            self.before[name] = old
            made.append(_before(name, old))
        if value is None:
            self.values.pop(name, None)
        else:
            self.values[name] = value
        made.append(drop("item", name) if value is None else put("item", name, ItemImage(value)))
        return made

    def replace(self, position: Position, document: Document) -> list[Change]:
        """The changes that put this document at this position in the place of all that is here."""
        made = [drop("revision", _key(n)) for n in range(self.oldest, self.position.number + 1)]
        for name in [name for name in self.values if name not in document.items]:
            made += self._set(name, None)
        for name, value in document.items.items():
            if self.values.get(name) != value:
                made += self._set(name, value)
        made.append(put("position", "", PositionImage(*position, document.checksum)))
        self.position, self.oldest = position, position.number + 1
        return list({(change.kind, change.key): change for change in made}.values())


def read_ledger(state_table: StateTable, complete: bool, notes: Iterable[str]) -> Stored:
    """What a recovered ledger means, checked against its own checksums."""
    said = list(notes)
    nothing = Stored(Position(), Document(), (), complete, tuple(said))
    try:
        image = state_table.image("position", "")
        items = [Put(name, state_table.image("item", name).value) for name in state_table.tables["item"]]
        bodies = [state_table.image("revision", key).body for key in sorted(state_table.tables["revision"])]
    except ValueError as wrong:  # msgspec's errors are among them
        return nothing._replace(complete=False, notes=(*said, f"an entry cannot be read: {wrong}"))
    if image is None:
        if not items and not bodies:
            return nothing
        return nothing._replace(complete=False, notes=(*said, "there are items without a position"))
    document, position = Document(items), Position(image.number, image.chain)
    if document.checksum != image.content:
        wrong = f"the items are not those of revision {image.number}: their checksum differs"
        return nothing._replace(complete=False, notes=(*said, wrong))
    revisions, gaps = _chained(position, bodies)
    in_force, wrong = _in_force(state_table, position, document)
    said += [*gaps, *wrong]
    return Stored(position, document, revisions, complete and not (gaps or wrong), tuple(said), in_force)


def _in_force(
    state_table: StateTable, position: Position, document: Document
) -> tuple[tuple[Position, Document] | None, list[str]]:
    """The document in force, if it is another one, and what is wrong with what is kept of it."""
    image = state_table.image("in_force", "")
    if image is None or (image.number, image.chain) == position:
        return None, []
    made = document.copy()
    for name in state_table.tables["before"]:
        old = state_table.image("before", name)
        made.apply([Edit((Put(name, old.value),)) if old.is_there else Edit((), (name,))])
    if made.checksum != image.content:
        return None, [f"what was in force, revision {image.number}, cannot be told: its checksum differs"]
    return (Position(image.number, image.chain), made), []


def _chained(position: Position, bodies: list[bytes]) -> tuple[tuple[SealedRevision, ...], list[str]]:
    """The revisions that lead to this position without a gap, and what is wrong with the others."""
    found: list[SealedRevision] = []
    number, chain = position
    for body in reversed(bodies):
        try:
            sealed = unseal(body)
        except RevisionError as wrong:
            return tuple(reversed(found)), [f"revision {number} cannot be read: {wrong.text}"]
        if sealed.position != (number, chain):
            return tuple(reversed(found)), [
                f"revision {number} is not the one that leads to {position.number}"
            ]
        found.append(sealed)
        number, chain = number - 1, sealed.revision.parent
    if number == 0 and chain != START:
        return (), [f"revision 1 does not begin the chain of {position.number}"]
    return tuple(reversed(found)), []


def _all_dropped(state_table: StateTable) -> list[Change]:
    return [drop(kind, key) for kind, table in state_table.tables.items() for key in table]


def _differences(items: dict[str, bytes], others: dict[str, bytes]) -> dict[str, bytes | None]:
    """By name, the value in `items` (None: it is not there) where `others` differ."""
    found = {name: value for name, value in items.items() if others.get(name) != value}
    return found | {name: None for name in others if name not in items}


def _before(name: str, value: bytes | None) -> Change:
    return put("before", name, BeforeImage(value or b"", value is not None))


def _key(number: int) -> str:
    return f"{number:020}"
