"""Useful answers under more demand than can be carried, in virtual time.

Run as `python -m bench.overload --plot docs/plots/overload.png`. Two limits, each at multiples of what it
carries:

- the planner's processor: a thousand clients, machines that take everything, and a processor that is
  emulated by costs (hazelhold/emulate/client_population.py), once with all protections and once without (no
  ask refused for the line, decisions without a pause to read, clients that repeat at once and without a
  budget);
- the machines: the quiet example's, as models, with stand-in senders.

Useful are guests placed within their patience. The machines' own evictions are not the planner's to answer.
"""

import argparse
import json
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import structlog
import trio
from msgspec.structs import replace

from bench.throughput import planner_config
from hazelhold.client.types import ClientPolicy
from hazelhold.config.day import read_day
from hazelhold.emulate.client_population import SECOND, ClientPopulation, Costs, Demand
from hazelhold.protocol import messages as m
from hazelhold.rehearse.run import play_virtual
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import TcpNet
from hazelhold.service.planner import Planner

EXAMPLE = Path(__file__).parent.parent / "examples" / "quiet-day.json5"
CARRIES = 25.0  # guests a second that the quiet example's machines take for long


def processor(times: float, protected: bool, seconds: int = 7) -> dict[str, Any]:
    """A thousand clients against one processor."""
    began, costs = time.process_time(), Costs()
    carries = SECOND / (costs.decision + 4 * costs.frame)  # a submit, a taken, a started, an ended
    planner = planner_config()
    policy = ClientPolicy()
    if not protected:
        planner = replace(planner, limits=replace(planner.limits, decisions_at_once=1_000_000))
        policy = ClientPolicy(retry_share=1e9, retry_burst=1e9, again_least=1, again_most=SECOND // 20)
    town = ClientPopulation(
        planner, 1000, 1, Demand(times * carries, 2 * SECOND, SECOND // 2), policy, costs=costs, machines=32
    )
    town.open(4 * SECOND)
    town.clock.run(8 * SECOND)
    if not protected:
        town.planner.engine.retry_advisor.cannot_be_served = lambda *asked: False
    town.generate_guests(town.clock.now + seconds * SECOND)
    start = town.clock.now + 2 * SECOND
    town.clock.run(town.clock.now + seconds * SECOND)
    useful = sum(n for at, n in town.useful.items() if at * SECOND // 10 >= start)
    town.clock.run(town.clock.now + 4 * SECOND)
    advice, counts = town.planner.engine.retry_advisor.counts, town.counts
    return {
        "limit": "processor",
        "times": times,
        "protected": protected,
        "carries": round(carries),
        "useful_a_second": round(useful / (seconds - 2)),
        "asks": counts["asks"],
        "held_back": sum(c.counts["held_back"] for c in town.cores.values()),
        "retries": counts["retries"],
        "retries_that_served": counts["retries_that_served"],
        "late_retries": counts["late_retries"],
        "refused": town.planner.engine.counts["rejected_overloaded"],
        "advised_came": advice["advised_came"],
        "advised_served": advice["advised_served"],
        "advised_came_early": advice["advised_came_early"],
        "runs": counts["runs"],
        "placed": counts["placed"],
        "cpu_s": round(time.process_time() - began, 1),
    }


async def refusals(count: int = 20_000) -> float:
    """Microseconds of processor time for an ask that is refused for the line, on loopback, both ends."""
    net = TcpNet()
    planner = Planner(planner_config(lister="127.0.0.1:1"), 1, net)
    planner.engine.retry_advisor.cannot_be_served = lambda *asked: True
    async with trio.open_nursery() as nursery:
        await nursery.start(planner.run)
        wire = MessageConnection(
            await net.dial(planner.address), m.Codec(m.TO_OWNER), net.now, send_bytes=1 << 28
        )
        nursery.start_soon(wire.write)
        wire.send(m.Hello(role="owner", name="o"))
        await wire.first(m.Welcome, 9)

        async def ask() -> None:
            for number in range(count):
                wire.send(
                    m.Submit(
                        guest=f"g{number}",
                        product="plain",
                        service=f"s{number % 60}",
                        cores=1.0,
                        memory=1.0,
                        patience=2 * SECOND,
                    )
                )
                if number % 50 == 0:
                    await trio.lowlevel.checkpoint()

        start, refused = time.process_time(), 0
        nursery.start_soon(ask)
        async for said in wire.messages():
            refused += isinstance(said, m.Rejected)
            if refused == count:
                break
        spent = time.process_time() - start
        nursery.cancel_scope.cancel()
    return spent / count * 1e6


def machines(times: float) -> dict[str, Any]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    day = read_day(EXAMPLE)
    day = replace(
        day, length_s=15.0, planners=1, demand=replace(day.demand, rate=CARRIES * times, cancel_share=0.0)
    )
    with tempfile.TemporaryDirectory() as folder:
        said = play_virtual(day, 1, Path(folder))
    counts = said["counts"]
    return {
        "limit": "machines",
        "times": times,
        "guests": said["service"]["guests"],
        "useful_a_second": round(counts.get("placed", 0) / 15),
        "turned_back": counts.get("turned_back", 0),
        "service": said["service"]["service"],
        "rules_broken": len(said["rules_broken"]),
    }


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, 2, figsize=(9, 3.2))
    for protected in (True, False):
        shown = [r for r in rows if r["limit"] == "processor" and r["protected"] is protected]
        axes[0].plot(
            [r["times"] for r in shown],
            [r["useful_a_second"] for r in shown],
            marker="o",
            label="with protections" if protected else "without",
        )
    axes[0].set(
        title="the planner's processor (emulated)",
        xlabel="demand, times what it carries",
        ylabel="useful answers a second",
        ylim=(0, None),
    )
    axes[0].legend()
    shown = [r for r in rows if r["limit"] == "machines"]
    axes[1].plot([r["times"] for r in shown], [r["useful_a_second"] for r in shown], marker="o")
    axes[1].set(title="the machines (models)", xlabel=f"demand, times {CARRIES:g} a second", ylim=(0, None))
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=80)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--times", default="1,2,5,10")
    parser.add_argument("--limits", default="processor,machines")
    parser.add_argument(
        "--bare",
        type=float,
        default=2.0,
        help="run without protections up to this multiple; past it a run takes hours",
    )
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    print(json.dumps({"refused_ask_us_both_ends": round(trio.run(refusals), 1)}), flush=True)
    times = [float(part) for part in options.times.split(",")]
    rows = []
    with ProcessPoolExecutor(8) as pool:
        futures = []
        if "processor" in options.limits:
            futures += [
                pool.submit(processor, each, protected)
                for each in times
                for protected in (True, False)
                if protected or each <= options.bare
            ]
        if "machines" in options.limits:
            futures += [pool.submit(machines, each) for each in times]
        for future in futures:
            rows.append(future.result())
            print(json.dumps(rows[-1]), flush=True)
    if options.plot:
        draw(rows, options.plot)


if __name__ == "__main__":
    main()
