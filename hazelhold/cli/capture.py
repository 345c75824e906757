"""hazelhold capture: info, list, extract and replay of capture files."""

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
    """Read, cut and replay captured traffic. Nothing is captured live."""


def moment(at: int) -> str:
    return datetime.fromtimestamp(at / 1e6, UTC).isoformat(timespec="microseconds") if at else "-"


def meter() -> Callable[[Packet], None] | None:
    """Shows how far reading has come, on a terminal."""
    if not sys.stderr.isatty():
        return None
    shown = [time.monotonic()]

    def show(packet: Packet) -> None:
        if packet.number % 4096 == 0 and time.monotonic() - shown[0] > 0.5:
            shown[0] = time.monotonic()
            size = max(1, Path(packet.file).stat().st_size)
            click.echo(f"\r{packet.file}: {100 * packet.offset // size} %", err=True, nl=False)

    return show


def skipped(skips: Skips) -> list[dict[str, Any]]:
    return [msgspec.to_builtins(row) for row in skips.table()]


def show_skips(skips: Skips) -> None:
    rows = skips.table()
    click.echo(f"skipped: {sum(r.count for r in rows)} in {len(rows)} rows")
    for r in rows[:200]:
        click.echo(
            f"  {r.file}: offset {r.offset}, packet {r.packet}, {moment(r.at)}, {r.stream or '-'}: "
            f"{r.reason}, {r.count} times, {r.bytes} bytes"
        )
    if len(rows) > 200:
        click.echo(f"  and {len(rows) - 200} rows more; --json has all")


@capture.command("info")
@FILES
@JSON
@report_errors
def info(files: tuple[Path, ...], as_json: bool) -> None:
    """What the files hold, and what in them was skipped."""
    from hazelhold.capture.extract import survey

    skips = Skips()
    said = survey(list(files), skips, meter())
    if as_json:
        click.echo(json.dumps(said | {"skipped": skipped(skips)}))
        return
    click.echo(f"from {moment(said['first'])} to {moment(said['last'])}, {len(said['streams'])} streams")
    for planner, found in said["planners"].items():
        click.echo(f"  planner {planner}: {found['starts']} starts, module {found['module']}")
    for kind, count in said["messages"].items():
        click.echo(f"  {kind}: {count}")
    show_skips(skips)


@capture.command("list")
@FILES
@JSON
@report_errors
def listing(files: tuple[Path, ...], as_json: bool) -> None:
    """Every message and note, a line each."""
    from hazelhold.capture.packets import name
    from hazelhold.capture.read import read
    from hazelhold.capture.streams import Frame

    skips = Skips()
    for item in read(list(files), skips, meter()):
        if isinstance(item, Frame):
            row = {"at": item.at, "from": name(item.source), "to": name(item.target), "message": item.message}
            line = f"{moment(item.at)} {row['from']} > {row['to']} {item.message.get('t')} " + " ".join(
                f"{k}={item.message[k]}"
                for k in ("guest", "ask", "attempt", "machine", "how", "reason")
                if k in item.message
            )
        else:
            row = {"at": item.at, "note": item.data}
            line = " ".join(
                (moment(item.at), "note", item.data["n"], item.data.get("p", ""), item.data.get("who", ""))
            )
        click.echo(json.dumps(row, default=repr) if as_json else line)
    if as_json:
        click.echo(json.dumps({"skipped": skipped(skips)}))
    else:
        show_skips(skips)


def when(context: click.Context, option: click.Parameter, value: str | None) -> int:
    if not value:
        return 0
    try:
        made = datetime.fromisoformat(value)
    except ValueError:
        raise click.BadParameter(f"{value!r} is no moment such as 2026-11-28T22:00:00+00:00") from None
    return round((made if made.tzinfo else made.replace(tzinfo=UTC)).timestamp() * 1e6)


