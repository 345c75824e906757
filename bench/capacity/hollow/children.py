"""Starts and asks the processes of the rig: list service, hollow workers, owners, planners."""

import contextlib
import os
import selectors
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from bench.capacity.hollow.messages import Command, Counts, Stop

ROOT = Path(__file__).parent.parent.parent.parent
ANSWER_SECONDS = 20.0  # within which a process answers a command
START_SECONDS = 30.0
STOP_SECONDS = 5.0


class RigError(Exception):
    """The rig's own processes did not do what was asked: no figure comes of such a run."""


class SizeRefusedError(RigError):
    """A size that this machine does not bear, or at which planners do not get so far as to be measured."""


def line_of(process: subprocess.Popen, held: bytearray, seconds: float) -> bytes:
    """The next line of a process's output; RigError if there is none in time."""
    ends = time.monotonic() + seconds
    with selectors.DefaultSelector() as selector:
        selector.register(process.stdout, selectors.EVENT_READ)
        while b"\n" not in held:
            if not selector.select(max(0.0, ends - time.monotonic())):
                raise RigError(f"process {process.pid} said nothing in {seconds:g} s")
            data = os.read(process.stdout.fileno(), 1 << 20)
            if not data:
                raise RigError(f"process {process.pid} ended")
            held += data
    line, _, rest = bytes(held).partition(b"\n")
    held[:] = rest
    return line


class Child:
    """A process of the rig that obeys commands."""

    def __init__(self, module: str, settings: Struct, folder: Path, label: str, first: Any = Counts) -> None:  # noqa: ANN401
        self.label, self.errors = label, folder / f"{label}.err"
        with self.errors.open("wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", f"bench.capacity.hollow.{module}", msgspec.json.encode(settings)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                cwd=ROOT,
            )
        self.first_kind = first
        self.held = bytearray()

    @property
    def pid(self) -> int:
        return self.process.pid

    def started(self) -> Any:  # noqa: ANN401 - of the kind that was named
        """The process's first line."""
        return msgspec.json.decode(self._line(START_SECONDS), type=self.first_kind)

    def _line(self, seconds: float) -> bytes:
        try:
            return line_of(self.process, self.held, seconds)
        except RigError as wrong:
            last = self.errors.read_text(errors="replace").strip().rpartition("\n")[2]
            raise RigError(f"{self.label}: {wrong} {last}".strip()) from None

    def tell(self, command: Command) -> None:
        """Sends a command; its answer must be taken before the next."""
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        self.process.stdin.flush()

    def answer(self) -> Counts:
        return msgspec.json.decode(self._line(ANSWER_SECONDS), type=Counts)

    def ask(self, command: Command) -> Counts:
        self.tell(command)
        return self.answer()

    def end(self) -> None:
        with contextlib.suppress(RigError, OSError):
            self.ask(Stop())
        finish(self.process)


class PlannerProcess:
    """A real planner: `hazelhold planner` with a file of its own."""

    def __init__(self, name: str, file: Path, log: Path, record: Path | None = None) -> None:
        self.name, self.log = name, log
        recorded = ["--record", str(record)] if record is not None else []
        with log.open("wb") as errors:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, "-m", "hazelhold", "planner", "--config", str(file)),
                    *("--ready", "--log", "json", "--level", "info"),
                    *recorded,
                ],
                stdout=subprocess.PIPE,
                stderr=errors,
                cwd=ROOT,
            )
        self.held = bytearray()

    @property
    def pid(self) -> int:
        return self.process.pid

    def started(self) -> str:
        """The address where owners reach it."""
        try:
            return line_of(self.process, self.held, START_SECONDS).decode()
        except RigError as wrong:
            last = self.log.read_text(errors="replace").strip().rpartition("\n")[2]
            raise RigError(f"{self.name}: {wrong} {last}".strip()) from None

    def end(self) -> None:
        finish(self.process)


def finish(process: subprocess.Popen) -> None:
    """Ends a process that this rig started, politely first."""
    process.terminate()
    try:
        process.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait(STOP_SECONDS)
    for pipe in (process.stdin, process.stdout):
        if pipe is not None:
            with contextlib.suppress(OSError):
                pipe.close()
