"""Admission of offers: they wait in a queue, are examined one at a time, and those that fit are accepted."""

from random import Random

from hazelhold.model.machine_guests import MachineGuests
from hazelhold.model.machine_types import HostedGuest, Key
from hazelhold.protocol.messages import Offer, OfferAccepted, Probe, Report


class MachineAdmission(MachineGuests):
    """The queue of offers and probes and the decision on its head."""

    def _enqueue(self, now: int, planner: str, item: Offer | Probe) -> None:
        self.queue.append((planner, item, now))
        if len(self.queue) == 1:
            self._schedule_admission(now)

    def _schedule_admission(self, now: int) -> None:
        """Schedules the examination of the queue's head; at most one is under way."""
        self.agenda = [entry for entry in self.agenda if entry[2] != "admit"]
        self.agenda.sort()
        if self.queue:
            work = (
                self.profile.admission_time
                if isinstance(self.queue[0][1], Offer)
                else self.profile.admission_time // 8
            )
            self._at(now + int(work * self.faults.slow * self.random.uniform(0.7, 1.3)), "admit")

    def _do_admit(self, now: int, key: Key | None) -> None:
        planner, item, _ = self.queue.popleft()
        if isinstance(item, Probe):
            self._send(planner, Report(number=item.number, load=self._reported_load()))
        else:
            self._decide(now, planner, item)
        self._schedule_admission(now)

    def _overloads(self, now: int) -> bool:
        """Counts an offer against a cold machine's budget; true if it is now overloaded and fails."""
        profile = self.profile
        self.recent_offers.append(now)
        while self.recent_offers[0] <= now - profile.overload_window:
            self.recent_offers.popleft()
        work = (
            sum(t.work for t in profile.behaviours.values())
            / len(profile.behaviours)
            * profile.cold_start_factor
        )
        sustainable = profile.concurrent_starts * self.start_rate(now) * profile.overload_window / work
        if len(self.recent_offers) <= max(profile.cold_offers, profile.overload_multiple * sustainable):
            return False
        self.overloaded = True
        return True

    def _decide(self, now: int, planner: str, offer: Offer) -> None:
        profile, behaviour = self.profile, self.profile.behaviours[offer.product]
        if self.draining or behaviour.deduplicated and offer.guest in self.idempotency_keys[offer.product]:
            self._refuse(planner, offer, "not_here")  # a copy is accepted in its group
            return
        reason = self._shortage(offer)
        if reason and profile.preempts and behaviour.priority:
            self._preempt(now, offer, behaviour.priority)
            reason = self._shortage(offer)
        if reason:
            self._refuse(planner, offer, reason)
            return
        key = (planner, offer.guest, offer.ask)
        own = Random(f"{offer.service}/{offer.guest}").gauss(0, behaviour.spread)
        service = Random(offer.service).gauss(0, behaviour.spread / 2)
        guest = HostedGuest(
            key, offer, behaviour, now + (offer.life or behaviour.life), 2.718281828 ** (own + service)
        )
        guest.fails = self.random.random() < self.faults.error_share
        self.guests[key] = guest
        if behaviour.deduplicated:
            self.idempotency_keys[offer.product][offer.guest] = self.name
        if not profile.confirms_when_running and not guest.fails:
            guest.accepted = True
            self._send(
                planner,
                OfferAccepted(
                    guest=offer.guest, ask=offer.ask, attempt=offer.attempt, load=self._reported_load()
                ),
            )
        self.waiting.append(guest)
        self._start_next(now)

    def _preempt(self, now: int, offer: Offer, priority: int) -> None:
        lower = sorted(
            (g for g in self.guests.values() if g.behaviour.priority < priority),
            key=lambda g: (g.behaviour.priority, -g.started_at),
        )
        cores, memory = self.requested()
        free = [
            self.profile.cores * self.profile.cores_multiple - cores,
            self.profile.memory * self.profile.memory_multiple - memory,
        ]
        chosen = []
        for guest in lower:
            if free[0] >= offer.cores and free[1] >= offer.memory:
                break
            chosen.append(guest)
            free = [free[0] + guest.offer.cores, free[1] + guest.offer.memory]
        if free[0] >= offer.cores and free[1] >= offer.memory:
            for guest in chosen:
                self._terminate(guest, now, "pushed_out")
