"""The value of the agreed register: the head of the chain, and the changes that the replica makes to it.

The head names the last committed revision and carries the tail: the encoded revisions that are not known to
be stored by a majority of the control machines. No I/O.
"""

from hashlib import blake2b
from typing import NamedTuple

import msgspec
from msgspec import Struct

from hazelhold.fleetconfig.document import CHECKSUM_BYTES
from hazelhold.fleetconfig.revision import START, Position, RevisionError, SealedRevision, unseal

FORMAT = 1  # of the head; one of a later format is left as it is
MAX_HEAD = 768 << 10  # bytes of an encoded head that is read
CHECK_BYTES = 8


class Head(Struct, frozen=True, kw_only=True):
    """What the register holds. An empty register stands for a head before the first revision."""

    format: int = FORMAT
    number: int = 0
    chain: bytes = START
    content: bytes = bytes(CHECKSUM_BYTES)  # checksum of the document
    tail: tuple[bytes, ...] = ()  # encoded revisions, in order; the last, if there is any, is the head's own

    @property
    def position(self) -> Position:
        return Position(self.number, self.chain)


class HeadError(Exception):
    """A register value that cannot be used. `code` is one word for counters, `text` is for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code, self.text = code, text


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Head)


def encode_head(head: Head) -> bytes:
    """The head with a checksum before it, so that a damaged value is never taken for another head."""
    body = _ENCODER.encode(head)
    return _check(body) + body


def decode_head(value: bytes) -> Head:
    """HeadError `damaged`, `too_long`, `later_format` or `unreadable` if the value is no head."""
    if not value:
        return Head()
    if len(value) > MAX_HEAD:
        raise HeadError("too_long", f"a head of {len(value)} bytes; {MAX_HEAD} are allowed")
    body = value[CHECK_BYTES:]
    if _check(body) != value[:CHECK_BYTES]:
        raise HeadError("damaged", "the register's value does not match its checksum")
    try:
        if (found := msgspec.msgpack.decode(body, type=_Format).format) != FORMAT:
            raise HeadError("later_format", f"the register has format {found}; known here: {FORMAT}")
        return _DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as wrong:
        raise HeadError("unreadable", f"the register's value is no head: {wrong}") from None


class _Format(Struct, frozen=True):
    format: int


def _check(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECK_BYTES).digest()


class Advance(NamedTuple):
    """Puts a revision at the head, if the register's chain is the revision's parent; keeps what is there
    otherwise, so also if the revision is there already. Revisions up to `stored` leave the tail: a majority
    of the control machines has them on disk."""

    body: bytes  # the encoded revision
    stored: int

    def __call__(self, last: bytes) -> bytes:
        try:
            head = decode_head(last)
        except HeadError:
            return last  # whoever asked finds out when it reads what was agreed
        sealed = unseal(self.body)
        if sealed.revision.parent != head.chain:
            return last
        return encode_head(
            Head(
                number=sealed.revision.number,
                chain=sealed.chain,
                content=sealed.revision.content,
                tail=(*trimmed(head, self.stored), self.body),
            )
        )


class Settle(NamedTuple):
    """Keeps the head, but unlike `replica.proposer.Read` always writes it, under a new ballot. So whatever an
    earlier asking left on its way and this does not contain is never chosen. Revisions up to `stored` leave
    the tail, as with Advance."""

    stored: int = 0

    def __call__(self, last: bytes) -> bytes:
        try:
            head = decode_head(last)
        except HeadError:
            return last
        if not droppable(head, self.stored):
            return last
        return encode_head(msgspec.structs.replace(head, tail=trimmed(head, self.stored)))


def trimmed(head: Head, stored: int) -> tuple[bytes, ...]:
    """The tail without the revisions up to this number."""
    return head.tail[len(droppable(head, stored)) :]


def droppable(head: Head, stored: int) -> tuple[bytes, ...]:
    """The tail's revisions up to this number."""
    first = head.number - len(head.tail) + 1
    return head.tail[: max(0, stored - first + 1)]


def open_tail(head: Head) -> list[SealedRevision]:
    """The tail's revisions. HeadError `wrong_tail` if they do not lead to the head."""
    try:
        sealed = [unseal(body) for body in head.tail]
    except RevisionError as wrong:
        raise HeadError("wrong_tail", f"the tail holds no revision: {wrong.text}") from None
    for before, after in zip(sealed, sealed[1:], strict=False):
        if after.revision.parent != before.chain:
            raise HeadError("wrong_tail", "the tail is no chain")
    if sealed and sealed[-1].position != head.position:
        raise HeadError("wrong_tail", "the tail does not end at the head")
    if sealed and sealed[-1].revision.content != head.content:
        raise HeadError("wrong_tail", "the head promises another document than its last revision")
    return sealed
