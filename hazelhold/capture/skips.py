"""What a reader passed over, and why. Nothing is dropped without a row here; rows are bounded by folding."""

from msgspec import Struct

ROWS = 10_000  # past it, rows fold into one for each file and reason


class Skip(Struct):
    """One reason in one stream of one file: where it first happened, how often, how many bytes.

    `offset` is in bytes from the file's start, `packet` counts from 1 (0: no packet), `at` is in microseconds
    since 1970 (0: unknown), `stream` is "a:port > b:port" or empty.
    """

    file: str
    reason: str
    stream: str
    offset: int
    packet: int
    at: int
    count: int = 0
    bytes: int = 0


class Skips:
    """The table of what was skipped."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], Skip] = {}

    def note(
        self,
        file: str,
        reason: str,
        size: int,
        offset: int = 0,
        packet: int = 0,
        at: int = 0,
        stream: str = "",
    ) -> None:
        key = (file, reason, stream)
        if key not in self.rows and len(self.rows) >= ROWS:
            key = (file, reason, "(others)")
        row = self.rows.setdefault(key, Skip(*key, offset, packet, at))
        row.count += 1
        row.bytes += size

    def table(self) -> list[Skip]:
        return sorted(self.rows.values(), key=lambda r: (r.file, r.offset, r.packet, r.reason, r.stream))

    def reasons(self) -> dict[str, int]:
        found: dict[str, int] = {}
        for row in self.rows.values():
            found[row.reason] = found.get(row.reason, 0) + row.count
        return found
