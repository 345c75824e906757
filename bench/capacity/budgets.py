"""The budgets of each role, and the arithmetic of what it spends at the target size: slope times demand."""

from bench.capacity import target as t
from bench.capacity.budgets_configuration import CONFIGURATION
from bench.capacity.budgets_planner import CORE, MEMORY, PLANNER, REGION, TRAFFIC, W
from bench.capacity.held import Held
from hazelhold.protocol.frames import MAX_LIST_FRAME

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

PEERS = [
    Held(
        "worker",
        "connections",
        t.BUDGET_DESCRIPTORS,
        "descriptors",
        "demand.planners * 1",
        "one to each planner; the budget is the usual soft limit of a process",
    ),
    Held(
        "owner and client",
        "connections",
        t.BUDGET_DESCRIPTORS,
        "descriptors",
        "demand.planners * 1",
        "one to each planner, of each client; the budget is the usual soft limit of a process",
    ),
    Held(
        "owner and client",
        "processor time of a planner when all return at once",
        1,
        "s",
        "planner.owner.cpu@256 / 256 * demand.planner.owners",
        "greeting them; the budget, one second, is an assumption",
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
        "max(0, voter.process.starts.cpu@4 - voter.process.starts.cpu.without@4) * demand.voter.claims",
        "what a task with its claim costs all planners more than one without, shared evenly",
    ),
    Held(
        "voter",
        "traffic: real processes",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "2 * voter.process.starts.bytes@4 * demand.voter.claims",
        "from claim to end of a task; each byte is sent by one planner and received by another",
    ),
    Held(
        "voter",
        "processor time: modules alone",
        t.BUDGET_PROCESSOR,
        CORE,
        "voter.claim.cpu@16000 / 16000 * demand.voter.claims",
        "its own claims' messages and its votes on others'; without sockets and disk",
    ),
    Held(
        "voter",
        "traffic: first change of a claim",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "2 * voter.claim.bytes.slope * demand.voter.claims",
        "each message is sent by one planner and received by another",
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

REFUSALS = "every start of the peak refused: a planner's share of them; admission control alone"
DOOR = [
    Held(
        "door and quotas",
        "processor time: refusals",
        t.BUDGET_PROCESSOR,
        CORE,
        "door.refused.cpu@10000 / 10000 * demand.planner.starts",
        REFUSALS,
    ),
    Held(
        "door and quotas",
        "traffic: refusals",
        t.BUDGET_TRAFFIC,
        TRAFFIC,
        "door.refused.bytes@10000 / 10000 * demand.planner.starts",
        REFUSALS,
    ),
    Held(
        "door and quotas",
        "memory: refusals",
        t.BUDGET_MEMORY,
        MEMORY,
        "door.refused.memory@10000 * 1",
        "of as many as are remembered at most, beside the planner's own",
    ),
]

HELD = [*PLANNER, *PEERS, *REGION, *LIST, *MEMBER, *VOTER, *CONFIGURATION, *DOOR, *ABSENT]
