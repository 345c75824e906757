"""Records of frames as JSON lines: what crossed a connection, told by one end, with that end's time."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

VERSION = 1


class RecordedMessage(Struct, omit_defaults=True):
    """One frame, or the opening or closing of a connection, as one end saw it.

    `at` is in microseconds on the clock that all ends here share; `by` and `peer` are names; `role` is
    what `by` is: owner, planner, machine, list; `way` is out, in, open or shut.
    """

    at: int
    by: str
    role: str
    peer: str
    way: str
    message: dict[str, Any] | None = None


class Recorder:
    """Appends crossings to a file, each whole before the next: a killed process leaves whole lines."""

    def __init__(self, path: Path | None, by: str, role: str) -> None:
        self.by, self.role = by, role
        self.file = path.open("ab", buffering=0) if path else None
        self.encoder = msgspec.json.Encoder()

    def note(self, at: int, peer: str, way: str, message: Struct | None = None) -> None:
        if self.file is None:
            return
        body = msgspec.to_builtins(message) if message is not None else None
        crossing = RecordedMessage(at, self.by, self.role, peer, way, body)
        if not self.file.closed:  # a day is over while connections still end
            self.file.write(self.encoder.encode(crossing) + b"\n")

    def close(self) -> None:
        if self.file is not None:
            self.file.close()


class RecordError(Exception):
    """A record that cannot be read; the text names file, line and reason."""


def read_record(path: Path) -> Iterator[RecordedMessage]:
    """All crossings of a file in its order; a last line that was cut short is passed over."""
    decoder = msgspec.json.Decoder(RecordedMessage)
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield decoder.decode(line)
            except msgspec.MsgspecError as wrong:
                if not line.endswith(b"\n"):
                    return
                raise RecordError(f"{path}: line {number}: {wrong}") from None
