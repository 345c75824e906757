"""What one planner carries: guests a second, where its time goes, latency added, memory a guest.

Run as `python -m bench.throughput`. One planner on loopback sockets in this process beside scripted machines
and one scripted owner, all on one core, so the figures are of planner plus peers; `share` tells what is
whose. The plain structure that it is compared with is the module alone in the same run: the same asks and
answers as direct calls. Times are process CPU unless they say otherwise.
"""

import argparse
import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from math import ceil
from random import Random

import msgspec
import trio
from hdrh.histogram import HdrHistogram

from hazelhold.config.planner import (
    FleetSettings,
    GuestClassConfig,
    LimitsConfig,
    ListConfig,
    MachineKindConfig,
    MachinesConfig,
    PlannerConfig,
    deployment_settings,
)
from hazelhold.engine import admission
from hazelhold.engine.engine import Engine
from hazelhold.interface import (
    DecisionKind,
    DispatchOutcome,
    ListedMachine,
    MachineMode,
    OutcomeReason,
    Submission,
)
from hazelhold.protocol import messages as m
from hazelhold.scheduler import Scheduler
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net, TcpNet
from hazelhold.service.planner import Planner

SHAPES = [(0.25, 0.5), (0.5, 1.5), (1.0, 2.0), (2.0, 3.0)]
SERVICES = 60


def planner_config(listen: str = "127.0.0.1:0", lister: str = "") -> PlannerConfig:
    """One planner with room for whatever comes, so that room is never what limits it."""
    estate = FleetSettings(
        [GuestClassConfig("plain", "rerunnable", 800, 60_000, easy_until=1.0, lost_after=1.0)],
        [MachineKindConfig("box", 2000, 4000)],
        MachinesConfig(cores_multiple=4, memory_multiple=2, probing=False),
    )
    return PlannerConfig(
        "p",
        listen,
        ListConfig(lister, asked=False),
        estate,
        planners=1,
        limits=LimitsConfig(connect_ms=5000.0, send_bytes=1 << 26),
    )


def shape(number: int) -> tuple[str, float, float]:
    service = number % SERVICES
    return f"s{service}", *SHAPES[service % len(SHAPES)]


