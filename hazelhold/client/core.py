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

from hazelhold.client.backoff import AdaptiveThrottle, ReconnectBackoff, RetryBudget
from hazelhold.client.choice import PlannerChooser
from hazelhold.client.types import (
    SECOND,
    Action,
    ClientPolicy,
    Connect,
    Leave,
    Notify,
    Outcome,
    Send,
    TaskRequest,
)
from hazelhold.protocol import messages as m


@dataclass
class PendingGuest:
    """One guest on its way, from submit to its end. Dropped with its last outcome."""

    request: TaskRequest
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

    def __init__(self, name: str, planners: list[str], policy: ClientPolicy, random: Random) -> None:
        self.name, self.policy, self.random = name, policy, random
        self.chooser = PlannerChooser(planners, random)
        self.budget = RetryBudget(policy.retry_share, policy.retry_burst)
        self.backoffs = {p: self._new_backoff() for p in planners}
        self.throttles = {p: AdaptiveThrottle(random) for p in planners}
        self.return_at: dict[str, int] = {}  # planner: when it is dialled next
        self.listed = dict.fromkeys(planners)  # those that may be asked for new guests
        self.up: dict[str, bool] = dict.fromkeys(planners, False)  # emptied of unlisted ones
        self.mute_since: dict[str, int] = {}  # planner: the first word to it that it has not answered
        self.dead: dict[str, bool] = dict.fromkeys(planners, False)  # a dial was refused: nobody acts there
        self.pending: dict[str, PendingGuest] = {}
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.agenda: list[tuple[int, int, str, str, int]] = []
        self.turn = 0

    def start(self, now: int) -> None:
        """Begins to connect to all planners."""
        for planner in self.up:
            self.actions.append(Connect(planner))

    def update_planners(self, now: int, planners: list[str]) -> None:
        """The planners that may be asked from here on. New ones are dialled at a drawn moment; one that is no
        longer named gets nothing new, and keeps its connection while it has guests of ours."""
        self.listed = dict.fromkeys(planners)
        for planner in planners:
            if planner not in self.up:
                self.up[planner] = self.dead[planner] = False
                self.chooser.learn(planner)
                self.backoffs[planner], self.throttles[planner] = (
                    self._new_backoff(),
                    AdaptiveThrottle(self.random),
                )
                self._return(now, planner, 0)
        self._at(now, "unlisted", "", 0)

    def _new_backoff(self) -> ReconnectBackoff:
        policy = self.policy
        return ReconnectBackoff(policy.return_base, policy.return_most, self.random, policy.return_soon)

    def _unlisted(self, now: int) -> None:
        """Leaves planners that are no longer named and have nothing of ours; looks again while some have."""
        busy = {t.planner for t in self.pending.values() if t.state != "idle"}
        for planner in [p for p in self.up if p not in self.listed]:
            if planner in busy:
                self._at(now + SECOND, "unlisted", "", 0)
                continue
            for table in (
                self.up,
                self.dead,
                self.backoffs,
                self.return_at,
                self.mute_since,
                self.throttles,
                self.chooser.stats,
            ):
                table.pop(planner, None)
            self.actions.append(Leave(planner))

    # What the caller wants.

    def submit(self, now: int, request: TaskRequest) -> None:
        """Asks for a guest; exactly one of placed, turned_back, broken_off, unknown, rejected comes back
        before its patience ends, and an end after placed."""
        if request.guest in self.pending:
            raise ValueError(f"{request.guest!r} is on its way")
        task = PendingGuest(request, now + request.patience, now + request.life)
        self.pending[request.guest] = task
        self.budget.fresh()
        self._at(task.deadline, "deadline", request.guest, 0)
        self._attempt(now, task)

    def cancel(self, now: int, guest: str) -> None:
        task = self.pending.get(guest)
        if task is None:
            return
        task.cancelled = True
        if task.state == "idle":
            self._finish(task, "cancelled")
        elif self.up.get(task.planner):
            self._send(now, task.planner, m.Cancel(guest=guest, ask=task.ask))

    def query(self, now: int, guest: str) -> bool:
        """Asks the planner of a guest how it stands; False if none has it or it is out of reach."""
        task = self.pending.get(guest)
        if task is None or task.state == "idle" or not self.up.get(task.planner):
            return False
        self._query(now, task)
        return True

    # What happens to connections.

    def connected(self, now: int, planner: str, spread: int = 0) -> None:
        """Every guest that this planner had, or may have, is asked after at once. `spread` is over how long
        the planner wants returns to be spread, should it go without last words."""
        if planner not in self.up:
            return
        self.up[planner], self.dead[planner] = True, False
        self.backoffs[planner].succeeded(spread)
        for task in list(self.pending.values()):
            if task.planner == planner and task.state in ("asked", "doubt", "placed"):
                self._query(now, task)
            elif task.state == "idle" and task.due <= now:
                self._attempt(now, task)

    def refused(self, now: int, planner: str, after: int = 0) -> None:
        """A dial found nobody, or a planner that asks to come back later."""
        if planner not in self.up:
            return
        was_dead, self.dead[planner] = self.dead[planner], not after
        self._return(now, planner, after)
        if not after and not was_dead:
            self._planner_died(now, planner)

    def disconnected(self, now: int, planner: str, window: int = 0) -> None:
        """A connection ended; `window` is over how long the planner's last words ask clients to spread."""
        if planner not in self.up:
            return
        self.up[planner] = False
        self.mute_since.pop(planner, None)
        self.chooser.failed(planner, now)
        self.backoffs[planner].lost(window)
        self._return(now, planner, 0)

    def _return(self, now: int, planner: str, after: int) -> None:
        urgent = any(t.state != "placed" for t in self.pending.values())
        self.return_at[planner] = when = now + self.backoffs[planner].wait(after, urgent)
        self._at(when, "return", planner, when)

    def _redial_sooner(self, now: int) -> None:
        """Something is to be asked and nobody is there: dials that are far ahead come nearer."""
        for planner in self.listed:
            cap = self.backoffs[planner].cap(True)
            if not self.up[planner] and self.return_at.get(planner, 0) > now + cap:
                self.return_at[planner] = when = now + int(self.random.uniform(0, cap))
                self._at(when, "return", planner, when)

    def _planner_died(self, now: int, planner: str) -> None:
        """Nobody is there any more: what it held it can no longer act on."""
        for task in list(self.pending.values()):
            if task.planner == planner and task.state == "asked" and task.request.effect != "exclusive":
                self._may_have_run(now, task, "planner_died")

    # What planners say.

    def receive(self, now: int, planner: str, message: m.Message) -> None:
        self.mute_since.pop(planner, None)
        task = self.pending.get(message.guest) if isinstance(message, m.Named) else None
        if task is None or task.planner != planner:
            return
        if isinstance(message, m.State):
            self._state(now, task, message)
        elif isinstance(message, m.GuestEnded):
            self._finish(task, message.how, message.machine)
        elif message.ask != task.ask:
            self.counts["late_answers"] += 1
        elif isinstance(message, m.Held):
            self.throttles[planner].record(now, True)
        elif isinstance(message, m.Placed):
            self._placed(now, task, message.machine)
        elif task.state not in ("asked", "doubt"):
            return
        elif isinstance(message, m.TurnedBack):
            self.chooser.answered(planner, now - task.sent_at, False, now)
            self._retry(now, task, "turned_back", message.again_after)
        elif isinstance(message, m.Rejected):
            if message.code in ("full", "stopping", "overloaded"):
                self.throttles[planner].record(now, False)
                self.chooser.failed(planner, now)
                self._retry(now, task, "rejected", message.again_after)
            else:
                self._finish(task, "rejected", reason=message.code)
        elif isinstance(message, m.BrokenOff):
            self.chooser.answered(planner, now - task.sent_at, False, now)
            self._may_have_run(now, task, "broken_off")

    def _placed(self, now: int, task: PendingGuest, machine: str) -> None:
        if task.state != "placed":
            self.chooser.answered(task.planner, now - task.sent_at, True, now)
            self.budget.served()
            task.state = "placed"
            self._tell(task, "placed", False, machine)

    def _state(self, now: int, task: PendingGuest, message: m.State) -> None:
        state = message.state
        if state == "running":
            self._placed(now, task, message.machine)
        elif state in ("held", "out"):
            task.state = "asked" if task.state == "doubt" else task.state
        elif state == "unsettled":
            self._doubt(now, task, SECOND // 2)
        elif task.state == "placed":
            self._finish(task, "lost" if state == "unknown" else state)
        elif state in ("done", "stopped"):  # it was placed, and ended while nobody listened
            self._tell(task, "placed", False)
            self._finish(task, state)
        elif state == "broken_off" and task.state == "doubt":
            self._retry(now, task, "broken_off", 0)  # its planner knows its fate by now: it does not run
        elif state == "broken_off":
            self._may_have_run(now, task, "broken_off")
        elif task.state in ("asked", "doubt"):
            # turned_back, unknown, or an end that leaves it wanted: it does not run.
            self._retry(now, task, "turned_back" if state == "turned_back" else "unanswered", 0)

    def _may_have_run(self, now: int, task: PendingGuest, reason: str) -> None:
        """It may have run, or may still."""
        task.first_unsure = task.first_unsure or task.sent_at
        task.reason = reason
        # Another planner does not know the group that a ticket of a part of the machines is bound to.
        if (
            task.request.effect == "exclusive"
            or task.request.effect == "ticketed"
            and task.request.group != "all"
        ):
            self._doubt(now, task, self.policy.settle)
        elif task.request.effect == "ticketed" and now >= task.first_unsure + task.request.window:
            self._finish(task, "broken_off", reason="window")
        else:
            self._retry(now, task, reason, 0)

    def _doubt(self, now: int, task: PendingGuest, wait: int) -> None:
        task.state = "doubt"
        self._when(task, now + wait, "settle")

    # Going, and going again.

    def _attempt(self, now: int, task: PendingGuest) -> None:
        left = task.deadline - now
        if left < self.policy.least:
            return  # the deadline follows
        planner = self.chooser.pick([p for p in self.listed if self.up[p]], now)
        if planner is None:
            task.state, task.due = "idle", now
            self._redial_sooner(now)
            self._when(task, now + SECOND // 10, "go")
            return
        if not self.throttles[planner].allows(now):
            self.counts["held_back"] += 1
            task.state = "idle"
            self._when(task, now + int(self.random.uniform(0.5, 1.5) * self.policy.again_least * 2), "go")
            return
        task.ask, task.planner, task.state, task.sent_at = task.ask + 1, planner, "asked", now
        share = 1.0 if task.request.effect == "exclusive" else self.policy.try_share
        patience = max(min(left, self.policy.least), int(left * share))
        task.until = now + patience
        request = task.request
        self.counts["sent"] += 1
        self.counts["retries"] += task.ask > 0
        self._send(
            now,
            planner,
            m.Submit(
                guest=request.guest,
                ask=task.ask,
                product=request.product,
                service=request.service,
                cores=request.cores,
                memory=request.memory,
                patience=patience,
                customer=request.customer,
                reason=task.reason,
                life=max(0, task.life_ends - now),
            ),
        )
        self._when(task, task.until + SECOND // 20, "unanswered")

    def _retry(self, now: int, task: PendingGuest, reason: str, advised: int) -> None:
        """Once more, if there is time and the budget allows it."""
        task.reason = reason
        if task.cancelled:
            self._finish(task, "cancelled", reason=reason)
            return
        policy = self.policy
        grown = min(policy.again_most, policy.again_least << min(task.ask, 10))
        latest = task.deadline - policy.least - now
        wait = max(advised, min(latest, int(grown * self.random.uniform(0.5, 1.0))))
        if latest < 0 or wait > latest:
            self._finish(task, self._final(task), reason="no_time")
        elif not self.budget.retry():
            self.counts["budget_spent"] += 1
            self._finish(task, self._final(task), reason="retry_budget")
        else:
            task.state, task.due = "idle", now + wait
            self._when(task, now + wait, "go")

    def _final(self, task: PendingGuest) -> str:
        """What is true of a guest that is given up between asks."""
        return "broken_off" if task.first_unsure and task.request.effect != "rerunnable" else "turned_back"

    def _query(self, now: int, task: PendingGuest) -> None:
        self._send(now, task.planner, m.Query(guest=task.request.guest, ask=task.ask))

    def _send(self, now: int, planner: str, message: m.Message) -> None:
        """All that a client says is answered at once by a planner that hears it."""
        self.actions.append(Send(planner, message))
        if planner not in self.mute_since:
            self.mute_since[planner] = now
            self._at(now + self.policy.silent, "mute", planner, now)

    def _finish(self, task: PendingGuest, state: str, machine: str = "", reason: str = "") -> None:
        self._tell(task, state, True, machine, reason or task.reason)
        self.pending.pop(task.request.guest, None)

    def _tell(self, task: PendingGuest, state: str, final: bool, machine: str = "", reason: str = "") -> None:
        self.counts[state] += 1
        self.actions.append(Notify(Outcome(task.request.guest, state, machine, reason, task.ask + 1), final))

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
            task = self.pending.get(key)
            if task is None or what != "deadline" and task.due != due:
                continue
            if what == "deadline":
                self._deadline(now, task)
            elif what == "go" and task.state == "idle":
                self._attempt(now, task)
            elif what == "settle" and task.state == "doubt":
                if self.up.get(task.planner):
                    self._query(now, task)
                self._when(task, now + SECOND // 2, "settle")
            elif what == "unanswered" and task.state == "asked":
                self.chooser.failed(task.planner, now)
                self._may_have_run(now, task, "unanswered")

    def _deadline(self, now: int, task: PendingGuest) -> None:
        """The owner waits no longer. What is placed stays placed; what is not is told as what it is."""
        if task.state == "placed":
            return
        unsure = task.state != "idle" or task.first_unsure
        self._finish(
            task,
            "unknown" if unsure and task.request.effect != "rerunnable" else "turned_back",
            reason="deadline",
        )

    def _when(self, task: PendingGuest, when: int, what: str) -> None:
        task.due = when
        self._at(when, what, task.request.guest, when)

    def _at(self, when: int, what: str, key: str, due: int) -> None:
        self.turn += 1
        heappush(self.agenda, (when, self.turn, what, key, due))
