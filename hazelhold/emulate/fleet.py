"""A whole fleet in discrete events: the day files' machines, list, owners and troubles round real engines.

What a rehearsal plays on sockets or memory streams is played here by calls: the same environment, models,
engines and module, and records that the same audit judges. Left out are frames and their bytes. A message
travels `delay`, or `far` between zones; a connection breaks for both ends after the same; a planner works at
most once in its `batch_ms`, as its ticker does. Processors cost no time here (town.py has those).

The parts stand in modules of their own: `fleet_time` (clock and records), `fleet_lines` (connections),
`fleet_planner` and `fleet_owner`; the day itself is here.
"""

from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from hazelhold.audit.rules import Audit
from hazelhold.audit.score import score
from hazelhold.config.day import BETWEEN, Day
from hazelhold.config.load import ConfigError
from hazelhold.config.planner import LimitsConfig, ListConfig, PlannerConfig, micros
from hazelhold.emulate.clock import Clock
from hazelhold.emulate.fleet_connections import EmulatedServer
from hazelhold.emulate.fleet_owner import Sender
from hazelhold.emulate.fleet_planner import PlannerHost
from hazelhold.emulate.fleet_time import SECOND, Net, Notes, Wake
from hazelhold.model.owners import OwnerModel
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Crossing
from hazelhold.rehearse.environment import Environment
from hazelhold.rehearse.fault_plan import plan
from hazelhold.rehearse.run import audit_rules


