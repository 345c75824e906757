"""The membership core in virtual time: joins, leaves, crashes, pauses and lost datagrams."""

import pytest

from hazelhold.emulate.heartbeats import Heartbeats
from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import MembershipCore
from hazelhold.membership.rows import ALIVE, GONE, LEFT
from tests.membership_world import SEEDS, SETTINGS, TWO, changes, names, within, world
from tests.test_membership_cuts import lone

# Joins, leaves, crashes.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("count", [3, 5, 16])
def test_a_crash_is_detected_by_all_and_nobody_else_is_suspected(count: int, seed: int) -> None:
    simulation = world(count, seed)
    simulation.crash("m1")
    assert within(simulation, 12, lambda: simulation.gone_everywhere("m1")) < 9
    simulation.run(simulation.now / 1e6 + 10)
    assert not simulation.wrongly and not [n for n in changes(simulation, "suspected") if n[2].name != "m1"]
    first = changes(simulation, "suspected")[0][2]
    assert first.cause["witnesses"], "a suspicion names its witnesses"


@pytest.mark.parametrize("seed", TWO)
def test_a_leave_is_distinguished_from_a_crash(seed: int) -> None:
    simulation = world(6, seed)
    simulation.leave("m3")
    within(simulation, 2, lambda: all(simulation.view(n, "m3") == LEFT for n in names(6, "m3")))
    simulation.run(simulation.now / 1e6 + 20)
    assert not changes(simulation, "suspected") and not changes(simulation, "gone")


@pytest.mark.parametrize("seed", TWO)
def test_all_seeds_down_at_the_start_and_one_comes_late(seed: int) -> None:
    simulation = MembershipSimulation(seed, SETTINGS)
    for number in (3, 4, 5):
        simulation.start(f"m{number}", list(SEEDS))
    simulation.run(20)
    assert simulation.view("m3", "m4") is None
    simulation.start("m1", list(SEEDS))
    assert within(simulation, 10, simulation.agree) < 8


def test_a_return_at_another_address_is_a_new_incarnation_of_the_same_member() -> None:
    simulation = world(5, 1)
    simulation.crash("m4")
    within(simulation, 12, lambda: simulation.gone_everywhere("m4"))
    simulation.start("m4", list(SEEDS), address="elsewhere")
    within(simulation, 5, simulation.agree)
    assert {simulation.processes[n].core.table.row("m4").address for n in names(5)} == {"elsewhere"}


@pytest.mark.parametrize("seed", TWO)
def test_a_restart_with_an_earlier_clock_takes_a_greater_incarnation_than_the_last(seed: int) -> None:
    simulation = world(5, seed)
    simulation.crash("m4")
    simulation.start(
        "m4", list(SEEDS), life=1
    )  # the previous incarnation was 10, and no member has detected its end
    within(simulation, 10, simulation.agree)
    assert simulation.processes["m4"].core.me.life == 11 and not simulation.processes["m4"].core.yielded


@pytest.mark.parametrize("life", [1, 99])
@pytest.mark.parametrize("seed", TWO)
def test_of_two_processes_of_one_name_the_one_that_came_later_stays(seed: int, life: int) -> None:
    simulation = world(5, seed)
    older = simulation.processes["m1"]
    simulation.start("m1", ["at-m0"], address="another", life=life)
    within(simulation, 10, lambda: older.core.yielded)
    assert [n.what for _, who, n in simulation.news if n.what == "yielded"] == ["yielded"]
    within(simulation, 5, simulation.agree)
    simulation.run(simulation.now / 1e6 + 10)
    assert not simulation.processes["m1"].core.yielded


def test_a_stale_incarnation_that_is_learned_late_is_exceeded_not_yielded_to() -> None:
    """A partitioned half still remembers an incarnation greater than the one that started since."""
    simulation = world(6, 3)
    simulation.cut(["m3", "m4", "m5"], ["m0", "m1", "m2"])
    simulation.crash("m1")
    simulation.run(simulation.now / 1e6 + 1)
    for name in ("m0", "m2"):
        simulation.processes[name].core.table.forget("m1")
    simulation.start("m1", ["at-m0"], life=2)
    within(
        simulation,
        10,
        lambda: simulation.view("m0", "m1") == ALIVE and simulation.processes["m1"].core.settled,
    )
    simulation.heal()
    within(simulation, 20, simulation.agree)
    assert simulation.processes["m1"].core.me.life > 10 and not simulation.processes["m1"].core.yielded


