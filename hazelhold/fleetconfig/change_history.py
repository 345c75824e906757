"""What the last revisions did: the ids that they carried out and the items that they changed. No I/O.

The window ends at the last revision and begins after `floor`. A change whose base lies before it is not
carried out: whether it, or a change of its items, was carried out before the window is not known any more. As
a change is always carried out after its base, one whose base is within the window is found in it by its id.
"""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from hazelhold.fleetconfig.revision import Change, Position, SealedRevision

DIGEST_BYTES = 16
_ENCODER = msgspec.msgpack.Encoder()


def measured(change: Change) -> tuple[int, bytes]:
    """The bytes that a change takes in a revision, and a digest that tells changes with the same id apart."""
    encoded = _ENCODER.encode(change)
    return len(encoded), blake2b(encoded, digest_size=DIGEST_BYTES).digest()


class Done(NamedTuple):
    """Where a change was carried out, and which it was."""

    number: int
    digest: bytes


class _Entry(NamedTuple):
    position: Position
    ids: tuple[str, ...]
    names: tuple[str, ...]


class ChangeHistory:
    """The window of the last revisions. Bounded by revisions and by what they hold in all."""

    def __init__(self, start: Position, most_revisions: int, most_entries: int) -> None:
        self.most_revisions, self.most_entries = most_revisions, most_entries
        self.start = start  # where the window begins
        self.done: dict[str, Done] = {}  # by id
        self.changed: dict[str, int] = {}  # by item: the last revision that set or removed it
        self.entries: deque[_Entry] = deque()  # bounded by `_bound`
        self.held = 0  # ids and names in `entries`

    @property
    def floor(self) -> int:
        """The oldest base that can be judged."""
        return self.start.number

    @property
    def end(self) -> Position:
        return self.entries[-1].position if self.entries else self.start

    def add(self, sealed: SealedRevision) -> None:
        """The next revision."""
        number = sealed.revision.number
        names = dict.fromkeys(name for change in sealed.revision.changes for name in change.names())
        for change in sealed.revision.changes:
            self.done[change.id] = Done(number, measured(change)[1])
        self.changed.update(dict.fromkeys(names, number))
        ids = tuple(dict.fromkeys(change.id for change in sealed.revision.changes))
        self.entries.append(_Entry(sealed.position, ids, tuple(names)))
        self.held += len(ids) + len(names)
        self._bound()

    def position_at(self, number: int) -> Position | None:
        """The position of a revision in the window; None outside it."""
        if number == self.start.number:
            return self.start
        at = number - self.start.number - 1
        return self.entries[at].position if 0 <= at < len(self.entries) else None

    def conflicts(self, change: Change) -> list[tuple[str, int]]:
        """Items of the change that were changed after its base, and by which revision."""
        return [
            (name, number) for name in change.names() if (number := self.changed.get(name, 0)) > change.base
        ]

    def _bound(self) -> None:
        while len(self.entries) > self.most_revisions or (
            self.held > self.most_entries and len(self.entries) > 1
        ):
            entry = self.entries.popleft()
            self.start = entry.position
            self.held -= len(entry.ids) + len(entry.names)
            number = entry.position.number
            for id_ in entry.ids:
                if self.done[id_].number == number:
                    del self.done[id_]
            for name in entry.names:
                if self.changed[name] == number:
                    del self.changed[name]
