"""Process checks: whether a machine still runs the process that its handed-over guests were placed on.

Owners hand over guests after a planner's start. While the list is silent, another machine may have the
address by then, or another process may run on the machine: its guests are over, and nobody will report it.
Where machines do not report what guests use, their silence about a guest shows nothing. But a machine reports
the end of a guest whose owner is told to move it. So one guest is moved: the process that has it reports that
end and has the others too, and one that answers probes and reports nothing has none of them.

Safety does not rest on that answer, nor on the time for which it is awaited: a move releases a guest that is
over, and ends one that is not at its machine as well. A wrong decision costs owners restarts.
"""

from hazelhold.engine.link_loss import LinkLoss
from hazelhold.engine.machines import Link
from hazelhold.engine.records import GuestRecord, ProcessCheck, ProcessFinding
from hazelhold.interface import DispatchOutcome, Load
from hazelhold.process_check_policy import MovableGuest, guest_to_move, looks_empty, report_noise
from hazelhold.protocol import messages as m

REPORT_TIME = 2_400_000
"""Microseconds after a handover in which load reports are collected."""

ANSWER_TIMEOUT = 800_000
"""Microseconds for which a machine's report on the end of a moved guest is awaited. With REPORT_TIME it
leaves the longest stop and the start of a planner of the 8 s within which an end has to be reported."""

PROBE_INTERVAL = 500_000
"""Microseconds between two probes of a machine whose reports are collected. Each probe has a price."""

LIST_DELAY = 1_000_000
"""Microseconds within which a current list shows that a machine's process has died."""

GUEST_REPORTS = (m.Started, m.ResourceUse, m.ServiceLevel)  # what only the process that has a guest sends


