"""Data types of the machine model: its profile, the behaviour of guests, and its faults.

Times are whole microseconds; cores and memory in the units of the offers.
"""

from dataclasses import dataclass, field

from hazelhold.protocol.messages import Offer

SECOND = 1_000_000
Key = tuple[str, str, int]  # planner, guest, ask


@dataclass(frozen=True)
class GuestClassBehaviour:
    """How guests of one class behave. Times in microseconds; use as a share of what is requested."""

    priority: int = 0
    deduplicated: bool = False
    full_service_load: float = 0.8
    service_fade: float = 0.2
    work: int = 60_000  # of a warm start, on a warm machine
    life: int = 15 * SECOND
    cores_use: float = 0.55
    memory_use: float = 0.7
    spread: float = 0.4  # sigma of use between services and guests
    cap: float = 2.5


@dataclass(frozen=True)
class MachineProfile:
    """Properties of a machine, from its kind and its deployment. Times in microseconds."""

    kind: str
    cores: float
    memory: float
    behaviours: dict[str, GuestClassBehaviour]
    cores_multiple: float = 2.5
    memory_multiple: float = 1.5
    preempts: bool = False
    confirms_when_running: bool = False
    counts_requested: bool = False
    admission_time: int = 15_000
    queue_limit: int = 16
    concurrent_starts: int = 3
    cold_start_factor: float = 8.0
    cached_services: int = 6
    cold_from: float = 0.25
    warmup_time: int = 15 * SECOND
    overload_multiple: float = 2.5
    overload_window: int = 2 * SECOND
    cold_offers: float = 40.0
    report_period: int = SECOND // 2
    drains: str = "paced"  # none, paced or at_once: how a draining machine drains its guests
    remembers: int = 2000  # ended guests that it can still report to planners


@dataclass
class HostedGuest:
    """A guest that this machine has accepted."""

    key: Key
    offer: Offer
    behaviour: GuestClassBehaviour
    ends_at: int
    level: float
    accepted: bool = False  # an acceptance was sent
    runs: bool = False
    started_at: int = 0
    cores: float = 0.0
    memory: float = 0.0
    served: float = 0.0
    variation: float = 1.0
    share: float = 1.0
    fails: bool = False


@dataclass
class MachineFaults:
    """Faults of a machine that are currently injected."""

    slow: float = 1.0
    error_share: float = 0.0
    lost_answers: float = 0.0
    silent: bool = False
    report_delay: int = 0
    use_factor: float = 1.0
    heavy: dict[str, tuple[float, float]] = field(default_factory=dict)  # product: share of guests, factor
    hot: set[str] = field(default_factory=set)  # services whose guests use four times their cores
