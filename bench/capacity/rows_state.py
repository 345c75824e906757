"""Rows of a planner's kept state: bytes and processor time by tasks, and by workers for the list."""

import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from bench import state, throughput
from bench.capacity import workers
from bench.capacity.meters import no_collection, processor_time
from bench.capacity.registry import measurement
from bench.capacity.rows_planner import FEW_TASKS, FEW_WORKERS, TASKS, WORKERS
from hazelhold.engine.engine import Engine
from hazelhold.protocol import messages as m
from hazelhold.state import frames
from hazelhold.state.disk import RealDisk
from hazelhold.state.images import AnswerImage, EndImage, GuestImage, drop, put
from hazelhold.state.state_table import StateTable
from hazelhold.state.store import Store

SECOND = 1_000_000


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
    rounds=3,
)
def recovery(size: int) -> Iterator[float]:
    with tempfile.TemporaryDirectory() as folder:
        kept_state(Path(folder), size)

        def recover() -> None:
            wall = time.time_ns() // 1000
            store = Store(RealDisk(Path(folder)), "p")
            found = store.open(wall, "p 2")
            made = Engine(throughput.planner_config(), 1, 10 * SECOND)
            made.keep(10 * SECOND, wall - 10 * SECOND, found.state_table, True)
            store.begin(wall)
            store.close()
            assert len(made.records) == size

        for _ in range(3):
            yield processor_time(recover)


def kept_change(size: int) -> Iterator[tuple[int, float]]:
    """Bytes and processor time of keeping one lone change of the list; several times."""
    made = Engine(throughput.planner_config(), 1, 0)
    made.keep(0, 0, StateTable(), True)
    made.list_greeted(0, m.Welcome(name="list"))
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
    rounds=3,
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
    rounds=3,
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