@capture.command("extract")
@FILES
@click.option("-o", "--output", type=click.Path(dir_okay=False, path_type=Path), required=True)
@click.option("--from", "since", callback=when, help="ISO moment; UTC if it names no zone.")
@click.option("--until", callback=when)
@click.option("--owner", default="")
@click.option("--service", default="")
@click.option("--guest", default="")
@click.option("--machine", default="")
@report_errors
def extract_command(files: tuple[Path, ...], output: Path, **wish: Any) -> None:  # noqa: ANN401 - as click calls
    """Keep the connections in which something wanted crossed, each whole, as a new capture."""
    from hazelhold.capture.extract import ExtractFilter, extract

    skips = Skips()
    counts = extract(list(files), output, ExtractFilter(**wish), skips)
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
    help="Another configuration in place of the captured one.",
)
@click.option("--to", default="", help="Send the owners' asks to the planner at HOST:PORT instead.")
@click.option("--speed", type=click.FloatRange(0.001, 1000), default=1.0, show_default=True)
@click.option("--mark", default="", help="What renewed ids begin with; drawn from the time if not given.")
@JSON
@report_errors
def replay_command(
    files: tuple[Path, ...], config: Path | None, to: str, speed: float, mark: str, as_json: bool
) -> None:
    """Feed the planners' exchanges into new engines and compare the decisions.

    Exits with 0 only if every decision was the same. With --to, sends the asks as load and tells the answers.
    """
    skips = Skips()
    if to:
        import trio

        from hazelhold.capture.load import owner_messages, send
        from hazelhold.config.load import split_address
        from hazelhold.service.net import TcpNet

        try:
            split_address(to)
        except ValueError as wrong:
            raise click.BadParameter(str(wrong)) from None
        plan = owner_messages(list(files), skips)
        said = trio.run(send, TcpNet(), to, plan, speed, mark or f"r{time.time_ns() // 1000}-")
        if as_json:
            click.echo(json.dumps(said | {"skipped": skipped(skips)}))
        else:
            click.echo("\n".join(f"{key}: {value}" for key, value in said["counts"].items()))
            click.echo(f"late in sending, microseconds: {said['send_error_us']}")
            show_skips(skips)
        return
    from hazelhold.capture.read import read
    from hazelhold.capture.replay import replay
    from hazelhold.config.planner import read_planner

    said = replay(read(list(files), skips, meter()), read_planner(config) if config else None)
    if as_json:
        click.echo(json.dumps(said | {"skipped": skipped(skips)}, default=repr))
    else:
        show_replay(said)
        show_skips(skips)
    sys.exit(0 if said["same"] else 1)


def show_replay(said: dict[str, Any]) -> None:
    for life in said["planners"]:
        click.echo(
            f"planner {life['planner']}: {life['inputs']} inputs, "
            f"{life['compared']} decisions compared, "
            f"{life['differing']} differ, {life['unmatched']} without a fellow"
        )
        if life["module"] != life["module_here"]:
            click.echo(f"  captured with module {life['module']}, replayed with {life['module_here']}")
        if life["packets_lost_while_captured"]:
            click.echo(f"  {life['packets_lost_while_captured']} packets were lost while it was captured")
        if life["damaged_messages"]:
            click.echo(f"  {life['damaged_messages']} messages are damaged")
        if first := life["first_difference"]:
            where = f"packet {first['packet']} of {first['file']}"
            click.echo(f"  first difference at {moment(first['at'])}, {where}:")
            click.echo(f"    captured {first['captured']}\n    replayed {first['replayed']}")
            click.echo(f"    on {json.dumps(first['state'], default=repr)[:2000]}")
        if life["differing"] or life["changed"]:
            for fate, count in life["guests"].items():
                click.echo(f"  {fate}: {count}")
    for stream, count in said["of_others"].items():
        click.echo(f"of nobody in this capture: {stream}, {count} frames")
    for planner, count in said["notes_without_a_start"].items():
        click.echo(f"planner {planner}: {count} notes without its start, from a later file or a cut one")
    click.echo("the same decisions" if said["same"] else "NOT the same decisions")
