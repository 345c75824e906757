"""Starts a planner that stores its state, from an earlier run's state or by taking over a running process."""

import os
import signal

import structlog
import trio

from hazelhold.service.driver import EngineDriver
from hazelhold.service.state_writer import StateWriter
from hazelhold.state.images import ENCODER
from hazelhold.state.store import InUseError, StateError, StoreContents

HANDOVER_TIMEOUT_S = 10
POLL_S = 0.002  # seconds between checks whether the other process has released the state


async def recover(
    state_writer: StateWriter,
    driver: EngineDriver,
    planner: str,
    take_over: bool,
    log: structlog.stdlib.BoundLogger,
) -> None:
    """Restores the engine's state from an earlier run. With `take_over`, a process that uses the state is
    asked to hand it over. Raises StateError if the folder must not be used."""
    net, tap = driver.net, driver.tap
    text = f"{planner} {os.getpid()}"
    try:
        contents = state_writer.open(net.wall(), text)
    except InUseError as error:
        if not take_over or not error.pid:
            raise
        contents = await _take_over(state_writer, driver, error.pid, text, log)
    now, wall = net.now(), net.wall()
    complete = contents.complete and not contents.fresh
    counts = driver.engine.keep(now, wall - now, contents.state_table, complete)
    if tap is not None:
        images = [[*change] for change in contents.state_table.changes()]
        tap.note(now, "keep", epoch=wall - now, complete=complete, changes=ENCODER.encode(images))
    state_writer.begin()
    log.info(
        "recovered",
        complete=contents.complete,
        fresh=contents.fresh,
        batches=contents.batches,
        generation=contents.generation,
        **counts,
    )
    driver.carry_out()


async def _take_over(
    state_writer: StateWriter, driver: EngineDriver, pid: int, text: str, log: structlog.stdlib.BoundLogger
) -> StoreContents:
    """Asks the process that uses the state to hand it over; waits at most `HANDOVER_TIMEOUT_S`."""
    os.kill(pid, signal.SIGUSR2)
    log.info("taking_over", pid=pid)
    with trio.move_on_after(HANDOVER_TIMEOUT_S):
        while True:
            await trio.sleep(POLL_S)
            try:
                return state_writer.open(driver.net.wall(), text)
            except InUseError:
                continue
    raise StateError(f"process {pid} did not hand over within {HANDOVER_TIMEOUT_S} s")
