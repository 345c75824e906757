"""One trial of claims: real planners that agree on each task that must not run twice, among hollow workers.

The same planners first start tasks that may run twice, for which nothing is agreed, at the same rate: what
claims cost is the difference.
"""

import time
from pathlib import Path

from msgspec import Struct
from msgspec.structs import replace

from bench.capacity.hollow import owners, relay
from bench.capacity.hollow.children import Child, SizeRefusedError
from bench.capacity.hollow.messages import Counts, Drive, Status
from bench.capacity.hollow.proc import cpu_seconds
from bench.capacity.hollow.results import Trial
from bench.capacity.hollow.rig import SECOND, Rig
from bench.capacity.hollow.tally import Flow, total
from hazelhold.config.planner import PlannerConfig, ReplicaPlannerConfig, ReplicationConfig
from hazelhold.rehearse.ports import free_ports
from hazelhold.replica.votes import found
from hazelhold.state.disk import RealDisk

REPLICAS = 3
REPEATABLE, ONCE = "till-import", "payout-run"  # products of the example


class Load(Struct, kw_only=True):
    """What one kind of task cost all planners together. Processor time in seconds."""

    submitted: int
    placed: int
    refused: int
    reasons: dict[str, int]
    seconds: float
    cpu: float
    said: Flow  # between the planners, both ways


class ClaimResult(Struct, kw_only=True):
    """The two loads of a trial."""

    planners: int
    repeatable: Load
    once: Load


class ClaimRig(Rig):
    """A rig whose planners have claims on, and reach each other through a relay that counts."""

    def start_relay(self) -> None:
        port = free_ports(1)[0]
        self.listens = {f"planner-{n}": f"127.2.0.{n + 1}:{port}" for n in range(self.trial.planners)}
        settings = relay.Settings(self.listens, self.most_seconds)
        self.relay = self.keep(Child("relay", settings, self.folder, "relay", relay.Relays))
        self.reach = self.relay.started().addresses

    def config_of(self, number: int) -> PlannerConfig:
        config = super().config_of(number)
        folder = self.folder / f"votes-{number}"
        copies = ReplicationConfig(
            listen=self.listens[config.name],
            folder=str(folder),
            planners=[
                ReplicaPlannerConfig(name, address, f"z{n}")
                for n, (name, address) in enumerate(self.listens.items())
            ],
            replicas=REPLICAS,
            reach={name: address for name, address in self.reach.items() if name != config.name},
        )
        found(RealDisk(Path(folder)), config.name, copies, time.time_ns() // 1000)
        return replace(config, copies=copies)

    def owners_of(self, product: str) -> Child:
        settings = owners.Settings(
            self.addresses,
            round(self.trial.task_life * SECOND),
            self.most_seconds,
            product=product,
            prefix=product,
        )
        child = self.keep(Child("owners", settings, self.folder, f"owners-{product}"))
        child.started()
        return child

    def said(self) -> Flow:
        """All that planners said to each other."""
        result = Flow()
        for flows in self.relay.ask(Status()).flows.values():
            result.add(total(flows.received))
            result.add(total(flows.sent))
        return result

    def cpu(self) -> float:
        return sum(cpu_seconds(planner.pid) for planner in self.planners)


def run(trial: Trial) -> ClaimResult:
    """Runs one trial; SizeRefusedError if not all links are ready in time."""
    with ClaimRig(trial) as rig:
        rig.start_relay()
        rig.start_planners()
        if not rig.until(rig.all_ready, trial.most_start):
            raise SizeRefusedError(f"not all links ready after {trial.most_start:g} s")
        time.sleep(trial.settle)
        return ClaimResult(planners=trial.planners, repeatable=drive(rig, REPEATABLE), once=drive(rig, ONCE))


def drive(rig: ClaimRig, product: str) -> Load:
    """Tasks of one product at the trial's rate, from the first to the last's end."""
    child, trial = rig.owners_of(product), rig.trial
    began, cpu, said = time.monotonic(), rig.cpu(), rig.said()
    child.ask(Drive(trial.rate))
    time.sleep(trial.load)
    child.ask(Drive(0.0))
    time.sleep(trial.task_life + 1.0)
    counts: Counts = child.ask(Status())
    return Load(
        submitted=counts.submitted,
        placed=counts.placed,
        refused=counts.refused,
        reasons=counts.reasons,
        seconds=time.monotonic() - began,
        cpu=rig.cpu() - cpu,
        said=rig.said().minus(said),
    )
