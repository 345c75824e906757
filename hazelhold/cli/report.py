"""Prints the report of an audited day."""

from typing import Any

import click


def show(report: dict[str, Any]) -> None:
    """Prints a report for people."""
    counts, service = report["counts"], report["service"]
    click.echo(f"{report['day']}, seed {report['seed']}, {report['seconds']} s")
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
    click.echo(f"  rules broken: {len(report['rules_broken'])}")
    for violation in report["rules_broken"][:20]:
        click.echo(
            f"    rule {violation['rule']}: {violation['what']} (guest {violation['guest'] or '-'}, planner "
            f"{violation['planner'] or '-'}, machine {violation['machine'] or '-'}, at {violation['at']})"
        )
    if views := report.get("views"):
        click.echo(
            f"  views: wrongly gone {views['wrongly_gone']}, missed {views['missed']}; time to notice "
            f"{_durations(views['noticed'])}, to take back {_durations(views['healed'])}"
            + (": BOUND PASSED" if views["bounds_passed"] else "")
        )
        for line in views["details"][:10]:
            click.echo(f"    {line}")
    if claims := report.get("claims"):
        click.echo("  claims: " + ", ".join(f"{key} {value}" for key, value in claims.items()))
    if report["unaccounted"]:
        click.echo(f"  unaccounted: {', '.join(report['unaccounted'][:20])}")


def _durations(statistics: dict[str, float]) -> str:
    """Formats the count, median and maximum of some durations."""
    if not statistics["count"]:
        return "none"
    return (
        f"{statistics['median']} s in the middle, {statistics['longest']} s at most ({statistics['count']})"
    )
