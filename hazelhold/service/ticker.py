"""Runs an object that must act at given times: the planner's engine or a stand-in's model."""

from collections.abc import Callable

import trio


class Ticker:
    """Calls `work(now)` when the time `due(now)` is reached or `notify` was called, at most once in `pause`
    seconds, so that inputs that arrive together are handled together. Times are in microseconds."""

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
            timeout = float("inf") if due is None else max(0.0, (due - now) / 1e6)
            if self.pause:
                await trio.sleep(self.pause)
                timeout -= self.pause
            else:
                await trio.lowlevel.checkpoint()
            if timeout > 0:
                with trio.move_on_after(timeout):
                    await self.notified.wait()
            self.notified = trio.Event()
