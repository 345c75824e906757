"""A client that sends hundreds of set-ups at once and takes them back: what memory does the planner need?"""

import asyncio
from pathlib import Path

from review.standins_2.world import CAUSE_16, END, TROUBLE, Machine, Owner, World, encode, main, settings

MEMORY_MB = 192  # DEPLOY.md: "On scored days the limits are at most 192 MB"
BAD, AT_ONCE, PAUSE, SECONDS = 1, 600, 0.2, 85.0


def resident_mb(pid: int) -> float:
    """What the planner's process holds, as the platform counts it."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def case(world: World) -> list[str]:
    machines = [Machine(f"s-{number:08x}", world.record, "large-box", (47.0, 80.0)) for number in range(12)]
    await world.begin(machines)
    usual = await world.owner("usual")
    pid = world.planner.process.pid
    stop = world.record.now() + SECONDS
    sent = 0

    async def bad(number: int) -> None:
        nonlocal sent
        owner: Owner = await world.owner(f"bad-{number}", quiet=True)
        while world.record.now() < stop:
            if owner.closed_at is not None:
                owner = await world.owner(f"bad-{number}", quiet=True)
            calls = [owner.set_up("till-import", 5000, cores=1).call for _ in range(AT_ONCE)]
            sent += AT_ONCE
            for call in calls:
                owner.writer.write(encode(END, call, CAUSE_16))
            owner.asks.clear()
            await owner.writer.drain()
            await asyncio.sleep(PAUSE)

    jobs = [asyncio.ensure_future(bad(number)) for number in range(BAD if TROUBLE else 0)]
    broken = []
    while world.record.now() < stop:
        usual.set_up("payout-run", 4000)
        await asyncio.sleep(1.0)
        held = resident_mb(pid)
        world.record.note(f"the planner holds {held:.1f} MB after {sent} set-ups of bad clients")
        if held > MEMORY_MB:
            world.record.note("the platform kills it")
            broken.append(f"the planner needed {held:.1f} MB and was killed")
            break
    for each in jobs:
        each.cancel()
    return broken


if __name__ == "__main__":
    main(case, settings())
