"""A fault in the reading of one peer's message stays with that peer."""

from pathlib import Path

import pytest
import trio

from hazelhold.platform import planner as platform_planner
from hazelhold.platform import translation
from hazelhold.platform.codec import BinaryReader, Line
from tests.platform_rig import PLACED, TELLING_USE, Rig, event, file, host, play, set_up

BAD = 666  # the guest whose messages a broken reader cannot read


def breaks(monkeypatch: pytest.MonkeyPatch, place: object, name: str, reads: str) -> None:
    """Replaces a reader by one that divides by zero where its input holds `reads`."""
    sound = getattr(place, name)

    def broken(*args: object) -> object:
        if reads in repr(args):
            raise ZeroDivisionError("a fault of the reader")
        return sound(*args)

    monkeypatch.setattr(place, name, broken)


@pytest.mark.parametrize("place,name", [(translation, "parse_submission"), (BinaryReader, "feed")])
def test_an_owners_message_that_the_reader_fails_on_costs_its_sender_alone(
    place: object, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error in the reading of one owner's message that ends the planner's process."""
    breaks(monkeypatch, place, name, "unheard-of" if name == "feed" else f"{BAD:016x}")

    async def test(rig: Rig) -> None:
        usual, bad = await rig.owner(), await rig.owner()
        await bad.say(set_up(BAD, "unheard-of" if name == "feed" else "plain"))
        await usual.say(set_up(1))
        await trio.sleep(0.3)
        assert usual.of(1) == PLACED and usual.closed_at is None and bad.closed_at is not None
        assert rig.planner.counts["owner_reading_fault"] == 1

    play(test)


def test_a_machines_line_that_the_reader_fails_on_closes_its_connection_alone(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture
) -> None:
    """Guards against an error in the reading of one machine's line that ends the planner's process."""
    breaks(monkeypatch, translation, "from_machine", repr(Line(op="info", call="x", fields={"note": "bad"})))

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 5)))
        await trio.sleep(0.3)
        machine = rig.machines["a"]
        await machine.say(machine.streams[-1], {"op": "info", "call": "x", "with": {"note": "bad"}})
        await trio.sleep(0.3)
        await owner.say(*(set_up(guest) for guest in range(5, 9)))
        await trio.sleep(0.3)
        assert all(owner.of(guest) == PLACED for guest in range(1, 9))
        assert rig.planner.counts["machine_reading_fault"] == 1

    play(test, settings=TELLING_USE)
    assert "ZeroDivisionError" in "".join(capsys.readouterr())  # the traceback is logged


def test_a_discovery_event_that_the_reader_fails_on_is_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error in the reading of one event that ends the planner's process."""
    breaks(monkeypatch, translation, "listing", "b:666")

    async def test(rig: Rig) -> None:
        rig.bulletin.events += [event(2, host("b", dial="b:666")), event(3, host("b", "terminated"))]
        await trio.sleep(1)
        assert rig.planner.follower.last == 3 and set(rig.planner.engine.roster.machines) == {"a"}

    play(test)


def test_a_configuration_that_the_reader_fails_on_is_refused_at_a_reload(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error in the reading of a new configuration that ends a running planner."""

    async def test(rig: Rig) -> None:
        rig.planner.config = tmp_path / "config.json"
        rig.planner.config.write_text(file())
        breaks(monkeypatch, platform_planner, "read_start", "config.json")
        rig.planner.reload()
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.3)
        assert owner.of(1) == PLACED and rig.planner.counts["reloads_refused"] == 1

    play(test)
