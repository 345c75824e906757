"""A bad client names a time out of range in the hand-over of a task; nobody else may lose anything by it."""

import asyncio
from pathlib import Path

from standins.bulletin import Bulletin
from standins.client import Connection
from standins.machine import Machine
from standins.planner import Planner
from standins.play import NotRunError, Play, play
from standins.settings import settings

PATIENCE_S = 5.0


async def case(made: Play) -> None:
    record = made.record
    bulletin = Bulletin(record)
    await bulletin.open()
    machines = [Machine(f"s-{number:08x}", record) for number in range(1, 5)]
    for machine in machines:
        machine.admit_s = 0.5  # some requests are open at any moment
        await machine.open()
    bulletin.tell([machine.entry() for machine in machines], whole=True)
    planner = Planner("n0", made.folder, settings(), bulletin, record)
    made.planners.append(planner)
    planner.start()
    if not await planner.until_ready():
        raise NotRunError("the planner was not ready within 30 s")

    requests: dict = {}
    good = await Connection(record, "client", requests).connect(planner.address)
    for number in range(60):  # 20 a second
        good.set_up(("till-import", "pool-calc")[number % 2], PATIENCE_S)
        await asyncio.sleep(0.05)
        if number == 30:
            bad = await Connection(record, "bad client", {}).connect(planner.address)
            left = "1e306" if made.trouble else "1000"  # milliseconds, in parameter 4
            bad.set_up("till-import", 0.0, at="s-7fffffff", task="bad0000000000001", left=left)
        if good.ended_at:
            break
    for _ in range(100):
        if not good.open or not planner.alive():
            break
        await asyncio.sleep(0.06)
    await asyncio.sleep(0.2)
    if not planner.alive():
        made.breaks(f"the planner's process ended with code {planner.process.poll()}")
    for request in requests.values():
        crossed = request.closed_at and request.closed_at - request.sent_at < 0.1  # maybe not taken any more
        if not request.replies and not crossed:
            made.breaks(f"{request.task} of the usual client was taken and never answered")


if __name__ == "__main__":
    play(Path(__file__).parent, case)
