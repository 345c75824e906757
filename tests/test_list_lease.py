"""The lease on the machine list: how long it holds, what waits without it, and what does not extend it."""

from collections.abc import Callable

import pytest
import trio

from hazelhold.config.load import ConfigError
from hazelhold.engine import owners, permission
from hazelhold.engine.list_lease import Lapse, ListLease
from hazelhold.platform import discovery
from hazelhold.platform.codec import BinaryMessage
from hazelhold.platform.configuration import check_start
from hazelhold.scheduler import Scheduler
from tests.platform_rig import DEPLOYMENT, PLACED, Machine, Rig, end, event, file, host, play, set_up

# For how long a confirmation holds.

LEASE = 200_000  # microseconds, by the rig's settings, which set no grace period


def test_a_lease_holds_from_a_confirmation_until_its_duration_is_over() -> None:
    lease = ListLease(LEASE)
    assert not lease.holds(0) and lease.lapse is Lapse.NEVER_CONFIRMED
    lease.confirm(1_000)
    assert lease.holds(1_000 + LEASE) and not lease.holds(1_001 + LEASE)
    assert lease.lapse is Lapse.NOT_RENEWED
    lease.confirm(500)  # an answer that another one overtook
    assert not lease.holds(1_001 + LEASE)
    lease.confirm(LEASE)
    assert lease.holds(LEASE) and lease.lapse is None


def test_a_failed_call_does_not_end_a_lease_and_is_the_reason_once_it_is_over() -> None:
    lease = ListLease(LEASE)
    lease.confirm(0)
    lease.note(Lapse.FAILED)
    assert lease.holds(LEASE) and not lease.holds(LEASE + 1)
    assert lease.lapse is Lapse.FAILED


def test_a_new_address_ends_a_lease_at_once() -> None:
    lease = ListLease(LEASE)
    lease.confirm(0)
    lease.end(Lapse.MOVED)
    assert not lease.holds(1) and lease.lapse is Lapse.MOVED


def test_a_list_service_that_needs_no_confirmation_needs_no_lease() -> None:
    lease = ListLease(0)
    lease.note(Lapse.FAILED)
    lease.end(Lapse.MOVED)
    assert lease.holds(10**15) and lease.lapse is None


@pytest.mark.parametrize("grace,lease", [(None, 200_000), (250, 200_000), (1000.0, 800_000), (0, 20_000)])
def test_the_lease_is_a_part_of_the_grace_period_for_drains(grace: float | None, lease: int) -> None:
    rules = DEPLOYMENT["rules"] | ({} if grace is None else {"drain-grace": grace})
    text = file(settings=DEPLOYMENT | {"rules": rules})
    assert check_start(text, "test").engine_settings.deployment.list_lease == lease


@pytest.mark.parametrize("grace", [-1, "soon", 1e12])
def test_an_invalid_grace_period_is_rejected(grace: object) -> None:
    settings = DEPLOYMENT | {"rules": DEPLOYMENT["rules"] | {"drain-grace": grace}}
    with pytest.raises(ConfigError, match="drain-grace"):
        check_start(file(settings=settings), "test")


# What is sent while it does not hold.


class Draining(Machine):
    """Refuses offers once `drains` is set, and fails probes as well if `fails_tests` is set."""

    drains = False
    fails_tests = True

    async def answer(self, stream: trio.abc.Stream, line: dict) -> None:
        if not self.drains or line["op"] == "test" and not self.fails_tests:
            await super().answer(stream, line)
        elif line["op"] == "test":
            await self.say(stream, {"op": "tested", "call": line["call"], "with": {}, "why": 0})
        elif line["op"] == "offer":
            refusal = {"op": "end", "call": line["call"], "with": {"note": "wrong_host"}, "why": 34}
            await self.say(stream, refusal)


def drained(rig: Rig, name: str, fails_tests: bool = True) -> Draining:
    """Turns a machine of the rig into a draining one."""
    machine = rig.machines[name]
    machine.__class__ = Draining
    machine.drains, machine.fails_tests = True, fails_tests
    return machine


def stop_answering(rig: Rig) -> None:
    """The bulletin stops answering; the lease holds for its remaining time."""
    rig.bulletin.silent = True
    rig.planner.follower.scope.cancel()  # no answer that is under way arrives


def fall_silent(rig: Rig) -> None:
    """The bulletin stops answering, and the lease is over."""
    stop_answering(rig)
    rig.planner.engine.lease.end(Lapse.NOT_RENEWED)


