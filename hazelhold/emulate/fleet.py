"""A whole fleet in discrete events: the day files' machines, list, owners and troubles round real engines.

What a rehearsal plays on sockets or memory streams is played here by calls: the same stage, models, engines
and module, and records that the same audit judges. Left out are frames and their bytes. A message travels
`delay`, or `far` between zones; a connection breaks for both ends after the same; a planner works at most
once in its `batch_ms`, as its ticker does. Processors cost no time here (town.py has those).
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
from hazelhold.config.planner import LimitSheet, ListSheet, PlannerSheet, micros
from hazelhold.emulate.clock import Clock
from hazelhold.engine.cases import AskList, Dial, HangUp, Lost, Send
from hazelhold.engine.engine import Engine
from hazelhold.model.owners import OwnerModel
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Crossing
from hazelhold.rehearse.run import rule_sheet
from hazelhold.rehearse.stage import Stage
from hazelhold.rehearse.troubles import plan

SECOND = 1_000_000


class Notes:
    """Takes the place of a recorder: crossings kept in memory, with one list for the whole fleet."""

    def __init__(self, by: str, role: str, kept: list[Crossing] | None) -> None:
        self.by, self.role, self.kept = by, role, kept

    def note(self, at: int, peer: str, way: str, message: msgspec.Struct | None = None) -> None:
        if self.kept is not None:
            body = msgspec.to_builtins(message) if message is not None else None
            self.kept.append(Crossing(at, self.by, self.role, peer, way, body))

    def close(self) -> None:
        """Nothing is open."""


class Net:
    """The clock, as the stage asks for it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def now(self) -> int:
        return self.clock.now

    def wall(self) -> int:
        return self.clock.now


class Wake:
    """Takes the place of a ticker: works when it is stirred and when something is due."""

    def __init__(
        self,
        clock: Clock,
        now: Callable[[], int],
        due: Callable[[int], int | None],
        work: Callable[[int], None],
        pause: int = 0,
    ) -> None:
        self.clock, self.now, self.due, self.work, self.pause = clock, now, due, work, pause
        self.at: int | None = None
        self.worked_at = -pause
        self.over = False

    def stir(self) -> None:
        self._when(max(self.clock.now, self.worked_at + self.pause))

    def _when(self, when: int) -> None:
        if not self.over and (self.at is None or when < self.at):
            self.at = when
            self.clock.at(when, self._wake, when)

    def _wake(self, when: int) -> None:
        if self.over or when != self.at:
            return
        self.at, self.worked_at = None, self.clock.now
        now = self.now()
        self.work(now)
        due = self.due(now)
        if due is not None and not self.over:
            self._when(max(self.clock.now + max(0, due - now), self.clock.now + self.pause))


class Line:
    """One connection between a planner and a machine or the list; `number` tells lines of one pair apart."""

    def __init__(self, far: "FarDoor", planner: "PlannerHost", number: int) -> None:
        self.far, self.planner, self.number = far, planner, number
        self.up = False  # the far end has welcomed it

    def cut(self) -> None:
        """Broken by the far end, or by what happens to it."""
        if self.far.wires.get(self.planner.name) is self:
            del self.far.wires[self.planner.name]
            self.far.recorder.note(self.far.fleet.clock.now, self.planner.name, "shut")
        self.far.fleet.later(self.far, self.planner, self.planner.shut, self)


class FarDoor:
    """The door of a machine or of the list service."""

    def __init__(
        self,
        fleet: "Fleet",
        name: str,
        zone: int,
        recorder: Notes,
        said: Callable[[str, Any], None],
        left: Callable[[str], None] = lambda planner: None,
    ) -> None:
        self.fleet, self.name, self.zone, self.recorder = fleet, name, zone, recorder
        self.said, self.left = said, left
        self.wires: dict[str, Line] = {}
        self.open, self.address = True, name
        self.muted: Callable[[str], bool] = lambda planner: False

    def send(self, planner: str, message: m.Message) -> None:
        if (line := self.wires.get(planner)) and not self.muted(planner):
            self.recorder.note(self.fleet.clock.now, planner, "out", message)
            self.fleet.later(self, line.planner, line.planner.hears, line, message)

    def shut(self) -> None:
        for line in list(self.wires.values()):
            line.cut()
            self.left(line.planner.name)

    def hears(self, line: Line, message: m.Message) -> None:
        if self.wires.get(line.planner.name) is line and not self.muted(line.planner.name):
            self.recorder.note(self.fleet.clock.now, line.planner.name, "in", message)
            self.said(line.planner.name, message)

    def reached(self, line: Line) -> bool:
        """A planner dials: False if nobody is there; silence if it is cut off."""
        if not self.open:
            return False
        if not self.muted(line.planner.name):
            if old := self.wires.get(line.planner.name):
                self.fleet.later(self, old.planner, old.planner.shut, old)
            self.wires[line.planner.name] = line
            self.recorder.note(self.fleet.clock.now, line.planner.name, "open")
            self.fleet.later(self, line.planner, line.planner.welcomed, line)
        return True


