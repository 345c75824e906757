"""A list that is not confirmed vouches for no machine: what is asked first, what leaves, what waits."""

from collections.abc import Callable

import pytest
import trio

from hazelhold.brain import Brain
from hazelhold.engine import permission
from hazelhold.engine.list_currency import LEASE, Doubt, ListCurrency
from hazelhold.engine.tables import Tables
from hazelhold.platform import discovery
from tests.platform_rig import DEPLOYMENT, PLACED, Machine, Rig, end, event, file, host, play, set_up

# What counts as confirmed.


def test_a_list_is_in_doubt_until_it_is_confirmed_and_again_when_that_is_long_ago() -> None:
    currency = ListCurrency(always=False)
    assert not currency.is_current(0) and currency.doubt is Doubt.NEVER_CONFIRMED
    currency.confirm(1_000)
    assert currency.is_current(1_000 + LEASE) and not currency.is_current(1_001 + LEASE)
    assert currency.doubt is Doubt.EXPIRED
    currency.confirm(500)  # an answer that was overtaken by another
    assert currency.doubt is Doubt.EXPIRED
    currency.confirm(LEASE)
    assert currency.is_current(LEASE)


def test_the_first_reason_for_a_doubt_stays_until_it_is_over() -> None:
    currency = ListCurrency(always=False)
    currency.confirm(0)
    currency.put_in_doubt(Doubt.LATE)
    currency.put_in_doubt(Doubt.FAILED)
    assert currency.doubt is Doubt.LATE and not currency.is_current(1)


def test_a_list_service_whose_word_is_taken_is_never_in_doubt() -> None:
    currency = ListCurrency(always=True)
    currency.put_in_doubt(Doubt.FAILED)
    assert currency.is_current(10**15)


# What is asked first, and what leaves.


class Draining(Machine):
    """Refuses offers and fails tests from `drains` on, as machines that drain do."""

    drains = False

    async def answer(self, stream: trio.abc.Stream, line: dict) -> None:
        if not self.drains:
            await super().answer(stream, line)
        elif line["op"] == "test":
            await self.say(stream, {"op": "tested", "call": line["call"], "with": {}, "why": 0})
        elif line["op"] == "offer":
            refusal = {"op": "end", "call": line["call"], "with": {"note": "wrong_host"}, "why": 34}
            await self.say(stream, refusal)


def drained(rig: Rig, name: str) -> Draining:
    """Makes a machine of the rig one that drains."""
    machine = rig.machines[name]
    machine.__class__ = Draining
    machine.drains = True
    return machine


def fall_silent(rig: Rig) -> None:
    """The bulletin answers nothing, and the list is in doubt."""
    rig.bulletin.silent = True
    rig.planner.follower.scope.cancel()  # whatever it has answered before is not what this is about
    rig.planner.engine.list_doubted(rig.net.now(), Doubt.FAILED)


async def silent_from_the_start(rig: Rig) -> None:
    """`a` drains, and the bulletin that would tell it says nothing."""
    fall_silent(rig)
    drained(rig, "a")
    owner = await rig.owner()
    for guest in range(1, 21):
        await owner.say(set_up(guest, figures=f"cores:0.1;memory:0.1;service:{guest:016x}"))
        await trio.sleep(0.1)
    await trio.sleep(0.5)  # the last may wait for two tests
    assert all(owner.of(guest) == PLACED for guest in range(1, 21))


def offers_to_a(fleet: int) -> int:
    settings = {"balancers": fleet}
    return len(play(silent_from_the_start, settings=DEPLOYMENT | settings).machines["a"].offers())


@pytest.mark.parametrize("fleet", [1, 16])
def test_nothing_goes_to_a_machine_that_drains_while_the_bulletin_is_silent(fleet: int) -> None:
    assert offers_to_a(fleet) == 0


def test_the_last_check_holds_back_what_the_module_would_send(monkeypatch: pytest.MonkeyPatch) -> None:
    """With the module's own tests left out, offers to both machines are decided and none leaves untested."""
    monkeypatch.setattr(Brain, "_vouched", lambda self, machine, now: True)
    sent = []
    real = Tables._violated
    monkeypatch.setattr(
        Tables, "_violated", lambda self, found, case: (sent.extend(found), real(self, found, case))
    )

    async def test(rig: Rig) -> None:
        fall_silent(rig)
        drained(rig, "a")
        owner = await rig.owner()
        for guest in range(1, 21):
            await owner.say(set_up(guest))
            await trio.sleep(0.1)
        assert rig.planner.engine.denials[permission.Denial.MACHINE_UNTESTED]

    assert play(test).machines["a"].offers() == [] and sent == []


