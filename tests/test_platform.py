"""The platform planner, checked by the messages on its connections."""

from functools import partial
from random import Random

import pytest
import trio

from hazelhold.engine.records import Dial
from hazelhold.platform.codec import DESCRIPTION, END, TEST, TESTED, BinaryMessage
from tests.platform_rig import PLACED, Machine, Owner, Rig, end, event, host, play, set_up


def test_a_guest_is_placed_and_its_end_sent_with_descriptions_unchanged() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"}))
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        assert owner.heard[0].type == TESTED and owner.heard[0].cause == 1
        assert owner.of(1) == PLACED
        (name,) = rig.offers(1)
        offer = rig.machines[name].offers()[0]
        assert offer["desc"] == "ask 1\r\n\u00fc" and offer["with"]["class"] == "plain"
        assert offer["with"]["key"] == f"{1:016x}" and 1900 < int(offer["with"]["left"]) <= 2000
        assert owner.heard[1].parameters[DESCRIPTION] == f"{name} has {1:016x}\r\n".encode()
        await rig.machines[name].end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (END, 16)]

    play(test)


def test_discovery_is_followed_if_the_list_is_pushed() -> None:
    """With discovery set to push, the scheduler requests nothing, so the service was never polled."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.3)
        assert rig.bulletin.asked[0][0] == 1
        rig.bulletin.events += [event(2, host("a", "terminating"))]
        await trio.sleep(0.2)
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 21)))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 21))
        assert {name for guest in range(1, 21) for name in rig.offers(guest)} == {"b"}

    play(test)


def test_a_cancelled_guest_is_withdrawn_and_not_answered() -> None:
    async def test(rig: Rig) -> None:
        for machine in rig.machines.values():
            machine.accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.2)
        await owner.say(end(1))
        await trio.sleep(4)
        (name,) = rig.offers(1)
        assert owner.of(1) == []
        assert [
            (line["op"], line.get("why"))
            for line in rig.machines[name].heard
            if line["call"] == f"{1:016x}" and line["op"] != "test"
        ] == [("offer", None), ("end", 16)]
        assert not rig.planner.engine.records

    play(test)


def test_a_set_up_with_id_zero_closes_its_connection_and_reaches_no_machine() -> None:
    """Machines close their connection on such an offer, which ended everything else that was open there."""

    async def test(rig: Rig) -> None:
        usual, bad = await rig.owner(), await rig.owner()
        await bad.say(set_up(0), set_up(7))
        await usual.say(set_up(1))
        await trio.sleep(1)
        assert bad.closed_at is not None and bad.heard == []
        assert usual.of(1) == PLACED and usual.closed_at is None
        assert rig.offers(0) == rig.offers(7) == []

    play(test)


# Stopping.


def test_a_stop_serves_late_set_ups_answers_all_and_exits() -> None:
    async def test(rig: Rig) -> None:
        rig.machines["b"].accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1), set_up(2, "once"), set_up(3))
        await trio.sleep(0.1)
        began = trio.current_time()
        rig.planner.stop()
        await trio.sleep(0.3)
        late = await rig.owner()
        await late.say(set_up(4))
        await trio.sleep(0.4)
        await late.say(set_up(5, "once"))
        await rig.planner.ended.wait()
        assert 3.2 < trio.current_time() - began < 3.4  # the longest deadline is 3 s: SIGKILL after 3.7 s
        for guest in (1, 2, 3):
            assert len(owner.of(guest)) == 1
        assert len(late.of(4)) == len(late.of(5)) == 1

    play(test)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_over_random_interleavings(seed: int) -> None:
    """Mixes answers, refusals, resets, cancellations, drains, reloads and a stop at random, then checks the
    rules on the messages of all connections."""
    random = Random(seed)
    drained: dict[str, float] = {}

    async def test(rig: Rig) -> None:
        offered: list[tuple[float, str, str]] = []
        refused: set[tuple[str, str]] = set()  # dispatches whose machine reported that they never ran

        async def answer(machine: Machine, stream: trio.abc.Stream, line: dict) -> None:
            if line["op"] == "test":
                await machine.say(
                    stream, {"op": "tested", "call": line["call"], "why": 1, "with": {"load": "x0:20;x1:30"}}
                )
                return
            if line["op"] != "offer":
                return
            offered.append((line["at"], machine.name, line["call"]))
            await trio.sleep(random.choice((0, 0, 0.01, 0.3)))
            what = random.random()
            if what < 0.6:
                await machine.accept(stream, line["call"])
            elif what < 0.75:
                refused.add((line["call"], machine.name))
                await machine.say(
                    stream,
                    {
                        "op": "end",
                        "call": line["call"],
                        "why": random.choice((34, 102)),
                        "with": {"note": random.choice(("busy", "mem_full", "cpu_full"))},
                    },
                )
            elif what < 0.85:
                await machine.say(stream, {"op": "end", "call": line["call"], "why": random.choice((47, 41))})
            elif what < 0.92:
                await stream.aclose()
            if random.random() < 0.1:
                await machine.accept(stream, line["call"])

        for machine in rig.machines.values():
            machine.answer = partial(answer, machine)
        owners = [await rig.owner() for _ in range(3)]
        asked: dict[int, tuple[Owner, str, float]] = {}
        given_up: dict[int, float] = {}
        number = 1
        for step in range(60):
            what = random.random()
            if what < 0.8:
                owner, product = random.choice(owners), random.choice(("plain", "once"))
                asked[number] = owner, product, trio.current_time()
                await owner.say(set_up(number, product, "1500"))
                number += 1
            elif what < 0.88 and asked:
                guest = random.choice(list(asked))
                if not asked[guest][0].of(guest):
                    given_up.setdefault(guest, trio.current_time())
                    await asked[guest][0].say(end(guest))
            elif what < 0.93 and len(drained) < 2 and step > 20:
                name = random.choice([n for n in rig.machines if n not in drained])
                rig.bulletin.events.append(event(2 + len(drained), host(name, "terminating")))
                drained[name] = trio.current_time()
            else:
                rig.planner.follower.move("news:1")
            await trio.sleep(random.choice((0, 0.001, 0.02, 0.1)))
        rig.planner.stop()
        await trio.sleep(4)
        for guest, (owner, product, _) in asked.items():
            told = owner.of(guest)
            offers = [(when, name) for when, name, call in offered if call == f"{guest:016x}"]
            never_ran = [(f"{guest:016x}", name) in refused for _, name in offers]
            if guest not in given_up:
                assert told, guest
            assert len(told) <= (2 if told[:1] == PLACED else 1), (guest, told)
            assert len(offers) <= 4
            assert all(when <= given_up.get(guest, 1e9) + 0.05 for when, _ in offers), guest
            for when, name in offers:
                assert when <= drained.get(name, 1e9) + 0.25, (guest, name)
            if product == "once":
                assert all(never_ran[:-1]), (guest, offers)  # no offer after one that may have run
                if told[:1] == [(END, 34)]:
                    assert all(never_ran), (guest, offers)

    play(test, machines="abcd")


def test_a_stopping_planner_sends_ends_of_placed_guests_until_it_exits() -> None:
    """A planner that exited as soon as everything was answered left ends unsent for 3 s."""

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.2)
        rig.planner.stop()
        await trio.sleep(3)
        await rig.machines["a"].end(f"{1:016x}", 41, "drained")
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (END, 41)]

    play(test, machines="a")


def test_a_stop_closes_machines_before_owners_so_that_no_received_end_is_lost() -> None:
    async def test(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        small = "cores:0.1;memory:0.1;service:{:016x}"  # all fit into the free capacity of the confirmed list
        await owner.say(*(set_up(guest, figures=small.format(guest)) for guest in range(1, 200)))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 200))
        rig.planner.stop()
        await trio.sleep(3)
        said = []
        for guest in range(1, 200):
            try:
                await machine.end(f"{guest:016x}", 16)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
            said.append(guest)
            await trio.sleep(0.003)
        assert 0 < len(said) < 199  # until the planner closed the connection
        before = len(machine.streams)
        rig.planner._do(Dial("a", "a:1", 250_000))  # the engine may still request a dial
        await trio.sleep(0.01)
        assert len(machine.streams) == before
        await rig.planner.ended.wait()
        assert [guest for guest in said if owner.of(guest) != [*PLACED, (END, 16)]] == []

    play(test, machines="a")
