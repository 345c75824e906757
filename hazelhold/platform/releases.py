"""Which connection is told the end of a task that stood, where the task's own connection has gone. Decides
only; no I/O.

An end may be told on any connection of owners, but nothing says which connections are theirs: tests and
usable requests also come from others, and an end that is told to those is lost. Only a placed or handed-over
task shows an owner. An end waits some time for such a connection before it is told on another.
"""

from enum import IntEnum
from typing import NamedTuple

from hazelhold.platform.codec import BinaryMessage
from hazelhold.platform.peer import OwnerPeer

PATIENCE = 0.5  # seconds that an end waits for a connection that shows an owner; it is due within 1 s


class Claim(IntEnum):
    """What a connection has shown of being an owner's; the highest is told first."""

    NONE = 0  # nothing of use
    TESTED = 1  # a test
    ASKED = 2  # a request that can be used, or an end of one in hand
    SERVED = 3  # a task was placed on it
    HANDED_OVER = 4  # tasks that stand were handed over on it


class HeldRelease(NamedTuple):
    """An end that is not told yet, and since when, in seconds of trio's clock."""

    since: float
    message: BinaryMessage


def claim_of(peer: OwnerPeer) -> Claim:
    """What `peer` has shown so far."""
    if peer.handed_over:
        return Claim.HANDED_OVER
    if peer.proven:
        return Claim.SERVED
    if peer.asked:
        return Claim.ASKED
    return Claim.TESTED if peer.good else Claim.NONE


def claim_needed(held: HeldRelease, now: float) -> Claim:
    """The least claim of a connection that may be told `held` at `now`, in seconds of trio's clock."""
    return Claim.SERVED if now < held.since + PATIENCE else Claim.TESTED
