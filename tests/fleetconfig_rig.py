"""Control machines and planners in one process, in memory and virtual time, with disks that outlive them."""

from collections.abc import Awaitable, Callable

import trio
from msgspec.structs import replace
from trio.testing import MockClock

from hazelhold.config.fleetconfig import (
    ControlFile,
    ControlMachine,
    ControlSeat,
    FleetConfigSection,
    VotesSection,
)
from hazelhold.config.planner import PlannerConfig
from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.client import ConfigClient
from hazelhold.fleetconfig.control_host import ControlHost, copies_config
from hazelhold.fleetconfig.document import Put, canonical
from hazelhold.fleetconfig.revision import Change
from hazelhold.replica.votes import found
from hazelhold.service.net import MemoryNet
from hazelhold.service.planner import Planner
from hazelhold.standin.disk import FaultyDisk, Killed, Points
from tests.helpers import planner_config

LONG = 120.0  # seconds of virtual time: no test waits so long unless something is wrong
DEPLOYMENT = "hazelhold"


def disk() -> FaultyDisk:
    return FaultyDisk(Points(set(), 1))


def items(**values: object) -> tuple[Put, ...]:
    """Items by name, with __ for the slash."""
    return tuple(Put(name.replace("__", "/"), canonical(value)) for name, value in values.items())


