"""The fleet's configuration with real processes and faults between them. Waits for states, not for times."""

import json
import os
import signal
import sys
from pathlib import Path

import pytest
import trio

from tests.processes.fleetconfig_rig import LONG, ProcessFleet, process_fleet


async def command(*words: str) -> tuple[int, str]:
    """A hazelhold command's exit code and what it printed."""
    done = await trio.run_process(
        [sys.executable, "-m", "hazelhold", "fleetconfig", *words], capture_stdout=True, check=False
    )
    return done.returncode, done.stdout.decode()


def test_a_put_by_command_is_in_force_everywhere(tmp_path: Path) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path) as made:
            config = ["--config", str(made.file("p1"))]
            code, said = await command("put", "customers/acme={}", "--id", "one", "--json", *config)
            answer = json.loads(said)
            assert (code, answer["outcome"], answer["id"]) == (0, "committed", "one")
            made.committed["one"] = answer["number"]
            await made.everywhere(answer["number"])
            code, said = await command("status", "--json", "--config", str(made.file("c3")))
            status = json.loads(said)
            assert (code, status["number"], status["lacking_count"]) == (0, answer["number"], 0)
            assert status["revisions"][0]["have"] == status["revisions"][0]["expected"] == 2
            code, said = await command("show", "customers/", *config)
            assert code == 0 and "customers/acme = {}" in said
            change = tmp_path / "change.json5"
            change.write_text('{"customers/acme": null, "teams/a": {quota_cores: -1}}')
            code, said = await command("apply", str(change), *config)
            assert code == 1 and said.startswith("invalid") and "teams/a: quota_cores" in said
            code, said = await command("put", "--remove", "customers/acme", "--base", "0", *config)
            assert code == 1 and said.startswith("conflict") and "customers/acme" in said
            code, said = await command("status", "--at", made.at("p2"), "--deployment", "rig")
            assert code == 0 and "in force" not in said.splitlines()[1]
            for name in made.controls:
                made.signal(name, signal.SIGTERM)
                with trio.fail_after(LONG):
                    assert await made.running.pop(name).wait() == 0
            code, _ = await command("status", *config)
            assert code == 4

    trio.run(run)


POINTS = range(1, 60) if os.environ.get("HAZELHOLD_LONG") else (1, 2, 4, 6, 9)


def test_a_control_machine_is_killed_at_each_message_of_a_commit(tmp_path: Path) -> None:
    """The writer asks the next one under the same id; that one settles what the first had begun."""

    async def run() -> None:
        async with process_fleet(tmp_path, planners=1) as made:
            struck: list[str] = []
            for point in POINTS:
                await strike(made, point, struck)
            number = await made.base()
            await made.all_have(number)
            print(struck)
            assert len(struck) == len(POINTS)

    trio.run(run)


async def strike(made: ProcessFleet, point: int, struck: list[str]) -> None:
    """Kills c1 before this message of one commit, and has it back."""

    def kill(kind: str) -> None:
        struck.append(kind)
        made.signal("c1", signal.SIGKILL)

    base = await made.base()
    made.wires.arm("c1", point, kill)
    answer = await made.put(f"kill-{point}", base, "c1", "c2", "c3", **{f"customers__k{point}": {}})
    assert answer.outcome == "committed", (point, answer)
    with trio.fail_after(LONG):  # what follows the answer counts, too: others store it, planners hear of it
        extra = 0
        while made.wires.left > 0:
            extra += 1
            more = await made.put(
                f"kill-{point}-{extra}", await made.base(), "c1", "c2", "c3", teams__t={"quota_cores": extra}
            )
            assert more.outcome == "committed", (point, more)
    made.wires.arm("", 0, kill)
    await made.running.pop("c1").wait()
    await made.start("c1")
    await made.until("c1", lambda said: said.number >= answer.number and not said.cut_off)


@pytest.mark.parametrize("paused", ["c1", "p1"])
def test_one_that_was_paused_goes_on_where_the_others_are(tmp_path: Path, paused: str) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path) as made:
            base = await made.base()
            made.signal(paused, signal.SIGSTOP)
            answers = []
            for n in range(3):
                answers.append(await made.put(f"while-{n}", base, "c2", "c3", **{f"customers__w{n}": {}}))
            assert {answer.outcome for answer in answers} == {"committed"}
            number = max(answer.number for answer in answers)
            others = [name for name in made.running if name != paused]
            await made.all_have(number, *others)
            made.signal(paused, signal.SIGCONT)
            await made.all_have(number)
            late = await made.put("late", base, "c1", customers__w0={"late": True})
            assert late.outcome == "conflict", late

    trio.run(run)