class Timed:
    """Wraps a Brain's decide and inputs, and sums the CPU time spent inside."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.spent = 0.0
        for name in (
            "decide",
            "next_decision_at",
            "guest_submitted",
            "dispatch_accepted",
            "dispatch_ended",
            "machine_reported",
            "guest_started",
            "machines_listed",
            "cores_used",
            "memory_used",
        ):
            setattr(scheduler, name, self.wrap(getattr(scheduler, name)))

    def wrap(self, call: Callable) -> Callable:
        def timed(*args: object) -> object:
            start = time.process_time()
            try:
                return call(*args)
            finally:
                self.spent += time.process_time() - start

        return timed


def alone(machines: int, running: int, guests: int, planners: int = 1) -> dict[str, float]:
    """The module with nothing round it: asks come one by one, are taken at once, and the oldest ends."""
    scheduler, random = (
        Scheduler(1, deployment_settings(planner_config())._replace(planners=planners)),
        Random(1),
    )
    scheduler.machines_listed(
        0,
        [ListedMachine(f"m{n}", MachineMode.READY, 0, 0, n // 4, 0, 2000.0, 4000.0) for n in range(machines)],
        True,
    )
    held: list[str] = []
    waits = HdrHistogram(1, 10**8, 3)
    now, start = 10**6, 0.0
    for number in range(running + guests):
        if number == running:
            start = time.process_time()
        now += 3000
        service, cores, memory = shape(number)
        began = time.perf_counter()
        scheduler.guest_submitted(now, Submission(f"g{number}", 0, 0, service, cores, memory, 60 * 10**6))
        while (decision := scheduler.decide(now)) is not None:
            if decision.kind is DecisionKind.DISPATCH:
                scheduler.dispatch_accepted(now, decision.guest, 1000)
                scheduler.guest_started(now, decision.guest)
                scheduler.cores_used(now, decision.guest, cores * random.uniform(0.3, 1))
                scheduler.memory_used(now, decision.guest, memory * random.uniform(0.3, 1))
                held.append(decision.guest)
        scheduler.next_decision_at(now)
        if number >= running:
            waits.record_value(max(1, round((time.perf_counter() - began) * 1e6)))
        if len(held) > running:
            scheduler.dispatch_ended(now, held.pop(0), DispatchOutcome.COMPLETED, True, OutcomeReason.NONE)
    return {
        "guests_a_second": guests / (time.process_time() - start),
        "median_us": waits.get_value_at_percentile(50),
        "p99_us": waits.get_value_at_percentile(99),
    }


class Peers:
    """Scripted machines that take everything at once, and the list that names them."""

    def __init__(self, net: Net, machines: int) -> None:
        self.net, self.machines, self.entries = net, machines, []
        self.wires: dict[str, MessageConnection] = {}
        self.random = Random(1)

    async def open(self, nursery: trio.Nursery, host: str) -> str:
        for number in range(self.machines):
            name = f"m{number}"

            async def serve(stream: trio.abc.Stream, name: str = name) -> None:
                wire = MessageConnection(stream, m.Codec(m.TO_MACHINE), self.net.now, send_bytes=1 << 26)
                async with trio.open_nursery() as here:
                    here.start_soon(wire.write)
                    await wire.first(m.Hello, 60)
                    wire.send(m.Welcome(name=name, incarnation=1))
                    self.wires[name] = wire
                    async for said in wire.messages():
                        self._said(wire, said)

            address = await self.net.listen(f"{host}:0", serve, nursery)
            self.entries.append(
                m.Entry(
                    machine=name,
                    address=address,
                    mode="ready",
                    kind="box",
                    incarnation=1,
                    cell=number // 4,
                    cores_room=2000.0,
                    memory_room=4000.0,
                )
            )

        async def listing(stream: trio.abc.Stream) -> None:
            wire = MessageConnection(stream, m.Codec(m.TO_LIST), self.net.now, send_bytes=1 << 26)
            async with trio.open_nursery() as here:
                here.start_soon(wire.write)
                await wire.first(m.Hello, 60)
                wire.send(m.Welcome(name="list"))
                wire.send(m.Listing(version=1, whole=True, entries=self.entries))
                async for _ in wire.messages():
                    pass

        return await self.net.listen(f"{host}:0", listing, nursery)

    def _said(self, wire: MessageConnection, said: m.Message) -> None:
        if isinstance(said, m.InventoryRequest):
            wire.send(m.Inventory(guests=[]))
        elif isinstance(said, m.Offer):
            about = {"guest": said.guest, "ask": said.ask, "attempt": said.attempt}
            wire.send(m.OfferAccepted(**about))
            wire.send(m.Started(**about))
            wire.send(
                m.ResourceUse(
                    **about,
                    cores=said.cores * self.random.uniform(0.3, 1),
                    memory=said.memory * self.random.uniform(0.3, 1),
                )
            )

    def end(self, guest: str, machine: str) -> None:
        self.wires[machine].send(m.Ended(guest=guest, how="done"))


async def sockets(machines: int, running: int, guests: int, window: int, once: int = 0) -> dict[str, float]:
    """A planner on loopback; `window` asks are out at a time, and each placed guest past `running` ends the
    oldest. Every `once`-th is of the product `once`, if the configuration has it. Latency is from the ask's
    writing to the answer's reading, with one ask out at a time."""
    net = TcpNet()
    waits = HdrHistogram(1, 10**8, 3)
    async with trio.open_nursery() as nursery:
        peers = Peers(net, machines)
        lister = await peers.open(nursery, "127.0.0.1")
        planner = Planner(planner_config(lister=lister), 1, net)
        timed = Timed(planner.engine.scheduler)
        await nursery.start(planner.run)
        while len(peers.wires) < machines:
            await trio.sleep(0.05)
        wire = MessageConnection(
            await net.dial(planner.address), m.Codec(m.TO_OWNER), net.now, send_bytes=1 << 26
        )
        nursery.start_soon(wire.write)
        wire.send(m.Hello(role="owner", name="o"))
        await wire.first(m.Welcome, 60)
        held: list[tuple[str, str]] = []
        sent_at: dict[str, float] = {}
        asked = placed = 0

        def ask() -> None:
            nonlocal asked
            service, cores, memory = shape(asked)
            sent_at[f"g{asked}"] = time.perf_counter()
            product = "once" if once and asked % once == 0 else "plain"
            wire.send(
                m.Submit(
                    guest=f"g{asked}",
                    product=product,
                    service=service,
                    cores=cores,
                    memory=memory,
                    patience=60_000_000,
                    life=600_000_000,
                )
            )
            asked += 1

        async def phase(until: int, wide: int, note: bool) -> None:
            nonlocal placed
            for _ in range(min(wide, until - asked)):  # no answer is left to a later phase
                ask()
            async for said in wire.messages():
                if not isinstance(said, m.Placed):
                    assert isinstance(said, m.Acknowledged | m.GuestEnded), said
                    continue
                placed += 1
                if note:
                    waits.record_value(max(1, round((time.perf_counter() - sent_at[said.guest]) * 1e6)))
                del sent_at[said.guest]
                held.append((said.guest, said.machine))
                if len(held) > running:
                    peers.end(*held.pop(0))
                if asked < until:
                    ask()
                if placed >= until:
                    return

        await phase(running, min(window, running), False)
        spent, start = timed.spent, time.process_time()
        await phase(running + guests, window, False)
        total = time.process_time() - start
        module = timed.spent - spent
        await phase(running + guests + guests // 4, 1, True)
        nursery.cancel_scope.cancel()
    return {
        "guests_a_second": guests / total,
        "module_share": module / total,
        "median_us": waits.get_value_at_percentile(50),
        "p99_us": waits.get_value_at_percentile(99),
    }


MEMORY_MACHINES = 60
PATIENCE = 60_000_000  # microseconds
PACE_SECONDS = 5  # over which the engine's admission control takes its pace


def memory(count: int, run: bool) -> float:
    """Bytes that an engine keeps for each request: running ones, or held ones that no machine takes."""
    tracemalloc.start()
    engine = Engine(planner_config(), 1, 0)
    engine.list_greeted(0, m.Welcome(name="list"))
    engine.list_said(
        0, m.Listing(version=1, whole=True, entries=memory_machines("ready" if run else "cordoned"))
    )
    if not run:
        give_pace(engine, count)
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    if run:
        tell_running(engine, count)
    else:
        submit_held(engine, count)
    engine.actions.clear()
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(engine.records) == count and engine.unanswered() == (0 if run else count)
    return kept / count


def memory_machines(mode: str) -> list[m.Entry]:
    """Machines in a list, all in this mode."""
    return [
        m.Entry(
            machine=f"m{number}",
            address="x",
            mode=mode,
            kind="box",
            incarnation=1,
            cores_room=2000.0,
            memory_room=4000.0,
        )
        for number in range(MEMORY_MACHINES)
    ]


def give_pace(engine: Engine, count: int) -> None:
    """Tells the engine's admission control of a pace at which a line of so many requests is no overload.

    Without a pace it refuses what goes past the first few in line.
    """
    line_seconds = PATIENCE / 1_000_000 * admission.QUEUE_SHARE
    for number in range(ceil((count + 1) / line_seconds * PACE_SECONDS)):
        engine.retry_advisor.placed(0, f"earlier{number}")


def tell_running(engine: Engine, count: int) -> None:
    """Each machine answers the roll call with its part of the running requests."""
    stands: dict[int, list[m.InventoryItem]] = {}
    for number in range(count):
        stands.setdefault(number % MEMORY_MACHINES, []).append(running_stand(number))
    for number, found in stands.items():
        engine.link_up(0, f"m{number}", m.Welcome(name=f"m{number}", incarnation=1))
        engine.machine_said(0, f"m{number}", m.Inventory(guests=found))


def running_stand(number: int) -> m.InventoryItem:
    service, cores, memory_used = shape(number)
    return m.InventoryItem(
        guest=f"g{number}",
        ask=0,
        attempt=0,
        state="runs",
        product="plain",
        service=service,
        cores=cores,
        memory=memory_used,
        owner="o",
    )


def submit_held(engine: Engine, count: int) -> None:
    """Owners submit requests that no machine takes."""
    for number in range(count):
        service, cores, memory_wanted = shape(number)
        request = m.Submit(
            guest=f"g{number}",
            product="plain",
            service=service,
            cores=cores,
            memory=memory_wanted,
            patience=PATIENCE,
        )
        engine.owner_said(number, "o", msgspec.convert(msgspec.to_builtins(request), m.Submit))
        engine.actions.clear()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--guests", type=int, default=1500)
    parser.add_argument("--sizes", default="14:450,85:2600", help="machines:running, …")
    parser.add_argument("--memory", default="1000,20000")
    options = parser.parse_args()
    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    found: dict[str, object] = {}
    for size in options.sizes.split(","):
        machines, running = (int(part) for part in size.split(":"))
        plain = alone(machines, running, options.guests)
        whole = trio.run(sockets, machines, running, options.guests, 32)
        found[f"{machines} machines, {running} running"] = {
            "module_alone": {k: round(v, 1) for k, v in plain.items()},
            "planner_on_loopback": {k: round(v, 3) for k, v in whole.items()},
            "throughput_ratio": round(whole["guests_a_second"] / plain["guests_a_second"], 3),
            "added_median_us": whole["median_us"] - plain["median_us"],
            "added_p99_us": whole["p99_us"] - plain["p99_us"],
        }
    for count in (int(part) for part in options.memory.split(",") if part):
        found[f"bytes a guest at {count}"] = {
            "held": round(memory(count, False)),
            "running": round(memory(count, True)),
        }
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
