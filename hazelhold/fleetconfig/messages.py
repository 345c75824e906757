"""Messages between planners, control machines and writers of the configuration. Plain data, without I/O.

Frames are those of `hazelhold.protocol.frames` with MessagePack bodies. Times are spans in microseconds,
never moments. Fields that are not known are passed over. A connection begins with `Greeting` from the side
that dials and its answer.
"""

from typing import Literal

from msgspec import Struct

from hazelhold.fleetconfig.document import Fault, Put
from hazelhold.fleetconfig.revision import Change

VERSION = 1
PAGE_BYTES = 64 << 10  # of items or revisions in one message, about
NEVER = -1  # an age that is not known
CHAIN_MARK = 4  # bytes of a chain checksum that tell a revision from one of another order by accident


class ConfigMessage(Struct, frozen=True, tag_field="t", omit_defaults=True, kw_only=True):
    """What all messages have in common: their type stands in the field `t`."""


class Greeting(ConfigMessage, tag="greeting", kw_only=True):
    """First on a connection: who dials, what for, and the deployment that both must be of."""

    name: str
    deployment: str
    purpose: Literal["follow", "write"]
    version: int = VERSION


class GreetingAnswer(ConfigMessage, tag="greeting_answer", kw_only=True):
    """The other side's name; a `code` says why the connection ends here."""

    name: str
    version: int = VERSION
    code: str = ""
    text: str = ""


# A follower and its source.


class Follow(ConfigMessage, tag="follow", kw_only=True):
    """Send what comes after this position, from now on. `chain` tells whether both are of one order.
    `packed`: `PackedRevisions` are understood. A source of the version before passes over that."""

    number: int
    chain: bytes
    packed: bool = False


class Revisions(ConfigMessage, tag="revisions", kw_only=True):
    """Encoded revisions in order, without gaps. `chain` is the chain checksum of the last one: parents cover
    all but the last, this covers the last, so that no damaged byte is taken."""

    bodies: tuple[bytes, ...]
    chain: bytes


class PackedRevisions(ConfigMessage, tag="packed", kw_only=True):
    """Revisions in order, without gaps, from number `first` on, in the form of `packed`. `chain` is the chain
    checksum of the last one. Sent to who asked with `Follow.packed` alone."""

    first: int
    chain: bytes
    rows: bytes


class SnapshotPage(ConfigMessage, tag="snapshot_page", kw_only=True):
    """One page (from 0) of the whole document at a position; for who is too far behind for revisions."""

    number: int
    chain: bytes
    content: bytes  # the document's checksum
    page: int
    pages: int
    items: tuple[Put, ...]
    check: bytes  # `snapshot.page_check`: covers all other fields, also the position


class Heartbeat(ConfigMessage, tag="heartbeat", kw_only=True):
    """The source's position, how long ago a majority of the control machines confirmed that nothing newer
    was committed (`NEVER`: not known), and the names that this went through, the control machine first."""

    number: int
    chain: bytes
    confirmed_age: int = NEVER
    route: tuple[str, ...] = ()


class MemberState(Struct, frozen=True, omit_defaults=True, kw_only=True, array_like=True):
    """What one planner has: the revision in force, the one received, and why they differ or stay behind."""

    name: str
    in_force: int
    received: int
    reason: str = ""
    connected: bool = True  # False: its connection to whoever tells this has ended
    chain: bytes = b""  # the first `CHAIN_MARK` bytes of the chain checksum of the revision in force


class Coverage(ConfigMessage, tag="coverage", kw_only=True):
    """From a follower to its source: what changed among itself and those that follow it.

    `whole`: this is all; what this connection told before and is not in here is no longer below it. The rest
    of a whole state that is too long for one message follows without the mark.
    """

    members: tuple[MemberState, ...]
    whole: bool = False


# Two control machines.


class Stored(ConfigMessage, tag="stored", kw_only=True):
    """The sender has made all revisions up to this number durable."""

    number: int


# A writer or an operator, and a control machine.


class Propose(ConfigMessage, tag="propose", kw_only=True):
    """Commit this change. The answer comes within `deadline` microseconds."""

    change: Change
    deadline: int = 5_000_000


class ProposeAnswer(ConfigMessage, tag="propose_answer", kw_only=True):
    """How a change ended.

    committed: it is revision `number`. invalid: `faults` names all that is wrong. conflict: `faults` names
    items that were changed after its base: it never will be carried out. refused: this asking was not
    carried out, ask again (`text`). unknown: it may be carried out yet; ask again with the same id. What
    `invalid` and `refused` say holds for this asking, not for earlier ones under the same id.
    """

    id: str
    outcome: Literal["committed", "invalid", "conflict", "refused", "unknown"]
    number: int = 0
    faults: tuple[Fault, ...] = ()
    text: str = ""


class ReadItems(ConfigMessage, tag="read_items", kw_only=True):
    """The items with this prefix whose names come after `after`, a page of them."""

    prefix: str = ""
    after: str = ""


class Items(ConfigMessage, tag="items", kw_only=True):
    """A page of items at a revision; `more` if others follow."""

    number: int
    items: tuple[Put, ...]
    more: bool = False


class StatusQuery(ConfigMessage, tag="status_query", kw_only=True):
    """What is in force, and where?"""


class RevisionCoverage(Struct, frozen=True, kw_only=True):
    """How far one revision has come: `everywhere_after` is the time from its commit until the last expected
    planner's word was heard here (an upper bound on when it was in force there), `NEVER` while some lack
    it."""

    number: int
    age: int  # since its commit was known here
    have: int  # planners that have it in force
    expected: int
    everywhere_after: int = NEVER


class Status(ConfigMessage, tag="status", kw_only=True):
    """One control machine's or planner's view."""

    name: str
    number: int
    chain: bytes
    in_force: int
    confirmed_age: int = NEVER
    route: tuple[str, ...] = ()
    cut_off: str = ""  # why nothing newer can be known; empty if it can
    revisions: tuple[RevisionCoverage, ...] = ()  # the latest ones
    lacking: tuple[MemberState, ...] = ()  # who lacks the latest revision, and why; the first of them
    lacking_count: int = 0
    counts: dict[str, int] = {}
