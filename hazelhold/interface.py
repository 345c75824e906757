"""The types that pass between the scheduler (scheduler.py) and its host.

Times and durations are whole microseconds, cores and memory are numbers in the units of the settings. Ids are
strings and are returned as given.
"""

from enum import Enum
from typing import NamedTuple


class RepeatSemantics(Enum):
    """What a second run of a guest would do."""

    IDEMPOTENT = "does no harm"
    DEDUPLICATED = "is recognised by its idempotency key within a group of machines"
    AT_MOST_ONCE = "must never happen"


class Scope(Enum):
    """The group of machines within which an idempotency key or a spread limit applies."""

    NOWHERE = "nowhere"
    MACHINE = "machine"
    CELL = "cell"
    ZONE = "zone"
    ALL = "all"


class DispatchOutcome(Enum):
    """How a dispatch ended. Logs print `label`."""

    COMPLETED = "done"  # the guest ran to its end
    ERROR = "error"  # the machine reported an error
    REFUSED = "turned_back"  # the machine refused it, or returned it before it ran
    TIMED_OUT = "overdue"  # no answer in time
    UNREACHABLE = "no_connection"  # the machine could not be reached
    # Lost, evicted, preempted or drained. Before it was accepted: the connection broke before the answer.
    INTERRUPTED = "cut_off"
    WITHDRAWN = "called_off"  # withdrawn, moved or stopped by its owner
    NOT_SENT = "not_sent"  # never left the planner

    def __init__(self, label: str) -> None:
        self.label = label


class OutcomeReason(Enum):
    """The reason that a machine gave with an outcome. Logs print `label`."""

    NONE = 0, "none"
    NO_CORES = 1, "no_cores"
    NO_MEMORY = 2, "no_memory"
    QUEUE_FULL = 3, "line_full"
    NOT_ACCEPTED = 4, "not_here"
    EVICTED = 5, "evicted"
    PREEMPTED = 6, "pushed_out"
    DRAINED = 7, "sent_away"

    def __new__(cls, code: int, label: str) -> "OutcomeReason":
        reason = object.__new__(cls)
        reason._value_, reason.label = code, label
        return reason


class MachineMode(Enum):
    """The state of a machine according to the list."""

    READY = "takes guests"
    CORDONED = "finishes the guests that it has"
    GONE = "was removed"


class GuestClass(NamedTuple):
    """A class of guests with common promises and resource settings, as the operators define it."""

    repeat: RepeatSemantics
    dedup_scope: Scope  # the machines that recognise each other's idempotency keys
    dedup_window: int  # for how long they do
    start_target: int  # a start within this time of the submission counts as in time
    value: float  # of a guest, relative to other classes
    start_value: float  # of a start in time, in seconds of service
    priority: int
    full_service_load: float  # share of a machine's cores up to which guests are fully served
    service_fade: float  # share of the cores above that at which they are not served at all
    machine_kind: int  # index of the required kind; -1: any
    spread_scope: Scope
    spread_limit: int  # guests of one service within one group of that scope


class MachineKind(NamedTuple):
    """Size of a machine of one kind."""

    cores: float
    memory: float


class Deployment(NamedTuple):
    """The settings that a scheduler is created with."""

    planners: int
    slot: int  # this planner's number among them, from 0
    guest_classes: tuple[GuestClass, ...]
    machine_kinds: tuple[MachineKind, ...]
    list_is_polled: bool
    list_poll_limit: int  # the list must be requested at least this often
    list_shows_free: bool
    cores_multiple: float  # requested cores that a machine accepts, as a multiple of its cores
    memory_multiple: float
    preempts: bool  # machines preempt guests of a lower priority
    confirms_when_running: bool  # a machine accepts a guest only once it runs
    probing: bool
    reports_count_requested: bool  # reports count what guests request, not what they use
    max_dispatches: int
    warmup_time: int  # how long a machine counts as cold after its start
    cold_from: float  # capacity at the start, as a share; it rises to 1 within the warm-up time
    cold_budget_window: int
    cold_offers: float  # offers to a cold machine within a window, from all planners
    fleet_price: float  # cost of each machine in use
    reports_on_probe: bool = False  # machines report their load in answers to probes only
    dispatches_identified: bool = True  # messages of machines name the dispatch of a guest they refer to
    ages_by_clock: bool = False  # machine ages come from a wall clock that may differ from this one
    list_lease: int = 0  # how long a confirmed list may be used to place guests; 0: without limit


class ListedMachine(NamedTuple):
    """A machine's entry in the list; free cores and memory are those that no guest has requested.

    `started` is when its process started, as far as clocks can tell; 0 if that is not known. `incarnation`
    identifies that process: it differs after each restart, and its order means nothing. 0 if the list
    identifies none.
    """

    machine: str
    mode: MachineMode
    started: int
    zone: int
    cell: int
    machine_kind: int
    free_cores: float
    free_memory: float
    incarnation: int = 0


class Load(NamedTuple):
    """A machine's own load report; None for a value that it does not report."""

    cores_free: float | None
    memory_free: float | None
    busy: float | None  # share of its cores


class EarlierDispatch(NamedTuple):
    """A dispatch of an earlier submission of the guest whose outcome is not known."""

    machine: str
    sent_at: int


class Submission(NamedTuple):
    """One submission of a guest by its owner."""

    guest: str
    product: int  # index of the guest class
    customer: int
    service: str
    cores: float
    memory: float
    time_left: int  # until the deadline of the final answer
    earlier_dispatch: EarlierDispatch | None = None
    dispatches_used: int = 0  # in earlier runs of the planner
    owner: str = ""  # who shares the planner's time with others if that is short


class MachineHealth(NamedTuple):
    """What was learned of a machine; `started` identifies its incarnation. `hazelhold state show` prints the
    field names."""

    started: int
    cold_at: int
    answers: tuple[int, ...]
    kept: tuple[str, ...]  # services whose program the machine still has
    strikes: int  # failures in a row
    avoid_until: int
    mute: bool  # it has to answer a probe


class LearnedState(NamedTuple):
    """What a planner learns and a later run of it may use: by service when a guest of it was last seen and
    its usage samples, by guest class start times (class, warm, times) and answer times, the totals of used
    and requested resources, and health by machine. `hazelhold state show` prints the field names."""

    services: dict[str, tuple[int, tuple[tuple[float, float], ...]]]
    starts: tuple[tuple[int, bool, tuple[int, ...]], ...]
    answers: tuple[tuple[int, tuple[int, ...]], ...]
    seen: tuple[float, ...]
    machines: dict[str, MachineHealth]


class DecisionKind(Enum):
    """What a decision tells the host to do."""

    DISPATCH = "offer the guest to the machine and wait for the answer, at most the timeout"
    REFUSE = "final answer: refused, submitting again is harmless"
    FAIL = "final answer: failed, the guest may have run"
    WITHDRAW = "withdraw the dispatch, or stop the guest, on the machine"
    PROBE = "request the machine's report"
    WATCH_LIST = "subscribe to changes of the list"


class Decision(NamedTuple):
    """One thing to do now; fields that its kind does not need stay empty."""

    kind: DecisionKind
    guest: str = ""
    machine: str = ""
    timeout: int = 0
