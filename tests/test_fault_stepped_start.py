"""A machine's process is known by its identity, not by comparing start times of clocks that may be stepped.

A machine starts anew, and by the list it is older than its last process: its wall clock was stepped back, or
the planner's forward. It is cold all the same and gets no more than its budget, counted over any window.
"""

from math import sqrt

import pytest
import trio

from hazelhold import scheduler
from hazelhold.interface import ListedMachine
from tests.helpers import MS, entry
from tests.helpers import scheduler as made_scheduler
from tests.platform_rig import DEPLOYMENT, Rig, event, host, play, set_up

BUDGET = 20.0  # requests that a cold machine bears in a window, by the settings
WARMUP, WINDOW, COLD_FROM = 15.0, 2.0, 0.24  # seconds; the share of its pace at the start
SETTINGS = DEPLOYMENT | {"family-info": DEPLOYMENT["family-info"] | {"fresh-offers": BUDGET}}
RATE = 100  # requests a second
BEFORE = 600.0  # seconds for which the last process has run


def allowed(seconds: float) -> float:
    """The budget of a window that ends so many seconds after the start, of a machine that warms evenly."""
    pace = min(1.0, COLD_FROM + (1 - COLD_FROM) * seconds / WARMUP)
    calls = BUDGET * pace / COLD_FROM
    return calls + (2 * sqrt(calls) + 2 if calls >= 30 else 3 * sqrt(calls) + 3)


def worst_share(offers: list[float], started: float) -> float:
    """The largest part of a window's budget that offers at these times use."""
    return max(
        sum(first <= at <= first + WINDOW for at in offers) / allowed(first + WINDOW - started)
        for first in offers
    )


class Restarted:
    """A planner with one machine that has run for a while, and is listed with a new process then."""

    def __init__(self, machine_step: float = 0.0, planner_step: float = 0.0, gone: bool = False) -> None:
        self.machine_step, self.planner_step, self.gone = machine_step, planner_step, gone
        self.started = 0.0
        self.offers: list[float] = []

    async def play(self, rig: Rig) -> None:
        wall = rig.net.wall
        born = wall() / 1000 - BEFORE * 1000
        rig.bulletin.events.append(event(2, host("a", born=born)))
        await trio.sleep(WARMUP + 5.0)  # the planner knows it as warm
        state = "terminated" if self.gone else "terminating"
        rig.bulletin.events.append(event(3, host("a", state, born=born)))
        await trio.sleep(3.0)
        rig.net.wall = lambda: wall() + round(self.planner_step * 1e6)
        self.started = trio.current_time()
        rig.bulletin.events.append(event(4, host("a", born=wall() / 1000 - self.machine_step * 1000)))
        owner = await rig.owner()
        for guest in range(1, 5 * RATE):
            await owner.say(set_up(guest, figures=f"cores:0.01;memory:0.01;service:{guest % 7}"))
            await trio.sleep(1 / RATE)
        self.offers = [line["at"] for line in rig.machines["a"].offers()]


def share_of_budget(**steps: float) -> float:
    restarted = Restarted(**steps)
    play(restarted.play, machines="a", settings=SETTINGS)
    return worst_share(restarted.offers, restarted.started)


@pytest.mark.parametrize("gone", [False, True])
@pytest.mark.parametrize(
    ("machine_step", "planner_step"),
    [
        (0.0, 0.0),
        (3600.0, 0.0),
        (BEFORE + 100.0, 0.0),
        (5.0, 0.0),
        (-3600.0, 0.0),
        (0.0, 3600.0),
        (0.0, -3600.0),
    ],
)
def test_a_new_process_is_cold_whatever_time_its_start_is_listed_with(
    machine_step: float, planner_step: float, gone: bool
) -> None:
    """Guards against a restart that is missed since its start looks older than the last one: the cold
    machine was sent all there was."""
    share = share_of_budget(machine_step=machine_step, planner_step=planner_step, gone=gone)
    assert 0 < share <= 1.0


def test_if_start_times_identify_processes_a_cold_machine_gets_too_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Broken variant: a restart counts only if its start is later than the last one's."""

    def by_time(new: ListedMachine, known: ListedMachine) -> bool:
        return new.started > known.started

    monkeypatch.setattr(scheduler, "is_restarted", by_time)
    assert share_of_budget(machine_step=3600.0) > 1.0


def listed(started: int, incarnation: int, **changes: object) -> ListedMachine:
    return entry("a", started=started, **changes)._replace(incarnation=incarnation)


def test_the_start_counts_from_when_it_was_seen_if_it_is_listed_as_older_than_the_last() -> None:
    """Guards against a new process that counts as warm from its first moment on."""
    now = 10**9
    made = made_scheduler("a", at=now, ages_by_clock=True)
    made.machines_listed(now, [listed(now - 1000, 7)], False)
    made.machines_listed(now + 20_000 * MS, [listed(now - 5000, 8)], False)
    assert made.machines["a"].cold_at == now + 20_000 * MS == made.machines["a"].listed_since
    made.machines_listed(now + 60_000 * MS, [listed(now + 59_000 * MS, 9)], False)
    assert made.machines["a"].cold_at == now + 59_000 * MS


def test_a_machine_that_leaves_and_returns_with_the_same_process_is_not_cold_again() -> None:
    """Guards against an identity that is lost with the entry that takes a machine off the list."""
    now = 10**9
    made = made_scheduler("a", at=now, ages_by_clock=True)
    made.machines_listed(now, [listed(now, 7)], False)
    made.machines_listed(now + 1, [listed(0, 0, mode=scheduler.MachineMode.GONE)], False)
    made.machines_listed(now + 2, [listed(0, 7)], False)
    assert made.machines["a"].cold_at == now
