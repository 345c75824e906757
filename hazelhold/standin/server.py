"""The server that all stand-ins share: it accepts planners and keeps one connection for each."""

from collections.abc import Callable

import trio

from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.protocol.record import Recorder
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net


class StandInServer:
    """Accepts planners at an address. `shut` closes all connections. For planners for which `muted` returns
    True, messages are dropped both ways while the connection stays open, as with a machine that hangs or is
    partitioned."""

    def __init__(
        self,
        net: Net,
        name: str,
        role: str,
        codec: m.Codec,
        recorder: Recorder,
        welcome: Callable[[], m.Welcome],
        said: Callable[[str, m.Message], None],
        left: Callable[[str], None] = lambda planner: None,
    ) -> None:
        self.net, self.name, self.codec, self.recorder = net, name, codec, recorder
        self.welcome, self.said, self.left = welcome, said, left
        self.connections: dict[str, MessageConnection] = {}
        self.open = True
        self.muted: Callable[[str], bool] = lambda planner: False
        self.address = ""

    async def serve(self, address: str, nursery: trio.Nursery) -> str:
        """Starts to listen; returns the address with the port in use."""
        self.address = await self.net.listen(address, self._connection, nursery)
        return self.address

    def send(self, planner: str, message: m.Message) -> None:
        """Sends a message if the planner is connected and not muted."""
        if (connection := self.connections.get(planner)) and not self.muted(planner):
            connection.send(message)

    def shut(self) -> None:
        """Closes all connections immediately."""
        for connection in list(self.connections.values()):
            connection.cut()
        self.connections.clear()

    async def _connection(self, stream: trio.abc.Stream) -> None:
        if not self.open:
            await stream.aclose()
            return
        connection = MessageConnection(stream, self.codec, self.net.now, self.recorder, send_bytes=1 << 24)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.write)
            with connection.scope:
                await self._talk(connection)
            connection.finish()

    async def _talk(self, connection: MessageConnection) -> None:
        name = ""
        try:
            hello = await connection.first(m.Hello, 5.0)
            if hello.role == "owner":
                raise FrameError("wrong_role", f"{self.name!r} does not serve owners")
            if self.muted(hello.name):
                await trio.sleep_forever()
            name = connection.peer = hello.name
            if old := self.connections.get(name):  # a newer connection of a planner replaces the older one
                old.finish(m.Bye(reason="replaced"))
                old.scope.cancel()
            self.connections[name] = connection
            connection.note("open", None)
            connection.send(self.welcome())
            for message in connection.rest():
                self._receive(name, message)
            async for message in connection.messages():
                self._receive(name, message)
        except FrameError as error:
            connection.finish(m.Fault(code=error.code, text=error.text))
        finally:
            if name and self.connections.get(name) is connection:
                del self.connections[name]
                self.left(name)
            if name:
                connection.note("shut", None)

    def _receive(self, planner: str, message: m.Message) -> None:
        if not self.muted(planner) and not isinstance(message, m.Bye):
            self.said(planner, message)