def test_without_both_checks_offers_go_to_a_machine_that_drains(monkeypatch: pytest.MonkeyPatch) -> None:
    """The broken variant: the list is believed however old it is."""
    monkeypatch.setattr(Brain, "_vouched", lambda self, machine, now: True)
    monkeypatch.setattr(Tables, "_vouched", lambda self, now, machine: True)
    assert offers_to_a(16) > 0


def test_a_machine_that_says_it_takes_no_work_is_tested_before_it_is_sent_more() -> None:
    """Its own refusal was believed for a second, an eviction for a drain not at all."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)  # the list is confirmed and shows both as ready
        machine = drained(rig, "a")
        owner = await rig.owner()
        for guest in range(1, 41):
            await owner.say(set_up(guest, figures=f"cores:0.1;memory:0.1;service:{guest:016x}"))
            await trio.sleep(0.1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 41))
        assert len(machine.offers()) <= 1
        machine.drains = False  # it was its own mistake: it is used again once it passes a test
        before = len(machine.offers())
        for guest in range(41, 81):
            await owner.say(set_up(guest, figures=f"cores:0.1;memory:0.1;service:{guest:016x}"))
            await trio.sleep(0.1)
        assert len(machine.offers()) > before

    play(test)


def test_where_no_tests_are_allowed_the_list_is_taken_as_it_is() -> None:
    limits = DEPLOYMENT["limits"] | {"probing": False}

    async def test(rig: Rig) -> None:
        fall_silent(rig)
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 11)))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 11))
        assert not any(line["op"] == "test" for each in rig.machines.values() for line in each.heard)

    play(test, settings=DEPLOYMENT | {"limits": limits})


# Late answers.


def test_answers_that_take_seconds_are_heard_and_confirm_nothing() -> None:
    """Each call was given up after 1.6 s: a bulletin slower than that was never heard."""

    async def test(rig: Rig) -> None:
        bulletin, real = rig.bulletin, rig.bulletin.answer

        async def slow(stream: trio.abc.Stream, head: str) -> None:
            await trio.sleep(3.0)
            await real(stream, head)

        bulletin.answer = slow
        bulletin.events += [event(2, host("a", "terminating"))]
        await trio.sleep(6)
        assert rig.planner.follower.last == 2
        assert rig.planner.engine.currency.doubt is not None
        bulletin.answer = real
        await trio.sleep(6)
        assert rig.planner.engine.currency.is_current(rig.net.now())

    play(test)


def test_late_calls_beside_the_current_one_are_few() -> None:
    async def test(rig: Rig) -> None:
        rig.bulletin.silent = True
        await trio.sleep(20)
        assert len(rig.planner.follower.slow) <= discovery.SLOW_CALLS
        rig.bulletin.silent = False
        await trio.sleep(3)
        assert rig.planner.follower.last == 1 and rig.planner.engine.currency.is_current(rig.net.now())

    play(test)


def test_after_a_reload_the_list_is_in_doubt_until_the_new_address_answers(tmp_path) -> None:  # noqa: ANN001
    async def test(rig: Rig) -> None:
        await trio.sleep(0.5)
        engine = rig.planner.engine
        assert engine.currency.is_current(rig.net.now())
        rig.planner.config = tmp_path / "config.json"
        rig.planner.config.write_text(file(bulletin="news:2"))
        rig.planner.reload()
        assert engine.currency.doubt is Doubt.MOVED
        await rig.net.listen("news:2", rig.bulletin.door, rig.nursery)
        await trio.sleep(1)
        assert engine.currency.is_current(rig.net.now())

    play(test)


# Tasks that stand where the list does not know.


def handed_over(test: Callable) -> None:
    """A hand-over on a machine `c` that only the bulletin knows, which is silent at first."""

    async def run(rig: Rig) -> None:
        fall_silent(rig)
        machine = rig.machines["c"] = Machine("c")
        machine.nursery = rig.nursery
        await rig.net.listen("c:1", machine.door, rig.nursery)
        owner = await rig.owner()
        await owner.say(set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:c"))
        await trio.sleep(4)
        assert owner.of(1) == []  # whether it stands is not known
        await test(rig, owner, machine)

    play(run)


def test_a_hand_over_waits_for_the_list_and_its_end_is_told() -> None:
    async def test(rig: Rig, owner: object, machine: Machine) -> None:
        rig.bulletin.events += [event(2, host("c"))]
        rig.bulletin.silent = False
        await trio.sleep(3)
        assert owner.of(1) == [] and rig.planner.engine.stands(f"{1:016x}")
        await machine.end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [(12, 16)]

    handed_over(test)


def test_a_hand_over_on_a_machine_that_the_confirmed_list_lacks_is_over() -> None:
    async def test(rig: Rig, owner: object, machine: Machine) -> None:
        rig.bulletin.silent = False
        await trio.sleep(3)
        assert owner.of(1) == [(12, 41)] and not rig.planner.engine.waiting_stands

    handed_over(test)


def test_a_task_that_its_owner_ends_before_the_list_comes_is_stopped_at_its_machine() -> None:
    async def test(rig: Rig, owner: object, machine: Machine) -> None:
        await owner.say(end(1))
        rig.bulletin.events += [event(2, host("c"))]
        rig.bulletin.silent = False
        await trio.sleep(3)
        ends = [(line["call"], line["why"]) for line in machine.heard if line["op"] == "end"]
        assert ends == [(f"{1:016x}", 31)] and owner.of(1) == []

    handed_over(test)


def test_a_task_sent_in_doubt_stands_at_the_machine_that_has_the_address_by_then() -> None:
    async def test(rig: Rig) -> None:
        fall_silent(rig)
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(1)
        (at,) = rig.offers(1)
        assert owner.of(1) == PLACED
        machine = rig.machines[at]
        rig.bulletin.events += [event(2, host(at, "terminated")), event(3, host("new", dial=f"{at}:1"))]
        rig.bulletin.silent = False
        await trio.sleep(5)
        assert owner.of(1) == PLACED and rig.planner.engine.newest[f"{1:016x}"].machine == "new"
        await machine.end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (12, 16)]

    play(test)


def test_a_task_accepted_after_the_list_named_the_new_machine_stands_there_too() -> None:
    """Soak seed 23: the answer came some milliseconds after the list's news."""

    async def test(rig: Rig) -> None:
        fall_silent(rig)
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
        assert owner.of(1) == PLACED and rig.planner.engine.newest[f"{1:016x}"].machine == "new"
        await machine.end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (12, 16)]

    play(test, machines="a")