class Fleet(Environment):
    """A day. `audited` keeps what crossed; without it only counts are kept."""

    def __init__(self, day: Day, seed: int, audited: bool = True, delay: int = 300, far: int = 1500) -> None:
        self.clock = Clock()
        self.clock.now = SECOND  # moments of 0 mean none
        self.crossings: list[Crossing] | None = [] if audited else None
        super().__init__(day, seed, Net(self.clock), None, "fleet")
        self.delay, self.far_delay, self.numbers = delay, far, 0
        self.reach: dict[str, set[str]] = {}  # owner: planners that it is connected to
        self.planners: dict[str, PlannerHost] = {}
        self.lives: dict[str, int] = {}
        self.chief = Notes("rehearsal", "rehearsal", self.crossings)
        for name, host in self.hosts.items():
            host.ticker = Wake(self.clock, host.now, lambda now, h=host: h.machine.next_at(), host._work)
            door = EmulatedServer(self, name, host.zone, host.recorder, host._said)
            door.muted = host.door.muted
            host.door = door
        lister = self.list_host
        lister.ticker = Wake(self.clock, self.net.now, lambda now: self.service.next_at(), lister._work)
        lister.door = EmulatedServer(self, "list", -1, lister.door.recorder, lister._said, self.service.left)

    def recorder(self, by: str, role: str) -> Notes:
        return Notes(by, role, self.crossings)

    def later(self, far: EmulatedServer, planner: PlannerHost, call: Callable, *given: object) -> None:
        """After the way between the two."""
        near = far.zone in (-1, planner.zone)
        self.clock.at(self.clock.now + (self.delay if near else self.far_delay), call, *given)

    def owner_hears(self, owner: str, host: PlannerHost, message: m.Message) -> None:
        if host.up and host.name in self.reach.get(owner, ()):
            self.by_owner[owner].hears(host.name, message)

    # The day.

    def play(self) -> dict[str, Any]:
        """The whole day; the report of rehearse.run, with events and crossings counted."""
        day, clock = self.day, self.clock
        for name, host in self.hosts.items():
            host.ticker.stir()
            self._list(name, "ready", at_once=True)
        self._rooms()
        self._keep_rooms_on()
        self.list_host.ticker.stir()
        self.service.advance(clock.now)
        self.configs = {
            f"planner-{n}": PlannerConfig(
                name=f"planner-{n}",
                listen="x:1",
                estate=day.estate,
                slot=n,
                planners=day.planners,
                seed=self.seed * 1000 + 100 * n,
                limits=LimitsConfig(connect_ms=500.0, probe_ms=500.0),
                list=ListConfig(address="x:1", asked=day.list_asked, has_room=day.list_has_room),
            )
            for n in range(day.planners)
        }
        self.zones = {name: at % day.zones for at, name in enumerate(self.configs)}
        for name in self.configs:
            self.start_planner(name)
        self.chief.note(clock.now, "", "rules", audit_rules(day))
        start = clock.now
        self._bring(start)
        for step in plan(day, self.seed, self.targets, [w.service for w in self.wants]):
            clock.at(start + step.at, self._strike, step)
        clock.run(start + round(day.length_s * 1e6))
        self.chief.note(clock.now, "", "day_over")
        longest = max(p.patience_ms for p in day.estate.products) / 1000
        clock.run(clock.now + round((longest + 1) * 1e6))
        self.close()
        return self.report()

    def report(self) -> dict[str, Any]:
        counts: dict[str, int] = {}
        for sender in self.senders:
            for what, count in sender.model.counts.items():
                counts[what] = counts.get(what, 0) + count
        found: dict[str, Any] = {
            "day": self.day.name,
            "seed": self.seed,
            "events": self.clock.events,
            "owners": counts,
        }
        if self.crossings is not None:
            audit = Audit(self.crossings)
            broken = audit.breaches()
            found |= {
                "counts": audit.counts(),
                "service": score(audit.crossings, audit.rules),
                "rules_broken": [msgspec.to_builtins(b) for b in broken],
                "unaccounted": audit.unaccounted(),
            }
        return found

    def _keep_rooms_on(self) -> None:
        self._rooms()
        self.clock.at(self.clock.now + SECOND // 2, self._keep_rooms_on)

    def _bring(self, now: int) -> None:
        demand = self.day.demand
        until = now + round((demand.until_s or self.day.length_s) * 1e6)
        for number in range(demand.owners):
            model = OwnerModel(
                f"owner{number}",
                self.seed,
                list(self.configs),
                self.wants,
                demand.rate / demand.owners,
                (micros(demand.again_ms[0]), micros(demand.again_ms[1])),
                micros(self.day.estate.fleet.settle_ms),
                demand.cancel_share,
                now,
                until,
            )
            self.senders.append(Sender(self, model, self.recorder(model.name, "owner")))
        self.by_owner = {s.model.name: s for s in self.senders}
        for sender in self.senders:
            for planner in self.configs:
                sender.connect(planner)

    def start_planner(self, name: str) -> None:
        if name in self.planners and self.planners[name].up:
            return
        self.lives[name] = self.lives.get(name, 0) + 1
        self.planners[name] = PlannerHost(self, self.configs[name], self.lives[name], self.zones[name])
        for sender in self.senders:
            wait = int(Random(f"{sender.model.name}/{name}/{self.lives[name]}").uniform(0.05, 1.0) * SECOND)
            self.clock.at(self.clock.now + wait, sender.connect, name)

    def _strike(self, step: Any) -> None:  # noqa: ANN401 - a TroubleStep
        if not step.what.startswith("planner_"):
            self.do(step)
            return
        name = f"planner-{step.value}"
        host = self.planners[name]
        if host.up and host.stopping:  # as a runner does, wait for the end of a stop
            self.clock.at(self.clock.now + SECOND // 100, self._strike, step)
            return
        if step.what == "planner_start":
            self.start_planner(name)
            self.chief.note(self.clock.now, name, "planner_start")
            return
        self.chief.note(self.clock.now, name, step.what)
        if not host.up:
            return
        if step.what == "planner_stop":
            host.stopping = True
            host.feed("stop")
            self._stopped(host, self.clock.now + micros(host.config.limits.stop_ms))
        else:
            self._ended(host)

    def _stopped(self, host: PlannerHost, until: int) -> None:
        """Ends once everybody is answered, or the time for it is over."""
        if host.engine.unanswered() and self.clock.now < until:
            self.clock.at(self.clock.now + SECOND // 100, self._stopped, host, until)
            return
        host.feed("stop_now")
        self._ended(host)

    def _ended(self, host: PlannerHost) -> None:
        host.end()
        for sender in self.senders:
            self.clock.at(self.clock.now + self.delay, sender.lose, host.name)


def play_fleet(day: Day, seed: int, audited: bool = True) -> dict[str, Any]:
    """One day in the emulator, whose planners are engines that share nothing: what strikes their processes or
    what is between them is for a rehearsal."""
    if wrong := [
        (f"troubles[{at}].kind", f"{t.kind} needs processes: rehearse it")
        for at, t in enumerate(day.troubles)
        if t.kind in BETWEEN
    ] + ([("copies.on", "claims among planners are not emulated: rehearse it")] if day.copies.on else []):
        raise ConfigError(day.name, wrong)
    return Fleet(day, seed, audited).play()


def write_records(crossings: Iterable[Crossing], path: Path) -> None:
    """What crossed, as a record that `hazelhold audit` reads."""
    path.write_bytes(b"".join(msgspec.json.encode(c) + b"\n" for c in crossings))
