"""The platform's two message forms: binary messages (owners) and JSON lines (machines). No I/O.

A reader takes bytes in any split and gives whole messages; it holds at most one message that is not whole.
CodecError says why a peer's bytes cannot be read: nothing after them can be trusted.
"""

from typing import Literal, NamedTuple

import msgspec
from msgspec import Struct, field

MAX_MESSAGE_BYTES = 16 * 1024  # bytes of one message, on either side
TICKET, CAUSE, DESCRIPTION = 16, 17, 18
CLASS, LEFT, TENANT, NAME, FIGURES, WAIT = 3, 4, 5, 7, 8, 9  # other parameters
SET_UP, PROGRESS, ANSWER, END, HEARD, TEST, TESTED, NOTE, MOVE = 1, 6, 9, 12, 16, 52, 53, 44, 51
TYPES = frozenset((SET_UP, PROGRESS, ANSWER, END, HEARD, TEST, TESTED, NOTE, MOVE))


class CodecError(Exception):
    """`code` is a word for counting, the text tells more."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code, self.text = code, text


class BinaryMessage(NamedTuple):
    """A binary message: `id` is the task's 16 hex digits, `parameters` values by code."""

    type: int
    id: str
    parameters: dict[int, bytes]

    def text(self, code: int) -> str:
        """A parameter as text, empty if it is not there; CodecError if it is no text."""
        try:
            return self.parameters.get(code, b"").decode()
        except UnicodeDecodeError:
            raise CodecError("no_text", f"parameter {code} is no text") from None

    @property
    def cause(self) -> int | None:
        value = self.parameters.get(CAUSE)
        return value[0] if value else None


def encode_binary(binary: BinaryMessage) -> bytes:
    """ValueError if it does not fit into a message."""
    body = bytearray((binary.type,)) + bytes.fromhex(binary.id)
    for code, value in binary.parameters.items():
        body += bytes((code,)) + len(value).to_bytes(2) + value
    if len(body) + 2 > MAX_MESSAGE_BYTES or len(body) < 9:
        raise ValueError(f"a message of {len(body)} bytes")
    return len(body).to_bytes(2) + bytes(body)


def decode_binary(body: bytes) -> BinaryMessage:
    """The message in `body`, which follows the length."""
    if len(body) < 9:
        raise CodecError("no_id", f"a message of {len(body)} bytes has no task")
    if not any(body[1:9]):
        raise CodecError("no_id", "a task without a number")
    if body[0] not in TYPES:
        raise CodecError("unknown_type", f"type {body[0]}")
    parameters: dict[int, bytes] = {}
    at = 9
    while at < len(body):
        size = int.from_bytes(body[at + 1 : at + 3])
        end = at + 3 + size
        if at + 3 > len(body) or end > len(body):
            raise CodecError("bad_length", "a parameter runs past its message")
        if body[at] in parameters:
            raise CodecError("twice", f"parameter {body[at]} is there twice")
        parameters[body[at]] = bytes(body[at + 3 : end])
        at = end
    if CAUSE in parameters and len(parameters[CAUSE]) != 1:
        raise CodecError("bad_length", "a cause is one byte")
    return BinaryMessage(body[0], bytes(body[1:9]).hex(), parameters)


class BinaryReader:
    """Binary messages from bytes in any split."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[BinaryMessage]:
        """The messages that are whole now. What came whole before a fault is given first; the fault is
        raised by the next call, or at once if nothing came before it."""
        self.held += data
        found: list[BinaryMessage] = []
        try:
            while len(self.held) >= 2:
                size = int.from_bytes(self.held[:2])
                if size + 2 > MAX_MESSAGE_BYTES:
                    raise CodecError("too_long", f"a message of {size} bytes")
                if size < 9:
                    raise CodecError("no_id", f"a message of {size} bytes has no task")
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

    fault: CodecError | None = None  # found behind the messages that were given

    @property
    def has_partial_message(self) -> bool:
        """Part of a message is held."""
        return bool(self.held)


class Line(Struct, omit_defaults=True):
    """One JSON line of a machine, or to one."""

    op: Literal["offer", "ringing", "accept", "end", "ended", "test", "tested", "info", "redirect"]
    call: str
    fields: dict[str, str | int | float] = field(default_factory=dict, name="with")
    why: int | None = None
    desc: str | None = None

    def text(self, name: str) -> str:
        return str(self.fields.get(name, ""))


class OutgoingLine(Struct):
    """A line to a machine; `with` always stands."""

    op: str
    call: str
    fields: dict[str, str] = field(name="with")
    why: int | msgspec.UnsetType = msgspec.UNSET
    desc: str | msgspec.UnsetType = msgspec.UNSET


ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(Line)


def encode_line(line: OutgoingLine) -> bytes:
    """ValueError if it does not fit into a message."""
    data = ENCODER.encode(line) + b"\n"
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"a line of {len(data)} bytes")
    return data


def decode_line(data: bytes) -> Line:
    try:
        return DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError("unreadable", str(error)) from None


class LineReader:
    """JSON lines from bytes in any split."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[Line]:
        """As BinaryReader.feed."""
        self.held += data
        found: list[Line] = []
        try:
            while (at := self.held.find(b"\n")) >= 0:
                if at >= MAX_MESSAGE_BYTES:
                    raise CodecError("too_long", f"a line of {at} bytes")
                line = bytes(self.held[:at])
                del self.held[: at + 1]
                if line.strip():
                    found.append(decode_line(line))
            if len(self.held) > MAX_MESSAGE_BYTES:
                raise CodecError("too_long", "a line without an end")
        except CodecError as error:
            if not found:
                raise
            self.fault = error
        return found

    fault: CodecError | None = None

    @property
    def has_partial_message(self) -> bool:
        return bool(self.held)
