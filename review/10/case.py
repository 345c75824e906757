"""A machine vanishes, a new one takes its address, and the list shows the end of the first one late."""

import asyncio
import time

from review.standins_2.world import LATE_SLACK, TROUBLE, CannotRunError, Machine, World, main, settings

BOUND = 8.0  # PROTOCOL.md: "where no release could be sent, within 8 s of its end"
NEW_AFTER, SHOWN_AFTER, GONE_AFTER = 1.5, 1.0, 12.5  # seconds; the limits are quoted in claim.txt


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
        host, port = first.dial.split(":")
        await asyncio.sleep(NEW_AFTER)
        new = Machine("s-0000000a", world.record, "large-box", (47.0, 80.0))
        first.leave_address()
        await new.open(host, int(port))
        new.born_ms = round(time.time() * 1000)
        world.record.note(f"{new.name} is up at the address of {first.name}")
        await asyncio.sleep(SHOWN_AFTER)
        world.bulletin.tell([new.entry()])
        await asyncio.sleep(GONE_AFTER - NEW_AFTER - SHOWN_AFTER)
        world.bulletin.tell([first.entry("terminated")])
    else:
        await asyncio.sleep(GONE_AFTER)
    await asyncio.sleep(4.0)
    broken = []
    for call in over:
        releases = [at for at, what in owner.asks[call].answers if not what.startswith("answer")]
        took = round(releases[0] - ended, 3) if releases else None
        world.record.note(f"task {call} ended with its machine; released after {took} s")
        if took is None or took > BOUND + LATE_SLACK:
            broken.append(f"task {call}, over at {ended:.3f}, was released {took} s later")
    return broken


if __name__ == "__main__":
    main(case, settings())
