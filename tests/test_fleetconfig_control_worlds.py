"""The control machine's core: drawn worlds against a plain model, and a small world gone through whole."""

import pytest
from fleetconfig_machines import RESTARTING
from fleetconfig_model import World, drawn_world
from fleetconfig_space import ControlSpace, search, walk
from hypothesis import given, settings
from hypothesis import strategies as st


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.integers(0, 10**9))
def test_drawn_worlds_keep_one_chain_whose_answers_hold(seed: int) -> None:
    drawn_world(seed).play()


def test_drawn_worlds_see_all_that_they_are_for() -> None:
    """So that the worlds above are not empty: every outcome, groups, gaps, snapshots and open askings."""
    counts: dict[str, int] = {}
    for seed in range(12):
        world = drawn_world(seed).play()
        for machine in world.machines.values():
            for name, count in machine.core.counts.items():
                counts[name] = counts.get(name, 0) + count
        counts["groups"] = counts.get("groups", 0) + sum(
            len(sealed.revision.changes) > 1 for sealed in world.committed.values()
        )
        counts["snapshots"] = counts.get("snapshots", 0) + world.snapshots
    wanted = {f"answered_{outcome}" for outcome in ("committed", "invalid", "conflict", "refused", "unknown")}
    wanted |= {"register_open", "register_refused", "heard_gap", "groups", "snapshots"}
    assert {name for name in wanted if not counts.get(name)} == set()


def test_the_same_seed_is_the_same_world() -> None:
    def bodies(seed: int) -> list[bytes]:
        committed = World(seed, RESTARTING, writers=4, changes=4).play().committed
        return [committed[number].body for number in sorted(committed)]

    assert bodies(5) == bodies(5) != bodies(6)


def test_every_order_of_two_writers_at_two_machines() -> None:
    states, ends = search(ControlSpace(asks=(2, 1)), 40_000)
    assert states > 10_000
    assert ends >= {
        (("X", "committed"), ("Y", "conflict")),
        (("X", "conflict"), ("Y", "committed")),
        (("X", "unknown"), ("Y", "committed")),
        (("X", "unknown"), ("Y", "conflict")),
    }


@pytest.mark.parametrize("items", [("later/p", "later/p"), ("later/p", "later/q")], ids=["same", "other"])
def test_drawn_orders_with_more_askings_and_restarts(items: tuple[str, str]) -> None:
    walk(lambda: ControlSpace(asks=(6, 4), ballots=3, items=items, restarts=2), 300)
