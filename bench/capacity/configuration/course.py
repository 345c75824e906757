"""The course of one trial: start, settle, then loads or faults, each measured."""

import os
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import trio
from msgspec.structs import replace

from bench.capacity import target as t
from bench.capacity.configuration import messages
from bench.capacity.configuration.both_sides import BothSides
from bench.capacity.configuration.figures import machine_figures, revision_figures
from bench.capacity.configuration.fleet import Fleet
from bench.capacity.configuration.payload import note
from bench.capacity.configuration.results import Phase, Result, Taken, Trial
from bench.capacity.configuration.watch import Watch
from bench.capacity.hollow.children import RigError
from hazelhold.fleetconfig.document import Put, canonical
from hazelhold.fleetconfig.messages import NEVER, RevisionCoverage
from hazelhold.fleetconfig.revision import Change

ENVELOPE_BYTES = 170  # of a revision with one change beside its note, about
PROPOSE = 10.0  # seconds for a change
TEAMS = t.TEAMS
ASK_TOLD = 0.25  # seconds between two askings for what control machines tell


class Course:
    """One trial under way."""

    def __init__(self, trial: Trial, fleet: Fleet, nursery: trio.Nursery) -> None:
        self.trial, self.fleet, self.nursery = trial, fleet, nursery
        self.random = Random(f"course/{trial.seed}")
        self.watch, self.both_sides = Watch(fleet), BothSides(fleet)
        self.latest = self.proposed = 0
        self.asked_at: dict[int, int] = {}  # by revision: when its (first) writer asked, microseconds
        self.committed_at: dict[int, int] = {}
        self.told: dict[int, int] = {}  # by revision: in force everywhere after so many microseconds
        self.not_committed = 0
        self.phases: dict[str, Phase] = {}
        self.settled = 0

    # Changes.

    async def propose(self, puts: Iterable[Put], control: int = 0) -> int:
        """One change by one control machine; its revision's number, 0 if it was not committed."""
        self.proposed += 1
        change = Change(id=f"change-{self.proposed}", base=self.latest, puts=tuple(puts))
        asked = self.fleet.net.now()
        answer = (await self.fleet.client(control).propose(change, PROPOSE)).answer
        if answer.outcome != "committed":
            self.not_committed += 1
            return 0
        number = answer.number
        self.asked_at[number] = min(asked, self.asked_at.get(number, asked))
        self.committed_at.setdefault(number, self.fleet.net.now())
        self.latest = max(self.latest, number)
        return number

    async def one_change(self) -> int:
        team = self.proposed % TEAMS
        text = note(self.random, t.CONFIGURATION_CHANGE_BYTES - ENVELOPE_BYTES)
        put = Put(f"teams/t{team}", canonical({"quota_cores": self.random.randrange(1000), "note": text}))
        return await self.propose([put], self.random.randrange(self.trial.controls))

    async def changes(self, rate: float, seconds: float) -> None:
        """Changes at equal distances, at any control machine; each is waited for beside the others."""
        began, count = trio.current_time(), round(rate * seconds)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                await trio.sleep_until(began + (number + 0.5) * seconds / count)
                nursery.start_soon(self.one_change)
            await trio.sleep_until(began + seconds)

    async def hear_told(self) -> None:
        """Asks the last control machine for what is in force everywhere, again and again."""
        while True:
            status = await self.fleet.status(self.fleet.layout.controls[-1])
            self._take_told(status.revisions if status else ())
            await trio.sleep(ASK_TOLD)

    def _take_told(self, revisions: Iterable[RevisionCoverage]) -> None:
        """One that is no longer told of is in force where a newer one is: by now, from its asking."""
        whole = {each.number: each.everywhere_after for each in revisions if each.everywhere_after != NEVER}
        now, highest = self.fleet.net.now(), max(whole, default=0)
        missed = {
            number: now - asked
            for number, asked in self.asked_at.items()
            if number < highest and number not in self.told
        }
        self.told = missed | whole | self.told

    # Phases.

    @asynccontextmanager
    async def phase(self, name: str, span: float = 0.0) -> AsyncIterator[Phase]:
        """Measures whole seconds around the body. What is used is divided by `span` seconds, those in which
        changes were asked for (0: by all): what comes late belongs to them."""
        await trio.sleep(-time.monotonic() % 1)
        await self.fleet.tell(messages.Drain())
        self.fleet.crossed.clear()
        first, began = int(time.monotonic()), self.watch.snapshot()
        known, asked, refused = self.latest, self.proposed, self.not_committed
        made = Phase(seconds=0, used={}, taken=[], asked=0, not_committed=0)
        yield made
        await trio.sleep(-time.monotonic() % 1)
        last, ended = int(time.monotonic()), self.watch.snapshot()
        await self.fleet.tell(messages.Drain())
        self.fleet.take_logs()
        made.seconds = float(last - first)
        made.used = machine_figures(self.fleet, first, last, span or made.seconds)
        self.watch.add(made.used, began, ended, span or made.seconds)
        made.taken = revision_figures(self, known)
        made.asked, made.not_committed = self.proposed - asked, self.not_committed - refused
        self.phases[name] = made

    async def settle(self) -> None:
        """All planners are listed, have that in force, and follow whom they prefer, or time is over."""
        places = self.fleet.layout.places
        listed = [
            Put(f"planners/{name}", canonical({"address": self.fleet.addresses[name], **place._asdict()}))
            for name, place in places.items()
        ]
        teams = [Put(f"teams/t{number}", canonical({"quota_cores": number})) for number in range(TEAMS)]
        number = await self.propose([*listed, *teams])
        if not number:
            raise RigError("the first revision was not committed")
        hollow = self.fleet.layout.hollow
        if self.trial.restarted:
            await self.until_all_have()
            await self.fleet.tell(messages.Lose(hollow))
            await self.fleet.tell(messages.Return(hollow))
        with trio.move_on_after(self.trial.most_settle):
            while not (await self.fleet.all_have(number) and self.fleet.best == len(hollow)):
                await trio.sleep(0.2)
        if not await self.fleet.all_have(number):
            raise RigError(f"the first revision is not in force at all after {self.trial.most_settle:g} s")
        self.settled = self.fleet.best
        if not await self.one_change():  # else the large first revision is what rest is measured with
            raise RigError("the second revision was not committed")
        await self.until_all_have()
        await self.both_sides.begin()

    async def loads(self) -> None:
        trial = self.trial
        if trial.rest:
            async with self.phase("rest"):
                await trio.sleep(trial.rest)
        if trial.mean:
            async with self.phase("mean", trial.mean):
                await self.changes(trial.mean_rate, trial.mean)
        if trial.burst:
            async with self.phase("burst", trial.burst):
                await self.changes(trial.burst_rate, trial.burst)
                await self.until_all_have()
        await self.until_told()

    async def until_all_have(self) -> float:
        """Waits until all have the latest revision; how many seconds it took, -1 if it was too long."""
        began, number = trio.current_time(), self.latest
        while trio.current_time() < began + self.trial.most_return:
            if await self.fleet.all_have(number):
                return trio.current_time() - began
            await trio.sleep(0.1)
        return -1.0

    async def until_told(self) -> None:
        """Waits until the latest revision is told as in force everywhere, or the time for that is over."""
        with trio.move_on_after(self.trial.most_return):
            while self.latest not in self.told:
                await trio.sleep(ASK_TOLD)

    async def fault(
        self, name: str, begin: Callable[[], Awaitable[None]], end: Callable[[], Awaitable[None]]
    ) -> None:
        """Something is gone for a while, in which there are changes, and comes back."""
        async with self.phase(name) as phase:
            await begin()
            await self.changes(self.trial.fault_rate, self.trial.lost)
            await end()
            phase.returned = await self.until_all_have()
            await trio.sleep(self.trial.after)

    async def faults(self) -> None:
        fleet = self.fleet
        zone = fleet.layout.hollow_zone()
        await self.fault(
            "zone", lambda: fleet.tell(messages.Lose(zone)), lambda: fleet.tell(messages.Return(zone))
        )
        region = fleet.layout.region("r2")
        for way in ("in", "out", "both"):
            await self.fault(f"cut_{way}", lambda way=way: fleet.cut(region, way), fleet.calm)
        name = fleet.layout.controls[1]
        await self.fault("control", lambda: fleet.running[name].kill(), lambda: fleet.start(name))

    async def result(self) -> Result:
        layout = self.fleet.layout
        unequal = await self.both_sides.unequal()
        kinds = {
            **dict.fromkeys(layout.controls, "control"),
            **dict.fromkeys(layout.hollow, "hollow"),
            **dict.fromkeys(layout.real, "real"),
            **dict.fromkeys(self.fleet.off, "off"),
        }
        for phase in self.phases.values():
            phase.taken = [self._with_told(each) for each in phase.taken]
        return Result(
            trial=self.trial,
            kinds=kinds,
            roles=layout.real,
            settled=self.settled,
            phases=self.phases,
            unequal=unequal,
            compared=self.both_sides.compared,
            relayed=self.both_sides.relayed,
            load_average=os.getloadavg()[0],
            faults=self.fleet.errors(),
        )

    def _with_told(self, taken: Taken) -> Taken:
        told = self.told.get(taken.number)
        return taken if told is None else replace(taken, told=told / 1e6)


def run(trial: Trial) -> Result:
    """One trial. RigError if its processes did not do what was asked."""
    with tempfile.TemporaryDirectory() as folder:
        return trio.run(_run, trial, Path(folder))


async def _run(trial: Trial, folder: Path) -> Result:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(trial, folder, nursery)
        course = Course(trial, fleet, nursery)
        try:
            await fleet.start_all()
            await course.settle()
            nursery.start_soon(course.hear_told)
            nursery.start_soon(course.watch.run)
            await (course.faults() if trial.faults else course.loads())
            result = await course.result()
        finally:
            with trio.CancelScope(shield=True):
                await fleet.end()
        nursery.cancel_scope.cancel()
    return result
