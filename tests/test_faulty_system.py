"""System calls that fail temporarily, stepped clocks, and submissions that are read late."""

import errno
import os
import socket
import time
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio
import trio.testing

from hazelhold.cli.logs import SafeLogStream
from hazelhold.config.load import ConfigError, read_text
from hazelhold.platform.event_log import EventLog
from hazelhold.platform.peer import OwnerPeer
from hazelhold.service import net
from hazelhold.service.arrival_time import LoopClock
from hazelhold.service.net import TcpNet
from hazelhold.state import clock
from tests.platform_rig import PLACED, Rig, play, set_up


def test_opening_a_listening_socket_is_retried_after_a_shortage(monkeypatch: pytest.MonkeyPatch) -> None:
    left = [errno.ENOBUFS, errno.ENFILE, errno.ENOMEM]
    real = socket.create_server

    def create(*args: object, **more: object) -> socket.socket:
        if left:
            raise OSError(left.pop(), "short")
        return real(*args, **more)

    monkeypatch.setattr(net.socket, "create_server", create)

    async def run() -> str:
        async with trio.open_nursery() as nursery:
            address = await TcpNet().listen("127.0.0.1:0", trio.aclose_forcefully, nursery)
            nursery.cancel_scope.cancel()
        return address

    assert trio.run(run).startswith("127.0.0.1:") and left == []


def test_an_address_in_use_is_reported_at_once() -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            async with trio.open_nursery() as nursery:
                with pytest.raises(OSError, match="in use"):
                    await TcpNet().listen(address, trio.aclose_forcefully, nursery)

    trio.run(run)


def test_every_error_of_accept_leaves_the_listener_in_service() -> None:
    """A listener whose accept fails in each documented way before it succeeds."""
    codes = [
        errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM,
        errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EOPNOTSUPP, errno.ENONET,
    ]  # fmt: skip
    delays = []

    class Listener(socket.socket):
        def accept(self) -> tuple:
            if codes:
                raise OSError(codes.pop(0), "accept")
            return super().accept()

    async def handler(stream: trio.SocketStream) -> None:
        delays.append(net.accept_delay(stream))
        await stream.send_all(b"x")

    async def run() -> None:
        listener = Listener()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(net.serve, listener, handler, 4)
            stream = await trio.open_tcp_stream(*listener.getsockname())
            with trio.fail_after(10):
                assert await stream.receive_some(1) == b"x"
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert codes == [] and delays[0] >= sum(net.ACCEPT_AGAIN)  # the wait is reported to the handler


def test_a_log_that_cannot_be_written_raises_no_error() -> None:
    class Full:
        def write(self, text: str) -> int:
            raise OSError(errno.ENOSPC, "full")

        def flush(self) -> None:
            raise OSError(errno.EIO, "broken")

    log = SafeLogStream(Full())
    assert log.write("line\n") == 5
    log.flush()
    assert log.dropped == 2


def test_a_pipe_that_nobody_reads_does_not_block_the_log() -> None:
    reading, writing = os.pipe()
    line = "a line of the log\n"
    with os.fdopen(reading, "rb") as reader, os.fdopen(writing, "w", buffering=1) as writer:
        log = SafeLogStream(writer)
        for _ in range(20_000):
            log.write(line)
        assert log.dropped
        writer.close()
        assert set(reader.read().decode().splitlines(keepends=True)) == {
            line
        }  # the lines that were written are complete


def test_reading_a_file_is_retried_after_a_temporary_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "file"
    path.write_text("whole")
    left = [errno.EIO, errno.ENFILE]
    real = Path.read_text

    def read(self: Path, **more: object) -> str:
        if left:
            raise OSError(left.pop(), "for a moment")
        return real(self, **more)

    monkeypatch.setattr(Path, "read_text", read)
    assert read_text(path, tries=3) == "whole"
    left.append(errno.EIO)
    with pytest.raises(ConfigError, match="for a moment"):
        read_text(path)
    with pytest.raises(ConfigError, match="No such file"):
        read_text(tmp_path / "none", tries=3)


def test_a_counter_in_two_tables_is_summed_in_the_last_log_line() -> None:
    """A name in both tables caused a TypeError when the last line was logged."""

    async def test(rig: Rig) -> None:
        rig.planner.counts["dials_failed"] = 2
        rig.planner.engine.counts["dials_failed"] = 3
        assert rig.planner.all_counts()["dials_failed"] == 5
        rig.planner.stop()
        await rig.planner.ended.wait()

    play(test)


# Clocks.


def test_a_step_of_the_wall_clock_shifts_no_time(monkeypatch: pytest.MonkeyPatch) -> None:
    network = TcpNet()
    before, real = network.wall(), time.time_ns
    for step in (3600, -3600, 2):
        monkeypatch.setattr(time, "time_ns", lambda step=step: real() + step * 10**9)
        assert abs(network.wall() - before) < 5_000_000
        assert abs(network.wall_stepped() - step) < 1


def test_a_folder_keeps_its_clock_within_a_boot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    folder = tmp_path / "state"
    assert clock.lasting_offset(folder, 1000) == 1000
    assert clock.lasting_offset(folder, 9000) == 1000  # the wall clock was stepped between two processes
    (folder / clock.FILE).write_text("another-boot 7\n")
    assert clock.lasting_offset(folder, 9000) == 9000 and clock.lasting_offset(folder, 1) == 9000
    (folder / clock.FILE).write_bytes(b"\xff torn")
    assert clock.lasting_offset(folder, 5) == 5
    monkeypatch.setattr(clock, "boot_id", lambda: "")
    assert clock.lasting_offset(folder, 6) == 6


