"""What the cores of the spread ask their hosts to do, and the times that they keep. Plain data.

Each core collects actions in its list `actions`; after each event the host takes them out and carries them
out in order. Connection numbers of followers' dials are chosen by the core that dials, numbers of accepted
connections by the host; the two do not share a space.
"""

from typing import NamedTuple

from hazelhold.fleetconfig.document import Document, Put
from hazelhold.fleetconfig.messages import ConfigMessage
from hazelhold.fleetconfig.revision import Position, SealedRevision


class Times(NamedTuple):
    """Spans in microseconds. None of them matters for safety."""

    heartbeat: int = 1_000_000  # a source's, to each follower
    batch: int = 400_000  # between two tellings of new revisions to all followers, at least
    silent: int = 2_500_000  # a source that said nothing for so long is left
    dial: int = 1_500_000  # how long a dial may take, with the greeting
    stale: int = 4_000_000  # a source whose confirmed age is above this may be left for another
    cut_off: int = 5_000_000  # a confirmed age above this is told as being cut off
    ask_again: int = 1_500_000  # how long nothing that was asked for comes before it is asked for again
    stuck: int = 8_000_000  # a source that is ahead and sends nothing useful for so long is left
    go_back: int = 15_000_000  # how often a better source than the present one is tried
    backoff: int = 250_000  # the first pause for a source that failed; it doubles up to `backoff_most`
    backoff_most: int = 30_000_000
    coverage: int = 500_000  # between two tellings of coverage, at least
    coverage_hold: int = 150_000  # how long a relay waits for its followers' coverage to tell it with its own
    coverage_whole: int = (
        10_000_000  # how often the whole coverage is told again, which is also a sign of life
    )
    follower_silent: int = 35_000_000  # a follower that told nothing for so long is left
    write: int = 20_000_000  # a message to a follower that is not written for so long ends its connection
    pause: int = 1_000_000  # a wake that comes so much later than asked for means: this process was paused
    long_pause: int = 3_000_000  # after one so long, what waits in connections is too old to tell an age


def take(actions: list) -> list:
    """The actions collected so far; the list itself stays in use and is emptied."""
    found = list(actions)
    actions.clear()
    return found


class Dial(NamedTuple):
    """Connect to a source and exchange greetings; then `connected`, or `disconnected` if that fails."""

    connection: int
    name: str
    address: str


class Send(NamedTuple):
    """A message to the other side. A source hears of its end by `written`."""

    connection: int
    message: ConfigMessage


class Close(NamedTuple):
    """End the connection, also one that is being dialed. No event follows it."""

    connection: int
    reason: str


class Received(NamedTuple):
    """Verified revisions, in order, to be added to the store."""

    revisions: tuple[SealedRevision, ...]


class Replaced(NamedTuple):
    """A verified snapshot, to replace what the store holds."""

    position: Position
    items: tuple[Put, ...]


class PutInForce(NamedTuple):
    """Put this document in force, whole or not at all, and answer `in_force` or `refused`.

    The document is not changed until the answer. `changed` are the items that differ from the last document
    that was handed over; None: it may be all of them.
    """

    position: Position
    document: Document
    changed: frozenset[str] | None


class Log(NamedTuple):
    """Something that an operator should see."""

    event: str
    details: dict[str, str | int]


class CutOff(NamedTuple):
    """Why nothing newer can be known, and for how long (microseconds; NEVER: since the start)."""

    age: int
    reason: str


class Standing(NamedTuple):
    """What a planner knows of its own configuration. `confirmed_age`: how long ago a majority of the control
    machines confirmed that nothing newer than `received` was committed, without the time on the way."""

    in_force: Position
    received: Position
    confirmed_age: int
    route: tuple[str, ...]
    source: str
    cut_off: CutOff | None
    reason: str
