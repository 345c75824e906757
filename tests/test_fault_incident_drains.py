"""The second incident of 2026-12-02 on real processes: draining servers that still pass probes.

One server that is taken off the list first works on until it goes; another refuses offers but passes probes.
No page says that a probe shows a drain, so what counts is the list, and as of when it is known.
"""

import time
from dataclasses import replace
from pathlib import Path

import pytest
import trio

from tests.faults.discovery import Fault
from tests.faults.judge import DRAIN_GRACE, SLACK
from tests.faults.servers import Draining
from tests.faults.shim_plan import ClockStep, ShimPlan
from tests.test_fault_incident import Incident, play, until

FLEET = 4  # planners in the planner's settings: this few probe all servers every second
PAST_GRACE = DRAIN_GRACE + 2 * SLACK
PASSES_PROBES = [Draining.REFUSES, Draining.WORKS]


def send(incident: Incident, requests: int) -> None:
    for _ in range(requests):
        incident.nursery.start_soon(incident.its_clients._request)


async def drain(incident: Incident, draining: Draining, servers: int) -> None:
    """Drains one server after another, and sends requests after the grace period of each."""
    for server in incident.servers[:servers]:
        await server.drain(draining)
        incident.planner.discovery.tell(server, "terminating")
        await trio.sleep(PAST_GRACE)
        for _ in range(8):
            send(incident, 5)
            await trio.sleep(0.1)


async def works_again(incident: Incident) -> None:
    """With discovery answering, the remaining servers are sent guests."""
    await incident.planner.discovery.set_fault(Fault.NONE)
    well_at = time.monotonic()
    incident.its_clients.sending = True
    await until(lambda: incident.placed_since(well_at) >= 15)


@pytest.mark.parametrize("draining", PASSES_PROBES)
def test_answers_that_are_late_from_the_start_allow_no_offer_to_a_draining_server(
    draining: Draining, tmp_path: Path
) -> None:
    """No answer confirms the list, and each event is read late."""

    async def test(incident: Incident) -> None:
        incident.planner.discovery.lag = 0.6
        await incident.restart(Fault.LAGGING)
        incident.its_clients.sending = False
        await drain(incident, draining, 3)
        await works_again(incident)

    assert play(test, tmp_path, servers=5, fleet=FLEET).broken() == []


@pytest.mark.parametrize("draining", PASSES_PROBES)
def test_answers_that_become_late_allow_no_offer_to_a_draining_server(
    draining: Draining, tmp_path: Path
) -> None:
    """The list was confirmed just before, and the answer under way is late."""

    async def test(incident: Incident) -> None:
        await until(lambda: incident.placed_since(0.0) >= 5)
        incident.its_clients.sending = False
        discovery = incident.planner.discovery
        discovery.lag = 1.0
        for server in incident.servers[:3]:
            await discovery.set_fault(Fault.LAGGING)
            await server.drain(draining)
            discovery.tell(server, "terminating")
            await trio.sleep(PAST_GRACE)
            send(incident, 25)
            await trio.sleep(1.0)
            await works_again(incident)
            incident.its_clients.sending = False

    assert play(test, tmp_path, servers=5, fleet=FLEET).broken() == []


class PolledList(Incident):
    """Settings under which the list is only sent on request."""

    def settings(self, slot: int) -> dict:
        made = super().settings(slot)
        made["rules"]["ask-within"] = 10_000.0
        return made | {"discovery": "ask"}


def test_where_the_list_is_polled_the_first_poll_is_at_once(tmp_path: Path) -> None:
    """The first call came three to five seconds after the start."""

    async def test(incident: Incident) -> None:
        await incident.restart(Fault.NONE)
        incident.its_clients.sending = False
        await drain(incident, Draining.WORKS, 1)
        await works_again(incident)

    assert play(test, tmp_path, servers=5, fleet=FLEET, kind=PolledList).broken() == []


class SteppedClock(Incident):
    """The wall clock was stepped forward by an hour before the planner started."""

    def __init__(self, folder: Path, servers: int, fleet: int) -> None:
        super().__init__(folder, servers, fleet)
        self.schedule.shims[0] = ShimPlan(1, [ClockStep(-1000.0, 3600.0)], [])


def test_a_clock_stepped_before_the_start_makes_no_server_in_slow_start_look_warm(tmp_path: Path) -> None:
    """The age of a server was computed from the difference of two machines' wall clocks."""

    async def test(incident: Incident) -> None:
        await until(lambda: incident.placed_since(0.0) >= 5)
        discovery = incident.planner.discovery
        new = await incident._server(["n0"])
        new.life.started_at, new.started_wall = time.monotonic(), time.time()
        new.life.told_start = new.life.started_at
        discovery.tell(new, "in_service")
        for server in incident.servers:
            await server.drain()
            discovery.tell(server, "terminating")
        incident.its_clients.habits = replace(incident.its_clients.habits, rate=80.0)
        await trio.sleep(4.0)

    assert play(test, tmp_path, servers=2, kind=SteppedClock).broken() == []
