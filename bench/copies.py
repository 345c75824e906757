"""What claims cost, and how fast lost votes come back.

    python -m bench.copies [--quick] [--json FILE]

- claims: planners' parts (`Copies`) on loopback, all on one core of one process, so each figure carries the
  work of all of them; latency with one claim out, claims a second with 64 out; with syncs, without, and with
  one of the replicas away;
- gap: claims one after another while planners of the set end;
- planner: guests a second of one planner's processor time, two other planners' parts in a process of their
  own, by the share of exclusive guests, copies on against off, in turn in one run;
- catch-up: one that lost its votes and copies N cells, and one whose disk is a hundredth behind;
- size: words that a claim takes, and what drawing the sets costs at the start, by planners.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import structlog
import trio
from hdrh.histogram import HdrHistogram
from msgspec.structs import replace

from bench import throughput
from hazelhold.config.planner import GuestClassConfig, ReplicaPlannerConfig, ReplicationConfig
from hazelhold.protocol.messages import encode
from hazelhold.rehearse.ports import free_ports
from hazelhold.replica import messages
from hazelhold.replica.acceptor import Acceptor
from hazelhold.replica.claims import Claim, Take
from hazelhold.replica.claims import encode as packed
from hazelhold.replica.host import ReplicaHost
from hazelhold.replica.proposer import Proposer, Send
from hazelhold.replica.rejoin import RejoinClient, RejoinServer
from hazelhold.replica.sets import ReplicaCandidate, ReplicaSets
from hazelhold.replica.votes import found
from hazelhold.service.net import TcpNet
from hazelhold.state.disk import RealDisk


class Unsafe(RealDisk):
    """Does not sync."""

    def sync(self, name: str) -> None:
        pass


def configs(count: int, folder: Path, replicas: int) -> list[ReplicationConfig]:
    planners = [
        ReplicaPlannerConfig(f"p{n}" if n else "p", f"127.0.0.1:{port}", f"z{n % 3}")
        for n, port in enumerate(free_ports(count))
    ]
    return [
        ReplicationConfig(
            listen=p.address,
            folder=str(folder / p.name),
            planners=planners,
            replicas=replicas,
            claim_ms=5000.0,
        )
        for p in planners
    ]


def name_of(config: ReplicationConfig) -> str:
    return next(p.name for p in config.planners if p.address == config.listen)


class Asker:
    """Waits for the ends of one part's askings."""

    def __init__(self) -> None:
        self.ends: dict[int, str] = {}
        self.events: dict[int, trio.Event] = {}

    def told(self, no: int, outcome: str, value: bytes, reason: str) -> None:
        self.ends[no] = outcome
        self.events.pop(no).set()


@asynccontextmanager
async def group(
    count: int, replicas: int, sync: bool, away: int = 0
) -> AsyncIterator[tuple[ReplicaHost, Asker, list[trio.CancelScope]]]:
    """So many parts, votes ready; the first is yielded. The last `away` are ended once all are ready."""
    with tempfile.TemporaryDirectory() as text:
        net, kind = TcpNet(), RealDisk if sync else Unsafe
        made, asker = [], Asker()
        async with trio.open_nursery() as nursery:
            scopes = []
            for config in configs(count, Path(text), replicas):
                disk = kind(Path(config.folder))
                found(disk, name_of(config), config, net.wall())
                part = ReplicaHost(
                    name_of(config),
                    config,
                    net,
                    kind(Path(config.folder)),
                    asker.told if not made else lambda *_: None,
                )
                part.open()
                made.append(part)
                scope = trio.CancelScope()
                scopes.append(scope)

                async def run(
                    part: ReplicaHost = part,
                    scope: trio.CancelScope = scope,
                    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
                ) -> None:
                    with scope:
                        await part.run(task_status=task_status)

                await nursery.start(run)
            while not all(len(p.votes.acceptor.voting) == len(p.votes.rejoin_client.others) for p in made):
                await trio.sleep(0.05)
            for scope in scopes[count - away :]:
                scope.cancel()
            await trio.sleep(0.2)
            yield made[0], asker, scopes
            nursery.cancel_scope.cancel()


