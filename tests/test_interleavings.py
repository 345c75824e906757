"""Several planners on one set of machines in random event orders; the rules are checked from the records.

The day and its faults are the same in each run. What varies is the duration of each read on each connection
and the order of simultaneous events, so that offers, answers, ends and connection losses interleave
differently.
"""

from pathlib import Path
from random import Random

import pytest
import trio

from hazelhold.config.day import Trouble
from hazelhold.rehearse.run import play_virtual
from hazelhold.service.net import MemoryNet
from tests.test_day import bad_day

FAULTS = [
    Trouble("answer_lost", 0.5, 6, 0.5, 0.3),
    Trouble("planner_kill", 2, 0.7, which=0),
    Trouble("crash", 2.5, 1.5, 0.2),
    Trouble("planner_stop", 3, 0.5, which=2),
    Trouble("deploy", 3, 4, 0.5, 0.2),
    Trouble("zone_cut", 4, 1.5, which=1),
    Trouble("planner_kill", 5, 0.3, which=1),
    Trouble("list_down", 4, 3),
]


class SlowStream(trio.abc.Stream):
    """A stream whose reads take a random time, occasionally a long one, while other connections continue."""

    def __init__(self, inner: trio.abc.Stream, random: Random) -> None:
        self.inner, self.random = inner, random

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self.inner.receive_some(max_bytes)
        await trio.sleep(
            self.random.uniform(0, 0.12) if self.random.random() < 0.1 else self.random.uniform(0, 0.01)
        )
        return data

    async def send_all(self, data: bytes) -> None:
        await self.inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self.inner.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self.inner.aclose()


class SlowNet(MemoryNet):
    """A network whose dialled streams read late, each with a seed of its own."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = Random(f"slow/{seed}")

    async def dial(self, address: str) -> trio.abc.Stream:
        await trio.sleep(self.random.uniform(0, 0.05))
        return SlowStream(await super().dial(address), Random(self.random.random()))


@pytest.mark.parametrize("first", [1, 5, 9, 13])
def test_the_rules_hold_in_any_order_of_received_messages(tmp_path: Path, first: int) -> None:
    counts: set[tuple] = set()
    for seed in range(first, first + 4):
        day = bad_day(length_s=8.0, planners=4, zones=2, troubles=FAULTS)
        report = play_virtual(day, 1, tmp_path / str(seed), net=SlowNet(seed), interleaving=seed)
        assert report["rules_broken"] == [] and report["unaccounted"] == [], seed
        assert report["counts"]["placed"] > 60
        counts.add(tuple(sorted(report["counts"].items())))
    assert len(counts) > 1, "the orders differ"


def test_the_same_seed_gives_the_same_order(tmp_path: Path) -> None:
    reports = []
    for name in "ab":
        day = bad_day(length_s=4.0, planners=3, troubles=FAULTS[:3])
        reports.append(play_virtual(day, 1, tmp_path / name, net=SlowNet(3), interleaving=3))
        del reports[-1]["seconds"]
    assert reports[0] == reports[1]


def test_a_planner_that_offers_a_guest_again_at_once_is_detected_in_some_order(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from hazelhold.scheduler import Scheduler

    monkeypatch.setattr(Scheduler, "_allowed", lambda self, guest, machine, now: True)
    broken_rules: set[int] = set()
    for seed in range(3):
        day = bad_day(length_s=8.0, planners=4, zones=2, troubles=FAULTS)
        report = play_virtual(day, 1, tmp_path / str(seed), net=SlowNet(seed), interleaving=seed)
        broken_rules |= {b["rule"] for b in report["rules_broken"]}
    assert broken_rules
