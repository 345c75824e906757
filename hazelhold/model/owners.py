"""Model of owners, which submit guests to planners and submit them again after failures.

One OwnerModel is one sender process with a connection to each planner. It keeps a guest running for the
guest's lifetime, counted from the first submission. After a refusal, a failure or an early end it submits the
guest again, with a longer wait after many failures. If a dispatch may have run and a second run could do
harm, it first waits the settle time and queries the planner that had the guest; it goes to another one only
when that planner reports that it knows nothing of it.
"""

from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from hazelhold.protocol import messages as m

SECOND = 1_000_000


@dataclass(frozen=True)
class GuestTemplate:
    """The guests of one service: their resources and lifetime. Times in microseconds."""

    product: str
    service: str
    customer: str
    cores: float
    memory: float
    patience: int
    life: int
    idempotent: bool  # a second run does no harm
    weight: float = 1.0


@dataclass
class OwnedGuest:
    """One guest, from its first submission until its owner is done with it."""

    guest: str
    template: GuestTemplate
    until: int
    ask: int = 0
    planner: str = ""
    state: str = "idle"  # idle, asked, settling, placed, over
    due: int = 0
    failures: int = 0
    reason: str = ""
    cancel_at: int = 0
    cancelled: bool = False
    unanswered: int = 0  # consecutive queries without an answer


