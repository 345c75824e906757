"""How long a suspicion waits, and how much a member doubts itself (after Lifeguard: Dadgar, Phillips,
Currey 2017).

Waits in microseconds. A suspicion that few confirm waits long; each member that finds the same by itself
shortens it, by the logarithm, down to the least. A member that was away, whose probes nobody could witness
or that was itself accused without cause doubts itself: all its waits grow by that factor.
"""

from math import log

CONFIRMATIONS = 3  # past these another one adds little: Lifeguard's K
# a probe period of 250 ms becomes 1.75 s: a member in doubt still looks twice while a suspicion waits
MOST_DOUBT = 6


def suspicion_timeout(least: int, most: int, accusers: int, wanted: int) -> int:
    """How long a suspicion waits that `accusers` members (one or more) hold, of `wanted` + 1 that could
    settle it."""
    if wanted < 1:
        return least
    share = log(min(accusers - 1, wanted) + 1) / log(wanted + 1)
    return round(most - (most - least) * share)


def expected_confirmations(members: int) -> int:
    """Confirmations that a suspicion can hope for: not from the accuser, not from the accused."""
    return max(0, min(CONFIRMATIONS, members - 2))


class LocalHealth:
    """A member's doubt of its own health: 0 none."""

    def __init__(self) -> None:
        self.level = 0

    def __call__(self, span: int) -> int:
        """A wait, stretched by the doubt."""
        return span * (1 + self.level)

    def more(self, by: int = 1) -> None:
        self.level = min(MOST_DOUBT, self.level + by)

    def less(self) -> None:
        self.level = max(0, self.level - 1)
