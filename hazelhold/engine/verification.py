"""Verification of guests that count as placed and may have ended, which only their machine knows.

A guest may have ended before its owner handed it over, or its machine's process may have died and restarted
before the list shows it. No message queries a machine for one guest. But where machines report what guests
use, they report on each running guest now and then, and on all of them when a planner has started. So a guest
on which its machine reports nothing, while it sends other messages, may be over. That is acted on only where
the guest may have reached another process than the one that answers there now: everywhere else its end was or
will be reported.
"""

from hazelhold.engine.machines import Link
from hazelhold.engine.process_checks import LIST_DELAY, ProcessChecks
from hazelhold.engine.records import GuestRecord, Verification, VerificationCause
from hazelhold.protocol import messages as m

CONFIRMATION_TIMEOUT = 2_500_000
"""Microseconds for which a message about a guest is awaited that was handed over, where machines do not
report what guests use, or that was sent to an address which another machine has now."""

HANDOVER_TIMEOUT = 1_500_000
"""Microseconds for which a machine's report on a guest is awaited after its handover, and after the machine's
first message to this process. A process of the planner that died before may have used RESET_TIMEOUT of the
8 s within which an end has to be reported; what is left is for the start of this one."""

RESET_TIMEOUT = 4_500_000
"""Microseconds for which a machine's report on a guest is awaited after a reset."""

DECISION_INTERVAL = 100_000
"""Microseconds between two passes over all verifications at least."""

PROBE_LEAD = 1_000_000
"""Microseconds before a decision at which a machine that has sent nothing at all is probed."""

RECENT_RESTART = 8_000_000
"""Microseconds before a handover: what ended earlier could no longer be reported in time."""

LATEST_AFTER_EVENT = 7_000_000
"""Microseconds after the event behind a verification up to which a pause postpones the decision."""

LATEST_AFTER_HANDOVER = 4_000_000
"""The same after a handover, before which the guest may have ended."""

MAX_RECENTLY_REPORTED = 4096  # guests that machines reported on while they were not held


