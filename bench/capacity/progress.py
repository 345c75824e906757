"""A progress bar on standard error."""

import sys
import time
from typing import TextIO

WIDTH = 30  # characters of the bar
WIDEST = 110  # characters of the line


class Progress:
    """One line that is rewritten on a terminal; elsewhere one line for each row, so that logs stay short."""

    def __init__(self, total: int, stream: TextIO = sys.stderr) -> None:
        self.total, self.stream = max(1, total), stream
        self.done = 0
        self.began = time.monotonic()
        self.live = stream.isatty()

    def show(self, text: str) -> None:
        """Says what is being done now."""
        if self.live:
            self._line(text, "\r")

    def step(self, text: str) -> None:
        """One unit of work begins: what the text says."""
        self.show(text)
        self.done += 1

    def note(self, text: str) -> None:
        """A line that stays."""
        if self.live:
            self.stream.write("\r" + " " * WIDEST + "\r")
        self._line(text, "\n")

    def _line(self, text: str, end: str) -> None:
        filled = WIDTH * min(self.done, self.total) // self.total
        bar = "#" * filled + "-" * (WIDTH - filled)
        line = f"[{bar}] {self.done}/{self.total} {time.monotonic() - self.began:4.0f} s  {text}"
        if self.live:
            line = line[:WIDEST].ljust(WIDEST)
        self.stream.write((end if end == "\r" else "") + line + (end if end == "\n" else ""))
        self.stream.flush()