class ProcessChecks(LinkLoss):
    """Checks the processes of machines on which guests were handed over while the list is silent."""

    def _check_process(self, now: int, machine: str) -> None:
        """A guest was handed over on a machine. Each machine is checked once for each silence of the list."""
        peers = self.peers
        can_ask = peers.reports_moves and peers.reports_load and self.deployment.probing
        if peers.reports_use or not can_ask or not self.deployment.list_lease:
            return
        check = self.process_checks.get(machine)
        if check is None or self._list_confirmed_since(check.since + LIST_DELAY):
            self.process_checks[machine] = ProcessCheck(since=now, due_at=now)
            self.process_checks_at = now

    def _list_confirmed_since(self, at: int) -> bool:
        as_of = self.lease.confirmed_as_of
        return as_of is not None and as_of >= at

    # What machines send.

    def _probe_reported(self, now: int, link: Link, number: int, load: Load | None) -> None:
        """A machine answered a probe."""
        check = self.process_checks.get(link.machine)
        if check is None or check.finding is not None:
            return
        self._start_on_new_connection(now, link, check)
        if check.moved_guest:
            check.answered = check.answered or number == check.probe_number
            return
        check.answered = True
        if load is not None and check.reports[-1:] != [load]:  # the same one may be sent several times
            check.reports.append(load)

    def _process_reported(self, machine: str, message: m.DispatchMessage) -> None:
        """A machine sent a message about a guest, which may show that it runs the process that had it.

        Notes are sent by the process that has the guest alone. Of ends only that of a move is: others may be
        reported by the next process of the machine too.
        """
        check = self.process_checks.get(machine)
        if check is None or check.finding is not None:
            return
        if message.guest != check.moved_guest:
            record = self.newest_records.get(message.guest)
            handed_over = record is not None and record.machine == machine and record.handed_over_at
            if handed_over and isinstance(message, GUEST_REPORTS):
                self._process_found(machine, check, ProcessFinding.SAME)
        elif isinstance(message, GUEST_REPORTS) or isinstance(message, m.Ended) and message.how == "stopped":
            self._process_found(machine, check, ProcessFinding.SAME)
        elif isinstance(message, m.Ended):  # it had ended before its move, which shows nothing: ask again
            check.moved_guest, check.due_at, self.process_checks_at = "", 0, self.pumped_at

    def move_undelivered(self, guest: str) -> None:
        """No owner could be told of a move yet, so its machine's silence shows nothing."""
        for machine, check in self.process_checks.items():
            if check.moved_guest == guest and check.finding is None:
                self._process_found(machine, check, ProcessFinding.NO_OWNER)

    # Decisions.

    def _decide_process_checks(self, now: int) -> None:
        """Takes the next step of each check that is due; the list's confirmation ends them all."""
        due = []
        for machine, check in list(self.process_checks.items()):
            link = self.links.get(machine)
            if link is None or self._list_confirmed_since(check.since + LIST_DELAY):
                del self.process_checks[machine]
                continue
            if check.finding is None and check.due_at <= now:
                self._start_on_new_connection(now, link, check)
                check.due_at = self._next_step(now, link, check)
            due.append(check.due_at if check.finding is None else now + LIST_DELAY)
        self.process_checks_at = min(due, default=0)

    def _start_on_new_connection(self, now: int, link: Link, check: ProcessCheck) -> None:
        """Discards what was received on an earlier connection: another process may answer on this one."""
        if link.state == "up" and link.opened_at != check.connected_at:
            check.connected_at = check.awaited_since = link.opened_at
            check.answered, check.probe_number = False, 0
            check.reports.clear()

    def _next_step(self, now: int, link: Link, check: ProcessCheck) -> int:
        """Takes the next step of a check; returns when the one after it is due."""
        if check.moved_guest:
            return self._await_report_of_move(now, link, check)
        collected_at = check.since + REPORT_TIME
        if now >= collected_at and check.answered:
            return self._decide_move(now, link, check)
        if not self.lease.holds(now):
            check.probe_number = self._probe_or_dial(now, link)
        next_at = now + PROBE_INTERVAL
        return next_at if now >= collected_at else min(next_at, collected_at)

    def _decide_move(self, now: int, link: Link, check: ProcessCheck) -> int:
        """Moves a guest if the machine may have none."""
        guests = self._handed_over(link, check.moved_at or now)
        if not guests:
            self._process_found(link.machine, check, ProcessFinding.NO_GUESTS)
        elif not check.reports:
            self._process_found(link.machine, check, ProcessFinding.NO_REPORTS)
        elif not looks_empty(check.reports, self.deployment.machine_kinds, self._report_noise()):
            self._process_found(link.machine, check, ProcessFinding.IN_USE)
        else:
            self._move_to_check(now, link, check, guests)
        return now

    def _report_noise(self) -> float:
        return report_noise(check.reports for check in self.process_checks.values())

    def _handed_over(self, link: Link, until: int) -> list[GuestRecord]:
        """The guests on a machine that were handed over by this time."""
        records = [self.records[name] for name in link.guests]
        return [each for each in records if each.placed and 0 < each.handed_over_at <= until]

    def _move_to_check(self, now: int, link: Link, check: ProcessCheck, guests: list[GuestRecord]) -> None:
        """Moves one guest, and probes the machine so that its silence counts only if it sends messages."""
        movable = [
            MovableGuest(
                each.name,
                self.deployment.guest_classes[each.product],
                each.submit.cores,
                each.submit.memory,
            )
            for each in guests
        ]
        record = self.records[guest_to_move(movable, self.deployment.machine_kinds)]
        check.moved_guest, check.moved_at, check.awaited_since = record.guest, now, now
        check.answered = False
        self.counts["process_checks_moved"] += 1
        self._move_guest_away(now, record)
        check.probe_number = self._probe_or_dial(now, link)

    def _await_report_of_move(self, now: int, link: Link, check: ProcessCheck) -> int:
        """Moves the other guests too if the machine answers probes and does not report the moved one's end.

        A machine that answers no probe may only be slow, or be cut off.
        """
        decided_at = check.awaited_since + ANSWER_TIMEOUT
        if link.state == "up" and check.answered:
            if now < decided_at:
                return decided_at
            self._process_found(link.machine, check, ProcessFinding.OTHER)
            for record in self._handed_over(link, check.moved_at):
                self._move_guest_away(now, record)
            return now
        if link.state != "up" or not check.probe_number:
            check.probe_number = self._probe_or_dial(now, link)
        return now + PROBE_INTERVAL

    def _move_guest_away(self, now: int, record: GuestRecord) -> None:
        """Tells its owner to submit the guest again; it ends at its machine if it still runs."""
        self._guest_gone(now, record, "moved", DispatchOutcome.WITHDRAWN)

    def _process_found(self, machine: str, check: ProcessCheck, finding: ProcessFinding) -> None:
        check.finding = finding
        self.counts["process_checks_" + finding.name.lower()] += 1
        self._machine_event("process_checked", machine, finding.value)

    def _postpone_process_checks(self, earliest: int) -> None:
        """This process was paused: nothing is decided before what arrived meanwhile is read."""
        for check in self.process_checks.values():
            check.due_at = max(check.due_at, earliest)
            check.awaited_since = max(check.awaited_since, earliest - ANSWER_TIMEOUT)
