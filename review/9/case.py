"""A machine vanishes without a word while a set-up to it is open: when are its tasks released?"""

import asyncio
import socket

from review.standins_2.world import LATE_SLACK, TROUBLE, CannotRunError, Machine, World, main, settings

BOUND = 8.0  # PROTOCOL.md: "where no release could be sent, within 8 s of its end"


async def case(world: World) -> list[str]:
    machines = [Machine(f"s-{number:08x}", world.record, "large-box", (47.0, 80.0)) for number in range(2)]
    await world.begin(machines)
    first = machines[0]
    owner = await world.owner("owner")
    standing = [owner.set_up("till-import", 5000) for _ in range(12)]
    await asyncio.sleep(1.0)
    if not all(each.placed for each in standing) or not first.tasks:
        raise CannotRunError("a set-up was not placed before the disruption")
    over = []
    ended = world.record.now()
    if TROUBLE:
        over = first.vanish()
    await asyncio.sleep(2.8)
    # The first set-ups of another class since the planner's start.
    sender = owner.writer.get_extra_info("socket")
    sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)  # they leave in one piece
    later = [owner.set_up("pool-calc", 6000) for _ in range(6)]
    sender.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)
    await asyncio.sleep(BOUND - 2.8 + 6.0)
    broken = []
    for call in over:
        releases = [at for at, what in owner.asks[call].answers if not what.startswith("answer")]
        took = round(releases[0] - ended, 3) if releases else None
        world.record.note(f"task {call} ended with its machine; released after {took} s")
        if took is None or took > BOUND + LATE_SLACK:
            broken.append(f"task {call}, over at {ended:.3f}, was released {took} s later")
    for each in later:
        world.record.note(f"set-up {each.call}: {each.answers}")
    return broken


if __name__ == "__main__":
    main(case, settings(limits__probing=False))
