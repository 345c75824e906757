"""Delivers the ends of placed guests to owners: on the guest's own connection, else on another, else on the
next one."""

from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

import trio

from hazelhold.platform.codec import BinaryMessage
from hazelhold.platform.peer import OwnerPeer

LONGEST_WAIT = 8.0  # seconds that an end waits for an owner's connection


class WaitingRelease(NamedTuple):
    """An end that could not be sent on any connection; dropped at `due`, in seconds of trio's clock."""

    due: float
    binary: BinaryMessage


class Releases:
    """Sends ends on the connections in `peers`, a mapping that the creator keeps up to date."""

    def __init__(self, peers: Mapping[str, OwnerPeer], counts: Counter[str]) -> None:
        self.peers, self.counts = peers, counts
        self.waiting: deque[WaitingRelease] = deque()  # emptied by age and by the next usable connection

    def send(self, peer: OwnerPeer | None, binary: BinaryMessage) -> bool:
        """Sends an end on its own connection, else on any on which an owner has sent a valid message, else
        holds it for the next. False if it is held."""
        if peer is not None and peer.release(binary):
            return True
        by_preference = sorted(
            self.peers.values(), key=lambda p: (p.handed_over, p.had_placement, p.used_at), reverse=True
        )
        for other in by_preference:
            if other.sent_valid and other.release(binary):
                self.counts["releases_elsewhere"] += 1
                return True
        self.counts["releases_held"] += 1
        self.waiting.append(WaitingRelease(trio.current_time() + LONGEST_WAIT, binary))
        return False

    def send_waiting(self, peer: OwnerPeer) -> None:
        """Sends the waiting ends on a connection on which an owner has sent a valid message."""
        while self.waiting and peer.release(self.waiting[0].binary):
            self.waiting.popleft()

    def send_waiting_for(self, peer: OwnerPeer, guest: str) -> bool:
        """Sends the waiting end of a guest that is handed over again; False if none waits or it cannot be
        sent."""
        for each in self.waiting:
            if each.binary.id == guest and peer.release(each.binary):
                self.waiting.remove(each)
                return True
        return False

    def drop_overdue(self) -> None:
        """Drops the ends that have waited too long."""
        while self.waiting and self.waiting[0].due <= trio.current_time():
            self.waiting.popleft()
            self.counts["releases_lost"] += 1
