"""Drives anything that has moments at which it must act: the planner's engine and the stand-ins' models."""

from collections.abc import Callable

import trio


class Ticker:
    """Calls `work(now)` whenever `due(now)` has come or somebody stirred it, at most once in `pause`
    seconds, so that what arrives together is dealt with together."""

    def __init__(
        self,
        now: Callable[[], int],
        due: Callable[[int], int | None],
        work: Callable[[int], None],
        pause: float = 0.0,
    ) -> None:
        self.now, self.due, self.work, self.pause = now, due, work, pause
        self.notified = trio.Event()

    def notify(self) -> None:
        self.notified.set()

    async def run(self) -> None:
        while True:
            now = self.now()
            self.work(now)
            due = self.due(now)
            span = float("inf") if due is None else max(0.0, (due - now) / 1e6)
            if self.pause:
                await trio.sleep(self.pause)
                span -= self.pause
            else:
                await trio.lowlevel.checkpoint()
            if span > 0:
                with trio.move_on_after(span):
                    await self.notified.wait()
            self.notified = trio.Event()
