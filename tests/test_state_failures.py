"""Stored state under a running planner: failing disks, crashes at numbered points, handovers."""

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
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import MemoryNet
from hazelhold.service.planner import Planner
from hazelhold.standin.disk import FaultyDisk, Points
from hazelhold.state import store
from tests.helpers import planner_config
from tests.state_rig import S, disk

# A disk that fails while a planner uses it.


def run_with_planner(test: Callable, on: FaultyDisk) -> None:
    """Runs the test beside a planner on this disk, with an owner that can submit guests, in virtual time."""

    async def run() -> None:
        net = MemoryNet()
        made = replace(planner_config(), state=replace(planner_config().state, retry_ms=500.0))
        planner = Planner(made, 1, net, disk=on)
        received: list[m.Message] = []
        with trio.fail_after(300):
            async with trio.open_nursery() as nursery:
                await nursery.start(planner.run)
                connection = MessageConnection(await net.dial("door"), m.Codec(m.TO_OWNER), net.now)
                nursery.start_soon(connection.write)
                connection.send(m.Hello(role="owner", name="o"))
                await connection.first(m.Welcome, 5)

                async def listen() -> None:
                    async for message in connection.messages():
                        received.append(message)

                nursery.start_soon(listen)

                async def ask(guest: str, product: str) -> str:
                    connection.send(
                        m.Submit(
                            guest=guest, product=product, service="s", cores=1.0, memory=1.0, patience=2 * S
                        )
                    )
                    await trio.sleep(0.1)
                    return received[-1].__struct_config__.tag + ":" + getattr(received[-1], "code", "")

                await test(planner, ask, received)
                nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("fault", "code"), [("write", errno.EROFS), ("sync", errno.EIO), ("full", 0)])
def test_with_a_failing_disk_only_guests_that_must_not_run_twice_are_refused(fault: str, code: int) -> None:
    on = disk()

    async def test(planner: Planner, ask: Callable, received: list) -> None:
        assert await ask("g1", "once") == "held:"
        if fault == "full":
            on.free_bytes = 20
        else:
            on.error_codes[fault] = code
        assert await ask("g2", "plain") == "held:" and not planner.engine.persistence_healthy
        assert await ask("g3", "once") == "rejected:not_kept"
        await trio.sleep(3)  # g1 gets its answer in time although it cannot be stored
        assert [a.guest for a in received if isinstance(a, m.GuestRefused)] == ["g1", "g2"]
        on.error_codes.clear()
        on.free_bytes = None
        await trio.sleep(2)
        assert planner.engine.persistence_healthy and await ask("g4", "once") == "held:"
        on.crash()
        assert [i.name for i in store.read(on, "p0").state_table.images("guest")] == ["g4/0"]

    run_with_planner(test, on)


def test_a_planner_starts_on_a_disk_that_cannot_be_written() -> None:
    on = disk()
    on.error_codes["write"] = errno.EROFS

    async def test(planner: Planner, ask: Callable, received: list) -> None:
        assert await ask("g1", "once") == "rejected:not_kept" and await ask("g2", "plain") == "held:"

    run_with_planner(test, on)


def test_a_handover_leaves_held_guests_to_the_next_process() -> None:
    on = disk()

    async def test(planner: Planner, ask: Callable, received: list) -> None:
        await ask("g1", "once")
        planner.hand_over()
        await trio.sleep(0.1)
        assert isinstance(received[-1], m.Bye) and received[-1].reason == "hand_over"
        assert not any(isinstance(a, m.GuestRefused | m.GuestFailed) for a in received)
        second = Planner(planner_config(), 2, planner.net, disk=on)
        async with trio.open_nursery() as nursery:
            await nursery.start(second.run)
            assert list(second.engine.records) == ["g1/0"] and second.engine.recovery_complete
            nursery.cancel_scope.cancel()

    run_with_planner(test, on)


# Crashes at numbered points of a day.

DAY = read_day(Path(__file__).parent.parent / "examples" / "quiet-day.json5")

DAY = replace(DAY, length_s=4.0, planners=1, demand=replace(DAY.demand, rate=8.0))

# A selection of points; bench.crashes crashes the planner at every one.
CRASH_POINTS = [
    {3},
    {8},
    {46},
    {49},
    {77},
    {102},
    {131},
    {200},
    {233},
    {301},
    {60, 61, 140},
    {90, 150, 152, 300},
]


@pytest.mark.parametrize("points", CRASH_POINTS, ids=str)
def test_a_planner_that_crashes_at_any_point_answers_every_guest_and_starts_none_twice(
    points: set[int], tmp_path: Path
) -> None:
    report = play_crashes(DAY, 1, tmp_path, points)
    assert report["struck"] and not report["rules_broken"] and not report["unaccounted"]
    assert not report["counts"].get("died_with_planner") and report["counts"]["placed"] > 20


def test_a_captured_run_that_began_with_stored_state_replays_to_the_same_decisions(tmp_path: Path) -> None:
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
    assert second.exit_code == 0 and "0 differ, 0 unmatched" in second.output


# A disk that hangs, and a process that takes over.


class SlowDisk(FaultyDisk):
    """A folder in memory whose syncs take `hang` seconds, in a thread as on a real disk."""

    threaded = True
    hang = 0.0

    def sync(self, name: str) -> None:
        import time

        time.sleep(self.hang)
        super().sync(name)


def test_a_disk_that_hangs_counts_as_failed_and_is_used_again_once_it_works() -> None:
    on = SlowDisk(Points(set(), 1))

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
                    await planner.state_writer.wait_until_idle()

                await take("g1")
                on.hang = 0.5
                await take("g2")
                assert planner.state_writer.failed and not engine.persistence_healthy
                await take("g3")  # actions no longer wait for the disk
                on.hang = 0.0
                while planner.state_writer.failed:
                    await trio.sleep(0.02)
                await take("g4")
                nursery.cancel_scope.cancel()

    trio.run(run)
    on.crash()
    assert [i.guest for i in store.read(on, "p0").state_table.images("guest")] == ["g1", "g2", "g3", "g4"]


def test_a_process_takes_over_from_another_and_no_owner_sees_an_error(tmp_path: Path) -> None:
    import subprocess
    import sys

    from hazelhold.client import TaskRequest, open_client
    from hazelhold.rehearse.ports import free_ports

    address = f"127.0.0.1:{free_ports(1)[0]}"
    made = planner_config()
    made = replace(made, listen=address, list=replace(made.list, address="127.0.0.1:1"))
    file = tmp_path / "planner.json5"
    made = replace(made, state=replace(made.state, folder=str(tmp_path / "s")))
    file.write_bytes(msgspec.json.encode(made))

    def start(*more: str) -> subprocess.Popen:
        command = [sys.executable, "-m", "hazelhold", "planner", "--config", str(file), "--ready", *more]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        assert process.stdout.readline()
        return process

    async def run(first: subprocess.Popen) -> subprocess.Popen:
        async with open_client("c", {"p0": address}, seed=1) as client:
            async with trio.open_nursery() as nursery:
                request = TaskRequest("g", "once", "s", 1.0, 1.0, 4_900_000, "exclusive")
                nursery.start_soon(client.place, request)
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
