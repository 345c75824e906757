"""The planner on the platform, from what crosses the streams."""

from functools import partial
from random import Random

import pytest
import trio

from hazelhold.engine.records import Dial
from hazelhold.platform.codec import DESCRIPTION, END, TEST, TESTED, BinaryMessage
from tests.platform_rig import PLACED, Machine, Owner, Rig, end, event, host, play, set_up


def test_a_guest_is_placed_and_its_end_told_with_descriptions_as_they_are() -> None:
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


def test_the_bulletin_is_followed_where_the_list_comes_by_itself() -> None:
    """Seen on sockets: the settings say push, the module then asks for nothing, and no event was heard."""

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


def test_an_owner_that_gives_up_is_owed_nothing_and_the_machine_hears_of_it() -> None:
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


def test_a_set_up_without_a_number_ends_its_connection_and_reaches_no_machine() -> None:
    """Seen on sockets: machines close on it, and whatever else was open there went with it."""

    async def test(rig: Rig) -> None:
        usual, bad = await rig.owner(), await rig.owner()
        await bad.say(set_up(0), set_up(7))
        await usual.say(set_up(1))
        await trio.sleep(1)
        assert bad.closed_at is not None and bad.heard == []
        assert usual.of(1) == PLACED and usual.closed_at is None
        assert rig.offers(0) == rig.offers(7) == []

    play(test)


# The end.


def test_a_stop_serves_what_still_comes_answers_all_and_ends() -> None:
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
        assert 3.2 < trio.current_time() - began < 3.4  # the longest patience is 3 s: SIGKILL after 3.7
        for guest in (1, 2, 3):
            assert len(owner.of(guest)) == 1
        assert len(late.of(4)) == len(late.of(5)) == 1

    play(test)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_over_random_interleavings(seed: int) -> None:
    """Answers, refusals, resets, give-ups, drains, reloads and a stop at any message; what crossed the
    streams is then judged."""
    random = Random(seed)
    drained: dict[str, float] = {}

    async def test(rig: Rig) -> None:
        offered: list[tuple[float, str, str]] = []
        proven: set[tuple[str, str]] = set()  # dispatches whose machine said that they never ran

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
                proven.add((line["call"], machine.name))
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
            never_ran = [(f"{guest:016x}", name) in proven for _, name in offers]
            if guest not in given_up:
                assert told, guest
            assert len(told) <= (2 if told[:1] == PLACED else 1), (guest, told)
            assert len(offers) <= 4
            assert all(when <= given_up.get(guest, 1e9) + 0.05 for when, _ in offers), guest
            for when, name in offers:
                assert when <= drained.get(name, 1e9) + 0.25, (guest, name)
            if product == "once":
                assert all(never_ran[:-1]), (guest, offers)  # nothing after one that may have run
                if told[:1] == [(END, 34)]:
                    assert all(never_ran), (guest, offers)

    play(test, machines="abcd")


def test_a_stop_tells_the_ends_of_what_stands_until_it_is_over() -> None:
    """Seen on sockets: a planner that left as soon as all was answered left ends untold for 3 s."""

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


def test_at_a_stop_machines_are_left_before_owners_so_that_no_end_is_heard_and_not_told() -> None:
    async def test(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        small = "cores:0.1;memory:0.1;service:{:016x}"  # all fit into what the confirmed list shows
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
        assert 0 < len(said) < 199  # until the planner left
        before = len(machine.streams)
        rig.planner._do(Dial("a", "a:1", 250_000))  # whatever the engine may still want
        await trio.sleep(0.01)
        assert len(machine.streams) == before
        await rig.planner.ended.wait()
        assert [guest for guest in said if owner.of(guest) != [*PLACED, (END, 16)]] == []

    play(test, machines="a")
