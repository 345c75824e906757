"""The tables of one engine, with what each empties and the small steps that every part of it takes."""

from collections import Counter, OrderedDict, deque
from heapq import heappush
from random import Random
from typing import NamedTuple, Protocol

from hazelhold.config.planner import PlannerConfig, micros
from hazelhold.engine.advice import Advice
from hazelhold.engine.cases import Action, Agree, Case, Claims, Dial, Doubt, HangUp, Loose, Send
from hazelhold.engine.events import Event, MachineEvent, RuleEvent, TaskEvent
from hazelhold.engine.list_lease import ListLease
from hazelhold.engine.machines import Fellow, Link, Roster
from hazelhold.engine.monitor import RuleMonitor, Violation
from hazelhold.engine.permission import Denial
from hazelhold.engine.terms import Terms, terms_of
from hazelhold.interface import EarlierDispatch, RepeatSemantics, Submission
from hazelhold.protocol import messages as m
from hazelhold.scheduler import Scheduler
from hazelhold.state.images import Change


class OutstandingProbe(NamedTuple):
    """A test that a machine was asked for by a decision. Moments in microseconds."""

    number: int
    due: int


class WaitingStand(NamedTuple):
    """A task that its owner says stands on a machine that is not known yet."""

    owner: str
    machine: str
    submit: m.Submit
    ended: bool = False  # its owner has ended it meanwhile: the machine is to stop it


class Marks(Protocol):
    """Who is told of what changes here, if it is to outlive the process (`keep.Keeping`)."""

    epoch: int
    marks: dict[tuple[str, str], None]

    def told(self, listing: m.Listing) -> None: ...

    def flush(self, tables: "Tables", now: int) -> list[Change]: ...

    def learned(self, tables: "Tables") -> Change: ...


