"""Rows of the planner: decisions, its list of workers, kept state, engine; modules alone, no sockets."""

from collections.abc import Callable, Iterator
from functools import partial

from bench import throughput
from bench.capacity import workers
from bench.capacity.meters import no_collection, processor_time, traced_bytes
from bench.capacity.registry import measurement
from bench.capacity.target import TASKS_RUNNING
from hazelhold.config.planner import deployment_settings
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Dial
from hazelhold.interface import DecisionKind, MachineMode, Submission
from hazelhold.protocol import messages as m
from hazelhold.scheduler import Scheduler

SECOND = 1_000_000
WORKERS = (456, 913, 1825, 3650, 7300)
FEW_WORKERS = (25, 50, 100, 200)
TASKS = (1437, 2875, 5750, 11500, 23000)
FEW_TASKS = (100, 200, 400, 800)


def scheduler(machines: int, planners: int) -> Scheduler:
    made = Scheduler(1, deployment_settings(throughput.planner_config())._replace(planners=planners))
    made.machines_listed(0, [workers.listed(n) for n in range(machines)], True)
    return made


def engine(machines: int) -> Engine:
    made = Engine(throughput.planner_config(), 1, 0)
    made.list_greeted(0, m.Welcome(name="list"))  # one that confirms nothing: what is measured is without it
    made.list_said(0, m.Listing(version=1, whole=True, entries=workers.entries(machines)))
    return made


# Decisions.


def decisions(planners: int) -> Callable[[int], Iterator[float]]:
    def measure(size: int) -> Iterator[float]:
        running = max(1, min(TASKS_RUNNING // planners, 2 * size))
        decided = 400 if size > 200 else 100
        for _ in range(2):
            yield 1 / throughput.alone(size, running, decided, planners)["guests_a_second"]

    return measure


for planners in (16, 64, 230):
    measurement(
        id=f"planner.decisions.cpu.{planners}",
        role="planner",
        quantity=f"processor time of a task's decisions, of {planners} planners",
        unit="s",
        by="workers",
        how="module alone",
        sizes=WORKERS,
        small=FEW_WORKERS,
        note="a planner's share of the running tasks stands; the list does not change meanwhile",
        rounds=3,
    )(decisions(planners))


SERVICES = 20


def decide_all(made: Scheduler, now: int) -> list[str]:
    found = []
    while (decision := made.decide(now)) is not None:
        if decision.kind is DecisionKind.DISPATCH:
            made.dispatch_accepted(now, decision.guest, 1000)
            made.guest_started(now, decision.guest)
            found.append(decision.guest)
    return found


@measurement(
    id="planner.list_change.cpu",
    role="planner",
    quantity="processor time that a service's next decision costs more after a worker came or went",
    unit="s",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="64 planners; each service orders all ready workers anew after any change in who is ready",
    rounds=3,
)
def after_list_change(size: int) -> Iterator[float]:
    made, now, number = scheduler(size, 64), SECOND, 0

    def a_round() -> float:
        """Processor time of one task for each service."""
        nonlocal now, number
        spent = 0.0
        for service in range(SERVICES):
            now, number = now + 3000, number + 1
            made.guest_submitted(now, Submission(f"g{number}", 0, 0, f"s{service}", 0.5, 1.0, 60 * SECOND))
            spent += processor_time(partial(decide_all, made, now))
        return spent / SERVICES

    a_round()
    with no_collection():
        for change in range(5):
            made.machines_listed(now, [workers.listed(change)._replace(mode=MachineMode.CORDONED)], False)
            yield max(0.0, a_round() - a_round())


# The list.


@measurement(
    id="planner.module.memory",
    role="planner",
    quantity="memory of the decision module",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="traced by Python's allocator; workers listed, no task",
)
def module_memory(size: int) -> Iterator[float]:
    yield traced_bytes(lambda: scheduler(size, 64))[0]


@measurement(
    id="planner.engine.memory",
    role="planner",
    quantity="memory of the engine with its module, each worker listed and its connection open",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="traced by Python's allocator; without sockets and their buffers",
)
def engine_memory(size: int) -> Iterator[float]:
    def make() -> Engine:
        made = engine(size)
        for number in range(size):
            name = workers.name(number)
            made.link_up(0, name, m.Welcome(name=name, incarnation=1))
            made.machine_said(0, name, m.Inventory(guests=[]))
        made.actions.clear()
        return made

    yield traced_bytes(make)[0]


@measurement(
    id="planner.first_list.cpu",
    role="planner",
    quantity="processor time of the first list, from bytes to the engine's actions",
    unit="s",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    rounds=3,
)
def first_list(size: int) -> Iterator[float]:
    codec = m.Codec(m.FROM_LIST)
    body = m.ENCODER.encode(m.Listing(version=1, whole=True, entries=workers.entries(size)))
    for _ in range(5):
        made = Engine(throughput.planner_config(), 1, 0)
        with no_collection():
            yield processor_time(lambda made=made: made.list_said(0, codec.decode(body)))


@measurement(
    id="planner.first_list.dials",
    role="planner",
    quantity="workers that a planner dials at its first list",
    unit="connections",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="counted in the engine's actions; each stays open limits.idle_close_ms",
)
def first_dials(size: int) -> Iterator[float]:
    yield sum(isinstance(action, Dial) for action in engine(size).actions)


@measurement(
    id="planner.list_told.cpu",
    role="planner",
    quantity="processor time of hearing changed entries, from bytes to the engine",
    unit="s",
    by="changed entries, of 7,300 workers",
    how="module alone",
    sizes=(40, 152, 304, 912, 3650, 7300),
    small=(4, 8, 16, 32),
    rounds=3,
)
def changes_told(size: int) -> Iterator[float]:
    codec, made = m.Codec(m.FROM_LIST), engine(workers.fleet_for(size))
    for version in range(2, 7):
        body = m.ENCODER.encode(m.Listing(version=version, whole=False, entries=workers.entries(size)))
        with no_collection():
            yield processor_time(
                lambda body=body, version=version: made.list_said(version, codec.decode(body))
            )


@measurement(
    id="planner.list_told.lone.cpu",
    role="planner",
    quantity="processor time of hearing one lone change, from bytes to the engine",
    unit="s",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    rounds=3,
)
def change_told(size: int) -> Iterator[float]:
    codec, made = m.Codec(m.FROM_LIST), engine(size)
    for version in range(2, 12):
        told = m.Listing(version=version, whole=False, entries=[workers.entry(version, version)])
        body = m.ENCODER.encode(told)
        with no_collection():
            yield processor_time(
                lambda body=body, version=version: made.list_said(version, codec.decode(body))
            )


# Tasks.


@measurement(
    id="planner.task.memory",
    role="planner",
    quantity="memory of the engine for running tasks",
    unit="bytes",
    by="tasks",
    how="module alone",
    sizes=TASKS,
    small=FEW_TASKS,
    note="traced by Python's allocator; found running by the first roll call",
)
def task_memory(size: int) -> Iterator[float]:
    yield throughput.memory(size, run=True) * size
