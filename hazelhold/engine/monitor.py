"""Run-time checks that the rules on dispatches and answers hold, independent of the code that applies them.

The monitor tracks each guest by what is sent and what ends. Violations are counted and logged with the
guest's name; no decision depends on them.
"""

from dataclasses import dataclass
from enum import Enum

from hazelhold.interface import RepeatSemantics


class Violation(Enum):
    """A rule whose violation was detected."""

    TWO_OUT = "two outstanding dispatches"
    REPEATED = "a dispatch after one that may have run"
    AFTER_ANSWER = "a dispatch after the answer"
    TOO_MANY = "more dispatches than allowed"
    SECOND_ANSWER = "a second answer"
    LIST_NOT_CURRENT = "a dispatch by a list that is not known to be current"


@dataclass
class GuestAccount:
    """What the monitor has seen of one held guest."""

    effect: RepeatSemantics
    dispatches: int = 0
    outstanding_at: str = ""  # the machine of the outstanding dispatch
    may_have_run: bool = False
    answered: bool = False


class RuleMonitor:
    """Accounts of all held guests."""

    def __init__(self, max_dispatches: int) -> None:
        self.max_dispatches = max_dispatches
        self.accounts: dict[str, GuestAccount] = {}  # by guest; emptied as guests are forgotten

    def dispatch_sent(
        self, guest: str, machine: str, effect: RepeatSemantics, list_holds: bool
    ) -> list[Violation]:
        """Records that the bytes of an offer are about to be written; returns the rules that it violates."""
        account = self.accounts.setdefault(guest, GuestAccount(effect))
        account.dispatches += 1
        found = []
        if account.outstanding_at:
            found.append(Violation.TWO_OUT)
        if account.may_have_run and effect is RepeatSemantics.AT_MOST_ONCE:
            found.append(Violation.REPEATED)
        if account.answered:
            found.append(Violation.AFTER_ANSWER)
        if account.dispatches > self.max_dispatches:
            found.append(Violation.TOO_MANY)
        if not list_holds:
            found.append(Violation.LIST_NOT_CURRENT)
        account.outstanding_at = machine
        return found

    def dispatch_ended(self, guest: str, may_have_run: bool) -> None:
        """Records that the outstanding dispatch of a guest has ended."""
        if account := self.accounts.get(guest):
            account.may_have_run = account.may_have_run or may_have_run
            account.outstanding_at = ""

    def answered(self, guest: str, effect: RepeatSemantics) -> list[Violation]:
        """Records that the final answer is about to be sent; returns the rules that this violates."""
        account = self.accounts.setdefault(guest, GuestAccount(effect))
        if account.answered:
            return [Violation.SECOND_ANSWER]
        account.answered = True
        return []

    def forget(self, guest: str) -> None:
        """Drops the account of a guest that is no longer held."""
        self.accounts.pop(guest, None)
