"""Measures what each role costs by size, and holds it against the demand of the target.

    python -m bench.capacity                       # everything, at full sizes, into docs/capacity/slopes.json
    python -m bench.capacity --list                # the rows
    python -m bench.capacity --only planner.state  # rows whose id begins so; may be repeated
    python -m bench.capacity --small --output FILE # small sizes, for a check of the command itself
    python -m bench.capacity --take FILE           # rows of another result file (with --only: those)

A row that stands in the file for the same code, seed and sizes is kept, unless `--fresh` is given.
"""

import argparse
import sys
from pathlib import Path

import structlog

from bench.capacity.progress import Progress
from bench.capacity.registry import Measurement, discover
from bench.capacity.run import choose, run, steps, take
from bench.capacity.schema import RESULT_PATH, ResultError


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="python -m bench.capacity",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    made.add_argument("--list", action="store_true", help="names the rows and ends")
    made.add_argument("--only", action="append", default=[], metavar="ROW", help="rows whose id begins so")
    made.add_argument("--fresh", action="store_true", help="measures also what the file has")
    size = made.add_mutually_exclusive_group()
    size.add_argument("--full", action="store_true", help="full sizes; the default")
    size.add_argument("--small", action="store_true", help="small sizes; needs --output")
    made.add_argument("--output", type=Path, help=f"the result file; {RESULT_PATH.name} in docs/capacity")
    made.add_argument("--take", type=Path, metavar="FILE", help="measures nothing; takes the rows of FILE")
    made.add_argument("--note", default="", help="of the machine: kept in the file")
    return made


def show(measurements: list[Measurement]) -> None:
    for each in measurements:
        print(f"{each.id:38} {each.how:12} {each.quantity} ({each.unit}) by {each.by} at {each.sizes}")


def main(given_arguments: list[str] | None = None) -> int:
    arguments = parser()
    given = arguments.parse_args(given_arguments)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    measurements = discover()
    if given.list:
        show(measurements)
        return 0
    if given.small and given.output is None:
        arguments.error("--small needs --output: small sizes are no result")
    if unknown := [each for each in given.only if not any(m.id.startswith(each) for m in measurements)]:
        arguments.error(f"no row's id begins with {unknown[0]!r}; --list names them")
    path = given.output or RESULT_PATH
    try:
        if given.take is not None:
            found = take(measurements, path, given.take, given.only)
        else:
            chosen = choose(measurements, given.only, given.small)
            progress = Progress(sum(steps(each, given.small) for each in chosen))
            found = run(measurements, path, given.only, given.small, given.fresh, given.note, progress)
    except ResultError as wrong:
        print(f"{wrong}; move it away to begin anew", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print(f"\nended early; rows so far are in {path}", file=sys.stderr)
        return 130
    failed = [f"{row.id} at {r.size}: {r.reason}" for row in found.rows for r in row.refused]
    for line in failed:
        print("refused or failed:", line, file=sys.stderr)
    print(f"{len(found.rows)} rows, {len(found.demands)} demands, {len(found.verdicts)} verdicts: {path}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
