"""Ends of tasks that stand, told to owners: on their own connection, else on another, else on the next.

An end may be told on any connection of owners, but nothing says which connections are theirs: tests and
usable requests also come from others, and an end that is told to those is lost. Only a placed or handed-over
task shows an owner. An end waits some time for such a connection before it is told on another.
"""

from collections import Counter, deque
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

import trio

from hazelhold.platform.codec import BinaryMessage
from hazelhold.platform.peer import OwnerPeer

PATIENCE = 0.5  # seconds that an end waits for a connection that shows an owner; it is due within 1 s
LONGEST_WAIT = 8.0  # seconds that an end waits for a connection of owners


class Claim(IntEnum):
    """What a connection has shown of being an owner's; the highest is told first."""

    NONE = 0  # nothing of use
    TESTED = 1  # a test
    ASKED = 2  # a request that can be used, or an end of one in hand
    SERVED = 3  # a task was placed on it
    HANDED_OVER = 4  # tasks that stand were handed over on it


def claim_of(peer: OwnerPeer) -> Claim:
    """What `peer` has shown so far."""
    if peer.handed_over:
        return Claim.HANDED_OVER
    if peer.proven:
        return Claim.SERVED
    if peer.asked:
        return Claim.ASKED
    return Claim.TESTED if peer.good else Claim.NONE


class WaitingRelease(NamedTuple):
    """An end that is not told yet, and since when, in seconds of trio's clock."""

    since: float
    binary: BinaryMessage

    def claim_needed(self, now: float) -> Claim:
        """The least claim of a connection that may be told it at `now`."""
        return Claim.SERVED if now < self.since + PATIENCE else Claim.TESTED


class Releases:
    """Ends that are owed, among the connections in `peers` (which its owner keeps)."""

    nursery: trio.Nursery  # set by the planner before connections come

    def __init__(self, peers: Mapping[str, OwnerPeer], counts: Counter[str]) -> None:
        self.peers, self.counts = peers, counts
        self.waiting: deque[WaitingRelease] = deque()  # emptied by age, and by the next connection of use

    def tell(self, peer: OwnerPeer | None, binary: BinaryMessage) -> None:
        """Tells an end on its own connection, else on another that has shown itself an owner's. Without one
        it waits for the next; past PATIENCE any that sent something of use is told."""
        if peer is not None and peer.release(binary):
            return
        for other in self._by_claim():
            if claim_of(other) >= Claim.SERVED and other.release(binary):
                self.counts["releases_elsewhere"] += 1
                return
        self.counts["releases_held"] += 1
        self.waiting.append(WaitingRelease(trio.current_time(), binary))
        self.nursery.start_soon(self._tell_late)

    def tell_waiting(self, peer: OwnerPeer, at_once: bool = False) -> None:
        """Tells `peer` of what waits what its claim allows; `at_once`: as if all had waited long enough."""
        now, claim = trio.current_time(), claim_of(peer)
        while self.waiting:
            needed = Claim.TESTED if at_once else self.waiting[0].claim_needed(now)
            if claim < needed or not peer.release(self.waiting[0].binary):
                return
            self.counts["releases_to_unproven"] += claim < Claim.SERVED
            self.waiting.popleft()

    def tell_anyone(self, at_once: bool = False) -> None:
        """As `tell_waiting`, on all connections, those with the best claim first."""
        for peer in self._by_claim():
            if not self.waiting:
                return
            self.tell_waiting(peer, at_once)

    def drop_overdue(self) -> None:
        """Gives up what has waited too long."""
        while self.waiting and self.waiting[0].since + LONGEST_WAIT <= trio.current_time():
            self.waiting.popleft()
            self.counts["releases_lost"] += 1

    def _by_claim(self) -> list[OwnerPeer]:
        """Connections of owners, those with the best claim on ends first; of one claim the last used."""
        return sorted(self.peers.values(), key=lambda peer: (claim_of(peer), peer.used_at), reverse=True)

    async def _tell_late(self) -> None:
        """Tells what has waited long enough; where nobody is there, the next that says something is told."""
        await trio.sleep(PATIENCE)
        self.tell_anyone()
