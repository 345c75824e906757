"""Dispatches of guests, from the decision to their end: offers, time-outs, what was given up, answers."""

from hazelhold.config.planner import micros
from hazelhold.engine.cases import Case, Loose
from hazelhold.engine.tables import OutstandingProbe, Tables
from hazelhold.interface import DispatchOutcome, OutcomeReason
from hazelhold.protocol import messages as m
from hazelhold.scheduler import NEVER_RAN

CROSSED = 1_000_000  # a word written so long before a connection ended may not have been read


class Dispatches(Tables):
    """A guest's way to a machine and back."""

    def _dispatch(self, now: int, case: Case, machine: str, span: int) -> None:
        case.attempt, case.machine, case.sent, case.called_off = case.attempt + 1, machine, False, False
        case.sent_at = now
        self._overdue(now + span, case)
        self._hold(case)
        fellow = self.roster.fellows.get(machine)
        if fellow is None:
            self._not_sent(now, case, DispatchOutcome.UNREACHABLE)
            return
        link = self._dial(now, fellow)
        if link.state == "up" and link.rolled:
            self._offer(now, case)
        else:
            link.queue[case.name] = None

    def _offer(self, now: int, case: Case) -> None:
        link, submit = self.links[case.machine], case.submit
        if self._claimed(case) and not self.claims.clear(
            now, case.name, case.guest, case.ask, case.attempt, case.machine, case.claim
        ):
            link.queue[case.name] = None  # it leaves once its claim is agreed
            self._wanted()
            return
        if (loose := self.loose.get(case.guest, {}).get(case.machine)) and loose.case.ask == case.ask:
            self._settled(case.guest, case.machine)  # the machine takes a new dispatch of it for the old one
        link.queue.pop(case.name, None)
        link.used_at = now
        case.sent, case.sent_at, case.incarnation = True, now, link.incarnation
        case.sent_claim, case.sent_unconfirmed = case.claim, link.unconfirmed
        self._mark("guest", case.name)
        host = self.scheduler.machines.get(case.machine)
        if host and now - host.cold_at < self.facts.warmup_time:
            self._mark("cold", case.machine)
        self.counts["dispatches"] += 1
        self._send_machine(
            case.machine,
            m.Offer(
                guest=case.guest,
                ask=case.ask,
                attempt=case.attempt,
                product=submit.product,
                service=submit.service,
                cores=submit.cores,
                memory=submit.memory,
                customer=submit.customer,
                owner=case.owner,
                life=getattr(submit, "life", 0),
                key=getattr(submit, "key", ""),
                description=getattr(submit, "description", b""),
                ticket=getattr(submit, "ticket", ""),
            ),
        )

    def _not_sent(self, now: int, case: Case, ending: DispatchOutcome) -> None:
        """An offer that never left: this proves that it did not run."""
        if link := self.links.get(case.machine):
            link.queue.pop(case.name, None)
        self._ended(now, case, ending, OutcomeReason.NONE)

    def _ended(self, now: int, case: Case, ending: DispatchOutcome, remark: OutcomeReason) -> None:
        """The dispatch that was out is over and the guest is held again, or answered by what follows."""
        self._unhold(case)
        self.monitor.attempt_ended(case.name, ending not in NEVER_RAN)
        self._task_event("ended", case, f"{ending.label} {remark.label}")
        if ending not in NEVER_RAN:
            case.unsure, case.ran_from = case.machine, case.ran_from or case.sent_at
        case.machine = ""
        self._mark("guest", case.name)
        self.scheduler.dispatch_ended(now, case.name, ending, False, remark)
        self._adopt(now, case.guest)

    def _gone(
        self,
        now: int,
        case: Case,
        how: str,
        ending: DispatchOutcome = DispatchOutcome.INTERRUPTED,
        remark: OutcomeReason = OutcomeReason.NONE,
    ) -> None:
        """A placed guest's end, or a dispatch whose machine is lost."""
        if not case.placed:
            self._give_up(now, case)
            self._ended(
                now, case, DispatchOutcome.INTERRUPTED if case.sent else DispatchOutcome.NOT_SENT, remark
            )
            return
        self.counts["ended_" + how[:20]] += 1
        self._task_event("released", case, how)
        if how != "lost":  # one that is out of reach may run on
            self._fact(now, case, "over", how)
        self._unhold(case)
        self.scheduler.dispatch_ended(now, case.name, ending, True, remark)
        self._forget(case)
        if self.peers.asks_again:
            self._keep_end(now, case.guest, how)
        self._send_owner(
            case.owner, m.GuestEnded(guest=case.guest, ask=case.ask, how=how, machine=case.machine)
        )

    def _give_up(self, now: int, case: Case) -> None:
        """Takes back a dispatch that is waited for no longer; until its machine speaks, its fate is open."""
        if not case.sent:
            return
        self._task_event("given_up", case)
        link = self.links.get(case.machine)
        if self.peers.rolls:
            self._loosen(now, case)
        if link and link.state == "up":
            self._send_machine(case.machine, m.Withdraw(guest=case.guest, ask=case.ask, attempt=case.attempt))

    def _loosen(self, now: int, case: Case) -> None:
        self.loose.setdefault(case.guest, {})[case.machine] = Loose(
            case, case.attempt, case.machine, case.sent_at, roll_at=now + 1_000_000
        )
        self._mark("loose", case.guest, case.machine)

    def _call_off(self, now: int, name: str, machine: str) -> None:
        case = self.cases.get(name)
        link = self.links.get(machine)
        up = link is not None and link.state == "up"
        if case and case.machine == machine:
            if not case.placed and not case.sent:
                self._not_sent(now, case, DispatchOutcome.NOT_SENT)
            elif up:
                kind = m.Stop if case.placed else m.Withdraw
                self._send_machine(machine, kind(guest=case.guest, ask=case.ask, attempt=case.attempt))
                case.called_off = True
            return
        guest = case.guest if case else name.rpartition("/")[0]
        if (loose := self.loose.get(guest, {}).get(machine)) and up:
            self._send_machine(machine, m.Stop(guest=guest, ask=loose.case.ask, attempt=loose.attempt))

    def _final(self, now: int, case: Case, message: m.TurnedBack | m.BrokenOff) -> None:
        """A final answer; a dispatch that is still out becomes a loose one."""
        if (
            self.claims is not None
            and isinstance(message, m.TurnedBack)
            and not case.unsure
            and not (case.machine and case.sent)
            and not self.loose.get(case.guest)
        ):
            self._release(now, case.guest, case.claim)
        if case.machine:
            self._give_up(now, case)
            self._unhold(case)
            self.scheduler.dispatch_ended(now, case.name, DispatchOutcome.TIMED_OUT, True, OutcomeReason.NONE)
            self.monitor.attempt_ended(case.name, may_have_run=case.sent)
            case.machine = ""
        self._answer(now, case, message, case.asks)
        self._forget(case)

    def _answer(self, now: int, case: Case, message: m.Message, asks: list[int] | dict[int, None]) -> None:
        """Gives each ask that awaits one its answer, and keeps it for an owner that was away."""
        self.counts["answers_" + message.__struct_config__.tag] += 1
        self._task_event(
            "answered", case, f"{message.__struct_config__.tag} {getattr(message, 'reason', '')}"
        )
        if not self.peers.asks_again:
            self._violated(
                self.monitor.answered(case.name, self.facts.guest_classes[case.product].repeat), case
            )
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
            self.scheduler.late_copy_accepted(now, loose.machine, self._ask(case, 0))
            mine = self.scheduler.guests.get(case.name)
            if held and held.machine or not (mine and mine.placed):
                continue
            self._settled(guest, loose.machine)
            case.ask, case.machine, case.attempt = loose.case.ask, loose.machine, loose.attempt
            case.sent, case.placed, case.sent_at = True, True, loose.sent_at
            self._fact(now, case, "placed")
            self.cases[case.name] = self.newest[guest] = case
            self._hold(case)
            self._mark("guest", case.name)
            if case.asks:
                self._answer(now, case, m.Placed(guest=guest, ask=case.ask, machine=case.machine), case.asks)
            if case.cancelled:
                self.scheduler.guest_cancelled(now, case.name)

    def _tell(self, now: int, machine: str, message: m.Message) -> None:
        """Sends a word on what stands at a machine; without a connection, with the next; once more if its
        connection ends so soon that the word may have crossed that."""
        link = self.links.get(machine)
        if link is not None:
            self._rested(now, link)
        if link is None or link.state == "up":
            self._send_machine(machine, message)
            if link is not None and not self.peers.rolls:
                link.told = [each for each in link.told if each[0] > now] + [(now + CROSSED, message)]
        elif fellow := self.roster.fellows.get(machine):
            link.words.append((now + micros(self.limits.keep_answers_ms), message))
            self._dial(now, fellow)

    # Probes.

    def _probe(self, now: int, machine: str) -> None:
        if link := self.links.get(machine):
            self._rested(now, link)
        self.probe_number += 1
        self.counts["probes"] += 1
        self.probes[machine] = OutstandingProbe(self.probe_number, now + micros(self.limits.probe_ms))
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
            self.scheduler.probe_answered(now, machine, well)
