"""Stand-in senders: models of owners, each of which keeps a connection to every planner."""

import trio

from hazelhold.model.owners import OwnerModel
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.protocol.record import Recorder
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker

CODEC = m.Codec(m.TO_OWNER)


class SenderHost:
    """Runs the model of one owner over connections to planners at `addresses`, by planner name."""

    def __init__(self, net: Net, model: OwnerModel, addresses: dict[str, str], recorder: Recorder) -> None:
        self.net, self.model, self.addresses, self.recorder = net, model, addresses, recorder
        self.connections: dict[str, MessageConnection] = {}
        self.ticker = Ticker(net.now, lambda now: model.next_at(), self._work)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.ticker.run)
            for planner in self.addresses:
                nursery.start_soon(self._stay_connected, planner)

    async def _stay_connected(self, planner: str) -> None:
        """Connects, reads, and reconnects after a random delay."""
        delay = 0.05
        while True:
            try:
                stream = await self.net.dial(self.addresses[planner])
                connection = MessageConnection(
                    stream, CODEC, self.net.now, self.recorder, planner, send_bytes=1 << 24
                )
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.write)
                    with connection.scope:
                        delay = await self._receive(planner, connection, delay)
                    connection.finish()
            except OSError:
                pass
            await trio.sleep(delay * self.model.random.uniform(0.5, 1.5))
            delay = min(1.0, delay * 2)

    async def _receive(self, planner: str, connection: MessageConnection, delay: float) -> float:
        try:
            connection.send(m.Hello(role="owner", name=self.model.name))
            await connection.first(m.Welcome, 5.0)
            delay = 0.05
            self.connections[planner] = connection
            connection.note("open", None)
            self.model.connected(self.net.now(), planner)
            self.ticker.notify()
            for message in connection.rest():
                self._received(planner, message)
            async for message in connection.messages():
                self._received(planner, message)
        except FrameError:
            pass
        finally:
            if self.connections.get(planner) is connection:
                del self.connections[planner]
                connection.note("shut", None)
                self.model.disconnected(self.net.now(), planner)
                self.ticker.notify()
        return delay

    def _received(self, planner: str, message: m.Message) -> None:
        now = self.net.now()
        self.model.advance(now)
        self.model.said(now, planner, message)
        self.ticker.notify()

    def _work(self, now: int) -> None:
        self.model.advance(now)
        out, self.model.out = self.model.out, []
        for planner, message in out:
            if connection := self.connections.get(planner):
                connection.send(message)
