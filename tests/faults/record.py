"""What the stand-ins saw, in seconds of CLOCK_MONOTONIC; `judge` reads it."""

import time
from dataclasses import dataclass, field
from enum import Enum


class Closed(Enum):
    """Why nothing more is owed to a request's client."""

    CANCELLED = "the client cancelled it"
    LEFT = "the client closed its connection"
    KILLED = "its planner was killed without notice"


@dataclass
class Reply:
    """One message to a client about its request."""

    at: float
    kind: str  # "answer", "end", or "move": the end of a task that may stand, also at its server
    cause: int | None
    description: bytes = b""


@dataclass
class Request:
    """One set-up of a client, from its last byte to the end of what it started."""

    id: str
    planner: str
    product: str
    sent_at: float
    patience: float  # seconds
    handed_over: bool = False
    connection: int = 0  # the client's port
    closed_at: float | None = None  # when the client stopped to wait, or its planner died
    closed: Closed | None = None
    connection_ended_at: float | None = None  # by the planner's side
    ended_by_client_at: float | None = None  # when it ended what stood
    replies: list[Reply] = field(default_factory=list)

    @property
    def answered_at(self) -> float | None:
        return self.replies[0].at if self.replies else None


@dataclass(frozen=True)
class EndWrite:
    """The end of a task, written to a connection of its planner."""

    at: float
    link: tuple[int, int]  # the ports of the planner and of the server


@dataclass
class Attempt:
    """One offer that a server read whole."""

    request: str
    server: str
    planner: str
    at: float
    left: float  # seconds that the planner says are left
    ended_at: float | None = None  # answered, refused, taken back, or its connection closed
    outcome: str = ""  # accepted, refused, taken_back, error, cut, moot
    description: str = ""
    over_at: float | None = None  # the end of what was accepted, at the latest
    over_told_at: float | None = None  # when that end was written to the planner
    end_writes: list[EndWrite] = field(default_factory=list)  # the first, and again where a connection ended
    may_have_run: bool = False
    lost_at: float | None = None  # when its server vanished with it: it may be over from then on
    unread_for: float = 0.0  # the most seconds for which its offer may have waited at the server


@dataclass
class ServerLife:
    """One server, from its start to its removal."""

    name: str
    started_at: float | None = None  # None: warm from the beginning
    told_start: float | None = None
    restarted_at: float | None = None  # under its name, the last time
    told_restart: float | None = None  # by the list
    drain_told: dict[str, float] = field(default_factory=dict)  # by planner; set once


@dataclass
class StoppedSpan:
    """A span in which a planner's process did not run."""

    began_at: float
    ended_at: float = float("inf")


@dataclass
class Life:
    """One process of a planner."""

    planner: str
    started_at: float
    ready_at: float | None = None
    told_to_stop_at: float | None = None
    killed_at: float | None = (
        None  # by SIGKILL that it had not been told of, or that came at the end of a stop
    )
    ended_at: float | None = None
    exit_code: int | None = None
    expected_end: bool = False
    stops: list[StoppedSpan] = field(default_factory=list)  # long ones


@dataclass
class Record:
    """A whole run."""

    began: float = field(default_factory=time.monotonic)
    ended: float = float("inf")  # what falls due later is not judged
    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    servers: dict[str, ServerLife] = field(default_factory=dict)
    lives: list[Life] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(
        default_factory=list
    )  # when the stand-ins were late, and how much
    broken_connections: set[int] = field(default_factory=set)  # client ports of those that a shim broke
    broken_links: dict[tuple[int, int], float] = field(default_factory=dict)  # by ports: when a shim broke it
    accepted_at: dict[int, float] = field(default_factory=dict)  # by the client's port, in a faulty process
    notes: list[str] = field(default_factory=list)  # faults as they were begun

    def note(self, text: str) -> None:
        self.notes.append(f"{time.monotonic() - self.began:7.3f} {text}")
