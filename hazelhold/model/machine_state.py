"""The state of a machine: its lives, its agenda, what it says, and what its guests use of it."""

from collections import Counter, OrderedDict, deque
from heapq import heappush
from random import Random

from hazelhold.model.machine_types import SECOND, HostedTask, Key, MachineFaults, MachineProfile
from hazelhold.protocol.messages import Ended, Load, Message, Offer, OfferAccepted, OfferRefused, Probe


class MachineState:
    """One machine over all its lives, without what planners tell it and what guests do."""

    def __init__(self, name: str, profile: MachineProfile, seed: int, now: int, warm: bool = True) -> None:
        self.name, self.profile = name, profile
        self.random = Random(seed)
        self.faults = MachineFaults()
        self.out: list[tuple[str, Message]] = []  # emptied by the caller
        self.counts: Counter[str] = Counter()
        self.incarnation = 0
        # By product: the ticketed guests that stand in this machine's group, and where; shared by the group.
        self.tickets: dict[str, dict[str, str]] = {p: {} for p, t in profile.behaviours.items() if t.ticketed}
        self.fell_over = False
        self.draining = False
        self.came_up(now, warm)

    # Its lives.

    def came_up(self, now: int, warm: bool = False) -> None:
        """A new life, with nothing of the last."""
        self.incarnation += 1
        self.up, self.up_at = True, now
        self.warm_at = now if warm else now + self.profile.cold_for
        self.draining = False
        self.line: deque[tuple[str, Offer | Probe, int]] = deque()
        self.tasks: dict[Key, HostedTask] = {}
        self.waiting: deque[HostedTask] = deque()  # accepted, not yet starting
        self.starting: dict[Key, HostedTask] = {}
        self.kept: dict[str, None] = {}
        self.ended: OrderedDict[Key, tuple[Offer, str, int]] = OrderedDict()  # bounded by `remembers`
        self.forgotten_at = -60 * SECOND  # when the youngest end that is forgotten happened
        self.pushes: deque[int] = deque()
        self.agenda: list[tuple[int, int, str, Key | None]] = []
        self.turn = 0
        self.accrued_at = now
        self.report = self._load()
        self._at(now + self.profile.report_period, "report")
        self._at(now + SECOND, "notes")

    def went_down(self) -> list[HostedTask]:
        """Dies with all that it holds; returns those that ran."""
        lost = [g for g in self.tasks.values() if g.runs]
        for guest in self.tasks.values():
            self._give_ticket_back(guest.offer)
        self.up, self.agenda, self.tasks = False, [], {}
        self.line.clear()
        self.waiting.clear()
        self.starting.clear()
        self.out.clear()
        return lost

    def pace(self, now: int) -> float:
        """The part of its full pace at which it starts guests now."""
        age = 1.0 if now >= self.warm_at else 1 - (self.warm_at - now) / self.profile.cold_for
        return (self.profile.cold_from + (1 - self.profile.cold_from) * age) / self.faults.slow

    def is_cold(self, now: int) -> bool:
        return now < self.warm_at

    # Its agenda, and what it says.

    def _hears(self) -> bool:
        return self.up and not self.faults.silent

    def _at(self, when: int, what: str, key: Key | None = None) -> None:
        self.turn += 1
        heappush(self.agenda, (when, self.turn, what, key))

    def _say(self, planner: str, message: Message) -> None:
        if self.faults.silent:
            return
        if self.faults.lost_answers and isinstance(message, OfferAccepted | OfferRefused | Ended):
            if self.random.random() < self.faults.lost_answers:
                self.counts["answers_lost"] += 1
                return
        self.out.append((planner, message))

    def _tell(self, guest: HostedTask, message: Message) -> None:
        if guest.taken:
            self._say(guest.key[0], message)

    # What its guests ask for and use.

    def asked(self) -> tuple[float, float]:
        """Cores and memory that accepted guests ask for."""
        return (
            sum(g.offer.cores for g in self.tasks.values()),
            sum(g.offer.memory for g in self.tasks.values()),
        )

    def _short(self, offer: Offer) -> str:
        cores, memory = self.asked()
        if cores + offer.cores > self.profile.cores * self.profile.cores_multiple:
            return "no_cores"
        if memory + offer.memory > self.profile.memory * self.profile.memory_multiple:
            return "no_memory"
        return ""

    def _memory(self) -> float:
        return sum(g.memory for g in self.tasks.values() if g.runs)

    def settle(self, now: int) -> None:
        """Counts service up to now."""
        self._accrue(now)

    def _accrue(self, now: int) -> None:
        """Counts the service since the last change, then what each guest gets from here on."""
        passed = now - self.accrued_at
        self.accrued_at = now
        running = [g for g in self.tasks.values() if g.runs]
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
            over = busy / self.profile.cores - behaviour.easy_until
            guest.share = max(0.0, min(1.0, 1 - over / behaviour.lost_after)) * slow

    def _load(self) -> Load:
        if self.profile.counts_asked:
            cores, memory = self.asked()
        else:
            running = [g for g in self.tasks.values() if g.runs]
            cores = sum(g.cores for g in running) + len(self.starting)
            memory = sum(g.memory for g in running)
        return Load(
            cores_free=self.profile.cores - cores,
            memory_free=self.profile.memory - memory,
            busy=min(1.0, max(0.0, cores / self.profile.cores)),
        )

    def _shown(self) -> Load:
        return self.report

    def _give_ticket_back(self, offer: Offer) -> None:
        standing = self.tickets.get(offer.product, {})
        if standing.get(offer.guest) == self.name:
            del standing[offer.guest]
