"""Replacements on the fleet's clock for the network, tickers and recorders of a rehearsal."""

from collections.abc import Callable

import msgspec

from hazelhold.emulate.clock import Clock
from hazelhold.protocol.record import RecordedMessage

SECOND = 1_000_000


class Notes:
    """Replaces a recorder: keeps recorded messages in memory, in one list for the whole fleet."""

    def __init__(self, by: str, role: str, records: list[RecordedMessage] | None) -> None:
        self.by, self.role, self.records = by, role, records

    def note(self, at: int, peer: str, way: str, message: msgspec.Struct | None = None) -> None:
        if self.records is not None:
            body = msgspec.to_builtins(message) if message is not None else None
            self.records.append(RecordedMessage(at, self.by, self.role, peer, way, body))

    def close(self) -> None:
        """Does nothing: no file is open."""


class Net:
    """The clock behind the interface of a network, as the environment uses it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def now(self) -> int:
        return self.clock.now

    def wall(self) -> int:
        return self.clock.now


class Wake:
    """Replaces a ticker: runs `work` when notified and when `due` says so, at most once per `pause` (µs)."""

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
        self.stopped = False

    def notify(self) -> None:
        self._schedule(max(self.clock.now, self.worked_at + self.pause))

    def _schedule(self, when: int) -> None:
        if not self.stopped and (self.at is None or when < self.at):
            self.at = when
            self.clock.at(when, self._wake, when)

    def _wake(self, when: int) -> None:
        if self.stopped or when != self.at:
            return
        self.at, self.worked_at = None, self.clock.now
        now = self.now()
        self.work(now)
        due = self.due(now)
        if due is not None and not self.stopped:
            self._schedule(max(self.clock.now + max(0, due - now), self.clock.now + self.pause))
