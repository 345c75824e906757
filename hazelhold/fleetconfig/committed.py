"""What is committed and known on one control machine: the chain, the register's tail, who has stored what. No
I/O."""

from collections.abc import Iterable

from hazelhold.fleetconfig.chain import Chain
from hazelhold.fleetconfig.control_actions import ControlLimits, StoredState
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.revision import Position, RevisionError, SealedRevision
from hazelhold.fleetconfig.tail import StoredFacts, Tail


class Committed:
    """Grows by `extend` and `replace` alone."""

    def __init__(self, stored: StoredState, machines: Iterable[str], limits: ControlLimits) -> None:
        self.limits = limits
        self.chain = self.restored(stored)
        self.tail = Tail(limits.tail_bytes)
        self.facts = StoredFacts(machines)

    @property
    def position(self) -> Position:
        return self.chain.position

    @property
    def document(self) -> Document:
        return self.chain.document

    def restored(self, stored: StoredState) -> Chain:
        """A chain from a snapshot and revisions. RevisionError if they are none."""
        return Chain.restored(stored, self.limits.history, self.limits.history_entries)

    def replace(self, chain: Chain) -> None:
        """Goes on with a chain that is further."""
        self.chain = chain

    def extend(self, found: list[SealedRevision]) -> tuple[list[SealedRevision], RevisionError | None]:
        """Takes what follows, up to a gap or to what is wrong. What was taken, and what is wrong."""
        taken: list[SealedRevision] = []
        wrong: RevisionError | None = None
        for sealed in found:
            if sealed.revision.number > self.position.number + 1:
                break
            try:
                if sealed.revision.number <= self.position.number:
                    self.chain.check_known(sealed.position)
                else:
                    self.chain.append(sealed)
                    taken.append(sealed)
            except RevisionError as error:
                wrong = error
                break
        self.tail.add(taken)
        self.tail.trim(self.stored)
        return taken, wrong

    @property
    def stored(self) -> int:
        """The last revision that a majority has stored: up to it the register need not carry any."""
        return min(self.facts.by_majority, self.position.number)

    def room(self) -> int:
        """Bytes that the next revision may have beside those that the register carries."""
        return self.limits.tail_bytes - self.tail.trim(self.stored)
