"""What the rig and its processes of hollow followers say to each other, as JSON lines."""

from typing import Literal

from msgspec import Struct


class Crossed(Struct, frozen=True, array_like=True):
    """Whole messages, and bytes with the frames' heads, that went one way between two machines in one second
    of the monotonic clock. `seen`: by whom it was counted."""

    second: int
    sender: str
    receiver: str
    seen: Literal["sender", "receiver", "between"]
    messages: int
    bytes: int


class Enforced(Struct, frozen=True, array_like=True):
    """A follower put a revision in force at this moment of the monotonic clock, in microseconds."""

    name: str
    number: int
    at: int


class Drain(Struct, tag="drain", tag_field="t"):
    """Asks for what was counted since the last asking."""


class Cut(Struct, tag="cut", tag_field="t"):
    """Carries nothing more from these to those (`out`), back (`in`), or `both` ways."""

    ones: list[str]
    others: list[str]
    way: Literal["out", "in", "both"]


class Calm(Struct, tag="calm", tag_field="t"):
    """Carries all again."""


class Lose(Struct, tag="lose", tag_field="t"):
    """Kills these followers; what their disks had stays."""

    names: list[str]


class Return(Struct, tag="return", tag_field="t"):
    """Starts these followers again from their disks."""

    names: list[str]


class Stop(Struct, tag="stop", tag_field="t"):
    """Ends the process."""


Command = Drain | Cut | Calm | Lose | Return | Stop


class Answer(Struct, kw_only=True):
    """Of every command. `in_force`: by follower that runs; `best`: how many follow a source of the kind
    that they prefer to others: a relay of their zone, of their region, or a control machine."""

    crossed: list[Crossed] = []
    enforced: list[Enforced] = []
    in_force: dict[str, int] = {}
    best: int = 0
    ended: list[tuple[str, str]] = []  # between whom a connection ended: not all that was sent is read
