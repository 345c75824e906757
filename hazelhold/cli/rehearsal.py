"""`hazelhold rehearse`, `hunt` and `audit`: run days with faults, and check their records."""

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
    help="Keep a capture of each planner's run in this folder.",
)
@click.option("--virtual", is_flag=True, help="In memory and virtual time: no sockets, no processes.")
@click.option(
    "--keep-state", is_flag=True, help="Planners store their state, and answer for what they had accepted."
)
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
    """Run a day with planners, stand-ins and faults, then audit it.

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
    with tempfile.TemporaryDirectory(prefix="hazelhold-") as temporary:
        folder = records or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise ConfigError(str(folder), [("records", "the folder is not empty")])
        if virtual and keep_state:
            from hazelhold.rehearse.crashes import play_crashes

            summary = play_crashes(config, seed, folder, set())
        elif virtual:
            summary = run.play_virtual(config, seed, folder, capture)
        else:
            summary = trio.run(run.play, config, seed, folder, False, None, capture, None, (), keep_state)
    if to:
        to.write_text(json.dumps(summary, indent=1) + "\n")
    show(summary)
    sys.exit(0 if run.sound(summary) else 1)


@click.command("hunt")
@click.argument("day", type=FILE)
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Seed of the first day; each further day adds one."
)
@click.option("--runs", type=click.IntRange(1, 100_000), default=20, show_default=True)
@click.option(
    "--length",
    type=click.FloatRange(5, 3600),
    default=25.0,
    show_default=True,
    help="Length of a day in seconds.",
)
@click.option("--jobs", type=click.IntRange(1, 256), default=4, show_default=True)
@click.option(
    "--found",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Write the days on which a rule was broken there.",
)
@click.option(
    "--crashes", is_flag=True, help="Planners store state, crash at random points and have faulty disks."
)
@report_errors
def hunt(
    day: Path, seed: int, runs: int, length: float, jobs: int, found: Path | None, crashes: bool
) -> None:
    """Generate days with the guest classes and machine kinds of this one, and search for broken rules.

    Exits with 0 only if none was found.
    """
    from hazelhold.rehearse import hunt as hunting

    base = read_day(day)
    logs.set_up("human", "error")
    results = hunting.hunt(base, seed, runs, length, jobs, crashes)
    failed = [r for r in results if r["broken"]]
    for result in failed:
        click.echo(f"seed {result['seed']}: {'; '.join(sorted(set(result['broken'])))} ({result['what']})")
        if found:
            found.mkdir(parents=True, exist_ok=True)
            file = found / f"hunt-{result['seed']}.json"
            hunting.write_day(hunting.draw(base, result["seed"], length), file)
    taken = sum(r.get("counts", {}).get("taken", 0) for r in results)
    crash_count = sum(r.get("struck", 0) for r in results)
    click.echo(
        f"{runs} days, {taken} asks taken, {crash_count} crashes at drawn points: {len(failed)} days with a "
        "broken rule"
    )
    sys.exit(1 if failed else 0)


@click.command("audit")
@click.argument("record", type=click.Path(path_type=Path))
@click.option("--report", "to", type=FILE, default=None, help="Write the report there, as JSON.")
@report_errors
def audit(record: Path, to: Path | None) -> None:
    """Audit a stored record of frames, a file or a folder of them."""
    from hazelhold.rehearse.run import report, sound

    summary = report(record, record.name, 0, 0.0, {})
    if to:
        to.write_text(json.dumps(summary, indent=1) + "\n")
    show(summary)
    sys.exit(0 if sound(summary) else 1)
