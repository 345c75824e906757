"""`hazelhold state`: shows, checks, compacts and exports a planner's stored state."""

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
    """Inspect a planner's stored state. Reading has no effect on a running planner."""


def _read(folder: Path) -> store.StoreContents:
    """Reads a folder, again if its files change meanwhile."""
    disk = RealDisk(folder)
    for _ in range(5):  # a running planner may begin a new generation during the read
        before = disk.names()
        try:
            contents = store.read(disk)
        except store.StateError:
            if disk.names() == before:
                raise
            continue
        if disk.names() == before:
            break
    return contents


@state.command("show")
@click.argument("folder", type=FOLDER)
@click.option(
    "--guests", "guest_limit", type=click.IntRange(0), default=20, show_default=True, help="Guests to list."
)
@report_errors
def show(folder: Path, guest_limit: int) -> None:
    """Show the stored state: counts, damage, and the guests."""
    contents = _read(folder)
    contents.state_table.expire(lasting_now(folder))
    holder = RealDisk(folder).owner().strip()
    click.echo(f"{folder}: generation {contents.generation}, last used by {holder or 'nobody'}")
    click.echo("  " + ", ".join(f"{kind} {count}" for kind, count in contents.state_table.sizes().items()))
    for note in contents.notes:
        click.echo(f"  {note}")
    if not contents.complete:
        click.echo("  something that a peer may have seen can be missing")
    now = lasting_now(folder)
    for image in list(contents.state_table.images("guest"))[:guest_limit]:
        where = (
            f"runs on {image.machine}"
            if image.placed
            else f"out to {image.machine}"
            if (image.machine)
            else "held"
        )
        left = (
            f", {max(0, image.deadline - now) / 1e6:.1f} s left until its deadline" if image.deadline else ""
        )
        unsure = ", may have run" if image.unsure_at else ""
        click.echo(f"  {image.name} of {image.owner}: {image.product}, {where}{left}{unsure}")


@state.command("check")
@click.argument("folder", type=FOLDER)
@report_errors
def check(folder: Path) -> None:
    """Read everything and report faults. Exits with 0 only if nothing that a peer may have seen can be
    missing."""
    contents = _read(folder)
    for note in contents.notes:
        click.echo(note)
    unreadable = 0
    for kind in KINDS:
        try:
            for _ in contents.state_table.images(kind):
                pass
        except ValueError as error:
            unreadable += 1
            click.echo(str(error))
    sizes = ", ".join(f"{kind} {count}" for kind, count in contents.state_table.sizes().items())
    click.echo(
        f"generation {contents.generation}, {contents.batches} batches in logs; {sizes}; "
        + ("complete" if contents.complete else "incomplete")
    )
    sys.exit(0 if contents.complete and not unreadable else 1)


@state.command("compact")
@click.argument("folder", type=FOLDER)
@report_errors
def compact(folder: Path) -> None:
    """Write the whole state as one new generation. Refused while a planner uses it."""
    disk = RealDisk(folder)
    contents = _read(folder)
    if contents.fresh:
        click.echo("no state is stored here")
        return
    if not contents.complete:
        raise store.StateError("the state is damaged: a planner must read it unchanged and verify it")
    planner = _planner(folder, contents)
    compacted = store.Store(disk, planner)
    compacted.open(lasting_now(folder), f"compact {planner}")
    try:
        before = sum((folder / n).stat().st_size for n in disk.names())
        compacted.begin(lasting_now(folder))
        after = sum((folder / n).stat().st_size for n in disk.names())
    finally:
        compacted.close()
    click.echo(f"{before} bytes became {after}")


def _planner(folder: Path, contents: store.StoreContents) -> str:
    """Returns the name of the planner that the state belongs to; empty if no file has a header."""
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
    """Print every image as a line of JSON: its kind and its fields by name."""
    contents = _read(folder)
    for kind in KINDS:
        for image in contents.state_table.images(kind):
            click.echo(json.dumps({"kind": kind, **_plain(image)}, default=repr))


def _plain(image: msgspec.Struct) -> dict[str, Any]:
    """Converts an image to plain values for JSON."""
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
