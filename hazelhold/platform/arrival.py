"""How long bytes may have waited before they were read: a client's time runs from when it sent them.

What is read in a turn of the loop came after the loop last looked for it, which may be long ago if the
process was stopped or starved.
"""

import trio


class LoopClock(trio.abc.Instrument):
    """Notes when the loop looks for what is readable. Seconds of trio's clock."""

    def __init__(self) -> None:
        self.looked_at = self.looked_before = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        self.looked_before, self.looked_at = self.looked_at, trio.current_time()

    def waited(self) -> float:
        """Seconds for which what is read now may have waited at the most."""
        return trio.current_time() - self.looked_before
