"""The settings of a deployment's membership, and the actions of its core. Times are in whole microseconds."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """The settings of a deployment. Times in microseconds."""

    deployment: str
    probe: int = 250_000  # interval between probes
    answer: int = 200_000  # timeout of a ping; a whole probe takes four times that
    suspect: int = 1_500_000  # minimum duration of a suspicion, with all confirmations
    suspect_most: int = 6_000_000  # maximum duration, without any confirmation
    sync: int = 10_000_000  # interval between comparisons of whole tables
    heal: int = 2_000_000  # interval between contacts to a member that is gone or a seed that is not known
    join: int = 250_000  # first interval between join messages; it doubles up to `join_most`
    join_most: int = 4_000_000
    leave: int = 200_000  # interval between the messages of a leave
    forget: int = 3_600_000_000  # how long a member that is gone or left is kept
    helpers: int = 3
    most_members: int = 4096
    answers_a_second: int = 40  # maximum rate of replies to syncs, indirect probes and view queries


class SendDatagram(NamedTuple):
    """A datagram to send. `name` is empty where only the address is known."""

    address: str
    name: str
    body: bytes


class Reply(NamedTuple):
    """A datagram to the source of the current one. Used only for operators' commands."""

    body: bytes


class MembershipChange(NamedTuple):
    """An event for operators and the record. `name` is the member that it concerns."""

    what: str
    name: str
    cause: dict
