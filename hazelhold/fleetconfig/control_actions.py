"""What a control machine's core tells its host to do, and what it is started from. Plain data."""

from collections.abc import Callable
from typing import NamedTuple

from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.revision import Position, SealedRevision


class AskRegister(NamedTuple):
    """Ask the agreed register for this change; call `ControlCore.register_answered` with how it ended. The
    change is `head.Advance`, `head.Settle` or `replica.proposer.Read`."""

    asking: int
    change: Callable[[bytes], bytes]
    deadline: int  # on the core's clock, microseconds


class Answer(NamedTuple):
    """Send this to whoever proposed: `asker` is what `ControlCore.propose` was given."""

    asker: object
    answer: ProposeAnswer


class Store(NamedTuple):
    """These revisions are committed and known here, in order, each once in a life of the core. Spread them
    at once; make them durable, then call `ControlCore.stored` with this machine's name and tell the other
    control machines. Never claim a revision as stored before it is durable."""

    revisions: tuple[SealedRevision, ...]


class StoreSnapshot(NamedTuple):
    """The document jumped to what `snapshot_heard` brought: make that durable in place of all before it.
    Followers here continue from its position (`document` of the core is that of the position)."""

    position: Position


class ClaimStored(NamedTuple):
    """What this machine was started from is of the agreed order: tell the other control machines that all
    revisions up to this number are stored here. Before that its folder may be of another order."""

    number: int


class Fetch(NamedTuple):
    """There are committed revisions after this position that are not here: ask other control machines, and
    call `revisions_heard` or `snapshot_heard`. Repeated until the gap is closed."""

    after: Position


class Publish(NamedTuple):
    """Tell the other control machines of revisions that were committed here: their `revisions_heard`. May be
    lost: they find them in the register at their next `confirm`."""

    revisions: tuple[SealedRevision, ...]


Action = AskRegister | Answer | Store | StoreSnapshot | ClaimStored | Fetch | Publish


class StoredState(NamedTuple):
    """A snapshot (document at a position) and sealed revisions in order without gaps.

    The revisions may begin before the position: those up to it only fill the history window (ids and items
    that were changed lately), those after it are applied. The more of the last `ControlLimits.history`
    revisions are here, the older a base a change may name."""

    position: Position
    document: Document  # taken over, not copied: hand in one of its own
    revisions: tuple[SealedRevision, ...] = ()

    @classmethod
    def empty(cls) -> "StoredState":
        """That of a new deployment, or of a control machine whose disk was lost."""
        return cls(Position(), Document())


class ControlLimits(NamedTuple):
    """Bounds and spans of one control machine. Spans in microseconds."""

    history: int = 4096  # revisions whose ids and items are remembered; a base before them is refused
    history_entries: int = 100_000  # ids and items remembered in all; fewer revisions if they are many
    waiting_bytes: int = 8 << 20  # of changes that wait; more are refused as busy
    waiting_changes: int = 16_384
    tail_bytes: int = 384 << 10  # of revisions in the register that too few control machines have stored
    longest_deadline: int = 60_000_000  # of a writer's asking
    drop_above: int = 4096  # bytes of the register's tail that are dropped without waiting for a commit
    ask_within: int = 1_000_000  # deadline of one asking
    pause: int = 50_000  # after an asking that did not agree; drawn up to twice as long
    confirm_every: int = 1_000_000
    fetch_every: int = 300_000  # how often a gap is asked for again
