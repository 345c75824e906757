"""How long bytes and connections may have waited before this process took them.

A client's time runs from when it sent its request, not from when the request was read: the process may have
been stopped or starved meanwhile. No portable call tells when bytes came, so the bound is the last moment at
which they were surely not there: when the socket was found empty, or when the loop waited for it in vain.
"""

import trio

LATE_WAKE = 0.02
"""Seconds past its end at which a wait for I/O is taken for one that did not look."""

HEARTBEAT = 0.05
"""Seconds between looks for I/O at the most, so that a wait which did not look hides little."""


class LoopClock(trio.abc.Instrument):
    """Notes when the loop looked for what can be read. Seconds of trio's clock.

    A wait that was interrupted (EINTR) past its end returns without another look, as `epoll.poll` does after
    a SIGCONT: what came meanwhile is reported by the next wait only. So a wait that ended late is no look.
    """

    def __init__(self) -> None:
        self.poll_began_at = self.last_poll_at = self.previous_poll_at = trio.current_time()

    def before_io_wait(self, timeout: float) -> None:
        self.poll_began_at = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        now = trio.current_time()
        self.previous_poll_at = self.last_poll_at
        if timeout <= 0:  # it looked at once, and may have been stopped before it returned
            self.last_poll_at = self.poll_began_at
        elif now - self.poll_began_at <= timeout + LATE_WAKE:
            self.last_poll_at = now


_current: trio.lowlevel.RunVar[LoopClock] = trio.lowlevel.RunVar("loop_clock")


def loop_clock() -> LoopClock:
    """The clock of the running loop; installed by the first call."""
    try:
        return _current.get()
    except LookupError:
        clock = LoopClock()
        _current.set(clock)
        trio.lowlevel.add_instrument(clock)
        return clock


async def poll_heartbeat() -> None:
    """Lets the loop look for I/O now and then, whatever else it waits for."""
    while True:
        await trio.sleep(HEARTBEAT)


class EmptySince:
    """When a socket, or the queue of a listener, was last known to hold nothing.

    `begin` is called before each wait for it, `came` once the wait has brought something, `emptied` once that
    has been taken out whole.
    """

    def __init__(self) -> None:
        self.clock = loop_clock()
        self.empty_at = self.began_at = self.arrived_after = trio.current_time()

    def begin(self) -> None:
        self.began_at = trio.current_time()

    def has_just_begun(self) -> bool:
        """Whether the wait began within two turns of the loop: trio hands on what it reads at once a turn
        later."""
        return self.began_at >= self.clock.previous_poll_at

    def data_arrived(self) -> None:
        """Sets `came_after`: what can be taken now came after this moment."""
        looked_since = self.clock.previous_poll_at >= self.began_at
        self.arrived_after = self.clock.previous_poll_at if looked_since else self.empty_at

    def emptied(self) -> None:
        looked_since = self.clock.previous_poll_at >= self.began_at
        self.empty_at = self.clock.last_poll_at if looked_since else self.began_at

    def waited(self) -> float:
        """Seconds for which what came last may have waited at the most."""
        return trio.current_time() - self.arrived_after
