"""hazelhold stand-in: parts of a day alone, beside planners of your own."""

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
    """Run a part of a day's stand-ins alone, beside planners of your own."""


DAY_OPTIONS = (
    click.argument("day", type=FILE),
    click.option("--seed", type=int, default=1, show_default=True),
    click.option(
        "--for",
        "seconds",
        type=click.FloatRange(0, 86_400),
        default=None,
        help="In place of the day's length.",
    ),
)


def day_command(name: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    def add(command: Callable[..., None]) -> Callable[..., None]:
        command = report_errors(command)
        for option in (*DAY_OPTIONS, log_options):
            command = option(command)
        return stand_in.command(name)(command)

    return add


@day_command("list")
@click.option("--listen", default="127.0.0.1:7500", show_default=True)
def stand_in_list(day: Path, seed: int, seconds: float | None, listen: str, log: str, level: str) -> None:
    """The list service; machines enlist with it."""
    _alone(day, seed, seconds, log, level, "list", listen=listen)


@day_command("machines")
@click.option("--list", "lister", default="127.0.0.1:7500", show_default=True, help="The list service.")
def stand_in_machines(day: Path, seed: int, seconds: float | None, lister: str, log: str, level: str) -> None:
    """The day's machines, with its troubles."""
    _alone(day, seed, seconds, log, level, "machines", lister=lister)


@day_command("senders")
@click.option("--planner", "planners", multiple=True, required=True, help="NAME=HOST:PORT, once for each.")
def stand_in_senders(
    day: Path, seed: int, seconds: float | None, planners: tuple[str, ...], log: str, level: str
) -> None:
    """The day's owners."""
    wrong = [p for p in planners if "=" not in p]
    if wrong:
        raise ConfigError("command line", [("--planner", f"{wrong[0]!r} is not NAME=HOST:PORT")])
    _alone(day, seed, seconds, log, level, "senders", planners=dict(p.split("=", 1) for p in planners))


def _alone(
    day: Path,
    seed: int,
    seconds: float | None,
    log: str,
    level: str,
    part: str,
    **more: Any,  # noqa: ANN401
) -> None:
    import trio

    from hazelhold.rehearse.standalone import run_part

    config = read_day(day)
    logs.set_up(log, level)
    counts = trio.run(run_part, config, seed, config.length_s if seconds is None else seconds, part, more)
    click.echo(json.dumps(counts))
