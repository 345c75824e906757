"""One trial of membership: a real planner process with membership on, among hollow members; nothing else."""

import socket
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from msgspec import Struct
from msgspec.structs import replace

from bench.capacity.hollow import members
from bench.capacity.hollow.children import Child, PlannerProcess
from bench.capacity.hollow.proc import Use, cpu_seconds, use
from bench.capacity.hollow.results import Trial
from bench.capacity.hollow.rig import planner_sheet
from bench.capacity.hollow.tally import Flow, PeerFlows, total
from bench.capacity.hollow.words import Counts, Status
from hazelhold.config.planner import ListConfig as ListSheet
from hazelhold.config.planner import MembershipConfig as MembershipSheet
from hazelhold.config.planner import PlannerConfig as PlannerSheet
from hazelhold.rehearse.crew import config_text as sheet_text
from hazelhold.rehearse.ports import free_ports

NAME = "planner-0"
ZONES = 24
A_PROCESS = 64  # members of one hollow process
SETTLE = 12.0  # seconds after everybody knows the planner: joining is over
MOST_JOIN = 20.0
SPAN = 10.0  # seconds that are measured


class MemberResult(Struct, kw_only=True):
    """What the planner spent on membership. `knowing`: hollow members that hold it alive at the end."""

    members: int
    knowing: int
    seconds: float
    cpu: float
    incoming: Flow
    outgoing: Flow
    at_rest: Use


def sheet(on: MembershipSheet) -> PlannerSheet:
    """A planner with nothing to do: its list service does not exist."""
    trial = Trial(workers=0, planners=1, told_planners=1)
    return replace(
        planner_sheet(trial, 0, "127.0.0.1:1"),
        list=ListSheet(address="127.0.0.1:1", asked=False),
        membership=on,
    )


def run(count: int, settle: float = SETTLE, span: float = SPAN) -> MemberResult:
    """A planner and `count - 1` hollow members."""
    addresses = [f"127.0.0.1:{port}" for port in free_ports(count, socket.SOCK_DGRAM)]
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        hollow = start_members(addresses, folder, stack, settle + span + MOST_JOIN + 60)
        file = folder / "planner.json5"
        on = MembershipSheet(listen=addresses[0], seeds=addresses[1:4])
        file.write_bytes(sheet_text(sheet(on)))
        planner = PlannerProcess(NAME, file, folder / "planner.log")
        stack.callback(planner.end)
        planner.started()
        ends = time.monotonic() + MOST_JOIN
        while ask(hollow).ready.get(NAME, 0) < count - 1 and time.monotonic() < ends:
            time.sleep(0.2)
        time.sleep(settle)
        return measure(planner, hollow, count, span)


def start_members(addresses: list[str], folder: Path, stack: ExitStack, most: float) -> list[Child]:
    """The hollow members, in processes of A_PROCESS each; the first address is the planner's."""
    hollow = []
    for first in range(1, len(addresses), A_PROCESS):
        part = addresses[first : first + A_PROCESS]
        names = [f"planner-{number}" for number in range(first, first + len(part))]
        settings = members.Settings(names, part, addresses[1:4], ZONES, NAME, addresses[0], most)
        hollow.append(Child("members", settings, folder, f"members-{first}"))
        stack.callback(hollow[-1].end)
    for child in hollow:
        child.started()
    return hollow


def ask(hollow: list[Child]) -> Counts:
    """All hollow members' counts as one."""
    for child in hollow:
        child.tell(Status())
    result = Counts(flows={NAME: PeerFlows()})
    for child in hollow:
        counts = child.answer()
        result.flows[NAME].add(counts.flows[NAME])
        result.ready[NAME] = result.ready.get(NAME, 0) + counts.ready[NAME]
    return result


def measure(planner: PlannerProcess, hollow: list[Child], count: int, span: float) -> MemberResult:
    before, began, spent = ask(hollow).flows[NAME], time.monotonic(), cpu_seconds(planner.pid)
    time.sleep(span)
    cpu, seconds = cpu_seconds(planner.pid) - spent, time.monotonic() - began
    after = ask(hollow)
    flows = after.flows[NAME]
    return MemberResult(
        members=count,
        knowing=after.ready[NAME],
        seconds=seconds,
        cpu=cpu,
        incoming=total(flows.sent).minus(total(before.sent)),
        outgoing=total(flows.received).minus(total(before.received)),
        at_rest=use(planner.pid),
    )
