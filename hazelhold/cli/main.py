"""The `hazelhold` command, which starts every part of the program."""

from importlib import import_module

import click

from hazelhold import __version__

COMMANDS = {
    "audit": "hazelhold.cli.rehearsal:audit",
    "capture": "hazelhold.cli.capture:capture",
    "check-config": "hazelhold.cli.check_config:check_config",
    "copies": "hazelhold.cli.copies:copies",
    "fleetconfig": "hazelhold.cli.fleetconfig:fleetconfig",
    "hunt": "hazelhold.cli.rehearsal:hunt",
    "members": "hazelhold.cli.members:members",
    "planner": "hazelhold.cli.planner:planner",
    "rehearse": "hazelhold.cli.rehearsal:rehearse",
    "stand-in": "hazelhold.cli.stand_in:stand_in",
    "state": "hazelhold.cli.state:state",
}
"""The module and attribute of each command."""


class LazyGroup(click.Group):
    """Imports the module of a command only when it is used, so that a planner loads no other command."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, _, attribute = COMMANDS[cmd_name].partition(":")
        return getattr(import_module(module), attribute)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """Places long-lived guests on a cluster's machines."""
