"""Numbers of any size that peers send end no planner: a fault in one message is its sender's alone."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
import trio

from hazelhold.config.load import ConfigError
from hazelhold.platform.codec import CLASS, DESCRIPTION, END, FIGURES, LEFT, NAME, TENANT
from hazelhold.platform.configuration import check_start
from tests.platform_rig import DEPLOYMENT, PLACED, TELLING_USE, Machine, Rig, file, play, set_up

LARGEST = "1.7976931348623157e308"
EXTREME = (
    *(sign + text for text in (LARGEST, "1e306", "1.8e305", "5e-324", "0", "9" * 400) for sign in ("", "-")),
    *("nan", "inf", "1_000", "\u0663"),
)
FIGURE_NAMES = ("cores", "memory", "service", "at")


def figures(**changed: str) -> str:
    values = {"cores": "0.01", "memory": "0.01", "service": "s"} | changed
    return ";".join(f"{name}:{value}" for name, value in values.items())


def owners_messages(number: str, at: str) -> list[dict]:
    """Set-ups with a number in each of their fields in turn; `at` names the machine of a handover."""
    held = {"at": at} if at else {}
    return [
        {"left": number, "figures": figures(**held)},
        *({"figures": figures(**held | {name: number})} for name in FIGURE_NAMES),
        *(
            {"figures": figures(**held), "parameters": {code: number.encode()}}
            for code in (CLASS, TENANT, NAME, DESCRIPTION, FIGURES, LEFT, 16, 9)
        ),
    ]


@pytest.mark.parametrize("at", ["", "a", "s-7fffffff"])
def test_no_number_in_an_owners_message_ends_the_planner(at: str) -> None:
    """Guards against a time left that is finite in milliseconds and not in microseconds, in a handover."""

    async def test(rig: Rig) -> None:
        usual = await rig.owner()
        await usual.say(set_up(1))
        await trio.sleep(0.2)
        sent = 100
        for number in EXTREME:
            bad = await rig.owner()
            for fields in owners_messages(number, at):
                sent += 1
                await bad.say(set_up(sent, **fields))
            await trio.sleep(0.05)
            await bad.stream.aclose()
        await usual.say(set_up(2))
        await trio.sleep(0.2)
        assert usual.of(1) == usual.of(2) == PLACED and usual.closed_at is None

    play(test, machines="a")


@pytest.mark.parametrize("left", [LARGEST, "-1e306", "1.8e305", "1e13"])
def test_a_handover_with_a_time_left_out_of_range_is_refused(left: str) -> None:
    """Guards against one owner's handover whose time left overflows: it ended the planner's process."""

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1, left=left, figures=figures(at="a")))
        await trio.sleep(0.1)
        assert owner.of(1) == [(END, 47)] and not rig.planner.engine.records
        assert rig.planner.counts["ask_out_of_range"] == 1

    play(test, machines="a")


def machines_lines(number: object, guest: str) -> list[dict]:
    """Lines with a number in each of their fields in turn."""
    report = f"x0:{number};x1:{number};busy:{number};queue:{number}"
    return [
        *(
            {"op": "info", "call": guest, "with": {"note": note, "value": number}}
            for note in ("up", "cpu", "mem", "share", "tight")
        ),
        {"op": "info", "call": guest, "with": {"note": number, "value": number}},
        {"op": "accept", "call": guest, "with": {"load": report}, "desc": str(number)},
        {"op": "accept", "call": str(number), "with": {"load": number}, "desc": "x"},
        {"op": "tested", "call": str(number), "with": {"load": report}, "why": 1},
        {"op": "tested", "call": "f" * 6000, "with": {"load": number}, "why": 1},
        {"op": "end", "call": str(number), "with": {"note": number, "load": report}, "why": 34},
    ]


@pytest.mark.parametrize(
    "number", [*EXTREME, float(LARGEST), -1e306, 5e-324, 10**300, -(1 << 63), "9" * 5000]
)
def test_no_number_in_a_machines_line_ends_the_planner(number: object) -> None:
    """Guards against numbers of machines that overflow where they are read, used or logged."""

    async def test(rig: Rig) -> None:
        rig.planner.log_frames()
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.2)
        machine: Machine = rig.machines["a"]
        for line in machines_lines(number, f"{1:016x}"):
            await machine.say(machine.streams[-1], line)
            await owner.say(set_up(10 + len(machine.heard)))
            await trio.sleep(0.1)
        await owner.say(set_up(2))
        await trio.sleep(1.5)
        assert owner.of(1) == owner.of(2) == PLACED

    play(test, machines="a", settings=TELLING_USE)


def numbers_in(value: object, path: tuple = ()) -> Iterator[tuple]:
    """The paths of all numbers in a nested configuration."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, each in items:
        yield from numbers_in(each, (*path, key))
    if isinstance(value, int | float) and not isinstance(value, bool):
        yield path


def changed(path: tuple, value: object) -> dict:
    """A configuration with another value at a path."""
    whole = json.loads(file())
    place = whole
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return whole


SETTINGS = (float(LARGEST), -float(LARGEST), 1e306, 1e300, 1e18, 5e-324, 0, -1, 10**308, 10**400, -(10**400))


@pytest.mark.parametrize(
    "path", list(numbers_in(json.loads(file()))), ids=lambda path: ".".join(map(str, path))
)
def test_no_number_in_a_configuration_ends_the_planner(path: tuple) -> None:
    """Guards against a setting that overflows: it is refused, or the planner runs with it."""

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 6)))
        await trio.sleep(0.5)

    for value in SETTINGS:
        whole = changed(path, value)
        try:
            check_start(json.dumps(whole), "test")
        except ConfigError:
            continue
        play(test, **whole)


@pytest.mark.parametrize("deadline", [1e306, -1e306, 10**400, 1e13, 0, -5, "x", None])
def test_a_reload_with_a_deadline_out_of_range_is_refused(deadline: object, tmp_path: Path) -> None:
    """Guards against a deadline that ends a running planner at a SIGHUP, since it overflows or is missing."""

    async def test(rig: Rig) -> None:
        rig.planner.config = tmp_path / "config.json"
        classes = [DEPLOYMENT["classes"][0] | {"deadline": deadline}, DEPLOYMENT["classes"][1]]
        rig.planner.config.write_text(file(settings=DEPLOYMENT | {"classes": classes}))
        assert "deadline" in rig.planner._reload_once()
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.3)
        assert owner.of(1) == PLACED

    play(test)
