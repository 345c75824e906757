"""Rows of a planner's admission control: what refusing a request, and admitting a connection, costs.

The line is kept longer than what is admitted without a pace, so every measured request is refused. Quotas are
not in it: the program has none.
"""

from collections.abc import Iterator
from random import Random

from bench import throughput
from bench.capacity.meters import no_collection, processor_time, traced_bytes
from bench.capacity.registry import measurement
from hazelhold.config.planner import LimitsConfig, to_microseconds
from hazelhold.engine import admission
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Send
from hazelhold.protocol import messages as m

SECOND = 1_000_000
ROLE = "door and quotas"
REFUSED = (1250, 2500, 5000, 10_000)
FEW_REFUSED = (60, 120, 240)
BY = "requests refused"
NOTE = "the line is longer than can be served; with the coding of both messages; without sockets"
CODEC = m.Codec(m.FROM_OWNER)
NOW = 0  # all requests come at one moment, so that all places are remembered
REPEATS = 3


class Refusing:
    """An engine whose line is full, and the bytes of what it is asked and answers."""

    def __init__(self) -> None:
        self.engine = Engine(throughput.planner_config(), 1, 0)
        entries = throughput.memory_machines("cordoned")
        self.engine.list_greeted(0, m.Welcome(name="list"))
        self.engine.list_said(0, m.Listing(version=1, whole=True, entries=entries))
        throughput.submit_held(self.engine, admission.SHORT_QUEUE + 1)
        self.bytes = self.refused = 0

    def submit(self, bodies: list[bytes]) -> None:
        """Each body is a request, a frame without its head."""
        for body in bodies:
            self.engine.owner_said(NOW, "client-0", CODEC.decode(body))
            self.bytes += len(body)
            self._answered()

    def _answered(self) -> None:
        for action in self.engine.actions:
            if isinstance(action, Send) and isinstance(action.message, m.Rejected):
                self.refused += 1
                self.bytes += len(m.ENCODER.encode(action.message))
        self.engine.actions.clear()


def requests(count: int) -> list[bytes]:
    """Encoded requests, each for another task."""
    return [m.ENCODER.encode(request(number)) for number in range(count)]


def request(number: int) -> m.Submit:
    service, cores, memory = throughput.shape(number)
    return m.Submit(
        guest=f"task-{number:08d}",
        product="plain",
        service=service,
        cores=cores,
        memory=memory,
        patience=60 * SECOND,
    )


def refuse(count: int) -> Refusing:
    """So many requests, all refused; ValueError if one was not."""
    made, bodies = Refusing(), requests(count)
    made.submit(bodies)
    _all_refused(made, count)
    return made


def _all_refused(made: Refusing, count: int) -> None:
    if made.refused != count:
        raise ValueError(f"{made.refused} of {count} requests were refused")


@measurement(
    id="door.refused.cpu",
    role=ROLE,
    quantity="processor time of a planner's engine for requests that it refuses",
    unit="s",
    by=BY,
    how="module alone",
    sizes=REFUSED,
    small=FEW_REFUSED,
    note=NOTE,
    rounds=REPEATS,
)
def refused_time(size: int) -> Iterator[float]:
    made, bodies = Refusing(), requests(size)
    with no_collection():
        spent = processor_time(lambda: made.submit(bodies))
    _all_refused(made, size)
    yield spent


@measurement(
    id="door.refused.bytes",
    role=ROLE,
    quantity="bytes of refused requests and their answers, both ways",
    unit="bytes",
    by=BY,
    how="module alone",
    sizes=REFUSED,
    small=FEW_REFUSED,
    note="messages without frames' heads, TCP and IP headers",
)
def refused_bytes(size: int) -> Iterator[float]:
    yield float(refuse(size).bytes)


@measurement(
    id="door.refused.memory",
    role=ROLE,
    quantity="memory that a planner keeps for refused requests, whose places are kept",
    unit="bytes",
    by=BY,
    how="module alone",
    sizes=REFUSED,
    small=FEW_REFUSED,
    note=f"traced by Python's allocator; at most {admission.KNOWN:,} are remembered; requests alive with it",
)
def refused_memory(size: int) -> Iterator[float]:
    made, bodies = Refusing(), requests(size)
    yield traced_bytes(lambda: made.submit(bodies))[0]


@measurement(
    id="door.connections.cpu",
    role=ROLE,
    quantity="processor time of the token bucket for connections that come at once",
    unit="s",
    by="connections",
    how="module alone",
    sizes=REFUSED,
    small=FEW_REFUSED,
    note="by default limits: the burst is admitted, the others are told when to come back; without sockets",
    rounds=REPEATS,
)
def connections_time(size: int) -> Iterator[float]:
    limits = LimitsConfig()
    door = admission.ConnectionAdmission(
        limits.handshakes_a_second,
        limits.handshake_burst,
        limits.handshakes_at_once,
        to_microseconds(limits.return_most_ms),
        Random(1),
    )
    yield processor_time(lambda: [door.admits(NOW) for _ in range(size)])
