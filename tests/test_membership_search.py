"""Membership among three: every pattern of partitions, every fate of datagrams, generated schedules."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import MembershipCore, SendDatagram
from hazelhold.membership.rows import ALIVE, GONE, Row, key
from tests.membership_world import SEEDS, SETTINGS, changes, names, within

# Proof of the tests: a variant of the core without one safety argument must fail.


class AnyOrder(MembershipCore):
    """Takes whatever row was received last."""

    def _merge(self, row: Row, reporter: str) -> None:
        if (
            row.name != self.me.name
            and row.state == ALIVE
            and self.table.row(row.name)
            and key(row) != key(self.table.row(row.name))
        ):
            self._take(row, reporter)
        else:
            super()._merge(row, reporter)


# Search: every pattern of one-sided partitions among three, and every fate of single datagrams.

PAIRS = [(a, b) for a in ("m0", "m1", "m2") for b in ("m0", "m1", "m2") if a != b]


class Watch:
    """Checks the view after each event: incarnations and states must never go back."""

    def __init__(self, simulation: MembershipSimulation) -> None:
        self.simulation, self.last = simulation, {}
        carry = simulation._carry_out

        def check(process: object) -> None:
            carry(process)
            for name, member in process.core.table.members.items():
                before = self.last.get((process.name, id(process), name))
                row = member.row
                if before is not None:
                    assert (row.life, row.nonce) >= (before.life, before.nonce), "an incarnation went back"
                    if before.state >= GONE and row.life == before.life and row.state < GONE:
                        assert row.seq > before.seq, "gone was undone without the member's refutation"
                truth = simulation.processes[name].core.me
                if (row.life, row.nonce) == (truth.life, truth.nonce):
                    assert row.seq <= truth.seq, "a seq that its member never sent"
                self.last[process.name, id(process), name] = row

        simulation._carry_out = check


def settle_three(make: type = MembershipCore) -> MembershipSimulation:
    simulation = MembershipSimulation(1, SETTINGS, make)
    Watch(simulation)
    for name in ("m0", "m1", "m2"):
        simulation.start(name, list(SEEDS))
    simulation.run(3)
    assert simulation.agree()
    simulation.news.clear()
    return simulation


def canonical(*patterns: tuple[bool, ...]) -> bool:
    """Whether no renaming of the three members gives a smaller pattern of cuts."""

    def renamed(order: tuple[str, ...]) -> tuple:
        new = dict(zip(("m0", "m1", "m2"), order, strict=True))
        return tuple(tuple(p[PAIRS.index((new[a], new[b]))] for a, b in PAIRS) for p in patterns)

    orders = [
        ("m0", "m1", "m2"),
        ("m0", "m2", "m1"),
        ("m1", "m0", "m2"),
        ("m1", "m2", "m0"),
        ("m2", "m0", "m1"),
        ("m2", "m1", "m0"),
    ]
    return all(patterns <= renamed(order) for order in orders)


def play_cuts(simulation: MembershipSimulation, *patterns: tuple[bool, ...]) -> None:
    for pattern in patterns:
        simulation.cuts = {pair for pair, cut in zip(PAIRS, pattern, strict=True) if cut}
        simulation.run(simulation.now / 1e6 + 5.5)
        both = {frozenset(p) for p in simulation.cuts} | set()
        for a, b in PAIRS:  # only members with a cut link may be reported gone
            if simulation.view(a, b) == GONE:
                assert any(b in pair for pair in both)
    simulation.heal()
    assert not simulation.run(simulation.now / 1e6 + 30, lambda: not simulation.agree()), (
        "no agreement after the faults"
    )


@pytest.mark.parametrize("first", range(8))
def test_every_pattern_of_one_sided_cuts_among_three_twice_over(first: int) -> None:
    """All 64 patterns, each followed by each of the others, symmetric ones only once: 5.5 s each, then
    agreement."""
    patterns = list(product((False, True), repeat=6))
    for number, pattern in enumerate(patterns):
        if number % 8 == first and canonical(pattern):
            play_cuts(settle_three(), pattern)
            for then in patterns:
                play_cuts(settle_three(), pattern, then)


FATES = ("comes", "lost", "late", "twice")


def fated(fates: tuple[str, ...], make: type, fault: str) -> MembershipSimulation:
    """Three members; the next datagrams have these fates, one each, and all later ones arrive."""
    simulation = settle_three(make)
    left = list(fates)
    send_datagram = simulation._send_datagram

    def send(process: object, action: SendDatagram) -> None:
        fate = left.pop(0) if left else "comes"
        if fate == "late":
            simulation._schedule(simulation.now + 700_000, send_datagram, process, action)
        elif fate != "lost":
            send_datagram(process, action)
            if fate == "twice":
                simulation._schedule(simulation.now + 50_000, send_datagram, process, action)

    simulation._send_datagram = send
    if fault == "crash":
        simulation.crash("m2")
    elif fault:
        simulation.pause("m1", float(fault))
    return simulation


@pytest.mark.parametrize(("fault", "depth"), [("", 5), ("crash", 5), ("1.0", 4), ("6.0", 4)])
def test_every_fate_of_the_next_datagrams(fault: str, depth: int) -> None:
    """4 ** depth runs per fault: the next datagrams are lost, late, duplicated or arrive; then agreement."""
    for fates in product(FATES, repeat=depth):
        simulation = fated(fates, MembershipCore, fault)
        simulation.run(simulation.now / 1e6 + (7 if fault == "6.0" else 2))
        within(simulation, 30, simulation.agree)
        if fault in ("", "1.0"):
            assert not changes(simulation, "gone"), fates


def test_a_core_that_takes_rows_in_any_order_is_caught_by_the_search() -> None:
    with pytest.raises(AssertionError, match="refutation|went back|never sent"):
        for fates in product(FATES, repeat=3):
            simulation = fated(fates, AnyOrder, "6.0")
            simulation.run(simulation.now / 1e6 + 20)
        for pattern in list(product((False, True), repeat=6))[1:]:
            play_cuts(settle_three(AnyOrder), pattern)


@settings(max_examples=25, deadline=None)
@given(st.data())
def test_generated_schedules_end_in_agreement(data: st.DataObject) -> None:
    """Random cuts, pauses, crashes, restarts, leaves and loss among five members; then a quiet time."""
    simulation = MembershipSimulation(data.draw(st.integers(1, 1000)), SETTINGS)
    Watch(simulation)
    for name in names(5):
        simulation.start(name, list(SEEDS))
    for _ in range(data.draw(st.integers(1, 8))):
        what = data.draw(st.sampled_from(["cut", "pause", "crash", "start", "leave", "loss", "heal"]))
        name = data.draw(st.sampled_from(names(5)))
        process = simulation.processes[name]
        if what == "cut":
            simulation.cut([name], [data.draw(st.sampled_from(names(5)))], data.draw(st.booleans()))
        elif what == "pause":
            simulation.pause(name, data.draw(st.sampled_from([0.2, 1.0, 5.0])))
        elif what == "crash":
            simulation.crash(name)
        elif what == "start" and (not process.up or process.core.left):
            simulation.start(name, list(SEEDS))
        elif what == "leave" and process.up and not process.paused:
            simulation.leave(name)
        elif what == "loss":
            simulation.loss = data.draw(st.sampled_from([0.0, 0.1, 0.3]))
        elif what == "heal":
            simulation.heal()
        simulation.run(simulation.now / 1e6 + data.draw(st.sampled_from([0.1, 1.0, 4.0])))
    simulation.heal()
    simulation.loss = 0.0
    simulation.run(simulation.now / 1e6 + 6)
    running = simulation.running()
    assert not simulation.run(
        simulation.now / 1e6 + 40,
        lambda: (
            any(simulation.view(a, b) != ALIVE for a in running for b in running)
            or (len(running) > 2 and not simulation.agree())
        ),
    )
