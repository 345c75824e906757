"""The connections to machines, and what machines say on them."""

from hazelhold.config.planner import micros
from hazelhold.engine.cases import Case, HangUp, Loose, Lost
from hazelhold.engine.dispatches import CROSSED
from hazelhold.engine.list_news import ListNews
from hazelhold.engine.machines import Link
from hazelhold.engine.silence import Silence
from hazelhold.interface import DispatchOutcome, Load, OutcomeReason
from hazelhold.protocol import messages as m

ENDINGS = {
    "done": (DispatchOutcome.COMPLETED, OutcomeReason.NONE),
    "error": (DispatchOutcome.ERROR, OutcomeReason.NONE),
    "evicted": (DispatchOutcome.INTERRUPTED, OutcomeReason.EVICTED),
    "pushed_out": (DispatchOutcome.INTERRUPTED, OutcomeReason.PREEMPTED),
    "sent_away": (DispatchOutcome.INTERRUPTED, OutcomeReason.DRAINED),
    "stopped": (DispatchOutcome.WITHDRAWN, OutcomeReason.NONE),
    "withdrawn": (DispatchOutcome.REFUSED, OutcomeReason.NONE),
    "not_sent": (DispatchOutcome.NOT_SENT, OutcomeReason.NONE),
}
STOOD = ("evicted", "pushed_out", "sent_away")  # ends of what was accepted
REMARKS = {
    "no_cores": OutcomeReason.NO_CORES,
    "no_memory": OutcomeReason.NO_MEMORY,
    "line_full": OutcomeReason.QUEUE_FULL,
    "not_here": OutcomeReason.NOT_ACCEPTED,
}


