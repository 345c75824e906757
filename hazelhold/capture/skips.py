"""Table of the input that a capture reader skipped, with the reasons.

Nothing is dropped without a row here. The number of rows is bounded: further rows are merged.
"""

from msgspec import Struct

MAX_ROWS = 10_000  # beyond it, rows are merged into one per file and reason


class Skip(Struct):
    """One reason in one stream of one file: its first occurrence, the count and the number of bytes.

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
    """Collects skips, one row per file, reason and stream."""

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
        """Records that `size` bytes were skipped for `reason`."""
        key = (file, reason, stream)
        if key not in self.rows and len(self.rows) >= MAX_ROWS:
            key = (file, reason, "(others)")
        row = self.rows.setdefault(key, Skip(*key, offset, packet, at))
        row.count += 1
        row.bytes += size

    def table(self) -> list[Skip]:
        """All rows, ordered by file and position."""
        return sorted(self.rows.values(), key=lambda r: (r.file, r.offset, r.packet, r.reason, r.stream))

    def reasons(self) -> dict[str, int]:
        """The number of skips by reason, over all files and streams."""
        found: dict[str, int] = {}
        for row in self.rows.values():
            found[row.reason] = found.get(row.reason, 0) + row.count
        return found
