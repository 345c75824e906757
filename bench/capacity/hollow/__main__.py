"""Runs one trial and prints its figures.

python -m bench.capacity.hollow --workers 456 --planners 3 [--told 3] [--rate 20] [--json FILE]
"""

import argparse
import signal
import sys
from pathlib import Path

import msgspec

from bench.capacity.hollow.course import run
from bench.capacity.hollow.proc import Use
from bench.capacity.hollow.results import Phase, Result, Trial


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, required=True)
    parser.add_argument("--planners", type=int, default=3)
    parser.add_argument("--told", type=int, default=0, help="planners that the planners' file names")
    parser.add_argument("--rate", type=float, default=20.0, help="tasks a second, each planner")
    parser.add_argument("--default-limits", action="store_true", help="keep the example's limits")
    parser.add_argument("--start-only", action="store_true")
    parser.add_argument("--json", type=Path)
    given = parser.parse_args()
    trial = Trial(
        workers=given.workers,
        planners=given.planners,
        told_planners=given.told or given.planners,
        rate=given.rate,
        start_only=given.start_only,
    )
    if given.default_limits:
        trial = msgspec.structs.replace(trial, connect_ms=0.0, reconnect_ms=0.0)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))  # what was started is ended then, too
    result = run(trial)
    if given.json:
        given.json.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    show(result)


def show(result: Result) -> None:
    trial = result.trial
    print(
        f"{trial.workers} workers, {len(result.planners)} planners (told {trial.told_planners}); "
        f"load average {result.load_average:.1f}; hollow side {result.hollow_cpu:.1f} s of processor time, "
        f"{result.hollow_resident / 1e6:.0f} MB; tasks {result.submitted} submitted, {result.placed} placed, "
        f"{result.ended} ended, {result.refused} refused"
    )
    for planner in result.planners:
        print(f"  {planner.name}: {planner.ready} links ready after its start")
        for name, phase in planner.phases.items():
            print(f"    {name:8}", held(planner.uses[name]), line(phase))
    for name, phase in result.lister.phases.items():
        print(f"  list {name:8}", held(result.lister.uses[name]), line(phase))
    for fault in result.faults:
        print("  !", fault[:200])


def held(process: Use) -> str:
    return (
        f"{process.resident / 1e6:.1f} MB (PSS {process.proportional / 1e6:.1f}), "
        f"{process.descriptors} descriptors;"
    )


def line(phase: Phase) -> str:
    ways = "; ".join(
        f"{kind} in {way.incoming.messages} msg {way.incoming.bytes} B, "
        f"out {way.outgoing.messages} msg {way.outgoing.bytes} B"
        for kind, way in phase.ways.items()
        if way.incoming.messages or way.outgoing.messages
    )
    part = 100 * phase.cpu / phase.seconds
    whole = "" if phase.complete else " NOT COMPLETE"
    return (
        f"{phase.seconds:.1f} s, cpu {phase.cpu:.2f} s ({part:.1f}%), "
        f"{phase.bytes_a_second():.0f} B/s{whole}: {ways}"
    )


if __name__ == "__main__":
    main()
