"""Membership among three: every pattern of cuts, every fate of datagrams, and generated schedules."""

from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import Core, Post
from hazelhold.membership.rows import ALIVE, GONE, Row, key
from tests.membership_world import SEEDS, TERMS, heard, names, within

# The tests' own proof: cores with one safety argument taken away are caught.


class AnyOrder(Core):
    """Takes whatever was told last."""

    def _merge(self, row: Row, teller: str) -> None:
        if (
            row.name != self.me.name
            and row.state == ALIVE
            and self.table.row(row.name)
            and key(row) != key(self.table.row(row.name))
        ):
            self._take(row, teller)
        else:
            super()._merge(row, teller)


# Search: every pattern of one-sided cuts among three, and every fate of single datagrams.

PAIRS = [(a, b) for a in ("m0", "m1", "m2") for b in ("m0", "m1", "m2") if a != b]


class Watch:
    """Looks at a view after each event: what must never go back, does not."""

    def __init__(self, made: MembershipSimulation) -> None:
        self.made, self.last = made, {}
        carry = made._carry_out

        def look(process: object) -> None:
            carry(process)
            for name, member in process.core.table.members.items():
                before = self.last.get((process.name, id(process), name))
                row = member.row
                if before is not None:
                    assert (row.life, row.nonce) >= (before.life, before.nonce), "a life went back"
                    if before.state >= GONE and row.life == before.life and row.state < GONE:
                        assert row.seq > before.seq, "gone was undone without the member's own word"
                truth = made.processes[name].core.me
                if (row.life, row.nonce) == (truth.life, truth.nonce):
                    assert row.seq <= truth.seq, "a word that its member never said"
                self.last[process.name, id(process), name] = row

        made._carry_out = look


def settle_three(make: type = Core) -> MembershipSimulation:
    made = MembershipSimulation(1, TERMS, make)
    Watch(made)
    for name in ("m0", "m1", "m2"):
        made.start(name, list(SEEDS))
    made.run(3)
    assert made.agree()
    made.news.clear()
    return made


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


def play_cuts(made: MembershipSimulation, *patterns: tuple[bool, ...]) -> None:
    for pattern in patterns:
        made.cuts = {pair for pair, cut in zip(PAIRS, pattern, strict=True) if cut}
        made.run(made.now / 1e6 + 5.5)
        both = {frozenset(p) for p in made.cuts} | set()
        for a, b in PAIRS:  # nobody without a cut of its own is ever called gone
            if made.view(a, b) == GONE:
                assert any(b in pair for pair in both)
    made.heal()
    assert not made.run(made.now / 1e6 + 30, lambda: not made.agree()), "no agreement after the faults"


@pytest.mark.parametrize("first", range(8))
def test_every_pattern_of_one_sided_cuts_among_three_twice_over(first: int) -> None:
    """All 64 patterns, each followed by each of eight drawn ones, by symmetry once: 5.5 s each, then
    agreement."""
    patterns = list(product((False, True), repeat=6))
    for number, pattern in enumerate(patterns):
        if number % 8 == first and canonical(pattern):
            play_cuts(settle_three(), pattern)
            for then in patterns:
                play_cuts(settle_three(), pattern, then)


FATES = ("comes", "lost", "late", "twice")


def fated(fates: tuple[str, ...], make: type, fault: str) -> MembershipSimulation:
    """Three members; from now on the datagrams meet these fates, one each, then all come."""
    made = settle_three(make)
    left = list(fates)
    post = made._send_datagram

    def send(process: object, action: Post) -> None:
        fate = left.pop(0) if left else "comes"
        if fate == "late":
            made._later(made.now + 700_000, post, process, action)
        elif fate != "lost":
            post(process, action)
            if fate == "twice":
                made._later(made.now + 50_000, post, process, action)

    made._send_datagram = send
    if fault == "crash":
        made.crash("m2")
    elif fault:
        made.pause("m1", float(fault))
    return made


@pytest.mark.parametrize(("fault", "depth"), [("", 5), ("crash", 5), ("1.0", 4), ("6.0", 4)])
def test_every_fate_of_the_next_datagrams(fault: str, depth: int) -> None:
    """4 ** depth runs for each fault: the next datagrams are lost, late, doubled or come; then agreement."""
    for fates in product(FATES, repeat=depth):
        made = fated(fates, Core, fault)
        made.run(made.now / 1e6 + (7 if fault == "6.0" else 2))
        within(made, 30, made.agree)
        if fault in ("", "1.0"):
            assert not heard(made, "gone"), fates


def test_a_core_that_takes_rows_in_any_order_is_caught_by_the_search() -> None:
    with pytest.raises(AssertionError, match="own word|went back|never said"):
        for fates in product(FATES, repeat=3):
            made = fated(fates, AnyOrder, "6.0")
            made.run(made.now / 1e6 + 20)
        for pattern in list(product((False, True), repeat=6))[1:]:
            play_cuts(settle_three(AnyOrder), pattern)


@settings(max_examples=25, deadline=None)
@given(st.data())
def test_generated_schedules_end_in_agreement(data: st.DataObject) -> None:
    """Cuts, pauses, crashes, restarts, leaves and loss as they are drawn, over five members; then quiet."""
    made = MembershipSimulation(data.draw(st.integers(1, 1000)), TERMS)
    Watch(made)
    for name in names(5):
        made.start(name, list(SEEDS))
    for _ in range(data.draw(st.integers(1, 8))):
        what = data.draw(st.sampled_from(["cut", "pause", "crash", "start", "leave", "loss", "heal"]))
        name = data.draw(st.sampled_from(names(5)))
        process = made.processes[name]
        if what == "cut":
            made.cut([name], [data.draw(st.sampled_from(names(5)))], data.draw(st.booleans()))
        elif what == "pause":
            made.pause(name, data.draw(st.sampled_from([0.2, 1.0, 5.0])))
        elif what == "crash":
            made.crash(name)
        elif what == "start" and (not process.up or process.core.left):
            made.start(name, list(SEEDS))
        elif what == "leave" and process.up and not process.paused:
            made.leave(name)
        elif what == "loss":
            made.loss = data.draw(st.sampled_from([0.0, 0.1, 0.3]))
        elif what == "heal":
            made.heal()
        made.run(made.now / 1e6 + data.draw(st.sampled_from([0.1, 1.0, 4.0])))
    made.heal()
    made.loss = 0.0
    made.run(made.now / 1e6 + 6)
    running = made.running()
    assert not made.run(
        made.now / 1e6 + 40,
        lambda: (
            any(made.view(a, b) != ALIVE for a in running for b in running)
            or (len(running) > 2 and not made.agree())
        ),
    )
