"""Tasks that are held to stand and may be over, of which nobody but their machine knows.

A task may have been over before its owner handed it over, or its machine's process may have died and be up
again before the list tells it. No message asks a machine for a task. But where machines tell what tasks use,
they speak of each that runs now and then, and of all of them when a planner has started. So a task of which
its machine says nothing, while it says other things, may be over. That is acted on only where the task may
have come to another process than the one that answers there now: everywhere else its end was or will be told.
"""

from hazelhold.config.planner import micros
from hazelhold.engine.link_loss import LinkLoss
from hazelhold.engine.machines import Link
from hazelhold.engine.records import GuestRecord, Verification, VerificationCause
from hazelhold.protocol import messages as m

VOUCHED_WITHIN = 2_500_000
"""Microseconds in which its machine's word on a task that was handed over is awaited: a planner that dies
meanwhile leaves the next one as much, of the 8 s in which an end is to be told."""

ASKED_BEFORE = 1_000_000
"""Microseconds before a decision at which a machine that has said nothing at all is asked."""

RESTARTED_WITHIN = 8_000_000
"""Microseconds before a hand-over: what ended earlier could not be told in time any more."""

LISTED_WITHIN = 1_000_000
"""Microseconds within which a list that is current tells that a machine's process has died."""

SPOKEN_OF = 4096  # tasks that machines spoke of and that are not in hand


class GuestVerification(LinkLoss):
    """Ends what does not stand."""

    def _doubt_handed_over(self, case: GuestRecord) -> None:
        """Its owner says that it stands, and may not know better."""
        at = case.handed_over_at
        self.doubted[case.name] = Verification(VerificationCause.HANDED_OVER, at, at + VOUCHED_WITHIN, at)

    def _doubt_reused(self, now: int, case: GuestRecord) -> None:
        """It is held to be on the machine that has the address now, and its connection has ended."""
        if self.peers.reports_use:
            self.doubted[case.name] = Verification(
                VerificationCause.ADDRESS_REUSED, now, now + VOUCHED_WITHIN, now
            )

    def _doubt_since_reset(self, reset_at: int, case: GuestRecord, cause: VerificationCause) -> None:
        """Its machine ended a connection after it was sent, as a process does that dies. Machines speak of a
        task every few seconds, so they are given as long as one that is silent."""
        if self.peers.reports_use:
            decided_at = reset_at + micros(self.limits.lost_ms)
            self.doubted[case.name] = Verification(cause, reset_at, decided_at, reset_at + LISTED_WITHIN)

    def _doubt_all_on(self, now: int, link: Link) -> None:
        """A connection was reset: a process that dies resets its connections and cuts its tasks, and one that
        lives may have lost that connection only. The list tells which it was, unless it is silent."""
        if not self.deployment.list_lease:
            return
        for name in link.holds:
            if self.records[name].placed and name not in self.doubted:
                self._doubt_since_reset(now + 1, self.records[name], VerificationCause.RESET)

    def _spoke_of_unknown(self, machine: str, task: str) -> None:
        """A machine has spoken of a task that is not in hand, and may be handed over next."""
        self.spoken_of[task] = machine
        self.spoken_of.move_to_end(task)
        if len(self.spoken_of) > SPOKEN_OF:
            self.spoken_of.popitem(last=False)

    def _settle_doubts(self, now: int) -> None:
        """Ends tasks of which their machine says nothing, at the machine too: were one of them there all the
        same, it must not go on without an owner."""
        for name, doubt in list(self.doubted.items()):
            case = self.records.get(name)
            link = self.links.get(case.machine) if case else None
            if link is None or case.spoken_at >= doubt.since:
                del self.doubted[name]
                continue
            if now < doubt.decided_at - ASKED_BEFORE:
                continue
            may_be_over = self._may_be_over(link, case, doubt)
            if may_be_over and link.heard_at <= doubt.since:
                self._ask_whether_there(now, link, doubt.since)
            elif now >= doubt.decided_at:
                del self.doubted[name]
                if may_be_over:
                    self._end_task(now, case)

    def _put_off_doubts(self, now: int, span: int) -> None:
        """Has the doubts that there are decided on so much later."""
        for name, doubt in self.doubted.items():
            put_off = min(span, now - doubt.since)
            self.doubted[name] = doubt._replace(decided_at=doubt.decided_at + put_off)

    def _ask_whether_there(self, now: int, link: Link, since: int) -> None:
        """Has a machine say something: without that, its silence about a task shows nothing."""
        if link.state == "up" and link.asked_at <= since:
            link.asked_at = now
            self.probe_number += 1
            self._send_machine(link.machine, m.Probe(number=self.probe_number))
        elif link.state == "down" and (fellow := self.roster.machines.get(link.machine)):
            self._dial(now, fellow)

    def _end_task(self, now: int, case: GuestRecord) -> None:
        self.counts["found_unvouched"] += 1
        self._task_event("unvouched", case)
        self._tell(now, case.machine, m.Stop(guest=case.guest, ask=case.ask, attempt=case.attempt))
        self._gone(now, case, "lost")

    def _may_be_over(self, link: Link, case: GuestRecord, doubt: Verification) -> bool:
        """Whether the process that answers for a machine may be another than the task came to: one that has
        the address of a machine that went, or the same machine's after a restart.

        Where machines do not tell what tasks use, their silence shows nothing. Then only a machine that has
        just started counts, by its age: to end all that stands while the list is out would cost owners more
        than the few tasks that may be over.
        """
        if doubt.cause in (VerificationCause.RESTARTED, VerificationCause.ADDRESS_REUSED):
            return True
        fellow = self.roster.machines.get(link.machine)
        restarted = fellow is not None and fellow.incarnation > 0
        if not self.peers.reports_use:
            return restarted and case.handed_over_at - fellow.started < RESTARTED_WITHIN
        as_of = self.lease.confirmed_as_of
        unconfirmed = bool(self.deployment.list_lease) and (as_of is None or as_of < doubt.listed_at)
        return unconfirmed or restarted and doubt.cause is VerificationCause.HANDED_OVER
