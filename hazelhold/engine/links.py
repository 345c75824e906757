"""Connections to machines, and the messages that machines send on them."""

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.dispatches import CROSSING_WINDOW
from hazelhold.engine.list_updates import ListUpdates
from hazelhold.engine.liveness import LivenessChecks
from hazelhold.engine.machines import ConnectionEnd, Link
from hazelhold.engine.process_checks import GUEST_REPORTS
from hazelhold.engine.records import AbandonedDispatch, Disconnect, GuestRecord, HangUp
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
ENDS_AFTER_ACCEPTANCE = ("evicted", "pushed_out", "sent_away")  # ends of guests that were accepted
REMARKS = {
    "no_cores": OutcomeReason.NO_CORES,
    "no_memory": OutcomeReason.NO_MEMORY,
    "line_full": OutcomeReason.QUEUE_FULL,
    "not_here": OutcomeReason.NOT_ACCEPTED,
}


class Links(ListUpdates, LivenessChecks):
    """The part of an engine that deals with machines."""

    # Connections.

    def link_up(self, now: int, machine: str, welcome: m.Welcome | None = None) -> None:
        """A dialled machine has answered.

        Where machines report their guests, that inventory is requested before anything is offered; elsewhere
        what waits for the connection is sent at once.
        """
        link = self.links.get(machine)
        if link is None or link.state != "dialling":
            self.actions.append(HangUp(machine))
            return
        if not self.peers.reports_inventory:
            self._opened(now, link)
            return
        if welcome.name != machine:
            self.counts["wrong_machine"] += 1
            self.actions.append(
                Disconnect(
                    "machine",
                    machine,
                    "wrong_machine",
                    f"{welcome.name!r} answered in the place of {machine!r}",
                )
            )
            self.link_failed(now, machine)
            return
        link.state, link.inventory_known = "up", False
        self.active_links[machine] = None
        link.inventory_due = now + to_microseconds(self.limits.reconnect_ms)
        link.previous_incarnation, link.incarnation = link.incarnation, welcome.incarnation
        link.used_at = now
        self._send_machine(machine, m.InventoryRequest())

    def _opened(self, now: int, link: Link) -> None:
        """A connection to a machine that does not report its guests is open."""
        link.state, link.inventory_known, link.dial_at = "up", True, 0
        link.used_at = link.opened_at = now
        if self.deployment.list_lease:  # until the list shows the machine at a later time
            link.unconfirmed = True
            self.unconfirmed_links[link.machine] = None
        if link.lost_at and self._is_recently_heard(now, link):
            link.lost_at = 0
        link.heard_at = link.heard_at or now
        if link.lost_at:  # the answer shows whether the machine that had those guests is still there
            self._send_new_probe(link.machine)
        self.active_links[link.machine] = None
        messages, link.pending_messages = link.pending_messages, []
        if link.machine in self.roster.addresses.displaced_at:
            messages = []  # they would reach the machine that has the address now
        for until, message in messages:
            if until > now:
                self._send_machine(link.machine, message)
                link.recent_messages.append((now + CROSSING_WINDOW, message))
        for name in list(link.queue):
            self._offer(now, self.records[name])
        if link.machine in self.probes:
            self._send_probe(link.machine)

    def _is_recently_heard(self, now: int, link: Link) -> bool:
        """Whether a machine that accepts a new connection need not be probed first.

        It has sent something within the time for which an open connection may be silent, and owes no answer
        since. Each probe has a cost, and some machines close a connection after half a second of silence.
        """
        awaits_answer = link.unanswered or link.probed_at > link.heard_at
        return not awaits_answer and now - link.heard_at <= to_microseconds(self.limits.silent_ms)

    def link_failed(self, now: int, machine: str, refused: bool = False) -> None:
        """A dial failed or timed out: offers that waited for it certainly never ran.

        `refused`: nothing listens there, so the machine's process is gone.
        """
        link = self.links.get(machine)
        if link is None:
            return
        if refused and not self.peers.reports_inventory and link.lost_at:
            link.lost_at = now - to_microseconds(self.limits.reconnect_ms)
        self.counts["dials_failed"] += 1
        self.active_links[machine] = None
        link.state = "down"
        self._drop_queue(now, link)
        if link.lost_at and now - link.lost_at >= to_microseconds(self.limits.reconnect_ms):
            self._forget_machine(now, link)
        elif link.lost_at:
            link.dial_at = now + to_microseconds(self.limits.reconnect_ms) // 10
        elif any(until > now for until, _ in link.pending_messages):
            link.dial_at = now + to_microseconds(self.limits.reconnect_ms) // 10
        elif machine in self.unreported_machines:
            link.dial_at = now + 1_000_000

    def link_down(self, now: int, machine: str, reset: bool = False) -> None:
        """An open connection broke. Its guests are not lost yet: the machine is queried first.

        `reset`: it was not closed in order, so the machine's process may have died.
        """
        if link := self.links.get(machine):
            end = ConnectionEnd.RESET if reset else ConnectionEnd.CLOSED_BY_MACHINE
            self._link_lost(now, link, end)
            self._connection_ended_undated(now, link, reset)
            if reset:
                link.was_reset(now)
                self._verify_all_on(now, link)

    # Messages of machines.

    def machine_said(self, now: int, machine: str, message: m.Message) -> None:
        """Handles any message of a machine but its Welcome."""
        link = self.links.get(machine)
        if link is None or link.state != "up":
            return
        link.heard_at, link.unanswered = now, 0
        link.first_heard_at = link.first_heard_at or now
        if not self.peers.reports_inventory:
            link.lost_at = 0
            if self._may_reach_successor(link):
                self._successor_answered(now, link)
        if isinstance(message, m.Inventory):
            self._inventory_received(now, link, message)
            return
        if isinstance(message, m.Report):
            self.scheduler.machine_reported(now, machine, load(message.load))
            self._restart_probe_answered(now, link, message.number)
            self._probe_reported(now, link, message.number, load(message.load))
            if machine in self.probes and self.probes[machine].number == message.number:
                self._probe_answered(now, link, message.well)
                self._probe_over(now, machine, message.well)
            return
        if isinstance(message, m.MemoryPressure):
            self.scheduler.memory_pressure_reported(now, machine, message.share)
            return
        if not isinstance(message, m.DispatchMessage):
            return
        self._process_reported(machine, message)
        if (report := getattr(message, "load", None)) is not None:
            self.scheduler.machine_reported(now, machine, load(report))
        for record in (
            self.newest_records.get(message.guest),
            self.records.get(f"{message.guest}/{message.ask}"),
        ):
            if (
                record
                and record.machine
                and (
                    record.machine in (machine, link.successor)
                    or self._ends_at_successor(link, record, message)
                )
                and record.sent
                and (
                    not self.peers.identifies_dispatches
                    or (record.submission_number, record.dispatch_number) == (message.ask, message.attempt)
                )
            ):
                self._answer_received(now, link, record)
                if record.placed and isinstance(message, GUEST_REPORTS):
                    link.guest_reported(record.sent_at)
                self._dispatch_message(now, record, message)
                return
        self._abandoned_message(now, machine, message)

    def _ends_at_successor(self, link: Link, record: GuestRecord, message: m.Message) -> bool:
        """Whether the machine that has this one's address now ends a placed guest of its own.

        It may do so on each connection of this planner. An end is not taken from a machine that the guest was
        sent to before: that may be about the earlier dispatch.
        """
        other = self.links.get(record.machine)
        if self.peers.identifies_dispatches or not record.placed or not isinstance(message, m.Ended):
            return False
        is_gone = (
            link.machine not in self.roster.machines or link.machine in self.roster.addresses.displaced_at
        )
        guest = self.scheduler.guests.get(record.name)
        was_sent_here = guest is None or link.machine in guest.excluded_machines
        return is_gone and other is not None and link.address == other.address and not was_sent_here

    def _dispatch_message(self, now: int, record: GuestRecord, message: m.DispatchMessage) -> None:
        """A message about the outstanding dispatch or the placed guest."""
        record.confirmed_at = now
        if (
            isinstance(message, m.OfferAccepted)
            and not record.placed
            and record.withdrawn
            and not self.peers.reports_inventory
        ):
            # The withdrawal ends what was accepted, and no message follows that could be passed to the owner.
            self._dispatch_ended(now, record, DispatchOutcome.WITHDRAWN, OutcomeReason.NONE)
        elif isinstance(message, m.OfferAccepted) and not record.placed:
            record.placed = True
            self._drop_content(record)
            self._mark_changed("guest", record.name)
            self._report_fact(now, record, "placed")
            self.scheduler.dispatch_accepted(now, record.name, now - record.sent_at)
            if self.peers.advises_retry:
                self.retry_advisor.placed(now, record.guest)
            self._answer(
                now,
                record,
                m.Placed(
                    guest=record.guest,
                    ask=record.submission_number,
                    machine=record.machine,
                    description=getattr(message, "description", b""),
                ),
                record.unanswered_submissions,
            )
            if record.sent_unconfirmed and (link := self.links.get(record.machine)) and link.successor:
                self._move_guest(now, record, link.successor)
        elif isinstance(message, m.OfferRefused) and not record.placed:
            self.counts["refused_" + message.remark[:20]] += 1
            self._dispatch_ended(
                now, record, DispatchOutcome.REFUSED, REMARKS.get(message.remark, OutcomeReason.NONE)
            )
        elif isinstance(message, m.Started):
            self.scheduler.guest_started(now, record.name)
        elif isinstance(message, m.ResourceUse):
            if message.cores is not None:
                self.scheduler.cores_used(now, record.name, message.cores)
            if message.memory is not None:
                self.scheduler.memory_used(now, record.name, message.memory)
        elif isinstance(message, m.ServiceLevel):
            self.scheduler.service_level_reported(now, record.name, message.share)
        elif isinstance(message, m.Ended):
            ending, remark = ENDINGS.get(message.how, (DispatchOutcome.INTERRUPTED, OutcomeReason.NONE))
            if record.placed:
                self._guest_gone(now, record, message.how, ending, remark)
            else:
                self._dispatch_ended(now, record, ending, remark)
                if self._had_accepted(message.how):
                    self._ended_before_acceptance(now, record)

    def _had_accepted(self, how: str) -> bool:
        """Whether only a machine that had accepted a guest can end it with `how`.

        A machine that accepts a guest when it starts to run may preempt it before. Where machines report
        their inventory, their answer always comes first.
        """
        if self.peers.reports_inventory:
            return False
        return how == "done" or how in ENDS_AFTER_ACCEPTANCE and not self.deployment.confirms_when_running

    def _ended_before_acceptance(self, now: int, record: GuestRecord) -> None:
        """The machine's answer is late, and the guest that it accepted is over.

        The owner is informed now: another dispatch under the same name would be answered "placed" after the
        end of what was placed.
        """
        self.counts["over_before_answer"] += 1
        record.cancelled = True
        self._mark_changed("guest", record.name)
        self.scheduler.guest_cancelled(now, record.name)

    def _abandoned_message(self, now: int, machine: str, message: m.DispatchMessage) -> None:
        """A message about a dispatch that was abandoned, or about an unknown guest."""
        abandoned = self.abandoned.get(message.guest, {}).get(machine)
        if abandoned is None or abandoned.record.submission_number != message.ask:
            if isinstance(message, m.Ended) and (item := self.waiting_handovers.pop(message.guest, None)):
                self.counts["found_ended"] += 1
                if not item.ended:
                    ended = m.GuestEnded(guest=message.guest, how=message.how, machine=item.machine)
                    self._send_owner(item.owner, ended)
                return
            self.counts["stray_messages"] += 1
            if self.peers.reports_use and isinstance(message, GUEST_REPORTS):
                self._unknown_guest_reported(now, machine, message.guest)
            if isinstance(message, m.Ended) and not self.peers.owners_resubmit:
                self._record_end(now, message.guest, message.how)
            return
        if isinstance(message, m.OfferRefused | m.Ended):
            self._forget_abandoned(message.guest, machine)
        elif (
            isinstance(message, m.OfferAccepted | m.Started | m.ResourceUse | m.ServiceLevel)
            and not abandoned.accepted
        ):
            self._late_acceptance(now, abandoned)

    def _inventory_received(self, now: int, link: Link, running: m.Inventory) -> None:
        """Compares the inventory that a machine reported with what this planner has recorded there."""
        self.unreported_machines.discard(link.machine)
        if link.inventory_known:  # not requested: it cannot cover what is on its way there
            return
        link.inventory_known, link.lost_at, link.dial_at = True, 0, 0
        there = {(s.guest, s.ask): s for s in running.guests}
        same_incarnation = not link.previous_incarnation or link.previous_incarnation == link.incarnation
        link.previous_incarnation = link.incarnation
        for name in list(link.guests):
            record = self.records[name]
            item = there.pop((record.guest, record.submission_number), None)
            if not record.sent:
                continue
            if item and item.state == "line" and record.cancelled:
                self._withdraw(now, name, link.machine)
            if item and item.state == "ended":
                if not record.placed and item.how != "withdrawn":  # accepted while no planner was connected
                    self._dispatch_message(
                        now, record, m.OfferAccepted(guest=record.guest, ask=record.submission_number)
                    )
                self._dispatch_message(
                    now, record, m.Ended(guest=record.guest, ask=record.submission_number, how=item.how)
                )
            elif (
                item
                and item.state != "line"
                and not record.placed
                and not (item.state == "accepted" and self.deployment.confirms_when_running)
            ):
                self._dispatch_message(
                    now, record, m.OfferAccepted(guest=record.guest, ask=record.submission_number)
                )
            if item and item.state == "runs":
                self.scheduler.guest_started(now, name)
            if item is None and record.placed:
                self._guest_gone(now, record, "lost")
            elif item is None and same_incarnation and running.complete:
                self._never_arrived(now, record)
            elif item is None:
                self._dispatch_ended(now, record, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE)
        for guest in [g for g, by in self.abandoned.items() if link.machine in by]:
            abandoned = self.abandoned[guest][link.machine]
            item = there.pop((guest, abandoned.record.submission_number), None)
            if item is None or item.state == "ended":
                self._forget_abandoned(guest, link.machine)
            elif item.state == "line":
                abandoned.recheck_at = now  # withdrawn once more
            elif not abandoned.accepted and (
                item.state == "runs" or item.state == "accepted" and not self.deployment.confirms_when_running
            ):
                self._late_acceptance(now, abandoned)
        for item in there.values():
            if item.state in ("runs", "accepted"):
                self._guest_found(now, link, item)
            elif item.state == "ended" and item.how != "withdrawn" and item.guest not in self.newest_records:
                # It ended while no planner was connected: its owner will query it, and must not get
                # "unknown" as the answer.
                self._record_end(now, item.guest, item.how)
        # What was to be sent there was decided without the guests that were found: guests of their services
        # are decided again.
        found = {s.service for s in there.values() if s.state in ("runs", "accepted")}
        for name in list(link.queue):
            if self.records[name].submit.service in found:
                self._not_sent(now, self.records[name], DispatchOutcome.NOT_SENT)
            else:
                self._offer(now, self.records[name])
        if link.machine in self.probes:
            self._send_probe(link.machine)

    def _never_arrived(self, now: int, record: GuestRecord) -> None:
        """A complete inventory of the incarnation it was sent to lacks the guest: it cannot arrive any more.

        That holds for what this planner last knew. If an earlier run of it made the claim, the persisted
        state may be older than what that run saw, so the claim is not reused.
        """
        if record.claim and self.claims is not None and not self.claims.mine(record.claim):
            record.claim = record.sent_claim = b""
        self._dispatch_ended(now, record, DispatchOutcome.NOT_SENT, OutcomeReason.NONE)

    def _guest_found(self, now: int, link: Link, item: m.InventoryItem) -> None:
        """A guest of this planner runs that it does not know: it is from before its start."""
        if item.product not in self.products:
            self.counts["found_unknown_product"] += 1
            return
        name = f"{item.guest}/{item.ask}"
        self.counts["found"] += 1
        record = GuestRecord(name, item.guest, item.ask, item.owner, self.products[item.product], item)
        record.dispatch_number, record.sent_at = item.attempt, now
        held = self.newest_records.get(item.guest)
        # Outstanding or placed elsewhere: one copy too many.
        if held and held.machine or name in self.records:
            abandoned = AbandonedDispatch(record, item.attempt, link.machine, now, recheck_at=now + 1_000_000)
            self._mark_changed("loose", item.guest, link.machine)
            self.abandoned.setdefault(item.guest, {})[link.machine] = abandoned
            self._late_acceptance(now, abandoned)
            return
        record.machine, record.sent, record.placed = link.machine, True, True
        if held:  # submitted again while its planner was away: the running guest is the answer
            self.scheduler.guest_abandoned(now, held.name)
            self._answer(
                now,
                held,
                m.Placed(guest=held.guest, ask=held.submission_number, machine=link.machine),
                held.unanswered_submissions,
            )
            del self.records[held.name]
            self._mark_changed("guest", held.name)
        self.records[name] = self.newest_records[item.guest] = record
        record.incarnation = link.incarnation
        self._attach(record)
        self._mark_changed("guest", name)
        self.scheduler.guest_discovered(now, link.machine, self._submission(record, 0))
        self._report_fact(now, record, "placed")


def load(report: m.Load | None) -> Load | None:
    """The scheduler's form of a load that a machine reported, if it did."""
    return None if report is None else Load(report.cores_free, report.memory_free, report.busy)
