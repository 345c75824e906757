"""The machine model: admission, starts, service, preemption, eviction and inventory."""

from hazelhold.model.machine import GuestClassBehaviour, Machine, MachineProfile
from hazelhold.protocol import messages as m

MS, S = 1000, 1_000_000
BEHAVIOURS = {
    "low": GuestClassBehaviour(),
    "high": GuestClassBehaviour(priority=1),
    "ticket": GuestClassBehaviour(deduplicated=True),
}


def profile(**changes: object) -> MachineProfile:
    return MachineProfile(
        **(
            {
                "kind": "box",
                "cores": 10.0,
                "memory": 10.0,
                "behaviours": BEHAVIOURS,
                "admission_time": 10 * MS,
            }
            | changes
        )
    )


def offer(
    guest: str,
    product: str = "low",
    cores: float = 1.0,
    memory: float = 1.0,
    attempt: int = 0,
    life: int = 60 * S,
    service: str = "s",
) -> m.Offer:
    return m.Offer(
        guest=guest, product=product, service=service, cores=cores, memory=memory, attempt=attempt, life=life
    )


def sent(machine: Machine, now: int) -> list[m.Message]:
    machine.advance(now)
    out, machine.out = machine.out, []
    return [message for _, message in out]


def kinds(machine: Machine, now: int) -> list[str]:
    return [message.__struct_config__.tag for message in sent(machine, now)]


def test_offers_are_examined_one_at_a_time_and_the_queue_is_limited() -> None:
    machine = Machine("a", profile(queue_limit=2), 1, 0)
    for number in range(3):
        machine.offered(0, "p", offer(f"g{number}"))
    first = sent(machine, 0)
    assert [(r.guest, r.remark) for r in first] == [("g2", "line_full")]
    assert kinds(machine, 14 * MS) == ["taken"] and "taken" in kinds(machine, 28 * MS)


