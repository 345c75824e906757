"""Membership's core in virtual time: joining, leaving, dying, pauses and lost datagrams."""

import pytest

from hazelhold.emulate.heartbeats import Heartbeats
from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import Core
from hazelhold.membership.rows import ALIVE, GONE, LEFT
from tests.membership_world import SEEDS, TERMS, TWO, heard, names, within, world
from tests.test_membership_cuts import lone

# Joining, leaving, dying.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("count", [3, 5, 16])
def test_a_crash_is_noticed_by_all_and_nobody_else_is_accused(count: int, seed: int) -> None:
    made = world(count, seed)
    made.crash("m1")
    assert within(made, 12, lambda: made.gone_everywhere("m1")) < 9
    made.run(made.now / 1e6 + 10)
    assert not made.wrongly and not [n for n in heard(made, "suspected") if n[2].name != "m1"]
    first = heard(made, "suspected")[0][2]
    assert first.cause["witnesses"], "an accusation names who witnessed it"


@pytest.mark.parametrize("seed", TWO)
def test_a_leave_is_told_apart_from_a_death(seed: int) -> None:
    made = world(6, seed)
    made.leave("m3")
    within(made, 2, lambda: all(made.view(n, "m3") == LEFT for n in names(6, "m3")))
    made.run(made.now / 1e6 + 20)
    assert not heard(made, "suspected") and not heard(made, "gone")


@pytest.mark.parametrize("seed", TWO)
def test_all_seeds_down_at_the_start_and_one_comes_late(seed: int) -> None:
    made = MembershipSimulation(seed, TERMS)
    for number in (3, 4, 5):
        made.start(f"m{number}", list(SEEDS))
    made.run(20)
    assert made.view("m3", "m4") is None
    made.start("m1", list(SEEDS))
    assert within(made, 10, made.agree) < 8


def test_a_return_under_another_address_is_a_new_life_of_the_same_member() -> None:
    made = world(5, 1)
    made.crash("m4")
    within(made, 12, lambda: made.gone_everywhere("m4"))
    made.start("m4", list(SEEDS), address="elsewhere")
    within(made, 5, made.agree)
    assert {made.processes[n].core.table.row("m4").address for n in names(5)} == {"elsewhere"}


@pytest.mark.parametrize("seed", TWO)
def test_a_restart_whose_clock_went_back_outlives_its_own_ghost(seed: int) -> None:
    made = world(5, seed)
    made.crash("m4")
    made.start("m4", list(SEEDS), life=1)  # the life before was 10, and nobody has noticed its end
    within(made, 10, made.agree)
    assert made.processes["m4"].core.me.life == 11 and not made.processes["m4"].core.yielded


@pytest.mark.parametrize("life", [1, 99])
@pytest.mark.parametrize("seed", TWO)
def test_of_two_processes_of_one_name_the_one_that_came_later_stays(seed: int, life: int) -> None:
    made = world(5, seed)
    older = made.processes["m1"]
    made.start("m1", ["at-m0"], address="another", life=life)
    within(made, 10, lambda: older.core.yielded)
    assert [n.what for _, who, n in made.news if n.what == "yielded"] == ["yielded"]
    within(made, 5, made.agree)
    made.run(made.now / 1e6 + 10)
    assert not made.processes["m1"].core.yielded


def test_a_ghost_that_was_learned_late_is_outlived_not_yielded_to() -> None:
    """A half that was cut off still remembers a life that is greater than the one that started here since."""
    made = world(6, 3)
    made.cut(["m3", "m4", "m5"], ["m0", "m1", "m2"])
    made.crash("m1")
    made.run(made.now / 1e6 + 1)
    for name in ("m0", "m2"):
        made.processes[name].core.table.forget("m1")
    made.start("m1", ["at-m0"], life=2)
    within(made, 10, lambda: made.view("m0", "m1") == ALIVE and made.processes["m1"].core.settled)
    made.heal()
    within(made, 20, made.agree)
    assert made.processes["m1"].core.me.life > 10 and not made.processes["m1"].core.yielded


