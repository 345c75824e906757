"""A planner's side of the spread: follows a source, verifies what comes, has it put in force. No I/O.

Driven by `connected`, `disconnected`, `heard`, `in_force`, `refused` and `tick`, each with the time in
microseconds of this process's own monotonic clock; then `actions` are carried out in order, and `tick` is
called at `next_at()`. Deterministic from its seed.

Safety: `History` takes a revision only if it follows by checksum, or a snapshot that is whole and has a
higher number. Whom it follows, and when it changes that, decides only how soon it hears.
"""

from collections import Counter
from random import Random

from hazelhold.fleetconfig.confirmation import Confirmation
from hazelhold.fleetconfig.coverage import Feed, Subtree
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.enforcement import Enforcement
from hazelhold.fleetconfig.history import History, unseal_all
from hazelhold.fleetconfig.links import Link, Links
from hazelhold.fleetconfig.messages import (
    CHAIN_MARK,
    ConfigMessage,
    Follow,
    Heartbeat,
    MemberState,
    PackedRevisions,
    Revisions,
    SnapshotPage,
)
from hazelhold.fleetconfig.packed import last_number, unpack
from hazelhold.fleetconfig.revision import Position, RevisionError, SealedRevision
from hazelhold.fleetconfig.roster import Place, Roster
from hazelhold.fleetconfig.spread_actions import (
    Close,
    Dial,
    Log,
    PutInForce,
    Received,
    Replaced,
    Send,
    Standing,
    Times,
    take,
)

Action = Dial | Send | Close | Received | Replaced | PutInForce | Log


