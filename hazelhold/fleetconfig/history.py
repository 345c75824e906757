"""What one machine holds of the agreed order: the document at its position, a bounded window of recent
revisions to pass on as deltas, and chain checksums further back to notice contradictions. No I/O.

One per process. On a planner its `FollowerCore` advances it, on a control machine whoever commits; the
`SourceCore` of the same process only reads it. Nothing enters it without `check_next`.
"""

from collections import deque
from collections.abc import Sequence
from weakref import ref

from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.messages import PAGE_BYTES, Revisions
from hazelhold.fleetconfig.revision import START, Position, RevisionError, SealedRevision, check_next, unseal
from hazelhold.fleetconfig.snapshot import Snapshot

WINDOW_REVISIONS = 512
WINDOW_BYTES = 2 << 20
KNOWN_CHAINS = 4096  # chain checksums that are remembered


class History:
    """The document at `position`, and how it came about. The position's number only grows."""

    def __init__(
        self,
        position: Position = Position(),  # noqa: B008 - immutable
        document: Document | None = None,
        recent: Sequence[SealedRevision] = (),
        window_revisions: int = WINDOW_REVISIONS,
        window_bytes: int = WINDOW_BYTES,
    ) -> None:
        """`recent` are revisions that lead to the position, from a store; of others none is taken."""
        self.position = position
        self.document = document or Document()
        self.window: deque[SealedRevision] = deque()
        self._window_revisions, self._window_bytes = window_revisions, window_bytes
        self._bytes = 0
        self.taken_bytes = 0  # of all revisions that were ever appended here
        self._chains: dict[int, bytes] = {position.number: position.chain}
        self._snapshot: ref[Snapshot] | None = None
        for sealed in recent if _leads_to(recent, position) else ():
            self._remember(sealed)

    def append(self, sealed: SealedRevision) -> None:
        """Takes the next revision. RevisionError (see `check_next`) if it is not the next; then nothing
        changed."""
        check_next(self.position, self.document, sealed)
        self.document.apply(sealed.revision.edits)
        self.position = sealed.position
        self.taken_bytes += len(sealed.body)
        self._remember(sealed)

    def replace(self, position: Position, document: Document) -> None:
        """Takes a snapshot in place of all. RevisionError `goes_back` unless its number is higher."""
        if position.number <= self.position.number:
            raise RevisionError(
                "goes_back", f"snapshot {position.number} where {self.position.number} is here"
            )
        self.position, self.document = position, document
        self.window.clear()
        self._bytes = 0
        self._snapshot = None
        self._remember_chain(position)

    def chain_at(self, number: int) -> bytes | None:
        """The chain checksum of a revision that was held here; None if it is not remembered."""
        return START if number == 0 else self._chains.get(number)

    def contradicts(self, position: Position) -> bool:
        """Whether this history holds another revision under that number."""
        known = self.chain_at(position.number)
        return known is not None and known != position.chain

    def after(self, number: int, most_bytes: int = PAGE_BYTES) -> Revisions | None:
        """The next revisions after a number, about as many bytes; None if the window does not reach back."""
        found = self.revisions_after(number, most_bytes)
        if not found:
            return None
        return Revisions(bodies=tuple(sealed.body for sealed in found), chain=found[-1].chain)

    def revisions_after(self, number: int, most_bytes: int = PAGE_BYTES) -> list[SealedRevision]:
        """The next revisions after a number, about as many bytes; none if the window does not reach back."""
        if not self.window or number + 1 < self.window[0].revision.number:
            return []
        skipped = number + 1 - self.window[0].revision.number
        found: list[SealedRevision] = []
        size = 0
        for index in range(skipped, len(self.window)):
            size += len(self.window[index].body)
            if found and size > most_bytes:
                break
            found.append(self.window[index])
        return found

    def snapshot(self) -> Snapshot:
        """The document in pages. While a follower is being sent one from which the window leads on, others
        get the same copy."""
        held = self._snapshot() if self._snapshot else None
        if held is None or (
            held.position != self.position and self.after(held.position.number, most_bytes=0) is None
        ):
            held = Snapshot(self.position, self.document)
            self._snapshot = ref(held)
        return held

    def _remember(self, sealed: SealedRevision) -> None:
        self.window.append(sealed)
        self._bytes += len(sealed.body)
        while len(self.window) > self._window_revisions or self._bytes > self._window_bytes:
            self._bytes -= len(self.window.popleft().body)
        self._remember_chain(sealed.position)

    def _remember_chain(self, position: Position) -> None:
        self._chains[position.number] = position.chain
        while len(self._chains) > KNOWN_CHAINS:
            del self._chains[next(iter(self._chains))]


def unseal_all(message: Revisions) -> list[SealedRevision]:
    """Reads a message of revisions and checks that they are as they were sent: each names the one before by
    checksum, and the message names the last. RevisionError if not; then none may be taken."""
    found = [unseal(body) for body in message.bodies]
    chains = [sealed.chain for sealed in found]
    named = [sealed.revision.parent for sealed in found[1:]] + [message.chain]
    if not found or chains != named:
        raise RevisionError("damaged", "revisions that do not fit one another or the message's checksum")
    return found


def _leads_to(recent: Sequence[SealedRevision], position: Position) -> bool:
    positions = [sealed.position for sealed in recent]
    parents = [Position(sealed.revision.number - 1, sealed.revision.parent) for sealed in recent]
    return [*positions[-1:], *parents[1:]] == [position, *positions[:-1]]
