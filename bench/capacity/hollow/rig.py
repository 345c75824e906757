"""One trial: so many hollow workers, so many real planners; phases from the first list to a zone's restart.

The phases of a trial, each bounded in time: start (until every worker has answered every planner's roll
call), rest, load (tasks at a stated rate, with starts and ends), restart (a zone of workers comes back with a
new incarnation). Counts are taken by the far side of each planner: workers, list service, owners.
"""

import os
import resource
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

from msgspec import Struct
from msgspec.structs import replace

from bench.capacity.hollow import lister, owners, workers
from bench.capacity.hollow.children import Child, PlannerProcess, RigError
from bench.capacity.hollow.proc import Use, cpu_seconds, use
from bench.capacity.hollow.tally import Flow, PeerFlows, total
from bench.capacity.hollow.words import Counts, Drive, Restart, Status
from hazelhold.config.load import build, parse, read_text
from hazelhold.config.planner import PlannerSheet
from hazelhold.rehearse.crew import sheet_text

EXAMPLE = Path(__file__).parent.parent.parent.parent / "examples" / "planner.json5"
ZONES = 24
LARGE_FRAME = 1 << 23  # bytes: bears the whole list of the target size, which the default does not
SPARE_DESCRIPTORS = 200
KINDS = ("worker", "list", "owner")  # of a planner's connections
SECOND = 1_000_000  # microseconds


class Trial(Struct, frozen=True, kw_only=True):
    """What is run. Times in seconds. `told_planners` is how many planners the planners' file names: at eight
    or fewer the decision module probes every worker. `frame_bytes` 0: the default."""

    workers: int
    planners: int
    told_planners: int
    rate: float = 20.0  # tasks a second submitted to each planner under load
    task_life: float = 5.0
    use_period: float = 8.0
    frame_bytes: int = LARGE_FRAME
    most_start: float = 25.0
    settle: float = 2.0
    rest: float = 8.0
    warm: float = 6.0
    load: float = 8.0
    down: float = 1.0
    most_restart: float = 12.0
    workers_a_process: int = 365
    record: bool = False  # planners write every frame to a file: for tests, since it costs processor time
    seed: int = 1


class Way(Struct, frozen=True):
    """What one planner exchanged with all its peers of one kind: in to the planner, and out of it."""

    incoming: Flow
    outgoing: Flow


class Phase(Struct, kw_only=True):
    """What one planner spent in one phase."""

    seconds: float
    cpu: float  # seconds
    ways: dict[str, Way]  # by kind of connection
    complete: bool = True  # the state that ends the phase was reached within its bound

    def bytes_a_second(self) -> float:
        both = [way.incoming.bytes + way.outgoing.bytes for way in self.ways.values()]
        return sum(both) / self.seconds


class PlannerResult(Struct, kw_only=True):
    """What was seen of one planner. `ready`: workers whose roll call it had at the end of its start."""

    name: str
    ready: int
    start: Phase
    rest: Phase
    load: Phase | None
    restart: Phase | None
    at_rest: Use
    after_load: Use


class ListResult(Struct, kw_only=True):
    """What the list service spent, in all its planners and workers together."""

    start: Phase
    rest: Phase
    restart: Phase
    at_rest: Use


class Result(Struct, kw_only=True):
    """One trial's figures. `submitted` to `refused` count the tasks of all owners."""

    trial: Trial
    planners: list[PlannerResult]
    lister: ListResult
    zone_workers: int
    submitted: int
    placed: int
    ended: int
    refused: int
    hollow_cpu: float  # seconds of all hollow processes in the rest phase, each second
    hollow_resident: int  # bytes of all hollow processes
    load_average: float
    faults: list[str]


class Snapshot(Struct):
    """All counts at one moment."""

    at: float
    cpu: dict[str, float]  # of planners and of the list service
    flows: dict[str, dict[str, PeerFlows]]  # by kind of connection, then by planner
    counts: Counts  # of the owners

    def ways(self, planner: str, since: "Snapshot") -> dict[str, Way]:
        return {kind: self._way(kind, planner, since) for kind in KINDS}

    def _way(self, kind: str, planner: str, since: "Snapshot") -> Way:
        now = self.flows[kind].get(planner, PeerFlows())
        before = since.flows[kind].get(planner, PeerFlows())
        incoming = total(now.sent).minus(total(before.sent))  # what the far side sent came in here
        outgoing = total(now.received).minus(total(before.received))
        return Way(incoming, outgoing)

    def phase(self, planner: str, since: "Snapshot", complete: bool = True) -> Phase:
        return Phase(
            seconds=self.at - since.at,
            cpu=self.cpu[planner] - since.cpu[planner],
            ways=self.ways(planner, since),
            complete=complete,
        )

    def list_phase(self, planners: list[str], since: "Snapshot") -> Phase:
        """The list service's own: in to it, out of it. Workers' processes count as kind `worker`."""
        ways = {"owner": Way(Flow(), Flow())}
        for kind in ("list", "worker"):
            received, sent = Flow(), Flow()
            for name, peer in self.flows["list"].items():
                if (name in planners) != (kind == "list"):
                    continue
                before = since.flows["list"].get(name, PeerFlows())
                received.add(total(peer.received).minus(total(before.received)))
                sent.add(total(peer.sent).minus(total(before.sent)))
            ways[kind] = Way(received, sent)
        return Phase(seconds=self.at - since.at, cpu=self.cpu["list"] - since.cpu["list"], ways=ways)


