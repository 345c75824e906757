"""The two ways in which a planner ends: a clean stop, and a handover of its state to another process."""

from typing import TYPE_CHECKING

import trio

from hazelhold.protocol import messages as m
from hazelhold.service.connection import MessageConnection

if TYPE_CHECKING:
    from hazelhold.service.planner import Planner

FINAL_WRITE_S = 1.0  # seconds for writing the last state to disk in a stop
FLUSH_S = 0.5  # seconds for sending what is queued for owners
POLL_S = 0.01  # seconds between checks for unfinished work
LINGER_S = 0.02  # seconds for the last bytes to leave the sockets


async def stop(planner: "Planner") -> None:
    """Accepts no more submissions, answers the held guests, and waits up to `stop_ms` for dispatches."""
    driver, engine = planner.driver, planner.engine
    driver.deliver("stop")
    planner.log.info("stopping", unanswered=engine.unanswered())
    driver.ticker.notify()
    with trio.move_on_after(planner.config.limits.stop_ms / 1000):
        while engine.unanswered():
            await trio.sleep(POLL_S)
    if planner.members is not None:
        await planner.members.leave()
    driver.deliver("stop_now")
    spread = planner.owner_server.return_window()
    if planner.state_writer is not None:
        with trio.move_on_after(FINAL_WRITE_S):
            await planner.state_writer.wait_until_idle()
            await planner.state_writer.retry_now()
    for connection in _connections(planner):
        connection.finish(m.Bye(reason="stopping", spread=spread))
    with trio.move_on_after(FLUSH_S):
        while any(w.queue for w in planner.owners.values()):
            await trio.sleep(POLL_S)
    await trio.sleep(LINGER_S)
    if planner.tap is not None:
        planner.tap.writer.end()  # peers may still send while the rest is written
        await trio.to_thread.run_sync(planner.tap.writer.close)
        planner.counts["capture_lost"] = planner.tap.writer.total_lost
    planner.log.info("stopped", unanswered=engine.unanswered(), **engine.counts)


async def hand_over(planner: "Planner") -> None:
    """Stops reading, writes all state to disk, and closes the connections."""
    driver, engine = planner.driver, planner.engine
    driver.handed_over = True
    planner.state_writer.take([], [engine.persistence.learned(engine)])
    with trio.move_on_after(planner.config.limits.stop_ms / 1000):
        await planner.state_writer.wait_until_idle()
    spread = planner.owner_server.admission.window(0, len(planner.owners))
    for connection in _connections(planner):
        connection.finish(m.Bye(reason="hand_over", spread=spread))
    await trio.sleep(LINGER_S)
    if planner.tap is not None:
        planner.tap.writer.end()  # peers may still send while the rest is written
        await trio.to_thread.run_sync(planner.tap.writer.close)
    planner.log.info("handed_over", unanswered=engine.unanswered(), **engine.counts)


def _connections(planner: "Planner") -> list[MessageConnection]:
    """Returns the connections of all owners, then those of all machines."""
    return [*planner.owners.values(), *planner.links.open_connections()]
