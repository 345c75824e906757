"""Tasks that owners hand over, of which nobody but their machine knows whether they stand.

A task may have been over before its hand-over: its machine went or restarted while no planner was there to be
told. No message asks a machine for a task. But where machines tell what tasks use, they tell it of each task
that stands when a connection opens, so one of which a machine says nothing, while it says other things, does
not stand there. That is acted on only where the task may have come to another process than the one that
answers there now: everywhere else its end was or will be told.
"""

from hazelhold.engine.cases import Case
from hazelhold.engine.link_loss import LinkLoss
from hazelhold.engine.machines import Link
from hazelhold.protocol import messages as m

VOUCHED_WITHIN = 2_500_000
"""Microseconds in which its machine's word on a task is awaited: a planner that dies meanwhile leaves the
next one as much, of the 8 s in which an end is to be told."""

RESTARTED_WITHIN = 8_000_000
"""Microseconds before a hand-over: what ended earlier could not be told in time any more."""

SPOKEN_OF = 4096  # tasks that machines spoke of and that are not in hand


class DoubtedTasks(LinkLoss):
    """Ends what was handed over and does not stand."""

    def _spoke_of_unknown(self, machine: str, task: str) -> None:
        """A machine has spoken of a task that is not in hand, and may be handed over next."""
        self.spoken_of[task] = machine
        self.spoken_of.move_to_end(task)
        if len(self.spoken_of) > SPOKEN_OF:
            self.spoken_of.popitem(last=False)

    def _end_unvouched(self, now: int) -> None:
        """Ends tasks of which their machine says nothing, at the machine too: were one of them there all the
        same, it must not go on without an owner."""
        for name in list(self.doubted):
            case = self.cases.get(name)
            link = self.links.get(case.machine) if case else None
            if link is None or case.spoken_at >= case.doubted_at:
                del self.doubted[name]
            elif now - case.doubted_at >= VOUCHED_WITHIN and link.heard_at > case.doubted_at:
                del self.doubted[name]
                if self._other_process(link, case):
                    self._end_task(now, case)

    def _end_task(self, now: int, case: Case) -> None:
        self.counts["found_unvouched"] += 1
        self._task_event("unvouched", case)
        self._tell(now, case.machine, m.Stop(guest=case.guest, ask=case.ask, attempt=case.attempt))
        self._gone(now, case, "lost")

    def _other_process(self, link: Link, case: Case) -> bool:
        """Whether the process that answers for a machine may be another than the task came to: one that has
        the address of a machine that went, or the same machine's after a restart.

        Where machines do not tell what tasks use, their silence shows nothing. Then only a machine that has
        just started counts, by its age: to end all that stands while the list is out would cost owners more
        than the few tasks that may be over.
        """
        fellow = self.roster.fellows.get(link.machine)
        restarted = fellow is not None and fellow.incarnation > 0
        if not self.peers.tells_use:
            return restarted and case.handed_over_at - fellow.started < RESTARTED_WITHIN
        as_of = self.lease.confirmed_as_of
        unconfirmed = as_of is None or as_of < case.doubted_at
        return restarted or bool(self.facts.list_lease) and unconfirmed
