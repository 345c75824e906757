"""The tables of one engine, what empties each of them, and small steps that all its parts share."""

from collections import Counter, OrderedDict, deque
from heapq import heappush
from math import inf
from random import Random
from typing import NamedTuple, Protocol

from msgspec.structs import replace

from hazelhold.config.planner import PlannerConfig, to_microseconds
from hazelhold.engine.admission import RetryAdvisor
from hazelhold.engine.events import Event, GuestEvent, MachineEvent, RuleEvent
from hazelhold.engine.list_lease import ListLease
from hazelhold.engine.list_questions import ListQuestions
from hazelhold.engine.machines import Link, Roster, RosterMachine
from hazelhold.engine.monitor import RuleMonitor, Violation
from hazelhold.engine.permission import Denial
from hazelhold.engine.records import (
    AbandonedDispatch,
    Action,
    Claims,
    Dial,
    GuestRecord,
    HangUp,
    ProcessCheck,
    ProposeChange,
    Send,
    Verification,
)
from hazelhold.engine.settings import EngineSettings, engine_settings
from hazelhold.interface import EarlierDispatch, RepeatSemantics, Submission
from hazelhold.placement_pace import PlacementPace
from hazelhold.protocol import messages as m
from hazelhold.scheduler import Scheduler
from hazelhold.state.images import Change


class OutstandingProbe(NamedTuple):
    """A probe that was sent to a machine by a decision. `due` in microseconds."""

    number: int
    due: int


class WaitingHandover(NamedTuple):
    """A guest that its owner hands over on a machine that is not listed yet."""

    owner: str
    machine: str
    submit: m.Submit
    ended: bool = False  # its owner has ended it meanwhile: the machine has to stop it


class ChangeTracker(Protocol):
    """Collects what has to be persisted (`persistence.StatePersistence`)."""

    epoch: int
    changed_keys: dict[tuple[str, str], None]

    def listing_received(self, listing: m.Listing) -> None: ...

    def flush(self, tables: "Tables", now: int) -> list[Change]: ...

    def learned(self, tables: "Tables") -> Change: ...


