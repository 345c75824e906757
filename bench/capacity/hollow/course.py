"""One trial: so many hollow workers, so many real planners; phases from the first list to a zone's restart.

The phases of a trial, each bounded in time: start (until every worker has answered every planner's roll
call), rest, load (tasks at a stated rate, with starts and ends), restart (a zone of workers comes back with a
new incarnation). Counts are taken by the far side of each planner: workers, list service, owners.
"""

import os
import time
from typing import NamedTuple

from bench.capacity.hollow.children import SizeRefusedError
from bench.capacity.hollow.messages import Drive, Status
from bench.capacity.hollow.proc import Use, cpu_seconds, use
from bench.capacity.hollow.results import ListResult, PlannerResult, Result, Snapshot, Trial
from bench.capacity.hollow.rig import Rig, refusal


def run(trial: Trial) -> Result:
    """Runs one trial; SizeRefusedError if the machine cannot hold it, RigError if the rig fails."""
    if reason := refusal(trial):
        raise SizeRefusedError(reason)
    with Rig(trial) as rig:
        course = Course(rig)
        course.start()
        if not trial.start_only:
            course.rest()
            course.load()
            course.restart()
        return course.result()


class Span(NamedTuple):
    """A phase between two snapshots, with what the kernel told of each process at its end."""

    before: Snapshot
    after: Snapshot
    complete: bool
    uses: dict[str, Use]


class Course:
    """The phases of a trial, in their order."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.trial = rig, rig.trial
        self.spans: dict[str, Span] = {}
        self.ready: dict[str, int] = {}

    def start(self) -> None:
        """From nothing to all links ready, or to the bound."""
        rig = self.rig
        before = rig.snapshot()
        rig.start_planners()
        before.cpu |= dict.fromkeys(rig.names(), 0.0)
        linked = rig.until(rig.all_ready, self.trial.most_start)
        self._note("start", before, linked)
        self.ready = rig.hollow_counts().ready
        rig.start_owners()
        time.sleep(self.trial.settle)

    def rest(self) -> None:
        before = self.rig.snapshot()
        time.sleep(self.trial.rest)
        self._note("rest", before)

    def load(self) -> None:
        self.rig.owners.ask(Drive(self.trial.rate))
        time.sleep(self.trial.warm)
        before = self.rig.snapshot()
        time.sleep(self.trial.load)
        self._note("load", before)
        self.rig.owners.ask(Drive(0.0))
        time.sleep(self.trial.task_life + 0.5)

    def restart(self) -> None:
        rig = self.rig
        before = rig.snapshot()
        rig.restart_zone(0)
        time.sleep(self.trial.down + 0.2)
        returned = rig.until(rig.all_ready, self.trial.most_restart)
        self._note("restart", before, returned)

    def _note(self, name: str, before: Snapshot, complete: bool = True) -> None:
        rig = self.rig
        after = rig.snapshot()
        uses = {planner.name: use(planner.pid) for planner in rig.planners}
        uses["list"] = use(rig.lister.pid)
        self.spans[name] = Span(before, after, complete, uses)

    def result(self) -> Result:
        rig = self.rig
        far_side = rig.hollow_counts()
        ends = rig.owners.ask(Status())
        return Result(
            trial=self.trial,
            planners=[self._planner(name) for name in rig.names()],
            lister=ListResult(
                phases={
                    phase: span.after.list_phase(rig.names(), span.before)
                    for phase, span in self.spans.items()
                },
                uses={phase: span.uses["list"] for phase, span in self.spans.items()},
            ),
            zone_workers=far_side.restarts,
            submitted=ends.submitted,
            placed=ends.placed,
            ended=ends.ended,
            refused=ends.refused,
            hollow_cpu=sum(cpu_seconds(child.pid) for child in rig.hollow),
            hollow_resident=sum(use(child.pid).resident for child in rig.hollow),
            load_average=os.getloadavg()[0],
            faults=far_side.faults[:20] + rig.logged(),
        )

    def _planner(self, name: str) -> PlannerResult:
        return PlannerResult(
            name=name,
            workers=self.trial.workers,
            ready=self.ready.get(name, 0),
            phases={
                phase: span.after.phase(name, span.before, span.complete)
                for phase, span in self.spans.items()
            },
            uses={phase: span.uses[name] for phase, span in self.spans.items()},
        )
