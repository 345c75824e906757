"""Parts of a day's stand-ins as processes of their own, beside planners that somebody else runs."""

from collections import Counter
from typing import Any

import structlog
import trio

from hazelhold.config.day import Day
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.rehearse.environment import Environment
from hazelhold.rehearse.fault_plan import plan
from hazelhold.service.net import TcpNet
from hazelhold.service.wire import Wire

OWNERS_PART = ("burst", "rejoin")
LIST_PART = ("list_down",)


async def run_part(day: Day, seed: int, seconds: float, part: str, more: dict[str, Any]) -> dict[str, int]:
    """Runs `part` (list, machines or senders) for so long, with the day's troubles that strike it; returns
    what it counted. Troubles of planners are for whoever runs the planners."""
    net = TcpNet()
    environment = Environment(day, seed, net, None, "127.0.0.1")
    log = structlog.get_logger().bind(part=part)
    counts: Counter[str] = Counter()
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            if part == "list":
                address = await environment.list_host.run(more["listen"], nursery)
                log.info("up", address=address)
            elif part == "machines":
                environment.remote = await _enlist(net, more["lister"], nursery)
                await environment.open_machines(nursery)
                log.info("up", machines=len(environment.hosts))
            else:
                environment.bring_owners(more["planners"], nursery)
                log.info("up", owners=len(environment.senders))
            await _strike(day, seed, environment, part)
            await trio.sleep_forever()
    for counted in (
        [h.machine.counts for h in environment.hosts.values()]
        if part == "machines"
        else [s.model.counts for s in environment.senders]
    ):
        counts += counted
    return dict(counts)


async def _enlist(net: TcpNet, address: str, nursery: trio.Nursery) -> Wire:
    """A connection to the list service on which machines tell of themselves."""
    wire = Wire(await net.dial(address), m.Codec(m.FROM_LIST), net.now, send_bytes=1 << 24)
    nursery.start_soon(wire.write)
    wire.send(m.Hello(role="machine", name="stand-in-machines"))
    await wire.first(m.Welcome, 5.0)

    async def listen() -> None:
        try:
            async for _ in wire.messages():
                pass
        except FrameError:
            pass

    nursery.start_soon(listen)
    return wire


async def _strike(day: Day, seed: int, environment: Environment, part: str) -> None:
    mine = {"list": LIST_PART, "senders": OWNERS_PART}.get(part)
    start = trio.current_time()
    for step in plan(day, seed, environment.targets, [w.service for w in environment.wants]):
        if step.what.startswith("planner_") or (
            step.what not in mine if mine else step.what in (*LIST_PART, "rejoin")
        ):
            continue
        await trio.sleep_until(start + step.at / 1e6)
        environment.do(step)
