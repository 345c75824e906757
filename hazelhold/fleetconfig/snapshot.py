"""Snapshots: the whole document at one position, in pages, and their assembly on the other side. No I/O.

Pages are taken in order into an assembly of their own; nothing that is in use is touched before the last page
is there and the document's checksum is right.
"""

from hashlib import blake2b
from typing import Literal

import msgspec

from hazelhold.fleetconfig.document import CHECKSUM_BYTES, Document, Put, item_size
from hazelhold.fleetconfig.messages import PAGE_BYTES, SnapshotPage
from hazelhold.fleetconfig.revision import Position, RevisionError

MAX_PAGES = 2048
MAX_SNAPSHOT = 64 << 20  # bytes of all names and values together

_ENCODER = msgspec.msgpack.Encoder()


class Snapshot:
    """An immutable copy of a document in pages, shared by all followers that are sent it."""

    __slots__ = ("position", "pages", "__weakref__")

    def __init__(self, position: Position, document: Document) -> None:
        self.position = position
        groups = _split(document.puts())
        self.pages = tuple(
            _page(position, document.checksum, number, len(groups), tuple(items))
            for number, items in enumerate(groups)
        )


def page_check(page: SnapshotPage) -> bytes:
    """The checksum of all of the page's other fields."""
    fields = (page.number, page.chain, page.content, page.page, page.pages, page.items)
    return blake2b(_ENCODER.encode(fields), digest_size=CHECKSUM_BYTES).digest()


def _split(puts: list[Put]) -> list[list[Put]]:
    groups: list[list[Put]] = [[]]
    size = 0
    for put in puts:
        added = item_size(put.name, put.value)
        if groups[-1] and size + added > PAGE_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(put)
        size += added
    return groups


def _page(position: Position, content: bytes, page: int, pages: int, items: tuple[Put, ...]) -> SnapshotPage:
    made = SnapshotPage(
        number=position.number,
        chain=position.chain,
        content=content,
        page=page,
        pages=pages,
        items=items,
        check=b"",
    )
    return msgspec.structs.replace(made, check=page_check(made))


class Assembly:
    """Pages of one snapshot on their way in, from one source."""

    def __init__(self) -> None:
        self._head: SnapshotPage | None = None
        self._items: list[Put] = []
        self._next = 0
        self._bytes = 0

    def take(self, page: SnapshotPage) -> Literal["taken", "duplicate", "gap", "complete"]:
        """Takes a page. After "complete", `document` gives the whole. RevisionError `damaged_page` or
        `too_long`; the assembly is empty then."""
        try:
            return self._take(page)
        except RevisionError:
            self.clear()
            raise

    def document(self) -> Document:
        """The assembled document, after the last page. RevisionError `wrong_content` if it is not what the
        pages promise."""
        document = Document(self._items)
        promised = self._head.content if self._head else b""
        self.clear()
        if document.checksum != promised:
            raise RevisionError("wrong_content", "the snapshot's items have another checksum than it says")
        return document

    def clear(self) -> None:
        """Forgets all pages."""
        self._head, self._items, self._next, self._bytes = None, [], 0, 0

    def _take(self, page: SnapshotPage) -> Literal["taken", "duplicate", "gap", "complete"]:
        if page.check != page_check(page) or page.page >= page.pages:
            raise RevisionError("damaged_page", f"page {page.page} of a snapshot is damaged")
        if page.pages > MAX_PAGES:
            raise RevisionError("too_long", f"a snapshot of {page.pages} pages; {MAX_PAGES} are allowed")
        if self._head is None or not _same_snapshot(self._head, page):
            if page.page:
                return "gap"
            self.clear()
            self._head = page
        if page.page != self._next:
            return "duplicate" if page.page < self._next else "gap"
        self._items += page.items
        self._next += 1
        self._bytes += sum(len(put.name) + len(put.value) for put in page.items)
        if self._bytes > MAX_SNAPSHOT:
            raise RevisionError("too_long", f"a snapshot of more than {MAX_SNAPSHOT} bytes")
        return "complete" if self._next == page.pages else "taken"


def _same_snapshot(one: SnapshotPage, other: SnapshotPage) -> bool:
    return (one.number, one.chain, one.content, one.pages) == (
        other.number,
        other.chain,
        other.content,
        other.pages,
    )
