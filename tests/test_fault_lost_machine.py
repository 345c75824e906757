"""A machine is lost without a word and returns as a new process: the ends of its tasks are owed.

The connections of before stay silent, so the planner closes them itself and sees no reset. What was sent to
the process before is over, and has to be released within 8 s of its end, whatever the machine's clock says.
"""

from collections.abc import Callable

import pytest
import trio

from hazelhold.engine.machines import Link
from hazelhold.engine.records import GuestRecord
from hazelhold.engine.restarts import MachineRestarts
from tests.faults.judge import RELEASE_AT_LATEST
from tests.platform_rig import event, host
from tests.test_fault_restart_first_connection import MANY_PLANNERS, Story, tell
from tests.test_review_restarts import Stopped

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


async def lost_after_a_reset(story: Story) -> None:
    """Guests 1 and 2 are over. Before the loss the living process lost a connection, and then reported on
    guest 2: its reset, which is the last one, is no death."""
    await story.place(1)
    await trio.sleep(0.3)
    story.rig.planner.links.peer("a").reset = True
    await story.machine.streams[-1].aclose()
    await trio.sleep(0.3)
    await story.place(2)
    await trio.sleep(2.5)  # the machine reports on both
    story.die()
    await story.at(CLOSED_AS_SILENT)
    story.close_in_order()
    await story.at(2.0)
    await story.place(3)
    await story.at(3.0)
    story.show_restart()
    await story.check(standing=(3,), over=(1, 2))


@pytest.mark.parametrize("behind", [-2.0, 0.0, 5.0, 3600.0])
def test_a_report_after_a_reset_that_was_no_death_proves_nothing_of_the_next_process(
    behind: float, tell: Callable[..., None]
) -> None:
    """Guards against tasks that count as reported on since the end, where the last reset was not the end:
    they were never released."""
    tell(lost_after_a_reset, behind, True, MANY_PLANNERS)


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


RETURNED = 3.0  # seconds after the loss, as in the review's second case
NOTICE = 4.7  # seconds after which the list shows the restart at the latest


async def restart_listed_late(story: Story) -> None:
    """The next process answers at `RETURNED`; the list shows it as late as it may. Counted from the loss,
    the strictest count, guest 1 is released in time, and guest 3, which stands, is not."""
    await lost(story)
    await story.at(RETURNED)
    await story.place(3)
    await story.at(NOTICE)
    story.show_restart()
    await story.check(standing=(3,), over=(1,))


async def restart_listed_late_twice_connected(story: Story) -> None:
    """The next process answers at `RETURNED`, and the planner changes its connection once more."""
    await lost(story)
    await story.at(1.0)
    await story.place(2)
    await story.at(1.6)
    story.close_in_order()
    await story.at(RETURNED)
    await story.place(3)
    await story.at(NOTICE)
    story.show_restart()
    await story.check(standing=(2, 3), over=(1,))


@pytest.mark.parametrize("behind", [0.0, -0.6, -2.0, -3600.0, 1.4])
@pytest.mark.parametrize("tale", [restart_listed_late, restart_listed_late_twice_connected])
def test_the_time_before_a_late_listing_counts_as_time_without_a_report(
    tale: Callable, behind: float, tell: Callable[..., None]
) -> None:
    """Guards against a wait that begins with the news of a restart, whatever time has gone by since the
    end: tasks were released up to 8.7 s after it."""
    tell(tale, behind, True, MANY_PLANNERS)


@pytest.mark.parametrize("news", [3.0, 4.7])
@pytest.mark.parametrize("reports_use", [True, False])
def test_a_silent_connection_at_a_late_listing_is_decided_in_time(
    reports_use: bool, news: float, tell: Callable[..., None]
) -> None:
    """Guards against 4 s of silence that are awaited from the news on: an open connection may have been
    silent since the death."""

    async def tale(story: Story) -> None:
        await story.place(1)
        await trio.sleep(0.5)
        story.die()
        await story.at(news)
        story.show_restart()
        await story.check(over=(1,))

    tell(tale, 0.0, reports_use, MANY_PLANNERS)


@pytest.mark.parametrize("stopped_at", [2.9, 4.65, 5.5, 6.2])
def test_a_planner_that_is_stopped_for_a_second_releases_in_time(
    stopped_at: float, tell: Callable[..., None]
) -> None:
    """Guards against a pause that puts a decision off by more than is left of the 8 s."""

    async def tale(story: Story) -> None:
        await lost(story)
        await story.at(2.0)
        await story.place(2)
        if stopped_at < 4.0:
            await story.at(stopped_at)
            trio.lowlevel.current_clock().jump(1.0)
        await story.at(4.7)
        story.show_restart()
        if stopped_at > 4.0:
            await story.at(stopped_at)
            trio.lowlevel.current_clock().jump(1.0)
        await story.check(standing=(2,), over=(1,))

    tell(tale, -2.0, True, MANY_PLANNERS)