def test_a_first_planner_whose_seeds_stay_down_is_in_contact_once_others_joined_through_it() -> None:
    """Otherwise it would exceed the incarnation of a younger process of its name, which has to stay."""
    simulation = MembershipSimulation(1, SETTINGS)
    older = simulation.start("m3", list(SEEDS))
    for name in ("m4", "m5"):
        simulation.start(name, ["at-m3"])
    within(simulation, 5, simulation.agree)
    simulation.run(simulation.now / 1e6 + 5)
    simulation.start("m3", ["at-m4"], address="another")
    within(simulation, 10, lambda: older.core.yielded)
    simulation.run(simulation.now / 1e6 + 5)
    assert not simulation.processes["m3"].core.yielded


# Pauses.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("pause", [0.3, 1.0])
def test_a_short_pause_makes_nobody_gone(pause: float, seed: int) -> None:
    simulation = world(10, seed)
    for round_ in range(6):
        simulation.plan(simulation.now / 1e6 + 5 * round_ + 1, simulation.pause, f"m{round_}", pause)
    simulation.run(simulation.now / 1e6 + 40)
    assert not changes(simulation, "gone") and simulation.agree()


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("pause", [5.0, 30.0])
def test_a_long_pause_is_detected_by_the_own_clock_and_nobody_is_suspected(pause: float, seed: int) -> None:
    simulation = world(6, seed)
    simulation.pause("m2", pause)
    simulation.run(simulation.now / 1e6 + pause - 0.01)
    assert pause < 12 or simulation.gone_everywhere("m2")
    back = simulation.now / 1e6
    assert within(simulation, 4, simulation.agree) < 3
    simulation.run(back + 10)
    assert len(changes(simulation, "away")) == 1 and changes(simulation, "refuted", by="m2")
    assert not [n for n in simulation.news if n[1] == "m2" and n[2].what in ("suspected", "gone")]


@pytest.mark.parametrize("seed", TWO)
def test_half_of_all_are_paused(seed: int) -> None:
    simulation = world(8, seed)
    for name in names(8)[:4]:
        simulation.pause(name, 10)
    simulation.run(simulation.now / 1e6 + 9.9)
    assert all(simulation.view("m7", n) == GONE for n in names(8)[:4])
    assert within(simulation, 5, simulation.agree) < 4
    assert not [n for n in simulation.news if n[1] in names(8)[:4] and n[2].cause.get("by") == n[1]]


# Lost, late and duplicated datagrams.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_lost_duplicated_reordered_and_late_datagrams(loss: float, seed: int) -> None:
    simulation = world(8, seed)
    simulation.loss, simulation.double, simulation.delay = loss, 0.2, (200, 120_000)
    simulation.run(simulation.now / 1e6 + 120)
    assert not changes(simulation, "gone")
    simulation.loss = 0.0
    within(simulation, 5, simulation.agree)


def test_loss_in_one_direction_and_in_bursts() -> None:
    simulation = world(6, 1)
    for other in names(6, "m1"):
        simulation.lossy["m1", other] = 0.5
    for start in range(10, 100, 10):
        simulation.plan(start, setattr, simulation, "loss", 0.7)
        simulation.plan(start + 1.0, setattr, simulation, "loss", 0.0)
    simulation.run(110)
    assert not changes(simulation, "gone")


# A second implementation on the same schedules.


@pytest.mark.parametrize("seed", TWO)
def test_plain_heartbeats_see_the_same_crash_leave_and_restart(seed: int) -> None:
    views = []
    for make in (MembershipCore, Heartbeats):
        simulation = world(6, seed, make)
        simulation.crash("m1")
        simulation.leave("m2")
        simulation.run(simulation.now / 1e6 + 15)
        first = [simulation.view(a, b) for a in names(6, "m1", "m2") for b in names(6)]
        simulation.start("m1", list(SEEDS))
        simulation.run(simulation.now / 1e6 + 10)
        views.append((first, [simulation.view(a, b) for a in names(6, "m2") for b in names(6, "m2")]))
    assert views[0] == views[1]


def test_plain_heartbeats_report_reachable_members_gone_in_one_sided_partitions() -> None:
    """Where both must differ, which proves that the schedules above distinguish them."""
    simulation = world(6, 1, Heartbeats)
    simulation.cut(["m2"], ["m3"])
    simulation.run(simulation.now / 1e6 + 10)
    assert simulation.view("m2", "m3") == GONE
    with pytest.raises(AssertionError):
        lone(world(6, 1, Heartbeats), "m2", True, False)
