"""What is kept, as typed images. Moments are microseconds of the wall clock; spans are microseconds.

A change puts a new image in the place of the old one, or drops it (`image` None). Applying a change twice
does no harm, and the order among different keys does not matter. Fields are only ever added at the end, with
a default: what an older program wrote is then read as it was meant. Anything else needs a new FORMAT.
"""

from typing import NamedTuple

import msgspec
from msgspec import Struct

from hazelhold.interface import LearnedState
from hazelhold.protocol.messages import Entry

FORMAT = 1  # of the files; see store.UPGRADES


class Change(NamedTuple):
    """One key's new image. Kinds: guest, loose, answer, end, list, learned, cold. `until` is when it may be
    forgotten, 0 for never."""

    kind: str
    key: str
    image: bytes | None
    until: int = 0


class GuestImage(Struct, array_like=True, frozen=True):
    """A guest in the planner's hands. `machine` and `attempt` are of the last dispatch that left the planner;
    `machine` is empty while none is out. `unsure_at` is when the first dispatch that may have run was sent, 0
    if none may have; `unsure_machine` is where the last of them went."""

    name: str
    guest: str
    ask: int
    owner: str
    product: str
    service: str
    cores: float
    memory: float
    deadline: int
    asks: tuple[int, ...]
    customer: str = ""
    life: int = 0
    attempt: int = -1
    spent: int = 0
    machine: str = ""
    incarnation: int = 0
    sent_at: int = 0
    due_at: int = 0
    placed: bool = False
    cancelled: bool = False
    unsure_at: int = 0
    unsure_machine: str = ""
    claim: bytes = b""  # the agreed claim under which the last offer left


class LooseImage(Struct, array_like=True, frozen=True):
    """A dispatch that was given up and whose fate is open."""

    case: GuestImage
    machine: str
    attempt: int
    sent_at: int
    stands: bool


class AnswerImage(Struct, array_like=True, frozen=True):
    """A final answer that its owner may still ask for: the body of the message."""

    guest: str
    ask: int
    body: bytes


class EndImage(Struct, array_like=True, frozen=True):
    """How a placed guest ended."""

    guest: str
    how: str


class ListImage(Struct, array_like=True, frozen=True):
    """The list as it was heard last."""

    version: int
    heard_at: int
    entries: list[Entry]


class LearnedImage(Struct, array_like=True, frozen=True):
    """What the module has learned, with its moments on the engine's clock of that life: `epoch` is the wall
    clock at that clock's zero."""

    epoch: int
    data: LearnedState


class ColdImage(Struct, array_like=True, frozen=True):
    """When offers were sent to a cold machine, as far as they still count against its budget."""

    machine: str
    times: tuple[int, ...]


KINDS: dict[str, type[Struct]] = {
    "guest": GuestImage,
    "loose": LooseImage,
    "answer": AnswerImage,
    "end": EndImage,
    "list": ListImage,
    "learned": LearnedImage,
    "cold": ColdImage,
}
ENCODER = msgspec.msgpack.Encoder()
DECODERS = {kind: msgspec.msgpack.Decoder(image) for kind, image in KINDS.items()}
BATCH = msgspec.msgpack.Decoder(list[Change])


def put(kind: str, key: str, image: Struct, until: int = 0) -> Change:
    return Change(kind, key, ENCODER.encode(image), until)


def drop(kind: str, key: str) -> Change:
    return Change(kind, key, None)
