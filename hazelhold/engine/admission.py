"""Admission control: when refused guests and connections may return, whether a guest can be placed in time.

No I/O and no clock. The placement rate is what was placed in the last five seconds; the queue is the guests
held without a machine. A refused guest gets a slot in the time ahead, one slot for each guest that the
placement rate allows, after the queue and after all slots given before. So guests refused together do not
return together, and a guest that returns on time finds its slot reserved. New submissions are accepted while
the queue and the slots that will be claimed before their deadline leave them time.
"""

from collections import Counter, OrderedDict
from random import Random

SECOND = 1_000_000
BIN_COUNT, BIN_WIDTH = 10, SECOND // 2
# Guests whose return time is remembered, to reserve their slots and to count how well advice works.
KNOWN = 10_000
# A queue up to this length is no overload at any rate: in the first seconds no rate is known.
SHORT_QUEUE = 50
# The advised wait while no rate is known: half of the time over which the rate is measured.
INITIAL_WAIT = 5 * SECOND // 2
LATE_TOLERANCE = SECOND  # for so long after the return time a slot stays reserved
QUEUE_SHARE = 0.8  # the part of the time left that the queue may fill: with 1, a fiftieth was placed too late


class RetryAdvisor:
    """Advises refused guests when to return. `min_wait` and `max_wait` bound the waits, in microseconds."""

    def __init__(self, min_wait: int, max_wait: int, random: Random) -> None:
        self.min_wait, self.max_wait, self.random = min_wait, max_wait, random
        self.bins = [0] * BIN_COUNT
        self.at = 0
        # By guest: when it may return; emptied by age.
        self.return_times: OrderedDict[str, int] = OrderedDict()
        # Guests that returned as advised; emptied by their next answer.
        self.returned: OrderedDict[str, None] = OrderedDict()
        self.assigned_until = 0.0  # up to when slots are given away
        self.claimed_share = 1.0  # moving average of the share of slots that are claimed
        self.counts: Counter[str] = Counter()

    def placed(self, now: int, guest: str) -> None:
        """Counts a placed guest for the placement rate."""
        self._advance(now)
        self.bins[self.at % BIN_COUNT] += 1
        if guest in self.returned:
            del self.returned[guest]
            self.counts["advised_served"] += 1

    def placement_rate(self, now: int) -> float:
        """Guests placed per second over the last five seconds."""
        self._advance(now)
        return sum(self.bins) / (BIN_COUNT * BIN_WIDTH / SECOND)

    def wait(self, now: int, guest: str, queue_length: int) -> int:
        """The advised wait in microseconds for a guest that is refused while `queue_length` guests wait."""
        rate = self.placement_rate(now)
        if self.returned.pop(guest, self) is not self:
            self.counts["advised_turned_back"] += 1
        if rate:
            # Slots that will not be claimed are given twice.
            self.assigned_until = (
                max(self.assigned_until, now + queue_length / rate * SECOND)
                + SECOND / rate * self.claimed_share
            )
            delay = self.assigned_until - now
        else:
            delay = INITIAL_WAIT * self.random.uniform(0.8, 1.2)
        if delay > self.max_wait:  # more guests than slots: a random time in the later half
            self.assigned_until = min(self.assigned_until, now + self.max_wait)
            delay = self.max_wait * self.random.uniform(0.5, 1.0)
        wait = int(max(self.min_wait * self.random.uniform(1.0, 1.2), delay))
        self.return_times[guest] = now + wait
        self.return_times.move_to_end(guest)
        if len(self.return_times) > KNOWN:
            self.return_times.popitem(last=False)
        return wait

    def guest_returned(self, now: int, guest: str) -> bool:
        """Records that a guest was submitted; True if it returned at its advised time, so that its slot is
        reserved."""
        self._forget_missed(now)
        due = self.return_times.pop(guest, None)
        if due is None:
            return False
        if now < due:
            self.counts["advised_came_early"] += 1
            return False
        self.counts["advised_came"] += 1
        self.claimed_share += 0.02 * (1 - self.claimed_share)
        self.returned[guest] = None
        if len(self.returned) > KNOWN:
            self.returned.popitem(last=False)
        return True

    def _forget_missed(self, now: int) -> None:
        """Drops slots whose guests did not return in time."""
        while self.return_times and next(iter(self.return_times.values())) + LATE_TOLERANCE < now:
            self.return_times.popitem(last=False)
            self.claimed_share += 0.02 * (0.1 - self.claimed_share)

    def cannot_be_served(self, now: int, queue_length: int, patience: int, kept: bool = False) -> bool:
        """Whether a guest that joins the queue now cannot be placed within `patience` at the present rate.

        One whose slot is reserved (`kept`) is accepted unless the queue alone is too long for it.
        """
        if queue_length <= SHORT_QUEUE:
            return False
        # Guests that can be placed before its deadline.
        capacity = self.placement_rate(now) * patience / SECOND
        if kept:
            return queue_length > capacity
        return (
            queue_length + min(len(self.return_times) * self.claimed_share, capacity) > capacity * QUEUE_SHARE
        )

    def _advance(self, now: int) -> None:
        at = now // BIN_WIDTH
        for each in range(self.at + 1, min(at, self.at + BIN_COUNT) + 1):
            self.bins[each % BIN_COUNT] = 0
        self.at = max(self.at, at)


class ConnectionAdmission:
    """Admits connections at a bounded rate and assigns each refused one its own return time.

    Connections refused together so return at the rate at which they can be admitted.
    """

    def __init__(self, rate: float, burst: int, max_greeting: int, max_wait: int, random: Random) -> None:
        self.gap = SECOND / rate
        self.burst, self.max_greeting, self.max_wait, self.random = burst, max_greeting, max_wait, random
        self.full_at = 0.0  # when the rate budget of all admitted connections is used up
        self.assigned_until = 0.0  # up to when return times are assigned

    def window(self, min_window: int, owners: int) -> int:
        """Microseconds over which so many owners should spread their return to be admitted as they come.

        Twice what the rate needs, since some reach the planner only at their second try.
        """
        return max(min_window, int(2 * owners * self.gap))

    def admits(self, now: int, greeting: int = 0) -> int:
        """0 if the connection is admitted, else the microseconds after which to return.

        `greeting` is how many other connections have not sent Hello yet.
        """
        start = max(self.full_at, now)
        if greeting < self.max_greeting and start - now <= (self.burst - 1) * self.gap:
            self.full_at = start + self.gap
            return 0
        self.assigned_until = max(self.assigned_until, now + self.gap * self.burst) + self.gap
        if self.assigned_until - now > self.max_wait:  # more connections than return times: a random time
            self.assigned_until = now + self.max_wait
            return max(1, int(self.random.uniform(self.gap, self.max_wait)))
        return max(1, int(self.assigned_until - now))
