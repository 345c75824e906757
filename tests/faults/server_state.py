"""What a stand-in server keeps: its faults, its tasks, its connections, and the ends that it has sent."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from hazelhold.service.arrival_time import EmptySince
from tests.faults.load_reports import Resources
from tests.faults.record import Attempt

READ = 1 << 16  # bytes


class Draining(Enum):
    """What a server does between the start of its drain and its end. No page says that it fails probes.

    The values are part of what a seed draws, and of the digests that tests hold of it.
    """

    FAILS_TESTS = "fails tests, refuses offers, sends away what stands"
    REFUSES = "passes tests, refuses offers"
    WORKS = "passes tests and takes offers: only the list knows of its drain"


@dataclass
class Faults:
    """What is wrong with a server now. Times in seconds, shares as parts of 1."""

    hung: bool = False  # reads and answers nothing
    delay: float = 0.0  # before each answer
    share_refused: float = 0.0
    share_error: float = 0.0
    share_unanswered: float = 0.0
    share_twice: float = 0.0
    share_spoilt: float = 0.0
    idle_close: float = 60.0


@dataclass
class Task:
    """A task that a server accepted and that has not ended."""

    attempt: Attempt
    planner: str
    ends_at: float
    use: Resources
    next_note_at: float = float("inf")  # on what it uses


@dataclass(eq=False)
class Connection:
    """A connection of a planner. `open`: attempts that are not answered, by request."""

    stream: trio.SocketStream
    planner: str
    open: dict[str, Attempt] = field(default_factory=dict)
    send_lock: trio.Lock = field(default_factory=trio.Lock)
    closed: bool = False
    used_at: float = 0.0
    process: int = 0  # of the server, to which it was opened
    accept_delay: float = 0.0  # seconds for which it may have waited to be accepted
    arrival: EmptySince = field(default_factory=EmptySince)  # of what is read on it
    use_reported: trio.Event = field(default_factory=trio.Event)  # answers come after the notes at its start

    def link(self) -> tuple[int, int]:
        """The ports of the planner and of the server; zeros if it has ended."""
        try:
            opened = self.stream.socket
            return opened.getpeername()[1], opened.getsockname()[1]
        except OSError:
            return 0, 0

    def was_read(self, size: int) -> None:
        """Called after each read, with its number of bytes."""
        self.arrival.data_arrived()
        if size < READ:
            self.arrival.emptied()

    def unread_for(self) -> float:
        """The most seconds for which what was read last may have waited, on a stand-in that was slow."""
        return self.accept_delay + self.arrival.waited()


@dataclass
class SentEnd:
    """An end that was written to a connection; it is lost if the connection broke meanwhile."""

    at: float
    connection: Connection
    line: dict
    attempt: Attempt | None = None  # whose end it is, unless its client asked for that
