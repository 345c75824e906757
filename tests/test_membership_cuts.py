"""Membership under one-sided cuts, and proof that the checks can fail."""

from collections import deque

import msgspec
import pytest

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import Core
from hazelhold.membership.rows import ALIVE, GONE, SUSPECTED, Row
from tests.membership_world import SEEDS, TERMS, TWO, heard, names, within, world

# One-sided cuts: what the design note says that each side believes.


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("both", [True, False])
def test_a_pair_that_is_cut_while_all_others_reach_both(both: bool, seed: int) -> None:
    made = world(6, seed)
    made.cut(["m2"], ["m3"], both)
    made.run(made.now / 1e6 + 30)
    assert made.agree() and not heard(made, "gone")
    assert made.processes["m2"].core.table.members["m3"].via, "it says through whom it hears of the other"


def isolated(made: MembershipSimulation, name: str, deaf: bool, mute: bool) -> None:
    others = names(6, name)
    if deaf:
        made.cut(others, [name], both=False)
    if mute:
        made.cut([name], others, both=False)


def lone(made: MembershipSimulation, name: str, deaf: bool, mute: bool) -> None:
    """What must hold of one that is deaf, mute or both: it is gone for the others, who accuse nobody else;
    it says that it is alone, sees the others as suspected, and calls nobody gone."""
    began = made.now / 1e6
    isolated(made, name, deaf, mute)
    assert within(made, 12, lambda: made.gone_everywhere(name)) < 9
    made.run(began + 30)
    others = names(6, name)
    assert all(made.view(a, b) == ALIVE for a in others for b in others)
    assert heard(made, "alone", by=name) and all(made.view(name, n) == SUSPECTED for n in others)
    assert not [n for n in made.news if n[2].name in others and n[2].what in ("suspected", "gone")]
    made.heal()
    within(made, 15, made.agree)


KINDS = [
    pytest.param(True, False, id="sends-but-does-not-hear"),
    pytest.param(False, True, id="hears-but-is-not-heard"),
    pytest.param(True, True, id="neither"),
]


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize(("deaf", "mute"), KINDS)
def test_one_that_cannot_hear_or_be_heard_accuses_nobody(deaf: bool, mute: bool, seed: int) -> None:
    lone(world(6, seed), "m2", deaf, mute)


def parted(made: MembershipSimulation, both: bool) -> None:
    """Alive means answers: where a zone is not heard, neither side gets answers from the other."""
    one, other = ["m0", "m2", "m4"], ["m1", "m3", "m5"]
    made.cut(one, other, both)
    within(made, 14, lambda: all(made.view(a, b) == made.view(b, a) == GONE for a in one for b in other))
    made.run(made.now / 1e6 + 10)
    assert all(made.view(a, b) == ALIVE for side in (one, other) for a in side for b in side)
    made.heal()
    made.news.clear()
    assert within(made, 10, made.agree) < 6
    made.run(made.now / 1e6 + 5)
    assert not heard(made, "gone"), "one half took the other's word on its own members"


@pytest.mark.parametrize("seed", TWO)
@pytest.mark.parametrize("both", [True, False])
def test_a_split_and_a_zone_that_is_not_heard_live_on_in_two_halves_and_grow_together(
    both: bool, seed: int
) -> None:
    parted(world(6, seed), both)


def test_without_time_to_answer_a_half_takes_the_others_word_on_its_own_members() -> None:
    with pytest.raises(AssertionError, match="own members"):
        for seed in range(5):
            parted(world(6, seed, AnyGone), True)


def test_of_two_members_the_one_left_over_is_alone_and_says_so() -> None:
    made = world(2, 1)
    made.crash("m1")
    within(made, 10, lambda: made.view("m0", "m1") == SUSPECTED)
    made.run(made.now / 1e6 + 30)
    assert made.view("m0", "m1") == SUSPECTED and heard(made, "alone") and not heard(made, "gone")


def test_clocks_that_run_at_other_rates_and_jumps_of_the_wall_clock_change_nothing() -> None:
    made = MembershipSimulation(1, TERMS)
    for number in range(6):
        made.start(f"m{number}", list(SEEDS), rate=(0.8, 1.0, 1.25)[number % 3], life=10 ** (number + 1))
    within(made, 8, made.agree)
    made.run(60)
    assert not heard(made, "gone") and not heard(made, "suspected")


# The tests' own proof: cores with one safety argument taken away are caught.


class NoWitness(Core):
    """Accuses without a witness."""

    def _failed(self, probe: object) -> None:
        probe.witnesses.add(self.me.name)
        super()._failed(probe)


class NeverAway(Core):
    """Takes its own absence for the others'."""

    def _notice(self, now: int) -> None:
        self.now = max(now, self.now)


class AnyGone(Core):
    """Takes the word of others that one is gone, however fresh the suspicion."""

    def _called_gone(self, member: object, row: Row, teller: str) -> None:
        self._take(row, teller)


class YieldsAtOnce(Core):
    """Takes every younger life of its name for a process that runs."""

    def _challenge(self, row: Row) -> None:
        self.yielded = True
        self.timers.clear()


@pytest.mark.parametrize(("deaf", "mute"), KINDS)
def test_without_witnesses_a_lone_member_accuses_the_others(deaf: bool, mute: bool) -> None:
    with pytest.raises(AssertionError):
        lone(world(6, 1, NoWitness), "m2", deaf, mute)


def overslept(make: type) -> MembershipSimulation:
    """m0 hears a suspicion of m3, which m3 would refute, and is stopped before it can ask; what comes
    meanwhile is lost, as where a socket's buffer is full."""
    made = world(6, 2, make)
    process = made.processes["m0"]
    process.inbox = deque(maxlen=0)
    row = process.core.table.row("m3")
    process.core._merge(msgspec.structs.replace(row, state=SUSPECTED, by="m1"), "m1")
    made.pause("m0", 12)
    made.run(made.now / 1e6 + 25)
    assert made.agree()
    return made


def test_without_a_sense_of_its_own_absence_a_paused_member_calls_others_gone() -> None:
    assert heard(overslept(NeverAway), "gone", by="m0", of="m3")
    assert not heard(overslept(Core), "gone", by="m0", of="m3")


def test_one_that_yields_to_every_younger_life_yields_to_a_ghost() -> None:
    made = world(5, 1, YieldsAtOnce)
    ghost = Row("m1", 77, 1, 0, GONE, "nowhere")
    made.processes["m1"].core._merge(ghost, "m0")
    made.run(made.now / 1e6 + 5)
    assert made.processes["m1"].core.yielded
    sound = world(5, 1)
    sound.processes["m1"].core._merge(ghost, "m0")
    sound.run(sound.now / 1e6 + 5)
    assert not sound.processes["m1"].core.yielded and sound.processes["m1"].core.me.life == 78
