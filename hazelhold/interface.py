"""The types that pass between the decision module (brain.py) and whatever hosts it.

Times and spans are whole microseconds. Ids are strings and come back as they were given.
"""

from enum import Enum
from typing import NamedTuple


class RepeatSemantics(Enum):
    """What a second run of a guest would do."""

    IDEMPOTENT = "does no harm"
    DEDUPLICATED = "is known by its mark within a group of machines"
    AT_MOST_ONCE = "must never happen"


class Scope(Enum):
    """How far a ticket or a spread reaches."""

    NOWHERE = "nowhere"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class DispatchOutcome(Enum):
    """How a dispatch ended."""

    COMPLETED = "the guest ran to its end"
    ERROR = "the machine reported an error"
    REFUSED = "the machine refused it, or handed it back before it ran"
    TIMED_OUT = "no answer in time"
    UNREACHABLE = "the machine could not be reached"
    INTERRUPTED = "lost, evicted, pushed out or sent away; before it was taken: the answer broke off"
    WITHDRAWN = "called off, moved or stopped by its owner"
    NOT_SENT = "never left the planner"


class OutcomeReason(Enum):
    """The reason that came with an ending."""

    NONE = 0
    NO_CORES = 1
    NO_MEMORY = 2
    QUEUE_FULL = 3
    NOT_ACCEPTED = 4
    EVICTED = 5
    PREEMPTED = 6
    DRAINED = 7


class MachineMode(Enum):
    """What the list says of a machine."""

    READY = "takes guests"
    CORDONED = "finishes what it has"
    GONE = "was removed"


class GuestClass(NamedTuple):
    """What the operators promise and ask for one product."""

    repeat: RepeatSemantics
    dedup_scope: Scope
    dedup_window: int
    start_target: int
    value: float
    start_value: float
    priority: int
    full_service_load: float
    service_fade: float
    machine_kind: int
    spread_scope: Scope
    spread_limit: int


class MachineKind(NamedTuple):
    """Size of a machine of one kind."""

    cores: float
    memory: float


class Deployment(NamedTuple):
    """What an instance is told when it starts."""

    planners: int
    slot: int  # this planner's number among them, from 0
    products: tuple[GuestClass, ...]
    kinds: tuple[MachineKind, ...]
    list_is_polled: bool
    list_poll_limit: int
    list_shows_free: bool
    cores_multiple: float
    memory_multiple: float
    preempts: bool
    confirms_when_running: bool
    probing: bool
    reports_count_requested: bool
    max_dispatches: int
    warmup_time: int
    cold_from: float
    cold_budget_window: int
    cold_offers: float
    fleet_price: float
    reports_on_probe: bool = False  # machines report their load to probes alone
    dispatches_identified: bool = True  # machines say which dispatch of a guest they speak of
    ages_by_clock: bool = False  # how old machines are is told by a clock that may differ from this one
    list_lease: int = 0  # for how long a confirmed list may be sent work by; 0: the list is taken as it is


class ListedMachine(NamedTuple):
    """One machine as the list has it; rooms are cores and memory that nobody asked for."""

    machine: str
    mode: MachineMode
    started: int
    zone: int
    cell: int
    machine_kind: int
    free_cores: float
    free_memory: float


class Load(NamedTuple):
    """A machine's own report; None where it does not say."""

    cores_free: float | None
    memory_free: float | None
    busy: float | None


class EarlierDispatch(NamedTuple):
    """A dispatch of an earlier ask of a guest whose fate is not known."""

    machine: str
    sent_at: int


class Submission(NamedTuple):
    """A guest as its owner describes it."""

    guest: str
    product: int
    customer: int
    service: str
    cores: float
    memory: float
    time_left: int
    earlier_dispatch: EarlierDispatch | None = None
    dispatches_used: int = 0  # dispatches that were made before this life of the planner


class MachineHealth(NamedTuple):
    """What was learned of a machine; `started` tells of which of its lives."""

    started: int
    cold_at: int
    answers: tuple[int, ...]
    kept: tuple[str, ...]
    strikes: int
    avoid_until: int
    mute: bool


class LearnedState(NamedTuple):
    """What a planner learns and a later life of it may use: samples by service with when a guest of it was
    last seen, times by product (starts: product, warm, times), the sums of use and asks, health by
    machine."""

    services: dict[str, tuple[int, tuple[tuple[float, float], ...]]]
    starts: tuple[tuple[int, bool, tuple[int, ...]], ...]
    answers: tuple[tuple[int, tuple[int, ...]], ...]
    seen: tuple[float, ...]
    machines: dict[str, MachineHealth]


class DecisionKind(Enum):
    """What a decision asks of the host."""

    DISPATCH = "offer the guest to the machine, for at most the span"
    REFUSE = "final answer: no, and trying again is harmless"
    FAIL = "final answer: failed, with no promise"
    WITHDRAW = "take the dispatch back, or stop the guest, on the machine"
    PROBE = "ask the machine for its report"
    WATCH_LIST = "subscribe to changes of the list"


class Decision(NamedTuple):
    """One thing to do now; what a step does not need stays empty."""

    kind: DecisionKind
    guest: str = ""
    machine: str = ""
    timeout: int = 0
