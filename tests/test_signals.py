"""Signals in a series, up to the last moment of a process.

Its handlers were set back to the system's default some 50 ms before the process had gone, so a SIGTERM that
came then ended a stop that had done its work with -15 in place of 0. Seen with planners of the platform first
(soak seed 502); planners of the own protocol and control machines took their handlers down in the same way.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest
import trio

from tests.helpers import planner_config
from tests.processes.fleetconfig_rig import process_fleet

SERIES = (signal.SIGTERM, signal.SIGINT)
PAUSE = 0.0005  # seconds between two signals
LONGEST = 20.0  # seconds to the end


def signal_until_it_ends(process: subprocess.Popen) -> int:
    """Returns its exit code."""
    give_up = time.monotonic() + LONGEST
    while process.poll() is None and time.monotonic() < give_up:
        for each in SERIES:
            process.send_signal(each)
            time.sleep(PAUSE)
    return process.wait(timeout=1.0)


@pytest.mark.parametrize("time_to_start", [0.0, 0.5], ids=["at its start", "when it is up"])
def test_signals_in_a_series_leave_a_planner_its_exit_code(time_to_start: float, tmp_path: Path) -> None:
    base = planner_config()
    made = msgspec.structs.replace(
        base, listen="127.0.0.1:0", list=msgspec.structs.replace(base.list, address="127.0.0.1:1")
    )
    file = tmp_path / "planner.json5"
    file.write_bytes(msgspec.json.encode(made))
    command = [sys.executable, "-m", "hazelhold", "planner", "--config", str(file), "--ready"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL) as process:
        assert process.stdout.readline()
        time.sleep(time_to_start)
        assert signal_until_it_ends(process) == 0


def test_signals_in_a_series_leave_a_control_machine_its_exit_code(tmp_path: Path) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path) as made:
            process = made.running.pop("c1")
            while process.poll() is None:
                for each in SERIES:
                    process.send_signal(each)
                    await trio.sleep(PAUSE)
            assert process.returncode == 0

    trio.run(run)
