"""Checks the planners' membership views against the real state of processes and network.

Works from records alone: the rehearsal's notes of starts, kills, pauses and partitions are the truth,
planners' notes of members are their views. A pair of planners is *healthy* while both run, neither is paused,
and they are connected, directly or through others, by links that work in both directions. In a healthy pair
no planner may be considered gone for longer than `heal`; in an unhealthy one, a planner that still reaches
another one has to notice within `notice`. Times are in microseconds.
"""

from collections import defaultdict
from collections.abc import Iterable
from statistics import median
from typing import Any

from msgspec import Struct

from hazelhold.protocol.record import RecordedMessage

GONE = ("gone", "left")


class ViewLimits(Struct, frozen=True):
    """Limits of a day: numbers of wrong and missed views, and the seconds to notice and to heal."""

    wrongly_gone: int = 0
    missed: int = 0
    notice_s: float = 15.0
    heal_s: float = 20.0


class PairExpectation:
    """The view that one planner has to have of another, since when, and whether it has it."""

    def __init__(self) -> None:
        self.healthy: bool | None = None
        self.since = 0
        self.met = True  # the view is as expected


class Views:
    """Checks the membership views of one day."""

    def __init__(self, crossings: Iterable[RecordedMessage], limits: ViewLimits) -> None:
        self.limits = limits
        self.notice, self.heal = round(limits.notice_s * 1e6), round(limits.heal_s * 1e6)
        self.up: set[str] = set()
        self.paused: set[str] = set()
        # The number of partitions that block a direction.
        self.blocked: dict[tuple[str, str], int] = defaultdict(int)
        self.incarnation: dict[str, int] = {}
        self.view: dict[tuple[str, str], tuple[str, int]] = {}
        self.pairs: dict[tuple[str, str], PairExpectation] = defaultdict(PairExpectation)
        self.last_unhealthy_at: dict[tuple[str, str], int] = {}  # when the pair was last unhealthy
        self.wrongly_gone: list[str] = []
        self.missed: list[str] = []
        self.noticed: list[int] = []
        self.healed: list[int] = []
        self.events = sorted(
            (c for c in crossings if c.role == "rehearsal" or c.way == "member"), key=lambda c: c.at
        )
        self.off = not any(c.way == "member" for c in self.events)

    def evaluate(self) -> dict[str, Any]:
        """The numbers of wrong and missed views, the delays, and whether a limit was exceeded."""
        for c in self.events:
            if c.way == "member":
                self._apply_view(c)
            else:
                self._apply_event(c)
            if c.way == "day_over":
                break  # planners stop after this
        if self.events:
            self._update_pairs(c.at, close=True)
        limits = self.limits
        return {
            "wrongly_gone": len(self.wrongly_gone),
            "missed": len(self.missed),
            "noticed": duration_summary(self.noticed),
            "healed": duration_summary(self.healed),
            "details": (self.wrongly_gone + self.missed)[:40],
            "bounds_passed": len(self.wrongly_gone) > limits.wrongly_gone or len(self.missed) > limits.missed,
        }

    # The real state.

    def _apply_event(self, c: RecordedMessage) -> None:
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
                self.blocked[a, b] += 1 if c.way == "planner_cut" else -1
        else:
            return
        self._update_pairs(c.at)

    def _connected_groups(self) -> dict[str, int]:
        """The group number of each running planner; links within a group work in both directions."""
        running = sorted(self.up - self.paused)
        group: dict[str, int] = {}
        for number, first in enumerate(running):
            if first in group:
                continue
            pending = [first]
            while pending:
                a = pending.pop()
                group[a] = number
                pending += [
                    b for b in running if b not in group and self.blocked[a, b] <= 0 >= self.blocked[b, a]
                ]
        return group

    def _update_pairs(self, at: int, close: bool = False) -> None:
        group = self._connected_groups()
        sizes: dict[int, int] = defaultdict(int)
        for number in group.values():
            sizes[number] += 1
        for a in sorted(self.incarnation):
            for b in sorted(self.incarnation):
                if a == b:
                    continue
                pair = self.pairs[a, b]
                # None: nothing is expected of a planner that is not running or reaches no other.
                healthy: bool | None = None
                if a in group and b in group and group[a] == group[b]:
                    healthy = True
                elif a in group and sizes[group[a]] > 1:
                    healthy = False
                if pair.healthy is not True:
                    self.last_unhealthy_at[a, b] = at  # unhealthy up to this time
                if pair.healthy != healthy or close:
                    self._close_expectation(a, b, pair, at)
                    pair.healthy, pair.since = healthy, at
                    pair.met = self._view_matches(a, b, healthy)

    def _close_expectation(self, a: str, b: str, pair: PairExpectation, at: int) -> None:
        """Reports the expectation that ends now as missed if there was time for it and it was not met."""
        limit = self.heal if pair.healthy else self.notice
        if pair.healthy is not None and not pair.met and at - pair.since > limit:
            what = "did not take back" if pair.healthy else "did not notice the end of"
            self.missed.append(f"{a} {what} {b} in {(at - pair.since) / 1e6:.1f} s from {pair.since}")

    def _view_matches(self, a: str, b: str, healthy: bool | None) -> bool:
        state, incarnation = self.view.get((a, b), ("unknown", -1))
        if healthy is None:
            return True
        if healthy:
            return state == "alive" and incarnation == self.incarnation.get(b, incarnation)
        return state in GONE or state == "unknown"

    # The views.

    def _apply_view(self, c: RecordedMessage) -> None:
        message, by, of = c.message or {}, c.by, c.peer
        what, incarnation = message.get("what", ""), message.get("life", -1)
        if what == "started":
            self.incarnation[by] = incarnation
            for pair in [p for p in self.view if p[0] == by]:
                del self.view[pair]
            self._update_pairs(c.at)
            for other in self.incarnation:  # all must learn of the new incarnation, and it of them
                for a, b in ((by, other), (other, by)):
                    if a != b and self.pairs[a, b].healthy:
                        self.pairs[a, b].since, self.pairs[a, b].met = c.at, False
            return
        if what == "life_raised":
            self.incarnation[by] = incarnation
            return
        if what not in ("alive", "suspected", "gone", "left") or by == of:
            return
        self.view[by, of] = what, incarnation
        pair = self.pairs[by, of]
        if (
            what == "gone"
            and pair.healthy
            and incarnation == self.incarnation.get(of)
            and (c.at - self.last_unhealthy_at.get((by, of), -self.notice) > self.notice)
        ):
            self.wrongly_gone.append(f"{by} called {of} gone at {c.at}, and all was well")
        if not pair.met and pair.healthy is not None and self._view_matches(by, of, pair.healthy):
            pair.met = True
            (self.healed if pair.healthy else self.noticed).append(c.at - pair.since)
        elif pair.healthy and pair.met and what in GONE:
            pair.met, pair.since = False, c.at  # must be corrected


def duration_summary(found: list[int]) -> dict[str, float]:
    """Count, median and maximum of durations, in seconds."""
    if not found:
        return {"count": 0}
    return {
        "count": len(found),
        "median": round(median(found) / 1e6, 2),
        "longest": round(max(found) / 1e6, 2),
    }
