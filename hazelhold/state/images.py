"""The stored objects as typed images. Times are Unix microseconds; durations are microseconds.

A change replaces the image of a key, or removes it (`image` is None). Changes are idempotent, and the order
between different keys does not matter. Fields are only ever added at the end, with a default, so that images
written by an older program are read correctly. Anything else needs a new FORMAT.
"""

from typing import NamedTuple

import msgspec
from msgspec import Struct

from hazelhold.interface import LearnedState
from hazelhold.protocol.messages import Entry

FORMAT = 1  # of the files; see store.UPGRADES


class Change(NamedTuple):
    """One key's new image. Kinds: guest, loose, answer, end, list, learned, cold. `until` is the time from
    which it may be deleted, 0 for never."""

    kind: str
    key: str
    image: bytes | None
    until: int = 0


class GuestImage(Struct, array_like=True, frozen=True):
    """A guest that the planner holds. `machine` and `attempt` describe the last dispatch that was sent;
    `machine` is empty while none is outstanding. `unsure_at` is the time at which the first dispatch that may
    have run was sent, 0 if there is none; `unsure_machine` is the machine of the last such dispatch."""

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
    """An abandoned dispatch whose outcome is unknown."""

    case: GuestImage
    machine: str
    attempt: int
    sent_at: int
    stands: bool


class AnswerImage(Struct, array_like=True, frozen=True):
    """A final answer that its owner may still request: the body of the message."""

    guest: str
    ask: int
    body: bytes


class EndImage(Struct, array_like=True, frozen=True):
    """How a placed guest ended."""

    guest: str
    how: str


class ListImage(Struct, array_like=True, frozen=True):
    """The list of machines as last received."""

    version: int
    heard_at: int
    entries: list[Entry]


class LearnedImage(Struct, array_like=True, frozen=True):
    """The scheduler's learned state. Its times are on the engine's clock of that run; `epoch` is the wall
    clock at zero of that clock."""

    epoch: int
    data: LearnedState


class ColdImage(Struct, array_like=True, frozen=True):
    """The times of offers to a cold machine that still count against its budget."""

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
    """Returns the change that stores an image."""
    return Change(kind, key, ENCODER.encode(image), until)


def drop(kind: str, key: str) -> Change:
    """Returns the change that removes an image."""
    return Change(kind, key, None)
