"""One planner without its sockets: messages of peers go in, actions come out, one scheduler decides.

The host reports what happened through the input methods, each with the time in whole microseconds, then calls
`pump(now)`, which lets the scheduler decide until it has no more decisions, and carries out `actions` in
order. `next_at(now)` returns when to pump again if nothing happens. The same calls with the same seed give
the same actions.

The engine itself does the bookkeeping that no ranking may influence: dispatch numbers, timeouts of
dispatches, at most one outstanding dispatch of a guest, which offers were certainly never sent, and what a
machine may still hold of abandoned dispatches. Every choice, timeout and final answer is the scheduler's.
"""

from heapq import heappop

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.claiming import Claiming
from hazelhold.engine.links import Links
from hazelhold.engine.owners import Owners
from hazelhold.engine.persistence import StatePersistence, recover
from hazelhold.engine.records import FetchList, HangUp
from hazelhold.engine.verification import DECISION_INTERVAL
from hazelhold.interface import Decision, DecisionKind, DispatchOutcome, OutcomeReason
from hazelhold.protocol import messages as m
from hazelhold.state.images import Change
from hazelhold.state.state_table import StateTable

ANSWERS = (DecisionKind.REFUSE, DecisionKind.FAIL)


class Engine(Owners, Links, Claiming):
    """The complete engine of one planner."""

    # Persistence.

    def keep(self, now: int, epoch: int, state_table: StateTable, complete: bool) -> dict[str, int]:
        """Restores the state in `ledger` and persists changes from now on through `flush`.

        To be called before any other input. Returns counts of what was recovered; ValueError if an image
        cannot be read.
        """
        self.persistence = StatePersistence(epoch)
        return recover(self, now, state_table, complete)

    def flush(self, now: int) -> list[Change]:
        """The changes that must be stored before the current actions are carried out."""
        return self.persistence.flush(self, now)

    def state_kept(self, now: int, well: bool) -> None:
        """The disk has failed, or works again (`well`).

        While it fails, no guest is accepted or sent whose second run could do harm.
        """
        self.persistence_healthy = well
        self.counts["state_failures"] += not well
        self.scheduler.persistence_changed(now, well)

    def offer_held_back(self, now: int, offer: m.Offer) -> None:
        """An offer was not sent, since the state that it depends on could not be stored."""
        record = self.records.get(f"{offer.guest}/{offer.ask}") or self.newest_records.get(offer.guest)
        if (
            record
            and record.sent
            and not record.placed
            and (record.submission_number, record.dispatch_number) == (offer.ask, offer.attempt)
        ):
            if self.deployment.list_lease:
                self.scheduler.dispatch_not_sent(now, record.name)
            self._not_sent(now, record, DispatchOutcome.NOT_SENT)

    # Time.

    def pump(self, now: int) -> None:
        """Handles timeouts that are due, then makes decisions until none is left.

        After `decision_batch` decisions, or the scheduler's limit of work, it returns, so that peers do not
        wait too long to be read; `next_at` then requests another pump at once.
        """
        self._handle_timeouts(now)
        self._report_lease(now)
        self.pace.begin_step(now, self.more)
        left = self.decision_batch
        while left > 0:
            decision = self.scheduler.decide(now)
            self.more = decision is not None or self.pace.has_reached_limit()
            if decision is None:
                return
            self._carry_out(now, decision)
            if decision.kind not in ANSWERS or not self.step_limits.answers:
                left -= 1

    def next_at(self, now: int) -> int | None:
        """When to pump again if nothing happens; None if nothing is due."""
        if self.more:
            return now
        checks = (self.verify_at, self.process_checks_at)
        times = [t for t in (self.scheduler.next_decision_at(now), self.list_due, *checks) if t]
        times += [self.links[name].restart.decided_at for name in self._undated_restarts()]
        if (question_due := self.list_questions.due()) is not None:
            times.append(question_due)
        if self.overdue:
            times.append(self.overdue[0][0])
        times += [probe.due for probe in self.probes.values()]
        for link in self._active_links():
            times += [
                t
                for t in (
                    link.dial_at,
                    link.dial_due if link.state == "dialling" else 0,
                    link.inventory_due if link.state == "up" and not link.inventory_known else 0,
                )
                if t
            ]
        times += [l.recheck_at for by in self.abandoned.values() for l in by.values()]
        if not self.peers.reports_inventory and self.links:
            times.append(self.idle_check_at)  # silence is checked for although nothing happens
        return min(times, default=None)

    def _handle_timeouts(self, now: int) -> None:
        self._exclude_pause(now)
        while self.overdue and self.overdue[0][0] <= now:
            _, name, dispatch_number = heappop(self.overdue)
            record = self.records.get(name)
            if record and record.machine and not record.placed and record.dispatch_number == dispatch_number:
                if record.sent:
                    self._withdraw_dispatch(now, record)
                    self._dispatch_ended(now, record, DispatchOutcome.TIMED_OUT, OutcomeReason.NONE)
                else:  # on a link that is up, it was waiting for its claim
                    link = self.links.get(record.machine)
                    waited = link is not None and link.state == "up" and link.inventory_known
                    self._not_sent(
                        now, record, DispatchOutcome.NOT_SENT if waited else DispatchOutcome.UNREACHABLE
                    )
        for machine, probe in list(self.probes.items()):
            if probe.due <= now:
                self._probe_unanswered(now, machine, probe.due - to_microseconds(self.limits.probe_ms))
                self._probe_over(now, machine, False)
        for link in self._active_links():
            if link.is_idle():
                self.active_links.pop(link.machine, None)
                continue
            if link.state == "up" and not link.inventory_known and link.inventory_due <= now:
                self.counts["rolls_unanswered"] += 1  # no inventory came: the same as a broken link
                self.actions.append(HangUp(link.machine))
                self._link_lost(now, link)
                link.dial_at = now + to_microseconds(self.limits.reconnect_ms) // 10
            elif link.state == "dialling" and link.dial_due <= now:
                self.actions.append(HangUp(link.machine))
                self.link_failed(now, link.machine)
            if (
                link.state == "down"
                and link.lost_at
                and (now - link.lost_at >= to_microseconds(self.limits.reconnect_ms))
            ):
                self._forget_machine(now, link)
            if link.state == "down" and link.dial_at and link.dial_at <= now:
                link.dial_at = 0
                if listed := self.roster.machines.get(link.machine):
                    self._dial(now, listed)
        for by in list(self.abandoned.values()):
            for abandoned in list(by.values()):
                if abandoned.recheck_at <= now:
                    self._recheck_abandoned(now, abandoned)
        if self.list_due and now >= self.list_due:
            self.list_failed(now)
        self._ask_list(now)
        for table in (self.answers, self.ends):
            while table and next(iter(table.values()))[1] <= now:
                table.popitem(last=False)
        self._decide_undated_restarts(now)
        if self.verify_at and now >= self.verify_at:
            self.verify_at = now + DECISION_INTERVAL
            self._decide_verifications(now)
        if self.process_checks_at and now >= self.process_checks_at:
            self._decide_process_checks(now)
        if now < self.idle_check_at:
            return
        idle = to_microseconds(self.limits.idle_close_ms)
        # `idle` is four fifths of the far side's limit, so this is a tenth of that.
        self.idle_check_at = now + min(500_000, idle // 8)
        if not self.peers.reports_inventory:
            for link in list(self.links.values()):
                self._check_silence(now, link)
        for link in [l for l in self.links.values() if l.state == "up" and now - l.used_at > idle]:
            if not link.guests and not link.queue and link.machine not in self.probes:
                self.actions.append(HangUp(link.machine))
                link.close(now)

    def _carry_out(self, now: int, decision: Decision) -> None:
        step, name, machine, timeout = decision
        if step is DecisionKind.DISPATCH:
            self._dispatch(now, self.records[name], machine, timeout)
        elif step is DecisionKind.REFUSE:
            record = self.records[name]
            why = "cancelled" if record.cancelled else "stopping" if self.stopping else "no_machine"
            later = 0 if record.cancelled else self._retry_after(now, record.guest, timeout)
            self._final_answer(
                now,
                record,
                m.GuestRefused(
                    guest=record.guest, ask=record.submission_number, reason=why, again_after=later
                ),
            )
        elif step is DecisionKind.FAIL:
            record = self.records[name]
            why = (
                "cancelled"
                if record.cancelled
                else "may_have_run"
                if record.dispatch_number >= 0
                else "no_machine"
            )
            self._final_answer(
                now, record, m.GuestFailed(guest=record.guest, ask=record.submission_number, reason=why)
            )
        elif step is DecisionKind.WITHDRAW:
            self._withdraw(now, name, machine)
        elif step is DecisionKind.PROBE:
            self._probe(now, machine)
        elif step is DecisionKind.WATCH_LIST:
            self.list_due = now + 2_000_000
            self.actions.append(FetchList(self.list_version))

    # Stopping.

    def stop(self, now: int) -> None:
        """Accepts no more guests.

        Held guests are answered by the scheduler at once; outstanding dispatches are withdrawn, and answered
        when their machine has reported whether they ran. Placed guests run on.
        """
        self.stopping = True
        for record in list(self.records.values()):
            if not record.placed:
                self.scheduler.guest_cancelled(now, record.name)
        self._pump_all(now)

    def stop_now(self, now: int) -> None:
        """The time for a stop is over: outstanding dispatches are answered as possibly run."""
        for record in list(self.records.values()):
            if record.machine and not record.placed:
                self._withdraw_dispatch(now, record)
                self._dispatch_ended(now, record, DispatchOutcome.TIMED_OUT, OutcomeReason.NONE)
        self._pump_all(now)

    def _pump_all(self, now: int) -> None:
        self.pump(now)
        while self.more:
            self.pump(now)

    def unanswered(self) -> int:
        """The number of guests accepted and not yet answered."""
        return sum(not c.placed for c in self.records.values())
