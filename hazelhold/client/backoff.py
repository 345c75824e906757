"""Limits on retries and on refused submissions, and the backoff between reconnects."""

from random import Random


class RetryBudget:
    """Limits retries to a share of the fresh submissions, so that a faulty planner does not get many
    submissions for each guest. Placed guests refill it a little, which shortens the recovery."""

    def __init__(self, share: float, burst: float) -> None:
        self.share, self.burst, self.tokens = share, burst, burst

    def fresh(self) -> None:
        """Counts a new guest."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def served(self) -> None:
        """Counts a placed guest."""
        self.tokens = min(self.burst, self.tokens + self.share / 2)

    def retry(self) -> bool:
        """Whether a retry is allowed; takes it from the budget."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class ReconnectBackoff:
    """Exponential backoff with full jitter: each delay is drawn between zero and a limit that doubles up to a
    cap. It is never shorter than the planner advised, and is drawn over at least the window that the planner
    requested when it closed the connection."""

    def __init__(self, base: int, max_delay: int, random: Random, soon: int = 0) -> None:
        self.base, self.max_delay, self.random, self.soon = base, max_delay, random, soon or max_delay
        self.tries = self.window = 0
        self.usual = 0  # the window from the planner's welcome, for a connection that is lost without a bye

    def succeeded(self, usual: int = 0) -> None:
        """A dial succeeded; `usual` is the window from the planner's welcome, in microseconds."""
        self.tries, self.window, self.usual = 0, 0, usual

    def lost(self, window: int) -> None:
        """An established connection was lost. The window applies to every dial until one succeeds: clients
        whose first dial fails must not crowd into the rest of it."""
        self.window = window or self.usual

    def cap(self, urgent: bool) -> int:
        """The longest delay of a dial: shorter for a client that has guests to submit, but never so short
        that all clients of a large planner together return faster than its window states."""
        return (
            min(self.max_delay, max(self.soon, 2 * (self.window or self.usual))) if urgent else self.max_delay
        )

    def wait(self, advised: int = 0, urgent: bool = False) -> int:
        """Microseconds until the next dial."""
        limit = max(self.window, min(self.cap(urgent), self.base << min(self.tries, 20)))
        self.tries += 1
        if advised:
            return advised + int(self.random.uniform(0, advised * 0.1))
        return int(self.random.uniform(0, limit))


class AdaptiveThrottle:
    """Holds back a client's own submissions while a planner refuses most of them, so that the planner does
    not spend its time on refusals. Over the last seconds (with exponential decay) it lets through, at random,
    about `ACCEPTED_FACTOR` times as many submissions as were accepted, and `FREE_SUBMISSIONS` more: enough to
    detect a recovery at once.

    Protects against overload by many clients. It can hold back a submission that would have been accepted
    while free capacity comes and goes; the client tries that one again until its time is over.
    `MIN_CONSECUTIVE` acceptances in a row end the throttling at once: without that, a busy client whose
    planner had recovered still held back half of its submissions after 40 s.
    """

    ACCEPTED_FACTOR = 2.0  # 1.5 to 3 are usual for such schemes; lower values detect a recovery late
    FREE_SUBMISSIONS = 3.0
    DECAY_TIME = 3 * 1_000_000  # microseconds in which the counts decay to about a third
    MIN_CONSECUTIVE = 8  # if half are refused, this many consecutive acceptances have a chance of 1 in 256

    def __init__(self, random: Random) -> None:
        self.random = random
        self.requested = self.accepted = 0.0
        self.at = self.consecutive = 0

    def _decay(self, now: int) -> None:
        decay = 2.718281828 ** (-(now - self.at) / self.DECAY_TIME)
        self.requested, self.accepted, self.at = self.requested * decay, self.accepted * decay, now

    def allows(self, now: int) -> bool:
        """Whether a submission may be sent; counts it as requested."""
        self._decay(now)
        self.requested += 1
        excess = self.requested - self.ACCEPTED_FACTOR * self.accepted - self.FREE_SUBMISSIONS
        return excess <= 0 or self.random.random() >= excess / self.requested

    def record(self, now: int, accepted: bool) -> None:
        """Counts a submission that the planner accepted, or refused because of overload."""
        self._decay(now)
        self.accepted += accepted
        self.consecutive = self.consecutive + 1 if accepted else 0
        if self.consecutive >= self.MIN_CONSECUTIVE:
            self.requested = min(self.requested, self.ACCEPTED_FACTOR * self.accepted)
