"""Random courses of faults with real processes: six control machines, planners, writers. Each is drawn from a
seed; `HAZELHOLD_COURSES=FIRST:COUNT` plays other ones than CI's."""

import os
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
import trio

from hazelhold.fleetconfig.document import Put, canonical
from hazelhold.fleetconfig.revision import Change
from tests.processes.fleetconfig_rig import LONG, ProcessFleet, process_fleet

FIRST, COUNT = (int(part) for part in os.environ.get("HAZELHOLD_COURSES", "1:1").split(":"))
STEPS = 7
MOST_DOWN = 2  # control machines that do not vote at a time: three of the five that keep the head are left


class Course:
    """Faults one after the other, with a change after each; all faults end before the judgement."""

    def __init__(self, made: ProcessFleet, seed: int) -> None:
        self.made, self.random = made, Random(f"course/{seed}")
        self.paused: set[str] = set()
        self.down: set[str] = set()
        self.asked: dict[str, Change] = {}
        self.outcomes: dict[str, list[str]] = {}
        self.told: list[str] = []  # for people, if it fails

    async def play(self) -> None:
        for number in range(STEPS):
            name, step = self.random.choice(self._steps())
            self.told.append(name)
            await step()
            await self.write(f"w{number}")
        await self.end()

    def _steps(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        return [
            ("kill", self.kill),
            ("kill", self.kill),
            ("pause", self.pause),
            ("pause", self.pause),
            ("break", self.break_all),
            ("cut", self.cut),
            ("all at once", self.restart_all),
            ("lose", self.lose),
            ("heal", self.heal),
        ]

    def _victim(self) -> str:
        """Who may fail next; empty if it would be too many."""
        faulty = self.paused | self.down
        free = [name for name in (*self.made.controls, *self.made.planners) if name not in faulty]
        if len(faulty & set(self.made.controls)) >= MOST_DOWN:
            free = [name for name in free if name not in self.made.controls]
        return self.random.choice(free) if free else ""

    async def kill(self) -> None:
        if victim := self._victim():
            await self.made.kill(victim)
            self.down.add(victim)

    async def pause(self) -> None:
        if victim := self._victim():
            self.made.signal(victim, signal.SIGSTOP)
            self.paused.add(victim)

    async def break_all(self) -> None:
        self.made.wires.break_all()

    async def cut(self) -> None:
        """The region of the first control machine from the other one, in some direction, for a while."""
        north = [name for name, region in self.made.regions.items() if region == "north"]
        south = [name for name in self.made.regions if name not in north]
        self.made.wires.cut(north, south, self.random.choice(["in", "out", "both"]))
        await self.write(f"cut-{len(self.told)}", seconds=3)
        self.made.wires.clear_faults()

    async def restart_all(self) -> None:
        """All control machines die at once, and come back with their disks."""
        await self.heal()
        for name in self.made.controls:
            self.made.signal(name, signal.SIGKILL)
        async with trio.open_nursery() as nursery:
            for name in self.made.controls:
                await self.made.running.pop(name).wait()
                nursery.start_soon(self.made.start, name)
        await self.made.votes_again()

    async def lose(self) -> None:
        """One comes back without its disks."""
        await self.heal()
        victim = self.random.choice(self.made.controls)
        await self.made.kill(victim)
        self.made.lose(victim)
        await self.made.start(victim)
        await self.made.votes_again(victim)

    async def heal(self) -> None:
        """Whoever is down or paused goes on."""
        for name in sorted(self.paused):
            self.made.signal(name, signal.SIGCONT)
        async with trio.open_nursery() as nursery:
            for name in sorted(self.down):
                nursery.start_soon(self.made.start, name)
        back, self.paused, self.down = self.down, set(), set()
        await self.made.votes_again(*(name for name in back if name in self.made.controls), "c1")

    async def write(self, id_: str, seconds: float = 8.0) -> None:
        """One or two writers have the same change committed, or two changes of one item, at any machines."""
        base = self.random.choice([0, max(self.made.committed.values())])
        names = [f"customers/{id_}"] if self.random.random() < 0.7 else ["customers/same"]
        async with trio.open_nursery() as nursery:
            for twin in range(self.random.choice([1, 2])):
                own = id_ if names != ["customers/same"] else f"{id_}-{twin}"
                change = Change(id=own, base=base, puts=tuple(Put(n, canonical({"by": own})) for n in names))
                nursery.start_soon(self.ask, change, seconds)

    async def ask(self, change: Change, seconds: float) -> None:
        self.asked[change.id] = change
        order = self.random.sample(self.made.controls, len(self.made.controls))
        answer = await self.made.propose(self.made.client(*order), change, seconds)
        self.outcomes.setdefault(change.id, []).append(answer.outcome)

    async def end(self) -> None:
        """Everybody is back; every change is settled; the last one is in force everywhere."""
        await self.heal()
        self.made.wires.clear_faults()
        for change in self.asked.values():
            await self.ask(change, LONG)
            assert self.outcomes[change.id][-1] in ("committed", "conflict"), (change.id, self.outcomes)
        last = await self.made.put("last", await self.made.base(), seconds=LONG, customers__last={})
        assert last.outcome == "committed"
        await self.made.all_have(last.number)
        await self.made.everywhere(last.number)
        for id_, outcomes in self.outcomes.items():
            assert not {"committed", "conflict"} <= set(outcomes), (id_, outcomes)


@pytest.mark.parametrize("seed", range(FIRST, FIRST + COUNT))
def test_a_random_course_ends_with_one_order_in_force_everywhere(tmp_path: Path, seed: int) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path, controls=6) as made:
            course = Course(made, seed)
            try:
                await course.play()
            except BaseException:
                print(seed, course.told, course.outcomes)
                raise

    trio.run(run)
