"""What one control machine knows of the agreed register: its head, what was confirmed, and whether a revision
that was proposed here is decided. No I/O."""

from typing import NamedTuple

from hazelhold.fleetconfig.chain import Chain
from hazelhold.fleetconfig.head import Advance, Head, HeadError, Settle, decode_head, droppable, open_tail
from hazelhold.fleetconfig.messages import NEVER
from hazelhold.fleetconfig.revision import Position, SealedRevision
from hazelhold.replica.proposer import Read

RegisterChange = Advance | Settle | Read


class Asking(NamedTuple):
    """What the register is being asked."""

    number: int
    change: RegisterChange
    began: int
    position: Position  # of this machine then: what is agreed cannot lie before it
    last_pending: int  # number of the last writer's asking that had come then
    sealed: SealedRevision | None = None  # of an Advance


class RegisterView:
    """`settled`: nothing that was proposed here is open, once all up to `settled_number` is here."""

    def __init__(self) -> None:
        self.asking: Asking | None = None  # under way
        self.last_asking = 0
        self.head = Head()  # the one seen last
        self.known_number = 0  # the highest number of any head seen
        self.settled = False
        self.settled_number = 0  # of the head that the last full round found
        self.confirmed_at: int | None = None  # then, nothing past what is here was committed
        self.confirmed_pending = 0  # the last of the writers' askings that had come then
        self.unconfirmed: tuple[Asking, int] | None = None  # what was agreed last, and the number it found

    def ask(
        self,
        now: int,
        change: RegisterChange,
        position: Position,
        last_pending: int,
        sealed: SealedRevision | None = None,
    ) -> int:
        """Notes what is asked; the number of this asking."""
        self.last_asking += 1
        self.asking = Asking(self.last_asking, change, now, position, last_pending, sealed)
        return self.last_asking

    def answered(self, asking: int) -> Asking | None:
        """What was asked under this number, if it is the one under way; it is that no more."""
        if self.asking is None or asking != self.asking.number:
            return None
        asked, self.asking = self.asking, None
        return asked

    def read(self, asked: Asking, value: bytes, chain: Chain) -> tuple[Head, list[SealedRevision]]:
        """What was agreed, and its tail. HeadError or RevisionError if that is no head, or not one of this
        machine's chain: the register never goes back."""
        head = decode_head(value)
        tail = open_tail(head)
        if head.number < asked.position.number:
            text = f"the register is at revision {head.number}, but {asked.position.number} was committed"
            raise HeadError("register_lost", text)
        chain.check_known(head.position)
        return head, tail

    def found(self, asked: Asking, head: Head) -> None:
        """That was the head when this asking was agreed."""
        self.head = head
        self.known_number = max(self.known_number, head.number)
        self.unconfirmed = asked, head.number
        if not isinstance(asked.change, Read):
            self.settled, self.settled_number = True, head.number

    def reached(self, position: Position) -> None:
        """All revisions up to here are on this machine."""
        if self.unconfirmed and self.unconfirmed[1] <= position.number:
            asked, self.unconfirmed = self.unconfirmed[0], None
            self.confirmed_at, self.confirmed_pending = asked.began, asked.last_pending

    def is_decided(self, position: Position) -> bool:
        """Whether what was proposed here before is either in the chain up to here or will never be."""
        return self.settled and position.number >= self.settled_number

    def confirmed_age(self, now: int) -> int:
        return NEVER if self.confirmed_at is None else now - self.confirmed_at

    def droppable_bytes(self, stored: int) -> int:
        """How much of the register's tail need not be carried any more."""
        return sum(len(body) for body in droppable(self.head, stored))
