"""Whom the fleetconfig commands ask: options, addresses, and what nobody's answer means."""

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
NOBODY = 4  # exit code: nobody answered


def asking(command: Callable[..., None]) -> Callable[..., None]:
    """The options that say whom to ask."""
    for option in (
        click.option("--config", type=FILE, default=None, help="A control machine's or planner's file."),
        click.option("--at", multiple=True, help="An address to ask, instead; may be repeated."),
        click.option("--deployment", default="hazelhold", show_default=True, help="With --at: whose it is."),
        click.option(
            "--wait", type=click.FloatRange(0.1, 600), default=5.0, show_default=True, help="Seconds."
        ),
        click.option("--json", "as_json", is_flag=True, help="One JSON object."),
    ):
        command = option(command)
    return command


def client_of(config: Path | None, at: tuple[str, ...], deployment: str) -> "ConfigClient":
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
        except ValueError as wrong:
            raise ConfigError("command line", [("--at", str(wrong))]) from None
    return ConfigClient(TcpNet(), at, deployment)


def _machines(config: Path) -> tuple[str, list[ControlMachine]]:
    """The deployment and the control machines that a file names; itself first, if it is one of them."""
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


def run_asking(work: Callable[[], Any]) -> Any:  # noqa: ANN401 - what the work returns
    """Runs an asking; nobody's answer ends the command."""
    import trio

    from hazelhold.fleetconfig.client import UnreachableError

    try:
        return trio.run(work)
    except UnreachableError as wrong:
        click.echo(f"nobody answers: {wrong}", err=True)
        sys.exit(NOBODY)
