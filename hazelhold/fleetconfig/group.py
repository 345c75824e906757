"""Group commit: which of the waiting changes make the next revision, and what is answered to the others. No
I/O.

Each change is judged against the committed document with the changes before it in the group on top. What is
wrong with one because of those before it is not final, as the group may never be committed: such a change
waits for the next group. So every answer given here is against committed revisions alone.
"""

from collections.abc import Iterable
from typing import NamedTuple

from hazelhold.fleetconfig.change_history import ChangeHistory
from hazelhold.fleetconfig.document import Document, Fault
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.pending import Pending, done_answer
from hazelhold.fleetconfig.revision import (
    MAX_ID,
    MAX_REVISION,
    Change,
    Position,
    Revision,
    SealedRevision,
    change_faults,
    seal,
)
from hazelhold.fleetconfig.validation import CheckedDocument, Draft

REVISION_OVERHEAD = 1024  # bytes of an encoded revision beside its changes, at most
MAX_CHANGE = MAX_REVISION - REVISION_OVERHEAD  # bytes of one encoded change
BASE_TOO_OLD = "base_too_old"


class Group(NamedTuple):
    """The changes of the next revision, and what became of the others that were looked at."""

    taken: list[Pending]
    answers: list[tuple[Pending, ProposeAnswer]]
    newer_base: bool = False  # some name a base that is not known here: ask the register
    blocked: bool = False  # the first does not fit beside what is not stored by a majority yet


class GroupBuilder:
    """Judges waiting changes, in order, against one position."""

    def __init__(self, document: CheckedDocument, history: ChangeHistory, confirmed: int) -> None:
        """`confirmed`: after the askings up to this number had come, the register was asked and told of no
        revision that is not here."""
        self.history, self.confirmed = history, confirmed
        self.number = history.end.number
        self.draft = Draft(document)
        self.taken: list[Pending] = []
        self.answers: list[tuple[Pending, ProposeAnswer]] = []
        self.ids: set[str] = set()
        self.newer_base = False

    def build(self, waiting: Iterable[Pending], room: int) -> Group:
        """`room`: bytes that the encoded changes may have together."""
        blocked = False
        for pending in waiting:
            if pending.size > room and not self._is_done(pending):
                blocked = not self.taken
                break
            if self._judge(pending):
                self.taken.append(pending)
                self.ids.add(pending.change.id)
                room -= pending.size
        return Group(self.taken, self.answers, self.newer_base, blocked)

    def _is_done(self, pending: Pending) -> bool:
        return pending.change.id in self.history.done

    def _judge(self, pending: Pending) -> bool:
        """Whether it is in the group. If not, it is answered or waits for the next one."""
        change = pending.change
        if done := self.history.done.get(change.id):
            self.answers.append((pending, done_answer(pending.change.id, pending.digest, done)))
            return False
        if change.id in self.ids:
            return False
        if change.base > self.number:
            self._newer_base(pending)
            return False
        if change.base < self.history.floor:
            self._base_too_old(pending)
            return False
        if faults := self._conflicts(pending):
            self._answer(pending, "conflict", faults)
            return False
        if any(name in self.draft.items for name in change.names()):
            return False
        verdict = self.draft.try_change(change)
        if verdict.faults:
            if not self.taken:
                self._answer(pending, "invalid", verdict.faults)
            return False
        pending.unknown = verdict.unknown
        return True

    def _newer_base(self, pending: Pending) -> None:
        if pending.number <= self.confirmed:
            text = f"base {pending.change.base} is no revision: the last is {self.number}"
            self._answer(pending, "invalid", (Fault("", text),))
        else:
            self.newer_base = True

    def _base_too_old(self, pending: Pending) -> None:
        """No conflict: this asking is not carried out, but an earlier one under its id may have been, and
        another machine may know more."""
        change = pending.change
        text = (
            f"{BASE_TOO_OLD}: base {change.base} lies before revision {self.history.floor}, up to which it "
            "is not known here any more what was carried out; this asking is not, earlier ones may have been"
        )
        self.answers.append((pending, ProposeAnswer(id=change.id, outcome="refused", text=text)))

    def _conflicts(self, pending: Pending) -> tuple[Fault, ...]:
        change = pending.change
        return tuple(
            Fault(name, f"was changed by revision {number}, after base {change.base}")
            for name, number in self.history.conflicts(change)
        )

    def _answer(self, pending: Pending, outcome: str, faults: tuple[Fault, ...]) -> None:
        self.answers.append(
            (pending, ProposeAnswer(id=pending.change.id, outcome=outcome, number=self.number, faults=faults))
        )


def seal_group(
    taken: list[Pending], position: Position, document: Document, committed_at: int
) -> SealedRevision:
    """The revision that carries these changes out after this position and document."""
    changes = tuple(pending.change for pending in taken)
    content = document.checksum_after([change.edit for change in changes])
    return seal(
        Revision(
            number=position.number + 1,
            parent=position.chain,
            content=content,
            changes=changes,
            committed_at=committed_at,
        )
    )


def first_answer(change: Change, size: int, digest: bytes, history: ChangeHistory) -> ProposeAnswer | None:
    """The answer that needs no revision: the change itself is wrong, or its id was carried out."""
    faults = change_faults(change)
    if size > MAX_CHANGE:
        faults.append(Fault("", f"has {size} bytes; {MAX_CHANGE} are allowed"))
    if faults:
        return ProposeAnswer(id=change.id[:MAX_ID], outcome="invalid", faults=tuple(faults))
    done = history.done.get(change.id)
    return done and done_answer(change.id, digest, done)
