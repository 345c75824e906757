"""A machine that drained is started anew, and its wall clock was stepped back: it is cold all the same."""

import asyncio
import time
from math import sqrt
from pathlib import Path

from standins.bulletin import Bulletin
from standins.client import Connection
from standins.machine import Machine
from standins.planner import Planner
from standins.play import NotRunError, Play, play
from standins.settings import settings
from standins.wire import RESET, line

SITE = "main-campus"
RATE = 60.0  # set-ups a second
STEP_MS = 3_600_000  # an hour, as ACCEPTANCE.md has it


async def case(made: Play) -> None:
    record, told = made.record, settings(SITE)
    bulletin = Bulletin(record)
    await bulletin.open()
    machines = [
        Machine(f"s-{number:08x}", record, (57.0, 144.0), "big-64", f"hall-{'abc'[number % 3]}")
        for number in range(1, 12)
    ]
    born = {machine.name: 0 for machine in machines}
    drained = machines[0]
    born[drained.name] = round(time.time() * 1000) - 600_000  # it started late, ten minutes ago
    for machine in machines:
        machine.life_s = 18.0
        await machine.open()
    health = {machine.name: "in_service" for machine in machines}

    def entries() -> list[dict]:
        return [machine.entry(health[machine.name], born[machine.name]) for machine in machines]

    bulletin.tell(entries(), whole=True)
    planner = Planner("n0", made.folder, told, bulletin, record)
    made.planners.append(planner)
    planner.start()
    if not await planner.until_ready():
        raise NotRunError("the planner was not ready within 30 s")

    async def rooms() -> None:
        while True:
            await asyncio.sleep(0.7)
            bulletin.quiet = True  # only the room has changed
            bulletin.tell(entries())
            bulletin.quiet = False

    async def load() -> None:
        client = await Connection(record, "client", {}).connect(planner.address)
        number, begun = 0, record.now()
        while True:
            client.set_up("form-page", 5.0, service=f"{number % 600 + 1:016x}")
            number += 1
            await asyncio.sleep(max(0.0, begun + number / RATE - record.now()))

    running = [asyncio.ensure_future(rooms()), asyncio.ensure_future(load())]
    await asyncio.sleep(20.0)
    health[drained.name] = "terminating"
    bulletin.tell([drained.entry(health[drained.name], born[drained.name])])
    await asyncio.sleep(1.0)
    for task in list(drained.standing):  # it sends its tasks away
        drained.standing.pop(task).cancel()
        note = {"note": "drained"}
        drained._say(None, line(op="end", call=task, **{"with": note}, why=RESET))
        record.note(drained.name, f"sends {task} away")
    await asyncio.sleep(1.0)
    address = drained.address
    drained.die()
    await asyncio.sleep(3.0)
    await drained.open(address)
    started_at = record.now()
    born[drained.name] = round(time.time() * 1000) - (STEP_MS if made.trouble else 0)
    health[drained.name] = "in_service"
    record.note(drained.name, "its new process listens")
    bulletin.tell([drained.entry(health[drained.name], born[drained.name])])
    told_at = record.now()
    await asyncio.sleep(10)
    for each in running:
        each.cancel()
    if not planner.alive():
        raise NotRunError("the planner has ended")
    judge(made, drained, told, started_at, told_at)


def judge(made: Play, machine: Machine, told: dict, started_at: float, told_at: float) -> None:
    """Counts the offers that came after the start was told, in each window of the settings' length.

    The machine warms evenly over the time that the settings name. For a whole window it gets the budget of
    the window's end, which is the largest.
    """
    rules = told["rules"]
    window, cold, cold_from = rules["tip-after"] / 1000, rules["cold"] / 1000, rules["cold-from"]
    offers = [at for at, _ in machine.offers if at >= told_at]
    worst = ""
    most = 0.0
    for first in offers:
        count = sum(first <= at <= first + window for at in offers)
        pace = min(1.0, cold_from + (1 - cold_from) * (first + window - started_at) / cold)
        calls = told["family-info"]["fresh-offers"] * pace / cold_from
        budget = calls + (2 * sqrt(calls) + 2 if calls >= 30 else 3 * sqrt(calls) + 3)
        if count / budget > most:
            most = count / budget
            worst = (
                f"{count} offers within {window:g} s from {first - started_at:.2f} s after its start; "
                f"N = {calls:.0f}, the budget {budget:.0f}"
            )
    made.record.note("JUDGE", worst)
    if most > 1:
        made.breaks(f"the cold machine {machine.name} was sent {worst}")


if __name__ == "__main__":
    play(Path(__file__).parent, case)
