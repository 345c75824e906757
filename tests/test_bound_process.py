"""A rig that ends, whatever way, leaves none of the processes that it started."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PLANNERS, SERVERS, SECONDS = 3, 4, 8.0
LONG = 60.0  # seconds: no wait takes so long unless something is wrong
ENDS_WITHIN = 5.0  # seconds after the end of the rig

ENDS = ("none", "SIGINT", "SIGINT twice", "SIGTERM", "SIGHUP", "SIGKILL", "SIGKILL early")
FAILURES = ("raise ValueError('fails')", "assert False", "sys.exit(3)")
FIRST_SEED = 201  # each soak has its own: the addresses of its servers come from it

# A play that fails by itself once its planners are up.
FAILING_SOAK = """
import sys, trio
from tests.faults import run, soak

async def fail(self):
    await trio.sleep(1.0)
    {failure}

run.Run._watch_lag = fail
sys.exit(soak.main())
"""

FLEET = """
import sys, trio
from pathlib import Path
from tests.processes.{rig}

async def hold():
    async with {opened}:
        await trio.sleep(60)

trio.run(hold)
"""
RIGS = {
    "rig": ("rig import rig", "rig(Path(sys.argv[1]), 3)", 3),
    "fleetconfig_rig": ("fleetconfig_rig import process_fleet", "process_fleet(Path(sys.argv[1]))", 5),
}


def soak_options(seed: int, folder: Path) -> list[str]:
    return [
        *("--folder", str(folder)),
        *("--seeds", str(seed)),
        *("--planners", str(PLANNERS)),
        *("--servers", str(SERVERS)),
        *("--seconds", str(SECONDS)),
    ]


def found(folder: Path, besides: int) -> set[int]:
    """Processes that name the folder in their command or in BALANCER_CONFIG: only the rig's children do."""
    mark, made = os.fsencode(folder), set()
    for process in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            environment = (process / "environ").read_bytes().split(b"\0")
            named = [each for each in environment if each.startswith(b"BALANCER_CONFIG=")]
            if mark in b"".join(named) or mark in (process / "cmdline").read_bytes():
                made.add(int(process.name))
    return made - {besides, os.getpid()}


def runs_its_program(process: int) -> bool:
    """Whether it is past the exec: until then its parent waits for it, and cannot do so if it is stopped."""
    with contextlib.suppress(OSError):
        return b"\0hazelhold\0" in Path(f"/proc/{process}/cmdline").read_bytes()
    return False


def until_found(folder: Path, count: int, rig: subprocess.Popen) -> set[int]:
    """Waits until the rig has started so many processes."""
    until = time.monotonic() + LONG
    while time.monotonic() < until and rig.poll() is None:
        children = {each for each in found(folder, rig.pid) if runs_its_program(each)}
        if len(children) >= count:
            return children
        time.sleep(0.02)
    raise AssertionError(f"{count} processes were not started within {LONG} s")


def left(folder: Path, rig: int) -> set[int]:
    """What is left of the children after the time that they have for their end; ended here."""
    until = time.monotonic() + ENDS_WITHIN
    while (remaining := found(folder, rig)) and time.monotonic() < until:
        time.sleep(0.02)
    for each in remaining:
        with contextlib.suppress(ProcessLookupError):
            os.kill(each, signal.SIGKILL)
    return remaining


def restore_signals() -> None:
    """A test run that ignores signals, as one in the background does, would hand that down."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)


@contextlib.contextmanager
def started(command: list[str], folder: Path):  # noqa: ANN201
    """A rig as a process of its own, which keeps its files in this folder."""
    with (folder / "rig.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, *command], cwd=ROOT, stdout=log, stderr=log, preexec_fn=restore_signals
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("end", ENDS)
def test_a_soak_that_ends_leaves_no_planner(end: str, tmp_path: Path) -> None:
    """Planners of ended soaks were met by later runs, where they asked for discovery on freed ports."""
    command = ["-m", "tests.faults.soak", *soak_options(FIRST_SEED + ENDS.index(end), tmp_path)]
    with started(command, tmp_path) as soak:
        children = until_found(tmp_path, 1 if end == "SIGKILL early" else PLANNERS, soak)
        if end not in ("none", "SIGKILL early"):
            time.sleep(1.0)
            os.kill(min(children), signal.SIGSTOP)  # one that can end by no doing of its own
        if end != "none":
            soak.send_signal(signal.Signals[end.split()[0]])
        if end == "SIGINT twice":
            time.sleep(0.05)
            soak.send_signal(signal.SIGINT)
        soak.wait(LONG)
        assert left(tmp_path, soak.pid) == set()
    log = (tmp_path / "rig.log").read_text()
    assert ("1 seeds, " in log) == (end == "none"), log  # it came to its own end, or did not


@pytest.mark.parametrize("failure", FAILURES)
def test_a_soak_whose_play_fails_leaves_no_planner(failure: str, tmp_path: Path) -> None:
    script = FAILING_SOAK.format(failure=failure)
    seed = FIRST_SEED + len(ENDS) + FAILURES.index(failure)
    with started(["-c", script, *soak_options(seed, tmp_path)], tmp_path) as soak:
        until_found(tmp_path, PLANNERS, soak)
        assert soak.wait(LONG) != 0
        assert left(tmp_path, soak.pid) == set()


@pytest.mark.parametrize("end", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
@pytest.mark.parametrize("rig", RIGS)
def test_a_rig_of_processes_that_ends_leaves_none(rig: str, end: signal.Signals, tmp_path: Path) -> None:
    imported, opened, processes = RIGS[rig]
    script = FLEET.format(rig=imported, opened=opened)
    with started(["-c", script, str(tmp_path)], tmp_path) as process:
        os.kill(min(until_found(tmp_path, processes, process)), signal.SIGSTOP)
        process.send_signal(end)
        assert process.wait(LONG) != 0
        assert left(tmp_path, process.pid) == set()
