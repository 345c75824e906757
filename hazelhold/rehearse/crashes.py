"""Days on which planners crash at numbered points (write, sync or send) and restart with their state."""

import contextlib
import errno
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec
import trio

from hazelhold.config.day import Day
from hazelhold.config.planner import PlannerConfig
from hazelhold.engine.records import Action, Send
from hazelhold.protocol.record import Recorder
from hazelhold.rehearse.runners import InProcessRunner, captured
from hazelhold.service.net import Net
from hazelhold.service.planner import Planner
from hazelhold.standin.disk import FaultyDisk, Killed, Points

FAULTS = {
    "full": ("write",),
    "read_only": ("write", "rename", "remove"),
    "no_sync": ("sync",),
    "no_rename": ("rename",),
}


class DiskFault(NamedTuple):
    """A fault of a planner's disk (one of FAULTS), with its start and duration in seconds."""

    what: str
    planner: int
    at_s: float
    for_s: float


class Fate(msgspec.Struct):
    """Recorded with a crash: whether the planner's disk had failed by then."""

    unkept: bool = False


class CrashingRunner(InProcessRunner):
    """Planners in this process, each with a disk that outlives it. One that crashes at a point is started
    again after a random time."""

    def __init__(
        self,
        configs: list[PlannerConfig],
        net: Net,
        records: Path,
        nursery: trio.Nursery,
        capture: Path | None,
        points: Points,
        chief: Recorder,
        faults: tuple[DiskFault, ...] = (),
        down_s: tuple[float, float] = (0.05, 0.6),
    ) -> None:
        super().__init__(configs, net, records, nursery, capture)
        self.points, self.chief, self.down_s = points, chief, down_s
        self.disks = [FaultyDisk(points) for _ in configs]
        self.random = Random(points.random.random())
        self.crashes = 0
        for fault in faults:
            if fault.planner < len(self.disks):
                nursery.start_soon(self._fault, fault)

    async def _fault(self, fault: DiskFault) -> None:
        """Applies a disk fault for its duration, across restarts of the planner."""
        disk = self.disks[fault.planner]
        await trio.sleep(fault.at_s)
        if fault.what == "full":
            disk.free_bytes = 300
        else:
            disk.error_codes |= dict.fromkeys(
                FAULTS[fault.what], errno.EROFS if fault.what == "read_only" else errno.EIO
            )
        await trio.sleep(fault.for_s)
        disk.free_bytes = None
        disk.error_codes.clear()

    async def start(self, number: int) -> None:
        if number in self.running:
            return
        config, disk = self.configs[number], self.disks[number]
        self.lives[number] += 1
        recorder = Recorder(
            self.records / f"planner-{config.name}-{self.lives[number]}.jsonl", config.name, "planner"
        )
        config = captured(config, self.capture, self.lives[number])
        planner = Planner(
            config, config.seed + self.lives[number], self.net, recorder, disk, votes=self.votes[number]
        )
        do = planner.perform
        planner.state_writer.perform = lambda action: self._do(do, disk, action)
        scope, done = trio.CancelScope(), trio.Event()
        self.running[number] = planner, scope, done

        async def live(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
            crashed = False
            try:
                with scope:
                    await planner.run(task_status=task_status)
            except* Killed:
                crashed = True
            recorder.close()
            if planner.tap is not None:
                planner.tap.writer.close()
            disk.crash()
            self.votes[number].crash()
            done.set()
            if crashed:
                self.crashes += 1
                self.chief.note(
                    self.net.now(), config.name, "planner_kill", Fate(unkept=planner.state_writer.failed)
                )
                if self.running.pop(number, None) is not None:
                    self.nursery.start_soon(self._restart, number)
                with contextlib.suppress(RuntimeError):  # it crashed before it was up
                    task_status.started()

        await self.nursery.start(live)

    async def kill(self, number: int) -> None:
        """Kills a planner for a fault of the day, like a crash at a point."""
        if number in self.running:
            planner, scope, done = self.running.pop(number)
            self.chief.note(
                self.net.now(),
                self.configs[number].name,
                "planner_kill",
                Fate(unkept=planner.state_writer.failed),
            )
            self.disks[number].dead = True
            scope.cancel()
            await done.wait()

    async def stop(self, number: int) -> None:
        """Records a clean stop whose last state was not stored as a crash with a failed disk."""
        planner = self.running[number][0] if number in self.running else None
        await super().stop(number)
        if planner is not None and planner.state_writer.failed:
            self.chief.note(self.net.now(), self.configs[number].name, "planner_kill", Fate(unkept=True))

    async def _restart(self, number: int) -> None:
        await trio.sleep(self.random.uniform(*self.down_s))
        self.chief.note(self.net.now(), self.configs[number].name, "planner_start")
        await self.start(number)

    def _do(self, do: object, disk: FaultyDisk, action: Action) -> None:
        """Performs an action; a send counts as a crash point."""
        if disk.dead:
            return
        if isinstance(action, Send) and self.points.reached(f"send {type(action.message).__name__}"):
            disk.dead = True
            raise Killed("send")
        do(action)


def play_crashes(
    day: Day, seed: int, folder: Path, strike: set[int], faults: tuple[DiskFault, ...] = ()
) -> dict[str, Any]:
    """Plays the day in virtual time; planners crash at the points numbered in `strike`, disks have `faults`.
    The report has the number of points and those at which a planner crashed."""
    from trio._core import _run  # as run.play_virtual does
    from trio.testing import MockClock

    from hazelhold.rehearse.run import play
    from hazelhold.service.net import MemoryNet

    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed)
    points = Points(strike, seed)
    said = trio.run(
        play,
        day,
        seed,
        folder,
        True,
        MemoryNet(),
        None,
        points,
        faults,
        clock=MockClock(autojump_threshold=0),
    )
    return {**said, "points": points.count, "struck": points.crashes}
