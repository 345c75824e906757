"""The membership protocol without I/O: datagrams and time in, datagrams and changes out.

The core is deterministic for a given seed. Its host calls `receive(now, body)` and `wake(now)`, carries out
`actions` in order, and calls again at `next_at()`. Times are whole microseconds of this process's own
monotonic clock; clocks of different planners need not agree.

*Alive means that it answers.* A member is suspected only after its probe failed, directly and through
helpers, and at least one helper reported so. Such a helper is a witness: it proves that this planner can
both send and receive. A planner that cannot send, cannot receive, is alone or was just paused has no witness
and suspects nobody. A member that has not answered for long, without a witness, is shown as unanswered in
this planner's own view and is not reported to others.

Each module builds on the one before: `base` (state, timers, sending), `merging` (rows), `exchange` (whole
tables), `probing`, `views`. `MembershipCore` in this module receives datagrams and runs the timers.
"""

from heapq import heappop

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.rows import LEFT
from hazelhold.membership.settings import MembershipChange, MembershipSettings, Reply, SendDatagram
from hazelhold.membership.views import Views

__all__ = ["RECENT", "MembershipCore", "MembershipChange", "SendDatagram", "Reply", "MembershipSettings"]

RECENT = 24  # senders that helpers are drawn from: about three seconds of senders at the default settings
HANDLERS = {  # payload type to the method that handles it
    messages.Ping: "_on_ping",
    messages.PingRequest: "_on_ping_request",
    messages.Ack: "_on_ack",
    messages.Nack: "_on_nack",
    messages.Sync: "_on_sync",
    messages.Rows: "_on_rows",
}


class MembershipCore(Views):
    """One planner's membership. `me` is its first row: alive, seq 0, with the initial incarnation."""

    def start(self, now: int) -> None:
        """Sets the first timers. `now` is in microseconds, as everywhere in this class."""
        self.now = now
        self.join_pause = self.settings.join
        self.settled = not any(s != self.me.address for s in self.seeds)  # no other seed: others join here
        self._at(now, "join")
        self._at(now + self.random.randrange(self.settings.probe), "probe")
        self._at(now + self.random.randrange(self.settings.sync), "sync")
        self._at(now + self.random.randrange(self.settings.heal), "heal")

    def wake(self, now: int) -> None:
        """Runs all timers that are due."""
        self._detect_pause(now)
        while self.timers and self.timers[0][0] <= now:
            _, _, what, about = heappop(self.timers)
            if not self.left:
                getattr(self, f"_{what}_due")(about) if about is not None else getattr(self, f"_{what}_due")()

    def _detect_pause(self, now: int) -> None:
        """Detects from the own clock that this process was paused. Answers that it missed in that time prove
        nothing about the others."""
        self.now = max(now, self.now)
        if not self.timers:
            return
        late = self.now - self.timers[0][0]
        if late <= self.settings.answer or self.left:
            return
        self.away_last, self.away_times = late, self.away_times + 1
        for probe in list(self.probes.values()):
            self._end_probe(probe)
        self.deadlines = {name: at + late for name, at in self.deadlines.items()}
        self.local_health.more(1 + late // self.settings.suspect)
        self.timers = [
            (at + late if what == "gone" else max(at, self.now), no, what, about)
            for at, no, what, about in self.timers
        ]
        self.timers.sort()
        for name in self.table.live.sample(self.random, self.settings.helpers):
            self._sync_with(name)  # they report at once if this incarnation is suspected
        self.actions.append(
            MembershipChange("away", self.me.name, {"late_us": late, "doubt": self.local_health.level})
        )

    def receive(self, now: int, body: bytes) -> None:
        """Handles a datagram. One that is not accepted is counted by its cause and has no effect."""
        self._detect_pause(now)
        try:
            datagram = messages.decode(body, self.settings.deployment)
        except messages.UnreadableError as error:
            self.counts[str(error)] += 1
            return
        payload = datagram.payload
        if isinstance(payload, messages.ViewQuery):
            self._page(payload)
            return
        if self.left or self.yielded or not datagram.sender:
            self.counts["not_taken"] += 1
            return
        if datagram.sender == self.me.name:
            self._name_conflict(datagram)
            return
        known = self.table.row(datagram.sender)
        if known is not None and (datagram.life, datagram.nonce) < (known.life, known.nonce):
            # a replay, or a process that should yield: it gets the current row
            self.counts["earlier_life"] += 1
            if self._within_rate():
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
            self._resync()  # a comparison that brought new rows is followed by another
        getattr(self, HANDLERS[type(payload)])(datagram, payload)
        known = self.table.row(datagram.sender)
        if (
            known is None or (datagram.life, datagram.nonce) > (known.life, known.nonce)
        ) and self._within_rate():
            self._send_sync(datagram.at, datagram.sender)  # its row is missing here

    def _name_conflict(self, datagram: messages.Datagram) -> None:
        """Handles a datagram from a process with this planner's own name: an ack to the probe of a
        conflicting member, or that member's other traffic."""
        if datagram.nonce == self.me.nonce:
            self.counts["own_word"] += 1
            return
        self.counts["namesake"] += 1
        conflict = self.conflict
        if (
            conflict
            and isinstance(datagram.payload, messages.Ack)
            and (datagram.life, datagram.nonce)
            >= (conflict.life, conflict.nonce)
            > (self.me.life, self.me.nonce)
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
                self._merge_own_row(row, datagram.sender)

    def leave(self, now: int) -> None:
        """Leaves the group: sends the new state to some members three times, then sets `left`."""
        self._detect_pause(now)
        if self.leaving or self.yielded:
            self.left = True
            return
        self.leaving = True
        self.table.put(msgspec.structs.replace(self.me, state=LEFT), self.now)
        self._leave_due(0)

    def _leave_due(self, times: int) -> None:
        for name in self.table.live.sample(self.random, 4):
            self._send(
                self.table.row(name).address, name, messages.Rows(), [self.table.members[self.me.name].raw]
            )
        if times == 2 or not len(self.table.live):
            self.left = True
            self.timers.clear()
            return
        self._at(self.now + self.settings.leave, "leave", times + 1)
