"""Rows of the list service: what the list and its changes cost in bytes, and whom it must tell."""

from collections.abc import Iterator

from bench.capacity import workers
from bench.capacity.meters import no_collection, processor_time, traced_bytes
from bench.capacity.registry import measurement
from hazelhold.model.listing import ListService
from hazelhold.protocol import messages as m

WORKERS = (456, 913, 1825, 3650, 7300)
FEW_WORKERS = (25, 50, 100, 200)
NOTICE, PERIOD, ANSWER = (0, 0), 500_000, (0, 0)
UP_FOR = 10 * 86_400 * 1_000_000  # microseconds that workers have been up


def service(count: int) -> ListService:
    made = ListService(1, 0, NOTICE, PERIOD, ANSWER)
    for each in workers.entries(count):
        made.set(0, each, -UP_FOR, at_once=True)
    made.advance(0)
    return made


def told(made: ListService) -> list[m.Message]:
    out, made.out = made.out, []
    return [message for _, message in out]


@measurement(
    id="list.whole.bytes",
    role="list service",
    quantity="bytes of the whole list as one frame",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="names of 12 characters, addresses of 15 to 19; the model's message, encoded",
)
def whole(size: int) -> Iterator[float]:
    made = service(size)
    made.watched(0, "p", 0)
    made.advance(0)
    yield sum(len(m.encode(message)) for message in told(made))


@measurement(
    id="list.change.bytes",
    role="list service",
    quantity="bytes of one lone change",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
)
def change(size: int) -> Iterator[float]:
    made = service(size)
    made.watchers["p"] = made.version
    made.set(1, workers.entry(size // 2, incarnation=2), 1, at_once=True)
    made.advance(PERIOD)
    yield sum(len(m.encode(message)) for message in told(made))


@measurement(
    id="list.return.bytes",
    role="list service",
    quantity="bytes told to one planner when workers return at once",
    unit="bytes",
    by="workers that return, of 7,300",
    how="module alone",
    sizes=(40, 80, 152, 304, 608, 912, 1825),
    small=(4, 8, 16, 32),
    note="a rack is 40 (assumption), a zone 304, a region 912; past 2,500 changes all may be told",
)
def group(size: int) -> Iterator[float]:
    made = service(workers.fleet_for(size))
    made.watchers["p"] = made.version
    for number in range(size):
        made.set(1, workers.entry(number, incarnation=2), 1, at_once=True)
    made.advance(PERIOD)
    yield sum(len(m.encode(message)) for message in told(made))


@measurement(
    id="list.tell.cpu",
    role="list service",
    quantity="processor time of telling one lone change",
    unit="s",
    by="planners that watch, 7,300 workers",
    how="module alone",
    sizes=(16, 32, 64, 128, 256),
    small=(4, 8, 16, 32),
    note="the model's messages, made and encoded for each planner; sending is not in it",
    rounds=3,
)
def tell(size: int) -> Iterator[float]:
    made = service(workers.WORKERS)
    for number in range(size):
        made.watchers[f"p{number}"] = made.version
    for turn in range(7):
        made.set(turn, workers.entry(turn, incarnation=2), 1, at_once=True)
        with no_collection():
            yield processor_time(
                lambda turn=turn: (made.advance((turn + 1) * PERIOD), [m.encode(each) for each in told(made)])
            )


@measurement(
    id="list.whole.cpu",
    role="list service",
    quantity="processor time of the whole list for one planner",
    unit="s",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="the model's message, made and encoded; sending is not in it",
    rounds=3,
)
def whole_time(size: int) -> Iterator[float]:
    made = service(size)
    for _ in range(7):
        made.watched(0, "p", 0)
        with no_collection():
            yield processor_time(lambda: (made.advance(0), [m.encode(each) for each in told(made)]))


@measurement(
    id="list.memory",
    role="list service",
    quantity="memory of the list",
    unit="bytes",
    by="workers",
    how="module alone",
    sizes=WORKERS,
    small=FEW_WORKERS,
    note="the model of a list service, traced by Python's allocator",
)
def memory(size: int) -> Iterator[float]:
    yield traced_bytes(lambda: service(size))[0]
