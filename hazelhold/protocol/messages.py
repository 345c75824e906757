"""The messages of the protocol as typed structures, and the codec for each direction.

Times are durations in whole microseconds, never points in time, so no two clocks need to agree. Cores and
memory are in the units of the configuration. Unknown fields are ignored; unknown message types are rejected.
docs/protocol.md describes who sends which message, and when.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from hazelhold.protocol.frames import FrameError, frame

VERSION = 1
Id = Annotated[str, Meta(min_length=1, max_length=200)]
Duration = Annotated[int, Meta(ge=0, le=1 << 53)]
Count = Annotated[int, Meta(ge=0, le=1 << 31)]
Amount = Annotated[float, Meta(gt=0, le=1e9)]
FreeCapacity = Annotated[float, Meta(ge=-1e9, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1e3)]


class Message(Struct, tag_field="t", omit_defaults=True, kw_only=True):
    """Base of all messages. On the wire the message type is in the field `t`."""


class GuestMessage(Message, kw_only=True):
    """A message about one submission of a guest. `ask` numbers its owner's submissions of it from 0."""

    guest: Id
    ask: Count = 0


class DispatchMessage(GuestMessage, kw_only=True):
    """A message about one dispatch of a guest. `attempt` numbers the dispatches of a submission from 0."""

    attempt: Count = 0


class Load(Struct, omit_defaults=True):
    """A machine's load; a field is None if the machine does not report it."""

    cores_free: FreeCapacity | None = None
    memory_free: FreeCapacity | None = None
    busy: Share | None = None


# Opening and closing a connection.


class Hello(Message, tag="hello", kw_only=True):
    """The first message of every connection, sent by the dialling side."""

    role: Literal["owner", "planner", "machine"]
    name: Id
    version: int = VERSION


class Welcome(Message, tag="welcome", kw_only=True):
    """Answers a Hello.

    A machine adds its incarnation and how long it has been up. A planner adds `spread`: the duration over
    which its owners should spread their reconnects if it goes away without a Bye. A list service adds
    `confirms` if it answers ConfirmList.
    """

    name: Id
    version: int = VERSION
    incarnation: Count = 0
    up_for: Duration = 0
    spread: Duration = 0
    confirms: bool = False


class Fault(Message, tag="fault", kw_only=True):
    """The last message before the sender closes a connection that violated the protocol or a limit."""

    code: str
    text: str = ""
    again_after: Duration = 0  # with code "busy": how long to wait before reconnecting


class Bye(Message, tag="bye", kw_only=True):
    """The sender shuts down cleanly. Its peers should spread their reconnects over `spread`."""

    reason: str = ""
    spread: Duration = 0


# Owners and planners.


class Submit(GuestMessage, tag="submit", kw_only=True):
    """Submits a guest that is to be placed within `patience`. `life` is how long it is expected to run."""

    product: Id
    service: Id
    cores: Amount
    memory: Amount
    patience: Duration
    customer: str = ""
    life: Duration = 0
    reason: str = ""  # why the guest is submitted again: turned_back, broken_off, lost, unanswered
    key: str = ""  # the owner's name for the guest, the same in every submission of it
    description: bytes = b""  # opaque; passed to the machine unchanged
    ticket: str = ""  # the idempotency key by which machines recognize a repeat of a deduplicated guest


class Cancel(GuestMessage, tag="cancel", kw_only=True):
    """The owner cancels the guest, whatever its state."""


class Query(GuestMessage, tag="query", kw_only=True):
    """Asks for the state of a guest.

    If `product` names a guest class whose guests may run twice, the planners need not query the agreed
    claims for the answer.
    """

    product: str = ""


class Acknowledged(GuestMessage, tag="held", kw_only=True):
    """The planner has accepted the submission and will answer it."""


class Rejected(GuestMessage, tag="rejected", kw_only=True):
    """The planner has not accepted the submission: it is malformed, or the planner is full or stopping."""

    code: str
    text: str = ""
    again_after: Duration = 0


class Placed(GuestMessage, tag="placed", kw_only=True):
    """Final answer: a machine has accepted the guest, or runs it."""

    machine: Id
    description: bytes = b""  # the machine's, unchanged
    planner: str = ""  # the planner that placed the guest, if it is another one


class GuestRefused(GuestMessage, tag="turned_back", kw_only=True):
    """Final answer: the guest was not placed and never ran, so submitting it again is safe."""

    reason: str = ""
    again_after: Duration = 0


class GuestFailed(GuestMessage, tag="broken_off", kw_only=True):
    """Final answer: placing the guest failed, and it may have run.

    `planner` is the planner that has claimed the guest and may know more.
    """

    reason: str = ""
    planner: str = ""


class GuestEnded(GuestMessage, tag="guest_ended", kw_only=True):
    """The end of a placed guest; `how` is done, error, evicted, pushed_out, sent_away, stopped, lost or
    moved."""

    how: str
    machine: str = ""


class State(GuestMessage, tag="state", kw_only=True):
    """Answers a Query; `state` is held, out, running, turned_back, broken_off, ended or unknown."""

    state: str
    machine: str = ""
    planner: str = ""  # the planner that has the guest, if it is another one
    reason: str = ""  # why the state is not known


# Planners and machines.


