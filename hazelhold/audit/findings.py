"""What the audit judges by and what it finds. Plain data; times are microseconds."""

from typing import Any

from msgspec import Struct

from hazelhold.protocol.record import Crossing

FINAL_ANSWERS = ("placed", "turned_back", "broken_off")
RETURN_ALLOWANCE = 1_000_000  # so long a planner that comes back may take for answers that fell due meanwhile
ANSWER_SLACK = (
    50_000  # an answer that was on time at the planner's end may be this late by the ticker's pause
)


class AuditRules(Struct, tag_field="t", tag="rules"):
    """The figures that the rules and the score need; stands in the record, so that it can be judged alone."""

    products: dict[str, dict[str, Any]]
    max_dispatches: int
    drain_grace: int
    confirms_running: bool = False
    weights: tuple[float, float, float, float] = (0.3, 0.4, 0.2, 0.1)
    durable: bool = False  # planners keep their state: one that was killed owes what it had taken


class RuleViolation(Struct):
    """A broken rule: which, for whom, and the crossings that show it."""

    rule: int
    what: str
    guest: str
    planner: str
    machine: str
    at: int
    frames: list[Crossing]


def violation(
    rule: int, what: str, planner: str, frames: list[Crossing], guest: str = "", machine: str = ""
) -> RuleViolation:
    """A breach at the moment of its last crossing."""
    return RuleViolation(rule, what, guest, planner, machine, frames[-1].at, frames)
