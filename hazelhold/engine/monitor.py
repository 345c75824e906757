"""Checks at run time that the rules on attempts and answers hold, apart from what decides on them.

It keeps its own account of each task from what leaves and what ends. What it finds is counted and logged with
the task's name; nothing is decided by it.
"""

from dataclasses import dataclass
from enum import Enum

from hazelhold.interface import RepeatSemantics


class Violation(Enum):
    """A rule that was seen broken."""

    TWO_OUT = "two attempts out"
    REPEATED = "an attempt after one that may have run"
    AFTER_ANSWER = "an attempt after the answer"
    TOO_MANY = "more attempts than allowed"
    SECOND_ANSWER = "a second answer"
    LIST_NOT_CURRENT = "an attempt by a list that is not known to be current"


@dataclass
class Account:
    """What is known of one task in hand."""

    effect: RepeatSemantics
    attempts: int = 0
    out_at: str = ""  # the machine of the attempt that is out
    may_have_run: bool = False
    answered: bool = False


class RuleMonitor:
    """The accounts of all tasks in hand."""

    def __init__(self, most_attempts: int) -> None:
        self.most_attempts = most_attempts
        self.accounts: dict[str, Account] = {}  # by task; emptied as tasks are forgotten

    def attempt_leaves(
        self, task: str, machine: str, effect: RepeatSemantics, list_holds: bool
    ) -> list[Violation]:
        """The bytes of an offer are about to leave."""
        account = self.accounts.setdefault(task, Account(effect))
        account.attempts += 1
        found = []
        if account.out_at:
            found.append(Violation.TWO_OUT)
        if account.may_have_run and effect is RepeatSemantics.AT_MOST_ONCE:
            found.append(Violation.REPEATED)
        if account.answered:
            found.append(Violation.AFTER_ANSWER)
        if account.attempts > self.most_attempts:
            found.append(Violation.TOO_MANY)
        if not list_holds:
            found.append(Violation.LIST_NOT_CURRENT)
        account.out_at = machine
        return found

    def attempt_ended(self, task: str, may_have_run: bool) -> None:
        if account := self.accounts.get(task):
            account.may_have_run = account.may_have_run or may_have_run
            account.out_at = ""

    def answered(self, task: str, effect: RepeatSemantics) -> list[Violation]:
        """The final answer is about to leave."""
        account = self.accounts.setdefault(task, Account(effect))
        if account.answered:
            return [Violation.SECOND_ANSWER]
        account.answered = True
        return []

    def forget(self, task: str) -> None:
        self.accounts.pop(task, None)
