"""Actions that the engine requests of its host, and its records of guests: plain data."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol

from hazelhold.interface import Load
from hazelhold.protocol import messages as m


class Send(NamedTuple):
    """Send a message to a peer; `role` is "owner" or "machine"."""

    role: str
    peer: str
    message: m.Message


class Dial(NamedTuple):
    """Connect to a machine within `timeout` microseconds, then report link_up or link_failed."""

    machine: str
    address: str
    timeout: int


class HangUp(NamedTuple):
    """Close the connection to a machine. The host reports no link_down for it."""

    machine: str


class FetchList(NamedTuple):
    """Request from the list service what changed after version `since`."""

    since: int


class AskList(NamedTuple):
    """Send the list service a ConfirmList, if its connection is up."""

    number: int


class Disconnect(NamedTuple):
    """A peer broke the protocol, or the list service is silent: close the connection.

    The host reports that as link_down, owner_gone or list_failed.
    """

    role: str
    peer: str
    code: str
    text: str


class ProposeChange(NamedTuple):
    """Have the planners agree on the change of a value, and report `agreed` with the number by the deadline.

    The proposal may leave at once: it depends on no state that must be stored first.
    """

    no: int
    key: str
    change: object  # computes the next value from the last one: bytes to bytes
    deadline: int


Action = Send | Dial | HangUp | FetchList | AskList | Disconnect | ProposeChange


@dataclass
class GuestRecord:
    """A guest that this planner holds.

    `name` identifies it to the scheduler: the guest and the number of the submission that it came with.
    """

    name: str
    guest: str
    submission_number: int  # of the submission that is sent to machines
    owner: str
    product: int
    submit: m.Submit | m.InventoryItem
    # Submissions that await an answer; emptied by it.
    unanswered_submissions: dict[int, None] = field(default_factory=dict)
    dispatch_number: int = -1
    machine: str = ""  # where a dispatch is outstanding, or where the guest is placed
    sent: bool = False  # the offer was sent
    sent_at: int = 0
    placed: bool = False
    offers: int = 0  # offers whose bytes were written
    sent_unconfirmed: bool = False  # on a connection that the list had not confirmed since it was opened
    cancelled: bool = False
    incarnation: int = 0  # of the machine, when the offer was sent
    due_at: int = 0  # when the outstanding dispatch times out
    may_have_run_since: int = 0  # when the first dispatch that may have run was sent; 0: none
    withdrawn: bool = False  # a withdrawal was sent for the outstanding dispatch and not answered yet
    handed_over_at: int = 0  # by its owner, who reports it as placed; 0: it was placed here
    confirmed_at: int = 0  # when its machine last reported on it
    unsettled_machine: str = ""  # of the last dispatch that may have run
    claim: bytes = b""  # the last agreed claim on the guest
    sent_claim: bytes = b""  # the claim under which an offer was last sent


@dataclass
class AbandonedDispatch:
    """A dispatch that was given up although its machine may have accepted it."""

    record: GuestRecord
    dispatch_number: int
    machine: str
    sent_at: int
    accepted: bool = False  # the machine has reported that it accepted the guest
    recheck_at: int = 0  # when its machine is queried again


class VerificationCause(Enum):
    """Why a placed guest needs a report from its machine."""

    HANDED_OVER = "it may have ended before its handover"
    RESET = "its machine's process may have died with a connection, and the list has not reported it"
    RESTARTED = "it was sent between two times of which one is its machine's restart"
    ADDRESS_REUSED = "it may have been sent to the machine that had the address before"


class Verification(NamedTuple):
    """A guest that counts as placed may have ended, and its machine has to confirm it. Times in microseconds.

    A report on the guest after `since` confirms it; at `decided_at` the engine decides without one. A list
    that is current as of `listed_at` would have shown the event that made the guest unverified. The guest
    had not ended before `not_over_at`.
    """

    cause: VerificationCause
    since: int
    decided_at: int
    listed_at: int
    not_over_at: int


class ProcessFinding(Enum):
    """What a process check has found. Logs print the value."""

    SAME = "it has reported on a guest that was handed over"
    OTHER = "it reported nothing on a guest that was moved"
    IN_USE = "its load reports show guests"
    NO_REPORTS = "it reports no load"
    NO_GUESTS = "no guest that was handed over is left"
    NO_OWNER = "no owner could be told of a move"


@dataclass
class ProcessCheck:
    """Whether a machine still runs the process on which guests were handed over (`engine.process_checks`).

    Times in microseconds; 0 means never.
    """

    since: int  # the first handover on the machine
    due_at: int  # when its next step is due
    connected_at: int = 0  # when the connection was opened on which the rest was received
    reports: list[Load] = field(default_factory=list)  # load reports that differ from the one before
    probe_number: int = 0  # of the last probe sent for this check; 0: none on this connection
    answered: bool = False  # a probe was answered, after a move the last one
    moved_guest: str = ""  # the guest whose end the machine has to report
    moved_at: int = 0
    awaited_since: int = 0  # since when the machine has been able to report that end
    finding: ProcessFinding | None = None  # None: it is open


class Claimed(Protocol):
    """A claim as the planners agreed on it (`hazelhold.replica.claims`)."""

    planner: str
    state: str
    machine: str
    how: str


class Verdict(Protocol):
    """What an agreed value, or the lack of one, means for a guest (`hazelhold.replica.gate`)."""

    what: str
    name: str
    value: bytes
    claim: Claimed | None
    reason: str


class Claims(Protocol):
    """Agreement on claims for guests that must not run twice (`hazelhold.replica.gate`).

    `begin` is called once before any other method. `may_dispatch` returns whether a dispatch may be sent now;
    if not, its claim is proposed, and `proposal_ended` returns the verdicts that follow. `mine` returns
    whether a claim is of this run of the planner. `report_fact` and `release` inform the other planners of
    what became of a guest, and of a claim under which nothing ran. `query` requests the agreed value for a
    guest.
    """

    wanted: list  # proposals to make; emptied by the engine

    def begin(self, now: int) -> None: ...

    def may_dispatch(
        self, now: int, name: str, guest: str, ask: int, attempt: int, machine: str, known: bytes
    ) -> bool: ...

    def mine(self, value: bytes) -> bool: ...

    def report_fact(
        self, now: int, guest: str, ask: int, state: str, machine: str, how: str = ""
    ) -> None: ...

    def release(self, now: int, guest: str, known: bytes) -> None: ...

    def query(self, now: int, guest: str, name: str) -> None: ...

    def proposal_ended(self, now: int, no: int, outcome: str, value: bytes, reason: str) -> list: ...
