"""`hazelhold members`: shows one planner's view of the others."""

import socket
import sys
import time
from pathlib import Path

import click

from hazelhold.cli.errors import report_errors
from hazelhold.config.load import ConfigError, split_address


@click.command("members")
@click.argument("address", required=False)
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    help="A planner's configuration, in place of an address.",
)
@click.option("--deployment", default="hazelhold", show_default=True, help="With an address: its deployment.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
@click.option(
    "--wait", type=click.FloatRange(0.1, 60), default=3.0, show_default=True, help="Maximum seconds to wait."
)
@report_errors
def members(address: str | None, config: Path | None, deployment: str, as_json: bool, wait: float) -> None:
    """Show a planner's view of the others: who is alive, suspected, gone or has left, who suspects whom,
    round trips.

    Queried by datagram at its membership address. Exits with 1 if it does not answer.
    """
    if (address is None) == (config is None):
        raise click.UsageError("an ADDRESS or --config is needed, and not both")
    if config is not None:
        from hazelhold.config.planner import read_planner

        membership = read_planner(config).membership
        if not membership.listen:
            raise ConfigError(str(config), [("membership.listen", "is not there: membership is off")])
        address, deployment = membership.advertise or membership.listen, membership.deployment
    try:
        at = split_address(address)
    except ValueError as error:
        raise ConfigError("command line", [("ADDRESS", str(error))]) from None
    view = ask(at, deployment, wait)
    if view is None:
        click.echo(
            f"{address}: no answer within {wait:g} s (not running, membership off, or another deployment)",
            err=True,
        )
        sys.exit(1)
    show(*view, as_json)


def ask(at: tuple[str, int], deployment: str, wait: float) -> tuple[dict, list] | None:
    """Queries the whole view, page by page; returns None if it does not arrive within `wait` seconds."""
    from random import SystemRandom

    from hazelhold.membership import messages
    from hazelhold.membership.rows import ALIVE, Row

    sender = Row(name="-", life=0, nonce=0, seq=0, state=ALIVE, address="")
    members_seen: dict[str, messages.MemberView] = {}
    mine: dict = {}
    after, deadline = "", time.monotonic() + wait
    family = socket.AF_INET6 if ":" in at[0] else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as port:
        port.settimeout(0.2)
        while time.monotonic() < deadline:
            no = SystemRandom().getrandbits(62)
            try:
                port.sendto(messages.encode(deployment, sender, messages.ViewQuery(no, after), []), at)
                datagram = messages.decode(port.recv(2048), deployment)
            except TimeoutError:
                continue
            except ConnectionRefusedError:
                time.sleep(0.05)
                continue
            except messages.UnreadableError as error:
                click.echo(f"the answer cannot be read: {error}", err=True)
                return None
            page = datagram.payload
            if not isinstance(page, messages.ViewPage) or page.no != no:
                continue
            mine = page.mine
            members_seen |= {each.row.name: each for each in page.seen}
            if not page.more:
                return mine, list(members_seen.values())
            if page.seen:
                after = page.seen[-1].row.name
    return None


def show(mine: dict, seen: list, as_json: bool) -> None:
    """Prints a view: the planner's own state, then a row for each member."""
    import json

    import msgspec

    from hazelhold.membership.rows import STATES

    if as_json:
        rows = [
            {
                **msgspec.structs.asdict(each.row),
                "state": STATES[each.row.state],
                "since_us": each.since,
                "heard_us": each.heard,
                "rtt_us": each.rtt,
                "unanswered": each.unanswered,
                "via": each.via,
                "accusers": each.accusers,
            }
            for each in seen
        ]
        click.echo(json.dumps({"planner": mine, "members": rows}))
        return
    line = f"{mine['name']}, life {mine['life']}, doubt of itself {mine['doubt']}"
    line += ", YIELDED to a younger process of its name" if mine["yielded"] else ""
    line += ", ALONE: nobody answers it" if mine["alone_us"] >= 0 else ""
    line += "" if mine["settled"] else ", has not joined yet"
    line += f", was away {mine['away_times']} times" if mine["away_times"] else ""
    click.echo(line)
    if "agrees" in mine:
        click.echo(
            f"claims: agrees: {mine['agrees']}, votes: {mine['votes']}"
            + (f", nothing heard lately of {mine['silent']}" if mine["silent"] else "")
        )
    click.echo(f"{'member':24} {'state':10} {'for':>9} {'answered':>9} {'rtt':>8}  what is known")
    for each in seen:
        row, facts = each.row, []
        if each.accusers:
            facts.append(f"accused by {', '.join(each.accusers)}")
        if row.state >= 2 and row.by:
            facts.append(f"called gone by {row.by}")
        if each.via:
            facts.append(f"answers through {each.via}")
        if each.unanswered:
            facts.append(f"{each.unanswered} probes unanswered, no witness")
        facts.append(f"{row.address} zone {row.zone or '-'} program {row.program} speaks {row.speaks}")
        click.echo(
            f"{row.name:24} {STATES[row.state]:10} {format_duration(each.since):>9} "
            f"{format_duration(each.heard):>9} {format_duration(each.rtt):>8}  {'; '.join(facts)}"
        )


def format_duration(micros: int) -> str:
    """Formats microseconds as ms or s; "-" if negative, that is unknown."""
    if micros < 0:
        return "-"
    return f"{micros / 1000:.1f}ms" if micros < 1_000_000 else f"{micros / 1e6:.1f}s"
