"""Guests of a machine: their starts, resource use and ends."""

from random import Random

from hazelhold.model.machine_state import MachineState
from hazelhold.model.machine_types import SECOND, HostedGuest, Key
from hazelhold.protocol.messages import Ended, Offer, OfferAccepted, OfferRefused, ResourceUse, Started


class MachineGuests(MachineState):
    """Handles guests from their acceptance to their end."""

    def _start_next(self, now: int) -> None:
        while self.waiting and len(self.starting) < self.profile.concurrent_starts:
            guest = self.waiting.popleft()
            if guest.key not in self.guests:
                continue
            service = guest.offer.service
            warm = service in self.cached_services or any(
                g.runs and g.offer.service == service for g in self.guests.values()
            )
            work = (
                20_000
                if guest.fails
                else guest.behaviour.work * (1 if warm else self.profile.cold_start_factor)
            )
            duration = int(work / self.start_rate(now) * self.random.uniform(0.8, 1.25))
            self.starting[guest.key] = guest
            self._at(now + max(1, duration), "start", guest.key)

    def _do_start(self, now: int, key: Key | None) -> None:
        guest = self.starting.pop(key, None)
        if guest is None:
            return
        self._start_next(now)
        if guest.fails:
            self._remove(guest, now)
            self._end(guest.key, guest.offer, "error", guest)
            return
        self._accrue(now)
        guest.runs, guest.started_at = True, now
        offer = guest.offer
        if self.profile.confirms_when_running:
            guest.accepted = True
            self._send(
                key[0],
                OfferAccepted(
                    guest=offer.guest, ask=offer.ask, attempt=offer.attempt, load=self._reported_load()
                ),
            )
        else:
            self._send_about(guest, Started(guest=offer.guest, ask=offer.ask, attempt=offer.attempt))
        self._draw_use(guest, now)
        if guest.key in self.guests:
            self._at(max(guest.ends_at, now + 1), "end", guest.key)
            self._at(now + int(self.random.uniform(4, 12) * SECOND), "vary_use", guest.key)

    def _do_vary_use(self, now: int, key: Key | None) -> None:
        if guest := self.guests.get(key):
            self._draw_use(guest, now)
            self._at(now + int(self.random.uniform(4, 12) * SECOND), "vary_use", key)

    def _draw_use(self, guest: HostedGuest, now: int) -> None:
        """Draws a guest's current use; a machine whose memory overflows evicts guests."""
        self._accrue(now)
        behaviour, offer, faults = guest.behaviour, guest.offer, self.faults
        guest.variation = self.random.uniform(0.75, 1.25)
        share, factor = faults.heavy.get(offer.product, (0.0, 1.0))
        if Random(offer.guest).random() < share:
            guest.variation *= factor
        if offer.service in faults.hot:
            guest.variation *= 4
        level = guest.level * guest.variation * faults.use_factor
        guest.cores = offer.cores * min(behaviour.cap, behaviour.cores_use * level)
        guest.memory = offer.memory * min(1.6, behaviour.memory_use * level**0.5)
        self._send_about(
            guest,
            ResourceUse(
                guest=offer.guest,
                ask=offer.ask,
                attempt=offer.attempt,
                cores=guest.cores,
                memory=guest.memory,
            ),
        )
        while self._memory() > self.profile.memory:
            running = [g for g in self.guests.values() if g.runs]
            worst = min(running, key=lambda g: (g.behaviour.priority, g.offer.memory - g.memory))
            self._terminate(worst, now, "evicted")
        self._accrue(now)

    def _do_end(self, now: int, key: Key | None) -> None:
        if guest := self.guests.get(key):
            self._accrue(now)
            self._remove(guest, now)
            self._end(key, guest.offer, "done", guest)

    # Ends.

    def _drain_guest(self, guest: HostedGuest, now: int) -> None:
        self._terminate(guest, now, "sent_away")

    def _terminate(self, guest: HostedGuest, now: int, how: str) -> None:
        """Removes a guest. One that was neither confirmed nor started is refused instead of ended."""
        self._remove(guest, now)
        if not guest.accepted and not guest.runs:
            self._refuse(guest.key[0], guest.offer, "not_here" if how == "sent_away" else "no_memory")
            self._remember(guest.key, guest.offer, "withdrawn")
        else:
            self.counts[how] += 1
            self._end(guest.key, guest.offer, how, guest)

    def _remove(self, guest: HostedGuest, now: int) -> None:
        self._accrue(now)
        del self.guests[guest.key]
        self._release_key(guest.offer)
        if self.starting.pop(guest.key, None):
            self._start_next(now)
        if guest.runs:
            self.cached_services.pop(guest.offer.service, None)
            self.cached_services[guest.offer.service] = None
            while len(self.cached_services) > self.profile.cached_services:
                del self.cached_services[next(iter(self.cached_services))]
        self._accrue(now)

    def _end(self, key: Key, offer: Offer, how: str, guest: HostedGuest | None) -> None:
        self._remember(key, offer, how)
        ran = self.accrued_at - guest.started_at if guest and guest.runs else 0
        self._send(
            key[0],
            Ended(
                guest=offer.guest,
                ask=offer.ask,
                attempt=offer.attempt,
                how=how,
                load=self._reported_load(),
                ran=ran,
                served=int(guest.served) if guest else 0,
            ),
        )

    def _remember(self, key: Key, offer: Offer, how: str) -> None:
        self.ended[key] = offer, how, self.accrued_at
        self.ended.move_to_end(key)
        if len(self.ended) > self.profile.remembers:
            _, (_, _, self.forgotten_at) = self.ended.popitem(last=False)

    def _refuse(self, planner: str, offer: Offer, reason: str) -> None:
        self.counts["refused_" + reason] += 1
        self._send(
            planner,
            OfferRefused(
                guest=offer.guest,
                ask=offer.ask,
                attempt=offer.attempt,
                remark=reason,
                load=self._reported_load(),
            ),
        )
