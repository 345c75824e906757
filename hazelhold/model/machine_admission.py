"""How a machine judges offers: they wait in a line, one is looked at at a time, and what fits is accepted."""

from random import Random

from hazelhold.model.machine_tasks import MachineTasks
from hazelhold.model.machine_types import HostedTask, Key
from hazelhold.protocol.messages import Offer, OfferAccepted, Probe, Report


class MachineAdmission(MachineTasks):
    """The line of offers and probes, and the judgement on its head."""

    def _queue(self, now: int, planner: str, item: Offer | Probe) -> None:
        self.line.append((planner, item, now))
        if len(self.line) == 1:
            self._look_next(now)

    def _look_next(self, now: int) -> None:
        """At most one look is under way: the one for the head of the line."""
        self.agenda = [entry for entry in self.agenda if entry[2] != "look"]
        self.agenda.sort()
        if self.line:
            work = self.profile.look if isinstance(self.line[0][1], Offer) else self.profile.look // 8
            self._at(now + int(work * self.faults.slow * self.random.uniform(0.7, 1.3)), "look")

    def _do_look(self, now: int, key: Key | None) -> None:
        planner, item, _ = self.line.popleft()
        if isinstance(item, Probe):
            self._say(planner, Report(number=item.number, load=self._shown()))
        else:
            self._judge(now, planner, item)
        self._look_next(now)

    def _pushed(self, now: int) -> bool:
        """Counts an offer against a cold machine's budget; true if it has just fallen over."""
        profile = self.profile
        self.pushes.append(now)
        while self.pushes[0] <= now - profile.tip_window:
            self.pushes.popleft()
        work = sum(t.work for t in profile.behaviours.values()) / len(profile.behaviours) * profile.setup
        able = profile.starts * self.pace(now) * profile.tip_window / work
        if len(self.pushes) <= max(profile.cold_offers, profile.tip_multiple * able):
            return False
        self.fell_over = True
        return True

    def _judge(self, now: int, planner: str, offer: Offer) -> None:
        profile, behaviour = self.profile, self.profile.behaviours[offer.product]
        if self.draining or behaviour.ticketed and offer.guest in self.tickets[offer.product]:
            self._refuse(planner, offer, "not_here")  # a copy stands
            return
        remark = self._short(offer)
        if remark and profile.makes_room and behaviour.priority:
            self._make_room(now, offer, behaviour.priority)
            remark = self._short(offer)
        if remark:
            self._refuse(planner, offer, remark)
            return
        key = (planner, offer.guest, offer.ask)
        own = Random(f"{offer.service}/{offer.guest}").gauss(0, behaviour.spread)
        service = Random(offer.service).gauss(0, behaviour.spread / 2)
        guest = HostedTask(
            key, offer, behaviour, now + (offer.life or behaviour.life), 2.718281828 ** (own + service)
        )
        guest.fails = self.random.random() < self.faults.error_share
        self.tasks[key] = guest
        if behaviour.ticketed:
            self.tickets[offer.product][offer.guest] = self.name
        if not profile.confirms_running and not guest.fails:
            guest.taken = True
            self._say(
                planner,
                OfferAccepted(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, load=self._shown()),
            )
        self.waiting.append(guest)
        self._start_next(now)

    def _make_room(self, now: int, offer: Offer, priority: int) -> None:
        lower = sorted(
            (g for g in self.tasks.values() if g.behaviour.priority < priority),
            key=lambda g: (g.behaviour.priority, -g.started_at),
        )
        cores, memory = self.asked()
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
                self._lose(guest, now, "pushed_out")
