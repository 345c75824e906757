"""Chooses the planner for a submission: the better of two drawn at random. Planners that fail are avoided for
a while."""

from random import Random

SECOND = 1_000_000


class PlannerStats:
    """Statistics of one planner: decaying means of answer times and of failures, and a backoff."""

    def __init__(self) -> None:
        self.answer_time = 0.0  # microseconds
        self.failure_share = 0.0  # share of submissions that were refused or not answered
        self.consecutive_failures = 0
        self.avoided_until = 0


class PlannerChooser:
    """The planners of one client and their statistics."""

    def __init__(self, planners: list[str], random: Random) -> None:
        self.stats = {p: PlannerStats() for p in planners}
        self.random = random

    def add(self, planner: str) -> None:
        """Adds a planner without statistics."""
        self.stats[planner] = PlannerStats()

    def pick(self, up: list[str], now: int) -> str | None:
        """Picks one of the connected planners `up`; one in backoff only if all are. None if there is none."""
        candidates = [p for p in up if self.stats[p].avoided_until <= now] or up
        if not candidates:
            return None
        drawn = self.random.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=self._cost)

    def _cost(self, planner: str) -> float:
        stats = self.stats[planner]
        return (stats.answer_time + SECOND // 100) * (1 + 9 * stats.failure_share)

    def answered(self, planner: str, answer_time: int, well: bool, now: int) -> None:
        """Counts an answer after `answer_time` microseconds; `well`: the guest was placed."""
        stats = self.stats[planner]
        stats.answer_time += 0.2 * (answer_time - stats.answer_time)
        stats.failure_share += 0.2 * ((not well) - stats.failure_share)
        stats.consecutive_failures = 0

    def failed(self, planner: str, now: int) -> None:
        """Counts a missing answer, a lost connection or a full planner. From the third in a row on, the
        planner is avoided, twice as long each time, 30 s at most; its first answer ends that."""
        stats = self.stats[planner]
        stats.failure_share += 0.2 * (1 - stats.failure_share)
        stats.consecutive_failures += 1
        if stats.consecutive_failures >= 3:
            duration = min(30 * SECOND, SECOND // 2 * 2 ** min(stats.consecutive_failures - 3, 6))
            stats.avoided_until = now + int(duration * self.random.uniform(0.5, 1.0))
