"""Rows of the planner: decisions, its list of workers, kept state, engine; modules alone, no sockets."""

import tempfile
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

from bench import state, throughput
from bench.capacity import workers
from bench.capacity.meters import no_collection, processor_time, traced_bytes
from bench.capacity.registry import measurement
from bench.capacity.target import TASKS_RUNNING
from hazelhold.brain import Brain
from hazelhold.config.planner import deployment
from hazelhold.engine.cases import Dial
from hazelhold.engine.engine import Engine
from hazelhold.interface import Ask, Mode, Step
from hazelhold.protocol import messages as m
from hazelhold.state import frames
from hazelhold.state.disk import RealDisk
from hazelhold.state.images import AnswerImage, EndImage, GuestImage, drop, put
from hazelhold.state.ledger import Ledger
from hazelhold.state.store import Store

SECOND = 1_000_000
WORKERS = (456, 913, 1825, 3650, 7300)
FEW_WORKERS = (25, 50, 100, 200)
TASKS = (1437, 2875, 5750, 11500, 23000)
FEW_TASKS = (100, 200, 400, 800)


def brain(machines: int, planners: int) -> Brain:
    made = Brain(1, deployment(throughput.sheet())._replace(planners=planners))
    made.machines_listed(0, [workers.listed(n) for n in range(machines)], True)
    return made


def engine(machines: int) -> Engine:
    made = Engine(throughput.sheet(), 1, 0)
    made.list_said(0, m.Listing(version=1, whole=True, entries=workers.entries(machines)))
    return made


# Decisions.


def decisions(planners: int) -> Callable[[int], Iterator[float]]:
    def measure(size: int) -> Iterator[float]:
        running = max(1, min(TASKS_RUNNING // planners, 2 * size))
        decided = 400 if size > 200 else 100
        for _ in range(5):
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
    )(decisions(planners))


SERVICES = 20


def decide_all(made: Brain, now: int) -> list[str]:
    found = []
    while (decision := made.decide(now)) is not None:
        if decision.step is Step.DISPATCH:
            made.dispatch_taken(now, decision.guest, 1000)
            made.guest_runs(now, decision.guest)
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
)
def after_list_change(size: int) -> Iterator[float]:
    made, now, number = brain(size, 64), SECOND, 0

    def a_round() -> float:
        """Processor time of one task for each service."""
        nonlocal now, number
        spent = 0.0
        for service in range(SERVICES):
            now, number = now + 3000, number + 1
            made.guest_arrived(now, Ask(f"g{number}", 0, 0, f"s{service}", 0.5, 1.0, 60 * SECOND))
            spent += processor_time(partial(decide_all, made, now))
        return spent / SERVICES

    a_round()
    with no_collection():
        for change in range(5):
            made.machines_listed(now, [workers.listed(change)._replace(mode=Mode.CORDONED)], False)
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
    yield traced_bytes(lambda: brain(size, 64))[0]


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
            made.machine_said(0, name, m.Running(guests=[]))
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
)
def first_list(size: int) -> Iterator[float]:
    codec = m.Codec(m.FROM_LIST)
    body = m.ENCODER.encode(m.Listing(version=1, whole=True, entries=workers.entries(size)))
    for _ in range(5):
        made = Engine(throughput.sheet(), 1, 0)
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


# Kept state.


def kept_state(folder: Path, tasks: int) -> int:
    """Writes a state of so many tasks; returns the bytes of its files."""
    wall = time.time_ns() // 1000
    store = Store(RealDisk(folder), "p")
    store.open(wall, "p 1")
    store.begin(wall)
    changes = state.images(tasks, wall)
    for at in range(0, len(changes), 100):
        store.commit(changes[at : at + 100])
    store.close()
    return sum(path.stat().st_size for path in folder.iterdir())


@measurement(
    id="planner.state.bytes",
    role="planner",
    quantity="bytes of kept state",
    unit="bytes",
    by="tasks",
    how="module alone",
    sizes=TASKS,
    small=FEW_TASKS,
    note="a fifth held, the rest running, 30 a worker",
)
def state_bytes(size: int) -> Iterator[float]:
    with tempfile.TemporaryDirectory() as folder:
        yield kept_state(Path(folder), size)


