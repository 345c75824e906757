"""Kept state under a running planner: failing disks, crashes at numbered points, hand-overs."""

import errno
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
import trio
from click.testing import CliRunner
from msgspec.structs import replace
from trio.testing import MockClock

from hazelhold.cli.main import main
from hazelhold.config.day import read_day
from hazelhold.protocol import messages as m
from hazelhold.rehearse.crashes import play_crashes
from hazelhold.service.net import MemoryNet
from hazelhold.service.planner import Planner
from hazelhold.service.wire import Wire
from hazelhold.standin.disk import FaultyDisk, Points
from hazelhold.state import store
from hazelhold.state.disk import RealDisk
from tests.helpers import planner_config
from tests.state_rig import S, disk

# A disk that fails under a running planner.


def beside(test: Callable, on: FaultyDisk) -> None:
    async def run() -> None:
        net = MemoryNet()
        made = replace(planner_config(), state=replace(planner_config().state, retry_ms=500.0))
        planner = Planner(made, 1, net, disk=on)
        said: list[m.Message] = []
        with trio.fail_after(300):
            async with trio.open_nursery() as nursery:
                await nursery.start(planner.run)
                wire = Wire(await net.dial("door"), m.Codec(m.TO_OWNER), net.now)
                nursery.start_soon(wire.write)
                wire.send(m.Hello(role="owner", name="o"))
                await wire.first(m.Welcome, 5)

                async def listen() -> None:
                    async for message in wire.messages():
                        said.append(message)

                nursery.start_soon(listen)

                async def ask(guest: str, product: str) -> str:
                    wire.send(
                        m.Submit(
                            guest=guest, product=product, service="s", cores=1.0, memory=1.0, patience=2 * S
                        )
                    )
                    await trio.sleep(0.1)
                    return said[-1].__struct_config__.tag + ":" + getattr(said[-1], "code", "")

                await test(planner, ask, said)
                nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("fault", "code"), [("write", errno.EROFS), ("sync", errno.EIO), ("full", 0)])
def test_a_failing_disk_refuses_what_must_not_run_twice_and_nothing_else(fault: str, code: int) -> None:
    on = disk()

    async def test(planner: Planner, ask: Callable, said: list) -> None:
        assert await ask("g1", "once") == "held:"
        if fault == "full":
            on.room = 20
        else:
            on.fails[fault] = code
        assert await ask("g2", "plain") == "held:" and not planner.engine.persistence_healthy
        assert await ask("g3", "once") == "rejected:not_kept"
        await trio.sleep(3)  # g1 gets its answer in time though it cannot be kept
        assert [a.guest for a in said if isinstance(a, m.TurnedBack)] == ["g1", "g2"]
        on.fails.clear()
        on.room = None
        await trio.sleep(2)
        assert planner.engine.persistence_healthy and await ask("g4", "once") == "held:"
        on.crash()
        assert [i.name for i in store.read(on, "p0").ledger.images("guest")] == ["g4/0"]

    beside(test, on)


def test_a_planner_starts_on_a_disk_that_cannot_be_written() -> None:
    on = disk()
    on.fails["write"] = errno.EROFS

    async def test(planner: Planner, ask: Callable, said: list) -> None:
        assert await ask("g1", "once") == "rejected:not_kept" and await ask("g2", "plain") == "held:"

    beside(test, on)


def test_a_hand_over_leaves_held_guests_to_the_next_process() -> None:
    on = disk()

    async def test(planner: Planner, ask: Callable, said: list) -> None:
        await ask("g1", "once")
        planner.hand_over()
        await trio.sleep(0.1)
        assert isinstance(said[-1], m.Bye) and said[-1].reason == "hand_over"
        assert not any(isinstance(a, m.TurnedBack | m.BrokenOff) for a in said)
        second = Planner(planner_config(), 2, planner.net, disk=on)
        async with trio.open_nursery() as nursery:
            await nursery.start(second.run)
            assert list(second.engine.records) == ["g1/0"] and second.engine.recovery_complete
            nursery.cancel_scope.cancel()

    beside(test, on)


# Crashes at numbered points of a day.

DAY = read_day(Path(__file__).parent.parent / "examples" / "quiet-day.json5")

DAY = replace(DAY, length_s=4.0, planners=1, demand=replace(DAY.demand, rate=8.0))

# A spread of points; bench.crashes strikes every one.
STRIKES = [{3}, {8}, {46}, {49}, {77}, {102}, {131}, {200}, {233}, {301}, {60, 61, 140}, {90, 150, 152, 300}]