@pytest.mark.parametrize("way", ["in", "out", "both"])
def test_two_writers_on_both_sides_of_a_cut_between_regions(tmp_path: Path, way: str) -> None:
    """c1 and p1 are in the one region, the rest in the other. `in`: c1 and p1 do not hear; `out`: they are
    not heard."""

    async def run() -> None:
        async with process_fleet(tmp_path) as made:
            base = await made.base()
            made.wires.cut(["c1", "p1"], ["c2", "c3", "p2"], way)
            answers = {}

            async def write(side: str, seconds: float, *names: str) -> None:
                answers[side] = await made.put(side, base, *names, seconds=seconds, customers__x={"by": side})

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write, "north", 2.5, "c1")
                nursery.start_soon(write, "south", LONG, "c2", "c3")
            # What c1 sent may have been chosen though c1 did not hear so: then the other side has a conflict.
            assert answers["south"].outcome in ("committed", "conflict"), answers
            assert answers["north"].outcome in ("refused", "unknown", "conflict"), answers
            number = max(await made.base(), base + 1)
            await made.all_have(number, "c2", "c3", "p2")
            if way != "out":  # then it is only not heard: what it hears is the latest
                cut = await made.until("p1", lambda said: bool(said.cut_off))
                assert cut.in_force == base
            await made.until("c1", lambda said: bool(said.cut_off))
            made.wires.clear_faults()
            await made.all_have(number)
            north = await made.put("north", base, customers__x={"by": "north"})
            south = await made.put("south", base, customers__x={"by": "south"})
            assert sorted((north.outcome, south.outcome)) == ["committed", "conflict"], (north, south)
            await made.until("p1", lambda said: not said.cut_off)

    trio.run(run)


def test_a_zone_returns_with_old_state_and_another_without_its_disk(tmp_path: Path) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path, lost={"p1", "p2"}) as made:
            for name in ("c1", "p1"):
                await made.kill(name)
                made.save(name)
                await made.start(name)
            await made.votes_again()
            number = 0
            for n in range(4):
                answer = await made.put(f"c-{n}", await made.base(), **{f"customers__c{n}": {}})
                assert answer.outcome == "committed", answer
                number = answer.number
            await made.all_have(number)
            for name in ("c1", "p1"):
                await made.kill(name)
                made.restore(name)
                await made.start(name)
            await made.votes_again()
            began = made.said("p1", "fleetconfig_started")[-1][0]["number"]
            assert began < number
            await made.all_have(number)
            for name in ("c2", "p2"):
                await made.kill(name)
                made.lose(name)
                await made.start(name)
            await made.all_have(number)
            await made.votes_again()
            await made.kill("c3")  # what was agreed has to be told by the one and the other
            answer = await made.put("after", await made.base(), "c1", "c2", customers__after={})
            assert answer.outcome == "committed", answer
            await made.start("c3")
            await made.all_have(answer.number)

    trio.run(run)


def test_the_same_asking_at_all_machines_again_and_again_while_connections_break(tmp_path: Path) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path) as made:
            base, numbers = await made.base(), {}

            async def ask(n: int, by: str) -> None:
                answer = await made.put(
                    f"d-{n}", base, by, *made.controls, seconds=LONG, **{f"customers__d{n}": {}}
                )
                assert answer.outcome == "committed", answer
                numbers.setdefault(n, set()).add(answer.number)

            async def break_connections(scope: trio.CancelScope) -> None:
                with scope:
                    while True:
                        await trio.sleep(0.15)
                        made.wires.break_all()

            async with trio.open_nursery() as nursery:
                scope = trio.CancelScope()
                nursery.start_soon(break_connections, scope)
                async with trio.open_nursery() as writers:
                    for n in range(5):
                        for by in made.controls:
                            writers.start_soon(ask, n, by)
                scope.cancel()
            assert all(len(found) == 1 for found in numbers.values()), numbers
            await made.all_have(max(max(found) for found in numbers.values()))

    trio.run(run)


@pytest.mark.parametrize("fault", ["killed", "paused"])
def test_a_relay_fails_and_those_that_followed_it_hear_of_the_next_revision(
    tmp_path: Path, fault: str
) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path, planners=4, one_zone=True) as made:
            async with trio.open_nursery() as nursery:  # from its folder each knows whom to follow at once
                for planner in made.planners:
                    await made.kill(planner)
                    nursery.start_soon(made.start, planner)
            follower, relay = await who_follows_a_planner(made)
            if fault == "killed":
                await made.kill(relay)
            else:
                made.signal(relay, signal.SIGSTOP)
            answer = await made.put("next", await made.base(), customers__next={})
            await made.all_have(answer.number, *(p for p in made.planners if p != relay))
            assert relay not in (await made.until(follower, lambda said: bool(said.route))).route
            lacking = await made.until("c1", lambda said: said.lacking_count == 1)
            assert [state.name for state in lacking.lacking] == [relay]
            if fault == "killed":
                await made.start(relay)
            else:
                made.signal(relay, signal.SIGCONT)
            await made.everywhere(answer.number)

    trio.run(run)


async def who_follows_a_planner(made: ProcessFleet) -> tuple[str, str]:
    """A planner, and the one that it follows, once there are such."""
    with trio.fail_after(LONG):
        while True:
            for planner in made.planners:
                said = await made.until(planner, lambda status: bool(status.route))
                if said.route[-1] in made.planners:
                    return planner, said.route[-1]
            await trio.sleep(0.1)