@measurement(
    id="planner.state.recovery.cpu",
    role="planner",
    quantity="processor time of a recovery: read, fed into an engine, written anew",
    unit="s",
    by="tasks",
    how="module alone",
    sizes=TASKS,
    small=FEW_TASKS,
)
def recovery(size: int) -> Iterator[float]:
    with tempfile.TemporaryDirectory() as folder:
        kept_state(Path(folder), size)

        def recover() -> None:
            wall = time.time_ns() // 1000
            store = Store(RealDisk(Path(folder)), "p")
            found = store.open(wall, "p 2")
            made = Engine(throughput.sheet(), 1, 10 * SECOND)
            made.keep(10 * SECOND, wall - 10 * SECOND, found.ledger, True)
            store.begin(wall)
            store.close()
            assert len(made.cases) == size

        for _ in range(3):
            yield processor_time(recover)


def kept_change(size: int) -> Iterator[tuple[int, float]]:
    """Bytes and processor time of keeping one lone change of the list; several times."""
    made = Engine(throughput.sheet(), 1, 0)
    made.keep(0, 0, Ledger(), True)
    made.list_said(0, m.Listing(version=1, whole=True, entries=workers.entries(size)))
    made.flush(0)
    for version in range(2, 7):
        made.list_said(version, m.Listing(version=version, whole=False, entries=[workers.entry(1, version)]))
        kept: list[bytes] = []
        with no_collection():
            spent = processor_time(lambda kept=kept: kept.append(frames.batch(made.flush(0))))
        yield len(kept[0]), spent


@measurement(
    id="planner.state.list.written",
    role="planner",
    quantity="bytes written to the log for one lone change of the list",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="the image of the list is kept whole; changes of one commit share it",
)
def list_written(size: int) -> Iterator[float]:
    for bytes_kept, _ in kept_change(size):
        yield bytes_kept


@measurement(
    id="planner.state.list.cpu",
    role="planner",
    quantity="processor time of keeping one lone change of the list, as bytes for the log",
    unit="s",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="without writing and syncing",
)
def list_kept(size: int) -> Iterator[float]:
    for _, spent in kept_change(size):
        yield spent


def one_task(number: int, wall: int) -> Iterator[list]:
    """What is kept of a task, commit by commit: asked, placed, ended."""
    name = f"g{number}"
    image = GuestImage(f"{name}/0", name, 0, "o", "plain", "s1", 1.0, 1.0, wall, (0,))
    answer = AnswerImage(name, 0, m.ENCODER.encode(m.Placed(guest=name, machine="worker-00001")))
    yield [put("guest", f"{name}/0", image)]
    yield [put("answer", f"{name}\0000", answer, wall + 30 * SECOND)]
    yield [drop("guest", f"{name}/0"), put("end", name, EndImage(name, "done"), wall + 30 * SECOND)]


@measurement(
    id="planner.state.written",
    role="planner",
    quantity="bytes written to the log for tasks asked, placed and ended",
    unit="bytes",
    by="tasks",
    how="module alone",
    sizes=(100, 200, 400, 800, 1600),
    small=(25, 50, 100, 200),
    note="each step a commit of its own; commits that are shared write less; not synced",
)
def written(size: int) -> Iterator[float]:
    yield _write(size)[0]


@measurement(
    id="planner.state.commit.cpu",
    role="planner",
    quantity="processor time of the three commits of tasks",
    unit="s",
    by="tasks",
    how="module alone",
    sizes=(400, 800, 1600, 3200, 6400),
    small=(25, 50, 100, 200),
    note="each step a commit of its own; not synced",
)
def commit_time(size: int) -> Iterator[float]:
    for _ in range(3):
        yield _write(size)[1]


def _write(tasks: int) -> tuple[int, float]:
    with tempfile.TemporaryDirectory() as folder:
        store = Store(RealDisk(Path(folder)), "p")
        store.disk.sync = lambda name: None
        store.open(0, "p 1")
        store.begin(0)
        before = store.bytes

        def write() -> None:
            for number in range(tasks):
                for changes in one_task(number, number * 1000):
                    store.commit(changes)

        spent = processor_time(write)
        store.close()
        return store.bytes - before, spent