class Tables:
    """What one planner knows, and the steps on it that decide nothing."""

    def __init__(self, config: PlannerConfig | Terms, seed: int, now: int) -> None:
        terms = config if isinstance(config, Terms) else terms_of(config)
        self.limits, self.peers, self.facts = terms.limits, terms.peers, terms.facts
        self.scheduler = Scheduler(seed, self.facts)
        self.at_once = self.limits.decisions_at_once  # decisions of a pump; a host that is behind lowers it
        self.actions: list[Action] = []  # emptied by the host
        self.counts: Counter[str] = Counter()
        self.products = {name: at for at, name in enumerate(terms.products)}
        self.customers = {name: at for at, name in enumerate(terms.customers)}
        self.roster = Roster({name: at for at, name in enumerate(terms.kinds)})
        self.cases: dict[str, Case] = {}  # by the Brain's name; emptied by the last word on a guest
        self.newest: dict[str, Case] = {}  # by guest; emptied with cases
        # Final answers that owners may still ask for; emptied by age.
        self.answers: OrderedDict[tuple[str, int], tuple[m.Message, int]] = OrderedDict()
        self.ends: OrderedDict[str, tuple[str, int]] = OrderedDict()  # how guests ended; emptied by age
        # By guest, then machine; emptied by the machine's word, its new life or its leaving the list.
        self.loose: dict[str, dict[str, Loose]] = {}
        self.links: dict[str, Link] = {}  # emptied as machines go
        # Links with something to wait for; settled ones are passed over, so that a pump does not look at all.
        self.restless: dict[str, None] = {}  # emptied as they settle
        self.pumped_at = now  # when time-outs were looked at last
        self.ran_on_at = 0  # when the process ran on after it had not for a while; 0: it always did
        self.idle_at = 0  # when links that nobody uses are looked for next
        self.overdue: list[tuple[int, str, int]] = []  # a heap of time-outs: moment, case, attempt
        self.list_version = 0
        self.list_due = 0  # by when the list service must have answered; 0: nothing is asked
        self.probes: dict[str, OutstandingProbe] = {}  # by machine; emptied by its answer or time-out
        self.probe_number = 0
        self.unheard: set[str] = set()  # machines listed at the start that have not told what they hold
        self.list_heard = self.stopping = False
        self.keeping: Marks | None = None  # set if what changes here is to outlive the process
        self.claims: Claims | None = None  # set if offers that must not leave twice are agreed among planners
        self.sure = False  # all that this planner took in earlier lives is known
        self.kept_well = True  # what is sent is sure to be known after a crash
        self.lease = ListLease(self.facts.list_lease)
        # Tasks that stand, as far as is known, and whose machine has to speak of them; by the Brain's name.
        self.doubted: dict[str, Doubt] = {}  # emptied by that and by time
        # Machines that spoke of a task that is not in hand, by task; emptied by its hand-over and by number.
        self.spoken_of: OrderedDict[str, str] = OrderedDict()
        self.list_taken = True  # what the module was last told of the list: whether it is current
        self.monitor = RuleMonitor(self.facts.max_dispatches)
        # Tasks handed over on machines that the list lacks while it is not confirmed, by name; see handover.
        self.waiting_stands: dict[str, WaitingStand] = {}  # emptied by the list, the owner and the task's end
        # Links with tasks to machines that have left the list, by address, where another may have taken their
        # place before the connection was opened; emptied as links are forgotten.
        self.orphans: dict[str, str] = {}
        self.unconfirmed_links: dict[
            str, None
        ] = {}  # opened since the list was confirmed last; emptied by that
        self.denials: Counter[Denial] = Counter()  # what the last check kept back, by reason
        self.events: deque[Event] = deque(maxlen=0)  # for the log of a host that gives it room, emptied by it
        self.more = False  # the last pump ended at its limit
        self.advice = Advice(
            micros(self.limits.again_least_ms), micros(self.limits.again_most_ms), Random(f"advice/{seed}")
        )

    def share(self, planners: int, slot: int) -> None:
        """From now on this planner is that one of so many."""
        self.facts = self.scheduler.deployment = self.facts._replace(planners=planners, slot=slot)

    def reconfigure(self, terms: Terms) -> None:
        """Works on by these terms. Products that are here keep their places and whatever tasks in hand were
        judged by; others may follow them. Kinds are the same, and so is this planner's share of the fleet.
        New tasks are taken by the new terms; limits on dispatches hold for all at once."""
        facts = terms.facts._replace(planners=self.facts.planners, slot=self.facts.slot)
        self.facts = self.scheduler.deployment = facts
        self.products = {name: at for at, name in enumerate(terms.products)}
        self.customers = {name: at for at, name in enumerate(terms.customers)}

    def _mark(self, kind: str, *key: object) -> None:
        if self.keeping is not None:
            self.keeping.marks[kind, "\0".join(str(part) for part in key)] = None

    # Claims.

    def _claimed(self, case: Case) -> bool:
        """Whether offers of this guest need a claim."""
        return self.claims is not None and (
            self.facts.guest_classes[case.product].repeat is not RepeatSemantics.IDEMPOTENT
        )

    def _wanted(self) -> None:
        wanted, self.claims.wanted = self.claims.wanted, []
        self.actions += [Agree(*each) for each in wanted]

    def _fact(self, now: int, case: Case, state: str, how: str = "") -> None:
        """Lets the other planners know what became of a claimed guest."""
        if self._claimed(case):
            self.claims.fact(now, case.guest, case.ask, state, case.machine, how)
            self._wanted()

    def _release(self, now: int, guest: str, claim: bytes) -> None:
        if claim:
            self.claims.release(now, guest, claim)
            self._wanted()

    def _overdue(self, due: int, case: Case) -> None:
        case.due_at = due
        heappush(self.overdue, (due, case.name, case.attempt))

    def _ask(self, case: Case, patience: int, earlier: EarlierDispatch | None = None) -> Submission:
        s = case.submit
        return Submission(
            case.name,
            case.product,
            self.customers.get(s.customer, 0),
            s.service,
            s.cores,
            s.memory,
            patience,
            earlier,
        )

    def _hold(self, case: Case) -> None:
        if case.machine not in self.links:
            self.links[case.machine] = Link(case.machine)
        self.links[case.machine].holds[case.name] = None

    def _unhold(self, case: Case) -> None:
        if link := self.links.get(case.machine):
            link.holds.pop(case.name, None)
            link.queue.pop(case.name, None)

    # What is told to the log, and what is checked at run time.

    def _task_event(self, change: str, case: Case, reason: str = "") -> None:
        self.events.append(TaskEvent(change, case.guest, case.attempt, case.machine, reason))

    def _machine_event(self, change: str, machine: str, reason: str = "") -> None:
        self.events.append(MachineEvent(change, machine, reason))

    def _violated(self, found: list[Violation], case: Case) -> None:
        for each in found:
            self.counts["rule_violations"] += 1
            self.events.append(RuleEvent(each.value, case.guest, case.machine))

    def _forget(self, case: Case) -> None:
        self.cases.pop(case.name, None)
        self.monitor.forget(case.name)
        self._mark("guest", case.name)
        if self.newest.get(case.guest) is case:
            del self.newest[case.guest]

    def _later(self, now: int, guest: str, span: int = 0) -> int:
        """The wait that goes with a turn-back: the door's advice, or the decision's own span."""
        return self.advice.wait(now, guest, len(self.scheduler.held)) if self.peers.advised else span

    def _blind(self) -> bool:
        """Whether guests may run that this planner has not heard of: it has just started, and has no list
        yet or waits for machines on it. What it does not know it must not call unknown."""
        return not self.sure and (not self.list_heard or bool(self.unheard))

    def _keep_end(self, now: int, guest: str, how: str) -> None:
        if len(self.ends) >= self.limits.open_guests:
            self.ends.popitem(last=False)
        self.ends[guest] = how, now + micros(self.limits.keep_answers_ms)
        self.ends.move_to_end(guest)
        self._mark("end", guest)

    def _settled(self, guest: str, machine: str) -> None:
        if by := self.loose.get(guest):
            by.pop(machine, None)
            self._mark("loose", guest, machine)
            if not by:
                del self.loose[guest]

    def _send_owner(self, owner: str, message: m.Message) -> None:
        self.actions.append(Send("owner", owner, message))

    def _send_machine(self, machine: str, message: m.Message) -> None:
        self.actions.append(Send("machine", machine, message))

    def _restless(self) -> list[Link]:
        for name in [n for n in self.restless if n not in self.links]:
            del self.restless[name]
        return [self.links[name] for name in self.restless]

    def _dial(self, now: int, fellow: Fellow) -> Link:
        link = self.links.get(fellow.name)
        if link is None:
            link = self.links[fellow.name] = Link(fellow.name)
        self._rested(now, link)
        self.restless[fellow.name] = None
        if link.state == "down" and not self._room_for_link(now):
            link.dial_at = now + 100_000  # what waits for it stays here, and is tried again or ends unsent
        elif link.state == "down":
            link.state, link.dial_at, link.address = "dialling", 0, fellow.address
            link.dial_due = now + micros(self.limits.connect_ms)
            self.actions.append(Dial(fellow.name, fellow.address, micros(self.limits.connect_ms)))
        return link

    def _rested(self, now: int, link: Link) -> None:
        """Leaves a connection that has been quiet for so long that its machine may be closing it: what would
        be written now could cross that, and nobody could tell whether it ran."""
        if (
            self.peers.rolls
            or link.state != "up"
            or link.queue
            or link.machine in self.probes
            or (link.machine not in self.roster.fellows)
            or (  # it could not be dialled again
                now - max(link.used_at, link.heard_at, link.opened_at) <= micros(self.limits.idle_close_ms)
            )
        ):
            return
        if all(self.cases[name].placed or not self.cases[name].sent for name in link.holds):
            self.counts["links_rested"] += 1
            self.actions.append(HangUp(link.machine))
            link.close(now)
            link.lost_at = 0

    def _room_for_link(self, now: int) -> bool:
        """Keeps connections within their bound: the one that was used longest ago is closed, those without
        guests first. What stands outlives it and its machine is asked again before it counts as silent; one
        with an open set-up stays. False if there is none to close."""
        if len(self.links) <= self.limits.links:
            return True
        opened = [l for l in self.links.values() if l.state != "down"]
        if len(opened) < self.limits.links:
            return True
        for link in sorted(opened, key=lambda l: (bool(l.holds), max(l.used_at, l.heard_at, l.opened_at))):
            if (
                link.state == "up"
                and not link.queue
                and link.machine not in self.probes
                and all(self.cases[name].placed for name in link.holds)
            ):
                self.counts["links_closed_for_others"] += 1
                self.actions.append(HangUp(link.machine))
                link.close(now)
                link.lost_at = 0
                return True
        self.counts["links_put_off"] += 1
        return False
