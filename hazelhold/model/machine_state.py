"""State of a machine: its incarnation, scheduled events, messages, and the resources that guests use."""

from collections import Counter, OrderedDict, deque
from heapq import heappush
from random import Random

from hazelhold.model.machine_types import SECOND, HostedGuest, Key, MachineFaults, MachineProfile
from hazelhold.protocol.messages import Ended, Load, Message, Offer, OfferAccepted, OfferRefused, Probe


class MachineState:
    """One machine over all its incarnations; subclasses add guests, admission and planner messages."""

    def __init__(self, name: str, profile: MachineProfile, seed: int, now: int, warm: bool = True) -> None:
        self.name, self.profile = name, profile
        self.random = Random(seed)
        self.faults = MachineFaults()
        self.out: list[tuple[str, Message]] = []  # drained by the caller
        self.counts: Counter[str] = Counter()
        self.incarnation = 0
        # By product: each deduplicated guest accepted in this machine's group, and its machine; shared by the
        # group.
        self.idempotency_keys: dict[str, dict[str, str]] = {
            p: {} for p, t in profile.behaviours.items() if t.deduplicated
        }
        self.overloaded = False
        self.draining = False
        self.came_up(now, warm)

    # Incarnations.

    def came_up(self, now: int, warm: bool = False) -> None:
        """Starts a new incarnation without any state of the last one."""
        self.incarnation += 1
        self.up, self.up_at = True, now
        self.warm_at = now if warm else now + self.profile.warmup_time
        self.draining = False
        self.queue: deque[tuple[str, Offer | Probe, int]] = deque()
        self.guests: dict[Key, HostedGuest] = {}
        self.waiting: deque[HostedGuest] = deque()  # accepted, not yet starting
        self.starting: dict[Key, HostedGuest] = {}
        self.cached_services: dict[str, None] = {}
        self.ended: OrderedDict[Key, tuple[Offer, str, int]] = OrderedDict()  # bounded by `remembers`
        self.forgotten_at = -60 * SECOND  # when the latest end that was dropped happened
        self.recent_offers: deque[int] = deque()
        self.agenda: list[tuple[int, int, str, Key | None]] = []
        self.sequence = 0
        self.accrued_at = now
        self.report = self._load()
        self._at(now + self.profile.report_period, "report")
        self._at(now + SECOND, "notes")

    def went_down(self) -> list[HostedGuest]:
        """Crashes and loses all its guests; returns those that were running."""
        lost = [g for g in self.guests.values() if g.runs]
        for guest in self.guests.values():
            self._release_key(guest.offer)
        self.up, self.agenda, self.guests = False, [], {}
        self.queue.clear()
        self.waiting.clear()
        self.starting.clear()
        self.out.clear()
        return lost

    def start_rate(self, now: int) -> float:
        """The current start rate, relative to a warm machine without faults."""
        age = 1.0 if now >= self.warm_at else 1 - (self.warm_at - now) / self.profile.warmup_time
        return (self.profile.cold_from + (1 - self.profile.cold_from) * age) / self.faults.slow

    def is_cold(self, now: int) -> bool:
        return now < self.warm_at

    # Scheduled events and messages.

    def _is_reachable(self) -> bool:
        return self.up and not self.faults.silent

    def _at(self, when: int, what: str, key: Key | None = None) -> None:
        self.sequence += 1
        heappush(self.agenda, (when, self.sequence, what, key))

    def _send(self, planner: str, message: Message) -> None:
        if self.faults.silent:
            return
        if self.faults.lost_answers and isinstance(message, OfferAccepted | OfferRefused | Ended):
            if self.random.random() < self.faults.lost_answers:
                self.counts["answers_lost"] += 1
                return
        self.out.append((planner, message))

    def _send_about(self, guest: HostedGuest, message: Message) -> None:
        if guest.accepted:
            self._send(guest.key[0], message)

    # Requested and used resources.

    def requested(self) -> tuple[float, float]:
        """Cores and memory that accepted guests request."""
        return (
            sum(g.offer.cores for g in self.guests.values()),
            sum(g.offer.memory for g in self.guests.values()),
        )

    def _shortage(self, offer: Offer) -> str:
        cores, memory = self.requested()
        if cores + offer.cores > self.profile.cores * self.profile.cores_multiple:
            return "no_cores"
        if memory + offer.memory > self.profile.memory * self.profile.memory_multiple:
            return "no_memory"
        return ""

    def _memory(self) -> float:
        return sum(g.memory for g in self.guests.values() if g.runs)

    def settle(self, now: int) -> None:
        """Accounts for the service of all guests up to now."""
        self._accrue(now)

    def _accrue(self, now: int) -> None:
        """Adds the service since the last change, then computes each guest's share from now on."""
        passed = now - self.accrued_at
        self.accrued_at = now
        running = [g for g in self.guests.values() if g.runs]
        by_rank = Counter()
        for guest in running:
            if passed > 0:
                guest.served += passed * guest.share
            by_rank[guest.behaviour.priority] += guest.cores
        used = self._memory() / self.profile.memory
        slow = 1 - 0.7 * max(0.0, min(1.0, (used - 0.92) / 0.08))
        for guest in running:
            behaviour = guest.behaviour
            busy = len(self.starting) + sum(
                c if rank >= behaviour.priority else c / 2 for rank, c in by_rank.items()
            )
            over = busy / self.profile.cores - behaviour.full_service_load
            guest.share = max(0.0, min(1.0, 1 - over / behaviour.service_fade)) * slow

    def _load(self) -> Load:
        if self.profile.counts_requested:
            cores, memory = self.requested()
        else:
            running = [g for g in self.guests.values() if g.runs]
            cores = sum(g.cores for g in running) + len(self.starting)
            memory = sum(g.memory for g in running)
        return Load(
            cores_free=self.profile.cores - cores,
            memory_free=self.profile.memory - memory,
            busy=min(1.0, max(0.0, cores / self.profile.cores)),
        )

    def _reported_load(self) -> Load:
        return self.report

    def _release_key(self, offer: Offer) -> None:
        accepted = self.idempotency_keys.get(offer.product, {})
        if accepted.get(offer.guest) == self.name:
            del accepted[offer.guest]
