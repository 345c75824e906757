"""Processor time and memory of a trial's real processes, as the kernel tells them, second by second."""

import time
from typing import NamedTuple

import trio

from bench.capacity.configuration.fleet import Fleet
from bench.capacity.configuration.results import Used
from bench.capacity.meters import Usage, usage


class Snapshot(NamedTuple):
    """All processes at one moment of the monotonic clock, in seconds. One that was started again has another
    process number."""

    at: float
    used: dict[str, tuple[int, Usage]]


class Watch:
    """Looks once a second."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.seconds: list[Snapshot] = []

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            self.seconds.append(self.snapshot())
            await trio.sleep(1.0)

    def snapshot(self) -> Snapshot:
        found = {}
        for name, each in self.fleet.running.items():
            try:
                found[name] = each.process.pid, usage(each.process.pid)
            except (FileNotFoundError, ProcessLookupError, IndexError):
                continue  # killed by the trial
        return Snapshot(time.monotonic(), found)

    def add(self, figures: dict[str, Used], began: Snapshot, ended: Snapshot, span: float) -> None:
        """Adds what processes used between two moments, by `span` seconds. The worst second is one
        of those looked at."""
        inside = [each for each in self.seconds if began.at <= each.at <= ended.at]
        looks = [began, *inside, ended]
        for name, (_, last) in ended.used.items():
            made = figures.setdefault(name, Used())
            made.resident = last.resident
            steps = [_spent(name, a, b) for a, b in zip(looks, looks[1:], strict=False)]
            made.cpu = sum(steps) / span
            whole = [_spent(name, a, b) / (b.at - a.at) for a, b in zip(inside, inside[1:], strict=False)]
            made.worst_cpu = max(whole, default=0.0)


def _spent(name: str, before: Snapshot, after: Snapshot) -> float:
    """Processor time between two looks; all of it if the process is a new one."""
    if name not in after.used:
        return 0.0
    number, usage_after = after.used[name]
    former, usage_before = before.used.get(name, (0, None))
    return usage_after.processor - (usage_before.processor if former == number else 0.0)
