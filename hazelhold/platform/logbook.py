"""Writes what the engine tells of tasks, machines and the list to the log, and counters from time to time.

A change of the list's or a machine's state, a broken rule and a task that did not end well are written at
level info, so that they are there when only that level was kept; every step of a task at level debug.
"""

import logging
from collections import Counter, deque

import structlog
import trio

from hazelhold.engine.engine import Engine
from hazelhold.engine.events import Event, GuestEvent, ListEvent, MachineEvent, RuleEvent

COUNTS_EVERY = 10.0  # seconds
EVENTS_KEPT = 4096  # that wait to be written; the oldest fall out
CLOCK_STEP = 0.5  # seconds by which the wall clock must differ for a line
INFO_A_SECOND = 20  # lines on tasks; what is past that is counted and left to level debug

# What became of a task, beside its answer, that an operator looks for.
ENDED_BADLY = ("broken_off", "turned_back", "lost", "cut", "error", "overdue", "cut_off")


class Logbook:
    """One planner's."""

    def __init__(self, log: structlog.stdlib.BoundLogger, engine: Engine) -> None:
        self.log, self.engine = log, engine
        engine.events = deque(maxlen=EVENTS_KEPT)
        self.counted_at = trio.current_time()
        self.clock_step = 0.0  # as it was written last
        self.second, self.written, self.left_out = 0, 0, 0

    def write(self) -> None:
        """Writes all events that wait."""
        events = self.engine.events
        while events:
            self._write(events.popleft())

    def _write(self, event: Event) -> None:
        if isinstance(event, GuestEvent):
            self._task(event)
        elif isinstance(event, MachineEvent):
            self.log.info("machine_" + event.change, machine=event.machine, reason=event.reason)
        elif isinstance(event, ListEvent):
            change = "list_current" if event.current else "list_in_doubt"
            self.log.info(change, reason=event.reason, age_ms=event.age // 1000, no=self.engine.list_version)
        elif isinstance(event, RuleEvent):
            self.log.error("rule_violated", rule=event.rule, task=event.guest, machine=event.machine)

    def _task(self, event: GuestEvent) -> None:
        badly = event.change == "held_back" or event.reason.partition(" ")[0] in ENDED_BADLY
        write = self.log.info if badly and self._room() else self.log.debug
        if write == self.log.debug and not self.log.is_enabled_for(logging.DEBUG):
            return
        write(
            "task_" + event.change,
            task=event.guest,
            attempt=event.dispatch_number,
            machine=event.machine,
            reason=event.reason.strip(),
        )

    def _room(self) -> bool:
        second = int(trio.current_time())
        if second != self.second:
            self.second, self.written = second, 0
        self.written += 1
        self.left_out += self.written > INFO_A_SECOND
        return self.written <= INFO_A_SECOND

    def write_clock_step(self, seconds: float) -> None:
        """Writes a step of the wall clock: no moment here moves with it, but the lines' own times do."""
        if abs(seconds - self.clock_step) > CLOCK_STEP:
            self.clock_step = seconds
            self.log.warning("wall_clock_stepped", since_start_s=round(seconds, 1))

    def write_counts(self, counts: Counter[str]) -> None:
        """Writes all counters every ten seconds, so that a process that is killed leaves them."""
        now = trio.current_time()
        if now - self.counted_at < COUNTS_EVERY:
            return
        self.counted_at = now
        denials = {denial.name.lower(): number for denial, number in self.engine.denials.items()}
        self.log.info("counts", counts=dict(counts), denials=denials, task_lines_left_out=self.left_out)
