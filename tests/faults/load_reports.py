"""Load reports of a stand-in server as the pages describe them: refreshed at intervals, late and noisy.

The size and what is counted are those of `tests.platform_rig.DEPLOYMENT`: cores and memory that the guests of
a small box do not use.
"""

from collections import deque
from collections.abc import Collection
from random import Random
from typing import NamedTuple

REFRESH_PERIOD = (0.26, 0.69)  # seconds between two reports; one draw per server
DELAY = (0.17, 0.48)  # seconds until a report can be received; one draw per server
NOISE = 0.05  # standard deviation of a reported value, as a share of the true one
SHARE_OF_CORES = 0.55  # mean use of a guest, as a share of what it asks for
SHARE_OF_MEMORY = 0.7
SPREAD = 0.6  # standard deviation of the logarithm of a guest's share
MOST_CORES, MOST_MEMORY = 2.5, 1.6  # the most that a guest uses, as a multiple of what it asks for


class Resources(NamedTuple):
    """Cores, and memory in the unit of the settings."""

    cores: float
    memory: float


CAPACITY = Resources(26.0, 41.0)  # of a small box
ASKED = Resources(1.0, 2.0)  # by each request of the stand-in clients


class Report(NamedTuple):
    """What was free at a time, as the server measured it. Seconds of CLOCK_MONOTONIC."""

    measured_at: float
    free: Resources


class LoadReporter:
    """Measures what the guests of one server process use, and says what can be received of it."""

    def __init__(self, server: str, started_at: float) -> None:
        self.random = Random(f"load reports/{server}")
        self.period = self.random.uniform(*REFRESH_PERIOD)
        self.delay = self.random.uniform(*DELAY)
        self.restarted(started_at)

    def restarted(self, at: float) -> None:
        """A new process has no guests, and its reports say so from its start on."""
        self.reports = deque([self._measured(at, [])])

    def use_of_a_guest(self) -> Resources:
        """What a new guest uses until its end."""
        cores = SHARE_OF_CORES * self.random.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        memory = SHARE_OF_MEMORY * self.random.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        return Resources(ASKED.cores * min(cores, MOST_CORES), ASKED.memory * min(memory, MOST_MEMORY))

    def refresh(self, now: float, in_use: Collection[Resources]) -> None:
        """Measures again if it is time; `in_use` is what each guest uses."""
        if now >= self.reports[-1].measured_at + self.period:
            self.reports.append(self._measured(now, in_use))

    def free(self, now: float) -> Resources:
        """What the last report says that can be received by now."""
        while len(self.reports) > 1 and self.reports[1].measured_at <= now - self.delay:
            self.reports.popleft()
        return self.reports[0].free

    def _measured(self, at: float, in_use: Collection[Resources]) -> Report:
        cores = CAPACITY.cores - sum(each.cores for each in in_use)
        memory = CAPACITY.memory - sum(each.memory for each in in_use)
        return Report(at, Resources(self._with_noise(cores), self._with_noise(memory)))

    def _with_noise(self, value: float) -> float:
        return max(0.0, value) * max(0.0, self.random.gauss(1.0, NOISE))
