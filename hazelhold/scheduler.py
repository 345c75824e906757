"""All decisions of one planner.

How it is called: a host makes one Brain a planner from its seed and Deployment, tells it what happens by
the input methods (machines_listed to memory_pressed), which only update what is known, then carries out
decide(now) until it is None; next_look(now) says when to call again. Types stand in interface.py.
"""

from bisect import bisect_right
from collections import defaultdict, deque
from hashlib import blake2b
from itertools import islice
from math import sqrt
from random import Random

from hazelhold import interface
from hazelhold.interface import (
    Decision,
    DecisionKind,
    DispatchOutcome,
    ListedMachine,
    MachineMode,
    OutcomeReason,
    RepeatSemantics,
    Scope,
)

SECOND = 1_000_000
NEVER_RAN = (DispatchOutcome.REFUSED, DispatchOutcome.UNREACHABLE, DispatchOutcome.NOT_SENT)
ROUNDS = 100  # Monte Carlo rounds for a machine: the design page's own figure
TIE = 1.001  # one guest moves the spread by a hundredth at most: a band of 5% would make the pick a lottery


class ServiceUsage:
    """Recent use of one service's guests; dropped once it has had no guest for a while."""

    def __init__(self) -> None:
        # The design's 50 samples of (cores, memory) in use.
        self.samples: deque[tuple[float, float]] = deque(maxlen=50)
        self.guests = self.seen = 0
        self.order: list[Machine] = []  # see _order; made anew when the list changes
        self.order_of = -1

    def weight(self, ask: interface.Submission) -> tuple[float, float]:
        """What a new guest counts as: the 90th percentile of recent use, the ask if there is none."""
        if not self.samples:
            return ask.cores, ask.memory
        at = int(0.9 * (len(self.samples) - 1) + 0.5)
        return sorted(s[0] for s in self.samples)[at], sorted(s[1] for s in self.samples)[at]


class Guest:
    """A guest in this planner's hands, from its arrival to its end."""

    def __init__(self, ask: interface.Submission, product: interface.GuestClass, service: ServiceUsage, now: int) -> None:
        self.ask, self.product, self.service = ask, product, service
        self.goal_at, self.patience_at = now + product.start_target, now + ask.time_left
        self.answer_by = self.patience_at - SECOND // 50  # a few ticks early: the last safe moment
        self.machine: Machine | None = None  # where a dispatch is out, or where it runs
        self.placed = self.runs = self.warm = self.may_run = False
        self.over = self.probed_for = False  # over: answered, with its last dispatch still out
        self.unwanted = False  # its owner cancelled it
        self.dispatches = self.sent_at = self.ahead = 0  # ahead: own starts before it on the machine
        self.spread_key: tuple[str, Scope, str] | None = None
        self.bound: tuple[Scope, int] | None = None  # the group that a ticket holds it to
        self.tried: list[str] = []  # machines that may still speak of a dispatch that is over
        self.window_ends, self.cores_noted = 0, 0.0
        self.look_at, self.looked_at, self.rests_until = now, 0, now
        self.use: tuple[float, float] | None = None
        self.rounds: list[tuple[float, float]] | None = None  # its draws, while its machine's sums hold them

    def may_turn_back(self) -> bool:
        """A turn-back promises that another try is harmless."""
        effect = self.product.repeat
        return (not self.may_run or effect is RepeatSemantics.IDEMPOTENT
                or effect is RepeatSemantics.DEDUPLICATED and self.product.dedup_scope is Scope.ALL)


