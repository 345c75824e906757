"""The command line as a whole: every command can be reached, and a planner loads no other command."""

import json
import subprocess
import sys

import pytest
from click.testing import CliRunner

from hazelhold.cli.main import COMMANDS, main

LOADED = """
import json, sys
from click.testing import CliRunner
from hazelhold.cli.main import main
CliRunner().invoke(main, ["planner", "--platform", "--config", "/no/such/file"])
print(json.dumps(sorted(sys.modules)))
"""


@pytest.mark.parametrize("command", sorted(COMMANDS))
def test_every_command_says_what_it_is_for(command: str) -> None:
    ran = CliRunner().invoke(main, [command, "--help"])
    assert ran.exit_code == 0 and "Usage:" in ran.output


def test_the_help_lists_every_command() -> None:
    listed = CliRunner().invoke(main, ["--help"]).output
    assert all(f"\n  {command} " in listed for command in COMMANDS)


def test_an_unknown_command_is_named() -> None:
    ran = CliRunner().invoke(main, ["replan"])
    assert ran.exit_code == 2 and "No such command 'replan'" in ran.output


def test_the_platform_loads_nothing_that_is_off_there() -> None:
    ran = subprocess.run(
        [sys.executable, "-c", LOADED], capture_output=True, text=True, check=True, timeout=60
    )
    loaded = json.loads(ran.stdout)
    off = (
        "cli.copies",
        "cli.fleetconfig",
        "cli.rehearsal",
        "fleetconfig",
        "membership",
        "replica",
        "rehearse",
    )
    assert "hazelhold.platform.planner" in loaded
    assert not [m for m in loaded for part in off if f"{m}.".startswith(f"hazelhold.{part}.")]
