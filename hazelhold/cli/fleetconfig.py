"""`hazelhold fleetconfig`: runs control machines, changes and shows the fleet's configuration."""

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import click

from hazelhold.cli import logs
from hazelhold.cli.errors import report_errors
from hazelhold.cli.fleetconfig_client import FILE, client_of, query_options, run_query
from hazelhold.config.fleetconfig import read_control
from hazelhold.config.load import ConfigError, parse, read_text

if TYPE_CHECKING:
    from hazelhold.fleetconfig.client import ConfigClient
    from hazelhold.fleetconfig.messages import Status

# Exit codes beside 0, 2 (a wrong file, address or option) and 4 (nobody answered).
NOT_COMMITTED = 1
LACKING = 1  # some planner lacks the latest revision
UNKNOWN = 3  # the change may still be committed: repeat it with the same id
PARTITIONED = 3  # the answering machine cannot know of newer revisions


@click.group()
def fleetconfig() -> None:
    """The configuration of the whole fleet: run control machines, make changes, show who has which
    revision."""


# Control machines.


@fleetconfig.command("control")
@click.argument("file", type=FILE)
@click.option("--ready", is_flag=True, help="Print the address to standard output once up.")
@click.option("--log", type=click.Choice(["human", "json"]), default="human")
@click.option("--level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
@report_errors
def control(file: Path, ready: bool, log: str, level: str) -> None:
    """Run one control machine until SIGTERM or SIGINT."""
    import signal

    import trio

    from hazelhold.fleetconfig.control_host import ControlHost
    from hazelhold.service.net import TcpNet
    from hazelhold.service.signals import early_signals, run_until_end
    from hazelhold.state.disk import RealDisk

    read = read_control(file)
    logs.set_up(log, level)
    host = ControlHost(read, TcpNet(), RealDisk(Path(read.folder)), RealDisk(Path(read.votes.folder)))

    kinds = (signal.SIGTERM, signal.SIGINT)

    async def run(early: list[int]) -> None:
        with trio.open_signal_receiver(*kinds) as signals:
            async with trio.open_nursery() as nursery:
                host.open()
                await nursery.start(host.run)
                if ready:
                    print(host.address, flush=True)
                if not early:
                    await anext(signals)
                nursery.cancel_scope.cancel()

    with early_signals(kinds) as early:
        run_until_end(kinds, run, early)


@fleetconfig.command("found")
@click.argument("file", type=FILE)
@report_errors
def found(file: Path) -> None:
    """Give a control machine of a new set its seat: once for each of the set, before its first start.

    Never run this for a machine that lost its folder: it copies its votes from the others by itself, and
    votes again once that is complete.
    """
    from hazelhold.fleetconfig.control_host import copies_config
    from hazelhold.replica import votes
    from hazelhold.state.disk import RealDisk

    read = read_control(file)
    config = copies_config(read)
    votes.found(RealDisk(Path(config.folder)), read.name, config, time.time_ns() // 1000)
    click.echo(
        f"{read.name} has its seat in {config.folder}: epoch {config.epoch}, {len(config.planners)} control "
        f"machines, {config.replicas} keep the head"
    )


@fleetconfig.command("vouch")
@click.argument("file", type=FILE)
@report_errors
def confirm(file: Path) -> None:
    """Let a control machine vote from its own folder at its next start, without copying from the others
    first.

    Only if its folder is the newest that it ever had, and those others are gone: an older folder may lack
    values that were agreed, and other revisions may then be committed under numbers that planners already
    have.
    """
    from hazelhold.replica import votes
    from hazelhold.state.disk import RealDisk

    read = read_control(file)
    votes.confirm(RealDisk(Path(read.votes.folder)), read.name, time.time_ns() // 1000)
    click.echo(f"{read.name} will vote from {read.votes.folder} at its next start, and at that one alone")


# Writers and operators.


@fleetconfig.command("put")
@click.argument("items", nargs=-1)
@click.option("--remove", multiple=True, help="The name of an item to remove; may be repeated.")
@click.option(
    "--base", type=click.IntRange(0), default=None, help="The revision that this change is based on."
)
@click.option(
    "--id",
    "change_id",
    default=None,
    help="Id of this change; a change is never committed twice under the same id.",
)
@click.option("--author", default="", help="Name to show with the change.")
@query_options
@report_errors
def put(
    items: tuple[str, ...],
    remove: tuple[str, ...],
    base: int | None,
    change_id: str | None,
    author: str,
    config: Path | None,
    at: tuple[str, ...],
    deployment: str,
    wait: float,
    as_json: bool,
) -> None:
    """Set items, NAME=JSON each, in one atomic change.

    Without --base the change is based on the latest revision. Exits with 1 if it was not committed, 3 if that
    is unknown (repeat it with the same --id), 4 if nobody answers.
    """
    values = {}
    for item in items:
        name, equals, text = item.partition("=")
        try:
            values[name] = json.loads(text)
        except ValueError as error:
            fault = f"{error}" if equals else "is not NAME=JSON"
            raise ConfigError("command line", [(name or "ITEMS", fault)]) from None
    client = client_of(config, at, deployment)
    _change(client, values, remove, base, change_id, author, wait, as_json)


@fleetconfig.command("apply")
@click.argument("file", type=FILE)
@click.option(
    "--base", type=click.IntRange(0), default=None, help="The revision that this change is based on."
)
@click.option(
    "--id",
    "change_id",
    default=None,
    help="Id of this change; a change is never committed twice under the same id.",
)
@click.option("--author", default="", help="Name to show with the change.")
@query_options
@report_errors
def apply(
    file: Path,
    base: int | None,
    change_id: str | None,
    author: str,
    config: Path | None,
    at: tuple[str, ...],
    deployment: str,
    wait: float,
    as_json: bool,
) -> None:
    """Set the items of a JSON5 file, an object by name; null removes an item. Other items are unchanged.

    Exits with the same codes as `put`.
    """
    value = parse(read_text(file), str(file))
    if not isinstance(value, dict):
        raise ConfigError(str(file), [("top", "expected an object of items by name")])
    values = {name: each for name, each in value.items() if each is not None}
    removals = tuple(name for name, each in value.items() if each is None)
    client = client_of(config, at, deployment)
    _change(client, values, removals, base, change_id, author, wait, as_json)


def _change(
    client: "ConfigClient",
    values: dict[str, Any],
    removals: tuple[str, ...],
    base: int | None,
    change_id: str | None,
    author: str,
    wait: float,
    as_json: bool,
) -> None:
    """Proposes a change, prints the outcome and ends the command with the exit code for it."""
    from hazelhold.fleetconfig import messages as m
    from hazelhold.fleetconfig.document import Put, canonical
    from hazelhold.fleetconfig.revision import Change

    puts = tuple(Put(name, canonical(value)) for name, value in values.items())
    proposal = Change(
        id=change_id or uuid4().hex, base=base or 0, author=author, puts=puts, removals=removals
    )

    async def work() -> tuple[int, m.ProposeAnswer, str]:
        change = proposal
        if base is None:
            status = await client.ask(m.StatusQuery(), m.Status, wait)
            change = Change(id=proposal.id, base=status.number, author=author, puts=puts, removals=removals)
        return change.base, *await client.propose(change, wait)

    base_used, answer, by = run_query(work)
    if as_json:
        faults = [{"item": fault.item, "text": fault.text} for fault in answer.faults]
        fields = {
            "id": answer.id,
            "base": base_used,
            "outcome": answer.outcome,
            "number": answer.number,
            "by": by,
        }
        click.echo(json.dumps({**fields, "faults": faults, "text": answer.text}))
    else:
        number = f" as revision {answer.number}" if answer.outcome == "committed" else ""
        text = f": {answer.text}" if answer.text else ""
        click.echo(f"{answer.outcome}{number} (id {answer.id}, base {base_used}){text}")
        for fault in answer.faults:
            click.echo(f"  {fault.item or 'the change'}: {fault.text}")
    sys.exit({"committed": 0, "unknown": UNKNOWN}.get(answer.outcome, NOT_COMMITTED))


@fleetconfig.command("show")
@click.argument("prefix", default="")
@query_options
@report_errors
def show(
    prefix: str, config: Path | None, at: tuple[str, ...], deployment: str, wait: float, as_json: bool
) -> None:
    """Show the items whose names begin with PREFIX, from the first machine that answers."""
    client = client_of(config, at, deployment)

    async def work() -> tuple[int, dict[str, bytes]]:
        return await client.items(prefix, wait)

    number, items = run_query(work)
    if as_json:
        values = {name: json.loads(value) for name, value in items.items()}
        click.echo(json.dumps({"number": number, "items": values}))
        return
    click.echo(f"revision {number}, {len(items)} items")
    for name, value in items.items():
        click.echo(f"{name} = {value.decode()}")


@fleetconfig.command("status")
@query_options
@report_errors
def status(config: Path | None, at: tuple[str, ...], deployment: str, wait: float, as_json: bool) -> None:
    """Show the latest revision, whether newer ones can be known, how long each took until all planners
    applied it, and which planners lack it.

    A planner (--at its address) shows its own state. Exits with 1 if some planner lacks the latest revision,
    3 if the answering machine cannot know of newer ones, 4 if nobody answers.
    """
    from hazelhold.cli.fleetconfig_status import as_dict, lines
    from hazelhold.fleetconfig import messages as m

    client = client_of(config, at, deployment)

    async def work() -> "Status":
        return await client.ask(m.StatusQuery(), m.Status, wait)

    answer = run_query(work)
    if as_json:
        click.echo(json.dumps(as_dict(answer)))
    else:
        for line in lines(answer):
            click.echo(line)
    behind = answer.lacking_count or answer.in_force < answer.number
    sys.exit(PARTITIONED if answer.cut_off else LACKING if behind else 0)
