"""Every message of the protocol as a typed structure, and the codec for each direction.

Times are spans in whole microseconds, never moments: no two clocks need to agree. Cores and memory are in the
units of the configuration. Fields that are not known are passed over; types that are not known are refused by
name. docs/protocol.md tells who sends what, and when.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from hazelhold.protocol.frames import FrameError, frame

VERSION = 1
Id = Annotated[str, Meta(min_length=1, max_length=200)]
Span = Annotated[int, Meta(ge=0, le=1 << 53)]
Count = Annotated[int, Meta(ge=0, le=1 << 31)]
Amount = Annotated[float, Meta(gt=0, le=1e9)]
Room = Annotated[float, Meta(ge=-1e9, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1e3)]


class Message(Struct, tag_field="t", omit_defaults=True, kw_only=True):
    """What all messages have in common: their type stands in the field `t`."""


class GuestMessage(Message, kw_only=True):
    """A message about one ask of one guest: `ask` counts the times that its owner has asked, from 0."""

    guest: Id
    ask: Count = 0


class DispatchMessage(GuestMessage, kw_only=True):
    """A message about one dispatch of a guest; `attempt` counts the dispatches of this ask, from 0."""

    attempt: Count = 0


class Load(Struct, omit_defaults=True):
    """A machine's report; None where it does not say."""

    cores_free: Room | None = None
    memory_free: Room | None = None
    busy: Share | None = None


# First words, last words.


class Hello(Message, tag="hello", kw_only=True):
    """First on every connection, from the side that dials."""

    role: Literal["owner", "planner", "machine"]
    name: Id
    version: int = VERSION


class Welcome(Message, tag="welcome", kw_only=True):
    """Answers a Hello. A machine adds which of its lives this is and how long it has been up; a planner,
    over how long its owners should spread their return if it goes without last words."""

    name: Id
    version: int = VERSION
    incarnation: Count = 0
    up_for: Span = 0
    spread: Span = 0


class Fault(Message, tag="fault", kw_only=True):
    """The last message before the sender closes a connection that broke the protocol or a limit."""

    code: str
    text: str = ""
    again_after: Span = 0  # of code busy: in how long to come back


class Bye(Message, tag="bye", kw_only=True):
    """The sender stops in good order; `spread` is over how long its peers should spread their return."""

    reason: str = ""
    spread: Span = 0


# Owners and planners.


class Submit(GuestMessage, tag="submit", kw_only=True):
    """Asks for a guest to be placed within `patience`; `life` is how long it will still run."""

    product: Id
    service: Id
    cores: Amount
    memory: Amount
    patience: Span
    customer: str = ""
    life: Span = 0
    reason: str = ""  # of a repeat: turned_back, broken_off, lost, unanswered
    key: str = ""  # the owner's name for the guest, the same each time it is asked for
    description: bytes = b""  # opaque; goes to the machine as it is
    ticket: str = ""  # the mark by which machines know a repeat of a ticketed guest


class Cancel(GuestMessage, tag="cancel", kw_only=True):
    """The owner no longer wants the guest, wherever it is."""


class Query(GuestMessage, tag="query", kw_only=True):
    """Asks how things stand with a guest. Who names a product whose guests may run twice spares the planners
    a look at what is agreed."""

    product: str = ""


class Acknowledged(GuestMessage, tag="held", kw_only=True):
    """The planner has taken the ask."""


class Rejected(GuestMessage, tag="rejected", kw_only=True):
    """The planner has not taken the ask: it is malformed, or the planner is full or stopping."""

    code: str
    text: str = ""
    again_after: Span = 0


class Placed(GuestMessage, tag="placed", kw_only=True):
    """Final answer: the guest was accepted by a machine, or runs there."""

    machine: Id
    description: bytes = b""  # the machine's, as it is
    planner: str = ""  # who has it, if another


class GuestRefused(GuestMessage, tag="turned_back", kw_only=True):
    """Final answer: no, and trying again is harmless."""

    reason: str = ""
    again_after: Span = 0


class GuestFailed(GuestMessage, tag="broken_off", kw_only=True):
    """Final answer: failed, with no promise. `planner`: who has claimed it, and may know more."""

    reason: str = ""
    planner: str = ""


class GuestEnded(GuestMessage, tag="guest_ended", kw_only=True):
    """A placed guest's end: done, error, evicted, pushed_out, sent_away, stopped or lost."""

    how: str
    machine: str = ""


class State(GuestMessage, tag="state", kw_only=True):
    """Answers a Query: held, out, running, turned_back, broken_off, ended or unknown."""

    state: str
    machine: str = ""
    planner: str = ""  # who has it, if another
    reason: str = ""  # why no more is known


# Planners and machines.


class Offer(DispatchMessage, tag="offer", kw_only=True):
    """Offers a guest to a machine, which answers Taken or Refused."""

    product: Id
    service: Id
    cores: Amount
    memory: Amount
    customer: str = ""
    owner: str = ""
    life: Span = 0
    key: str = ""
    description: bytes = b""
    ticket: str = ""


class Withdraw(DispatchMessage, tag="withdraw", kw_only=True):
    """Takes an offer back. Not yet accepted: handed back as Ended withdrawn. Accepted: it stands."""


