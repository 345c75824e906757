"""How an engine acts on claims that the planners agreed on, and on those that they did not.

Claims are decided in `hazelhold.replica`, which is loaded only if a host passes it to `use_claims`.
"""

from hazelhold.engine.dispatches import Dispatches
from hazelhold.engine.records import Claimed, Claims, GuestRecord, Verdict
from hazelhold.interface import DispatchOutcome, OutcomeReason
from hazelhold.protocol import messages as m


class Claiming(Dispatches):
    """The part of an engine that depends on agreement with the other planners."""

    def use_claims(self, now: int, claims: Claims) -> None:
        """Sends no offer of an at-most-once or deduplicated guest without an agreed claim from now on.

        To be called before any other input but `keep`.
        """
        self.claims = claims
        claims.begin(now)
        self._take_proposals()

    def agreed(self, now: int, no: int, outcome: str, value: bytes, reason: str) -> None:
        """A `ProposeChange` ended: agreed, with the agreed value; refused or open, with the reason."""
        for verdict in self.claims.proposal_ended(now, no, outcome, value, reason):
            if verdict.what == "looked":
                self._query_answered(now, verdict)
                continue
            record = self.records.get(verdict.name)
            waits = record is not None and bool(record.machine) and not record.sent and not record.placed
            if verdict.what == "theirs":
                if record is not None and not record.placed and not record.sent:
                    self._claimed_elsewhere(now, record, verdict.claim)
            elif verdict.what == "mine":
                if record is None:  # answered meanwhile: no offer of it was sent
                    self._release(now, verdict.name.rpartition("/")[0], verdict.value)
                else:
                    record.claim = verdict.value
            elif verdict.what == "not_agreed" and waits:
                self._claim_not_agreed(now, record, verdict.value, verdict.reason)
            if verdict.what in ("mine", "again") and waits:
                link = self.links[record.machine]
                if link.state == "up" and link.inventory_known:
                    self._offer(now, record)
        self._take_proposals()

    def _claim_not_agreed(self, now: int, record: GuestRecord, open_: bytes, reason: str) -> None:
        """The claim was not agreed in time.

        A guest that cannot have run is refused with an advised wait; for any other the scheduler decides.
        """
        self.counts["not_agreed_" + reason[:20]] += 1
        if record.unsettled_machine or self.abandoned.get(record.guest):
            self._not_sent(now, record, DispatchOutcome.NOT_SENT)
            return
        self._release(now, record.guest, open_ or record.claim)
        self._drop_guest(now, record)
        later = self._retry_after(now, record.guest, 1_000_000)
        self._answer(
            now,
            record,
            m.GuestRefused(
                guest=record.guest, ask=record.submission_number, reason=reason, again_after=later
            ),
            record.unanswered_submissions,
        )
        self._forget(record)

    def _claimed_elsewhere(self, now: int, record: GuestRecord, claim: Claimed) -> None:
        """Another planner has the guest, or an earlier run of this one that is not remembered.

        All that is known of the guest is that claim.
        """
        self.counts["claimed_elsewhere"] += 1
        self._drop_guest(now, record)
        guest, ask, owner = record.guest, record.submission_number, record.owner
        who = claim.planner
        if claim.state in ("placed", "over"):
            self._answer(
                now,
                record,
                m.Placed(guest=guest, ask=ask, machine=claim.machine, planner=who),
                record.unanswered_submissions,
            )
            if claim.state == "over":
                self._record_end(now, guest, claim.how)
                self._send_owner(
                    owner, m.GuestEnded(guest=guest, ask=ask, how=claim.how, machine=claim.machine)
                )
        else:
            answer = m.GuestFailed(guest=guest, ask=ask, reason="claimed", planner=who)
            self._answer(now, record, answer, record.unanswered_submissions)
        self._forget(record)

    def _drop_guest(self, now: int, record: GuestRecord) -> None:
        """Takes the guest from the scheduler: the claim, or the lack of one, is its answer."""
        self._detach(record)
        self.scheduler.guest_abandoned(now, record.name)
        if record.machine:
            self.scheduler.dispatch_ended(
                now, record.name, DispatchOutcome.NOT_SENT, True, OutcomeReason.NONE
            )
        record.machine = ""

    def _query_answered(self, now: int, verdict: Verdict) -> None:
        """Answers an owner's query by the agreed value, unless the guest was submitted meanwhile."""
        owner, guest, ask = verdict.name.split("\0")
        message, claim = m.Query(guest=guest, ask=int(ask)), verdict.claim
        if verdict.reason:
            self._send_owner(
                owner, m.State(guest=guest, ask=int(ask), state="unsettled", reason=verdict.reason)
            )
        elif (
            guest in self.newest_records
            or claim is None
            or claim.state == "free"
            or self.claims.mine(verdict.value)
        ):
            self._send_owner(owner, self._state(message))
        else:
            state = {"placed": "running", "over": claim.how}.get(claim.state, "unsettled")
            self._send_owner(
                owner,
                m.State(guest=guest, ask=int(ask), state=state, machine=claim.machine, planner=claim.planner),
            )
