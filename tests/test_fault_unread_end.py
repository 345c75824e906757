"""An end that lies unread in a connection when its planner, which did not run for a moment, runs on."""

import signal
from pathlib import Path

import trio

from tests.test_fault_incident import Incident, play, until

SERVERS, TASKS, STOPS = 6, 12, 4
IDLE_CLOSE = 1.0  # seconds
UP_FOR = 1.2  # seconds; just after a start an end may be released later
STOPPED = 1.1  # seconds; more than a planner keeps an idle connection, four fifths of IDLE_CLOSE
TOLD_AFTER = 0.3  # seconds from the begin of the stop
SILENT = 2.0  # seconds in which the server says nothing more


class IdleSoon(Incident):
    """Servers that close idle connections soon, and tasks that end when they are told to."""

    def __init__(self, folder: Path, servers: int, fleet: int) -> None:
        super().__init__(folder, servers, fleet)
        self.schedule.idle_close = IDLE_CLOSE

    async def begin(self, nursery: trio.Nursery) -> None:
        await super().begin(nursery)
        for server in self.servers:
            server.task_life = (60.0, 60.0)
            server.tells_use = False


async def stop_while_ends_arrive(incident: IdleSoon) -> None:
    """The planner is stopped, all that stands ends and is told, and then the servers say nothing."""
    incident.its_clients.sending = True
    await until(lambda: sum(len(server.tasks) for server in incident.servers) >= TASKS)
    incident.its_clients.sending = False
    await trio.sleep(0.1)
    incident.planner.signal(signal.SIGSTOP)
    await trio.sleep(TOLD_AFTER)
    ended = [(server, task) for server in incident.servers for task in list(server.tasks.values())]
    for server, task in ended:
        await server._end(task, 16, "")
    await until(lambda: all(task.attempt.over_told_at for _, task in ended))
    for server in incident.servers:
        server.fall_silent(SILENT)
    await trio.sleep(STOPPED - TOLD_AFTER)
    incident.planner.signal(signal.SIGCONT)
    placed = [r for r in incident.record.requests.values() if r.replies and r.replies[0].kind == "answer"]
    await until(lambda: all(len(request.replies) == 2 for request in placed))


def test_an_end_that_lies_unread_is_read_before_its_connection_is_closed_as_idle(tmp_path: Path) -> None:
    """Soak seed 706: the planner closed the connection with the end in it, and the server said no more.

    What runs first when the process runs on, the reader or the close, is drawn: several servers and stops.
    """

    async def test(incident: IdleSoon) -> None:
        await trio.sleep(UP_FOR)
        for _ in range(STOPS):
            await stop_while_ends_arrive(incident)

    assert play(test, tmp_path, servers=SERVERS, kind=IdleSoon).broken() == []