def small(guest: int) -> BinaryMessage:
    return set_up(guest, figures=f"cores:0.1;memory:0.1;service:{guest:016x}", left="3000")


def offers(rig: Rig) -> int:
    return sum(len(machine.offers()) for machine in rig.machines.values())


async def submit_in_silence(rig: Rig) -> None:
    """Machine `a` drains and the list shows it, while the bulletin does not answer; then it answers again."""
    fall_silent(rig)
    rig.bulletin.events.append(event(2, host("a", "terminating")))
    owner = await rig.owner()
    for guest in range(1, 21):
        await owner.say(small(guest))
        await trio.sleep(0.05)
    rig.sent_in_silence = offers(rig)
    rig.bulletin.silent = False
    await trio.sleep(1.5)
    rig.placed = sum(owner.of(guest) == PLACED for guest in range(1, 21))


@pytest.mark.parametrize("fleet", [1, 16])
@pytest.mark.parametrize("fails_tests", [True, False])
@pytest.mark.parametrize("probing", [True, False])
def test_without_a_lease_nothing_is_sent_whatever_probes_show(
    fleet: int, fails_tests: bool, probing: bool
) -> None:
    """The planner trusted the list where the settings allow no probes, or where a probe had passed."""

    async def test(rig: Rig) -> None:
        drained(rig, "a", fails_tests)
        await submit_in_silence(rig)
        assert rig.sent_in_silence == 0 and rig.placed == 20
        assert rig.machines["a"].offers() == []
        tested = any(line["op"] == "test" for each in rig.machines.values() for line in each.heard)
        assert probing or not tested

    limits = DEPLOYMENT["limits"] | {"probing": probing}
    play(test, settings=DEPLOYMENT | {"balancers": fleet, "limits": limits})


def trust_any_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """The scheduler sends guests by any list."""
    monkeypatch.setattr(Scheduler, "list_currency_changed", lambda self, now, current: None)


def test_the_final_check_holds_back_what_the_scheduler_would_send(monkeypatch: pytest.MonkeyPatch) -> None:
    """With the scheduler's own check disabled, offers to both machines are decided and none is sent."""
    trust_any_list(monkeypatch)

    async def test(rig: Rig) -> None:
        await submit_in_silence(rig)
        engine = rig.planner.engine
        assert rig.sent_in_silence == 0 and engine.denials[permission.Denial.LIST_NOT_CURRENT]
        assert engine.counts["rule_violations"] == 0

    assert play(test).machines["a"].offers() == []


@pytest.mark.parametrize("monitored", [True, False])
def test_without_both_checks_offers_go_to_a_draining_machine(
    monitored: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Broken variants: any list is trusted. The rule monitor detects the missing check."""
    trust_any_list(monkeypatch)
    if monitored:
        real = permission.offer_denied
        monkeypatch.setattr(owners, "offer_denied", lambda *facts: real(*facts[:-1], True))
    else:
        monkeypatch.setattr(ListLease, "holds", lambda self, now: True)

    async def test(rig: Rig) -> None:
        await submit_in_silence(rig)
        assert rig.machines["a"].offers()
        assert bool(rig.planner.engine.counts["rule_violations"]) is monitored

    play(test)


def test_a_machine_that_refuses_as_draining_is_probed_before_it_is_sent_more() -> None:
    """A machine's own refusal had effect for a second only, an eviction for a drain none at all."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)  # the list is confirmed and shows both as ready
        machine = drained(rig, "a")
        owner = await rig.owner()
        for guest in range(1, 41):
            await owner.say(set_up(guest, figures=f"cores:0.1;memory:0.1;service:{guest:016x}"))
            await trio.sleep(0.1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 41))
        assert len(machine.offers()) <= 1
        machine.drains = False  # the machine was mistaken: it is used again once it passes a probe
        before = len(machine.offers())
        for guest in range(41, 81):
            await owner.say(set_up(guest, figures=f"cores:0.1;memory:0.1;service:{guest:016x}"))
            await trio.sleep(0.1)
        assert len(machine.offers()) > before

    play(test)


