"""The five rules, judged from what crossed the connections and from nothing else.

The records of planners' own ends tell when a planner knew or did something; those of machines and owners tell
what truly arrived. A planner that was killed owes nothing for what it held. Times are microseconds.
"""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from msgspec import convert

from hazelhold.audit.findings import AuditRules, RuleViolation
from hazelhold.audit.machine_ends import MachineEnds
from hazelhold.audit.planner_run import PlannerRunAudit
from hazelhold.audit.timeline import Timeline
from hazelhold.protocol.record import Crossing, RecordError, read_record

__all__ = ["Audit", "RuleViolation", "AuditRules"]


class Audit:
    """Judges the crossings of one day. RecordError if no rules stand among them."""

    def __init__(self, crossings: Iterable[Crossing]) -> None:
        self.timeline = Timeline(crossings)
        rules = [c.message for c in self.crossings if c.way == "rules"]
        if not rules:
            raise RecordError("no rules stand in this record")
        self.rules = convert(rules[0], AuditRules)
        self.tally: Counter[str] = Counter()
        self.unanswered: list[str] = []

    @classmethod
    def of_folder(cls, folder: Path) -> "Audit":
        """The records (`*.jsonl`) of a folder, or one file."""
        files = sorted(folder.glob("*.jsonl")) if folder.is_dir() else [folder]
        return cls(c for file in files for c in read_record(file))

    @property
    def crossings(self) -> list[Crossing]:
        return self.timeline.crossings

    def violations(self) -> list[RuleViolation]:
        """Every broken rule, in the order of their times."""
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
        """How often what was seen, by name; of the last `breaches`."""
        return dict(sorted(self.tally.items()))

    def unaccounted(self) -> list[str]:
        """Tasks that a planner took and neither answered nor died with; of the last `breaches`."""
        return self.unanswered
