"""Ends of tasks that stand, told to owners: on their own connection, else on another, else on the next."""

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

import trio

from hazelhold.platform.codec import BinaryMessage
from hazelhold.platform.peer import OwnerPeer

LONGEST_WAIT = 8.0  # seconds that an end waits for a connection of owners


class WaitingRelease(NamedTuple):
    """An end that no connection could be told, until `due` in seconds of trio's clock."""

    due: float
    binary: BinaryMessage


class Releases:
    """Ends that are owed, among the connections in `peers` (which its owner keeps)."""

    def __init__(self, peers: Mapping[str, OwnerPeer], counts: Counter[str]) -> None:
        self.peers, self.counts = peers, counts
        self.waiting: deque[WaitingRelease] = deque()  # emptied by age, and by the next connection of use

    def send(self, peer: OwnerPeer | None, binary: BinaryMessage) -> None:
        """Tells an end on its own connection, else on any that has shown itself an owner's, else keeps it for
        the next."""
        if peer is not None and peer.release(binary):
            return
        by_claim = sorted(
            self.peers.values(), key=lambda p: (p.handed_over, p.had_placement, p.used_at), reverse=True
        )
        for other in by_claim:
            if other.sent_valid and other.release(binary):
                self.counts["releases_elsewhere"] += 1
                return
        self.counts["releases_held"] += 1
        self.waiting.append(WaitingRelease(trio.current_time() + LONGEST_WAIT, binary))

    def send_waiting(self, peer: OwnerPeer) -> None:
        """Tells what waits on a connection that has shown itself an owner's."""
        while self.waiting and peer.release(self.waiting[0].binary):
            self.waiting.popleft()

    def send_waiting_for(self, peer: OwnerPeer, task: str) -> bool:
        """Tells the end of a task that waits, if one does: a task that is handed over once more is over."""
        for each in self.waiting:
            if each.binary.id == task and peer.release(each.binary):
                self.waiting.remove(each)
                return True
        return False

    def drop_overdue(self) -> None:
        """Gives up what has waited too long."""
        while self.waiting and self.waiting[0].due <= trio.current_time():
            self.waiting.popleft()
            self.counts["releases_lost"] += 1
