"""Three of ten machines are lost without a word and return cold, their clocks stepped back by some seconds.
The ends of their tasks are owed to the clients all the same."""

import asyncio
import time
from pathlib import Path

from standins.bulletin import Bulletin
from standins.client import Connection, Request
from standins.gate import Gate
from standins.machine import Machine
from standins.planner import Planner
from standins.play import NotRunError, Play, play
from standins.settings import settings

SITE = "brisbane-main"
RATE = 20.0  # set-ups a second
LOST_S = 3.0  # at most 5 s
STEP_S = 5.0  # by which the clocks of the lost machines are stepped back
NOTICE_S = 1.0  # after which the bulletin has the restart; the site names up to 4.7 s
WATCHED_S = 20.0  # from the loss
RELEASE_S = 8.0 + 0.05  # from the end of a task to its release, and what the protocol page adds to a limit


async def case(made: Play) -> None:
    record, told = made.record, settings(SITE, balancers=2)
    bulletin = Bulletin(record)
    await bulletin.open()
    machines = [Machine(f"s-{number:08x}", record) for number in range(1, 11)]
    gates: dict[str, Gate] = {}
    for machine in machines:
        machine.life_s = 60.0  # none comes to its end during the play
        await machine.open()
    lost = machines[:3]
    for machine in lost:
        gate = gates[machine.name] = Gate()
        gate.target, machine.address = machine.address, gate.address
    bulletin.tell([machine.entry() for machine in machines], whole=True)
    planner = Planner("n0", made.folder, told, bulletin, record)
    made.planners.append(planner)
    planner.start()
    if not await planner.until_ready():
        raise NotRunError("the planner was not ready within 30 s")

    requests: dict[str, Request] = {}
    client = await Connection(record, "client", requests).connect(planner.address)
    products = [each["name"] for each in told["classes"]]

    async def load() -> None:
        number, begun = 0, record.now()
        while True:
            client.set_up(products[number % 3], 5.0)
            number += 1
            await asyncio.sleep(max(0.0, begun + number / RATE - record.now()))

    loading = asyncio.ensure_future(load())
    await asyncio.sleep(4.0)
    cut: dict[str, str] = {}  # task and its machine
    lost_at = record.now()
    if made.trouble:
        for machine in lost:
            cut |= dict.fromkeys(machine.standing, machine.name)
            record.note(machine.name, "is lost: its tasks are cut, and it says nothing")
            gates[machine.name].vanish()
            machine.die()
    await asyncio.sleep(LOST_S)
    ended_at = record.now()  # the tasks' end, as late as it can be taken: their machine runs a new process
    if made.trouble:
        born = round((time.time() - STEP_S) * 1000)  # by the machines' own clocks
        for machine in lost:
            gate = gates[machine.name]
            await machine.open(gate.target)
            machine.address = gate.address
            gate.come_back()
            record.note(machine.name, "is back: a new process, cold")
        await asyncio.sleep(NOTICE_S)
        bulletin.tell([machine.entry(born_ms=born) for machine in lost])
    await asyncio.sleep(2.0)
    loading.cancel()
    await asyncio.sleep(max(0.0, lost_at + WATCHED_S - record.now()))
    if not planner.alive() or client.ended_at:
        raise NotRunError("the planner, or the client's connection, has ended")
    if made.trouble and not cut:
        raise NotRunError("no task stood on the machines that were lost")

    stood = [requests[task] for task, name in cut.items() if requests[task].machine == name]
    record.note("JUDGE", f"{len(stood)} tasks that stood were lost at {lost_at:.3f}, over at {ended_at:.3f}")
    for request in stood:
        releases = [at for at, text in request.replies if text != "answer"]
        if not releases or releases[0] - ended_at > RELEASE_S:
            when = f"{releases[0] - ended_at:.2f} s after its end" if releases else f"not in {WATCHED_S:g} s"
            age = lost_at - request.sent_at
            where = cut[request.task]
            made.breaks(f"{request.task} on {where}, sent {age:.1f} s before the loss, was released {when}")
    for request in requests.values():  # all are past their time by now
        if not request.replies:
            made.breaks(f"{request.task} was taken and never answered")


if __name__ == "__main__":
    play(Path(__file__).parent, case)