@pytest.mark.parametrize("strike", STRIKES, ids=str)
def test_a_planner_that_dies_anywhere_owes_nothing_and_starts_nothing_twice(
    strike: set[int], tmp_path: Path
) -> None:
    said = play_crashes(DAY, 1, tmp_path, strike)
    assert said["struck"] and not said["rules_broken"] and not said["unaccounted"]
    assert not said["counts"].get("died_with_planner") and said["counts"]["placed"] > 20


def test_a_captured_life_that_began_with_kept_state_replays_to_the_same_decisions(tmp_path: Path) -> None:
    from hazelhold.rehearse.run import play

    (tmp_path / "kept").mkdir()
    trio.run(
        play,
        DAY,
        1,
        tmp_path / "day",
        True,
        MemoryNet(),
        tmp_path / "kept",
        Points({150}, 1),
        (),
        clock=MockClock(autojump_threshold=0),
    )
    second = CliRunner().invoke(main, ["capture", "replay", str(tmp_path / "kept" / "planner-0-2.pcap")])
    assert second.exit_code == 0 and "0 differ, 0 without a fellow" in second.output


# A disk that hangs, and a process that takes over.


class SlowDisk(RealDisk):
    """A real disk whose syncs can be made to hang."""

    hang = 0.0

    def sync(self, name: str) -> None:
        import time

        time.sleep(self.hang)
        super().sync(name)


def test_a_disk_that_hangs_counts_as_failed_and_is_taken_again_when_it_works(tmp_path: Path) -> None:
    on = SlowDisk(tmp_path)

    async def run() -> None:
        net = MemoryNet()
        made = replace(planner_config(), state=replace(planner_config().state, retry_ms=50.0, slow_ms=60.0))
        planner = Planner(made, 1, net, disk=on)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await nursery.start(planner.run)
                engine = planner.engine

                async def take(guest: str) -> None:
                    engine.owner_said(
                        net.now(),
                        "o",
                        m.Submit(
                            guest=guest, product="plain", service="s", cores=1.0, memory=1.0, patience=60 * S
                        ),
                    )
                    planner.driver.carry_out()
                    await planner.keeper.drained()

                await take("g1")
                on.hang = 0.5
                await take("g2")
                assert planner.keeper.failed and not engine.persistence_healthy
                await take("g3")  # nothing waits for the disk any more
                on.hang = 0.0
                while planner.keeper.failed:
                    await trio.sleep(0.02)
                await take("g4")
                nursery.cancel_scope.cancel()

    trio.run(run)
    on.unlock()
    assert [i.guest for i in store.read(on, "p0").ledger.images("guest")] == ["g1", "g2", "g3", "g4"]


def test_a_process_takes_over_from_another_and_no_owner_sees_an_error(tmp_path: Path) -> None:
    import subprocess
    import sys

    from hazelhold.client import TaskRequest, open_client
    from hazelhold.rehearse.ports import free_ports

    door = f"127.0.0.1:{free_ports(1)[0]}"
    made = planner_config()
    made = replace(made, listen=door, list=replace(made.list, address="127.0.0.1:1"))
    file = tmp_path / "planner.json5"
    made = replace(made, state=replace(made.state, folder=str(tmp_path / "s")))
    file.write_bytes(msgspec.json.encode(made))

    def start(*more: str) -> subprocess.Popen:
        command = [sys.executable, "-m", "hazelhold", "planner", "--config", str(file), "--ready", *more]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        assert process.stdout.readline()
        return process

    async def run(first: subprocess.Popen) -> subprocess.Popen:
        async with open_client("c", {"p0": door}, seed=1) as client:
            async with trio.open_nursery() as nursery:
                wanted = TaskRequest("g", "once", "s", 1.0, 1.0, 4_900_000, "exclusive")
                nursery.start_soon(client.place, wanted)
                await trio.sleep(0.5)
                second = await trio.to_thread.run_sync(start, "--take-over")
                assert first.wait(5) == 0
                while not client.core.up["p0"]:
                    await trio.sleep(0.01)
                assert (await client.query("g")).state == "held"
                nursery.cancel_scope.cancel()
        return second

    first = start()
    second = None
    try:
        second = trio.run(run, first)
    finally:
        for process in (first, second):
            if process is not None and process.poll() is None:
                process.terminate()
                process.wait(10)
