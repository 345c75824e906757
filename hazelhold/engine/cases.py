"""What an engine says to its host, and what it keeps of a guest: plain data that its parts share."""

from dataclasses import dataclass, field
from typing import NamedTuple

from hazelhold.protocol import messages as m


class Send(NamedTuple):
    """Send the message to the peer; `role` is owner or machine."""

    role: str
    peer: str
    message: m.Message


class Dial(NamedTuple):
    """Connect to a machine, within the given span; report link_up or link_failed."""

    machine: str
    address: str
    span: int


class HangUp(NamedTuple):
    """Close the connection to a machine; no link_down follows."""

    machine: str


class AskList(NamedTuple):
    """Ask the list service for changes since the version."""

    since: int


class Lost(NamedTuple):
    """A peer broke the protocol: tell it so and close the connection; reported as link_down, owner_gone."""

    role: str
    peer: str
    code: str
    text: str


Action = Send | Dial | HangUp | AskList | Lost


@dataclass
class Case:
    """A guest in this planner's hands. `name` is what the Brain calls it: the guest and the ask it came
    with."""

    name: str
    guest: str
    ask: int  # the ask that machines hear of
    owner: str
    product: int
    submit: m.Submit | m.Stand
    asks: dict[int, None] = field(default_factory=dict)  # asks that await an answer; emptied by it
    attempt: int = -1
    machine: str = ""  # where a dispatch is out, or where it runs
    sent: bool = False  # the offer has left
    sent_at: int = 0
    placed: bool = False
    cancelled: bool = False
    incarnation: int = 0  # of the machine, when the offer left
    due_at: int = 0  # when the dispatch that is out is given up
    unsure: str = ""  # the machine of the last dispatch that may have run


@dataclass
class Loose:
    """A dispatch that was given up and may stand on its machine all the same."""

    case: Case
    attempt: int
    machine: str
    sent_at: int
    stands: bool = False  # the machine has said that it accepted it
    roll_at: int = 0  # when its machine is asked again
