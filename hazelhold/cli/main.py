"""The hazelhold command: every part of the program is started from here."""

import json
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from msgspec.structs import replace

from hazelhold import __version__
from hazelhold.cli import logs
from hazelhold.cli.capture import capture
from hazelhold.cli.copies import copies
from hazelhold.cli.fleetconfig import fleetconfig
from hazelhold.cli.honest import honest
from hazelhold.cli.members import members
from hazelhold.cli.state import state
from hazelhold.config.day import read_day
from hazelhold.config.load import ConfigError
from hazelhold.config.planner import read_planner

FILE = click.Path(dir_okay=False, path_type=Path)


def log_options(command: Callable[..., None]) -> Callable[..., None]:
    command = click.option("--log", type=click.Choice(["human", "json"]), default="human")(command)
    return click.option("--level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")(
        command
    )


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """Places long-lived guests on a cluster's machines."""


main.add_command(capture)
main.add_command(copies)
main.add_command(fleetconfig)
main.add_command(members)
main.add_command(state)


@main.command("planner")
@click.option("--config", type=FILE, default=None, help="The planner's configuration, JSON5.")
@click.option(
    "--platform",
    is_flag=True,
    help="Speak the operators' platform's protocol; the configuration "
    "is $BALANCER_CONFIG unless --config names it.",
)
@click.option("--frames", is_flag=True, help="With --platform and --level debug: log every message.")
@click.option("--seed", type=int, default=None, help="In place of the configuration's.")
@click.option("--record", type=FILE, default=None, help="Append every frame to this file.")
@click.option("--capture", "to", type=FILE, default=None, help="Write all exchanges there, as pcap(ng).")
@click.option("--ready", is_flag=True, help="Print the address to standard output once up.")
@click.option(
    "--state",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Keep what must outlive the process in this folder.",
)
@click.option("--take-over", is_flag=True, help="Have the process that uses the state hand over to this one.")
@log_options
@honest
def planner(
    config: Path | None,
    platform: bool,
    frames: bool,
    seed: int | None,
    record: Path | None,
    to: Path | None,
    ready: bool,
    folder: Path | None,
    take_over: bool,
    log: str,
    level: str,
) -> None:
    """Run one planner until SIGTERM or SIGINT; SIGUSR2 hands over to a process that waits for its state."""
    if platform:
        if to or folder or take_over or record or seed is not None:
            raise click.UsageError(
                "with --platform there is no --capture, --state, --take-over, --record, --seed"
            )
        from hazelhold.platform.serve import serve

        logs.set_up(log, level)
        serve(config, frames)
        return
    if config is None:
        raise click.UsageError("--config is needed")

    import signal

    import trio

    from hazelhold.config.planner import check_planner, read_planner
    from hazelhold.protocol.record import Recorder
    from hazelhold.service.net import TcpNet
    from hazelhold.service.planner import Planner

    sheet = read_planner(config)
    if to:
        sheet = replace(sheet, capture=replace(sheet.capture, file=str(to)))
    if folder:
        sheet = replace(sheet, state=replace(sheet.state, folder=str(folder)))
    if take_over and not sheet.state.folder:
        raise ConfigError(str(config), [("state.folder", "is empty: there is nothing to take over")])
    if faults := check_planner(sheet):  # once more, with what the command line changed
        raise ConfigError(str(config), faults)
    logs.set_up(log, level)
    if record:
        record.parent.mkdir(parents=True, exist_ok=True)
    recorder = Recorder(record, sheet.name, "planner")

    async def run() -> None:
        made = Planner(sheet, sheet.seed if seed is None else seed, TcpNet(), recorder, take_over=take_over)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGUSR2) as signals:
            async with trio.open_nursery() as nursery:

                async def listen() -> None:
                    async for each in signals:
                        (made.hand_over if each == signal.SIGUSR2 else made.stop)()

                nursery.start_soon(listen)

                async def serve(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
                    await made.run(task_status=task_status)
                    nursery.cancel_scope.cancel()

                address = await nursery.start(serve)
                if ready:
                    print(address, flush=True)

    trio.run(run)
    recorder.close()


@main.command("check-config")
@click.argument("files", type=FILE, nargs=-1, required=True)
@honest
def check_config(files: tuple[Path, ...]) -> None:
    """Check planner configurations and day files; says all that is wrong with them."""
    from hazelhold.config.load import parse, read_text

    wrong = []
    for file in files:
        try:
            value = parse(read_text(file), str(file))
            if isinstance(value, dict) and "length_s" in value:
                read_day(file)
                click.echo(f"{file}: a sound day")
            else:
                read_planner(file)
                click.echo(f"{file}: a sound planner configuration")
        except ConfigError as fault:
            wrong.append(str(fault))
    if wrong:
        click.echo("\n".join(wrong), err=True)
        sys.exit(2)


@main.command("rehearse")
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
@honest
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

    sheet = read_day(day)
    if virtual and any(t.kind == "planner_pause" for t in sheet.troubles):
        raise ConfigError(str(day), [("troubles", "planner_pause stops processes: not with --virtual")])
    if capture and sheet.copies.on:
        raise ConfigError(str(day), [("copies.on", "a capture cannot be replayed with claims in it yet")])
    logs.set_up(log, "warning" if level == "info" else level)
    with tempfile.TemporaryDirectory(prefix="hazelhold-") as spare:
        folder = records or Path(spare)
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            raise ConfigError(str(folder), [("records", "the folder is not empty")])
        if virtual and keep_state:
            from hazelhold.rehearse.crashes import play_crashes

            said = play_crashes(sheet, seed, folder, set())
        elif virtual:
            said = run.play_virtual(sheet, seed, folder, capture)
        else:
            said = trio.run(run.play, sheet, seed, folder, False, None, capture, None, (), keep_state)
    if to:
        to.write_text(json.dumps(said, indent=1) + "\n")
    show(said)
    sys.exit(0 if run.sound(said) else 1)


@main.command("hunt")
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
@honest
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


@main.group("stand-in")
def stand_in() -> None:
    """Run a part of a day's stand-ins alone, beside planners of your own."""


DAY_OPTIONS = (
    click.argument("day", type=FILE),
    click.option("--seed", type=int, default=1, show_default=True),
    click.option(
        "--for",
        "seconds",
        type=click.FloatRange(0, 86_400),
        default=None,
        help="In place of the day's length.",
    ),
)


def day_command(name: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    def add(command: Callable[..., None]) -> Callable[..., None]:
        command = honest(command)
        for option in (*DAY_OPTIONS, log_options):
            command = option(command)
        return stand_in.command(name)(command)

    return add


@day_command("list")
@click.option("--listen", default="127.0.0.1:7500", show_default=True)
def stand_in_list(day: Path, seed: int, seconds: float | None, listen: str, log: str, level: str) -> None:
    """The list service; machines enlist with it."""
    _alone(day, seed, seconds, log, level, "list", listen=listen)


@day_command("machines")
@click.option("--list", "lister", default="127.0.0.1:7500", show_default=True, help="The list service.")
def stand_in_machines(day: Path, seed: int, seconds: float | None, lister: str, log: str, level: str) -> None:
    """The day's machines, with its troubles."""
    _alone(day, seed, seconds, log, level, "machines", lister=lister)


@day_command("senders")
@click.option("--planner", "planners", multiple=True, required=True, help="NAME=HOST:PORT, once for each.")
def stand_in_senders(
    day: Path, seed: int, seconds: float | None, planners: tuple[str, ...], log: str, level: str
) -> None:
    """The day's owners."""
    wrong = [p for p in planners if "=" not in p]
    if wrong:
        raise ConfigError("command line", [("--planner", f"{wrong[0]!r} is not NAME=HOST:PORT")])
    _alone(day, seed, seconds, log, level, "senders", planners=dict(p.split("=", 1) for p in planners))


def _alone(
    day: Path,
    seed: int,
    seconds: float | None,
    log: str,
    level: str,
    part: str,
    **more: Any,  # noqa: ANN401
) -> None:
    import trio

    from hazelhold.rehearse.alone import run_part

    sheet = read_day(day)
    logs.set_up(log, level)
    counts = trio.run(run_part, sheet, seed, sheet.length_s if seconds is None else seconds, part, more)
    click.echo(json.dumps(counts))


@main.command("audit")
@click.argument("record", type=click.Path(path_type=Path))
@click.option("--report", "to", type=FILE, default=None, help="Write the report there, as JSON.")
@honest
def audit(record: Path, to: Path | None) -> None:
    """Judge a stored record of frames, a file or a folder of them."""
    from hazelhold.rehearse.run import report, sound

    said = report(record, record.name, 0, 0.0, {})
    if to:
        to.write_text(json.dumps(said, indent=1) + "\n")
    show(said)
    sys.exit(0 if sound(said) else 1)


def show(said: dict[str, Any]) -> None:
    """A report for people."""
    counts, service = said["counts"], said["service"]
    click.echo(f"{said['day']}, seed {said['seed']}, {said['seconds']} s")
    click.echo(
        f"  guests {service['guests']}, asks taken {counts.get('taken', 0)}: placed "
        f"{counts.get('placed', 0)}, turned back {counts.get('turned_back', 0)}, broken off "
        f"{counts.get('broken_off', 0)}, unanswered {counts.get('unanswered', 0)}, died with their "
        f"planner {counts.get('died_with_planner', 0)}"
    )
    click.echo(
        f"  dispatches {counts.get('dispatches', 0)}, starts {counts.get('starts', 0)}, "
        f"served to their end {counts.get('ended_done', 0)}"
    )
    click.echo(
        "  service " + ", ".join(f"{key} {value}" for key, value in service.items() if key != "guests")
    )
    click.echo(f"  rules broken: {len(said['rules_broken'])}")
    for breach in said["rules_broken"][:20]:
        click.echo(
            f"    rule {breach['rule']}: {breach['what']} (guest {breach['guest'] or '-'}, planner "
            f"{breach['planner'] or '-'}, machine {breach['machine'] or '-'}, at {breach['at']})"
        )
    if views := said.get("views"):
        click.echo(
            f"  views: wrongly gone {views['wrongly_gone']}, missed {views['missed']}; time to notice "
            f"{_spans(views['noticed'])}, to take back {_spans(views['healed'])}"
            + (": BOUND PASSED" if views["bounds_passed"] else "")
        )
        for line in views["details"][:10]:
            click.echo(f"    {line}")
    if claims := said.get("claims"):
        click.echo("  claims: " + ", ".join(f"{key} {value}" for key, value in claims.items()))
    if said["unaccounted"]:
        click.echo(f"  unaccounted: {', '.join(said['unaccounted'][:20])}")


def _spans(found: dict[str, float]) -> str:
    if not found["count"]:
        return "none"
    return f"{found['median']} s in the middle, {found['longest']} s at most ({found['count']})"
