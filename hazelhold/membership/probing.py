"""Probes: direct, again, and through helpers (SWIM); who failed one with a witness is suspected. No I/O."""

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.exchange import Exchange
from hazelhold.membership.probe import Probe
from hazelhold.membership.rows import ALIVE, SUSPECTED, Row
from hazelhold.membership.settings import MembershipChange

ALONE_AFTER = 3  # probes in a row without any answer or witness: one or two fail by chance


class Probing(Exchange):
    """This planner's own probes, and those that it makes for others."""

    def _probe_due(self) -> None:
        self._at(self.now + self.local_health(self.terms.probe), "probe")
        name = self.table.next_probe(self.probing)
        if name and not self.leaving:
            probe = self._new_probe(name, self.table.row(name))
            self.probing.add(name)
            self._ping(probe)
            self._at(self.now + self.local_health(self.terms.answer), "answer", probe.no)

    def _new_probe(self, name: str, row: Row | None) -> Probe:
        probe = Probe(self._number(), name, self.now, (row.life, row.nonce) if row else (-1, -1))
        probe.where = row.address if row else ""
        self.probes[probe.no] = probe
        return probe

    def _ping(self, probe: Probe) -> None:
        self._send(probe.where, probe.name, messages.Ping(probe.no, probe.name), self._word_on(probe.name))

    def _answer_due(self, no: int) -> None:
        """No answer yet: asked again, through helpers as well; the fourth time it has failed."""
        probe = self.probes.get(no)
        if probe is None:
            return
        probe.step += 1
        if probe.step < 3:
            self._ping(probe)
            if not probe.helpers:
                probe.helpers = self._helpers(probe.name)
            for helper in probe.helpers:
                if row := self.table.row(helper):  # it may have been forgotten meanwhile
                    self._send(
                        row.address,
                        helper,
                        messages.PingRequest(no, probe.name, probe.where),
                        self._word_on(helper),
                    )
        if probe.step < 4:
            self._at(self.now + self.local_health(self.terms.answer), "answer", no)
            return
        self._end_probe(probe)
        self._failed(probe)

    def _helpers(self, target: str) -> list[str]:
        """Members heard lately: the likeliest to run, however many others just died or never were."""
        found = [n for n in self.recent if n != target and n in self.table.live.places]
        found = self.random.sample(found, min(self.terms.helpers, len(found)))
        more = self.terms.helpers - len(found)
        return found + (self.table.live.some(self.random, more, (target, *found)) if more else [])

    def _failed(self, probe: Probe) -> None:
        member = self.table.members.get(probe.name)
        if member is None or (member.row.life, member.row.nonce) != probe.life:
            return
        if not probe.witnesses:
            self.local_health.more()
            member.unanswered += 1
            self.fruitless += 1
            if self.fruitless >= ALONE_AFTER and self.alone_since < 0:
                self.alone_since = self.now
                self.actions.append(MembershipChange("alone", self.me.name, {"unanswered": self.fruitless}))
            return
        self._heard_again()
        self.counts["accused"] += 1
        row = member.row
        if row.state == ALIVE:
            self._take(
                msgspec.structs.replace(row, state=SUSPECTED, by=self.me.name),
                self.me.name,
                witnesses=sorted(probe.witnesses),
                asked=len(probe.helpers),
            )
        elif row.state == SUSPECTED:
            self._confirm(member, self.me.name)

    def _heard_again(self) -> None:
        self.fruitless = 0
        if self.alone_since >= 0:
            self.actions.append(
                MembershipChange("heard_again", self.me.name, {"alone_us": self.now - self.alone_since})
            )
            self.alone_since = -1

    def _end_probe(self, probe: Probe) -> None:
        del self.probes[probe.no]
        if probe.asker:
            self.asked_for.pop((probe.asker, probe.asked), None)
        else:
            self.probing.discard(probe.name)

    def _on_ping(self, datagram: messages.Datagram, ping: messages.Ping) -> None:
        if ping.who != self.me.name:
            self.counts["misled"] += 1
            return
        first = [*self._word_on(datagram.sender), *self.corrections[:4]]
        self._send(datagram.at, datagram.sender, messages.Ack(ping.no, self.me.name), first)

    def _on_ping_request(self, datagram: messages.Datagram, ask: messages.PingRequest) -> None:
        if ask.who == self.me.name:
            self._send(
                datagram.at,
                datagram.sender,
                messages.Ack(ask.no, self.me.name),
                self._word_on(datagram.sender),
            )
            return
        if (datagram.sender, ask.no) in self.asked_for or not self._may():
            return
        row = self.table.row(ask.who)
        probe = self._new_probe(ask.who, row)
        probe.asker, probe.asked, probe.where = datagram.sender, ask.no, row.address if row else ask.where
        self.asked_for[datagram.sender, ask.no] = probe.no
        self._ping(probe)
        self._at(self.now + self.terms.answer // 2, "help", probe.no)

    def _help_due(self, no: int) -> None:
        """Half the time of an answer has passed: one more ping; at its end, the word that nobody answers."""
        probe = self.probes.get(no)
        if probe is None:
            return
        probe.step += 1
        if probe.step == 1:
            self._ping(probe)
            self._at(self.now + self.terms.answer // 2, "help", no)
            return
        if probe.step == 2:
            if row := self.table.row(probe.asker):
                self._send(
                    row.address, row.name, messages.Nack(probe.asked, probe.name), self._word_on(row.name)
                )
            self._at(self.now + self.terms.answer, "help", no)  # a late answer still goes on
            return
        self._end_probe(probe)

    def _on_ack(self, datagram: messages.Datagram, ack: messages.Ack) -> None:
        probe = self.probes.get(ack.no)
        if probe is None or probe.name != ack.who:
            self.counts["late_ack"] += 1
            return
        if probe.asker:
            if datagram.sender == ack.who and (row := self.table.row(probe.asker)):
                self._send(
                    row.address, row.name, messages.Ack(probe.asked, probe.name), self._word_on(row.name)
                )
                self._end_probe(probe)
            return
        if datagram.sender != ack.who and datagram.sender not in probe.helpers:
            self.counts["late_ack"] += 1
            return
        self._end_probe(probe)
        self.local_health.less()
        self._heard_again()
        self._settle(datagram.sender)  # whoever joined through this one shows it as well as a seed would
        member = self.table.members.get(probe.name)
        if member is None or (member.row.life, member.row.nonce) != probe.life:
            return
        member.unanswered, member.heard = 0, self.now
        member.via = "" if datagram.sender == probe.name else datagram.sender
        if not member.via and not probe.step:  # of a ping sent once: a later answer may be to either
            span = self.now - probe.began
            member.rtt = span if member.rtt < 0 else (7 * member.rtt + span) // 8

    def _on_nack(self, datagram: messages.Datagram, nack: messages.Nack) -> None:
        probe = self.probes.get(nack.no)
        if probe and not probe.asker and probe.name == nack.who and datagram.sender in probe.helpers:
            probe.witnesses.add(datagram.sender)
