"""What the model of a machine is made of: what it is, how guests behave on it, what is wrong with it.

Times are whole microseconds; cores and memory in the units of the offers.
"""

from dataclasses import dataclass, field

from hazelhold.protocol.messages import Offer

SECOND = 1_000_000
Key = tuple[str, str, int]  # planner, guest, ask


@dataclass(frozen=True)
class Trade:
    """How guests of one product behave here. Times in microseconds; use as a share of what is asked."""

    priority: int = 0
    ticketed: bool = False
    easy_until: float = 0.8
    lost_after: float = 0.2
    work: int = 60_000  # of a warm start, on a warm machine
    life: int = 15 * SECOND
    cores_use: float = 0.55
    memory_use: float = 0.7
    spread: float = 0.4  # sigma of use between services and guests
    cap: float = 2.5


@dataclass(frozen=True)
class Build:
    """What a machine is, by its kind and its deployment."""

    kind: str
    cores: float
    memory: float
    trades: dict[str, Trade]
    cores_multiple: float = 2.5
    memory_multiple: float = 1.5
    makes_room: bool = False
    confirms_running: bool = False
    counts_asked: bool = False
    look: int = 15_000
    line: int = 16
    starts: int = 3
    setup: float = 8.0
    kept: int = 6
    cold_from: float = 0.25
    cold_for: int = 15 * SECOND
    tip_multiple: float = 2.5
    tip_window: int = 2 * SECOND
    cold_offers: float = 40.0
    report_period: int = SECOND // 2
    drains: str = "paced"  # none, paced, at_once: what a draining machine does with its guests
    remembers: int = 2000  # ends, for planners that missed them


@dataclass
class Lodger:
    """A guest that this machine has accepted."""

    key: Key
    offer: Offer
    trade: Trade
    ends_at: int
    level: float
    taken: bool = False  # Taken was said
    runs: bool = False
    started_at: int = 0
    cores: float = 0.0
    memory: float = 0.0
    served: float = 0.0
    swing: float = 1.0
    share: float = 1.0
    fails: bool = False


@dataclass
class Ills:
    """What is wrong with a machine just now."""

    slow: float = 1.0
    error_share: float = 0.0
    lost_answers: float = 0.0
    silent: bool = False
    report_delay: int = 0
    use_factor: float = 1.0
    heavy: dict[str, tuple[float, float]] = field(default_factory=dict)  # product: share of guests, factor
    hot: set[str] = field(default_factory=set)  # services whose guests use all the cores that they may
