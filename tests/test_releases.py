"""The end of a task whose own connection has gone: which connection of owners is told, and when."""

import pytest
import trio

from hazelhold.platform.codec import ANSWER, END, TEST, BinaryMessage
from hazelhold.platform.releases import PATIENCE
from tests.platform_rig import Owner, Rig, play, set_up, until

PLACED = [(ANSWER, None)]
DONE = [(END, 16)]
DUE = 1.0  # seconds in which an end is to be told
TASK_OF_TEST = "00000000000000ff"


async def prober(rig: Rig) -> Owner:
    """A connection that has sent a test and nothing else."""
    owner = await rig.owner()
    await owner.say(BinaryMessage(TEST, TASK_OF_TEST, {17: b"\0"}))
    await until(lambda: owner.heard)
    return owner


async def asked(rig: Rig, guest: int) -> Owner:
    """A connection whose usable request no machine takes."""
    rig.machines["a"].accepts = False
    owner = await rig.owner()
    await owner.say(set_up(guest, left="3000"))
    await until(lambda: rig.offers(guest))
    return owner


async def left_standing(rig: Rig, guest: int) -> None:
    """A task that stands, and whose owner's connection has gone."""
    owner = await rig.owner()
    await owner.say(set_up(guest))
    await until(lambda: owner.of(guest) == PLACED)
    await owner.stream.aclose()
    await until(lambda: not any(peer.proven for peer in rig.planner.door.peers.values()))


async def ended(rig: Rig, guest: int) -> float:
    """The machine ends a task; the moment at which it does."""
    ended_at = trio.current_time()
    await rig.machines["a"].end(f"{guest:016x}", 16)
    await until(lambda: not rig.planner.engine.stands(f"{guest:016x}"))
    return ended_at


def test_an_end_waits_for_a_connection_that_shows_an_owner() -> None:
    """It was told at once to whoever had sent a test or a request, also to one that is no owner."""

    async def test(rig: Rig) -> None:
        await left_standing(rig, 1)
        stranger, caller = await prober(rig), await asked(rig, 2)
        await ended(rig, 1)
        rig.machines["a"].accepts = True
        owner = await rig.owner()
        await owner.say(set_up(3))
        await until(lambda: owner.of(1) or stranger.of(1) or caller.of(1))
        assert owner.of(3) == PLACED and owner.of(1) == DONE
        await trio.sleep(2 * PATIENCE)
        assert not stranger.of(1) and not caller.of(1) and owner.of(1) == DONE

    play(test, machines="a")


def test_an_end_is_told_in_time_where_nobody_shows_an_owner() -> None:
    """One that has asked for something goes before one that has only sent a test, whichever came last."""

    async def test(rig: Rig) -> None:
        await left_standing(rig, 1)
        caller, stranger = await asked(rig, 2), await prober(rig)
        ended_at = await ended(rig, 1)
        await until(lambda: caller.of(1) or stranger.of(1))
        assert caller.of(1) == DONE and not stranger.of(1)
        assert PATIENCE <= trio.current_time() - ended_at < DUE

    play(test, machines="a")


@pytest.mark.parametrize("comes_first", [False, True])
def test_an_end_is_told_to_one_that_only_sent_a_test_where_nobody_else_is_there(comes_first: bool) -> None:
    async def test(rig: Rig) -> None:
        await left_standing(rig, 1)
        stranger = await prober(rig) if comes_first else None
        ended_at = await ended(rig, 1)
        if stranger is None:
            await trio.sleep(2 * DUE)  # nobody is there to be told
            stranger, ended_at = await prober(rig), trio.current_time()
        await until(lambda: stranger.of(1))
        assert stranger.of(1) == DONE and trio.current_time() - ended_at < DUE

    play(test, machines="a")


def test_a_hand_over_is_told_the_ends_that_wait() -> None:
    async def test(rig: Rig) -> None:
        await left_standing(rig, 1)
        stranger = await prober(rig)
        ended_at = await ended(rig, 1)
        owner = await rig.owner()
        await owner.say(set_up(2, figures=f"cores:1;memory:2;service:{2:016x};at:a"))
        await until(lambda: owner.of(1) or stranger.of(1))
        assert owner.of(1) == DONE and trio.current_time() - ended_at < PATIENCE

    play(test, machines="a")


def test_a_stop_tells_what_still_waits() -> None:
    """Connections end before what waits would have been told."""

    async def test(rig: Rig) -> None:
        await left_standing(rig, 1)
        stranger = await prober(rig)
        rig.planner.stop()
        await until(lambda: rig.planner.engine.stopping)
        await ended(rig, 1)
        await until(lambda: stranger.of(1) or stranger.closed_at)
        assert stranger.of(1) == DONE

    play(test, machines="a")
