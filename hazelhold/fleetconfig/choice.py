"""Which source to try next: the best one that did not fail lately. No I/O; time only decides when to try
again."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from hazelhold.fleetconfig.roster import Source
from hazelhold.fleetconfig.spread_actions import Times


class Failure(NamedTuple):
    """A source that is not to be tried before a moment, and how often in a row it failed."""

    until: int
    times: int


class Choice:
    """The sources in order of preference, with jittered exponential backoff for those that failed."""

    def __init__(self, times: Times, random: Random) -> None:
        self.sources: tuple[Source, ...] = ()
        self._times, self._random = times, random
        self._failures: dict[str, Failure] = {}

    def set_sources(self, sources: Sequence[Source]) -> None:
        """Takes a new order. What failed under an address that changed may be tried at once."""
        kept = {(source.name, source.address) for source in self.sources} & {
            (source.name, source.address) for source in sources
        }
        self.sources = tuple(sources)
        names = {name for name, _ in kept}
        self._failures = {name: failed for name, failed in self._failures.items() if name in names}

    def rank(self, name: str) -> int:
        """The place in the order, the best is 0; past the end for who is no source any more."""
        for rank, source in enumerate(self.sources):
            if source.name == name:
                return rank
        return len(self.sources)

    def best(self, now: int, but: str = "", above: int | None = None) -> Source | None:
        """The best source that may be tried now, other than `but`, of a rank better than `above`."""
        for source in self.sources[:above]:
            if source.name != but and self._until(source.name) <= now:
                return source
        return None

    def next_at(self, but: str = "", above: int | None = None) -> int | None:
        """When the first source may be tried; None if there is none."""
        moments = [self._until(source.name) for source in self.sources[:above] if source.name != but]
        return min(moments, default=None)

    def failed(self, now: int, name: str, badly: bool = False) -> None:
        """A source did not serve. `badly`: it contradicted; it is left alone for the longest pause."""
        before = self._failures.get(name)
        times = before.times + 1 if before else 0
        span = min(self._times.backoff << min(times, 32), self._times.backoff_most)
        if badly:
            span = self._times.backoff_most
        self._failures[name] = Failure(now + self._random.randint(span // 2, span), times)

    def served(self, name: str) -> None:
        """A source serves: its failures are forgotten."""
        self._failures.pop(name, None)

    def _until(self, name: str) -> int:
        failed = self._failures.get(name)
        return failed.until if failed else 0
