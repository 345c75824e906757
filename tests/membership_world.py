"""Members in virtual time, for the tests of membership's core."""

from collections.abc import Callable

import pytest

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import Core, News, Terms

TERMS = Terms("tests")

SEEDS = ("at-m0", "at-m1", "at-m2")

TWO = [pytest.param(seed, id=f"seed{seed}") for seed in (1, 2)]


def world(count: int, seed: int, make: type = Core, settle: float = 8.0) -> MembershipSimulation:
    """Members m0 to m(count-1) that know each other, two zones in turn."""
    made = MembershipSimulation(seed, TERMS, make)
    for number in range(count):
        made.start(f"m{number}", list(SEEDS), zone=f"z{number % 2}")
    assert not made.run(settle, lambda: not made.agree())
    made.run(settle)
    made.wrongly.clear()
    made.news.clear()
    return made


def heard(made: MembershipSimulation, what: str, by: str = "", of: str = "") -> list[tuple[float, str, News]]:
    return [
        (at / 1e6, who, n)
        for at, who, n in made.news
        if n.what == what and by in ("", who) and of in ("", n.name)
    ]


def names(count: int, *but: str) -> list[str]:
    return [f"m{n}" for n in range(count) if f"m{n}" not in but]


def within(made: MembershipSimulation, seconds: float, true: Callable[[], bool]) -> float:
    """Runs until it is true; how many seconds that took. Fails past the bound."""
    began = made.now
    assert not made.run(made.now / 1e6 + seconds, lambda: not true()), "not within the bound"
    return (made.now - began) / 1e6
