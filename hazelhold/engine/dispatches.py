"""Dispatches of guests, from the decision to their end: offers, timeouts, abandoned dispatches, answers."""

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.records import AbandonedDispatch, GuestRecord
from hazelhold.engine.tables import OutstandingProbe, Tables
from hazelhold.interface import DispatchOutcome, OutcomeReason
from hazelhold.protocol import messages as m
from hazelhold.scheduler import NEVER_RAN

# Microseconds: a message written so shortly before a connection ended may not have been read.
CROSSING_WINDOW = 1_000_000


class Dispatches(Tables):
    """Sends guests to machines and handles the ends of their dispatches."""

    def _dispatch(self, now: int, record: GuestRecord, machine: str, timeout: int) -> None:
        record.dispatch_number, record.machine, record.sent, record.withdrawn = (
            record.dispatch_number + 1,
            machine,
            False,
            False,
        )
        record.sent_at = now
        self._set_dispatch_timeout(now + timeout, record)
        self._attach(record)
        listed = self.roster.machines.get(machine)
        if listed is None:
            self._not_sent(now, record, DispatchOutcome.UNREACHABLE)
            return
        link = self._dial(now, listed)
        if link.state == "up" and link.inventory_known:
            self._offer(now, record)
        else:
            link.queue[record.name] = None

    def _offer(self, now: int, record: GuestRecord) -> None:
        link, submit = self.links[record.machine], record.submit
        if self._needs_claim(record) and not self.claims.may_dispatch(
            now,
            record.name,
            record.guest,
            record.submission_number,
            record.dispatch_number,
            record.machine,
            record.claim,
        ):
            link.queue[record.name] = None  # it is sent once its claim is agreed
            self._take_proposals()
            return
        if (
            abandoned := self.abandoned.get(record.guest, {}).get(record.machine)
        ) and abandoned.record.submission_number == record.submission_number:
            # The machine treats a new dispatch of it as the old one.
            self._forget_abandoned(record.guest, record.machine)
        link.queue.pop(record.name, None)
        link.used_at = now
        record.sent, record.sent_at, record.incarnation = True, now, link.incarnation
        record.sent_claim, record.sent_unconfirmed = record.claim, link.unconfirmed
        self._mark_changed("guest", record.name)
        host = self.scheduler.machines.get(record.machine)
        if host and now - host.cold_at < self.deployment.warmup_time:
            self._mark_changed("cold", record.machine)
        self.counts["dispatches"] += 1
        self._send_machine(
            record.machine,
            m.Offer(
                guest=record.guest,
                ask=record.submission_number,
                attempt=record.dispatch_number,
                product=submit.product,
                service=submit.service,
                cores=submit.cores,
                memory=submit.memory,
                customer=submit.customer,
                owner=record.owner,
                life=getattr(submit, "life", 0),
                key=getattr(submit, "key", ""),
                description=getattr(submit, "description", b""),
                ticket=getattr(submit, "ticket", ""),
            ),
        )

    def _not_sent(self, now: int, record: GuestRecord, ending: DispatchOutcome) -> None:
        """An offer was never sent, which proves that it did not run."""
        if link := self.links.get(record.machine):
            link.queue.pop(record.name, None)
        self._dispatch_ended(now, record, ending, OutcomeReason.NONE)

    def _dispatch_ended(
        self, now: int, record: GuestRecord, ending: DispatchOutcome, remark: OutcomeReason
    ) -> None:
        """The outstanding dispatch is over; the guest is held again, or answered by what follows."""
        self._detach(record)
        self.monitor.dispatch_ended(record.name, ending not in NEVER_RAN)
        self._guest_event("ended", record, f"{ending.label} {remark.label}")
        if ending not in NEVER_RAN:
            record.unsettled_machine, record.may_have_run_since = (
                record.machine,
                record.may_have_run_since or record.sent_at,
            )
        record.machine = ""
        self._mark_changed("guest", record.name)
        self.scheduler.dispatch_ended(now, record.name, ending, False, remark)
        self._settle_copies(now, record.guest)

    def _guest_gone(
        self,
        now: int,
        record: GuestRecord,
        how: str,
        ending: DispatchOutcome = DispatchOutcome.INTERRUPTED,
        remark: OutcomeReason = OutcomeReason.NONE,
    ) -> None:
        """A placed guest has ended, or the machine of an outstanding dispatch is lost."""
        if not record.placed:
            self._withdraw_dispatch(now, record)
            self._dispatch_ended(
                now, record, DispatchOutcome.INTERRUPTED if record.sent else DispatchOutcome.NOT_SENT, remark
            )
            return
        self.counts["ended_" + how[:20]] += 1
        self._guest_event("released", record, how)
        if how != "lost":  # one that cannot be reached may run on
            self._report_fact(now, record, "over", how)
        self._detach(record)
        self.scheduler.dispatch_ended(now, record.name, ending, True, remark)
        self._forget(record)
        if self.peers.owners_resubmit:
            self._record_end(now, record.guest, how)
        self._send_owner(
            record.owner,
            m.GuestEnded(guest=record.guest, ask=record.submission_number, how=how, machine=record.machine),
        )

    def _withdraw_dispatch(self, now: int, record: GuestRecord) -> None:
        """Withdraws a dispatch that is no longer awaited; its outcome is open until its machine reports."""
        if not record.sent:
            return
        self._guest_event("given_up", record)
        link = self.links.get(record.machine)
        if self.peers.reports_inventory:
            self._abandon_dispatch(now, record)
        if link and link.state == "up":
            self._send_machine(
                record.machine,
                m.Withdraw(guest=record.guest, ask=record.submission_number, attempt=record.dispatch_number),
            )

    def _abandon_dispatch(self, now: int, record: GuestRecord) -> None:
        self.abandoned.setdefault(record.guest, {})[record.machine] = AbandonedDispatch(
            record, record.dispatch_number, record.machine, record.sent_at, recheck_at=now + 1_000_000
        )
        self._mark_changed("loose", record.guest, record.machine)

    def _withdraw(self, now: int, name: str, machine: str) -> None:
        record = self.records.get(name)
        link = self.links.get(machine)
        up = link is not None and link.state == "up"
        if record and record.machine == machine:
            if not record.placed and not record.sent:
                self._not_sent(now, record, DispatchOutcome.NOT_SENT)
            elif up:
                kind = m.Stop if record.placed else m.Withdraw
                self._send_machine(
                    machine,
                    kind(guest=record.guest, ask=record.submission_number, attempt=record.dispatch_number),
                )
                record.withdrawn = True
            return
        guest = record.guest if record else name.rpartition("/")[0]
        if (abandoned := self.abandoned.get(guest, {}).get(machine)) and up:
            self._send_machine(
                machine,
                m.Stop(
                    guest=guest, ask=abandoned.record.submission_number, attempt=abandoned.dispatch_number
                ),
            )

    def _final_answer(self, now: int, record: GuestRecord, message: m.GuestRefused | m.GuestFailed) -> None:
        """Gives the final answer; a dispatch that is still outstanding is abandoned."""
        if (
            self.claims is not None
            and isinstance(message, m.GuestRefused)
            and not record.unsettled_machine
            and not (record.machine and record.sent)
            and not self.abandoned.get(record.guest)
        ):
            self._release(now, record.guest, record.claim)
        if record.machine:
            self._withdraw_dispatch(now, record)
            self._detach(record)
            self.scheduler.dispatch_ended(
                now, record.name, DispatchOutcome.TIMED_OUT, True, OutcomeReason.NONE
            )
            self.monitor.dispatch_ended(record.name, may_have_run=record.sent)
            record.machine = ""
        self._answer(now, record, message, record.unanswered_submissions)
        self._forget(record)

    def _answer(
        self, now: int, record: GuestRecord, message: m.Message, asks: list[int] | dict[int, None]
    ) -> None:
        """Answers each waiting submission, and keeps the answer for an owner that was disconnected."""
        self.counts["answers_" + message.__struct_config__.tag] += 1
        self._guest_event(
            "answered", record, f"{message.__struct_config__.tag} {getattr(message, 'reason', '')}"
        )
        if not self.peers.owners_resubmit:
            self._violated(
                self.monitor.answered(record.name, self.deployment.guest_classes[record.product].repeat),
                record,
            )
        keep = now + to_microseconds(self.limits.keep_answers_ms)
        for ask in list(asks):
            answer = type(message)(
                **{f: getattr(message, f) for f in message.__struct_fields__} | {"ask": ask}
            )
            if self.peers.owners_resubmit:
                self.answers[record.guest, ask] = answer, keep
                self.answers.move_to_end((record.guest, ask))
                self._mark_changed("answer", record.guest, ask)
            self._send_owner(record.owner, answer)
        record.unanswered_submissions = {}
        self._mark_changed("guest", record.name)

    def _late_acceptance(self, now: int, abandoned: AbandonedDispatch) -> None:
        """A machine accepted an abandoned dispatch: the scheduler decides whether it is kept or ended."""
        abandoned.accepted = True
        self._mark_changed("loose", abandoned.record.guest, abandoned.machine)
        self.counts["late_copies"] += 1
        self._settle_copies(now, abandoned.record.guest)

    def _settle_copies(self, now: int, guest: str) -> None:
        """Reports accepted copies of a guest, whose dispatch was abandoned, to the scheduler.

        A copy that it takes for the guest itself becomes the guest's placement; any other is withdrawn by a
        decision.
        """
        for abandoned in list(self.abandoned.get(guest, {}).values()):
            if not abandoned.accepted:
                continue
            held = self.newest_records.get(guest)
            record = held or abandoned.record
            self.scheduler.late_copy_accepted(now, abandoned.machine, self._submission(record, 0))
            mine = self.scheduler.guests.get(record.name)
            if held and held.machine or not (mine and mine.placed):
                continue
            self._forget_abandoned(guest, abandoned.machine)
            record.submission_number, record.machine, record.dispatch_number = (
                abandoned.record.submission_number,
                abandoned.machine,
                abandoned.dispatch_number,
            )
            record.sent, record.placed, record.sent_at = True, True, abandoned.sent_at
            self._report_fact(now, record, "placed")
            self.records[record.name] = self.newest_records[guest] = record
            self._attach(record)
            self._mark_changed("guest", record.name)
            if record.unanswered_submissions:
                self._answer(
                    now,
                    record,
                    m.Placed(guest=guest, ask=record.submission_number, machine=record.machine),
                    record.unanswered_submissions,
                )
            if record.cancelled:
                self.scheduler.guest_cancelled(now, record.name)

    def _send_about_guest(self, now: int, machine: str, message: m.Message) -> None:
        """Sends a message about a placed guest, on the next connection if none is open.

        It is sent once more if the connection ends so soon that the message may have crossed that end.
        """
        link = self.links.get(machine)
        if link is not None:
            self._close_if_idle(now, link)
        if link is None or link.state == "up":
            self._send_machine(machine, message)
            if link is not None and not self.peers.reports_inventory:
                link.recent_messages = [each for each in link.recent_messages if each[0] > now] + [
                    (now + CROSSING_WINDOW, message)
                ]
        elif listed := self.roster.machines.get(machine):
            link.pending_messages.append((now + to_microseconds(self.limits.keep_answers_ms), message))
            self._dial(now, listed)

    # Probes.

    def _probe(self, now: int, machine: str) -> None:
        if link := self.links.get(machine):
            self._close_if_idle(now, link)
        self.probe_number += 1
        self.counts["probes"] += 1
        self.probes[machine] = OutstandingProbe(
            self.probe_number, now + to_microseconds(self.limits.probe_ms)
        )
        listed = self.roster.machines.get(machine)
        if listed is None:
            self._probe_over(now, machine, False)
            return
        link = self._dial(now, listed)
        if link.state == "up" and link.inventory_known:
            link.used_at = now
            self._send_machine(machine, m.Probe(number=self.probe_number))

    def _probe_over(self, now: int, machine: str, well: bool) -> None:
        if self.probes.pop(machine, None):
            self.scheduler.probe_answered(now, machine, well)
