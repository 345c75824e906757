"""Owners: want guests, ask planners for them, and ask again as the brief's owners do.

One OwnerModel is one sender process with a connection to each planner. A guest is wanted for its life,
counted from its first ask. After a turn-back, a break-off or an end before its time the owner asks again,
later after many failures. Where a dispatch may have run and a second run could do harm, it first waits the
settle time and asks the planner that had the guest; it goes elsewhere only when that planner says that it
knows nothing more.
"""

from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from hazelhold.protocol import messages as m

SECOND = 1_000_000


@dataclass(frozen=True)
class Want:
    """One service: what its guests are and how long they live. Times in microseconds."""

    product: str
    service: str
    customer: str
    cores: float
    memory: float
    patience: int
    life: int
    harmless: bool  # a second run does no harm
    weight: float = 1.0


@dataclass
class Wanted:
    """One guest from its first ask until nobody wants it any more."""

    guest: str
    want: Want
    until: int
    ask: int = 0
    planner: str = ""
    state: str = "idle"  # idle, asked, settling, placed, over
    due: int = 0
    fails: int = 0
    reason: str = ""
    cancel_at: int = 0
    cancelled: bool = False
    silent: int = 0  # queries in a row that were not answered


class OwnerModel:
    """One sender: moments and messages in, (planner, message) pairs in `out`."""

    def __init__(
        self,
        name: str,
        seed: int,
        planners: list[str],
        wants: list[Want],
        rate: float,
        again: tuple[int, int],
        settle: int,
        cancel_share: float,
        now: int,
        until: int,
        moves: bool = False,
    ) -> None:
        self.name, self.planners, self.wants = name, planners, wants
        self.random = Random(f"{name}/{seed}")
        self.rate, self.again, self.settle = rate, again, settle
        self.cancel_share, self.until = cancel_share, until
        self.moves = moves  # asks another planner after a guest whose own planner says nothing
        self.factor = 1.0  # of demand
        self.hot: dict[str, float] = {}  # service: times its usual weight
        self.up: dict[str, bool] = dict.fromkeys(planners, False)
        self.avoid: dict[str, int] = {}  # planner: until when it is passed over
        self.guests: dict[str, Wanted] = {}  # emptied when a guest's time is over
        self.out: list[tuple[str, m.Message]] = []
        self.counts: Counter[str] = Counter()
        self.agenda: list[tuple[int, int, str, str, int]] = []
        self.turn = self.made = 0
        self._at(now + int(self.random.expovariate(max(rate, 1e-9)) * SECOND), "want", "")

    # What happens.

    def connected(self, now: int, planner: str) -> None:
        """Asks at once after every guest that this planner had."""
        self.up[planner] = True
        self.avoid.pop(planner, None)
        for wanted in self.guests.values():
            if wanted.planner == planner and wanted.state in ("asked", "placed", "settling"):
                self.out.append((planner, m.Query(guest=wanted.guest, ask=wanted.ask)))

    def disconnected(self, now: int, planner: str) -> None:
        self.up[planner] = False
        self.avoid[planner] = now + 2 * SECOND
        for wanted in list(self.guests.values()):
            if wanted.planner == planner and wanted.state == "asked" and wanted.want.harmless:
                wanted.reason = "unanswered"
                self._later(now, wanted, int(self.random.uniform(0.05, 0.5) * SECOND))

    def said(self, now: int, planner: str, message: m.Message) -> None:
        wanted = self.guests.get(message.guest) if isinstance(message, m.GuestMessage) else None
        if wanted is None or wanted.planner != planner:
            return
        if isinstance(message, m.State):
            self._told(now, wanted, message)
        elif message.ask != wanted.ask and not isinstance(message, m.GuestEnded):
            return
        elif isinstance(message, m.Placed):
            self.counts["placed"] += 1
            wanted.state, wanted.fails = "placed", 0
            if now >= wanted.until:
                self._forget(wanted)
        elif isinstance(message, m.GuestRefused | m.Rejected):
            self.counts["turned_back"] += 1
            wanted.reason = "turned_back"
            self._failed(now, wanted, getattr(message, "again_after", 0))
        elif isinstance(message, m.GuestFailed):
            self.counts["broken_off"] += 1
            wanted.reason = "broken_off"
            self._unsure(now, wanted)
        elif isinstance(message, m.GuestEnded):
            self.counts["ended_" + message.how] += 1
            if message.how in ("done", "stopped"):
                self._forget(wanted)
            elif message.how == "lost":
                wanted.reason = "lost"
                self._unsure(now, wanted)
            else:
                wanted.reason = "lost"
                soon = message.how in ("sent_away",)
                self._later(
                    now, wanted, int(self.random.uniform(0.05, 1) * SECOND) if soon else self._wait(wanted)
                )

    def _told(self, now: int, wanted: Wanted, message: m.State) -> None:
        """How things stand at the planner that has, or had, the guest."""
        wanted.silent = 0
        if message.state == "running":
            wanted.state = "placed"
        elif message.state in ("held", "out"):
            wanted.state = "asked"
        elif message.state == "unsettled":
            if not wanted.want.harmless:
                wanted.state = "settling"
                self._when(wanted, now + SECOND, "settled")
            elif wanted.state != "idle":
                wanted.reason = "unanswered"
                self._later(now, wanted, self._wait(wanted))
        elif message.state in ("done", "stopped"):
            self._forget(wanted)
        elif wanted.state != "idle":
            wanted.reason = wanted.reason or "unanswered"
            self._later(now, wanted, int(self.random.uniform(0.05, 1) * SECOND))

    # The passing of time.

    def next_at(self) -> int | None:
        return self.agenda[0][0] if self.agenda else None

    def advance(self, now: int) -> None:
        while self.agenda and self.agenda[0][0] <= now:
            at, _, what, guest, due = heappop(self.agenda)
            if what == "want":
                gap = self.random.expovariate(max(self.rate * self.factor, 1e-9))
                self._at(at + max(1, int(gap * SECOND)), "want", "")
                weights = [w.weight * self.hot.get(w.service, 1.0) for w in self.wants]
                self._want(at, self.random.choices(self.wants, weights)[0])
                continue
            if what == "rejoin":
                self._want(at, next(w for w in self.wants if w.service == guest))
                continue
            wanted = self.guests.get(guest)
            if wanted is None:
                continue
            if what == "over":
                self._over(at, wanted)
            elif what == "cancel" and wanted.state in ("asked", "placed", "idle"):
                self._cancel(at, wanted)
            elif what in ("ask", "settled", "patience") and wanted.due == due:
                getattr(self, "_" + what)(at, wanted)

    def rejoin(self, now: int, share: float, span: int) -> None:
        """Stops that share of the services and asks for all their guests again within the span."""
        struck = [w.service for w in self.wants if self.random.random() < share]
        for wanted in list(self.guests.values()):
            if wanted.want.service in struck and wanted.state == "placed":
                self.out.append((wanted.planner, m.Cancel(guest=wanted.guest, ask=wanted.ask)))
                self._forget(wanted)
                self._at(now + int(self.random.uniform(0.05, 1) * span), "rejoin", wanted.want.service)

    def _want(self, now: int, want: Want) -> None:
        if now >= self.until:
            return
        self.made += 1
        life = int(want.life * self.random.lognormvariate(-0.18, 0.6))
        wanted = Wanted(f"{self.name}-{self.made}", want, now + max(SECOND, life))
        self.guests[wanted.guest] = wanted
        self._at(wanted.until, "over", wanted.guest)
        if self.random.random() < self.cancel_share:
            self._at(now + int(self.random.expovariate(2) * SECOND), "cancel", wanted.guest)
        self._ask(now, wanted)

    def _ask(self, now: int, wanted: Wanted) -> None:
        if wanted.reason:
            wanted.ask += 1
        planners = [p for p in self.planners if self.up[p] and self.avoid.get(p, 0) <= now]
        planners = planners or [p for p in self.planners if self.up[p]]
        if not planners:
            self._when(wanted, now + SECOND // 4, "ask")
            if wanted.reason:
                wanted.ask -= 1
            return
        want = wanted.want
        wanted.planner, wanted.state = self.random.choice(planners), "asked"
        self.counts["asks"] += 1
        self.out.append(
            (
                wanted.planner,
                m.Submit(
                    guest=wanted.guest,
                    ask=wanted.ask,
                    product=want.product,
                    service=want.service,
                    cores=want.cores,
                    memory=want.memory,
                    patience=want.patience,
                    customer=want.customer,
                    life=max(1, wanted.until - now),
                    reason=wanted.reason,
                ),
            )
        )
        self._when(wanted, now + want.patience + SECOND // 4, "patience")

    def _patience(self, now: int, wanted: Wanted) -> None:
        """No answer within the patience: its planner is gone, or an answer was lost."""
        if wanted.state != "asked":
            return
        self.counts["unanswered"] += 1
        wanted.reason = "unanswered"
        self._unsure(now, wanted)

    def _settled(self, now: int, wanted: Wanted) -> None:
        """Asks the planner that had it; without a word from it nothing is done that could do harm. Where
        planners agree on claims, another may be asked."""
        if wanted.state == "settling" and self.moves:
            wanted.silent += 1
            if not self.up[wanted.planner] or wanted.silent > 2:
                self.counts["moves"] += 1
                wanted.silent, wanted.reason = 0, "unanswered"
                self._ask(now, wanted)
                return
        if wanted.state == "settling":
            if self.up[wanted.planner]:
                self.out.append((wanted.planner, m.Query(guest=wanted.guest, ask=wanted.ask)))
            self._when(wanted, now + SECOND, "settled")

    def _unsure(self, now: int, wanted: Wanted) -> None:
        if wanted.want.harmless:
            self._failed(now, wanted, 0)
        else:
            wanted.state = "settling"
            self._when(wanted, now + self.settle, "settled")

    def _failed(self, now: int, wanted: Wanted, advised: int) -> None:
        if wanted.cancelled:
            self._forget(wanted)
            return
        wanted.fails += 1
        self._later(now, wanted, max(advised, self._wait(wanted)))

    def _wait(self, wanted: Wanted) -> int:
        return int(self.random.uniform(*self.again) * min(4, 1 + wanted.fails / 3))

    def _later(self, now: int, wanted: Wanted, wait: int) -> None:
        if wanted.cancelled or now + wait >= wanted.until:
            self._forget(wanted)
            return
        wanted.state = "idle"
        self._when(wanted, now + wait, "ask")

    def _cancel(self, now: int, wanted: Wanted) -> None:
        self.counts["cancels"] += 1
        if wanted.state == "idle":
            self._forget(wanted)
            return
        wanted.cancelled = True
        self.out.append((wanted.planner, m.Cancel(guest=wanted.guest, ask=wanted.ask)))

    def _over(self, now: int, wanted: Wanted) -> None:
        """Its time is over: a machine ends it by itself; what still waits for an answer is waited for."""
        if wanted.state != "asked":
            self._forget(wanted)
        else:
            wanted.cancelled = True

    def _forget(self, wanted: Wanted) -> None:
        wanted.state = "over"
        self.guests.pop(wanted.guest, None)

    def _when(self, wanted: Wanted, when: int, what: str) -> None:
        wanted.due = when
        self._at(when, what, wanted.guest, when)

    def _at(self, when: int, what: str, guest: str, due: int = 0) -> None:
        self.turn += 1
        heappush(self.agenda, (when, self.turn, what, guest, due))
