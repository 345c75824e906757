"""Queries of the fleetconfig commands: their options, the addresses, and the exit code without an answer."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from hazelhold.config.fleetconfig import ControlFile, ControlMachine, check_control
from hazelhold.config.load import ConfigError, build, parse, read_text, split_address
from hazelhold.config.planner import read_planner

if TYPE_CHECKING:
    from hazelhold.fleetconfig.client import ConfigClient

FILE = click.Path(dir_okay=False, path_type=Path)
NO_ANSWER = 4  # exit code: nobody answered


def query_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options that select whom to query."""
    for option in (
        click.option("--config", type=FILE, default=None, help="A control machine's or planner's file."),
        click.option("--at", multiple=True, help="An address to query instead; may be repeated."),
        click.option(
            "--deployment", default="hazelhold", show_default=True, help="With --at: its deployment."
        ),
        click.option(
            "--wait", type=click.FloatRange(0.1, 600), default=5.0, show_default=True, help="Seconds."
        ),
        click.option("--json", "as_json", is_flag=True, help="One JSON object."),
    ):
        command = option(command)
    return command


def client_of(config: Path | None, at: tuple[str, ...], deployment: str) -> "ConfigClient":
    """Returns a client for the addresses that the options select."""
    from hazelhold.fleetconfig.client import ConfigClient
    from hazelhold.service.net import TcpNet

    if (config is None) == (not at):
        raise click.UsageError("--config or --at is needed, and not both")
    if config is not None:
        deployment, machines = _machines(config)
        at = tuple(machine.address for machine in machines)
    for address in at:
        try:
            split_address(address)
        except ValueError as error:
            raise ConfigError("command line", [("--at", str(error))]) from None
    return ConfigClient(TcpNet(), at, deployment)


def _machines(config: Path) -> tuple[str, list[ControlMachine]]:
    """Returns the deployment and the control machines that a file names; its own machine first, if it is
    one."""
    value = parse(read_text(config), str(config))
    if isinstance(value, dict) and "estate" in value:
        section = read_planner(config).fleetconfig
        if not section.listen:
            raise ConfigError(str(config), [("fleetconfig.listen", "is not there: it is off")])
        return section.deployment, section.control
    file = build(ControlFile, value, str(config))
    if faults := check_control(file):
        raise ConfigError(str(config), faults)
    machines = [ControlMachine(seat.name, seat.address, seat.region) for seat in file.control]
    return file.deployment, sorted(machines, key=lambda machine: machine.name != file.name)


def run_query(work: Callable[[], Any]) -> Any:  # noqa: ANN401 - what the work returns
    """Runs a query; ends the command with `NO_ANSWER` if nobody answers."""
    import trio

    from hazelhold.fleetconfig.client import UnreachableError

    try:
        return trio.run(work)
    except UnreachableError as error:
        click.echo(f"nobody answers: {error}", err=True)
        sys.exit(NO_ANSWER)