def refusal(trial: Trial) -> str:
    """Why this machine cannot hold the trial; empty if it can."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    needed = trial.workers + SPARE_DESCRIPTORS
    if needed > limit:
        return f"a planner needs {needed} descriptors, {limit} are allowed"
    hollow = trial.workers_a_process * (trial.planners + 1) + SPARE_DESCRIPTORS
    if hollow > limit:
        return f"a hollow process needs {hollow} descriptors, {limit} are allowed"
    return ""


def planner_sheet(trial: Trial, number: int, list_address: str) -> PlannerSheet:
    """The example's planner, on ports of the rig."""
    sheet = build(PlannerSheet, parse(read_text(EXAMPLE), str(EXAMPLE)), str(EXAMPLE))
    limits = sheet.limits
    if trial.frame_bytes:
        limits = replace(limits, frame_bytes=trial.frame_bytes)
    return replace(
        sheet,
        name=f"planner-{number}",
        listen="127.0.0.1:0",
        slot=number,
        planners=trial.told_planners,
        seed=trial.seed + number,
        list=replace(sheet.list, address=list_address),
        limits=limits,
    )


class Rig:
    """The processes of one trial, from start to end. Use as a context manager."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.stack = ExitStack()
        spans = (trial.most_start, trial.settle, trial.rest, trial.warm, trial.load, trial.most_restart)
        self.most_seconds = sum(spans) + 60

    def __enter__(self) -> "Rig":
        with self.stack:
            self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
            self._start_far_side()
            self.stack = self.stack.pop_all()
        return self

    def __exit__(self, *raised: object) -> None:
        self.stack.close()

    def _keep(self, child: Child | PlannerProcess) -> Child | PlannerProcess:
        self.stack.callback(child.end)
        return child

    def _start_far_side(self) -> None:
        trial = self.trial
        settings = lister.Settings(self.most_seconds)
        self.lister = self._keep(Child("lister", settings, self.folder, "lister", lister.Answered))
        self.list_address = self.lister.started().address
        port = 20_000 + os.getpid() % 10_000  # below the ports that dialling takes
        self.hollow: list[Child] = []
        for first in range(0, trial.workers, trial.workers_a_process):
            made = workers.Settings(
                first=first,
                count=min(trial.workers_a_process, trial.workers - first),
                zones=ZONES,
                port=port,
                lister=self.list_address,
                task_life=round(trial.task_life * SECOND),
                use_period=round(trial.use_period * SECOND),
                most_seconds=self.most_seconds,
            )
            self.hollow.append(self._keep(Child("workers", made, self.folder, f"workers-{first}")))
        for child in self.hollow:
            child.started()
        if not self.until(lambda: self.lister.ask(Status()).entries == trial.workers, 10.0):
            raise RigError("the list service did not hear of all workers")

    def until(self, reached: Callable[[], bool], most: float) -> bool:
        """Waits for it; false if it was not reached in so many seconds."""
        ends = time.monotonic() + most
        while not reached():
            if time.monotonic() > ends:
                return False
            time.sleep(0.2)
        return True

    def start_planners(self) -> None:
        trial = self.trial
        self.planners: list[PlannerProcess] = []
        for number in range(trial.planners):
            file = self.folder / f"planner-{number}.json5"
            file.write_bytes(sheet_text(planner_sheet(trial, number, self.list_address)))
            made = PlannerProcess(
                f"planner-{number}",
                file,
                self.folder / f"planner-{number}.log",
                self.record_of(f"planner-{number}") if trial.record else None,
            )
            self.planners.append(self._keep(made))
        self.addresses = [planner.started() for planner in self.planners]

    def record_of(self, planner: str) -> Path:
        """Where a planner's frames are recorded, if they are."""
        return self.folder / f"{planner}.jsonl"

    def stop_planners(self) -> None:
        """Ends them in good order, so that nothing is under way any more."""
        for planner in self.planners:
            planner.end()

    def start_owners(self) -> None:
        settings = owners.Settings(self.addresses, round(self.trial.task_life * SECOND), self.most_seconds)
        self.owners = self._keep(Child("owners", settings, self.folder, "owners"))
        self.owners.started()

    def names(self) -> list[str]:
        return [planner.name for planner in self.planners]

    def hollow_counts(self) -> Counts:
        """All hollow processes' counts as one."""
        for child in self.hollow:
            child.tell(Status())
        result = Counts(flows={})
        for child in self.hollow:
            merge(result, child.answer())
        return result

    def all_ready(self) -> bool:
        """Whether every planner has the roll call of every worker's present life."""
        ready = self.hollow_counts().ready
        return all(ready.get(name, 0) == self.trial.workers for name in self.names())

    def snapshot(self, owned: bool = True) -> Snapshot:
        """Counts of all far sides; processor times are read as near to them as can be."""
        cpu = {planner.name: cpu_seconds(planner.pid) for planner in self.planners}
        cpu["list"] = cpu_seconds(self.lister.pid)
        at = time.monotonic()
        owner_counts = self.owners.ask(Status()) if owned else Counts(flows={})
        flows = {
            "worker": self.hollow_counts().flows,
            "list": self.lister.ask(Status()).flows,
            "owner": owner_counts.flows,
        }
        return Snapshot(at, cpu, flows, owner_counts)

    def restart_zone(self, zone: int) -> None:
        for child in self.hollow:
            child.tell(Restart(zone, round(self.trial.down * SECOND)))
        for child in self.hollow:
            child.answer()

    def logged(self) -> list[str]:
        """What the planners logged as warnings, a few of each."""
        found = []
        for planner in self.planners:
            lines = planner.log.read_text(errors="replace").splitlines()
            found += [line for line in lines if '"warning"' in line or "list_left" in line][:3]
        return found


