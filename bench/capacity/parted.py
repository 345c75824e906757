"""Planners' membership in eight regions, in virtual time: a planner or region that crashes, two regions that
do not reach each other."""

from typing import NamedTuple

from bench.capacity.registry import RefusedError
from bench.capacity.target import REGIONS
from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import MembershipSettings

SETTLED_S = 60.0  # the join is told to all within it
WATCHED_S = 60.0
STEP_S = 0.1  # how finely a time is told


class Cut(NamedTuple):
    """What a cut between two regions costs."""

    wrong: int  # members called gone that ran, counted in each view
    bytes_a_second: float  # sent by a member, the mean


class Parted:
    """Planners that know each other, dealt out to the regions in turn."""

    def __init__(self, planners: int, seed: int = 1) -> None:
        self.parley = MembershipSimulation(seed, MembershipSettings("capacity"))
        self.names = [f"planner-{number}" for number in range(planners)]
        for number, name in enumerate(self.names):
            self.parley.start(name, ["at-planner-0"], zone=f"region-{number % REGIONS}")
        self.parley.run(SETTLED_S)
        if not self.parley.agree():
            raise RefusedError(f"the members had not found each other after {SETTLED_S:g} s")

    def region(self, number: int) -> list[str]:
        return self.names[number::REGIONS]

    def part_two_regions(self) -> Cut:
        wrong, sent = len(self.parley.wrongly), self.parley.sent["bytes"]
        self.parley.cut(self.region(0), self.region(1))
        self.parley.run(SETTLED_S + WATCHED_S)
        bytes_sent = self.parley.sent["bytes"] - sent
        return Cut(len(self.parley.wrongly) - wrong, bytes_sent / WATCHED_S / len(self.names))

    def lose_a_region(self) -> float:
        return self._lose(self.region(0))

    def lose_a_planner(self) -> float:
        return self._lose(self.names[1:2])

    def _lose(self, names: list[str]) -> float:
        """Seconds until these are gone in all other views."""
        for name in names:
            self.parley.crash(name)
        now = SETTLED_S
        while now < SETTLED_S + WATCHED_S:
            now += STEP_S
            self.parley.run(now)
            if all(self.parley.gone_everywhere(name) for name in names):
                return now - SETTLED_S
        raise RefusedError(f"not known to all within {WATCHED_S:g} s")
