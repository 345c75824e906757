"""What the engine keeps of machines: the list as it was told, and the state of each connection."""

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhold.interface import Listed, Mode
from hazelhold.protocol.messages import Entry, Listing, Message

MAX_PAST_CONNECTIONS = 8  # connections of a machine that have ended

MODES = {"ready": Mode.READY, "cordoned": Mode.CORDONED, "gone": Mode.GONE}


@dataclass
class RosterMachine:
    """One machine of the list. `started` is on the planner's clock, fixed once for each life of the machine,
    so that neither a machine's clock nor a late list makes a life look new."""

    name: str
    address: str
    mode: Mode
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
    inventory_known: bool = False  # the machine has told what it holds; nothing is offered before
    incarnation: int = 0
    previous_incarnation: int = 0  # the life it was in when it last spoke
    queue: dict[str, None] = field(default_factory=dict)  # cases whose offer waits for the link
    guests: dict[str, None] = field(default_factory=dict)  # cases out or placed there
    lost_at: int = 0  # when it broke with something on it; 0: it did not
    dial_at: int = 0
    dial_due: int = 0
    inventory_due: int = 0
    used_at: int = 0
    heard_at: int = 0  # its last word, on whatever connection
    opened_at: int = 0
    offered_at: int = 0  # when the bytes of an offer left last; 0: none has
    address: str = ""  # that was dialled last
    successor: str = ""  # the machine that has its address now, and that speaks on this connection
    unconfirmed: bool = False  # not confirmed by the list since: another machine may have its address
    gone_at: int = 0  # when it was seen to have left the list with guests of ours; 0: it has not
    passes_probes: bool | None = None  # its last answer to one; None: it has given none
    probed_at: int = 0  # when it was last asked for its silence
    unanswered: int = 0  # probes in a row with nothing heard since they were sent
    # Words on what stands there, with when they are let go: for the next connection, and written to this one
    # so lately that it may have broken over them.
    pending_messages: list[tuple[int, Message]] = field(default_factory=list)
    recent_messages: list[tuple[int, Message]] = field(default_factory=list)
    past_connections: list[PastConnection] = field(default_factory=list)  # the last few

    def close(self, now: int, by_machine: bool = False) -> None:
        """The connection has ended, or its dial has."""
        if self.state == "up":
            self.past_connections = [
                *self.past_connections[1 - MAX_PAST_CONNECTIONS :],
                PastConnection(self.opened_at, now, by_machine),
            ]
        self.state, self.inventory_known = "down", False

    def exclude_pause(self, now: int, span: int) -> None:
        """So much of the time since it was lost, or left the list, does not count."""
        self.lost_at = min(now, self.lost_at + span) if self.lost_at else 0
        self.gone_at = min(now, self.gone_at + span) if self.gone_at else 0

    def is_idle(self) -> bool:
        """Nothing about this connection is waited for."""
        still = self.state == "down" or self.state == "up" and self.inventory_known
        return still and not (self.dial_at or self.lost_at)


@dataclass
class RosterChanges:
    """What a listing changed."""

    listed: list[Listed] = field(default_factory=list)
    added: list[str] = field(default_factory=list)  # machines not known before, or in a new life
    moved: list[str] = field(default_factory=list)  # with another address
    draining: list[str] = field(default_factory=list)  # that take nothing new any more
    gone: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # entries that cannot be used, and why


class Roster:
    """The machines as the list has them; emptied as machines leave it."""

    def __init__(self, kinds: dict[str, int]) -> None:
        self.kinds = kinds
        self.machines: dict[str, RosterMachine] = {}

    def update(self, now: int, listing: Listing) -> RosterChanges:
        changes = RosterChanges()
        for entry in listing.entries:
            if entry.kind not in self.kinds and entry.machine not in self.machines:
                changes.faults.append(f"{entry.machine}: no kind is called {entry.kind!r}")
                continue
            self._entry(now, entry, changes)
        if listing.whole:
            named = {entry.machine for entry in listing.entries}
            for name in [n for n in self.machines if n not in named]:
                changes.draining.append(name)
                changes.gone.append(name)
                del self.machines[name]
        return changes

    def _entry(self, now: int, entry: Entry, changes: RosterChanges) -> None:
        old = self.machines.get(entry.machine)
        mode = MODES[entry.mode]
        started = 0
        if old and old.incarnation == entry.incarnation:
            started = old.started
        elif entry.up_for is not None:
            started = max(1, now - entry.up_for)
        kind = self.kinds.get(entry.kind, old.kind if old else 0)  # a drain counts whatever kind it names
        changes.listed.append(
            Listed(
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
        if mode is not Mode.READY and (not old or old.mode is Mode.READY):
            changes.draining.append(entry.machine)
        if mode is Mode.GONE:
            changes.gone.append(entry.machine)
            self.machines.pop(entry.machine, None)
            return
        if not old or old.incarnation != entry.incarnation:
            changes.added.append(entry.machine)
        elif old.address != entry.address:
            changes.moved.append(entry.machine)
        self.machines[entry.machine] = RosterMachine(
            entry.machine, entry.address, mode, entry.incarnation, started, kind
        )
