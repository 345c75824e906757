"""A Brain's copy: every field has its place, and the copy decides as the one that never stopped."""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.interface import DecisionKind, DispatchOutcome, Load, OutcomeReason
from hazelhold.scheduler import Guest, Machine, Scheduler, ServiceUsage
from hazelhold.state import snapshot
from tests.helpers import DEPLOYMENT, MS, ask, scheduler
from tests.state_rig import S


def test_every_field_of_the_module_has_its_place_in_a_snapshot() -> None:
    made = scheduler("ab")
    made.guest_submitted(0, ask("g"))
    own = {
        "deployment",
        "spread",
        "seated",
        "no_room",
        "machines",
        "guests",
        "waiting",
        "services",
        "starts",
        "answers",
        "random",
        "to_probe",
        "to_test",
        "to_call_off",
        "out",
        "due",
    }
    assert vars(made).keys() - own == {*snapshot.BRAIN_TIMES, *snapshot.BRAIN_PLAIN}
    own = {"ask", "product", "service", "machine", "spread_key", "bound"}
    assert vars(made.guests["g"]).keys() - own == {*snapshot.GUEST_TIMES, *snapshot.GUEST_PLAIN}
    own = {
        "listed",
        "size",
        "guests",
        "kept",
        "full",
        "answers",
        "offers",
        "mark",
        "bears",
        "starting",
        "services",
    }
    assert vars(made.machines["a"]).keys() - own == {*snapshot.MACHINE_TIMES, *snapshot.MACHINE_PLAIN}
    assert vars(ServiceUsage()).keys() == {"samples", "guests", "seen", "order", "order_of"}
    assert Guest and Machine


def drive(made: Scheduler, random: Random, now: int, names: list[str]) -> list[object]:
    """A moment of a day: inputs drawn at random, then decisions; what they were."""
    what, found = random.randrange(9), []
    if what < 4:
        names.append(f"g{len(names)}")
        made.guest_submitted(now, ask(names[-1], random.randrange(5), random.choice([0.5, 2.0, 6.0])))
    out = [n for n, g in made.guests.items() if g.machine]
    if out and what in (4, 5, 6):
        name = random.choice(out)
        guest = made.guests[name]
        if not guest.placed and random.random() < 0.7:
            made.dispatch_accepted(now, name, 20 * MS)
            made.guest_started(now + MS, name)
            made.cores_used(now, name, random.random())
            made.memory_used(now, name, random.random())
        else:
            ending = random.choice(
                [
                    DispatchOutcome.REFUSED,
                    DispatchOutcome.TIMED_OUT,
                    DispatchOutcome.INTERRUPTED,
                    DispatchOutcome.COMPLETED,
                ]
            )
            made.dispatch_ended(now, name, ending, guest.placed, random.choice(list(OutcomeReason)))
    elif what == 7:
        made.machine_reported(
            now, random.choice("abcd"), Load(random.uniform(0, 24), random.uniform(0, 40), None)
        )
    elif what == 8 and names:
        made.guest_cancelled(now, random.choice(names))
    while (decision := made.decide(now)) is not None:
        found.append(decision)
        if decision.kind in (DecisionKind.REFUSE, DecisionKind.FAIL):
            made.guest_abandoned(now, decision.guest)
    return found


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 10_000), st.integers(5, 60))
def test_a_copy_decides_as_the_brain_that_never_stopped(seed: int, stop: int) -> None:
    made, random, names = scheduler("abcd", probing=seed % 2 == 0), Random(seed), []
    for step in range(stop):
        drive(made, random, S + step * 37 * MS, names)
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(snapshot.dump(made)))
    copy = snapshot.restore(plain, made.deployment)
    state, others = random.getstate(), list(names)
    for step in range(stop, stop + 60):
        now = S + step * 37 * MS
        here = drive(made, random, now, names)
        after = random.getstate()
        random.setstate(state)
        assert drive(copy, random, now, others) == here
        state = after
    assert DEPLOYMENT and copy.next_decision_at(now) == made.next_decision_at(now)
