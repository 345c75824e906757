"""Liveness checks: machines that are silent are probed, and then taken for lost."""

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.address_reuse import AddressReuse
from hazelhold.engine.machines import Link
from hazelhold.engine.records import AbandonedDispatch, HangUp
from hazelhold.protocol import messages as m

GONE_TIMEOUT = 1_000_000
"""Microseconds after a machine left the list at which its guests are lost."""

SUCCESSOR_TIMEOUT = 4_000_000
"""The same where the connection may be to a machine with the same address that the list does not show yet."""

MAX_PUMP_INTERVAL = 1_000_000
"""Microseconds between two pumps at most, unless the process was paused."""

OPEN_DISPATCH_TIMEOUT = 6_500_000
"""Microseconds without a message after which an open dispatch no longer keeps a silent connection open. With
the time for a new connection this is less than the 8 s within which the ends of placed guests are owed."""

CATCH_UP_TIME = 1_000_000
"""Microseconds in which a process that resumes reads what arrived meanwhile, and dials again."""


class LivenessChecks(AddressReuse):
    """Probes, and machines that are silent."""

    def _exclude_pause(self, now: int) -> None:
        """Excludes the time for which this process was paused from all waiting times.

        It read neither the list nor machines then, and nothing is taken for lost before what arrived
        meanwhile is read.
        """
        stopped = now - self.pumped_at - MAX_PUMP_INTERVAL
        self.pumped_at = now
        if stopped > 0:
            self.list_questions.exclude_pause(now)
        if stopped <= 0 or self.peers.reports_inventory:
            return
        self.resumed_at = now
        self.counts["stops_left_out"] += 1
        self._postpone_verifications(now, stopped, now + CATCH_UP_TIME)
        self._postpone_process_checks(now + CATCH_UP_TIME)
        for link in self.links.values():
            link.exclude_pause(now, stopped)

    def _send_probe(self, machine: str) -> None:
        """Sends a probe that waited for its connection."""
        self._send_machine(machine, m.Probe(number=self.probes[machine].number))

    def _probe_answered(self, now: int, link: Link, well: bool) -> None:
        """A machine answered a probe.

        One that fails it accepts no guests, whatever the list shows; one that passes may still be draining.
        """
        if well is not link.passes_probes:
            self._machine_event("test_passed" if well else "test_failed", link.machine)
        link.passes_probes = well
        if not well and self.deployment.list_lease:
            self.scheduler.machine_refuses(now, link.machine)

    def _probe_unanswered(self, now: int, machine: str, since: int) -> None:
        """A probe was not answered.

        Where no inventory request reveals a dead connection, two in a row with no message between them count
        as one: the connection is closed and opened again.
        """
        link = self.links.get(machine)
        if self.peers.reports_inventory or link is None or link.state != "up" or link.heard_at >= since:
            return
        link.unanswered += 1
        if link.unanswered >= 2:
            self._drop_silent_link(now, link)

    def _check_silence(self, now: int, link: Link) -> None:
        """Probes a machine that has been silent for a while, first on its connection, then on a new one.

        Placed guests outlive connections, so silence has to be checked, and the scheduler probes no machine
        that accepts no guests. A machine that stays silent, or left the list a second ago, has lost its
        guests.
        """
        if not link.guests:
            link.without_guests_at = now
        if not link.guests or now - self.resumed_at < CATCH_UP_TIME:
            return
        self._release_displaced(now, link)
        listed = link.machine in self.roster.machines
        link.gone_at = 0 if listed else link.gone_at or now
        if not listed:
            if now - link.gone_at < (SUCCESSOR_TIMEOUT if self._awaits_successor(link) else GONE_TIMEOUT):
                return
        elif not link.lost_at or now - link.silent_since() < to_microseconds(self.limits.lost_ms):
            self._question_silence(now, link)
            return
        if link.state != "down":
            self.actions.append(HangUp(link.machine))
            link.close(now)
        self._drop_queue(now, link)
        self._forget_machine(now, link)

    def _question_silence(self, now: int, link: Link) -> None:
        """Makes a machine that has been silent for too long send something, if it is there."""
        silent = to_microseconds(self.limits.silent_ms)
        if link.state == "down" and not link.lost_at and now - link.heard_at > silent:
            link.lost_at = link.dial_at = now
            self.active_links[link.machine] = None
        if link.state != "up" or now - self._silent_on_connection_since(link) <= silent:
            return
        if link.probed_at <= max(link.heard_at, link.opened_at):
            link.probed_at = now
            self._send_new_probe(link.machine)
        elif now - link.probed_at > to_microseconds(self.limits.probe_ms):
            if not self._awaits_answer(now, link):
                self._drop_silent_link(now, link)

    def _silent_on_connection_since(self, link: Link) -> int:
        """Since when a machine that is connected has owed a sign of life.

        Where it has placed guests, that is its last message: those may be over since then, whatever was sent
        or opened later. A new connection that shows whether it is lost gets its own time, and so does one
        with open dispatches alone, which have a timeout of their own.
        """
        has_placed = any(self.records[name].placed for name in link.guests)
        if link.lost_at or not has_placed:
            return max(link.heard_at, link.opened_at)
        return link.silent_since()

    def _awaits_answer(self, now: int, link: Link) -> bool:
        """Whether the connection is kept for an open dispatch: a slow machine may still answer it."""
        if all(self.records[name].placed for name in link.guests):
            return False
        has_placed = any(self.records[name].placed for name in link.guests)
        return not has_placed or now - link.silent_since() < OPEN_DISPATCH_TIMEOUT

    def _recheck_abandoned(self, now: int, abandoned: AbandonedDispatch) -> None:
        """Queries again what became of an abandoned dispatch, ten times in each keeping time.

        After ten keeping times it is forgotten: its machine is out of reach for good, or has lost its state.
        """
        keep = to_microseconds(self.limits.keep_answers_ms)
        if now - abandoned.sent_at > 10 * keep:
            self.counts["loose_forgotten"] += 1
            self._forget_abandoned(abandoned.record.guest, abandoned.machine)
            return
        abandoned.recheck_at = now + max(1_000_000, keep // 10)
        link = self.links.get(abandoned.machine)
        if link and link.state == "up" and link.inventory_known:
            if abandoned.accepted:
                self._settle_copies(now, abandoned.record.guest)
            else:
                self._send_machine(
                    abandoned.machine,
                    m.Withdraw(
                        guest=abandoned.record.guest,
                        ask=abandoned.record.submission_number,
                        attempt=abandoned.dispatch_number,
                    ),
                )
        elif listed := self.roster.machines.get(abandoned.machine):
            self._dial(now, listed)
        else:
            self._forget_abandoned(abandoned.record.guest, abandoned.machine)
