"""Stand-in clients of one planner: connections, requests, cancels, early closes, hand-over."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from hazelhold.platform.codec import (
    ANSWER,
    CAUSE,
    CLASS,
    DESCRIPTION,
    END,
    FIGURES,
    LEFT,
    MOVE,
    NAME,
    SET_UP,
    TENANT,
    TEST,
    TESTED,
    BinaryMessage,
    BinaryReader,
    CodecError,
    encode_binary,
)
from tests.faults.planners import PlannerProcess
from tests.faults.record import Closed, Record, Reply, Request

CANCEL, STOP = 16, 16
CROSSED = 0.05  # a set-up written so shortly before the end of an idle connection is sent again, once
HAND_OVER_LOOK = 0.3  # seconds after a hand-over at which its connection must still stand
IDLE_CLOSE = 4.0  # clients close a connection without requests after this


@dataclass
class Habits:
    """What the clients do; shares are parts of 1."""

    rate: float = 6.0  # requests a second
    connections: int = 4
    share_cancelled: float = 0.05
    share_left: float = 0.03  # closes its connection with requests open
    share_ended: float = 0.1  # ends what stands before it is over
    share_impatient: float = 0.05  # very little time left
    share_at_most_once: float = 0.4
    share_ends_at_once: float = 0.1  # of the cancels: written with the set-up


@dataclass(eq=False)
class Connection:
    stream: trio.SocketStream
    open: dict[str, Request] = field(default_factory=dict)
    standing: set[str] = field(default_factory=set)  # tasks that were placed on it: their ends come here
    ended: bool = False
    used_at: float = field(default_factory=time.monotonic)
    pen: trio.Lock = field(default_factory=trio.Lock)


class Clients:
    """All clients of one planner.

    `end_moved` ends a task at its server when its client is told to move it.
    """

    def __init__(
        self,
        planner: PlannerProcess,
        record: Record,
        habits: Habits,
        random: Random,
        nursery: trio.Nursery,
        end_moved: Callable[[str], None],
    ) -> None:
        self.planner, self.record, self.habits = planner, record, habits
        self.end_moved = end_moved
        self.random, self.nursery = random, nursery
        self.connections: list[Connection] = []
        self.standing: dict[str, tuple[Request, str]] = {}  # request and its server, by id
        self.number = 0
        self.sending = False  # the front has taken its planner in
        self.open_only = False  # a stop is on: no new connection
        self.deadlines = {each["name"]: each["deadline"] / 1000 for each in planner.settings["classes"]}

    async def run(self) -> None:
        while True:
            await trio.sleep(self.random.expovariate(self.habits.rate))
            if self.sending:
                self.nursery.start_soon(self._request)
            elif self.standing:
                await self._keep_connection()

    async def _keep_connection(self) -> None:
        """Ends of what stands have to reach the client: it has a connection that has said something."""
        life = self.planner.life
        if life.ready_at is None or life.ended_at is not None or any(not c.ended for c in self.connections):
            return
        if connection := await self.connect():
            await self._write(
                connection, encode_binary(BinaryMessage(TEST, "00000000000000aa", {CAUSE: b"\0"}))
            )

    # Connections.

    async def _connection(self) -> Connection | None:
        usable = [each for each in self.connections if not each.ended]
        now = time.monotonic()
        for each in usable:
            if not each.open and not each.standing and now - each.used_at > IDLE_CLOSE:
                usable.remove(each)
                await self._close(each)
        if usable and (len(usable) >= self.habits.connections or self.open_only):
            return self.random.choice(usable)
        if self.open_only and self.planner.life.ended_at is not None:
            return None
        return await self.connect()  # also while its planner stops, where none is free

    async def connect(self) -> Connection | None:
        host, port = self.planner.address.split(":")
        try:
            with trio.fail_after(1.0):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return None
        connection = Connection(stream)
        self.connections.append(connection)
        self.nursery.start_soon(self._listen, connection)
        return connection

    async def _listen(self, connection: Connection) -> None:
        reader = BinaryReader()
        try:
            while data := await connection.stream.receive_some(1 << 14):
                for message in reader.feed(data):
                    self._heard(connection, message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except CodecError as wrong:
            self.record.note(f"{self.planner.name} wrote what cannot be read: {wrong}")
        self._ended(connection)

    def _ended(self, connection: Connection) -> None:
        """The planner, or the client itself, ended it."""
        if connection.ended:
            return
        connection.ended = True
        if connection in self.connections:
            self.connections.remove(connection)
        now = time.monotonic()
        for request in connection.open.values():
            request.connection_ended_at = now
            if self.planner.life.killed_at is not None:
                request.closed, request.closed_at = Closed.KILLED, request.closed_at or now
            elif now - request.sent_at <= CROSSED and not request.replies:
                request.closed, request.closed_at = (
                    Closed.LEFT,
                    now,
                )  # it crossed the end of an idle connection
                self.nursery.start_soon(self._request)
        connection.open.clear()
        with_fd = connection.stream.socket.fileno() >= 0
        if with_fd:
            connection.stream.socket.close()

    async def _close(self, connection: Connection) -> None:
        """The client closes; nothing is owed to what is open there."""
        now = time.monotonic()
        for request in connection.open.values():
            request.closed, request.closed_at = Closed.LEFT, now
        connection.open.clear()
        self._ended(connection)

    def planner_died(self) -> None:
        """Its planner was killed: the connections end, what was open there is not owed."""
        now = time.monotonic()
        for connection in list(self.connections):
            for request in connection.open.values():
                request.closed, request.closed_at = Closed.KILLED, request.closed_at or now

    # Requests.

    def _made(self) -> Request:
        self.number += 1
        habits, random = self.habits, self.random
        at_most_once = random.random() < habits.share_at_most_once
        product = "once" if at_most_once else "plain"
        patience = self.deadlines[product] * random.uniform(0.5, 1.0)
        if random.random() < habits.share_impatient:
            patience = random.choice([0.01, 0.03, 0.08, 0.2])
        number = int(self.planner.name[1:]) << 32 | self.number
        return Request(f"{number:016x}", self.planner.name, product, 0.0, patience)

    def _message(self, request: Request, at: str = "") -> bytes:
        number = int(request.id, 16)
        figures = f"cores:1;memory:2;service:{number % 7 + 1:016x}" + (f";at:{at}" if at else "")
        parameters = {
            CLASS: request.product.encode(),
            LEFT: str(int(request.patience * 1000)).encode(),
            TENANT: b"acme",
            NAME: request.id.encode(),
            FIGURES: figures.encode(),
            DESCRIPTION: f"request {request.id}".encode(),
        }
        if at:
            del parameters[LEFT]
        return encode_binary(BinaryMessage(SET_UP, request.id, parameters))

    def _end_message(self, request: Request) -> bytes:
        return encode_binary(BinaryMessage(END, request.id, {CAUSE: bytes((CANCEL,))}))

    async def _request(self) -> None:
        connection = await self._connection()
        if connection is None or connection.ended:
            return
        request, habits, random = self._made(), self.habits, self.random
        request.connection = connection.stream.socket.getsockname()[1]
        data = self._message(request)
        cancelled = random.random() < habits.share_cancelled
        if cancelled and random.random() < habits.share_ends_at_once:
            data += self._end_message(request)
            request.closed = Closed.CANCELLED
        try:
            async with connection.pen:
                if connection.ended:
                    return
                self.record.requests[request.id] = request
                request.sent_at = connection.used_at = time.monotonic()
                if request.closed:
                    request.closed_at = request.sent_at
                else:
                    connection.open[request.id] = request
                await connection.stream.send_all(data)
                if not request.closed:
                    request.sent_at = time.monotonic()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            request.closed, request.closed_at = Closed.LEFT, time.monotonic()  # not written whole
            connection.open.pop(request.id, None)
            return
        if request.closed:
            return
        if cancelled:
            await trio.sleep(random.uniform(0, 0.05))
            await self._cancel(connection, request)
        elif random.random() < habits.share_left:
            await trio.sleep(random.uniform(0, 0.05))
            if not connection.ended and not connection.standing:
                await self._close(connection)

    async def _cancel(self, connection: Connection, request: Request) -> None:
        if request.id not in connection.open:
            return
        del connection.open[request.id]
        request.closed, request.closed_at = Closed.CANCELLED, time.monotonic()
        await self._write(connection, self._end_message(request))

    async def _write(self, connection: Connection, data: bytes) -> bool:
        try:
            async with connection.pen:
                await connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    # Replies.

    def _heard(self, connection: Connection, message: BinaryMessage) -> None:
        if message.type == TESTED:
            return
        request = self.record.requests.get(message.id)
        if request is None:
            self.record.note(f"{self.planner.name} told of the unknown request {message.id}")
            return
        now = time.monotonic()
        if message.type == ANSWER:
            request.replies.append(Reply(now, "answer", None, message.parameters.get(DESCRIPTION, b"")))
            if request.closed is None:
                connection.standing.add(request.id)
                self._stands(connection, request, message.parameters.get(DESCRIPTION, b"").decode())
        elif message.type in (END, MOVE):
            request.replies.append(Reply(now, "end" if message.type == END else "move", message.cause))
            if message.type == MOVE:
                self.end_moved(request.id)
            self.standing.pop(request.id, None)
            for each in self.connections:
                each.standing.discard(request.id)
        connection.open.pop(request.id, None)
        connection.used_at = now

    def _stands(self, connection: Connection, request: Request, description: str) -> None:
        self.standing[request.id] = request, description.partition(" ")[0]
        if self.random.random() < self.habits.share_ended:
            self.nursery.start_soon(self._end_standing, connection, request)

    async def _end_standing(self, connection: Connection, request: Request) -> None:
        await trio.sleep(self.random.uniform(0.0, 0.8))
        if request.id not in self.standing:
            return
        if connection.ended:
            connection = next((each for each in self.connections if not each.ended), None)
        if connection is not None and await self._write(connection, self._end_message(request)):
            request.ended_by_client_at = time.monotonic()
            self.standing.pop(request.id, None)

    async def hand_over(self) -> None:
        """After its planner's restart: what stands is named to it with its server."""
        life = self.planner.life
        while self.standing and self.planner.life is life and life.ended_at is None:
            connection = await self.connect()
            if connection is not None:
                for request, server in list(self.standing.values()):
                    request.handed_over = True
                    connection.standing.add(request.id)
                    await self._write(connection, self._message(request, at=server))
            await trio.sleep(HAND_OVER_LOOK)
            if connection is not None and not connection.ended:
                return  # else it was broken under what was handed over
