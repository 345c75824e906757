"""`hazelhold capture`: shows, lists, extracts and replays capture files."""

import json
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from hazelhold.capture.files import Packet
from hazelhold.capture.skips import Skips
from hazelhold.cli.errors import report_errors

FILES = click.argument("files", type=click.Path(dir_okay=False, path_type=Path), nargs=-1, required=True)
JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")


@click.group("capture")
def capture() -> None:
    """Read, extract from and replay capture files. Does not capture live traffic."""


def format_time(at: int) -> str:
    """Formats Unix microseconds as ISO time; "-" for 0."""
    return datetime.fromtimestamp(at / 1e6, UTC).isoformat(timespec="microseconds") if at else "-"


def progress_display() -> Callable[[Packet], None] | None:
    """Returns a function that shows the progress of reading, if standard error is a terminal."""
    if not sys.stderr.isatty():
        return None
    shown_at = [time.monotonic()]

    def show(packet: Packet) -> None:
        if packet.number % 4096 == 0 and time.monotonic() - shown_at[0] > 0.5:
            shown_at[0] = time.monotonic()
            size = max(1, Path(packet.file).stat().st_size)
            click.echo(f"\r{packet.file}: {100 * packet.offset // size} %", err=True, nl=False)

    return show


def skipped(skips: Skips) -> list[dict[str, Any]]:
    """Returns the table of skipped data, for JSON."""
    return [msgspec.to_builtins(row) for row in skips.table()]


def show_skips(skips: Skips) -> None:
    """Prints the table of skipped data, at most 200 rows."""
    rows = skips.table()
    click.echo(f"skipped: {sum(r.count for r in rows)} in {len(rows)} rows")
    for r in rows[:200]:
        click.echo(
            f"  {r.file}: offset {r.offset}, packet {r.packet}, {format_time(r.at)}, {r.stream or '-'}: "
            f"{r.reason}, {r.count} times, {r.bytes} bytes"
        )
    if len(rows) > 200:
        click.echo(f"  and {len(rows) - 200} rows more; --json has all")


@capture.command("info")
@FILES
@JSON
@report_errors
def info(files: tuple[Path, ...], as_json: bool) -> None:
    """Summarize the files, and list what was skipped in them."""
    from hazelhold.capture.extract import survey

    skips = Skips()
    summary = survey(list(files), skips, progress_display())
    if as_json:
        click.echo(json.dumps(summary | {"skipped": skipped(skips)}))
        return
    click.echo(
        f"from {format_time(summary['first'])} to {format_time(summary['last'])}, "
        f"{len(summary['streams'])} streams"
    )
    for planner, found in summary["planners"].items():
        click.echo(f"  planner {planner}: {found['starts']} starts, module {found['module']}")
    for kind, count in summary["messages"].items():
        click.echo(f"  {kind}: {count}")
    show_skips(skips)


@capture.command("list")
@FILES
@JSON
@report_errors
def listing(files: tuple[Path, ...], as_json: bool) -> None:
    """Print every message and note, one per line."""
    from hazelhold.capture.packets import name
    from hazelhold.capture.read import read
    from hazelhold.capture.streams import Frame

    skips = Skips()
    for item in read(list(files), skips, progress_display()):
        if isinstance(item, Frame):
            row = {"at": item.at, "from": name(item.source), "to": name(item.target), "message": item.message}
            line = f"{format_time(item.at)} {row['from']} > {row['to']} {item.message.get('t')} " + " ".join(
                f"{k}={item.message[k]}"
                for k in ("guest", "ask", "attempt", "machine", "how", "reason")
                if k in item.message
            )
        else:
            row = {"at": item.at, "note": item.data}
            line = " ".join(
                (
                    format_time(item.at),
                    "note",
                    item.data["n"],
                    item.data.get("p", ""),
                    item.data.get("who", ""),
                )
            )
        click.echo(json.dumps(row, default=repr) if as_json else line)
    if as_json:
        click.echo(json.dumps({"skipped": skipped(skips)}))
    else:
        show_skips(skips)