class Links(ListNews, Silence):
    """The machines' side of an engine."""

    # Connections.

    def link_up(self, now: int, machine: str, welcome: m.Welcome | None = None) -> None:
        """A dialled machine has answered. What it holds is asked before anything is offered, where machines
        tell that; else what waits for the connection leaves at once."""
        link = self.links.get(machine)
        if link is None or link.state != "dialling":
            self.actions.append(HangUp(machine))
            return
        if not self.peers.rolls:
            self._opened(now, link)
            return
        if welcome.name != machine:
            self.counts["wrong_machine"] += 1
            self.actions.append(
                Lost(
                    "machine",
                    machine,
                    "wrong_machine",
                    f"{welcome.name!r} answered in the place of {machine!r}",
                )
            )
            self.link_failed(now, machine)
            return
        link.state, link.rolled = "up", False
        self.restless[machine] = None
        link.roll_due = now + micros(self.limits.reconnect_ms)
        link.before, link.incarnation = link.incarnation, welcome.incarnation
        link.used_at = now
        self._send_machine(machine, m.Roll())

    def _opened(self, now: int, link: Link) -> None:
        """A connection stands to a machine that tells nothing of what it holds."""
        link.state, link.rolled, link.dial_at = "up", True, 0
        link.used_at = link.opened_at = now
        if self.facts.list_lease:  # until the list shows the machine there at a later moment
            link.unconfirmed = True
            self.unconfirmed_links[link.machine] = None
        if link.lost_at and self._heard_lately(now, link):
            link.lost_at = 0
        link.heard_at = link.heard_at or now
        if link.lost_at:  # whether the machine that had those guests is still there, its answer shows
            self.probe_number += 1
            self._send_machine(link.machine, m.Probe(number=self.probe_number))
        self.restless[link.machine] = None
        words, link.words = link.words, []
        for until, message in words:
            if until > now:
                self._send_machine(link.machine, message)
                link.told.append((now + CROSSED, message))
        for name in list(link.queue):
            self._offer(now, self.cases[name])
        if link.machine in self.probes:
            self._send_probe(link.machine)

    def _heard_lately(self, now: int, link: Link) -> bool:
        """Whether a machine that takes a new connection need not be asked if it is still there: it has said
        something in the time for which it may say nothing on a standing one, and owes no answer since. Each
        probe is paid for, and some machines close a connection after half a second of quiet."""
        asked = link.unanswered or link.asked_at > link.heard_at
        return not asked and now - link.heard_at <= micros(self.limits.silent_ms)

    def link_failed(self, now: int, machine: str, refused: bool = False) -> None:
        """A dial failed or took too long: offers that waited for it surely never ran. `refused`: nobody
        listens there, so the machine's process is gone."""
        link = self.links.get(machine)
        if link is None:
            return
        if refused and not self.peers.rolls and link.lost_at:
            link.lost_at = now - micros(self.limits.reconnect_ms)
        self.counts["dials_failed"] += 1
        self.restless[machine] = None
        link.state = "down"
        self._drop_queue(now, link)
        if link.lost_at and now - link.lost_at >= micros(self.limits.reconnect_ms):
            self._forget_machine(now, link)
        elif link.lost_at:
            link.dial_at = now + micros(self.limits.reconnect_ms) // 10
        elif any(until > now for until, _ in link.words):
            link.dial_at = now + micros(self.limits.reconnect_ms) // 10
        elif machine in self.unheard:
            link.dial_at = now + 1_000_000

    def link_down(self, now: int, machine: str, reset: bool = False) -> None:
        """A connection that stood broke. What it carried is not lost yet: the machine is asked first.
        `reset`: it was not closed in order, so its machine's process may have died."""
        if link := self.links.get(machine):
            self._link_lost(now, link, by_machine=True)
            if reset:
                self._doubt_all_on(now, link)

    # What machines say.

    def machine_said(self, now: int, machine: str, message: m.Message) -> None:
        """Any message of a machine but its Welcome."""
        link = self.links.get(machine)
        if link is None or link.state != "up":
            return
        link.heard_at, link.unanswered = now, 0
        if not self.peers.rolls:
            link.lost_at = 0
        if isinstance(message, m.Running):
            self._rolled(now, link, message)
            return
        if isinstance(message, m.Report):
            self.scheduler.machine_reported(now, machine, load(message.load))
            if machine in self.probes and self.probes[machine].number == message.number:
                self._tested(now, link, message.well)
                self._probe_over(now, machine, message.well)
            return
        if isinstance(message, m.Pressed):
            self.scheduler.memory_pressure_reported(now, machine, message.share)
            return
        if not isinstance(message, m.Offered):
            return
        if (report := getattr(message, "load", None)) is not None:
            self.scheduler.machine_reported(now, machine, load(report))
        for case in (self.newest.get(message.guest), self.cases.get(f"{message.guest}/{message.ask}")):
            if (
                case
                and case.machine
                and case.machine in (machine, link.heir)
                and case.sent
                and (
                    not self.peers.names_attempts
                    or (case.ask, case.attempt) == (message.ask, message.attempt)
                )
            ):
                self._heard(now, case, message)
                return
        self._heard_loose(now, machine, message)

    def _heard(self, now: int, case: Case, message: m.Offered) -> None:
        """News of the dispatch that is out, or of the placed guest."""
        case.spoken_at = now
        if isinstance(message, m.Taken) and not case.placed and case.called_off and not self.peers.rolls:
            # The taking back ends what was taken, and no word follows that an owner could be told.
            self._ended(now, case, DispatchOutcome.WITHDRAWN, OutcomeReason.NONE)
        elif isinstance(message, m.Taken) and not case.placed:
            case.placed = True
            self._mark("guest", case.name)
            self._fact(now, case, "placed")
            self.scheduler.dispatch_accepted(now, case.name, now - case.sent_at)
            if self.peers.advised:
                self.advice.placed(now, case.guest)
            self._answer(
                now,
                case,
                m.Placed(
                    guest=case.guest,
                    ask=case.ask,
                    machine=case.machine,
                    description=getattr(message, "description", b""),
                ),
                case.asks,
            )
            if case.sent_unconfirmed and (link := self.links.get(case.machine)) and link.heir:
                self._move_task(now, case, link.heir)
        elif isinstance(message, m.Refused) and not case.placed:
            self.counts["refused_" + message.remark[:20]] += 1
            self._ended(now, case, DispatchOutcome.REFUSED, REMARKS.get(message.remark, OutcomeReason.NONE))
        elif isinstance(message, m.Started):
            self.scheduler.guest_started(now, case.name)
        elif isinstance(message, m.Use):
            if message.cores is not None:
                self.scheduler.cores_used(now, case.name, message.cores)
            if message.memory is not None:
                self.scheduler.memory_used(now, case.name, message.memory)
        elif isinstance(message, m.Served):
            self.scheduler.service_level_reported(now, case.name, message.share)
        elif isinstance(message, m.Ended):
            ending, remark = ENDINGS.get(message.how, (DispatchOutcome.INTERRUPTED, OutcomeReason.NONE))
            if case.placed:
                self._gone(now, case, message.how, ending, remark)
            else:
                self._ended(now, case, ending, remark)
                if self._had_accepted(message.how):
                    self._over_before_its_answer(now, case)

    def _had_accepted(self, how: str) -> bool:
        """Whether only a machine that had accepted a task can end it so. One that accepts a task when it runs
        may push it out before. Where machines roll, their answer always comes first."""
        if self.peers.rolls:
            return False
        return how == "done" or how in STOOD and not self.facts.confirms_when_running

    def _over_before_its_answer(self, now: int, case: Case) -> None:
        """The machine's answer is late, and the task that it accepted is over. Its owner is told now; another
        attempt under the same name would be answered "placed" after the end of what was placed."""
        self.counts["over_before_answer"] += 1
        case.cancelled = True
        self._mark("guest", case.name)
        self.scheduler.guest_cancelled(now, case.name)

    def _heard_loose(self, now: int, machine: str, message: m.Offered) -> None:
        """News of a dispatch that was given up."""
        loose = self.loose.get(message.guest, {}).get(machine)
        if loose is None or loose.case.ask != message.ask:
            if isinstance(message, m.Ended) and (stand := self.waiting_stands.pop(message.guest, None)):
                self.counts["found_ended"] += 1
                if not stand.ended:
                    told = m.GuestEnded(guest=message.guest, how=message.how, machine=stand.machine)
                    self._send_owner(stand.owner, told)
                return
            self.counts["stray_messages"] += 1
            if self.peers.tells_use and isinstance(message, m.Started | m.Use | m.Served):
                self._spoke_of_unknown(machine, message.guest)
            if isinstance(message, m.Ended) and not self.peers.asks_again:
                self._keep_end(now, message.guest, message.how)
            return
        if isinstance(message, m.Refused | m.Ended):
            self._settled(message.guest, machine)
        elif isinstance(message, m.Taken | m.Started | m.Use | m.Served) and not loose.stands:
            self._stands(now, loose)

    def _rolled(self, now: int, link: Link, running: m.Running) -> None:
        """What a machine has of ours, against what is thought to be there."""
        self.unheard.discard(link.machine)
        if link.rolled:  # nobody asked: it cannot tell what is on its way there
            return
        link.rolled, link.lost_at, link.dial_at = True, 0, 0
        there = {(s.guest, s.ask): s for s in running.guests}
        same_life = not link.before or link.before == link.incarnation
        link.before = link.incarnation
        for name in list(link.holds):
            case = self.cases[name]
            stand = there.pop((case.guest, case.ask), None)
            if not case.sent:
                continue
            if stand and stand.state == "line" and case.cancelled:
                self._call_off(now, name, link.machine)
            if stand and stand.state == "ended":
                if not case.placed and stand.how != "withdrawn":  # accepted while nobody listened
                    self._heard(now, case, m.Taken(guest=case.guest, ask=case.ask))
                self._heard(now, case, m.Ended(guest=case.guest, ask=case.ask, how=stand.how))
            elif (
                stand
                and stand.state != "line"
                and not case.placed
                and not (stand.state == "accepted" and self.facts.confirms_when_running)
            ):
                self._heard(now, case, m.Taken(guest=case.guest, ask=case.ask))
            if stand and stand.state == "runs":
                self.scheduler.guest_started(now, name)
            if stand is None and case.placed:
                self._gone(now, case, "lost")
            elif stand is None and same_life and running.complete:
                self._never_arrived(now, case)
            elif stand is None:
                self._ended(now, case, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE)
        for guest in [g for g, by in self.loose.items() if link.machine in by]:
            loose = self.loose[guest][link.machine]
            stand = there.pop((guest, loose.case.ask), None)
            if stand is None or stand.state == "ended":
                self._settled(guest, link.machine)
            elif stand.state == "line":
                loose.roll_at = now  # taken back once more
            elif not loose.stands and (
                stand.state == "runs" or stand.state == "accepted" and not self.facts.confirms_when_running
            ):
                self._stands(now, loose)
        for stand in there.values():
            if stand.state in ("runs", "accepted"):
                self._found(now, link, stand)
            elif stand.state == "ended" and stand.how != "withdrawn" and stand.guest not in self.newest:
                # It ended while no planner listened: its owner will ask, and must not hear that it is
                # unknown.
                self._keep_end(now, stand.guest, stand.how)
        # What was to go there was decided without the guests that were found: their services are decided
        # anew.
        found = {s.service for s in there.values() if s.state in ("runs", "accepted")}
        for name in list(link.queue):
            if self.cases[name].submit.service in found:
                self._not_sent(now, self.cases[name], DispatchOutcome.NOT_SENT)
            else:
                self._offer(now, self.cases[name])
        if link.machine in self.probes:
            self._send_probe(link.machine)

    def _never_arrived(self, now: int, case: Case) -> None:
        """A complete roll without it, in the life that it was sent to: it never arrived, and cannot any more.
        That rests on what this planner last knew. If an earlier life made its claim, the kept state may be
        older than what that life saw, so the claim is not gone on with."""
        if case.claim and self.claims is not None and not self.claims.mine(case.claim):
            case.claim = case.sent_claim = b""
        self._ended(now, case, DispatchOutcome.NOT_SENT, OutcomeReason.NONE)

    def _found(self, now: int, link: Link, stand: m.Stand) -> None:
        """A guest of ours that runs and that this planner does not know: from before its start."""
        if stand.product not in self.products:
            self.counts["found_unknown_product"] += 1
            return
        name = f"{stand.guest}/{stand.ask}"
        self.counts["found"] += 1
        case = Case(name, stand.guest, stand.ask, stand.owner, self.products[stand.product], stand)
        case.attempt, case.sent_at = stand.attempt, now
        held = self.newest.get(stand.guest)
        if held and held.machine or name in self.cases:  # out or placed elsewhere: one copy too many
            loose = Loose(case, stand.attempt, link.machine, now, roll_at=now + 1_000_000)
            self._mark("loose", stand.guest, link.machine)
            self.loose.setdefault(stand.guest, {})[link.machine] = loose
            self._stands(now, loose)
            return
        case.machine, case.sent, case.placed = link.machine, True, True
        if held:  # asked again while its planner was away: what runs is the answer
            self.scheduler.guest_abandoned(now, held.name)
            self._answer(now, held, m.Placed(guest=held.guest, ask=held.ask, machine=link.machine), held.asks)
            del self.cases[held.name]
            self._mark("guest", held.name)
        self.cases[name] = self.newest[stand.guest] = case
        case.incarnation = link.incarnation
        self._hold(case)
        self._mark("guest", name)
        self.scheduler.guest_discovered(now, link.machine, self._ask(case, 0))
        self._fact(now, case, "placed")


def load(report: m.Load | None) -> Load | None:
    return None if report is None else Load(report.cores_free, report.memory_free, report.busy)
