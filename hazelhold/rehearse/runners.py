"""Starts, kills and stops the planners of a rehearsal: as processes of their own, or inside this one."""

import contextlib
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Protocol

import msgspec
import trio
from msgspec.structs import replace

from hazelhold.config.load import ConfigError
from hazelhold.config.planner import ListConfig, PlannerConfig
from hazelhold.protocol.record import Recorder
from hazelhold.replica.votes import found
from hazelhold.service.net import Net
from hazelhold.service.planner import Planner
from hazelhold.standin.disk import FaultyDisk, Points
from hazelhold.state.disk import RealDisk


class PlannerRunner(Protocol):
    """The interface for running a rehearsal's planners, which are numbered from 0."""

    def found(self, number: int) -> None:
        """Gives a planner its seat in the agreed set, before its first start."""

    async def start(self, number: int) -> None: ...

    async def kill(self, number: int) -> None: ...

    async def stop(self, number: int) -> None: ...

    async def copy(self, number: int) -> None:
        """Copies its disk, whatever it is doing."""

    async def no_disk(self, number: int) -> None:
        """Removes the disk of a planner that is down."""

    async def old_disk(self, number: int) -> None:
        """Restores the copy of its disk."""

    async def pause(self, number: int) -> None: ...

    async def resume(self, number: int) -> None: ...


def captured(config: PlannerConfig, folder: Path | None, life: int) -> PlannerConfig:
    """The configuration of one run of a planner, with its own capture file if there is a folder for it."""
    if folder is None:
        return config
    return replace(config, capture=replace(config.capture, file=str(folder / f"{config.name}-{life}.pcap")))


