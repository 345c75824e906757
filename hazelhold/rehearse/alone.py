"""Parts of a day's stand-ins as processes of their own, beside planners that somebody else runs."""

from collections import Counter
from typing import Any

import structlog
import trio

from hazelhold.config.day import Day
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.rehearse.stage import Stage
from hazelhold.rehearse.troubles import plan
from hazelhold.service.net import TcpNet
from hazelhold.service.wire import Wire

OWNERS_PART = ("burst", "rejoin")
LIST_PART = ("list_down",)


async def run_part(day: Day, seed: int, seconds: float, part: str, more: dict[str, Any]) -> dict[str, int]:
    """Runs `part` (list, machines or senders) for so long, with the day's troubles that strike it; returns
    what it counted. Troubles of planners are for whoever runs the planners."""
    net = TcpNet()
    stage = Stage(day, seed, net, None, "127.0.0.1")
    log = structlog.get_logger().bind(part=part)
    counts: Counter[str] = Counter()
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            if part == "list":
                address = await stage.list_host.run(more["listen"], nursery)
                log.info("up", address=address)
            elif part == "machines":
                stage.remote = await _enlist(net, more["lister"], nursery)
                await stage.open_machines(nursery)
                log.info("up", machines=len(stage.hosts))
            else:
                stage.bring_owners(more["planners"], nursery)
                log.info("up", owners=len(stage.senders))
            await _strike(day, seed, stage, part)
            await trio.sleep_forever()
    for counted in (
        [h.machine.counts for h in stage.hosts.values()]
        if part == "machines"
        else [s.model.counts for s in stage.senders]
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


async def _strike(day: Day, seed: int, stage: Stage, part: str) -> None:
    mine = {"list": LIST_PART, "senders": OWNERS_PART}.get(part)
    start = trio.current_time()
    for step in plan(day, seed, stage.spots, [w.service for w in stage.wants]):
        if step.what.startswith("planner_") or (
            step.what not in mine if mine else step.what in (*LIST_PART, "rejoin")
        ):
            continue
        await trio.sleep_until(start + step.at / 1e6)
        stage.do(step)
