"""How often a client may repeat, and when it comes back to a planner that it lost."""

from random import Random


class RetryBudget:
    """Retries as a share of fresh asks, so that a planner in trouble is not asked many times for each guest.
    Served guests refill it a little: trouble that passes is over sooner."""

    def __init__(self, share: float, burst: float) -> None:
        self.share, self.burst, self.left = share, burst, burst

    def fresh(self) -> None:
        self.left = min(self.burst, self.left + self.share)

    def served(self) -> None:
        self.left = min(self.burst, self.left + self.share / 2)

    def retry(self) -> bool:
        if self.left < 1:
            return False
        self.left -= 1
        return True


class ReconnectBackoff:
    """Full jitter: each return is drawn from nothing to a span that doubles, up to a cap; never before what
    the planner advised, and over at least the window that its last words asked for."""

    def __init__(self, base: int, most: int, random: Random, soon: int = 0) -> None:
        self.base, self.most, self.random, self.soon = base, most, random, soon or most
        self.tries = self.window = 0
        self.usual = 0  # the window that the planner named in its first words, for a loss without last words

    def succeeded(self, usual: int = 0) -> None:
        self.tries, self.window, self.usual = 0, 0, usual

    def lost(self, window: int) -> None:
        """A connection that stood is gone. The window holds for every try until one succeeds: clients that
        find nobody yet must not crowd into the rest of it."""
        self.window = window or self.usual

    def cap(self, urgent: bool) -> int:
        """The longest span for a dial: shorter for a client that has something to ask, but never such that
        all clients of a large planner together come faster than its window says."""
        return min(self.most, max(self.soon, 2 * (self.window or self.usual))) if urgent else self.most

    def wait(self, advised: int = 0, urgent: bool = False) -> int:
        """Microseconds until the next dial."""
        span = max(self.window, min(self.cap(urgent), self.base << min(self.tries, 20)))
        self.tries += 1
        if advised:
            return advised + int(self.random.uniform(0, advised * 0.1))
        return int(self.random.uniform(0, span))


class AdaptiveThrottle:
    """Holds a client's own asks back while a planner refuses most of them, so that refusing does not become
    what the planner does all day. Of the asks of the last seconds, kept and fading, it lets through about
    `TIMES` as many as were taken, and `FREE` more, by chance: enough to see at once when the trouble is over.

    Guards against overload by many clients. Could hold back an ask that would just have been taken, while
    room comes and goes: it is tried again here until its time is over. `ROW` taken one after the other end
    it at once; without that, a busy client whose planner was well again still held half back after 40 s.
    """

    TIMES = 2.0  # 1.5 to 3 are usual for such schemes; below, a recovery is seen late
    FREE = 3.0
    FADES = 3 * 1_000_000  # microseconds in which the memory fades to a third
    ROW = 8  # where half are refused, so many in a row come by chance once in 256 asks

    def __init__(self, random: Random) -> None:
        self.random = random
        self.asked = self.taken = 0.0
        self.at = self.row = 0

    def _fade(self, now: int) -> None:
        part = 2.718281828 ** (-(now - self.at) / self.FADES)
        self.asked, self.taken, self.at = self.asked * part, self.taken * part, now

    def allows(self, now: int) -> bool:
        """Whether an ask may be sent; counts it as wanted."""
        self._fade(now)
        self.asked += 1
        over = self.asked - self.TIMES * self.taken - self.FREE
        return over <= 0 or self.random.random() >= over / self.asked

    def record(self, now: int, taken: bool) -> None:
        """The planner took an ask, or refused it for overload."""
        self._fade(now)
        self.taken += taken
        self.row = self.row + 1 if taken else 0
        if self.row >= self.ROW:
            self.asked = min(self.asked, self.TIMES * self.taken)