class InProcessRunner:
    """Planners in this process: for memory networks and virtual time. A kill cancels everything of a planner
    at once, so that no farewell leaves it."""

    def __init__(
        self,
        configs: list[PlannerConfig],
        net: Net,
        records: Path,
        nursery: trio.Nursery,
        capture: Path | None,
    ) -> None:
        self.configs, self.net, self.records, self.nursery = configs, net, records, nursery
        self.capture = capture
        self.votes = [FaultyDisk(Points(set(), number)) for number in range(len(configs))]
        self.copies: dict[int, dict[str, bytes]] = {}  # of those, by planner
        self.running: dict[int, tuple[Planner, trio.CancelScope, trio.Event]] = {}
        self.lives = [0] * len(configs)

    def found(self, number: int) -> None:
        config = self.configs[number]
        found(self.votes[number], config.name, config.copies, self.net.wall())

    async def start(self, number: int) -> None:
        if number in self.running:
            return
        config = self.configs[number]
        self.lives[number] += 1
        recorder = Recorder(
            self.records / f"planner-{config.name}-{self.lives[number]}.jsonl", config.name, "planner"
        )
        config = captured(config, self.capture, self.lives[number])
        planner = Planner(
            config, config.seed + self.lives[number], self.net, recorder, votes=self.votes[number]
        )
        scope, done = trio.CancelScope(), trio.Event()
        self.running[number] = planner, scope, done

        async def live(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
            with scope:
                await planner.run(task_status=task_status)
            recorder.close()
            if planner.tap is not None:
                planner.tap.writer.close()
            self.votes[number].crash()
            done.set()

        await self.nursery.start(live)

    async def kill(self, number: int) -> None:
        if number in self.running:
            _, scope, done = self.running.pop(number)
            scope.cancel()
            await done.wait()

    async def stop(self, number: int) -> None:
        if number in self.running:
            planner, _, done = self.running.pop(number)
            planner.stop()
            await done.wait()

    async def copy(self, number: int) -> None:
        self.copies[number] = dict(self.votes[number].safe)

    async def no_disk(self, number: int) -> None:
        self.votes[number].safe = {}

    async def old_disk(self, number: int) -> None:
        self.votes[number].safe = dict(self.copies[number])

    async def pause(self, number: int) -> None:
        raise ConfigError("the day", [("planner_pause", "stops a process: not with --virtual")])

    resume = pause


Programs = dict[int, tuple[str, Path]]  # by planner: another Python, and the folder of another hazelhold


def config_text(config: PlannerConfig) -> bytes:
    """The configuration as a file. What is off, or new and at its default, is left out: a program that does
    not know it reads the file."""
    plain = msgspec.to_builtins(config)
    if config.list.frame_bytes == ListConfig("").frame_bytes:
        del plain["list"]["frame_bytes"]
    for part in ("membership", "copies", "fleetconfig"):
        if not getattr(config, part).listen:
            del plain[part]
    return msgspec.json.encode(plain)


class ProcessRunner:
    """Planners as `hazelhold planner` processes. A kill is SIGKILL, a stop SIGTERM."""

    def __init__(
        self,
        configs: list[PlannerConfig],
        folder: Path,
        nursery: trio.Nursery,
        capture: Path | None,
        programs: Programs | None = None,
    ) -> None:
        self.configs, self.folder, self.nursery, self.capture = configs, folder, nursery, capture
        self.programs = programs or {}
        self.running: dict[int, trio.Process] = {}
        self.lives = [0] * len(configs)
        for number, config in enumerate(configs):
            (folder / f"planner{number}.json5").write_bytes(config_text(config))

    def found(self, number: int) -> None:
        config = self.configs[number]
        found(RealDisk(Path(config.copies.folder)), config.name, config.copies, time.time_ns() // 1000)

    async def start(self, number: int) -> None:
        if number in self.running:
            return
        config = self.configs[number]
        self.lives[number] += 1
        life = f"{config.name}-{self.lives[number]}"
        log = (self.folder / f"{life}.log").open("ab")
        python, where = self.programs.get(number, (sys.executable, None))
        command = [
            python,
            "-m",
            "hazelhold",
            "planner",
            "--config",
            str(self.folder / f"planner{number}.json5"),
            "--record",
            str(self.folder / "records" / f"planner-{life}.jsonl"),
            "--seed",
            str(config.seed + self.lives[number]),
            "--log",
            "json",
            "--ready",
        ]
        if self.capture:
            command += ["--capture", captured(config, self.capture, self.lives[number]).capture.file]
        process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE, stderr=log, cwd=where)
        log.close()
        self.running[number] = process
        with trio.fail_after(20):
            line = b""
            while b"\n" not in line:
                more = await process.stdout.receive_some(100)
                if not more:
                    raise RuntimeError(f"planner {config.name} did not start; see {life}.log")
                line += more

    async def copy(self, number: int) -> None:
        folder, copy = self._votes(number)
        shutil.rmtree(copy, ignore_errors=True)
        with contextlib.suppress(shutil.Error):  # a file was removed during the copy, as on a live disk
            shutil.copytree(folder, copy)

    async def no_disk(self, number: int) -> None:
        shutil.rmtree(self._votes(number)[0], ignore_errors=True)

    async def old_disk(self, number: int) -> None:
        folder, copy = self._votes(number)
        shutil.rmtree(folder, ignore_errors=True)
        copy.rename(folder)

    def _votes(self, number: int) -> tuple[Path, Path]:
        """The folder of a planner's votes and that of their copy."""
        folder = Path(self.configs[number].copies.folder)
        return folder, folder.with_name(folder.name + ".copy")

    async def pause(self, number: int) -> None:
        if process := self.running.get(number):
            process.send_signal(signal.SIGSTOP)

    async def resume(self, number: int) -> None:
        if process := self.running.get(number):
            process.send_signal(signal.SIGCONT)

    async def kill(self, number: int) -> None:
        if process := self.running.pop(number, None):
            process.kill()
            await process.wait()

    async def stop(self, number: int) -> None:
        if process := self.running.pop(number, None):
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGCONT)  # a paused process would not receive SIGTERM
            with trio.move_on_after(30):
                await process.wait()
                return
            process.kill()
            await process.wait()