def test_a_first_planner_whose_seeds_stay_down_is_in_contact_once_others_joined_through_it() -> None:
    """Else it would outlive a younger process of its name, which came later and has to stay."""
    made = MembershipSimulation(1, TERMS)
    older = made.start("m3", list(SEEDS))
    for name in ("m4", "m5"):
        made.start(name, ["at-m3"])
    within(made, 5, made.agree)
    made.run(made.now / 1e6 + 5)
    made.start("m3", ["at-m4"], address="another")
    within(made, 10, lambda: older.core.yielded)
    made.run(made.now / 1e6 + 5)
    assert not made.processes["m3"].core.yielded


# Pauses.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("span", [0.3, 1.0])
def test_a_short_pause_costs_nobody_its_place(span: float, seed: int) -> None:
    made = world(10, seed)
    for round_ in range(6):
        made.plan(made.now / 1e6 + 5 * round_ + 1, made.pause, f"m{round_}", span)
    made.run(made.now / 1e6 + 40)
    assert not heard(made, "gone") and made.agree()


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("span", [5.0, 30.0])
def test_a_long_pause_is_noticed_by_its_own_clock_and_blamed_on_nobody(span: float, seed: int) -> None:
    made = world(6, seed)
    made.pause("m2", span)
    made.run(made.now / 1e6 + span - 0.01)
    assert span < 12 or made.gone_everywhere("m2")
    back = made.now / 1e6
    assert within(made, 4, made.agree) < 3
    made.run(back + 10)
    assert len(heard(made, "away")) == 1 and heard(made, "refuted", by="m2")
    assert not [n for n in made.news if n[1] == "m2" and n[2].what in ("suspected", "gone")]


@pytest.mark.parametrize("seed", TWO)
def test_half_of_all_are_paused(seed: int) -> None:
    made = world(8, seed)
    for name in names(8)[:4]:
        made.pause(name, 10)
    made.run(made.now / 1e6 + 9.9)
    assert all(made.view("m7", n) == GONE for n in names(8)[:4])
    assert within(made, 5, made.agree) < 4
    assert not [n for n in made.news if n[1] in names(8)[:4] and n[2].cause.get("by") == n[1]]


# Lost, late, doubled.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_lost_doubled_reordered_and_late_datagrams(loss: float, seed: int) -> None:
    made = world(8, seed)
    made.loss, made.double, made.delay = loss, 0.2, (200, 120_000)
    made.run(made.now / 1e6 + 120)
    assert not heard(made, "gone")
    made.loss = 0.0
    within(made, 5, made.agree)


def test_loss_in_one_direction_and_in_bursts() -> None:
    made = world(6, 1)
    for other in names(6, "m1"):
        made.lossy["m1", other] = 0.5
    for start in range(10, 100, 10):
        made.plan(start, setattr, made, "loss", 0.7)
        made.plan(start + 1.0, setattr, made, "loss", 0.0)
    made.run(110)
    assert not heard(made, "gone")


# A second implementation on the same schedules.


@pytest.mark.parametrize("seed", TWO)
def test_plain_heartbeats_see_the_same_crash_leave_and_restart(seed: int) -> None:
    views = []
    for make in (Core, Heartbeats):
        made = world(6, seed, make)
        made.crash("m1")
        made.leave("m2")
        made.run(made.now / 1e6 + 15)
        first = [made.view(a, b) for a in names(6, "m1", "m2") for b in names(6)]
        made.start("m1", list(SEEDS))
        made.run(made.now / 1e6 + 10)
        views.append((first, [made.view(a, b) for a in names(6, "m2") for b in names(6, "m2")]))
    assert views[0] == views[1]


def test_plain_heartbeats_call_a_pair_gone_that_others_reach_and_a_deaf_one_calls_all_gone() -> None:
    """Where the two must differ: so the schedules above are known to tell them apart."""
    made = world(6, 1, Heartbeats)
    made.cut(["m2"], ["m3"])
    made.run(made.now / 1e6 + 10)
    assert made.view("m2", "m3") == GONE
    with pytest.raises(AssertionError):
        lone(world(6, 1, Heartbeats), "m2", True, False)
