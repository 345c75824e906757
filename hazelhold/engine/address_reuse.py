"""Guests that were sent to an address which another machine had by then.

The address of a machine that has gone may pass to a new one. What is sent on a connection that was opened
after the list's last confirmation may reach the new machine; the list shows that later.
"""

from hazelhold.engine.machines import Link, RosterChanges, RosterMachine
from hazelhold.engine.records import GuestRecord
from hazelhold.engine.verification import GuestVerification
from hazelhold.interface import MachineMode


class AddressReuse(GuestVerification):
    """Moves guests to the machine that has the address they were sent to."""

    def _move_to_successors(self, now: int, changes: RosterChanges) -> set[str]:
        """Handles machines that left the list or were added to it; returns those that got guests this way.

        What was sent on a connection opened after the list's last confirmation reached the machine that had
        the address by then, and is placed there.
        """
        inherited = set()
        for name in changes.gone:
            link = self.links.get(name)
            if link is None or not self._awaits_successor(link):
                continue
            self.orphaned_links[link.address] = name
            successor = next((f for f in self.roster.machines.values() if f.address == link.address), None)
            if successor is not None:
                self._move_guests(now, link, successor)
                inherited.add(successor.name)
        for name in changes.added:
            listed = self.roster.machines.get(name)
            if listed is not None and (orphan := self.links.get(self.orphaned_links.get(listed.address, ""))):
                self._move_guests(now, orphan, listed)
                inherited.add(listed.name)
        return inherited

    def _move_guests(self, now: int, link: Link, successor: RosterMachine) -> None:
        """Guests sent to this address before the list confirmed it are placed on the machine that has it now.

        Outstanding dispatches follow once they are accepted.
        """
        self.orphaned_links.pop(link.address, None)
        link.successor = successor.name
        for record in [self.records[name] for name in link.guests]:
            if record.placed and record.sent_unconfirmed:
                self._move_guest(now, record, successor.name)
        new = self._dial(now, successor)
        new.heard_at = new.heard_at or now

    def _move_guest(self, now: int, record: GuestRecord, machine: str) -> None:
        """A placed guest is on another machine than it was sent to.

        Where the connection on which it was sent has ended since, it may have been to the previous machine,
        which has gone: a machine that goes ends its connections. Then the machine that has the address now
        has to confirm the guest.
        """
        previous = record.machine
        ended = any(
            (each.reset or each.closed_by_machine) and each.ended_at >= record.sent_at
            for each in self.links[previous].past_connections
        )
        self._detach(record)
        record.machine = machine
        self._attach(record)
        self.scheduler.guest_discovered(now, machine, self._submission(record, 0))
        self._guest_event("moved", record, f"from {previous}, whose address it has")
        self.counts["tasks_inherited"] += 1
        if ended:
            self._verify_address_reuse(now, record)

    def _confirm_connections(self, as_of: int) -> None:
        """Confirms connections whose machine the list still shows as ready after they were opened.

        A draining machine may have gone before the list shows it.
        """
        for name in list(self.unconfirmed_links):
            link = self.links.get(name)
            if link is not None and link.opened_at > as_of:
                continue
            del self.unconfirmed_links[name]
            listed = self.roster.machines.get(name)
            if link is not None and listed is not None and listed.mode is MachineMode.READY:
                link.unconfirmed = False
                for each in link.guests:
                    self.records[each].sent_unconfirmed = False
