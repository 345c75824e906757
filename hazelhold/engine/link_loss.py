"""Consequences of losing a connection to a machine, or the machine itself, for the guests there."""

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.dispatches import Dispatches
from hazelhold.engine.machines import ConnectionEnd, Link
from hazelhold.engine.records import HangUp
from hazelhold.interface import DispatchOutcome, OutcomeReason


class LinkLoss(Dispatches):
    """Handles lost connections and lost machines."""

    def _link_lost(self, now: int, link: Link, end: ConnectionEnd = ConnectionEnd.CLOSED) -> None:
        self.counts["links_lost"] += link.state == "up"
        link.close(now, end)
        self.active_links[link.machine] = None
        self._drop_queue(now, link)
        self._probe_over(now, link.machine, False)
        # An outstanding dispatch ends with its connection, a placed guest does not.
        if not self.peers.reports_inventory:
            for name in list(link.guests):
                record = self.records[name]
                if record.sent and not record.placed:
                    self._dispatch_ended(now, record, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE)
        if (
            not self.peers.reports_inventory
            and link.machine not in self.roster.machines
            and not self._awaits_successor(link)
        ):
            self._forget_machine(now, link)  # it has left the list, and now its connection has ended
            return
        keep = now + to_microseconds(self.limits.keep_answers_ms)
        link.pending_messages += [(keep, message) for until, message in link.recent_messages if until > now]
        link.recent_messages.clear()
        if link.guests or any(link.machine in by for by in self.abandoned.values()):
            link.lost_at = link.lost_at or now
            link.dial_at = now
        else:
            link.lost_at = 0
            link.dial_at = now if link.pending_messages else link.dial_at

    def _forget_machine(self, now: int, link: Link) -> None:
        """The machine did not return in time: its dispatches go to the scheduler as possibly run."""
        self.process_checks.pop(link.machine, None)
        link.lost_at = link.dial_at = link.unanswered = link.heard_at = 0
        link.pending_messages.clear()
        link.incarnation = link.incarnation if link.state == "up" else 0
        for name in list(link.guests):
            record = self.records[name]
            # It may run on behind a partition: its machine is queried later.
            if record.placed and self.peers.reports_inventory:
                self._abandon_dispatch(now, record)
            self._guest_gone(now, record, "lost")
        if link.machine not in self.roster.machines:
            for guest in [g for g, by in self.abandoned.items() if link.machine in by]:
                self._forget_abandoned(guest, link.machine)
            del self.links[link.machine]
            if self.orphaned_links.get(link.address) == link.machine:
                del self.orphaned_links[link.address]

    def _drop_queue(self, now: int, link: Link) -> None:
        for name in list(link.queue):
            self._not_sent(now, self.records[name], DispatchOutcome.UNREACHABLE)

    def _awaits_successor(self, link: Link) -> bool:
        """Whether a guest there may be on another machine, which the list will show with this address."""
        return any(self.records[name].sent_unconfirmed for name in link.guests)

    def _probe_or_dial(self, now: int, link: Link) -> int:
        """Makes a machine send a message, on a new connection if none is open; returns the probe's number, 0
        if none was sent."""
        if link.state == "up":
            return self._send_new_probe(link.machine)
        if link.state == "down" and not link.lost_at:  # dialled until it answers or counts as lost
            link.lost_at = link.dial_at = now
            self.active_links[link.machine] = None
        return 0

    def _drop_silent_link(self, now: int, link: Link) -> None:
        if link.awaits_evidence:  # only an answer on this connection is evidence
            return
        self.counts["links_silent"] += 1
        self.actions.append(HangUp(link.machine))
        self._link_lost(now, link)
