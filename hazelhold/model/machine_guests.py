"""The guests of a machine: how they start, what they use, how they end."""

from random import Random

from hazelhold.model.machine_state import MachineState
from hazelhold.model.machine_types import SECOND, Key, Lodger
from hazelhold.protocol.messages import Ended, Offer, Refused, Started, Taken, Use


class MachineGuests(MachineState):
    """Guests from their acceptance to their end."""

    def _start_next(self, now: int) -> None:
        while self.waiting and len(self.starting) < self.build.starts:
            guest = self.waiting.popleft()
            if guest.key not in self.lodgers:
                continue
            service = guest.offer.service
            warm = service in self.kept or any(
                g.runs and g.offer.service == service for g in self.lodgers.values()
            )
            work = 20_000 if guest.fails else guest.trade.work * (1 if warm else self.build.setup)
            took = int(work / self.pace(now) * self.random.uniform(0.8, 1.25))
            self.starting[guest.key] = guest
            self._at(now + max(1, took), "start", guest.key)

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
        if self.build.confirms_running:
            guest.taken = True
            self._say(
                key[0], Taken(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, load=self._shown())
            )
        else:
            self._tell(guest, Started(guest=offer.guest, ask=offer.ask, attempt=offer.attempt))
        self._swing(guest, now)
        if guest.key in self.lodgers:
            self._at(max(guest.ends_at, now + 1), "end", guest.key)
            self._at(now + int(self.random.uniform(4, 12) * SECOND), "swing", guest.key)

    def _do_swing(self, now: int, key: Key | None) -> None:
        if guest := self.lodgers.get(key):
            self._swing(guest, now)
            self._at(now + int(self.random.uniform(4, 12) * SECOND), "swing", key)

    def _swing(self, guest: Lodger, now: int) -> None:
        """Draws what a guest uses now; a machine whose memory overflows evicts."""
        self._accrue(now)
        trade, offer, ills = guest.trade, guest.offer, self.ills
        guest.swing = self.random.uniform(0.75, 1.25)
        share, factor = ills.heavy.get(offer.product, (0.0, 1.0))
        if Random(offer.guest).random() < share:
            guest.swing *= factor
        if offer.service in ills.hot:
            guest.swing *= 4
        level = guest.level * guest.swing * ills.use_factor
        guest.cores = offer.cores * min(trade.cap, trade.cores_use * level)
        guest.memory = offer.memory * min(1.6, trade.memory_use * level**0.5)
        self._tell(
            guest,
            Use(
                guest=offer.guest,
                ask=offer.ask,
                attempt=offer.attempt,
                cores=guest.cores,
                memory=guest.memory,
            ),
        )
        while self._memory() > self.build.memory:
            running = [g for g in self.lodgers.values() if g.runs]
            worst = min(running, key=lambda g: (g.trade.priority, g.offer.memory - g.memory))
            self._lose(worst, now, "evicted")
        self._accrue(now)

    def _do_end(self, now: int, key: Key | None) -> None:
        if guest := self.lodgers.get(key):
            self._accrue(now)
            self._remove(guest, now)
            self._end(key, guest.offer, "done", guest)

    # How they end.

    def _send_away(self, guest: Lodger, now: int) -> None:
        self._lose(guest, now, "sent_away")

    def _lose(self, guest: Lodger, now: int, how: str) -> None:
        """A guest that must go; one that was never confirmed and never ran is handed back."""
        self._remove(guest, now)
        if not guest.taken and not guest.runs:
            self._refuse(guest.key[0], guest.offer, "not_here" if how == "sent_away" else "no_memory")
            self._remember(guest.key, guest.offer, "withdrawn")
        else:
            self.counts[how] += 1
            self._end(guest.key, guest.offer, how, guest)

    def _remove(self, guest: Lodger, now: int) -> None:
        self._accrue(now)
        del self.lodgers[guest.key]
        self._give_ticket_back(guest.offer)
        if self.starting.pop(guest.key, None):
            self._start_next(now)
        if guest.runs:
            self.kept.pop(guest.offer.service, None)
            self.kept[guest.offer.service] = None
            while len(self.kept) > self.build.kept:
                del self.kept[next(iter(self.kept))]
        self._accrue(now)

    def _end(self, key: Key, offer: Offer, how: str, guest: Lodger | None) -> None:
        self._remember(key, offer, how)
        ran = self.accrued_at - guest.started_at if guest and guest.runs else 0
        self._say(
            key[0],
            Ended(
                guest=offer.guest,
                ask=offer.ask,
                attempt=offer.attempt,
                how=how,
                load=self._shown(),
                ran=ran,
                served=int(guest.served) if guest else 0,
            ),
        )

    def _remember(self, key: Key, offer: Offer, how: str) -> None:
        self.ended[key] = offer, how, self.accrued_at
        self.ended.move_to_end(key)
        if len(self.ended) > self.build.remembers:
            _, (_, _, self.forgotten_at) = self.ended.popitem(last=False)

    def _refuse(self, planner: str, offer: Offer, remark: str) -> None:
        self.counts["refused_" + remark] += 1
        self._say(
            planner,
            Refused(
                guest=offer.guest, ask=offer.ask, attempt=offer.attempt, remark=remark, load=self._shown()
            ),
        )
