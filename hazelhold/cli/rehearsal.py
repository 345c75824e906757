"""hazelhold rehearse, hunt and audit: days of trouble, played and judged."""

import json
import sys
import tempfile
from pathlib import Path

import click

from hazelhold.cli import logs
from hazelhold.cli.errors import report_errors
from hazelhold.cli.options import FILE, log_options
from hazelhold.cli.report import show
from hazelhold.config.day import read_day
from hazelhold.config.load import ConfigError


@click.command("rehearse")
@click.argument("day", type=FILE)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--report", "to", type=FILE, default=None, help="Write the report there, as JSON.")
@click.option(
    "--records",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Keep all frames and logs in this new folder.",
)
@click.option(
    "--capture",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Keep a capture of each planner's life in this folder.",
)
@click.option("--virtual", is_flag=True, help="In memory and virtual time: no sockets, no processes.")
@click.option("--keep-state", is_flag=True, help="Planners keep their state, and owe what they had taken.")
@log_options
@report_errors
def rehearse(
    day: Path,
    seed: int,
    to: Path | None,
    records: Path | None,
    capture: Path | None,
    virtual: bool,
    keep_state: bool,
    log: str,
    level: str,
) -> None:
    """Play a day with planners, stand-ins and troubles, then audit it.

    Exits with 0 only if no rule was broken and every guest is accounted for.
    """
    import trio

    from hazelhold.rehearse import run

    config = read_day(day)
    if virtual and any(t.kind == "planner_pause" for t in config.troubles):
        raise ConfigError(str(day), [("troubles", "planner_pause stops processes: not with --virtual")])
    if capture and config.copies.on:
        raise ConfigError(str(day), [("copies.on", "a capture cannot be replayed with claims in it yet")])
    logs.set_up(log, "warning" if level == "info" else level)
    with tempfile.TemporaryDirectory(prefix="hazelhold-") as spare:
        folder = records or Path(spare)
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise ConfigError(str(folder), [("records", "the folder is not empty")])
        if virtual and keep_state:
            from hazelhold.rehearse.crashes import play_crashes

            said = play_crashes(config, seed, folder, set())
        elif virtual:
            said = run.play_virtual(config, seed, folder, capture)
        else:
            said = trio.run(run.play, config, seed, folder, False, None, capture, None, (), keep_state)
    if to:
        to.write_text(json.dumps(said, indent=1) + "\n")
    show(said)
    sys.exit(0 if run.sound(said) else 1)


@click.command("hunt")
@click.argument("day", type=FILE)
@click.option("--seed", type=int, default=1, show_default=True, help="Of the first day; each is one more.")
@click.option("--runs", type=click.IntRange(1, 100_000), default=20, show_default=True)
@click.option(
    "--length", type=click.FloatRange(5, 3600), default=25.0, show_default=True, help="Of a day, in s."
)
@click.option("--jobs", type=click.IntRange(1, 256), default=4, show_default=True)
@click.option(
    "--found",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Write days that broke a rule there.",
)
@click.option("--crashes", is_flag=True, help="Planners keep state, die at drawn points, have bad disks.")
@report_errors
def hunt(
    day: Path, seed: int, runs: int, length: float, jobs: int, found: Path | None, crashes: bool
) -> None:
    """Draw days with this one's products and kinds, and look for one on which a rule breaks.

    Exits with 0 only if none was found.
    """
    from hazelhold.rehearse import hunt as hunting

    base = read_day(day)
    logs.set_up("human", "error")
    results = hunting.hunt(base, seed, runs, length, jobs, crashes)
    bad = [r for r in results if r["broken"]]
    for result in bad:
        click.echo(f"seed {result['seed']}: {'; '.join(sorted(set(result['broken'])))} ({result['what']})")
        if found:
            found.mkdir(parents=True, exist_ok=True)
            file = found / f"hunt-{result['seed']}.json"
            hunting.write_day(hunting.draw(base, result["seed"], length), file)
    taken = sum(r.get("counts", {}).get("taken", 0) for r in results)
    struck = sum(r.get("struck", 0) for r in results)
    click.echo(
        f"{runs} days, {taken} asks taken, {struck} crashes at drawn points: {len(bad)} days with a "
        "broken rule"
    )
    sys.exit(1 if bad else 0)


@click.command("audit")
@click.argument("record", type=click.Path(path_type=Path))
@click.option("--report", "to", type=FILE, default=None, help="Write the report there, as JSON.")
@report_errors
def audit(record: Path, to: Path | None) -> None:
    """Judge a stored record of frames, a file or a folder of them."""
    from hazelhold.rehearse.run import report, sound

    said = report(record, record.name, 0, 0.0, {})
    if to:
        to.write_text(json.dumps(said, indent=1) + "\n")
    show(said)
    sys.exit(0 if sound(said) else 1)
