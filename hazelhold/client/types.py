"""What a client is asked for, how it behaves, what it tells and what its core wants done. Plain data."""

from dataclasses import dataclass
from typing import NamedTuple

from hazelhold.protocol import messages as m

SECOND = 1_000_000  # microseconds


@dataclass(frozen=True)
class ClientPolicy:
    """How a client behaves. All spans are in microseconds.

    `try_share` of the time left is the patience of one ask, so that another planner can still be asked when
    one dies; asks shorter than `least` are not sent, since no answer could arrive in time.
    """

    settle: int = 3 * SECOND
    try_share: float = 0.5
    least: int = SECOND // 20
    again_least: int = SECOND // 10
    again_most: int = 10 * SECOND
    retry_share: float = 0.2  # retries for each fresh ask, in the long run
    retry_burst: float = 10.0
    return_base: int = SECOND // 10
    silent: int = 5 * SECOND  # a planner that answers nothing for so long has a dead connection
    return_most: int = 30 * SECOND
    return_soon: int = 5 * SECOND  # the same for a client that has something to ask


class TaskRequest(NamedTuple):
    """A task as its owner wants it (`guest` is its id); `patience` and `life` are spans from now on.
    `effect` is its product's: rerunnable, ticketed or exclusive; `window` a ticket's."""

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
    """What became of a task. `state` is placed, turned_back, broken_off, unknown (its fate could not be
    learnt in time), rejected, cancelled, or, after placed, an end."""

    guest: str
    state: str
    machine: str = ""
    reason: str = ""
    asks: int = 0

    def or_raise(self) -> "Outcome":
        """Itself if the guest was placed or has run; else NotPlacedError or the kind of it that tells why."""
        if kind := WHY.get(self.state):
            raise kind(self)
        return self


class NotPlacedError(Exception):
    """A task was not placed; `outcome` has all that is known."""

    def __init__(self, outcome: Outcome) -> None:
        why = f", {outcome.reason}" if outcome.reason else ""
        super().__init__(f"{outcome.guest}: {outcome.state}{why}")
        self.outcome = outcome


class RefusedError(NotPlacedError):
    """It did not run, or a second run does no harm: trying again is harmless."""


class MayHaveRunError(NotPlacedError):
    """Broken off, or its fate is unknown."""


class RejectedError(NotPlacedError):
    """The ask makes no sense to the planner."""


class CancelledError(NotPlacedError):
    """It was cancelled before it was placed."""


WHY = {
    "turned_back": RefusedError,
    "broken_off": MayHaveRunError,
    "unknown": MayHaveRunError,
    "rejected": RejectedError,
    "cancelled": CancelledError,
}


class Send(NamedTuple):
    planner: str
    message: m.Message


class Connect(NamedTuple):
    """Dial the planner now; report connected or refused."""

    planner: str


class Leave(NamedTuple):
    """Close the connection to the planner; no disconnected need follow."""

    planner: str


class Notify(NamedTuple):
    """Tell the caller; `final` is set when nothing more comes for this guest."""

    outcome: Outcome
    final: bool


Action = Send | Connect | Leave | Notify
