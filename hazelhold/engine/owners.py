"""Messages of owners: submissions, cancels, queries, and handovers of guests that are already placed."""

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.events import GuestEvent
from hazelhold.engine.permission import Denial, machine_denied, offer_denied, start_denied
from hazelhold.engine.records import GuestRecord
from hazelhold.engine.tables import WaitingHandover
from hazelhold.engine.verification import GuestVerification
from hazelhold.interface import (
    DispatchOutcome,
    EarlierDispatch,
    MachineKind,
    MachineMode,
    OutcomeReason,
    RepeatSemantics,
)
from hazelhold.protocol import messages as m

# Rejections after which a retry makes sense.
RETRYABLE_REJECTIONS = (
    "full",
    "overloaded",
    "stopping",
    "not_kept",
)


class Owners(GuestVerification):
    """The part of an engine that deals with owners."""

    def owner_said(self, now: int, owner: str, message: m.Message) -> None:
        """Handles a Submit, Cancel or Query of an owner."""
        if isinstance(message, m.Submit):
            self._submitted(now, owner, message)
        elif isinstance(message, m.Cancel):
            self._cancelled(now, owner, message)
        elif isinstance(message, m.Query):
            self._queried(now, owner, message)

    def _submitted(self, now: int, owner: str, submit: m.Submit) -> None:
        guest, ask = submit.guest, submit.ask
        old = record = self.newest_records.get(guest)
        is_held = record is not None and not self.peers.owners_resubmit
        if start_denied(self.stopping, is_held) is Denial.IN_HAND:
            self.counts["rejected_open_already"] += 1
            self._send_owner(
                owner, m.Rejected(guest=guest, ask=ask, code="open_already", text="this name is in hand")
            )
            return
        if record and not record.cancelled:
            # it joins the held guest: one guest, one dispatch, one answer for each submission
            self.counts["repeats"] += 1
            record.owner = owner
            self._mark_changed("guest", record.name)
            if record.placed:
                self._answer(now, record, m.Placed(guest=guest, ask=ask, machine=record.machine), [ask])
            else:
                record.unanswered_submissions[ask] = None
                self._send_owner(owner, m.Acknowledged(guest=guest, ask=ask))
            return
        if past := self.answers.get((guest, ask)):
            self.counts["answers_repeated"] += 1
            self._send_owner(owner, past[0])
            return
        is_reserved = self.peers.advises_retry and self.retry_advisor.guest_returned(now, guest)
        if fault := self._rejection(now, submit, is_reserved):
            self.counts["rejected_" + fault[0]] += 1
            later = self._retry_after(now, guest) if fault[0] in RETRYABLE_REJECTIONS else 0
            self._send_owner(
                owner, m.Rejected(guest=guest, ask=ask, code=fault[0], text=fault[1], again_after=later)
            )
            return
        record = GuestRecord(
            f"{guest}/{ask}", guest, ask, owner, self.products[submit.product], submit, {ask: None}
        )
        if record.name in self.records:  # cancelled, with its withdrawal under way
            self._send_owner(owner, m.Rejected(guest=guest, ask=ask, code="ending", text="its cancel is on"))
            return
        self.records[record.name] = self.newest_records[guest] = record
        self.counts["taken"] += 1
        self._mark_changed("guest", record.name)
        if self.peers.acknowledges_submission:
            self._send_owner(owner, m.Acknowledged(guest=guest, ask=ask))
        earlier = self._earlier_dispatch(now, submit, old)
        record.unsettled_machine = earlier.machine if earlier else ""
        self.scheduler.guest_submitted(now, self._submission(record, submit.patience, earlier))
        self._settle_copies(now, guest)

    def _earlier_dispatch(
        self, now: int, submit: m.Submit, old: GuestRecord | None
    ) -> EarlierDispatch | None:
        """The earliest dispatch of this guest that may have run or may still run, if any.

        It was abandoned, is being withdrawn, or was made before this planner started to a machine that has
        not reported yet.
        """
        unsettled = [
            EarlierDispatch(l.machine, l.sent_at) for l in self.abandoned.get(submit.guest, {}).values()
        ]
        if old and old.sent:
            unsettled.append(EarlierDispatch(old.machine, old.sent_at))
        if (submit.ask or submit.reason) and self._may_have_unknown_guests():
            unsettled.append(EarlierDispatch("", now))
        return min(unsettled, key=lambda e: e.sent_at, default=None)

    def _rejection(self, now: int, submit: m.Submit, is_reserved: bool) -> tuple[str, str] | None:
        if start_denied(self.stopping, is_held=False) is Denial.STOPPING:
            return "stopping", "this planner takes nothing more"
        if submit.product not in self.products:
            return "unknown_product", f"no product is called {submit.product!r}"
        if submit.customer and submit.customer not in self.customers:
            return "unknown_customer", f"no customer is called {submit.customer!r}"
        if submit.patience > to_microseconds(self.limits.patience_ms):
            return "patience", f"patience is {self.limits.patience_ms:g} ms at most"
        if not self.persistence_healthy and self.deployment.guest_classes[
            self.products[submit.product]
        ].repeat is not (RepeatSemantics.IDEMPOTENT):
            return "not_kept", "the planner's disk fails: nothing is taken that must not run twice"
        if len(self.records) >= self.limits.open_guests:
            return "full", f"{self.limits.open_guests} guests are in hand"
        if self.peers.advises_retry and self.retry_advisor.cannot_be_served(
            now, len(self.scheduler.held), submit.patience, is_reserved
        ):
            return "overloaded", "the line is longer than this patience"
        return None

    def _queried(self, now: int, owner: str, message: m.Query) -> None:
        """Answers a query; for a guest that is not held and may be claimed, by the agreed value."""
        guest = message.guest
        known = self.products.get(message.product)
        must_query = self.claims is not None and not (
            known is not None and self.deployment.guest_classes[known].repeat is RepeatSemantics.IDEMPOTENT
        )
        if must_query and not (
            guest in self.newest_records or self.abandoned.get(guest) or guest in self.ends
        ):
            self.claims.query(now, guest, f"{owner}\0{guest}\0{message.ask}")
            self._take_proposals()
        else:
            self._send_owner(owner, self._state(message))

    def _cancelled(self, now: int, owner: str, message: m.Cancel) -> None:
        record = self.newest_records.get(message.guest)
        if record is None:
            self._send_owner(owner, self._state(message))
            return
        self.counts["cancels"] += 1
        record.owner, record.cancelled = owner, True
        self._mark_changed("guest", record.name)
        self.scheduler.guest_cancelled(now, record.name)

    def owner_left(self, now: int, guest: str) -> bool:
        """The owner waits no longer, or ends the placed guest: no answer and no report of an end is due.

        An outstanding dispatch is withdrawn and a placed guest stopped. False if the guest is not held.
        """
        record = self.newest_records.get(guest)
        if record is None and guest in self.waiting_handovers:
            self.waiting_handovers[guest] = self.waiting_handovers[guest]._replace(ended=True)
            return True
        if record is None:
            self.counts["left_unknown"] += 1
            return False
        self.counts["left_placed" if record.placed else "left_open"] += 1
        if record.placed:
            self._send_about_guest(
                now,
                record.machine,
                m.Stop(guest=guest, ask=record.submission_number, attempt=record.dispatch_number),
            )
        elif record.machine:
            self._withdraw_dispatch(now, record)
        self.scheduler.guest_abandoned(now, record.name)
        if record.machine:
            self._detach(record)
            self.scheduler.dispatch_ended(
                now, record.name, DispatchOutcome.WITHDRAWN, True, OutcomeReason.NONE
            )
        self._forget(record)
        return True

    def withdraw_guest(self, now: int, guest: str) -> None:
        """Makes no further dispatch of a guest that awaits its answer; it is answered as after a cancel."""
        record = self.newest_records.get(guest)
        if record and not record.placed and not record.cancelled:
            self.counts["given_up"] += 1
            record.cancelled = True
            self.scheduler.guest_cancelled(now, record.name)

    def adopt_guest(self, now: int, owner: str, machine: str, submit: m.Submit) -> str:
        """An owner hands over a guest that already runs on a machine.

        Returns the reason for a rejection, or "". A guest that is already held stays as it is.
        """
        if submit.guest in self.newest_records:
            self.counts["found_known"] += 1
            return ""
        if submit.guest in self.ends:  # its machine reported its end before its owner handed it over
            self.counts["found_ended"] += 1
            how, _ = self.ends.pop(submit.guest)
            self._send_owner(owner, m.GuestEnded(guest=submit.guest, how=how, machine=machine))
            return ""
        if submit.product not in self.products:
            return "unknown_product"
        listed = self.roster.machines.get(machine)
        if listed is None and not self.lease.holds(now):
            if len(self.waiting_handovers) >= self.limits.open_guests:
                return "full"
            self.counts["found_before_list"] += 1
            self.events.append(
                GuestEvent("handed_over", submit.guest, 0, machine, "its machine is not listed yet")
            )
            self.waiting_handovers[submit.guest] = WaitingHandover(owner, machine, submit)
            return ""
        if listed is None:
            return "unknown_machine"
        if len(self.records) >= self.limits.open_guests:
            return "full"
        self.counts["found"] += 1
        record = GuestRecord(
            f"{submit.guest}/{submit.ask}",
            submit.guest,
            submit.ask,
            owner,
            self.products[submit.product],
            submit,
            dispatch_number=0,
            machine=machine,
            sent=True,
            sent_at=now,
            placed=True,
            handed_over_at=now,
            confirmed_at=self._reported_before_handover(machine, submit.guest),
        )
        self._drop_content(record)
        self.records[record.name] = self.newest_records[record.guest] = record
        if not record.confirmed_at:
            self._verify_handed_over(record)
        self._attach(record)
        self._guest_event("handed_over", record)
        self.scheduler.guest_discovered(now, machine, self._submission(record, submit.patience))
        link = self._dial(now, listed)
        link.heard_at = link.heard_at or now
        self._check_process(now, machine)
        return ""

    def machine_capacity(self, machine: str) -> MachineKind | None:
        """The cores and memory that a machine accepts; None if it is not listed."""
        listed = self.roster.machines.get(machine)
        if listed is None:
            return None
        size, deployment = self.deployment.machine_kinds[listed.kind], self.deployment
        return MachineKind(size.cores * deployment.cores_multiple, size.memory * deployment.memory_multiple)

    def _resolve_handovers(self, now: int, list_is_whole: bool) -> None:
        """Adopts guests that were handed over before the list had their machines.

        `list_is_whole`: a machine that the list still lacks is gone.
        """
        for guest, item in list(self.waiting_handovers.items()):
            known = item.machine in self.roster.machines
            if not known and not list_is_whole:
                continue
            del self.waiting_handovers[guest]
            if known and not (rejection := self.adopt_guest(now, item.owner, item.machine, item.submit)):
                if item.ended:
                    self.owner_left(now, guest)
                continue
            self.counts["found_" + ("unknown_machine" if not known else rejection)] += 1
            if not item.ended:
                ended = m.GuestEnded(guest=guest, how="lost", machine=item.machine)
                self._send_owner(item.owner, ended)

    def is_placed(self, guest: str) -> bool:
        """Whether the guest is held and placed on a machine."""
        record = self.newest_records.get(guest)
        return record is not None and record.placed

    def is_outstanding(self, guest: str) -> bool:
        """Whether the guest is held and awaits its answer."""
        record = self.newest_records.get(guest)
        return record is not None and not record.placed

    def time_left(self, now: int, offer: m.Offer) -> int:
        """Microseconds until an offer whose bytes were not written yet times out.

        0 if the offer must not be sent any more; the reason is counted and logged.
        """
        record = self.newest_records.get(offer.guest)
        if record is None or record.submission_number != offer.ask:
            self.denials[Denial.OVER] += 1
            return 0
        product, listed = (
            self.deployment.guest_classes[record.product],
            self.roster.machines.get(record.machine),
        )
        max_dispatches, list_holds = self.deployment.max_dispatches, self.lease.holds(now)
        if denial := offer_denied(now, record, offer.attempt, product, max_dispatches, listed, list_holds):
            self.denials[denial] += 1
            self._guest_event("held_back", record, denial.value)
            return 0
        return record.due_at - now

    def machine_denied(self, now: int, machine: str) -> Denial | None:
        """Why an offer whose bytes are about to be written must not go to this machine any more, or None.

        For a host that has no time of its own between a decision and its bytes but that of its disk.
        """
        denial = machine_denied(self.roster.machines.get(machine), self.lease.holds(now))
        if denial is not None:
            self.denials[denial] += 1
        return denial

    def offer_sent(self, now: int, guest: str) -> None:
        """Records that the bytes of an offer that `time_left` allowed are about to be written."""
        record = self.newest_records[guest]
        record.offers += 1
        self.links[record.machine].offered_at = now
        effect, list_holds = self.deployment.guest_classes[record.product].repeat, self.lease.holds(now)
        self._violated(self.monitor.dispatch_sent(record.name, record.machine, effect, list_holds), record)
        as_of = self.lease.confirmed_as_of
        self._guest_event("sent", record, "" if as_of is None else f"list of {(now - as_of) // 1000} ms ago")

    def ready(self) -> bool:
        """Whether guests can be placed: some listed machine accepts them."""
        return not self.stopping and any(f.mode is MachineMode.READY for f in self.roster.machines.values())

    def _state(self, message: m.GuestMessage) -> m.State:
        guest, ask = message.guest, message.ask
        record = self.newest_records.get(guest)
        if record and record.placed:
            state, machine = "running", record.machine
        elif record:
            state, machine = "out" if record.machine else "held", record.machine
        else:
            state, machine = self._past_state(guest, ask), ""
        return m.State(guest=guest, ask=ask, state=state, machine=machine)

    def _past_state(self, guest: str, ask: int) -> str:
        """The state that is known of a guest that is not held."""
        if self.abandoned.get(guest):
            return "unsettled"
        if past := self.ends.get(guest):
            return past[0]
        answer = self.answers.get((guest, ask))
        tag = answer[0].__struct_config__.tag if answer else "unknown"
        return "unsettled" if tag in ("unknown", "broken_off") and self._may_have_unknown_guests() else tag
