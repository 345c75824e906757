"""`bench.throughput` on small sizes: each of its measurements ends, with every request where it should be."""

import trio

from bench.throughput import memory, sockets
from hazelhold.engine import admission

PAST_THE_LINE = 2 * admission.SHORT_QUEUE + 1  # more than admission control takes without a pace
WINDOW = 32
SECONDS = 60


def test_memory_of_held_requests_past_the_line_that_is_always_admitted() -> None:
    assert memory(PAST_THE_LINE, run=False) > 0


def test_memory_of_running_requests() -> None:
    assert memory(PAST_THE_LINE, run=True) > 0


def test_a_run_ends_whose_later_phases_are_smaller_than_the_window() -> None:
    requests = WINDOW // 2

    async def run() -> dict[str, float]:
        with trio.fail_after(SECONDS):
            return await sockets(machines=2, running=WINDOW // 4, guests=requests, window=WINDOW)

    assert trio.run(run)["guests_a_second"] > 0
