"""What an engine does with claims that are agreed among the planners, and with those that are not.

Claims are decided in `hazelhold.replica`; nothing of that is loaded unless a host hands one in by `claim_by`.
"""

from hazelhold.engine.cases import Case, Claimed, Claims, Verdict
from hazelhold.engine.dispatches import Dispatches
from hazelhold.interface import DispatchOutcome, OutcomeReason
from hazelhold.protocol import messages as m


class Claiming(Dispatches):
    """The side of an engine that the other planners answer."""

    def claim_by(self, now: int, claims: Claims) -> None:
        """From now on no offer of an exclusive or ticketed guest leaves without an agreed claim. Before any
        other input but `keep`."""
        self.claims = claims
        claims.begin(now)
        self._wanted()

    def agreed(self, now: int, no: int, outcome: str, value: bytes, reason: str) -> None:
        """How an `Agree` ended: agreed, with the value that stands; refused, or open, with the reason."""
        for verdict in self.claims.told(now, no, outcome, value, reason):
            if verdict.what == "looked":
                self._looked(now, verdict)
                continue
            case = self.cases.get(verdict.name)
            waits = case is not None and bool(case.machine) and not case.sent and not case.placed
            if verdict.what == "theirs":
                if case is not None and not case.placed and not case.sent:
                    self._elsewhere(now, case, verdict.claim)
            elif verdict.what == "mine":
                if case is None:  # answered meanwhile: nothing of it left
                    self._release(now, verdict.name.rpartition("/")[0], verdict.value)
                else:
                    case.claim = verdict.value
            elif verdict.what == "not_agreed" and waits:
                self._unclaimed(now, case, verdict.value, verdict.reason)
            if verdict.what in ("mine", "again") and waits:
                link = self.links[case.machine]
                if link.state == "up" and link.rolled:
                    self._offer(now, case)
        self._wanted()

    def _unclaimed(self, now: int, case: Case, open_: bytes, reason: str) -> None:
        """No claim in time. A guest of which nothing can have run goes back with an advised wait; of another,
        what may be said is the Brain's."""
        self.counts["not_agreed_" + reason[:20]] += 1
        if case.unsure or self.loose.get(case.guest):
            self._not_sent(now, case, DispatchOutcome.NOT_SENT)
            return
        self._release(now, case.guest, open_ or case.claim)
        self._drop(now, case)
        later = self._later(now, case.guest, 1_000_000)
        self._answer(
            now,
            case,
            m.TurnedBack(guest=case.guest, ask=case.ask, reason=reason, again_after=later),
            case.asks,
        )
        self._forget(case)

    def _elsewhere(self, now: int, case: Case, claim: Claimed) -> None:
        """Another planner has the guest, or a life of this one that is not remembered: its claim is what is
        known of it."""
        self.counts["claimed_elsewhere"] += 1
        self._drop(now, case)
        guest, ask, owner = case.guest, case.ask, case.owner
        who = claim.planner
        if claim.state in ("placed", "over"):
            self._answer(
                now, case, m.Placed(guest=guest, ask=ask, machine=claim.machine, planner=who), case.asks
            )
            if claim.state == "over":
                self._keep_end(now, guest, claim.how)
                self._send_owner(
                    owner, m.GuestEnded(guest=guest, ask=ask, how=claim.how, machine=claim.machine)
                )
        else:
            said = m.BrokenOff(guest=guest, ask=ask, reason="claimed", planner=who)
            self._answer(now, case, said, case.asks)
        self._forget(case)

    def _drop(self, now: int, case: Case) -> None:
        """The Brain has no more to do with it: it is answered by what was agreed, or was not."""
        self._unhold(case)
        self.scheduler.guest_abandoned(now, case.name)
        if case.machine:
            self.scheduler.dispatch_ended(now, case.name, DispatchOutcome.NOT_SENT, True, OutcomeReason.NONE)
        case.machine = ""

    def _looked(self, now: int, verdict: Verdict) -> None:
        """Answers an owner's query by the agreed value, unless the guest came into hand meanwhile."""
        owner, guest, ask = verdict.name.split("\0")
        message, claim = m.Query(guest=guest, ask=int(ask)), verdict.claim
        if verdict.reason:
            self._send_owner(
                owner, m.State(guest=guest, ask=int(ask), state="unsettled", reason=verdict.reason)
            )
        elif (
            guest in self.newest or claim is None or claim.state == "free" or self.claims.mine(verdict.value)
        ):
            self._send_owner(owner, self._state(message))
        else:
            state = {"placed": "running", "over": claim.how}.get(claim.state, "unsettled")
            self._send_owner(
                owner,
                m.State(guest=guest, ask=int(ask), state=state, machine=claim.machine, planner=claim.planner),
            )
