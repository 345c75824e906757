"""Emulates a whole fleet in discrete events: a day's machines, list service, owners and faults, with real
engines.

It replaces the sockets or memory streams of a rehearsal by scheduled calls. The environment, models, engines
and scheduler are the same, and the same audit checks the records. Frames and their bytes are left out. A
message takes `delay` microseconds, or `far` between zones; the end of a connection takes as long to reach
the other side. A planner works at most once per `batch_ms`, as its ticker does. Processor time is not
emulated here (client_population.py does that).

Other modules hold the parts: `fleet_time` (clock and records), `fleet_connections`, `fleet_planner` and
`fleet_owner`.
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
from hazelhold.config.planner import LimitsConfig, ListConfig, PlannerConfig, to_microseconds
from hazelhold.emulate.clock import Clock
from hazelhold.emulate.fleet_connections import EmulatedServer
from hazelhold.emulate.fleet_owner import Sender
from hazelhold.emulate.fleet_planner import PlannerHost
from hazelhold.emulate.fleet_time import SECOND, Net, Notes, Wake
from hazelhold.model.owners import OwnerModel
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import RecordedMessage
from hazelhold.rehearse.environment import Environment
from hazelhold.rehearse.fault_plan import plan
from hazelhold.rehearse.run import audit_rules


class Fleet(Environment):
    """One day. With `audited` all messages are recorded, otherwise only counts are kept."""

    def __init__(self, day: Day, seed: int, audited: bool = True, delay: int = 300, far: int = 1500) -> None:
        self.clock = Clock()
        self.clock.now = SECOND  # a time of 0 means none
        self.crossings: list[RecordedMessage] | None = [] if audited else None
        super().__init__(day, seed, Net(self.clock), None, "fleet")
        self.delay, self.far_delay, self.numbers = delay, far, 0
        self.reach: dict[str, set[str]] = {}  # by owner, the planners that it is connected to
        self.planners: dict[str, PlannerHost] = {}
        self.lives: dict[str, int] = {}
        self.chief = Notes("rehearsal", "rehearsal", self.crossings)
        for name, host in self.hosts.items():
            host.ticker = Wake(self.clock, host.now, lambda now, h=host: h.machine.next_at(), host._work)
            server = EmulatedServer(self, name, host.zone, host.recorder, host._received)
            server.muted = host.server.muted
            host.server = server
        lister = self.list_host
        lister.ticker = Wake(self.clock, self.net.now, lambda now: self.service.next_at(), lister._work)
        lister.server = EmulatedServer(
            self, "list", -1, lister.server.recorder, lister._received, self.service.left
        )

    def recorder(self, by: str, role: str) -> Notes:
        return Notes(by, role, self.crossings)

    def later(self, server: EmulatedServer, planner: PlannerHost, call: Callable, *arguments: object) -> None:
        """Schedules a call after the network delay between a server and a planner."""
        near = server.zone in (-1, planner.zone)
        self.clock.at(self.clock.now + (self.delay if near else self.far_delay), call, *arguments)

    def deliver_to_owner(self, owner: str, host: PlannerHost, message: m.Message) -> None:
        if host.up and host.name in self.reach.get(owner, ()):
            self.by_owner[owner].receive(host.name, message)

    # The day.

    def play(self) -> dict[str, Any]:
        """Plays the whole day; returns a report like that of rehearse.run, with the number of events."""
        day, clock = self.day, self.clock
        for name, host in self.hosts.items():
            host.ticker.notify()
            self._list(name, "ready", at_once=True)
        self._rooms()
        self._update_free_capacity()
        self.list_host.ticker.notify()
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
        self._start_owners(start)
        for step in plan(day, self.seed, self.targets, [w.service for w in self.wants]):
            clock.at(start + step.at, self._inject_fault, step)
        clock.run(start + round(day.length_s * 1e6))
        self.chief.note(clock.now, "", "day_over")
        max_patience = max(p.patience_ms for p in day.estate.products) / 1000
        clock.run(clock.now + round((max_patience + 1) * 1e6))
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
            broken = audit.violations()
            found |= {
                "counts": audit.counts(),
                "service": score(audit.crossings, audit.rules),
                "rules_broken": [msgspec.to_builtins(b) for b in broken],
                "unaccounted": audit.unaccounted(),
            }
        return found

    def _update_free_capacity(self) -> None:
        self._rooms()
        self.clock.at(self.clock.now + SECOND // 2, self._update_free_capacity)

    def _start_owners(self, now: int) -> None:
        demand = self.day.demand
        until = now + round((demand.until_s or self.day.length_s) * 1e6)
        for number in range(demand.owners):
            model = OwnerModel(
                f"owner{number}",
                self.seed,
                list(self.configs),
                self.wants,
                demand.rate / demand.owners,
                (to_microseconds(demand.again_ms[0]), to_microseconds(demand.again_ms[1])),
                to_microseconds(self.day.estate.fleet.settle_ms),
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

    def _inject_fault(self, step: Any) -> None:  # noqa: ANN401 - a TroubleStep
        if not step.what.startswith("planner_"):
            self.do(step)
            return
        name = f"planner-{step.value}"
        host = self.planners[name]
        if host.up and host.stopping:  # wait for the end of a stop, as a runner does
            self.clock.at(self.clock.now + SECOND // 100, self._inject_fault, step)
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
            host.deliver("stop")
            self._end_when_answered(host, self.clock.now + to_microseconds(host.config.limits.stop_ms))
        else:
            self._end_planner(host)

    def _end_when_answered(self, host: PlannerHost, until: int) -> None:
        """Ends a stopping planner once all guests are answered or the time for it is over."""
        if host.engine.unanswered() and self.clock.now < until:
            self.clock.at(self.clock.now + SECOND // 100, self._end_when_answered, host, until)
            return
        host.deliver("stop_now")
        self._end_planner(host)

    def _end_planner(self, host: PlannerHost) -> None:
        host.end()
        for sender in self.senders:
            self.clock.at(self.clock.now + self.delay, sender.lose, host.name)


def play_fleet(day: Day, seed: int, audited: bool = True) -> dict[str, Any]:
    """Plays one day in the emulator. Its planners are engines that share nothing, so faults of processes
    and of the network between planners raise ConfigError: they need a rehearsal."""
    if errors := [
        (f"troubles[{at}].kind", f"{t.kind} needs processes: rehearse it")
        for at, t in enumerate(day.troubles)
        if t.kind in BETWEEN
    ] + ([("copies.on", "claims among planners are not emulated: rehearse it")] if day.copies.on else []):
        raise ConfigError(day.name, errors)
    return Fleet(day, seed, audited).play()


def write_records(crossings: Iterable[RecordedMessage], path: Path) -> None:
    """Writes recorded messages as a file that `hazelhold audit` reads."""
    path.write_bytes(b"".join(msgspec.json.encode(c) + b"\n" for c in crossings))
