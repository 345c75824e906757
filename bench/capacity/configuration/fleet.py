"""The processes of one trial: control machines, planners, and processes of hollow followers between them."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path

import msgspec
import trio
from msgspec.structs import replace

from bench.capacity.configuration import messages
from bench.capacity.configuration.counting import CountingWires, Counts
from bench.capacity.configuration.followers import Settings
from bench.capacity.configuration.layout import layout
from bench.capacity.configuration.results import Trial
from bench.capacity.hollow.children import RigError
from bench.capacity.hollow.rig import EXAMPLE
from hazelhold.config.fleetconfig import (
    ControlFile,
    ControlMachine,
    ControlSeat,
    FleetConfigSection,
    VotesSection,
)
from hazelhold.config.load import build, parse, read_text
from hazelhold.config.planner import PlannerConfig
from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.client import ConfigClient, UnreachableError
from hazelhold.rehearse.ports import free_ports
from hazelhold.service.net import TcpNet

DEPLOYMENT = "scale"
WRITER = "writer"
UP = 40.0  # seconds within which a process is up
ANSWER = 20.0  # seconds for a command
ROOT = Path(__file__).parent.parent.parent.parent


class Running:
    """One process of the trial, and what it printed that was not taken yet."""

    def __init__(self, process: trio.Process) -> None:
        self.process = process
        self.held = b""

    async def line(self, seconds: float) -> bytes:
        """Its next line. RigError if there is none in time."""
        with trio.move_on_after(seconds):
            while b"\n" not in self.held:
                data = await self.process.stdout.receive_some(1 << 20)
                if not data:
                    raise RigError(f"process {self.process.pid} ended")
                self.held += data
            line, _, self.held = self.held.partition(b"\n")
            return line
        raise RigError(f"process {self.process.pid} said nothing in {seconds:g} s")

    async def kill(self) -> None:
        self.process.kill()
        with trio.fail_after(ANSWER):
            await self.process.wait()


class Fleet:
    """One trial's machines, from start to end. Lives in the nursery given."""

    def __init__(self, trial: Trial, folder: Path, nursery: trio.Nursery) -> None:
        self.trial, self.folder = trial, folder
        self.net, self.counts = TcpNet(), Counts()
        self.wires = CountingWires(self.net, nursery, self.counts)
        self.layout = layout(trial)
        self.off = [f"off{number}" for number in range(trial.off)]
        machines = [*self.layout.controls, *self.layout.places]
        ports = iter(free_ports(len(machines) + trial.controls))
        self.addresses = {name: f"127.0.0.1:{next(ports)}" for name in machines}
        self.votes = {name: f"127.0.0.1:{next(ports)}" for name in self.layout.controls}
        self.running: dict[str, Running] = {}
        self.hollow: list[Running] = []
        self.writers: dict[str, str] = {}  # by control machine: where writers reach it, through a wire
        self.wall_offset = time.time_ns() // 1000 - self.net.now()
        self.crossed: list[messages.Crossed] = []
        self.listeners: list[Callable[[messages.Answer], None]] = []  # hear all answers of hollow processes
        self.enforced: list[messages.Enforced] = []
        self.in_force: dict[str, int] = {}  # of hollow followers, as last heard
        self.best = 0
        self.read: dict[str, int] = {}  # of real planners' logs, in bytes

    # Files.

    async def _write_control(self, name: str) -> None:
        controls, regions = self.layout.controls, self.layout.control_regions
        seats = [
            ControlSeat(each, self.addresses[each], self.votes[each], regions[each], zone=each)
            for each in controls
        ]
        others = [each for each in controls if each != name]
        votes_reach = {each: await self.wires.streams(name, each, self.votes[each]) for each in others}
        reach = {each: await self.wires.streams(name, each, self.addresses[each]) for each in others}
        home = self.folder / name
        votes = VotesSection(self.votes[name], str(home / "votes"), self.trial.replicas, reach=votes_reach)
        file = ControlFile(
            name, self.addresses[name], DEPLOYMENT, str(home / "revisions"), seats, votes, reach
        )
        self._write(name, file)
        self.writers[name] = await self.wires.streams(WRITER, name, self.addresses[name])

    def section(self, name: str) -> FleetConfigSection:
        """A planner's, which reaches all others directly."""
        place = self.layout.places[name]
        control = [
            ControlMachine(each, self.addresses[each], self.layout.control_regions[each])
            for each in self.layout.controls
        ]
        return FleetConfigSection(
            self.addresses[name],
            deployment=DEPLOYMENT,
            zone=place.zone,
            region=place.region,
            control=control,
            folder=str(self.folder / name / "revisions"),
            relays=self.trial.relays,
        )

    async def _write_planner(self, name: str, on: bool) -> None:
        section = FleetConfigSection()
        if on:
            others = [each for each in (*self.layout.controls, *self.layout.real) if each != name]
            reach = {each: await self.wires.streams(name, each, self.addresses[each]) for each in others}
            section = replace(self.section(name), reach=reach)
        config = build(PlannerConfig, parse(read_text(EXAMPLE), str(EXAMPLE)), str(EXAMPLE))
        listed = replace(config.list, address="127.0.0.1:1")  # nobody is there: this planner has no workers
        self._write(name, replace(config, name=name, listen="127.0.0.1:0", list=listed, fleetconfig=section))

    def _write(self, name: str, made: msgspec.Struct) -> None:
        (self.folder / name).mkdir(exist_ok=True)
        (self.folder / name / "file.json5").write_bytes(msgspec.json.encode(made))

    # Processes.

    async def start_all(self) -> None:
        """All machines are up when this returns."""
        controls, planners = self.layout.controls, [*self.layout.real, *self.off]
        for name in controls:
            await self._write_control(name)
        for name in planners:
            await self._write_planner(name, name in self.layout.real)
        async with trio.open_nursery() as nursery:
            for name in controls:
                nursery.start_soon(self._found, name)
        for names in (controls, planners):
            async with trio.open_nursery() as nursery:
                for name in names:
                    nursery.start_soon(self.start, name)
        hollow, size = self.layout.hollow, self.trial.a_process
        async with trio.open_nursery() as nursery:
            for first in range(0, len(hollow), size):
                nursery.start_soon(self._start_hollow, hollow[first : first + size])

    async def _found(self, name: str) -> None:
        file = str(self.folder / name / "file.json5")
        command = [sys.executable, "-m", "hazelhold", "fleetconfig", "found", file]
        await trio.run_process(command, cwd=ROOT, capture_stdout=True)

    async def start(self, name: str) -> None:
        """A control machine or planner, which is up when this returns."""
        file = str(self.folder / name / "file.json5")
        what = ["fleetconfig", "control", file]
        if name not in self.layout.controls:
            what = ["planner", "--config", file]
        command = [sys.executable, "-m", "hazelhold", *what, "--log", "json", "--ready"]
        self.running[name] = await self._open(command, f"{name}/log")
        await self.running[name].line(UP)

    async def _open(self, command: list[str], log: str) -> Running:
        with (self.folder / log).open("ab") as errors:
            process = await trio.lowlevel.open_process(
                command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=errors, cwd=ROOT
            )
        return Running(process)

    async def _start_hollow(self, names: list[str]) -> None:
        settings = Settings(
            {name: self.section(name) for name in names},
            {address: name for name, address in self.addresses.items()},
            600.0,
        )
        file = self.folder / f"hollow-{names[0]}.json"
        file.write_bytes(msgspec.json.encode(settings))
        command = [sys.executable, "-m", "bench.capacity.configuration.followers", str(file)]
        made = await self._open(command, f"hollow-{names[0]}.log")
        self.hollow.append(made)
        self._take(await made.line(UP))

    async def end(self) -> None:
        for each in (*self.running.values(), *self.hollow):
            await each.kill()

    def errors(self) -> list[str]:
        """The ends of what processes wrote about their own failing."""
        found = []
        for log in self.folder.rglob("*log"):
            text = log.read_text(errors="replace")
            if "Traceback" in text:
                found.append(f"{log.parent.name}/{log.name}: {text[-400:]}")
        return found

    # Hollow followers.

    async def tell(self, command: messages.Command) -> None:
        """All hollow processes obey; what they counted is taken."""
        self.best, self.in_force = 0, {}
        line = msgspec.json.encode(command) + b"\n"
        for each in self.hollow:
            await each.process.stdin.send_all(line)
        for each in self.hollow:
            self._take(await each.line(ANSWER))
        self.crossed += self.counts.take()

    def _take(self, line: bytes) -> None:
        answer = msgspec.json.decode(line, type=messages.Answer)
        self.crossed += answer.crossed
        for listener in self.listeners:
            listener(answer)
        self.enforced += answer.enforced
        self.in_force |= answer.in_force
        self.best += answer.best

    def take_logs(self) -> None:
        """What real planners put in force, from their logs."""
        for name in self.layout.real:
            with (self.folder / name / "log").open("rb") as log:
                log.seek(self.read.get(name, 0))
                data = log.read()
            data = data[: data.rfind(b"\n") + 1]
            self.read[name] = self.read.get(name, 0) + len(data)
            for line in data.splitlines():
                if b'"in_force"' in line:
                    said = json.loads(line)
                    at = round(datetime.fromisoformat(said["timestamp"]).timestamp() * 1e6)
                    self.enforced.append(messages.Enforced(name, said["number"], at - self.wall_offset))

    # Cuts.

    async def cut(self, ones: list[str], way: str) -> None:
        """Between these machines and all others."""
        others = [name for name in self.addresses if name not in ones]
        self.wires.cut(ones, others, way)
        await self.tell(messages.Cut(ones, others, way))

    async def calm(self) -> None:
        self.wires.clear_faults()
        await self.tell(messages.Calm())

    # Asking.

    def client(self, first: int) -> ConfigClient:
        """A writer that asks this control machine first."""
        controls = self.layout.controls
        turned = [controls[(first + number) % len(controls)] for number in range(len(controls))]
        return ConfigClient(self.net, [self.writers[name] for name in turned], DEPLOYMENT, WRITER)

    async def status(self, name: str) -> m.Status | None:
        """As an operator asks for it; not counted as traffic."""
        asked = ConfigClient(self.net, [self.addresses[name]], DEPLOYMENT, "operator")
        try:
            return await asked.ask(m.StatusQuery(), m.Status, 2.0)
        except UnreachableError:
            return None

    async def all_have(self, number: int) -> bool:
        """Whether all planners that run have this revision in force."""
        await self.tell(messages.Drain())
        if any(each < number for each in self.in_force.values()):
            return False
        for name in self.layout.real:
            status = await self.status(name)
            if status is None or status.in_force < number:
                return False
        return True
