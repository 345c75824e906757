"""Membership by the core in discrete events, beside plain heartbeats and SWIM without self-doubt, in one
run.

python -m bench.membership [--quick] [--jobs N] [--json FILE] # tables, and plots in docs/plots

Everything is of simulated members in virtual time: no socket, no real clock. `wrongly` counts what somebody
called gone that ran and had not been paused for the last second. Heartbeats cost the square of the members,
so they are played to 16 members for long and to 230 for seconds only.
"""

import argparse
import json
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

from hazelhold.emulate.heartbeats import Heartbeats
from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership.core import MembershipChange, MembershipCore, MembershipSettings
from hazelhold.membership.rows import GONE

TERMS = MembershipSettings("bench")
SEEDS = ["at-m0", "at-m1", "at-m2"]
PLOTS = Path(__file__).parent.parent / "docs" / "plots"


class NoDoubt:
    """A member that never doubts itself."""

    level = 0

    def __call__(self, span: int) -> int:
        return span

    def more(self, by: int = 1) -> None:
        pass

    def less(self) -> None:
        pass


class Swim(MembershipCore):
    """SWIM with suspicion alone: no doubt, no witness, no sense of absence; others' word is taken at once."""

    def __init__(self, *given: Any) -> None:  # noqa: ANN401
        super().__init__(*given)
        self.local_health = NoDoubt()

    def _detect_pause(self, now: int) -> None:
        self.now = max(now, self.now)

    def _failed(self, probe: Any) -> None:  # noqa: ANN401
        probe.witnesses.add(self.me.name)
        super()._failed(probe)

    def _merge_gone(self, member: Any, row: Any, reporter: str) -> None:  # noqa: ANN401
        self._take(row, reporter)


KINDS: dict[str, Callable[..., Any]] = {"hazelhold": MembershipCore, "swim": Swim, "heartbeats": Heartbeats}


def world(kind: str, count: int, seed: int, settle: float = 20.0) -> MembershipSimulation:
    made = MembershipSimulation(seed, TERMS, KINDS[kind])
    made.keep_news = False
    for number in range(count):
        made.start(f"m{number}", SEEDS, zone=f"z{number % 3}")
    made.run(settle + count / 40)
    return made


def crash(kind: str, count: int, seed: int) -> dict[str, Any]:
    """One member dies: when each other one calls it gone, in seconds; and what is sent while nothing
    happens."""
    made = world(kind, count, seed)
    made.sent.clear()
    quiet = 2.0 if kind == "heartbeats" and count > 100 else 5.0
    made.run(made.now / 1e6 + quiet)
    sent, size = sum(made.sent.values()) - made.sent["bytes"], made.sent["bytes"]
    began, found = made.now, {}

    def note(by: str, news: MembershipChange) -> None:
        if news.what == "gone" and news.name == "m1":
            found.setdefault(by, (made.now - began) / 1e6)

    made.on_news = note
    made.crash("m1")
    made.run(made.now / 1e6 + (5.0 if kind == "heartbeats" and count > 100 else 20.0))
    return {
        "times": sorted(found.values()),
        "missed": count - 1 - len(found),
        "sent": sent / count / quiet,
        "bytes": size / count / quiet,
    }


def hours(
    kind: str, count: int, seed: int, span: float, loss: float, pause: float, part: float, deaf: bool = False
) -> dict[str, Any]:
    """So many virtual hours with loss, pauses and a member that is deaf at times; who was wrongly gone."""
    made = world(kind, count, seed)
    made.loss = loss
    random = Random(f"hours/{seed}")
    end = made.now / 1e6 + span * 3600
    wrongly = [0]

    def note(by: str, news: MembershipChange) -> None:
        if news.what == "gone" and (about := made.processes.get(news.name)) is not None:
            ran = about.up and not about.paused and made.now - about.resumed_at > 1_000_000
            wrongly[0] += ran and not (deaf and news.name == "m1")

    made.on_news = note
    struck = [f"m{n}" for n in random.sample(range(count), round(count * part))] if pause else []
    for name in struck:  # each is away every twenty seconds or so
        at = made.now / 1e6
        while (at := at + random.uniform(10, 30) + pause) < end:
            made.plan(at, made.pause, name, pause)
    if deaf:
        at, others = made.now / 1e6, [f"m{n}" for n in range(count) if n != 1]
        while (at := at + 60) < end:
            made.plan(at, made.cut, others, ["m1"], False)
            made.plan(at + 20, made.heal)
    made.run(end)
    return {
        "wrongly": wrongly[0],
        "member_hours": span * count,
        "gone": sum(made.view(a, b) == GONE for a in made.running() for b in made.running()),
    }


