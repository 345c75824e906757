"""Tasks that were sent to an address which another machine had by then.

A machine that has gone may leave its address to a new one. What is sent on a connection that is younger than
the list's last confirmation may have come to that one; the list tells later.
"""

from hazelhold.engine.cases import Case
from hazelhold.engine.doubts import DoubtedTasks
from hazelhold.engine.machines import Fellow, Link, News
from hazelhold.interface import MachineMode


class AddressReuse(DoubtedTasks):
    """Moves tasks to the machine that has the address they were sent to."""

    def _inherit(self, now: int, news: News) -> set[str]:
        """Machines have left the list or come to it. What was sent on a connection younger than the list's
        last confirmation came to whoever had that address by then, and stands there. Returns the machines
        that have got such tasks."""
        inherited = set()
        for name in news.gone:
            link = self.links.get(name)
            if link is None or not self._awaits_heir(link):
                continue
            self.orphans[link.address] = name
            heir = next((f for f in self.roster.fellows.values() if f.address == link.address), None)
            if heir is not None:
                self._move_tasks(now, link, heir)
                inherited.add(heir.name)
        for name in news.fresh:
            fellow = self.roster.fellows.get(name)
            if fellow is not None and (orphan := self.links.get(self.orphans.get(fellow.address, ""))):
                self._move_tasks(now, orphan, fellow)
                inherited.add(fellow.name)
        return inherited

    def _move_tasks(self, now: int, link: Link, heir: Fellow) -> None:
        """What was sent to this address before the list confirmed it stands at the machine that has it now;
        what awaits its answer does once it is accepted."""
        self.orphans.pop(link.address, None)
        link.heir = heir.name
        for case in [self.cases[name] for name in link.holds]:
            if case.placed and case.sent_unconfirmed:
                self._move_task(now, case, heir.name)
        new = self._dial(now, heir)
        new.heard_at = new.heard_at or now

    def _move_task(self, now: int, case: Case, machine: str) -> None:
        """A placed task stands at another machine than it was sent to. Where the connection on which it was
        sent has ended since, it may have been to the machine before, which has gone: a machine that goes ends
        its connections. Then the one that has the address now has to speak of the task."""
        before = case.machine
        ended = any(each.by_machine and each.ended_at >= case.sent_at for each in self.links[before].past)
        self._unhold(case)
        case.machine = machine
        self._hold(case)
        self.scheduler.guest_discovered(now, machine, self._ask(case, 0))
        self._task_event("moved", case, f"from {before}, whose address it has")
        self.counts["tasks_inherited"] += 1
        if ended:
            self._doubt_reused(now, case)

    def _identify(self, as_of: int) -> None:
        """Connections that were not confirmed are to the machines that the list still shows as ready since.
        One that drains may have gone before the list tells it."""
        for name in list(self.unconfirmed_links):
            link = self.links.get(name)
            if link is not None and link.opened_at > as_of:
                continue
            del self.unconfirmed_links[name]
            fellow = self.roster.fellows.get(name)
            if link is not None and fellow is not None and fellow.mode is MachineMode.READY:
                link.unconfirmed = False
                for each in link.holds:
                    self.cases[each].sent_unconfirmed = False
