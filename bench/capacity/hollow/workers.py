"""A process of hollow workers: each has an address of its own on loopback, all share one event loop.

python -m bench.capacity.hollow.workers '{"first": 0, "count": 365, ...}'     (started by the rig)
"""

import socket
import sys
from functools import partial

import msgspec
from msgspec import Struct

from bench.capacity.hollow.loop import Commands, Connection, Listener, Loop, now_us
from bench.capacity.hollow.messages import Command, Counts, Restart, Stop
from bench.capacity.hollow.worker import Due, Worker
from hazelhold.protocol import messages as m

CODEC = m.Codec(m.TO_MACHINE)
LIST_CODEC = m.Codec(m.FROM_LIST)
HOUR = 3600 * 1_000_000
WORKERS_A_HOST = 200  # of one address of 127.0.0.0/8
CORES_ROOM, MEMORY_ROOM = 60.0, 61.5  # a small-box of the example's planner, times the fleet's multiples


class Settings(Struct):
    """Which workers this process holds. Times in microseconds."""

    first: int
    count: int
    zones: int
    port: int  # of every worker here; the address of 127.0.0.0/8 tells them apart
    lister: str
    task_life: int
    use_period: int
    most_seconds: float


class Place:
    """One worker with its listener and its connections, by planner."""

    def __init__(self, process: "Process", number: int) -> None:
        settings = process.settings
        self.process, self.number = process, number
        self.host = host_of(number)
        self.worker = Worker(
            f"worker-{number:05d}",
            number % settings.zones,
            now_us() - HOUR,
            settings.task_life,
            settings.use_period,
        )
        self.connections: dict[str, Connection] = {}
        self.ready: set[str] = set()  # planners whose roll call this life has answered
        self.listener = self._listen()

    def entry(self) -> m.Entry:
        """This worker as the list should have it."""
        worker = self.worker
        return m.Entry(
            machine=worker.name,
            address=f"{self.host}:{self.process.settings.port}",
            mode="ready",
            kind="small-box",
            incarnation=worker.incarnation,
            up_for=max(0, now_us() - worker.up_at),
            zone=worker.zone,
            cell=self.number // 16,
            cores_room=CORES_ROOM,
            memory_room=MEMORY_ROOM,
        )

    def go_down(self) -> None:
        """Ends the listener and all connections: whoever dials is refused."""
        self.listener.close()
        for connection in list(self.connections.values()):
            connection.close()
        self.connections.clear()
        self.ready.clear()

    def come_up(self) -> None:
        self.worker.restart(now_us())
        self.listener = self._listen()

    def _listen(self) -> Listener:
        return Listener(self.process.loop, self.host, self.process.settings.port, self._accepted)

    def _accepted(self, stream: socket.socket) -> None:
        Connection(self.process.loop, stream, CODEC, self._hear)

    def _hear(self, connection: Connection, message: m.Message) -> None:
        if isinstance(message, m.Hello):
            self._greet(connection)
            return
        if isinstance(message, m.Bye):
            connection.close()
            return
        self.worker.hear(now_us(), connection.peer, message)
        self.deliver()
        if isinstance(message, m.InventoryRequest):
            self.ready.add(connection.peer)

    def _greet(self, connection: Connection) -> None:
        """The newest connection of a planner is the one that counts."""
        planner = connection.peer
        if old := self.connections.get(planner):
            old.send(m.Bye(reason="replaced"))
            old.close()
        self.connections[planner] = connection
        connection.on_close = partial(self._closed, connection)
        connection.send(self.worker.welcome(now_us()))

    def _closed(self, connection: Connection) -> None:
        if self.connections.get(connection.peer) is connection:
            del self.connections[connection.peer]

    def deliver(self) -> None:
        """Sends the worker's answers and sets its timers."""
        answers, self.worker.answers = self.worker.answers, []
        for planner, message in answers:
            if connection := self.connections.get(planner):
                connection.send(message)
        dues, self.worker.dues = self.worker.dues, []
        for due in dues:
            self.process.loop.later(due.at, self._act, due)

    def _act(self, due: Due) -> None:
        self.worker.act(now_us(), due)
        self.deliver()


class Process:
    """All workers of this process, and its connection to the list service."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.loop = Loop(settings.most_seconds)
        numbers = range(settings.first, settings.first + settings.count)
        self.places = [Place(self, number) for number in numbers]
        self.restarts = 0
        host, port = settings.lister.rsplit(":", 1)
        stream = socket.create_connection((host, int(port)), timeout=10)
        self.lister = Connection(self.loop, stream, LIST_CODEC, lambda connection, message: None)
        self.lister.send(m.Hello(role="machine", name=f"workers-{settings.first}"))
        self.lister.send(m.RegisterMachines(entries=[place.entry() for place in self.places]))

    def obey(self, command: Command) -> Counts:
        if isinstance(command, Restart):
            self._restart(command)
        elif isinstance(command, Stop):
            self.loop.stop()
        return self.counts()

    def counts(self) -> Counts:
        ready: dict[str, int] = {}
        held: dict[str, int] = {}
        for place in self.places:
            for planner in place.ready:
                ready[planner] = ready.get(planner, 0) + 1
            for planner in place.connections:
                held[planner] = held.get(planner, 0) + 1
        return Counts(
            flows=self.loop.tally.peers,
            faults=self.loop.faults,
            ready=ready,
            held=held,
            restarts=self.restarts,
        )

    def _restart(self, command: Restart) -> None:
        struck = [place for place in self.places if place.worker.zone == command.zone]
        for place in struck:
            place.go_down()
        self.loop.later(now_us() + command.down, self._return, struck)

    def _return(self, struck: list[Place]) -> None:
        for place in struck:
            place.come_up()
        self.restarts += len(struck)
        if struck:
            self.lister.send(m.RegisterMachines(entries=[place.entry() for place in struck]))


def host_of(number: int) -> str:
    """A worker's loopback address: two hundred to a third byte, from 127.1.0.1 on."""
    return f"127.1.{number // WORKERS_A_HOST}.{number % WORKERS_A_HOST + 1}"


def main() -> None:
    process = Process(msgspec.json.decode(sys.argv[1], type=Settings))
    commands = Commands(process.loop, sys.stdin.buffer, sys.stdout.buffer, Command, process.obey)
    commands.answer(process.counts())
    process.loop.run()


if __name__ == "__main__":
    main()
