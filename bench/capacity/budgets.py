"""The budgets of each role, and the arithmetic of what it spends at the target size: slope times demand."""

from bench.capacity import target as t
from bench.capacity.budgets_configuration import CONFIGURATION
from bench.capacity.held import Held
from hazelhold.protocol.frames import MAX_LIST_FRAME

W = t.WORKERS
CORE, MEMORY, TRAFFIC = "of a core", "bytes", "bytes a second"

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
        f"planner.decisions.cpu.64@{W} * demand.planner.starts",
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
        "planner.state.commit.cpu@6400 / 6400 * demand.planner.starts",
        "three commits a task, not shared",
    ),
    Held(
        "planner",
        "processor time: kept state, list with rooms",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.state.list.cpu@{W} / {t.LIST_PERIOD_S}",
        "the list is kept whole once for each message of the list",
    ),
    Held(
        "planner",
        "processor time: order of workers after changes of the list",
        t.BUDGET_PROCESSOR,
        CORE,
        f"planner.list_change.cpu@{W} * min(demand.planner.services * demand.list.changes.mean, "
        "demand.planner.starts)",
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
        f"planner.list_told.cpu@{round(2 * t.STARTS_A_SECOND * t.LIST_PERIOD_S)} / {t.LIST_PERIOD_S}",
        "hearing each period's changed rooms",
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
        "descriptors",
        t.BUDGET_DESCRIPTORS,
        "descriptors",
        f"planner.process.descriptors@{W} + demand.planner.owners",
        "a connection to each worker after the first list; the budget is the usual soft limit of a process",
    ),
]

LIST = [
    Held(
        "list service",
        "frame of the whole list",
        MAX_LIST_FRAME,
        MEMORY,
        f"list.whole.bytes@{W} * 1",
        "list.frame_bytes by default; of the 1 MiB of other frames it is more",
    ),
    Held(
        "list service",
        "processor time: list with rooms to all planners",
        t.CONTROL_MACHINES,
        "cores",
        f"list.whole.cpu@{W} / {W} * demand.list.changes.rooms * demand.planners",
        "making and encoding; assumption: one core of each control machine",
    ),
    Held(
        "list service",
        "traffic: list with rooms to all planners",
        t.BUDGET_TRAFFIC * t.PLANNERS,
        TRAFFIC,
        "list.return.bytes.slope * demand.list.changes.rooms * demand.planners",
        "held against the budgets of all planners together",
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

MEMBER = [
    Held(
        "member",
        "processor time",
        t.BUDGET_PROCESSOR,
        CORE,
        f"member.process.cpu@{t.PLANNERS} * 1",
        "at rest, of the whole planner's process",
    ),
    Held(
        "member",
        "traffic",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        f"member.process.bytes@{t.PLANNERS} * 1",
        "at rest, both ways, without UDP and IP headers",
    ),
    Held(
        "member",
        "traffic, twice as many planners",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        f"member.process.bytes@{2 * t.PLANNERS} * 1",
    ),
    Held(
        "member",
        "memory",
        t.BUDGET_MEMORY,
        MEMORY,
        f"member.memory@{t.PLANNERS} * 1",
        "beside the planner's own",
    ),
]

VOTER = [
    Held(
        "voter",
        "processor time: real processes",
        t.BUDGET_PROCESSOR,
        CORE,
        "max(0, voter.process.cpu@24 - voter.process.cpu.without@24) * demand.voter.claims",
        "what a task with its claim costs all planners more than one without, shared evenly",
    ),
    Held(
        "voter",
        "traffic: real processes",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "2 * voter.process.bytes@24 * demand.voter.claims",
        "from claim to end of a task; each byte is sent by one planner and received by another",
    ),
    Held(
        "voter",
        "processor time: modules alone",
        t.BUDGET_PROCESSOR,
        CORE,
        "voter.claim.cpu@16000 / 16000 * demand.voter.claims",
        "its own claims' words and its votes on others'; without sockets and disk",
    ),
    Held(
        "voter",
        "traffic: first change of a claim",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "2 * voter.claim.bytes.slope * demand.voter.claims",
        "each word is sent by one planner and received by another",
    ),
    Held(
        "voter",
        "memory",
        t.BUDGET_MEMORY,
        MEMORY,
        "voter.cell.memory.slope * demand.voter.cells",
        "beside the planner's own",
    ),
]

NONE = "none: the program has no mechanism for it"
ABSENT = [
    Held("door and quotas", "processor time", t.BUDGET_PROCESSOR, CORE, note=NONE),
    Held("regional news of workers", "traffic to a planner", t.BUDGET_TRAFFIC, TRAFFIC, note=NONE),
]

HELD = [*PLANNER, *REGION, *LIST, *MEMBER, *VOTER, *CONFIGURATION, *ABSENT]
