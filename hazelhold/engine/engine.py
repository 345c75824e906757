"""One planner without its sockets: what peers say goes in, what to do comes out, one Brain decides.

How it is called: the host reports what happened through the input methods, each with the moment in whole
microseconds, then calls `pump(now)`, which lets the Brain decide until it has nothing more, and carries out
`actions` in their order. `next_at(now)` says when to pump again if nothing happens. The same calls with the
same seed give the same actions.

What the engine itself keeps is bookkeeping that no ranking may touch: attempt numbers, time-outs of
dispatches, one dispatch out at a time, which offers were surely never sent, and what a machine may still
hold of dispatches that were given up. Every choice, time-out and final answer is the Brain's.
"""

from heapq import heappop

from hazelhold.config.planner import micros
from hazelhold.engine.cases import AskList, HangUp
from hazelhold.engine.claiming import Claiming
from hazelhold.engine.keep import Keeping, recover
from hazelhold.engine.links import Links
from hazelhold.engine.owners import Owners
from hazelhold.interface import Decision, DecisionKind, DispatchOutcome, OutcomeReason
from hazelhold.protocol import messages as m
from hazelhold.state.images import Change
from hazelhold.state.ledger import Ledger


class Engine(Owners, Links, Claiming):
    """All that one planner does."""

    # What outlives the process.

    def keep(self, now: int, epoch: int, ledger: Ledger, complete: bool) -> dict[str, int]:
        """From now on `flush` tells what is to be kept; begins where the images in the ledger left off.
        Before any other input. Returns counts of what was recovered; ValueError if an image cannot be
        read."""
        self.keeping = Keeping(epoch)
        return recover(self, now, ledger, complete)

    def flush(self, now: int) -> list[Change]:
        """What must be safe before the actions of this moment are carried out."""
        return self.keeping.flush(self, now)

    def state_kept(self, now: int, well: bool) -> None:
        """The disk fails, or works again. While it fails no guest is taken or sent whose second run could do
        harm."""
        self.kept_well = well
        self.counts["state_failures"] += not well
        self.scheduler.persistence_changed(now, well)

    def offer_held_back(self, now: int, offer: m.Offer) -> None:
        """An offer did not leave, since what it rests on could not be made safe."""
        case = self.cases.get(f"{offer.guest}/{offer.ask}") or self.newest.get(offer.guest)
        if case and case.sent and not case.placed and (case.ask, case.attempt) == (offer.ask, offer.attempt):
            if self.facts.list_lease:
                self.scheduler.dispatch_not_sent(now, case.name)
            self._not_sent(now, case, DispatchOutcome.NOT_SENT)

    # The passing of time.

    def pump(self, now: int) -> None:
        """Time-outs that are due, then decisions until there is none or so many are made that peers have
        waited long enough to be read; `next_at` says then to pump again at once."""
        self._time_outs(now)
        self._tell_lease(now)
        for _ in range(self.at_once):
            decision = self.scheduler.decide(now)
            self.more = decision is not None
            if decision is None:
                return
            self._carry_out(now, decision)

    def next_at(self, now: int) -> int | None:
        """When to pump again if nothing happens; None if nothing is due."""
        if self.more:
            return now
        times = [t for t in (self.scheduler.next_decision_at(now), self.list_due) if t]
        if self.overdue:
            times.append(self.overdue[0][0])
        times += [probe.due for probe in self.probes.values()]
        for link in self._restless():
            times += [
                t
                for t in (
                    link.dial_at,
                    link.dial_due if link.state == "dialling" else 0,
                    link.roll_due if link.state == "up" and not link.rolled else 0,
                )
                if t
            ]
        times += [l.roll_at for by in self.loose.values() for l in by.values()]
        if not self.peers.rolls and self.links:
            times.append(self.idle_at)  # silence is looked for though nothing happens
        return min(times, default=None)

    def _time_outs(self, now: int) -> None:
        self._leave_out_stop(now)
        while self.overdue and self.overdue[0][0] <= now:
            _, name, attempt = heappop(self.overdue)
            case = self.cases.get(name)
            if case and case.machine and not case.placed and case.attempt == attempt:
                if case.sent:
                    self._give_up(now, case)
                    self._ended(now, case, DispatchOutcome.TIMED_OUT, OutcomeReason.NONE)
                else:  # on a link that is up it waited for its claim
                    link = self.links.get(case.machine)
                    waited = link is not None and link.state == "up" and link.rolled
                    self._not_sent(
                        now, case, DispatchOutcome.NOT_SENT if waited else DispatchOutcome.UNREACHABLE
                    )
        for machine, probe in list(self.probes.items()):
            if probe.due <= now:
                self._unheard(now, machine, probe.due - micros(self.limits.probe_ms))
                self._probe_over(now, machine, False)
        for link in self._restless():
            if link.settled():
                self.restless.pop(link.machine, None)
                continue
            if link.state == "up" and not link.rolled and link.roll_due <= now:
                self.counts["rolls_unanswered"] += 1  # it is mute: as good as a broken link
                self.actions.append(HangUp(link.machine))
                self._link_lost(now, link)
                link.dial_at = now + micros(self.limits.reconnect_ms) // 10
            elif link.state == "dialling" and link.dial_due <= now:
                self.actions.append(HangUp(link.machine))
                self.link_failed(now, link.machine)
            if (
                link.state == "down"
                and link.lost_at
                and (now - link.lost_at >= micros(self.limits.reconnect_ms))
            ):
                self._forget_machine(now, link)
            if link.state == "down" and link.dial_at and link.dial_at <= now:
                link.dial_at = 0
                if fellow := self.roster.fellows.get(link.machine):
                    self._dial(now, fellow)
        for by in list(self.loose.values()):
            for loose in list(by.values()):
                if loose.roll_at <= now:
                    self._ask_loose(now, loose)
        if self.list_due and now >= self.list_due:
            self.list_failed(now)
        for table in (self.answers, self.ends):
            while table and next(iter(table.values()))[1] <= now:
                table.popitem(last=False)
        if now < self.idle_at:
            return
        idle = micros(self.limits.idle_close_ms)
        self.idle_at = now + min(500_000, idle // 8)  # four fifths of the far side's time, and a tenth of it
        self._settle_doubts(now)
        if not self.peers.rolls:
            for link in list(self.links.values()):
                self._watch_silence(now, link)
        for link in [l for l in self.links.values() if l.state == "up" and now - l.used_at > idle]:
            if not link.holds and not link.queue and link.machine not in self.probes:
                self.actions.append(HangUp(link.machine))
                link.close(now)

    def _carry_out(self, now: int, decision: Decision) -> None:
        step, name, machine, span = decision
        if step is DecisionKind.DISPATCH:
            self._dispatch(now, self.cases[name], machine, span)
        elif step is DecisionKind.REFUSE:
            case = self.cases[name]
            why = "cancelled" if case.cancelled else "stopping" if self.stopping else "no_machine"
            later = 0 if case.cancelled else self._later(now, case.guest, span)
            self._final(
                now, case, m.TurnedBack(guest=case.guest, ask=case.ask, reason=why, again_after=later)
            )
        elif step is DecisionKind.FAIL:
            case = self.cases[name]
            why = "cancelled" if case.cancelled else "may_have_run" if case.attempt >= 0 else "no_machine"
            self._final(now, case, m.BrokenOff(guest=case.guest, ask=case.ask, reason=why))
        elif step is DecisionKind.WITHDRAW:
            self._call_off(now, name, machine)
        elif step is DecisionKind.PROBE:
            self._probe(now, machine)
        elif step is DecisionKind.WATCH_LIST:
            self.list_due = now + 2_000_000
            self.actions.append(AskList(self.list_version))

    # Stopping.

    def stop(self, now: int) -> None:
        """Takes nothing more. What is held is answered by the Brain at once; what is out is called off, and
        answered when its machine has said whether it ran. Running guests run on."""
        self.stopping = True
        for case in list(self.cases.values()):
            if not case.placed:
                self.scheduler.guest_cancelled(now, case.name)
        self._pump_all(now)

    def stop_now(self, now: int) -> None:
        """The time for a stop is over: what is still out goes to the Brain as unknown, and is answered so."""
        for case in list(self.cases.values()):
            if case.machine and not case.placed:
                self._give_up(now, case)
                self._ended(now, case, DispatchOutcome.TIMED_OUT, OutcomeReason.NONE)
        self._pump_all(now)

    def _pump_all(self, now: int) -> None:
        self.pump(now)
        while self.more:
            self.pump(now)

    def unanswered(self) -> int:
        """Guests taken and not yet answered."""
        return sum(not c.placed for c in self.cases.values())
