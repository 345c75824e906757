"""Useful answers under more demand than the machines bear, in virtual time.

Run as `python -m bench.overload --times 1,2,5`. One planner, the quiet example's machines, 25 guests a
second and
multiples of it, 15 s; placed guests and service for each. The machines are models.
"""

import argparse
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import structlog
from msgspec.structs import replace

from hazelhold.config.day import read_day
from hazelhold.rehearse.run import play_virtual

EXAMPLE = Path(__file__).parent.parent / "examples" / "quiet-day.json5"


def one(times: float) -> dict[str, object]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    day = read_day(EXAMPLE)
    day = replace(day, length_s=15.0, planners=1,
                  demand=replace(day.demand, rate=25.0 * times, cancel_share=0.0))
    with tempfile.TemporaryDirectory() as folder:
        said = play_virtual(day, 1, Path(folder))
    counts = said["counts"]
    return {"times": times, "guests": said["service"]["guests"], "placed": counts.get("placed", 0),
            "turned_back": counts.get("turned_back", 0), "service": said["service"]["service"],
            "rules_broken": len(said["rules_broken"])}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--times", default="1,2,5,10")
    times = [float(part) for part in parser.parse_args().times.split(",")]
    with ProcessPoolExecutor(4) as pool:
        for row in pool.map(one, times):
            print(row)


if __name__ == "__main__":
    main()
