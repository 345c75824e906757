"""What a client costs, and whether the waits that it is advised are true.

Run as `python -m bench.client`. Cost: the core alone, a guest from submit to its end, beside the encoding
and decoding of its messages as the plain part; memory of a client with one planner. Advice: a thousand
clients whose patience outlasts the line, at twice what the planner's emulated processor carries
(hazelhold/emulate/client_population.py).
"""

import argparse
import gc
import json
import time
import tracemalloc
from random import Random
from typing import Any

import structlog

from bench.throughput import planner_config
from hazelhold.client.core import ClientCore
from hazelhold.client.types import ClientPolicy, TaskRequest
from hazelhold.emulate.client_population import SECOND, ClientPopulation, Costs, Demand
from hazelhold.protocol import messages as m

CODEC = m.Codec(m.TO_OWNER)


def cost(guests: int = 20_000) -> dict[str, Any]:
    core = ClientCore("c", ["p"], ClientPolicy(), Random(1))
    core.start(0)
    core.connected(0, "p")
    start = time.process_time()
    for number in range(guests):
        now, name = number * 1000, f"g{number}"
        core.submit(now, TaskRequest(name, "plain", "s", 1.0, 1.0, 5 * SECOND, "rerunnable"))
        core.receive(now, "p", m.Acknowledged(guest=name))
        core.receive(now, "p", m.Placed(guest=name, machine="m"))
        core.receive(now, "p", m.GuestEnded(guest=name, how="done"))
        core.advance(now)
        core.actions.clear()
    spent = time.process_time() - start
    start = time.process_time()
    for number in range(guests):
        name = f"g{number}"
        m.encode(
            m.Submit(guest=name, product="plain", service="s", cores=1.0, memory=1.0, patience=5 * SECOND)
        )
        for said in (
            m.Acknowledged(guest=name),
            m.Placed(guest=name, machine="m"),
            m.GuestEnded(guest=name, how="done"),
        ):
            CODEC.decode(m.ENCODER.encode(said))
    wire = time.process_time() - start
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    random = Random(1)
    kept = [ClientCore(f"c{n}", ["p"], ClientPolicy(), random) for n in range(2000)]
    for each in kept:
        each.start(0)
        each.connected(0, "p")
        each.actions.clear()
    gc.collect()
    size = (tracemalloc.get_traced_memory()[0] - before) / len(kept)
    tracemalloc.stop()
    return {
        "core_us_a_guest": round(spent / guests * 1e6, 1),
        "messages_us_a_guest": round(wire / guests * 1e6, 1),
        "left_over": len(core.pending),
        "agenda": len(core.agenda),
        "bytes_a_connection": round(size),
    }


def advice(times: float, patience: int, seconds: int) -> dict[str, Any]:
    costs = Costs(decision=9000)  # a slow planner: the same line with fewer decisions to compute
    carries = SECOND / (costs.decision + 4 * costs.frame)
    town = ClientPopulation(
        planner_config(),
        300,
        1,
        Demand(times * carries, patience, SECOND // 2),
        ClientPolicy(),
        costs=costs,
        machines=8,
    )
    town.open(2 * SECOND)
    town.clock.run(4 * SECOND)
    town.generate_guests(town.clock.now + seconds * SECOND)
    town.clock.run(town.clock.now + (seconds + 2) * SECOND + patience)
    said, counts = town.planner.engine.retry_advisor.counts, town.counts
    return {
        "times": times,
        "patience_s": patience / SECOND,
        "carries": round(carries),
        "made": town.submitted,
        "placed": counts["placed"],
        "asks": counts["asks"],
        "retries": counts["retries"],
        "retries_that_served": counts["retries_that_served"],
        "late_retries": counts["late_retries"],
        **{
            k: said[k]
            for k in ("advised_came", "advised_served", "advised_turned_back", "advised_came_early")
        },
        "served_when_advised": round(said["advised_served"] / max(1, said["advised_came"]), 3),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=int, default=40)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    print(json.dumps(cost()))
    for times in (1.2, 2.0, 5.0):
        print(json.dumps(advice(times, 20 * SECOND, options.seconds)), flush=True)


if __name__ == "__main__":
    main()
