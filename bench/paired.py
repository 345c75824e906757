"""Compares two versions of the scheduler on the same emulated days by paired differences.

Run as `python -m bench.paired --against REVISION --days 60`. Days are drawn as the hunt draws them
(fleets, settings, faults; hazelhold/rehearse/hunt.py) and played by the fleet emulator with the present
module and with the earlier one. The output has the mean difference of the service score with its 95 per
cent interval (normal, over days), the number of days that got better and worse, and the rule violations
of both. `--file` reads the other module from a file instead of a revision.
"""

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from pathlib import Path
from statistics import mean, stdev
from typing import Any

import structlog

from bench.earlier_module import earlier, load_module
from hazelhold.config.day import read_day
from hazelhold.emulate.fleet import play_fleet
from hazelhold.engine import engine
from hazelhold.rehearse.hunt import draw

EXAMPLE = Path(__file__).parent.parent / "examples" / "bad-day.json5"


def one(seed: int, length: float, revision: str, file: str) -> dict[str, Any]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    today = engine.Scheduler
    found = {}
    for name, scheduler in (
        ("today", today),
        ("other", (load_module(Path(file).read_text()) if file else earlier(revision)).Scheduler),
    ):
        engine.Scheduler = scheduler
        result = play_fleet(draw(read_day(EXAMPLE), seed, length), seed)
        found[name] = {
            "service": result["service"]["service"],
            "broken": len(result["rules_broken"]),
            "dispatches": result["counts"].get("dispatches", 0),
            "starts": result["counts"].get("starts", 0),
        }
    engine.Scheduler = today
    return {"seed": seed, **found}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--against", default="HEAD")
    parser.add_argument("--file", default="")
    parser.add_argument("--days", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--length", type=float, default=20.0)
    parser.add_argument("--jobs", type=int, default=8)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        seeds, days = range(options.seed, options.seed + options.days), options.days
        rows = list(
            pool.map(one, seeds, [options.length] * days, [options.against] * days, [options.file] * days)
        )
    gaps = [r["today"]["service"] - r["other"]["service"] for r in rows]
    half = 1.96 * stdev(gaps) / sqrt(len(gaps))
    print(
        json.dumps(
            {
                "days": len(rows),
                "today": round(mean(r["today"]["service"] for r in rows), 4),
                "other": round(mean(r["other"]["service"] for r in rows), 4),
                "difference": round(mean(gaps), 4),
                "interval": [round(mean(gaps) - half, 4), round(mean(gaps) + half, 4)],
                "better": sum(g > 0 for g in gaps),
                "worse": sum(g < 0 for g in gaps),
                "dispatches_a_start": {
                    n: round(sum(r[n]["dispatches"] for r in rows) / sum(r[n]["starts"] for r in rows), 3)
                    for n in ("today", "other")
                },
                "broken": {n: sum(r[n]["broken"] for r in rows) for n in ("today", "other")},
            }
        )
    )


if __name__ == "__main__":
    main()
