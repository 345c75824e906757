"""Control machines tell one another what their own followers have. No I/O.

Each dials every other one, like a follower that asks for no revisions, and tells it the coverage of its own
followers; what others told it is not passed on. At six machines these are five connections out of each.
"""

from random import Random

from hazelhold.fleetconfig.coverage import Feed, Subtree
from hazelhold.fleetconfig.roster import ControlMachine
from hazelhold.fleetconfig.spread_actions import Close, Dial, Send, Times, take


class Peer:
    """Another control machine."""

    def __init__(self, machine: ControlMachine, feed: Feed) -> None:
        self.machine, self.feed = machine, feed
        self.connection: int | None = None
        self.is_open = False
        self.dialed_at = 0
        self.failures = 0
        self.dial_at = 0


class CoverageExchange:
    """One control machine's connections to the others. Driven like `FollowerCore`."""

    def __init__(
        self, subtree: Subtree, peers: list[ControlMachine], times: Times, seed: int, now: int
    ) -> None:
        """`peers` are the other control machines. The numbers of connections are this core's own."""
        self.actions: list[Dial | Send | Close] = []
        self._times = times
        self._random = Random(f"exchange/{seed}")
        self._peers = [Peer(machine, Feed(subtree, times)) for machine in peers]
        self._next_connection = 0
        self.tick(now)

    def connected(self, now: int, connection: int) -> None:
        """A dial succeeded and greetings were exchanged."""
        for peer in self._peers:
            if peer.connection == connection:
                peer.is_open, peer.failures = True, 0
                peer.feed.begin(now)
        self.tick(now)

    def disconnected(self, now: int, connection: int, reason: str) -> None:
        """A connection ended or could not be made."""
        for peer in self._peers:
            if peer.connection == connection:
                self._failed(now, peer)
        self.tick(now)

    def tick(self, now: int) -> None:
        """Time passed, or the subtree changed."""
        for peer in self._peers:
            if peer.connection is not None and not peer.is_open and now >= peer.dialed_at + self._times.dial:
                self.actions.append(Close(peer.connection, "dial timed out"))
                self._failed(now, peer)
            if peer.connection is None and now >= peer.dial_at:
                self._dial(now, peer)
            if peer.connection is not None and peer.is_open:
                self.actions += [Send(peer.connection, coverage) for coverage in peer.feed.take(now)]

    def take_actions(self) -> list[Dial | Send | Close]:
        """What is to be done now, in order."""
        return take(self.actions)

    def next_at(self) -> int | None:
        """When `tick` is to be called, at the latest; None: after the next event."""
        moments: list[int | None] = []
        for peer in self._peers:
            if peer.connection is None:
                moments.append(peer.dial_at)
            elif peer.is_open:
                moments.append(peer.feed.next_at())
            else:
                moments.append(peer.dialed_at + self._times.dial)
        return min((moment for moment in moments if moment is not None), default=None)

    def _dial(self, now: int, peer: Peer) -> None:
        self._next_connection += 1
        peer.connection, peer.is_open, peer.dialed_at = self._next_connection, False, now
        self.actions.append(Dial(peer.connection, peer.machine.name, peer.machine.address))

    def _failed(self, now: int, peer: Peer) -> None:
        span = min(self._times.backoff << min(peer.failures, 32), self._times.backoff_most)
        peer.failures += 1
        peer.connection, peer.is_open = None, False
        peer.dial_at = now + self._random.randint(span // 2, span)
        peer.feed.end()
