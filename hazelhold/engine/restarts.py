"""Restarts of machines that the list shows: which guests are over, and which are of the new incarnation.

When the list shows a restart, the connection that is open may be to the new incarnation, or to the previous
one with its reset still to be read. Nothing that the planner has received by then distinguishes the two, and
clocks of different machines may differ. So guests sent on that connection wait for evidence from it: an
answer to a probe that was sent after the list showed the restart comes from the new incarnation, and a
connection that is reset instead, or stays silent, was to the previous one. A process that lives may lose a
connection, so where machines report use a guest behind a reset is released only if none comes in time.
"""

from hazelhold.engine.address_reuse import AddressReuse
from hazelhold.engine.machine_incarnations import (
    MAX_LIST_DELAY,
    PreviousIncarnation,
    previous_incarnation_ended,
)
from hazelhold.engine.machines import ConnectionEvidence, Link, ListedRestart
from hazelhold.engine.records import GuestRecord, Verification, VerificationCause
from hazelhold.protocol import messages as m

EVIDENCE_TIMEOUT = 4_000_000
"""Microseconds for which evidence is awaited after the list showed a restart, and for which a report on a
guest is awaited once the new incarnation can send one."""

MIN_EVIDENCE_TIME, MIN_REPORT_TIME = 500_000, 2_500_000
"""The same at least, however long ago the guests may have ended."""

LATEST_AFTER_END = 6_500_000
"""Microseconds after the earliest time at which a guest may have ended up to which it waits for longer than
that, of the 8 s within which it has to be released: the rest is for a pause."""

READ_TIME = 200_000
"""Microseconds in which a process that resumes after a pause reads what arrived meanwhile."""


