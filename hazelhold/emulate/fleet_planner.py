"""A planner of the emulated fleet: an engine with emulated connections."""

from typing import TYPE_CHECKING

from hazelhold.config.planner import PlannerConfig, to_microseconds
from hazelhold.emulate.fleet_connections import EmulatedConnection
from hazelhold.emulate.fleet_time import SECOND, Notes, Wake
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import AskList, Dial, Disconnect, FetchList, HangUp, Send
from hazelhold.protocol import messages as m

if TYPE_CHECKING:
    from hazelhold.emulate.fleet import Fleet


class PlannerHost:
    """One run of a planner's process: an engine and its connections to machines and the list service."""

    def __init__(self, fleet: "Fleet", config: PlannerConfig, run_number: int, zone: int) -> None:
        self.fleet, self.config, self.name, self.zone = fleet, config, config.name, zone
        self.clock, self.up, self.stopping = fleet.clock, True, False
        self.engine = Engine(config, config.seed + run_number, self.clock.now)
        self.recorder = Notes(config.name, "planner", fleet.crossings)
        self.connections: dict[str, EmulatedConnection] = {}
        self.list_connection: EmulatedConnection | None = None
        self.list_since: int | None = None if config.list.asked else 0
        self.ticker = Wake(
            self.clock,
            fleet.net.now,
            self.engine.next_at,
            self._work,
            to_microseconds(config.limits.batch_ms),
        )
        self.ticker.notify()
        self._follow()

    def _work(self, now: int) -> None:
        self.engine.pump(now)
        self.perform_actions()

    def deliver(self, what: str, *arguments: object) -> None:
        getattr(self.engine, what)(self.clock.now, *arguments)
        self.perform_actions()
        self.ticker.notify()

    def perform_actions(self) -> None:
        while self.engine.actions:
            actions, self.engine.actions = self.engine.actions, []
            for action in actions:
                self._perform(action)

    def _perform(self, action: object) -> None:
        now, fleet = self.clock.now, self.fleet
        if isinstance(action, Send) and action.role == "owner":
            here = self.name in fleet.reach.get(action.peer, ())
            self.recorder.note(now, action.peer, "out" if here else "kept", action.message)
            if here:
                self.clock.at(now + fleet.delay, fleet.deliver_to_owner, action.peer, self, action.message)
        elif isinstance(action, Send):
            if connection := self.connections.get(action.peer):
                self.recorder.note(now, action.peer, "out", action.message)
                fleet.later(connection.server, self, connection.server.receive, connection, action.message)
        elif isinstance(action, Dial):
            self._dial(action.machine)
        elif isinstance(action, HangUp):
            self._hang_up(action.machine)
        elif isinstance(action, AskList):
            self._ask_list(action.number)
        elif isinstance(action, Disconnect) and action.role == "list":
            self._drop_list()
        elif isinstance(action, Disconnect):
            self._hang_up(action.peer)
        elif isinstance(action, FetchList):
            self.list_since = action.since
            self._fetch_list()

    # Connections to machines.

    def _dial(self, machine: str) -> None:
        self._hang_up(machine)
        server = self.fleet.hosts[machine].server
        self.fleet.numbers += 1
        connection = self.connections[machine] = EmulatedConnection(server, self, self.fleet.numbers)
        self.fleet.later(server, self, self._reach_server, connection, machine)

    def _reach_server(self, connection: EmulatedConnection, machine: str) -> None:
        if (
            self.up
            and self.connections.get(machine) is connection
            and not connection.server.accept(connection)
        ):
            self.fleet.later(connection.server, self, self._refused, connection, machine)

    def _refused(self, connection: EmulatedConnection, machine: str) -> None:
        if self.up and self.connections.get(machine) is connection:
            del self.connections[machine]
            self.deliver("link_failed", machine)

    def welcomed(self, connection: EmulatedConnection) -> None:
        if self.up and connection is self.list_connection:
            connection.up = True
            self.deliver("list_greeted", self.fleet.list_host.welcome())
            self._fetch_list()
        elif self.up and self.connections.get(connection.server.name) is connection:
            connection.up = True
            self.recorder.note(self.clock.now, connection.server.name, "open")
            self.deliver(
                "link_up", connection.server.name, self.fleet.hosts[connection.server.name]._welcome()
            )

    def shut(self, connection: EmulatedConnection) -> None:
        """Handles a connection that its server closed."""
        if not self.up:
            return
        if connection is self.list_connection:
            self.list_connection = None
            self.deliver("list_failed")
            self.list_since = None if self.config.list.asked else self.engine.list_version
            self.clock.at(self.clock.now + SECOND // 2, self._follow)
        elif self.connections.get(connection.server.name) is connection:
            del self.connections[connection.server.name]
            self.recorder.note(self.clock.now, connection.server.name, "shut")
            self.deliver("link_down" if connection.up else "link_failed", connection.server.name)

    def _hang_up(self, machine: str) -> None:
        if connection := self.connections.pop(machine, None):
            if connection.up:
                self.recorder.note(self.clock.now, machine, "shut")
            self.fleet.later(connection.server, self, self._hung_up, connection)

    def _hung_up(self, connection: EmulatedConnection) -> None:
        if connection.server.connections.get(self.name) is connection:
            del connection.server.connections[self.name]
            connection.server.recorder.note(self.clock.now, self.name, "shut")
            connection.server.on_disconnect(self.name)

    def receive(self, connection: EmulatedConnection, message: m.Message) -> None:
        if not self.up:
            return
        if connection is self.list_connection:
            self.recorder.note(self.clock.now, "list", "in", message)
            self.deliver("list_said", message)
        elif self.connections.get(connection.server.name) is connection:
            self.recorder.note(self.clock.now, connection.server.name, "in", message)
            self.deliver("machine_said", connection.server.name, message)

    # The list service.

    def _follow(self) -> None:
        if not self.up or self.list_connection is not None:
            return
        server = self.fleet.list_host.server
        self.fleet.numbers += 1
        connection = self.list_connection = EmulatedConnection(server, self, self.fleet.numbers)
        if not server.accept(connection):
            self.clock.at(self.clock.now + self.fleet.delay, self.shut, connection)

    def _fetch_list(self) -> None:
        if self.list_connection is not None and self.list_connection.up and self.list_since is not None:
            server, connection = self.list_connection.server, self.list_connection
            self.fleet.later(server, self, server.receive, connection, m.Watch(since=self.list_since))
            self.list_since = None

    def _ask_list(self, number: int) -> None:
        if (connection := self.list_connection) is not None and connection.up:
            server, question = connection.server, m.ConfirmList(number=number)
            self.recorder.note(self.clock.now, "list", "out", question)
            self.fleet.later(server, self, server.receive, connection, question)

    def _drop_list(self) -> None:
        """Closes the connection to the list service from this side, and dials again like after a loss."""
        if (connection := self.list_connection) is not None:
            self.fleet.later(connection.server, self, self._hung_up, connection)
            self.shut(connection)

    def owner_said(self, owner: str, message: m.Message) -> None:
        if self.up:
            self.recorder.note(self.clock.now, owner, "in", message)
            self.deliver("owner_said", owner, message)

    def end(self) -> None:
        """Ends the process; its connections are closed without notice."""
        self.up = False
        self.ticker.over = True
        for connection in [
            *self.connections.values(),
            *([self.list_connection] if self.list_connection else []),
        ]:
            self._hung_up(connection)
        self.connections.clear()
