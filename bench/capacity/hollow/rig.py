"""The processes of one trial: hollow workers, a list service, owners, and real planners among them."""

import os
import resource
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

from msgspec.structs import replace

from bench.capacity.hollow import lister, owners, workers
from bench.capacity.hollow.children import Child, PlannerProcess, RigError
from bench.capacity.hollow.proc import cpu_seconds
from bench.capacity.hollow.results import Snapshot, Trial
from bench.capacity.hollow.tally import PeerFlows
from bench.capacity.hollow.words import Counts, Restart, Status
from hazelhold.config.load import build, parse, read_text
from hazelhold.config.planner import PlannerConfig as PlannerSheet
from hazelhold.rehearse.crew import config_text as sheet_text

EXAMPLE = Path(__file__).parent.parent.parent.parent / "examples" / "planner.json5"
ZONES = 24
SPARE_DESCRIPTORS = 200
RAISED = ("connect_ms", "reconnect_ms")  # limits that a trial may raise
SECOND = 1_000_000  # microseconds


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
    told = {key: value for key in RAISED if (value := getattr(trial, key))}
    return replace(
        sheet,
        name=f"planner-{number}",
        listen="127.0.0.1:0",
        slot=number,
        planners=trial.told_planners,
        seed=trial.seed + number,
        list=replace(sheet.list, address=list_address),
        limits=replace(sheet.limits, **told),
    )


class Rig:
    """The processes of one trial, from start to end. Use as a context manager."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.stack = ExitStack()
        self.planners: list[PlannerProcess] = []
        self.owners: Child | None = None
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

    def keep(self, child: Child | PlannerProcess) -> Child | PlannerProcess:
        """Has a process ended with the rig."""
        self.stack.callback(child.end)
        return child

    def _start_far_side(self) -> None:
        trial = self.trial
        settings = lister.Settings(self.most_seconds)
        self.lister = self.keep(Child("lister", settings, self.folder, "lister", lister.Answered))
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
            self.hollow.append(self.keep(Child("workers", made, self.folder, f"workers-{first}")))
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
        for number in range(trial.planners):
            file = self.folder / f"planner-{number}.json5"
            file.write_bytes(sheet_text(self.sheet_of(number)))
            made = PlannerProcess(
                f"planner-{number}",
                file,
                self.folder / f"planner-{number}.log",
                self.record_of(f"planner-{number}") if trial.record else None,
            )
            self.planners.append(self.keep(made))
        self.addresses = [planner.started() for planner in self.planners]

    def sheet_of(self, number: int) -> PlannerSheet:
        """What a planner is told."""
        return planner_sheet(self.trial, number, self.list_address)

    def record_of(self, planner: str) -> Path:
        """Where a planner's frames are recorded, if they are."""
        return self.folder / f"{planner}.jsonl"

    def stop_planners(self) -> None:
        """Ends them in good order, so that nothing is under way any more."""
        for planner in self.planners:
            planner.end()

    def start_owners(self) -> None:
        settings = owners.Settings(self.addresses, round(self.trial.task_life * SECOND), self.most_seconds)
        self.owners = self.keep(Child("owners", settings, self.folder, "owners"))
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

    def snapshot(self) -> Snapshot:
        """Counts of all far sides; processor times are read as near to them as can be."""
        cpu = {planner.name: cpu_seconds(planner.pid) for planner in self.planners}
        cpu["list"] = cpu_seconds(self.lister.pid)
        at = time.monotonic()
        owner_counts = self.owners.ask(Status()) if self.owners else Counts(flows={})
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
