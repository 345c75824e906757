"""Rows of failures: what workers that go and return cost one planner, and how long until it is known.

`size` is how many workers go at once: a worker, a rack, a switch of two racks, a zone, a region. Each holds
one task of the planner that is measured, which is more than its share when there are several planners.
"""

from collections.abc import Iterator

from bench.capacity.outage import OWN_PROTOCOL, SECOND, Outage
from bench.capacity.parted import Parted
from bench.capacity.registry import RefusedError, measurement
from bench.capacity.target import RACK_WORKERS, REGIONS, WORKERS, ZONES
from hazelhold.platform.configuration import PLATFORM
from hazelhold.replica.sets import ReplicaCandidate, ReplicaSets

INPUTS = ("bench/capacity/outage.py", "bench/capacity/parted.py", "bench/capacity/workers.py")
ROLE = "failures"
AT_ONCE = (1, RACK_WORKERS, 2 * RACK_WORKERS, WORKERS // ZONES, WORKERS // REGIONS)
FEW_AT_ONCE = (2, 4, 8, 16)
BY = "workers that go at once, of 7,300"
WATCHED = 60 * SECOND
LIST_AFTER = 5 * SECOND  # when the list tells of workers that went; assumption
PLANNERS = (16, 32, 64, 128)
FEW_PLANNERS = (8, 10, 12)


def listed(size: int) -> int:
    """Workers listed in all; small sizes stand for a small fleet."""
    return WORKERS if size in AT_ONCE else max(80, 2 * size)


def known(made: Outage, broken: bool) -> float:
    """Seconds from the loss until the last owner was told."""
    tasks, start = made.placed(), made.now
    made.lose(broken)
    made.run(WATCHED, until_told=tasks)
    if not tasks or len(made.lost_at) < tasks:
        seconds = WATCHED // SECOND
        raise RefusedError(f"{len(made.lost_at)} of {tasks} owners were told within {seconds} s")
    return (made.lost_at[-1] - start) / SECOND


@measurement(
    id="failure.process.known",
    role=ROLE,
    quantity="time until owners know that their tasks are lost: workers' processes end",
    unit="s",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="virtual time; connections end, their machines refuse dials; limits.reconnect_ms is 2 s",
)
def process_known(size: int) -> Iterator[float]:
    yield known(Outage(listed(size), size), broken=True)


@measurement(
    id="failure.silence.told",
    role=ROLE,
    quantity="owners told within a minute that their tasks are lost: workers fall silent, own protocol",
    unit="owners",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="virtual time; a task each; connections do not end, nobody answers, as behind a lost switch",
)
def silence_told(size: int) -> Iterator[float]:
    made = Outage(listed(size), size, refuses=False)
    made.lose(broken=False)
    made.run(WATCHED)
    yield len(made.lost_at)


@measurement(
    id="failure.silence.known.platform",
    role=ROLE,
    quantity="time until owners know that their tasks are lost: workers fall silent, operators' platform",
    unit="s",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="virtual time; as many tasks as workers, and all of the fleet's workers go; default limits",
)
def silence_known_on_platform(size: int) -> Iterator[float]:
    yield known(Outage(size, size, PLATFORM, refuses=False), broken=False)


def away_for_a_minute(size: int) -> Outage:
    """Connections ended, nobody answers dials, and the list says nothing."""
    made = Outage(listed(size), size, OWN_PROTOCOL, refuses=False)
    made.counts.clear()
    made.processor = 0.0
    made.lose(broken=True)
    made.run(WATCHED)
    return made


@measurement(
    id="failure.away.dials",
    role=ROLE,
    quantity="dials of one planner in a minute in which workers are out of its reach",
    unit="connections",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="the list goes on naming them, as when two regions lose each other; each dial is waited for",
)
def away_dials(size: int) -> Iterator[float]:
    yield away_for_a_minute(size).counts["dials"]


@measurement(
    id="failure.away.cpu",
    role=ROLE,
    quantity="processor time of the engine in that minute",
    unit="s",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="without sockets",
)
def away_processor(size: int) -> Iterator[float]:
    for _ in range(3):
        yield away_for_a_minute(size).processor


def returned(size: int) -> Outage:
    """Workers' processes end, the list tells so, and they return in a new life."""
    made = Outage(listed(size), size)
    made.lose(broken=True)
    made.run(LIST_AFTER)
    made.counts.clear()
    made.processor = 0.0
    made.leave()
    made.come_back()
    return made


@measurement(
    id="failure.return.messages",
    role=ROLE,
    quantity="messages between one planner and workers that return in a new life",
    unit="messages",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="hello, welcome, roll call and its answer for each; every planner dials every worker",
)
def return_messages(size: int) -> Iterator[float]:
    yield returned(size).counts["messages"]


@measurement(
    id="failure.return.bytes",
    role=ROLE,
    quantity="bytes of these messages and of the list's two tellings, to and from one planner",
    unit="bytes",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="frames without TCP and IP headers",
)
def return_bytes(size: int) -> Iterator[float]:
    counts = returned(size).counts
    yield counts["bytes"] + counts["list bytes"]


@measurement(
    id="failure.return.cpu",
    role=ROLE,
    quantity="processor time of the engine for them",
    unit="s",
    by=BY,
    how="module alone",
    sizes=AT_ONCE,
    small=FEW_AT_ONCE,
    note="without sockets",
)
def return_processor(size: int) -> Iterator[float]:
    for _ in range(3):
        yield returned(size).processor


@measurement(
    id="failure.return.fleet",
    role=ROLE,
    quantity="messages in the whole fleet when a zone's workers return in a new life",
    unit="messages",
    by="planners",
    how="computed",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="messages of one planner for a zone, times the planners",
)
def return_fleet(size: int) -> Iterator[float]:
    yield returned(WORKERS // ZONES if size in PLANNERS else 4).counts["messages"] * size


@measurement(
    id="failure.regions.wrong",
    role=ROLE,
    quantity="planners wrongly called gone while two of eight regions do not reach each other for a minute",
    unit="planners",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="membership in virtual time; counted in all views",
)
def regions_wrong(size: int) -> Iterator[float]:
    yield Parted(size).part_two_regions().wrong


@measurement(
    id="failure.regions.bytes",
    role=ROLE,
    quantity="bytes a second that a planner sends for membership during that minute",
    unit="bytes a second",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="membership in virtual time; mean of all planners; datagrams without UDP and IP headers",
)
def regions_bytes(size: int) -> Iterator[float]:
    yield Parted(size).part_two_regions().bytes_a_second


@measurement(
    id="failure.region.known",
    role=ROLE,
    quantity="time until all other planners know that a region's planners are gone",
    unit="s",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="membership in virtual time; an eighth of all planners crash at once",
)
def region_known(size: int) -> Iterator[float]:
    for seed in (1, 2, 3):
        yield Parted(size, seed).lose_a_region()


@measurement(
    id="failure.planner.known",
    role=ROLE,
    quantity="time until all other planners know that one planner is gone",
    unit="s",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="membership in virtual time",
)
def planner_known(size: int) -> Iterator[float]:
    for seed in (1, 2, 3):
        yield Parted(size, seed).lose_a_planner()


REPLICAS = 3
ZONES_A_REGION = ZONES // REGIONS
KEYS = 10_000


def without_majority(planners: int, lost: int) -> float:
    """Share of claims whose replicas have no majority outside region `lost`."""
    keepers = [ReplicaCandidate(f"planner-{number}", f"zone-{number % ZONES}") for number in range(planners)]
    region = {f"planner-{number}": number % ZONES // ZONES_A_REGION for number in range(planners)}
    sets = ReplicaSets(keepers, REPLICAS)
    found = 0
    for number in range(KEYS):
        there = sum(region[name] != lost for name in sets(f"claim/task-{number:08d}"))
        found += there <= REPLICAS // 2
    return found / KEYS


@measurement(
    id="failure.region.claims",
    role=ROLE,
    quantity="claims that have no majority without one region: it is lost, or out of reach of another",
    unit="share",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="three replicas, zones in turn, rendezvous hashing; of 10,000 keys; such claims are refused or wait",
)
def region_claims(size: int) -> Iterator[float]:
    yield without_majority(size, 1)


@measurement(
    id="failure.control.spare",
    role=ROLE,
    quantity="control machines that may be lost at a time with a majority left",
    unit="machines",
    by="control machines",
    how="computed",
    sizes=(3, 6, 12, 24),
    small=(5, 10, 20),
    note="size - (size // 2 + 1): a majority has to be left for the order of configuration to go on",
)
def control_spare(size: int) -> Iterator[float]:
    yield size - (size // 2 + 1)
