"""hazelhold copies: the folder in which a planner keeps its votes."""

import sys
import time
from pathlib import Path

import click

from hazelhold.cli.errors import report_errors
from hazelhold.config.load import ConfigError
from hazelhold.config.planner import CopiesConfig, read_planner

FILE = click.Path(dir_okay=False, path_type=Path)


@click.group()
def copies() -> None:
    """What planners agree on among themselves, and keep for each other."""


def _copies_config(config: Path) -> tuple[str, CopiesConfig]:
    planner_config = read_planner(config)
    if not planner_config.copies.listen:
        raise ConfigError(str(config), [("copies.listen", "is not there: copies are off")])
    return planner_config.name, planner_config.copies


@copies.command("found")
@click.argument("config", type=FILE)
@report_errors
def found(config: Path) -> None:
    """Give a planner of a new set its seat: once, before its first start, for each planner of the set.

    Never for one that lost its folder: it copies its votes from the others by itself, and votes again once it
    has.
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
def vouch(config: Path) -> None:
    """Have a planner vote from its own folder at its next start, without the others it would copy from.

    Only if its folder is the newest that it ever had, and those others are gone: what an older folder has
    forgotten may have been agreed, and a guest that must not run twice may then run twice.
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
    """What the folder holds; harmless beside a running planner. Exits with 1 if these votes are
    none to rely on."""
    from hazelhold.replica import claims, votes
    from hazelhold.state.disk import RealDisk
    from hazelhold.state.store import read

    name, copies_config = _copies_config(config)
    seen = read(RealDisk(Path(copies_config.folder)), name, votes.KINDS)
    for note in seen.notes:
        click.echo(note)
    seat = seen.ledger.image("seat", "")
    if seat is None:
        click.echo(f"{copies_config.folder}: no seat: {name} votes once it has copied from the others")
        sys.exit(1)
    click.echo(
        f"{seat.planner} of {seat.deployment}, epoch {seat.epoch}"
        + ("" if seen.complete else "; damaged: it votes once it has copied from the others")
    )
    for cell in seen.ledger.tables["cell"].values():
        image = seen.ledger.decoders["cell"].decode(cell.image)
        claim = None if image.value[:1].isdigit() else claims.decode(image.value)
        said = (
            image.value.decode(errors="replace")
            if claim is None
            else (
                f"{claim.state} by {claim.planner} "
                f"(life {claim.life}, ask {claim.ask}, attempt {claim.attempt}) "
                f"{claim.machine} {claim.how}"
            ).rstrip()
        )
        click.echo(f"{cell.key}: {said or 'nothing accepted'}")
    sys.exit(0 if seen.complete else 1)
