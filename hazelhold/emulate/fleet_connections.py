"""Connections of the emulated fleet, from planners to the servers of machines and of the list service."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from hazelhold.emulate.fleet_time import Notes
from hazelhold.protocol import messages as m

if TYPE_CHECKING:
    from hazelhold.emulate.fleet import Fleet
    from hazelhold.emulate.fleet_planner import PlannerHost


class EmulatedConnection:
    """A connection of a planner to a machine or the list; `number` distinguishes those of one pair."""

    def __init__(self, server: "EmulatedServer", planner: "PlannerHost", number: int) -> None:
        self.server, self.planner, self.number = server, planner, number
        self.up = False  # whether the server has sent its Welcome

    def cut(self) -> None:
        """Closes the connection from the server's side."""
        if self.server.connections.get(self.planner.name) is self:
            del self.server.connections[self.planner.name]
            self.server.recorder.note(self.server.fleet.clock.now, self.planner.name, "shut")
        self.server.fleet.later(self.server, self.planner, self.planner.shut, self)


class EmulatedServer:
    """The server of a machine or of the list service."""

    def __init__(
        self,
        fleet: "Fleet",
        name: str,
        zone: int,
        recorder: Notes,
        on_message: Callable[[str, Any], None],
        on_disconnect: Callable[[str], None] = lambda planner: None,
    ) -> None:
        self.fleet, self.name, self.zone, self.recorder = fleet, name, zone, recorder
        self.on_message, self.on_disconnect = on_message, on_disconnect
        self.connections: dict[str, EmulatedConnection] = {}
        self.open, self.address = True, name
        self.muted: Callable[[str], bool] = lambda planner: False

    def send(self, planner: str, message: m.Message) -> None:
        if (connection := self.connections.get(planner)) and not self.muted(planner):
            self.recorder.note(self.fleet.clock.now, planner, "out", message)
            self.fleet.later(self, connection.planner, connection.planner.receive, connection, message)

    def shut(self) -> None:
        for connection in list(self.connections.values()):
            connection.cut()
            self.on_disconnect(connection.planner.name)

    def receive(self, connection: EmulatedConnection, message: m.Message) -> None:
        if self.connections.get(connection.planner.name) is connection and not self.muted(
            connection.planner.name
        ):
            self.recorder.note(self.fleet.clock.now, connection.planner.name, "in", message)
            self.on_message(connection.planner.name, message)

    def accept(self, connection: EmulatedConnection) -> bool:
        """Accepts a connection; False if the server is closed. A partitioned planner gets no reply."""
        if not self.open:
            return False
        if not self.muted(connection.planner.name):
            if old := self.connections.get(connection.planner.name):
                self.fleet.later(self, old.planner, old.planner.shut, old)
            self.connections[connection.planner.name] = connection
            self.recorder.note(self.fleet.clock.now, connection.planner.name, "open")
            self.fleet.later(self, connection.planner, connection.planner.welcomed, connection)
        return True
