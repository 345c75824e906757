"""Options that several commands share."""

from collections.abc import Callable
from pathlib import Path

import click

FILE = click.Path(dir_okay=False, path_type=Path)


def log_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options `--log` and `--level`, passed to the command as `log` and `level`."""
    command = click.option("--log", type=click.Choice(["human", "json"]), default="human")(command)
    return click.option("--level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")(
        command
    )
