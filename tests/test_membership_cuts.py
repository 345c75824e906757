"""Membership under one-sided partitions, and proof that the checks can fail."""

from collections import deque

import msgspec
import pytest

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import MembershipCore
from hazelhold.membership.rows import ALIVE, GONE, SUSPECTED, Row
from tests.membership_world import SEEDS, SETTINGS, TWO, changes, names, within, world

# One-sided partitions: the views that the design note states for each side.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("both", [True, False])
def test_a_pair_that_is_cut_while_all_others_reach_both(both: bool, seed: int) -> None:
    simulation = world(6, seed)
    simulation.cut(["m2"], ["m3"], both)
    simulation.run(simulation.now / 1e6 + 30)
    assert simulation.agree() and not changes(simulation, "gone")
    assert simulation.processes["m2"].core.table.members["m3"].via, (
        "the view names the helper that reaches the other member"
    )


def isolated(simulation: MembershipSimulation, name: str, deaf: bool, mute: bool) -> None:
    """Cuts a member off from the others in one or both directions."""
    others = names(6, name)
    if deaf:
        simulation.cut(others, [name], both=False)
    if mute:
        simulation.cut([name], others, both=False)


def lone(simulation: MembershipSimulation, name: str, deaf: bool, mute: bool) -> None:
    """Checks a member that cannot receive, cannot send, or neither. The others see it as gone and suspect
    nobody else; it reports that it is alone, sees the others as suspected, and reports nobody gone."""
    began = simulation.now / 1e6
    isolated(simulation, name, deaf, mute)
    assert within(simulation, 12, lambda: simulation.gone_everywhere(name)) < 9
    simulation.run(began + 30)
    others = names(6, name)
    assert all(simulation.view(a, b) == ALIVE for a in others for b in others)
    assert changes(simulation, "alone", by=name) and all(
        simulation.view(name, n) == SUSPECTED for n in others
    )
    assert not [n for n in simulation.news if n[2].name in others and n[2].what in ("suspected", "gone")]
    simulation.heal()
    within(simulation, 15, simulation.agree)


KINDS = [
    pytest.param(True, False, id="sends-but-does-not-hear"),
    pytest.param(False, True, id="hears-but-is-not-heard"),
    pytest.param(True, True, id="neither"),
]


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize(("deaf", "mute"), KINDS)
def test_a_member_that_cannot_receive_or_send_suspects_nobody(deaf: bool, mute: bool, seed: int) -> None:
    lone(world(6, seed), "m2", deaf, mute)


def parted(simulation: MembershipSimulation, both: bool) -> None:
    """Alive means that it answers: where one zone's datagrams are lost, neither side gets acks."""
    one, other = ["m0", "m2", "m4"], ["m1", "m3", "m5"]
    simulation.cut(one, other, both)
    within(
        simulation,
        14,
        lambda: all(simulation.view(a, b) == simulation.view(b, a) == GONE for a in one for b in other),
    )
    simulation.run(simulation.now / 1e6 + 10)
    assert all(simulation.view(a, b) == ALIVE for side in (one, other) for a in side for b in side)
    simulation.heal()
    simulation.news.clear()
    assert within(simulation, 10, simulation.agree) < 6
    simulation.run(simulation.now / 1e6 + 5)
    assert not changes(simulation, "gone"), "one half believed the other about its own members"


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("both", [True, False])
def test_both_halves_of_a_partition_go_on_and_merge_afterwards(both: bool, seed: int) -> None:
    parted(world(6, seed), both)


def test_without_time_to_refute_a_half_believes_the_other_about_its_own_members() -> None:
    with pytest.raises(AssertionError, match="own members"):
        for seed in range(5):
            parted(world(6, seed, AnyGone), True)


def test_of_two_members_the_remaining_one_reports_that_it_is_alone() -> None:
    simulation = world(2, 1)
    simulation.crash("m1")
    within(simulation, 10, lambda: simulation.view("m0", "m1") == SUSPECTED)
    simulation.run(simulation.now / 1e6 + 30)
    assert (
        simulation.view("m0", "m1") == SUSPECTED
        and changes(simulation, "alone")
        and not changes(simulation, "gone")
    )


def test_clocks_that_run_at_other_rates_and_jumps_of_the_wall_clock_change_nothing() -> None:
    simulation = MembershipSimulation(1, SETTINGS)
    for number in range(6):
        simulation.start(
            f"m{number}", list(SEEDS), rate=(0.8, 1.0, 1.25)[number % 3], life=10 ** (number + 1)
        )
    within(simulation, 8, simulation.agree)
    simulation.run(60)
    assert not changes(simulation, "gone") and not changes(simulation, "suspected")


# Proof of the tests: each variant of the core lacks one safety argument and must fail.


class NoWitness(MembershipCore):
    """Suspects without a witness."""

    def _failed(self, probe: object) -> None:
        probe.witnesses.add(self.me.name)
        super()._failed(probe)


class NeverAway(MembershipCore):
    """Does not detect its own pause."""

    def _detect_pause(self, now: int) -> None:
        self.now = max(now, self.now)


class AnyGone(MembershipCore):
    """Accepts a report that a member is gone, however recent the suspicion."""

    def _merge_gone(self, member: object, row: Row, reporter: str) -> None:
        self._take(row, reporter)


class YieldsAtOnce(MembershipCore):
    """Yields to every younger incarnation of its name without a probe."""

    def _challenge(self, row: Row) -> None:
        self.yielded = True
        self.timers.clear()


@pytest.mark.parametrize(("deaf", "mute"), KINDS)
def test_without_witnesses_a_lone_member_suspects_the_others(deaf: bool, mute: bool) -> None:
    with pytest.raises(AssertionError):
        lone(world(6, 1, NoWitness), "m2", deaf, mute)


def overslept(make: type) -> MembershipSimulation:
    """m0 gets a suspicion of m3, which m3 would refute, and is paused before it can query m3. Datagrams that
    arrive meanwhile are lost, as if the socket's buffer were full."""
    simulation = world(6, 2, make)
    process = simulation.processes["m0"]
    process.inbox = deque(maxlen=0)
    row = process.core.table.row("m3")
    process.core._merge(msgspec.structs.replace(row, state=SUSPECTED, by="m1"), "m1")
    simulation.pause("m0", 12)
    simulation.run(simulation.now / 1e6 + 25)
    assert simulation.agree()
    return simulation


def test_without_detection_of_its_own_pause_a_member_reports_others_gone() -> None:
    assert changes(overslept(NeverAway), "gone", by="m0", of="m3")
    assert not changes(overslept(MembershipCore), "gone", by="m0", of="m3")


def test_yielding_to_every_younger_incarnation_yields_to_a_stale_one() -> None:
    simulation = world(5, 1, YieldsAtOnce)
    ghost = Row("m1", 77, 1, 0, GONE, "nowhere")
    simulation.processes["m1"].core._merge(ghost, "m0")
    simulation.run(simulation.now / 1e6 + 5)
    assert simulation.processes["m1"].core.yielded
    valid = world(5, 1)
    valid.processes["m1"].core._merge(ghost, "m0")
    valid.run(valid.now / 1e6 + 5)
    assert not valid.processes["m1"].core.yielded and valid.processes["m1"].core.me.life == 78
