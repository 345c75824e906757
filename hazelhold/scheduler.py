"""Decides where guests are placed: the decision logic of one planner.

The host creates one Scheduler per planner from a seed and a Deployment and reports events through the input
methods (machines_listed to memory_pressure_reported), which only update state. It then carries out what
decide(now) returns until that is None; next_decision_at(now) tells when to call again. Times are in
microseconds. The types of inputs and decisions are defined in interface.py.
"""

from bisect import bisect_right
from collections import defaultdict, deque
from hashlib import blake2b
from itertools import islice
from math import sqrt
from random import Random

from hazelhold import interface
from hazelhold.cold_start_policy import is_restarted, own_share, start_that_counts
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
from hazelhold.placement_pace import PlacementPace
from hazelhold.service_usage import ServiceTable, ServiceUsage

SECOND = 1_000_000
NEVER_RAN = (DispatchOutcome.REFUSED, DispatchOutcome.UNREACHABLE, DispatchOutcome.NOT_SENT)
DRAWS = 100  # Monte Carlo draws of a guest's use, as the design specifies
ANSWER_LEAD = SECOND // 50  # a few ticks of the host: final answers are given so long before they are due
WEIGHING_WORK = 8  # of one candidate, in machines considered
TIE_TOLERANCE = 1.001  # one guest changes the spread by 1% at most: 5% would make the choice random


class Guest:
    """A guest that this planner holds, has dispatched or has placed, from its submission to its end."""

    def __init__(self, submission: interface.Submission, guest_class: interface.GuestClass,
                 service: ServiceUsage, now: int) -> None:
        self.submission, self.guest_class, self.service = submission, guest_class, service
        self.start_target_at, self.deadline = now + guest_class.start_target, now + submission.time_left
        self.answer_due = self.deadline - ANSWER_LEAD
        self.machine: Machine | None = None  # where a dispatch is outstanding, or where it runs
        self.placed = self.runs = self.warm = self.may_have_run = False
        self.answered = self.load_probed = False  # answered: though its last dispatch is still outstanding
        self.cancelled = False  # by its owner
        self.dispatches = self.sent_at = self.starts_ahead = 0  # starts_ahead: our other starts there
        self.spread_key: tuple[str, Scope, str] | None = None
        self.dedup_group: tuple[Scope, int] | None = None  # the machines that know its idempotency key
        self.excluded_machines: list[str] = []  # these may still report an ended dispatch
        self.window_ends, self.cores_noted = 0, 0.0
        self.reconsider_at, self.considered_at, self.retry_at = now, 0, now
        self.use: tuple[float, float] | None = None
        self.draws: list[tuple[float, float]] | None = None  # as included in its machine's draw_totals

    def may_refuse(self) -> bool:
        """Whether the final answer may be a refusal, which promises that submitting again is harmless."""
        repeat = self.guest_class.repeat
        return (not self.may_have_run or repeat is RepeatSemantics.IDEMPOTENT
                or repeat is RepeatSemantics.DEDUPLICATED and self.guest_class.dedup_scope is Scope.ALL)


