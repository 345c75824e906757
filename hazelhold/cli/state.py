"""hazelhold state: reads, checks, compacts and exports what a planner keeps."""

import json
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from hazelhold.cli.errors import report_errors
from hazelhold.state import store
from hazelhold.state.clock import lasting_now
from hazelhold.state.disk import RealDisk
from hazelhold.state.images import KINDS

FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)


@click.group()
def state() -> None:
    """What a planner keeps beyond its process. Reading is harmless beside a running planner."""


def _read(folder: Path) -> store.StoreContents:
    disk = RealDisk(folder)
    for _ in range(5):  # a running planner may begin a new generation meanwhile
        before = disk.names()
        try:
            found = store.read(disk)
        except store.StateError:
            if disk.names() == before:
                raise
            continue
        if disk.names() == before:
            break
    return found


@state.command("show")
@click.argument("folder", type=FOLDER)
@click.option(
    "--guests", "many", type=click.IntRange(0), default=20, show_default=True, help="Guests to list."
)
@report_errors
def show(folder: Path, many: int) -> None:
    """What is kept: counts, damage, and the guests."""
    found = _read(folder)
    found.state_table.expire(lasting_now(folder))
    owner = RealDisk(folder).owner().strip()
    click.echo(f"{folder}: generation {found.generation}, last used by {owner or 'nobody'}")
    click.echo("  " + ", ".join(f"{kind} {count}" for kind, count in found.state_table.sizes().items()))
    for note in found.notes:
        click.echo(f"  {note}")
    if not found.complete:
        click.echo("  something that a peer may have seen can be missing")
    now = lasting_now(folder)
    for image in list(found.state_table.images("guest"))[:many]:
        where = (
            f"runs on {image.machine}"
            if image.placed
            else f"out to {image.machine}"
            if (image.machine)
            else "held"
        )
        left = f", {max(0, image.deadline - now) / 1e6:.1f} s of patience left" if image.deadline else ""
        unsure = ", may have run" if image.unsure_at else ""
        click.echo(f"  {image.name} of {image.owner}: {image.product}, {where}{left}{unsure}")


@state.command("check")
@click.argument("folder", type=FOLDER)
@report_errors
def check(folder: Path) -> None:
    """Reads all and says what is wrong; exits with 0 only if nothing a peer may have seen can be missing."""
    found = _read(folder)
    for note in found.notes:
        click.echo(note)
    wrong = 0
    for kind in KINDS:
        try:
            for _ in found.state_table.images(kind):
                pass
        except ValueError as fault:
            wrong += 1
            click.echo(str(fault))
    sizes = ", ".join(f"{kind} {count}" for kind, count in found.state_table.sizes().items())
    click.echo(
        f"generation {found.generation}, {found.batches} batches in logs; {sizes}; "
        + ("complete" if found.complete else "incomplete")
    )
    sys.exit(0 if found.complete and not wrong else 1)


@state.command("compact")
@click.argument("folder", type=FOLDER)
@report_errors
def compact(folder: Path) -> None:
    """Writes all that is kept as one new generation. Refused while a planner uses it."""
    disk = RealDisk(folder)
    found = _read(folder)
    if found.fresh:
        click.echo("nothing is kept here")
        return
    if not found.complete:
        raise store.StateError("the state is damaged: a planner must read it as it is, and doubt it")
    head = _planner(folder, found)
    kept = store.Store(disk, head)
    kept.open(lasting_now(folder), f"compact {head}")
    try:
        before = sum((folder / n).stat().st_size for n in disk.names())
        kept.begin(lasting_now(folder))
        after = sum((folder / n).stat().st_size for n in disk.names())
    finally:
        kept.close()
    click.echo(f"{before} bytes became {after}")


def _planner(folder: Path, found: store.StoreContents) -> str:
    from hazelhold.state import frames

    for name in RealDisk(folder).names():
        if name.startswith(("snapshot-", "log-")):
            head = frames.scan((folder / name).read_bytes()).header
            if head is not None:
                return head.planner
    return ""


@state.command("export")
@click.argument("folder", type=FOLDER)
@report_errors
def export(folder: Path) -> None:
    """Every image as a line of JSON: kind, key and its fields by name."""
    found = _read(folder)
    for kind in KINDS:
        for image in found.state_table.images(kind):
            click.echo(json.dumps({"kind": kind, **_plain(image)}, default=repr))


def _plain(image: msgspec.Struct) -> dict[str, Any]:
    plain: dict[str, Any] = {}
    for name in image.__struct_fields__:
        value = getattr(image, name)
        if isinstance(value, bytes):
            value = msgspec.msgpack.decode(value) if value else None
        elif isinstance(value, msgspec.Struct):
            value = _plain(value)
        elif isinstance(value, list):
            value = [_plain(v) if isinstance(v, msgspec.Struct) else v for v in value]
        elif isinstance(value, tuple) and hasattr(value, "_asdict"):
            value = msgspec.to_builtins(value._asdict(), str_keys=True)
        plain[name] = value
    return plain
