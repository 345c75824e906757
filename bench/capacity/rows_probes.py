"""Rows of probing: which workers a planner asks for a report each second, and what that costs."""

import time
from collections.abc import Iterator

from bench import throughput
from bench.capacity import workers
from bench.capacity.registry import RefusedError, measurement
from hazelhold.config.planner import deployment_settings
from hazelhold.interface import DecisionKind, Load
from hazelhold.protocol import messages as m
from hazelhold.scheduler import Scheduler

SECOND = 1_000_000
TURN = SECOND // 100  # how often the module is asked
WORKERS = (456, 913, 1825, 3650, 7300)
LONGEST_S = 100.0  # of processor time for one size


def probed(machines: int, planners: int, seconds: int = 2) -> tuple[float, float]:
    """Probes a second and processor time a second, after the first second; every probe is answered."""
    facts = deployment_settings(throughput.planner_config())._replace(planners=planners, probing=True)
    made = Scheduler(1, facts)
    made.machines_listed(0, [workers.listed(n) for n in range(machines)], True)
    probes, spent, began = 0, 0.0, time.process_time()
    for now in range(TURN, seconds * SECOND, TURN):
        start = time.process_time()
        while (decision := made.decide(now)) is not None:
            if decision.kind is not DecisionKind.PROBE:
                continue
            made.machine_reported(now, decision.machine, Load(1000.0, 2000.0, 0.5))
            made.probe_answered(now, decision.machine, True)
            probes += now >= SECOND
        spent += (time.process_time() - start) * (now >= SECOND)
        if time.process_time() - began > LONGEST_S:
            raise RefusedError(
                f"{LONGEST_S:g} s of processor time were not enough for {now / SECOND:g} s of probing"
            )
    return probes / (seconds - 1), spent / (seconds - 1)


@measurement(
    id="planner.probes.by_workers",
    role="planner",
    quantity="probes a second of one planner, of eight",
    unit="probes a second",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=(10, 20, 40, 80),
)
def by_workers(size: int) -> Iterator[float]:
    yield probed(size, 8)[0]


@measurement(
    id="planner.probes.cpu",
    role="planner",
    quantity="processor time a second of choosing whom to probe, of eight planners",
    unit="s",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=(10, 20, 40, 80),
    note="with the answers told to the module; no socket",
)
def probe_time(size: int) -> Iterator[float]:
    yield probed(size, 8)[1]


@measurement(
    id="planner.probes.by_planners",
    role="planner",
    quantity="probes a second of one planner, of 456 workers",
    unit="probes a second",
    by="planners",
    how="module alone",
    sizes=(1, 2, 4, 8, 9, 16, 32, 64),
    small=(4, 8, 16, 32),
    note="no slope: up to eight planners probe every worker, more probe none",
)
def by_planners(size: int) -> Iterator[float]:
    yield probed(456, size)[0]


@measurement(
    id="planner.probe.bytes",
    role="planner",
    quantity="bytes of one probe and its report, both ways",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=(10, 20, 40, 80),
    note="with all three figures of load; frames without TCP and IP headers; the probe's number grows",
)
def probe_bytes(size: int) -> Iterator[float]:
    yield exchanged(size, m.Load(cores_free=12.34, memory_free=23.45, busy=0.67))


@measurement(
    id="planner.probe.bytes.bare",
    role="planner",
    quantity="bytes of one probe and its report, both ways, of a worker that tells no load",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=(10, 20, 40, 80),
    note="frames without TCP and IP headers; the probe's number grows",
)
def bare_bytes(size: int) -> Iterator[float]:
    yield exchanged(size, None)


def exchanged(number: int, load: m.Load | None) -> int:
    """Bytes of a probe and its report."""
    return len(m.encode(m.Probe(number=number))) + len(m.encode(m.Report(number=number, load=load)))