class GuestVerification(ProcessChecks):
    """Verifies placed guests, and ends those that their machine does not confirm."""

    def _verify_handed_over(self, record: GuestRecord) -> None:
        """Its owner reports it as placed, and may not know of its end."""
        at = record.handed_over_at
        timeout = HANDOVER_TIMEOUT if self.peers.reports_use else CONFIRMATION_TIMEOUT
        self._set_verification(
            record, Verification(VerificationCause.HANDED_OVER, at, at + timeout, at + LIST_DELAY, at)
        )

    def _verify_address_reuse(self, now: int, record: GuestRecord) -> None:
        """It counts as placed on the machine that has the address now, and its connection has ended."""
        if self.peers.reports_use:
            decided_at = now + CONFIRMATION_TIMEOUT
            self._verify(record, Verification(VerificationCause.ADDRESS_REUSED, now, decided_at, now, now))

    def _verify_after_reset(self, reset_at: int, record: GuestRecord, cause: VerificationCause) -> None:
        """Its machine ended a connection after it was sent, as a process that dies does."""
        if self.peers.reports_use:
            decided_at = reset_at + RESET_TIMEOUT
            listed_at = reset_at + LIST_DELAY
            self._verify(record, Verification(cause, reset_at, decided_at, listed_at, reset_at))

    def _verify(self, record: GuestRecord, verification: Verification) -> None:
        """Starts a verification. One that is under way and unsettled may be about an earlier end of the
        guest, so its decision is not put off."""
        link = self.links.get(record.machine)
        if link is not None and self._is_unsettled(link, record):
            current = self.verifications[record.name]
            decided_at = min(current.decided_at, verification.decided_at)
            not_over_at = min(current.not_over_at, verification.not_over_at)
            verification = verification._replace(decided_at=decided_at, not_over_at=not_over_at)
        self._set_verification(record, verification)

    def _set_verification(self, record: GuestRecord, verification: Verification) -> None:
        self.verifications[record.name] = verification
        first_at = verification.decided_at - PROBE_LEAD
        self.verify_at = min(self.verify_at or first_at, first_at)

    def _verify_all_on(self, now: int, link: Link) -> None:
        """A connection was reset: a process that dies resets its connections and ends its guests.

        A process that lives may have lost only that connection. The list shows which it was, unless the list
        service is silent.
        """
        if not self.deployment.list_lease:
            return
        reset_at = now + 1
        for record in [self.records[name] for name in link.guests]:
            if not record.placed:
                continue
            if self._is_unsettled(link, record):
                current = self.verifications[record.name]
                listed_at = max(current.listed_at, reset_at + LIST_DELAY)
                self.verifications[record.name] = current._replace(listed_at=listed_at)
            else:
                self._verify_after_reset(reset_at, record, VerificationCause.RESET)

    def _is_confirmed(self, link: Link, record: GuestRecord, verification: Verification) -> bool:
        """Whether the machine has reported on the guest, or on another one that shows the same.

        A process reports only on guests that it has. So one that reports on a guest sent before a reset did
        not die then, and has all that were placed there. And after a restart, one that reports on a guest
        that was sent no later than this one was there when this one was sent.
        """
        if record.confirmed_at >= verification.since:
            return True
        if verification.cause is VerificationCause.RESTARTED and link.has_what_was_sent_at(record.sent_at):
            return True
        return verification.cause is VerificationCause.RESET and link.outlived(verification.since - 1)

    def _is_unsettled(self, link: Link, record: GuestRecord) -> bool:
        """Whether a verification is under way that neither the machine nor the list has settled.

        Settled ones are removed only when they are decided, and say nothing of what happens until then.
        """
        current = self.verifications.get(record.name)
        return (
            current is not None
            and not self._is_confirmed(link, record, current)
            and self._may_be_over(link, record, current)
        )

    def _unknown_guest_reported(self, now: int, machine: str, guest: str) -> None:
        """A machine has reported on a guest that is not held, and that may be handed over next."""
        self.recently_reported[guest] = machine, now
        self.recently_reported.move_to_end(guest)
        if len(self.recently_reported) > MAX_RECENTLY_REPORTED:
            self.recently_reported.popitem(last=False)

    def _reported_before_handover(self, machine: str, guest: str) -> int:
        """When the process that runs on a machine reported on a guest before its handover; 0: it did not.

        A process that has died since then has reset its connections.
        """
        reporter, reported_at = self.recently_reported.pop(guest, ("", 0))
        link = self.links.get(machine)
        is_of_this_process = link is not None and reported_at > link.reset_at
        return reported_at if reporter == machine and is_of_this_process else 0

    def _decide_verifications(self, now: int) -> None:
        """Ends guests on which their machine reports nothing.

        They are stopped at the machine too: one that is still there must not run on without an owner.
        """
        next_at = []
        for name, verification in list(self.verifications.items()):
            record = self.records.get(name)
            link = self.links.get(record.machine) if record else None
            if link is None or self._is_confirmed(link, record, verification):
                del self.verifications[name]
                continue
            decided_at = self._decision_due(link, verification)
            if now < decided_at - PROBE_LEAD:
                next_at.append(decided_at - PROBE_LEAD)
                continue
            next_at.append(decided_at)
            may_be_over = self._may_be_over(link, record, verification)
            if may_be_over and link.heard_at <= verification.since:
                self._probe_for_report(now, link, verification.since)
            elif now >= decided_at:
                del self.verifications[name]
                if may_be_over:
                    self._end_guest(now, record)
        self.verify_at = max(min(next_at), now + DECISION_INTERVAL) if self.verifications else 0

    def _decision_due(self, link: Link, verification: Verification) -> int:
        """When a verification is decided.

        A machine reports on all guests once it speaks to a planner that has started, so one that was silent
        at first gets its time from then on, within limits.
        """
        if verification.cause is not VerificationCause.HANDED_OVER or not self.peers.reports_use:
            return verification.decided_at
        reported_by = min(link.first_heard_at + HANDOVER_TIMEOUT, verification.since + LATEST_AFTER_HANDOVER)
        return max(verification.decided_at, reported_by)

    def _postpone_verifications(self, now: int, duration: int, earliest: int) -> None:
        """Postpones the decision on all present verifications by so many microseconds, for a pause.

        None is decided before `earliest`, so that what arrived meanwhile is read first. Otherwise the 8 s
        within which an end has to be reported go on during a pause.
        """
        for name, verification in self.verifications.items():
            delay = min(duration, now - verification.since)
            handed_over = verification.cause is VerificationCause.HANDED_OVER
            latest = verification.not_over_at + (LATEST_AFTER_HANDOVER if handed_over else LATEST_AFTER_EVENT)
            postponed = min(verification.decided_at + delay, latest)
            decided_at = max(verification.decided_at, postponed, earliest)
            self.verifications[name] = verification._replace(decided_at=decided_at)

    def _probe_for_report(self, now: int, link: Link, since: int) -> None:
        """Makes a machine send a message: without one, its silence about a guest shows nothing."""
        if link.state != "up":
            self._probe_or_dial(now, link)
        elif link.probed_at <= since:
            link.probed_at = now
            self._probe_or_dial(now, link)

    def _end_guest(self, now: int, record: GuestRecord) -> None:
        self.counts["found_unvouched"] += 1
        self._guest_event("unvouched", record)
        self._send_about_guest(
            now,
            record.machine,
            m.Stop(guest=record.guest, ask=record.submission_number, attempt=record.dispatch_number),
        )
        self._guest_gone(now, record, "lost")

    def _not_over_at(self, link: Link, record: GuestRecord) -> int:
        """The earliest time at which a guest may have ended, if it is over: the process that it was sent to
        has sent something until then."""
        return max(record.sent_at, record.confirmed_at, link.last_heard_on_connection(record.sent_at))

    def _may_be_over(self, link: Link, record: GuestRecord, verification: Verification) -> bool:
        """Whether the process that answers for a machine may be another than the one that the guest reached.

        It may have the address of a machine that went, or be the same machine's process after a restart.

        Where machines do not report what guests use, their silence shows nothing. Then only a machine that
        has just started counts, by its age: ending all placed guests while the list is out would cost owners
        more than the few guests that may be over.
        """
        if verification.cause in (VerificationCause.RESTARTED, VerificationCause.ADDRESS_REUSED):
            return True
        listed = self.roster.machines.get(link.machine)
        restarted = listed is not None and listed.incarnation > 0
        if not self.peers.reports_use:
            return restarted and record.handed_over_at - listed.started < RECENT_RESTART
        unconfirmed = bool(self.deployment.list_lease) and not self._list_confirmed_since(
            verification.listed_at
        )
        return unconfirmed or restarted and verification.cause is VerificationCause.HANDED_OVER
