"""What keeping state costs, how long recovery takes, and what it is worth.

Run as `python -m bench.state --plot docs/plots/recovery.png`:

- cost: one planner on loopback with scripted peers (bench.throughput), without state and with it, in turn;
- recovery: a state of N guests, a fifth of them held, written to a real disk, read and fed into a new engine;
- log: bytes kept after a week of guests in virtual time, at the planner's usual pace;
- worth: the same day with its planner killed, without state and with it: service in the 30 s after it.
"""

import argparse
import json
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

import structlog
import trio
from msgspec.structs import replace

from bench import throughput
from hazelhold.config.day import Trouble, read_day
from hazelhold.config.planner import StateConfig
from hazelhold.engine.engine import Engine
from hazelhold.protocol import messages as m
from hazelhold.rehearse.crashes import play_crashes
from hazelhold.rehearse.run import play_virtual
from hazelhold.scheduler import Scheduler
from hazelhold.state.disk import RealDisk
from hazelhold.state.images import AnswerImage, EndImage, GuestImage, ListImage, drop, put
from hazelhold.state.store import Store

SECOND = 1_000_000


def cost(machines: int, running: int, guests: int, rounds: int) -> dict[str, Any]:
    """Guests a second of processor time and of the clock, with state on and off, in turn."""
    plain = throughput.planner_config
    rows: dict[str, list[dict[str, float]]] = {"off": [], "on": []}
    for _ in range(rounds):
        for mode in rows:
            with tempfile.TemporaryDirectory() as folder:
                state = StateConfig(folder=folder if mode == "on" else "")
                throughput.planner_config = lambda *a, state=state, **k: replace(plain(*a, **k), state=state)
                began = time.monotonic()
                said = trio.run(throughput.sockets, machines, running, guests, 32)
                said["wall_s"] = time.monotonic() - began
                rows[mode].append(said)
    throughput.planner_config = plain
    best = {
        mode: {
            "guests_a_second": max(r["guests_a_second"] for r in found),
            "wall_s": min(r["wall_s"] for r in found),
            "median_us": min(r["median_us"] for r in found),
            "p99_us": min(r["p99_us"] for r in found),
        }
        for mode, found in rows.items()
    }
    return {
        **{mode: {k: round(v, 1) for k, v in row.items()} for mode, row in best.items()},
        "throughput_ratio": round(best["on"]["guests_a_second"] / best["off"]["guests_a_second"], 3),
        "wall_ratio": round(best["off"]["wall_s"] / best["on"]["wall_s"], 3),
    }


