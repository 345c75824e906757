"""One machine: it looks at offers, starts guests, serves them, evicts them and ends them.

Messages and moments go in, (planner, message) pairs come out of `out`; `next_at` says when `advance` has
work. Times are whole microseconds on the caller's clock. The same calls with the same seed give the same
answers.
"""

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from hazelhold.protocol.messages import (
    Ended,
    Load,
    Message,
    Offer,
    Offered,
    Pressed,
    Probe,
    Refused,
    Report,
    Running,
    Served,
    Stand,
    Started,
    Taken,
    Use,
)

SECOND = 1_000_000
Key = tuple[str, str, int]  # planner, guest, ask


@dataclass(frozen=True)
class Trade:
    """How guests of one product behave here. Times in microseconds; use as a share of what is asked."""

    priority: int = 0
    ticketed: bool = False
    easy_until: float = 0.8
    lost_after: float = 0.2
    work: int = 60_000  # of a warm start, on a warm machine
    life: int = 15 * SECOND
    cores_use: float = 0.55
    memory_use: float = 0.7
    spread: float = 0.4  # sigma of use between services and guests
    cap: float = 2.5


@dataclass(frozen=True)
class Build:
    """What a machine is, by its kind and its deployment."""

    kind: str
    cores: float
    memory: float
    trades: dict[str, Trade]
    cores_multiple: float = 2.5
    memory_multiple: float = 1.5
    makes_room: bool = False
    confirms_running: bool = False
    counts_asked: bool = False
    look: int = 15_000
    line: int = 16
    starts: int = 3
    setup: float = 8.0
    kept: int = 6
    cold_from: float = 0.25
    cold_for: int = 15 * SECOND
    tip_multiple: float = 2.5
    tip_window: int = 2 * SECOND
    cold_offers: float = 40.0
    report_period: int = SECOND // 2
    drains: str = "paced"  # none, paced, at_once: what a draining machine does with its guests
    remembers: int = 2000  # ends, for planners that missed them


@dataclass
class Lodger:
    """A guest that this machine has accepted."""

    key: Key
    offer: Offer
    trade: Trade
    ends_at: int
    level: float
    taken: bool = False  # Taken was said
    runs: bool = False
    started_at: int = 0
    cores: float = 0.0
    memory: float = 0.0
    served: float = 0.0
    swing: float = 1.0
    share: float = 1.0
    fails: bool = False


@dataclass
class Ills:
    """What is wrong with a machine just now."""

    slow: float = 1.0
    error_share: float = 0.0
    lost_answers: float = 0.0
    silent: bool = False
    report_delay: int = 0
    use_factor: float = 1.0
    heavy: dict[str, tuple[float, float]] = field(default_factory=dict)  # product: share of guests, factor
    hot: set[str] = field(default_factory=set)  # services whose guests use all the cores that they may


