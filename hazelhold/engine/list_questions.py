"""The planner's questions to a list service that confirms its list, on one connection.

Each question is numbered. The service answers it after all changes that it had when it read the question, so
the answer confirms the list as of the time of asking. Several questions may be open at once: a slow answer
then renews the lease as often as a quick one, only as of an earlier time. No I/O.
"""

from collections import OrderedDict

MAX_OPEN = 8
"""Questions without an answer; older ones would be answered too late for any lease of their duration."""

ASKING_PART = 0.5
"""Of the lease: the interval between two questions, so that answers within the other half keep it up."""

MIN_INTERVAL = 5_000
"""Microseconds between two questions at least, however short the lease."""

SILENCE_TIMEOUT = 2_000_000
"""Microseconds without any answer to an open question after which the connection is taken for dead."""


class ListQuestions:
    """The open questions. Times are microseconds of the engine's clock.

    `answers`: the service at the other end of the connection answers questions. `asking`: it has also sent a
    listing on this connection, which is what it would confirm.
    """

    def __init__(self) -> None:
        self.answers = self.asking = False
        self.number = 0
        self.open: OrderedDict[int, int] = OrderedDict()  # by number: when it was asked; bounded by MAX_OPEN
        self.ask_at = 0
        self.silent_since = 0

    def connected(self, answers: bool) -> None:
        """A new connection is up, to a service that answers questions or does not."""
        self.end()
        self.answers = answers

    def begin(self, now: int) -> None:
        """A listing was received: questions follow, the first one now."""
        if self.answers and not self.asking:
            self.asking, self.ask_at = True, now

    def end(self) -> None:
        """The connection has ended. No later answer is taken for one to a question asked on it."""
        self.answers = self.asking = False
        self.open.clear()

    def has_room(self) -> bool:
        """Whether one more question may be open."""
        return len(self.open) < MAX_OPEN

    def due(self) -> int | None:
        """When to ask or to give up the connection; None while there is no connection to ask on."""
        if not self.asking:
            return None
        silent_at = self.silent_since + SILENCE_TIMEOUT
        if not self.open:
            return self.ask_at
        return min(self.ask_at, silent_at) if self.has_room() else silent_at

    def is_silent(self, now: int) -> bool:
        """Whether the service has answered nothing for so long that it must be dialled again."""
        return self.asking and bool(self.open) and now >= self.silent_since + SILENCE_TIMEOUT

    def ask(self, now: int, lease: int) -> int | None:
        """The number of the question to ask now, if one is due."""
        if not self.asking or now < self.ask_at or not self.has_room():
            return None
        if not self.open:
            self.silent_since = now
        self.number += 1
        self.open[self.number] = now
        self.ask_at = now + max(MIN_INTERVAL, round(ASKING_PART * lease))
        return self.number

    def answered(self, now: int, number: int) -> int | None:
        """When the answered question was asked; None if it is not open. Answers come in order."""
        asked_at = self.open.get(number)
        if asked_at is None:
            return None
        while next(iter(self.open)) <= number:
            self.open.popitem(last=False)
            if not self.open:
                break
        self.silent_since = now
        return asked_at

    def exclude_pause(self, now: int) -> None:
        """This process was paused: answers that arrived meanwhile were not read yet."""
        self.silent_since = now
