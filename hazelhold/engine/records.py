"""What an engine says to its host, and what it keeps of a guest: plain data that its parts share."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol

from hazelhold.protocol import messages as m


class Send(NamedTuple):
    """Send the message to the peer; `role` is owner or machine."""

    role: str
    peer: str
    message: m.Message


class Dial(NamedTuple):
    """Connect to a machine, within the given span; report link_up or link_failed."""

    machine: str
    address: str
    timeout: int


class HangUp(NamedTuple):
    """Close the connection to a machine; no link_down follows."""

    machine: str


class FetchList(NamedTuple):
    """Ask the list service for changes since the version."""

    since: int


class Disconnect(NamedTuple):
    """A peer broke the protocol: tell it so and close the connection; reported as link_down, owner_gone."""

    role: str
    peer: str
    code: str
    text: str


class ProposeChange(NamedTuple):
    """Agree on a change of a value among the planners; report `agreed` with the number, by the deadline.
    Rests on nothing that has to be safe first."""

    no: int
    key: str
    change: object  # of the last value, to the next: bytes to bytes
    deadline: int


Action = Send | Dial | HangUp | FetchList | Disconnect | ProposeChange


@dataclass
class GuestRecord:
    """A guest in this planner's hands. `name` is what the Brain calls it: the guest and the ask it came
    with."""

    name: str
    guest: str
    ask: int  # the ask that machines hear of
    owner: str
    product: int
    submit: m.Submit | m.Stand
    asks: dict[int, None] = field(default_factory=dict)  # asks that await an answer; emptied by it
    attempt: int = -1
    machine: str = ""  # where a dispatch is out, or where it runs
    sent: bool = False  # the offer has left
    sent_at: int = 0
    placed: bool = False
    offers: int = 0  # whose bytes have left
    sent_unconfirmed: bool = False  # on a connection that the list had not confirmed since it was opened
    cancelled: bool = False
    incarnation: int = 0  # of the machine, when the offer left
    due_at: int = 0  # when the dispatch that is out is given up
    may_have_run_since: int = 0  # when the first dispatch that may have run was sent; 0: none may have
    withdrawn: bool = False  # the dispatch that is out was taken back, and its machine has not spoken yet
    handed_over_at: int = 0  # by its owner, who says that it stands; 0: it was placed here
    confirmed_at: int = 0  # when its machine spoke of it last
    unsettled_machine: str = ""  # the machine of the last dispatch that may have run
    claim: bytes = b""  # the last agreed claim on it
    sent_claim: bytes = b""  # the last under which an offer left


@dataclass
class AbandonedDispatch:
    """A dispatch that was given up and may stand on its machine all the same."""

    record: GuestRecord
    attempt: int
    machine: str
    sent_at: int
    accepted: bool = False  # the machine has said that it accepted it
    recheck_at: int = 0  # when its machine is asked again


class VerificationCause(Enum):
    """What lets a task be doubted."""

    HANDED_OVER = "it may have been over before its hand-over"
    RESET = "its machine's process may have died with a connection, and the list has not told"
    RESTARTED = "it was sent between two moments of which one is its machine's restart"
    ADDRESS_REUSED = "it may have been sent to the machine that had the address before"


class Verification(NamedTuple):
    """That a task which is held to stand may be over. Moments in microseconds.

    A word on the task after `since` ends the doubt; at `decided_at` it is decided on. A list that is current
    as of `listed_at` would have told what is doubted.
    """

    cause: VerificationCause
    since: int
    decided_at: int
    listed_at: int


class Claimed(Protocol):
    """A claim as the planners agreed on it (`hazelhold.replica.claims`)."""

    planner: str
    state: str
    machine: str
    how: str


class Verdict(Protocol):
    """What an agreed value, or none, means for a case (`hazelhold.replica.gate`)."""

    what: str
    name: str
    value: bytes
    claim: Claimed | None
    reason: str


class Claims(Protocol):
    """Where claims on guests that must not run twice are agreed (`hazelhold.replica.gate`)."""

    wanted: list  # what is to be agreed on; emptied by the engine

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