class Offer(DispatchMessage, tag="offer", kw_only=True):
    """Offers a guest to a machine, which answers OfferAccepted or OfferRefused."""

    product: Id
    service: Id
    cores: Amount
    memory: Amount
    customer: str = ""
    owner: str = ""
    life: Duration = 0
    key: str = ""
    description: bytes = b""
    ticket: str = ""


class Withdraw(DispatchMessage, tag="withdraw", kw_only=True):
    """Withdraws an offer.

    A guest that is not yet accepted is answered by Ended with `how` withdrawn. One that is accepted stays
    placed.
    """


class Stop(DispatchMessage, tag="stop", kw_only=True):
    """Stops an accepted guest."""


class Probe(Message, tag="probe", kw_only=True):
    """Requests a Report with the same number."""

    number: Count


class InventoryRequest(Message, tag="roll", kw_only=True):
    """Requests all guests that the machine has from this planner; answered by Inventory."""


class OfferAccepted(DispatchMessage, tag="taken", kw_only=True):
    """The machine has accepted the guest, or runs it: the deployment defines which of them is confirmed."""

    load: Load | None = None
    description: bytes = b""


class OfferRefused(DispatchMessage, tag="refused", kw_only=True):
    """The machine refuses the guest, which never ran."""

    remark: str  # no_cores, no_memory, line_full, not_here
    load: Load | None = None


class Started(DispatchMessage, tag="started", kw_only=True):
    """The guest has started to run."""


class ResourceUse(DispatchMessage, tag="use", kw_only=True):
    """What a running guest uses now; a field is None if it is not reported."""

    cores: FreeCapacity | None = None
    memory: FreeCapacity | None = None


class ServiceLevel(DispatchMessage, tag="served", kw_only=True):
    """The share of full service that a running guest gets, 1 being full service."""

    share: Share


class MemoryPressure(Message, tag="pressed", kw_only=True):
    """The share of the machine's memory that is in use."""

    share: Share


class Ended(DispatchMessage, tag="ended", kw_only=True):
    """The end of a guest; `how` is done, error, evicted, pushed_out, sent_away, stopped or withdrawn.

    A withdrawn guest never ran. `ran` is how long the guest ran; `served` is the duration of full service
    that this is worth.
    """

    how: str
    load: Load | None = None
    ran: Duration = 0
    served: Duration = 0


class Report(Message, tag="report", kw_only=True):
    """Answers a Probe."""

    number: Count
    load: Load | None = None
    well: bool = True


class InventoryItem(Struct, omit_defaults=True):
    """One guest in an Inventory. State `line` means queued; `how` is set if the state is `ended`."""

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
    """All guests that a machine has from a planner, with the ends that the planner may have missed.

    `complete` is false if the machine has forgotten some ends. Only a complete inventory proves that an
    offer never arrived.
    """

    guests: list[InventoryItem]
    complete: bool = True


# Planners and the list service.


class Watch(Message, tag="watch", kw_only=True):
    """Requests the list after version `since`, and its changes from then on."""

    since: Count = 0


class Entry(Struct, omit_defaults=True):
    """One machine of the list."""

    machine: Id
    address: str
    mode: Literal["ready", "cordoned", "gone"]
    kind: Id
    incarnation: Count = 0
    up_for: Duration | None = None
    zone: Count = 0
    cell: Count = 0
    cores_room: FreeCapacity = 0.0
    memory_room: FreeCapacity = 0.0


class Listing(Message, tag="listing", kw_only=True):
    """The whole list, or only the entries that changed."""

    version: Count
    whole: bool
    entries: list[Entry]


class RegisterMachines(Message, tag="enlist", kw_only=True):
    """Reports machines to the list service, sent by them or by their operator.

    With `rooms` set, only the free capacity of the entries has changed.
    """

    entries: list[Entry]
    rooms: bool = False


class ConfirmList(Message, tag="confirm", kw_only=True):
    """Requests a ListConfirmed with the same number, once all changes that the list service has were sent."""

    number: Count


class ListConfirmed(Message, tag="confirmed", kw_only=True):
    """The planner was sent all that the list service had when it read the ConfirmList with this number."""

    number: Count


class ListRefused(Message, tag="list_refused", kw_only=True):
    """The list service cannot serve the list at the moment."""

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
TO_LIST = Hello | Watch | ConfirmList | RegisterMachines | Bye
FROM_LIST = Welcome | Listing | ListConfirmed | ListRefused | Fault | Bye

ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Encodes a message as a frame."""
    return frame(ENCODER.encode(message))


class Codec:
    """Decodes the frame bodies of one direction, given the union of its message types."""

    def __init__(self, union: Any) -> None:  # noqa: ANN401 - a union of Message types
        self.decoder = msgspec.msgpack.Decoder(union)
        self.tags = {message_type.__struct_config__.tag for message_type in union.__args__}

    def decode(self, body: bytes) -> Message:
        """Decodes the body of a frame; raises FrameError with the reason if it is invalid."""
        try:
            return self.decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise self._frame_error(body, error) from None

    def _frame_error(self, body: bytes, error: Exception) -> FrameError:
        """Classifies a body that could not be decoded."""
        try:
            raw = msgspec.msgpack.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return FrameError("not_msgpack", str(error))
        tag = raw.get("t") if isinstance(raw, dict) else None
        if not isinstance(tag, str):
            return FrameError("no_type", "message without a type")
        if tag not in self.tags:
            return FrameError("unknown_type", f"message type {tag[:60]!r} is not known here")
        return FrameError("bad_message", f"{tag}: {error}")
