"""Guests that were sent to an address which another machine had by then.

The address of a machine that has gone may pass to a new one. What is sent on a connection that was opened
after the list's last confirmation may reach the new machine; the list shows that later.
"""

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.machine_incarnations import MAX_LIST_DELAY
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

    def _machines_displaced(self, names: list[str]) -> None:
        """The list shows other machines at the addresses of these: a connection that was opened lately may be
        to either, which an answer shows."""
        for name in names:
            link = self.links.get(name)
            if link is not None and link.state == "up" and link.guests:
                self._send_new_probe(name)

    def _release_displaced(self, now: int, link: Link) -> None:
        """Releases guests of a machine whose address another one has, once it has been silent for too long.

        What answers at the address is no evidence of it, but on a connection that was opened before the other
        one can have come up. A report on a guest is evidence whatever the connection: only the process that
        has a guest reports on it. What was sent on a later connection is with the machine that answers there.
        """
        is_up = link.state == "up"
        is_displaced = link.machine in self.roster.addresses.displaced_at
        if not is_displaced or is_up and not self._may_reach_successor(link):
            return
        for record in [self.records[name] for name in link.guests]:
            if not record.placed or is_up and record.sent_at >= link.opened_at:
                continue
            if now - self._not_over_at(link, record) >= to_microseconds(self.limits.lost_ms):
                self.counts["displaced_released"] += 1
                self._guest_gone(now, record, "lost")

    def _may_reach_successor(self, link: Link) -> bool:
        """Whether the open connection may be to the machine that was listed at its address since, and was not
        opened before that one can have come up."""
        displaced_at = self.roster.addresses.displaced_at.get(link.machine, 0)
        return 0 < displaced_at <= link.opened_at + MAX_LIST_DELAY

    def _successor_answered(self, now: int, link: Link) -> None:
        """A message came on such a connection after the news.

        The machine that had the address is gone by then, so the other one answers, and what was sent on this
        connection is there.
        """
        claim = self.roster.addresses.claims.get(link.address)
        successor = self.roster.machines.get(claim.machine) if claim else None
        if successor is None or link.successor == successor.name:
            return
        for record in [self.records[name] for name in link.guests]:
            record.sent_unconfirmed = record.sent_unconfirmed or record.sent_at >= link.opened_at
        self._move_guests(now, link, successor)

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
