"""How a machine judges offers: they wait in a line, one is looked at at a time, and what fits is accepted."""

from random import Random

from hazelhold.model.machine_guests import MachineGuests
from hazelhold.model.machine_types import Key, Lodger
from hazelhold.protocol.messages import Offer, Probe, Report, Taken


class MachineAdmission(MachineGuests):
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
            work = self.build.look if isinstance(self.line[0][1], Offer) else self.build.look // 8
            self._at(now + int(work * self.ills.slow * self.random.uniform(0.7, 1.3)), "look")

    def _do_look(self, now: int, key: Key | None) -> None:
        planner, item, _ = self.line.popleft()
        if isinstance(item, Probe):
            self._say(planner, Report(number=item.number, load=self._shown()))
        else:
            self._judge(now, planner, item)
        self._look_next(now)

    def _pushed(self, now: int) -> bool:
        """Counts an offer against a cold machine's budget; true if it has just fallen over."""
        build = self.build
        self.pushes.append(now)
        while self.pushes[0] <= now - build.tip_window:
            self.pushes.popleft()
        work = sum(t.work for t in build.trades.values()) / len(build.trades) * build.setup
        able = build.starts * self.pace(now) * build.tip_window / work
        if len(self.pushes) <= max(build.cold_offers, build.tip_multiple * able):
            return False
        self.fell_over = True
        return True

    def _judge(self, now: int, planner: str, offer: Offer) -> None:
        build, trade = self.build, self.build.trades[offer.product]
        if self.draining or trade.ticketed and offer.guest in self.tickets[offer.product]:
            self._refuse(planner, offer, "not_here")  # a copy stands
            return
        remark = self._short(offer)
        if remark and build.makes_room and trade.priority:
            self._make_room(now, offer, trade.priority)
            remark = self._short(offer)
        if remark:
            self._refuse(planner, offer, remark)
            return
        key = (planner, offer.guest, offer.ask)
        own = Random(f"{offer.service}/{offer.guest}").gauss(0, trade.spread)
        service = Random(offer.service).gauss(0, trade.spread / 2)
        guest = Lodger(key, offer, trade, now + (offer.life or trade.life), 2.718281828 ** (own + service))
        guest.fails = self.random.random() < self.ills.error_share
        self.lodgers[key] = guest
        if trade.ticketed:
            self.tickets[offer.product][offer.guest] = self.name
        if not build.confirms_running and not guest.fails:
            guest.taken = True
            self._say(
                planner, Taken(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, load=self._shown())
            )
        self.waiting.append(guest)
        self._start_next(now)

    def _make_room(self, now: int, offer: Offer, priority: int) -> None:
        lower = sorted(
            (g for g in self.lodgers.values() if g.trade.priority < priority),
            key=lambda g: (g.trade.priority, -g.started_at),
        )
        cores, memory = self.asked()
        free = [
            self.build.cores * self.build.cores_multiple - cores,
            self.build.memory * self.build.memory_multiple - memory,
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
