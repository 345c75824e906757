"""Judges what planners believed of each other against what the wires and processes really did.

From records alone: the rehearsal's notes of starts, kills, pauses and cuts are the truth; planners' notes of
members are their views. Between two planners all is *well* while both run, neither is paused, and pairs that
hear each other both ways join them, directly or through others. Where all is well nobody may be called gone
for longer than `heal`; where it is not, whoever has a witness has to say so within `notice`. Times are
microseconds.
"""

from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import Any

from msgspec import Struct

from hazelhold.protocol.record import Crossing

GONE = ("gone", "left")


class ViewLimits(Struct, frozen=True):
    """What a day allows: how many wrongly gone, and seconds to notice and to heal; more is missed."""

    wrongly_gone: int = 0
    missed: int = 0
    notice_s: float = 15.0
    heal_s: float = 20.0


class Pair:
    """What one planner has to believe of another, since when, and whether it did."""

    def __init__(self) -> None:
        self.well: bool | None = None
        self.since = 0
        self.met = True  # what must be believed is believed


class Views:
    """The views of one day."""

    def __init__(self, crossings: Iterable[Crossing], bounds: ViewLimits) -> None:
        self.bounds = bounds
        self.notice, self.heal = round(bounds.notice_s * 1e6), round(bounds.heal_s * 1e6)
        self.up: set[str] = set()
        self.paused: set[str] = set()
        self.cuts: dict[tuple[str, str], int] = defaultdict(int)  # how many cuts hold a direction
        self.life: dict[str, int] = {}
        self.view: dict[tuple[str, str], tuple[str, int]] = {}
        self.pairs: dict[tuple[str, str], Pair] = defaultdict(Pair)
        self.last_ill: dict[tuple[str, str], int] = {}  # when all was not well for the last time
        self.wrong: list[str] = []
        self.missed: list[str] = []
        self.noticed: list[int] = []
        self.healed: list[int] = []
        self.events = sorted(
            (c for c in crossings if c.role == "rehearsal" or c.way == "member"), key=lambda c: c.at
        )
        self.off = not any(c.way == "member" for c in self.events)

    def evaluate(self) -> dict[str, Any]:
        """The figures, and whether a bound was passed."""
        for c in self.events:
            if c.way == "member":
                self._believed(c)
            else:
                self._happened(c)
            if c.way == "day_over":
                break  # from here on planners stop
        if self.events:
            self._look(c.at, close=True)
        bounds = self.bounds
        return {
            "wrongly_gone": len(self.wrong),
            "missed": len(self.missed),
            "noticed": spans(self.noticed),
            "healed": spans(self.healed),
            "details": (self.wrong + self.missed)[:40],
            "bounds_passed": len(self.wrong) > bounds.wrongly_gone or len(self.missed) > bounds.missed,
        }

    # The truth.

    def _happened(self, c: Crossing) -> None:
        names = (c.message or {}).get("pairs", [])
        if c.way in ("planner_up", "planner_start"):
            self.up.add(c.peer)
        elif c.way in ("planner_kill", "planner_stop"):
            self.up.discard(c.peer)
            self.paused.discard(c.peer)
        elif c.way == "planner_pause":
            self.paused.add(c.peer)
        elif c.way == "planner_resume":
            self.paused.discard(c.peer)
        elif c.way in ("planner_cut", "planner_heal"):
            for a, b in names:
                self.cuts[a, b] += 1 if c.way == "planner_cut" else -1
        else:
            return
        self._look(c.at)

    def _joined(self) -> dict[str, int]:
        """For each planner that runs the number of its group, of those that reach each other both ways."""
        running = sorted(self.up - self.paused)
        group: dict[str, int] = {}
        for number, first in enumerate(running):
            if first in group:
                continue
            queue = [first]
            while queue:
                a = queue.pop()
                group[a] = number
                queue += [b for b in running if b not in group and self.cuts[a, b] <= 0 >= self.cuts[b, a]]
        return group

    def _look(self, at: int, close: bool = False) -> None:
        group = self._joined()
        sizes: dict[int, int] = defaultdict(int)
        for number in group.values():
            sizes[number] += 1
        for a in sorted(self.life):
            for b in sorted(self.life):
                if a == b:
                    continue
                pair = self.pairs[a, b]
                well: bool | None = None  # nothing is asked of who does not run or has no witness
                if a in group and b in group and group[a] == group[b]:
                    well = True
                elif a in group and sizes[group[a]] > 1:
                    well = False
                if pair.well is not True:
                    self.last_ill[a, b] = at  # until now
                if pair.well != well or close:
                    self._end(a, b, pair, at)
                    pair.well, pair.since = well, at
                    pair.met = self._believes(a, b, well)

    def _end(self, a: str, b: str, pair: Pair, at: int) -> None:
        """What was asked until now: was there time for it, and was it met?"""
        bound = self.heal if pair.well else self.notice
        if pair.well is not None and not pair.met and at - pair.since > bound:
            what = "did not take back" if pair.well else "did not notice the end of"
            self.missed.append(f"{a} {what} {b} in {(at - pair.since) / 1e6:.1f} s from {pair.since}")

    def _believes(self, a: str, b: str, well: bool | None) -> bool:
        state, life = self.view.get((a, b), ("unknown", -1))
        if well is None:
            return True
        if well:
            return state == "alive" and life == self.life.get(b, life)
        return state in GONE or state == "unknown"

    # The views.

    def _believed(self, c: Crossing) -> None:
        said, by, of = c.message or {}, c.by, c.peer
        what, life = said.get("what", ""), said.get("life", -1)
        if what == "started":
            self.life[by] = life
            for pair in [p for p in self.view if p[0] == by]:
                del self.view[pair]
            self._look(c.at)
            for other in self.life:  # a new life is to be learned by all, and has all to learn
                for a, b in ((by, other), (other, by)):
                    if a != b and self.pairs[a, b].well:
                        self.pairs[a, b].since, self.pairs[a, b].met = c.at, False
            return
        if what == "life_raised":
            self.life[by] = life
            return
        if what not in ("alive", "suspected", "gone", "left") or by == of:
            return
        self.view[by, of] = what, life
        pair = self.pairs[by, of]
        if (
            what == "gone"
            and pair.well
            and life == self.life.get(of)
            and (c.at - self.last_ill.get((by, of), -self.notice) > self.notice)
        ):
            self.wrong.append(f"{by} called {of} gone at {c.at}, and all was well")
        if not pair.met and pair.well is not None and self._believes(by, of, pair.well):
            pair.met = True
            (self.healed if pair.well else self.noticed).append(c.at - pair.since)
        elif pair.well and pair.met and what in GONE:
            pair.met, pair.since = False, c.at  # to be taken back


def spans(found: list[int]) -> dict[str, float]:
    """Seconds: how many, the median and the longest."""
    if not found:
        return {"count": 0}
    return {
        "count": len(found),
        "median": round(median(found) / 1e6, 2),
        "longest": round(max(found) / 1e6, 2),
    }
