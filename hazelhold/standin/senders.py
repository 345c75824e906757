"""Stand-in senders: owners' models, each with a connection to every planner that it keeps renewing."""

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
    """One sender."""

    def __init__(self, net: Net, model: OwnerModel, addresses: dict[str, str], recorder: Recorder) -> None:
        self.net, self.model, self.addresses, self.recorder = net, model, addresses, recorder
        self.connections: dict[str, MessageConnection] = {}
        self.ticker = Ticker(net.now, lambda now: model.next_at(), self._work)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.ticker.run)
            for planner in self.addresses:
                nursery.start_soon(self._keep, planner)

    async def _keep(self, planner: str) -> None:
        """Connects, listens, and connects again after a drawn wait."""
        wait = 0.05
        while True:
            try:
                stream = await self.net.dial(self.addresses[planner])
                connection = MessageConnection(
                    stream, CODEC, self.net.now, self.recorder, planner, send_bytes=1 << 24
                )
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.write)
                    with connection.scope:
                        wait = await self._listen(planner, connection, wait)
                    connection.finish()
            except OSError:
                pass
            await trio.sleep(wait * self.model.random.uniform(0.5, 1.5))
            wait = min(1.0, wait * 2)

    async def _listen(self, planner: str, connection: MessageConnection, wait: float) -> float:
        try:
            connection.send(m.Hello(role="owner", name=self.model.name))
            await connection.first(m.Welcome, 5.0)
            wait = 0.05
            self.connections[planner] = connection
            connection.note("open", None)
            self.model.connected(self.net.now(), planner)
            self.ticker.notify()
            for message in connection.rest():
                self._said(planner, message)
            async for message in connection.messages():
                self._said(planner, message)
        except FrameError:
            pass
        finally:
            if self.connections.get(planner) is connection:
                del self.connections[planner]
                connection.note("shut", None)
                self.model.disconnected(self.net.now(), planner)
                self.ticker.notify()
        return wait

    def _said(self, planner: str, message: m.Message) -> None:
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
