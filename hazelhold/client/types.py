"""The requests, policy and outcomes of a client, and the actions of its core. Plain data."""

from dataclasses import dataclass
from typing import NamedTuple

from hazelhold.protocol import messages as m

SECOND = 1_000_000  # microseconds


@dataclass(frozen=True)
class ClientPolicy:
    """The behaviour of a client. All durations are in microseconds.

    One submission gets `try_share` of the time left, so that another planner can still be used if one dies.
    Submissions with less time than `least` are not sent, since no answer could arrive in time.
    """

    settle: int = 3 * SECOND
    try_share: float = 0.5
    least: int = SECOND // 20
    again_least: int = SECOND // 10
    again_most: int = 10 * SECOND
    retry_share: float = 0.2  # retries per new guest, in the long run
    retry_burst: float = 10.0
    return_base: int = SECOND // 10
    silent: int = 5 * SECOND  # without an answer for so long, the connection is considered dead
    return_most: int = 30 * SECOND
    return_soon: int = 5 * SECOND  # the same for a client that has guests to submit


class TaskRequest(NamedTuple):
    """A guest as its owner requests it; `guest` is its id.

    `cores` and `memory` are the requested resources. `patience` (how long the owner waits for the placement)
    and `life` are durations from now, in microseconds. `effect` is that of its guest class
    (`product`): rerunnable (idempotent), ticketed (deduplicated) or exclusive (at most once). `group` and
    `window` are the scope and the duration of the deduplication.
    """

    guest: str
    product: str
    service: str
    cores: float
    memory: float
    patience: int
    effect: str = "exclusive"
    group: str = "all"
    window: int = 5 * SECOND
    customer: str = ""
    life: int = 0


class Outcome(NamedTuple):
    """What became of a guest. `state` is placed, turned_back (refused), broken_off (failed, it may have run),
    unknown (its state could not be determined in time), rejected, cancelled or, after placed, an end."""

    guest: str
    state: str
    machine: str = ""
    reason: str = ""
    asks: int = 0

    def or_raise(self) -> "Outcome":
        """Returns itself if the guest was placed or has run; else raises a NotPlacedError that tells why."""
        if kind := WHY.get(self.state):
            raise kind(self)
        return self


class NotPlacedError(Exception):
    """A guest was not placed; `outcome` holds all that is known."""

    def __init__(self, outcome: Outcome) -> None:
        why = f", {outcome.reason}" if outcome.reason else ""
        super().__init__(f"{outcome.guest}: {outcome.state}{why}")
        self.outcome = outcome


class RefusedError(NotPlacedError):
    """The guest did not run, or a second run does no harm: it is safe to try again."""


class MayHaveRunError(NotPlacedError):
    """The guest failed and may have run, or its state is unknown."""


class RejectedError(NotPlacedError):
    """The planner cannot process the submission."""


class CancelledError(NotPlacedError):
    """The guest was cancelled before it was placed."""


WHY = {
    "turned_back": RefusedError,
    "broken_off": MayHaveRunError,
    "unknown": MayHaveRunError,
    "rejected": RejectedError,
    "cancelled": CancelledError,
}


class Send(NamedTuple):
    """Send the message to the planner."""

    planner: str
    message: m.Message


class Connect(NamedTuple):
    """Dial the planner now, and report `connected` or `refused`."""

    planner: str


class Leave(NamedTuple):
    """Close the connection to the planner; `disconnected` need not follow."""

    planner: str


class Notify(NamedTuple):
    """Notify the caller; `final`: no other outcome of this guest follows."""

    outcome: Outcome
    final: bool


Action = Send | Connect | Leave | Notify