class FollowerCore:
    """One planner's copy of the configuration. `history` and `subtree` are shared with its `SourceCore`."""

    def __init__(
        self,
        name: str,
        history: History,
        roster: Roster,
        subtree: Subtree,
        times: Times,
        seed: int,
        now: int,
        place: Place = Place("", ""),  # noqa: B008 - immutable
        last_in_force: tuple[Position, Document] | None = None,
    ) -> None:
        """`place` is where this planner stands until the document lists it. `last_in_force` is what was noted
        as in force before a restart, if it was not the history's position."""
        self.name = name
        self.history, self.roster, self.subtree = history, roster, subtree
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.enforcement = Enforcement(history, last_in_force)
        self.links = Links(name, times, Random(f"follower/{name}/{seed}"), self.actions, self.counts)
        self.confirmation = Confirmation(history, self.links, times)
        self._times, self._place = times, place
        self._feed = Feed(subtree, times)
        self._followed: int | None = None  # the connection that the feed tells
        self._due = now
        self._is_cut_off = False
        roster.load(history.document)
        self._set_sources()
        self.actions.append(Log("started", {"number": history.position.number}))
        self._settle(now)

    def connected(self, now: int, connection: int) -> None:
        """A dial succeeded and greetings were exchanged."""
        self._woken(now)
        link = self.links.opened(now, connection)
        if link is not None:
            self._ask(now, link)
        self._settle(now)

    def disconnected(self, now: int, connection: int, reason: str) -> None:
        """A connection ended or could not be made."""
        self._woken(now)
        self.links.ended(now, connection, reason)
        self._settle(now)

    def heard(self, now: int, connection: int, message: ConfigMessage) -> None:
        """A message from a source."""
        self._woken(now)
        link = self.links.find(connection)
        if link is not None and link.is_open:
            link.heard_at = now
            self._hear(now, link, message)
        self._settle(now)

    def in_force(self, now: int, position: Position) -> None:
        """The host put that position in force."""
        self._answered(now, position, None)

    def refused(self, now: int, position: Position, reason: str) -> None:
        """The host's program does not take that position; what was in force before still is."""
        self._answered(now, position, reason)

    def tick(self, now: int) -> None:
        """Time passed."""
        self._woken(now)
        self._settle(now)

    def next_at(self) -> int:
        """When `tick` is to be called, at the latest."""
        return self._due

    def take_actions(self) -> list[Action]:
        """What is to be done now, in order."""
        return take(self.actions)

    def standing(self, now: int) -> Standing:
        """What is known here now."""
        current = self.links.current
        heartbeat = current.heartbeat if current else None
        return Standing(
            in_force=self.enforcement.in_force,
            received=self.history.position,
            confirmed_age=self.confirmation.age(now),
            route=heartbeat.route if heartbeat else (),
            source=current.source.name if current else "",
            cut_off=self.confirmation.cut_off(now),
            reason=self.enforcement.reason,
        )

    def _hear(self, now: int, link: Link, message: ConfigMessage) -> None:
        try:
            if isinstance(message, Revisions):
                self._take_revisions(now, link, message)
            elif isinstance(message, PackedRevisions):
                self._take_packed(now, link, message)
            elif isinstance(message, SnapshotPage):
                self._take_page(now, link, message)
            elif isinstance(message, Heartbeat):
                self._take_heartbeat(now, link, message)
            else:
                raise RevisionError("unexpected", f"a {type(message).__name__} from a source")
        except RevisionError as wrong:
            self.counts[f"refused_{wrong.code}"] += 1
            contradicts = wrong.code in ("other_chain", "contradiction")
            self.links.leave(now, link, wrong.text, badly=contradicts)

    def _take_revisions(self, now: int, link: Link, message: Revisions) -> None:
        taken: list[SealedRevision] = []
        try:
            for sealed in unseal_all(message):
                number = sealed.revision.number
                if number <= self.history.position.number:
                    self._check_known(sealed.position)
                    self.counts["duplicates"] += 1
                    continue
                if number > self.history.position.number + 1:
                    self.counts["gaps"] += 1
                    self._ask_again(now, link)
                    break
                self.history.append(sealed)
                taken.append(sealed)
        finally:
            if taken:
                self._advanced(now, link, taken)

    def _take_packed(self, now: int, link: Link, message: PackedRevisions) -> None:
        if link.is_plain:
            raise RevisionError("unexpected", "packed revisions, which were not asked for")
        try:
            taken = unpack(message, self.history.position, self.history.document)
        except RevisionError as wrong:
            self._not_unpacked(now, link, wrong)
            return
        if not taken:
            self._check_known(Position(last_number(message), message.chain))
            self.counts["duplicates"] += 1
            return
        for sealed in taken:
            self.history.append(sealed)
        self._advanced(now, link, taken)

    def _not_unpacked(self, now: int, link: Link, wrong: RevisionError) -> None:
        """What does not fit may be damaged, of another order, or packed by a program that encodes otherwise:
        the same as it was stored tells which."""
        if wrong.code == "gap":
            self.counts["gaps"] += 1
            self._ask_again(now, link)
        elif wrong.code == "damaged_pack":
            self.counts["refused_damaged_pack"] += 1
            link.is_plain = True
            self._ask(now, link)
        else:
            raise wrong

    def _advanced(self, now: int, link: Link, taken: list[SealedRevision]) -> None:
        link.progress_at = now
        self.counts["revisions"] += len(taken)
        self.actions.append(Received(tuple(taken)))
        edits = [edit for sealed in taken for edit in sealed.revision.edits]
        self.enforcement.received(edits)
        changed = {name for edit in edits for name in (*(put.name for put in edit.puts), *edit.removals)}
        if self.roster.note(self.history.document, changed):
            self._set_sources()

    def _take_page(self, now: int, link: Link, page: SnapshotPage) -> None:
        position = Position(page.number, page.chain)
        if page.number <= self.history.position.number:
            self._check_known(position)
            self.counts["snapshots_not_newer"] += 1
            return
        outcome = link.assembly.take(page)
        if outcome == "gap":
            self.counts["gaps"] += 1
            self._ask_again(now, link)
        elif outcome in ("taken", "complete"):
            link.progress_at = now
        if outcome == "complete":
            self._replace(position, link.assembly.document())

    def _replace(self, position: Position, document: Document) -> None:
        self.history.replace(position, document)
        self.counts["snapshots"] += 1
        self.actions.append(Replaced(position, tuple(document.puts())))
        self.enforcement.replaced()
        if self.roster.load(document):
            self._set_sources()

    def _take_heartbeat(self, now: int, link: Link, heartbeat: Heartbeat) -> None:
        self._check_known(Position(heartbeat.number, heartbeat.chain))
        if heartbeat.number <= self.history.position.number:
            link.progress_at = now
        elif now - max(link.asked_at, link.progress_at) >= self._times.ask_again:
            self._ask(now, link)
        self.links.heartbeat(now, link, heartbeat)

    def _check_known(self, position: Position) -> None:
        if self.history.contradicts(position):
            raise RevisionError("contradiction", f"another revision {position.number} than the one here")

    def _ask(self, now: int, link: Link) -> None:
        link.asked_at = now
        position = self.history.position
        follow = Follow(number=position.number, chain=position.chain, packed=not link.is_plain)
        self.actions.append(Send(link.connection, follow))

    def _ask_again(self, now: int, link: Link) -> None:
        if now - link.asked_at >= self._times.ask_again:
            self._ask(now, link)

    def _answered(self, now: int, position: Position, reason: str | None) -> None:
        self._woken(now)
        if not self.enforcement.answered(position, reason):
            self.counts["answers_not_asked_for"] += 1
        elif reason is not None:
            self.counts["refused_by_program"] += 1
            self.actions.append(Log("refused", {"number": position.number, "reason": reason}))
        self._settle(now)

    def _set_sources(self) -> None:
        self.links.choice.set_sources(self.roster.sources(self.name, self._place))

    def _woken(self, now: int) -> None:
        """Takes a pause of this process out of what is held against sources. After a long one, heartbeats
        that came meanwhile wait in the connections: they tell how old the word was when it was sent, not now.
        So the connections are made anew."""
        late = now - self._due
        if late <= self._times.pause:
            return
        self.counts["pauses"] += 1
        if late > self._times.long_pause:
            self.links.drop_all("this process was paused")
        self.links.shift(late)

    def _settle(self, now: int) -> None:
        """What follows from any event."""
        self.confirmation.update()
        self.links.tick(now)
        offer = self.enforcement.offer()
        if offer is not None:
            self.actions.append(offer)
        self._tell(now)
        self._log_cut_off(now)
        moments = (self.links.next_at(now), self._feed.next_at())
        self._due = min(
            (moment for moment in moments if moment is not None), default=now + self._times.heartbeat
        )
        self._due = max(now, min(self._due, now + self._times.heartbeat))

    def _tell(self, now: int) -> None:
        position, enforcement = self.history.position, self.enforcement
        self.subtree.own(
            MemberState(
                name=self.name,
                in_force=enforcement.in_force.number,
                received=position.number,
                reason=enforcement.reason,
                chain=enforcement.in_force.chain[:CHAIN_MARK],
            )
        )
        current = self.links.current
        connection = current.connection if current else None
        if connection != self._followed:
            self._followed = connection
            self._feed.end() if connection is None else self._feed.begin(now)
        if connection is not None:
            self.actions += [Send(connection, coverage) for coverage in self._feed.take(now)]

    def _log_cut_off(self, now: int) -> None:
        cut_off = self.confirmation.cut_off(now)
        if (cut_off is not None) == self._is_cut_off:
            return
        self._is_cut_off = cut_off is not None
        details: dict[str, str | int] = {"reason": cut_off.reason, "age": cut_off.age} if cut_off else {}
        self.actions.append(Log("cut_off" if cut_off else "in_touch", details))
