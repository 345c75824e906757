"""At a control machine: how far each recent revision has come, who lacks the latest, and why. No I/O.

Expected are the planners that the document lists (`planners/NAME`). `everywhere_after` runs from when the
commit was known here until the last expected planner's word was heard here: an upper bound, by the time that
its word took. What was told once counts also after its connection ended.

A number alone proves nothing: a planner whose folder is of another deployment, or of this one before it was
founded anew, has revisions of another order under the same and higher numbers. So a word counts only if its
chain mark is that of the revision here; one about a revision that is not known here yet waits for it. A
program of the version before sends no mark, and drops that of others as a relay: there the number has to do.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from msgspec.structs import replace

from hazelhold.fleetconfig.coverage import Listener, Subtree
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import CHAIN_MARK, NEVER, MemberState, RevisionCoverage
from hazelhold.fleetconfig.revision import SealedRevision
from hazelhold.fleetconfig.roster import Roster

RECENT = 64  # revisions that are watched
NOTHING = -1  # in place of a number: this planner was never heard


class Known(NamedTuple):
    """What is known of an expected planner: its last state (None: never heard), and since when (microseconds)
    it is connected or not."""

    state: MemberState | None
    connected: bool
    since: int
    in_force: int = NOTHING  # the last revision of the order here that it is known to have in force
    fault: str = ""  # why what it tells does not count


class Watched:
    """A recent revision."""

    def __init__(self, known_at: int) -> None:
        self.known_at = known_at
        self.everywhere_after = NEVER


class FleetCoverage(Listener):
    """Driven by `committed` or `replaced` after the history changed, and by `settle` after each other event
    (`SourceCore` does that)."""

    def __init__(self, history: History, roster: Roster, subtree: Subtree, now: int) -> None:
        self._history, self._roster, self._subtree = history, roster, subtree
        self._known: dict[str, Known] = {}
        self._numbers: Counter[int] = Counter()  # expected planners by the revision in force there
        self._watched: dict[int, Watched] = {}
        self._changed: set[str] = set()
        self._ahead: set[str] = set()  # who told of a revision that is not known here
        self._unexpected: set[str] = set()
        subtree.listeners.append(self)
        self.replaced(now)

    def committed(self, now: int, sealed: Iterable[SealedRevision]) -> None:
        """The history took these revisions."""
        names: set[str] = set()
        for one in sealed:
            self._watch(now, one.revision.number)
            names.update(name for change in one.revision.changes for name in change.names())
        if self._roster.note(self._history.document, names):
            self._expect(now)
        self._look_again()
        self.settle(now)

    def replaced(self, now: int) -> None:
        """The history took a snapshot, or begins with it."""
        self._roster.load(self._history.document)
        if self._history.position.number:
            self._watch(now, self._history.position.number)
        self._expect(now)
        self._look_again()
        self.settle(now)

    def changed(self, name: str) -> None:
        self._changed.add(name)

    def settle(self, now: int) -> None:
        """Takes what changed in the subtree."""
        if not self._changed:
            return
        for name in self._changed:
            self._take(now, name)
        self._changed.clear()
        self._complete(now)

    @property
    def expected(self) -> int:
        """How many planners the document lists."""
        return len(self._known)

    @property
    def unexpected(self) -> int:
        """How many planners tell their state that the document does not list."""
        return len(self._unexpected)

    def revisions(self, now: int) -> tuple[RevisionCoverage, ...]:
        """The recent revisions, the latest first."""
        return tuple(
            RevisionCoverage(
                number=number,
                age=now - watched.known_at,
                have=sum(count for have, count in self._numbers.items() if have >= number),
                expected=len(self._known),
                everywhere_after=watched.everywhere_after,
            )
            for number, watched in sorted(self._watched.items(), reverse=True)
        )

    def lacking(self, now: int) -> list[MemberState]:
        """The expected planners that do not have the latest revision in force, each with the reason."""
        number = self._history.position.number
        return [
            self._told(now, name, known, number)
            for name, known in sorted(self._known.items())
            if known.in_force < number
        ]

    def _watch(self, now: int, number: int) -> None:
        self._watched.setdefault(number, Watched(now))
        while len(self._watched) > RECENT:
            del self._watched[min(self._watched)]

    def _expect(self, now: int) -> None:
        """The roster changed."""
        for name in self._known.keys() - self._roster.planners.keys():
            self._numbers[self._known.pop(name).in_force] -= 1
            self._changed.add(name)
        for name in self._roster.planners.keys() - self._known.keys():
            self._known[name] = Known(None, False, now)
            self._numbers[NOTHING] += 1
            self._unexpected.discard(name)
            self._changed.add(name)
        self._numbers += Counter()  # drops zeros
        self._complete(now)

    def _take(self, now: int, name: str) -> None:
        state = self._subtree.state(name)
        known = self._known.get(name)
        if known is None:
            self._unexpected.discard(name) if state is None else self._unexpected.add(name)
            return
        connected = state is not None
        since = known.since if connected == known.connected else now
        in_force, fault = (known.in_force, known.fault) if state is None else self._judged(known, state)
        after = Known(state or known.state, connected, since, in_force, fault)
        self._known[name] = after
        if after.in_force != known.in_force:
            self._numbers[after.in_force] += 1
            self._numbers[known.in_force] -= 1
            if not self._numbers[known.in_force]:
                del self._numbers[known.in_force]

    def _look_again(self) -> None:
        """Words about revisions that were not known here may be judged now."""
        self._changed |= self._ahead
        self._ahead.clear()

    def _judged(self, known: Known, state: MemberState) -> tuple[int, str]:
        """Which revision of the order here a planner has in force by its word, and why not more.

        A word without a chain comes from, or through, a program of the version before: its number counts.
        """
        number = state.in_force
        if number > self._history.position.number:
            self._ahead.add(state.name)
            return known.in_force, f"tells of revision {number}, which is not known here"
        chain = self._history.chain_at(number)
        if number > 0 and state.chain and chain is not None and chain[:CHAIN_MARK] != state.chain:
            return NOTHING, f"has a revision {number} of another order in force"
        return max(number, 0), ""

    def _complete(self, now: int) -> None:
        """Marks the revisions that all expected planners have."""
        if not self._known:
            return
        lowest = min(self._numbers)
        for number, watched in self._watched.items():
            if watched.everywhere_after == NEVER and number <= lowest:
                watched.everywhere_after = now - watched.known_at

    def _told(self, now: int, name: str, known: Known, number: int) -> MemberState:
        if known.state is None:
            return MemberState(name=name, in_force=0, received=0, reason="never heard", connected=False)
        if not known.connected:
            reason = f"not connected for {(now - known.since) / 1e6:.1f} s"
            return replace(known.state, reason=reason, connected=False)
        reason = known.fault or known.state.reason or f"behind by {number - known.in_force}"
        return replace(known.state, reason=reason)
