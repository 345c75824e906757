"""Checks the five rules from recorded messages alone.

The records of planners show when a planner knew or did something; those of machines and owners show what
really arrived. A planner that was killed owes no answers for the guests that it held, unless its state is
durable. Times are in microseconds.
"""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from msgspec import convert

from hazelhold.audit.findings import AuditRules, RuleViolation
from hazelhold.audit.machine_ends import MachineEnds
from hazelhold.audit.planner_run import PlannerRunAudit
from hazelhold.audit.timeline import Timeline
from hazelhold.protocol.record import RecordedMessage, RecordError, read_record

__all__ = ["Audit", "RuleViolation", "AuditRules"]


class Audit:
    """Checks the recorded messages of one day. Raises RecordError if they contain no rules."""

    def __init__(self, crossings: Iterable[RecordedMessage]) -> None:
        self.timeline = Timeline(crossings)
        rules = [c.message for c in self.crossings if c.way == "rules"]
        if not rules:
            raise RecordError("no rules in this record")
        self.rules = convert(rules[0], AuditRules)
        self.tally: Counter[str] = Counter()
        self.unanswered: list[str] = []

    @classmethod
    def of_folder(cls, folder: Path) -> "Audit":
        """Reads the records (`*.jsonl`) of a folder, or one file."""
        files = sorted(folder.glob("*.jsonl")) if folder.is_dir() else [folder]
        return cls(c for file in files for c in read_record(file))

    @property
    def crossings(self) -> list[RecordedMessage]:
        """The recorded messages, by time."""
        return self.timeline.crossings

    def violations(self) -> list[RuleViolation]:
        """Every violation of the rules, by time."""
        found: list[RuleViolation] = []
        self.tally, self.unanswered = Counter(), []
        for (planner, _), crossings in self.timeline.planner_runs(self.rules.durable).items():
            run = PlannerRunAudit(planner, self.rules, self.timeline)
            run.evaluate(crossings)
            found += run.found
            self.tally += run.tally
            self.unanswered += run.unanswered
        machines = MachineEnds(self.rules)
        machines.evaluate(self.crossings)
        self.tally += machines.tally
        return sorted([*found, *machines.found], key=lambda b: b.at)

    def counts(self) -> dict[str, int]:
        """Counts of events by name, from the last call of `violations`."""
        return dict(sorted(self.tally.items()))

    def unaccounted(self) -> list[str]:
        """Submissions neither answered nor lost with their planner, from the last call of `violations`."""
        return self.unanswered
