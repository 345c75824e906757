"""A follower's connections: the source that it follows, and another one on trial. No I/O.

A new source is on trial until its first heartbeat; the present one is kept meanwhile, so that a change costs
no pause. Nothing in safety rests on any of this.
"""

from collections import Counter
from random import Random

from hazelhold.fleetconfig.choice import Choice
from hazelhold.fleetconfig.messages import Heartbeat
from hazelhold.fleetconfig.roster import Source
from hazelhold.fleetconfig.snapshot import Assembly
from hazelhold.fleetconfig.spread_actions import Close, Dial, Log, Times

MOST_ROUTE = 16  # names; a longer way is taken for a cycle


class Link:
    """One connection to a source, being dialed or open."""

    def __init__(self, connection: int, source: Source, now: int) -> None:
        self.connection, self.source = connection, source
        self.is_open = False
        self.began_at = now
        self.heard_at = now
        self.heartbeat: Heartbeat | None = None
        self.confirmed_at: int | None = None  # by this source's word
        self.assembly = Assembly()
        self.is_plain = False  # a packed message could not be taken: this source is asked for none again
        self.asked_at = now
        self.progress_at = now  # when it last sent something useful, or was not ahead

    def is_stale(self, now: int, times: Times) -> bool:
        """Whether this source has not been in touch with a majority for long."""
        return self.confirmed_at is None or now - self.confirmed_at > times.stale

    def shift(self, span: int) -> None:
        """This process was paused: the time is not held against the source."""
        self.began_at += span
        self.heard_at += span
        self.progress_at += span
        self.asked_at += span


