"""What a trial is asked to be, and the figures that come of it."""

from msgspec import Struct

from bench.capacity.hollow.messages import Counts
from bench.capacity.hollow.proc import Use
from bench.capacity.hollow.tally import Flow, PeerFlows, total

LONG_DIAL = 20_000.0  # milliseconds: bears the dials to all workers at once, which the default does not
KINDS = ("worker", "list", "owner")  # of a planner's connections
PHASES = ("start", "rest", "load", "restart")


class Trial(Struct, frozen=True, kw_only=True):
    """What is run. Times in seconds. `told_planners` is how many planners the planners' file names: at eight
    or fewer the decision module probes every worker. `connect_ms` and `reconnect_ms` are limits
    of the planners' files; 0 keeps the default."""

    workers: int
    planners: int
    told_planners: int
    rate: float = 20.0  # tasks a second submitted to each planner under load
    task_life: float = 5.0
    use_period: float = 8.0
    connect_ms: float = LONG_DIAL
    reconnect_ms: float = LONG_DIAL
    most_start: float = 25.0
    settle: float = 2.0
    rest: float = 8.0
    warm: float = 6.0
    load: float = 8.0
    down: float = 1.0
    most_restart: float = 12.0
    workers_a_process: int = 365
    start_only: bool = False
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
    workers: int  # that it should know
    ready: int
    phases: dict[str, Phase]  # by PHASES
    uses: dict[str, Use]  # at the end of a phase


class ListResult(Struct, kw_only=True):
    """What the list service spent, in all its planners and workers together."""

    phases: dict[str, Phase]
    uses: dict[str, Use]


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
    hollow_cpu: float  # seconds of all hollow processes in the whole trial
    hollow_resident: int  # bytes of all hollow processes at its end
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
