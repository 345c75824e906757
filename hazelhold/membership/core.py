"""Membership without I/O: datagrams and time in, datagrams and news out; deterministic from its seed.

Driven like the engine: `hear(now, body)` and `wake(now)`, then `actions` in order, `next_at()` for when to
come back. Times are whole microseconds of this process's own monotonic clock, which need agree with
nobody's.

The rule of the whole: *alive means answers*. A member is accused only after its probe failed, directly and
through helpers, and at least one helper said so (a witness: proof that this planner is heard and hears).
Who is deaf, cannot be heard, is alone or was just paused has no witness and accuses nobody. What nobody
answered for long without a witness is shown as unanswered in this planner's own view and told to no other.

The parts stand in modules of their own, each resting on the one before: `base` (state, timers, sending),
`merging` (rows), `exchange` (whole tables), `probing`, `views`; `Core` here hears datagrams and keeps the
time.
"""

from heapq import heappop

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.rows import LEFT
from hazelhold.membership.settings import MembershipChange, MembershipSettings, Reply, SendDatagram
from hazelhold.membership.views import Views

__all__ = ["RECENT", "MembershipCore", "MembershipChange", "SendDatagram", "Reply", "MembershipSettings"]

RECENT = 24  # whose helpers are drawn from: some three seconds of senders at the usual pace
HANDLERS = {  # a payload's type: the method that takes it
    messages.Ping: "_on_ping",
    messages.PingRequest: "_on_ping_request",
    messages.Ack: "_on_ack",
    messages.Nack: "_on_nack",
    messages.Sync: "_on_sync",
    messages.Rows: "_on_rows",
}


class MembershipCore(Views):
    """One planner's membership. `me` is its first row: alive, seq 0, with the life to begin with."""

    def start(self, now: int) -> None:
        self.now = now
        self.join_pause = self.terms.join
        self.settled = not any(s != self.me.address for s in self.seeds)  # nobody to ask: others come
        self._at(now, "join")
        self._at(now + self.random.randrange(self.terms.probe), "probe")
        self._at(now + self.random.randrange(self.terms.sync), "sync")
        self._at(now + self.random.randrange(self.terms.heal), "heal")

    def wake(self, now: int) -> None:
        """Does all that is due."""
        self._notice(now)
        while self.timers and self.timers[0][0] <= now:
            _, _, what, about = heappop(self.timers)
            if not self.left:
                getattr(self, f"_{what}_due")(about) if about is not None else getattr(self, f"_{what}_due")()

    def _notice(self, now: int) -> None:
        """Notices from its own clock that it was away: nothing that it waited for in that time says
        anything."""
        self.now = max(now, self.now)
        if not self.timers:
            return
        late = self.now - self.timers[0][0]
        if late <= self.terms.answer or self.left:
            return
        self.away_last, self.away_times = late, self.away_times + 1
        for probe in list(self.probes.values()):
            self._end_probe(probe)
        self.deadlines = {name: at + late for name, at in self.deadlines.items()}
        self.local_health.more(1 + late // self.terms.suspect)
        self.timers = [
            (at + late if what == "gone" else max(at, self.now), no, what, about)
            for at, no, what, about in self.timers
        ]
        self.timers.sort()
        for name in self.table.live.some(self.random, self.terms.helpers):
            self._sync_with(name)  # they say at once if this life is accused
        self.actions.append(
            MembershipChange("away", self.me.name, {"late_us": late, "doubt": self.local_health.level})
        )

    def receive(self, now: int, body: bytes) -> None:
        """Takes a datagram. One that cannot be taken is counted by its cause, and does nothing."""
        self._notice(now)
        try:
            datagram = messages.decode(body, self.terms.deployment)
        except messages.UnreadableError as wrong:
            self.counts[str(wrong)] += 1
            return
        payload = datagram.payload
        if isinstance(payload, messages.ViewQuery):
            self._page(payload)
            return
        if self.left or self.yielded or not datagram.sender:
            self.counts["not_taken"] += 1
            return
        if datagram.sender == self.me.name:
            self._namesake(datagram)
            return
        known = self.table.row(datagram.sender)
        if known is not None and (datagram.life, datagram.nonce) < (known.life, known.nonce):
            self.counts["earlier_life"] += 1  # a replay, or a process that should yield: told what stands
            if self._may():
                self._send(
                    datagram.at, datagram.sender, messages.Rows(), [self.table.members[datagram.sender].raw]
                )
            return
        self.recent.pop(datagram.sender, None)
        self.recent[datagram.sender] = None
        if len(self.recent) > RECENT:
            del self.recent[next(iter(self.recent))]
        self.corrections, taken = [], self.taken
        for row in datagram.rows:
            self._merge(row, datagram.sender)
        if isinstance(payload, messages.ViewPage):
            self.counts["not_taken"] += 1
            return
        if self.taken > taken and isinstance(payload, messages.Rows):
            self._resync()  # a comparison that brought something is followed by another
        getattr(self, HANDLERS[type(payload)])(datagram, payload)
        known = self.table.row(datagram.sender)
        if (known is None or (datagram.life, datagram.nonce) > (known.life, known.nonce)) and self._may():
            self._send_sync(datagram.at, datagram.sender)  # its row is not here

    def _namesake(self, datagram: messages.Datagram) -> None:
        """A datagram from a process of this planner's own name: the answer to a challenge, or a rival's
        traffic."""
        if datagram.nonce == self.me.nonce:
            self.counts["own_word"] += 1
            return
        self.counts["namesake"] += 1
        rival = self.rival
        if (
            rival
            and isinstance(datagram.payload, messages.Ack)
            and (datagram.life, datagram.nonce) >= (rival.life, rival.nonce) > (self.me.life, self.me.nonce)
        ):
            self.yielded = True
            self.timers.clear()
            self.probes.clear()
            self.probing.clear()
            self.actions.append(
                MembershipChange(
                    "yielded",
                    self.me.name,
                    {"to_life": datagram.life, "life": self.me.life, "at": datagram.at},
                )
            )
        elif isinstance(datagram.payload, messages.Ping) and datagram.payload.who == self.me.name:
            self._send(datagram.at, datagram.sender, messages.Ack(datagram.payload.no, self.me.name), [])
        for row in datagram.rows:
            if row.name == self.me.name and not self.yielded:
                self._about_me(row, datagram.sender)

    def leave(self, now: int) -> None:
        """Leaves on purpose: tells some members three times; `left` once that is done."""
        self._notice(now)
        if self.leaving or self.yielded:
            self.left = True
            return
        self.leaving = True
        self.table.put(msgspec.structs.replace(self.me, state=LEFT), self.now)
        self._leave_due(0)

    def _leave_due(self, times: int) -> None:
        for name in self.table.live.some(self.random, 4):
            self._send(
                self.table.row(name).address, name, messages.Rows(), [self.table.members[self.me.name].raw]
            )
        if times == 2 or not len(self.table.live):
            self.left = True
            self.timers.clear()
            return
        self._at(self.now + self.terms.leave, "leave", times + 1)