def images(count: int, wall: int) -> list:
    """A state of so many guests: a fifth held, the rest running, on one machine for 30 of them."""
    random, machines = Random(1), max(1, count // 30)
    entries = [
        m.Entry(
            machine=f"m{n}",
            address="x:1",
            mode="ready",
            kind="box",
            incarnation=1,
            cores_room=1000.0,
            memory_room=1000.0,
            up_for=600 * SECOND,
        )
        for n in range(machines)
    ]
    changes = [put("list", "", ListImage(1, wall, entries))]
    for number in range(count):
        service, cores, memory = throughput.shape(number)
        held = number % 5 == 0
        image = GuestImage(
            f"g{number}/0",
            f"g{number}",
            0,
            "o",
            "plain",
            service,
            cores,
            memory,
            wall + 30 * SECOND if held else 0,
            (0,) if held else (),
            life=600 * SECOND,
            attempt=-1 if held else 0,
            spent=0 if held else 1,
            machine="" if held else f"m{random.randrange(machines)}",
            incarnation=1,
            sent_at=0 if held else wall - SECOND,
            placed=not held,
        )
        changes.append(put("guest", f"g{number}/0", image))
    return changes


def recovery(count: int) -> dict[str, Any]:
    """Seconds to read, to feed the engine, to begin a new generation; bytes for each guest."""
    with tempfile.TemporaryDirectory() as folder:
        wall = time.time_ns() // 1000
        first = Store(RealDisk(Path(folder)), "p")
        first.open(wall, "p 1")
        first.begin(wall)
        changes = images(count, wall)
        for at in range(0, len(changes), 100):
            first.commit(changes[at : at + 100])
        first.close()
        size = sum(p.stat().st_size for p in Path(folder).iterdir())
        began = time.perf_counter()
        store = Store(RealDisk(Path(folder)), "p")
        found = store.open(wall, "p 2")
        read = time.perf_counter()
        engine = Engine(throughput.planner_config(), 1, 10 * SECOND)
        engine.keep(10 * SECOND, wall - 10 * SECOND, found.state_table, True)
        fed = time.perf_counter()
        store.begin(wall)
        written = time.perf_counter()
        store.close()
        assert len(engine.records) == count
    return {
        "guests": count,
        "read_s": round(read - began, 3),
        "fed_s": round(fed - read, 3),
        "written_s": round(written - fed, 3),
        "recovered_s": round(written - began, 3),
        "bytes_a_guest": round(size / count),
    }


def week(rate: float) -> dict[str, Any]:
    """The most that files took over a simulated week of guests at this rate, each answered, run and ended."""
    with tempfile.TemporaryDirectory() as folder:
        store, most, days = Store(RealDisk(Path(folder)), "p"), 0, 7
        store.disk.sync = lambda name: None  # a week of syncs would be waited for here
        store.open(0, "p 1")
        store.begin(0)
        step = max(1, round(rate * 60))
        for minute in range(days * 24 * 60 // 10):  # every tenth minute of the week
            now = minute * 600 * SECOND
            changes = []
            for number in range(step):
                name = f"g{minute}-{number}"
                image = GuestImage(f"{name}/0", name, 0, "o", "plain", "s1", 1.0, 1.0, now, (0,))
                answer = AnswerImage(name, 0, m.ENCODER.encode(m.Placed(guest=name, machine="m1")))
                changes += [
                    put("guest", f"{name}/0", image),
                    put("answer", f"{name}\0000", answer, now + 30 * SECOND),
                ]
            store.commit(changes)
            store.commit(
                [
                    c
                    for n in range(step)
                    for c in (
                        drop("guest", f"g{minute}-{n}/0"),
                        put("end", f"g{minute}-{n}", EndImage(f"g{minute}-{n}", "done"), now + 30 * SECOND),
                    )
                ]
            )
            if store.due():
                store.begin(now)
            if minute % 20 == 0:
                most = max(most, sum(p.stat().st_size for p in Path(folder).iterdir()))
        store.close()
        return {
            "guests": step * (days * 24 * 60 // 10),
            "written_mb": round(store.bytes / 1e6, 1),
            "most_mb": round(most / 1e6, 1),
            "generations": store.generations,
        }


def worth(seed: int, mode: str) -> dict[str, Any]:
    """Service of a day whose only planner is killed amid it and back after a second."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    day = read_day(Path(__file__).parent.parent / "examples" / "quiet-day.json5")
    day = replace(
        day,
        length_s=45.0,
        planners=1,
        demand=replace(day.demand, rate=14.0),
        troubles=[Trouble(kind="planner_kill", at_s=15.0, for_s=1.0)],
    )
    if mode == "kept, not learned":
        Scheduler.restore_learned = lambda *given: None
    with tempfile.TemporaryDirectory() as folder:
        if mode == "nothing kept":
            said = play_virtual(day, seed, Path(folder))
        else:
            said = play_crashes(day, seed, Path(folder), set())
    counts = said["counts"]
    return {
        "mode": mode,
        "service": said["service"]["service"],
        "placed": counts.get("placed", 0),
        "turned_back": counts.get("turned_back", 0),
        "evicted": counts.get("ended_evicted", 0),
        "died_with_planner": counts.get("died_with_planner", 0),
    }


def worths(seeds: int) -> list[dict[str, Any]]:
    modes = ("nothing kept", "kept, not learned", "kept")
    jobs = [(seed, mode) for mode in modes for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(6, max_tasks_per_child=1) as pool:
        rows = list(pool.map(worth, *zip(*jobs, strict=True)))
    return [
        {
            "mode": mode,
            "days": seeds,
            **{
                key: round(sum(r[key] for r in rows if r["mode"] == mode) / seeds, 4)
                for key in ("service", "placed", "turned_back", "evicted", "died_with_planner")
            },
        }
        for mode in modes
    ]


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axis = plt.subplots(figsize=(5.5, 3.2))
    for key, label in (
        ("recovered_s", "in all"),
        ("read_s", "read"),
        ("fed_s", "into the engine"),
        ("written_s", "written anew"),
    ):
        axis.plot([r["guests"] for r in rows], [r[key] for r in rows], marker="o", label=label)
    axis.set(
        xscale="log",
        yscale="log",
        xlabel="guests in the state, a fifth held",
        ylabel="seconds",
        title="recovery",
    )
    axis.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=80)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--sizes", default="1000,5000,25000,100000")
    parser.add_argument("--guests", type=int, default=1500)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--days", type=int, default=12)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    print(json.dumps({"cost": cost(14, 450, options.guests, options.rounds)}), flush=True)
    rows = [recovery(int(size)) for size in options.sizes.split(",")]
    for row in rows:
        print(json.dumps(row), flush=True)
    print(json.dumps({"week": week(8.0)}), flush=True)
    for row in worths(options.days):
        print(json.dumps(row), flush=True)
    if options.plot:
        draw(rows, options.plot)


if __name__ == "__main__":
    main()
