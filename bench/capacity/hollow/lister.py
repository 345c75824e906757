"""The list service as a process of its own, with counts of what crosses its connections.

python -m bench.capacity.hollow.lister '{"most_seconds": 120}'     (started by the rig)

The service is the project's stand-in, on its own network code; a stream between the two counts.
"""

import sys

import msgspec
import trio
from msgspec import Struct

from bench.capacity.hollow.messages import Command, Counts, Stop
from bench.capacity.hollow.tally import Tally, kind_of
from hazelhold.model.listing import ListService
from hazelhold.protocol.frames import FrameReader
from hazelhold.protocol.record import Recorder
from hazelhold.service.net import Handler, TcpNet
from hazelhold.standin.list_service import ListHost

FRAME_LIMIT = 1 << 26  # bytes


class Settings(Struct):
    """How late the service is, in microseconds: it notices a change, tells watchers each period, answers."""

    most_seconds: float
    notice: tuple[int, int] = (100_000, 500_000)
    period: int = 1_000_000
    answer: tuple[int, int] = (5_000, 50_000)


class CountingStream(trio.abc.Stream):
    """A stream that counts the frames that cross it. The peer is whoever said hello on it."""

    def __init__(self, inner: trio.SocketStream, tally: Tally) -> None:
        self.inner, self.tally = inner, tally
        self.peer = ""
        self.incoming, self.outgoing = FrameReader(FRAME_LIMIT), FrameReader(FRAME_LIMIT)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self.inner.receive_some(max_bytes)
        for body in self.incoming.feed(bytes(data)):
            self.peer = self.peer or name_in(body)
            self.tally.received(self.peer, kind_of(body), body)
        return data

    async def send_all(self, data: bytes) -> None:
        for body in self.outgoing.feed(bytes(data)):
            self.tally.sent(self.peer, kind_of(body), body)
        await self.inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self.inner.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self.inner.aclose()


def name_in(body: bytes) -> str:
    """The name in a hello."""
    return msgspec.msgpack.decode(body).get("name", "")


class CountingNet(TcpNet):
    """TCP whose listeners hand out streams that count."""

    def __init__(self) -> None:
        super().__init__()
        self.tally = Tally()

    async def listen(self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = 64) -> str:
        async def counted(stream: trio.SocketStream) -> None:
            await handler(CountingStream(stream, self.tally))

        return await super().listen(address, counted, nursery, at_once)


class Answered(Struct):
    """The first line of this process: where the service listens."""

    address: str


async def serve(settings: Settings) -> None:
    net = CountingNet()
    service = ListService(1, net.now(), settings.notice, settings.period, settings.answer)
    host = ListHost(net, service, Recorder(None, "list", "list"))
    async with trio.open_nursery() as nursery:
        address = await host.run("127.0.0.1:0", nursery)
        say(Answered(address))
        with trio.move_on_after(settings.most_seconds):
            await obey(net, service)
        nursery.cancel_scope.cancel()


async def obey(net: CountingNet, service: ListService) -> None:
    """Answers commands until one stops it or their pipe ends."""
    decoder = msgspec.json.Decoder(Command)
    held = b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as source:
        while data := await source.receive_some(1 << 16):
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                command = decoder.decode(line)
                say(Counts(flows=net.tally.peers, entries=len(service.entries)))
                if isinstance(command, Stop):
                    return


def say(said: Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(said) + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    trio.run(serve, msgspec.json.decode(sys.argv[1], type=Settings))


if __name__ == "__main__":
    main()
