"""A machine comes up at the address of one that has gone, to which the planner still has a connection.

The planner keeps that connection for what stood on the machine that has gone, and opens another one for the
new machine. Both lead to the new machine's process, which tells an end on any connection of its planner.
Found by soak seed 850: an end that was told at 13.464 s was released at 14.697 s, 2 ms after the planner had
closed the connection of the machine that had gone, when the end was told again on the other one. The end was
counted among the stray messages (36 before, 44 after).
"""

from collections.abc import Callable

import pytest
import trio

from hazelhold.engine.address_reuse import AddressReuse
from hazelhold.engine.addresses import Addresses
from hazelhold.engine.liveness import LivenessChecks
from hazelhold.interface import MachineMode
from tests.broken_variants import Variant, assert_caught, patched
from tests.faults.judge import RELEASE_AT_LATEST
from tests.platform_rig import DEPLOYMENT, PLACED, TELLING_USE, Machine, Owner, Rig, event, host, play, set_up

DONE = 16  # cause


def test_an_end_that_the_next_machine_tells_on_the_connection_of_the_one_before_is_taken() -> None:
    """Guards against an end that is passed over, since it came on another machine's connection."""

    async def story(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        rig.bulletin.events.append(event(2, host("a", "terminating")))
        await trio.sleep(0.3)
        await machine.streams[-1].aclose()  # its process goes, and another one comes up at its address
        await trio.sleep(1.0)
        of_the_machine_before = machine.streams[-1]
        rig.bulletin.events.append(event(3, host("a", "terminated"), host("b", dial="a:1")))
        await trio.sleep(0.3)
        await owner.say(set_up(2))
        await trio.sleep(0.2)
        assert owner.of(2) == PLACED
        assert machine.streams[-1] is not of_the_machine_before
        end = {"op": "end", "call": f"{2:016x}", "with": {}, "why": DONE}
        await machine.say(of_the_machine_before, end)
        await trio.sleep(1.0)
        assert len(owner.of(2)) == len(PLACED) + 1

    play(story, machines="a", settings=TELLING_USE)


def test_an_end_on_that_connection_is_not_taken_if_the_guest_was_sent_there_before() -> None:
    """Guards against a late end of an earlier dispatch that is taken for the end of the guest elsewhere."""

    async def story(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        engine = rig.planner.engine
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        rig.bulletin.events.append(event(2, host("a", "terminating")))
        await trio.sleep(0.3)
        await machine.streams[-1].aclose()
        await trio.sleep(1.0)
        of_the_machine_before = machine.streams[-1]
        rig.bulletin.events.append(event(3, host("a", "terminated"), host("b", dial="a:1")))
        await trio.sleep(0.3)
        await owner.say(set_up(2))
        await trio.sleep(0.2)
        assert owner.of(2) == PLACED
        engine.scheduler.guests[engine.newest_records[f"{2:016x}"].name].excluded_machines.append("a")
        end = {"op": "end", "call": f"{2:016x}", "with": {}, "why": DONE}
        await machine.say(of_the_machine_before, end)
        await trio.sleep(0.2)
        assert owner.of(2) == PLACED

    play(story, machines="a", settings=TELLING_USE)


MANY_PLANNERS = DEPLOYMENT | {"balancers": 16}
STANDING, NEXT = range(1, 9), range(20, 26)


async def replace_silently(rig: Rig, after: float, shown_after: float) -> Machine:
    """Machine a vanishes; a new one is up at its address, and then listed, so many seconds later."""
    gone = rig.machines["a"]
    gone.silent = True
    new = Machine("n")
    new.nursery = rig.nursery
    gone.door = new.door
    await trio.sleep(after)
    rig.net.listeners["a:1"] = (new.door, rig.nursery)
    rig.machines["n"] = new
    await trio.sleep(shown_after)
    rig.bulletin.events.append(event(2, host("n", dial="a:1")))
    return new


async def stand(rig: Rig) -> tuple[Owner, list[int]]:
    """Guests are placed on both machines; returns those on a."""
    owner = await rig.owner()
    await owner.say(*(set_up(guest) for guest in STANDING))
    await trio.sleep(1.0)
    assert all(owner.of(guest) == PLACED for guest in STANDING)
    return owner, [guest for guest in STANDING if rig.offers(guest) == ["a"]]


def replaced_without_a_word(after: float, settings: dict = MANY_PLANNERS) -> Callable[[], None]:
    """The list shows the end of the machine long after the new one at its address."""
    not_released: list[int] = []
    released_alive: list[int] = []

    async def story(rig: Rig) -> None:
        owner, over = await stand(rig)
        began = trio.current_time()
        await replace_silently(rig, after, 1.0)
        await owner.say(*(set_up(guest) for guest in NEXT))
        await trio.sleep(began + RELEASE_AT_LATEST - trio.current_time())
        not_released.extend(guest for guest in over if owner.of(guest) == PLACED)
        standing = set(STANDING) - set(over)
        assert over and all(owner.of(guest) == PLACED for guest in standing)
        rig.bulletin.events.append(event(3, host("a", "terminated")))
        await trio.sleep(8.0)
        assert all(owner.of(guest) == PLACED for guest in standing)
        placed = [guest for guest in NEXT if owner.of(guest)[:1] == PLACED]
        assert placed
        released_alive.extend(guest for guest in placed if owner.of(guest) != PLACED)

    def scenario() -> None:
        not_released.clear()
        released_alive.clear()
        play(story, settings=settings)
        assert not_released == []
        assert released_alive == []

    return scenario


@pytest.mark.parametrize("after", [0.3, 1.5, 3.0, 5.0])
def test_a_new_machine_at_the_address_does_not_speak_for_the_one_that_vanished(after: float) -> None:
    """Guards against answers of a new process that are taken for the old one's: what stood there was released
    13.9 s after its end, when the list showed that."""
    replaced_without_a_word(after)()


def test_the_same_where_machines_report_use() -> None:
    """Guards against reports on the new machine's guests that are taken for evidence of the old one."""
    replaced_without_a_word(1.5, TELLING_USE | {"balancers": 16})()


def test_nothing_is_sent_to_a_machine_whose_address_another_one_has() -> None:
    """Guards against work that goes to the wrong machine, under the name of the one that had its address."""

    async def story(rig: Rig) -> None:
        owner, _ = await stand(rig)
        new = await replace_silently(rig, 0.5, 0.5)
        await trio.sleep(0.5)
        await owner.say(*(set_up(guest) for guest in NEXT))
        await trio.sleep(1.0)
        records = [rig.planner.engine.newest_records[f"{guest:016x}"] for guest in NEXT]
        assert {record.machine for record in records} <= {"b", "n"}
        assert not [line for line in rig.machines["a"].offers() if int(line["call"], 16) in NEXT]
        at_the_new_one = {line["call"] for line in new.offers()}
        assert at_the_new_one <= {record.guest for record in records if record.machine == "n"}

    play(story, settings=MANY_PLANNERS)


def test_a_machine_that_was_cut_off_and_kept_its_address_keeps_its_guests() -> None:
    """Guards against guests that are released although their machine answers again, on a new connection."""

    async def story(rig: Rig) -> None:
        owner, there = await stand(rig)
        rig.machines["a"].silent = True
        await trio.sleep(3.0)
        rig.machines["a"].silent = False
        await trio.sleep(10.0)
        assert there and all(owner.of(guest) == PLACED for guest in STANDING)

    play(story, settings=MANY_PLANNERS)


def test_a_machine_has_its_address_again_when_the_other_one_leaves_the_list() -> None:
    """Guards against a machine that gets nothing any more for an entry that was withdrawn."""

    async def story(rig: Rig) -> None:
        owner = await rig.owner()
        rig.bulletin.events.append(event(2, host("b", "terminated"), host("n", dial="a:1")))
        await trio.sleep(0.5)
        assert rig.planner.engine.roster.machines["a"].mode is MachineMode.CORDONED
        rig.bulletin.events.append(event(3, host("n", "terminated", dial="a:1")))
        await trio.sleep(0.5)
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        assert owner.of(1) == PLACED and rig.offers(1) == ["a"]

    play(story)


def test_of_two_machines_listed_at_once_without_starts_none_is_displaced() -> None:
    """Guards against a list that names one address for many machines: all but the last got nothing."""
    addresses = Addresses()
    for name in ("first", "second"):
        addresses.claim(5, name, "x:1", 0)
    assert not addresses.displaced_at
    addresses.begin_listing()
    addresses.claim(5, "later", "x:1", 0)
    assert addresses.displaced_at.keys() == {"first", "second"}


def test_of_two_machines_listed_at_once_the_later_start_has_the_address() -> None:
    """Guards against the order of a list: a planner that starts gets both in one listing."""
    for order in (("old", "new"), ("new", "old")):
        addresses = Addresses()
        for name in order:
            addresses.claim(5, name, "x:1", {"old": 100, "new": 200}[name])
        assert addresses.displaced_at.keys() == {"old"}
        addresses.release("new")
        assert not addresses.displaced_at and addresses.claims["x:1"].machine == "old"
        addresses.release("old")
        assert not addresses.claims and not addresses.by_machine


BROKEN = {
    "any answer at the address is evidence of the machine": Variant(
        replaced_without_a_word(1.5), patched((LivenessChecks, "_release_displaced", lambda *_: None))
    ),
    "what the new machine accepted counts as on the old one": Variant(
        replaced_without_a_word(3.0), patched((AddressReuse, "_successor_answered", lambda *_: None))
    ),
    "an address is never passed on": Variant(
        replaced_without_a_word(1.5), patched((Addresses, "claim", lambda *_: None))
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_each_broken_variant_is_caught(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an argument that no scenario would miss."""
    assert_caught(BROKEN[name], monkeypatch)