def test_a_machine_that_refuses_and_passes_its_probes_gets_fewer_and_fewer_offers() -> None:
    """It was sent another offer one second after each refusal."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)  # the list is confirmed and shows both as ready
        machine = drained(rig, "a", fails_tests=False)
        owner = await rig.owner()
        for guest in range(1, 201):
            await owner.say(small(guest))
            await trio.sleep(0.1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 200))
        assert 1 <= len(machine.offers()) <= 7  # a third of a second apart, then twice as long each time

    play(test)


# Late answers.


@pytest.mark.parametrize("seconds", [0.25, 1.0, 3.0])
def test_late_answers_are_read_and_confirm_nothing(seconds: float) -> None:
    """Calls timed out after 1.6 s, so a slower bulletin was never read. An answer that was late by less
    confirmed the list also for the time that it had taken."""

    async def test(rig: Rig) -> None:
        bulletin, real = rig.bulletin, rig.bulletin.answer

        async def slow(stream: trio.abc.Stream, head: str) -> None:
            await trio.sleep(seconds)
            await real(stream, head)

        bulletin.answer = slow
        await trio.sleep(0.5)
        bulletin.events += [event(2, host("a", "terminating"))]
        lapsed = 0
        for _ in range(55):
            await trio.sleep(0.1)
            lapsed += not rig.planner.engine.lease.holds(rig.net.now())
        assert rig.planner.follower.last == 2
        assert lapsed == 55
        bulletin.answer = real
        await trio.sleep(4)
        assert rig.planner.engine.lease.holds(rig.net.now())

    play(test)


@pytest.mark.parametrize("way", [0.0, 0.04])
def test_a_bulletin_that_answers_in_time_keeps_the_lease_without_a_gap(way: float) -> None:
    """`way`: seconds by which each answer is late. Updates come all the time."""

    async def test(rig: Rig) -> None:
        bulletin, real = rig.bulletin, rig.bulletin.answer

        async def on_its_way(stream: trio.abc.Stream, head: str) -> None:
            await trio.sleep(way)
            await real(stream, head)

        bulletin.answer = on_its_way
        await trio.sleep(0.5)
        engine = rig.planner.engine
        for step in range(1000):
            if step % 10 == 0:
                bulletin.events.append(event(len(bulletin.events) + 2, host("a")))
            await trio.sleep(0.007)
            assert engine.lease.holds(rig.net.now())
        assert engine.counts["list_lapses"] == 1  # at the start

    play(test)


def test_calls_follow_one_another_no_faster_than_is_needed() -> None:
    """Also where each brings updates at once, and where the lease does not hold."""

    async def test(rig: Rig) -> None:
        follower = rig.planner.follower
        await trio.sleep(1)
        calls = follower.polls
        await trio.sleep(5)
        assert 15 * 5 <= follower.polls - calls <= 21 * 5  # without updates
        calls = follower.polls
        for _ in range(1000):
            rig.bulletin.events.append(event(len(rig.bulletin.events) + 2, host("a")))
            await trio.sleep(0.005)
        assert follower.polls - calls <= 41 * 5
        follower.confirmed = False
        calls = follower.polls
        for _ in range(1000):
            follower.confirmed = False
            await trio.sleep(0.005)
        assert follower.polls - calls <= 41 * 5

    play(test)


def test_late_calls_beside_the_current_one_are_few() -> None:
    async def test(rig: Rig) -> None:
        rig.bulletin.silent = True
        await trio.sleep(20)
        assert len(rig.planner.follower.slow) <= discovery.SLOW_CALLS
        rig.bulletin.silent = False
        await trio.sleep(3)
        assert rig.planner.follower.last == 1 and rig.planner.engine.lease.holds(rig.net.now())

    play(test)


def test_after_a_reload_the_list_is_not_current_until_the_new_address_answers(tmp_path) -> None:  # noqa: ANN001
    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)
        engine = rig.planner.engine
        assert engine.lease.holds(rig.net.now())
        rig.planner.config = tmp_path / "config.json"
        rig.planner.config.write_text(file(bulletin="news:2"))
        rig.planner.reload()
        assert engine.lease.lapse is Lapse.MOVED and not engine.lease.holds(rig.net.now())
        await rig.net.listen("news:2", rig.bulletin.door, rig.nursery)
        await trio.sleep(1)
        assert engine.lease.holds(rig.net.now())

    play(test)


# Guests placed on machines that the list does not show.


def play_handover(test: Callable) -> None:
    """A handover on a machine `c` that only the bulletin knows, which does not answer at first."""

    async def run(rig: Rig) -> None:
        fall_silent(rig)
        machine = rig.machines["c"] = Machine("c")
        machine.nursery = rig.nursery
        await rig.net.listen("c:1", machine.door, rig.nursery)
        owner = await rig.owner()
        await owner.say(set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:c"))
        await trio.sleep(4)
        assert owner.of(1) == []  # whether it is placed is not known
        await test(rig, owner, machine)

    play(run)


def test_a_handover_waits_for_the_list_and_its_end_is_reported() -> None:
    async def test(rig: Rig, owner: object, machine: Machine) -> None:
        rig.bulletin.events += [event(2, host("c"))]
        rig.bulletin.silent = False
        await trio.sleep(3)
        assert owner.of(1) == [] and rig.planner.engine.is_placed(f"{1:016x}")
        await machine.end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [(12, 16)]

    play_handover(test)


def test_a_handover_on_a_machine_that_the_confirmed_list_lacks_is_over() -> None:
    async def test(rig: Rig, owner: object, machine: Machine) -> None:
        rig.bulletin.silent = False
        await trio.sleep(3)
        assert owner.of(1) == [(12, 41)] and not rig.planner.engine.waiting_handovers

    play_handover(test)


def test_a_guest_that_its_owner_ends_before_the_list_comes_is_stopped_at_its_machine() -> None:
    async def test(rig: Rig, owner: object, machine: Machine) -> None:
        await owner.say(end(1))
        rig.bulletin.events += [event(2, host("c"))]
        rig.bulletin.silent = False
        await trio.sleep(3)
        ends = [(line["call"], line["why"]) for line in machine.heard if line["op"] == "end"]
        assert ends == [(f"{1:016x}", 31)] and owner.of(1) == []

    play_handover(test)


MANY_PLANNERS = DEPLOYMENT | {"balancers": 16}
"""Machines are dialled for their first guest: the connection is opened after the list's last confirmation."""


