"""What a client decides: where a guest is asked for, when again, and when not. No I/O, clock or chance of
its own.

Moments in whole microseconds go in with every call; `actions` come out and are emptied by the host. A guest
keeps its id over all repeats; each repeat carries its number and its reason. What a repeat may do follows
from what is known of the ask before it:

- turned back or rejected: nothing ran; again after the advised wait.
- broken off, or its planner is gone: by effect. Rerunnable goes again. Ticketed goes again with its id, by
  which a repeat is known, within the ticket's window. Exclusive waits the settle time and asks its planner
  whether it runs; only "unknown" or an end from that planner lets it go again, and no other planner is asked
  while it has not spoken.
- no answer and the planner may still act: nothing is done but asking it, until its patience is over.
"""

from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from hazelhold.client.choice import Choice
from hazelhold.client.patience import Budget, Returns, Throttle
from hazelhold.protocol import messages as m

SECOND = 1_000_000


@dataclass(frozen=True)
class Manners:
    """How a client behaves. Spans in microseconds.

    `try_share` of the time left is the patience of one ask, so that another planner can still be asked when
    one dies; asks shorter than `least` are not sent, since no answer could arrive in time.
    """

    settle: int = 3 * SECOND
    try_share: float = 0.5
    least: int = SECOND // 20
    again_least: int = SECOND // 10
    again_most: int = 10 * SECOND
    retry_share: float = 0.2  # retries for each fresh ask, in the long run
    retry_burst: float = 10.0
    return_base: int = SECOND // 10
    silent: int = 5 * SECOND  # a planner that answers nothing for so long has a dead connection
    return_most: int = 30 * SECOND
    return_soon: int = 5 * SECOND  # the same for a client that has something to ask


class Want(NamedTuple):
    """A guest as its owner wants it; `patience` and `life` are spans from now on. `effect` is its product's:
    rerunnable, ticketed or exclusive; `window` a ticket's."""

    guest: str
    product: str
    service: str
    cores: float
    memory: float
    patience: int
    effect: str = "exclusive"
    group: str = "all"
    window: int = 5 * SECOND
    customer: str = ""
    life: int = 0


class Outcome(NamedTuple):
    """What became of a guest. `state` is placed, turned_back, broken_off, unknown (its fate could not be
    learnt in time), rejected, cancelled, or, after placed, an end."""

    guest: str
    state: str
    machine: str = ""
    reason: str = ""
    asks: int = 0

    def or_raise(self) -> "Outcome":
        """Itself if the guest was placed or has run; else NotPlacedError or the kind of it that tells why."""
        if kind := WHY.get(self.state):
            raise kind(self)
        return self


class NotPlacedError(Exception):
    """A guest did not find its place; `outcome` has all that is known."""

    def __init__(self, outcome: Outcome) -> None:
        why = f", {outcome.reason}" if outcome.reason else ""
        super().__init__(f"{outcome.guest}: {outcome.state}{why}")
        self.outcome = outcome


class TurnedBackError(NotPlacedError):
    """It did not run, or a second run does no harm: trying again is harmless."""


class MayHaveRunError(NotPlacedError):
    """Broken off, or its fate is unknown."""


class RejectedError(NotPlacedError):
    """The ask makes no sense to the planner."""


class CancelledError(NotPlacedError):
    """It was cancelled before it was placed."""


WHY = {
    "turned_back": TurnedBackError,
    "broken_off": MayHaveRunError,
    "unknown": MayHaveRunError,
    "rejected": RejectedError,
    "cancelled": CancelledError,
}


class Send(NamedTuple):
    planner: str
    message: m.Message


class Connect(NamedTuple):
    """Dial the planner now; report connected or refused."""

    planner: str


class Leave(NamedTuple):
    """Close the connection to the planner; no disconnected need follow."""

    planner: str


class Tell(NamedTuple):
    """Tell the caller; `final` is set when nothing more comes for this guest."""

    outcome: Outcome
    final: bool


Action = Send | Connect | Leave | Tell


@dataclass
class Trip:
    """One guest on its way, from submit to its end. Dropped with its last outcome."""

    want: Want
    deadline: int
    life_ends: int
    ask: int = -1
    planner: str = ""
    state: str = "idle"  # idle, asked, doubt, placed
    until: int = 0  # when the planner's patience for this ask ends
    first_unsure: int = 0  # when the first ask that may have run was sent; 0: none may have
    due: int = 0
    reason: str = ""
    cancelled: bool = False
    sent_at: int = 0


