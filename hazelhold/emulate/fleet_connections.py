"""Connections of the emulated fleet: lines from planners to the doors of machines and of the list service."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hazelhold.emulate.fleet_time import Notes
from hazelhold.protocol import messages as m

if TYPE_CHECKING:
    from hazelhold.emulate.fleet import Fleet
    from hazelhold.emulate.fleet_planner import PlannerHost


class EmulatedConnection:
    """One connection between a planner and a machine or the list; `number` tells lines of one pair apart."""

    def __init__(self, far: "EmulatedServer", planner: "PlannerHost", number: int) -> None:
        self.far, self.planner, self.number = far, planner, number
        self.up = False  # the far end has welcomed it

    def cut(self) -> None:
        """Broken by the far end, or by what happens to it."""
        if self.far.wires.get(self.planner.name) is self:
            del self.far.wires[self.planner.name]
            self.far.recorder.note(self.far.fleet.clock.now, self.planner.name, "shut")
        self.far.fleet.later(self.far, self.planner, self.planner.shut, self)


class EmulatedServer:
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
        self.wires: dict[str, EmulatedConnection] = {}
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

    def hears(self, line: EmulatedConnection, message: m.Message) -> None:
        if self.wires.get(line.planner.name) is line and not self.muted(line.planner.name):
            self.recorder.note(self.fleet.clock.now, line.planner.name, "in", message)
            self.said(line.planner.name, message)

    def reached(self, line: EmulatedConnection) -> bool:
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
