"""What all stand-in servers share: a door where planners say Hello, and one wire for each planner."""

from collections.abc import Callable

import trio

from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.protocol.record import Recorder
from hazelhold.service.connection import Wire
from hazelhold.service.net import Net


class Door:
    """Accepts planners at an address. `shut` breaks all connections; `mute` lets nothing in or out while
    connections stay, as a machine does that hangs or that is cut off."""

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
        self.wires: dict[str, Wire] = {}
        self.open = True
        self.muted: Callable[[str], bool] = lambda planner: False
        self.address = ""

    async def serve(self, address: str, nursery: trio.Nursery) -> str:
        self.address = await self.net.listen(address, self._connection, nursery)
        return self.address

    def send(self, planner: str, message: m.Message) -> None:
        if (wire := self.wires.get(planner)) and not self.muted(planner):
            wire.send(message)

    def shut(self) -> None:
        """Breaks every connection, now."""
        for wire in list(self.wires.values()):
            wire.cut()
        self.wires.clear()

    async def _connection(self, stream: trio.abc.Stream) -> None:
        if not self.open:
            await stream.aclose()
            return
        wire = Wire(stream, self.codec, self.net.now, self.recorder, send_bytes=1 << 24)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wire.write)
            with wire.scope:
                await self._talk(wire)
            wire.finish()

    async def _talk(self, wire: Wire) -> None:
        name = ""
        try:
            hello = await wire.first(m.Hello, 5.0)
            if hello.role == "owner":
                raise FrameError("wrong_role", f"{self.name!r} is not for owners")
            if self.muted(hello.name):
                await trio.sleep_forever()
            name = wire.peer = hello.name
            if old := self.wires.get(name):  # the newest connection of a planner is the one that counts
                old.finish(m.Bye(reason="replaced"))
                old.scope.cancel()
            self.wires[name] = wire
            wire.note("open", None)
            wire.send(self.welcome())
            for message in wire.rest():
                self._hear(name, message)
            async for message in wire.messages():
                self._hear(name, message)
        except FrameError as wrong:
            wire.finish(m.Fault(code=wrong.code, text=wrong.text))
        finally:
            if name and self.wires.get(name) is wire:
                del self.wires[name]
                self.left(name)
            if name:
                wire.note("shut", None)

    def _hear(self, planner: str, message: m.Message) -> None:
        if not self.muted(planner) and not isinstance(message, m.Bye):
            self.said(planner, message)
