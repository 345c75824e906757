"""What a trial is asked to be, and the figures that come of it."""

from typing import Literal

from msgspec import Struct

from bench.capacity import target as t

MEAN = t.CONFIGURATION_CHANGES_A_DAY / t.DAY_S  # changes a second


class Trial(Struct, frozen=True, kw_only=True):
    """What is run. Times in seconds. `faults`: through faults instead of the steady loads. `relays` as in a
    planner's section."""

    planners: int
    relays: int = 2
    faults: bool = False
    regions: int = t.REGIONS
    zones_a_region: int = t.ZONES // t.REGIONS
    controls: int = t.CONTROL_MACHINES
    replicas: int = 5
    real: int = 4
    restarted: bool = False  # hollow followers are killed once and return, to follow relays at once
    off: int = 1  # planners without the fleet's configuration, for comparison
    most_settle: float = 35.0
    rest: float = 11.0  # 0, here and below: this phase is left out
    mean: float = 16.0
    mean_rate: float = MEAN
    burst: float = 20.0
    burst_rate: float = MEAN * t.CONFIGURATION_BURST
    lost: float = 5.0  # how long a zone, region or control machine is gone
    fault_rate: float = 1.0  # changes a second meanwhile
    most_return: float = 20.0
    after: float = 2.0  # measured beyond a return
    a_process: int = 24  # hollow followers
    seed: int = 1


class Used(Struct, kw_only=True):
    """One machine in one phase: messages and bytes a second, in and out; the bytes of the worst second, both
    ways. Of a process also processor time a second (the whole phase, the worst second) and resident bytes."""

    messages_in: float = 0.0
    messages_out: float = 0.0
    bytes_in: float = 0.0
    bytes_out: float = 0.0
    worst: float = 0.0
    cpu: float = 0.0
    worst_cpu: float = 0.0
    resident: int = 0

    @property
    def messages(self) -> float:
        return self.messages_in + self.messages_out

    @property
    def bytes(self) -> float:
        return self.bytes_in + self.bytes_out


class Taken(Struct, frozen=True, kw_only=True):
    """One revision, in seconds: from the writer's asking until it was told that it is committed; from the
    asking until it, or a newer one, was in force at the last planner by its own clock (-1: it was not); and
    from the commit as a control machine told it (-1: not heard in time). `planners` had it."""

    number: int
    committed: float
    in_force: float
    told: float
    planners: int


class Phase(Struct, kw_only=True):
    """One load or fault. `returned`: seconds from the end of a fault until all had the latest revision in
    force again (-1: not within the bound)."""

    seconds: float
    used: dict[str, Used]
    taken: list[Taken]
    asked: int
    not_committed: int
    returned: float = 0.0


Kind = Literal["control", "real", "hollow", "off"]


class Result(Struct, kw_only=True):
    """One trial's figures. `roles`: of real planners, whose relay they are. `settled`: planners that followed
    a source of the kind that they prefer when the phases began, of the hollow ones."""

    trial: Trial
    kinds: dict[str, Kind]
    roles: dict[str, str]
    settled: int
    phases: dict[str, Phase]
    unequal: int  # pairs of hollow followers, one sending to the other, of which one counted other bytes
    # than the other, once all settled; without those whose connection ended since
    compared: int  # pairs that were compared
    relayed: int  # bytes that hollow followers sent to hollow followers since then
    load_average: float
    faults: list[str]

    def of(self, phase: str, *kinds: Kind) -> list[Used]:
        """What machines of these kinds used in a phase."""
        used = self.phases[phase].used
        return [used[name] for name, kind in self.kinds.items() if kind in kinds and name in used]

    def planners(self, phase: str) -> list[Used]:
        return self.of(phase, "real", "hollow")
