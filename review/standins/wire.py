"""The protocol page's two forms of messages."""

import json
from typing import NamedTuple

SET_UP, PROGRESS, ANSWER, END, HEARD, NOTE, MOVE, TEST, TESTED = 1, 6, 9, 12, 16, 44, 51, 52, 53
CLASS, LEFT, TENANT, NAME, FIGURES, WAIT, CAUSE, DESCRIPTION = 3, 4, 5, 7, 8, 9, 17, 18
FULL, ERROR, MOOT, RESET, OK, MOVED = 34, 47, 102, 41, 16, 31


class Binary(NamedTuple):
    """A binary message of or to an owner."""

    type: int
    task: str
    parameters: dict[int, bytes]

    @property
    def cause(self) -> int | None:
        value = self.parameters.get(CAUSE)
        return value[0] if value else None


def encode(message: Binary) -> bytes:
    body = bytes((message.type,)) + bytes.fromhex(message.task)
    for code, value in message.parameters.items():
        body += bytes((code,)) + len(value).to_bytes(2, "big") + value
    return len(body).to_bytes(2, "big") + body


def decode(held: bytearray) -> list[Binary]:
    """Takes the whole messages out of what was read."""
    found = []
    while len(held) >= 2 and len(held) >= 2 + (size := int.from_bytes(held[:2], "big")):
        body = bytes(held[2 : 2 + size])
        del held[: 2 + size]
        parameters, at = {}, 9
        while at < size:
            length = int.from_bytes(body[at + 1 : at + 3], "big")
            parameters[body[at]] = body[at + 3 : at + 3 + length]
            at += 3 + length
        found.append(Binary(body[0], body[1:9].hex(), parameters))
    return found


def line(**fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
