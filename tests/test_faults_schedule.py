"""What a seed draws, and faults of one server that overlap."""

import time
from dataclasses import fields
from hashlib import sha256
from pathlib import Path

import pytest
import trio

from tests.faults.record import Record
from tests.faults.run import Run
from tests.faults.schedule import Schedule, ServerFault, draw
from tests.faults.servers import Faults, Server

# Kinds that came after the digests were taken; they are drawn apart.
LATER = {"more_clock_steps", "late_server_restarts", "silences", "stops", "losses"}
DIGESTS = {
    (1, 10, 10, 14.0): "9ea4189f8f9a1d9a",
    (2, 10, 10, 14.0): "5be85e0861faaade",
    (3, 10, 10, 14.0): "89d489fa0f1a729f",
    (4, 10, 10, 14.0): "b853a916ec9b1eb8",
    (502, 6, 10, 15.0): "516e636eb989b50a",
    (522, 6, 10, 15.0): "2be8145a5096649a",
    (50, 24, 16, 25.0): "df71ed4bcd10cec4",
}


@pytest.mark.parametrize("run", DIGESTS)
def test_a_seed_keeps_its_faults_when_kinds_are_added(run: tuple[int, int, int, float]) -> None:
    """What an earlier soak found is found by its seed again."""
    drawn = draw(*run)
    text = "\n".join(repr(getattr(drawn, each.name)) for each in fields(drawn) if each.name not in LATER)
    assert sha256(text.encode()).hexdigest()[:16] == DIGESTS[run]


def test_each_later_kind_is_in_a_share_of_the_seeds() -> None:
    drawn = [draw(seed, 6, 10, 15.0) for seed in range(200)]
    for kind in LATER:
        assert 70 <= sum(1 for each in drawn if getattr(each, kind)) <= 130
    for each in drawn:
        assert len(each.more_clock_steps) in (0, 6)
        assert all(0.3 <= abs(step.seconds) <= 5.0 for step in each.more_clock_steps)
        assert all(restart.notice <= 2.0 for restart in each.late_server_restarts)
        assert all(1.0 <= silence.seconds <= 3.5 for silence in each.silences)
        assert all(0.5 <= stop.seconds <= 3.0 for stop in each.stops)
        assert all(0.3 <= loss.seconds <= 5.0 and 0.2 <= loss.notice <= 4.7 for loss in each.losses)


def test_the_end_of_a_fault_leaves_the_others_of_its_server() -> None:
    async def run() -> None:
        played = Run(Schedule(1, 0, 1, 1.0, 700.0, 4.0), Path())
        async with trio.open_nursery() as nursery:
            server = Server("s1", "127.77.1", Record(), played.random, nursery)
            played.servers.append(server)
            for start, end, values in ((0.0, 0.2, ("hung", 1.0)), (0.0, 0.1, ("idle_close", 0.5))):
                nursery.start_soon(played._server_fault, ServerFault(start, end, 0, (values,)))
            await trio.sleep(0.05)
            assert server.faults == Faults(hung=True, idle_close=0.5)
            await trio.sleep(0.1)
            assert server.faults == Faults(hung=True, idle_close=4.0)
        assert server.faults == Faults(idle_close=4.0)

    trio.run(run)


def test_a_silent_server_goes_on_and_says_what_it_had_to_say() -> None:
    """A shorter silence, or another fault's end, lets it speak no earlier; its new process speaks at once."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = Server("s1", "127.77.1", Record(), Run(draw(1, 1, 1, 8.0), Path()).random, nursery)
            await server.open(["n0"])
            began = time.monotonic()
            server.fall_silent(0.5)
            server.fall_silent(0.1)
            stream = await trio.open_tcp_stream(server.host("n0"), server.port("n0"))
            await stream.send_all(b'{"op":"test","call":"aa","with":{},"why":0}\n')
            await trio.sleep(0.2)
            server.faults = Faults()
            assert b"tested" in await stream.receive_some(1000)
            assert 0.5 <= time.monotonic() - began < 1.5
            assert server.tested == 1
            server.fall_silent(60.0)
            await server.restart()
            stream = await trio.open_tcp_stream(server.host("n0"), server.port("n0"))
            await stream.send_all(b'{"op":"test","call":"ab","with":{},"why":0}\n')
            with trio.fail_after(10.0):
                assert b"tested" in await stream.receive_some(1000)
            nursery.cancel_scope.cancel()

    trio.run(run)
