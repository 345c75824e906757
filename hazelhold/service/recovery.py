"""The beginning of a planner that keeps state: taken over from an earlier life, or from a living process."""

import os
import signal

import structlog
import trio

from hazelhold.service.driver import EngineDriver
from hazelhold.service.state_writer import StateWriter
from hazelhold.state.images import ENCODER
from hazelhold.state.store import InUseError, StateError, StoreContents

HAND_OVER_S = 10  # seconds that a living process has to hand over
LOOK_S = 0.002  # seconds between looks whether it has


async def recover(
    state_writer: StateWriter,
    driver: EngineDriver,
    planner: str,
    take_over: bool,
    log: structlog.stdlib.BoundLogger,
) -> None:
    """Begins where an earlier life left off. With `take_over` a process that has the state is asked to hand
    over. StateError if the folder is not to be used."""
    net, tap = driver.net, driver.tap
    text = f"{planner} {os.getpid()}"
    try:
        found = state_writer.open(net.wall(), text)
    except InUseError as wrong:
        if not take_over or not wrong.pid:
            raise
        found = await _take_over(state_writer, driver, wrong.pid, text, log)
    now, wall = net.now(), net.wall()
    complete = found.complete and not found.fresh
    counts = driver.engine.keep(now, wall - now, found.state_table, complete)
    if tap is not None:
        kept = [[*change] for change in found.state_table.changes()]
        tap.note(now, "keep", epoch=wall - now, complete=complete, changes=ENCODER.encode(kept))
    state_writer.begin()
    log.info(
        "recovered",
        complete=found.complete,
        fresh=found.fresh,
        batches=found.batches,
        generation=found.generation,
        **counts,
    )
    driver.carry_out()


async def _take_over(
    state_writer: StateWriter, driver: EngineDriver, pid: int, text: str, log: structlog.stdlib.BoundLogger
) -> StoreContents:
    """Asks the process that has the state to hand over, and waits for it, ten seconds at most."""
    os.kill(pid, signal.SIGUSR2)
    log.info("taking_over", pid=pid)
    with trio.move_on_after(HAND_OVER_S):
        while True:
            await trio.sleep(LOOK_S)
            try:
                return state_writer.open(driver.net.wall(), text)
            except InUseError:
                continue
    raise StateError(f"process {pid} did not hand over within {HAND_OVER_S} s")
