"""Lookups in the whole record: runs of planners, incarnations of machines, submissions of owners."""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from hazelhold.audit.findings import RETURN_ALLOWANCE
from hazelhold.protocol.record import RecordedMessage

PlannerRunKey = tuple[str, int]  # a planner's name and the number of its run
PLANNER_DOWN = ("planner_kill", "planner_stop", "planner_pause")
PLANNER_BACK = ("planner_start", "planner_resume")


class ToldMode(NamedTuple):
    """A mode of a machine, and the message by which the list service first told any planner of it."""

    mode: str
    since: RecordedMessage


class Timeline:
    """The recorded messages of one day by time, with lookup tables that are built on first use."""

    def __init__(self, crossings: Iterable[RecordedMessage]) -> None:
        self.crossings = sorted(crossings, key=lambda c: c.at)
        self._incarnation_starts: dict[str, list[int]] | None = None
        self._told_modes: dict[str, list[ToldMode]] | None = None
        self._newest_submissions: dict[str, int] | None = None

    @property
    def ends_at(self) -> int:
        """Time of the last record."""
        return self.crossings[-1].at

    def planner_runs(self, durable: bool) -> dict[PlannerRunKey, list[RecordedMessage]]:
        """The planners' own records by run. With durable state, a planner's restarts count as one run."""
        number: Counter[str] = Counter()
        runs: dict[PlannerRunKey, list[RecordedMessage]] = defaultdict(list)
        for c in self.crossings:
            if c.role == "planner":
                runs[c.by, number[c.by]].append(c)
            elif c.role != "rehearsal":
                continue
            elif c.way in ("planner_kill", "planner_stop"):
                runs[c.peer, number[c.peer]].append(c)
                if c.way == "planner_kill" and not durable:
                    number[c.peer] += 1
            elif c.way == "planner_start":
                stopped = any(e.way == "planner_stop" for e in runs.get((c.peer, number[c.peer]), ()))
                number[c.peer] += stopped and not durable
                runs[c.peer, number[c.peer]].append(c)
            elif c.way in ("planner_pause", "planner_resume"):
                runs[c.peer, number[c.peer]].append(c)
        return runs

    def machine_incarnation(self, machine: str, at: int) -> int:
        """The number of starts of the machine up to time `at`."""
        if self._incarnation_starts is None:
            self._incarnation_starts = defaultdict(list)
            for c in self.crossings:
                if c.role == "machine" and c.way == "fact" and c.message["what"] == "up":
                    self._incarnation_starts[c.by].append(c.at)
        return sum(start <= at for start in self._incarnation_starts.get(machine, ()))

    def told_mode(self, machine: str, at: int) -> ToldMode | None:
        """The mode that the list service had told planners of, last at `at`; None if it had told none."""
        if self._told_modes is None:
            self._told_modes = defaultdict(list)
            for c in self.crossings:
                if c.role == "list" and c.way == "out" and (c.message or {}).get("t") == "listing":
                    self._add_told_modes(c)
        modes = self._told_modes.get(machine, ())
        number = bisect_right(modes, at, key=lambda told: told.since.at)
        return modes[number - 1] if number else None

    def _add_told_modes(self, c: RecordedMessage) -> None:
        told = {entry["machine"]: entry["mode"] for entry in c.message.get("entries", [])}
        if c.message.get("whole"):
            told = dict.fromkeys(self._told_modes, "gone") | told
        for machine, mode in told.items():
            modes = self._told_modes[machine]
            if not modes or modes[-1].mode != mode:
                modes.append(ToldMode(mode, c))

    def newest_submission(self, guest: str) -> int:
        """The highest submission number that an owner used for the guest."""
        if self._newest_submissions is None:
            self._newest_submissions = {}
            for c in self.crossings:
                if c.role == "owner" and c.way == "out" and (c.message or {}).get("t") == "submit":
                    name, submission = c.message["guest"], c.message.get("ask", 0)
                    self._newest_submissions[name] = max(submission, self._newest_submissions.get(name, 0))
        return self._newest_submissions.get(guest, 0)

    def owner_returned(self, guest: str, planner: str, after: int) -> bool:
        """Whether the planner received a message on the guest from its owner after this time."""
        return any(
            c.at > after
            and c.role == "planner"
            and c.by == planner
            and c.way == "in"
            and (c.message or {}).get("guest") == guest
            and c.message["t"] in ("query", "submit", "cancel")
            for c in self.crossings
        )


class Outages:
    """The intervals in which one planner was paused or, with durable state, down.

    A planner that goes down again within RETURN_ALLOWANCE counts as down throughout.
    """

    def __init__(self, crossings: list[RecordedMessage]) -> None:
        self.deaths = [c.at for c in crossings if c.way in ("planner_kill", "planner_stop")]
        self.intervals: list[tuple[int, int]] = []
        down_since = 0
        for c in crossings:
            if c.way in PLANNER_DOWN:
                down_since = down_since or c.at
            elif c.way in PLANNER_BACK and down_since:
                repeated = self.intervals and down_since - self.intervals[-1][1] < RETURN_ALLOWANCE
                self.intervals.append((self.intervals.pop()[0] if repeated else down_since, c.at))
                down_since = 0

    def excuse(self, due: int, at: int) -> bool:
        """Whether an answer due at `due` came late, at `at`, only because of an interval."""
        return any(
            start <= due <= back + RETURN_ALLOWANCE and at <= max(due, back) + RETURN_ALLOWANCE
            for start, back in self.intervals
        )