class PlannerHost:
    """One planner in one of its lives: an engine with its lines, and the owners that are connected."""

    def __init__(self, fleet: "Fleet", sheet: PlannerSheet, life: int, zone: int) -> None:
        self.fleet, self.sheet, self.name, self.zone = fleet, sheet, sheet.name, zone
        self.clock, self.up, self.stopping = fleet.clock, True, False
        self.engine = Engine(sheet, sheet.seed + life, self.clock.now)
        self.recorder = Notes(sheet.name, "planner", fleet.crossings)
        self.lines: dict[str, Line] = {}
        self.list_line: Line | None = None
        self.list_wanted: int | None = None if sheet.list.asked else 0
        self.ticker = Wake(
            self.clock, fleet.net.now, self.engine.next_at, self._work, micros(sheet.limits.batch_ms)
        )
        self.ticker.stir()
        self._follow()

    def _work(self, now: int) -> None:
        self.engine.pump(now)
        self.carry_out()

    def feed(self, what: str, *given: object) -> None:
        getattr(self.engine, what)(self.clock.now, *given)
        self.carry_out()
        self.ticker.stir()

    def carry_out(self) -> None:
        while self.engine.actions:
            actions, self.engine.actions = self.engine.actions, []
            for action in actions:
                self._do(action)

    def _do(self, action: object) -> None:
        now, fleet = self.clock.now, self.fleet
        if isinstance(action, Send) and action.role == "owner":
            here = self.name in fleet.reach.get(action.peer, ())
            self.recorder.note(now, action.peer, "out" if here else "kept", action.message)
            if here:
                self.clock.at(now + fleet.delay, fleet.owner_hears, action.peer, self, action.message)
        elif isinstance(action, Send):
            if line := self.lines.get(action.peer):
                self.recorder.note(now, action.peer, "out", action.message)
                fleet.later(line.far, self, line.far.hears, line, action.message)
        elif isinstance(action, Dial):
            self._dial(action.machine)
        elif isinstance(action, HangUp):
            self._hang_up(action.machine)
        elif isinstance(action, Lost):
            self._hang_up(action.peer)
        elif isinstance(action, AskList):
            self.list_wanted = action.since
            self._ask_list()

    # Lines to machines.

    def _dial(self, machine: str) -> None:
        self._hang_up(machine)
        far = self.fleet.hosts[machine].door
        self.fleet.numbers += 1
        line = self.lines[machine] = Line(far, self, self.fleet.numbers)
        self.fleet.later(far, self, self._arrives, line, machine)

    def _arrives(self, line: Line, machine: str) -> None:
        if self.up and self.lines.get(machine) is line and not line.far.reached(line):
            self.fleet.later(line.far, self, self._refused, line, machine)

    def _refused(self, line: Line, machine: str) -> None:
        if self.up and self.lines.get(machine) is line:
            del self.lines[machine]
            self.feed("link_failed", machine)

    def welcomed(self, line: Line) -> None:
        if self.up and line is self.list_line:
            line.up = True
            self._ask_list()
        elif self.up and self.lines.get(line.far.name) is line:
            line.up = True
            self.recorder.note(self.clock.now, line.far.name, "open")
            self.feed("link_up", line.far.name, self.fleet.hosts[line.far.name]._welcome())

    def shut(self, line: Line) -> None:
        """The line was broken at its far end."""
        if not self.up:
            return
        if line is self.list_line:
            self.list_line = None
            self.feed("list_failed")
            self.list_wanted = None if self.sheet.list.asked else self.engine.list_version
            self.clock.at(self.clock.now + SECOND // 2, self._follow)
        elif self.lines.get(line.far.name) is line:
            del self.lines[line.far.name]
            self.recorder.note(self.clock.now, line.far.name, "shut")
            self.feed("link_down" if line.up else "link_failed", line.far.name)

    def _hang_up(self, machine: str) -> None:
        if line := self.lines.pop(machine, None):
            if line.up:
                self.recorder.note(self.clock.now, machine, "shut")
            self.fleet.later(line.far, self, self._hung_up, line)

    def _hung_up(self, line: Line) -> None:
        if line.far.wires.get(self.name) is line:
            del line.far.wires[self.name]
            line.far.recorder.note(self.clock.now, self.name, "shut")
            line.far.left(self.name)

    def hears(self, line: Line, message: m.Message) -> None:
        if not self.up:
            return
        if line is self.list_line:
            self.recorder.note(self.clock.now, "list", "in", message)
            self.feed("list_said", message)
        elif self.lines.get(line.far.name) is line:
            self.recorder.note(self.clock.now, line.far.name, "in", message)
            self.feed("machine_said", line.far.name, message)

    # The list.

    def _follow(self) -> None:
        if not self.up or self.list_line is not None:
            return
        far = self.fleet.list_host.door
        self.fleet.numbers += 1
        line = self.list_line = Line(far, self, self.fleet.numbers)
        if not far.reached(line):
            self.clock.at(self.clock.now + self.fleet.delay, self.shut, line)

    def _ask_list(self) -> None:
        if self.list_line is not None and self.list_line.up and self.list_wanted is not None:
            far, line = self.list_line.far, self.list_line
            self.fleet.later(far, self, far.hears, line, m.Watch(since=self.list_wanted))
            self.list_wanted = None

    def owner_said(self, owner: str, message: m.Message) -> None:
        if self.up:
            self.recorder.note(self.clock.now, owner, "in", message)
            self.feed("owner_said", owner, message)

    def end(self) -> None:
        """Its process is gone."""
        self.up = False
        self.ticker.over = True
        for line in [*self.lines.values(), *([self.list_line] if self.list_line else [])]:
            self._hung_up(line)
        self.lines.clear()


class Sender:
    """An owner's model; connected to every planner that is up, again a drawn while after it is back."""

    def __init__(self, fleet: "Fleet", model: OwnerModel, recorder: Notes) -> None:
        self.fleet, self.model, self.recorder = fleet, model, recorder
        self.ticker = Wake(fleet.clock, fleet.net.now, lambda now: model.next_at(), self._work)

    def connect(self, planner: str) -> None:
        host = self.fleet.planners.get(planner)
        if host is not None and host.up:
            self.fleet.reach.setdefault(self.model.name, set()).add(planner)
            self.recorder.note(self.fleet.clock.now, planner, "open")
            self.model.connected(self.fleet.clock.now, planner)
            self.ticker.stir()

    def lose(self, planner: str) -> None:
        self.fleet.reach.get(self.model.name, set()).discard(planner)
        self.recorder.note(self.fleet.clock.now, planner, "shut")
        self.model.disconnected(self.fleet.clock.now, planner)
        self.ticker.stir()

    def hears(self, planner: str, message: m.Message) -> None:
        now = self.fleet.clock.now
        self.recorder.note(now, planner, "in", message)
        self.model.advance(now)
        self.model.said(now, planner, message)
        self.ticker.stir()

    def _work(self, now: int) -> None:
        self.model.advance(now)
        out, self.model.out = self.model.out, []
        for planner, message in out:
            if planner in self.fleet.reach.get(self.model.name, ()):
                self.recorder.note(now, planner, "out", message)
                host = self.fleet.planners[planner]
                self.fleet.clock.at(now + self.fleet.delay, host.owner_said, self.model.name, message)


class Fleet(Stage):
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
            door = FarDoor(self, name, host.zone, host.recorder, host._said)
            door.muted = host.door.muted
            host.door = door
        lister = self.list_host
        lister.ticker = Wake(self.clock, self.net.now, lambda now: self.service.next_at(), lister._work)
        lister.door = FarDoor(self, "list", -1, lister.door.recorder, lister._said, self.service.left)

    def recorder(self, by: str, role: str) -> Notes:
        return Notes(by, role, self.crossings)

    def later(self, far: FarDoor, planner: PlannerHost, call: Callable, *given: object) -> None:
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
        self.sheets = {
            f"planner-{n}": PlannerSheet(
                name=f"planner-{n}",
                listen="x:1",
                estate=day.estate,
                slot=n,
                planners=day.planners,
                seed=self.seed * 1000 + 100 * n,
                limits=LimitSheet(connect_ms=500.0, probe_ms=500.0),
                list=ListSheet(address="x:1", asked=day.list_asked, has_room=day.list_has_room),
            )
            for n in range(day.planners)
        }
        self.zones = {name: at % day.zones for at, name in enumerate(self.sheets)}
        for name in self.sheets:
            self.start_planner(name)
        self.chief.note(clock.now, "", "rules", rule_sheet(day))
        start = clock.now
        self._bring(start)
        for step in plan(day, self.seed, self.spots, [w.service for w in self.wants]):
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
                list(self.sheets),
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
            for planner in self.sheets:
                sender.connect(planner)

    def start_planner(self, name: str) -> None:
        if name in self.planners and self.planners[name].up:
            return
        self.lives[name] = self.lives.get(name, 0) + 1
        self.planners[name] = PlannerHost(self, self.sheets[name], self.lives[name], self.zones[name])
        for sender in self.senders:
            wait = int(Random(f"{sender.model.name}/{name}/{self.lives[name]}").uniform(0.05, 1.0) * SECOND)
            self.clock.at(self.clock.now + wait, sender.connect, name)

    def _strike(self, step: Any) -> None:  # noqa: ANN401 - a troubles.Step
        if not step.what.startswith("planner_"):
            self.do(step)
            return
        name = f"planner-{step.value}"
        host = self.planners[name]
        if host.up and host.stopping:  # as a crew does, wait for the end of a stop
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
            self._stopped(host, self.clock.now + micros(host.sheet.limits.stop_ms))
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
