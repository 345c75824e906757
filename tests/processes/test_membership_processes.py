"""Membership among 3 to 8 processes of the program, with the faults that part them. What is bounded is what
is believed; every wait is for a state."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

from tests.processes.rig import Rig, rig


def play(folder: Path, count: int, test: Callable[[Rig], Awaitable[None]], **how: object) -> None:
    async def run() -> None:
        with trio.fail_after(300):
            async with rig(folder, count, **how) as made:
                await test(made)

    trio.run(run)


def others(made: Rig, *but: str) -> list[str]:
    return [n for n in made.names if n not in but]


def test_a_killed_process_is_gone_for_all_a_stopped_one_has_left(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        await made.kill("p3")
        await made.until(lambda views: all(v["p3"] == "gone" for v in views.values()))
        await made.stop("p2")
        await made.until(lambda views: all(v["p2"] == "left" for v in views.values()))
        lines = made.said()
        assert {x["member"] for x in lines if x["state"] in ("suspected", "gone")} == {"p3"}
        accusation = next(x for x in lines if x["state"] == "suspected" and x["told_by"] == x["planner"])
        assert accusation["witnesses"] and accusation["asked"] and "doubt" in accusation
        await made.start("p3")
        await made.all_alive(others(made, "p2"))

    play(tmp_path, 5, test)


def test_a_paused_process_is_gone_comes_back_and_blames_nobody(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        made.pause("p1")
        await made.until(lambda views: all(v["p1"] == "gone" for v in views.values()), others(made, "p1"))
        made.resume("p1")
        await made.all_alive()
        mine = [x for x in made.said() if x["planner"] == "p1"]
        assert sum(x["state"] == "away" for x in mine) >= 1 and any(x["state"] == "refuted" for x in mine)
        assert not [x for x in mine if x["state"] in ("suspected", "gone")]

    play(tmp_path, 5, test)


def test_half_of_the_processes_are_paused(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        paused, rest = ["p0", "p1", "p2"], ["p3", "p4", "p5"]
        for name in paused:
            made.pause(name)
        await made.until(lambda views: all(views[a][b] == "gone" for a in rest for b in paused), rest)
        for name in paused:
            made.resume(name)
        await made.all_alive()
        blamed = [
            x
            for x in made.said()
            if x["planner"] in paused and x["state"] in ("suspected", "gone") and x["told_by"] == x["planner"]
        ]
        assert not blamed

    play(tmp_path, 6, test)


@pytest.mark.parametrize("way", ["both", "out"])
def test_a_pair_that_is_cut_stays_alive_for_all_who_reach_both(tmp_path: Path, way: str) -> None:
    async def test(made: Rig) -> None:
        made.wires.cut(["p0"], ["p1"], way)
        await made.holds(
            10, lambda views: all(s != "gone" for v in views.values() for s in v.values()), made.names
        )
        made.wires.clear_faults()
        await made.all_alive()

    play(tmp_path, 4, test, suspect_ms=4000.0, suspect_most_ms=12_000.0)


@pytest.mark.parametrize("way", ["in", "out"], ids=["sends-does-not-hear", "hears-is-not-heard"])
def test_one_that_is_deaf_or_mute_accuses_nobody(tmp_path: Path, way: str) -> None:
    async def test(made: Rig) -> None:
        rest = others(made, "p2")
        made.wires.cut(["p2"], rest, way)
        await made.until(lambda views: all(v["p2"] == "gone" for v in views.values()), rest)
        await made.until(lambda views: all(views["p2"][n] == "suspected" for n in rest), ["p2"])
        assert (await made.seen(made.at("p2")))[0]["alone_us"] >= 0
        await made.holds(3, lambda views: all(views[a][b] == "alive" for a in rest for b in rest), rest)
        assert {x["member"] for x in made.said() if x["state"] in ("suspected", "gone")} == {"p2"}
        made.wires.clear_faults()
        await made.all_alive()

    play(tmp_path, 5, test, suspect_ms=3000.0, suspect_most_ms=9000.0)


@pytest.mark.parametrize("way", ["both", "out"], ids=["split", "zone-hears-is-not-heard"])
def test_both_halves_live_on_and_grow_together(tmp_path: Path, way: str) -> None:
    async def test(made: Rig) -> None:
        one, other = ["p0", "p2", "p4"], ["p1", "p3", "p5"]
        made.wires.cut(one, other, way)
        await made.until(
            lambda views: (
                all(views[a][b] == views[b][a] == "gone" for a in one for b in other)
                and all(views[a][b] == "alive" for h in (one, other) for a in h for b in h)
            )
        )
        made.wires.clear_faults()
        await made.all_alive()

    play(tmp_path, 6, test)


def test_lost_late_and_doubled_datagrams_make_nobody_gone(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        made.wires.degrade(made.names, made.names, loss=0.3, double=0.1, delay=(0.0, 60.0))
        await made.holds(
            15, lambda views: all(s != "gone" for v in views.values() for s in v.values()), made.names
        )
        made.wires.clear_faults()
        await made.all_alive()
        assert not [x for x in made.said() if x["state"] == "gone"]

    play(tmp_path, 5, test, suspect_ms=4000.0, suspect_most_ms=12_000.0)


def test_a_rolling_restart_of_all(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        async def lives() -> dict[str, int]:
            found = {}
            for name in made.names:
                while (said := await made.seen(made.at(name))) is None:
                    pass
                found[name] = said[0]["life"]
            return found

        before = await lives()
        for name in made.names:
            await made.stop(name)
            await made.start(name)
        await made.all_alive()
        assert all(life > before[name] for name, life in (await lives()).items())
        assert not [x for x in made.said() if x["state"] == "yielded"]

    play(tmp_path, 4, test)


def test_of_two_processes_of_one_name_the_older_yields_and_says_so(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        seed = made.at("p0")
        await made.start("p1", "-again", listen="127.0.0.1:0", advertise="", reach={}, seeds=[seed])
        lines: list[dict] = []
        with trio.fail_after(90):
            while not (lines := made.said("member_yielded")):
                await trio.sleep(0.1)
        assert lines[0]["planner"] == "p1" and lines[0]["to_life"] > lines[0]["life"]
        assert (await made.seen(made.at("p1")))[0]["yielded"] and made.running["p1"].returncode is None

    # straight to each other: by name a wire would lead both to one process
    play(tmp_path, 3, test)


def test_all_seeds_are_down_at_the_start(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        await made.start("p2")
        await made.start("p3")
        await made.holds(2, lambda views: views["p2"].keys() == {"p2"}, ["p2", "p3"])
        await made.start("p1")
        await made.all_alive(["p1", "p2", "p3"])

    play(tmp_path, 4, test, seeds=("p0", "p1"), start=False)


def test_a_stranger_of_another_deployment_is_counted_and_not_let_in(tmp_path: Path) -> None:
    async def test(made: Rig) -> None:
        await made.start(
            "p1",
            "-strange",
            listen="127.0.0.1:0",
            reach={},
            seeds=[made.at("p0")],
            deployment="elsewhere",
            metrics="",
        )
        await made.holds(3, lambda views: set(views["p0"]) == set(made.names), ["p0", "p1", "p2"])
        assert not made.said("member_yielded")
        assert await made.seen(made.at("p0"), "elsewhere") is None

    play(tmp_path, 3, test)
