"""The side that is followed, the same on control machines and relays. No I/O.

Each follower has at most one message on its way: the next one is made when the host says that the last one
was written, from the history as it is then. So what is held for a slow follower is one message, and what is
made for it is what it still needs. New revisions are told to all followers together: at once after a while
without any, and then at most once in `Times.batch`. Who asks for what it lacks is answered at once.

Driven like `FollowerCore`; connections are numbered by the host.
"""

from collections import Counter
from collections.abc import Iterable

from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.everywhere import FleetCoverage
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import (
    NEVER,
    PAGE_BYTES,
    ConfigMessage,
    Coverage,
    Follow,
    Heartbeat,
    Revisions,
)
from hazelhold.fleetconfig.packed import Packer
from hazelhold.fleetconfig.revision import Position, SealedRevision
from hazelhold.fleetconfig.snapshot import Snapshot
from hazelhold.fleetconfig.spread_actions import Close, Send, Times, take


class Follower:
    """One connection of a follower."""

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.heard_at = now
        self.asked: Position | None = None  # the last Follow; None: nothing is sent
        self.sent = 0  # the number of the last revision that was sent
        self.through = 0  # up to here it may be sent, whatever is held back
        self.packed = False  # it understands packed revisions
        self.snapshot: Snapshot | None = None
        self.page = 0
        self.busy_since: int | None = None  # a message is being written
        self.owes_heartbeat = False


