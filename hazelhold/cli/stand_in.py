"""`hazelhold stand-in`: runs single parts of a day beside planners that are started separately."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from hazelhold.cli import logs
from hazelhold.cli.errors import report_errors
from hazelhold.cli.options import FILE, log_options
from hazelhold.config.day import read_day
from hazelhold.config.load import ConfigError


@click.group("stand-in")
def stand_in() -> None:
    """Run one part of a day's stand-ins, beside planners that are started separately."""


DAY_OPTIONS = (
    click.argument("day", type=FILE),
    click.option("--seed", type=int, default=1, show_default=True),
    click.option(
        "--for",
        "seconds",
        type=click.FloatRange(0, 86_400),
        default=None,
        help="Seconds to run, in place of the day's length.",
    ),
)


def day_command(name: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    """Returns a decorator that makes a function a command with the options of a day."""

    def add(command: Callable[..., None]) -> Callable[..., None]:
        command = report_errors(command)
        for option in (*DAY_OPTIONS, log_options):
            command = option(command)
        return stand_in.command(name)(command)

    return add


@day_command("list")
@click.option("--listen", default="127.0.0.1:7500", show_default=True)
def stand_in_list(day: Path, seed: int, seconds: float | None, listen: str, log: str, level: str) -> None:
    """Run the list service; machines register with it."""
    _run_part(day, seed, seconds, log, level, "list", listen=listen)


@day_command("machines")
@click.option("--list", "list_address", default="127.0.0.1:7500", show_default=True, help="The list service.")
def stand_in_machines(
    day: Path, seed: int, seconds: float | None, list_address: str, log: str, level: str
) -> None:
    """Run the day's machines, with its faults."""
    _run_part(day, seed, seconds, log, level, "machines", lister=list_address)


@day_command("senders")
@click.option(
    "--planner", "planners", multiple=True, required=True, help="NAME=HOST:PORT; once for each planner."
)
def stand_in_senders(
    day: Path, seed: int, seconds: float | None, planners: tuple[str, ...], log: str, level: str
) -> None:
    """Run the day's owners."""
    malformed = [p for p in planners if "=" not in p]
    if malformed:
        raise ConfigError("command line", [("--planner", f"{malformed[0]!r} is not NAME=HOST:PORT")])
    _run_part(day, seed, seconds, log, level, "senders", planners=dict(p.split("=", 1) for p in planners))


def _run_part(
    day: Path,
    seed: int,
    seconds: float | None,
    log: str,
    level: str,
    part: str,
    **options: Any,  # noqa: ANN401
) -> None:
    """Runs one part of a day and prints its counts as JSON."""
    import trio

    from hazelhold.rehearse.standalone import run_part

    config = read_day(day)
    logs.set_up(log, level)
    counts = trio.run(run_part, config, seed, config.length_s if seconds is None else seconds, part, options)
    click.echo(json.dumps(counts))
