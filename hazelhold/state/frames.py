"""Frames of the files: a mark, length, checksum, then a batch of changes. What cannot be read is told apart:

- torn: the file ends within a frame. Such bytes were never safe, so nothing was sent that rests on them.
- damaged: a whole frame whose checksum is wrong, or anything that is no frame. What it said may have been
  sent.
"""

from typing import NamedTuple
from zlib import crc32

import msgspec

from hazelhold.state.images import BATCH, ENCODER, Change

MARK = b"\xa7HzF"
HEAD = len(MARK) + 8
MOST = 1 << 30


class Header(msgspec.Struct, frozen=True):
    """The first frame of every file."""

    format: int
    planner: str
    generation: int
    kind: str  # snapshot or log
    made_at: int = 0
    until_log: int = 0


class Scan(NamedTuple):
    """What a file holds: header, sound batches, and where and how it stops being sound."""

    header: Header | None
    batches: list[list[Change]]
    valid_bytes: int  # bytes
    size: int
    error: str = ""  # empty, torn or damaged
    error_detail: str = ""


def pack(body: bytes) -> bytes:
    return MARK + len(body).to_bytes(4) + crc32(body).to_bytes(4) + body


def header(made: Header) -> bytes:
    return pack(msgspec.msgpack.encode(made))


def batch(changes: list[Change]) -> bytes:
    return pack(ENCODER.encode(changes))


def scan(data: bytes) -> Scan:
    """Reads up to the first frame that is not sound."""
    at, found, head = 0, [], None
    error = error_detail = ""
    while at < len(data):
        error, error_detail, body, end = _frame(data, at)
        if error:
            break
        try:
            if head is None:
                head = msgspec.msgpack.decode(body, type=Header)
            else:
                found.append(BATCH.decode(body))
        except (msgspec.MsgspecError, UnicodeDecodeError) as wrong:
            error, error_detail = "damaged", str(wrong)
            break
        at = end
    if error == "torn" and data.find(MARK, at + 1) >= 0:
        error, error_detail = "damaged", "a length that leads past later frames"
    return Scan(head, found, at, len(data), error, f"at byte {at}: {error_detail}" if error else "")


def _frame(data: bytes, at: int) -> tuple[str, str, bytes, int]:
    left = data[at : at + HEAD]
    if len(left) < HEAD:
        return ("torn" if MARK.startswith(left[:4]) or left[:4] == MARK else "damaged"), "cut short", b"", at
    if left[:4] != MARK:
        return "damaged", "no frame begins here", b"", at
    size = int.from_bytes(left[4:8])
    body = data[at + HEAD : at + HEAD + size]
    if size > MOST or len(body) < size:
        if crc32(data[at + HEAD :]) == int.from_bytes(left[8:12]):
            return "damaged", "a length that is wrong", b"", at
        return "torn", f"a frame of {size} bytes, {len(body)} are there", b"", at
    if crc32(body) != int.from_bytes(left[8:12]):
        return "damaged", "a checksum that is wrong", b"", at
    return "", "", body, at + HEAD + size