class Fleet:
    """Control machines c1, c2, ... and planners p1, p2, ..."""

    def __init__(self, nursery: trio.Nursery, controls: int, replicas: int) -> None:
        self.net, self.nursery, self.replicas = MemoryNet(), nursery, replicas
        self.names = [f"c{n}" for n in range(1, controls + 1)]
        self.seats = [
            ControlSeat(name, f"10.0.0.{n}:1", f"10.0.0.{n}:2", region=f"r{n % 2}", zone=f"z{n}")
            for n, name in enumerate(self.names, 1)
        ]
        self.disks: dict[str, FaultyDisk] = {}
        self.votes: dict[str, FaultyDisk] = {}
        self.controls: dict[str, ControlHost] = {}
        self.planners: dict[str, Planner] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.number = self.deaths = 0
        self.told: dict[str, int] = {}  # by a change's id: the revision that its writer was told
        for name in self.names:
            self.disks[name], self.votes[name] = disk(), disk()
            found(self.votes[name], name, copies_config(self.file(name)), 0)

    def file(self, name: str) -> ControlFile:
        seat = next(seat for seat in self.seats if seat.name == name)
        votes = VotesSection(seat.votes, "votes", self.replicas)
        return ControlFile(name, seat.address, DEPLOYMENT, "revisions", self.seats, votes)

    def address(self, name: str) -> str:
        """Of a planner."""
        return f"10.0.1.{name[1:]}:1"

    def section(self, name: str) -> FleetConfigSection:
        control = [ControlMachine(s.name, s.address, s.region) for s in self.seats]
        return FleetConfigSection(
            self.address(name), zone="z1", region="r1", control=control, folder="revisions"
        )

    async def start(self, name: str, file: PlannerConfig | None = None) -> None:
        """Starts a control machine or a planner; it is up when this returns."""
        made = self._control(name) if name in self.names else self._planner(name, file)
        scope = self.scopes[name] = trio.CancelScope()

        async def live(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
            try:
                with scope:
                    if isinstance(made, ControlHost):
                        made.open()
                    await made.run(task_status=task_status)
            except* Killed:
                self._died(name)
                if not made.address:
                    task_status.started()

        await self.nursery.start(live)

    def _died(self, name: str) -> None:
        """A process died at a point of its disks: it is started again, if it is a control machine."""
        self.deaths += 1
        self.disks[name].crash()
        self.votes[name].crash()
        self.nursery.start_soon(self.start, name)

    def _control(self, name: str) -> ControlHost:
        made = ControlHost(self.file(name), self.net, self.disks[name], self.votes[name])
        self.controls[name] = made
        return made

    def _planner(self, name: str, file: PlannerConfig | None) -> Planner:
        file = replace(
            file or planner_config(), name=name, listen=f"door-{name}", fleetconfig=self.section(name)
        )
        made = Planner(file, 1, self.net, revisions=self.disks.setdefault(name, disk()))
        self.planners[name] = made
        return made

    async def kill(self, name: str) -> None:
        """Ends it without ceremony; what was not synced is gone."""
        self.scopes.pop(name).cancel()
        await trio.sleep(0.01)
        self.disks[name].crash()
        if name in self.names:
            self.votes[name].crash()
            del self.controls[name]
        else:
            del self.planners[name]

    def client(self, *names: str) -> ConfigClient:
        """Asks these, all control machines else."""
        seats = {seat.name: seat.address for seat in self.seats}
        return ConfigClient(self.net, [seats[name] for name in names or self.names], DEPLOYMENT)

    async def put(
        self,
        by: str = "",
        base: int | None = None,
        id_: str = "",
        removals: tuple[str, ...] = (),
        **values: object,
    ) -> m.ProposeAnswer:
        """One change, asked of one control machine or of all in turn."""
        client = self.client(by) if by else self.client()
        if base is None:
            base = (await client.ask(m.StatusQuery(), m.Status, 10)).number
        self.number += 1
        change = Change(id=id_ or f"change-{self.number}", base=base, puts=items(**values), removals=removals)
        with trio.fail_after(LONG):
            return (await client.propose(change, 20)).answer

    async def committed(self, **values: object) -> int:
        """Puts, and asks again until it is committed; the revision's number."""
        self.number += 1
        id_ = f"once-{self.number}"
        base = (await self.client().ask(m.StatusQuery(), m.Status, 10)).number
        with trio.fail_after(LONG):
            while True:
                answer = await self.put(base=base, id_=id_, **values)
                if answer.outcome == "committed":
                    self.told[id_] = answer.number
                    return answer.number
                assert answer.outcome in ("refused", "unknown"), answer

    async def status(self, name: str = "c1") -> m.Status:
        """Of a control machine or of a planner."""
        if name in self.names:
            return await self.client(name).ask(m.StatusQuery(), m.Status, 10)
        asked = ConfigClient(self.net, [self.address(name)], DEPLOYMENT)
        return await asked.ask(m.StatusQuery(), m.Status, 10)

    async def status_when(self, true: Callable[[m.Status], bool], name: str = "c1") -> m.Status:
        """The first status of which it holds."""
        with trio.fail_after(LONG):
            while not true(said := await self.status(name)):
                await trio.sleep(0.05)
        return said

    async def until(self, true: Callable[[], bool]) -> None:
        with trio.fail_after(LONG):
            while not true():
                await trio.sleep(0.02)

    async def in_force(self, number: int, *names: str) -> None:
        """Waits until these planners (all, else) have that revision in force."""
        chosen = names or tuple(self.planners)
        await self.until(lambda: all(self.enforced(name) >= number for name in chosen))

    def enforced(self, name: str) -> int:
        follower = self.planners[name].follower
        return follower.follower.enforcement.in_force.number if hasattr(follower, "follower") else 0

    def planner_item(self, name: str) -> dict[str, str]:
        return {"address": self.address(name), "zone": "z1", "region": "r1"}


def with_fleet(
    test: Callable[[Fleet], Awaitable[None]], controls: int = 3, planners: int = 0, replicas: int = 3
) -> None:
    """Runs a test with all up, and all planners listed in the document."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, controls, replicas)
            for name in fleet.names:
                await fleet.start(name)
            names = [f"p{n}" for n in range(1, planners + 1)]
            for name in names:
                await fleet.start(name)
            if names:
                values = {f"planners__{name}": fleet.planner_item(name) for name in names}
                await fleet.in_force(await fleet.committed(**values))
            await test(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