def merge(into: Counts, more: Counts) -> None:
    for peer, flows in more.flows.items():
        into.flows.setdefault(peer, PeerFlows()).add(flows)
    into.faults += more.faults
    into.restarts += more.restarts
    for mine, theirs in ((into.ready, more.ready), (into.held, more.held)):
        for peer, count in theirs.items():
            mine[peer] = mine.get(peer, 0) + count


def run(trial: Trial) -> Result:
    """Runs one trial; RigError if the rig itself fails, or if the machine cannot hold it."""
    if reason := refusal(trial):
        raise RigError(reason)
    with Rig(trial) as rig:
        return play(rig, trial)


def play(rig: Rig, trial: Trial) -> Result:
    """The phases in their order."""
    rig.planners, rig.owners = [], None
    nothing = replace(rig.snapshot(owned=False), cpu={"list": cpu_seconds(rig.lister.pid)})
    rig.start_planners()
    nothing.cpu |= dict.fromkeys(rig.names(), 0.0)
    linked = rig.until(rig.all_ready, trial.most_start)
    started = rig.snapshot(owned=False)
    ready = rig.hollow_counts().ready
    rig.start_owners()
    time.sleep(trial.settle)

    hollow_before = sum(cpu_seconds(child.pid) for child in rig.hollow)
    before_rest = rig.snapshot()
    time.sleep(trial.rest)
    rested = rig.snapshot()
    hollow_spent = sum(cpu_seconds(child.pid) for child in rig.hollow) - hollow_before
    at_rest = {planner.name: use(planner.pid) for planner in rig.planners}
    list_use = use(rig.lister.pid)

    rig.owners.ask(Drive(trial.rate))
    time.sleep(trial.warm)
    before_load = rig.snapshot()
    time.sleep(trial.load)
    loaded = rig.snapshot()
    after_load = {planner.name: use(planner.pid) for planner in rig.planners}
    rig.owners.ask(Drive(0.0))
    time.sleep(trial.task_life + 0.5)

    before_restart = rig.snapshot()
    rig.restart_zone(0)
    time.sleep(trial.down + 0.2)
    returned = rig.until(rig.all_ready, trial.most_restart)
    restarted = rig.snapshot()
    far_side = rig.hollow_counts()
    found = [
        PlannerResult(
            name=name,
            ready=ready.get(name, 0),
            start=started.phase(name, nothing, linked),
            rest=rested.phase(name, before_rest),
            load=loaded.phase(name, before_load),
            restart=restarted.phase(name, before_restart, returned),
            at_rest=at_rest[name],
            after_load=after_load[name],
        )
        for name in rig.names()
    ]
    ends = restarted.counts
    return Result(
        trial=trial,
        planners=found,
        lister=ListResult(
            start=started.list_phase(rig.names(), nothing),
            rest=rested.list_phase(rig.names(), before_rest),
            restart=restarted.list_phase(rig.names(), before_restart),
            at_rest=list_use,
        ),
        zone_workers=far_side.restarts,
        submitted=ends.submitted,
        placed=ends.placed,
        ended=ends.ended,
        refused=ends.refused,
        hollow_cpu=hollow_spent / trial.rest,
        hollow_resident=sum(use(child.pid).resident for child in rig.hollow),
        load_average=os.getloadavg()[0],
        faults=far_side.faults[:20] + rig.logged(),
    )