class Tables:
    """The state of one planner, and steps on it that make no decisions."""

    def __init__(self, config: PlannerConfig | EngineSettings, seed: int, now: int) -> None:
        settings = config if isinstance(config, EngineSettings) else engine_settings(config)
        self.limits, self.peers, self.deployment = settings.limits, settings.peers, settings.deployment
        self.scheduler = Scheduler(seed, self.deployment)
        self.step_limits = settings.step_limits
        self.pace = self.scheduler.pace = PlacementPace(
            self.step_limits.machines, self.step_limits.answers or inf
        )
        # Decisions in one pump; a host that is behind lowers it.
        self.decision_batch = self.limits.decisions_at_once
        self.actions: list[Action] = []  # emptied by the host
        self.counts: Counter[str] = Counter()
        self.products = {name: at for at, name in enumerate(settings.products)}
        self.customers = {name: at for at, name in enumerate(settings.customers)}
        self.roster = Roster({name: at for at, name in enumerate(settings.kinds)})
        # By the scheduler's name; emptied by a guest's end or final answer.
        self.records: dict[str, GuestRecord] = {}
        self.newest_records: dict[str, GuestRecord] = {}  # by guest; emptied with records
        # Final answers that owners may still request again; emptied by age.
        self.answers: OrderedDict[tuple[str, int], tuple[m.Message, int]] = OrderedDict()
        self.ends: OrderedDict[str, tuple[str, int]] = OrderedDict()  # how guests ended; emptied by age
        # By guest, then machine; emptied by the machine's report, its new incarnation or its leaving the
        # list.
        self.abandoned: dict[str, dict[str, AbandonedDispatch]] = {}
        self.links: dict[str, Link] = {}  # emptied as machines go
        # Links that wait for something; idle ones are skipped, so that a pump does not check all links.
        self.active_links: dict[str, None] = {}  # emptied as they become idle
        self.pumped_at = now  # when timeouts were last checked
        self.resumed_at = 0  # when the process last resumed after a pause; 0: it never paused
        self.idle_check_at = 0  # when unused links are checked next
        self.overdue: list[tuple[int, str, int]] = []  # a heap of timeouts: time, record, dispatch number
        self.list_version = 0
        self.list_due = 0  # deadline for the list service to answer; 0: no request is open
        self.probes: dict[str, OutstandingProbe] = {}  # by machine; emptied by its answer or timeout
        self.probe_number = 0
        # Machines listed at the start that have not reported their guests.
        self.unreported_machines: set[str] = set()
        self.list_heard = self.stopping = False
        self.persistence: ChangeTracker | None = None  # set if changes have to be persisted
        # Set if offers that must not be sent twice are agreed among planners.
        self.claims: Claims | None = None
        self.recovery_complete = False  # all that this planner accepted in earlier runs is known
        self.persistence_healthy = True  # what is sent is certain to be known after a crash
        self.list_lease = settings.list_lease or self.deployment.list_lease
        self.lease = ListLease(self.list_lease)
        self.list_questions = ListQuestions()
        # Guests that count as placed and that their machine has to confirm; by the scheduler's name.
        self.verifications: dict[str, Verification] = {}  # emptied by that and by timeout
        self.verify_at = 0  # when they are checked next; 0: there are none
        # By machine; emptied by the list's confirmation and as links are forgotten.
        self.process_checks: dict[str, ProcessCheck] = {}
        self.process_checks_at = 0  # when their next step is due; 0: none is
        # Machines whose restart the list has shown, while their connection awaits evidence; emptied by that
        # and by timeout.
        self.undated_restarts: dict[str, None] = {}
        # By guest: the machine that reported on it while it was not held, and when; emptied by its handover
        # and by number.
        self.recently_reported: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self.list_taken = True  # whether the scheduler was last informed that the list is current
        self.monitor = RuleMonitor(self.deployment.max_dispatches)
        # By name: guests handed over on machines that the list lacks while it is not confirmed.
        # Emptied by the list, the owner and the guest's end.
        self.waiting_handovers: dict[str, WaitingHandover] = {}
        # By address: machines that have left the list and whose link has guests, where another machine may
        # have taken the address before the connection was opened; emptied as links are forgotten.
        self.orphaned_links: dict[str, str] = {}
        # Opened since the list was last confirmed; emptied by that.
        self.unconfirmed_links: dict[str, None] = {}
        self.denials: Counter[Denial] = Counter()  # offers that the final check held back, by reason
        self.events: deque[Event] = deque(maxlen=0)  # for the log of a host that sets a length; emptied by it
        self.more = False  # the last pump ended at its limit of decisions
        self.retry_advisor = RetryAdvisor(
            to_microseconds(self.limits.again_least_ms),
            to_microseconds(self.limits.again_most_ms),
            Random(f"advice/{seed}"),
        )

    def set_planner_share(self, planners: int, slot: int) -> None:
        """Makes this planner number `slot` of `planners` that share the fleet."""
        self.deployment = self.scheduler.deployment = self.deployment._replace(planners=planners, slot=slot)

    def reconfigure(self, settings: EngineSettings) -> None:
        """Continues with new settings.

        Existing guest classes keep their positions and what held guests were decided by; new ones may follow
        them. Machine kinds and this planner's share of the fleet stay the same. New guests are accepted by
        the new settings; limits on dispatches apply to all guests at once.
        """
        deployment = settings.deployment._replace(
            planners=self.deployment.planners, slot=self.deployment.slot
        )
        self.deployment = self.scheduler.deployment = deployment
        if settings.list_lease:
            self.list_lease = settings.list_lease
            if self.lease.duration:
                self.lease.duration = self.list_lease
        self.products = {name: at for at, name in enumerate(settings.products)}
        self.customers = {name: at for at, name in enumerate(settings.customers)}

    def _mark_changed(self, kind: str, *key: object) -> None:
        if self.persistence is not None:
            self.persistence.changed_keys[kind, "\0".join(str(part) for part in key)] = None

    # Claims.

    def _needs_claim(self, record: GuestRecord) -> bool:
        """Whether offers of this guest need an agreed claim."""
        return self.claims is not None and (
            self.deployment.guest_classes[record.product].repeat is not RepeatSemantics.IDEMPOTENT
        )

    def _take_proposals(self) -> None:
        wanted, self.claims.wanted = self.claims.wanted, []
        self.actions += [ProposeChange(*each) for each in wanted]

    def _report_fact(self, now: int, record: GuestRecord, state: str, how: str = "") -> None:
        """Reports to the other planners what became of a claimed guest."""
        if self._needs_claim(record):
            self.claims.report_fact(now, record.guest, record.submission_number, state, record.machine, how)
            self._take_proposals()

    def _release(self, now: int, guest: str, claim: bytes) -> None:
        if claim:
            self.claims.release(now, guest, claim)
            self._take_proposals()

    def _set_dispatch_timeout(self, due: int, record: GuestRecord) -> None:
        record.due_at = due
        heappush(self.overdue, (due, record.name, record.dispatch_number))

    def _submission(
        self, record: GuestRecord, patience: int, earlier: EarlierDispatch | None = None
    ) -> Submission:
        s = record.submit
        return Submission(
            record.name,
            record.product,
            self.customers.get(s.customer, 0),
            s.service,
            s.cores,
            s.memory,
            patience,
            earlier,
            owner=self._turn_owner(record),
        )

    def _turn_owner(self, record: GuestRecord) -> str:
        """Who takes turns with others for this guest; nobody where refused owners are told when to return."""
        return "" if self.peers.advises_retry else record.owner

    def _attach(self, record: GuestRecord) -> None:
        if record.machine not in self.links:
            self.links[record.machine] = Link(record.machine)
        self.links[record.machine].guests[record.name] = None

    def _detach(self, record: GuestRecord) -> None:
        if link := self.links.get(record.machine):
            link.guests.pop(record.name, None)
            link.queue.pop(record.name, None)

    def _drop_content(self, record: GuestRecord) -> None:
        """Drops what only an offer of a guest needs, once it is placed: such guests live long. Where machines
        report their guests it is kept, as they do."""
        if isinstance(record.submit, m.Submit) and not self.peers.reports_inventory:
            record.submit = replace(record.submit, description=b"", ticket="")

    # Log events and run-time checks.

    def _guest_event(self, change: str, record: GuestRecord, reason: str = "") -> None:
        self.events.append(GuestEvent(change, record.guest, record.dispatch_number, record.machine, reason))

    def _machine_event(self, change: str, machine: str, reason: str = "") -> None:
        self.events.append(MachineEvent(change, machine, reason))

    def _violated(self, found: list[Violation], record: GuestRecord) -> None:
        for each in found:
            self.counts["rule_violations"] += 1
            self.events.append(RuleEvent(each.value, record.guest, record.machine))

    def _forget(self, record: GuestRecord) -> None:
        self.records.pop(record.name, None)
        self.monitor.forget(record.name)
        self._mark_changed("guest", record.name)
        if self.newest_records.get(record.guest) is record:
            del self.newest_records[record.guest]

    def _retry_after(self, now: int, guest: str, fallback: int = 0) -> int:
        """The wait in microseconds that a refusal advises: admission control's, or the decision's own."""
        return (
            self.retry_advisor.wait(now, guest, len(self.scheduler.held))
            if self.peers.advises_retry
            else fallback
        )

    def _may_have_unknown_guests(self) -> bool:
        """Whether guests may run that this planner does not know of, so it must not report any as unknown.

        It has just started, and has no list yet or waits for the reports of listed machines.
        """
        return not self.recovery_complete and (not self.list_heard or bool(self.unreported_machines))

    def _record_end(self, now: int, guest: str, how: str) -> None:
        if len(self.ends) >= self.limits.open_guests:
            self.ends.popitem(last=False)
        self.ends[guest] = how, now + to_microseconds(self.limits.keep_answers_ms)
        self.ends.move_to_end(guest)
        self._mark_changed("end", guest)

    def _forget_abandoned(self, guest: str, machine: str) -> None:
        if by := self.abandoned.get(guest):
            by.pop(machine, None)
            self._mark_changed("loose", guest, machine)
            if not by:
                del self.abandoned[guest]

    def _send_owner(self, owner: str, message: m.Message) -> None:
        self.actions.append(Send("owner", owner, message))

    def _send_machine(self, machine: str, message: m.Message) -> None:
        self.actions.append(Send("machine", machine, message))

    def _send_new_probe(self, machine: str) -> int:
        """Probes a machine without a decision of the scheduler; returns the probe's number."""
        self.probe_number += 1
        self._send_machine(machine, m.Probe(number=self.probe_number))
        return self.probe_number

    def _active_links(self) -> list[Link]:
        for name in [n for n in self.active_links if n not in self.links]:
            del self.active_links[name]
        return [self.links[name] for name in self.active_links]

    def _dial(self, now: int, listed: RosterMachine) -> Link:
        link = self.links.get(listed.name)
        if link is None:
            link = self.links[listed.name] = Link(listed.name)
        self._close_if_idle(now, link)
        self.active_links[listed.name] = None
        if link.state == "down" and not self._ensure_link_slot(now):
            link.dial_at = now + 100_000  # what waits for it stays queued, and is tried again or ends unsent
        elif link.state == "down":
            link.state, link.dial_at, link.address = "dialling", 0, listed.address
            link.dial_due = now + to_microseconds(self.limits.connect_ms)
            self.actions.append(Dial(listed.name, listed.address, to_microseconds(self.limits.connect_ms)))
        return link

    def _close_if_idle(self, now: int, link: Link) -> None:
        """Closes a connection that has been idle for so long that its machine may be closing it.

        An offer written now could cross that close, and nobody could tell whether it ran.
        """
        if (
            self.peers.reports_inventory
            or link.state != "up"
            or link.awaits_evidence
            or link.queue
            or link.machine in self.probes
            or (link.machine not in self.roster.machines)  # it could not be dialled again
            or (
                now - max(link.used_at, link.heard_at, link.opened_at)
                <= to_microseconds(self.limits.idle_close_ms)
            )
        ):
            return
        if all(self.records[name].placed or not self.records[name].sent for name in link.guests):
            self.counts["links_rested"] += 1
            self.actions.append(HangUp(link.machine))
            link.close(now)
            link.lost_at = 0

    def _ensure_link_slot(self, now: int) -> bool:
        """Keeps the number of connections within its limit; False if none can be closed.

        The least recently used connection is closed, those without guests first. Placed guests outlive it,
        and their machine is queried again before it counts as silent. A connection with an outstanding
        dispatch stays.
        """
        if len(self.links) <= self.limits.links:
            return True
        opened = [l for l in self.links.values() if l.state != "down"]
        if len(opened) < self.limits.links:
            return True
        for link in sorted(opened, key=lambda l: (bool(l.guests), max(l.used_at, l.heard_at, l.opened_at))):
            if (
                link.state == "up"
                and not link.awaits_evidence
                and not link.queue
                and link.machine not in self.probes
                and all(self.records[name].placed for name in link.guests)
            ):
                self.counts["links_closed_for_others"] += 1
                self.actions.append(HangUp(link.machine))
                link.close(now)
                link.lost_at = 0
                return True
        self.counts["links_put_off"] += 1
        return False