async def claims(count: int, replicas: int, sync: bool, away: int, claims_: int) -> dict[str, Any]:
    waits = HdrHistogram(1, 10**8, 3)
    async with group(count, replicas, sync, away) as (part, asker, _):
        number = 0

        async def one(note: bool) -> None:
            nonlocal number
            number += 1
            mine = number
            event = asker.events[mine] = trio.Event()
            began = time.perf_counter()
            part.propose(mine, f"claim/g{mine}", Take("p", 1, 0, 0, "m", mine), part.net.now() + 5_000_000)
            await event.wait()
            assert asker.ends.pop(mine) == "agreed"
            if note:
                waits.record_value(max(1, round((time.perf_counter() - began) * 1e6)))

        for _ in range(20):
            await one(False)
        for _ in range(claims_ // 4):
            await one(True)

        async def worker() -> None:
            while number < claims_:
                await one(False)

        began, before = time.perf_counter(), number
        async with trio.open_nursery() as nursery:
            for _ in range(64):
                nursery.start_soon(worker)
        rate = (number - before) / (time.perf_counter() - began)
    return {
        "planners": count,
        "replicas": replicas,
        "sync": sync,
        "away": away,
        "median_ms": round(waits.get_value_at_percentile(50) / 1000, 2),
        "p99_ms": round(waits.get_value_at_percentile(99) / 1000, 2),
        "claims_a_second": round(rate),
    }


async def gap(count: int, replicas: int, deaths: int) -> dict[str, Any]:
    """Claims one after another, every 5 ms, while others of the set end: the longest wait of any."""
    longest, done = 0.0, 0
    async with group(count, replicas, True) as (part, asker, scopes):
        for number in range(1, 401):
            if number in (100, 200)[:deaths]:
                scopes.pop().cancel()
            event = asker.events[number] = trio.Event()
            began = time.perf_counter()
            part.propose(
                number, f"claim/g{number}", Take("p", 1, 0, 0, "m", number), part.net.now() + 5_000_000
            )
            await event.wait()
            longest = max(longest, time.perf_counter() - began)
            done += asker.ends.pop(number) == "agreed"
            await trio.sleep(0.005)
    return {
        "planners": count,
        "replicas": replicas,
        "deaths": deaths,
        "agreed": done,
        "longest_ms": round(longest * 1000, 1),
    }


def others(folder: Path) -> None:
    """The parts of the other planners, in a process of their own, until standard input ends."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            for file in sorted(folder.glob("other*.json")):
                config = msgspec.json.decode(file.read_bytes(), type=ReplicationConfig)
                part = ReplicaHost(
                    name_of(config), config, TcpNet(), RealDisk(Path(config.folder)), lambda *_: None
                )
                part.open()
                await nursery.start(part.run)
            print("up", flush=True)
            await trio.to_thread.run_sync(sys.stdin.read)
            nursery.cancel_scope.cancel()

    trio.run(run)


def planner(guests: int, once: int, on: bool) -> float:
    """Guests a second of one planner's processor time; every `once`-th is exclusive."""
    plain = throughput.planner_config
    with tempfile.TemporaryDirectory() as text:
        folder, process = Path(text), None
        made = configs(3, folder, 3)
        for config in made:
            found(RealDisk(Path(config.folder)), name_of(config), config, time.time_ns() // 1000)
        for number, config in enumerate(made[1:]):
            (folder / f"other{number}.json").write_bytes(msgspec.json.encode(config))
        if on:
            process = subprocess.Popen(
                [sys.executable, "-m", "bench.copies", "--others", text],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            assert process.stdout.readline() == b"up\n"
        exclusive = GuestClassConfig("once", "exclusive", 800, 60_000, easy_until=1.0, lost_after=1.0)

        def config(*args: object, **more: object) -> object:
            found_ = plain(*args, **more)
            estate = replace(found_.estate, products=[*found_.estate.products, exclusive])
            return replace(found_, estate=estate, copies=made[0] if on else ReplicationConfig())

        throughput.planner_config = config
        try:
            said = trio.run(throughput.sockets, 14, 300, guests, 32, once)
        finally:
            throughput.planner_config = plain
            if process is not None:
                process.stdin.close()
                process.wait(10)
    return said["guests_a_second"]


def compare(guests: int, once: int, rounds: int) -> dict[str, Any]:
    """The best of each, in turn."""
    best = {on: 0.0 for on in (False, True)}
    for _ in range(rounds):
        for on in best:
            best[on] = max(best[on], planner(guests, once, on))
    return {
        "exclusive": f"one in {once}" if once else "none",
        "off": round(best[False]),
        "on": round(best[True]),
        "ratio": round(best[True] / best[False], 3),
    }


def catch_up(count: int, behind: float) -> dict[str, Any]:
    """Copies from two others, without a network: seconds of all three, bytes of words against bytes of cells
    that differ."""
    planners = [ReplicaCandidate(n) for n in ("a", "b", "c")]
    sets = ReplicaSets(planners, 3)
    full = {n: Acceptor(1, set(range(sets.size)), name=n, sets=sets) for n in "bc"}
    mine = Acceptor(1, set(), name="a", sets=sets)
    differ = 0
    for number in range(count):
        ballot = messages.Ballot(number + 1, "planner-1/1234567890/abcdef")
        value = packed(Claim("planner-1", 3, 0, 0, "placed", f"m{number % 900:03d}", "", number))
        key = f"claim/owner3-{number}"
        for acceptor in (*full.values(), *([] if number < behind * count else [mine])):
            acceptor.set(key, acceptor.empty._replace(promised=ballot, accepted=ballot, value=value))
        if number < behind * count:
            differ += len(msgspec.msgpack.encode(messages.CellCopy(key, ballot, ballot, value)))
    sources = {n: RejoinServer(n, sets, a) for n, a in full.items()}
    for source in sources.values():
        source.can_serve = True
    rejoin_client, spent, longest = RejoinClient("a", sets, mine, 7), 0, 0.0
    began = time.perf_counter()
    for _ in range(5):
        rejoin_client.tick()
        while rejoin_client.outgoing:
            out, rejoin_client.outgoing = rejoin_client.outgoing, []
            for each in out:
                start = time.perf_counter()
                answer = sources[each.to].receive("a", each.message)
                spent += len(encode(each.message)) + len(encode(answer))
                longest = max(longest, time.perf_counter() - start)
                rejoin_client.receive(each.to, answer)
    assert rejoin_client.is_complete() and len(mine.cells) == count
    return {
        "cells": count,
        "behind": behind,
        "seconds": round(time.perf_counter() - began, 2),
        "bytes": spent,
        "bytes_that_differ": differ,
        "ratio": round(spent / max(1, differ), 2),
        "source_away_ms": round(longest * 1000, 1),
    }


def size(count: int) -> dict[str, Any]:
    """Words of one claim, and seconds until all sets are drawn and sorted for one that comes back."""
    sets = ReplicaSets([ReplicaCandidate(f"p{n}", f"z{n % 5}") for n in range(count)], 3)
    began = time.perf_counter()
    rejoin_client = RejoinClient("p0", sets, Acceptor(1, set(), name="p0", sets=sets), 1)
    drawn = time.perf_counter() - began
    proposer, sent = Proposer("p0/1", 1, 1), 0
    acceptors = {f"p{n}": Acceptor(1, True) for n in range(count)}
    proposer.propose(0, "claim/g", Take("p0", 1, 0, 0, "m", 1), sets("claim/g"), 10**9)
    while proposer.actions:
        actions, proposer.actions = proposer.actions, []
        for action in (a for a in actions if isinstance(a, Send)):
            sent += 2
            proposer.receive(1, action.to, acceptors[action.to].receive(action.message)[0])
    return {
        "planners": count,
        "words_a_claim": sent,
        "slots": len(rejoin_client.others),
        "mates": len(rejoin_client.peers),
        "start_s": round(drawn, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--others", type=Path)
    given = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    if given.others:
        others(given.others)
        return
    said: dict[str, list] = {"claims": [], "gap": [], "planner": [], "catch_up": [], "size": []}

    def note(part: str, row: dict[str, Any]) -> None:
        said[part].append(row)
        print(part, json.dumps(row), flush=True)

    many = 400 if given.quick else 2000
    cases = (
        (3, 3, True, 0),
        (3, 3, False, 0),
        (3, 3, True, 1),
        (5, 5, True, 0),
        (5, 5, False, 0),
        (5, 5, True, 1),
        (16, 3, True, 0),
        (16, 5, True, 0),
    )
    for count, replicas, sync, away in cases:
        note("claims", trio.run(claims, count, replicas, sync, away, many))
    for count, replicas, deaths in ((3, 3, 1), (5, 5, 2)):
        note("gap", trio.run(gap, count, replicas, deaths))
    for once in (0, 5, 1):
        note("planner", compare(300 if given.quick else 1500, once, 1 if given.quick else 3))
    for count in (1_000, 25_000) if given.quick else (1_000, 25_000, 100_000):
        for behind in (1.0, 0.01):
            note("catch_up", catch_up(count, behind))
    for count in (3, 16, 230, 1024):
        note("size", size(count))
    if given.json:
        given.json.write_text(json.dumps(said, indent=1) + "\n")


if __name__ == "__main__":
    main()
