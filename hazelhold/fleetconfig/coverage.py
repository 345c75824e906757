"""What each planner of a subtree has in force, and telling it upwards. No I/O.

A planner's state may come over several connections for a while (it changed its source, or two control
machines tell of it). Each connection's word is kept until that connection says otherwise or ends, and the
best of them counts, so the result does not depend on the order in which they come.
"""

from collections import Counter
from collections.abc import Iterator

import msgspec

from hazelhold.fleetconfig.messages import Coverage, MemberState
from hazelhold.fleetconfig.spread_actions import Times

MOST_MEMBERS = 16_384  # names that are kept; more are refused and counted
MEMBERS_A_MESSAGE = 1000
MAX_REASON = 200  # characters
SELF = -1  # the connection number under which a planner's own state stands


class Subtree:
    """The states of a planner and of those that follow it, by name.

    `passed_on` of a connection: whether what it tells is told further (a control machine does not pass on
    what another one told, so that nothing goes in circles).
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.listeners: list[Listener] = []
        self._told: dict[str, dict[int, MemberState]] = {}  # by name, then by connection
        self._names: dict[int, set[str]] = {}  # by connection
        self._not_passed_on: set[int] = set()

    @property
    def is_followed(self) -> bool:
        """Whether any connection tells of others."""
        return len(self._names) > (SELF in self._names)

    def add(self, connection: int, passed_on: bool = True) -> None:
        """A follower's connection begins."""
        self._names[connection] = set()
        if not passed_on:
            self._not_passed_on.add(connection)

    def tell(self, connection: int, coverage: Coverage) -> None:
        """Takes what a connection tells. Connections that were not added are passed over."""
        if connection not in self._names:
            return
        if coverage.whole:
            present = {state.name for state in coverage.members}
            for name in self._names[connection] - present:
                self._withdraw(connection, name)
        for state in coverage.members:
            if state.connected:
                self._keep(connection, state)
            else:
                self._withdraw(connection, state.name)

    def own(self, state: MemberState) -> None:
        """This planner's own state."""
        self._names.setdefault(SELF, set())
        self._keep(SELF, state)

    def end(self, connection: int) -> None:
        """A connection ended: what only it told is no longer connected."""
        for name in self._names.pop(connection, ()):
            self._forget(connection, name)
        self._not_passed_on.discard(connection)

    def state(self, name: str) -> MemberState | None:
        """The best that any connection tells; None if none does."""
        return _best(self._told.get(name, {}).values())

    def states_passed_on(self) -> Iterator[MemberState]:
        """All that is told further."""
        for name in self._told:
            state = self.state_passed_on(name)
            if state is not None:
                yield state

    def state_passed_on(self, name: str) -> MemberState | None:
        """What is told further of a planner; None if nothing is."""
        told = self._told.get(name, {})
        return _best(state for connection, state in told.items() if connection not in self._not_passed_on)

    def _keep(self, connection: int, state: MemberState) -> None:
        told = self._told.get(state.name)
        if told is None:
            if len(self._told) >= MOST_MEMBERS:
                self.counts["members_refused"] += 1
                return
            told = self._told[state.name] = {}
        if len(state.reason) > MAX_REASON:
            state = msgspec.structs.replace(state, reason=state.reason[:MAX_REASON])
        if told.get(connection) == state:
            return
        told[connection] = state
        self._names[connection].add(state.name)
        self._changed(state.name)

    def _withdraw(self, connection: int, name: str) -> None:
        if name in self._names[connection]:
            self._names[connection].discard(name)
            self._forget(connection, name)

    def _forget(self, connection: int, name: str) -> None:
        told = self._told[name]
        del told[connection]
        if not told:
            del self._told[name]
        self._changed(name)

    def _changed(self, name: str) -> None:
        for listener in self.listeners:
            listener.changed(name)


class Listener:
    """Hears of names whose state may have changed."""

    def changed(self, name: str) -> None:
        raise NotImplementedError


class Feed(Listener):
    """What is still to be told over one upstream connection, and when.

    Changes are coalesced: a planner that nobody follows tells its own at once, a relay waits a little for
    those that follow it; then at most one telling each `Times.coverage`. The whole is told first and from
    time to time again, so that nothing rests on each message having arrived.
    """

    def __init__(self, subtree: Subtree, times: Times) -> None:
        self._subtree, self._times = subtree, times
        self._changed: set[str] = set()
        self._changed_at: int | None = None
        self._told: dict[str, MemberState] = {}  # what this connection was told of those connected
        self._told_at: int | None = None
        self._whole_at: int | None = None  # when the whole is due; None: nobody is told
        self._now = 0
        subtree.listeners.append(self)

    def begin(self, now: int) -> None:
        """A new upstream connection: it is told the whole."""
        self._now, self._told_at, self._whole_at = now, None, now

    def end(self) -> None:
        """No upstream connection."""
        self._whole_at = None

    def close(self) -> None:
        """This feed is used no more."""
        self._subtree.listeners.remove(self)

    def changed(self, name: str) -> None:
        """News for the other side is only what differs from what it was told. Most of what a control machine
        hears comes from another one, and is not told further."""
        if self._subtree.state_passed_on(name) != self._told.get(name):
            self._changed.add(name)

    def next_at(self) -> int | None:
        """When `take` has something; None if not before another event."""
        if self._whole_at is None:
            return None
        if not self._changed:
            return self._whole_at
        if self._changed_at is None:
            return self._now
        due = self._changed_at + (self._times.coverage_hold if self._subtree.is_followed else 0)
        if self._told_at is not None:
            due = max(due, self._told_at + self._times.coverage)
        return min(due, self._whole_at)

    def take(self, now: int) -> list[Coverage]:
        """The messages that are due now, often none. To be called after each event and at `next_at`."""
        self._now = now
        if self._changed and self._changed_at is None:
            self._changed_at = now
        due = self.next_at()
        if due is None or due > now:
            return []
        whole = self._whole_at is not None and self._whole_at <= now
        members = list(self._subtree.states_passed_on()) if whole else self._changes()
        if whole:
            self._whole_at = now + self._times.coverage_whole
            self._told.clear()
        self._note(members)
        self._changed.clear()
        self._changed_at, self._told_at = None, now
        return _messages(members, whole)

    def _note(self, members: list[MemberState]) -> None:
        """These are about to be told."""
        for state in members:
            if state.connected:
                self._told[state.name] = state
            else:
                self._told.pop(state.name, None)

    def _changes(self) -> list[MemberState]:
        found = []
        for name in sorted(self._changed):
            state = self._subtree.state_passed_on(name)
            found.append(state or MemberState(name=name, in_force=0, received=0, connected=False))
        return found


def _messages(members: list[MemberState], whole: bool) -> list[Coverage]:
    pages = [members[at : at + MEMBERS_A_MESSAGE] for at in range(0, len(members), MEMBERS_A_MESSAGE)]
    return [
        Coverage(members=tuple(page), whole=whole and not number) for number, page in enumerate(pages or [[]])
    ]


def _best(states: Iterator[MemberState]) -> MemberState | None:
    return max(states, key=lambda state: (state.in_force, state.received), default=None)
