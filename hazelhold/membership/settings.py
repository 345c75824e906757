"""What a deployment sets for membership, and the actions of its core.

Times are whole microseconds.
"""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """What a deployment sets. Times in microseconds."""

    deployment: str
    probe: int = 250_000  # how often another member is probed
    answer: int = 200_000  # how long a ping is waited for; a whole probe takes four times that
    suspect: int = 1_500_000  # how long a suspicion waits at least, with all confirmations
    suspect_most: int = 6_000_000  # and without any
    sync: int = 10_000_000  # how often whole tables are compared
    heal: int = 2_000_000  # how often somebody who is gone, or a seed that is not known, is tried
    join: int = 250_000  # the first pause between attempts to join; it doubles up to `join_most`
    join_most: int = 4_000_000
    leave: int = 200_000  # between the tellings of a leave
    forget: int = 3_600_000_000  # how long who is gone or left is kept
    helpers: int = 3
    most_members: int = 4096
    answers_a_second: int = 40  # table comparisons and pages answered, at most


class SendDatagram(NamedTuple):
    """A datagram to send. `name` is empty where only the address is known."""

    address: str
    name: str
    body: bytes


class Reply(NamedTuple):
    """A datagram back to where the one being heard came from: to operators' commands alone."""

    body: bytes


class MembershipChange(NamedTuple):
    """Something that an operator should see. `name` is whom it is about."""

    what: str
    name: str
    cause: dict
