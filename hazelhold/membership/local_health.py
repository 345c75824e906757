"""Suspicion timeouts and the local health score (Lifeguard: Dadgar, Phillips, Currey 2017).

Timeouts are in microseconds. A suspicion with few confirmations lasts long; each member that reaches the same
result by itself shortens it, by the logarithm, down to the minimum. A member that was paused, whose probes
had no witness, or that was suspected without cause raises its health score: all its timeouts grow by that
factor.
"""

from math import log

CONFIRMATIONS = 3  # more add little: Lifeguard's K
# At this score a probe period of 250 ms becomes 1.75 s: a member still probes twice during a suspicion.
MAX_HEALTH_SCORE = 6


def suspicion_timeout(min_timeout: int, max_timeout: int, accusers: int, expected: int) -> int:
    """How long a suspicion lasts that `accusers` members (one or more) hold. It reaches the minimum with
    `expected` confirmations after the first accuser."""
    if expected < 1:
        return min_timeout
    fraction = log(min(accusers - 1, expected) + 1) / log(expected + 1)
    return round(max_timeout - (max_timeout - min_timeout) * fraction)


def expected_confirmations(members: int) -> int:
    """Confirmations that a suspicion can get: neither the accuser nor the suspected member gives one."""
    return max(0, min(CONFIRMATIONS, members - 2))


class LocalHealth:
    """A member's local health score: 0 is healthy, MAX_HEALTH_SCORE the worst."""

    def __init__(self) -> None:
        self.level = 0

    def __call__(self, timeout: int) -> int:
        """The timeout, scaled by the health score."""
        return timeout * (1 + self.level)

    def more(self, by: int = 1) -> None:
        self.level = min(MAX_HEALTH_SCORE, self.level + by)

    def less(self) -> None:
        self.level = max(0, self.level - 1)
