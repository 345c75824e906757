"""The decisions of a client: which planner a guest is submitted to, when it is submitted again, and when not.
No I/O, no clock and no random source of its own.

Every call gets the current time in whole microseconds; `actions` are emptied by the host. A guest keeps its
id over all submissions; each submission carries its number and the reason of the repeat. Whether a guest is
submitted again depends on what is known of the previous submission:

- Refused (`turned_back`) or rejected: nothing ran; submitted again after the advised wait.
- Failed (`broken_off`), or its planner is gone: depends on the guest's effect. An idempotent guest
  (`rerunnable`) is submitted again. A deduplicated guest (`ticketed`) is submitted again with its id, by
  which a repeat is recognized, within its deduplication window. An at-most-once guest (`exclusive`) waits the
  settle time and then queries its planner; only "unknown" or an end from that planner allows another
  submission, and no other planner gets the guest before.
- No answer while the planner may still act: the planner is only queried until its time limit is over.
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
    """A guest from its submission to its end. Removed with its last outcome."""

    request: TaskRequest
    deadline: int
    life_ends: int
    submission_number: int = -1
    planner: str = ""
    state: str = "idle"  # idle, submitted, uncertain, placed
    until: int = 0  # when the planner's time limit for this submission ends
    first_unsure: int = 0  # when the first submission that may have run was sent; 0: none may have run
    due: int = 0
    reason: str = ""
    cancelled: bool = False
    sent_at: int = 0


class ClientCore:
    """All guests of one client process and its planners."""

    def __init__(self, name: str, planners: list[str], policy: ClientPolicy, random: Random) -> None:
        self.name, self.policy, self.random = name, policy, random
        self.chooser = PlannerChooser(planners, random)
        self.budget = RetryBudget(policy.retry_share, policy.retry_burst)
        self.backoffs = {p: self._new_backoff() for p in planners}
        self.throttles = {p: AdaptiveThrottle(random) for p in planners}
        self.return_at: dict[str, int] = {}  # by planner: when it is dialled next
        self.listed = dict.fromkeys(planners)  # planners that may get new guests
        self.up: dict[str, bool] = dict.fromkeys(
            planners, False
        )  # connected or not; unlisted ones are removed
        self.unanswered_since: dict[
            str, int
        ] = {}  # by planner: time of the first message that it has not answered
        self.dead: dict[str, bool] = dict.fromkeys(planners, False)  # a dial was refused: no process there
        self.pending: dict[str, PendingGuest] = {}
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.agenda: list[tuple[int, int, str, str, int]] = []
        self.timer_number = 0

    def start(self, now: int) -> None:
        """Starts connecting to all planners."""
        for planner in self.up:
            self.actions.append(Connect(planner))

    def update_planners(self, now: int, planners: list[str]) -> None:
        """Sets the planners that may get guests. New ones are dialled after a random delay. One that is no
        longer listed gets no new guests and keeps its connection while it has guests of this client."""
        self.listed = dict.fromkeys(planners)
        for planner in planners:
            if planner not in self.up:
                self.up[planner] = self.dead[planner] = False
                self.chooser.add(planner)
                self.backoffs[planner], self.throttles[planner] = (
                    self._new_backoff(),
                    AdaptiveThrottle(self.random),
                )
                self._schedule_dial(now, planner, 0)
        self._at(now, "unlisted", "", 0)

    def _new_backoff(self) -> ReconnectBackoff:
        policy = self.policy
        return ReconnectBackoff(policy.return_base, policy.return_most, self.random, policy.return_soon)

    def _leave_unlisted(self, now: int) -> None:
        """Leaves planners that are no longer listed and have no guests of this client; checks again while
        some have."""
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
                self.unanswered_since,
                self.throttles,
                self.chooser.stats,
            ):
                table.pop(planner, None)
            self.actions.append(Leave(planner))

    # Calls by the user of the client.

    def submit(self, now: int, request: TaskRequest) -> None:
        """Submits a guest. Exactly one of placed, turned_back, broken_off, unknown and rejected follows
        before its `patience` is over, and an end after placed. ValueError if the guest is pending."""
        if request.guest in self.pending:
            raise ValueError(f"{request.guest!r} is pending already")
        entry = PendingGuest(request, now + request.patience, now + request.life)
        self.pending[request.guest] = entry
        self.budget.fresh()
        self._at(entry.deadline, "deadline", request.guest, 0)
        self._submit_to_planner(now, entry)

    def cancel(self, now: int, guest: str) -> None:
        """Cancels a guest. Has no effect on an unknown one."""
        entry = self.pending.get(guest)
        if entry is None:
            return
        entry.cancelled = True
        if entry.state == "idle":
            self._finish(entry, "cancelled")
        elif self.up.get(entry.planner):
            self._send(now, entry.planner, m.Cancel(guest=guest, ask=entry.submission_number))

    def query(self, now: int, guest: str) -> bool:
        """Queries a guest's state at its planner; False if none has it or that one is not connected."""
        entry = self.pending.get(guest)
        if entry is None or entry.state == "idle" or not self.up.get(entry.planner):
            return False
        self._query(now, entry)
        return True

    # Events of connections.

    def connected(self, now: int, planner: str, spread: int = 0) -> None:
        """A connection is established. Queries every guest that this planner has or may have. `spread` is the
        time over which clients should spread their reconnects if the connection is lost without a bye."""
        if planner not in self.up:
            return
        self.up[planner], self.dead[planner] = True, False
        self.backoffs[planner].succeeded(spread)
        for entry in list(self.pending.values()):
            if entry.planner == planner and entry.state in ("submitted", "uncertain", "placed"):
                self._query(now, entry)
            elif entry.state == "idle" and entry.due <= now:
                self._submit_to_planner(now, entry)

    def refused(self, now: int, planner: str, after: int = 0) -> None:
        """A dial was refused, or the planner requested a return `after` so many microseconds."""
        if planner not in self.up:
            return
        was_dead, self.dead[planner] = self.dead[planner], not after
        self._schedule_dial(now, planner, after)
        if not after and not was_dead:
            self._planner_died(now, planner)

    def disconnected(self, now: int, planner: str, window: int = 0) -> None:
        """A connection ended; `window` is the time over which the planner's bye asks clients to spread their
        reconnects."""
        if planner not in self.up:
            return
        self.up[planner] = False
        self.unanswered_since.pop(planner, None)
        self.chooser.failed(planner, now)
        self.backoffs[planner].lost(window)
        self._schedule_dial(now, planner, 0)

    def _schedule_dial(self, now: int, planner: str, after: int) -> None:
        urgent = any(t.state != "placed" for t in self.pending.values())
        self.return_at[planner] = when = now + self.backoffs[planner].wait(after, urgent)
        self._at(when, "dial", planner, when)

    def _redial_sooner(self, now: int) -> None:
        """Brings distant dials forward, since a guest waits and no planner is connected."""
        for planner in self.listed:
            cap = self.backoffs[planner].cap(True)
            if not self.up[planner] and self.return_at.get(planner, 0) > now + cap:
                self.return_at[planner] = when = now + int(self.random.uniform(0, cap))
                self._at(when, "dial", planner, when)

    def _planner_died(self, now: int, planner: str) -> None:
        """The planner's process is gone: it can no longer act on its guests."""
        for entry in list(self.pending.values()):
            if (
                entry.planner == planner
                and entry.state == "submitted"
                and entry.request.effect != "exclusive"
            ):
                self._handle_uncertain(now, entry, "planner_died")

    # Messages of planners.

    def receive(self, now: int, planner: str, message: m.Message) -> None:
        """Handles a planner's message."""
        self.unanswered_since.pop(planner, None)
        entry = self.pending.get(message.guest) if isinstance(message, m.GuestMessage) else None
        if entry is None or entry.planner != planner:
            return
        if isinstance(message, m.State):
            self._state(now, entry, message)
        elif isinstance(message, m.GuestEnded):
            self._finish(entry, message.how, message.machine)
        elif message.ask != entry.submission_number:
            self.counts["late_answers"] += 1
        elif isinstance(message, m.Acknowledged):
            self.throttles[planner].record(now, True)
        elif isinstance(message, m.Placed):
            self._placed(now, entry, message.machine)
        elif entry.state not in ("submitted", "uncertain"):
            return
        elif isinstance(message, m.GuestRefused):
            self.chooser.answered(planner, now - entry.sent_at, False, now)
            self._retry(now, entry, "turned_back", message.again_after)
        elif isinstance(message, m.Rejected):
            if message.code in ("full", "stopping", "overloaded"):
                self.throttles[planner].record(now, False)
                self.chooser.failed(planner, now)
                self._retry(now, entry, "rejected", message.again_after)
            else:
                self._finish(entry, "rejected", reason=message.code)
        elif isinstance(message, m.GuestFailed):
            self.chooser.answered(planner, now - entry.sent_at, False, now)
            self._handle_uncertain(now, entry, "broken_off")

    def _placed(self, now: int, entry: PendingGuest, machine: str) -> None:
        if entry.state != "placed":
            self.chooser.answered(entry.planner, now - entry.sent_at, True, now)
            self.budget.served()
            entry.state = "placed"
            self._notify_user(entry, "placed", False, machine)

    def _state(self, now: int, entry: PendingGuest, message: m.State) -> None:
        state = message.state
        if state == "running":
            self._placed(now, entry, message.machine)
        elif state in ("held", "out"):
            entry.state = "submitted" if entry.state == "uncertain" else entry.state
        elif state == "unsettled":
            self._resolve_later(now, entry, SECOND // 2)
        elif entry.state == "placed":
            self._finish(entry, "lost" if state == "unknown" else state)
        elif state in ("done", "stopped"):  # it was placed and ended while the connection was down
            self._notify_user(entry, "placed", False)
            self._finish(entry, state)
        elif state == "broken_off" and entry.state == "uncertain":
            self._retry(now, entry, "broken_off", 0)  # its planner has resolved it: it does not run
        elif state == "broken_off":
            self._handle_uncertain(now, entry, "broken_off")
        elif entry.state in ("submitted", "uncertain"):
            # turned_back, unknown, or an end after which it is still wanted: it does not run.
            self._retry(now, entry, "turned_back" if state == "turned_back" else "unanswered", 0)

    def _handle_uncertain(self, now: int, entry: PendingGuest, reason: str) -> None:
        """The guest may have run, or may still run."""
        entry.first_unsure = entry.first_unsure or entry.sent_at
        entry.reason = reason
        # With a scope of some machines only, another planner does not know the group that the id is bound to.
        if (
            entry.request.effect == "exclusive"
            or entry.request.effect == "ticketed"
            and entry.request.group != "all"
        ):
            self._resolve_later(now, entry, self.policy.settle)
        elif entry.request.effect == "ticketed" and now >= entry.first_unsure + entry.request.window:
            self._finish(entry, "broken_off", reason="window")
        else:
            self._retry(now, entry, reason, 0)

    def _resolve_later(self, now: int, entry: PendingGuest, wait: int) -> None:
        entry.state = "uncertain"
        self._set_timer(entry, now + wait, "settle")

    # Submitting, and submitting again.

    def _submit_to_planner(self, now: int, entry: PendingGuest) -> None:
        time_left = entry.deadline - now
        if time_left < self.policy.least:
            return  # the deadline follows
        planner = self.chooser.pick([p for p in self.listed if self.up[p]], now)
        if planner is None:
            entry.state, entry.due = "idle", now
            self._redial_sooner(now)
            self._set_timer(entry, now + SECOND // 10, "submit")
            return
        if not self.throttles[planner].allows(now):
            self.counts["held_back"] += 1
            entry.state = "idle"
            self._set_timer(
                entry, now + int(self.random.uniform(0.5, 1.5) * self.policy.again_least * 2), "submit"
            )
            return
        entry.submission_number, entry.planner, entry.state, entry.sent_at = (
            entry.submission_number + 1,
            planner,
            "submitted",
            now,
        )
        fraction = 1.0 if entry.request.effect == "exclusive" else self.policy.try_share
        time_limit = max(min(time_left, self.policy.least), int(time_left * fraction))
        entry.until = now + time_limit
        request = entry.request
        self.counts["sent"] += 1
        self.counts["retries"] += entry.submission_number > 0
        self._send(
            now,
            planner,
            m.Submit(
                guest=request.guest,
                ask=entry.submission_number,
                product=request.product,
                service=request.service,
                cores=request.cores,
                memory=request.memory,
                patience=time_limit,
                customer=request.customer,
                reason=entry.reason,
                life=max(0, entry.life_ends - now),
            ),
        )
        self._set_timer(entry, entry.until + SECOND // 20, "unanswered")

    def _retry(self, now: int, entry: PendingGuest, reason: str, advised_wait: int) -> None:
        """Submits the guest again, if there is time and the budget allows it."""
        entry.reason = reason
        if entry.cancelled:
            self._finish(entry, "cancelled", reason=reason)
            return
        policy = self.policy
        backoff = min(policy.again_most, policy.again_least << min(entry.submission_number, 10))
        latest = entry.deadline - policy.least - now
        wait = max(advised_wait, min(latest, int(backoff * self.random.uniform(0.5, 1.0))))
        if latest < 0 or wait > latest:
            self._finish(entry, self._final(entry), reason="no_time")
        elif not self.budget.retry():
            self.counts["budget_spent"] += 1
            self._finish(entry, self._final(entry), reason="retry_budget")
        else:
            entry.state, entry.due = "idle", now + wait
            self._set_timer(entry, now + wait, "submit")

    def _final(self, entry: PendingGuest) -> str:
        """The outcome of a guest that is given up between submissions."""
        return "broken_off" if entry.first_unsure and entry.request.effect != "rerunnable" else "turned_back"

    def _query(self, now: int, entry: PendingGuest) -> None:
        self._send(now, entry.planner, m.Query(guest=entry.request.guest, ask=entry.submission_number))

    def _send(self, now: int, planner: str, message: m.Message) -> None:
        """Sends a message. A planner that receives it answers at once, so a missing answer means that the
        connection is dead."""
        self.actions.append(Send(planner, message))
        if planner not in self.unanswered_since:
            self.unanswered_since[planner] = now
            self._at(now + self.policy.silent, "unresponsive", planner, now)

    def _finish(self, entry: PendingGuest, state: str, machine: str = "", reason: str = "") -> None:
        self._notify_user(entry, state, True, machine, reason or entry.reason)
        self.pending.pop(entry.request.guest, None)

    def _notify_user(
        self, entry: PendingGuest, state: str, final: bool, machine: str = "", reason: str = ""
    ) -> None:
        self.counts[state] += 1
        self.actions.append(
            Notify(Outcome(entry.request.guest, state, machine, reason, entry.submission_number + 1), final)
        )

    # Timers.

    def next_at(self) -> int | None:
        """When `advance` is due next, in microseconds; None if no timer is set."""
        return self.agenda[0][0] if self.agenda else None

    def advance(self, now: int) -> None:
        """Runs all timers that are due."""
        while self.agenda and self.agenda[0][0] <= now:
            _, _, what, key, due = heappop(self.agenda)
            if what == "dial":
                if not self.up.get(key, True) and self.return_at.get(key) == due:
                    self.actions.append(Connect(key))
                continue
            if what == "unlisted":
                self._leave_unlisted(now)
                continue
            if what == "unresponsive":
                if self.up.get(key) and self.unanswered_since.get(key) == due:
                    self.counts["silent"] += 1
                    self.actions.append(Leave(key))
                    self.disconnected(now, key)
                continue
            entry = self.pending.get(key)
            if entry is None or what != "deadline" and entry.due != due:
                continue
            if what == "deadline":
                self._deadline(now, entry)
            elif what == "submit" and entry.state == "idle":
                self._submit_to_planner(now, entry)
            elif what == "settle" and entry.state == "uncertain":
                if self.up.get(entry.planner):
                    self._query(now, entry)
                self._set_timer(entry, now + SECOND // 2, "settle")
            elif what == "unanswered" and entry.state == "submitted":
                self.chooser.failed(entry.planner, now)
                self._handle_uncertain(now, entry, "unanswered")

    def _deadline(self, now: int, entry: PendingGuest) -> None:
        """The guest's time is over. A placed guest stays placed; another ends with what is known of it."""
        if entry.state == "placed":
            return
        unsure = entry.state != "idle" or entry.first_unsure
        self._finish(
            entry,
            "unknown" if unsure and entry.request.effect != "rerunnable" else "turned_back",
            reason="deadline",
        )

    def _set_timer(self, entry: PendingGuest, when: int, what: str) -> None:
        entry.due = when
        self._at(when, what, entry.request.guest, when)

    def _at(self, when: int, what: str, key: str, due: int) -> None:
        self.timer_number += 1
        heappush(self.agenda, (when, self.timer_number, what, key, due))
