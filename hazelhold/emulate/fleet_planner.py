"""A planner of the emulated fleet: its engine, with its lines in place of connections."""

from typing import TYPE_CHECKING

from hazelhold.config.planner import PlannerConfig, micros
from hazelhold.emulate.fleet_connections import EmulatedConnection
from hazelhold.emulate.fleet_time import SECOND, Notes, Wake
from hazelhold.engine.cases import AskList, Dial, HangUp, Lost, Send
from hazelhold.engine.engine import Engine
from hazelhold.protocol import messages as m

if TYPE_CHECKING:
    from hazelhold.emulate.fleet import Fleet


class PlannerHost:
    """One planner in one of its lives: an engine with its lines, and the owners that are connected."""

    def __init__(self, fleet: "Fleet", config: PlannerConfig, life: int, zone: int) -> None:
        self.fleet, self.config, self.name, self.zone = fleet, config, config.name, zone
        self.clock, self.up, self.stopping = fleet.clock, True, False
        self.engine = Engine(config, config.seed + life, self.clock.now)
        self.recorder = Notes(config.name, "planner", fleet.crossings)
        self.lines: dict[str, EmulatedConnection] = {}
        self.list_line: EmulatedConnection | None = None
        self.list_wanted: int | None = None if config.list.asked else 0
        self.ticker = Wake(
            self.clock, fleet.net.now, self.engine.next_at, self._work, micros(config.limits.batch_ms)
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
        line = self.lines[machine] = EmulatedConnection(far, self, self.fleet.numbers)
        self.fleet.later(far, self, self._arrives, line, machine)

    def _arrives(self, line: EmulatedConnection, machine: str) -> None:
        if self.up and self.lines.get(machine) is line and not line.far.reached(line):
            self.fleet.later(line.far, self, self._refused, line, machine)

    def _refused(self, line: EmulatedConnection, machine: str) -> None:
        if self.up and self.lines.get(machine) is line:
            del self.lines[machine]
            self.feed("link_failed", machine)

    def welcomed(self, line: EmulatedConnection) -> None:
        if self.up and line is self.list_line:
            line.up = True
            self._ask_list()
        elif self.up and self.lines.get(line.far.name) is line:
            line.up = True
            self.recorder.note(self.clock.now, line.far.name, "open")
            self.feed("link_up", line.far.name, self.fleet.hosts[line.far.name]._welcome())

    def shut(self, line: EmulatedConnection) -> None:
        """The line was broken at its far end."""
        if not self.up:
            return
        if line is self.list_line:
            self.list_line = None
            self.feed("list_failed")
            self.list_wanted = None if self.config.list.asked else self.engine.list_version
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

    def _hung_up(self, line: EmulatedConnection) -> None:
        if line.far.wires.get(self.name) is line:
            del line.far.wires[self.name]
            line.far.recorder.note(self.clock.now, self.name, "shut")
            line.far.left(self.name)

    def hears(self, line: EmulatedConnection, message: m.Message) -> None:
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
        line = self.list_line = EmulatedConnection(far, self, self.fleet.numbers)
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
