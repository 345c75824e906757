"""The platform's two message formats: binary messages (owners) and JSON lines (machines). No I/O.

A reader takes bytes in chunks of any size and returns complete messages; it buffers at most one incomplete
message. CodecError says why a peer's bytes are invalid; nothing after them can be interpreted.
"""

from typing import Literal, NamedTuple

import msgspec
from msgspec import Struct, field

MAX_MESSAGE_BYTES = 16 * 1024  # of one message, in either format

# Parameter codes of binary messages.
TICKET, CAUSE, DESCRIPTION = 16, 17, 18
CLASS, LEFT, TENANT, NAME, FIGURES, WAIT = 3, 4, 5, 7, 8, 9

# Types of binary messages.
SET_UP, PROGRESS, ANSWER, END, HEARD, TEST, TESTED, NOTE, MOVE = 1, 6, 9, 12, 16, 52, 53, 44, 51
TYPES = frozenset((SET_UP, PROGRESS, ANSWER, END, HEARD, TEST, TESTED, NOTE, MOVE))


class CodecError(Exception):
    """Invalid bytes from a peer. `code` is one word for counters, `text` is for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code, self.text = code, text


class BinaryMessage(NamedTuple):
    """A binary message: `id` is the guest's 16 hex digits, `parameters` holds raw values by code."""

    type: int
    id: str
    parameters: dict[int, bytes]

    def text(self, code: int) -> str:
        """Returns a parameter as text, empty if it is absent; CodecError if it is not UTF-8."""
        try:
            return self.parameters.get(code, b"").decode()
        except UnicodeDecodeError:
            raise CodecError("no_text", f"parameter {code} is not valid UTF-8") from None

    def size(self) -> int:
        """Bytes of its values."""
        return sum(len(value) for value in self.parameters.values())

    @property
    def cause(self) -> int | None:
        """The cause code of the message, or None."""
        value = self.parameters.get(CAUSE)
        return value[0] if value else None


def encode_binary(binary: BinaryMessage) -> bytes:
    """Encodes a message with its length prefix; ValueError if it exceeds MAX_MESSAGE_BYTES."""
    body = bytearray((binary.type,)) + bytes.fromhex(binary.id)
    for code, value in binary.parameters.items():
        body += bytes((code,)) + len(value).to_bytes(2) + value
    if len(body) + 2 > MAX_MESSAGE_BYTES or len(body) < 9:
        raise ValueError(f"message of {len(body)} bytes")
    return len(body).to_bytes(2) + bytes(body)


def decode_binary(body: bytes) -> BinaryMessage:
    """Decodes a message body, without its length prefix; CodecError if it is invalid."""
    if len(body) < 9:
        raise CodecError("no_id", f"message of {len(body)} bytes has no guest id")
    if not any(body[1:9]):
        raise CodecError("no_id", "guest id is zero")
    if body[0] not in TYPES:
        raise CodecError("unknown_type", f"unknown message type {body[0]}")
    parameters: dict[int, bytes] = {}
    at = 9
    while at < len(body):
        size = int.from_bytes(body[at + 1 : at + 3])
        end = at + 3 + size
        if at + 3 > len(body) or end > len(body):
            raise CodecError("bad_length", "parameter extends beyond its message")
        if body[at] in parameters:
            raise CodecError("twice", f"parameter {body[at]} occurs twice")
        parameters[body[at]] = bytes(body[at + 3 : end])
        at = end
    if CAUSE in parameters and len(parameters[CAUSE]) != 1:
        raise CodecError("bad_length", "cause has to be one byte")
    return BinaryMessage(body[0], bytes(body[1:9]).hex(), parameters)


class BinaryReader:
    """Reads binary messages from a byte stream."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[BinaryMessage]:
        """Adds received bytes and returns the messages that are complete now.

        Messages that precede an error are returned first, and the error is left in `fault`. An error that
        none precedes is raised as CodecError.
        """
        self.held += data
        found: list[BinaryMessage] = []
        try:
            while len(self.held) >= 2:
                size = int.from_bytes(self.held[:2])
                if size + 2 > MAX_MESSAGE_BYTES:
                    raise CodecError("too_long", f"message of {size} bytes")
                if size < 9:
                    raise CodecError("no_id", f"message of {size} bytes has no guest id")
                if len(self.held) < size + 2:
                    break
                body = bytes(self.held[2 : size + 2])
                del self.held[: size + 2]
                found.append(decode_binary(body))
        except CodecError as error:
            if not found:
                raise
            self.fault = error
        return found

    fault: CodecError | None = None  # the error that follows the messages returned last

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message is buffered."""
        return bool(self.held)


class Line(Struct, omit_defaults=True):
    """One JSON line, as a machine sends it."""

    op: Literal["offer", "ringing", "accept", "end", "ended", "test", "tested", "info", "redirect"]
    call: str
    fields: dict[str, str | int | float] = field(default_factory=dict, name="with")
    why: int | None = None
    desc: str | None = None

    def text(self, name: str) -> str:
        """A field as text, empty if it is absent."""
        return str(self.fields.get(name, ""))


class OutgoingLine(Struct):
    """A JSON line to a machine. Unlike in Line, `with` is always encoded, even if it is empty."""

    op: str
    call: str
    fields: dict[str, str] = field(name="with")
    why: int | msgspec.UnsetType = msgspec.UNSET
    desc: str | msgspec.UnsetType = msgspec.UNSET


ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(Line)


def encode_line(line: OutgoingLine) -> bytes:
    """Encodes a line with its line feed; ValueError if it exceeds MAX_MESSAGE_BYTES."""
    data = ENCODER.encode(line) + b"\n"
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"line of {len(data)} bytes")
    return data


def decode_line(data: bytes) -> Line:
    """Decodes a line; CodecError if it is invalid."""
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError("unreadable", str(error)) from None


class LineReader:
    """Reads JSON lines from a byte stream. Empty lines are ignored."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[Line]:
        """Like BinaryReader.feed, for lines."""
        self.held += data
        found: list[Line] = []
        try:
            while (at := self.held.find(b"\n")) >= 0:
                if at >= MAX_MESSAGE_BYTES:
                    raise CodecError("too_long", f"line of {at} bytes")
                line = bytes(self.held[:at])
                del self.held[: at + 1]
                if line.strip():
                    found.append(decode_line(line))
            if len(self.held) > MAX_MESSAGE_BYTES:
                raise CodecError("too_long", "line without an end")
        except CodecError as error:
            if not found:
                raise
            self.fault = error
        return found

    fault: CodecError | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a line is buffered."""
        return bool(self.held)
