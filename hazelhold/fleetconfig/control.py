"""Commits changes of the configuration on one control machine (docs/fleetconfig.md).

Without I/O: inputs are methods with `now` in microseconds of the host's clock, outputs are `actions`. One
asking of the register is under way at a time. The revision that it proposes carries all waiting changes that
are valid one after the other.

A revision that was proposed and not seen committed is *exposed*: it may be chosen yet. Its changes are
neither proposed again nor answered, but with `unknown` at their deadline, until a full round of the register
(`Advance` or `Settle`) was agreed and all revisions up to what that found are here. From then on it is either
in the chain or never will be.
"""

from collections import Counter
from random import Random
from typing import NamedTuple

from hazelhold.fleetconfig.chain import Chain
from hazelhold.fleetconfig.change_history import measured
from hazelhold.fleetconfig.control_actions import (
    Action,
    Answer,
    AskRegister,
    ControlLimits,
    Fetch,
    Publish,
    Store,
    StoredState,
    StoreSnapshot,
)
from hazelhold.fleetconfig.document import Document, Fault
from hazelhold.fleetconfig.group import MAX_CHANGE, REVISION_OVERHEAD, GroupBuilder, done_answer
from hazelhold.fleetconfig.head import Advance, Head, HeadError, Settle, decode_head, open_tail
from hazelhold.fleetconfig.messages import NEVER, ProposeAnswer
from hazelhold.fleetconfig.pending import Pending, PendingChanges
from hazelhold.fleetconfig.revision import (
    MAX_ID,
    Change,
    Position,
    Revision,
    RevisionError,
    SealedRevision,
    change_faults,
    seal,
    unseal,
)
from hazelhold.fleetconfig.tail import StoredFacts, Tail
from hazelhold.replica.proposer import Read


class Asking(NamedTuple):
    """What the register is being asked."""

    number: int
    change: Advance | Settle | Read
    began: int
    position: Position  # of this machine then: what is agreed cannot lie before it
    last_pending: int  # number of the last writer's asking that had come then
    sealed: SealedRevision | None = None  # of an Advance


