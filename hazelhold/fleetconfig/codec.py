"""Encoding of the messages: MessagePack, one decoder for all of them. No I/O.

Frames are those of `hazelhold.protocol.frames`; `MAX_MESSAGE` is the limit for its reader.
"""

import msgspec

from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.document import CHECKSUM_BYTES

MAX_MESSAGE = 1 << 20  # bytes of one encoded message

Message = (
    m.Greeting
    | m.GreetingAnswer
    | m.Follow
    | m.Revisions
    | m.PackedRevisions
    | m.SnapshotPage
    | m.Heartbeat
    | m.Coverage
    | m.Stored
    | m.Propose
    | m.ProposeAnswer
    | m.ReadItems
    | m.Items
    | m.StatusQuery
    | m.Status
)


class MessageError(Exception):
    """A body that is no message. `code` is one word for counters, the text is for people."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code, self.text = code, text


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: m.ConfigMessage) -> bytes:
    """The message's bytes, without the frame."""
    return _ENCODER.encode(message)


def decode(body: bytes) -> m.ConfigMessage:
    """Reads one message; fields that are not known are passed over. MessageError `too_long`, `unreadable` or
    `bad_field` if it is none."""
    if len(body) > MAX_MESSAGE:
        raise MessageError("too_long", f"a message of {len(body)} bytes; {MAX_MESSAGE} are allowed")
    try:
        message = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
        raise MessageError("unreadable", f"no message: {wrong}") from None
    _check_fields(message)
    return message


def _check_fields(message: m.ConfigMessage) -> None:
    """Bounds that the types do not express: counts are not negative, checksums have their length."""
    for field in ("number", "first", "page", "pages"):
        if getattr(message, field, 0) < 0:
            raise MessageError("bad_field", f"{field} is negative")
    for field in ("chain", "content", "check"):
        value = getattr(message, field, None)
        if isinstance(value, bytes) and len(value) != CHECKSUM_BYTES:
            raise MessageError(
                "bad_field", f"{field} has {len(value)} bytes; {CHECKSUM_BYTES} are a checksum"
            )
    if isinstance(message, m.Heartbeat) and message.confirmed_age < m.NEVER:
        raise MessageError("bad_field", f"confirmed_age is {message.confirmed_age}")
