"""`hazelhold copies`: manages the folder in which a planner stores its votes."""

import sys
import time
from pathlib import Path

import click

from hazelhold.cli.errors import report_errors
from hazelhold.config.load import ConfigError
from hazelhold.config.planner import ReplicationConfig, read_planner

FILE = click.Path(dir_okay=False, path_type=Path)


@click.group()
def copies() -> None:
    """Manage the votes that a planner stores as a replica for the others."""


def _copies_config(config: Path) -> tuple[str, ReplicationConfig]:
    """Returns the planner's name and its section `copies`; raises ConfigError if that is off."""
    planner_config = read_planner(config)
    if not planner_config.copies.listen:
        raise ConfigError(str(config), [("copies.listen", "is not there: copies are off")])
    return planner_config.name, planner_config.copies


@copies.command("found")
@click.argument("config", type=FILE)
@report_errors
def found(config: Path) -> None:
    """Give a planner of a new set its seat: once for each planner of the set, before its first start.

    Never run this for a planner that lost its folder: it copies its votes from the others by itself, and
    votes again once that is complete.
    """
    from hazelhold.replica import votes
    from hazelhold.state.disk import RealDisk

    name, copies_config = _copies_config(config)
    votes.found(RealDisk(Path(copies_config.folder)), name, copies_config, time.time_ns() // 1000)
    click.echo(
        f"{name} has its seat in {copies_config.folder}: epoch {copies_config.epoch}, "
        f"{len(copies_config.planners)} planners, {copies_config.replicas} keep each value"
    )


@copies.command("vouch")
@click.argument("config", type=FILE)
@report_errors
def confirm(config: Path) -> None:
    """Let a planner vote from its own folder at its next start, without copying from the others first.

    Only if its folder is the newest that it ever had, and those others are gone: an older folder may lack
    values that were agreed, and an at-most-once guest may then run twice.
    """
    from hazelhold.replica import votes
    from hazelhold.state.disk import RealDisk

    name, copies_config = _copies_config(config)
    votes.confirm(RealDisk(Path(copies_config.folder)), name, time.time_ns() // 1000)
    click.echo(f"{name} will vote from {copies_config.folder} at its next start, and at that one alone")


@copies.command("show")
@click.argument("config", type=FILE)
@report_errors
def show(config: Path) -> None:
    """Show what the folder holds, without effect on a running planner. Exits with 1 if these votes must not
    be relied on."""
    from hazelhold.replica import claims, votes
    from hazelhold.state.disk import RealDisk
    from hazelhold.state.store import read

    name, copies_config = _copies_config(config)
    contents = read(RealDisk(Path(copies_config.folder)), name, votes.KINDS)
    for note in contents.notes:
        click.echo(note)
    seat = contents.state_table.image("seat", "")
    if seat is None:
        click.echo(f"{copies_config.folder}: no seat: {name} votes once it has copied from the others")
        sys.exit(1)
    click.echo(
        f"{seat.planner} of {seat.deployment}, epoch {seat.epoch}"
        + ("" if contents.complete else "; damaged: it votes once it has copied from the others")
    )
    for cell in contents.state_table.tables["cell"].values():
        image = contents.state_table.decoders["cell"].decode(cell.image)
        claim = None if image.value[:1].isdigit() else claims.decode(image.value)
        text = (
            image.value.decode(errors="replace")
            if claim is None
            else (
                f"{claim.state} by {claim.planner} "
                f"(life {claim.life}, ask {claim.ask}, attempt {claim.attempt}) "
                f"{claim.machine} {claim.how}"
            ).rstrip()
        )
        click.echo(f"{cell.key}: {text or 'nothing accepted'}")
    sys.exit(0 if contents.complete else 1)
