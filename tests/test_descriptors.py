"""A planner must be able to hold a connection to each machine of the largest planned list."""

import resource
import subprocess
import sys
from pathlib import Path

import msgspec

from hazelhold.service.descriptors import raise_descriptor_limit
from tests.bound_process import end_with_parent
from tests.helpers import planner_config

MACHINES, OWNERS = 7_300, 220
COMMON_SOFT_LIMIT = 1_024


def limited(soft: int) -> None:
    """Sets the soft limit on descriptors of this process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))


def run_limited(program: str) -> str:
    """Returns the output of a Python program that starts with the common soft limit."""
    completed = subprocess.run(
        [sys.executable, "-c", program],
        preexec_fn=lambda: limited(COMMON_SOFT_LIMIT),
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


OPEN_MANY = """
import os, resource
from hazelhold.service.descriptors import raise_descriptor_limit
limits = {limits}
hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
wanted = min({count}, hard - 50) if hard != resource.RLIM_INFINITY else {count}
opened = 0
try:
    for opened in range(1, wanted + 1):
        os.dup(0)
except OSError as error:
    print("refused at", opened)
else:
    print("all open")
"""


def test_a_process_opens_a_descriptor_for_each_machine_and_owner() -> None:
    program = OPEN_MANY.format(limits="raise_descriptor_limit()", count=MACHINES + OWNERS)
    assert run_limited(program) == "all open\n"


def test_without_the_raised_limit_the_common_soft_limit_is_reached() -> None:
    program = OPEN_MANY.format(limits="None", count=MACHINES + OWNERS)
    assert run_limited(program).startswith("refused at 10")


def test_the_hard_limit_is_unchanged_and_a_second_call_has_no_effect() -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    limits = raise_descriptor_limit()
    assert limits.hard == hard == limits.soft
    assert raise_descriptor_limit() == limits


def test_a_planner_raises_its_own_limit_and_logs_it(tmp_path: Path) -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    config = msgspec.structs.replace(
        planner_config(),
        listen="127.0.0.1:0",
        list=msgspec.structs.replace(planner_config().list, address="127.0.0.1:1"),
    )
    file = tmp_path / "planner.json5"
    file.write_bytes(msgspec.json.encode(config))
    command = [
        sys.executable,
        "-m",
        "hazelhold",
        "planner",
        "--config",
        str(file),
        "--log",
        "json",
        "--ready",
    ]
    with subprocess.Popen(
        command,
        preexec_fn=end_with_parent(lambda: limited(256)),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout.readline()
        process.terminate()
        logged = process.communicate(timeout=60)[1]
    lines = [msgspec.json.decode(line) for line in logged.splitlines()]
    assert [line["descriptors"] for line in lines if line["event"] == "descriptors"] == [hard]
