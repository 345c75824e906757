"""Planners with kept state die at every numbered point of a day, at random pairs of points, or by SIGKILL.

Run as `python -m bench.crashes --day examples/quiet-day.json5 --length 6`. Points are the writes, syncs,
renames and sends of the planners in virtual time; each run dies at one of them (`--every` for fewer), then
`--pairs` runs die at two to four, with machines restarting meanwhile. `--kills N` instead kills real planner
processes on loopback N times during bad days. Ends with 1 if a rule broke or a guest was unaccounted for.
"""

import argparse
import json
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import structlog
import trio
from msgspec.structs import replace

from hazelhold.config.day import Day, Trouble, read_day
from hazelhold.rehearse.crashes import play_crashes
from hazelhold.rehearse.run import play


def quiet() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))


def one(day: Day, seed: int, strike: set[int]) -> dict[str, Any]:
    quiet()
    with tempfile.TemporaryDirectory() as folder:
        said = play_crashes(day, seed, Path(folder), strike)
    return {
        "points": said["points"],
        "struck": said["struck"],
        "counts": said["counts"],
        "broken": [f"{b['rule']}: {b['what']}" for b in said["rules_broken"]],
        "unaccounted": said["unaccounted"],
    }


def kills(base: Day, seed: int, count: int) -> dict[str, Any]:
    """A minute on sockets, with `count` SIGKILLs spread over it beside the day's machines' troubles."""
    quiet()
    random = Random(f"kills/{seed}")
    gap = base.length_s * 0.9 / count
    struck = [
        Trouble(
            kind="planner_kill",
            at_s=round(1 + n * gap, 3),
            which=n % base.planners,
            for_s=round(random.uniform(0.1, 0.5), 3),
        )
        for n in range(count)
    ]
    rest = [t for t in base.troubles if not t.kind.startswith("planner_")]
    day = replace(base, troubles=sorted([*rest, *struck], key=lambda t: t.at_s))
    with tempfile.TemporaryDirectory() as folder:
        said = trio.run(play, day, seed, Path(folder), False, None, None, None, (), True)
    return {
        "kills": count,
        "counts": said["counts"],
        "service": said["service"]["service"],
        "broken": [f"{b['rule']}: {b['what']}" for b in said["rules_broken"]],
        "unaccounted": said["unaccounted"],
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--day", type=Path, default=Path("examples/quiet-day.json5"))
    parser.add_argument("--length", type=float, default=6.0)
    parser.add_argument("--rate", type=float, default=8.0)
    parser.add_argument("--planners", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--every", type=int, default=1)
    parser.add_argument("--pairs", type=int, default=0)
    parser.add_argument("--kills", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=7)
    options = parser.parse_args()
    base, began = read_day(options.day), time.monotonic()
    if options.kills:
        found = [
            kills(base, options.seed + n, min(34, options.kills - 34 * n))
            for n in range(-(-options.kills // 34))
        ]
        bad = [r for r in found if r["broken"] or r["unaccounted"]]
        print(json.dumps({"kills": sum(r["kills"] for r in found), "days": found}, indent=1))
        sys.exit(1 if bad else 0)
    day = replace(
        base,
        length_s=options.length,
        planners=options.planners,
        demand=replace(base.demand, rate=options.rate),
        troubles=[t for t in base.troubles if t.at_s < options.length * 0.8],
    )
    first = one(day, options.seed, set())
    points, random = first["points"], Random(options.seed)
    strikes = [{n} for n in range(1, points + 1, options.every)]
    strikes += [
        set(random.sample(range(1, int(points * 1.1)), random.choice([2, 3, 4])))
        for _ in range(options.pairs)
    ]
    wrong: Counter[str] = Counter()
    total: Counter[str] = Counter()
    with ProcessPoolExecutor(options.jobs) as pool:
        for strike, said in zip(
            strikes,
            pool.map(one, [day] * len(strikes), [options.seed] * len(strikes), strikes, chunksize=8),
            strict=True,
        ):
            total.update({k: said["counts"].get(k, 0) for k in ("taken", "placed", "died_with_planner")})
            total["struck"] += len(said["struck"])
            for what in {*said["broken"], *(["unaccounted"] if said["unaccounted"] else [])}:
                wrong[what] += 1
                print(sorted(strike), said["struck"], what, said["unaccounted"][:3])
    print(
        json.dumps(
            {
                "points": points,
                "runs": len(strikes),
                "seconds": round(time.monotonic() - began),
                **total,
                "runs_with_a_broken_rule": dict(wrong),
            }
        )
    )
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
