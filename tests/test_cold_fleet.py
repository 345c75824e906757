"""Offers of all planners to a cold machine, in virtual time: their sum must keep the machine's budget."""

from collections import deque
from math import sqrt
from random import Random

import pytest

from hazelhold.interface import DecisionKind, DispatchOutcome, OutcomeReason, Submission
from hazelhold.scheduler import Scheduler
from tests.helpers import DEPLOYMENT, MS, entry

WINDOW = DEPLOYMENT.cold_budget_window
BEGUN = 40_000 * MS  # when the machine starts; it is cold for 15 s from then


class Forgetful(Scheduler):
    """Broken variant: a new run uses its share at once, whatever the last one sent."""

    def machines_listed(self, now: int, entries: list, whole: bool) -> None:
        super().machines_listed(now, entries, whole)
        self.no_cold_until = 0


def offers(
    planners: int, budget: float, kind: type[Scheduler], seed: int, steady: bool = False, configured: int = 0
) -> list[int]:
    """Times of offers to a cold machine from planners with random traffic, which learn of it at different
    times. They restart at random, and seven in ten together once. No other machine has free capacity."""
    random = Random(seed)
    deployment = DEPLOYMENT._replace(
        planners=configured or planners, cold_offers=budget, list_is_polled=False, probing=False
    )
    listed_at = [BEGUN + random.randrange(400) * MS for _ in range(planners)]
    schedulers = [kind(random.getrandbits(32), deployment._replace(slot=slot)) for slot in range(planners)]
    for made in schedulers:
        made.machines_listed(0, [entry("warm", room=0.0)], True)
    sent: list[int] = []
    number = 0
    step = 100 * MS if planners < 100 else 250 * MS
    for now in range(BEGUN, BEGUN + 14_000 * MS, step):
        herd = 7 if BEGUN + 1_000 * MS <= now < BEGUN + 1_000 * MS + step else 0
        for slot, made in enumerate(schedulers):
            restarts = slot % 10 < herd or random.random() < 0.02
            if restarts and not steady:  # a new run reads the list
                made = schedulers[slot] = kind(random.getrandbits(32), deployment._replace(slot=slot))
                made.machines_listed(now, [entry("warm", room=0.0)], True)
            if now >= listed_at[slot] and "cold" not in made.machines:
                made.machines_listed(now, [entry("cold", started=BEGUN, room=10_000.0)], False)
            for _ in range(random.randrange(4) if planners < 100 else random.randrange(2)):
                number += 1
                made.guest_submitted(
                    now, Submission(f"g{number}", 0, 0, f"s{number % 7}", 1.0, 2.0, 3_000_000)
                )
            while (decision := made.decide(now)) is not None:
                if decision.kind is not DecisionKind.DISPATCH:
                    continue
                if decision.machine == "cold":  # else to the full machine
                    sent.append(now)
                made.dispatch_accepted(now, decision.guest, 10 * MS)
                made.dispatch_ended(now, decision.guest, DispatchOutcome.COMPLETED, True, OutcomeReason.NONE)
    return sent


def max_offers(sent: list[int]) -> int:
    """The highest number of offers within any budget window."""
    recent: deque[int] = deque()
    found = 0
    for at in sent:
        recent.append(at)
        while recent[0] <= at - WINDOW:
            recent.popleft()
        found = max(found, len(recent))
    return found


@pytest.mark.parametrize(
    "planners,budget", [(1, 20.0), (16, 20.0), (16, 113.0), (30, 12.0), (30, 60.0), (230, 20.0), (230, 400.0)]
)
def test_the_sum_over_all_planners_keeps_a_cold_machine_s_budget_through_restarts(
    planners: int, budget: float
) -> None:
    """The settings allow a budget of N; an excess of two roots of N plus two would be random. None is needed:
    the shares sum to four fifths, and a run that cannot know what the last one sent waits for a window before
    it uses machines that were cold before."""
    sent = offers(planners, budget, Scheduler, planners)
    assert max_offers(sent) <= 0.8 * budget
    # It still gets offers: a fifth of what two windows allow, though a planner restarts every five seconds.
    assert len(sent) >= 0.2 * 0.8 * budget * 14_000 * MS / (2 * WINDOW)
    undisturbed = offers(planners, budget, Scheduler, planners, steady=True)
    assert max_offers(undisturbed) <= 0.8 * budget and len(undisturbed) >= 0.8 * (int(0.8 * budget))


def test_a_configured_number_of_planners_that_is_wrong_by_a_quarter_is_tolerated() -> None:
    """Four fifths of the budget are used, so that a fleet that has grown by a quarter since its settings were
    written keeps within it. Configured for more planners than there are, it sends fewer offers."""
    assert max_offers(offers(20, 60.0, Scheduler, 5, configured=16)) <= 60
    fewer = offers(12, 60.0, Scheduler, 5, steady=True, configured=16)
    assert max_offers(fewer) <= 0.8 * 60 and len(fewer) >= 0.8 * 60 * 12 / 16 - 12


def test_a_run_that_forgets_what_the_last_one_sent_exceeds_the_budget() -> None:
    worst = [max_offers(offers(16, 113.0, Forgetful, seed)) - (113 + 2 * sqrt(113) + 2) for seed in range(3)]
    assert max(worst) > 0
