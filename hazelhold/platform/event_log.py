"""Writes the engine's events on guests, machines and the list to the log, and its counters periodically.

State changes of the list or a machine, rule violations and guests that did not end well are logged at level
info or above, so that they are present where only that level is stored. Every step of a guest is logged at
level debug.
"""

import logging
from collections import Counter, deque

import structlog
import trio

from hazelhold.engine.engine import Engine
from hazelhold.engine.events import Event, GuestEvent, ListEvent, MachineEvent, RuleEvent

COUNTS_EVERY = 10.0  # seconds
MAX_PENDING_EVENTS = 4096  # events that wait to be written; the oldest are dropped
CLOCK_STEP = 0.5  # seconds by which the wall clock must step to be logged
INFO_LINES_PER_SECOND = 20  # lines on guests; more are counted and logged at level debug only

# Outcomes, as the first word of an event's reason, that an operator looks for.
BAD_OUTCOMES = ("broken_off", "turned_back", "lost", "cut", "error", "overdue", "cut_off")


class EventLog:
    """The event log of one planner. It replaces the engine's event queue by a bounded one."""

    def __init__(self, log: structlog.stdlib.BoundLogger, engine: Engine) -> None:
        self.log, self.engine = log, engine
        engine.events = deque(maxlen=MAX_PENDING_EVENTS)
        self.counted_at = trio.current_time()
        self.clock_step = 0.0  # seconds; the last one that was logged
        self.second, self.written, self.left_out = 0, 0, 0

    def write(self) -> None:
        """Writes all pending events."""
        events = self.engine.events
        while events:
            self._write(events.popleft())

    def _write(self, event: Event) -> None:
        if isinstance(event, GuestEvent):
            self._write_guest_event(event)
        elif isinstance(event, MachineEvent):
            self.log.info("machine_" + event.change, machine=event.machine, reason=event.reason)
        elif isinstance(event, ListEvent):
            change = "list_current" if event.current else "list_in_doubt"
            self.log.info(change, reason=event.reason, age_ms=event.age // 1000, no=self.engine.list_version)
        elif isinstance(event, RuleEvent):
            self.log.error("rule_violated", rule=event.rule, task=event.guest, machine=event.machine)

    def _write_guest_event(self, event: GuestEvent) -> None:
        is_bad = event.change == "held_back" or event.reason.partition(" ")[0] in BAD_OUTCOMES
        write = self.log.info if is_bad and self._take_info_line() else self.log.debug
        if write == self.log.debug and not self.log.is_enabled_for(logging.DEBUG):
            return
        write(
            "task_" + event.change,
            task=event.guest,
            attempt=event.dispatch_number,
            machine=event.machine,
            reason=event.reason.strip(),
        )

    def _take_info_line(self) -> bool:
        """Whether another line at level info is allowed in this second; counts it."""
        second = int(trio.current_time())
        if second != self.second:
            self.second, self.written = second, 0
        self.written += 1
        self.left_out += self.written > INFO_LINES_PER_SECOND
        return self.written <= INFO_LINES_PER_SECOND

    def write_clock_step(self, seconds: float) -> None:
        """Logs a step of the wall clock. The planner's own times do not depend on it, but the timestamps of
        the log lines do."""
        if abs(seconds - self.clock_step) > CLOCK_STEP:
            self.clock_step = seconds
            self.log.warning("wall_clock_stepped", since_start_s=round(seconds, 1))

    def write_counts(self, counts: Counter[str], longest_step: int) -> bool:
        """Logs all counters every COUNTS_EVERY seconds, so that they survive a process that is killed; true
        if it did. `longest_step`: of the engine since then, in microseconds."""
        now = trio.current_time()
        if now - self.counted_at < COUNTS_EVERY:
            return False
        self.counted_at = now
        denials = {denial.name.lower(): number for denial, number in self.engine.denials.items()}
        self.log.info(
            "counts",
            counts=dict(counts),
            denials=denials,
            task_lines_left_out=self.left_out,
            longest_step_ms=longest_step // 1000,
        )
        return True
