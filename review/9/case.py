"""A planner is killed and started again: what becomes of the tasks that run on meanwhile."""

import asyncio
import time

from review.standins_2.world import TROUBLE, Machine, World, main, settings

STARTED_BEFORE = 600.0  # seconds before the case at which the machines came up: all are long warm
NOTES_EVERY = 5.0  # seconds between two notes on what a task uses; the pages set no interval
WATCHED = 9.0


async def case(world: World) -> list[str]:
    machines = [Machine(f"s-{number:08x}", world.record, "large-box", (47.0, 80.0)) for number in range(3)]
    for each in machines:
        each.born_ms = round((time.time() - STARTED_BEFORE) * 1000)
        each.notes_every = NOTES_EVERY
    await world.begin(machines)
    owner = await world.owner("owner")
    for _ in range(9):
        owner.set_up("payout-run", 4000)
    await asyncio.sleep(6.0)
    standing = {call: each for each in machines for call in each.tasks}
    if len(standing) != 9:
        return [f"{len(standing)} of 9 set-ups were placed before the disruption"]
    if TROUBLE:
        world.record.note("the planner is killed")
        world.planner.kill()
        await asyncio.sleep(0.3)
        world.planner.start()
        await world.planner.ready()
        owner = await world.owner("owner-2")
        for call, machine in standing.items():
            owner.hand_over(call, "payout-run", 4000, machine.name)
    await asyncio.sleep(WATCHED)
    broken = []
    for call, machine in standing.items():
        told = [what for _, what in owner.asks[call].answers if not what.startswith("answer")]
        if told:
            broken.append(f"task {call} was released ({told[0]}); neither machine nor owner ended it")
        if call not in machine.tasks:
            broken.append(f"task {call} was cut at {machine.name} by the planner")
    return broken


if __name__ == "__main__":
    main(case, settings(family_info__use_notes=True))
