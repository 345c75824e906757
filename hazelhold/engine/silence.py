"""What the silence of machines means: those that say nothing are asked, and then taken for lost."""

from hazelhold.config.planner import micros
from hazelhold.engine.cases import HangUp, Loose
from hazelhold.engine.doubts import DoubtedTasks
from hazelhold.engine.machines import Link
from hazelhold.protocol import messages as m

GONE_WITHIN = 1_000_000
"""Microseconds after a machine left the list at which what stood there is lost."""

HEIR_WITHIN = 4_000_000
"""The same where the connection may be to another machine that has its address, which the list still owes."""

PUMPS_APART = 1_000_000
"""Microseconds that lie between two pumps at the most, unless the process did not run."""

HEARD_WITHIN = 1_000_000
"""Microseconds in which a process that runs on reads what came meanwhile, and dials again."""


class Silence(DoubtedTasks):
    """Tests, and machines that say nothing."""

    def _leave_out_stop(self, now: int) -> None:
        """A process that did not run for a while has heard neither the list nor machines: that time is not
        held against them, and nothing is taken for lost before what came meanwhile is read."""
        stopped = now - self.pumped_at - PUMPS_APART
        self.pumped_at = now
        if stopped <= 0 or self.peers.rolls:
            return
        self.ran_on_at = now
        self.counts["stops_left_out"] += 1
        self._put_off_doubts(now, stopped)
        for link in self.links.values():
            link.leave_out(now, stopped)

    def _send_probe(self, machine: str) -> None:
        """A test that waited for its connection."""
        self._send_machine(machine, m.Probe(number=self.probes[machine].number))

    def _tested(self, now: int, link: Link, well: bool) -> None:
        """A machine answered a test. One that fails takes no work, whatever the list says; one that passes
        may drain all the same."""
        if well is not link.passes_tests:
            self._machine_event("test_passed" if well else "test_failed", link.machine)
        link.passes_tests = well
        if not well and self.facts.list_lease:
            self.scheduler.machine_refuses(now, link.machine)

    def _unheard(self, now: int, machine: str, since: int) -> None:
        """A probe was not answered. Where no roll call tells of a dead connection, two in a row with not a
        word between them are taken for one: it is closed and opened anew."""
        link = self.links.get(machine)
        if self.peers.rolls or link is None or link.state != "up" or link.heard_at >= since:
            return
        link.unanswered += 1
        if link.unanswered >= 2:
            self._abandon(now, link)

    def _watch_silence(self, now: int, link: Link) -> None:
        """What stands on a machine outlives its connections, so silence has to be looked into: a machine
        that has said nothing for a while is asked, since the module asks none that takes nothing, first on
        its connection, then on a new one. One that stays silent, or has left the list a second ago, has lost
        what stood there."""
        silent = micros(self.limits.silent_ms)
        if not link.holds or now - self.ran_on_at < HEARD_WITHIN:
            return
        if link.machine not in self.roster.fellows:
            link.gone_at = link.gone_at or now
            if now - link.gone_at < (HEIR_WITHIN if self._awaits_heir(link) else GONE_WITHIN):
                return
        elif not link.lost_at or now - link.heard_at < micros(self.limits.lost_ms):
            if link.state == "down" and not link.lost_at and now - link.heard_at > silent:
                link.lost_at = link.dial_at = now
                self.restless[link.machine] = None
            elif (
                link.state == "up"
                and now - max(link.heard_at, link.opened_at) > silent
                and all(self.cases[name].placed for name in link.holds)
            ):
                if link.asked_at <= link.heard_at:
                    link.asked_at = now
                    self.probe_number += 1
                    self._send_machine(link.machine, m.Probe(number=self.probe_number))
                elif now - link.asked_at > micros(self.limits.probe_ms):
                    self._abandon(now, link)
            return
        if link.state != "down":
            self.actions.append(HangUp(link.machine))
            link.close(now)
        self._drop_queue(now, link)
        self._forget_machine(now, link)

    def _ask_loose(self, now: int, loose: Loose) -> None:
        """Asks again what became of a dispatch that was given up, ten times in its keeping time, then forgets
        it: its machine is out of reach for good, or has lost its memory."""
        keep = micros(self.limits.keep_answers_ms)
        if now - loose.sent_at > 10 * keep:
            self.counts["loose_forgotten"] += 1
            self._settled(loose.case.guest, loose.machine)
            return
        loose.roll_at = now + max(1_000_000, keep // 10)
        link = self.links.get(loose.machine)
        if link and link.state == "up" and link.rolled:
            if loose.stands:
                self._adopt(now, loose.case.guest)
            else:
                self._send_machine(
                    loose.machine,
                    m.Withdraw(guest=loose.case.guest, ask=loose.case.ask, attempt=loose.attempt),
                )
        elif fellow := self.roster.fellows.get(loose.machine):
            self._dial(now, fellow)
        else:
            self._settled(loose.case.guest, loose.machine)