def test_tasks_of_two_losses_within_8_s_are_released(tell: Callable[..., None]) -> None:
    """Guards against a second restart that forgets what waits for a report since the first one."""

    async def tale(story: Story) -> None:
        await lost_once_and_again(story)

    tell(tale, -0.6, True, MANY_PLANNERS)


async def lost_once_and_again(story: Story) -> None:
    await lost(story)
    await story.at(1.5)
    await story.place(2)
    await story.at(2.0)
    story.show_restart()
    first_died_at = story.died_at
    await story.at(2.5)
    story.die()
    story.close_in_order()
    await story.at(1.0)
    await story.place(3)
    await story.at(1.5)
    born = (story.died_at + story.behind) * 1000
    story.rig.bulletin.events.append(event(3, host("a", born=born)))
    await trio.sleep_until(first_died_at + RELEASE_AT_LATEST)
    assert len(story.owner.of(1)) == 2, story.trace
    await story.check(standing=(3,), over=(2,))


def ignore_order(link: Link, sent_at: int) -> bool:
    return link.oldest_reported_here > 0


def test_a_task_that_ended_unheard_before_a_loss_is_released_although_its_machine_is_silent_at_the_news(
    tell: Callable[..., None],
) -> None:
    """Guards against evidence that is awaited past the bound of tasks on earlier connections: its machine is
    silent as the task ends, is lost then, returns, and is silent again as the list shows the restart."""

    async def tale(story: Story) -> None:
        await story.place(1)
        await trio.sleep(1.0)
        story.machine.guests.clear()
        stopped = Stopped(story)
        story.died_at = trio.current_time()
        story.note("guest 1 ends, and nobody is told")
        await story.at(1.5)
        over_at = story.died_at
        story.die()
        story.died_at = over_at
        stopped.go_on()
        await story.at(2.4)
        story.close_in_order()
        await story.at(3.3)
        await story.place(2)
        await story.at(5.0)
        stopped = Stopped(story)
        await story.at(6.7)
        story.show_restart()
        await story.at(8.3)
        stopped.go_on()
        await story.check(standing=(2,), over=(1,))

    tell(tale, 3.2, True, MANY_PLANNERS)


def count_from_the_news(restarts: MachineRestarts, link: Link, record: GuestRecord) -> int:
    return link.restart.listed_at


def count_any_message(link: Link, sent_at: int) -> int:
    return link.heard_at


def count_reports_after_a_reset(restarts: MachineRestarts, link: Link, record: GuestRecord) -> bool:
    return any(each.reset and each.ended_at < record.confirmed_at for each in link.past_connections)


def count_reports_without_an_end(restarts: MachineRestarts, link: Link, record: GuestRecord) -> bool:
    return record.confirmed_at > 0


@pytest.mark.parametrize(
    ("tale", "where", "method", "broken"),
    [
        (lost_and_connected_again, MachineRestarts, "_is_sent_to_new_incarnation", lambda *given: True),
        (lost_and_not_connected_again, MachineRestarts, "_is_sent_to_new_incarnation", lambda *given: True),
        (lost_and_connected_again, Link, "has_what_was_sent_at", ignore_order),
        (unreported_on_an_earlier_connection, Link, "has_what_was_sent_at", lambda *given: False),
        (restart_listed_late, MachineRestarts, "_not_over_at", count_from_the_news),
        (restart_listed_late_twice_connected, Link, "last_heard_on_connection", count_any_message),
        (lost_after_a_reset, MachineRestarts, "_is_of_new_incarnation", count_reports_after_a_reset),
        (lost_and_connected_again, MachineRestarts, "_is_of_new_incarnation", count_reports_without_an_end),
    ],
    ids=[
        "the clock",
        "the clock, no connection",
        "any report",
        "only its own report",
        "a bound from the news",
        "a bound from any message",
        "a report after a reset that was no death",
        "a report where no end is known",
    ],
)
def test_without_a_part_of_the_argument_a_task_is_decided_wrongly(
    tale: Callable,
    where: type,
    method: str,
    broken: Callable,
    tell: Callable[..., None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Broken variants: the clock proves the process, reports prove more or less than they do, or the wait
    is bounded from a later time than the earliest end."""
    tell(tale, -0.6, True, MANY_PLANNERS)
    monkeypatch.setattr(where, method, broken)
    with pytest.RaisesGroup(AssertionError):
        tell(tale, -0.6, True, MANY_PLANNERS)
