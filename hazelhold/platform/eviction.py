"""Which idle connection of an owner is closed for a new one where all are taken. Decides only; no I/O.

Lost is what a closed connection was about to say: the first request of one that has just come, or bytes that
lie unread. A connection of use that is closed while idle costs its owner a dial.
"""

from collections.abc import Collection
from enum import IntEnum

from hazelhold.engine.permission import close_denied
from hazelhold.platform.peer import OwnerPeer

FRESH = 0.2  # seconds in which the first message of a new connection may still be on its way
STUCK = 0.5  # seconds in which an idle owner has read nothing


class EvictionRank(IntEnum):
    """How much is lost with an idle connection; the lowest is closed first."""

    SILENT = 0  # has said nothing of use in time, or reads nothing
    ASKED = 1  # has said something of use, and no task of its was placed
    SERVED = 2  # a task was placed on it
    HANDED_OVER = 3  # tasks that stand were handed over on it: their ends are owed to it
    FRESH = 4  # came just now: its first request may be on its way


def is_stuck(peer: OwnerPeer, now: float) -> bool:
    """Whether its owner reads nothing of what is being written to it."""
    return bool(peer.sending and peer.sending_from < now - STUCK)


def eviction_order(peers: Collection[OwnerPeer], now: float) -> list[OwnerPeer]:
    """The connections that may be closed, the first to go first. `now` in seconds of trio's clock.

    Those with open requests are none of them. The served one that was used last stays, too: ends of tasks
    whose own connection has gone are told there. Where most connections are fresh, most of them will say
    nothing, and being fresh protects none. Of one standing go first those to which nothing is left to be
    written, then those that hold no part of a message, then the longest idle.
    """
    served = (peer for peer in peers if (peer.had_placement or peer.handed_over) and not peer.closing)
    kept = max(served, key=lambda peer: peer.used_at, default=None)
    idle = [
        peer for peer in peers if not close_denied(len(peer.open)) and not peer.closing and peer is not kept
    ]
    stuck = {peer: is_stuck(peer, now) for peer in idle}
    fresh = {peer: not peer.sent_valid and peer.opened_at > now - FRESH for peer in idle}
    mostly_fresh = 2 * sum(fresh.values()) > len(peers)

    def standing(peer: OwnerPeer) -> EvictionRank:
        if stuck[peer]:
            return EvictionRank.SILENT
        if peer.handed_over:
            return EvictionRank.HANDED_OVER
        if peer.sent_valid:
            return EvictionRank.SERVED if peer.had_placement else EvictionRank.ASKED
        return EvictionRank.FRESH if fresh[peer] and not mostly_fresh else EvictionRank.SILENT

    return sorted(
        idle,
        key=lambda peer: (
            standing(peer),
            peer.unsent() and not stuck[peer],
            peer.reader.has_partial_message,
            peer.used_at,
        ),
    )
