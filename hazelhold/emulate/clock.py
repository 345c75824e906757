"""A discrete-event queue in whole microseconds; events of one time run in the order of scheduling."""

from collections.abc import Callable
from heapq import heappop, heappush


class Clock:
    """Virtual time that advances from one scheduled call to the next."""

    def __init__(self) -> None:
        self.now = self.sequence = self.events = 0
        self.queue: list[tuple[int, int, Callable, tuple]] = []  # a heap; emptied as time passes

    def at(self, when: int, call: Callable, *arguments: object) -> None:
        """Schedules a call for a time in microseconds, or for now if that has passed."""
        self.sequence += 1
        heappush(self.queue, (max(self.now, when), self.sequence, call, arguments))

    def run(self, until: int) -> None:
        """Runs all events up to and including `until`, which is the time afterwards."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, arguments = heappop(self.queue)
            self.events += 1
            call(*arguments)
        self.now = until
