"""The tasks of a machine: how they start, what they use, how they end."""

from random import Random

from hazelhold.model.machine_state import MachineState
from hazelhold.model.machine_types import SECOND, HostedTask, Key
from hazelhold.protocol.messages import Ended, Offer, OfferAccepted, OfferRefused, ResourceUse, Started


class MachineTasks(MachineState):
    """Tasks from their acceptance to their end."""

    def _start_next(self, now: int) -> None:
        while self.waiting and len(self.starting) < self.profile.starts:
            hosted = self.waiting.popleft()
            if hosted.key not in self.tasks:
                continue
            service = hosted.offer.service
            warm = service in self.kept or any(
                g.runs and g.offer.service == service for g in self.tasks.values()
            )
            work = 20_000 if hosted.fails else hosted.behaviour.work * (1 if warm else self.profile.setup)
            took = int(work / self.pace(now) * self.random.uniform(0.8, 1.25))
            self.starting[hosted.key] = hosted
            self._at(now + max(1, took), "start", hosted.key)

    def _do_start(self, now: int, key: Key | None) -> None:
        hosted = self.starting.pop(key, None)
        if hosted is None:
            return
        self._start_next(now)
        if hosted.fails:
            self._remove(hosted, now)
            self._end(hosted.key, hosted.offer, "error", hosted)
            return
        self._accrue(now)
        hosted.runs, hosted.started_at = True, now
        offer = hosted.offer
        if self.profile.confirms_running:
            hosted.taken = True
            self._say(
                key[0],
                OfferAccepted(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, load=self._shown()),
            )
        else:
            self._tell(hosted, Started(guest=offer.guest, ask=offer.ask, attempt=offer.attempt))
        self._swing(hosted, now)
        if hosted.key in self.tasks:
            self._at(max(hosted.ends_at, now + 1), "end", hosted.key)
            self._at(now + int(self.random.uniform(4, 12) * SECOND), "swing", hosted.key)

    def _do_swing(self, now: int, key: Key | None) -> None:
        if hosted := self.tasks.get(key):
            self._swing(hosted, now)
            self._at(now + int(self.random.uniform(4, 12) * SECOND), "swing", key)

    def _swing(self, hosted: HostedTask, now: int) -> None:
        """Draws what a task uses now; a machine whose memory overflows evicts."""
        self._accrue(now)
        behaviour, offer, faults = hosted.behaviour, hosted.offer, self.faults
        hosted.swing = self.random.uniform(0.75, 1.25)
        share, factor = faults.heavy.get(offer.product, (0.0, 1.0))
        if Random(offer.guest).random() < share:
            hosted.swing *= factor
        if offer.service in faults.hot:
            hosted.swing *= 4
        level = hosted.level * hosted.swing * faults.use_factor
        hosted.cores = offer.cores * min(behaviour.cap, behaviour.cores_use * level)
        hosted.memory = offer.memory * min(1.6, behaviour.memory_use * level**0.5)
        self._tell(
            hosted,
            ResourceUse(
                guest=offer.guest,
                ask=offer.ask,
                attempt=offer.attempt,
                cores=hosted.cores,
                memory=hosted.memory,
            ),
        )
        while self._memory() > self.profile.memory:
            running = [g for g in self.tasks.values() if g.runs]
            worst = min(running, key=lambda g: (g.behaviour.priority, g.offer.memory - g.memory))
            self._lose(worst, now, "evicted")
        self._accrue(now)

    def _do_end(self, now: int, key: Key | None) -> None:
        if hosted := self.tasks.get(key):
            self._accrue(now)
            self._remove(hosted, now)
            self._end(key, hosted.offer, "done", hosted)

    # How they end.

    def _send_away(self, hosted: HostedTask, now: int) -> None:
        self._lose(hosted, now, "sent_away")

    def _lose(self, hosted: HostedTask, now: int, how: str) -> None:
        """A task that must go; one that was never confirmed and never ran is handed back."""
        self._remove(hosted, now)
        if not hosted.taken and not hosted.runs:
            self._refuse(hosted.key[0], hosted.offer, "not_here" if how == "sent_away" else "no_memory")
            self._remember(hosted.key, hosted.offer, "withdrawn")
        else:
            self.counts[how] += 1
            self._end(hosted.key, hosted.offer, how, hosted)

    def _remove(self, hosted: HostedTask, now: int) -> None:
        self._accrue(now)
        del self.tasks[hosted.key]
        self._give_ticket_back(hosted.offer)
        if self.starting.pop(hosted.key, None):
            self._start_next(now)
        if hosted.runs:
            self.kept.pop(hosted.offer.service, None)
            self.kept[hosted.offer.service] = None
            while len(self.kept) > self.profile.kept:
                del self.kept[next(iter(self.kept))]
        self._accrue(now)

    def _end(self, key: Key, offer: Offer, how: str, hosted: HostedTask | None) -> None:
        self._remember(key, offer, how)
        ran = self.accrued_at - hosted.started_at if hosted and hosted.runs else 0
        self._say(
            key[0],
            Ended(
                guest=offer.guest,
                ask=offer.ask,
                attempt=offer.attempt,
                how=how,
                load=self._shown(),
                ran=ran,
                served=int(hosted.served) if hosted else 0,
            ),
        )

    def _remember(self, key: Key, offer: Offer, how: str) -> None:
        self.ended[key] = offer, how, self.accrued_at
        self.ended.move_to_end(key)
        if len(self.ended) > self.profile.remembers:
            _, (_, _, self.forgotten_at) = self.ended.popitem(last=False)

    def _refuse(self, planner: str, offer: Offer, remark: str) -> None:
        self.counts["refused_" + remark] += 1
        self._say(
            planner,
            OfferRefused(
                guest=offer.guest, ask=offer.ask, attempt=offer.attempt, remark=remark, load=self._shown()
            ),
        )
