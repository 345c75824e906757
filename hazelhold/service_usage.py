"""What is known of the services whose guests a planner places: their recent use of resources.

Owners name services freely, so a table of them has to be bounded by what it is good for: a service without
guests is kept only if it has samples, for a limited time and in a limited number.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any

from hazelhold.interface import Submission

MIN_IDLE_TIME = 60_000_000
"""Microseconds for which a sweep keeps a service without guests: guests return within a minute when their
owners retry."""

MAX_IDLE_SERVICES = 1024
"""Services without guests that are kept; of more, those that lost their last guest first are dropped."""

MAX_ORDERED_MACHINES = 250_000
"""Entries of all cached machine orders together."""


class ServiceUsage:
    """Recent resource use of one service's guests."""

    def __init__(self) -> None:
        # The 50 latest samples of used (cores, memory), as the design specifies.
        self.samples: deque[tuple[float, float]] = deque(maxlen=50)
        self.guests = self.last_seen_at = 0
        self.order: list[Any] = []  # machines; rebuilt when the list changes
        self.order_version = -1

    def estimated_use(self, submission: Submission) -> tuple[float, float]:
        """Expected (cores, memory) of a new guest: the 90th percentile of recent use, or its request without
        samples."""
        if not self.samples:
            return submission.cores, submission.memory
        at = int(0.9 * (len(self.samples) - 1) + 0.5)
        return sorted(s[0] for s in self.samples)[at], sorted(s[1] for s in self.samples)[at]


class ServiceTable(dict[str, ServiceUsage]):
    """All services that have guests of this planner, and a limited number of those that had some lately.

    A service leaves with its last guest, or, if it has samples, from `idle`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.idle: OrderedDict[str, None] = OrderedDict()  # emptied by age, number and new guests
        self.ordered: OrderedDict[str, None] = OrderedDict()  # with a cached order; emptied by number

    def add_guest(self, name: str, now: int) -> ServiceUsage:
        """Counts a new guest of a service; `now` in microseconds."""
        service = self.restore_guest(name)
        service.last_seen_at = now
        return service

    def restore_guest(self, name: str) -> ServiceUsage:
        """Counts a guest of a service that was submitted to an earlier process."""
        service = self.setdefault(name, ServiceUsage())
        self.idle.pop(name, None)
        service.guests += 1
        return service

    def remove_guest(self, name: str) -> None:
        """A guest of the service has ended or was never placed."""
        service = self[name]
        service.guests -= 1
        if service.guests:
            return
        if service.samples:
            self._set_idle(name)
        else:
            self._drop(name)

    def restore(self, name: str, seen_at: int, samples: Sequence[tuple[float, float]]) -> None:
        """Adds samples from before this process; `seen_at` in microseconds."""
        service = self.setdefault(name, ServiceUsage())
        service.samples.extendleft(reversed(samples))
        service.last_seen_at = max(service.last_seen_at, seen_at)
        if not service.guests:
            self._set_idle(name)

    def with_samples(self) -> dict[str, tuple[int, tuple[tuple[float, float], ...]]]:
        """When each service with samples got its last guest, in microseconds, and its samples."""
        return {n: (s.last_seen_at, tuple(s.samples)) for n, s in self.items() if s.samples}

    def order_used(self, name: str) -> None:
        """The cached order of machines of a service was used; of too many orders the least recently used ones
        are dropped."""
        self.ordered[name] = None
        self.ordered.move_to_end(name)
        machines = len(self[name].order)
        while len(self.ordered) > 1 and len(self.ordered) * machines > MAX_ORDERED_MACHINES:
            oldest = self[self.ordered.popitem(last=False)[0]]
            oldest.order, oldest.order_version = [], -1

    def sweep(self, now: int) -> None:
        """Drops services that have had no new guest for MIN_IDLE_TIME; `now` in microseconds."""
        for name in [n for n in self.idle if self[n].last_seen_at < now - MIN_IDLE_TIME]:
            self._drop(name)

    def _set_idle(self, name: str) -> None:
        self.idle[name] = None
        self.idle.move_to_end(name)
        while len(self.idle) > MAX_IDLE_SERVICES:
            self._drop(next(iter(self.idle)))

    def _drop(self, name: str) -> None:
        del self[name]
        self.idle.pop(name, None)
        self.ordered.pop(name, None)
