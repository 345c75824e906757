"""What was sent, answered and run in one play of a case, with the seconds since its start."""

import time
from pathlib import Path


class Record:
    """Lines in the order of what happened; written to `record.txt` beside the script."""

    def __init__(self, folder: Path) -> None:
        self.path, self.start = folder / "record.txt", time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.start

    def note(self, who: str, text: str) -> None:
        self.lines.append(f"{self.now():9.4f} {who:<10} {text}")

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")
