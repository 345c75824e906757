"""Probes: direct, repeated, and indirect through helpers (SWIM). A member that fails a probe with a witness
is suspected. No I/O."""

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.exchange import Exchange
from hazelhold.membership.probe import Probe
from hazelhold.membership.rows import ALIVE, SUSPECTED, Row
from hazelhold.membership.settings import MembershipChange

ALONE_AFTER = 3  # consecutive probes without an ack or a witness; one or two fail by chance


class Probing(Exchange):
    """This planner's own probes, and indirect probes that it makes for others."""

    def _probe_due(self) -> None:
        self._at(self.now + self.local_health(self.settings.probe), "probe")
        name = self.table.next_probe(self.probing)
        if name and not self.leaving:
            probe = self._new_probe(name, self.table.row(name))
            self.probing.add(name)
            self._ping(probe)
            self._at(self.now + self.local_health(self.settings.answer), "answer", probe.number)

    def _new_probe(self, name: str, row: Row | None) -> Probe:
        probe = Probe(self._number(), name, self.now, (row.life, row.nonce) if row else (-1, -1))
        probe.address = row.address if row else ""
        self.probes[probe.number] = probe
        return probe

    def _ping(self, probe: Probe) -> None:
        self._send(
            probe.address,
            probe.name,
            messages.Ping(probe.number, probe.name),
            self._accusation_against(probe.name),
        )

    def _answer_due(self, number: int) -> None:
        """Repeats a probe without an ack, also through helpers; the fourth time it has failed."""
        probe = self.probes.get(number)
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
                        messages.PingRequest(number, probe.name, probe.address),
                        self._accusation_against(helper),
                    )
        if probe.step < 4:
            self._at(self.now + self.local_health(self.settings.answer), "answer", number)
            return
        self._end_probe(probe)
        self._failed(probe)

    def _helpers(self, target: str) -> list[str]:
        """Chooses helpers among recent senders, which are the most likely to run, even if many other members
        have just died or never existed."""
        helpers = [n for n in self.recent if n != target and n in self.table.live.positions]
        helpers = self.random.sample(helpers, min(self.settings.helpers, len(helpers)))
        more = self.settings.helpers - len(helpers)
        return helpers + (self.table.live.sample(self.random, more, (target, *helpers)) if more else [])

    def _failed(self, probe: Probe) -> None:
        member = self.table.members.get(probe.name)
        if member is None or (member.row.life, member.row.nonce) != probe.life:
            return
        if not probe.witnesses:
            self.local_health.more()
            member.unanswered += 1
            self.unanswered_probes += 1
            if self.unanswered_probes >= ALONE_AFTER and self.alone_since < 0:
                self.alone_since = self.now
                self.actions.append(
                    MembershipChange("alone", self.me.name, {"unanswered": self.unanswered_probes})
                )
            return
        self._end_alone()
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

    def _end_alone(self) -> None:
        self.unanswered_probes = 0
        if self.alone_since >= 0:
            self.actions.append(
                MembershipChange("heard_again", self.me.name, {"alone_us": self.now - self.alone_since})
            )
            self.alone_since = -1

    def _end_probe(self, probe: Probe) -> None:
        del self.probes[probe.number]
        if probe.requester:
            self.relayed_probes.pop((probe.requester, probe.request_number), None)
        else:
            self.probing.discard(probe.name)

    def _on_ping(self, datagram: messages.Datagram, ping: messages.Ping) -> None:
        if ping.who != self.me.name:
            self.counts["misled"] += 1
            return
        first = [*self._accusation_against(datagram.sender), *self.corrections[:4]]
        self._send(datagram.at, datagram.sender, messages.Ack(ping.no, self.me.name), first)

    def _on_ping_request(self, datagram: messages.Datagram, request: messages.PingRequest) -> None:
        if request.who == self.me.name:
            self._send(
                datagram.at,
                datagram.sender,
                messages.Ack(request.no, self.me.name),
                self._accusation_against(datagram.sender),
            )
            return
        if (datagram.sender, request.no) in self.relayed_probes or not self._within_rate():
            return
        row = self.table.row(request.who)
        probe = self._new_probe(request.who, row)
        probe.requester, probe.request_number, probe.address = (
            datagram.sender,
            request.no,
            row.address if row else request.where,
        )
        self.relayed_probes[datagram.sender, request.no] = probe.number
        self._ping(probe)
        self._at(self.now + self.settings.answer // 2, "help", probe.number)

    def _help_due(self, number: int) -> None:
        """Repeats the ping of an indirect probe after half the ack timeout, and sends a nack at its end."""
        probe = self.probes.get(number)
        if probe is None:
            return
        probe.step += 1
        if probe.step == 1:
            self._ping(probe)
            self._at(self.now + self.settings.answer // 2, "help", number)
            return
        if probe.step == 2:
            if row := self.table.row(probe.requester):
                self._send(
                    row.address,
                    row.name,
                    messages.Nack(probe.request_number, probe.name),
                    self._accusation_against(row.name),
                )
            self._at(self.now + self.settings.answer, "help", number)  # a late ack is still forwarded
            return
        self._end_probe(probe)

    def _on_ack(self, datagram: messages.Datagram, ack: messages.Ack) -> None:
        probe = self.probes.get(ack.no)
        if probe is None or probe.name != ack.who:
            self.counts["late_ack"] += 1
            return
        if probe.requester:
            if datagram.sender == ack.who and (row := self.table.row(probe.requester)):
                self._send(
                    row.address,
                    row.name,
                    messages.Ack(probe.request_number, probe.name),
                    self._accusation_against(row.name),
                )
                self._end_probe(probe)
            return
        if datagram.sender != ack.who and datagram.sender not in probe.helpers:
            self.counts["late_ack"] += 1
            return
        self._end_probe(probe)
        self.local_health.less()
        self._end_alone()
        self._settle(datagram.sender)  # an ack proves contact as well as a seed's reply
        member = self.table.members.get(probe.name)
        if member is None or (member.row.life, member.row.nonce) != probe.life:
            return
        member.unanswered, member.last_ack_at = 0, self.now
        member.via = "" if datagram.sender == probe.name else datagram.sender
        if not member.via and not probe.step:  # only if one ping was sent: later acks are ambiguous
            rtt = self.now - probe.started_at
            member.rtt = rtt if member.rtt < 0 else (7 * member.rtt + rtt) // 8

    def _on_nack(self, datagram: messages.Datagram, nack: messages.Nack) -> None:
        probe = self.probes.get(nack.no)
        if probe and not probe.requester and probe.name == nack.who and datagram.sender in probe.helpers:
            probe.witnesses.add(datagram.sender)
