"""Records of connection traffic as JSON lines: each frame as one end saw it, with that end's timestamp."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

VERSION = 1


class RecordedMessage(Struct, omit_defaults=True):
    """One frame, or the opening or closing of a connection, as one end saw it.

    `at` is in microseconds on the clock that all processes of a rehearsal share. `by` recorded the message
    and `peer` is the other end, both by name. `role` is the role of `by`: owner, planner, machine or list.
    `way` is out, in, open or shut.
    """

    at: int
    by: str
    role: str
    peer: str
    way: str
    message: dict[str, Any] | None = None


class Recorder:
    """Appends recorded messages to a file, or does nothing if `path` is None.

    Writes are unbuffered and one line each, so that a killed process leaves only complete lines.
    """

    def __init__(self, path: Path | None, by: str, role: str) -> None:
        self.by, self.role = by, role
        self.file = path.open("ab", buffering=0) if path else None
        self.encoder = msgspec.json.Encoder()

    def note(self, at: int, peer: str, way: str, message: Struct | None = None) -> None:
        """Writes one record; `at`, `peer` and `way` as in RecordedMessage."""
        if self.file is None:
            return
        body = msgspec.to_builtins(message) if message is not None else None
        recorded = RecordedMessage(at, self.by, self.role, peer, way, body)
        if not self.file.closed:  # connections may still close after the end of a rehearsal's day
            self.file.write(self.encoder.encode(recorded) + b"\n")

    def close(self) -> None:
        """Closes the file; later notes are dropped."""
        if self.file is not None:
            self.file.close()


class RecordError(Exception):
    """A record file that cannot be read. The text names file, line and reason."""


def read_record(path: Path) -> Iterator[RecordedMessage]:
    """Yields the records of a file in order. A truncated last line is ignored."""
    decoder = msgspec.json.Decoder(RecordedMessage)
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield decoder.decode(line)
            except msgspec.MsgspecError as error:
                if not line.endswith(b"\n"):
                    return
                raise RecordError(f"{path}: line {number}: {error}") from None
