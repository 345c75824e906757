"""How much placing is done at once, and whose guests go first when not all of it can be done in time.

The work of one step is counted in machines that are considered for a guest, so that it is bounded for any
number of guests and machines. A planner that keeps up tries guests by their value. One that falls behind
takes turns among owners instead (start-time fair queueing), so that an owner with many guests delays its own.
"""

import math
from collections.abc import Sequence

BEHIND_AFTER = 50_000
"""Microseconds of steps that ended with work left, after which the planner counts as behind."""


class OwnerTurns:
    """The order of service among owners: each gets one turn for each guest that is tried."""

    def __init__(self) -> None:
        self.virtual_time = 0  # the turn that was served last
        self.next_turn: dict[str, int] = {}  # by owner; those in the past are removed by `assign`

    def assign(self, owners: Sequence[str]) -> list[int]:
        """The turns of guests, given their owners in the order in which each owner's guests are to be tried.

        An owner that has had none lately starts with the others' present turn: it neither waits for what they
        had before, nor is served alone until it has had as much.
        """
        self.next_turn = {o: turn for o, turn in self.next_turn.items() if turn > self.virtual_time}
        planned = dict(self.next_turn)
        turns = []
        for owner in owners:
            turn = planned.get(owner, self.virtual_time)
            turns.append(turn)
            planned[owner] = turn + 1
        return turns

    def served(self, owner: str) -> None:
        """A guest of this owner was tried."""
        turn = max(self.virtual_time, self.next_turn.get(owner, 0))
        self.virtual_time = turn
        self.next_turn[owner] = turn + 1


class PlacementPace:
    """The work of the present step, and whether the planner is behind.

    A host that sets limits begins each step; without one there is a single step without limits.
    `work_limit`: machines considered in one step, from which on it ends. `answers_limit`: final answers in
    one step, before guests are placed.
    """

    def __init__(self, work_limit: float = math.inf, answers_limit: float = math.inf) -> None:
        self.work_limit, self.answers_limit = work_limit, answers_limit
        self.work = self.answers = 0  # in this step
        self.unfinished_since = 0  # microseconds; the first of the steps in a row that left work; 0: none
        self.behind = False
        self.turns = OwnerTurns()
        # By priority: upper bounds of the cores and memory that any machine has for a guest; emptied with
        # each timestamp.
        self.largest_room: dict[int, tuple[float, float]] = {}

    def begin_step(self, now: int, is_unfinished: bool) -> None:
        """The host has read its peers since the last step; `is_unfinished`: that one left decisions to make.
        `now` in microseconds."""
        self.unfinished_since = (self.unfinished_since or now) if is_unfinished else 0
        self.behind = is_unfinished and now - self.unfinished_since > BEHIND_AFTER
        self.work = self.answers = 0

    def has_reached_limit(self) -> bool:
        """Whether the step left work, or may have left some."""
        return not (self.may_place() and self.may_answer())

    def may_place(self) -> bool:
        """Whether another guest may be tried before the host has read its peers."""
        return self.work < self.work_limit

    def may_answer(self) -> bool:
        """Whether another final answer may go before the guests that are to be placed."""
        return self.answers < self.answers_limit
