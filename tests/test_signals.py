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


SIGNAL_AS_TRIO_ENDS = """
import os, signal
from trio._core import _wakeup_socketpair

close = _wakeup_socketpair.WakeupSocketpair.close

def close_amid_signals(pair):
    pair.wakeup_sock.close()
    os.kill(os.getpid(), signal.SIGTERM)
    close(pair)

_wakeup_socketpair.WakeupSocketpair.close = close_amid_signals
"""
RUN = """
import trio
from hazelhold.service import signals
{patch}
with signals.early_signals((signal.SIGTERM,)):
    signals.run_until_end((signal.SIGTERM,), trio.sleep, 0.0)
"""


def written_where_a_signal_comes_as_trio_ends(patch: str = "") -> str:
    """What a process writes to which SIGTERM comes when trio has closed one end of its wake-up socket."""
    program = SIGNAL_AS_TRIO_ENDS + RUN.format(patch=patch)
    ended = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, timeout=30)
    assert ended.returncode == 0
    return ended.stderr


def test_a_signal_as_trio_ends_leaves_no_traceback() -> None:
    """A control machine that had stopped under signals in a series wrote "Exception ignored when trying to
    write to the signal wakeup fd ... BrokenPipeError" into its log, once in a CI run beside another."""
    assert written_where_a_signal_comes_as_trio_ends() == ""


def test_if_signals_were_ignored_only_after_trio_has_ended_one_would() -> None:
    """Broken variant: they have handlers until `early_signals` ends."""
    written = written_where_a_signal_comes_as_trio_ends(
        "signals.run_until_end = lambda kinds, main, *arguments: trio.run(main, *arguments)"
    )
    assert "signal wakeup fd" in written and "BrokenPipeError" in written


def test_a_planner_writes_no_traceback_where_a_signal_comes_as_trio_ends(tmp_path: Path) -> None:
    base = planner_config()
    config = msgspec.structs.replace(
        base, listen="127.0.0.1:0", list=msgspec.structs.replace(base.list, address="127.0.0.1:1")
    )
    file = tmp_path / "planner.json5"
    file.write_bytes(msgspec.json.encode(config))
    program = SIGNAL_AS_TRIO_ENDS + "from hazelhold.cli.main import main\nmain()\n"
    command = [sys.executable, "-c", program, "planner", "--config", str(file), "--ready"]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, preexec_fn=end_with_parent()
    ) as process:
        assert process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        assert b"Traceback" not in process.stderr.read()
        assert process.wait(timeout=EXIT_TIMEOUT) == 0


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