class SourceCore:
    """Serves followers from the history. `history` and `subtree` are shared with this process's
    `FollowerCore` on a planner; on a control machine `fleet` is told of coverage."""

    def __init__(
        self,
        name: str,
        history: History,
        subtree: Subtree,
        times: Times,
        now: int,
        peers: Iterable[str] = (),
        fleet: FleetCoverage | None = None,
    ) -> None:
        """`peers` are the other control machines, whose coverage is not passed on (`exchange`)."""
        self.name, self.history, self.subtree, self.fleet = name, history, subtree, fleet
        self.actions: list[Send | Close] = []
        self.counts: Counter[str] = Counter()
        self._times = times
        self._peers = frozenset(peers)
        self._followers: dict[int, Follower] = {}
        self._connections: dict[str, int] = {}  # by follower's name
        self._heartbeat_at = now + times.heartbeat
        self._confirmed_at: int | None = None
        self._route: tuple[str, ...] = ()
        self.served = history.position  # as far as `advanced` was told
        self._released = history.position.number  # up to here all followers may be sent revisions
        self._released_bytes = history.taken_bytes
        self._release_at = now  # what is newer is held back until then
        self._packer = Packer()

    def connected(self, now: int, connection: int, follower: str) -> None:
        """A follower's connection was accepted and greetings were exchanged. An older connection under the
        same name is ended."""
        before = self._connections.get(follower)
        if before is not None:
            self.counts["followers_connected_again"] += 1
            self._end(before, "the same follower connected again")
        self._followers[connection] = Follower(follower, now)
        self._connections[follower] = connection
        self.subtree.add(connection, passed_on=follower not in self._peers)
        self._settle(now)

    def disconnected(self, now: int, connection: int) -> None:
        """A follower's connection ended."""
        self._forget(connection)
        self._settle(now)

    def heard(self, now: int, connection: int, message: ConfigMessage) -> None:
        """A message from a follower."""
        follower = self._followers.get(connection)
        if follower is None:
            return
        follower.heard_at = now
        if isinstance(message, Follow):
            self._take_follow(now, connection, follower, message)
        elif isinstance(message, Coverage):
            self.subtree.tell(connection, message)
        else:
            self.counts["refused_unexpected"] += 1
            self._end(connection, f"a {type(message).__name__} from a follower")
        self._settle(now)

    def written(self, now: int, connection: int) -> None:
        """The last message to this follower left this process."""
        follower = self._followers.get(connection)
        if follower is not None:
            follower.busy_since = None
            self._pump(now, connection, follower)

    def advanced(self, now: int) -> None:
        """The history has new revisions, or a snapshot."""
        self.served = self.history.position
        self._release(now)
        self._settle(now)

    def confirmed(self, at: int | None, route: tuple[str, ...]) -> None:
        """When (this process's clock) a majority confirmed that nothing newer than what is here was
        committed, as far as known here, and the names that this word went through: a control machine says
        (), a relay what its follower's `Standing` says."""
        self._confirmed_at, self._route = at, route

    def tick(self, now: int) -> None:
        """Time passed."""
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._times.heartbeat
            for connection, follower in list(self._followers.items()):
                self._beat(now, connection, follower)
        self._release(now)
        self._settle(now)

    def next_at(self) -> int:
        """When `tick` is to be called, at the latest."""
        return min(self._heartbeat_at, self._release_at) if self._holds else self._heartbeat_at

    def take_actions(self) -> list[Send | Close]:
        """What is to be done now, in order."""
        return take(self.actions)

    @property
    def followers(self) -> list[str]:
        """The names of those that are connected."""
        return list(self._connections)

    @property
    def _holds(self) -> bool:
        """Whether revisions are held back."""
        return self._released < self.history.position.number

    def _release(self, now: int) -> None:
        """Tells all followers what is new, unless it is held back: not for longer than `Times.batch` after
        the last time, and no more than a page."""
        is_page = self.history.taken_bytes - self._released_bytes >= PAGE_BYTES
        if not self._holds or (now < self._release_at and not is_page):
            return
        self._released, self._released_bytes = self.history.position.number, self.history.taken_bytes
        self._release_at = now + self._times.batch
        for connection, follower in list(self._followers.items()):
            self._pump(now, connection, follower)

    def _take_follow(self, now: int, connection: int, follower: Follower, message: Follow) -> None:
        first = follower.asked is None
        follower.asked = Position(message.number, message.chain)
        follower.sent = message.number
        follower.through = self.history.position.number
        follower.packed = message.packed
        follower.snapshot = None
        follower.owes_heartbeat |= first
        self._pump(now, connection, follower)

    def _beat(self, now: int, connection: int, follower: Follower) -> None:
        since = follower.busy_since
        if since is not None and now - since > self._times.write:
            self.counts["followers_too_slow"] += 1
            self._end(connection, "a message could not be written")
        elif now - follower.heard_at > self._times.follower_silent:
            self.counts["followers_silent"] += 1
            self._end(connection, "silent")
        elif follower.asked is not None:
            follower.owes_heartbeat = True
            self._pump(now, connection, follower)

    def _pump(self, now: int, connection: int, follower: Follower) -> None:
        if follower.busy_since is not None or follower.asked is None:
            return
        message = self._next_message(now, connection, follower)
        if message is not None:
            follower.busy_since = now
            self.actions.append(Send(connection, message))

    def _next_message(self, now: int, connection: int, follower: Follower) -> ConfigMessage | None:
        if follower.owes_heartbeat:
            follower.owes_heartbeat = False
            return self._heartbeat(now)
        if follower.snapshot is not None:
            return self._next_page(follower, follower.snapshot)
        if follower.asked is not None and self.history.contradicts(follower.asked):
            return self._show_contradiction(connection, follower, follower.asked)
        if follower.sent >= max(self._released, follower.through):
            return None
        found = self.history.revisions_after(follower.sent)
        if found:
            return self._revisions(follower, found)
        self.counts["snapshots_begun"] += 1
        follower.snapshot, follower.page = self.history.snapshot(), 0
        return self._next_page(follower, follower.snapshot)

    def _revisions(self, follower: Follower, found: list[SealedRevision]) -> ConfigMessage:
        """As many of these as go into one message, packed if the follower and they allow it."""
        packed = self._packer.pack(found) if follower.packed else None
        if packed is not None:
            follower.sent += packed.count
            return packed.message
        plain = found if not follower.packed else found[:1]
        follower.sent += len(plain)
        return Revisions(bodies=tuple(sealed.body for sealed in plain), chain=plain[-1].chain)

    def _next_page(self, follower: Follower, snapshot: Snapshot) -> ConfigMessage:
        page = snapshot.pages[follower.page]
        follower.page += 1
        if follower.page == len(snapshot.pages):
            follower.snapshot = None
            follower.sent = snapshot.position.number
            follower.asked = snapshot.position
        return page

    def _show_contradiction(
        self, connection: int, follower: Follower, asked: Position
    ) -> ConfigMessage | None:
        """Once, the revision here under the number that the follower has another one under: it finds that out
        by itself, or it asked with a damaged checksum and goes on."""
        self.counts["followers_contradict"] += 1
        evidence = self.history.after(asked.number - 1, most_bytes=0)
        if evidence is None:
            self._end(connection, "another chain")
            return None
        follower.asked = Position(asked.number, evidence.chain)
        return evidence

    def _heartbeat(self, now: int) -> Heartbeat:
        position = self.history.position
        age = NEVER if self._confirmed_at is None else max(now - self._confirmed_at, 0)
        route = (*self._route, self.name)
        return Heartbeat(number=position.number, chain=position.chain, confirmed_age=age, route=route)

    def _end(self, connection: int, reason: str) -> None:
        self.actions.append(Close(connection, reason))
        self._forget(connection)

    def _forget(self, connection: int) -> None:
        follower = self._followers.pop(connection, None)
        if follower is not None:
            if self._connections.get(follower.name) == connection:
                del self._connections[follower.name]
            self.subtree.end(connection)

    def _settle(self, now: int) -> None:
        if self.fleet is not None:
            self.fleet.settle(now)
