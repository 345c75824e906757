"""The planner on the platform, from what crosses the streams."""

import trio
from platform_rig import Rig, end, event, host, play, set_up

from hazelhold.platform.codec import ANSWER, DESCRIPTION, END, TEST, TESTED, Parcel

PLACED = [(ANSWER, None)]


def test_a_guest_is_placed_and_its_end_told_with_descriptions_as_they_are() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(Parcel(TEST, "00000000000000aa", {17: b"\0"}))
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
        assert [(line["op"], line.get("why")) for line in rig.machines[name].heard
                if line["call"] == f"{1:016x}" and line["op"] != "test"] == [("offer", None), ("end", 16)]
        assert not rig.planner.engine.cases

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
