"""Clients that lose their planner together, in virtual time: how crowded their return is, and how long it
takes.

Run as `python -m bench.returns --sizes 1000,10000 --plot docs/plots/returns.png`. Each row plays one loss
twice, with the library's spreading and with clients that dial again every 50 ms whatever they are told. The
planner's processor is emulated by costs (hazelhold/emulate/client_population.py); the cores, the
door, the engine and the module are the real ones.
"""

import argparse
import json
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from bench.throughput import planner_config
from hazelhold.client.types import ClientPolicy
from hazelhold.emulate.client_population import BIN, SECOND, ClientPopulation, Demand

# Seconds until the planner is back; a second number: it dies again after so long, for the third number.
LOSSES = {
    "back at once": (0.05,),
    "after 2 s": (2.0,),
    "after 30 s": (30.0,),
    "dies again amid the return": (2.0, 1.0, 2.0),
}


def play(size: int, loss: str, spread: bool, last_words: bool, patience: int = 10 * SECOND) -> dict[str, Any]:
    """One loss. The demand is 100 guests a second, each living a second, whatever the number of clients."""
    began = time.process_time()
    town = ClientPopulation(
        planner_config(), size, 1, Demand(100.0, patience, SECOND), ClientPolicy(), spread
    )
    town.open(max(4 * SECOND, size * SECOND // 250))
    while len(town.connected_at) < size:
        town.clock.run(town.clock.now + SECOND)
    town.generate_guests(town.clock.now + 600 * SECOND)
    town.clock.run(town.clock.now + 5 * SECOND)
    gone, before = town.clock.now, dict(town.counts)
    window = town.planner._window() if last_words else 0
    for number, span in enumerate(LOSSES[loss]):
        if number % 2 == 0:
            town.planner.stop(last_words)
            town.clock.run(town.clock.now + round(span * SECOND))
            town.planner.start()
            up = town.clock.now
        else:
            town.clock.run(town.clock.now + round(span * SECOND))
    limit = town.clock.now + 600 * SECOND
    while len(town.connected_at) < size and town.clock.now < limit:
        town.clock.run(town.clock.now + BIN)
    took = town.clock.now - up
    town.generate_until = 0
    town.clock.run(town.clock.now + patience + 2 * SECOND)
    dials = [town.dials[at] for at in range(gone // BIN, (up + took) // BIN + 1)]
    counts = {k: n - before.get(k, 0) for k, n in town.counts.items()}
    return {
        "clients": size,
        "loss": loss,
        "spread": spread,
        "last_words": last_words,
        "window_s": round(window / SECOND, 1),
        "back_after_s": round(took / SECOND, 1),
        "peak_dials": max(dials),
        "peak_frames": town.peak(town.frames, gone),
        "dials": sum(dials),
        "asks": counts.get("asks", 0),
        "retries": counts.get("retries", 0),
        "retries_that_served": counts.get("retries_that_served", 0),
        "late_retries": counts.get("late_retries", 0),
        "placed": counts.get("placed", 0),
        "not_placed": sum(counts.get(k, 0) for k in ("turned_back", "broken_off", "unknown")),
        "cpu_s": round(time.process_time() - began, 1),
        "by_tenth": dials[:400],
    }


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    shown = [r for r in rows if r["loss"] == "after 2 s" and r["last_words"]]
    figure, axes = plt.subplots(1, len(shown) // 2, figsize=(5 * len(shown) // 2, 3.2), squeeze=False)
    for axis, size in zip(axes[0], sorted({r["clients"] for r in shown}), strict=True):
        for row in (r for r in shown if r["clients"] == size):
            axis.plot(
                [at / 10 for at in range(len(row["by_tenth"]))],
                row["by_tenth"],
                label="spread" if row["spread"] else "every 50 ms",
            )
        axis.set(
            title=f"{size} clients, planner away 2 s",
            xlabel="seconds since the loss",
            ylabel="dials in 100 ms",
            yscale="symlog",
        )
        axis.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=80)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="1000,10000")
    parser.add_argument("--losses", default=",".join(LOSSES))
    parser.add_argument(
        "--spread-only",
        action="store_true",
        help="without the clients that dial every 50 ms (100,000 make 400 million dials)",
    )
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    jobs = [
        (int(size), loss, spread, words)
        for size in options.sizes.split(",")
        for loss in options.losses.split(",")
        for words in (True, False)
        for spread in ((True,) if options.spread_only or not words else (True, False))
    ]
    with ProcessPoolExecutor(6) as pool:
        rows = list(pool.map(play, *zip(*jobs, strict=True)))
    for row in rows:
        print(json.dumps({k: v for k, v in row.items() if k != "by_tenth"}))
    if options.plot:
        draw(rows, options.plot)


if __name__ == "__main__":
    main()