def parse_time(context: click.Context, option: click.Parameter, value: str | None) -> int:
    """Converts an ISO time of the command line to Unix microseconds; 0 if it is not given."""
    if not value:
        return 0
    try:
        parsed = datetime.fromisoformat(value)
    except ValueError:
        raise click.BadParameter(f"{value!r} is not a time such as 2026-11-28T22:00:00+00:00") from None
    return round((parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp() * 1e6)


@capture.command("extract")
@FILES
@click.option("-o", "--output", type=click.Path(dir_okay=False, path_type=Path), required=True)
@click.option("--from", "since", callback=parse_time, help="ISO time; UTC if it names no time zone.")
@click.option("--until", callback=parse_time)
@click.option("--owner", default="")
@click.option("--service", default="")
@click.option("--guest", default="")
@click.option("--machine", default="")
@report_errors
def extract_command(files: tuple[Path, ...], output: Path, **filters: Any) -> None:  # noqa: ANN401 - as click calls
    """Copy the connections that carry a matching message to a new capture, each of them whole."""
    from hazelhold.capture.extract import ExtractFilter, extract

    skips = Skips()
    counts = extract(list(files), output, ExtractFilter(**filters), skips)
    click.echo(
        f"{output}: {counts.get('kept', 0)} packets of {counts['streams']} streams, "
        f"{counts.get('left out', 0)} left out"
    )
    show_skips(skips)


@capture.command("replay")
@FILES
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    help="Configuration to use in place of the captured one.",
)
@click.option("--to", default="", help="Send the owners' submissions to the planner at HOST:PORT instead.")
@click.option("--speed", type=click.FloatRange(0.001, 1000), default=1.0, show_default=True)
@click.option("--mark", default="", help="Prefix of the new guest ids; derived from the time if not given.")
@JSON
@report_errors
def replay_command(
    files: tuple[Path, ...], config: Path | None, to: str, speed: float, mark: str, as_json: bool
) -> None:
    """Feed the captured inputs of planners into new engines and compare the decisions.

    Exits with 0 only if every decision was the same. With --to, sends the submissions as load and reports the
    answers.
    """
    skips = Skips()
    if to:
        import trio

        from hazelhold.capture.load import owner_messages, send
        from hazelhold.config.load import split_address
        from hazelhold.service.net import TcpNet

        try:
            split_address(to)
        except ValueError as error:
            raise click.BadParameter(str(error)) from None
        plan = owner_messages(list(files), skips)
        result = trio.run(send, TcpNet(), to, plan, speed, mark or f"r{time.time_ns() // 1000}-")
        if as_json:
            click.echo(json.dumps(result | {"skipped": skipped(skips)}))
        else:
            click.echo("\n".join(f"{key}: {value}" for key, value in result["counts"].items()))
            click.echo(f"late in sending, microseconds: {result['send_error_us']}")
            show_skips(skips)
        return
    from hazelhold.capture.read import read
    from hazelhold.capture.replay import replay
    from hazelhold.config.planner import read_planner

    result = replay(read(list(files), skips, progress_display()), read_planner(config) if config else None)
    if as_json:
        click.echo(json.dumps(result | {"skipped": skipped(skips)}, default=repr))
    else:
        show_replay(result)
        show_skips(skips)
    sys.exit(0 if result["same"] else 1)


def show_replay(result: dict[str, Any]) -> None:
    """Prints the result of a replay: differences for each run of a planner."""
    for run in result["planners"]:
        click.echo(
            f"planner {run['planner']}: {run['inputs']} inputs, "
            f"{run['compared']} decisions compared, "
            f"{run['differing']} differ, {run['unmatched']} unmatched"
        )
        if run["module"] != run["module_here"]:
            click.echo(f"  captured with module {run['module']}, replayed with {run['module_here']}")
        if run["packets_lost_while_captured"]:
            click.echo(f"  {run['packets_lost_while_captured']} packets were lost while it was captured")
        if run["damaged_messages"]:
            click.echo(f"  {run['damaged_messages']} messages are damaged")
        if first := run["first_difference"]:
            where = f"packet {first['packet']} of {first['file']}"
            click.echo(f"  first difference at {format_time(first['at'])}, {where}:")
            click.echo(f"    captured {first['captured']}\n    replayed {first['replayed']}")
            click.echo(f"    on {json.dumps(first['state'], default=repr)[:2000]}")
        if run["differing"] or run["changed"]:
            for outcome, count in run["guests"].items():
                click.echo(f"  {outcome}: {count}")
    for stream, count in result["of_others"].items():
        click.echo(f"not of a planner in this capture: {stream}, {count} frames")
    for planner, count in result["notes_without_a_start"].items():
        click.echo(f"planner {planner}: {count} notes without its start, from a later or a truncated file")
    click.echo("the same decisions" if result["same"] else "NOT the same decisions")
