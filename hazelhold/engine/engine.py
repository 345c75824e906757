"""One planner without its sockets: what peers say goes in, what to do comes out, one Brain decides.

How it is called: the host reports what happened through the input methods, each with the moment in whole
microseconds, then calls `pump(now)`, which lets the Brain decide until it has nothing more, and carries out
`actions` in their order. `next_at(now)` says when to pump again if nothing happens. The same calls with the
same seed give the same actions.

What the engine itself keeps is bookkeeping that no ranking may touch: attempt numbers, time-outs of
dispatches, one dispatch out at a time, which offers were surely never sent, and what a machine may still
hold of dispatches that were given up. Every choice, time-out and final answer is the Brain's.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from hazelhold.brain import NEVER_RAN, Brain
from hazelhold.config.planner import PlannerSheet, micros
from hazelhold.engine.advice import Advice
from hazelhold.engine.keep import Keeping, recover
from hazelhold.engine.machines import Fellow, Link, Roster
from hazelhold.engine.terms import Terms, terms_of
from hazelhold.interface import Ask, Decision, Earlier, Effect, Ending, Load, Mode, Remark, Step
from hazelhold.protocol import messages as m
from hazelhold.state.images import Change
from hazelhold.state.ledger import Ledger

ENDINGS = {"done": (Ending.DONE, Remark.NONE), "error": (Ending.ERROR, Remark.NONE),
           "evicted": (Ending.CUT_OFF, Remark.EVICTED), "pushed_out": (Ending.CUT_OFF, Remark.PUSHED_OUT),
           "sent_away": (Ending.CUT_OFF, Remark.SENT_AWAY), "stopped": (Ending.CALLED_OFF, Remark.NONE),
           "withdrawn": (Ending.TURNED_BACK, Remark.NONE), "not_sent": (Ending.NOT_SENT, Remark.NONE)}
LATER = ("full", "overloaded", "stopping", "not_kept")  # rejections after which coming back makes sense
REMARKS = {"no_cores": Remark.NO_CORES, "no_memory": Remark.NO_MEMORY, "line_full": Remark.LINE_FULL,
           "not_here": Remark.NOT_HERE}


class Send(NamedTuple):
    """Send the message to the peer; `role` is owner or machine."""

    role: str
    peer: str
    message: m.Message


class Dial(NamedTuple):
    """Connect to a machine, within the given span; report link_up or link_failed."""

    machine: str
    address: str
    span: int


class HangUp(NamedTuple):
    """Close the connection to a machine; no link_down follows."""

    machine: str


class AskList(NamedTuple):
    """Ask the list service for changes since the version."""

    since: int


class Lost(NamedTuple):
    """A peer broke the protocol: tell it so and close the connection; reported as link_down, owner_gone."""

    role: str
    peer: str
    code: str
    text: str


Action = Send | Dial | HangUp | AskList | Lost


@dataclass
class Case:
    """A guest in this planner's hands. `name` is what the Brain calls it: the guest and the ask it came
    with."""

    name: str
    guest: str
    ask: int  # the ask that machines hear of
    owner: str
    product: int
    submit: m.Submit | m.Stand
    asks: dict[int, None] = field(default_factory=dict)  # asks that await an answer; emptied by it
    attempt: int = -1
    machine: str = ""  # where a dispatch is out, or where it runs
    sent: bool = False  # the offer has left
    sent_at: int = 0
    placed: bool = False
    cancelled: bool = False
    incarnation: int = 0  # of the machine, when the offer left
    due_at: int = 0  # when the dispatch that is out is given up
    unsure: str = ""  # the machine of the last dispatch that may have run


@dataclass
class Loose:
    """A dispatch that was given up and may stand on its machine all the same."""

    case: Case
    attempt: int
    machine: str
    sent_at: int
    stands: bool = False  # the machine has said that it accepted it
    roll_at: int = 0  # when its machine is asked again


class Engine:
    """All that one planner does."""

    def __init__(self, sheet: PlannerSheet | Terms, seed: int, now: int) -> None:
        terms = sheet if isinstance(sheet, Terms) else terms_of(sheet)
        self.limits, self.peers, self.facts = terms.limits, terms.peers, terms.facts
        self.brain = Brain(seed, self.facts)
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
        self.idle_at = 0  # when links that nobody uses are looked for next
        self.overdue: list[tuple[int, str, int]] = []  # a heap of time-outs: moment, case, attempt
        self.list_version = 0
        self.list_due = 0  # by when the list service must have answered; 0: nothing is asked
        self.probes: dict[str, tuple[int, int]] = {}  # machine: number and time-out of the probe that is out
        self.probe_number = 0
        self.unheard: set[str] = set()  # machines listed at the start that have not told what they hold
        self.list_heard = self.stopping = False
        self.keeping: Keeping | None = None  # set if what changes here is to outlive the process
        self.sure = False  # all that this planner took in earlier lives is known
        self.kept_well = True  # what is sent is sure to be known after a crash
        self.more = False  # the last pump ended at its limit
        self.advice = Advice(micros(self.limits.again_least_ms), micros(self.limits.again_most_ms),
                             Random(f"advice/{seed}"))

    # What outlives the process.

    def keep(self, now: int, epoch: int, ledger: Ledger, complete: bool) -> dict[str, int]:
        """From now on `flush` tells what is to be kept; begins where the images in the ledger left off.
        Before any other input. Returns counts of what was recovered; ValueError if an image cannot be
        read."""
        self.keeping = Keeping(epoch)
        return recover(self, now, ledger, complete)

    def flush(self, now: int) -> list[Change]:
        """What must be safe before the actions of this moment are carried out."""
        return self.keeping.flush(self, now)

    def state_kept(self, now: int, well: bool) -> None:
        """The disk fails, or works again. While it fails no guest is taken or sent whose second run could do
        harm."""
        self.kept_well = well
        self.counts["state_failures"] += not well
        self.brain.state_kept(now, well)

    def offer_held_back(self, now: int, offer: m.Offer) -> None:
        """An offer did not leave, since what it rests on could not be made safe."""
        case = self.cases.get(f"{offer.guest}/{offer.ask}") or self.newest.get(offer.guest)
        if case and case.sent and not case.placed and (case.ask, case.attempt) == (offer.ask, offer.attempt):
            self._not_sent(now, case, Ending.NOT_SENT)

    def _mark(self, kind: str, *key: object) -> None:
        if self.keeping is not None:
            self.keeping.marks[kind, "\0".join(str(part) for part in key)] = None

    # Owners.

    def owner_said(self, now: int, owner: str, message: m.Message) -> None:
        """A Submit, Cancel or Query of an owner."""
        if isinstance(message, m.Submit):
            self._submitted(now, owner, message)
        elif isinstance(message, m.Cancel):
            self._cancelled(now, owner, message)
        elif isinstance(message, m.Query):
            self._send_owner(owner, self._state(message))

    def _submitted(self, now: int, owner: str, submit: m.Submit) -> None:
        guest, ask = submit.guest, submit.ask
        old = case = self.newest.get(guest)
        if case and not self.peers.asks_again:
            self.counts["rejected_open_already"] += 1
            self._send_owner(owner, m.Rejected(guest=guest, ask=ask, code="open_already",
                                               text="this name is in hand"))
            return
        if case and not case.cancelled:
            # it joins what is in hand: one guest, one dispatch, one answer for each
            self.counts["repeats"] += 1
            case.owner = owner
            self._mark("guest", case.name)
            if case.placed:
                self._answer(now, case, m.Placed(guest=guest, ask=ask, machine=case.machine), [ask])
            else:
                case.asks[ask] = None
                self._send_owner(owner, m.Held(guest=guest, ask=ask))
            return
        if past := self.answers.get((guest, ask)):
            self.counts["answers_repeated"] += 1
            self._send_owner(owner, past[0])
            return
        kept = self.peers.advised and self.advice.came(now, guest)
        if fault := self._fault(now, submit, kept):
            self.counts["rejected_" + fault[0]] += 1
            later = self._later(now, guest) if fault[0] in LATER else 0
            self._send_owner(owner, m.Rejected(guest=guest, ask=ask, code=fault[0], text=fault[1],
                                               again_after=later))
            return
        case = Case(f"{guest}/{ask}", guest, ask, owner, self.products[submit.product], submit, {ask: None})
        if case.name in self.cases:  # cancelled, with its call-off under way
            self._send_owner(owner, m.Rejected(guest=guest, ask=ask, code="ending", text="its cancel is on"))
            return
        self.cases[case.name] = self.newest[guest] = case
        self.counts["taken"] += 1
        self._mark("guest", case.name)
        if self.peers.hears_held:
            self._send_owner(owner, m.Held(guest=guest, ask=ask))
        earlier = self._earlier(now, submit, old)
        case.unsure = earlier.machine if earlier else ""
        self.brain.guest_arrived(now, self._ask(case, submit.patience, earlier))
        self._adopt(now, guest)

    def _earlier(self, now: int, submit: m.Submit, old: Case | None) -> Earlier | None:
        """An earlier dispatch of this guest that may have run or may still: given up, being called off, or
        made before this planner started by a machine that has not spoken yet."""
        unsettled = [Earlier(l.machine, l.sent_at) for l in self.loose.get(submit.guest, {}).values()]
        if old and old.sent:
            unsettled.append(Earlier(old.machine, old.sent_at))
        if (submit.ask or submit.reason) and self._blind():
            unsettled.append(Earlier("", now))
        return min(unsettled, key=lambda e: e.sent_at, default=None)

    def _fault(self, now: int, submit: m.Submit, kept: bool) -> tuple[str, str] | None:
        if self.stopping:
            return "stopping", "this planner takes nothing more"
        if submit.product not in self.products:
            return "unknown_product", f"no product is called {submit.product!r}"
        if submit.customer and submit.customer not in self.customers:
            return "unknown_customer", f"no customer is called {submit.customer!r}"
        if submit.patience > micros(self.limits.patience_ms):
            return "patience", f"patience is {self.limits.patience_ms:g} ms at most"
        if not self.kept_well and self.facts.products[self.products[submit.product]].effect is not (
                Effect.RERUNNABLE):
            return "not_kept", "the planner's disk fails: nothing is taken that must not run twice"
        if len(self.cases) >= self.limits.open_guests:
            return "full", f"{self.limits.open_guests} guests are in hand"
        if self.peers.advised and self.advice.hopeless(now, len(self.brain.waiting), submit.patience, kept):
            return "overloaded", "the line is longer than this patience"
        return None

    def _cancelled(self, now: int, owner: str, message: m.Cancel) -> None:
        case = self.newest.get(message.guest)
        if case is None:
            self._send_owner(owner, self._state(message))
            return
        self.counts["cancels"] += 1
        case.owner, case.cancelled = owner, True
        self._mark("guest", case.name)
        self.brain.guest_cancelled(now, case.name)

    def _later(self, now: int, guest: str, span: int = 0) -> int:
        """The wait that goes with a turn-back: the door's advice, or the decision's own span."""
        return self.advice.wait(now, guest, len(self.brain.waiting)) if self.peers.advised else span

    def owner_left(self, now: int, guest: str) -> bool:
        """Its owner waits no longer, or ends what stands: no answer and no word of an end is owed. What is
        out or runs is taken back from its machine. False if the guest is not in hand."""
        case = self.newest.get(guest)
        if case is None:
            self.counts["left_unknown"] += 1
            return False
        self.counts["left_placed" if case.placed else "left_open"] += 1
        if case.placed:
            self._tell(now, case.machine, m.Stop(guest=guest, ask=case.ask, attempt=case.attempt))
        elif case.machine:
            self._give_up(now, case)
        self.brain.guest_left(now, case.name)
        if case.machine:
            self._unhold(case)
            self.brain.dispatch_ended(now, case.name, Ending.CALLED_OFF, True, Remark.NONE)
        self._forget(case)
        return True

    def guest_stands(self, now: int, owner: str, machine: str, submit: m.Submit) -> str:
        """An owner hands over a guest that runs on a machine already; returns what is wrong, or nothing. One
        that is in hand stays as it is."""
        if submit.guest in self.newest:
            self.counts["found_known"] += 1
            return ""
        if submit.guest in self.ends:  # its machine told of its end before its owner handed it over
            self.counts["found_ended"] += 1
            how, _ = self.ends.pop(submit.guest)
            self._send_owner(owner, m.GuestEnded(guest=submit.guest, how=how, machine=machine))
            return ""
        if submit.product not in self.products:
            return "unknown_product"
        fellow = self.roster.fellows.get(machine)
        if fellow is None:
            return "unknown_machine"
        if len(self.cases) >= self.limits.open_guests:
            return "full"
        self.counts["found"] += 1
        case = Case(f"{submit.guest}/{submit.ask}", submit.guest, submit.ask, owner,
                    self.products[submit.product], submit, attempt=0, machine=machine, sent=True, sent_at=now,
                    placed=True)
        self.cases[case.name] = self.newest[case.guest] = case
        self._hold(case)
        self.brain.guest_found(now, machine, self._ask(case, submit.patience))
        link = self._dial(now, fellow)
        link.heard_at = link.heard_at or now
        return ""

    def stands(self, guest: str) -> bool:
        case = self.newest.get(guest)
        return case is not None and case.placed

    def out(self, guest: str) -> bool:
        """Whether the guest is in hand and awaits its answer."""
        case = self.newest.get(guest)
        return case is not None and not case.placed

    def time_left(self, now: int, offer: m.Offer) -> int:
        """How long the answer to an offer whose bytes have not left yet is waited for; 0 if it is not wanted
        any more, or its machine takes nothing any more."""
        case = self.newest.get(offer.guest)
        if case is None or case.placed or not case.sent or (case.ask, case.attempt) != (
                offer.ask, offer.attempt):
            return 0
        fellow = self.roster.fellows.get(case.machine)
        return max(0, case.due_at - now) if fellow is not None and fellow.mode is Mode.READY else 0

    def ready(self) -> bool:
        """Whether guests can be placed: some machine of the list takes them."""
        return not self.stopping and any(f.mode is Mode.READY for f in self.roster.fellows.values())

    def _state(self, message: m.Named) -> m.State:
        guest, ask = message.guest, message.ask
        case = self.newest.get(guest)
        if case and case.placed:
            state, machine = "running", case.machine
        elif case:
            state, machine = "out" if case.machine else "held", case.machine
        else:
            state, machine = self._past(guest, ask), ""
        return m.State(guest=guest, ask=ask, state=state, machine=machine)

    def _past(self, guest: str, ask: int) -> str:
        """What is known of a guest that is not in hand."""
        if self.loose.get(guest):
            return "unsettled"
        if past := self.ends.get(guest):
            return past[0]
        answer = self.answers.get((guest, ask))
        tag = answer[0].__struct_config__.tag if answer else "unknown"
        return "unsettled" if tag in ("unknown", "broken_off") and self._blind() else tag

    def _blind(self) -> bool:
        """Whether guests may run that this planner has not heard of: it has just started, and has no list
        yet or waits for machines on it. What it does not know it must not call unknown."""
        return not self.sure and (not self.list_heard or bool(self.unheard))

    # The list.

    def list_said(self, now: int, message: m.Message) -> None:
        """A Listing or ListRefused of the list service."""
        self.list_due = 0
        if not isinstance(message, m.Listing):
            self.list_failed(now)
            return
        first, self.list_heard = not self.list_heard, True
        self.list_version = message.version
        news = self.roster.learn(now, message)
        if self.keeping is not None:
            self.keeping.told(message)
        self.counts["list_entries"] += len(message.entries)
        self.counts["list_faults"] += len(news.faults)
        self.brain.machines_listed(now, news.listed, message.whole)
        for name in news.closed:  # what has not left may not go there any more
            if link := self.links.get(name):
                for case_name in list(link.queue):
                    self._not_sent(now, self.cases[case_name], Ending.NOT_SENT)
        for name in news.moved:
            if name in self.links:
                self.actions.append(HangUp(name))
                self._link_lost(now, self.links[name])
        for name in news.gone:
            self.unheard.discard(name)
            if (link := self.links.get(name)) and (not link.state == "up" or not self.peers.rolls
                                                   and not link.holds):
                if link.state == "up":
                    self.actions.append(HangUp(name))
                    link.state = "down"
                self._forget_machine(now, link)
        if not self.peers.rolls:
            for name in news.fresh:
                if link := self.links.get(name):
                    self._new_life(now, link, self.roster.fellows[name].started)
            return
        if first:
            self.unheard = {f.name for f in self.roster.fellows.values()}
        for name in news.fresh:  # each is asked once what it holds of ours
            self._dial(now, self.roster.fellows[name])

    def _new_life(self, now: int, link: Link, started: int) -> None:
        """The list tells of a machine's new life: what came to it in the old one is over."""
        for name in list(link.holds):
            case = self.cases[name]
            if case.sent and case.sent_at < started:
                self._gone(now, case, "lost")

    def list_failed(self, now: int) -> None:
        """The list service refused, was silent for too long, or its connection broke."""
        self.list_due = 0
        self.counts["list_failures"] += 1
        self.brain.list_failed(now)

    # Links to machines.

    def link_up(self, now: int, machine: str, welcome: m.Welcome | None = None) -> None:
        """A dialled machine has answered. What it holds is asked before anything is offered, where machines
        tell that; else what waits for the connection leaves at once."""
        link = self.links.get(machine)
        if link is None or link.state != "dialling":
            self.actions.append(HangUp(machine))
            return
        if not self.peers.rolls:
            self._opened(now, link)
            return
        if welcome.name != machine:
            self.counts["wrong_machine"] += 1
            self.actions.append(Lost("machine", machine, "wrong_machine",
                                     f"{welcome.name!r} answered in the place of {machine!r}"))
            self.link_failed(now, machine)
            return
        link.state, link.rolled = "up", False
        self.restless[machine] = None
        link.roll_due = now + micros(self.limits.reconnect_ms)
        link.before, link.incarnation = link.incarnation, welcome.incarnation
        link.used_at = now
        self._send_machine(machine, m.Roll())

    def _opened(self, now: int, link: Link) -> None:
        """A connection stands to a machine that tells nothing of what it holds."""
        link.state, link.rolled, link.dial_at = "up", True, 0
        link.used_at = link.opened_at = now
        link.heard_at = link.heard_at or now
        if link.lost_at:  # whether the machine that had those guests is still there, its answer shows
            self.probe_number += 1
            self._send_machine(link.machine, m.Probe(number=self.probe_number))
        self.restless[link.machine] = None
        words, link.words = link.words, []
        for message in words:
            self._send_machine(link.machine, message)
        for name in list(link.queue):
            self._offer(now, self.cases[name])
        if link.machine in self.probes:
            self._send_machine(link.machine, m.Probe(number=self.probes[link.machine][0]))

    def link_failed(self, now: int, machine: str, refused: bool = False) -> None:
        """A dial failed or took too long: offers that waited for it surely never ran. `refused`: nobody
        listens there, so the machine's process is gone."""
        link = self.links.get(machine)
        if link is None:
            return
        if refused and not self.peers.rolls and link.lost_at:
            link.lost_at = now - micros(self.limits.reconnect_ms)
        self.counts["dials_failed"] += 1
        self.restless[machine] = None
        link.state = "down"
        self._drop_queue(now, link)
        if link.lost_at and now - link.lost_at >= micros(self.limits.reconnect_ms):
            self._forget_machine(now, link)
        elif link.lost_at:
            link.dial_at = now + micros(self.limits.reconnect_ms) // 10
        elif machine in self.unheard:
            link.dial_at = now + 1_000_000

    def link_down(self, now: int, machine: str) -> None:
        """A connection that stood broke. What it carried is not lost yet: the machine is asked first."""
        if link := self.links.get(machine):
            self._link_lost(now, link)

    def _link_lost(self, now: int, link: Link) -> None:
        self.counts["links_lost"] += link.state == "up"
        link.state, link.rolled = "down", False
        self.restless[link.machine] = None
        self._drop_queue(now, link)
        self._probe_over(now, link.machine, False)
        if not self.peers.rolls:  # a set-up ends with its connection, what stands does not
            for name in list(link.holds):
                case = self.cases[name]
                if case.sent and not case.placed:
                    self._ended(now, case, Ending.CUT_OFF, Remark.NONE)
        if not self.peers.rolls and link.machine not in self.roster.fellows:
            self._forget_machine(now, link)  # it has left the list, and its connection with it
        elif link.holds or any(link.machine in by for by in self.loose.values()):
            link.lost_at = link.lost_at or now
            link.dial_at = now
        else:
            link.lost_at = 0

    def _forget_machine(self, now: int, link: Link) -> None:
        """The machine did not come back in time: what is unknown goes to the Brain as unknown."""
        link.lost_at = link.dial_at = link.unanswered = link.heard_at = 0
        link.words.clear()
        link.incarnation = link.incarnation if link.state == "up" else 0
        for name in list(link.holds):
            case = self.cases[name]
            if case.placed and self.peers.rolls:  # it may run on, cut off: its machine is asked later
                self._loosen(now, case)
            self._gone(now, case, "lost")
        if link.machine not in self.roster.fellows:
            for guest in [g for g, by in self.loose.items() if link.machine in by]:
                self._settled(guest, link.machine)
            del self.links[link.machine]

    def _drop_queue(self, now: int, link: Link) -> None:
        for name in list(link.queue):
            self._not_sent(now, self.cases[name], Ending.NO_CONNECTION)

    def _dial(self, now: int, fellow: Fellow) -> Link:
        link = self.links.get(fellow.name)
        if link is None:
            link = self.links[fellow.name] = Link(fellow.name)
        self.restless[fellow.name] = None
        if link.state == "down" and not self._room_for_link():
            link.dial_at = now + 100_000  # what waits for it stays here, and is tried again or ends unsent
        elif link.state == "down":
            link.state, link.dial_at = "dialling", 0
            link.dial_due = now + micros(self.limits.connect_ms)
            self.actions.append(Dial(fellow.name, fellow.address, micros(self.limits.connect_ms)))
        return link

    def _room_for_link(self) -> bool:
        """Keeps connections within their bound: the one that was used longest ago is closed, those without
        guests first. What stands outlives it and its machine is asked again before it counts as silent; one
        with an open set-up stays. False if there is none to close."""
        if len(self.links) <= self.limits.links:
            return True
        opened = [l for l in self.links.values() if l.state != "down"]
        if len(opened) < self.limits.links:
            return True
        for link in sorted(opened, key=lambda l: (bool(l.holds), max(l.used_at, l.heard_at, l.opened_at))):
            if link.state == "up" and not link.queue and link.machine not in self.probes and all(
                    self.cases[name].placed for name in link.holds):
                self.counts["links_closed_for_others"] += 1
                self.actions.append(HangUp(link.machine))
                link.state, link.rolled, link.lost_at = "down", False, 0
                return True
        self.counts["links_put_off"] += 1
        return False

    # What machines say.

    def machine_said(self, now: int, machine: str, message: m.Message) -> None:
        """Any message of a machine but its Welcome."""
        link = self.links.get(machine)
        if link is None or link.state != "up":
            return
        link.heard_at, link.unanswered = now, 0
        if not self.peers.rolls:
            link.lost_at = 0
        if isinstance(message, m.Running):
            self._rolled(now, link, message)
            return
        if isinstance(message, m.Report):
            self.brain.machine_reported(now, machine, load(message.load))
            if machine in self.probes and self.probes[machine][0] == message.number:
                self._probe_over(now, machine, message.well)
            return
        if isinstance(message, m.Pressed):
            self.brain.memory_pressed(now, machine, message.share)
            return
        if not isinstance(message, m.Offered):
            return
        if (report := getattr(message, "load", None)) is not None:
            self.brain.machine_reported(now, machine, load(report))
        for case in (self.newest.get(message.guest), self.cases.get(f"{message.guest}/{message.ask}")):
            if case and case.machine == machine and case.sent and (
                    not self.peers.names_attempts
                    or (case.ask, case.attempt) == (message.ask, message.attempt)):
                self._heard(now, case, message)
                return
        self._heard_loose(now, machine, message)

    def _heard(self, now: int, case: Case, message: m.Offered) -> None:
        """News of the dispatch that is out, or of the placed guest."""
        if isinstance(message, m.Taken) and not case.placed:
            case.placed = True
            self._mark("guest", case.name)
            self.brain.dispatch_taken(now, case.name, now - case.sent_at)
            if self.peers.advised:
                self.advice.placed(now, case.guest)
            self._answer(now, case, m.Placed(guest=case.guest, ask=case.ask, machine=case.machine,
                                             description=getattr(message, "description", b"")), case.asks)
        elif isinstance(message, m.Refused) and not case.placed:
            self.counts["refused_" + message.remark[:20]] += 1
            self._ended(now, case, Ending.TURNED_BACK, REMARKS.get(message.remark, Remark.NONE))
        elif isinstance(message, m.Started):
            self.brain.guest_runs(now, case.name)
        elif isinstance(message, m.Use):
            if message.cores is not None:
                self.brain.cores_used(now, case.name, message.cores)
            if message.memory is not None:
                self.brain.memory_used(now, case.name, message.memory)
        elif isinstance(message, m.Served):
            self.brain.guest_served(now, case.name, message.share)
        elif isinstance(message, m.Ended):
            ending, remark = ENDINGS.get(message.how, (Ending.CUT_OFF, Remark.NONE))
            if case.placed:
                self._gone(now, case, message.how, ending, remark)
            else:
                self._ended(now, case, ending, remark)

    def _heard_loose(self, now: int, machine: str, message: m.Offered) -> None:
        """News of a dispatch that was given up."""
        loose = self.loose.get(message.guest, {}).get(machine)
        if loose is None or loose.case.ask != message.ask:
            self.counts["stray_messages"] += 1
            if isinstance(message, m.Ended) and not self.peers.asks_again:
                self._keep_end(now, message.guest, message.how)
            return
        if isinstance(message, m.Refused | m.Ended):
            self._settled(message.guest, machine)
        elif isinstance(message, m.Taken | m.Started | m.Use | m.Served) and not loose.stands:
            self._stands(now, loose)

    def _stands(self, now: int, loose: Loose) -> None:
        """A dispatch that was given up was accepted: the Brain says whose it is, or that it goes."""
        loose.stands = True
        self._mark("loose", loose.case.guest, loose.machine)
        self.counts["late_copies"] += 1
        self._adopt(now, loose.case.guest)

    def _adopt(self, now: int, guest: str) -> None:
        """Tells the Brain of copies of a guest that stand though their dispatch was given up; one that it
        takes for the guest itself is the guest's place from here on, any other is called off by a
        decision."""
        for loose in list(self.loose.get(guest, {}).values()):
            if not loose.stands:
                continue
            held = self.newest.get(guest)
            case = held or loose.case
            self.brain.copy_stands(now, loose.machine, self._ask(case, 0))
            mine = self.brain.guests.get(case.name)
            if held and held.machine or not (mine and mine.placed):
                continue
            self._settled(guest, loose.machine)
            case.ask, case.machine, case.attempt = loose.case.ask, loose.machine, loose.attempt
            case.sent, case.placed, case.sent_at = True, True, loose.sent_at
            self.cases[case.name] = self.newest[guest] = case
            self._hold(case)
            self._mark("guest", case.name)
            if case.asks:
                self._answer(now, case, m.Placed(guest=guest, ask=case.ask, machine=case.machine), case.asks)
            if case.cancelled:
                self.brain.guest_cancelled(now, case.name)

    def _settled(self, guest: str, machine: str) -> None:
        if by := self.loose.get(guest):
            by.pop(machine, None)
            self._mark("loose", guest, machine)
            if not by:
                del self.loose[guest]

    def _rolled(self, now: int, link: Link, running: m.Running) -> None:
        """What a machine has of ours, against what is thought to be there."""
        self.unheard.discard(link.machine)
        if link.rolled:  # nobody asked: it cannot tell what is on its way there
            return
        link.rolled, link.lost_at, link.dial_at = True, 0, 0
        there = {(s.guest, s.ask): s for s in running.guests}
        same_life = not link.before or link.before == link.incarnation
        link.before = link.incarnation
        for name in list(link.holds):
            case = self.cases[name]
            stand = there.pop((case.guest, case.ask), None)
            if not case.sent:
                continue
            if stand and stand.state == "line" and case.cancelled:
                self._call_off(now, name, link.machine)
            if stand and stand.state == "ended":
                if not case.placed and stand.how != "withdrawn":  # accepted while nobody listened
                    self._heard(now, case, m.Taken(guest=case.guest, ask=case.ask))
                self._heard(now, case, m.Ended(guest=case.guest, ask=case.ask, how=stand.how))
            elif stand and stand.state != "line" and not case.placed and not (
                    stand.state == "accepted" and self.facts.confirms_running):
                self._heard(now, case, m.Taken(guest=case.guest, ask=case.ask))
            if stand and stand.state == "runs":
                self.brain.guest_runs(now, name)
            if stand is None and case.placed:
                self._gone(now, case, "lost")
            elif stand is None and same_life and running.complete:
                self._ended(now, case, Ending.NOT_SENT, Remark.NONE)  # it never arrived, and cannot any more
            elif stand is None:
                self._ended(now, case, Ending.CUT_OFF, Remark.NONE)
        for guest in [g for g, by in self.loose.items() if link.machine in by]:
            loose = self.loose[guest][link.machine]
            stand = there.pop((guest, loose.case.ask), None)
            if stand is None or stand.state == "ended":
                self._settled(guest, link.machine)
            elif stand.state == "line":
                loose.roll_at = now  # taken back once more
            elif not loose.stands and (stand.state == "runs"
                                       or stand.state == "accepted" and not self.facts.confirms_running):
                self._stands(now, loose)
        for stand in there.values():
            if stand.state in ("runs", "accepted"):
                self._found(now, link, stand)
            elif stand.state == "ended" and stand.how != "withdrawn" and stand.guest not in self.newest:
                # It ended while no planner listened: its owner will ask, and must not hear that it is
                # unknown.
                self._keep_end(now, stand.guest, stand.how)
        # What was to go there was decided without the guests that were found: their services are decided
        # anew.
        found = {s.service for s in there.values() if s.state in ("runs", "accepted")}
        for name in list(link.queue):
            if self.cases[name].submit.service in found:
                self._not_sent(now, self.cases[name], Ending.NOT_SENT)
            else:
                self._offer(now, self.cases[name])
        if link.machine in self.probes:
            self._send_machine(link.machine, m.Probe(number=self.probes[link.machine][0]))

    def _found(self, now: int, link: Link, stand: m.Stand) -> None:
        """A guest of ours that runs and that this planner does not know: from before its start."""
        if stand.product not in self.products:
            self.counts["found_unknown_product"] += 1
            return
        name = f"{stand.guest}/{stand.ask}"
        self.counts["found"] += 1
        case = Case(name, stand.guest, stand.ask, stand.owner, self.products[stand.product], stand)
        case.attempt, case.sent_at = stand.attempt, now
        held = self.newest.get(stand.guest)
        if held and held.machine or name in self.cases:  # out or placed elsewhere: one copy too many
            loose = Loose(case, stand.attempt, link.machine, now, roll_at=now + 1_000_000)
            self._mark("loose", stand.guest, link.machine)
            self.loose.setdefault(stand.guest, {})[link.machine] = loose
            self._stands(now, loose)
            return
        case.machine, case.sent, case.placed = link.machine, True, True
        if held:  # asked again while its planner was away: what runs is the answer
            self.brain.guest_left(now, held.name)
            self._answer(now, held, m.Placed(guest=held.guest, ask=held.ask, machine=link.machine), held.asks)
            del self.cases[held.name]
            self._mark("guest", held.name)
        self.cases[name] = self.newest[stand.guest] = case
        case.incarnation = link.incarnation
        self._hold(case)
        self._mark("guest", name)
        self.brain.guest_found(now, link.machine, self._ask(case, 0))

    # The passing of time.

    def pump(self, now: int) -> None:
        """Time-outs that are due, then decisions until there is none or so many are made that peers have
        waited long enough to be read; `next_at` says then to pump again at once."""
        self._time_outs(now)
        for _ in range(self.limits.decisions_at_once):
            decision = self.brain.decide(now)
            self.more = decision is not None
            if decision is None:
                return
            self._carry_out(now, decision)

    def next_at(self, now: int) -> int | None:
        """When to pump again if nothing happens; None if nothing is due."""
        if self.more:
            return now
        times = [t for t in (self.brain.next_look(now), self.list_due) if t]
        if self.overdue:
            times.append(self.overdue[0][0])
        times += [due for _, due in self.probes.values()]
        for link in self._restless():
            times += [t for t in (link.dial_at, link.dial_due if link.state == "dialling" else 0,
                                  link.roll_due if link.state == "up" and not link.rolled else 0) if t]
        times += [l.roll_at for by in self.loose.values() for l in by.values()]
        if not self.peers.rolls and self.links:
            times.append(self.idle_at)  # silence is looked for though nothing happens
        return min(times, default=None)

    def _time_outs(self, now: int) -> None:
        while self.overdue and self.overdue[0][0] <= now:
            _, name, attempt = heappop(self.overdue)
            case = self.cases.get(name)
            if case and case.machine and not case.placed and case.attempt == attempt:
                if case.sent:
                    self._give_up(now, case)
                    self._ended(now, case, Ending.OVERDUE, Remark.NONE)
                else:
                    self._not_sent(now, case, Ending.NO_CONNECTION)
        for machine, (_, due) in list(self.probes.items()):
            if due <= now:
                self._unheard(now, machine, due - micros(self.limits.probe_ms))
                self._probe_over(now, machine, False)
        for link in self._restless():
            if link.settled():
                self.restless.pop(link.machine, None)
                continue
            if link.state == "up" and not link.rolled and link.roll_due <= now:
                self.counts["rolls_unanswered"] += 1  # it is mute: as good as a broken link
                self.actions.append(HangUp(link.machine))
                self._link_lost(now, link)
                link.dial_at = now + micros(self.limits.reconnect_ms) // 10
            elif link.state == "dialling" and link.dial_due <= now:
                self.actions.append(HangUp(link.machine))
                self.link_failed(now, link.machine)
            if link.state == "down" and link.lost_at and (
                    now - link.lost_at >= micros(self.limits.reconnect_ms)):
                self._forget_machine(now, link)
            if link.state == "down" and link.dial_at and link.dial_at <= now:
                link.dial_at = 0
                if fellow := self.roster.fellows.get(link.machine):
                    self._dial(now, fellow)
        for by in list(self.loose.values()):
            for loose in list(by.values()):
                if loose.roll_at <= now:
                    self._ask_loose(now, loose)
        if self.list_due and now >= self.list_due:
            self.list_failed(now)
        for table in (self.answers, self.ends):
            while table and next(iter(table.values()))[1] <= now:
                table.popitem(last=False)
        if now < self.idle_at:
            return
        self.idle_at = now + 500_000
        if not self.peers.rolls:
            for link in list(self.links.values()):
                self._watch_silence(now, link)
        idle = micros(self.limits.idle_close_ms)
        for link in [l for l in self.links.values() if l.state == "up" and now - l.used_at > idle]:
            if not link.holds and not link.queue and link.machine not in self.probes:
                self.actions.append(HangUp(link.machine))
                link.state = "down"

    def _unheard(self, now: int, machine: str, since: int) -> None:
        """A probe was not answered. Where no roll call tells of a dead connection, two in a row with not a
        word between them are taken for one: it is closed and opened anew."""
        link = self.links.get(machine)
        if self.peers.rolls or link is None or link.state != "up" or link.heard_at >= since:
            return
        link.unanswered += 1
        if link.unanswered >= 2:
            self._abandon(now, link)

    def _abandon(self, now: int, link: Link) -> None:
        self.counts["links_silent"] += 1
        self.actions.append(HangUp(link.machine))
        self._link_lost(now, link)

    def _restless(self) -> list[Link]:
        for name in [n for n in self.restless if n not in self.links]:
            del self.restless[name]
        return [self.links[name] for name in self.restless]

    def _watch_silence(self, now: int, link: Link) -> None:
        """What stands on a machine outlives its connections, so silence has to be looked into: a machine
        that has said nothing for a while is asked, since the module asks none that takes nothing, first on
        its connection, then on a new one. One that stays silent, or has left the list a second ago, has lost
        what stood there."""
        silent = micros(self.limits.silent_ms)
        if not link.holds:
            return
        if link.machine not in self.roster.fellows:
            link.gone_at = link.gone_at or now
            if now - link.gone_at < 1_000_000:
                return
        elif not link.lost_at or now - link.heard_at < micros(self.limits.lost_ms):
            if link.state == "down" and not link.lost_at and now - link.heard_at > silent:
                link.lost_at = link.dial_at = now
                self.restless[link.machine] = None
            elif link.state == "up" and now - max(link.heard_at, link.opened_at) > silent and all(
                    self.cases[name].placed for name in link.holds):
                if link.asked_at <= link.heard_at:
                    link.asked_at = now
                    self.probe_number += 1
                    self._send_machine(link.machine, m.Probe(number=self.probe_number))
                elif now - link.asked_at > micros(self.limits.probe_ms):
                    self._abandon(now, link)
            return
        if link.state != "down":
            self.actions.append(HangUp(link.machine))
            link.state = "down"
        self._drop_queue(now, link)
        self._forget_machine(now, link)

    def _ask_loose(self, now: int, loose: Loose) -> None:
        """Asks again what became of a dispatch that was given up, ten times in its keeping time, then forgets
        it: its machine is out of reach for good, or has lost its memory."""
        keep = micros(self.limits.keep_answers_ms)
        if now - loose.sent_at > 10 * keep:
            self.counts["loose_forgotten"] += 1
            self._settled(loose.case.guest, loose.machine)
            return
        loose.roll_at = now + max(1_000_000, keep // 10)
        link = self.links.get(loose.machine)
        if link and link.state == "up" and link.rolled:
            if loose.stands:
                self._adopt(now, loose.case.guest)
            else:
                self._send_machine(loose.machine, m.Withdraw(guest=loose.case.guest, ask=loose.case.ask,
                                                             attempt=loose.attempt))
        elif fellow := self.roster.fellows.get(loose.machine):
            self._dial(now, fellow)
        else:
            self._settled(loose.case.guest, loose.machine)

    # Decisions.

    def _carry_out(self, now: int, decision: Decision) -> None:
        step, name, machine, span = decision
        if step is Step.DISPATCH:
            self._dispatch(now, self.cases[name], machine, span)
        elif step is Step.TURN_BACK:
            case = self.cases[name]
            why = "cancelled" if case.cancelled else "stopping" if self.stopping else "no_machine"
            later = 0 if case.cancelled else self._later(now, case.guest, span)
            self._final(now, case, m.TurnedBack(guest=case.guest, ask=case.ask, reason=why,
            again_after=later))
        elif step is Step.BREAK_OFF:
            case = self.cases[name]
            why = "cancelled" if case.cancelled else "may_have_run" if case.attempt >= 0 else "no_machine"
            self._final(now, case, m.BrokenOff(guest=case.guest, ask=case.ask, reason=why))
        elif step is Step.CALL_OFF:
            self._call_off(now, name, machine)
        elif step is Step.PROBE:
            self._probe(now, machine)
        elif step is Step.FOLLOW_LIST:
            self.list_due = now + 2_000_000
            self.actions.append(AskList(self.list_version))

    def _dispatch(self, now: int, case: Case, machine: str, span: int) -> None:
        case.attempt, case.machine, case.sent = case.attempt + 1, machine, False
        case.sent_at = now
        self._overdue(now + span, case)
        self._hold(case)
        fellow = self.roster.fellows.get(machine)
        if fellow is None:
            self._not_sent(now, case, Ending.NO_CONNECTION)
            return
        link = self._dial(now, fellow)
        if link.state == "up" and link.rolled:
            self._offer(now, case)
        else:
            link.queue[case.name] = None

    def _overdue(self, due: int, case: Case) -> None:
        case.due_at = due
        heappush(self.overdue, (due, case.name, case.attempt))

    def _offer(self, now: int, case: Case) -> None:
        link, submit = self.links[case.machine], case.submit
        if (loose := self.loose.get(case.guest, {}).get(case.machine)) and loose.case.ask == case.ask:
            self._settled(case.guest, case.machine)  # the machine takes a new dispatch of it for the old one
        link.queue.pop(case.name, None)
        link.used_at = now
        case.sent, case.sent_at, case.incarnation = True, now, link.incarnation
        self._mark("guest", case.name)
        host = self.brain.machines.get(case.machine)
        if host and now - host.cold_at < self.facts.cold_for:
            self._mark("cold", case.machine)
        self.counts["dispatches"] += 1
        self._send_machine(case.machine, m.Offer(
            guest=case.guest, ask=case.ask, attempt=case.attempt, product=submit.product,
            service=submit.service, cores=submit.cores, memory=submit.memory, customer=submit.customer,
            owner=case.owner, life=getattr(submit, "life", 0), key=getattr(submit, "key", ""),
            description=getattr(submit, "description", b"")))

    def _not_sent(self, now: int, case: Case, ending: Ending) -> None:
        """An offer that never left: this proves that it did not run."""
        if link := self.links.get(case.machine):
            link.queue.pop(case.name, None)
        self._ended(now, case, ending, Remark.NONE)

    def _ended(self, now: int, case: Case, ending: Ending, remark: Remark) -> None:
        """The dispatch that was out is over and the guest is held again, or answered by what follows."""
        self._unhold(case)
        if ending not in NEVER_RAN:
            case.unsure = case.machine
        case.machine = ""
        self._mark("guest", case.name)
        self.brain.dispatch_ended(now, case.name, ending, False, remark)
        self._adopt(now, case.guest)

    def _gone(self, now: int, case: Case, how: str, ending: Ending = Ending.CUT_OFF,
              remark: Remark = Remark.NONE) -> None:
        """A placed guest's end, or a dispatch whose machine is lost."""
        if not case.placed:
            self._give_up(now, case)
            self._ended(now, case, Ending.CUT_OFF if case.sent else Ending.NOT_SENT, remark)
            return
        self.counts["ended_" + how[:20]] += 1
        self._unhold(case)
        self.brain.dispatch_ended(now, case.name, ending, True, remark)
        self._forget(case)
        if self.peers.asks_again:
            self._keep_end(now, case.guest, how)
        self._send_owner(case.owner, m.GuestEnded(guest=case.guest, ask=case.ask, how=how,
                                                  machine=case.machine))

    def _keep_end(self, now: int, guest: str, how: str) -> None:
        if len(self.ends) >= self.limits.open_guests:
            self.ends.popitem(last=False)
        self.ends[guest] = how, now + micros(self.limits.keep_answers_ms)
        self.ends.move_to_end(guest)
        self._mark("end", guest)

    def _give_up(self, now: int, case: Case) -> None:
        """Takes back a dispatch that is waited for no longer; until its machine speaks, its fate is open."""
        if not case.sent:
            return
        link = self.links.get(case.machine)
        if self.peers.rolls:
            self._loosen(now, case)
        if link and link.state == "up":
            self._send_machine(case.machine, m.Withdraw(guest=case.guest, ask=case.ask, attempt=case.attempt))

    def _loosen(self, now: int, case: Case) -> None:
        self.loose.setdefault(case.guest, {})[case.machine] = Loose(
            case, case.attempt, case.machine, case.sent_at,
            roll_at=now + 1_000_000)
        self._mark("loose", case.guest, case.machine)

    def _call_off(self, now: int, name: str, machine: str) -> None:
        case = self.cases.get(name)
        link = self.links.get(machine)
        up = link is not None and link.state == "up"
        if case and case.machine == machine:
            if not case.placed and not case.sent:
                self._not_sent(now, case, Ending.NOT_SENT)
            elif up:
                kind = m.Stop if case.placed else m.Withdraw
                self._send_machine(machine, kind(guest=case.guest, ask=case.ask, attempt=case.attempt))
            return
        guest = case.guest if case else name.rpartition("/")[0]
        if (loose := self.loose.get(guest, {}).get(machine)) and up:
            self._send_machine(machine, m.Stop(guest=guest, ask=loose.case.ask, attempt=loose.attempt))

    def _final(self, now: int, case: Case, message: m.TurnedBack | m.BrokenOff) -> None:
        """A final answer; a dispatch that is still out becomes a loose one."""
        if case.machine:
            self._give_up(now, case)
            self._unhold(case)
            self.brain.dispatch_ended(now, case.name, Ending.OVERDUE, True, Remark.NONE)
            case.machine = ""
        self._answer(now, case, message, case.asks)
        self._forget(case)

    def _answer(self, now: int, case: Case, message: m.Message, asks: list[int] | dict[int, None]) -> None:
        """Gives each ask that awaits one its answer, and keeps it for an owner that was away."""
        self.counts["answers_" + message.__struct_config__.tag] += 1
        keep = now + micros(self.limits.keep_answers_ms)
        for ask in list(asks):
            told = type(message)(**{f: getattr(message, f) for f in message.__struct_fields__} | {"ask": ask})
            if self.peers.asks_again:
                self.answers[case.guest, ask] = told, keep
                self.answers.move_to_end((case.guest, ask))
                self._mark("answer", case.guest, ask)
            self._send_owner(case.owner, told)
        case.asks = {}
        self._mark("guest", case.name)

    # Probes and stopping.

    def _probe(self, now: int, machine: str) -> None:
        self.probe_number += 1
        self.counts["probes"] += 1
        self.probes[machine] = self.probe_number, now + micros(self.limits.probe_ms)
        fellow = self.roster.fellows.get(machine)
        if fellow is None:
            self._probe_over(now, machine, False)
            return
        link = self._dial(now, fellow)
        if link.state == "up" and link.rolled:
            link.used_at = now
            self._send_machine(machine, m.Probe(number=self.probe_number))

    def _probe_over(self, now: int, machine: str, well: bool) -> None:
        if self.probes.pop(machine, None):
            self.brain.probe_answered(now, machine, well)

    def stop(self, now: int) -> None:
        """Takes nothing more. What is held is answered by the Brain at once; what is out is called off, and
        answered when its machine has said whether it ran. Running guests run on."""
        self.stopping = True
        for case in list(self.cases.values()):
            if not case.placed:
                self.brain.guest_cancelled(now, case.name)
        self._pump_all(now)

    def stop_now(self, now: int) -> None:
        """The time for a stop is over: what is still out goes to the Brain as unknown, and is answered so."""
        for case in list(self.cases.values()):
            if case.machine and not case.placed:
                self._give_up(now, case)
                self._ended(now, case, Ending.OVERDUE, Remark.NONE)
        self._pump_all(now)

    def _pump_all(self, now: int) -> None:
        self.pump(now)
        while self.more:
            self.pump(now)

    def unanswered(self) -> int:
        """Guests taken and not yet answered."""
        return sum(not c.placed for c in self.cases.values())

    # Small things.

    def _ask(self, case: Case, patience: int, earlier: Earlier | None = None) -> Ask:
        s = case.submit
        return Ask(case.name, case.product, self.customers.get(s.customer, 0), s.service, s.cores, s.memory,
                   patience, earlier)

    def _hold(self, case: Case) -> None:
        if case.machine not in self.links:
            self.links[case.machine] = Link(case.machine)
        self.links[case.machine].holds[case.name] = None

    def _unhold(self, case: Case) -> None:
        if link := self.links.get(case.machine):
            link.holds.pop(case.name, None)
            link.queue.pop(case.name, None)

    def _forget(self, case: Case) -> None:
        self.cases.pop(case.name, None)
        self._mark("guest", case.name)
        if self.newest.get(case.guest) is case:
            del self.newest[case.guest]

    def _send_owner(self, owner: str, message: m.Message) -> None:
        self.actions.append(Send("owner", owner, message))

    def _tell(self, now: int, machine: str, message: m.Message) -> None:
        """Sends a word on what stands at a machine; without a connection, with the next."""
        link = self.links.get(machine)
        if link is None or link.state == "up":
            self._send_machine(machine, message)
        elif fellow := self.roster.fellows.get(machine):
            link.words.append(message)
            self._dial(now, fellow)

    def _send_machine(self, machine: str, message: m.Message) -> None:
        self.actions.append(Send("machine", machine, message))


def load(report: m.Load | None) -> Load | None:
    return None if report is None else Load(report.cores_free, report.memory_free, report.busy)
