"""Received and in force kept apart: which document the host is asked to put in force, one at a time. No I/O.

The document that is handed over is a second copy, which is brought up to date only between two askings, so
that the host may read it at leisure while revisions come in.
"""

from collections.abc import Iterable

from hazelhold.fleetconfig.document import Document, Edit, Put
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.revision import Position
from hazelhold.fleetconfig.spread_actions import PutInForce


class Enforcement:
    """`in_force` is the last position that the host put in force in this life; number 0: none yet."""

    def __init__(self, history: History, last_in_force: tuple[Position, Document] | None = None) -> None:
        """`last_in_force`, if it is older than the history's position, is what is offered if the host refuses
        that: what was in force before a restart may be newer than its note on the disk, and never goes
        back."""
        self.in_force = Position()
        self.offered: Position | None = None
        self.reason = ""  # why the latest offer was refused; empty if it was not
        self._history = history
        self._before = last_in_force
        self._tried = Position()
        self._document = Document()
        self._waiting: dict[str, bytes | None] = {}  # changes that the document does not have yet
        # In place of the document, before those changes.
        self._replacement: Document | None = history.document.copy()

    def received(self, edits: Iterable[Edit]) -> None:
        """The history took these edits."""
        for edit in edits:
            self._waiting.update((put.name, put.value) for put in edit.puts)
            self._waiting.update((name, None) for name in edit.removals)

    def replaced(self) -> None:
        """The history took a snapshot."""
        self._waiting.clear()
        self._replacement = self._history.document.copy()

    def offer(self) -> PutInForce | None:
        """What the host is to be asked now; None while it is asked already or has nothing newer to try."""
        if self.offered is not None:
            return None
        position = self._history.position
        if position.number <= self._tried.number:
            return self._offer_before()
        changed = self._bring_up_to_date()
        self.offered = self._tried = position
        return PutInForce(position, self._document, changed)

    def answered(self, position: Position, reason: str | None) -> bool:
        """The host's answer; a reason means refused. Whether it was asked for that position."""
        if position != self.offered:
            return False
        self.offered = None
        if reason is None:
            self.in_force, self._before = position, None
            if position == self._tried:
                self.reason = ""
        else:
            self.reason = f"refused {position.number}: {reason}"
        return True

    def _offer_before(self) -> PutInForce | None:
        """What was in force before the restart, if what is newer was refused."""
        if self._before is None:
            return None
        (position, document), self._before = self._before, None
        self._replacement = self._document  # the next one is another document than this one
        self.offered = position
        return PutInForce(position, document, None)

    def _bring_up_to_date(self) -> frozenset[str] | None:
        changed: frozenset[str] | None = frozenset(self._waiting)
        if self._replacement is not None:
            self._document, self._replacement, changed = self._replacement, None, None
        puts = tuple(Put(name, value) for name, value in self._waiting.items() if value is not None)
        removals = tuple(name for name, value in self._waiting.items() if value is None)
        self._document.apply([Edit(puts, removals)])
        self._waiting.clear()
        return changed