class Machine:
    """What is known of one machine; dropped when it has left the list and holds no guest of ours."""

    def __init__(self, listed: ListedMachine, size: interface.MachineKind, now: int) -> None:
        self.listed, self.size, self.listed_at = listed, size, now
        self.ready = listed.mode is MachineMode.READY
        self.cold_at = listed.started if listed.started else -10**15
        self.listed_since = now  # when this life of it was listed here first
        self.used: tuple[float, float] | None = None
        self.others = (0.0, 0.0)  # last reported use less our guests' share
        self.reported_at = self.probed_at = self.heard_at = -10**15
        self.guests: dict[str, Guest] = {}
        self.bears, self.starting = 1.0, 0  # of our guests: the least full_service_load, and how many do not run yet
        self.services: dict[str, int] = {}  # our guests here by service; emptied as they go
        self.kept: dict[str, None] = {}  # services that ended here lately; the oldest falls out
        self.left: tuple[float, float] | None = None  # see room
        self.asked: tuple[float, float] | None = None  # by others, see _others; kept as long as `left`
        self.sums: tuple[list[float], list[float]] | None = None  # our guests' drawn use, round by round
        self.means = self.most = (0.0, 0.0)  # the mean and the highest of the sums
        self.full = [(0, 0.0), (0, 0.0)]  # until when it takes no ask of so many cores, so much memory
        self.answers: deque[int] = deque(maxlen=12)  # answer times; the oldest falls out
        self.slow: int | None = None  # see slowness; kept until an answer comes
        self.drawn_at = self.strikes = self.avoid_until = 0
        self.refuses = False  # says itself that it takes no work; until it passes a test
        self.mute = False  # gave no answer at all: a probe must answer before guests go there
        self.offers: deque[int] = deque()  # the last sent; emptied by age
        self.mark = int.from_bytes(blake2b(listed.machine.encode(), digest_size=8).digest())

    def room(self, facts: interface.Deployment) -> tuple[float, float]:
        """Cores and memory that may still be asked for; kept until a change."""
        if self.left is None:
            recent = list(self.guests.values())
            cores, memory = self.size
            if facts.list_shows_free:
                # A quarter second before the entry came: 1 s and 2.5 s left room unused in bursts.
                recent = [g for g in recent if g.sent_at > self.listed_at - SECOND // 4]
                cores, memory = self.listed.free_cores, self.listed.free_memory
            cores += (facts.cores_multiple - 1) * self.size.cores - sum(g.ask.cores for g in recent)
            memory += (facts.memory_multiple - 1) * self.size.memory - sum(g.ask.memory for g in recent)
            self.left = cores, memory
        return self.left

    def slowness(self) -> int:
        """A high quantile of its answer times, failures counted as a minute."""
        if self.slow is None:
            self.slow = sorted(self.answers)[int(0.8 * len(self.answers))]
        return self.slow

    def answered(self, took: int) -> None:
        self.answers.append(took)
        self.slow = None

    def place(self, reach: Scope) -> tuple[Scope, str]:
        """The group of machines that a ticket or a spread speaks of."""
        name = {Scope.CELL: f"{self.listed.zone}/{self.listed.cell}", Scope.ZONE: str(self.listed.zone),
                Scope.MACHINE: self.listed.machine}
        return reach, name.get(reach, "")

    def draw(self, random: Random, now: int) -> None:
        """Draws our guests' use afresh; a drawn table is good for a second, by which time the services'
        samples have moved on. Who comes or goes meanwhile brings or takes its own draws."""
        if self.sums is not None and now - self.drawn_at < SECOND:
            return
        cores, memory = [0.0] * ROUNDS, [0.0] * ROUNDS
        for guest in self.guests.values():
            guest.rounds = drawn(random, guest)
            for at, (c, m) in enumerate(guest.rounds):
                cores[at] += c
                memory[at] += m
        self.drawn_at = now
        self._sum(cores, memory)

    def _sum(self, cores: list[float], memory: list[float]) -> None:
        self.sums = cores, memory
        self.means, self.most = (sum(cores) / ROUNDS, sum(memory) / ROUNDS), (max(cores), max(memory))

    def changed(self, guest: Guest, sign: int) -> None:
        """A guest comes or goes: the sums follow if its draws are known, else they are drawn anew."""
        self.left = self.asked = None
        self.bears = min([g.product.full_service_load for g in self.guests.values()], default=1.0)
        self.starting += sign * (not guest.runs)
        here = self.services[guest.ask.service] = self.services.get(guest.ask.service, 0) + sign
        if not here:
            del self.services[guest.ask.service]
        if self.sums is None or guest.rounds is None:
            self.sums = None
            return
        cores, memory = self.sums
        self._sum([s + sign * c for s, (c, _) in zip(cores, guest.rounds, strict=True)],
                  [s + sign * m for s, (_, m) in zip(memory, guest.rounds, strict=True)])


def drawn(random: Random, guest: Guest) -> list[tuple[float, float]]:
    samples = guest.service.samples
    return random.choices(samples, k=ROUNDS) if samples else [(guest.ask.cores, guest.ask.memory)] * ROUNDS


class Scheduler:
    """One planner's knowledge and decisions."""

    def __init__(self, seed: int, deployment: interface.Deployment) -> None:
        self.random = Random(seed)
        self.deployment = deployment
        self.machines: dict[str, Machine] = {}  # emptied with the list
        self.guests: dict[str, Guest] = {}  # emptied by each guest's last outcome
        self.waiting: dict[str, Guest] = {}  # held guests, no dispatch out; emptied by dispatch or answer
        self.out: dict[str, Guest] = {}  # with a dispatch out, not yet taken; emptied by its outcome
        self.answer_at = 0  # no final answer is due before; 0: look, something may have changed that
        self.due: list[Guest] | None = None  # those to place at this moment; None: look anew
        self.services: dict[str, ServiceUsage] = {}  # swept of idle ones
        self.seated: dict[int, int] = defaultdict(int)  # guests with a machine, by priority
        self.spread: dict[tuple[str, Scope, str], int] = {}  # emptied as guests end
        # Start times, warm or cold, and answer times, by product: large guests take many times as long.
        self.starts: dict[tuple[int, bool], deque[int]] = defaultdict(lambda: deque(maxlen=50))
        self.answers: dict[int, deque[int]] = defaultdict(lambda: deque(maxlen=100))
        self.seen = [1.0, 1.0, 1.0, 1.0]  # cores and memory that guests use, and their asks: fading sums
        self.no_room: set[tuple] = set()  # shapes that found no machine; emptied as the clock moves
        self.looked_at = self.ask_list_at = self.sweep_at = self.probe_at = self.list_heard_at = 0
        self.kept_well = True  # see state_kept
        self.list_current = True  # see list_taken
        self.began, self.no_cold_until = -10**15, 0  # see machines_listed and remembered
        self.list_version = 0  # counts changes in who is ready
        self.typical, self.typical_until = SECOND, 0  # median slowness of machines, and until when it is kept
        self.to_probe: list[Machine] = []  # emptied at once by the decisions that follow
        self.to_call_off: deque[tuple[str, str]] = deque()  # guest and machine; emptied as to_probe

    # Inputs: they only update what is known.

    def machines_listed(self, now: int, entries: list[ListedMachine], whole: bool) -> None:
        self.list_heard_at = now if self.machines else now - 2 * SECOND  # the first may be an old copy
        if self.began == -10**15:  # what was cold before this life may have had an earlier one's share
            self.began, self.no_cold_until = now, now + self.deployment.cold_budget_window
        for entry in entries:
            machine = self.machines.get(entry.machine)
            if machine is None:
                self.machines[entry.machine] = Machine(entry, self.deployment.kinds[entry.machine_kind], now)
                self.list_version += 1
                continue
            self.list_version += entry.mode is not machine.listed.mode
            if entry.started > machine.listed.started:
                self._restarted(machine, entry.started)
                machine.listed_since = now
            machine.listed, machine.listed_at, machine.left, machine.asked = entry, now, None, None
            machine.size = self.deployment.kinds[entry.machine_kind]
            machine.ready = entry.mode is MachineMode.READY
        if whole:
            for name in self.machines.keys() - {entry.machine for entry in entries}:
                self.list_version += 1
                self.machines[name].ready = False
                self.machines[name].listed = self.machines[name].listed._replace(mode=MachineMode.GONE)
        # One gone while cold is kept until it would be warm: a list may name it again without its start.
        self.machines = {n: m for n, m in self.machines.items() if m.guests or m.listed.mode is not MachineMode.GONE
                         or now - m.cold_at < self.deployment.warmup_time}
        # News within two fifths of the time allowed shows that the list is still heard.
        self.ask_list_at = now + int(self.deployment.list_poll_limit * 0.4 * self.random.uniform(0.8, 1.2))
        self._changed(now)

    def list_taken(self, now: int, current: bool) -> None:
        """Whether the list is known to be current. If not, nothing is sent: any machine may be draining."""
        self.list_current = current
        self._changed(now)

    def list_heard(self, now: int) -> None:
        """The list service answered that nothing has changed."""
        self.list_heard_at = now
        self.ask_list_at = now + int(self.deployment.list_poll_limit * 0.4)

    def machine_refuses(self, now: int, name: str) -> None:
        """A machine failed a test in so many words: it takes no work, whatever the list says."""
        if machine := self.machines.get(name):
            self._suspect_drain(machine, now)

    def list_failed(self, now: int) -> None:
        self.ask_list_at = now + int(self.random.uniform(1, 3) * SECOND)  # drawn, so as not to march in step

    def guest_submitted(self, now: int, ask: interface.Submission) -> None:
        guest = self._known(now, ask)
        if ask.earlier_dispatch:  # guards against a second run by way of a second ask while the first is unsettled
            host, group = self.machines.get(ask.earlier_dispatch.machine), guest.product.dedup_scope
            guest.may_run, guest.bound = True, host.place(group) if host else (group, "")
            guest.window_ends = ask.earlier_dispatch.sent_at + guest.product.dedup_window
        guest.dispatches = ask.dispatches_used
        self.guests[ask.guest] = self.waiting[ask.guest] = guest
        self.answer_at = 0 if ask.earlier_dispatch or ask.dispatches_used else min(self.answer_at, guest.answer_by)
        self.due = None

    def restore_dispatch(self, now: int, machine: str, name: str, sent_at: int) -> None:
        """A dispatch of a held guest from before this life of the planner: out until its machine speaks."""
        guest = self.waiting.pop(name)
        guest.sent_at, self.due = sent_at, None
        self._seat(guest, self._host(machine, now))

    def persistence_changed(self, now: int, well: bool) -> None:
        """Whether what is sent is sure to be known after a crash. Guards against a second run of a guest
        whose dispatch was forgotten; costs those guests their place while the disk fails."""
        self.kept_well = well
        self._changed(now)


    def learned_state(self) -> interface.LearnedState:
        """What a later life of this planner may use."""
        return interface.LearnedState(
            {n: (s.seen, tuple(s.samples)) for n, s in self.services.items() if s.samples},
            tuple((*k, tuple(v)) for k, v in self.starts.items()),
            tuple((k, tuple(v)) for k, v in self.answers.items()), tuple(self.seen),
            {n: interface.MachineHealth(m.listed.started, m.cold_at, tuple(m.answers), tuple(m.kept), m.strikes,
                                 m.avoid_until, m.mute) for n, m in self.machines.items() if m.ready})

    def restore_offers(self, now: int, name: str, times: tuple[int, ...]) -> None:
        """Offers to a cold machine from before this life of the planner count against its budget."""
        self._host(name, now).offers.extend(times)

    def restore_learned(self, now: int, past: interface.LearnedState, complete: bool) -> None:
        """Takes what an earlier life learned, for machines that are still in the same life. Samples of
        services that were not seen for a minute are let go; strikes and rests go on by their own times. Where
        offers to cold machines may be forgotten, these get nothing until they would count no more."""
        self.began, self.no_cold_until = now, 0 if complete else now + 2 * self.deployment.cold_budget_window
        for name, (seen, samples) in past.services.items():
            if seen >= now - 60 * SECOND:
                service = self.services.setdefault(name, ServiceUsage())
                service.samples.extendleft(reversed(samples))
                service.seen = max(service.seen, seen)
        for product, warm, times in past.starts:
            self.starts[product, warm].extendleft(reversed(times))
        for product, times in past.answers:
            self.answers[product].extendleft(reversed(times))
        self.seen = [max(1.0, seen) for seen in past.seen]
        for name, health in past.machines.items():
            machine = self.machines.get(name)
            if machine and abs(machine.listed.started - health.started) < SECOND:
                machine.answers.extend(health.answers)
                machine.slow = None
                machine.kept = dict.fromkeys(health.kept)
                machine.cold_at = max(machine.cold_at, health.cold_at)
                machine.strikes, machine.mute = max(machine.strikes, health.strikes), health.mute
                machine.avoid_until = max(machine.avoid_until, health.avoid_until)

    def guest_discovered(self, now: int, machine: str, ask: interface.Submission) -> None:
        if ask.guest in self.guests:
            self._drop(self.guests[ask.guest])
        guest = self._known(now, ask)
        guest.placed = guest.runs = True
        self.guests[ask.guest] = guest
        self._seat(guest, self._host(machine, now))

    def _host(self, name: str, now: int) -> Machine:
        """The machine of this name; one not listed is gone, in no known place: no ticket is bound wrongly."""
        if name not in self.machines:
            gone = ListedMachine(name, MachineMode.GONE, 0, -1, -1, 0, 0.0, 0.0)
            self.machines[name] = Machine(gone, self.deployment.kinds[0], now)
        return self.machines[name]

    def guest_abandoned(self, now: int, name: str) -> None:
        if guest := self.guests.get(name):
            guest.over = True
            if guest.machine is None:
                self._drop(guest)

    def guest_cancelled(self, now: int, name: str) -> None:
        """Its owner no longer wants it, held, out or running."""
        if guest := self.guests.get(name):
            guest.unwanted, self.answer_at = True, 0
            if guest.machine:
                self.to_call_off.append((name, guest.machine.listed.machine))

    def late_copy_accepted(self, now: int, machine: str, ask: interface.Submission) -> None:
        """A machine accepted a dispatch that was given up. Guards against a guest that runs in nobody's
        hands, and against two copies; a rerunnable copy goes even if the other dispatch is then refused."""
        held = self.guests.get(ask.guest)
        effect = self.deployment.products[ask.product].repeat
        if ask.guest in self.waiting or not held and effect is not RepeatSemantics.IDEMPOTENT:
            self.guest_discovered(now, machine, ask)
        elif effect is RepeatSemantics.IDEMPOTENT or effect is RepeatSemantics.DEDUPLICATED and held.placed:
            self.to_call_off.append((ask.guest, machine))

    def dispatch_accepted(self, now: int, name: str, took: int) -> None:
        if not (guest := self.guests.get(name)) or not guest.machine:
            return
        guest.placed, guest.machine.left, guest.machine.asked = True, None, None
        self.out.pop(name, None)
        guest.machine.answered(took)
        self.answers[guest.ask.product].append(took)
        guest.machine.strikes, guest.machine.mute, guest.machine.heard_at = 0, False, now
        if guest.unwanted:  # the call-off crossed with this answer: now it stops what runs
            self.to_call_off.append((name, guest.machine.listed.machine))
        if self.deployment.confirms_when_running:
            self._started(guest, now)

    def guest_started(self, now: int, name: str) -> None:
        if (guest := self.guests.get(name)) and guest.machine and not guest.runs:
            self._started(guest, now)

    def dispatch_not_sent(self, now: int, name: str) -> None:
        """The dispatch that is about to end did not leave this planner: it is none of those that the guest
        may have. What kept it here may hold for a moment."""
        if (guest := self.guests.get(name)) and guest.machine:
            guest.dispatches -= 1
            guest.rests_until = now + SECOND // 20

    def dispatch_ended(self, now: int, name: str, ending: DispatchOutcome, closed: bool, remark: OutcomeReason) -> None:
        if not (guest := self.guests.get(name)) or not (host := guest.machine):
            return
        self._unseat(guest)
        self._judge(host, guest, ending, remark, now)
        self._changed(now)
        if guest.over or closed or guest.placed:
            self._drop(guest)
            return
        if ending not in NEVER_RAN:
            if not guest.may_run:
                guest.window_ends = guest.sent_at + guest.product.dedup_window
            guest.may_run, guest.bound = True, host.place(guest.product.dedup_scope)
        # A refusal may come twice: an exclusive guest stays away from those that refused it, too.
        once = guest.product.repeat is RepeatSemantics.AT_MOST_ONCE and ending is DispatchOutcome.REFUSED
        if not self.deployment.dispatches_identified and (once or ending not in NEVER_RAN):
            guest.tried.append(host.listed.machine)
        if ending is DispatchOutcome.REFUSED and guest.dispatches > 1:
            # Twice refused: everybody is after the same room. The rest of its dispatches are spread over its
            # patience, drawn so that crowds thin out, from a quarter second and twice as long each time.
            guest.rests_until = now + int(SECOND // 8 * 2 ** guest.dispatches * self.random.uniform(0.5, 1.5))
        guest.look_at, self.waiting[name] = max(now, guest.rests_until), guest
        self.answer_at, self.due = 0, None  # it may be at the end of what it may try

    def machine_reported(self, now: int, name: str, load: interface.Load | None) -> None:
        if not (machine := self.machines.get(name)) or load is None:
            return
        size, used = machine.size, not self.deployment.reports_count_requested
        cores = None if load.busy is None else load.busy * size.cores
        if cores is None and used and load.cores_free is not None:
            cores = size.cores - load.cores_free
        memory = size.memory - load.memory_free if used and load.memory_free is not None else None
        self._reported(machine, cores, memory, now)

    def probe_answered(self, now: int, name: str, well: bool) -> None:
        if (machine := self.machines.get(name)) is None:
            return
        if not well:
            self._strike(machine, now, mute=True)
        elif machine.mute:
            machine.strikes = machine.strikes if machine.refuses else 0
            machine.mute = machine.refuses = False
            self._changed(now)

    def cores_used(self, now: int, name: str, cores: float) -> None:
        if name in self.guests:
            self.guests[name].cores_noted = cores

    def memory_used(self, now: int, name: str, memory: float) -> None:
        if guest := self.guests.get(name):
            guest.use = (guest.cores_noted, memory)
            news = *guest.use, guest.ask.cores, guest.ask.memory
            self.seen = [0.98 * s + n for s, n in zip(self.seen, news, strict=True)]  # some fifty notes
            guest.service.samples.append(guest.use)

    def service_level_reported(self, now: int, name: str, share: float) -> None:
        if (guest := self.guests.get(name)) and (machine := guest.machine) and share < 0.95:
            # A poorly served guest tells how far the cores are past what its product bears.
            busy = guest.product.full_service_load + (1 - share) * guest.product.service_fade
            self._reported(machine, max((machine.used or (0.0,))[0], busy * machine.size.cores), None, now)

    def memory_pressure_reported(self, now: int, name: str, share: float) -> None:
        if name in self.machines:
            self._reported(self.machines[name], None, share * self.machines[name].size.memory, now)

    def _known(self, now: int, ask: interface.Submission) -> Guest:
        if now >= self.sweep_at:  # a minute's rest: longer than a service's guests stay away between tries
            self.sweep_at = now + 60 * SECOND
            self.services = {n: s for n, s in self.services.items() if s.guests or s.seen >= now - 60_000_000}
        service = self.services.setdefault(ask.service, ServiceUsage())
        service.guests, service.seen = service.guests + 1, now
        return Guest(ask, self.deployment.products[ask.product], service, now)

    def _drop(self, guest: Guest) -> None:
        name = guest.ask.guest
        if guest.machine is not None:
            self._unseat(guest)
        if self.waiting.pop(name, None):
            self.due = None
        if self.guests.pop(name, None) is not None:
            guest.service.guests -= 1

    def _seat(self, guest: Guest, machine: Machine) -> None:
        guest.machine = machine
        machine.guests[guest.ask.guest] = guest
        if not guest.placed:
            self.out[guest.ask.guest] = guest
        machine.changed(guest, 1)
        guest.spread_key = key = self._spread_key(guest, machine)
        self.spread[key] = self.spread.get(key, 0) + 1
        self.seated[guest.product.priority] += 1

    def _unseat(self, guest: Guest) -> None:
        machine, key = guest.machine, guest.spread_key
        self.seated[guest.product.priority] -= 1
        self.spread[key] -= 1
        if not self.spread[key]:
            del self.spread[key]
        del machine.guests[guest.ask.guest]
        self.out.pop(guest.ask.guest, None)
        machine.changed(guest, -1)
        guest.machine = None
        if guest.runs:
            machine.kept.pop(guest.ask.service, None)
            machine.kept[guest.ask.service] = None
            if len(machine.kept) > 4:  # few, so that a program counted as kept seldom is gone
                del machine.kept[next(iter(machine.kept))]

    def _spread_key(self, guest: Guest, machine: Machine) -> tuple[str, Scope, str]:
        return guest.ask.service, *machine.place(guest.product.spread_scope)

    def _started(self, guest: Guest, now: int) -> None:
        guest.machine.starting -= not guest.runs
        guest.runs = True
        self.starts[guest.ask.product, guest.warm].append(int((now - guest.sent_at) / (1 + guest.ahead / 2)))

    def _restarted(self, machine: Machine, at: int) -> None:
        machine.cold_at = max(machine.cold_at, at)
        machine.kept.clear()
        machine.used = None

    def _reported(self, machine: Machine, cores: float | None, memory: float | None, now: int) -> None:
        """Takes a machine's own word on its use and sets our running guests' share aside."""
        uses = [g.use or g.service.weight(g.ask) for g in machine.guests.values() if g.runs]
        ours = sum(u[0] for u in uses), sum(u[1] for u in uses)
        old = self._others(machine, now) or (0.0, 0.0)
        machine.used = (old[0] + ours[0] if cores is None else cores,
                        old[1] + ours[1] if memory is None else memory)
        machine.others = max(0.0, machine.used[0] - ours[0]), max(0.0, machine.used[1] - ours[1])
        machine.reported_at = machine.heard_at = now

    def _others(self, machine: Machine, now: int) -> tuple[float, float] | None:
        """What others use of a machine. Where the list shows room, a report older than two seconds gives way
        to what others ask there by the list, in our guests' proportion of use to asks. Guards against any
        cause of late or missing reports."""
        if (now - machine.reported_at <= 2 * SECOND or machine.reported_at > self.list_heard_at
                or not self.deployment.list_shows_free):
            return machine.others if machine.used is not None else None
        if machine.asked is None:
            listed, size = machine.listed, machine.size
            ours = [g.ask for g in machine.guests.values() if g.sent_at <= machine.listed_at - SECOND // 4]
            machine.asked = (max(0.0, size.cores - listed.free_cores - sum(a.cores for a in ours)),
                             max(0.0, size.memory - listed.free_memory - sum(a.memory for a in ours)))
        cores, memory, cores_asked, memory_asked = self.seen
        return machine.asked[0] * cores / cores_asked, machine.asked[1] * memory / memory_asked

    def _changed(self, now: int) -> None:
        """Something may have made room: held guests are looked at again, at most every 50 ms each."""
        self.due = None
        for guest in self.waiting.values():
            guest.look_at = min(guest.look_at, max(now, guest.looked_at + SECOND // 20, guest.rests_until))

    def _judge(self, machine: Machine, guest: Guest, ending: DispatchOutcome, remark: OutcomeReason, now: int) -> None:
        """What an ended dispatch says of its machine."""
        if ending is DispatchOutcome.REFUSED:
            if remark in (OutcomeReason.QUEUE_FULL, OutcomeReason.NONE):
                # Against any crowd of offers, and a refusal that comes twice: about as long as lines last.
                machine.full[0] = now + SECOND // 4, 0.0
            elif remark in (OutcomeReason.NO_CORES, OutcomeReason.NO_MEMORY):
                axis, much = (0, guest.ask.cores) if remark is OutcomeReason.NO_CORES else (1, guest.ask.memory)
                machine.full[axis] = now + SECOND, much  # about a list period
            elif remark is OutcomeReason.NOT_ACCEPTED and self._tests_are_told():
                self._suspect_drain(machine, now)
            elif remark is OutcomeReason.NOT_ACCEPTED and not guest.may_run:
                machine.avoid_until = now + SECOND
        elif ending is DispatchOutcome.INTERRUPTED and guest.placed:
            if remark is OutcomeReason.DRAINED and self._tests_are_told():
                self._suspect_drain(machine, now)
            if remark is OutcomeReason.NONE and now - machine.cold_at > SECOND:
                self._restarted(machine, now)
                self._strike(machine, now, mute=True)
        elif ending in (DispatchOutcome.UNREACHABLE, DispatchOutcome.TIMED_OUT):
            if ending is DispatchOutcome.UNREACHABLE or machine.heard_at <= guest.sent_at:
                self._strike(machine, now, mute=True)
            if ending is DispatchOutcome.UNREACHABLE and now - machine.cold_at > self.deployment.warmup_time:
                self._restarted(machine, now)
        elif not guest.placed and ending in (DispatchOutcome.ERROR, DispatchOutcome.INTERRUPTED):
            machine.answered(60 * SECOND)
            self._strike(machine, now, mute=False)

    def _tests_are_told(self) -> bool:
        """Whether a machine that says that it takes no work can be asked again, and its answer is heard."""
        return self.deployment.probing and self.deployment.list_lease > 0

    def _suspect_drain(self, machine: Machine, now: int) -> None:
        """A machine says itself that it takes no work, before the list does: it has to pass a test. One that
        says so again and passes its tests all the same is kept away from for longer each time."""
        if not machine.refuses:
            self._strike(machine, now, mute=True)
        machine.refuses = machine.mute = True
        self.probe_at = 0

    def _strike(self, machine: Machine, now: int, mute: bool) -> None:
        """A failure keeps guests away, twice as long each time in a row, from a third of a second to 8 s."""
        machine.strikes = min(machine.strikes + 1, 6)
        machine.mute = machine.mute or mute and self.deployment.probing
        span = min(8 * SECOND, SECOND // 6 * 2 ** machine.strikes)
        machine.avoid_until = max(machine.avoid_until, now + int(span * self.random.uniform(0.8, 1.2)))

    def _avoided(self, machine: Machine, now: int) -> bool:
        if machine.mute or now < machine.avoid_until or machine.strikes and machine.starting:
            return True  # the last: on trial, one guest at a time
        # Four times its fellows' median and two seconds more: half a second also caught dear cold starts.
        if len(machine.answers) >= 4 and machine.slowness() > 4 * self.typical + 2 * SECOND:
            machine.answers.clear()
            machine.slow = None
            self._strike(machine, now, mute=False)
            return True
        return False

    def decide(self, now: int) -> Decision | None:
        """The next thing to do at this moment, or None."""
        if self.to_call_off:
            return Decision(DecisionKind.WITHDRAW, *self.to_call_off.popleft())
        return self._keep_list(now) or self._answer_due(now) or self._place_next(now) or self._probe(now)

    def next_decision_at(self, now: int) -> int | None:
        times = [min(g.look_at, g.answer_by) for g in self.waiting.values()]
        if self.deployment.list_is_polled:
            times.append(self.ask_list_at)
        times += [max(m.avoid_until, self.probe_at) for m in self.machines.values() if m.mute and m.ready]
        times += [g.patience_at for g in self.out.values() if not g.over]
        return max(now, min(times)) if times else None

    def _keep_list(self, now: int) -> Decision | None:
        if not self.deployment.list_is_polled or now < self.ask_list_at:
            return None
        self.ask_list_at = now + int(self.random.uniform(2, 3) * SECOND)  # an answer is due before
        return Decision(DecisionKind.WATCH_LIST)

    def _answer_due(self, now: int) -> Decision | None:
        """The next final answer; all guests are looked through only when one may be due."""
        if now < self.answer_at:
            return None
        for guest in self.waiting.values():
            product = guest.product
            spent = guest.dispatches >= self.deployment.max_dispatches
            stuck = guest.may_run and (
                product.repeat is RepeatSemantics.AT_MOST_ONCE
                or product.repeat is RepeatSemantics.DEDUPLICATED and now >= guest.window_ends - SECOND // 20)
            if spent or stuck or guest.unwanted or now >= guest.answer_by:
                step = DecisionKind.REFUSE if guest.may_turn_back() else DecisionKind.FAIL
                self._drop(guest)
                return Decision(step, guest.ask.guest)
        for guest in self.guests.values():
            if guest.machine and not guest.placed and not guest.over and now >= guest.patience_at:
                guest.over = True
                return Decision(DecisionKind.FAIL, guest.ask.guest)
        # A dispatch that ends clears this; until then only time makes an answer due.
        self.answer_at = min([g.patience_at for g in self.out.values() if not g.over] + [
            min(g.answer_by, g.window_ends - SECOND // 20) if g.may_run and (
                g.product.repeat is RepeatSemantics.DEDUPLICATED) else g.answer_by
            for g in self.waiting.values()], default=now + 60 * SECOND)
        return None

    def _wait_for_list(self, now: int) -> None:
        """Held guests are looked at again when the list is known to be current; see list_taken."""
        for guest in self.waiting.values():
            if guest.look_at <= now:
                guest.look_at = now + SECOND // 5

    def _place_next(self, now: int) -> Decision | None:
        if not self.list_current:
            self._wait_for_list(now)
            return None
        if now != self.looked_at:
            self.looked_at, self.no_room, self.due = now, set(), None
        if self.due is None:  # sorted once a moment; who was looked at falls out at the end
            due = [g for g in self.waiting.values() if g.look_at <= now]
            if not self.kept_well:
                for guest in [g for g in due if g.product.repeat is not RepeatSemantics.IDEMPOTENT]:
                    due.remove(guest)
                    guest.look_at = now + SECOND // 5
            self.due = sorted(due, key=lambda g: (-g.product.value * g.ask.memory, g.patience_at))
            self.due.reverse()
        while self.due:
            guest = self.due.pop()
            shape = guest.ask._replace(guest="", time_left=0), guest.bound
            machine = None if shape in self.no_room else self._pick(guest, now)
            if machine is None:
                if guest.rests_until <= now:
                    self.no_room.add(shape)
                guest.looked_at = now
                guest.look_at = guest.rests_until if guest.rests_until > now else now + SECOND // 5
                continue
            span = self._span(guest, now)
            guest.ahead, guest.warm = machine.starting, self._warm(guest, machine)
            guest.dispatches, guest.sent_at = guest.dispatches + 1, now
            del self.waiting[guest.ask.guest]
            self._seat(guest, machine)
            machine.offers.append(now)
            return Decision(DecisionKind.DISPATCH, guest.ask.guest, machine.listed.machine, span)
        return None

    def _span(self, guest: Guest, now: int) -> int:
        """How long to wait for an answer: well past what machines take, never past the patience."""
        left, seen = guest.answer_by - now, self.answers[guest.ask.product]
        if guest.dispatches + 1 >= self.deployment.max_dispatches or not seen:
            return left
        # Three times the 95th percentile: what is later than that is seldom still coming.
        return min(left, max(3 * sorted(seen)[int(0.95 * len(seen))], SECOND // 2))

    def _warm(self, guest: Guest, machine: Machine) -> bool:
        return guest.ask.service in machine.kept or guest.ask.service in machine.services

    def _allowed(self, guest: Guest, machine: Machine, now: int) -> bool:
        """The rules: what no ranking may go round."""
        product, facts = guest.product, self.deployment
        if not machine.ready or machine.refuses or product.machine_kind not in (-1, machine.listed.machine_kind):
            return False
        if machine.listed.machine in guest.tried:  # guards against two copies: it may speak late
            return False
        if guest.bound and product.repeat is RepeatSemantics.DEDUPLICATED and machine.place(product.dedup_scope) != guest.bound:
            return False
        if (product.spread_scope is not Scope.NOWHERE
                and self.spread.get(self._spread_key(guest, machine), 0) >= product.spread_limit):
            return False
        while machine.offers and machine.offers[0] < now - 2 * facts.cold_budget_window:
            machine.offers.popleft()
        cold = now - machine.cold_at < facts.warmup_time
        if not cold and not self._may_be_cold(machine, now):
            return True
        if cold and now < self.no_cold_until and machine.cold_at <= self.began:
            return False
        # Twice the window and four fifths of the budget: offers travel, and chance is counted against us too.
        # Planners take turns at single offers, from a start that the machine's id fixes: these sum to it.
        turn = (facts.slot + machine.mark) % facts.planners
        return len(machine.offers) <= (int(facts.cold_offers * 0.8) - 1 - turn) // facts.planners

    def _may_be_cold(self, machine: Machine, now: int) -> bool:
        """Guards against a wall clock that was stepped, here or where ages come from: a machine that was
        started late is known to be warm only once it has been listed here for as long as one stays cold."""
        facts = self.deployment
        late_start = facts.ages_by_clock and machine.listed.started > 0
        return late_start and now - machine.listed_since < facts.warmup_time

    def _has_room(self, guest: Guest, machine: Machine, now: int, way: str) -> bool:
        ask = guest.ask
        if any(now < until and want >= much
               for (until, much), want in zip(machine.full, (ask.cores, ask.memory), strict=True)):
            return False
        cores, memory = machine.room(self.deployment)
        if way == "pushed":
            # Of all that is asked there, the part that is lower among our own guests anywhere.
            lower = sum(n for priority, n in self.seated.items() if priority < guest.product.priority)
            part = lower / max(1, sum(self.seated.values()))
            cores += part * max(0.0, machine.size.cores - machine.listed.free_cores)
            memory += part * max(0.0, machine.size.memory - machine.listed.free_memory)
        return way == "unknown" or ask.cores <= cores and ask.memory <= memory

    def _pick(self, guest: Guest, now: int) -> Machine | None:
        ready = self._order(guest)
        if now >= self.typical_until:  # a look through all machines costs: at most 20 a second
            self.typical_until = now + SECOND // 20
            usual = sorted(m.slowness() for m in ready if m.answers)
            self.typical = usual[(len(usual) - 1) // 2] if usual else SECOND
        # Of 12, 6, 3 and 2 at 93 and more planners, of 103 and 3 at 16, 3 was best; at 2 to 6 all were.
        look = 3 if self.deployment.planners > 8 else len(ready)
        steps = [(ready, 9.9)]
        if self.deployment.fleet_price > 0:
            # Each machine in use costs: the emptiest of them is left to drain, and an empty one is opened,
            # only when the best of the rest bears a likely loss (three tenths: a first guess).
            empty = [m for m in ready if not m.guests and m.listed.free_cores >= m.size.cores]
            used = [m for m in ready if m not in empty]
            drain = max(used, key=lambda m: m.listed.free_cores / m.size.cores, default=None)
            steps = [([m for m in used if m is not drain], 0.1), (used, 0.3), (empty[:1] + used, 9.9), *steps]
        pushes = self.deployment.preempts and guest.product.priority
        # Room by a list that is down, slow or old is worth little: refusals may be the cost.
        silent = now - self.list_heard_at >= 2 * SECOND
        for way in ("shown", "pushed", "unknown", "distrust"):
            # With most machines looking bad at once, distrust the judgement and go on placing.
            if (way == "pushed" and not pushes or way == "unknown" and not silent or way == "distrust"
                    and 2 * sum(m.mute or now < m.avoid_until for m in ready) <= len(ready)):
                continue
            for field, bears in steps:
                fit = (m for m in field if self._allowed(guest, m, now) and self._has_room(guest, m, now, way)
                       and (way == "distrust" or not self._avoided(m, now)))
                first = list(islice(fit, look))
                if self.deployment.reports_on_probe and look < len(ready) and not guest.probed_for:
                    # Where only probes bring reports, those few are asked, once a guest, and get a moment.
                    self.to_probe = [m for m in first if max(m.reported_at, m.probed_at) < now - SECOND // 2]
                    guest.probed_for, guest.rests_until = True, now + SECOND // 20 * bool(self.to_probe)
                    if self.to_probe:
                        return None
                picked = self._best(guest, first, ready if len(ready) <= look else first, now)
                if picked is not None and picked[0] < bears:
                    return picked[1]
        return None

    def _order(self, guest: Guest) -> list[Machine]:
        """The ready machines in an order of the service's own, the same at all planners. Many planners weigh
        only the first that may take the guest: a service comes together where its program runs, and guests of
        other services do not all meet on the one machine that the late list shows as best."""
        if (service := guest.service).order_of != self.list_version:
            service.order_of = self.list_version
            own = int.from_bytes(blake2b(guest.ask.service.encode(), digest_size=8).digest())
            service.order = sorted((m for m in self.machines.values() if m.ready), key=lambda m: (
                (m.mark ^ own) * 0x9E3779B97F4A7C15 & (1 << 64) - 1))  # mixed by the golden ratio
        return service.order

    def _best(self, guest: Guest, healthy: list[Machine], ready: list[Machine],
              now: int) -> tuple[float, Machine] | None:
        """The design's pick: lowest load spread times one plus expected violations, near-ties by chance."""
        loads: dict[Machine, tuple[float, float]] = {}
        for machine in ready:
            machine.draw(self.random, now)
            if others := self._others(machine, now):
                loads[machine] = ((others[0] + machine.means[0]) / machine.size.cores,
                                  (others[1] + machine.means[1]) / machine.size.memory)
        known = list(loads.values()) or [(0.5, 0.5)]
        average = tuple(sum(axis) / len(known) for axis in zip(*known, strict=True))
        loads = {machine: loads.get(machine, average) for machine in ready}
        totals = [sum(l[axis] for l in loads.values()) for axis in (0, 1)]
        squares = [sum(l[axis] ** 2 for l in loads.values()) for axis in (0, 1)]
        weight = guest.service.weight(guest.ask)
        rounds = guest.rounds = drawn(self.random, guest)
        most = max(r[0] for r in rounds), max(r[1] for r in rounds)
        # Start times, warm or cold as this guest would be: sorted, and their sum.
        times = {w: self.starts.get((guest.ask.product, w)) for w in (False, True)}
        starts = {w: (sorted(seen), sum(seen)) for w, seen in times.items() if seen}
        scored = []
        for machine in healthy:
            spread = 0.0
            for axis, size in ((0, machine.size.cores), (1, machine.size.memory)):
                before = loads[machine][axis]
                after = before + weight[axis] / size
                mean = (totals[axis] - before + after) / len(loads)
                spread += sqrt(max(0.0, (squares[axis] - before ** 2 + after ** 2) / len(loads) - mean ** 2))
            overflow = self._overflow(guest, machine, rounds, most, loads[machine])
            expected = overflow + self._late(guest, machine, now, starts)
            scored.append((max(spread, 0.02) * (1 + expected), expected, machine))
        if not scored:
            return None
        limit = TIE * min(s[0] for s in scored)
        near = [s for s in scored if s[0] <= limit]
        return near[self.random.randrange(len(near))][1:]

    def _overflow(self, guest: Guest, machine: Machine, rounds: list[tuple[float, float]],
                  most: tuple[float, float], load: tuple[float, float]) -> float:
        """The share of drawn rounds in which the machine passes 90% of its cores or memory."""
        size = machine.size
        others = load[0] * size.cores - machine.means[0], load[1] * size.memory - machine.means[1]
        # The design's 90%, or the load up to which the touchiest product here is fully served.
        bears = min(0.9, guest.product.full_service_load, machine.bears)
        cores, memory = bears * size.cores - max(0.0, others[0]), 0.9 * size.memory - max(0.0, others[1])
        if machine.most[0] + most[0] <= cores and machine.most[1] + most[1] <= memory:
            return 0.0
        return sum(sc + c > cores or sm + m > memory
                   for sc, sm, (c, m) in zip(*machine.sums, rounds, strict=True)) / ROUNDS

    def _late(self, guest: Guest, machine: Machine, now: int,
              starts: dict[bool, tuple[list[int], int]]) -> float:
        """What waiting for the start costs, in parts of a start in time: the share of recent starts, warm or
        cold as this one, that would miss the goal time here, and the seconds not served until then."""
        seen, total = starts.get(self._warm(guest, machine), ((), 0))
        if not seen:  # an unseen cold start is presumed late, but not so as to open machines that cost
            return 0.0 if self._warm(guest, machine) or self.deployment.fleet_price > 0 else 1.0
        age = max(0.0, min(1.0, (now - machine.cold_at) / self.deployment.warmup_time))
        pace = self.deployment.cold_from + (1 - self.deployment.cold_from) * age
        slower = (1 + machine.starting / 2) / pace
        limit = (guest.goal_at - now) / slower
        wait = total / len(seen) * slower / SECOND
        late = (len(seen) - bisect_right(seen, limit)) / len(seen)
        return late + wait / max(1.0, guest.product.start_value)

    def _probe(self, now: int) -> Decision | None:
        if self.to_probe:
            return self._asked(self.to_probe.pop(), now)
        if not self.deployment.probing or now < self.probe_at:
            return None
        for machine in self.machines.values():
            if machine.mute and machine.ready and now >= machine.avoid_until:
                machine.avoid_until = now + SECOND
                return self._asked(machine, now)
        # Few planners hear of each machine once a second. Many could not keep up with the fleet.
        heard = [(max(m.reported_at, m.probed_at), n) for n, m in self.machines.items()
                 if m.ready and not m.mute and self.deployment.planners <= 8]
        if not heard or now - min(heard)[0] <= SECOND:
            self.probe_at = now + SECOND // 20  # a look through all machines costs: at most 20 a second
            return None
        return self._asked(self.machines[min(heard)[1]], now)

    def _asked(self, machine: Machine, now: int) -> Decision:
        machine.probed_at = now
        return Decision(DecisionKind.PROBE, machine=machine.listed.machine)
