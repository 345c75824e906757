"""Simulated members in virtual time, for the tests of the membership core."""

from collections.abc import Callable

import pytest

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import MembershipChange, MembershipCore, MembershipSettings

SETTINGS = MembershipSettings("tests")

SEEDS = ("at-m0", "at-m1", "at-m2")

TWO = [pytest.param(seed, id=f"seed{seed}") for seed in (1, 2)]


def world(count: int, seed: int, make: type = MembershipCore, settle: float = 8.0) -> MembershipSimulation:
    """Members m0 to m(count-1) that know each other, in two zones in turn."""
    simulation = MembershipSimulation(seed, SETTINGS, make)
    for number in range(count):
        simulation.start(f"m{number}", list(SEEDS), zone=f"z{number % 2}")
    assert not simulation.run(settle, lambda: not simulation.agree())
    simulation.run(settle)
    simulation.wrongly.clear()
    simulation.news.clear()
    return simulation


def changes(
    simulation: MembershipSimulation, what: str, by: str = "", of: str = ""
) -> list[tuple[float, str, MembershipChange]]:
    """The changes of this kind, with their time in seconds and the member that reported them."""
    return [
        (at / 1e6, who, n)
        for at, who, n in simulation.news
        if n.what == what and by in ("", who) and of in ("", n.name)
    ]


def names(count: int, *but: str) -> list[str]:
    """The names of `count` members without `but`."""
    return [f"m{n}" for n in range(count) if f"m{n}" not in but]


def within(simulation: MembershipSimulation, seconds: float, condition: Callable[[], bool]) -> float:
    """Runs until the condition holds, and returns the seconds that took. Fails after `seconds`."""
    began = simulation.now
    assert not simulation.run(simulation.now / 1e6 + seconds, lambda: not condition()), (
        "the condition did not hold in time"
    )
    return (simulation.now - began) / 1e6
