"""What the engine keeps of machines: the list as it was told, and the state of each connection."""

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhold.interface import ListedMachine, MachineMode
from hazelhold.protocol.messages import Entry, Listing, Message

PAST_KEPT = 8  # connections of a machine that have ended

MODES = {"ready": MachineMode.READY, "cordoned": MachineMode.CORDONED, "gone": MachineMode.GONE}


@dataclass
class Fellow:
    """One machine of the list. `started` is on the planner's clock, fixed once for each life of the machine,
    so that neither a machine's clock nor a late list makes a life look new."""

    name: str
    address: str
    mode: MachineMode
    incarnation: int
    started: int
    kind: int


class PastConnection(NamedTuple):
    """A connection that has ended. Moments in microseconds; `by_machine`: its far side ended it."""

    opened_at: int
    ended_at: int
    by_machine: bool


@dataclass
class Link:
    """The connection to one machine."""

    machine: str
    state: str = "down"  # down, dialling, up
    rolled: bool = False  # the machine has told what it holds; nothing is offered before
    incarnation: int = 0
    before: int = 0  # the life it was in when it last spoke
    queue: dict[str, None] = field(default_factory=dict)  # cases whose offer waits for the link
    holds: dict[str, None] = field(default_factory=dict)  # cases out or placed there
    lost_at: int = 0  # when it broke with something on it; 0: it did not
    dial_at: int = 0
    dial_due: int = 0
    roll_due: int = 0
    used_at: int = 0
    heard_at: int = 0  # its last word, on whatever connection
    opened_at: int = 0
    offered_at: int = 0  # when the bytes of an offer left last; 0: none has
    address: str = ""  # that was dialled last
    heir: str = ""  # the machine that has its address now, and that speaks on this connection
    unconfirmed: bool = False  # not confirmed by the list since: another machine may have its address
    gone_at: int = 0  # when it was seen to have left the list with guests of ours; 0: it has not
    passes_tests: bool | None = None  # its last answer to one; None: it has given none
    asked_at: int = 0  # when it was last asked for its silence
    unanswered: int = 0  # probes in a row with nothing heard since they were sent
    # Words on what stands there, with when they are let go: for the next connection, and written to this one
    # so lately that it may have broken over them.
    words: list[tuple[int, Message]] = field(default_factory=list)
    told: list[tuple[int, Message]] = field(default_factory=list)
    past: list[PastConnection] = field(default_factory=list)  # the last few

    def close(self, now: int, by_machine: bool = False) -> None:
        """The connection has ended, or its dial has."""
        if self.state == "up":
            self.past = [*self.past[1 - PAST_KEPT :], PastConnection(self.opened_at, now, by_machine)]
        self.state, self.rolled = "down", False

    def leave_out(self, now: int, span: int) -> None:
        """So much of the time since it was lost, or left the list, does not count."""
        self.lost_at = min(now, self.lost_at + span) if self.lost_at else 0
        self.gone_at = min(now, self.gone_at + span) if self.gone_at else 0

    def settled(self) -> bool:
        """Nothing about this connection is waited for."""
        still = self.state == "down" or self.state == "up" and self.rolled
        return still and not (self.dial_at or self.lost_at)


@dataclass
class News:
    """What a listing changed."""

    listed: list[ListedMachine] = field(default_factory=list)
    fresh: list[str] = field(default_factory=list)  # machines not known before, or in a new life
    moved: list[str] = field(default_factory=list)  # with another address
    closed: list[str] = field(default_factory=list)  # that take nothing new any more
    gone: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # entries that cannot be used, and why


class Roster:
    """The machines as the list has them; emptied as machines leave it."""

    def __init__(self, kinds: dict[str, int]) -> None:
        self.kinds = kinds
        self.fellows: dict[str, Fellow] = {}

    def learn(self, now: int, listing: Listing) -> News:
        news = News()
        for entry in listing.entries:
            if entry.kind not in self.kinds and entry.machine not in self.fellows:
                news.faults.append(f"{entry.machine}: no kind is called {entry.kind!r}")
                continue
            self._entry(now, entry, news)
        if listing.whole:
            named = {entry.machine for entry in listing.entries}
            for name in [n for n in self.fellows if n not in named]:
                news.closed.append(name)
                news.gone.append(name)
                del self.fellows[name]
        return news

    def _entry(self, now: int, entry: Entry, news: News) -> None:
        old = self.fellows.get(entry.machine)
        mode = MODES[entry.mode]
        started = 0
        if old and old.incarnation == entry.incarnation:
            started = old.started
        elif entry.up_for is not None:
            started = max(1, now - entry.up_for)
        kind = self.kinds.get(entry.kind, old.kind if old else 0)  # a drain counts whatever kind it names
        news.listed.append(
            ListedMachine(
                entry.machine,
                mode,
                started,
                entry.zone,
                entry.cell,
                kind,
                entry.cores_room,
                entry.memory_room,
            )
        )
        if mode is not MachineMode.READY and (not old or old.mode is MachineMode.READY):
            news.closed.append(entry.machine)
        if mode is MachineMode.GONE:
            news.gone.append(entry.machine)
            self.fellows.pop(entry.machine, None)
            return
        if not old or old.incarnation != entry.incarnation:
            news.fresh.append(entry.machine)
        elif old.address != entry.address:
            news.moved.append(entry.machine)
        self.fellows[entry.machine] = Fellow(
            entry.machine, entry.address, mode, entry.incarnation, started, kind
        )
