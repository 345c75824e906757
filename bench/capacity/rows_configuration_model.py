"""Rows of the configuration's spread in virtual time: the tree beside three plain ways that carry the same
changes (bench.capacity.configuration_model). The real cores, emulated wires, no sockets.

Bytes are those of frames, both ways together. tests/test_configuration_model.py has the small sizes.
"""

from collections.abc import Iterator
from random import Random

import msgspec

from bench.capacity import target as t
from bench.capacity.configuration_model import LOADS, Load, Traffic, compare, fleet, run
from bench.capacity.hollow.shared import once
from bench.capacity.registry import measurement

INPUTS = ("hazelhold/emulate",)

ROLE = "holder of configuration"
PLANNERS = (16, 32, 64, 128, 230)
CHANGES_A_MINUTE = (15, 30, 60, 120, 240, 480)
RATE_SECONDS = 60
NOTE = "virtual time, latencies of 20 to 60 ms; the cores that planners run"
WAYS = {
    "tree": "tree with two relays a zone and region",
    "direct": "all follow control machines",
    "polling": "all poll a control machine each second",
    "telling": "everybody tells everybody",
}
QUANTITIES = {
    "messages": ("messages a second in all", "messages/s"),
    "planner": ("bytes a second, mean of all planners", "bytes/s"),
    "busiest_planner": ("bytes a second, busiest planner", "bytes/s"),
    "worst_second": ("bytes in the worst second of a planner", "bytes/s"),
    "control": ("bytes a second, busiest control machine", "bytes/s"),
}


class Compared(msgspec.Struct):
    """One comparison's figures: by way and quantity; and seconds from commit to in force."""

    ways: dict[str, dict[str, float]]
    median: float
    worst: float
    told: float


def compared(planners: int, load: Load) -> Compared:
    """One comparison, made once in a benchmark run."""

    def make() -> Compared:
        found = compare(planners, load)
        ways = {"tree": found.spread, "direct": found.direct}
        ways |= {"polling": found.polling, "telling": found.telling}
        return Compared(
            {way: traffic._asdict() for way, traffic in ways.items()}, *found.in_force_s, found.told_s
        )

    return once(f"{planners}/{load}".encode(), Compared, make)


def register_way(way: str, load: Load, key: str) -> None:
    text, unit = QUANTITIES[key]

    @measurement(
        id=f"configuration.model.{way}.{load.name}.{key}",
        role=ROLE,
        quantity=f"{text}, {WAYS[way]}, {load.name}",
        unit=unit,
        by="planners",
        how="module alone",
        sizes=PLANNERS,
        small=None,
        note=NOTE,
    )
    def measured(size: int) -> Iterator[float]:
        yield compared(size, load).ways[way][key]


def register_time(load: Load, key: str, text: str) -> None:
    @measurement(
        id=f"configuration.model.tree.{load.name}.{key}",
        role=ROLE,
        quantity=f"{text}, {load.name}",
        unit="s",
        by="planners",
        how="module alone",
        sizes=PLANNERS,
        small=None,
        note=NOTE,
    )
    def measured(size: int) -> Iterator[float]:
        yield getattr(compared(size, load), key)


def register_rate(way: str, relays: int) -> None:
    """How the busiest planner's traffic grows with the rate of changes."""

    @measurement(
        id=f"configuration.model.{way}.rate.busiest",
        role=ROLE,
        quantity=f"bytes a second, busiest planner, {WAYS[way]}",
        unit="bytes/s",
        by=f"changes a minute, {t.PLANNERS} planners",
        how="module alone",
        sizes=CHANGES_A_MINUTE,
        small=None,
        note=NOTE,
    )
    def measured(size: int) -> Iterator[float]:
        world = fleet(t.PLANNERS, 1, relays)
        load = Load("rate", size / 60, RATE_SECONDS)
        seconds, _ = run(world, load, Random("changes/1"))
        names, controls = [node.name for node in world.planners], [node.name for node in world.controls]
        traffic: Traffic = seconds.traffic(names, controls)
        yield traffic.busiest_planner


for each_load in LOADS:
    for each_way in WAYS:
        for each_key in QUANTITIES:
            register_way(each_way, each_load, each_key)
    if each_load.changes:
        register_time(each_load, "median", "time from commit to in force at the last planner, median")
        register_time(each_load, "worst", "time from commit to in force at the last planner, longest")
        register_time(each_load, "told", "time until told in force everywhere, longest")
register_rate("tree", 2)
register_rate("direct", 0)