class MachineRestarts(AddressReuse):
    """Releases guests of previous incarnations."""

    def _machine_restarted(self, now: int, link: Link, started: int) -> None:
        """The list shows a new incarnation of a machine: guests sent to the previous one are over."""
        for record in [self.records[name] for name in link.guests]:
            if record.handed_over_at and not record.confirmed_at:
                self._verify_handed_over(record)
        link.restart = self._listed_restart(now, link, started)
        if link.state != "up" or not link.guests:
            self._release_previous(now, link)
            self._restart_decided(link)
            return
        self.undated_restarts[link.machine] = None
        self._send_machine(link.machine, m.Probe(number=link.restart.probe_number))

    def _listed_restart(self, now: int, link: Link, started: int) -> ListedRestart:
        """What is known when the list shows a restart; a restart that was shown before and is not decided
        leaves no more time to this one."""
        self.probe_number += 1
        latest = max(link.opened_at, link.heard_at) + LATEST_AFTER_END
        decided_at = max(now + MIN_EVIDENCE_TIME, min(now + EVIDENCE_TIMEOUT, latest))
        if link.restart is not None and link.restart.opened_at == link.opened_at:
            decided_at = min(decided_at, link.restart.decided_at)
        confirmed_as_of = self.lease.confirmed_as_of
        earliest_end = 0 if confirmed_as_of is None else min(now, confirmed_as_of) - MAX_LIST_DELAY
        return ListedRestart(started, now, earliest_end, link.opened_at, self.probe_number, decided_at)

    def _restart_probe_answered(self, now: int, link: Link, number: int) -> None:
        """The machine answered a probe on the open connection."""
        if link.awaits_evidence and number == link.restart.probe_number:
            self._decide_restart(now, link, ConnectionEvidence.NEW_INCARNATION)

    def _answer_received(self, now: int, link: Link, record: GuestRecord) -> None:
        """The machine answered about a guest; if that was sent after the news, it is the new incarnation."""
        if link.awaits_evidence and record.sent_at > link.restart.listed_at:
            self._decide_restart(now, link, ConnectionEvidence.NEW_INCARNATION)

    def _connection_ended_undated(self, now: int, link: Link, reset: bool) -> None:
        """The machine ended a connection; if evidence is awaited from it, a reset is the death."""
        if link.restart is None or link.restart.connection_ended_at != now:
            return
        evidence = ConnectionEvidence.RESET if reset else ConnectionEvidence.NONE
        self._decide_restart(now, link, evidence)

    def _decide_undated_restarts(self, now: int) -> None:
        """A connection without evidence in time is to an incarnation that does not answer any more.

        One that this planner has closed meanwhile shows nothing.
        """
        for machine in self._undated_restarts():
            link = self.links[machine]
            if now < link.restart.decided_at:
                continue
            if now - self.resumed_at < READ_TIME:
                link.restart.decided_at = self.resumed_at + READ_TIME
            elif link.restart.connection_ended_at:
                self._decide_restart(now, link, ConnectionEvidence.NONE)
            else:
                link.restart.connection_ended_at = now
                self._decide_restart(now, link, ConnectionEvidence.SILENCE)
                self._drop_silent_link(now, link)

    def _undated_restarts(self) -> list[str]:
        """Machines whose connection awaits evidence; those that were forgotten meanwhile are left out."""
        for machine in list(self.undated_restarts):
            if machine not in self.links or self.links[machine].restart is None:
                del self.undated_restarts[machine]
        return list(self.undated_restarts)

    def _decide_restart(self, now: int, link: Link, evidence: ConnectionEvidence) -> None:
        """Decides on the guests that awaited evidence."""
        link.restart.evidence = evidence
        self._machine_event("restarted", link.machine, evidence.value)
        self._release_previous(now, link)
        self._restart_decided(link)

    def _restart_decided(self, link: Link) -> None:
        link.restart = None
        self.undated_restarts.pop(link.machine, None)

    def _release_previous(self, now: int, link: Link) -> None:
        """Releases guests of the previous incarnation, as far as its end is known."""
        restart = link.restart
        dated = previous_incarnation_ended(restart.listed_at, link, restart.started)
        over_before = max(dated.ended_at, self._latest_sure_end(link))
        for record in [self.records[name] for name in link.guests]:
            if not record.sent or self._is_of_new_incarnation(link, record):
                continue
            if self._outlived_reset(record, dated):
                self._verify_restarted(now, link, record)
            elif record.sent_at < over_before:
                if self._is_in_doubt(link, record, dated):
                    self._verify_restarted(now, link, record)
                else:
                    self._guest_gone(now, record, "lost")
            elif record.sent_at < dated.reset_at:
                self._verify_after_reset(dated.reset_at, record, VerificationCause.RESTARTED)
            elif not self._is_sent_to_new_incarnation(link, record):
                self._verify_restarted(now, link, record)

    def _latest_sure_end(self, link: Link) -> int:
        """A time before which nothing was sent to the new incarnation, however late the list is.

        Of the open connection only its evidence shows that.
        """
        earliest_end = link.restart.earliest_end
        return min(earliest_end, link.opened_at) if link.state == "up" else earliest_end

    def _reaches_new_incarnation(self, link: Link) -> bool:
        """Whether the open connection is known to be to the new incarnation."""
        restart = link.restart
        is_new = restart.evidence is ConnectionEvidence.NEW_INCARNATION or link.opened_at > restart.listed_at
        return is_new and link.state == "up"

    def _is_sent_to_new_incarnation(self, link: Link, record: GuestRecord) -> bool:
        """Whether the guest was sent on a connection that is known to be to the new incarnation.

        That it was sent after the start by the list's clock proves nothing.
        """
        return self._reaches_new_incarnation(link) and record.sent_at >= link.opened_at

    def _is_of_new_incarnation(self, link: Link, record: GuestRecord) -> bool:
        """Whether the new incarnation has reported on a guest that was sent on an earlier connection, or on
        one sent no later."""
        if not self._reaches_new_incarnation(link) or record.sent_at >= link.opened_at:
            return False
        return record.confirmed_at >= link.opened_at or link.has_what_was_sent_at(record.sent_at)

    def _outlived_reset(self, record: GuestRecord, dated: PreviousIncarnation) -> bool:
        """Whether the machine has reported on the guest after the reset that dates the end: that reset was
        not the guest's end, and may not have been the previous incarnation's."""
        return 0 < dated.reset_at < record.confirmed_at and dated.ended_at <= dated.reset_at

    def _is_in_doubt(self, link: Link, record: GuestRecord, dated: PreviousIncarnation) -> bool:
        """Whether the guest may stand although it was sent before the end, and its machine can report on it.

        That is so where the clock alone dates the end, where the guest was sent after the start by the clock,
        and where a reset took the place of evidence: a process that lives may lose a connection.
        """
        if not self.peers.reports_use or record.sent_at < link.restart.earliest_end:
            return False
        evidence = link.restart.evidence
        if evidence in (ConnectionEvidence.RESET, ConnectionEvidence.SILENCE):
            return evidence is ConnectionEvidence.RESET
        return dated.reset_at < dated.ended_at or link.restart.started <= record.sent_at

    def _verify_restarted(self, now: int, link: Link, record: GuestRecord) -> None:
        """The guest is over unless its machine reports on it in time. It needs a connection for that."""
        if not self.peers.reports_use:
            return
        if link.state == "down":
            self._probe_or_dial(now, link)
        since = link.opened_at if self._reaches_new_incarnation(link) else link.restart.listed_at
        not_over_at = self._not_over_at(link, record)
        latest = not_over_at + LATEST_AFTER_END
        stands_by_clock = link.restart.started <= record.sent_at
        preferred = latest if stands_by_clock else min(since + EVIDENCE_TIMEOUT, latest)
        decided_at = max(since + MIN_REPORT_TIME, preferred)
        cause = VerificationCause.RESTARTED
        self._verify(record, Verification(cause, since, decided_at, link.restart.listed_at, not_over_at))
