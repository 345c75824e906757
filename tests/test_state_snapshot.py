"""Snapshots of a scheduler: every attribute is included, keys stay, and the copy decides as the original."""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.interface import DecisionKind, DispatchOutcome, Load, OutcomeReason
from hazelhold.scheduler import Guest, Machine, Scheduler, ServiceUsage
from hazelhold.state import snapshot
from tests.helpers import DEPLOYMENT, MS, scheduler, submission
from tests.state_rig import S


def test_every_attribute_of_the_scheduler_is_in_a_snapshot() -> None:
    made = scheduler("ab")
    made.guest_submitted(0, submission("g"))
    own = {
        "deployment",
        "spread",
        "placed_by_priority",
        "unplaceable",
        "machines",
        "guests",
        "held",
        "services",
        "starts",
        "answers",
        "random",
        "to_probe",
        "to_test",
        "to_withdraw",
        "outstanding",
        "placeable",
        "due_answers",
        "pace",
    }
    attributes = {*snapshot.SCHEDULER_TIMES.values(), *snapshot.SCHEDULER_PLAIN.values()}
    assert vars(made).keys() - own == attributes
    own = {"submission", "guest_class", "service", "machine", "spread_key", "dedup_group"}
    attributes = {*snapshot.GUEST_TIMES.values(), *snapshot.GUEST_PLAIN.values()}
    assert vars(made.guests["g"]).keys() - own == attributes
    own = {
        "listed",
        "size",
        "guests",
        "cached_services",
        "refused_until",
        "answers",
        "offers",
        "id_hash",
        "full_service_load",
        "starting",
        "services",
    }
    attributes = {*snapshot.MACHINE_TIMES.values(), *snapshot.MACHINE_PLAIN.values()}
    assert vars(made.machines["a"]).keys() - own == attributes
    assert vars(ServiceUsage()).keys() == {"samples", "guests", "last_seen_at", "order", "order_version"}
    assert Guest and Machine


def test_the_keys_of_a_snapshot_are_those_of_earlier_captures() -> None:
    made = scheduler("ab")
    made.guest_submitted(0, submission("g"))
    plain = snapshot.dump(made)
    (machine, _), (guest,) = plain["machines"], plain["guests"]
    assert " ".join(plain) == (
        "random services machines guests waiting starts answers to_probe to_call_off began no_cold_until "
        "typical_until answer_at looked_at ask_list_at sweep_at probe_at list_heard_at seen typical "
        "list_version kept_well list_current"
    )
    assert " ".join(machine) == (
        "listed kept guests full answers offers size listed_at listed_since cold_at reported_at heard_at "
        "probed_at drawn_at avoid_until slow ready used others left asked sums means most strikes mute "
        "refuses"
    )
    assert " ".join(guest) == (
        "ask service bound machine goal_at patience_at answer_by sent_at window_ends look_at looked_at "
        "rests_until placed runs warm may_run over probed_for unwanted tried dispatches ahead cores_noted "
        "use rounds"
    )


def drive(made: Scheduler, random: Random, now: int, names: list[str]) -> list[object]:
    """One step: inputs drawn at random, then all decisions, which are returned."""
    what, found = random.randrange(9), []
    if what < 4:
        names.append(f"g{len(names)}")
        made.guest_submitted(now, submission(names[-1], random.randrange(5), random.choice([0.5, 2.0, 6.0])))
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
def test_a_copy_decides_as_the_scheduler_that_never_stopped(seed: int, stop: int) -> None:
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
