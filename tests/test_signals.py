"""Repeated signals until a process has exited.

The signal handlers were reset to the system's defaults about 50 ms before the process exited, so a SIGTERM in
that time turned a completed stop into exit code -15 instead of 0. Platform planners (soak seed 502), planners
of the own protocol and control machines were all affected.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest
import trio

from tests.bound_process import end_with_parent
from tests.helpers import planner_config
from tests.processes.fleetconfig_rig import process_fleet

SIGNALS = (signal.SIGTERM, signal.SIGINT)
INTERVAL = 0.0005  # seconds between two signals
EXIT_TIMEOUT = 20.0  # seconds


def signal_until_it_ends(process: subprocess.Popen) -> int:
    """Sends signals until the process exits; returns its exit code."""
    deadline = time.monotonic() + EXIT_TIMEOUT
    while process.poll() is None and time.monotonic() < deadline:
        for each in SIGNALS:
            process.send_signal(each)
            time.sleep(INTERVAL)
    return process.wait(timeout=1.0)


@pytest.mark.parametrize("time_to_start", [0.0, 0.5], ids=["at its start", "when it is up"])
def test_repeated_signals_do_not_change_the_exit_code_of_a_planner(
    time_to_start: float, tmp_path: Path
) -> None:
    base = planner_config()
    config = msgspec.structs.replace(
        base, listen="127.0.0.1:0", list=msgspec.structs.replace(base.list, address="127.0.0.1:1")
    )
    file = tmp_path / "planner.json5"
    file.write_bytes(msgspec.json.encode(config))
    command = [sys.executable, "-m", "hazelhold", "planner", "--config", str(file), "--ready"]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, preexec_fn=end_with_parent()
    ) as process:
        assert process.stdout.readline()
        time.sleep(time_to_start)
        assert signal_until_it_ends(process) == 0


def test_repeated_signals_do_not_change_the_exit_code_of_a_control_machine(tmp_path: Path) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path) as fleet:
            process = fleet.running.pop("c1")
            while process.poll() is None:
                for each in SIGNALS:
                    process.send_signal(each)
                    await trio.sleep(INTERVAL)
            assert process.returncode == 0

    trio.run(run)
