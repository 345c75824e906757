"""Rows of the client library: what a client's core keeps and spends, by tasks and by planners it knows."""

from collections.abc import Iterator
from random import Random

from bench.capacity.meters import processor_time, traced_bytes
from bench.capacity.registry import measurement
from hazelhold.client.core import ClientCore
from hazelhold.client.types import ClientPolicy, TaskRequest
from hazelhold.protocol import messages as m

SECOND = 1_000_000
ROLE = "owner and client"
TASKS = (1000, 2000, 4000, 8000)
FEW_TASKS = (50, 100, 200)
PLANNERS = (16, 32, 64, 128, 256)
FEW_PLANNERS = (4, 8, 12)
CODEC = m.Codec(m.TO_OWNER)


def client(planners: int) -> ClientCore:
    """A client's core that is connected to so many planners."""
    names = [f"planner-{number}" for number in range(planners)]
    core = ClientCore("client-0", names, ClientPolicy(), Random(1))
    core.start(0)
    for name in names:
        core.connected(0, name)
    core.actions.clear()
    return core


def request(number: int) -> TaskRequest:
    return TaskRequest(f"task-{number:08d}", "plain", "service-1", 1.0, 1.0, 60 * SECOND, "rerunnable")


def heard(core: ClientCore, now: int, message: m.Message) -> None:
    """What a planner says, through its bytes."""
    core.receive(now, "planner-0", CODEC.decode(m.ENCODER.encode(message)))


@measurement(
    id="client.task.cpu",
    role=ROLE,
    quantity="processor time of a client's core for tasks, each from its request to its end",
    unit="s",
    by="tasks",
    how="module alone",
    sizes=TASKS,
    small=FEW_TASKS,
    note="one planner, four messages a task, with their coding; without sockets",
)
def task_time(size: int) -> Iterator[float]:
    for _ in range(3):
        core = client(1)
        yield processor_time(lambda core=core: run_tasks(core, size))


def run_tasks(core: ClientCore, tasks: int) -> None:
    """Asks for each task, hears that it was taken, placed and done."""
    for number in range(tasks):
        now, wanted = number * 1000, request(number)
        core.submit(now, wanted)
        submit = m.Submit(
            guest=wanted.guest,
            product="plain",
            service="service-1",
            cores=1.0,
            memory=1.0,
            patience=60 * SECOND,
        )
        m.encode(submit)
        heard(core, now, m.Acknowledged(guest=wanted.guest))
        heard(core, now, m.Placed(guest=wanted.guest, machine="worker-00001"))
        heard(core, now, m.GuestEnded(guest=wanted.guest, how="done"))
        core.advance(now)
        core.actions.clear()


@measurement(
    id="client.memory",
    role=ROLE,
    quantity="memory of a client's core that is connected to every planner",
    unit="bytes",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="traced by Python's allocator; no task; without sockets",
)
def client_memory(size: int) -> Iterator[float]:
    yield traced_bytes(lambda: client(size))[0]


@measurement(
    id="client.open.memory",
    role=ROLE,
    quantity="memory of a client's core for open tasks",
    unit="bytes",
    by="tasks",
    how="module alone",
    sizes=TASKS,
    small=FEW_TASKS,
    note="traced by Python's allocator; asked for and not yet answered, one planner",
)
def open_memory(size: int) -> Iterator[float]:
    def make() -> ClientCore:
        core = client(1)
        for number in range(size):
            core.submit(number, request(number))
        core.actions.clear()
        return core

    yield traced_bytes(make)[0]
