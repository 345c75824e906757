"""One machine: it looks at offers, starts guests, serves them, evicts them and ends them.

Messages and moments go in, (planner, message) pairs come out of `out`; `next_at` says when `advance` has
work. Times are whole microseconds on the caller's clock. The same calls with the same seed give the same
answers.

The parts stand in modules of their own, each resting on the one before: `machine_types` (plain data),
`machine_state` (lives, agenda, use), `machine_tasks` (starts and ends), `machine_admission` (offers);
`Machine` here hears planners, suffers troubles and keeps the time.
"""

from heapq import heappop

from hazelhold.model.machine_admission import MachineAdmission
from hazelhold.model.machine_types import (
    SECOND,
    HostedTask,
    Key,
    MachineFaults,
    MachineProfile,
    ProductBehaviour,
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

__all__ = ["MachineProfile", "MachineFaults", "HostedTask", "Machine", "ProductBehaviour"]


class Machine(MachineAdmission):
    """The state of one machine over all its lives."""

    # What planners say.

    def offered(self, now: int, planner: str, offer: Offer) -> None:
        if not self._hears():
            return
        self.counts["offers"] += 1
        if self.is_cold(now) and self._pushed(now):
            return
        key = (planner, offer.guest, offer.ask)
        if known := self.tasks.get(key):  # another dispatch of what it has: no second start
            known.offer = offer
            if known.taken:
                self._say(planner, OfferAccepted(guest=offer.guest, ask=offer.ask, attempt=offer.attempt))
            return
        for at, (who, waits, _) in enumerate(self.line):
            if isinstance(waits, Offer) and (who, waits.guest, waits.ask) == key:
                self.line[at] = planner, offer, now
                return
        if offer.product not in self.profile.behaviours or self.draining:
            self._refuse(planner, offer, "not_here")
        elif sum(isinstance(item[1], Offer) for item in self.line) >= self.profile.line:
            self._refuse(planner, offer, "line_full")
        else:
            self._queue(now, planner, offer)

    def probed(self, now: int, planner: str, probe: Probe) -> None:
        if self._hears():
            self._queue(now, planner, probe)

    def withdrawn(self, now: int, planner: str, message: DispatchMessage) -> None:
        """Hands back what still waits; what was accepted stands, and says so once more."""
        if not self._hears():
            return
        key = (planner, message.guest, message.ask)
        for at, (who, waits, _) in enumerate(self.line):
            if isinstance(waits, Offer) and (who, waits.guest, waits.ask) == key:
                del self.line[at]
                if not at:
                    self._look_next(now)
                self._end(key, waits, "withdrawn", None)
                return
        if (known := self.tasks.get(key)) and known.taken:
            offer = known.offer
            self._say(planner, OfferAccepted(guest=offer.guest, ask=offer.ask, attempt=message.attempt))
        elif known:  # accepted, not yet running where only running is confirmed: it can still be handed back
            self._remove(known, now)
            self._end(key, known.offer, "withdrawn", known)
        elif past := self.ended.get(key):
            self._say(
                planner, Ended(guest=message.guest, ask=message.ask, attempt=message.attempt, how=past[1])
            )
        else:
            self._say(
                planner, Ended(guest=message.guest, ask=message.ask, attempt=message.attempt, how="withdrawn")
            )

    def stopped(self, now: int, planner: str, message: DispatchMessage) -> None:
        if self._hears() and (known := self.tasks.get((planner, message.guest, message.ask))):
            self._remove(known, now)
            self._end(known.key, known.offer, "stopped", known)

    def rolled(self, now: int, planner: str) -> None:
        """Tells a planner all that is here of its guests, and how others of them ended."""
        if not self._hears():
            return
        stands = [
            self._stand(offer, "line")
            for who, offer, _ in self.line
            if who == planner and isinstance(offer, Offer)
        ]
        stands += [
            self._stand(g.offer, "runs" if g.runs else "accepted")
            for g in self.tasks.values()
            if g.key[0] == planner
        ]
        stands += [
            self._stand(offer, "ended", how)
            for key, (offer, how, _) in self.ended.items()
            if key[0] == planner
        ]
        self.out.append((planner, Inventory(guests=stands, complete=now - self.forgotten_at >= 60 * SECOND)))

    def _stand(self, offer: Offer, state: str, how: str = "") -> InventoryItem:
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

    # What befalls it.

    def drain(self, now: int) -> None:
        """Takes nothing more, and sends its guests away as its kind does."""
        self.draining = True
        if self.profile.drains == "at_once":
            for guest in list(self.tasks.values()):
                self._send_away(guest, now)
        elif self.profile.drains == "paced":
            self._at(now + SECOND // 5, "send_away")

    def flush(self, share: float) -> None:
        """Forgets that share of the programs that it kept."""
        self.kept = {name: None for name in self.kept if self.random.random() >= share}

    def unsettle(self, now: int) -> None:
        """After a change in `faults`: every guest's use is drawn anew."""
        for guest in list(self.tasks.values()):
            if guest.runs and guest.key in self.tasks:
                self._swing(guest, now)

    # The passing of time.

    def next_at(self) -> int | None:
        return self.agenda[0][0] if self.agenda and self.up else None

    def advance(self, now: int) -> None:
        """Does all that is due until now."""
        while self.up and self.agenda and self.agenda[0][0] <= now:
            at, _, what, key = heappop(self.agenda)
            getattr(self, "_do_" + what)(at, key)

    def _do_report(self, now: int, key: Key | None) -> None:
        self.report = self._load()
        self._at(now + self.profile.report_period + self.faults.report_delay, "report")

    def _do_notes(self, now: int, key: Key | None) -> None:
        self._accrue(now)
        worst: dict[str, HostedTask] = {}
        for guest in self.tasks.values():
            if guest.runs and (guest.key[0] not in worst or guest.share < worst[guest.key[0]].share):
                worst[guest.key[0]] = guest
        used = self._memory() / self.profile.memory
        for planner, guest in worst.items():
            if guest.share < 0.95:
                offer = guest.offer
                self._tell(
                    guest,
                    ServiceLevel(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, share=guest.share),
                )
            if used > 0.85:
                self._say(planner, MemoryPressure(share=used))
        self._at(now + SECOND, "notes")

    def _do_send_away(self, now: int, key: Key | None) -> None:
        if self.draining and self.tasks:
            self._send_away(next(iter(self.tasks.values())), now)
            self._at(now + SECOND // 5, "send_away")
