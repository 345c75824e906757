"""The command line as a whole: every command is reachable, and a planner loads no other command."""

import json
import subprocess
import sys

import pytest
from click.testing import CliRunner

from hazelhold.cli.main import COMMANDS, main

PRINT_LOADED_MODULES = """
import json, sys
from click.testing import CliRunner
from hazelhold.cli.main import main
CliRunner().invoke(main, ["planner", "--platform", "--config", "/no/such/file"])
print(json.dumps(sorted(sys.modules)))
"""


@pytest.mark.parametrize("command", sorted(COMMANDS))
def test_every_command_has_help(command: str) -> None:
    result = CliRunner().invoke(main, [command, "--help"])
    assert result.exit_code == 0 and "Usage:" in result.output


def test_the_help_lists_every_command() -> None:
    listed = CliRunner().invoke(main, ["--help"]).output
    assert all(f"\n  {command} " in listed for command in COMMANDS)


def test_an_unknown_command_is_named() -> None:
    result = CliRunner().invoke(main, ["replan"])
    assert result.exit_code == 2 and "No such command 'replan'" in result.output


def test_the_platform_planner_loads_no_module_of_disabled_features() -> None:
    completed = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED_MODULES], capture_output=True, text=True, check=True, timeout=60
    )
    loaded = json.loads(completed.stdout)
    disabled = (
        "cli.copies",
        "cli.fleetconfig",
        "cli.rehearsal",
        "fleetconfig",
        "membership",
        "replica",
        "rehearse",
    )
    assert "hazelhold.platform.planner" in loaded
    assert not [m for m in loaded for part in disabled if f"{m}.".startswith(f"hazelhold.{part}.")]
