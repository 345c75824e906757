"""The budgets of a planner, and the arithmetic of what it spends: modules, process, one region alone."""

from bench.capacity import target as t
from bench.capacity.held import Held

W = t.WORKERS
CORE, MEMORY, TRAFFIC = "of a core", "bytes", "bytes a second"

DECISIONS = f"planner.decisions.cpu.64@{W} * demand.planner.starts"
KEPT_TASKS = "planner.state.commit.cpu@6400 / 6400 * demand.planner.starts"
KEPT_LIST = f"planner.state.list.cpu@{W} / {t.LIST_PERIOD_S}"
ORDER = (
    f"planner.list_change.cpu@{W} * min(demand.planner.services * demand.list.changes.mean, "
    "demand.planner.starts)"
)
LIST_WITH_ROOMS = (
    f"planner.list_told.cpu@{round(2 * t.STARTS_A_SECOND * t.LIST_PERIOD_S)} / {t.LIST_PERIOD_S}"
)

PLANNER = [
    Held(
        "planner",
        "processor time: starts, the whole process",
        t.BUDGET_PROCESSOR,
        CORE,
        "demand.planner.start.cpu * demand.planner.starts",
        "at the peak; falls under the budget only if starts are control, which the operators did not tell",
    ),
    Held(
        "planner",
        "processor time: starts, half as many planners",
        t.BUDGET_PROCESSOR,
        CORE,
        "demand.planner.start.cpu * demand.planner.starts.half",
    ),
    Held(
        "planner",
        "processor time: starts, twice as many planners",
        t.BUDGET_PROCESSOR,
        CORE,
        "demand.planner.start.cpu * demand.planner.starts.twice",
    ),
    Held(
        "planner",
        "processor time: at rest, the whole process",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.process.rest.cpu@{W} * 1",
        "every worker connected, no probes, a list without rooms",
    ),
    Held(
        "planner",
        "processor time: decisions",
        t.BUDGET_PROCESSOR,
        CORE,
        DECISIONS,
        "at the peak of starts; the module alone",
    ),
    Held(
        "planner",
        "processor time: decisions, half as many planners",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.decisions.cpu.64@{W} * demand.planner.starts.half",
    ),
    Held(
        "planner",
        "processor time: decisions, twice as many planners",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.decisions.cpu.64@{W} * demand.planner.starts.twice",
    ),
    Held(
        "planner",
        "processor time: kept state",
        t.BUDGET_PROCESSOR,
        CORE,
        KEPT_TASKS,
        "three commits a task, not shared",
    ),
    Held(
        "planner",
        "processor time: kept state, list with rooms",
        t.BUDGET_PROCESSOR,
        CORE,
        KEPT_LIST,
        "the list is kept whole once for each message of the list",
    ),
    Held(
        "planner",
        "processor time: order of workers after changes of the list",
        t.BUDGET_PROCESSOR,
        CORE,
        ORDER,
        "each service orders all workers anew once after each worker that comes or goes",
    ),
    Held(
        "planner",
        "processor time: order of workers, a region's return",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.list_change.cpu@{W} * demand.planner.starts",
        "while workers come and go all the time, each start orders all workers anew",
    ),
    Held(
        "planner",
        "processor time: list with rooms",
        t.BUDGET_PROCESSOR,
        CORE,
        LIST_WITH_ROOMS,
        "hearing each period's changed rooms",
    ),
    Held(
        "planner",
        "processor time: all modules together",
        t.BUDGET_PROCESSOR,
        CORE,
        " + ".join([DECISIONS, KEPT_TASKS, KEPT_LIST, ORDER, LIST_WITH_ROOMS]),
        "decisions, kept state, order of workers and list; without sockets",
    ),
    Held(
        "planner",
        "processor time: probes, as up to eight planners send them",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.probes.cpu@{W} * 1",
        "choosing alone; more than eight planners send none and hear of their own workers only",
    ),
    Held(
        "planner",
        "memory: the whole process",
        t.BUDGET_MEMORY,
        MEMORY,
        f"planner.process.memory.load@{W} * 1",
        "resident, every worker connected, under starts",
    ),
    Held(
        "planner",
        "memory: without sockets and their tasks",
        t.BUDGET_MEMORY,
        MEMORY,
        f"planner.idle.memory@1 + planner.engine.memory@{W} "
        "+ planner.task.memory.slope * demand.planner.tasks "
        "+ planner.owner.memory.slope * demand.planner.owners",
        "interpreter and libraries, all workers listed and connected, running tasks, owners",
    ),
    Held(
        "planner",
        "traffic: starts, the whole process",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        f"planner.process.load.bytes@{W} * demand.planner.starts / 20",
        "workers, owners and a list without rooms; measured at 20 starts a second",
    ),
    Held(
        "planner",
        "traffic: list, workers that fail or restart",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        f"list.change.bytes@{W} * demand.list.changes.mean",
        "each told alone",
    ),
    Held(
        "planner",
        "traffic: list with rooms",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "list.return.bytes.slope * demand.list.changes.rooms",
        "what a list with has_room costs; one that tells no rooms costs what failures and restarts do",
    ),
    Held(
        "planner",
        "traffic: worst second, a rack returns",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "list.return.bytes.slope * demand.list.changes.rack",
        "the operators did not tell whether the budget holds for each second or for a mean",
    ),
    Held(
        "planner",
        "traffic: worst second, a zone returns",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "list.return.bytes.slope * demand.list.changes.zone",
    ),
    Held(
        "planner",
        "traffic: worst second, a region returns",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "list.return.bytes.slope * demand.list.changes.region",
    ),
    Held(
        "planner",
        "traffic: probes, as up to eight planners send them",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        f"planner.probe.bytes@{W} * demand.planner.probes",
        "both ways; without TCP and IP headers",
    ),
    Held(
        "planner",
        "catch-up: seconds of the traffic budget that the whole list takes",
        t.PLANNER_AWAY_S,
        "s",
        f"list.whole.bytes@{W} / {t.BUDGET_TRAFFIC}",
        "of a planner that returns; assumption: it may take as long as the planner was away",
    ),
    Held(
        "planner",
        "catch-up: seconds of the processor budget that the list and all connections take",
        t.PLANNER_AWAY_S,
        "s",
        f"planner.process.start.cpu@{W} / {t.BUDGET_PROCESSOR}",
        "of a planner that returns; assumption: it may take as long as the planner was away",
    ),
    Held(
        "planner",
        "descriptors",
        t.BUDGET_PLANNER_DESCRIPTORS,
        "descriptors",
        f"planner.process.descriptors@{W} + demand.planner.owners",
        "a connection to each worker after the first list; the planner raises its soft limit to the hard "
        "one, for which the budget takes systemd's default",
    ),
]

REGION = [
    Held(
        "planner",
        "memory: the whole process, workers of one region alone",
        t.BUDGET_MEMORY,
        MEMORY,
        f"planner.process.region.memory.load@{t.WORKERS // t.REGIONS} * 1",
    ),
    Held(
        "planner",
        "processor time: at rest, workers of one region alone, eight planners that probe",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.process.region.rest.cpu@{t.WORKERS // t.REGIONS} * 1",
        "eight planners a region probe each of its workers once a second",
    ),
    Held(
        "planner",
        "traffic: at rest, workers of one region alone, eight planners that probe",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        f"planner.process.region.rest.bytes@{t.WORKERS // t.REGIONS} * 1",
    ),
]
