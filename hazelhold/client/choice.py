"""Which planner is asked: two drawn at random, the better one. Bad ones are passed over and return gently."""

from random import Random

SECOND = 1_000_000


class PlannerStats:
    """Little memory of one planner: a fading mean of answer times and of failures, and how long it rests."""

    def __init__(self) -> None:
        self.took = 0.0  # microseconds
        self.bad = 0.0  # share of answers that were none, or no
        self.in_a_row = 0
        self.rests_until = 0


class PlannerChooser:
    """The planners of one client."""

    def __init__(self, planners: list[str], random: Random) -> None:
        self.stats = {p: PlannerStats() for p in planners}
        self.random = random

    def learn(self, planner: str) -> None:
        self.stats[planner] = PlannerStats()

    def pick(self, up: list[str], now: int) -> str | None:
        """A planner out of those that are connected; one at rest only if all are."""
        fit = [p for p in up if self.stats[p].rests_until <= now] or up
        if not fit:
            return None
        two = self.random.sample(fit, min(2, len(fit)))
        return min(two, key=self._cost)

    def _cost(self, planner: str) -> float:
        stats = self.stats[planner]
        return (stats.took + SECOND // 100) * (1 + 9 * stats.bad)

    def answered(self, planner: str, took: int, well: bool, now: int) -> None:
        stats = self.stats[planner]
        stats.took += 0.2 * (took - stats.took)
        stats.bad += 0.2 * ((not well) - stats.bad)
        stats.in_a_row = 0

    def failed(self, planner: str, now: int) -> None:
        """No answer, a lost connection, or a planner that is full. From the third in a row on it rests,
        twice as long each time, 30 s at most; its first answer ends that."""
        stats = self.stats[planner]
        stats.bad += 0.2 * (1 - stats.bad)
        stats.in_a_row += 1
        if stats.in_a_row >= 3:
            span = min(30 * SECOND, SECOND // 2 * 2 ** min(stats.in_a_row - 3, 6))
            stats.rests_until = now + int(span * self.random.uniform(0.5, 1.0))