class ControlCore:
    """One control machine's part in the agreed order.

    Call `start` once, then any input; after each drain `take_actions`; call `tick` at `next_at`. `position`
    and `document` are committed. `broken` says why nothing can be committed until an operator acts.
    """

    def __init__(
        self,
        name: str,
        machines: tuple[str, ...],
        stored: StoredState,
        seed: int,
        limits: ControlLimits = ControlLimits(),  # noqa: B008
        wall_offset: int = 0,
    ) -> None:
        """`machines`: the names of all control machines, this one among them. `wall_offset`: wall clock less
        the host's clock, microseconds, only for the time of commit that people read. RevisionError if what
        was stored is no chain."""
        self.name, self.machines, self.limits, self.wall_offset = name, machines, limits, wall_offset
        self.random = Random(f"control/{name}/{seed}")
        self.chain = Chain.restored(stored, limits.history, limits.history_entries)
        self.pending = PendingChanges(limits.waiting_bytes, limits.waiting_changes, self._answer)
        self.facts = StoredFacts(machines)
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.broken = ""
        self.reason = "has not agreed with a majority of the control machines yet"
        self.asking: Asking | None = None
        self.exposed: list[Pending] = []  # changes of the revision that was proposed last
        self.settled = False
        self.settled_number = 0  # of the head that the last full round found
        self.known_number = 0  # the highest number of any head seen
        self.tail = Tail(limits.tail_bytes)
        self.confirmed_at: int | None = None  # then, nothing past `position` was committed
        self.confirmed_pending = 0  # the last of the writers' askings that had come then
        self.unconfirmed: tuple[Asking, int] | None = (
            None  # the last that was agreed, and the number it found
        )
        self.blocked = False  # too few have stored the tail: nothing more fits beside it
        self.last_asking = 0
        self.idle_until = self.confirm_at = self.fetch_at = 0

    @property
    def position(self) -> Position:
        return self.chain.position

    @property
    def document(self) -> Document:
        return self.chain.document

    # Inputs.

    def start(self, now: int) -> None:
        """Begins: settles the register before anything else. What was handed in as stored counts so."""
        self.stored(now, self.name, self.position.number)

    def propose(self, now: int, asker: object, change: Change, deadline: int) -> None:
        """Commit this change. Exactly one Answer for the asker follows, by `deadline` (on the host's clock,
        at most `longest_deadline` from now) if `tick` is called in time. The same change may be asked for
        again and again, also by other askers."""
        size, digest = measured(change)
        faults = change_faults(change)
        if size > MAX_CHANGE:
            faults.append(Fault("", f"has {size} bytes; {MAX_CHANGE} are allowed"))
        if faults:
            self._answer(asker, ProposeAnswer(id=change.id[:MAX_ID], outcome="invalid", faults=tuple(faults)))
        elif done := self.chain.history.done.get(change.id):
            self._answer(asker, done_answer(change.id, digest, done))
        elif self.broken:
            self._answer(asker, ProposeAnswer(id=change.id, outcome="refused", text=self.broken))
        elif not self.pending.has_room(size):
            self._answer(asker, ProposeAnswer(id=change.id, outcome="refused", text="busy"))
        else:
            deadline = min(deadline, now + self.limits.longest_deadline)
            self.pending.add(asker, change, size, digest, deadline)
            self.tick(now)

    def register_answered(self, now: int, asking: int, outcome: str, value: bytes, reason: str = "") -> None:
        """How an AskRegister ended: `agreed`, `refused` or `open`, as the replica's proposer tells it."""
        if self.asking is None or asking != self.asking.number:
            self.counts["late_answers"] += 1
            return
        asked, self.asking = self.asking, None
        self.counts[f"register_{outcome}"] += 1
        if outcome == "agreed":
            self._agreed(now, asked, value)
        else:
            self._not_agreed(now, asked, outcome, reason)
        self._step(now)

    def revisions_heard(self, now: int, bodies: tuple[bytes, ...]) -> None:
        """Encoded committed revisions from another control machine, in order: published or fetched. What is
        here already is passed over; what does not follow is counted, and the register is asked."""
        before = self.position
        try:
            heard = [unseal(body) for body in bodies]
            self._extend(heard)
        except RevisionError as wrong:
            self.counts[f"heard_{wrong.code}"] += 1
            heard = []
        if heard and heard[-1].revision.number > self.position.number:
            self.counts["heard_gap"] += 1
            self.confirm_at = min(self.confirm_at, now)
        if self.position != before:
            self._extend(self.tail.revisions)
            self.fetch_at = now  # for the next page, if there is still a gap
        self._resolve()
        self._step(now)

    def snapshot_heard(self, now: int, stored: StoredState) -> None:
        """A committed snapshot from another control machine, for one that is too far behind; its document is
        taken over. One that is not ahead of this machine is passed over."""
        try:
            chain = Chain.restored(stored, self.limits.history, self.limits.history_entries)
            chain.check_known(self.position)
        except RevisionError as wrong:
            self.counts[f"heard_{wrong.code}"] += 1
            return
        if chain.position.number <= self.position.number:
            self.counts["heard_old"] += 1
            return
        if chain.history.floor > self.position.number:  # what was carried out in between is not known here
            for pending in self.exposed:
                self.pending.end_unknown(pending)
        self.chain = chain
        self.actions.append(StoreSnapshot(chain.position))
        for pending in list(self.pending.all.values()):
            self._answer_if_done(pending)
        self._extend(self.tail.revisions)
        self._resolve()
        self._step(now)

    def stored(self, now: int, machine: str, number: int) -> None:
        """That control machine has made all revisions up to this number durable. A lower number than before
        changes nothing."""
        if self.facts.learn(machine, number):
            self.blocked = False
        self._step(now)

    def tick(self, now: int) -> None:
        """Does what is due."""
        self.pending.end_overdue(now, self.broken or self.reason or "not reached in time")
        self._step(now)

    # What the host asks.

    def next_at(self) -> int | None:
        """When `tick` is to be called next."""
        times = [] if (deadline := self.pending.next_deadline()) is None else [deadline]
        if self.asking is None:
            urgent = not self.settled or self._may_propose()
            times.append(self.idle_until if urgent else max(self.idle_until, self.confirm_at))
        if self._has_gap:
            times.append(self.fetch_at)
        return min(times, default=None)

    def take_actions(self) -> list[Action]:
        """What to do since the last call, in order."""
        actions, self.actions = self.actions, []
        return actions

    def confirmed_age(self, now: int) -> int:
        """How long ago a majority said that nothing newer than `position` was committed; `NEVER` if that was
        never so in this life."""
        return NEVER if self.confirmed_at is None else now - self.confirmed_at

    # What the register said.

    def _agreed(self, now: int, asked: Asking, value: bytes) -> None:
        try:
            head = decode_head(value)
            tail = open_tail(head)
            self._check_order(head, asked)
            self.tail.found(tail, head.number)
            self._extend(self.tail.revisions)
        except (HeadError, RevisionError) as wrong:
            self._break(now, f"{wrong.code}: {wrong.text}")
            return
        self.broken = self.reason = ""
        self.blocked = False
        self.known_number = max(self.known_number, head.number)
        if not isinstance(asked.change, Read):
            self.settled, self.settled_number = True, head.number
        self.unconfirmed = asked, head.number
        self.confirm_at = now + self.limits.confirm_every
        if (
            asked.sealed
            and self.chain.history.position_at(asked.sealed.revision.number) == asked.sealed.position
        ):
            self.actions.append(Publish((asked.sealed,)))
        self._resolve()

    def _check_order(self, head: Head, asked: Asking) -> None:
        """The register never goes back, and has no other chain than what was committed here."""
        if head.number < asked.position.number:
            text = f"the register is at revision {head.number}, but {asked.position.number} was committed"
            raise HeadError("register_lost", text)
        self.chain.check_known(head.position)

    def _not_agreed(self, now: int, asked: Asking, outcome: str, reason: str) -> None:
        self.reason = reason
        self.idle_until = now + self.random.randint(self.limits.pause, 2 * self.limits.pause)
        if outcome == "refused" and asked.sealed is not None:
            self.settled = True  # as it was before: no accept left
            self._give_back()

    def _break(self, now: int, text: str) -> None:
        """The register's value is not to be reconciled with what is here: nothing is proposed on it."""
        self.broken = text
        self.settled = False
        self.counts["broken"] += 1
        self.idle_until = now + self.limits.confirm_every
        for pending in list(self.pending.waiting.values()):
            self.pending.end_refused(pending, text)

    # What is committed.

    def _extend(self, found: list[SealedRevision]) -> None:
        """Takes what follows, up to a gap. RevisionError if there is another chain; what came before it
        stays."""
        taken: list[SealedRevision] = []
        try:
            for sealed in found:
                if sealed.revision.number > self.position.number + 1:
                    break
                if sealed.revision.number <= self.position.number:
                    self.chain.check_known(sealed.position)
                else:
                    self.chain.append(sealed)
                    taken.append(sealed)
        finally:
            if taken:
                self._taken(taken)

    def _taken(self, revisions: list[SealedRevision]) -> None:
        self.actions.append(Store(tuple(revisions)))
        self.blocked = False
        self.counts["revisions"] += len(revisions)
        self.tail.add(revisions)
        self.tail.trim(self._stored())
        for sealed in revisions:
            for change in sealed.revision.changes:
                for pending in self.pending.with_id(change.id):
                    self._answer_if_done(pending)

    def _resolve(self) -> None:
        """What follows from having come so far."""
        if self.unconfirmed and self.unconfirmed[1] <= self.position.number:
            asked, self.unconfirmed = self.unconfirmed[0], None
            self.confirmed_at, self.confirmed_pending = asked.began, asked.last_pending
        if self.exposed and self.settled and self.position.number >= self.settled_number:
            self._give_back()

    def _give_back(self) -> None:
        """The revision that was proposed never will be committed, or is and has answered its changes."""
        exposed, self.exposed = self.exposed, []
        self.pending.give_back(exposed)

    # What is proposed.

    @property
    def _has_gap(self) -> bool:
        return self.position.number < self.known_number

    def _may_propose(self) -> bool:
        return bool(self.settled and self.pending.waiting) and not (
            self.exposed or self.blocked or self._has_gap
        )

    def _step(self, now: int) -> None:
        if self._has_gap and now >= self.fetch_at:
            self.fetch_at = now + self.limits.fetch_every
            self.actions.append(Fetch(self.position))
        if self.asking is not None or now < self.idle_until:
            return
        if not self.settled:
            self._ask(now, Settle())
            return
        if self._may_propose():
            self._propose_group(now)
        if self.asking is None and now >= self.confirm_at:
            self._ask(now, Read())

    def _stored(self) -> int:
        """Up to which revision the tail may be dropped."""
        return min(self.facts.by_majority, self.position.number)

    def _propose_group(self, now: int) -> None:
        stored = self._stored()
        tail_room = self.limits.tail_bytes - self.tail.trim(stored)
        builder = GroupBuilder(self.chain.checked, self.chain.history, self.confirmed_pending)
        group = builder.build(self.pending.waiting.values(), min(MAX_CHANGE, tail_room - REVISION_OVERHEAD))
        for pending, answer in group.answers:
            self.pending.end(pending, answer)
        self.blocked = group.blocked
        if group.blocked:
            self.reason = f"revisions after {stored} are stored by too few control machines"
        if group.taken:
            self._advance(now, group.taken, stored)
        elif group.newer_base:
            self._ask(now, Read())

    def _advance(self, now: int, taken: list[Pending], stored: int) -> None:
        changes = tuple(pending.change for pending in taken)
        sealed = seal(
            Revision(
                number=self.position.number + 1,
                parent=self.position.chain,
                content=self.document.checksum_after([change.edit for change in changes]),
                changes=changes,
                committed_at=now + self.wall_offset,
            )
        )
        self.pending.take(taken)
        self.exposed = taken
        self.settled = False
        self._ask(now, Advance(sealed.body, stored), sealed)

    def _ask(self, now: int, change: Advance | Settle | Read, sealed: SealedRevision | None = None) -> None:
        self.last_asking += 1
        self.asking = Asking(self.last_asking, change, now, self.position, self.pending.last_number, sealed)
        self.actions.append(AskRegister(self.last_asking, change, now + self.limits.ask_within))

    def _answer(self, asker: object, answer: ProposeAnswer) -> None:
        self.counts[f"answered_{answer.outcome}"] += 1
        self.actions.append(Answer(asker, answer))

    def _answer_if_done(self, pending: Pending) -> None:
        if done := self.chain.history.done.get(pending.change.id):
            answer = done_answer(pending.change.id, pending.digest, done, pending.unknown)
            self.pending.end(pending, answer)