class ClientCore:
    """All guests of one client process, and its planners."""

    def __init__(self, name: str, planners: list[str], manners: Manners, random: Random) -> None:
        self.name, self.manners, self.random = name, manners, random
        self.choice = Choice(planners, random)
        self.budget = Budget(manners.retry_share, manners.retry_burst)
        self.returns = {p: self._returns() for p in planners}
        self.throttles = {p: Throttle(random) for p in planners}
        self.return_at: dict[str, int] = {}  # planner: when it is dialled next
        self.listed = dict.fromkeys(planners)  # those that may be asked for new guests
        self.up: dict[str, bool] = dict.fromkeys(planners, False)  # emptied of unlisted ones
        self.mute_since: dict[str, int] = {}  # planner: the first word to it that it has not answered
        self.dead: dict[str, bool] = dict.fromkeys(planners, False)  # a dial was refused: nobody acts there
        self.trips: dict[str, Trip] = {}
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.agenda: list[tuple[int, int, str, str, int]] = []
        self.turn = 0

    def start(self, now: int) -> None:
        """Begins to connect to all planners."""
        for planner in self.up:
            self.actions.append(Connect(planner))

    def planners_are(self, now: int, planners: list[str]) -> None:
        """The planners that may be asked from here on. New ones are dialled at a drawn moment; one that is no
        longer named gets nothing new, and keeps its connection while it has guests of ours."""
        self.listed = dict.fromkeys(planners)
        for planner in planners:
            if planner not in self.up:
                self.up[planner] = self.dead[planner] = False
                self.choice.learn(planner)
                self.returns[planner], self.throttles[planner] = self._returns(), Throttle(self.random)
                self._return(now, planner, 0)
        self._at(now, "unlisted", "", 0)

    def _returns(self) -> Returns:
        manners = self.manners
        return Returns(manners.return_base, manners.return_most, self.random, manners.return_soon)

    def _unlisted(self, now: int) -> None:
        """Leaves planners that are no longer named and have nothing of ours; looks again while some have."""
        busy = {t.planner for t in self.trips.values() if t.state != "idle"}
        for planner in [p for p in self.up if p not in self.listed]:
            if planner in busy:
                self._at(now + SECOND, "unlisted", "", 0)
                continue
            for table in (
                self.up,
                self.dead,
                self.returns,
                self.return_at,
                self.mute_since,
                self.throttles,
                self.choice.known,
            ):
                table.pop(planner, None)
            self.actions.append(Leave(planner))

    # What the caller wants.

    def submit(self, now: int, want: Want) -> None:
        """Asks for a guest; exactly one of placed, turned_back, broken_off, unknown, rejected comes back
        before its patience ends, and an end after placed."""
        if want.guest in self.trips:
            raise ValueError(f"{want.guest!r} is on its way")
        trip = Trip(want, now + want.patience, now + want.life)
        self.trips[want.guest] = trip
        self.budget.fresh()
        self._at(trip.deadline, "deadline", want.guest, 0)
        self._go(now, trip)

    def cancel(self, now: int, guest: str) -> None:
        trip = self.trips.get(guest)
        if trip is None:
            return
        trip.cancelled = True
        if trip.state == "idle":
            self._over(trip, "cancelled")
        elif self.up.get(trip.planner):
            self._send(now, trip.planner, m.Cancel(guest=guest, ask=trip.ask))

    def query(self, now: int, guest: str) -> bool:
        """Asks the planner of a guest how it stands; False if none has it or it is out of reach."""
        trip = self.trips.get(guest)
        if trip is None or trip.state == "idle" or not self.up.get(trip.planner):
            return False
        self._query(now, trip)
        return True

    # What happens to connections.

    def connected(self, now: int, planner: str, spread: int = 0) -> None:
        """Every guest that this planner had, or may have, is asked after at once. `spread` is over how long
        the planner wants returns to be spread, should it go without last words."""
        if planner not in self.up:
            return
        self.up[planner], self.dead[planner] = True, False
        self.returns[planner].succeeded(spread)
        for trip in list(self.trips.values()):
            if trip.planner == planner and trip.state in ("asked", "doubt", "placed"):
                self._query(now, trip)
            elif trip.state == "idle" and trip.due <= now:
                self._go(now, trip)

    def refused(self, now: int, planner: str, after: int = 0) -> None:
        """A dial found nobody, or a planner that asks to come back later."""
        if planner not in self.up:
            return
        was_dead, self.dead[planner] = self.dead[planner], not after
        self._return(now, planner, after)
        if not after and not was_dead:
            self._mourn(now, planner)

    def disconnected(self, now: int, planner: str, window: int = 0) -> None:
        """A connection ended; `window` is over how long the planner's last words ask clients to spread."""
        if planner not in self.up:
            return
        self.up[planner] = False
        self.mute_since.pop(planner, None)
        self.choice.failed(planner, now)
        self.returns[planner].lost(window)
        self._return(now, planner, 0)

    def _return(self, now: int, planner: str, after: int) -> None:
        urgent = any(t.state != "placed" for t in self.trips.values())
        self.return_at[planner] = when = now + self.returns[planner].wait(after, urgent)
        self._at(when, "return", planner, when)

    def _hurry(self, now: int) -> None:
        """Something is to be asked and nobody is there: dials that are far ahead come nearer."""
        for planner in self.listed:
            cap = self.returns[planner].cap(True)
            if not self.up[planner] and self.return_at.get(planner, 0) > now + cap:
                self.return_at[planner] = when = now + int(self.random.uniform(0, cap))
                self._at(when, "return", planner, when)

    def _mourn(self, now: int, planner: str) -> None:
        """Nobody is there any more: what it held it can no longer act on."""
        for trip in list(self.trips.values()):
            if trip.planner == planner and trip.state == "asked" and trip.want.effect != "exclusive":
                self._unsure(now, trip, "planner_died")

    # What planners say.

    def said(self, now: int, planner: str, message: m.Message) -> None:
        self.mute_since.pop(planner, None)
        trip = self.trips.get(message.guest) if isinstance(message, m.Named) else None
        if trip is None or trip.planner != planner:
            return
        if isinstance(message, m.State):
            self._state(now, trip, message)
        elif isinstance(message, m.GuestEnded):
            self._over(trip, message.how, message.machine)
        elif message.ask != trip.ask:
            self.counts["late_answers"] += 1
        elif isinstance(message, m.Held):
            self.throttles[planner].told(now, True)
        elif isinstance(message, m.Placed):
            self._placed(now, trip, message.machine)
        elif trip.state not in ("asked", "doubt"):
            return
        elif isinstance(message, m.TurnedBack):
            self.choice.answered(planner, now - trip.sent_at, False, now)
            self._again(now, trip, "turned_back", message.again_after)
        elif isinstance(message, m.Rejected):
            if message.code in ("full", "stopping", "overloaded"):
                self.throttles[planner].told(now, False)
                self.choice.failed(planner, now)
                self._again(now, trip, "rejected", message.again_after)
            else:
                self._over(trip, "rejected", reason=message.code)
        elif isinstance(message, m.BrokenOff):
            self.choice.answered(planner, now - trip.sent_at, False, now)
            self._unsure(now, trip, "broken_off")

    def _placed(self, now: int, trip: Trip, machine: str) -> None:
        if trip.state != "placed":
            self.choice.answered(trip.planner, now - trip.sent_at, True, now)
            self.budget.served()
            trip.state = "placed"
            self._tell(trip, "placed", False, machine)

    def _state(self, now: int, trip: Trip, message: m.State) -> None:
        state = message.state
        if state == "running":
            self._placed(now, trip, message.machine)
        elif state in ("held", "out"):
            trip.state = "asked" if trip.state == "doubt" else trip.state
        elif state == "unsettled":
            self._doubt(now, trip, SECOND // 2)
        elif trip.state == "placed":
            self._over(trip, "lost" if state == "unknown" else state)
        elif state in ("done", "stopped"):  # it was placed, and ended while nobody listened
            self._tell(trip, "placed", False)
            self._over(trip, state)
        elif state == "broken_off" and trip.state == "doubt":
            self._again(now, trip, "broken_off", 0)  # its planner knows its fate by now: it does not run
        elif state == "broken_off":
            self._unsure(now, trip, "broken_off")
        elif trip.state in ("asked", "doubt"):
            # turned_back, unknown, or an end that leaves it wanted: it does not run.
            self._again(now, trip, "turned_back" if state == "turned_back" else "unanswered", 0)

    def _unsure(self, now: int, trip: Trip, reason: str) -> None:
        """It may have run, or may still."""
        trip.first_unsure = trip.first_unsure or trip.sent_at
        trip.reason = reason
        # Another planner does not know the group that a ticket of a part of the machines is bound to.
        if trip.want.effect == "exclusive" or trip.want.effect == "ticketed" and trip.want.group != "all":
            self._doubt(now, trip, self.manners.settle)
        elif trip.want.effect == "ticketed" and now >= trip.first_unsure + trip.want.window:
            self._over(trip, "broken_off", reason="window")
        else:
            self._again(now, trip, reason, 0)

    def _doubt(self, now: int, trip: Trip, wait: int) -> None:
        trip.state = "doubt"
        self._when(trip, now + wait, "settle")

    # Going, and going again.

    def _go(self, now: int, trip: Trip) -> None:
        left = trip.deadline - now
        if left < self.manners.least:
            return  # the deadline follows
        planner = self.choice.pick([p for p in self.listed if self.up[p]], now)
        if planner is None:
            trip.state, trip.due = "idle", now
            self._hurry(now)
            self._when(trip, now + SECOND // 10, "go")
            return
        if not self.throttles[planner].allows(now):
            self.counts["held_back"] += 1
            trip.state = "idle"
            self._when(trip, now + int(self.random.uniform(0.5, 1.5) * self.manners.again_least * 2), "go")
            return
        trip.ask, trip.planner, trip.state, trip.sent_at = trip.ask + 1, planner, "asked", now
        share = 1.0 if trip.want.effect == "exclusive" else self.manners.try_share
        patience = max(min(left, self.manners.least), int(left * share))
        trip.until = now + patience
        want = trip.want
        self.counts["sent"] += 1
        self.counts["retries"] += trip.ask > 0
        self._send(
            now,
            planner,
            m.Submit(
                guest=want.guest,
                ask=trip.ask,
                product=want.product,
                service=want.service,
                cores=want.cores,
                memory=want.memory,
                patience=patience,
                customer=want.customer,
                reason=trip.reason,
                life=max(0, trip.life_ends - now),
            ),
        )
        self._when(trip, trip.until + SECOND // 20, "unanswered")

    def _again(self, now: int, trip: Trip, reason: str, advised: int) -> None:
        """Once more, if there is time and the budget allows it."""
        trip.reason = reason
        if trip.cancelled:
            self._over(trip, "cancelled", reason=reason)
            return
        manners = self.manners
        grown = min(manners.again_most, manners.again_least << min(trip.ask, 10))
        latest = trip.deadline - manners.least - now
        wait = max(advised, min(latest, int(grown * self.random.uniform(0.5, 1.0))))
        if latest < 0 or wait > latest:
            self._over(trip, self._final(trip), reason="no_time")
        elif not self.budget.retry():
            self.counts["budget_spent"] += 1
            self._over(trip, self._final(trip), reason="retry_budget")
        else:
            trip.state, trip.due = "idle", now + wait
            self._when(trip, now + wait, "go")

    def _final(self, trip: Trip) -> str:
        """What is true of a guest that is given up between asks."""
        return "broken_off" if trip.first_unsure and trip.want.effect != "rerunnable" else "turned_back"

    def _query(self, now: int, trip: Trip) -> None:
        self._send(now, trip.planner, m.Query(guest=trip.want.guest, ask=trip.ask))

    def _send(self, now: int, planner: str, message: m.Message) -> None:
        """All that a client says is answered at once by a planner that hears it."""
        self.actions.append(Send(planner, message))
        if planner not in self.mute_since:
            self.mute_since[planner] = now
            self._at(now + self.manners.silent, "mute", planner, now)

    def _over(self, trip: Trip, state: str, machine: str = "", reason: str = "") -> None:
        self._tell(trip, state, True, machine, reason or trip.reason)
        self.trips.pop(trip.want.guest, None)

    def _tell(self, trip: Trip, state: str, final: bool, machine: str = "", reason: str = "") -> None:
        self.counts[state] += 1
        self.actions.append(Tell(Outcome(trip.want.guest, state, machine, reason, trip.ask + 1), final))

    # The passing of time.

    def next_at(self) -> int | None:
        return self.agenda[0][0] if self.agenda else None

    def advance(self, now: int) -> None:
        while self.agenda and self.agenda[0][0] <= now:
            _, _, what, key, due = heappop(self.agenda)
            if what == "return":
                if not self.up.get(key, True) and self.return_at.get(key) == due:
                    self.actions.append(Connect(key))
                continue
            if what == "unlisted":
                self._unlisted(now)
                continue
            if what == "mute":
                if self.up.get(key) and self.mute_since.get(key) == due:
                    self.counts["silent"] += 1
                    self.actions.append(Leave(key))
                    self.disconnected(now, key)
                continue
            trip = self.trips.get(key)
            if trip is None or what != "deadline" and trip.due != due:
                continue
            if what == "deadline":
                self._deadline(now, trip)
            elif what == "go" and trip.state == "idle":
                self._go(now, trip)
            elif what == "settle" and trip.state == "doubt":
                if self.up.get(trip.planner):
                    self._query(now, trip)
                self._when(trip, now + SECOND // 2, "settle")
            elif what == "unanswered" and trip.state == "asked":
                self.choice.failed(trip.planner, now)
                self._unsure(now, trip, "unanswered")

    def _deadline(self, now: int, trip: Trip) -> None:
        """The owner waits no longer. What is placed stays placed; what is not is told as what it is."""
        if trip.state == "placed":
            return
        unsure = trip.state != "idle" or trip.first_unsure
        self._over(
            trip,
            "unknown" if unsure and trip.want.effect != "rerunnable" else "turned_back",
            reason="deadline",
        )

    def _when(self, trip: Trip, when: int, what: str) -> None:
        trip.due = when
        self._at(when, what, trip.want.guest, when)

    def _at(self, when: int, what: str, key: str, due: int) -> None:
        self.turn += 1
        heappush(self.agenda, (when, self.turn, what, key, due))