class OwnerModel:
    """One sender. Inputs are timestamps and messages; (planner, message) pairs are left in `out`."""

    def __init__(
        self,
        name: str,
        seed: int,
        planners: list[str],
        templates: list[GuestTemplate],
        rate: float,
        retry_wait: tuple[int, int],
        settle: int,
        cancel_share: float,
        now: int,
        until: int,
        moves: bool = False,
    ) -> None:
        self.name, self.planners, self.templates = name, planners, templates
        self.random = Random(f"{name}/{seed}")
        self.rate, self.retry_wait, self.settle = rate, retry_wait, settle
        self.cancel_share, self.until = cancel_share, until
        self.moves = moves  # may submit to another planner if a guest's own does not answer
        self.factor = 1.0  # of demand
        self.hot: dict[str, float] = {}  # by service: factor on its weight
        self.up: dict[str, bool] = dict.fromkeys(planners, False)
        self.avoid: dict[str, int] = {}  # by planner: until when it is not chosen
        self.guests: dict[str, OwnedGuest] = {}  # removed when the guest's lifetime is over
        self.out: list[tuple[str, m.Message]] = []
        self.counts: Counter[str] = Counter()
        self.agenda: list[tuple[int, int, str, str, int]] = []
        self.sequence = self.created = 0
        self._at(now + int(self.random.expovariate(max(rate, 1e-9)) * SECOND), "want", "")

    # Connections and messages.

    def connected(self, now: int, planner: str) -> None:
        """Queries every guest that this planner had."""
        self.up[planner] = True
        self.avoid.pop(planner, None)
        for owned in self.guests.values():
            if owned.planner == planner and owned.state in ("asked", "placed", "settling"):
                self.out.append((planner, m.Query(guest=owned.guest, ask=owned.ask)))

    def disconnected(self, now: int, planner: str) -> None:
        self.up[planner] = False
        self.avoid[planner] = now + 2 * SECOND
        for owned in list(self.guests.values()):
            if owned.planner == planner and owned.state == "asked" and owned.template.idempotent:
                owned.reason = "unanswered"
                self._later(now, owned, int(self.random.uniform(0.05, 0.5) * SECOND))

    def said(self, now: int, planner: str, message: m.Message) -> None:
        owned = self.guests.get(message.guest) if isinstance(message, m.GuestMessage) else None
        if owned is None or owned.planner != planner:
            return
        if isinstance(message, m.State):
            self._status_received(now, owned, message)
        elif message.ask != owned.ask and not isinstance(message, m.GuestEnded):
            return
        elif isinstance(message, m.Placed):
            self.counts["placed"] += 1
            owned.state, owned.failures = "placed", 0
            if now >= owned.until:
                self._forget(owned)
        elif isinstance(message, m.GuestRefused | m.Rejected):
            self.counts["turned_back"] += 1
            owned.reason = "turned_back"
            self._failed(now, owned, getattr(message, "again_after", 0))
        elif isinstance(message, m.GuestFailed):
            self.counts["broken_off"] += 1
            owned.reason = "broken_off"
            self._outcome_unknown(now, owned)
        elif isinstance(message, m.GuestEnded):
            self.counts["ended_" + message.how] += 1
            if message.how in ("done", "stopped"):
                self._forget(owned)
            elif message.how == "lost":
                owned.reason = "lost"
                self._outcome_unknown(now, owned)
            else:
                owned.reason = "lost"
                soon = message.how in ("sent_away",)
                self._later(
                    now, owned, int(self.random.uniform(0.05, 1) * SECOND) if soon else self._wait(owned)
                )

    def _status_received(self, now: int, owned: OwnedGuest, message: m.State) -> None:
        """Handles the state of a guest as the planner that has, or had, it reports."""
        owned.unanswered = 0
        if message.state == "running":
            owned.state = "placed"
        elif message.state in ("held", "out"):
            owned.state = "asked"
        elif message.state == "unsettled":
            if not owned.template.idempotent:
                owned.state = "settling"
                self._schedule(owned, now + SECOND, "settled")
            elif owned.state != "idle":
                owned.reason = "unanswered"
                self._later(now, owned, self._wait(owned))
        elif message.state in ("done", "stopped"):
            self._forget(owned)
        elif owned.state != "idle":
            owned.reason = owned.reason or "unanswered"
            self._later(now, owned, int(self.random.uniform(0.05, 1) * SECOND))

    # Scheduled events.

    def next_at(self) -> int | None:
        return self.agenda[0][0] if self.agenda else None

    def advance(self, now: int) -> None:
        while self.agenda and self.agenda[0][0] <= now:
            at, _, what, guest, due = heappop(self.agenda)
            if what == "want":
                gap = self.random.expovariate(max(self.rate * self.factor, 1e-9))
                self._at(at + max(1, int(gap * SECOND)), "want", "")
                weights = [w.weight * self.hot.get(w.service, 1.0) for w in self.templates]
                self._create(at, self.random.choices(self.templates, weights)[0])
                continue
            if what == "rejoin":
                self._create(at, next(w for w in self.templates if w.service == guest))
                continue
            owned = self.guests.get(guest)
            if owned is None:
                continue
            if what == "over":
                self._over(at, owned)
            elif what == "cancel" and owned.state in ("asked", "placed", "idle"):
                self._cancel(at, owned)
            elif what in ("ask", "settled", "patience") and owned.due == due:
                getattr(self, "_" + what)(at, owned)

    def rejoin(self, now: int, share: float, duration: int) -> None:
        """Cancels all guests of that share of the services and submits them again within the duration."""
        stopped = [w.service for w in self.templates if self.random.random() < share]
        for owned in list(self.guests.values()):
            if owned.template.service in stopped and owned.state == "placed":
                self.out.append((owned.planner, m.Cancel(guest=owned.guest, ask=owned.ask)))
                self._forget(owned)
                self._at(now + int(self.random.uniform(0.05, 1) * duration), "rejoin", owned.template.service)

    def _create(self, now: int, template: GuestTemplate) -> None:
        if now >= self.until:
            return
        self.created += 1
        life = int(template.life * self.random.lognormvariate(-0.18, 0.6))
        owned = OwnedGuest(f"{self.name}-{self.created}", template, now + max(SECOND, life))
        self.guests[owned.guest] = owned
        self._at(owned.until, "over", owned.guest)
        if self.random.random() < self.cancel_share:
            self._at(now + int(self.random.expovariate(2) * SECOND), "cancel", owned.guest)
        self._ask(now, owned)

    def _ask(self, now: int, owned: OwnedGuest) -> None:
        if owned.reason:
            owned.ask += 1
        planners = [p for p in self.planners if self.up[p] and self.avoid.get(p, 0) <= now]
        planners = planners or [p for p in self.planners if self.up[p]]
        if not planners:
            self._schedule(owned, now + SECOND // 4, "ask")
            if owned.reason:
                owned.ask -= 1
            return
        template = owned.template
        owned.planner, owned.state = self.random.choice(planners), "asked"
        self.counts["asks"] += 1
        self.out.append(
            (
                owned.planner,
                m.Submit(
                    guest=owned.guest,
                    ask=owned.ask,
                    product=template.product,
                    service=template.service,
                    cores=template.cores,
                    memory=template.memory,
                    patience=template.patience,
                    customer=template.customer,
                    life=max(1, owned.until - now),
                    reason=owned.reason,
                ),
            )
        )
        self._schedule(owned, now + template.patience + SECOND // 4, "patience")

    def _patience(self, now: int, owned: OwnedGuest) -> None:
        """No answer before the deadline: the planner is gone, or an answer was lost."""
        if owned.state != "asked":
            return
        self.counts["unanswered"] += 1
        owned.reason = "unanswered"
        self._outcome_unknown(now, owned)

    def _settled(self, now: int, owned: OwnedGuest) -> None:
        """Queries the planner that had the guest; without its answer nothing harmful is done. If planners use
        claims, another one may be chosen."""
        if owned.state == "settling" and self.moves:
            owned.unanswered += 1
            if not self.up[owned.planner] or owned.unanswered > 2:
                self.counts["moves"] += 1
                owned.unanswered, owned.reason = 0, "unanswered"
                self._ask(now, owned)
                return
        if owned.state == "settling":
            if self.up[owned.planner]:
                self.out.append((owned.planner, m.Query(guest=owned.guest, ask=owned.ask)))
            self._schedule(owned, now + SECOND, "settled")

    def _outcome_unknown(self, now: int, owned: OwnedGuest) -> None:
        if owned.template.idempotent:
            self._failed(now, owned, 0)
        else:
            owned.state = "settling"
            self._schedule(owned, now + self.settle, "settled")

    def _failed(self, now: int, owned: OwnedGuest, advised: int) -> None:
        if owned.cancelled:
            self._forget(owned)
            return
        owned.failures += 1
        self._later(now, owned, max(advised, self._wait(owned)))

    def _wait(self, owned: OwnedGuest) -> int:
        return int(self.random.uniform(*self.retry_wait) * min(4, 1 + owned.failures / 3))

    def _later(self, now: int, owned: OwnedGuest, wait: int) -> None:
        if owned.cancelled or now + wait >= owned.until:
            self._forget(owned)
            return
        owned.state = "idle"
        self._schedule(owned, now + wait, "ask")

    def _cancel(self, now: int, owned: OwnedGuest) -> None:
        self.counts["cancels"] += 1
        if owned.state == "idle":
            self._forget(owned)
            return
        owned.cancelled = True
        self.out.append((owned.planner, m.Cancel(guest=owned.guest, ask=owned.ask)))

    def _over(self, now: int, owned: OwnedGuest) -> None:
        """Its lifetime is over: the machine ends it by itself. One that waits for an answer keeps waiting."""
        if owned.state != "asked":
            self._forget(owned)
        else:
            owned.cancelled = True

    def _forget(self, owned: OwnedGuest) -> None:
        owned.state = "over"
        self.guests.pop(owned.guest, None)

    def _schedule(self, owned: OwnedGuest, when: int, what: str) -> None:
        owned.due = when
        self._at(when, what, owned.guest, when)

    def _at(self, when: int, what: str, guest: str, due: int = 0) -> None:
        self.sequence += 1
        heappush(self.agenda, (when, self.sequence, what, guest, due))