def test_with_an_unwritable_folder_a_process_uses_its_own_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*args: object) -> None:
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, "replace", fail)
    assert clock.lasting_offset(tmp_path, 1000) == 1000 and clock.lasting_offset(tmp_path, 2000) == 2000


# Submissions that are read late.


def test_the_time_that_a_submission_waited_to_be_read_is_subtracted_from_its_deadline() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await trio.sleep(0.2)
        await owner.say(set_up(1, left="2000"))
        trio.lowlevel.current_clock().jump(0.7)  # the process was stopped
        await trio.sleep(0.1)
        assert owner.of(1) == PLACED
        (offer,) = [line for each in rig.machines.values() for line in each.offers()]
        assert 1200 <= int(offer["with"]["left"]) <= 1300
        assert rig.planner.counts["requests_read_late"] == 1

    play(test)


def test_the_time_that_a_connection_waited_to_be_accepted_counts_for_its_first_submissions() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await trio.sleep(0.2)
        (peer,) = rig.planner.owner_server.peers.values()
        peer.accept_delay = 1.5
        await owner.say(set_up(1, left="2000"))
        await trio.sleep(0.1)
        await owner.say(set_up(2, left="2000"))
        await trio.sleep(0.1)
        left = {o["call"]: int(o["with"]["left"]) for e in rig.machines.values() for o in e.offers()}
        assert left[f"{1:016x}"] <= 500 and rig.planner.counts["requests_read_late"] == 1

    play(test)


def test_a_connection_that_is_accepted_before_the_process_is_stopped_has_waited_until_it_is_served() -> None:
    """Guards against a deadline that is too long by a stop between accepting a connection and serving it."""
    stopped_for = 0.2  # seconds

    class Listener(socket.socket):
        def accept(self) -> tuple:
            try:
                return super().accept()
            except BlockingIOError:  # all are accepted, and none is served yet
                time.sleep(stopped_for)
                raise

    async def run() -> float:
        delays = []

        async def handler(stream: trio.SocketStream) -> None:
            delays.append(net.accept_delay(stream))

        listener = Listener()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(net.serve, listener, handler, 4)
            await trio.open_tcp_stream(*listener.getsockname())
            with trio.fail_after(10):
                while not delays:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        return delays[0]

    assert trio.run(run) >= stopped_for


def test_the_loop_clock_reports_the_age_of_the_last_poll() -> None:
    async def run() -> None:
        loop = LoopClock()
        trio.lowlevel.add_instrument(loop)
        await trio.sleep(0.01)
        assert trio.current_time() - loop.previous_poll_at < 0.1
        trio.lowlevel.current_clock().jump(2.0)
        assert trio.current_time() - loop.previous_poll_at >= 2.0

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_wait_that_ended_late_does_not_count_as_a_poll() -> None:
    """What arrives while the process is stopped in a wait is reported only by the next wait."""

    async def run() -> None:
        clock = trio.lowlevel.current_clock()
        loop = LoopClock()
        for late, age in ((0.0, 0.05), (0.4, 0.45)):
            loop.before_io_wait(0.0)
            loop.after_io_wait(0.0)
            loop.before_io_wait(0.05)
            clock.jump(0.05 + late)  # a stop, past the end of the wait
            loop.after_io_wait(0.05)
            loop.before_io_wait(0.0)
            loop.after_io_wait(0.0)
            assert trio.current_time() - loop.previous_poll_at == pytest.approx(age if late else 0.0)

    trio.run(run, clock=trio.testing.MockClock())


def test_a_poll_that_was_stopped_before_it_returned_is_as_old_as_its_call() -> None:
    """Soak seed 519: data ready at the call was reported 0.3 s later, and data that arrived since was not."""

    async def run() -> None:
        loop = LoopClock()
        loop.before_io_wait(0.0)
        trio.lowlevel.current_clock().jump(0.3)
        loop.after_io_wait(0.0)
        loop.before_io_wait(0.0)
        loop.after_io_wait(0.0)
        assert trio.current_time() - loop.previous_poll_at == pytest.approx(0.3)

    trio.run(run, clock=trio.testing.MockClock())


def test_data_left_by_a_short_read_arrived_no_later_than_the_rest() -> None:
    """A connection that is read in parts by a process that was stopped while the data arrived."""

    async def run() -> None:
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            peer = OwnerPeer("c1", trio.SocketStream(trio.socket.from_stdlib_socket(near)), 1 << 16, 0.0)
            peer.arrival.empty_at = peer.arrival.clock.last_poll_at = trio.current_time() - 0.4
            far.send(bytes(100))
            peer.read_begins()
            near.recv(40)
            peer.was_read(40)
            assert peer.arrival.waited() >= 0.4
            peer.read_begins()
            near.recv(100)
            peer.was_read(60)
            assert peer.arrival.waited() >= 0.4
            peer.read_begins()
            peer.was_read(1)
            assert peer.arrival.waited() < 0.1

    trio.run(run)


def test_each_step_of_the_wall_clock_is_logged_once() -> None:
    async def test(rig: Rig) -> None:
        written = []
        log = SimpleNamespace(warning=lambda event, **more: written.append((event, more)))
        logbook = EventLog(log, rig.planner.engine)
        logbook.write_clock_step(0.2)  # adjusted gradually, not stepped
        for seconds in (3600.0, 3600.1, 0.0):
            logbook.write_clock_step(seconds)
        assert written == [
            ("wall_clock_stepped", {"since_start_s": 3600.0}),
            ("wall_clock_stepped", {"since_start_s": 0.0}),
        ]

    play(test)
