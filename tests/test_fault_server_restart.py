"""A server's process dies and is up again at once, under its name and address; the list tells it later.

What came to the old process is over and has to be released, what came to the new one stands. The program told
them apart by the birth that the list tells and the wall clock of its own machine. With a clock that is 5 s
behind, all that had come to the new process before the list told it was released while it stood; with one
that is ahead, what came to the old one was never released. Nor was what a client handed over: it counted as
sent at its hand-over, after the restart.
"""

import time
from pathlib import Path

import pytest
import trio

from tests.faults.discovery import Fault
from tests.faults.judge import RELEASE_AT_LATEST
from tests.faults.servers import Server
from tests.faults.shim_plan import ClockStep, ShimPlan
from tests.test_fault_incident import Incident, play, until

LONG_LIFE = (40.0, 40.0)  # seconds; longer than any test here
NOTICE = 0.6  # seconds until the list tells a restart
CLOCK_STEPS = [0.0, -5.0, 5.0, -3600.0, 3600.0]


class Restarts(Incident):
    """`stepped`: seconds by which the planner's wall clock is ahead of the servers' and the list's."""

    stepped = 0.0

    def __init__(self, folder: Path, servers: int, fleet: int) -> None:
        super().__init__(folder, servers, fleet)
        if self.stepped:
            self.schedule.shims = [ShimPlan(1, [ClockStep(-1000.0, self.stepped)], [])]

    async def place(self, tasks: int) -> None:
        """Tasks that their clients know to stand, on the first server and on others."""
        for server in self.servers:
            server.task_life = LONG_LIFE
        await until(lambda: standing(self.servers[0], self) >= tasks)

    async def restart_server(self) -> float:
        """Returns the Unix time of its new life."""
        await self.servers[0].restart()
        return time.time()

    def tell_restart(self, born: float) -> None:
        server: Server = self.servers[0]
        server.started_wall = born
        server.life.told_restart = time.monotonic()
        self.planner.discovery.tell(server, "in_service")

    async def until_all_is_due(self) -> None:
        self.its_clients.sending = False
        await trio.sleep(RELEASE_AT_LATEST + 0.5)


def ahead(seconds: float) -> type[Restarts]:
    return type("Ahead", (Restarts,), {"stepped": seconds})


def released(incident: Incident) -> int:
    return sum(1 for each in incident.record.requests.values() if len(each.replies) == 2)


def standing(server: Server, incident: Incident) -> int:
    return sum(1 for call in server.tasks if len(incident.record.requests[call].replies) == 1)


@pytest.mark.parametrize("seconds", CLOCK_STEPS)
def test_tasks_of_the_old_process_are_released_and_those_of_the_new_one_stand(
    seconds: float, tmp_path: Path
) -> None:
    async def test(incident: Restarts) -> None:
        await incident.place(5)
        born = await incident.restart_server()
        await until(lambda: standing(incident.servers[0], incident) >= 3)
        await trio.sleep(max(0.0, born + NOTICE - time.time()))
        incident.tell_restart(born)
        await incident.until_all_is_due()
        assert released(incident) >= 5 and standing(incident.servers[0], incident) >= 3

    assert play(test, tmp_path, kind=ahead(seconds)).broken() == []


@pytest.mark.parametrize("seconds", CLOCK_STEPS)
@pytest.mark.parametrize("told", ["before the start", "after the hand-over"])
def test_what_is_handed_over_from_an_old_process_is_released(
    told: str, seconds: float, tmp_path: Path
) -> None:
    """The planner is away while its server restarts."""

    async def test(incident: Restarts) -> None:
        await incident.place(5)
        incident.its_clients.sending = False
        await incident.planner.kill()
        incident.its_clients.planner_died()
        born = await incident.restart_server()
        if told == "before the start":
            incident.tell_restart(born)
        incident.planner.start(incident.servers)
        assert await incident.planner.until_ready()
        await incident.its_clients.hand_over()
        if told == "after the hand-over":
            incident.tell_restart(born)
        await incident.until_all_is_due()
        assert released(incident) >= 5
        assert sum(standing(server, incident) for server in incident.servers[1:]) >= 5

    assert play(test, tmp_path, kind=ahead(seconds)).broken() == []


@pytest.mark.parametrize("tells_use", [True, False])
def test_what_stands_goes_on_while_discovery_is_silent(tells_use: bool, tmp_path: Path) -> None:
    """A planner is killed amid an outage: its tasks are handed over, and none is ended for want of a list."""

    async def test(incident: Restarts) -> None:
        await incident.place(5)
        before = sum(standing(server, incident) for server in incident.servers)
        incident.its_clients.sending = False
        await incident.planner.kill()
        incident.its_clients.planner_died()
        await incident.planner.discovery.set_fault(Fault.SILENT)
        incident.planner.start(incident.servers)
        assert await incident.planner.until_ready()
        await incident.its_clients.hand_over()
        await incident.until_all_is_due()
        assert sum(standing(server, incident) for server in incident.servers) == before

    kind = Restarts if tells_use else WithoutNotes
    assert play(test, tmp_path, kind=kind).broken() == []


class WithoutNotes(Restarts):
    def __init__(self, folder: Path, servers: int, fleet: int) -> None:
        super().__init__(folder, servers, fleet)
        self.schedule.servers_tell_use = False
