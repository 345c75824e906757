"""The fleet's clock in the places of a rehearsal's net, tickers and recorders."""

from collections.abc import Callable

import msgspec

from hazelhold.emulate.clock import Clock
from hazelhold.protocol.record import RecordedMessage

SECOND = 1_000_000


class Notes:
    """Takes the place of a recorder: crossings kept in memory, with one list for the whole fleet."""

    def __init__(self, by: str, role: str, kept: list[RecordedMessage] | None) -> None:
        self.by, self.role, self.kept = by, role, kept

    def note(self, at: int, peer: str, way: str, message: msgspec.Struct | None = None) -> None:
        if self.kept is not None:
            body = msgspec.to_builtins(message) if message is not None else None
            self.kept.append(RecordedMessage(at, self.by, self.role, peer, way, body))

    def close(self) -> None:
        """Nothing is open."""


class Net:
    """The clock, as the environment asks for it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def now(self) -> int:
        return self.clock.now

    def wall(self) -> int:
        return self.clock.now


class Wake:
    """Takes the place of a ticker: works when it is stirred and when something is due."""

    def __init__(
        self,
        clock: Clock,
        now: Callable[[], int],
        due: Callable[[int], int | None],
        work: Callable[[int], None],
        pause: int = 0,
    ) -> None:
        self.clock, self.now, self.due, self.work, self.pause = clock, now, due, work, pause
        self.at: int | None = None
        self.worked_at = -pause
        self.over = False

    def notify(self) -> None:
        self._when(max(self.clock.now, self.worked_at + self.pause))

    def _when(self, when: int) -> None:
        if not self.over and (self.at is None or when < self.at):
            self.at = when
            self.clock.at(when, self._wake, when)

    def _wake(self, when: int) -> None:
        if self.over or when != self.at:
            return
        self.at, self.worked_at = None, self.clock.now
        now = self.now()
        self.work(now)
        due = self.due(now)
        if due is not None and not self.over:
            self._when(max(self.clock.now + max(0, due - now), self.clock.now + self.pause))
