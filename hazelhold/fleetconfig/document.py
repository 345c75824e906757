"""The configuration document: named items with JSON values, and a checksum that is kept up to date by item.

A name is a path of words ("teams/payroll"). A value is canonical JSON (keys sorted, no spaces), kept as
bytes, so that what a newer program wrote is passed on to the byte. No I/O.
"""

import re
from collections.abc import Iterable, Iterator, Sequence
from hashlib import blake2b
from typing import NamedTuple

import msgspec
from msgspec import Struct

CHECKSUM_BYTES = 16
MAX_NAME = 200  # characters
MAX_VALUE = 64 << 10  # bytes of one item's JSON
MAX_DEPTH = 64  # objects and arrays within each other: readers fail at depths that differ between programs
MAX_DOCUMENT = 32 << 20  # bytes of all items, as `item_size` counts: less than a snapshot may have
ITEM_OVERHEAD = 8  # bytes of an item's encoding beside its name and value, at most
NAME = re.compile(r"[A-Za-z0-9_.-]+(/[A-Za-z0-9_.-]+)*")
MAX_FAULTS = 512 << 10  # bytes of the faults of one answer: more would not fit into a message
FAULT_OVERHEAD = 32  # bytes of a fault's encoding beside its texts, at most
_MODULUS = 1 << (8 * CHECKSUM_BYTES)


class Fault(Struct, frozen=True):
    """One thing that is wrong: the item (empty: the change as a whole) and the reason, for people."""

    item: str
    text: str


def told_faults(faults: Sequence[Fault], most_bytes: int = MAX_FAULTS) -> tuple[Fault, ...]:
    """As many as fit into so many bytes, and how many more there are."""
    size = 0
    for at, fault in enumerate(faults):
        size += len(fault.item.encode()) + len(fault.text.encode()) + FAULT_OVERHEAD
        if size > most_bytes:
            return (*faults[:at], Fault("", f"and {len(faults) - at} faults more"))
    return tuple(faults)


class Put(Struct, frozen=True, array_like=True):
    """Sets an item to a value (canonical JSON)."""

    name: str
    value: bytes


class Edit(NamedTuple):
    """What one step does to a document: items that are set, and names that are removed."""

    puts: tuple[Put, ...]
    removals: tuple[str, ...] = ()


def canonical(value: object) -> bytes:
    """The one encoding of a JSON value. msgspec.EncodeError or TypeError if it is none."""
    return msgspec.json.encode(value, order="deterministic")


def item_faults(put: Put) -> list[Fault]:
    """What is wrong with an item by itself: its name, its size, its JSON."""
    faults = []
    if len(put.name) > MAX_NAME or not NAME.fullmatch(put.name):
        faults.append(
            Fault(put.name[:MAX_NAME], "is no name: words of letters, digits, _ . - between slashes")
        )
    if len(put.value) > MAX_VALUE:
        faults.append(Fault(put.name[:MAX_NAME], f"has {len(put.value)} bytes; {MAX_VALUE} are allowed"))
    else:
        try:
            value = msgspec.json.decode(put.value)
            if _is_too_deep(value):
                text = f"has more than {MAX_DEPTH} objects and arrays within each other"
                faults.append(Fault(put.name[:MAX_NAME], text))
            elif canonical(value) != put.value:
                faults.append(Fault(put.name[:MAX_NAME], "is not canonical JSON"))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
            faults.append(Fault(put.name[:MAX_NAME], f"is not JSON: {wrong}"))
    return faults


def _is_too_deep(value: object) -> bool:
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [inner for outer in level for inner in _within(outer)]
    return any(isinstance(each, dict | list) for each in level)


def _within(value: object) -> Iterable[object]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def item_size(name: str, value: bytes | None) -> int:
    """Bytes that an item takes in a document, about; None: it is not there."""
    return 0 if value is None else len(name) + len(value) + ITEM_OVERHEAD


def _item_digest(name: str, value: bytes) -> int:
    encoded = name.encode()
    hashed = blake2b(len(encoded).to_bytes(4) + encoded + value, digest_size=CHECKSUM_BYTES)
    return int.from_bytes(hashed.digest())


class Document:
    """The items after one revision. Changed in place by `apply` alone, whole or not at all."""

    def __init__(self, items: Iterable[Put] = ()) -> None:
        self.items: dict[str, bytes] = {}
        self.size = 0  # of all items, as `item_size` counts
        self._sum = 0
        for put in items:
            self._set(put.name, put.value)

    @property
    def checksum(self) -> bytes:
        """The same for the same items, in whatever order they came; detects damage, proves no origin."""
        return self._sum.to_bytes(CHECKSUM_BYTES)

    def checksum_after(self, edits: Iterable[Edit]) -> bytes:
        """The checksum that `apply` would leave. Changes nothing; work grows with the edits alone."""
        preview = Preview(self)
        for edit in edits:
            preview.apply(edit)
        return preview.checksum

    def apply(self, edits: Iterable[Edit]) -> None:
        """Carries the edits out in order. Removing an item that is not there changes nothing."""
        for edit in edits:
            for put in edit.puts:
                self._set(put.name, put.value)
            for name in edit.removals:
                self._set(name, None)

    def copy(self) -> "Document":
        """A document of its own with the same items."""
        made = Document()
        made.items, made.size, made._sum = dict(self.items), self.size, self._sum
        return made

    def puts(self) -> list[Put]:
        """All items, by name."""
        return [Put(name, self.items[name]) for name in sorted(self.items)]

    def under(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """The items whose names begin with the prefix, such as "teams/"."""
        return ((name, value) for name, value in self.items.items() if name.startswith(prefix))

    def _set(self, name: str, value: bytes | None) -> None:
        self._sum = (self._sum + self._difference(name, value)) % _MODULUS
        self.size += item_size(name, value) - item_size(name, self.items.get(name))
        if value is None:
            self.items.pop(name, None)
        else:
            self.items[name] = value

    def _difference(self, name: str, value: bytes | None) -> int:
        return _difference(name, self.items.get(name), value)


class Preview:
    """What a document's checksum would be after one edit after another. The document is not changed, and is
    not to be changed meanwhile; work grows with the edits alone."""

    def __init__(self, document: Document) -> None:
        self._items, self._sum = document.items, int.from_bytes(document.checksum)
        self._changed: dict[str, bytes | None] = {}

    @property
    def checksum(self) -> bytes:
        return self._sum.to_bytes(CHECKSUM_BYTES)

    def apply(self, edit: Edit) -> None:
        """Carries out one more edit."""
        for put in edit.puts:
            self._set(put.name, put.value)
        for name in edit.removals:
            self._set(name, None)

    def _set(self, name: str, value: bytes | None) -> None:
        before = self._changed[name] if name in self._changed else self._items.get(name)
        self._sum = (self._sum + _difference(name, before, value)) % _MODULUS
        self._changed[name] = value


def _difference(name: str, before: bytes | None, after: bytes | None) -> int:
    """What setting an item to another value adds to the sum of digests."""
    added = 0 if after is None else _item_digest(name, after)
    return added - (0 if before is None else _item_digest(name, before))
