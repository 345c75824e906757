"""The parameters and the findings of the audit. Plain data; times are in microseconds."""

from typing import Any

from msgspec import Struct

from hazelhold.protocol.record import RecordedMessage

FINAL_ANSWERS = ("placed", "turned_back", "broken_off")
# The time that a planner has after a restart or pause for the answers that fell due meanwhile.
RETURN_ALLOWANCE = 1_000_000
# An answer that the planner decided on time may be sent this late because of the ticker's interval.
ANSWER_SLACK = 50_000


class AuditRules(Struct, tag_field="t", tag="rules"):
    """The parameters of the rules and the score. Stored in the record, which makes it self-contained."""

    products: dict[str, dict[str, Any]]
    max_dispatches: int
    drain_grace: int
    confirms_running: bool = False
    weights: tuple[float, float, float, float] = (0.3, 0.4, 0.2, 0.1)
    durable: bool = False  # planners persist their state: after a kill they still owe answers


class RuleViolation(Struct):
    """A violation of a rule, with the recorded messages that prove it."""

    rule: int
    what: str
    guest: str
    planner: str
    machine: str
    at: int
    frames: list[RecordedMessage]


def violation(
    rule: int, what: str, planner: str, frames: list[RecordedMessage], guest: str = "", machine: str = ""
) -> RuleViolation:
    """A violation at the time of the last of its frames."""
    return RuleViolation(rule, what, guest, planner, machine, frames[-1].at, frames)
