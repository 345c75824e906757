"""The report of a judged day, for people."""

from typing import Any

import click


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
