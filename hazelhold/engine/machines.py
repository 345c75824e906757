"""What the engine records of machines: the list as received, and the state of each connection."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from hazelhold.engine.addresses import Addresses
from hazelhold.interface import ListedMachine, MachineMode
from hazelhold.protocol.messages import Entry, Listing, Message

MAX_PAST_CONNECTIONS = 8  # ended connections that are remembered for a machine

MODES = {"ready": MachineMode.READY, "cordoned": MachineMode.CORDONED, "gone": MachineMode.GONE}


@dataclass
class RosterMachine:
    """One machine of the list.

    `started` is in microseconds of the planner's clock, fixed once for each incarnation of the machine, so
    that neither a machine's clock nor a late list makes an incarnation look new.
    """

    name: str
    address: str
    mode: MachineMode  # CORDONED while another machine has its address, whatever the list shows
    incarnation: int
    started: int
    kind: int
    listed_mode: MachineMode = MachineMode.READY


class PastConnection(NamedTuple):
    """A connection that has ended. Times in microseconds.

    `reset`: the machine ended it other than in order, as a process that dies does. `closed_by_machine`: the
    machine closed it in order, as a process does that runs on. `heard_at`: the last message on it, or its
    opening.
    """

    opened_at: int
    ended_at: int
    reset: bool
    closed_by_machine: bool = False
    heard_at: int = 0


class ConnectionEnd(Enum):
    """How a connection to a machine ended."""

    CLOSED = "closed in order by this planner, or given up"
    CLOSED_BY_MACHINE = "closed in order by the machine"
    RESET = "ended by the machine other than in order"


class ConnectionEvidence(Enum):
    """Which incarnation of a restarted machine a connection reaches, by what the connection carried."""

    NONE = "no evidence"
    NEW_INCARNATION = "it answered a probe that was sent after the list showed the restart"
    RESET = "it was reset before it answered that probe"
    SILENCE = "it did not answer that probe in time"


@dataclass
class ListedRestart:
    """A restart that the list has shown, while the connection that was open then awaits evidence.

    Times in microseconds. `started`: the new incarnation's start by the list's clock; `listed_at`: when the
    list showed it; `earliest_end`: the previous incarnation had not ended before, or the list would have
    shown it earlier, 0 if that is not known; `opened_at`: when the connection was opened.
    """

    started: int
    listed_at: int
    earliest_end: int
    opened_at: int
    probe_number: int
    decided_at: int
    evidence: ConnectionEvidence = ConnectionEvidence.NONE
    connection_ended_at: int = 0  # 0: it is open


@dataclass
class Link:
    """The connection to one machine. Times in microseconds; 0 means never."""

    machine: str
    state: str = "down"  # down, dialling, up
    inventory_known: bool = False  # the machine has reported its guests; nothing is offered before
    incarnation: int = 0
    previous_incarnation: int = 0  # the incarnation in which it last reported
    queue: dict[str, None] = field(default_factory=dict)  # records whose offer waits for the link
    guests: dict[str, None] = field(default_factory=dict)  # records outstanding or placed there
    lost_at: int = 0  # when it broke with guests on it; 0: it did not
    dial_at: int = 0
    dial_due: int = 0
    inventory_due: int = 0
    used_at: int = 0
    heard_at: int = 0  # its last message, on any connection
    first_heard_at: int = 0  # its first message to this process of the planner
    opened_at: int = 0
    without_guests_at: int = 0  # when it was last seen to have no guests of this planner
    reset_at: int = 0  # when its machine last ended a connection other than in order, as a process that dies
    # Of the guests that it has reported on since `reset_at`, when the first was sent there; 0: none.
    oldest_reported_at: int = 0
    oldest_reported_here: int = 0  # the same on the open connection
    offered_at: int = 0  # when the bytes of an offer were last written; 0: never
    address: str = ""  # the last one dialled
    successor: str = ""  # the machine that has its address now and that answers on this connection
    # Not confirmed by the list since it was opened: another machine may have the address.
    unconfirmed: bool = False
    gone_at: int = 0  # when it was seen to have left the list with guests of this planner; 0: it has not
    passes_probes: bool | None = None  # its last answer to a probe; None: none yet
    probed_at: int = 0  # when it was last probed because it was silent
    unanswered: int = 0  # probes in a row after which nothing was received
    # Messages about guests there, with when they expire: for the next connection, and written to this one so
    # lately that they may have been lost with it.
    pending_messages: list[tuple[int, Message]] = field(default_factory=list)
    recent_messages: list[tuple[int, Message]] = field(default_factory=list)
    past_connections: list[PastConnection] = field(default_factory=list)  # the last few
    restart: ListedRestart | None = None  # while it is open which incarnation the connection reaches

    def close(self, now: int, end: ConnectionEnd = ConnectionEnd.CLOSED) -> None:
        """Records that the connection, or its dial, has ended."""
        if self.state == "up":
            reset, by_machine = end is ConnectionEnd.RESET, end is ConnectionEnd.CLOSED_BY_MACHINE
            self.past_connections = [
                *self.past_connections[1 - MAX_PAST_CONNECTIONS :],
                PastConnection(self.opened_at, now, reset, by_machine, max(self.opened_at, self.heard_at)),
            ]
            if self.restart is not None and not self.restart.connection_ended_at:
                self.restart.connection_ended_at = now
        self.state, self.inventory_known, self.oldest_reported_here = "down", False, 0

    def last_heard_on_connection(self, sent_at: int) -> int:
        """When the last message came on the connection on which something was sent at this time; 0 if that
        connection is not remembered."""
        if self.state == "up" and self.opened_at <= sent_at:
            return max(self.opened_at, self.heard_at)
        return max(
            (c.heard_at for c in self.past_connections if c.opened_at <= sent_at <= c.ended_at), default=0
        )

    def silent_since(self) -> int:
        """Since when the machine has sent nothing although it has guests of this planner."""
        return max(self.heard_at, self.without_guests_at)

    @property
    def awaits_evidence(self) -> bool:
        """Whether it is open which incarnation of its machine the open connection reaches."""
        return self.restart is not None and not self.restart.connection_ended_at

    def exclude_pause(self, now: int, duration: int) -> None:
        """Excludes so many microseconds from the time since it was lost or left the list."""
        self.lost_at = min(now, self.lost_at + duration) if self.lost_at else 0
        self.gone_at = min(now, self.gone_at + duration) if self.gone_at else 0

    def was_reset(self, now: int) -> None:
        """Its machine ended the connection other than in order: what it reported before counts no more."""
        self.reset_at, self.oldest_reported_at = now, 0

    def guest_reported(self, sent_at: int) -> None:
        """Its machine has reported on a placed guest that was sent there at `sent_at`."""
        self.oldest_reported_at = min(sent_at, self.oldest_reported_at or sent_at)
        self.oldest_reported_here = min(sent_at, self.oldest_reported_here or sent_at)

    def outlived(self, reset_at: int) -> bool:
        """Whether the process that answers ran already before this reset and has outlived all since."""
        return 0 < self.oldest_reported_at < reset_at

    def has_what_was_sent_at(self, sent_at: int) -> bool:
        """Whether what was sent at this time reached the process that answers on the open connection, or a
        later one: it has reported there on a guest that was sent no later, and a process has only its own."""
        return 0 < self.oldest_reported_here <= sent_at

    def is_idle(self) -> bool:
        """Whether nothing is awaited on this connection."""
        is_settled = self.state == "down" or self.state == "up" and self.inventory_known
        return is_settled and not (self.dial_at or self.lost_at)


@dataclass
class RosterChanges:
    """What a listing changed in the roster."""

    listed: list[ListedMachine] = field(default_factory=list)
    added: list[str] = field(default_factory=list)  # machines not known before, or in a new incarnation
    moved: list[str] = field(default_factory=list)  # machines with another address
    draining: list[str] = field(default_factory=list)  # machines that accept no new guests any more
    gone: list[str] = field(default_factory=list)
    displaced: list[str] = field(default_factory=list)  # machines whose address another one has now
    restored: list[str] = field(default_factory=list)  # machines that have their address again
    faults: list[str] = field(default_factory=list)  # entries that cannot be used, and why


class Roster:
    """The machines as the list shows them; emptied as machines leave it."""

    def __init__(self, kinds: dict[str, int]) -> None:
        self.kinds = kinds
        self.machines: dict[str, RosterMachine] = {}
        self.addresses = Addresses()

    def update(self, now: int, listing: Listing) -> RosterChanges:
        """Applies a listing that was received at `now`; returns what it changed."""
        changes, displaced_before = RosterChanges(), set(self.addresses.displaced_at)
        self.addresses.begin_listing()
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
                self.addresses.release(name)
                del self.machines[name]
        self._update_modes(displaced_before, changes)
        return changes

    def _update_modes(self, displaced_before: set[str], changes: RosterChanges) -> None:
        """A machine whose address another one has accepts nothing: what is sent there reaches the other."""
        displaced = self.addresses.displaced_at
        changes.displaced = [name for name in displaced if name not in displaced_before]
        changes.restored = [name for name in displaced_before - displaced.keys() if name in self.machines]
        for name in changes.restored:
            self.machines[name].mode = self.machines[name].listed_mode
        for name in displaced:
            if self.machines[name].mode is MachineMode.READY:
                self.machines[name].mode = MachineMode.CORDONED
                changes.draining += [name] if name in changes.displaced else []
        changes.listed = [
            each._replace(mode=MachineMode.CORDONED)
            if each.mode is MachineMode.READY and each.machine in displaced
            else each
            for each in changes.listed
        ]

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
            ListedMachine(
                entry.machine,
                mode,
                started,
                entry.zone,
                entry.cell,
                kind,
                entry.cores_room,
                entry.memory_room,
                entry.incarnation,
            )
        )
        if mode is not MachineMode.READY and (not old or old.mode is MachineMode.READY):
            changes.draining.append(entry.machine)
        if mode is MachineMode.GONE:
            changes.gone.append(entry.machine)
            self.addresses.release(entry.machine)
            self.machines.pop(entry.machine, None)
            return
        if not old or (old.incarnation, old.address) != (entry.incarnation, entry.address):
            self.addresses.claim(now, entry.machine, entry.address, started)
        if not old or old.incarnation != entry.incarnation:
            changes.added.append(entry.machine)
        elif old.address != entry.address:
            changes.moved.append(entry.machine)
        self.machines[entry.machine] = RosterMachine(
            entry.machine, entry.address, mode, entry.incarnation, started, kind, mode
        )
