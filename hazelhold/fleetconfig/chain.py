"""The committed part of the chain on one control machine: position, document and history window. No I/O."""

from hazelhold.fleetconfig.change_history import ChangeHistory
from hazelhold.fleetconfig.control_actions import StoredState
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.revision import Position, RevisionError, SealedRevision, check_next
from hazelhold.fleetconfig.validation import CheckedDocument


class Chain:
    """Grows by `append` alone."""

    def __init__(self, document: Document, history: ChangeHistory) -> None:
        self.checked, self.history = CheckedDocument(document), history

    @classmethod
    def restored(cls, stored: StoredState, most_revisions: int, most_entries: int) -> "Chain":
        """From a snapshot and revisions. RevisionError if they are not of one chain, or have a gap."""
        start = stored.position
        if stored.revisions and stored.revisions[0].revision.number <= start.number:
            first = stored.revisions[0].revision
            start = Position(first.number - 1, first.parent)
        chain = cls(stored.document, ChangeHistory(start, most_revisions, most_entries))
        for sealed in stored.revisions:
            if sealed.revision.number <= stored.position.number:
                chain._append_old(sealed, stored.position)
            else:
                chain.append(sealed)
        if chain.position.number < stored.position.number:
            raise RevisionError("gap", "the stored revisions end before the snapshot that they belong to")
        return chain

    @property
    def position(self) -> Position:
        return self.history.end

    @property
    def document(self) -> Document:
        return self.checked.document

    def append(self, sealed: SealedRevision) -> None:
        """The next revision. RevisionError, and nothing is changed, if it does not follow."""
        check_next(self.position, self.document, sealed)
        self.checked.apply(sealed.revision.edits)
        self.history.add(sealed)

    def has(self, position: Position) -> bool:
        """Whether this revision is in the window."""
        return self.history.position_at(position.number) == position

    def check_known(self, position: Position) -> None:
        """RevisionError `other_chain` if another revision of this number is in the window."""
        here = self.history.position_at(position.number)
        if here is not None and here != position:
            raise RevisionError("other_chain", f"there is another revision {position.number} here")

    def _append_old(self, sealed: SealedRevision, snapshot: Position) -> None:
        """One from before the snapshot: what it did is in the document already."""
        here = self.position
        if sealed.revision.number != here.number + 1:
            raise RevisionError("gap", f"stored revision {sealed.revision.number} follows {here.number}")
        if sealed.revision.parent != here.chain:
            raise RevisionError(
                "other_chain", f"stored revision {sealed.revision.number} is of another chain"
            )
        if sealed.revision.number == snapshot.number:
            if sealed.chain != snapshot.chain:
                raise RevisionError("other_chain", "the stored revisions do not lead to the snapshot")
            if sealed.revision.content != self.document.checksum:
                raise RevisionError("wrong_content", "the snapshot is not the document of its revision")
        self.history.add(sealed)
