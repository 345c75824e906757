"""What a planner tells those that it cannot serve now: when to come back, and whether waiting is of use at
all.

Decisions free of I/O and clock. Pace is what was placed in the last five seconds; the line is what is held
without a machine. Who is turned back gets a place in the time ahead, one place for each guest that the pace
will place, behind the line and behind all places that were given before: those turned back together do not
return together, and who returns at its time finds its place kept. Fresh asks are taken while the line and the
places that will be claimed before their patience ends leave them time.
"""

from collections import Counter, OrderedDict
from random import Random

SECOND = 1_000_000
BIN_COUNT, BIN_WIDTH = 10, SECOND // 2
KNOWN = 10_000  # advised guests that are remembered, to keep their places and see whether the advice was good
SHORT_QUEUE = 50  # a line up to this long is no overload, whatever the pace: the first seconds know no pace
INITIAL_WAIT = (
    5 * SECOND // 2
)  # the advised wait while no pace is known: half of the time that a pace is taken over
LATE_TOLERANCE = SECOND  # after its time so much longer a place is kept
QUEUE_SHARE = (
    0.8  # the part of a patience that the line may fill: of lines filled up to 1 a fiftieth came too late
)


class RetryAdvisor:
    """The line at one planner's door. `least` and `most` bound advised waits, in microseconds."""

    def __init__(self, least: int, most: int, random: Random) -> None:
        self.least, self.most, self.random = least, most, random
        self.bins = [0] * BIN_COUNT
        self.at = 0
        self.return_times: OrderedDict[str, int] = OrderedDict()  # guest: when it may return; emptied by age
        self.back: OrderedDict[str, None] = OrderedDict()  # returned as advised; emptied by its next answer
        self.given_until = 0.0  # up to when places are given away
        self.shows = 1.0  # the fading share of places that are claimed
        self.counts: Counter[str] = Counter()

    def placed(self, now: int, guest: str) -> None:
        self._advance(now)
        self.bins[self.at % BIN_COUNT] += 1
        if guest in self.back:
            del self.back[guest]
            self.counts["advised_served"] += 1

    def pace(self, now: int) -> float:
        """Guests placed a second, lately."""
        self._advance(now)
        return sum(self.bins) / (BIN_COUNT * BIN_WIDTH / SECOND)

    def wait(self, now: int, guest: str, line: int) -> int:
        """The advised wait for a guest that is turned back now, behind so many in line."""
        pace = self.pace(now)
        if self.back.pop(guest, self) is not self:
            self.counts["advised_turned_back"] += 1
        if pace:
            # Places that nobody will claim are given twice.
            self.given_until = max(self.given_until, now + line / pace * SECOND) + SECOND / pace * self.shows
            span = self.given_until - now
        else:
            span = INITIAL_WAIT * self.random.uniform(0.8, 1.2)
        if span > self.most:  # more are away than places: anywhere in the later half of the time ahead
            self.given_until = min(self.given_until, now + self.most)
            span = self.most * self.random.uniform(0.5, 1.0)
        wait = int(max(self.least * self.random.uniform(1.0, 1.2), span))
        self.return_times[guest] = now + wait
        self.return_times.move_to_end(guest)
        if len(self.return_times) > KNOWN:
            self.return_times.popitem(last=False)
        return wait

    def guest_returned(self, now: int, guest: str) -> bool:
        """A guest comes; one that was advised counts if it kept to it, and True says that its place is
        kept."""
        self._forget_missed(now)
        due = self.return_times.pop(guest, None)
        if due is None:
            return False
        if now < due:
            self.counts["advised_came_early"] += 1
            return False
        self.counts["advised_came"] += 1
        self.shows += 0.02 * (1 - self.shows)
        self.back[guest] = None
        if len(self.back) > KNOWN:
            self.back.popitem(last=False)
        return True

    def _forget_missed(self, now: int) -> None:
        """Forgets places whose guests have not come in time."""
        while self.return_times and next(iter(self.return_times.values())) + LATE_TOLERANCE < now:
            self.return_times.popitem(last=False)
            self.shows += 0.02 * (0.1 - self.shows)

    def cannot_be_served(self, now: int, line: int, patience: int, kept: bool = False) -> bool:
        """Whether a guest that joins the line now cannot be answered within its patience at the present pace.
        One whose place was kept is taken unless the line alone is too long for it."""
        if line <= SHORT_QUEUE:
            return False
        room = self.pace(now) * patience / SECOND  # guests that are placed before it must be
        if kept:
            return line > room
        return line + min(len(self.return_times) * self.shows, room) > room * QUEUE_SHARE

    def _advance(self, now: int) -> None:
        at = now // BIN_WIDTH
        for each in range(self.at + 1, min(at, self.at + BIN_COUNT) + 1):
            self.bins[each % BIN_COUNT] = 0
        self.at = max(self.at, at)


class ConnectionAdmission:
    """Admits connections at a bounded rate, and tells the rest when to come back: each gets a place of its
    own in the time ahead, so that those sent away together return at the rate that the door takes."""

    def __init__(self, rate: float, burst: int, at_once: int, most: int, random: Random) -> None:
        self.gap = SECOND / rate
        self.burst, self.at_once, self.most, self.random = burst, at_once, most, random
        self.full_at = 0.0  # when all that was admitted will have been paid for
        self.given_until = 0.0  # up to when places ahead are given away

    def window(self, least: int, owners: int) -> int:
        """Over how long so many owners should spread their return, so that the door can take them as they
        come: twice what the rate needs, since some find the planner only at their second try."""
        return max(least, int(2 * owners * self.gap))

    def admits(self, now: int, greeting: int = 0) -> int:
        """0 if the connection may go on, else in how many microseconds to come back; `greeting` is how many
        others have not said Hello yet."""
        start = max(self.full_at, now)
        if greeting < self.at_once and start - now <= (self.burst - 1) * self.gap:
            self.full_at = start + self.gap
            return 0
        self.given_until = max(self.given_until, now + self.gap * self.burst) + self.gap
        if self.given_until - now > self.most:  # more are away than places: anywhere in the time ahead
            self.given_until = now + self.most
            return max(1, int(self.random.uniform(self.gap, self.most)))
        return max(1, int(self.given_until - now))
