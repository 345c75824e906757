"""Decides which idle owner connection is closed for a new one when the connection limit is reached. No I/O.

Closing a connection loses what its owner was about to send: the first request of a new connection, or bytes
that are not read yet. Closing any other idle connection costs its owner a reconnect.
"""

from collections.abc import Collection
from enum import IntEnum

from hazelhold.engine.permission import close_denied
from hazelhold.platform.peer import OwnerPeer

FRESH_PERIOD = 0.2  # seconds in which the first message of a new connection may still be in transit
STUCK_AFTER = 0.5  # seconds after which an owner that has read nothing counts as stuck


class EvictionRank(IntEnum):
    """How much is lost by closing an idle connection; the lowest is closed first."""

    SILENT = 0  # has sent no valid message in time, or reads nothing
    ASKED = 1  # has sent a valid message, but had no guest placed
    SERVED = 2  # had a guest placed
    HANDED_OVER = 3  # placed guests were handed over on it: their ends are owed to it
    FRESH = 4  # just opened: its first request may be in transit


def is_stuck(peer: OwnerPeer, now: float) -> bool:
    """Whether the owner does not read what is being written to it. `now` in seconds of trio's clock."""
    return bool(peer.sending and peer.sending_from < now - STUCK_AFTER)


def eviction_order(peers: Collection[OwnerPeer], now: float) -> list[OwnerPeer]:
    """Returns the connections that may be closed, first to close first. `now` in seconds of trio's clock.

    Connections with open guests are excluded, and so is the most recently used one that had a guest placed
    or handed over: ends of guests whose own connection is closed are sent there. If most connections are
    fresh, most of them will never send anything, so being fresh protects none of them. Within a rank, those
    without unsent output come first, then those without a partial message, then the longest idle.
    """
    served = (peer for peer in peers if (peer.had_placement or peer.handed_over) and not peer.closing)
    protected = max(served, key=lambda peer: peer.used_at, default=None)
    idle = [
        peer
        for peer in peers
        if not close_denied(len(peer.open)) and not peer.closing and peer is not protected
    ]
    stuck = {peer: is_stuck(peer, now) for peer in idle}
    fresh = {peer: not peer.sent_valid and peer.opened_at > now - FRESH_PERIOD for peer in idle}
    mostly_fresh = 2 * sum(fresh.values()) > len(peers)

    def rank(peer: OwnerPeer) -> EvictionRank:
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
            rank(peer),
            peer.unsent() and not stuck[peer],
            peer.reader.has_partial_message,
            peer.used_at,
        ),
    )
