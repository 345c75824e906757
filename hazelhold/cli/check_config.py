"""`hazelhold check-config`: validates configuration files without running anything."""

import sys
from pathlib import Path

import click

from hazelhold.cli.errors import report_errors
from hazelhold.cli.options import FILE
from hazelhold.config.day import read_day
from hazelhold.config.load import ConfigError, parse, read_text
from hazelhold.config.planner import read_planner


@click.command("check-config")
@click.argument("files", type=FILE, nargs=-1, required=True)
@report_errors
def check_config(files: tuple[Path, ...]) -> None:
    """Check planner configurations and day files; reports all faults in them."""
    faults = []
    for file in files:
        try:
            value = parse(read_text(file), str(file))
            if isinstance(value, dict) and "length_s" in value:
                read_day(file)
                click.echo(f"{file}: a valid day")
            else:
                read_planner(file)
                click.echo(f"{file}: a valid planner configuration")
        except ConfigError as error:
            faults.append(str(error))
    if faults:
        click.echo("\n".join(faults), err=True)
        sys.exit(2)
