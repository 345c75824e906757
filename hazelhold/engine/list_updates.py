"""Updates of the machine list: which machines exist, which accept guests, whether the list is current."""

from collections.abc import Callable

from hazelhold.engine.events import ListEvent
from hazelhold.engine.list_lease import Lapse
from hazelhold.engine.machines import RosterChanges
from hazelhold.engine.records import AskList, Disconnect, FetchList, HangUp
from hazelhold.engine.restarts import MachineRestarts
from hazelhold.interface import DispatchOutcome, ListedMachine
from hazelhold.protocol import messages as m


class ListUpdates(MachineRestarts):
    """The part of an engine that deals with the list service."""

    _resolve_handovers: Callable[..., None]  # defined by Owners

    def list_greeted(self, now: int, welcome: m.Welcome) -> None:
        """A new connection to the list service is up.

        A service of a version that confirms nothing is believed as it reports: nothing else is known of its
        list. What changed is requested at once, since the list cannot be confirmed before that is received.
        """
        self.list_questions.connected(welcome.confirms)
        if welcome.confirms:
            self.lease.require(self.list_lease)
            self.actions.append(FetchList(self.list_version))
        else:
            self.lease.waive()
            self.counts["list_without_lease"] += 1
        self._report_lease(now)

    def list_said(self, now: int, message: m.Message) -> bool:
        """Handles a Listing, ListConfirmed or ListRefused of the list service.

        False if nothing but the end of the lease changes, so that the engine need not be pumped.
        """
        if isinstance(message, m.ListConfirmed):
            return self._list_answered(now, message.number)
        self._list_updated(now, message)
        return True

    def _list_answered(self, now: int, number: int) -> bool:
        """A question was answered; true if there is more to do than before."""
        had_room = self.list_questions.has_room()
        asked_at = self.list_questions.answered(now, number)
        return asked_at is not None and (self.list_confirmed(now, asked_at) or not had_room)

    def _list_updated(self, now: int, message: m.Message) -> None:
        self.list_due = 0
        if not isinstance(message, m.Listing):
            self.list_failed(now)
            return
        self.list_questions.begin(now)
        first, self.list_heard = not self.list_heard, True
        self.list_version = message.version
        changes = self.roster.update(now, message)
        if self.persistence is not None:
            self.persistence.listing_received(message)
        self.counts["list_entries"] += len(message.entries)
        self.counts["list_faults"] += len(changes.faults)
        self.scheduler.machines_listed(
            now, changes.listed + self._with_changed_address(changes), message.whole
        )
        if not first:  # the whole list at a start is one log line, written there
            self._log_changes(now, changes)
        for name in changes.draining:  # what was not sent yet must not go there any more
            if link := self.links.get(name):
                for record_name in list(link.queue):
                    self._not_sent(now, self.records[record_name], DispatchOutcome.NOT_SENT)
        for name in changes.moved:
            if name in self.links:
                self.actions.append(HangUp(name))
                self._link_lost(now, self.links[name])
        self._machines_displaced(changes.displaced)
        inherited = self._move_to_successors(now, changes)
        for name in changes.gone:
            self.unreported_machines.discard(name)
            if (link := self.links.get(name)) and (
                not link.state == "up"
                and not self._awaits_successor(link)
                or not self.peers.reports_inventory
                and not link.guests
            ):
                if link.state == "up":
                    self.actions.append(HangUp(name))
                    link.close(now)
                self._forget_machine(now, link)
        self._resolve_handovers(now, list_is_whole=False)
        if not self.peers.reports_inventory:
            for name in changes.added:
                if (link := self.links.get(name)) and link.machine not in inherited:
                    self._machine_restarted(now, link, self.roster.machines[name].started)
            return
        if first:
            self.unreported_machines = {f.name for f in self.roster.machines.values()}
        for name in changes.added:  # each is queried once for its guests of this planner
            self._dial(now, self.roster.machines[name])

    def _with_changed_address(self, changes: RosterChanges) -> list[ListedMachine]:
        """The entries of machines that lost their address to another one or have it again, and that this
        listing does not show itself."""
        shown = {entry.machine for entry in changes.listed}
        return [
            self.scheduler.machines[name].listed._replace(mode=self.roster.machines[name].mode)
            for name in (*changes.displaced, *changes.restored)
            if name not in shown and name in self.scheduler.machines
        ]

    def _log_changes(self, now: int, changes: RosterChanges) -> None:
        for name in changes.added:
            self._machine_event("listed", name)
        for name in changes.draining:
            reason = "gone" if name in changes.gone else "draining"
            link = self.links.get(name)
            # Beside when that was reported, this shows whether it broke the rule.
            if link is not None and link.offered_at:
                reason += f", last offer {(now - link.offered_at) // 1000} ms ago"
            self._machine_event("closed", name, reason)
        for name in changes.displaced:
            self._machine_event("displaced", name, "another machine has its address")

    # Whether the list is current.

    def list_confirmed(self, now: int, as_of: int) -> bool:
        """The list was current at `as_of`, since the service answered a call made then.

        True if that changes anything but the end of the lease.
        """
        changes = not self.list_taken or bool(self.waiting_handovers or self.unconfirmed_links)
        self.lease.confirm(as_of)
        if self.lease.holds(now):
            self._resolve_handovers(now, list_is_whole=True)
            self._confirm_connections(as_of)
        self._report_lease(now)
        return changes

    def _ask_list(self, now: int) -> None:
        """Asks for the next confirmation if one is due. A connection without answers is closed."""
        if self.list_questions.is_silent(now):
            self.list_questions.end()
            self.counts["list_silences"] += 1
            self.actions.append(Disconnect("list", "list", "list_silent", "it answers nothing"))
        elif number := self.list_questions.ask(now, self.lease.duration):
            self.actions.append(AskList(number))

    def list_unchanged(self, now: int) -> None:
        """The list service answered that nothing changed."""
        self.list_due = 0
        self.scheduler.list_unchanged(now)

    def list_call_failed(self, now: int) -> None:
        """A call to the list service failed, so it does not renew the lease."""
        self.lease.note(Lapse.FAILED)
        self.list_failed(now)

    def list_address_changed(self, now: int) -> None:
        """The list service has a new address, from which nothing was received yet."""
        self.lease.end(Lapse.MOVED)
        self._report_lease(now)

    def _report_lease(self, now: int) -> None:
        """Reports to the scheduler and the log if the list has become current or stopped being so.

        Where the service confirms only if asked, there is nothing to report before its first listing: until
        then the scheduler has no machine that accepts guests.
        """
        if not (self.list_heard or self.peers.list_confirms):
            return
        holds = self.lease.holds(now)
        if holds is self.list_taken:
            return
        self.list_taken = holds
        self.scheduler.list_currency_changed(now, holds)
        as_of, lapse = self.lease.confirmed_as_of, self.lease.lapse
        self.events.append(
            ListEvent(holds, lapse.value if lapse else "confirmed", -1 if as_of is None else now - as_of)
        )
        self.counts["list_lapses"] += not holds

    def list_failed(self, now: int) -> None:
        """The list service refused, did not answer in time, or its connection broke."""
        self.list_due = 0
        self.counts["list_failures"] += 1
        self.scheduler.list_failed(now)
