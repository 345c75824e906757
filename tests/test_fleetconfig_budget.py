"""The assumed burst keeps the operators' budget of traffic: counts of bytes in virtual time, at a small size.
A planner's bytes without relays do not grow with the number of planners."""

from random import Random

import pytest

from bench.capacity import target as t
from bench.capacity.configuration.kinds import by_field, by_kind
from bench.capacity.configuration_model import Load, Seconds, Traffic, fleet, run
from hazelhold.emulate.spread_world import World
from hazelhold.fleetconfig import follower
from hazelhold.fleetconfig.messages import Follow
from hazelhold.fleetconfig.spread_actions import Times

PLANNERS = 12
BURST = Load("burst", t.CONFIGURATION_BURST * t.CONFIGURATION_CHANGES_A_DAY / t.DAY_S, 20)
SPARE = 1.2  # what is to be left of the budget in the worst second
SPARE_MEAN = 2.0  # and in the mean


def burst(relays: int) -> tuple[World, Seconds]:
    world = fleet(PLANNERS, 1, relays)
    seconds, _ = run(world, BURST, Random("changes/1"))
    return world, seconds


def traffic(world: World, seconds: Seconds) -> Traffic:
    return seconds.traffic([p.name for p in world.planners], [c.name for c in world.controls])


def slowest(world: World) -> float:
    """Seconds from a commit to the last planner, the longest of all."""
    world.run(5)
    first = 3  # the first two revisions list the fleet
    return (
        max(
            world.last_in_force_at[number] - world.committed_at[number - 1]
            for number in range(first, len(world.order) + 1)
        )
        / 1e6
    )


def keeps_the_budget() -> bool:
    world, seconds = burst(relays=0)
    found = traffic(world, seconds)
    return (
        found.busiest_planner * SPARE_MEAN <= t.BUDGET_TRAFFIC
        and found.worst_second * SPARE <= t.BUDGET_TRAFFIC
    )


def test_without_relays_a_burst_keeps_the_budget_in_its_worst_second_too() -> None:
    assert keeps_the_budget()


def test_with_relays_the_mean_of_all_planners_keeps_it() -> None:
    world, seconds = burst(relays=2)
    assert traffic(world, seconds).planner <= t.BUDGET_TRAFFIC
    assert slowest(world) < t.CONFIGURATION_IN_FORCE_S / 2


def test_what_is_held_back_is_in_force_in_time() -> None:
    world, _ = burst(relays=0)
    assert slowest(world) < t.CONFIGURATION_IN_FORCE_S / 2
    for control in world.controls:
        for told in control.fleet.revisions(world.now):
            assert 0 <= told.everywhere_after < t.CONFIGURATION_IN_FORCE_S * 1e6


def test_without_packing_the_check_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(follower, "Follow", lambda number, chain, packed: Follow(number=number, chain=chain))
    assert not keeps_the_budget()


def test_without_batches_more_is_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    world, seconds = burst(relays=0)
    with_batches = traffic(world, seconds).planner
    monkeypatch.setattr(World.__init__, "__defaults__", unbatched(World.__init__.__defaults__))
    world, seconds = burst(relays=0)
    assert traffic(world, seconds).planner > 1.15 * with_batches


def unbatched(defaults: tuple) -> tuple:
    return tuple(Times(batch=0) if isinstance(value, Times) else value for value in defaults)


def test_the_parts_add_up_to_the_whole() -> None:
    world, seconds = burst(relays=0)
    whole = sum(sum(row.values()) for row in seconds.rows) / len(seconds.rows) / 2
    assert sum(size for *_, size in by_kind(seconds)) == pytest.approx(whole)
    fields = by_field(world.order[-1])
    assert sum(fields.values()) == len(world.order[-1].body)
    assert fields["items"] > 100 and fields["parent"] == fields["content"] - 1 == 25
