"""What owners say: asks, cancels, queries, guests that stand already."""

from hazelhold.config.planner import micros
from hazelhold.engine.cases import Case
from hazelhold.engine.doubts import DoubtedTasks
from hazelhold.engine.events import TaskEvent
from hazelhold.engine.permission import Denial, offer_denied, start_denied
from hazelhold.engine.tables import WaitingStand
from hazelhold.interface import DispatchOutcome, EarlierDispatch, MachineMode, OutcomeReason, RepeatSemantics
from hazelhold.protocol import messages as m

LATER = ("full", "overloaded", "stopping", "not_kept")  # rejections after which coming back makes sense


class Owners(DoubtedTasks):
    """The owners' side of an engine."""

    def owner_said(self, now: int, owner: str, message: m.Message) -> None:
        """A Submit, Cancel or Query of an owner."""
        if isinstance(message, m.Submit):
            self._submitted(now, owner, message)
        elif isinstance(message, m.Cancel):
            self._cancelled(now, owner, message)
        elif isinstance(message, m.Query):
            self._queried(now, owner, message)

    def _submitted(self, now: int, owner: str, submit: m.Submit) -> None:
        guest, ask = submit.guest, submit.ask
        old = case = self.newest.get(guest)
        in_hand = case is not None and not self.peers.asks_again
        if start_denied(self.stopping, in_hand) is Denial.IN_HAND:
            self.counts["rejected_open_already"] += 1
            self._send_owner(
                owner, m.Rejected(guest=guest, ask=ask, code="open_already", text="this name is in hand")
            )
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
            self._send_owner(
                owner, m.Rejected(guest=guest, ask=ask, code=fault[0], text=fault[1], again_after=later)
            )
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
        self.scheduler.guest_submitted(now, self._ask(case, submit.patience, earlier))
        self._adopt(now, guest)

    def _earlier(self, now: int, submit: m.Submit, old: Case | None) -> EarlierDispatch | None:
        """An earlier dispatch of this guest that may have run or may still: given up, being called off, or
        made before this planner started by a machine that has not spoken yet."""
        unsettled = [EarlierDispatch(l.machine, l.sent_at) for l in self.loose.get(submit.guest, {}).values()]
        if old and old.sent:
            unsettled.append(EarlierDispatch(old.machine, old.sent_at))
        if (submit.ask or submit.reason) and self._blind():
            unsettled.append(EarlierDispatch("", now))
        return min(unsettled, key=lambda e: e.sent_at, default=None)

    def _fault(self, now: int, submit: m.Submit, kept: bool) -> tuple[str, str] | None:
        if start_denied(self.stopping, in_hand=False) is Denial.STOPPING:
            return "stopping", "this planner takes nothing more"
        if submit.product not in self.products:
            return "unknown_product", f"no product is called {submit.product!r}"
        if submit.customer and submit.customer not in self.customers:
            return "unknown_customer", f"no customer is called {submit.customer!r}"
        if submit.patience > micros(self.limits.patience_ms):
            return "patience", f"patience is {self.limits.patience_ms:g} ms at most"
        if not self.kept_well and self.facts.guest_classes[self.products[submit.product]].repeat is not (
            RepeatSemantics.IDEMPOTENT
        ):
            return "not_kept", "the planner's disk fails: nothing is taken that must not run twice"
        if len(self.cases) >= self.limits.open_guests:
            return "full", f"{self.limits.open_guests} guests are in hand"
        if self.peers.advised and self.advice.hopeless(now, len(self.scheduler.held), submit.patience, kept):
            return "overloaded", "the line is longer than this patience"
        return None

    def _queried(self, now: int, owner: str, message: m.Query) -> None:
        """Of a guest that is not in hand and may be claimed, the agreed value says more than memory."""
        guest = message.guest
        known = self.products.get(message.product)
        asked = self.claims is not None and not (
            known is not None and self.facts.guest_classes[known].repeat is RepeatSemantics.IDEMPOTENT
        )
        if asked and not (guest in self.newest or self.loose.get(guest) or guest in self.ends):
            self.claims.look(now, guest, f"{owner}\0{guest}\0{message.ask}")
            self._wanted()
        else:
            self._send_owner(owner, self._state(message))

    def _cancelled(self, now: int, owner: str, message: m.Cancel) -> None:
        case = self.newest.get(message.guest)
        if case is None:
            self._send_owner(owner, self._state(message))
            return
        self.counts["cancels"] += 1
        case.owner, case.cancelled = owner, True
        self._mark("guest", case.name)
        self.scheduler.guest_cancelled(now, case.name)

    def owner_left(self, now: int, guest: str) -> bool:
        """Its owner waits no longer, or ends what stands: no answer and no word of an end is owed. What is
        out or runs is taken back from its machine. False if the guest is not in hand."""
        case = self.newest.get(guest)
        if case is None and guest in self.waiting_stands:
            self.waiting_stands[guest] = self.waiting_stands[guest]._replace(ended=True)
            return True
        if case is None:
            self.counts["left_unknown"] += 1
            return False
        self.counts["left_placed" if case.placed else "left_open"] += 1
        if case.placed:
            self._tell(now, case.machine, m.Stop(guest=guest, ask=case.ask, attempt=case.attempt))
        elif case.machine:
            self._give_up(now, case)
        self.scheduler.guest_abandoned(now, case.name)
        if case.machine:
            self._unhold(case)
            self.scheduler.dispatch_ended(now, case.name, DispatchOutcome.WITHDRAWN, True, OutcomeReason.NONE)
        self._forget(case)
        return True

    def give_up(self, now: int, guest: str) -> None:
        """Nothing more is begun for a guest that awaits its answer; that is given as to a cancel."""
        case = self.newest.get(guest)
        if case and not case.placed and not case.cancelled:
            self.counts["given_up"] += 1
            case.cancelled = True
            self.scheduler.guest_cancelled(now, case.name)

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
        if fellow is None and not self.lease.holds(now):
            self.counts["found_before_list"] += 1
            self.events.append(
                TaskEvent("handed_over", submit.guest, 0, machine, "its machine is not listed yet")
            )
            self.waiting_stands[submit.guest] = WaitingStand(owner, machine, submit)
            return ""
        if fellow is None:
            return "unknown_machine"
        if len(self.cases) >= self.limits.open_guests:
            return "full"
        self.counts["found"] += 1
        case = Case(
            f"{submit.guest}/{submit.ask}",
            submit.guest,
            submit.ask,
            owner,
            self.products[submit.product],
            submit,
            attempt=0,
            machine=machine,
            sent=True,
            sent_at=now,
            placed=True,
            handed_over_at=now,
            spoken_at=now if self.spoken_of.pop(submit.guest, "") == machine else 0,
        )
        self.cases[case.name] = self.newest[case.guest] = case
        self._doubt_handed_over(case)
        self._hold(case)
        self._task_event("handed_over", case)
        self.scheduler.guest_discovered(now, machine, self._ask(case, submit.patience))
        link = self._dial(now, fellow)
        link.heard_at = link.heard_at or now
        return ""

    def _resolve_stands(self, now: int, list_is_whole: bool) -> None:
        """Takes tasks that were handed over before the list knew their machines; `list_is_whole` if a machine
        that it still lacks is gone."""
        for guest, stand in list(self.waiting_stands.items()):
            known = stand.machine in self.roster.fellows
            if not known and not list_is_whole:
                continue
            del self.waiting_stands[guest]
            if known and not (wrong := self.guest_stands(now, stand.owner, stand.machine, stand.submit)):
                if stand.ended:
                    self.owner_left(now, guest)
                continue
            self.counts["found_" + ("unknown_machine" if not known else wrong)] += 1
            if not stand.ended:
                ended = m.GuestEnded(guest=guest, how="lost", machine=stand.machine)
                self._send_owner(stand.owner, ended)

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
        if case is None or case.ask != offer.ask:
            self.denials[Denial.OVER] += 1
            return 0
        product, fellow = self.facts.guest_classes[case.product], self.roster.fellows.get(case.machine)
        most, list_holds = self.facts.max_dispatches, self.lease.holds(now)
        if denial := offer_denied(now, case, offer.attempt, product, most, fellow, list_holds):
            self.denials[denial] += 1
            self._task_event("held_back", case, denial.value)
            return 0
        return case.due_at - now

    def offer_leaves(self, now: int, guest: str) -> None:
        """The bytes of an offer that `time_left` allowed are about to be written."""
        case = self.newest[guest]
        case.offers += 1
        self.links[case.machine].offered_at = now
        effect, list_holds = self.facts.guest_classes[case.product].repeat, self.lease.holds(now)
        self._violated(self.monitor.attempt_leaves(case.name, case.machine, effect, list_holds), case)
        as_of = self.lease.confirmed_as_of
        self._task_event("sent", case, "" if as_of is None else f"list of {(now - as_of) // 1000} ms ago")

    def ready(self) -> bool:
        """Whether guests can be placed: some machine of the list takes them."""
        return not self.stopping and any(f.mode is MachineMode.READY for f in self.roster.fellows.values())

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