class Machine:
    """State of one machine; dropped when it has left the list and holds no guest of this planner."""

    def __init__(self, listed: ListedMachine, size: interface.MachineKind, now: int) -> None:
        self.listed, self.size, self.listed_at = listed, size, now
        self.ready = listed.mode is MachineMode.READY
        self.cold_at = listed.started if listed.started else -10**15
        self.listed_since = now  # when its current incarnation was listed here first
        self.used: tuple[float, float] | None = None
        self.used_by_others = (0.0, 0.0)  # last reported use less the share of our guests
        self.reported_at = self.probed_at = self.heard_at = -10**15
        self.guests: dict[str, Guest] = {}
        self.full_service_load, self.starting = 1.0, 0  # of our guests: the lowest; how many do not run yet
        self.services: dict[str, int] = {}  # number of our guests here by service
        self.cached_services: dict[str, None] = {}  # services that ended here lately; the oldest is dropped
        self.free: tuple[float, float] | None = None  # cached by free_capacity
        self.requested_by_others: tuple[float, float] | None = None  # see _usage_by_others
        self.draw_totals: tuple[list[float], list[float]] | None = None  # our guests' sampled use, per draw
        self.draw_means = self.draw_maxima = (0.0, 0.0)  # of draw_totals
        self.refused_until = [(0, 0.0), (0, 0.0)]  # by resource: until when, and from which request upwards
        self.answers: deque[int] = deque(maxlen=12)  # the latest answer times
        self.slowness_cache: int | None = None  # see slowness; cleared by each answer
        self.drawn_at = self.failures = self.backoff_until = 0
        self.refuses = False  # it reported itself that it takes no guests; until it passes a probe
        self.unresponsive = False  # did not answer: it must answer a probe before guests are sent there
        self.offers: deque[int] = deque()  # times of the latest offers; expired by age
        self.id_hash = int.from_bytes(blake2b(listed.machine.encode(), digest_size=8).digest())

    def free_capacity(self, deployment: interface.Deployment) -> tuple[float, float]:
        """Cores and memory that new guests may still request; cached until a change."""
        if self.free is None:
            recent = list(self.guests.values())
            cores, memory = self.size
            if deployment.list_shows_free:
                # The entry covers guests sent over 0.25 s before it: with 1 s and 2.5 s, bursts left
                # capacity unused.
                recent = [g for g in recent if g.sent_at > self.listed_at - SECOND // 4]
                cores, memory = self.listed.free_cores, self.listed.free_memory
            cores += ((deployment.cores_multiple - 1) * self.size.cores
                      - sum(g.submission.cores for g in recent))
            memory += ((deployment.memory_multiple - 1) * self.size.memory
                       - sum(g.submission.memory for g in recent))
            self.free = cores, memory
        return self.free

    def slowness(self) -> int:
        """The 80th percentile of its answer times in microseconds; a failure counts as one minute."""
        if self.slowness_cache is None:
            self.slowness_cache = sorted(self.answers)[int(0.8 * len(self.answers))]
        return self.slowness_cache

    def answer_received(self, duration: int) -> None:
        self.answers.append(duration)
        self.slowness_cache = None

    def scope_key(self, scope: Scope) -> tuple[Scope, str]:
        """Identifies the group of machines of this scope that the machine belongs to."""
        name = {Scope.CELL: f"{self.listed.zone}/{self.listed.cell}", Scope.ZONE: str(self.listed.zone),
                Scope.MACHINE: self.listed.machine}
        return scope, name.get(scope, "")

    def draw(self, random: Random, now: int) -> None:
        """Samples the use of our guests. Draws are kept for one second, after which the services' samples
        have changed; a guest that arrives or leaves meanwhile adds or subtracts its own draws."""
        if self.draw_totals is not None and now - self.drawn_at < SECOND:
            return
        # Without samples all draws of a guest are the same: a machine may have very many such guests.
        without = [g for g in self.guests.values() if not g.service.samples]
        cores = [sum(g.submission.cores for g in without)] * DRAWS
        memory = [sum(g.submission.memory for g in without)] * DRAWS
        for guest in without:
            guest.draws = draw_use(random, guest)
        for guest in self.guests.values():
            if not guest.service.samples:
                continue
            guest.draws = draw_use(random, guest)
            for at, (c, m) in enumerate(guest.draws):
                cores[at] += c
                memory[at] += m
        self.drawn_at = now
        self._set_totals(cores, memory)

    def _set_totals(self, cores: list[float], memory: list[float]) -> None:
        self.draw_totals = cores, memory
        self.draw_means, self.draw_maxima = (
            (sum(cores) / DRAWS, sum(memory) / DRAWS), (max(cores), max(memory)))

    def guest_changed(self, guest: Guest, sign: int) -> None:
        """A guest was added (sign 1) or removed (-1). The draw totals are adjusted if the guest has draws,
        otherwise they are drawn again."""
        self.free = self.requested_by_others = None
        load = guest.guest_class.full_service_load
        if sign > 0:
            self.full_service_load = load if len(self.guests) == 1 else min(load, self.full_service_load)
        elif load <= self.full_service_load:
            self.full_service_load = min(
                [g.guest_class.full_service_load for g in self.guests.values()], default=1.0)
        self.starting += sign * (not guest.runs)
        count = self.services[guest.submission.service] = (
            self.services.get(guest.submission.service, 0) + sign)
        if not count:
            del self.services[guest.submission.service]
        if self.draw_totals is None or guest.draws is None:
            self.draw_totals = None
            return
        cores, memory = self.draw_totals
        self._set_totals([s + sign * c for s, (c, _) in zip(cores, guest.draws, strict=True)],
                         [s + sign * m for s, (_, m) in zip(memory, guest.draws, strict=True)])


def draw_use(random: Random, guest: Guest) -> list[tuple[float, float]]:
    """Samples the guest's use from that of its service; without samples each draw is what it requests."""
    samples = guest.service.samples
    return (random.choices(samples, k=DRAWS) if samples
            else [(guest.submission.cores, guest.submission.memory)] * DRAWS)


class Scheduler:
    """State and decisions of one planner."""

    def __init__(self, seed: int, deployment: interface.Deployment) -> None:
        self.random = Random(seed)
        self.deployment = deployment
        self.machines: dict[str, Machine] = {}  # pruned with each list
        self.guests: dict[str, Guest] = {}  # by id; removed by the guest's last outcome
        self.held: dict[str, Guest] = {}  # without a dispatch; removed by a dispatch or the final answer
        self.outstanding: dict[str, Guest] = {}  # with a dispatch not yet accepted; removed by its outcome
        self.answer_at = 0  # no final answer is due earlier; 0: recompute
        self.placeable: list[Guest] | None = None  # to be placed at this timestamp; None: recompute
        self.due_answers: deque[Guest] = deque()  # found by the last scan; emptied by the next decisions
        self.pace = PlacementPace()
        self.services = ServiceTable()
        self.placed_by_priority: dict[int, int] = defaultdict(int)  # number of guests with a machine
        self.spread: dict[tuple[str, Scope, str], int] = {}  # guests by spread key; removed at zero
        # Start times (warm and cold) and answer times by guest class: large guests take many times as long.
        self.starts: dict[tuple[int, bool], deque[int]] = defaultdict(lambda: deque(maxlen=50))
        self.answers: dict[int, deque[int]] = defaultdict(lambda: deque(maxlen=100))
        # Decaying sums: cores and memory that guests use, and cores and memory that these guests requested.
        self.usage_totals = [1.0, 1.0, 1.0, 1.0]
        self.unplaceable: set[tuple] = set()  # shapes without a machine at this timestamp
        self.considered_at = self.poll_list_at = self.sweep_at = self.probe_at = self.list_heard_at = 0
        self.persistence_healthy = True  # see persistence_changed
        self.list_current = True  # see list_currency_changed
        self.started_at, self.no_cold_until = -10**15, 0  # see machines_listed and restore_learned
        self.list_version = 0  # counts changes of the set of ready machines
        self.typical_slowness, self.typical_until = SECOND, 0  # median over machines; cached until then
        self.to_probe: list[Machine] = []  # consumed by the next decisions
        self.to_withdraw: deque[tuple[str, str]] = deque()  # guest and machine; consumed likewise

    # Inputs: they only update state.

    def machines_listed(self, now: int, entries: list[ListedMachine], whole: bool) -> None:
        """The list service reported these machines: all of them if `whole`, else the changed ones."""
        self.list_heard_at = now if self.machines else now - 2 * SECOND  # the first list may be an old copy
        if self.started_at == -10**15:  # an earlier run may have sent its share to machines that are cold now
            self.started_at, self.no_cold_until = now, now + self.deployment.cold_budget_window
        for entry in entries:
            machine = self.machines.get(entry.machine)
            if machine is None:
                self.machines[entry.machine] = Machine(
                    entry, self.deployment.machine_kinds[entry.machine_kind], now)
                self.list_version += 1
                continue
            self.list_version += entry.mode is not machine.listed.mode
            if entry.mode is MachineMode.GONE:  # it may be listed without its process
                entry = entry._replace(incarnation=machine.listed.incarnation)
            if is_restarted(entry, machine.listed):
                self._note_restart(machine, start_that_counts(entry, machine.listed, now))
                machine.listed_since = now
            machine.listed, machine.listed_at, machine.free, machine.requested_by_others = (
                entry, now, None, None)
            machine.size = self.deployment.machine_kinds[entry.machine_kind]
            machine.ready = entry.mode is MachineMode.READY
        if whole:
            for name in self.machines.keys() - {entry.machine for entry in entries}:
                self.list_version += 1
                self.machines[name].ready = False
                self.machines[name].listed = self.machines[name].listed._replace(mode=MachineMode.GONE)
        # A machine that is removed while cold is kept until it would be warm: a list may name it again
        # without its start time.
        self.machines = {n: m for n, m in self.machines.items() if m.guests
                         or m.listed.mode is not MachineMode.GONE
                         or now - m.cold_at < self.deployment.warmup_time}
        # An update within two fifths of the allowed interval shows that the list connection still works.
        self.poll_list_at = now + int(self.deployment.list_poll_limit * 0.4 * self.random.uniform(0.8, 1.2))
        self._reconsider_held(now)

    def list_currency_changed(self, now: int, current: bool) -> None:
        """Whether the list is known to be current. If not, nothing is sent: any machine may be draining."""
        self.list_current = current
        self._reconsider_held(now)

    def list_unchanged(self, now: int) -> None:
        """The list service answered that nothing has changed."""
        self.list_heard_at = now
        self.poll_list_at = now + int(self.deployment.list_poll_limit * 0.4)

    def machine_refuses(self, now: int, name: str) -> None:
        """A machine answered a probe with an explicit refusal: it takes no guests, whatever the list says."""
        if machine := self.machines.get(name):
            self._suspect_drain(machine, now)

    def list_failed(self, now: int) -> None:
        """A call to the list service failed; it is repeated after 1 to 3 s."""
        self.poll_list_at = now + int(self.random.uniform(1, 3) * SECOND)  # random: not in step

    def guest_submitted(self, now: int, submission: interface.Submission) -> None:
        """An owner submitted a guest, which is held from now on."""
        guest = self._new_guest(now, submission)
        # The outcome of an earlier submission's dispatch is not known: guards against a second run.
        if submission.earlier_dispatch:
            machine, scope = (self.machines.get(submission.earlier_dispatch.machine),
                              guest.guest_class.dedup_scope)
            guest.may_have_run, guest.dedup_group = (
                True, machine.scope_key(scope) if machine else (scope, ""))
            guest.window_ends = submission.earlier_dispatch.sent_at + guest.guest_class.dedup_window
        guest.dispatches = submission.dispatches_used
        self.guests[submission.guest] = self.held[submission.guest] = guest
        self.answer_at = 0 if submission.earlier_dispatch or submission.dispatches_used else min(
            self.answer_at, guest.answer_due)
        self.placeable = None

    def restore_dispatch(self, now: int, machine: str, name: str, sent_at: int) -> None:
        """A held guest has a dispatch from an earlier run of this planner: outstanding until the machine
        reports."""
        guest = self.held.pop(name)
        guest.sent_at, self.placeable = sent_at, None
        self._assign(guest, self._machine_named(machine, now))

    def persistence_changed(self, now: int, healthy: bool) -> None:
        """Whether sent dispatches are sure to be known after a crash. While they are not, guests that must
        not run twice are not placed: a forgotten dispatch could lead to a second run."""
        self.persistence_healthy = healthy
        self._reconsider_held(now)

    def learned_state(self) -> interface.LearnedState:
        """What a later run of this planner may use."""
        return interface.LearnedState(
            self.services.with_samples(),
            tuple((*k, tuple(v)) for k, v in self.starts.items()),
            tuple((k, tuple(v)) for k, v in self.answers.items()), tuple(self.usage_totals),
            {n: interface.MachineHealth(m.listed.started, m.cold_at, tuple(m.answers),
                                        tuple(m.cached_services), m.failures, m.backoff_until,
                                        m.unresponsive)
             for n, m in self.machines.items() if m.ready})

    def restore_offers(self, now: int, name: str, times: tuple[int, ...]) -> None:
        """Offers that an earlier run of this planner sent to a cold machine count against its budget."""
        self._machine_named(name, now).offers.extend(times)

    def restore_learned(self, now: int, past: interface.LearnedState, complete: bool) -> None:
        """Takes over what an earlier run learned, for machines that have not restarted since. Samples of
        services not seen for a minute are dropped; failures and back-off times keep their own expiry. Unless
        the state is `complete`, offers to cold machines may be missing from it: such machines get nothing
        until those offers would no longer count."""
        self.started_at, self.no_cold_until = (
            now, 0 if complete else now + 2 * self.deployment.cold_budget_window)
        for name, (seen_at, samples) in past.services.items():
            if seen_at >= now - 60 * SECOND:
                self.services.restore(name, seen_at, samples)
        for guest_class, warm, times in past.starts:
            self.starts[guest_class, warm].extendleft(reversed(times))
        for guest_class, times in past.answers:
            self.answers[guest_class].extendleft(reversed(times))
        self.usage_totals = [max(1.0, total) for total in past.seen]
        for name, health in past.machines.items():
            machine = self.machines.get(name)
            if machine and abs(machine.listed.started - health.started) < SECOND:
                machine.answers.extend(health.answers)
                machine.slowness_cache = None
                machine.cached_services = dict.fromkeys(health.kept)
                machine.cold_at = max(machine.cold_at, health.cold_at)
                machine.failures, machine.unresponsive = max(machine.failures, health.strikes), health.mute
                machine.backoff_until = max(machine.backoff_until, health.avoid_until)

    def guest_discovered(self, now: int, machine: str, submission: interface.Submission) -> None:
        """A machine reported a running guest that this planner takes over as placed there."""
        if submission.guest in self.guests:
            self._drop(self.guests[submission.guest])
        guest = self._new_guest(now, submission)
        guest.placed = guest.runs = True
        self.guests[submission.guest] = guest
        self._assign(guest, self._machine_named(machine, now))

    def _machine_named(self, name: str, now: int) -> Machine:
        """The machine of this name. One that is not listed counts as gone and gets an unknown zone and cell,
        so that no deduplicated guest is bound to a wrong group."""
        if name not in self.machines:
            gone = ListedMachine(name, MachineMode.GONE, 0, -1, -1, 0, 0.0, 0.0)
            self.machines[name] = Machine(gone, self.deployment.machine_kinds[0], now)
        return self.machines[name]

    def guest_abandoned(self, now: int, name: str) -> None:
        """The guest needs no further answer; it is dropped once it has no dispatch outstanding."""
        if guest := self.guests.get(name):
            guest.answered = True
            if guest.machine is None:
                self._drop(guest)

    def guest_cancelled(self, now: int, name: str) -> None:
        """The owner cancelled the guest, whether it is held, outstanding or running."""
        if guest := self.guests.get(name):
            guest.cancelled, self.answer_at = True, 0
            if guest.machine:
                self.to_withdraw.append((name, guest.machine.listed.machine))

    def late_copy_accepted(self, now: int, machine: str, submission: interface.Submission) -> None:
        """A machine accepted a dispatch that had been given up. Guards against a guest that runs without an
        owner and against two copies. A second copy of an idempotent guest is withdrawn even if the guest's
        other dispatch is refused later."""
        known = self.guests.get(submission.guest)
        repeat = self.deployment.guest_classes[submission.product].repeat
        if submission.guest in self.held or not known and repeat is not RepeatSemantics.IDEMPOTENT:
            self.guest_discovered(now, machine, submission)
        elif repeat is RepeatSemantics.IDEMPOTENT or repeat is RepeatSemantics.DEDUPLICATED and known.placed:
            self.to_withdraw.append((submission.guest, machine))

    def dispatch_accepted(self, now: int, name: str, duration: int) -> None:
        """The machine accepted the guest's dispatch, `duration` after it was sent."""
        if not (guest := self.guests.get(name)) or not guest.machine:
            return
        guest.placed, guest.machine.free, guest.machine.requested_by_others = True, None, None
        self.outstanding.pop(name, None)
        guest.machine.answer_received(duration)
        self.answers[guest.submission.product].append(duration)
        guest.machine.failures, guest.machine.unresponsive, guest.machine.heard_at = 0, False, now
        if guest.cancelled:  # the withdrawal crossed with this answer: now it stops the running guest
            self.to_withdraw.append((name, guest.machine.listed.machine))
        if self.deployment.confirms_when_running:
            self._note_start(guest, now)

    def guest_started(self, now: int, name: str) -> None:
        if (guest := self.guests.get(name)) and guest.machine and not guest.runs:
            self._note_start(guest, now)

    def dispatch_not_sent(self, now: int, name: str) -> None:
        """The dispatch that is about to end never left this planner: it does not count against the guest's
        limit. The cause may persist for a while, so that the guest is not tried again for 50 ms."""
        if (guest := self.guests.get(name)) and guest.machine:
            guest.dispatches -= 1
            guest.retry_at = now + SECOND // 20

    def dispatch_ended(self, now: int, name: str, outcome: DispatchOutcome, closed: bool,
                       reason: OutcomeReason) -> None:
        """The guest's dispatch ended. If `closed`, the guest was already answered and is dropped."""
        if not (guest := self.guests.get(name)) or not (machine := guest.machine):
            return
        self._unassign(guest)
        self._assess_machine(machine, guest, outcome, reason, now)
        self._reconsider_held(now)
        if guest.answered or closed or guest.placed:
            self._drop(guest)
            return
        if outcome not in NEVER_RAN:
            if not guest.may_have_run:
                guest.window_ends = guest.sent_at + guest.guest_class.dedup_window
            guest.may_have_run, guest.dedup_group = (
                True, machine.scope_key(guest.guest_class.dedup_scope))
        # A refusal may be delivered twice: at-most-once guests also avoid the machines that refused them.
        refused = (guest.guest_class.repeat is RepeatSemantics.AT_MOST_ONCE
                   and outcome is DispatchOutcome.REFUSED)
        if not self.deployment.dispatches_identified and (refused or outcome not in NEVER_RAN):
            guest.excluded_machines.append(machine.listed.machine)
        if outcome is DispatchOutcome.REFUSED and guest.dispatches > 1:
            # Refused twice: many guests compete for the same capacity. The remaining dispatches are spread
            # over the time left: from a quarter second, doubled each time, randomised so that crowds
            # disperse.
            guest.retry_at = now + int(SECOND // 8 * 2 ** guest.dispatches * self.random.uniform(0.5, 1.5))
        guest.reconsider_at, self.held[name] = max(now, guest.retry_at), guest
        self.answer_at, self.placeable = 0, None  # it may have used all its dispatches

    def machine_reported(self, now: int, name: str, load: interface.Load | None) -> None:
        """A machine reported its load."""
        if not (machine := self.machines.get(name)) or load is None:
            return
        size, shows_use = machine.size, not self.deployment.reports_count_requested
        cores = None if load.busy is None else load.busy * size.cores
        if cores is None and shows_use and load.cores_free is not None:
            cores = size.cores - load.cores_free
        memory = size.memory - load.memory_free if shows_use and load.memory_free is not None else None
        self._update_usage(machine, cores, memory, now)

    def probe_answered(self, now: int, name: str, passed: bool) -> None:
        """A probe of the machine was answered; not `passed` if the answer was bad or missing."""
        if (machine := self.machines.get(name)) is None:
            return
        if not passed:
            self._record_failure(machine, now, unresponsive=True)
        elif machine.unresponsive:
            machine.failures = machine.failures if machine.refuses else 0
            machine.unresponsive = machine.refuses = False
            self._reconsider_held(now)

    def cores_used(self, now: int, name: str, cores: float) -> None:
        """A machine reported the cores that a guest uses; its memory follows in memory_used."""
        if name in self.guests:
            self.guests[name].cores_noted = cores

    def memory_used(self, now: int, name: str, memory: float) -> None:
        """A machine reported the memory that a guest uses, which completes a usage sample."""
        if guest := self.guests.get(name):
            guest.use = (guest.cores_noted, memory)
            sample = *guest.use, guest.submission.cores, guest.submission.memory
            # A time constant of about fifty samples.
            self.usage_totals = [0.98 * s + n for s, n in zip(self.usage_totals, sample, strict=True)]
            guest.service.samples.append(guest.use)

    def service_level_reported(self, now: int, name: str, share: float) -> None:
        """A machine reported the share (0 to 1) of its work that a guest gets done."""
        if (guest := self.guests.get(name)) and (machine := guest.machine) and share < 0.95:
            # A degraded guest shows how far the load of the cores exceeds what its class tolerates.
            busy = guest.guest_class.full_service_load + (1 - share) * guest.guest_class.service_fade
            self._update_usage(
                machine, max((machine.used or (0.0,))[0], busy * machine.size.cores), None, now)

    def memory_pressure_reported(self, now: int, name: str, share: float) -> None:
        """A machine reported the share of its memory that is in use."""
        if name in self.machines:
            self._update_usage(self.machines[name], None, share * self.machines[name].size.memory, now)

    def _new_guest(self, now: int, submission: interface.Submission) -> Guest:
        if now >= self.sweep_at:
            self.sweep_at = now + 60 * SECOND
            self.services.sweep(now)
        service = self.services.add_guest(submission.service, now)
        return Guest(submission, self.deployment.guest_classes[submission.product], service, now)

    def _drop(self, guest: Guest) -> None:
        name = guest.submission.guest
        if guest.machine is not None:
            self._unassign(guest)
        if self.held.pop(name, None):
            self.placeable = None
        if self.guests.pop(name, None) is not None:
            self.services.remove_guest(guest.submission.service)

    def _assign(self, guest: Guest, machine: Machine) -> None:
        guest.machine = machine
        machine.guests[guest.submission.guest] = guest
        if not guest.placed:
            self.outstanding[guest.submission.guest] = guest
        machine.guest_changed(guest, 1)
        guest.spread_key = key = self._spread_key(guest, machine)
        self.spread[key] = self.spread.get(key, 0) + 1
        self.placed_by_priority[guest.guest_class.priority] += 1

    def _unassign(self, guest: Guest) -> None:
        machine, key = guest.machine, guest.spread_key
        self.placed_by_priority[guest.guest_class.priority] -= 1
        self.spread[key] -= 1
        if not self.spread[key]:
            del self.spread[key]
        del machine.guests[guest.submission.guest]
        self.outstanding.pop(guest.submission.guest, None)
        machine.guest_changed(guest, -1)
        guest.machine = None
        if guest.runs:
            machine.cached_services.pop(guest.submission.service, None)
            machine.cached_services[guest.submission.service] = None
            if len(machine.cached_services) > 4:  # few: machines seldom evict a program that is listed here
                del machine.cached_services[next(iter(machine.cached_services))]

    def _spread_key(self, guest: Guest, machine: Machine) -> tuple[str, Scope, str]:
        return guest.submission.service, *machine.scope_key(guest.guest_class.spread_scope)

    def _note_start(self, guest: Guest, now: int) -> None:
        guest.machine.starting -= not guest.runs
        guest.runs = True
        self.starts[guest.submission.product, guest.warm].append(
            int((now - guest.sent_at) / (1 + guest.starts_ahead / 2)))

    def _note_restart(self, machine: Machine, at: int) -> None:
        machine.cold_at = max(machine.cold_at, at)
        machine.cached_services.clear()
        machine.used = None

    def _update_usage(self, machine: Machine, cores: float | None, memory: float | None, now: int) -> None:
        """Records the use that a machine reports and subtracts the share of our running guests; None keeps
        the last value."""
        uses = [g.use or g.service.estimated_use(g.submission) for g in machine.guests.values() if g.runs]
        ours = sum(u[0] for u in uses), sum(u[1] for u in uses)
        old = self._usage_by_others(machine, now) or (0.0, 0.0)
        machine.used = (old[0] + ours[0] if cores is None else cores,
                        old[1] + ours[1] if memory is None else memory)
        machine.used_by_others = max(0.0, machine.used[0] - ours[0]), max(0.0, machine.used[1] - ours[1])
        machine.reported_at = machine.heard_at = now

    def _usage_by_others(self, machine: Machine, now: int) -> tuple[float, float] | None:
        """Use of a machine by other planners' guests. If the list shows free capacity, a report older than
        two seconds is replaced by what those guests request according to the list, scaled by the ratio of use
        to request of our own guests. Guards against late and missing reports, whatever the cause."""
        if (now - machine.reported_at <= 2 * SECOND or machine.reported_at > self.list_heard_at
                or not self.deployment.list_shows_free):
            return machine.used_by_others if machine.used is not None else None
        if machine.requested_by_others is None:
            listed, size = machine.listed, machine.size
            ours = [g.submission for g in machine.guests.values()
                    if g.sent_at <= machine.listed_at - SECOND // 4]
            machine.requested_by_others = (
                max(0.0, size.cores - listed.free_cores - sum(s.cores for s in ours)),
                max(0.0, size.memory - listed.free_memory - sum(s.memory for s in ours)))
        cores, memory, cores_requested, memory_requested = self.usage_totals
        return (machine.requested_by_others[0] * cores / cores_requested,
                machine.requested_by_others[1] * memory / memory_requested)

    def _reconsider_held(self, now: int) -> None:
        """Capacity may have become free: held guests are considered again, each at most every 50 ms."""
        self.placeable = None
        for guest in self.held.values():
            guest.reconsider_at = min(
                guest.reconsider_at, max(now, guest.considered_at + SECOND // 20, guest.retry_at))

    def _assess_machine(self, machine: Machine, guest: Guest, outcome: DispatchOutcome,
                        reason: OutcomeReason, now: int) -> None:
        """Updates a machine's health from the outcome of a dispatch."""
        if outcome is DispatchOutcome.REFUSED:
            if reason in (OutcomeReason.QUEUE_FULL, OutcomeReason.NONE):
                # Queues stay full for about this long. Limits bursts of offers and refusals delivered twice.
                machine.refused_until[0] = now + SECOND // 4, 0.0
            elif reason in (OutcomeReason.NO_CORES, OutcomeReason.NO_MEMORY):
                axis, amount = ((0, guest.submission.cores) if reason is OutcomeReason.NO_CORES
                                else (1, guest.submission.memory))
                machine.refused_until[axis] = now + SECOND, amount  # about the interval of list updates
            elif reason is OutcomeReason.NOT_ACCEPTED and self._probes_verify_machines():
                self._suspect_drain(machine, now)
            elif reason is OutcomeReason.NOT_ACCEPTED and not guest.may_have_run:
                machine.backoff_until = now + SECOND
        elif outcome is DispatchOutcome.INTERRUPTED and guest.placed:
            if reason is OutcomeReason.DRAINED and self._probes_verify_machines():
                self._suspect_drain(machine, now)
            if reason is OutcomeReason.NONE and now - machine.cold_at > SECOND:
                self._note_restart(machine, now)
                self._record_failure(machine, now, unresponsive=True)
        elif outcome in (DispatchOutcome.UNREACHABLE, DispatchOutcome.TIMED_OUT):
            if outcome is DispatchOutcome.UNREACHABLE or machine.heard_at <= guest.sent_at:
                self._record_failure(machine, now, unresponsive=True)
            if (outcome is DispatchOutcome.UNREACHABLE
                    and now - machine.cold_at > self.deployment.warmup_time):
                self._note_restart(machine, now)
        elif not guest.placed and outcome in (DispatchOutcome.ERROR, DispatchOutcome.INTERRUPTED):
            machine.answer_received(60 * SECOND)
            self._record_failure(machine, now, unresponsive=False)

    def _probes_verify_machines(self) -> bool:
        """Whether a machine that reports that it takes no guests can be probed and its answer is received."""
        return self.deployment.probing and self.deployment.list_lease > 0

    def _suspect_drain(self, machine: Machine, now: int) -> None:
        """A machine reports that it takes no guests before the list does: it has to pass a probe. One that
        reports it again although it passes its probes is avoided for longer each time."""
        if not machine.refuses:
            self._record_failure(machine, now, unresponsive=True)
        machine.refuses = machine.unresponsive = True
        self.probe_at = 0

    def _record_failure(self, machine: Machine, now: int, unresponsive: bool) -> None:
        """Backs off from a machine: a third of a second, doubled with each failure in a row, up to 8 s."""
        machine.failures = min(machine.failures + 1, 6)
        machine.unresponsive = machine.unresponsive or unresponsive and self.deployment.probing
        duration = min(8 * SECOND, SECOND // 6 * 2 ** machine.failures)
        machine.backoff_until = max(
            machine.backoff_until, now + int(duration * self.random.uniform(0.8, 1.2)))

    def _avoided(self, machine: Machine, now: int) -> bool:
        if (machine.unresponsive or now < machine.backoff_until
                or machine.failures and machine.starting):
            return True  # after a failure, one guest at a time
        # Four times the median of all machines plus two seconds: half a second also caught slow cold starts.
        if len(machine.answers) >= 4 and machine.slowness() > 4 * self.typical_slowness + 2 * SECOND:
            machine.answers.clear()
            machine.slowness_cache = None
            self._record_failure(machine, now, unresponsive=False)
            return True
        return False

    def decide(self, now: int) -> Decision | None:
        """The next thing to do at this timestamp, or None."""
        if self.to_withdraw:
            return Decision(DecisionKind.WITHDRAW, *self.to_withdraw.popleft())
        return self._poll_list(now) or self._due_answer(now) or self._place_next(now) or self._probe(now)

    def next_decision_at(self, now: int) -> int | None:
        """When to call decide again if no event arrives earlier; None: not before the next event."""
        times = [min(g.reconsider_at, g.answer_due) for g in self.held.values()]
        if self.deployment.list_is_polled:
            times.append(self.poll_list_at)
        times += [max(m.backoff_until, self.probe_at) for m in self.machines.values()
                  if m.unresponsive and m.ready]
        times += [g.deadline for g in self.outstanding.values() if not g.answered]
        return max(now, min(times)) if times else None

    def _poll_list(self, now: int) -> Decision | None:
        if not self.deployment.list_is_polled or now < self.poll_list_at:
            return None
        self.poll_list_at = now + int(self.random.uniform(2, 3) * SECOND)  # an answer is due earlier
        return Decision(DecisionKind.WATCH_LIST)

    def _due_answer(self, now: int) -> Decision | None:
        """The next final answer. All guests are scanned only when one may be due, once for all that are."""
        if now < self.answer_at or not self.pace.may_answer():
            return None
        while self.due_answers or self._find_due_answers(now):
            guest = self.due_answers.popleft()
            if self.held.get(guest.submission.guest) is guest and self._answer_is_due(guest, now):
                kind = DecisionKind.REFUSE if guest.may_refuse() else DecisionKind.FAIL
                self.pace.answers += 1
                self._drop(guest)
                return Decision(kind, guest.submission.guest)
            if self._is_overdue(guest, now):
                self.pace.answers += 1
                guest.answered = True
                return Decision(DecisionKind.FAIL, guest.submission.guest)
        # Only the end of a dispatch resets this; until then an answer becomes due by time alone.
        self.answer_at = min([g.deadline for g in self.outstanding.values() if not g.answered] + [
            min(g.answer_due, g.window_ends - SECOND // 20) if g.may_have_run and (
                g.guest_class.repeat is RepeatSemantics.DEDUPLICATED) else g.answer_due
            for g in self.held.values()], default=now + 60 * SECOND)
        return None

    def _find_due_answers(self, now: int) -> bool:
        """Collects the guests whose final answer is due: held ones, else outstanding ones. False if there are
        none."""
        self.due_answers.extend(g for g in self.held.values() if self._answer_is_due(g, now))
        if not self.due_answers and any(self._is_overdue(g, now) for g in self.outstanding.values()):
            self.due_answers.extend(g for g in self.guests.values() if self._is_overdue(g, now))
        return bool(self.due_answers)

    def _is_overdue(self, guest: Guest, now: int) -> bool:
        return (guest.submission.guest in self.outstanding and not guest.answered
                and now >= guest.deadline)

    def _answer_is_due(self, guest: Guest, now: int) -> bool:
        guest_class = guest.guest_class
        exhausted = guest.dispatches >= self.deployment.max_dispatches
        must_not_repeat = guest.may_have_run and (
            guest_class.repeat is RepeatSemantics.AT_MOST_ONCE
            or guest_class.repeat is RepeatSemantics.DEDUPLICATED
            and now >= guest.window_ends - SECOND // 20)
        return exhausted or must_not_repeat or guest.cancelled or now >= guest.answer_due

    def _defer_until_list_current(self, now: int) -> None:
        """Postpones held guests while the list is not known to be current; see list_currency_changed."""
        for guest in self.held.values():
            if guest.reconsider_at <= now:
                guest.reconsider_at = now + SECOND // 5

    def _place_next(self, now: int) -> Decision | None:
        if not self.list_current:
            self._defer_until_list_current(now)
            return None
        if now != self.considered_at:
            self.considered_at, self.unplaceable, self.placeable = now, set(), None
            self.pace.largest_room = {}
        if self.placeable is None:  # sorted once per timestamp; considered guests are popped from its end
            placeable = [g for g in self.held.values() if g.reconsider_at <= now]
            if not self.persistence_healthy:
                for guest in [g for g in placeable
                              if g.guest_class.repeat is not RepeatSemantics.IDEMPOTENT]:
                    placeable.remove(guest)
                    guest.reconsider_at = now + SECOND // 5
            self.placeable = self._in_order(placeable)
            self.placeable.reverse()
        while self.placeable and self.pace.may_place():
            guest = self.placeable.pop()
            if self._answer_is_due(guest, now):  # in one of the next steps
                continue
            if self.pace.behind:
                self.pace.turns.served(guest.submission.owner)
            shape = guest.submission._replace(guest="", time_left=0, owner=""), guest.dedup_group
            machine = None if shape in self.unplaceable else self._pick(guest, now)
            if machine is None:
                if guest.retry_at <= now:
                    self.unplaceable.add(shape)
                guest.considered_at = now
                guest.reconsider_at = guest.retry_at if guest.retry_at > now else now + SECOND // 5
                continue
            timeout = self._answer_timeout(guest, now)
            guest.starts_ahead, guest.warm = machine.starting, self._is_warm(guest, machine)
            guest.dispatches, guest.sent_at = guest.dispatches + 1, now
            del self.held[guest.submission.guest]
            self._assign(guest, machine)
            machine.offers.append(now)
            return Decision(DecisionKind.DISPATCH, guest.submission.guest, machine.listed.machine, timeout)
        return None

    def _in_order(self, guests: list[Guest]) -> list[Guest]:
        """The guests in the order in which they are tried: by value, and in turns among owners if the planner
        is behind."""
        ordered = sorted(guests, key=lambda g: (-g.guest_class.value * g.submission.memory, g.deadline))
        if not self.pace.behind:
            return ordered
        turns = self.pace.turns.assign([g.submission.owner for g in ordered])
        return [ordered[at] for at in sorted(range(len(ordered)), key=turns.__getitem__)]

    def _answer_timeout(self, guest: Guest, now: int) -> int:
        """How long to wait for an answer: well above what machines usually take, never past the deadline."""
        time_left, times = guest.answer_due - now, self.answers[guest.submission.product]
        if guest.dispatches + 1 >= self.deployment.max_dispatches or not times:
            return time_left
        # Three times the 95th percentile: answers that are later than that seldom arrive at all.
        return min(time_left, max(3 * sorted(times)[int(0.95 * len(times))], SECOND // 2))

    def _is_warm(self, guest: Guest, machine: Machine) -> bool:
        """Whether the machine has the program of the guest's service."""
        return (guest.submission.service in machine.cached_services
                or guest.submission.service in machine.services)

    def _allowed(self, guest: Guest, machine: Machine, now: int) -> bool:
        """The rules that no ranking may override."""
        guest_class, deployment = guest.guest_class, self.deployment
        if (not machine.ready or machine.refuses
                or guest_class.machine_kind not in (-1, machine.listed.machine_kind)):
            return False
        if machine.listed.machine in guest.excluded_machines:  # guards against two copies: it may report late
            return False
        if (guest.dedup_group and guest_class.repeat is RepeatSemantics.DEDUPLICATED
                and machine.scope_key(guest_class.dedup_scope) != guest.dedup_group):
            return False
        if (guest_class.spread_scope is not Scope.NOWHERE
                and self.spread.get(self._spread_key(guest, machine), 0) >= guest_class.spread_limit):
            return False
        while machine.offers and machine.offers[0] < now - 2 * deployment.cold_budget_window:
            machine.offers.popleft()
        cold = now - machine.cold_at < deployment.warmup_time
        if not cold and not self._may_be_cold(machine, now):
            return True
        if cold and now < self.no_cold_until and machine.cold_at <= self.started_at:
            return False
        return len(machine.offers) <= own_share(deployment, machine.id_hash)

    def _may_be_cold(self, machine: Machine, now: int) -> bool:
        """Guards against a stepped wall clock, here or where machine ages come from: a machine with a known
        start time counts as warm only once it has been listed here for the warm-up time."""
        deployment = self.deployment
        age_uncertain = deployment.ages_by_clock and machine.listed.started > 0
        return age_uncertain and now - machine.listed_since < deployment.warmup_time

    def _fits(self, guest: Guest, machine: Machine, now: int, basis: str) -> bool:
        """Whether the machine has capacity for the guest on this basis; see _pick."""
        submission = guest.submission
        if any(now < until and requested >= amount
               for (until, amount), requested in zip(
                   machine.refused_until, (submission.cores, submission.memory), strict=True)):
            return False
        cores, memory = self._room(machine, guest.guest_class.priority if basis == "preempting" else 0)
        return basis == "unknown" or submission.cores <= cores and submission.memory <= memory

    def _pick(self, guest: Guest, now: int) -> Machine | None:
        """Chooses a machine for the guest; None if there is none, or if load probes are to be sent first."""
        self.pace.work += 1
        if self.pace.behind and self._exceeds_all(guest, now):
            return None
        ready = self._service_order(guest)
        if now >= self.typical_until:  # the scan of all machines is costly: at most 20 a second
            self.typical_until = now + SECOND // 20
            times = sorted(m.slowness() for m in ready if m.answers)
            self.typical_slowness = times[(len(times) - 1) // 2] if times else SECOND
        # With 93 and more planners 3 was the best of 12, 6, 3 and 2; with 16 it was better than 103; with 2
        # to 6 all machines were best.
        candidates_limit = 3 if self.deployment.planners > 8 else len(ready)
        steps = [(ready, 9.9)]
        if self.deployment.fleet_price > 0:
            # Each machine in use costs: the emptiest is left to drain, and an empty one is used only if the
            # best of the others has a likely loss (expected violations of three tenths or more).
            empty = [m for m in ready if not m.guests and m.listed.free_cores >= m.size.cores]
            used = [m for m in ready if m not in empty]
            drain = max(used, key=lambda m: m.listed.free_cores / m.size.cores, default=None)
            steps = [([m for m in used if m is not drain], 0.1), (used, 0.3), (empty[:1] + used, 9.9), *steps]
        preempts = self.deployment.preempts and guest.guest_class.priority
        # Free capacity from a list that is down, slow or old is unreliable: refusals are the accepted cost.
        silent = self._list_is_silent(now)
        for basis in ("listed", "preempting", "unknown", "distrust"):
            # If most machines look unhealthy at once, the health data is distrusted and placing goes on.
            if (basis == "preempting" and not preempts or basis == "unknown" and not silent
                    or basis == "distrust" and 2 * sum(
                        m.unresponsive or now < m.backoff_until for m in ready) <= len(ready)):
                continue
            for machines, max_expected in steps:
                fitting = (m for m in machines
                           if self._allowed(guest, m, now) and self._fits(guest, m, now, basis)
                           and (basis == "distrust" or not self._avoided(m, now)))
                candidates = list(islice(fitting, candidates_limit))
                self.pace.work += len(machines) + WEIGHING_WORK * len(candidates)
                if self.pace.behind and not candidates:
                    continue
                if (self.deployment.reports_on_probe and candidates_limit < len(ready)
                        and not guest.load_probed):
                    # Only probes bring load reports: the candidates are probed once per guest and get 50 ms.
                    self.to_probe = [
                        m for m in candidates if max(m.reported_at, m.probed_at) < now - SECOND // 2]
                    guest.load_probed, guest.retry_at = True, now + SECOND // 20 * bool(self.to_probe)
                    if self.to_probe:
                        return None
                picked = self._best(
                    guest, candidates, ready if len(ready) <= candidates_limit else candidates, now)
                if picked is not None and picked[0] < max_expected:
                    return picked[1]
        return None

    def _list_is_silent(self, now: int) -> bool:
        return now - self.list_heard_at >= 2 * SECOND

    def _exceeds_all(self, guest: Guest, now: int) -> bool:
        """Whether the guest requests more than any machine has, even if it preempts all guests that it may.
        Cheaper than a look at each machine for each guest: what they have is computed once per timestamp."""
        if self._list_is_silent(now):
            return False
        priority = guest.guest_class.priority if self.deployment.preempts else 0
        if (room := self.pace.largest_room.get(priority)) is None:
            ready = [m for m in self.machines.values() if m.ready]
            self.pace.work += len(ready)
            rooms = [self._room(m, priority) for m in ready]
            room = tuple(max(axis) for axis in zip(*rooms, strict=True)) if rooms else (0.0, 0.0)
            self.pace.largest_room[priority] = room
        return guest.submission.cores > room[0] or guest.submission.memory > room[1]

    def _room(self, machine: Machine, priority: int) -> tuple[float, float]:
        """Cores and memory that a guest of this priority may request, with others preempted for it."""
        cores, memory = machine.free_capacity(self.deployment)
        if not priority:
            return cores, memory
        # Of all that is requested there, the part that has a lower priority among our guests anywhere.
        lower = sum(n for each, n in self.placed_by_priority.items() if each < priority)
        part = lower / max(1, sum(self.placed_by_priority.values()))
        return (cores + part * max(0.0, machine.size.cores - machine.listed.free_cores),
                memory + part * max(0.0, machine.size.memory - machine.listed.free_memory))

    def _service_order(self, guest: Guest) -> list[Machine]:
        """The ready machines in an order specific to the service and the same on all planners. With many
        planners only the first that may take the guest are weighed: guests of a service gather where its
        program is cached, and those of other services do not all choose the machine that the delayed list
        shows as best."""
        if (service := guest.service).order_version != self.list_version:
            service.order_version = self.list_version
            service_hash = int.from_bytes(
                blake2b(guest.submission.service.encode(), digest_size=8).digest())
            service.order = sorted((m for m in self.machines.values() if m.ready), key=lambda m: (
                (m.id_hash ^ service_hash) * 0x9E3779B97F4A7C15 & (1 << 64) - 1))  # mixed by the golden ratio
        self.services.order_used(guest.submission.service)
        return service.order

    def _best(self, guest: Guest, candidates: list[Machine], ready: list[Machine],
              now: int) -> tuple[float, Machine] | None:
        """The design's choice: the lowest load spread times one plus expected violations, with near-ties
        broken at random. Returns the expected violations and the machine."""
        loads: dict[Machine, tuple[float, float]] = {}
        for machine in ready:
            machine.draw(self.random, now)
            if others := self._usage_by_others(machine, now):
                loads[machine] = ((others[0] + machine.draw_means[0]) / machine.size.cores,
                                  (others[1] + machine.draw_means[1]) / machine.size.memory)
        known = list(loads.values()) or [(0.5, 0.5)]
        average = tuple(sum(axis) / len(known) for axis in zip(*known, strict=True))
        loads = {machine: loads.get(machine, average) for machine in ready}
        totals = [sum(l[axis] for l in loads.values()) for axis in (0, 1)]
        squares = [sum(l[axis] ** 2 for l in loads.values()) for axis in (0, 1)]
        use = guest.service.estimated_use(guest.submission)
        draws = guest.draws = draw_use(self.random, guest)
        maxima = max(d[0] for d in draws), max(d[1] for d in draws)
        # Start times, cold and warm, of the guest's class: sorted, and their sum.
        times = {w: self.starts.get((guest.submission.product, w)) for w in (False, True)}
        starts = {w: (sorted(seen), sum(seen)) for w, seen in times.items() if seen}
        scored = []
        for machine in candidates:
            spread = 0.0
            for axis, size in ((0, machine.size.cores), (1, machine.size.memory)):
                before = loads[machine][axis]
                after = before + use[axis] / size
                mean = (totals[axis] - before + after) / len(loads)
                spread += sqrt(max(0.0, (squares[axis] - before ** 2 + after ** 2) / len(loads) - mean ** 2))
            overflow = self._overflow_share(guest, machine, draws, maxima, loads[machine])
            expected = overflow + self._expected_lateness(guest, machine, now, starts)
            scored.append((max(spread, 0.02) * (1 + expected), expected, machine))
        if not scored:
            return None
        limit = TIE_TOLERANCE * min(s[0] for s in scored)
        near = [s for s in scored if s[0] <= limit]
        return near[self.random.randrange(len(near))][1:]

    def _overflow_share(self, guest: Guest, machine: Machine, draws: list[tuple[float, float]],
                        maxima: tuple[float, float], load: tuple[float, float]) -> float:
        """The share of draws in which the machine would exceed 90% of its cores or memory."""
        size = machine.size
        others = load[0] * size.cores - machine.draw_means[0], load[1] * size.memory - machine.draw_means[1]
        # The design's 90%, or the load up to which the most sensitive guest class there is fully served.
        tolerated = min(0.9, guest.guest_class.full_service_load, machine.full_service_load)
        cores, memory = tolerated * size.cores - max(0.0, others[0]), 0.9 * size.memory - max(0.0, others[1])
        if machine.draw_maxima[0] + maxima[0] <= cores and machine.draw_maxima[1] + maxima[1] <= memory:
            return 0.0
        return sum(total_c + c > cores or total_m + m > memory
                   for total_c, total_m, (c, m) in zip(*machine.draw_totals, draws, strict=True)) / DRAWS

    def _expected_lateness(self, guest: Guest, machine: Machine, now: int,
                           starts: dict[bool, tuple[list[int], int]]) -> float:
        """Expected cost of the start delay in units of a start in time: the share of recent starts (warm or
        cold like this one) that would miss the start target here, plus the seconds without service until the
        start, divided by the value of a start in time."""
        seen, total = starts.get(self._is_warm(guest, machine), ((), 0))
        # A cold start without samples is assumed late, except where machines in use cost: that would open new
        # machines.
        if not seen:
            return 0.0 if self._is_warm(guest, machine) or self.deployment.fleet_price > 0 else 1.0
        age = max(0.0, min(1.0, (now - machine.cold_at) / self.deployment.warmup_time))
        capacity = self.deployment.cold_from + (1 - self.deployment.cold_from) * age
        slowdown = (1 + machine.starting / 2) / capacity
        limit = (guest.start_target_at - now) / slowdown
        wait = total / len(seen) * slowdown / SECOND
        late = (len(seen) - bisect_right(seen, limit)) / len(seen)
        return late + wait / max(1.0, guest.guest_class.start_value)

    def _probe(self, now: int) -> Decision | None:
        if self.to_probe:
            return self._probe_machine(self.to_probe.pop(), now)
        if not self.deployment.probing or now < self.probe_at:
            return None
        for machine in self.machines.values():
            if machine.unresponsive and machine.ready and now >= machine.backoff_until:
                machine.backoff_until = now + SECOND
                return self._probe_machine(machine, now)
        # A few planners probe each machine once a second; many could not keep up with the fleet.
        contacts = [(max(m.reported_at, m.probed_at), n) for n, m in self.machines.items()
                    if m.ready and not m.unresponsive and self.deployment.planners <= 8]
        if not contacts or now - min(contacts)[0] <= SECOND:
            self.probe_at = now + SECOND // 20  # the scan of all machines is costly: at most 20 a second
            return None
        return self._probe_machine(self.machines[min(contacts)[1]], now)

    def _probe_machine(self, machine: Machine, now: int) -> Decision:
        machine.probed_at = now
        return Decision(DecisionKind.PROBE, machine=machine.listed.machine)
