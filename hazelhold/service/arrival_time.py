"""Upper bounds on how long bytes and connections waited before this process took them.

An owner's deadline runs from when it sent its submission, not from when the submission was read: the process
may have been stopped or starved of CPU in between. No portable call reports when bytes arrived, so the bound
is the last time at which they were certainly not there yet: when the socket was found empty, or when the
event loop polled it without result.
"""

import trio

LATE_WAKE = 0.02
"""Seconds past its timeout at which a wait for I/O counts as one that did not poll the descriptors."""

HEARTBEAT = 0.05
"""Maximum seconds between two polls for I/O; limits what a wait that did not poll can hide."""


class LoopClock(trio.abc.Instrument):
    """Records when the event loop last polled for readable descriptors, in seconds of trio's clock.

    A wait that was interrupted (EINTR) past its timeout returns without polling again, as `epoll.poll` does
    after a SIGCONT: what arrived meanwhile is reported only by the next wait. So a wait that ended late does
    not count as a poll.
    """

    def __init__(self) -> None:
        self.poll_began_at = self.last_poll_at = self.previous_poll_at = trio.current_time()

    def before_io_wait(self, timeout: float) -> None:
        self.poll_began_at = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        now = trio.current_time()
        self.previous_poll_at = self.last_poll_at
        if timeout <= 0:  # polled when called; the process may have been stopped before it returned
            self.last_poll_at = self.poll_began_at
        elif now - self.poll_began_at <= timeout + LATE_WAKE:
            self.last_poll_at = now


_current: trio.lowlevel.RunVar[LoopClock] = trio.lowlevel.RunVar("loop_clock")


def loop_clock() -> LoopClock:
    """Returns the clock of the running loop; the first call installs it."""
    try:
        return _current.get()
    except LookupError:
        clock = LoopClock()
        _current.set(clock)
        trio.lowlevel.add_instrument(clock)
        return clock


async def poll_heartbeat() -> None:
    """Makes the loop poll for I/O at least every `HEARTBEAT` seconds, whatever else it waits for."""
    while True:
        await trio.sleep(HEARTBEAT)


class EmptySince:
    """Tracks when a socket, or the accept queue of a listener, was last known to be empty.

    Call `begin` before each wait for data, `data_arrived` once the wait has returned some, and `emptied` once
    all of it has been read.
    """

    def __init__(self) -> None:
        self.clock = loop_clock()
        self.empty_at = self.began_at = self.arrived_after = trio.current_time()

    def begin(self) -> None:
        self.began_at = trio.current_time()

    def has_just_begun(self) -> bool:
        """Returns whether the wait began within two iterations of the loop: trio delivers data that is ready
        at once one iteration later."""
        return self.began_at >= self.clock.previous_poll_at

    def data_arrived(self) -> None:
        """Sets `arrived_after`: what can be read now arrived after this time."""
        polled_since = self.clock.previous_poll_at >= self.began_at
        self.arrived_after = self.clock.previous_poll_at if polled_since else self.empty_at

    def emptied(self) -> None:
        polled_since = self.clock.previous_poll_at >= self.began_at
        self.empty_at = self.clock.last_poll_at if polled_since else self.began_at

    def waited(self) -> float:
        """Returns the maximum number of seconds for which the last data may have waited."""
        return trio.current_time() - self.arrived_after
