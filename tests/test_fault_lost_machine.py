"""A machine is lost without a word and returns as a new process: the ends of its tasks are owed.

The connections of before stay silent, so the planner closes them itself and sees no reset. What was sent to
the process before is over, and has to be released within 8 s of its end, whatever the machine's clock says.
"""

from collections.abc import Callable

import pytest
import trio

from hazelhold.engine.machines import Link
from hazelhold.engine.restarts import MachineRestarts
from tests.test_fault_restart_first_connection import MANY_PLANNERS, Story, tell

__all__ = ["tell"]
STEPPED_BACK = [-0.6, -2.0, -5.0]  # seconds from the death to the next start by the machine's clock
CLOSED_AS_SILENT = 0.9  # seconds after the loss


async def lost(story: Story) -> None:
    """Guest 1 is placed, then its machine is lost; the planner closes the silent connection."""
    await story.place(1)
    await trio.sleep(0.5)
    story.die()
    await story.at(CLOSED_AS_SILENT)
    story.close_in_order()


async def lost_and_connected_again(story: Story) -> None:
    """Guest 1 is over; guest 2 is placed on the next process before the list shows the restart."""
    await lost(story)
    await story.at(2.0)
    await story.place(2)
    await story.at(3.0)
    story.show_restart()
    await story.check(standing=(2,), over=(1,))


async def lost_and_not_connected_again(story: Story) -> None:
    """Guest 1 is over; no connection is open when the list shows the restart."""
    await lost(story)
    await story.at(3.0)
    story.show_restart()
    await story.check(over=(1,))


@pytest.mark.parametrize("behind", STEPPED_BACK)
@pytest.mark.parametrize("tale", [lost_and_connected_again, lost_and_not_connected_again])
def test_tasks_of_a_lost_machine_are_released_although_its_clock_was_stepped_back(
    tale: Callable, behind: float, tell: Callable[..., None]
) -> None:
    """Guards against tasks that are passed over with no check, since by the clock they are of the new
    process: they were never released."""
    tell(tale, behind, True, MANY_PLANNERS)


async def unreported_on_an_earlier_connection(story: Story) -> None:
    """Guests 1 and 2 are placed on the new process, which reports on the first alone; both stand."""
    story.die()
    await story.at(0.2)
    await story.place(1)
    await story.place(2)
    del story.machine.guests[f"{2:016x}"]
    await story.at(0.6)
    story.close_in_order()
    await story.at(1.3)
    await story.place(3)
    await story.at(1.5)
    story.show_restart()
    await story.check(standing=(1, 2, 3))


@pytest.mark.parametrize("behind", [0.0, -0.6, 1.4])
def test_a_report_on_an_older_task_shows_that_the_younger_ones_stand(
    behind: float, tell: Callable[..., None]
) -> None:
    """Guards against the release of a task that stands and of which its machine says nothing for a while."""
    tell(unreported_on_an_earlier_connection, behind, True, MANY_PLANNERS)


def ignore_order(link: Link, sent_at: int) -> bool:
    return link.oldest_reported_here > 0


@pytest.mark.parametrize(
    ("tale", "where", "method", "broken"),
    [
        (lost_and_connected_again, MachineRestarts, "_is_sent_to_new_incarnation", lambda *given: True),
        (lost_and_not_connected_again, MachineRestarts, "_is_sent_to_new_incarnation", lambda *given: True),
        (lost_and_connected_again, Link, "has_what_was_sent_at", ignore_order),
        (unreported_on_an_earlier_connection, Link, "has_what_was_sent_at", lambda *given: False),
    ],
    ids=["the clock", "the clock, no connection", "any report", "only its own report"],
)
def test_without_a_part_of_the_argument_a_task_is_decided_wrongly(
    tale: Callable,
    where: type,
    method: str,
    broken: Callable,
    tell: Callable[..., None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Broken variants: the clock proves the process, or reports prove more or less than they do."""
    tell(tale, -0.6, True, MANY_PLANNERS)
    monkeypatch.setattr(where, method, broken)
    with pytest.RaisesGroup(AssertionError):
        tell(tale, -0.6, True, MANY_PLANNERS)