def test_accepts_up_to_its_overcommit_and_names_the_missing_resource() -> None:
    machine = Machine("a", profile(cores_multiple=2.0, memory_multiple=1.0), 1, 0)
    for number, (cores, memory) in enumerate([(15, 1), (6, 1), (1, 9.5), (5, 1)]):
        machine.offered(number * S, "p", offer(f"g{number}", cores=cores, memory=memory))
        machine.advance(number * S + S // 2)
    messages = [
        (s.guest, getattr(s, "remark", "taken"))
        for _, s in machine.out
        if isinstance(s, m.OfferAccepted | m.OfferRefused)
    ]
    assert messages == [("g0", "taken"), ("g1", "no_cores"), ("g2", "no_memory"), ("g3", "taken")]


def test_cold_programs_and_cold_machines_start_slower() -> None:
    def start(machine: Machine, guest: str, service: str, now: int) -> int:
        machine.offered(now, "p", offer(guest, service=service))
        while True:
            now = machine.next_at()
            if "started" in kinds(machine, now):
                return now

    warm, cold = Machine("a", profile(), 1, 0), Machine("a", profile(), 1, 0, warm=False)
    first = start(warm, "g", "s", 0)
    again = start(warm, "h", "s", 20 * S) - 20 * S
    assert first > 3 * again and start(cold, "g", "s", 0) > 2 * first


def test_preempts_only_lower_priority() -> None:
    machine = Machine("a", profile(preempts=True, memory_multiple=1.0), 1, 0)
    machine.offered(0, "p", offer("low", memory=9))
    assert "taken" in kinds(machine, S)
    machine.offered(S, "p", offer("high", "high", memory=8))
    messages = sent(machine, 2 * S)
    assert [s.how for s in messages if isinstance(s, m.Ended)] == ["pushed_out"]
    machine.offered(2 * S, "p", offer("high2", "high", memory=8))
    assert [s.remark for s in sent(machine, 3 * S) if isinstance(s, m.OfferRefused)] == ["no_memory"]


def test_memory_that_overflows_evicts_the_lowest_first() -> None:
    machine = Machine("a", profile(memory_multiple=1.5), 1, 0)
    for number, product in enumerate(["low", "high", "high"]):
        machine.offered(0, "p", offer(f"g{number}", product, memory=4.5))
    sent(machine, 5 * S)
    machine.faults.use_factor = 9.0
    machine.redraw_use(5 * S)
    ended = [s for s in sent(machine, 5 * S) if isinstance(s, m.Ended)]
    assert [(e.guest, e.how) for e in ended][:1] == [("g0", "evicted")]


def test_a_second_copy_of_a_deduplicated_guest_is_refused() -> None:
    machine = Machine("a", profile(), 1, 0)
    machine.offered(0, "p", offer("g", "ticket"))
    machine.offered(0, "other", offer("g", "ticket"))
    messages = sent(machine, S)
    assert [s.remark for s in messages if isinstance(s, m.OfferRefused)] == ["not_here"]


def test_a_queued_offer_can_be_withdrawn_and_an_accepted_one_stays() -> None:
    machine = Machine("a", profile(), 1, 0)
    machine.offered(0, "p", offer("g"))
    machine.withdrawn(0, "p", m.Withdraw(guest="g"))
    assert [(type(s), s.how) for s in sent(machine, S)][:1] == [(m.Ended, "withdrawn")]
    machine.offered(S, "p", offer("h"))
    sent(machine, S + 20 * MS)
    machine.withdrawn(S + 20 * MS, "p", m.Withdraw(guest="h"))
    assert "taken" in kinds(machine, S + 20 * MS) and machine.guests
    machine.stopped(3 * S, "p", m.Stop(guest="h"))
    assert [s.how for s in sent(machine, 3 * S) if isinstance(s, m.Ended)] == ["stopped"]
    assert not machine.guests


def test_a_repeated_offer_starts_nothing_twice() -> None:
    machine = Machine("a", profile(), 1, 0)
    machine.offered(0, "p", offer("g"))
    machine.advance(S)
    machine.offered(2 * S, "p", offer("g", attempt=1))
    machine.advance(3 * S)
    assert len(machine.guests) == 1
    assert [s.attempt for _, s in machine.out if isinstance(s, m.OfferAccepted)] == [0, 1]
    assert sum(isinstance(s, m.Started) for _, s in machine.out) == 1


def test_the_inventory_is_complete_unless_ended_guests_were_dropped() -> None:
    machine = Machine("a", profile(remembers=2, concurrent_starts=9), 1, 0)
    for number in range(5):
        machine.advance(number * S)
        machine.offered(number * S, "p", offer(f"g{number}", life=3 * S))
    machine.advance(5 * S)
    machine.out.clear()
    machine.inventory_requested(5 * S, "p")
    running = machine.out[-1][1]
    assert {(s.guest, s.state) for s in running.guests} == {
        ("g0", "ended"),
        ("g1", "ended"),
        ("g2", "runs"),
        ("g3", "runs"),
        ("g4", "runs"),
    } and running.complete
    machine.advance(20 * S)
    machine.inventory_requested(20 * S, "p")
    assert not machine.out[-1][1].complete
    machine.inventory_requested(90 * S, "p")
    assert machine.out[-1][1].complete


def test_a_cold_machine_tolerates_its_budget_and_fails_beyond_it() -> None:
    for count, overloads in ((40, False), (41, True)):
        machine = Machine("a", profile(cold_offers=40, queue_limit=100), 1, 0, warm=False)
        for number in range(count):
            machine.offered(number * MS, "p", offer(f"g{number}"))
        assert machine.overloaded == overloads
    spread = Machine("a", profile(cold_offers=40, queue_limit=200), 1, 0, warm=False)
    for number in range(100):
        spread.offered(number * S // 10, "p", offer(f"g{number}"))
    assert not spread.overloaded


def test_overloaded_cores_reduce_service_and_are_reported() -> None:
    machine = Machine("a", profile(cores_multiple=4, memory_multiple=9), 1, 0)
    for number in range(30):
        machine.offered(0, "p", offer(f"g{number}", memory=0.1))
        machine.advance(number * 50 * MS)
    machine.faults.use_factor = 2
    machine.redraw_use(10 * S)
    served = [s.share for s in sent(machine, 15 * S) if isinstance(s, m.ServiceLevel)]
    assert served and max(served) < 0.95


def test_a_group_of_machines_accepts_one_copy() -> None:
    one, two = Machine("a", profile(), 1, 0), Machine("b", profile(), 2, 0)
    two.idempotency_keys = one.idempotency_keys
    one.offered(0, "p", offer("g", "ticket"))
    assert "taken" in kinds(one, S)
    two.offered(S, "p", offer("g", "ticket"))
    assert [s.remark for s in sent(two, 2 * S) if isinstance(s, m.OfferRefused)] == ["not_here"]
    one.went_down()
    two.offered(2 * S, "p", offer("g", "ticket"))
    assert "taken" in kinds(two, 3 * S)
