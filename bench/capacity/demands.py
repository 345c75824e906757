"""What the target asks of each role, by written arithmetic from what the operators told.

Numbers that the operators did not tell are assumptions and say so in their note; `target.py` has them all.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bench.capacity import target as t
from bench.capacity.arithmetic import Known, MissingError
from bench.capacity.schema import Demand, Row


class Asked(NamedTuple):
    """A demand before it is computed."""

    id: str
    role: str
    unit: str
    arithmetic: str
    note: str = ""


PLANNERS = [
    Asked(
        "planner.start.cpu",
        "planner",
        "s",
        f"(planner.process.load.cpu@{t.WORKERS} - planner.process.rest.cpu@{t.WORKERS}) / 20",
        "processor time of a planner's process for one start, measured at 20 a second",
    ),
    Asked(
        "planners.least",
        "planner",
        "planners",
        f"ceil({t.STARTS_A_SECOND} * demand.planner.start.cpu / {t.START_SHARE})",
        f"if starts are no control: each planner at {t.START_SHARE:g} of a core (assumption)",
    ),
    Asked(
        "planners.strict",
        "planner",
        "planners",
        f"ceil({t.STARTS_A_SECOND} * demand.planner.start.cpu / {t.BUDGET_PROCESSOR})",
        "if starts are control: none above the budget of processor time",
    ),
    Asked(
        "planners",
        "planner",
        "planners",
        f"{t.PLANNERS // t.REGIONS} * {t.REGIONS}",
        "the number is not told; chosen between planners.least and planners.strict: eight a region",
    ),
    Asked("planners.half", "planner", "planners", "demand.planners / 2"),
    Asked("planners.twice", "planner", "planners", "demand.planners * 2"),
]

STARTS = [
    Asked("planner.starts", "planner", "starts a second", f"{t.STARTS_A_SECOND} / demand.planners", "peak"),
    Asked("planner.starts.half", "planner", "starts a second", f"{t.STARTS_A_SECOND} / demand.planners.half"),
    Asked(
        "planner.starts.twice", "planner", "starts a second", f"{t.STARTS_A_SECOND} / demand.planners.twice"
    ),
    Asked("planner.tasks", "planner", "tasks", f"{t.TASKS_RUNNING} / demand.planners", "running"),
    Asked(
        "planner.reports",
        "planner",
        "reports a second",
        "2 * demand.planner.starts",
        "one with each start and each end; as many end as start",
    ),
    Asked(
        "planner.probes",
        "planner",
        "probes a second",
        f"{t.WORKERS} / 1",
        "to hear of each worker once a second, as up to eight planners do; more planners send none",
    ),
    Asked(
        "planner.owners",
        "owner and client",
        "connections",
        f"{t.TEAMS} * {t.CLIENTS_A_TEAM}",
        f"assumption: {t.CLIENTS_A_TEAM} clients a team, each connected to every planner",
    ),
    Asked(
        "planner.services",
        "planner",
        "services",
        f"{t.TEAMS} * {t.SERVICES_A_TEAM}",
        f"assumption: {t.SERVICES_A_TEAM} services a team",
    ),
]

LIST = [
    Asked(
        "list.changes.mean",
        "list service",
        "changes a second",
        f"2 * ({t.FAILURES_A_DAY} + {t.RESTARTS_A_DAY}) / {t.DAY_S}",
        "each failure and restart takes a worker off the list and puts it there again",
    ),
    Asked(
        "list.changes.rooms",
        "list service",
        "changes a second",
        f"min({t.WORKERS}, 2 * {t.STARTS_A_SECOND} * {t.LIST_PERIOD_S}) / {t.LIST_PERIOD_S}",
        f"each start and end changes a worker's room; told every {t.LIST_PERIOD_S:g} s (assumption), "
        "each change of another worker: an upper bound",
    ),
    Asked(
        "list.changes.rack",
        "list service",
        "workers at once",
        f"{t.RACK_WORKERS} * 1",
        "assumption: 40 a rack",
    ),
    Asked("list.changes.zone", "list service", "workers at once", f"{t.WORKERS} / {t.ZONES}"),
    Asked("list.changes.region", "list service", "workers at once", f"{t.WORKERS} / {t.REGIONS}"),
    Asked(
        "list.catch_up",
        "list service",
        "workers changed",
        f"min({t.WORKERS}, {t.PLANNER_AWAY_S} * demand.list.changes.rooms)",
        f"of a planner that returns after {t.PLANNER_AWAY_S} s (assumption): with rooms, all of them",
    ),
]

CONFIGURATION = [
    Asked(
        "configuration.mean",
        "holder of configuration",
        "changes a second",
        f"{t.CONFIGURATION_CHANGES_A_DAY} / {t.DAY_S}",
    ),
    Asked(
        "configuration.burst",
        "holder of configuration",
        "changes a second",
        f"{t.CONFIGURATION_BURST} * demand.configuration.mean",
        f"assumption: {t.CONFIGURATION_BURST} times the mean, for a minute",
    ),
    Asked(
        "configuration.bytes.mean",
        "holder of configuration",
        "bytes a second",
        f"{t.CONFIGURATION_CHANGE_BYTES} * demand.configuration.mean",
        f"to one planner; assumption: {t.CONFIGURATION_CHANGE_BYTES} bytes a change, told as a delta",
    ),
    Asked(
        "configuration.bytes.burst",
        "holder of configuration",
        "bytes a second",
        f"{t.CONFIGURATION_CHANGE_BYTES} * demand.configuration.burst",
        f"to one planner; assumption: {t.CONFIGURATION_CHANGE_BYTES} bytes a change, told as a delta",
    ),
    Asked(
        "configuration.catch_up",
        "holder of configuration",
        "changes",
        f"{t.PLANNER_AWAY_S} * demand.configuration.mean",
        f"of a planner that returns after {t.PLANNER_AWAY_S} s (assumption)",
    ),
    Asked(
        "control.followers",
        "control machines",
        "planners a machine",
        f"demand.planners / {t.CONTROL_MACHINES}",
        "if planners follow control machines directly",
    ),
]

VOTER = [
    Asked(
        "voter.claims",
        "voter",
        "claims a second",
        f"{t.EXCLUSIVE_SHARE} * {t.STARTS_A_SECOND} / demand.planners",
        "a planner's own; assumption: every task is claimed, the worst case",
    ),
    Asked(
        "voter.cells",
        "voter",
        "cells",
        f"{t.EXCLUSIVE_SHARE} * {t.GANG_MEAN} * {t.JOBS_A_DAY} * 3 / demand.planners",
        f"three replicas, kept a day; assumption: {t.GANG_MEAN} tasks a job, every one claimed",
    ),
]

DOOR = [
    Asked(
        "door.jobs",
        "door and quotas",
        "jobs a second",
        f"{t.JOBS_A_DAY} / {t.DAY_S}",
        f"the mean; each to be held against the quota of one of {t.TEAMS} teams",
    ),
    Asked(
        "door.starts",
        "door and quotas",
        "starts a second",
        f"{t.STARTS_A_SECOND} * 1",
        "at the peak, if quotas count tasks and not jobs",
    ),
]

NEWS = [
    Asked(
        "news.region",
        "regional news of workers",
        "workers",
        f"{t.WORKERS} / {t.REGIONS}",
        "whose news one region has to sum up for the others",
    ),
    Asked(
        "news.bytes",
        "regional news of workers",
        "bytes a second and worker",
        f"{t.BUDGET_TRAFFIC} / {t.WORKERS}",
        "what the whole budget leaves for each worker if a planner hears of all",
    ),
]

ASKED = [*PLANNERS, *STARTS, *LIST, *CONFIGURATION, *VOTER, *DOOR, *NEWS]


def demands(rows: Iterable[Row]) -> list[Demand]:
    """All demands; one whose row has no value yet is left out, with those that rest on it."""
    rows, found = list(rows), []
    for asked in ASKED:
        try:
            value = Known(rows, found).evaluate(asked.arithmetic)
        except MissingError:
            continue
        found.append(Demand(asked.id, asked.role, value, asked.unit, asked.arithmetic, asked.note))
    return found
