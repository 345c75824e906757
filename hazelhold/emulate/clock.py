"""Discrete events: what happens next, in whole microseconds, in the order of time and then of asking."""

from collections.abc import Callable
from heapq import heappop, heappush


class Clock:
    """Calls what is due, one by one; nothing passes but the events."""

    def __init__(self) -> None:
        self.now = self.turn = self.events = 0
        self.queue: list[tuple[int, int, Callable, tuple]] = []  # a heap; emptied as time passes

    def at(self, when: int, call: Callable, *given: object) -> None:
        """Calls at that moment, or now if it has passed."""
        self.turn += 1
        heappush(self.queue, (max(self.now, when), self.turn, call, given))

    def run(self, until: int) -> None:
        """Plays all events up to and with a moment, which is then now."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, given = heappop(self.queue)
            self.events += 1
            call(*given)
        self.now = until