def spread(times: list[float]) -> str:
    if not times:
        return "-"
    return f"{median(times):.2f} / {times[min(len(times) - 1, int(len(times) * 0.99))]:.2f} / {times[-1]:.2f}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--json", type=Path)
    given = parser.parse_args()
    quick = given.quick
    crashes = [
        (k, n, s)
        for n, trials in ((3, 40), (16, 40), (230, 12), (1024, 2))
        for k in KINDS
        for s in range(1, 2 + (trials // 10 if quick else trials - 1))
        if not (k == "heartbeats" and (n > 230 or n == 230 and s > 2)) and not (quick and n > 230)
    ]
    losses = [
        (k, 16, 7, 0.2 if quick else 2.0, loss, 0.0, 0.0) for loss in (0.0, 0.1, 0.2, 0.3, 0.4) for k in KINDS
    ]
    pauses = [
        (k, 16, 8, 0.2 if quick else 1.0, 0.1, pause, part)
        for pause in (0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
        for part in (0.1, 0.34)
        for k in KINDS
    ]
    deafs = [(k, 16, 9, 0.2 if quick else 1.0, 0.0, 0.0, 0.0, True) for k in KINDS]
    aim = [("hazelhold", 16, 100 + s, 0.1 if quick else 62.5 / 12, 0.1, 1.0, 0.1) for s in range(12)]
    with ProcessPoolExecutor(given.jobs) as pool:
        jobs = {"crash": [(j, pool.submit(crash, *j)) for j in crashes]}
        for name, many in (("loss", losses), ("pause", pauses), ("deaf", deafs), ("aim", aim)):
            jobs[name] = [(j, pool.submit(hours, *j)) for j in many]
        results = {name: [(list(j), f.result()) for j, f in each] for name, each in jobs.items()}
    if given.json:
        given.json.write_text(json.dumps(results))
    show(results)
    if not quick:
        plot(results)


def by(results: list, *places: int) -> dict[tuple, list[dict]]:
    found: dict[tuple, list[dict]] = {}
    for job, said in results:
        found.setdefault(tuple(job[p] for p in places), []).append(said)
    return found


def rate(many: list[dict]) -> float:
    return 1000 * sum(r["wrongly"] for r in many) / sum(r["member_hours"] for r in many)


def show(results: dict[str, list]) -> None:
    print(
        "A crash: seconds until the others call it gone, median / 99th / last; "
        "datagrams and bytes a member a second"
    )
    for (count, kind), many in by(results["crash"], 1, 0).items():
        times = sorted(t for r in many for t in r["times"])
        print(
            f"  {count:5} {kind:11} {spread(times):24} {len(many):3} crashes, "
            f"missed {sum(r['missed'] for r in many)}, "
            f"{median(r['sent'] for r in many):7.1f} {median(r['bytes'] for r in many):8.0f}"
        )
    for name, places, what in (
        ("loss", (4, 0), "loss"),
        ("pause", (5, 6, 0), "pauses of s, part of members, 10% loss"),
        ("deaf", (0,), "one member deaf 20 s a minute"),
    ):
        print(f"Wrongly gone in 1,000 member-hours, 16 members, by {what}")
        for key, many in by(results[name], *places).items():
            print(
                "  ",
                *(f"{k:<11}" for k in key),
                f"{rate(many):9.1f}   ({sum(r['wrongly'] for r in many)} in "
                f"{sum(r['member_hours'] for r in many):.0f})",
            )
    aims = [r for _, r in results["aim"]]
    print(
        f"Aim, 10% loss and pauses of 1 s in a tenth: {sum(r['wrongly'] for r in aims)} wrongly gone in "
        f"{sum(r['member_hours'] for r in aims):.0f} member-hours"
    )


def plot(results: dict[str, list]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(14, 4))
    for kind in KINDS:
        points = [
            (n, sorted(t for r in many for t in r["times"]))
            for (n, k), many in by(results["crash"], 1, 0).items()
            if k == kind
        ]
        axes[0].plot([n for n, _ in points], [t[int(len(t) * 0.99)] for _, t in points], "o-", label=kind)
        points = [
            (n, median(r["sent"] for r in many))
            for (n, k), many in by(results["crash"], 1, 0).items()
            if k == kind
        ]
        axes[1].plot([n for n, _ in points], [s for _, s in points], "o-", label=kind)
        points = [(loss, rate(many)) for (loss, k), many in by(results["loss"], 4, 0).items() if k == kind]
        axes[2].plot([100 * p for p, _ in points], [r for _, r in points], "o-", label=kind)
    for axis, title, what in (
        (axes[0], "a crash is known, 99th, s", "members"),
        (axes[1], "datagrams a member a second", "members"),
        (axes[2], "wrongly gone in 1,000 member-hours", "loss, %"),
    ):
        axis.set(title=title, xlabel=what)
        axis.legend()
    (
        axes[0].set_xscale("log"),
        axes[1].set_xscale("log"),
        axes[1].set_yscale("log"),
        axes[2].set_yscale("symlog"),
    )
    figure.tight_layout()
    PLOTS.mkdir(exist_ok=True)
    figure.savefig(PLOTS / "membership.png", dpi=90)


if __name__ == "__main__":
    main()
