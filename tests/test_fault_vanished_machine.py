"""A machine vanishes without a word: its connections stay open and silent, and new ones never come up.

What stood there is over and has to be released within 8 s, whatever else is open to the machine or is sent to
it meanwhile. A machine that is merely slow must lose nothing.
"""

import contextlib
from collections.abc import Callable

import pytest
import trio

from hazelhold.engine import liveness
from hazelhold.engine.liveness import LivenessChecks
from tests.broken_variants import Variant, assert_caught, patched
from tests.faults.judge import RELEASE_AT_LATEST
from tests.platform_rig import DEPLOYMENT, PLACED, Rig, play, set_up

LONG = DEPLOYMENT | {
    "balancers": 16,
    "classes": [each | {"deadline": 6000.0} for each in DEPLOYMENT["classes"]],
    "limits": DEPLOYMENT["limits"] | {"probing": False},
}
STANDING = range(1, 9)
LATER = range(20, 26)


def vanish(rig: Rig, name: str) -> None:
    """From now on the machine receives and sends nothing, and dials to it do not come up."""
    rig.machines[name].silent = True
    dial = rig.net.dial

    async def unanswered(address: str) -> trio.abc.Stream:
        if address == f"{name}:1":
            await trio.sleep_forever()
        return await dial(address)

    rig.net.dial = unanswered


async def stand(rig: Rig, product: str = "plain") -> trio.abc.Stream:
    """Guests are placed on both machines."""
    owner = await rig.owner()
    await owner.say(*(set_up(guest, product, left="5000") for guest in STANDING))
    await trio.sleep(1.0)
    assert all(owner.of(guest) == PLACED for guest in STANDING)
    return owner


def there(rig: Rig, name: str) -> list[int]:
    return [guest for guest in STANDING if rig.offers(guest) == [name]]


def open_dispatches_at_a_vanished_machine(after: float) -> Callable[[], None]:
    """Set-ups of a class without answers yet are sent so many seconds after the machine vanished."""

    async def story(rig: Rig) -> None:
        owner = await stand(rig)
        over = there(rig, "a")
        assert over
        vanish(rig, "a")
        await trio.sleep(after)
        await owner.say(*(set_up(guest, "once", left="6000") for guest in LATER))
        await trio.sleep(0.2)
        sent_there = [name for guest in LATER for name in rig.offers(guest)].count("a")
        assert sent_there or after > 3.5
        await trio.sleep(RELEASE_AT_LATEST - after - 0.2)
        not_released.extend(guest for guest in over if owner.of(guest) == PLACED)
        standing = set(STANDING) - set(over)
        assert all(owner.of(guest) == PLACED for guest in standing)

    not_released: list[int] = []

    def scenario() -> None:
        not_released.clear()
        play(story, settings=LONG)
        assert not_released == []

    return scenario


@pytest.mark.parametrize("after", [0.1, 1.5, 2.8, 3.4, 4.2])
def test_an_open_dispatch_does_not_put_off_the_release_of_what_stood(after: float) -> None:
    """Guards against an open set-up that keeps a vanished machine from being questioned: what stood there was
    released 9.9 s after its end."""
    open_dispatches_at_a_vanished_machine(after)()


def slow_down(rig: Rig, seconds: float) -> None:
    """From now on each answer of a machine comes so much later, whatever else it answers meanwhile."""
    for machine in rig.machines.values():
        answer = machine.answer

        async def late(stream: trio.abc.Stream, line: dict, answer: Callable = answer) -> None:
            await trio.sleep(seconds)
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await answer(stream, line)

        async def in_time(stream: trio.abc.Stream, line: dict, late: Callable = late) -> None:
            rig.nursery.start_soon(late, stream, line)

        machine.answer = in_time


def test_a_slow_machine_loses_nothing_while_a_dispatch_is_open() -> None:
    """Guards against a connection that is given up although its machine answers, 3 s late."""

    async def story(rig: Rig) -> None:
        owner = await stand(rig)
        slow_down(rig, 3.0)
        await trio.sleep(1.0)
        await owner.say(*(set_up(guest, "once", left="6000") for guest in LATER))
        await trio.sleep(5.0)
        assert all(owner.of(guest) == PLACED for guest in (*STANDING, *LATER))

    play(story, settings=LONG)


@pytest.mark.parametrize("stopped", [1.0, 3.0])
def test_a_machine_that_is_stopped_for_a_while_loses_nothing(stopped: float) -> None:
    """Guards against a machine that is taken for lost while it is stopped, with a set-up open there."""

    async def story(rig: Rig) -> None:
        owner = await stand(rig)
        go_on = trio.Event()
        for machine in rig.machines.values():
            answer = machine.answer

            async def held(stream: trio.abc.Stream, line: dict, answer: Callable = answer) -> None:
                await go_on.wait()
                await answer(stream, line)

            machine.answer = held
        await owner.say(*(set_up(guest, "once", left="6000") for guest in LATER))
        await trio.sleep(stopped)
        go_on.set()
        await trio.sleep(5.0)
        assert all(owner.of(guest) == PLACED for guest in (*STANDING, *LATER))

    play(story, settings=LONG)


def test_a_guest_that_is_handed_over_on_a_machine_that_was_idle_for_long_stands() -> None:
    """Guards against silence that is counted from before the machine had a guest."""

    async def story(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        (name,) = rig.offers(1)
        await rig.machines[name].end(f"{1:016x}", 16)
        await trio.sleep(60.0)
        await owner.say(set_up(2, figures=f"cores:1;memory:1;service:s;at:{name}"))
        await trio.sleep(0.1)
        slow_down(rig, 1.0)
        await trio.sleep(10.0)
        assert owner.of(2) in ([], PLACED)
        assert rig.planner.engine.is_placed(f"{2:016x}")

    play(story, settings=LONG)


BROKEN = {
    "an open dispatch keeps the connection without limit": Variant(
        open_dispatches_at_a_vanished_machine(2.8),
        patched((liveness, "OPEN_DISPATCH_TIMEOUT", 10**9)),
    ),
    "silence counts from when the connection was opened": Variant(
        open_dispatches_at_a_vanished_machine(2.8),
        patched((LivenessChecks, "_silent_on_connection_since", lambda self, link: self.pumped_at)),
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_each_broken_variant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an argument that no scenario would miss."""
    assert_caught(BROKEN[name], monkeypatch)