def test_a_guest_sent_by_a_lease_is_placed_at_the_machine_that_has_the_address_by_then() -> None:
    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)
        stop_answering(rig)
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(1)
        (at,) = rig.offers(1)
        assert owner.of(1) == PLACED
        machine = rig.machines[at]
        rig.bulletin.events += [event(2, host(at, "terminated")), event(3, host("new", dial=f"{at}:1"))]
        rig.bulletin.silent = False
        await trio.sleep(5)
        assert owner.of(1) == PLACED and rig.planner.engine.newest_records[f"{1:016x}"].machine == "new"
        await machine.end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (12, 16)]

    play(test, settings=MANY_PLANNERS)


def test_a_guest_accepted_after_the_list_showed_the_new_machine_is_placed_there_too() -> None:
    """Soak seed 23: the answer came some milliseconds after the list's update."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)
        stop_answering(rig)
        machine = rig.machines["a"]
        machine.accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1, left="3000"))
        await trio.sleep(0.3)
        assert len(machine.offers()) == 1
        rig.bulletin.events += [event(2, host("a", "terminated")), event(3, host("new", dial="a:1"))]
        rig.bulletin.silent = False
        rig.planner.follower.scope.cancel()
        await trio.sleep(0.1)
        assert rig.planner.follower.last == 3
        await machine.accept(machine.streams[0], f"{1:016x}")
        await trio.sleep(3)
        assert owner.of(1) == PLACED and rig.planner.engine.newest_records[f"{1:016x}"].machine == "new"
        await machine.end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (12, 16)]

    play(test, machines="a", settings=MANY_PLANNERS)


def test_a_machine_that_is_listed_as_draining_may_have_gone_from_its_address() -> None:
    """Soak seed 42: the list was confirmed while it still showed the old machine, as draining."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)
        stop_answering(rig)
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        assert owner.of(1) == PLACED
        rig.bulletin.events += [event(2, host("a", "terminating"))]
        rig.bulletin.silent = False
        await trio.sleep(3)  # confirmed more than once
        rig.bulletin.events += [event(3, host("a", "terminated")), event(4, host("new", dial="a:1"))]
        await trio.sleep(3)
        assert owner.of(1) == PLACED and rig.planner.engine.newest_records[f"{1:016x}"].machine == "new"

    play(test, machines="a", settings=MANY_PLANNERS)


def test_the_end_of_a_guest_that_is_handed_over_again_while_it_waits_is_reported_once() -> None:
    """Soak seed 3: its owner's connection broke while the end was written; the guest was adopted again and
    its end reported twice."""

    async def test(rig: Rig) -> None:
        first = await rig.owner()
        handover = set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:a")
        await first.say(handover)
        await trio.sleep(0.1)
        await first.stream.aclose()
        await trio.sleep(0.1)
        await rig.machines["a"].end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert len(rig.planner.owner_server.releases.waiting) == 1
        second = await rig.owner()
        await second.say(handover)
        await trio.sleep(0.5)
        assert second.of(1) == [(12, 16)] and f"{1:016x}" not in rig.planner.engine.newest_records

    play(test)
