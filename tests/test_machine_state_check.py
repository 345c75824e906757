"""A machine's state is looked at as the bytes of each attempt leave, and not of the first alone."""

import pytest
import trio

from hazelhold.engine import owners
from hazelhold.engine.machines import RosterMachine
from hazelhold.engine.permission import Denial, offer_denied
from hazelhold.engine.records import GuestRecord
from hazelhold.interface import GuestClass, MachineMode
from tests.broken_variants import Variant, assert_caught, patched
from tests.platform_rig import Machine, Rig, event, host, play, set_up, until

GRACE = 0.25  # seconds from an update of the list until nothing more may reach a draining machine
GUESTS = 12
FIRST, SECOND = "a", "b"  # machines of the attempts


class Busy(Machine):
    """Refuses each offer before it ran, so that a further attempt is allowed."""

    async def answer(self, stream: trio.abc.Stream, line: dict) -> None:
        if line["op"] != "offer":
            return await super().answer(stream, line)
        refusal = {"op": "end", "call": line["call"], "with": {"note": "busy"}, "why": 34}
        await self.say(stream, refusal)


def fills_up(rig: Rig, address: str) -> trio.Event:
    """The socket to this address is full from the first offer on, until the event is set: what is decided for
    it meanwhile is unsent."""
    read, dial = trio.Event(), rig.net.dial

    async def dialled(to: str) -> trio.abc.Stream:
        stream = await dial(to)
        if to == address:
            real = stream.send_all

            async def send_all(data: bytes) -> None:
                await real(data)
                if b'"offer"' in data:
                    await read.wait()

            stream.send_all = send_all
        return stream

    rig.net.dial = dialled
    return read


async def second_attempts_meet_a_drain(rig: Rig) -> None:
    """The machine of all second attempts begins to drain, by the list, before their bytes can leave."""
    rig.machines[FIRST].__class__ = Busy
    rig.machines[SECOND] = second = Machine(SECOND)
    second.nursery = rig.nursery
    await rig.net.listen(f"{SECOND}:1", second.door, rig.nursery)
    read = fills_up(rig, f"{SECOND}:1")
    engine, owner = rig.planner.engine, await rig.owner()
    await trio.sleep(0.5)
    for guest in range(1, GUESTS + 1):
        await owner.say(set_up(guest, left="3000", figures=f"cores:0.1;memory:0.1;service:{guest:016x}"))
    await until(lambda: len(rig.machines[FIRST].offers()) >= GUESTS)
    rig.bulletin.events.append(event(2, host(SECOND)))
    await until(second.offers)
    again = [r for r in engine.newest_records.values() if r.machine == SECOND and not r.placed]
    rig.again = [record.offers for record in again]
    rig.bulletin.events.append(event(3, host(SECOND, "terminating")))
    told = trio.current_time()
    await trio.sleep(GRACE + 0.05)
    read.set()
    await trio.sleep(4.0)
    rig.late = [line["call"] for line in second.offers() if line["at"] > told + GRACE]
    rig.answers = {len(owner.of(guest)) for guest in range(1, GUESTS + 1)}


def scenario() -> None:
    rig = play(second_attempts_meet_a_drain, machines=FIRST)
    assert rig.late == []
    assert rig.again and min(rig.again) >= 1  # what met the drain were no first attempts
    assert rig.planner.engine.denials[Denial.MACHINE_DRAINING] >= len(rig.again)
    assert rig.answers == {1}


def state_of_the_first_attempt_alone(
    now: int,
    record: GuestRecord | None,
    dispatch_number: int,
    product: GuestClass,
    max_dispatches: int,
    listed: RosterMachine | None,
    list_holds: bool,
) -> Denial | None:
    """The final check without the machine's state for a guest that was offered before."""
    if record is not None and record.offers and listed is not None:
        listed = RosterMachine(listed.name, listed.address, MachineMode.READY, 0, 0, 0)
    return offer_denied(now, record, dispatch_number, product, max_dispatches, listed, list_holds)


def test_no_further_attempt_reaches_a_machine_that_began_to_drain() -> None:
    scenario()


def test_a_planner_that_looks_at_the_state_for_the_first_attempt_alone_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All that it decides is decided rightly; it breaks the rule on drains as the bytes leave."""
    variant = Variant(scenario, patched((owners, "offer_denied", state_of_the_first_attempt_alone)))
    assert_caught(variant, monkeypatch)