class Links:
    """At most one source that is followed (`current`), and one on trial."""

    def __init__(self, name: str, times: Times, random: Random, actions: list, counts: Counter[str]) -> None:
        self.choice = Choice(times, random)
        self.current: Link | None = None
        self.trial: Link | None = None
        self.last_reason = ""  # why the last source was left
        self._name, self._times, self._random = name, times, random
        self._actions, self._counts = actions, counts
        self._next_connection = 0
        self._go_back_at = 0

    def find(self, connection: int) -> Link | None:
        """The link with this number; None if it was ended."""
        for link in (self.current, self.trial):
            if link is not None and link.connection == connection:
                return link
        return None

    def opened(self, now: int, connection: int) -> Link | None:
        """A dial succeeded."""
        link = self.find(connection)
        if link is not None:
            link.is_open = True
            link.heard_at = link.asked_at = link.progress_at = now
        return link

    def ended(self, now: int, connection: int, reason: str) -> None:
        """The other side ended the connection, or could not be reached."""
        link = self.find(connection)
        if link is not None:
            self._drop(now, link, reason, badly=False)

    def leave(self, now: int, link: Link, reason: str, badly: bool = False) -> None:
        """Ends a connection because the source does not serve."""
        self._actions.append(Close(link.connection, reason))
        self._drop(now, link, reason, badly)

    def heartbeat(self, now: int, link: Link, heartbeat: Heartbeat) -> None:
        """Takes a heartbeat: refuses cycles, decides on a trial. A lower number than before is old news."""
        if link.heartbeat is not None and heartbeat.number < link.heartbeat.number:
            return
        link.heartbeat = heartbeat
        if heartbeat.confirmed_age >= 0:
            at = now - heartbeat.confirmed_age
            link.confirmed_at = at if link.confirmed_at is None else max(link.confirmed_at, at)
        if self._goes_in_circles(heartbeat.route):
            self._counts["cycles"] += 1
            self.leave(now, link, "its way goes through this planner")
        elif link is self.trial:
            self._judge(now, link)
        elif now - link.began_at > self._times.go_back:
            self.choice.served(link.source.name)

    def tick(self, now: int) -> None:
        """Leaves who fails, looks for a better source."""
        for link in (self.current, self.trial):
            fault = link and self._fault(now, link)
            if link and fault:
                self._counts["sources_" + fault.replace(" ", "_")] += 1
                self.leave(now, link, fault)
        self._seek(now)

    def shift(self, span: int) -> None:
        """This process was paused for so long."""
        for link in (self.current, self.trial):
            if link is not None:
                link.shift(span)

    def drop_all(self, reason: str) -> None:
        """Ends both connections; nothing is held against the sources."""
        for link in (self.current, self.trial):
            if link is not None:
                self._actions.append(Close(link.connection, reason))
        self.current = self.trial = None

    def next_at(self, now: int) -> int | None:
        """When `tick` has something to do."""
        moments = [self._fault_at(link) for link in (self.current, self.trial) if link is not None]
        if self.trial is None:
            moments.append(self._seek_at(now))
        return min((moment for moment in moments if moment is not None), default=None)

    def _goes_in_circles(self, route: tuple[str, ...]) -> bool:
        return self._name in route or len(route) > MOST_ROUTE

    def _judge(self, now: int, link: Link) -> None:
        current = self.current
        if current is None:
            self._promote(now, link)
        elif current.is_stale(now, self._times):
            newer = self._knows_newer(link, current)
            self._promote(now, link) if newer else self.leave(now, link, "knows nothing newer")
        elif self.choice.rank(link.source.name) > self.choice.rank(current.source.name):
            self._actions.append(Close(link.connection, "not needed"))
            self.trial = None
        elif link.is_stale(now, self._times):
            self.leave(now, link, "not in touch")
        else:
            self._promote(now, link)

    def _knows_newer(self, link: Link, current: Link) -> bool:
        if link.confirmed_at is None or current.confirmed_at is None:
            return link.confirmed_at is not None
        return link.confirmed_at > current.confirmed_at + self._times.heartbeat

    def _promote(self, now: int, link: Link) -> None:
        if self.current is not None:
            self._actions.append(Close(self.current.connection, "another source is followed"))
        self.current, self.trial = link, None
        self._set_go_back(now)
        self._counts["sources_followed"] += 1
        self._actions.append(Log("source", {"name": link.source.name, "role": link.source.role}))

    def _set_go_back(self, now: int) -> None:
        span = self._times.go_back
        self._go_back_at = now + self._random.randint(span // 2, span)

    def _drop(self, now: int, link: Link, reason: str, badly: bool) -> None:
        self.last_reason = f"{link.source.name}: {reason}"
        self.choice.failed(now, link.source.name, badly)
        if link is self.current:
            self.current = None
            self._actions.append(Log("source_lost", {"name": link.source.name, "reason": reason}))
        elif link is self.trial:
            self.trial = None

    def _fault(self, now: int, link: Link) -> str:
        times = self._times
        if not link.is_open:
            return "dial timed out" if now >= link.began_at + times.dial else ""
        if now >= link.heard_at + times.silent:
            return "silent"
        if now >= link.progress_at + times.stuck:
            return "stuck"
        return ""

    def _fault_at(self, link: Link) -> int:
        if not link.is_open:
            return link.began_at + self._times.dial
        return min(link.heard_at + self._times.silent, link.progress_at + self._times.stuck)

    def _seek(self, now: int) -> None:
        if self.trial is not None:
            return
        current = self.current
        if current is None:
            self._dial(now, self.choice.best(now))
        elif current.is_stale(now, self._times):
            self._dial(now, self.choice.best(now, but=current.source.name))
        elif now >= self._go_back_at:
            rank = self.choice.rank(current.source.name)
            self._dial(now, self.choice.best(now, above=rank))
            self._set_go_back(now)

    def _seek_at(self, now: int) -> int | None:
        current = self.current
        if current is None:
            return self.choice.next_at()
        if current.is_stale(now, self._times):
            return self.choice.next_at(but=current.source.name)
        assert current.confirmed_at is not None  # else it is stale
        stale_at = current.confirmed_at + self._times.stale + 1
        return min(stale_at, self._go_back_at)

    def _dial(self, now: int, source: Source | None) -> None:
        if source is None:
            return
        self._next_connection += 1
        self.trial = Link(self._next_connection, source, now)
        self._actions.append(Dial(self._next_connection, source.name, source.address))
