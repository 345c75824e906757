"""What the list of machines tells: who is there, who takes work, whether it may be taken for the present."""

from collections.abc import Callable

from hazelhold.engine.address_reuse import AddressReuse
from hazelhold.engine.cases import DoubtCause, HangUp
from hazelhold.engine.events import ListEvent
from hazelhold.engine.list_lease import Lapse
from hazelhold.engine.machine_lives import old_life_ended
from hazelhold.engine.machines import Link, News
from hazelhold.interface import DispatchOutcome
from hazelhold.protocol import messages as m


class ListNews(AddressReuse):
    """The list's side of an engine."""

    _resolve_stands: Callable[..., None]  # of the owners' side

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
        self.scheduler.machines_listed(now, news.listed, message.whole)
        if not first:  # the whole list of a start is one line, at the start
            self._log_news(now, news)
        for name in news.closed:  # what has not left may not go there any more
            if link := self.links.get(name):
                for case_name in list(link.queue):
                    self._not_sent(now, self.cases[case_name], DispatchOutcome.NOT_SENT)
        for name in news.moved:
            if name in self.links:
                self.actions.append(HangUp(name))
                self._link_lost(now, self.links[name])
        inherited = self._inherit(now, news)
        for name in news.gone:
            self.unheard.discard(name)
            if (link := self.links.get(name)) and (
                not link.state == "up"
                and not self._awaits_heir(link)
                or not self.peers.rolls
                and not link.holds
            ):
                if link.state == "up":
                    self.actions.append(HangUp(name))
                    link.close(now)
                self._forget_machine(now, link)
        self._resolve_stands(now, list_is_whole=False)
        if not self.peers.rolls:
            for name in news.fresh:
                if (link := self.links.get(name)) and link.machine not in inherited:
                    self._new_life(now, link, self.roster.fellows[name].started)
            return
        if first:
            self.unheard = {f.name for f in self.roster.fellows.values()}
        for name in news.fresh:  # each is asked once what it holds of ours
            self._dial(now, self.roster.fellows[name])

    def _new_life(self, now: int, link: Link, started: int) -> None:
        """The list tells of a machine's new life: what came to it in the old one is over. Where the clocks
        may differ, a task sent before a connection ended has to be spoken of on a later one."""
        ended_at, reset_at = old_life_ended(now, link, started)
        for name in list(link.holds):
            case = self.cases[name]
            if case.handed_over_at and not case.spoken_at:
                self._doubt_handed_over(case)
            if not case.sent or case.sent_at >= max(ended_at, reset_at) or case.spoken_at > reset_at > 0:
                continue
            if case.sent_at < ended_at:
                self._gone(now, case, "lost")
            else:
                self._doubt_since_reset(reset_at, case, DoubtCause.RESTARTED)

    def _log_news(self, now: int, news: News) -> None:
        for name in news.fresh:
            self._machine_event("listed", name)
        for name in news.closed:
            reason = "gone" if name in news.gone else "draining"
            link = self.links.get(name)
            if link is not None and link.offered_at:  # beside when it was told: whether that broke the rule
                reason += f", last offer {(now - link.offered_at) // 1000} ms ago"
            self._machine_event("closed", name, reason)

    # Whether it may be taken for the present.

    def list_confirmed(self, now: int, as_of: int) -> bool:
        """The list was current at that moment: the service answered a call made then. True if that changes
        anything but the lease's end."""
        changes = not self.list_taken or bool(self.waiting_stands or self.unconfirmed_links)
        self.lease.confirm(as_of)
        if self.lease.holds(now):
            self._resolve_stands(now, list_is_whole=True)
            self._identify(as_of)
        self._tell_lease(now)
        return changes

    def list_unchanged(self, now: int) -> None:
        """The list service answered that it has no news."""
        self.list_due = 0
        self.scheduler.list_unchanged(now)

    def list_call_failed(self, now: int) -> None:
        """A call brought nothing: the lease is not renewed by it."""
        self.lease.note(Lapse.FAILED)
        self.list_failed(now)

    def list_moved(self, now: int) -> None:
        """The list service has a new address, which has told nothing yet."""
        self.lease.end(Lapse.MOVED)
        self._tell_lease(now)

    def _tell_lease(self, now: int) -> None:
        """Tells the module and the log if the list has become current or stopped to be."""
        holds = self.lease.holds(now)
        if holds is self.list_taken:
            return
        self.list_taken = holds
        self.scheduler.list_currency_changed(now, holds)
        as_of, lapse = self.lease.confirmed_as_of, self.lease.lapse
        self.events.append(
            ListEvent(holds, lapse.value if lapse else "confirmed", -1 if as_of is None else now - as_of)
        )
        self.counts["list_lapses"] += not holds

    def list_failed(self, now: int) -> None:
        """The list service refused, was silent for too long, or its connection broke."""
        self.list_due = 0
        self.counts["list_failures"] += 1
        self.scheduler.list_failed(now)
