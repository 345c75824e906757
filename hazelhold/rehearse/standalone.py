"""Runs parts of a day's stand-ins as separate processes, for planners that are started elsewhere."""

from collections import Counter
from typing import Any

import structlog
import trio

from hazelhold.config.day import Day
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.rehearse.environment import Environment
from hazelhold.rehearse.fault_plan import plan
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import TcpNet

OWNERS_PART = ("burst", "rejoin")
LIST_PART = ("list_down",)


async def run_part(day: Day, seed: int, seconds: float, part: str, options: dict[str, Any]) -> dict[str, int]:
    """Runs `part` (list, machines or senders) for some seconds, with the day's faults that concern it, and
    returns its counters. Faults of planners are injected by whoever runs the planners."""
    net = TcpNet()
    environment = Environment(day, seed, net, None, "127.0.0.1")
    log = structlog.get_logger().bind(part=part)
    counts: Counter[str] = Counter()
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            if part == "list":
                address = await environment.list_host.run(options["listen"], nursery)
                log.info("up", address=address)
            elif part == "machines":
                environment.remote = await _connect_to_list(net, options["lister"], nursery)
                await environment.open_machines(nursery)
                log.info("up", machines=len(environment.hosts))
            else:
                environment.bring_owners(options["planners"], nursery)
                log.info("up", owners=len(environment.senders))
            await _inject_faults(day, seed, environment, part)
            await trio.sleep_forever()
    for model_counts in (
        [h.machine.counts for h in environment.hosts.values()]
        if part == "machines"
        else [s.model.counts for s in environment.senders]
    ):
        counts += model_counts
    return dict(counts)


async def _connect_to_list(net: TcpNet, address: str, nursery: trio.Nursery) -> MessageConnection:
    """Opens a connection to the list service on which machines register."""
    connection = MessageConnection(await net.dial(address), m.Codec(m.FROM_LIST), net.now, send_bytes=1 << 24)
    nursery.start_soon(connection.write)
    connection.send(m.Hello(role="machine", name="stand-in-machines"))
    await connection.first(m.Welcome, 5.0)

    async def listen() -> None:
        try:
            async for _ in connection.messages():
                pass
        except FrameError:
            pass

    nursery.start_soon(listen)
    return connection


async def _inject_faults(day: Day, seed: int, environment: Environment, part: str) -> None:
    own_faults = {"list": LIST_PART, "senders": OWNERS_PART}.get(part)
    start = trio.current_time()
    for step in plan(day, seed, environment.targets, [w.service for w in environment.wants]):
        if step.what.startswith("planner_") or (
            step.what not in own_faults if own_faults else step.what in (*LIST_PART, "rejoin")
        ):
            continue
        await trio.sleep_until(start + step.at / 1e6)
        environment.do(step)