class Stop(DispatchMessage, tag="stop", kw_only=True):
    """Stops an accepted guest."""


class Probe(Message, tag="probe", kw_only=True):
    """Asks for a Report with the same number."""

    number: Count


class InventoryRequest(Message, tag="roll", kw_only=True):
    """Asks for all that the machine has of this planner; answered by Running."""


class OfferAccepted(DispatchMessage, tag="taken", kw_only=True):
    """The machine accepted the guest, or it runs, as the deployment confirms."""

    load: Load | None = None
    description: bytes = b""


class OfferRefused(DispatchMessage, tag="refused", kw_only=True):
    """The machine does not take the guest; it never ran."""

    remark: str  # no_cores, no_memory, line_full, not_here
    load: Load | None = None


class Started(DispatchMessage, tag="started", kw_only=True):
    """The guest runs."""


class ResourceUse(DispatchMessage, tag="use", kw_only=True):
    """What a running guest uses now; None where that is not told."""

    cores: Room | None = None
    memory: Room | None = None


class ServiceLevel(DispatchMessage, tag="served", kw_only=True):
    """The share of full service that a guest gets."""

    share: Share


class MemoryPressure(Message, tag="pressed", kw_only=True):
    """The share of the machine's memory in use."""

    share: Share


class Ended(DispatchMessage, tag="ended", kw_only=True):
    """The end of a guest: done, error, evicted, pushed_out, sent_away, stopped; or withdrawn: it never ran.

    `ran` and `served` are how long it ran, and how much full service that was worth.
    """

    how: str
    load: Load | None = None
    ran: Span = 0
    served: Span = 0


class Report(Message, tag="report", kw_only=True):
    """Answers a Probe."""

    number: Count
    load: Load | None = None
    well: bool = True


class InventoryItem(Struct, omit_defaults=True):
    """One guest in a Running: line, accepted, runs, or ended with how."""

    guest: Id
    ask: Count
    attempt: Count
    state: Literal["line", "accepted", "runs", "ended"]
    product: Id
    service: Id
    cores: Amount
    memory: Amount
    customer: str = ""
    owner: str = ""
    how: str = ""


class Inventory(Message, tag="running", kw_only=True):
    """All that a machine has of a planner, with the ends that it may have missed. `complete` is false if some
    ends are forgotten; only a complete one proves that an offer never arrived."""

    guests: list[InventoryItem]
    complete: bool = True


# Planners and the list service.


class Watch(Message, tag="watch", kw_only=True):
    """Asks for the list from a version on, and for its changes."""

    since: Count = 0


class Entry(Struct, omit_defaults=True):
    """One machine as the list has it."""

    machine: Id
    address: str
    mode: Literal["ready", "cordoned", "gone"]
    kind: Id
    incarnation: Count = 0
    up_for: Span | None = None
    zone: Count = 0
    cell: Count = 0
    cores_room: Room = 0.0
    memory_room: Room = 0.0


class Listing(Message, tag="listing", kw_only=True):
    """The whole list, or the entries that changed."""

    version: Count
    whole: bool
    entries: list[Entry]


class RegisterMachines(Message, tag="enlist", kw_only=True):
    """What machines, or whoever keeps them, tell the list service; with `rooms` only the rooms are news."""

    entries: list[Entry]
    rooms: bool = False


class ListRefused(Message, tag="list_refused", kw_only=True):
    """The list service cannot answer now."""

    reason: str = ""


FROM_OWNER = Hello | Submit | Cancel | Query | Bye
TO_OWNER = (
    Welcome | Acknowledged | Rejected | Placed | GuestRefused | GuestFailed | GuestEnded | State | Fault | Bye
)
TO_MACHINE = Hello | Offer | Withdraw | Stop | Probe | InventoryRequest | Bye
FROM_MACHINE = (
    Welcome
    | OfferAccepted
    | OfferRefused
    | Started
    | ResourceUse
    | ServiceLevel
    | MemoryPressure
    | Ended
    | Report
    | Inventory
    | Fault
    | Bye
)
TO_LIST = Hello | Watch | RegisterMachines | Bye
FROM_LIST = Welcome | Listing | ListRefused | Fault | Bye

ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """The message as a frame, ready to send."""
    return frame(ENCODER.encode(message))


class Codec:
    """Reads the bodies of frames of one direction."""

    def __init__(self, union: Any) -> None:  # noqa: ANN401 - a union of Message types
        self.decoder = msgspec.msgpack.Decoder(union)
        self.tags = {kind.__struct_config__.tag for kind in union.__args__}

    def decode(self, body: bytes) -> Message:
        """The message in a frame's body; FrameError names what is wrong with it."""
        try:
            return self.decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
            raise self._named(body, wrong) from None

    def _named(self, body: bytes, wrong: Exception) -> FrameError:
        try:
            raw = msgspec.msgpack.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return FrameError("not_msgpack", str(wrong))
        tag = raw.get("t") if isinstance(raw, dict) else None
        if not isinstance(tag, str):
            return FrameError("no_type", "the message has no type")
        if tag not in self.tags:
            return FrameError("unknown_type", f"messages of type {tag[:60]!r} are not known here")
        return FrameError("bad_message", f"{tag}: {wrong}")
