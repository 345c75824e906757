"""One control core and a register that answers as it is told."""

from fleetconfig_machines import LIMITS

from hazelhold.fleetconfig import control_actions as a
from hazelhold.fleetconfig.control import ControlCore
from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.head import Head, encode_head
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.revision import (
    Change,
    Position,
    Revision,
    SealedRevision,
    seal,
)


class Bench:
    """A core among three machines; the register is a value that changes at once."""

    def __init__(
        self, stored: a.StoredState | None = None, limits: a.ControlLimits = LIMITS, value: bytes = b""
    ) -> None:
        self.core = ControlCore("a", ("a", "b", "c"), stored or a.StoredState.empty(), 1, limits)
        self.now, self.value = 1, value
        self.answers: dict[object, ProposeAnswer] = {}
        self.asked: list[a.AskRegister] = []
        self.stored: list[SealedRevision] = []
        self.others: list[a.Action] = []
        self.holding = False  # askings stay without answer
        self.storing = True
        self.core.start(self.now)
        self.drain()

    def drain(self) -> None:
        while actions := self.core.take_actions():
            for action in actions:
                if isinstance(action, a.Answer):
                    assert action.asker not in self.answers, "answered twice"
                    self.answers[action.asker] = action.answer
                elif isinstance(action, a.AskRegister):
                    self.asked.append(action)
                    if not self.holding:
                        self.agree()
                elif isinstance(action, a.Store):
                    self.stored += action.revisions
                    if self.storing:
                        self.store_all()
                else:
                    self.others.append(action)

    def store_all(self) -> None:
        for name in "ab":
            self.core.stored(self.now, name, self.core.position.number)

    def agree(self) -> None:
        asked = self.asked[-1]
        self.value = asked.change(self.value)
        self.core.register_answered(self.now, asked.asking, "agreed", self.value)
        self.drain()

    def end(self, outcome: str, reason: str = "no_majority") -> None:
        self.core.register_answered(self.now, self.asked[-1].asking, outcome, b"", reason)
        self.drain()

    def propose(self, asker: object, change: Change, span: int = 1_000_000) -> ProposeAnswer | None:
        self.core.propose(self.now, asker, change, self.now + span)
        self.drain()
        return self.answers.get(asker)

    def pass_time(self, span: int) -> None:
        until = self.now + span
        while (at := self.core.next_at()) is not None and at <= until:
            self.now = max(at, self.now + 1)
            self.core.tick(self.now)
            self.drain()
        self.now = until


def item(id_: str, name: str, base: int, value: object = 1) -> Change:
    return Change(id=id_, base=base, puts=(Put(name, canonical(value)),))


def chain_of(count: int, start: int = 1, items: str = "x") -> list[SealedRevision]:
    """Revisions that each set another of these items; other items give another order."""
    document, position, found = Document(), Position(), []
    for number in range(1, count + 1):
        change = item(f"c{number}", f"{items}/{number}", number - 1)
        content = document.checksum_after([change.edit])
        sealed = seal(Revision(number=number, parent=position.chain, content=content, changes=(change,)))
        document.apply(sealed.revision.edits)
        position = sealed.position
        found.append(sealed)
    return found[start - 1 :]


def head_of(revisions: list[SealedRevision], tail: int = 1) -> bytes:
    last = revisions[-1]
    bodies = tuple(sealed.body for sealed in revisions[-tail:])
    return encode_head(
        Head(number=last.revision.number, chain=last.chain, content=last.revision.content, tail=bodies)
    )


def other_chain() -> bytes:
    revision = Revision(number=1, parent=bytes(16), content=bytes(16), changes=(item("z", "x/z", 0),))
    return head_of([seal(revision)])
