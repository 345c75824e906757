"""The frame format of the state files: a mark, length, checksum, then a batch of changes.

Unreadable content is classified as

- torn: the file ends within a frame. Such bytes were never durable, so no message that depends on them was
  sent.
- damaged: a whole frame with a wrong checksum, or bytes that are no frame. Messages that depend on the lost
  changes may have been sent.
"""

from typing import NamedTuple
from zlib import crc32

import msgspec

from hazelhold.state.images import BATCH, ENCODER, Change

MARK = b"\xa7HzF"
HEAD_BYTES = len(MARK) + 8  # mark, length, checksum
MAX_BODY_BYTES = 1 << 30


class Header(msgspec.Struct, frozen=True):
    """The first frame of every file."""

    format: int
    planner: str
    generation: int
    kind: str  # snapshot or log
    made_at: int = 0
    until_log: int = 0


class Scan(NamedTuple):
    """What a file holds: its header, the valid batches, and where and why reading stopped."""

    header: Header | None
    batches: list[list[Change]]
    valid_bytes: int  # up to the first invalid frame
    size: int  # of the file, in bytes
    error: str = ""  # empty, torn or damaged
    error_detail: str = ""


def pack(body: bytes) -> bytes:
    """Returns `body` as a frame."""
    return MARK + len(body).to_bytes(4) + crc32(body).to_bytes(4) + body


def header(content: Header) -> bytes:
    """Returns the frame of a file's header."""
    return pack(msgspec.msgpack.encode(content))


def batch(changes: list[Change]) -> bytes:
    """Returns the frame of a batch of changes."""
    return pack(ENCODER.encode(changes))


def scan(data: bytes) -> Scan:
    """Reads the frames of a file up to the first invalid one."""
    at, batches, head = 0, [], None
    error = error_detail = ""
    while at < len(data):
        error, error_detail, body, end = _frame(data, at)
        if error:
            break
        try:
            if head is None:
                head = msgspec.msgpack.decode(body, type=Header)
            else:
                batches.append(BATCH.decode(body))
        except (msgspec.MsgspecError, UnicodeDecodeError) as exception:
            error, error_detail = "damaged", str(exception)
            break
        at = end
    if error == "torn" and data.find(MARK, at + 1) >= 0:
        error, error_detail = "damaged", "the length points past later frames"
    return Scan(head, batches, at, len(data), error, f"at byte {at}: {error_detail}" if error else "")


def _frame(data: bytes, at: int) -> tuple[str, str, bytes, int]:
    """Reads the frame at a position: its error and error detail (empty if it is valid), body and end."""
    head = data[at : at + HEAD_BYTES]
    if len(head) < HEAD_BYTES:
        return ("torn" if MARK.startswith(head[:4]) or head[:4] == MARK else "damaged"), "cut short", b"", at
    if head[:4] != MARK:
        return "damaged", "no frame begins here", b"", at
    size = int.from_bytes(head[4:8])
    body = data[at + HEAD_BYTES : at + HEAD_BYTES + size]
    if size > MAX_BODY_BYTES or len(body) < size:
        if crc32(data[at + HEAD_BYTES :]) == int.from_bytes(head[8:12]):
            return "damaged", "the length is wrong", b"", at
        return "torn", f"a frame of {size} bytes, of which {len(body)} are present", b"", at
    if crc32(body) != int.from_bytes(head[8:12]):
        return "damaged", "the checksum is wrong", b"", at
    return "", "", body, at + HEAD_BYTES + size
