"""Model of one machine: it examines offers, starts, serves, evicts and ends guests.

Inputs are messages and timestamps; (planner, message) pairs are left in `out`, and `next_at` tells when
`advance` has work to do. Times are whole microseconds on the caller's clock. The same calls with the same
seed give the same output.

The layers are modules of their own: `machine_types` (data), `machine_state` (incarnations, events, resource
use), `machine_guests` (starts and ends) and `machine_admission` (offers). `Machine` here adds planner
messages, faults and the event loop.
"""

from heapq import heappop

from hazelhold.model.machine_admission import MachineAdmission
from hazelhold.model.machine_types import (
    SECOND,
    GuestClassBehaviour,
    HostedGuest,
    Key,
    MachineFaults,
    MachineProfile,
)
from hazelhold.protocol.messages import (
    DispatchMessage,
    Ended,
    Inventory,
    InventoryItem,
    MemoryPressure,
    Offer,
    OfferAccepted,
    Probe,
    ServiceLevel,
)

__all__ = ["MachineProfile", "MachineFaults", "HostedGuest", "Machine", "GuestClassBehaviour"]


class Machine(MachineAdmission):
    """One machine over all its incarnations."""

    # Planner messages.

    def offered(self, now: int, planner: str, offer: Offer) -> None:
        if not self._is_reachable():
            return
        self.counts["offers"] += 1
        if self.is_cold(now) and self._overloads(now):
            return
        key = (planner, offer.guest, offer.ask)
        if known := self.guests.get(key):  # another dispatch of a known guest: no second start
            known.offer = offer
            if known.accepted:
                self._send(planner, OfferAccepted(guest=offer.guest, ask=offer.ask, attempt=offer.attempt))
            return
        for at, (who, waits, _) in enumerate(self.queue):
            if isinstance(waits, Offer) and (who, waits.guest, waits.ask) == key:
                self.queue[at] = planner, offer, now
                return
        if offer.product not in self.profile.behaviours or self.draining:
            self._refuse(planner, offer, "not_here")
        elif sum(isinstance(item[1], Offer) for item in self.queue) >= self.profile.queue_limit:
            self._refuse(planner, offer, "line_full")
        else:
            self._enqueue(now, planner, offer)

    def probed(self, now: int, planner: str, probe: Probe) -> None:
        if self._is_reachable():
            self._enqueue(now, planner, probe)

    def withdrawn(self, now: int, planner: str, message: DispatchMessage) -> None:
        """Returns an offer that is still queued; an accepted one stays and is confirmed again."""
        if not self._is_reachable():
            return
        key = (planner, message.guest, message.ask)
        for at, (who, waits, _) in enumerate(self.queue):
            if isinstance(waits, Offer) and (who, waits.guest, waits.ask) == key:
                del self.queue[at]
                if not at:
                    self._schedule_admission(now)
                self._end(key, waits, "withdrawn", None)
                return
        if (known := self.guests.get(key)) and known.accepted:
            offer = known.offer
            self._send(planner, OfferAccepted(guest=offer.guest, ask=offer.ask, attempt=message.attempt))
        elif known:  # accepted but not running, where only a start is confirmed: can still be returned
            self._remove(known, now)
            self._end(key, known.offer, "withdrawn", known)
        elif past := self.ended.get(key):
            self._send(
                planner, Ended(guest=message.guest, ask=message.ask, attempt=message.attempt, how=past[1])
            )
        else:
            self._send(
                planner, Ended(guest=message.guest, ask=message.ask, attempt=message.attempt, how="withdrawn")
            )

    def stopped(self, now: int, planner: str, message: DispatchMessage) -> None:
        if self._is_reachable() and (known := self.guests.get((planner, message.guest, message.ask))):
            self._remove(known, now)
            self._end(known.key, known.offer, "stopped", known)

    def inventory_requested(self, now: int, planner: str) -> None:
        """Reports all guests of a planner here, and how others of them ended."""
        if not self._is_reachable():
            return
        stands = [
            self._inventory_item(offer, "line")
            for who, offer, _ in self.queue
            if who == planner and isinstance(offer, Offer)
        ]
        stands += [
            self._inventory_item(g.offer, "runs" if g.runs else "accepted")
            for g in self.guests.values()
            if g.key[0] == planner
        ]
        stands += [
            self._inventory_item(offer, "ended", how)
            for key, (offer, how, _) in self.ended.items()
            if key[0] == planner
        ]
        self.out.append((planner, Inventory(guests=stands, complete=now - self.forgotten_at >= 60 * SECOND)))

    def _inventory_item(self, offer: Offer, state: str, how: str = "") -> InventoryItem:
        return InventoryItem(
            guest=offer.guest,
            ask=offer.ask,
            attempt=offer.attempt,
            state=state,
            how=how,
            product=offer.product,
            service=offer.service,
            cores=offer.cores,
            memory=offer.memory,
            customer=offer.customer,
            owner=offer.owner,
        )

    # Faults and maintenance.

    def drain(self, now: int) -> None:
        """Accepts no more guests and drains those that it has as its profile says."""
        self.draining = True
        if self.profile.drains == "at_once":
            for guest in list(self.guests.values()):
                self._drain_guest(guest, now)
        elif self.profile.drains == "paced":
            self._at(now + SECOND // 5, "drain_next")

    def flush(self, share: float) -> None:
        """Drops that share of the cached programs."""
        self.cached_services = {name: None for name in self.cached_services if self.random.random() >= share}

    def redraw_use(self, now: int) -> None:
        """Draws the use of every guest again, after a change of `faults`."""
        for guest in list(self.guests.values()):
            if guest.runs and guest.key in self.guests:
                self._draw_use(guest, now)

    # Scheduled events.

    def next_at(self) -> int | None:
        return self.agenda[0][0] if self.agenda and self.up else None

    def advance(self, now: int) -> None:
        """Handles all events that are due by now."""
        while self.up and self.agenda and self.agenda[0][0] <= now:
            at, _, what, key = heappop(self.agenda)
            getattr(self, "_do_" + what)(at, key)

    def _do_report(self, now: int, key: Key | None) -> None:
        self.report = self._load()
        self._at(now + self.profile.report_period + self.faults.report_delay, "report")

    def _do_notes(self, now: int, key: Key | None) -> None:
        self._accrue(now)
        worst: dict[str, HostedGuest] = {}
        for guest in self.guests.values():
            if guest.runs and (guest.key[0] not in worst or guest.share < worst[guest.key[0]].share):
                worst[guest.key[0]] = guest
        used = self._memory() / self.profile.memory
        for planner, guest in worst.items():
            if guest.share < 0.95:
                offer = guest.offer
                self._send_about(
                    guest,
                    ServiceLevel(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, share=guest.share),
                )
            if used > 0.85:
                self._send(planner, MemoryPressure(share=used))
        self._at(now + SECOND, "notes")

    def _do_drain_next(self, now: int, key: Key | None) -> None:
        if self.draining and self.guests:
            self._drain_guest(next(iter(self.guests.values())), now)
            self._at(now + SECOND // 5, "drain_next")
