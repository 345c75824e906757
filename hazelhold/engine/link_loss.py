"""What the loss of a connection to a machine, and of the machine itself, means for what is there."""

from hazelhold.config.planner import micros
from hazelhold.engine.cases import HangUp
from hazelhold.engine.dispatches import Dispatches
from hazelhold.engine.machines import Link
from hazelhold.interface import DispatchOutcome, OutcomeReason


class LinkLoss(Dispatches):
    """The steps that follow from a connection or a machine that is gone."""

    def _link_lost(self, now: int, link: Link, by_machine: bool = False) -> None:
        self.counts["links_lost"] += link.state == "up"
        link.close(now, by_machine)
        self.restless[link.machine] = None
        self._drop_queue(now, link)
        self._probe_over(now, link.machine, False)
        if not self.peers.rolls:  # a set-up ends with its connection, what stands does not
            for name in list(link.holds):
                case = self.cases[name]
                if case.sent and not case.placed:
                    self._ended(now, case, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE)
        if not self.peers.rolls and link.machine not in self.roster.fellows and not self._awaits_heir(link):
            self._forget_machine(now, link)  # it has left the list, and its connection with it
            return
        keep = now + micros(self.limits.keep_answers_ms)
        link.words += [(keep, message) for until, message in link.told if until > now]
        link.told.clear()
        if link.holds or any(link.machine in by for by in self.loose.values()):
            link.lost_at = link.lost_at or now
            link.dial_at = now
        else:
            link.lost_at = 0
            link.dial_at = now if link.words else link.dial_at

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
            if self.orphans.get(link.address) == link.machine:
                del self.orphans[link.address]

    def _drop_queue(self, now: int, link: Link) -> None:
        for name in list(link.queue):
            self._not_sent(now, self.cases[name], DispatchOutcome.UNREACHABLE)

    def _awaits_heir(self, link: Link) -> bool:
        """Whether a task there may stand at another machine, which the list will name with this address."""
        return any(self.cases[name].sent_unconfirmed for name in link.holds)

    def _abandon(self, now: int, link: Link) -> None:
        self.counts["links_silent"] += 1
        self.actions.append(HangUp(link.machine))
        self._link_lost(now, link)
