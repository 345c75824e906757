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

import msgspec

from hazelhold.fleetconfig import control_actions as a
from hazelhold.fleetconfig.change_history import ChangeHistory, measured
from hazelhold.fleetconfig.committed import Committed
from hazelhold.fleetconfig.document import Document, told_faults
from hazelhold.fleetconfig.group import MAX_CHANGE, REVISION_OVERHEAD, GroupBuilder, first_answer, seal_group
from hazelhold.fleetconfig.head import Advance, HeadError, Settle
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.pending import Pending, PendingChanges
from hazelhold.fleetconfig.register_view import Asking, RegisterChange, RegisterView
from hazelhold.fleetconfig.revision import Change, Position, RevisionError, SealedRevision, unseal
from hazelhold.fleetconfig.tail import StoredFacts
from hazelhold.replica.proposer import Read


class ControlCore:
    """One control machine's part in the agreed order.

    Call `start` once, then any input; after each drain `take_actions`; call `tick` at `next_at`. `position`
    and `document` are committed. `broken` says why nothing can be committed until an operator acts.
    """

    def __init__(
        self,
        name: str,
        machines: tuple[str, ...],
        stored: a.StoredState,
        seed: int,
        limits: a.ControlLimits = a.ControlLimits(),  # noqa: B008
        wall_offset: int = 0,
    ) -> None:
        """`machines`: the names of all control machines, this one among them. `wall_offset`: wall clock less
        the host's clock, microseconds, only for the time of commit that people read. RevisionError if what
        was stored is no chain."""
        self.name, self.machines, self.limits, self.wall_offset = name, machines, limits, wall_offset
        self.random = Random(f"control/{name}/{seed}")
        self.committed = Committed(stored, machines, limits)
        self.pending = PendingChanges(limits.waiting_bytes, limits.waiting_changes, self._answer)
        self.actions: list[a.Action] = []
        self.counts: Counter[str] = Counter()
        self.broken = ""
        self.reason = "has not agreed with a majority of the control machines yet"
        self.register = RegisterView()
        self.exposed: list[Pending] = []  # changes of the revision that was proposed last
        self.blocked = False  # too few have stored the tail: nothing more fits beside it
        self.idle_until = self.confirm_at = self.fetch_at = 0
        self.unclaimed = (
            self.position.number
        )  # what was stored before this life, not known to be of the order

    @property
    def position(self) -> Position:
        return self.committed.position

    @property
    def document(self) -> Document:
        return self.committed.document

    @property
    def facts(self) -> StoredFacts:
        return self.committed.facts

    @property
    def history(self) -> ChangeHistory:
        return self.committed.chain.history

    # Inputs.

    def start(self, now: int) -> None:
        """Begins: settles the register before anything else. What was handed in as stored counts so once the
        register's head was found to follow from it: `ClaimStored`."""
        self._step(now)

    def propose(self, now: int, asker: object, change: Change, deadline: int) -> None:
        """Commit this change. Exactly one Answer for the asker follows, by `deadline` (on the host's clock,
        at most `longest_deadline` from now) if `tick` is called in time. The same change may be asked for
        again and again, also by other askers."""
        size, digest = measured(change)
        if answer := first_answer(change, size, digest, self.history):
            self._answer(asker, answer)
        elif text := self.broken or ("" if self.pending.has_room(size) else "busy"):
            self._answer(asker, self.pending.refusal(change.id, text))
        else:
            deadline = min(deadline, now + self.limits.longest_deadline)
            self.pending.add(asker, change, size, digest, deadline)
            self.tick(now)

    def register_answered(self, now: int, asking: int, outcome: str, value: bytes, reason: str = "") -> None:
        """How an AskRegister ended: `agreed`, `refused` or `open`, as the replica's proposer tells it."""
        if (asked := self.register.answered(asking)) is None:
            self.counts["late_answers"] += 1
            return
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
            self._extend(self.committed.tail.revisions)
            self.fetch_at = now  # for the next page, if there is still a gap
        self._resolve()
        self._step(now)

    def snapshot_heard(self, now: int, stored: a.StoredState) -> None:
        """A committed snapshot from another control machine, for one that is too far behind; its document is
        taken over. One that is not ahead of this machine is passed over."""
        try:
            chain = self.committed.restored(stored)
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
        self.committed.replace(chain)
        self.unclaimed = 0  # it is not on the disk any more once this is
        self.actions.append(a.StoreSnapshot(chain.position))
        self.pending.end_done(list(self.pending.by_id), self.history.done)
        self._extend(self.committed.tail.revisions)
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
        if self.register.asking is None:
            urgent = not self.register.settled or self._may_propose()
            times.append(self.idle_until if urgent else max(self.idle_until, self.confirm_at))
        if self._has_gap:
            times.append(self.fetch_at)
        return min(times, default=None)

    def take_actions(self) -> list[a.Action]:
        """What to do since the last call, in order."""
        actions, self.actions = self.actions, []
        return actions

    def confirmed_age(self, now: int) -> int:
        """How long ago a majority said that nothing newer than `position` was committed; `NEVER` if that was
        never so in this life."""
        return self.register.confirmed_age(now)

    # What the register said.

    def _agreed(self, now: int, asked: Asking, value: bytes) -> None:
        try:
            head, tail = self.register.read(asked, value, self.committed.chain)
            self.committed.tail.found(tail, head.number)
            self._extend(self.committed.tail.revisions)
        except (HeadError, RevisionError) as wrong:
            self._break(now, f"{wrong.code}: {wrong.text}")
            return
        self.broken = self.reason = ""
        self.blocked = False
        self.register.found(asked, head)
        self.confirm_at = now + self.limits.confirm_every
        if asked.sealed and self.committed.chain.has(asked.sealed.position):
            self.actions.append(a.Publish((asked.sealed,)))
        self._resolve()

    def _not_agreed(self, now: int, asked: Asking, outcome: str, reason: str) -> None:
        self.reason = reason
        self.idle_until = now + self.random.randint(self.limits.pause, 2 * self.limits.pause)
        if outcome == "refused" and asked.sealed is not None:
            self.register.settled = True  # as it was before: no accept left
            self._give_back()

    def _break(self, now: int, text: str) -> None:
        """The register's value is not to be reconciled with what is here: nothing is proposed on it."""
        self.broken = text
        self.register.settled = False
        self.counts["broken"] += 1
        self.idle_until = now + self.limits.confirm_every
        for pending in list(self.pending.waiting.values()):
            self.pending.end_refused(pending, text)

    # What is committed.

    def _extend(self, found: list[SealedRevision]) -> None:
        """Takes what follows, up to a gap. RevisionError if there is another chain; what came before it
        stays."""
        taken, wrong = self.committed.extend(found)
        if taken:
            self.actions.append(a.Store(tuple(taken)))
            self.blocked = False
            self.counts["revisions"] += len(taken)
        ids = [change.id for sealed in taken for change in sealed.revision.changes]
        self.pending.end_done(ids, self.history.done)
        if wrong is not None:
            raise wrong

    def _resolve(self) -> None:
        """What follows from having come so far."""
        self.register.reached(self.position)
        if self.unclaimed and self.register.confirmed_at is not None:
            self._claim()
        if self.exposed and self.register.is_decided(self.position):
            self._give_back()

    def _claim(self) -> None:
        number, self.unclaimed = self.unclaimed, 0
        self.facts.learn(self.name, number)
        self.actions.append(a.ClaimStored(number))

    def _give_back(self) -> None:
        """The revision that was proposed never will be committed, or is and has answered its changes."""
        exposed, self.exposed = self.exposed, []
        self.pending.give_back(exposed)

    # What is proposed.

    @property
    def _has_gap(self) -> bool:
        return self.position.number < self.register.known_number

    def _may_propose(self) -> bool:
        return bool(self.register.settled and self.pending.waiting) and not (
            self.exposed or self.blocked or self._has_gap
        )

    def _step(self, now: int) -> None:
        if self._has_gap and now >= self.fetch_at:
            self.fetch_at = now + self.limits.fetch_every
            self.actions.append(a.Fetch(self.position))
        if self.register.asking is not None or now < self.idle_until:
            return
        if not self.register.settled:
            self._ask(now, Settle())
            return
        if self._may_propose():
            self._propose_group(now)
        if self.register.asking is None and now >= self.confirm_at:
            self._confirm(now)

    def _confirm(self, now: int) -> None:
        """Asks whether there is anything newer. That also drops a long tail which a majority has stored, at
        one of the machines on average: all would disturb each other."""
        droppable = self.register.droppable_bytes(self.committed.stored)
        mine = self.random.randrange(len(self.machines)) == 0
        drops = mine and droppable > self.limits.drop_above
        self._ask(now, Settle(self.committed.stored) if drops else Read())

    def _propose_group(self, now: int) -> None:
        chain, stored = self.committed.chain, self.committed.stored
        builder = GroupBuilder(chain.checked, chain.history, self.register.confirmed_pending)
        room = min(MAX_CHANGE, self.committed.room() - REVISION_OVERHEAD)
        group = builder.build(self.pending.waiting.values(), room)
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
        sealed = seal_group(taken, self.position, self.document, now + self.wall_offset)
        self.pending.take(taken)
        self.exposed = taken
        self.register.settled = False
        self._ask(now, Advance(sealed.body, stored), sealed)

    def _ask(self, now: int, change: RegisterChange, sealed: SealedRevision | None = None) -> None:
        number = self.register.ask(now, change, self.position, self.pending.last_number, sealed)
        self.actions.append(a.AskRegister(number, change, now + self.limits.ask_within))

    def _answer(self, asker: object, answer: ProposeAnswer) -> None:
        self.counts[f"answered_{answer.outcome}"] += 1
        if answer.faults:
            answer = msgspec.structs.replace(answer, faults=told_faults(answer.faults))
        self.actions.append(a.Answer(asker, answer))