def test_a_machine_that_is_listed_as_draining_may_have_gone_from_its_address() -> None:
    """Soak seed 42: the list was confirmed while it still named the old one, as draining."""

    async def test(rig: Rig) -> None:
        fall_silent(rig)
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        assert owner.of(1) == PLACED
        rig.bulletin.events += [event(2, host("a", "terminating"))]
        rig.bulletin.silent = False
        await trio.sleep(3)  # confirmed more than once
        rig.bulletin.events += [event(3, host("a", "terminated")), event(4, host("new", dial="a:1"))]
        await trio.sleep(3)
        assert owner.of(1) == PLACED and rig.planner.engine.newest[f"{1:016x}"].machine == "new"

    play(test, machines="a")


def test_a_task_that_is_handed_over_again_while_its_end_waits_is_told_that_end_once() -> None:
    """Soak seed 3: its owner's connection broke under the end; it was taken anew and told over twice."""

    async def test(rig: Rig) -> None:
        first = await rig.owner()
        stands = set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:a")
        await first.say(stands)
        await trio.sleep(0.1)
        await first.stream.aclose()
        await trio.sleep(0.1)
        await rig.machines["a"].end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert len(rig.planner.door.releases.waiting) == 1
        second = await rig.owner()
        await second.say(stands)
        await trio.sleep(0.5)
        assert second.of(1) == [(12, 16)] and f"{1:016x}" not in rig.planner.engine.newest

    play(test)
