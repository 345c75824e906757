"""Compares the scheduler with an earlier version of itself: the decisions and the speed.

Run as `python -m bench.module --against REVISION`. The earlier module is read from the repository's
history (see bench/earlier_module.py) and runs in the same process. First both are driven through
generated days (submissions, answers, refusals, losses, cancels, reports, failing disks) with the same
seeds and compared decision by decision; then bench.throughput's plain loop runs with each in turn at
several sizes, and the best rounds are compared.
"""

import argparse
import json
from random import Random
from types import ModuleType
from typing import Any

from bench import throughput
from bench.earlier_module import earlier
from hazelhold import scheduler as today
from hazelhold.interface import (
    Decision,
    DecisionKind,
    DispatchOutcome,
    ListedMachine,
    Load,
    MachineMode,
    OutcomeReason,
    Submission,
)

SECOND, MS = 1_000_000, 1000


def day(module: ModuleType, seed: int, steps: int, machines: int) -> list[Decision]:
    """All decisions of one generated day; its events depend on the seed and on earlier decisions."""
    plain = throughput.deployment_settings(throughput.planner_config())
    kinds = (
        (today.RepeatSemantics.IDEMPOTENT, today.Scope.ALL, 1.0, today.Scope.NOWHERE),
        (today.RepeatSemantics.AT_MOST_ONCE, today.Scope.ALL, 2.0, today.Scope.MACHINE),
        (today.RepeatSemantics.DEDUPLICATED, today.Scope.CELL, 1.5, today.Scope.ZONE),
    )
    products = tuple(
        plain.guest_classes[0]._replace(
            repeat=repeat,
            dedup_scope=dedup_scope,
            dedup_window=4 * SECOND,
            start_target=SECOND,
            value=value,
            spread_scope=spread_scope,
            spread_limit=3,
        )
        for repeat, dedup_scope, value, spread_scope in kinds
    )
    random = Random(seed)
    deployment_settings = plain._replace(
        guest_classes=products,
        probing=random.random() < 0.5,
        max_dispatches=random.choice([2, 4]),
        machine_kinds=(today.interface.MachineKind(24.0, 40.0),),
        cores_multiple=2.5,
        memory_multiple=1.5,
        list_is_polled=random.random() < 0.5,
        planners=random.choice([1, 3, 40]),
        confirms_when_running=random.random() < 0.5,
    )
    made = module.Scheduler(seed, deployment_settings)
    names, found, now = 0, [], SECOND
    entries = [
        ListedMachine(
            f"m{n}", MachineMode.READY, random.choice([0, SECOND // 2]), n % 2, n // 4, 0, 24.0, 40.0
        )
        for n in range(machines)
    ]
    made.machines_listed(now, entries, True)
    for _ in range(steps):
        now += int(random.expovariate(1 / (20 * MS)))
        what = random.random()
        out = [n for n, g in made.guests.items() if g.machine]
        if what < 0.45:
            for _ in range(random.choice([1, 1, 5])):
                names += 1
                made.guest_submitted(
                    now,
                    Submission(
                        f"g{names}",
                        names % 3,
                        0,
                        f"s{random.randrange(9)}",
                        random.choice([0.5, 2.0, 6.0]),
                        random.choice([1.0, 3.0, 9.0]),
                        random.choice([300, 2000, 5000]) * MS,
                    ),
                )
        elif what < 0.9 and out:
            _random_event(made, now, random.choice(out), random)
        elif what < 0.93 and made.guests:
            made.guest_cancelled(now, random.choice(list(made.guests)))
        elif what < 0.97:
            made.machine_reported(
                now,
                f"m{random.randrange(machines)}",
                Load(random.uniform(0, 24), random.uniform(0, 40), None),
            )
        elif what < 0.98:
            made.machines_listed(
                now,
                [
                    e._replace(mode=random.choice(list(MachineMode)), free_cores=random.uniform(0, 24))
                    for e in entries
                    if random.random() < 0.3
                ],
                False,
            )
        elif what < 0.985:
            made.persistence_changed(now, random.random() < 0.5)
        else:
            made.probe_answered(now, f"m{random.randrange(machines)}", random.random() < 0.5)
        while (decision := made.decide(now)) is not None:
            found.append(decision)
            if decision.kind in (DecisionKind.REFUSE, DecisionKind.FAIL) and decision.guest in made.guests:
                made.dispatch_ended(now, decision.guest, DispatchOutcome.TIMED_OUT, True, OutcomeReason.NONE)
        found.append(Decision(DecisionKind.PROBE, "next", str(made.next_decision_at(now))))
    return found


def _random_event(made: Any, now: int, name: str, random: Random) -> None:  # noqa: ANN401 - a Scheduler of either version
    guest = made.guests[name]
    if not guest.placed and random.random() < 0.6:
        made.dispatch_accepted(now, name, random.randrange(5, 400) * MS)
        made.guest_started(now, name)
        made.cores_used(now, name, random.random() * guest.submission.cores)
        made.memory_used(now, name, random.random() * guest.submission.memory)
    else:
        outcome = random.choice(
            [
                DispatchOutcome.REFUSED,
                DispatchOutcome.REFUSED,
                DispatchOutcome.TIMED_OUT,
                DispatchOutcome.INTERRUPTED,
                DispatchOutcome.UNREACHABLE,
                DispatchOutcome.COMPLETED,
                DispatchOutcome.ERROR,
            ]
        )
        made.dispatch_ended(now, name, outcome, False, random.choice(list(OutcomeReason)))


def compare(old: ModuleType, seeds: int, steps: int) -> dict[str, Any]:
    same, total, first = 0, 0, None
    for seed in range(seeds):
        machines = Random(seed).choice([3, 9, 30])
        there, here = day(old, seed, steps, machines), day(today, seed, steps, machines)
        total += len(there)
        if there == here:
            same += 1
        elif first is None:
            at = next((n for n, pair in enumerate(zip(there, here, strict=False)) if pair[0] != pair[1]), -1)
            first = {"seed": seed, "at": at, "earlier": repr(there[at]), "today": repr(here[at])}
    return {"days": seeds, "the_same": same, "decisions": total, "first_difference": first}


def speed(
    old: ModuleType, machines: int, running: int, guests: int, rounds: int, planners: int
) -> dict[str, Any]:
    best = {"earlier": 0.0, "today": 0.0}
    p99 = dict.fromkeys(best, 1e12)
    for _ in range(rounds):
        for name, module in (("earlier", old), ("today", today)):
            throughput.Scheduler = module.Scheduler
            result = throughput.alone(machines, running, guests, planners)
            best[name] = max(best[name], result["guests_a_second"])
            p99[name] = min(p99[name], result["p99_us"])
    throughput.Scheduler = today.Scheduler
    return {
        "machines": machines,
        "running": running,
        "planners": planners,
        "guests_a_second": {k: round(v) for k, v in best.items()},
        "p99_us": p99,
        "times_faster": round(best["today"] / best["earlier"], 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", default="HEAD")
    parser.add_argument("--days", type=int, default=60)
    parser.add_argument("--steps", type=int, default=600)
    parser.add_argument(
        "--sizes",
        default="14:450:800,85:2600:300,400:800:300:16,1024:800:200:230",
        help="machines:running:guests, and the number of planners if it is not 1",
    )
    parser.add_argument("--rounds", type=int, default=2)
    options = parser.parse_args()
    old = earlier(options.against)
    if options.days:
        print(json.dumps(compare(old, options.days, options.steps)), flush=True)
    for size in options.sizes.split(","):
        if size:
            machines, running, guests, planners = (int(part) for part in f"{size}:1".split(":")[:4])
            print(json.dumps(speed(old, machines, running, guests, options.rounds, planners)), flush=True)


if __name__ == "__main__":
    main()