class Machine:
    """The state of one machine over all its lives."""

    def __init__(self, name: str, build: Build, seed: int, now: int, warm: bool = True) -> None:
        self.name, self.build = name, build
        self.random = Random(seed)
        self.ills = Ills()
        self.out: list[tuple[str, Message]] = []  # emptied by the caller
        self.counts: Counter[str] = Counter()
        self.incarnation = 0
        # By product: the ticketed guests that stand in this machine's group, and where; shared by the group.
        self.tickets: dict[str, dict[str, str]] = {p: {} for p, t in build.trades.items() if t.ticketed}
        self.fell_over = False
        self.draining = False
        self.came_up(now, warm)

    # Its lives.

    def came_up(self, now: int, warm: bool = False) -> None:
        """A new life, with nothing of the last."""
        self.incarnation += 1
        self.up, self.up_at = True, now
        self.warm_at = now if warm else now + self.build.cold_for
        self.draining = False
        self.line: deque[tuple[str, Offer | Probe, int]] = deque()
        self.lodgers: dict[Key, Lodger] = {}
        self.waiting: deque[Lodger] = deque()  # accepted, not yet starting
        self.starting: dict[Key, Lodger] = {}
        self.kept: dict[str, None] = {}
        self.ended: OrderedDict[Key, tuple[Offer, str, int]] = OrderedDict()  # bounded by Build.remembers
        self.forgotten_at = -60 * SECOND  # when the youngest end that is forgotten happened
        self.pushes: deque[int] = deque()
        self.agenda: list[tuple[int, int, str, Key | None]] = []
        self.turn = 0
        self.accrued_at = now
        self.report = self._load()
        self._at(now + self.build.report_period, "report")
        self._at(now + SECOND, "notes")

    def went_down(self) -> list[Lodger]:
        """Dies with all that it holds; returns those that ran."""
        lost = [g for g in self.lodgers.values() if g.runs]
        for guest in self.lodgers.values():
            self._give_ticket_back(guest.offer)
        self.up, self.agenda, self.lodgers = False, [], {}
        self.line.clear()
        self.waiting.clear()
        self.starting.clear()
        self.out.clear()
        return lost

    def pace(self, now: int) -> float:
        """The part of its full pace at which it starts guests now."""
        age = 1.0 if now >= self.warm_at else 1 - (self.warm_at - now) / self.build.cold_for
        return (self.build.cold_from + (1 - self.build.cold_from) * age) / self.ills.slow

    def is_cold(self, now: int) -> bool:
        return now < self.warm_at

    # What planners say.

    def offered(self, now: int, planner: str, offer: Offer) -> None:
        if not self._hears():
            return
        self.counts["offers"] += 1
        if self.is_cold(now) and self._pushed(now):
            return
        key = (planner, offer.guest, offer.ask)
        if known := self.lodgers.get(key):  # another dispatch of what it has: no second start
            known.offer = offer
            if known.taken:
                self._say(planner, Taken(guest=offer.guest, ask=offer.ask, attempt=offer.attempt))
            return
        for at, (who, waits, _) in enumerate(self.line):
            if isinstance(waits, Offer) and (who, waits.guest, waits.ask) == key:
                self.line[at] = planner, offer, now
                return
        if offer.product not in self.build.trades or self.draining:
            self._refuse(planner, offer, "not_here")
        elif sum(isinstance(item[1], Offer) for item in self.line) >= self.build.line:
            self._refuse(planner, offer, "line_full")
        else:
            self._queue(now, planner, offer)

    def probed(self, now: int, planner: str, probe: Probe) -> None:
        if self._hears():
            self._queue(now, planner, probe)

    def withdrawn(self, now: int, planner: str, message: Offered) -> None:
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
        if (known := self.lodgers.get(key)) and known.taken:
            offer = known.offer
            self._say(planner, Taken(guest=offer.guest, ask=offer.ask, attempt=message.attempt))
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

    def stopped(self, now: int, planner: str, message: Offered) -> None:
        if self._hears() and (known := self.lodgers.get((planner, message.guest, message.ask))):
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
            for g in self.lodgers.values()
            if g.key[0] == planner
        ]
        stands += [
            self._stand(offer, "ended", how)
            for key, (offer, how, _) in self.ended.items()
            if key[0] == planner
        ]
        self.out.append((planner, Running(guests=stands, complete=now - self.forgotten_at >= 60 * SECOND)))

    # What befalls it.

    def drain(self, now: int) -> None:
        """Takes nothing more, and sends its guests away as its kind does."""
        self.draining = True
        if self.build.drains == "at_once":
            for guest in list(self.lodgers.values()):
                self._send_away(guest, now)
        elif self.build.drains == "paced":
            self._at(now + SECOND // 5, "send_away")

    def flush(self, share: float) -> None:
        """Forgets that share of the programs that it kept."""
        self.kept = {name: None for name in self.kept if self.random.random() >= share}

    def unsettle(self, now: int) -> None:
        """After a change in `ills`: every guest's use is drawn anew."""
        for guest in list(self.lodgers.values()):
            if guest.runs and guest.key in self.lodgers:
                self._swing(guest, now)

    # The passing of time.

    def next_at(self) -> int | None:
        return self.agenda[0][0] if self.agenda and self.up else None

    def advance(self, now: int) -> None:
        """Does all that is due until now."""
        while self.up and self.agenda and self.agenda[0][0] <= now:
            at, _, what, key = heappop(self.agenda)
            getattr(self, "_do_" + what)(at, key)

    def _do_look(self, now: int, key: Key | None) -> None:
        planner, item, _ = self.line.popleft()
        if isinstance(item, Probe):
            self._say(planner, Report(number=item.number, load=self._shown()))
        else:
            self._judge(now, planner, item)
        self._look_next(now)

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

    def _do_end(self, now: int, key: Key | None) -> None:
        if guest := self.lodgers.get(key):
            self._accrue(now)
            self._remove(guest, now)
            self._end(key, guest.offer, "done", guest)

    def _do_report(self, now: int, key: Key | None) -> None:
        self.report = self._load()
        self._at(now + self.build.report_period + self.ills.report_delay, "report")

    def _do_notes(self, now: int, key: Key | None) -> None:
        self._accrue(now)
        worst: dict[str, Lodger] = {}
        for guest in self.lodgers.values():
            if guest.runs and (guest.key[0] not in worst or guest.share < worst[guest.key[0]].share):
                worst[guest.key[0]] = guest
        used = self._memory() / self.build.memory
        for planner, guest in worst.items():
            if guest.share < 0.95:
                offer = guest.offer
                self._tell(
                    guest, Served(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, share=guest.share)
                )
            if used > 0.85:
                self._say(planner, Pressed(share=used))
        self._at(now + SECOND, "notes")

    def _do_send_away(self, now: int, key: Key | None) -> None:
        if self.draining and self.lodgers:
            self._send_away(next(iter(self.lodgers.values())), now)
            self._at(now + SECOND // 5, "send_away")

    def settle(self, now: int) -> None:
        """Counts service up to now."""
        self._accrue(now)

    # How it works inside.

    def _hears(self) -> bool:
        return self.up and not self.ills.silent

    def _at(self, when: int, what: str, key: Key | None = None) -> None:
        self.turn += 1
        heappush(self.agenda, (when, self.turn, what, key))

    def _say(self, planner: str, message: Message) -> None:
        if self.ills.silent:
            return
        if self.ills.lost_answers and isinstance(message, Taken | Refused | Ended):
            if self.random.random() < self.ills.lost_answers:
                self.counts["answers_lost"] += 1
                return
        self.out.append((planner, message))

    def _tell(self, guest: Lodger, message: Message) -> None:
        if guest.taken:
            self._say(guest.key[0], message)

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

    def _refuse(self, planner: str, offer: Offer, remark: str) -> None:
        self.counts["refused_" + remark] += 1
        self._say(
            planner,
            Refused(
                guest=offer.guest, ask=offer.ask, attempt=offer.attempt, remark=remark, load=self._shown()
            ),
        )

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

    def _short(self, offer: Offer) -> str:
        cores, memory = self.asked()
        if cores + offer.cores > self.build.cores * self.build.cores_multiple:
            return "no_cores"
        if memory + offer.memory > self.build.memory * self.build.memory_multiple:
            return "no_memory"
        return ""

    def asked(self) -> tuple[float, float]:
        """Cores and memory that accepted guests ask for."""
        return (
            sum(g.offer.cores for g in self.lodgers.values()),
            sum(g.offer.memory for g in self.lodgers.values()),
        )

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

    def _memory(self) -> float:
        return sum(g.memory for g in self.lodgers.values() if g.runs)

    def _accrue(self, now: int) -> None:
        """Counts the service since the last change, then what each guest gets from here on."""
        passed = now - self.accrued_at
        self.accrued_at = now
        running = [g for g in self.lodgers.values() if g.runs]
        by_rank = Counter()
        for guest in running:
            if passed > 0:
                guest.served += passed * guest.share
            by_rank[guest.trade.priority] += guest.cores
        used = self._memory() / self.build.memory
        slow = 1 - 0.7 * max(0.0, min(1.0, (used - 0.92) / 0.08))
        for guest in running:
            trade = guest.trade
            busy = len(self.starting) + sum(
                c if rank >= trade.priority else c / 2 for rank, c in by_rank.items()
            )
            over = busy / self.build.cores - trade.easy_until
            guest.share = max(0.0, min(1.0, 1 - over / trade.lost_after)) * slow

    def _load(self) -> Load:
        if self.build.counts_asked:
            cores, memory = self.asked()
        else:
            running = [g for g in self.lodgers.values() if g.runs]
            cores = sum(g.cores for g in running) + len(self.starting)
            memory = sum(g.memory for g in running)
        return Load(
            cores_free=self.build.cores - cores,
            memory_free=self.build.memory - memory,
            busy=min(1.0, max(0.0, cores / self.build.cores)),
        )

    def _shown(self) -> Load:
        return self.report

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

    def _give_ticket_back(self, offer: Offer) -> None:
        standing = self.tickets.get(offer.product, {})
        if standing.get(offer.guest) == self.name:
            del standing[offer.guest]

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

    def _stand(self, offer: Offer, state: str, how: str = "") -> Stand:
        return Stand(
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
