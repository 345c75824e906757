"""Changes that wait for an answer on one control machine, each answered once. Bounded; no I/O."""

from collections.abc import Callable, Iterable, Mapping
from heapq import heappop, heappush

from hazelhold.fleetconfig.change_history import Done
from hazelhold.fleetconfig.document import Fault
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.revision import Change

MOST_TOLD = 8  # unknown items and fields that an answer names
MAY_BE_COMMITTED = "it may be committed yet; ask again with the same id"


class Pending:
    """One asking of a writer. The same change may be asked for several times at once."""

    __slots__ = ("number", "asker", "change", "size", "digest", "deadline", "unknown")

    def __init__(
        self,
        number: int,
        asker: object,
        change: Change,
        size: int,
        digest: bytes,
        deadline: int,
    ) -> None:
        self.number, self.asker, self.change = number, asker, change
        self.size, self.digest = size, digest  # size: bytes of the encoded change
        self.deadline = deadline
        self.unknown: tuple[Fault, ...] = ()  # what of it this program does not know


class PendingChanges:
    """All that have no answer yet. Those in `waiting` are in no revision that is under way."""

    def __init__(self, most_bytes: int, most: int, tell: Callable[[object, ProposeAnswer], None]) -> None:
        self.most_bytes, self.most, self.tell = most_bytes, most, tell
        self.all: dict[int, Pending] = {}
        self.waiting: dict[int, Pending] = {}  # in the order in which they are tried
        self.by_id: dict[str, dict[int, Pending]] = {}
        self.under_way: frozenset[str] = frozenset()  # ids in a revision that may be committed yet
        self.deadlines: list[tuple[int, int]] = []  # heap; each leaves at its time
        self.bytes = self.last_number = 0

    def has_room(self, size: int) -> bool:
        return self.bytes + size <= self.most_bytes and len(self.all) < self.most

    def add(self, asker: object, change: Change, size: int, digest: bytes, deadline: int) -> None:
        self.last_number += 1
        pending = Pending(self.last_number, asker, change, size, digest, deadline)
        self.all[pending.number] = self.waiting[pending.number] = pending
        self.by_id.setdefault(change.id, {})[pending.number] = pending
        heappush(self.deadlines, (deadline, pending.number))
        self.bytes += size

    def end(self, pending: Pending, answer: ProposeAnswer) -> None:
        """Answers it, unless it was answered before."""
        if self.all.pop(pending.number, None) is None:
            return
        self.waiting.pop(pending.number, None)
        same = self.by_id[pending.change.id]
        del same[pending.number]
        if not same:
            del self.by_id[pending.change.id]
        self.bytes -= pending.size
        self.tell(pending.asker, answer)

    def refusal(self, id_: str, text: str) -> ProposeAnswer:
        """The answer to an asking that is not carried out; unknown if an earlier one of its id may be yet."""
        if id_ in self.under_way:
            return ProposeAnswer(id=id_, outcome="unknown", text=MAY_BE_COMMITTED)
        return ProposeAnswer(id=id_, outcome="refused", text=text)

    def end_refused(self, pending: Pending, text: str) -> None:
        self.end(pending, self.refusal(pending.change.id, text))

    def end_unknown(self, pending: Pending) -> None:
        self.end(pending, ProposeAnswer(id=pending.change.id, outcome="unknown", text=MAY_BE_COMMITTED))

    def end_overdue(self, now: int, text: str) -> None:
        """Those whose deadline has come: unknown if they are in a revision, refused if they only waited."""
        while self.deadlines and self.deadlines[0][0] <= now:
            _, number = heappop(self.deadlines)
            if number in self.waiting:
                self.end_refused(self.waiting[number], text)
            elif number in self.all:
                self.end_unknown(self.all[number])

    def end_done(self, ids: Iterable[str], done: Mapping[str, Done]) -> None:
        """Answers those with these ids that were carried out."""
        for id_ in ids:
            for pending in list(self.by_id.get(id_, {}).values()) if id_ in done else ():
                self.end(pending, done_answer(id_, pending.digest, done[id_], pending.unknown))

    def take(self, taken: Iterable[Pending]) -> None:
        """These are in a revision now."""
        for pending in taken:
            del self.waiting[pending.number]
        self.under_way = frozenset(pending.change.id for pending in taken)

    def give_back(self, taken: Iterable[Pending]) -> None:
        """The revision that these were in will never be: those without an answer wait again, first."""
        self.under_way = frozenset()
        self.waiting = {each.number: each for each in taken if each.number in self.all} | self.waiting

    def next_deadline(self) -> int | None:
        return self.deadlines[0][0] if self.deadlines else None


def done_answer(id_: str, digest: bytes, done: Done, unknown: tuple[Fault, ...] = ()) -> ProposeAnswer:
    """The answer to a change whose id was carried out. `unknown`: what of it this program does not know."""
    if digest != done.digest:
        fault = Fault("", f"its id was carried out with another change, by revision {done.number}")
        return ProposeAnswer(id=id_, outcome="invalid", number=done.number, faults=(fault,))
    text = "; ".join(f"{fault.item}: {fault.text}" for fault in unknown[:MOST_TOLD])
    return ProposeAnswer(id=id_, outcome="committed", number=done.number, text=text)
