"""The two ends of a planner: the clean stop, and the hand-over to a process that goes on with its state."""

from typing import TYPE_CHECKING

import trio

from hazelhold.protocol import messages as m
from hazelhold.service.wire import Wire

if TYPE_CHECKING:
    from hazelhold.service.planner import Planner

KEEP_S = 1.0  # seconds that the last state has to reach the disk in a stop
FAREWELL_S = 0.5  # seconds that owners have to take what is queued for them
POLL_S = 0.01  # seconds between looks at what is still out
SETTLE_S = 0.02  # seconds for the last bytes to leave


async def stop(planner: "Planner") -> None:
    """Takes nothing more, answers what it holds, and waits for what is out, for as long as is stated."""
    driver, engine = planner.driver, planner.engine
    driver.feed("stop")
    planner.log.info("stopping", unanswered=engine.unanswered())
    driver.ticker.stir()
    with trio.move_on_after(planner.config.limits.stop_ms / 1000):
        while engine.unanswered():
            await trio.sleep(POLL_S)
    if planner.members is not None:
        await planner.members.leave()
    driver.feed("stop_now")
    spread = planner.door.return_window()
    if planner.keeper is not None:
        with trio.move_on_after(KEEP_S):
            await planner.keeper.drained()
            await planner.keeper.last_try()
    for wire in _wires(planner):
        wire.finish(m.Bye(reason="stopping", spread=spread))
    with trio.move_on_after(FAREWELL_S):
        while any(w.queue for w in planner.owners.values()):
            await trio.sleep(POLL_S)
    await trio.sleep(SETTLE_S)
    if planner.tap is not None:
        planner.tap.writer.end()  # others may still speak while the rest is written
        await trio.to_thread.run_sync(planner.tap.writer.close)
        planner.counts["capture_lost"] = planner.tap.writer.total_lost
    planner.log.info("stopped", unanswered=engine.unanswered(), **engine.counts)


async def hand_over(planner: "Planner") -> None:
    """Reads nothing more, makes all safe, and goes."""
    driver, engine = planner.driver, planner.engine
    driver.handed_over = True
    planner.keeper.take([], [engine.keeping.learned(engine)])
    with trio.move_on_after(planner.config.limits.stop_ms / 1000):
        await planner.keeper.drained()
    spread = planner.door.doorman.window(0, len(planner.owners))
    for wire in _wires(planner):
        wire.finish(m.Bye(reason="hand_over", spread=spread))
    await trio.sleep(SETTLE_S)
    if planner.tap is not None:
        planner.tap.writer.end()  # others may still speak while the rest is written
        await trio.to_thread.run_sync(planner.tap.writer.close)
    planner.log.info("handed_over", unanswered=engine.unanswered(), **engine.counts)


def _wires(planner: "Planner") -> list[Wire]:
    """Of all owners, then of all machines."""
    return [*planner.owners.values(), *planner.links.open_wires()]
