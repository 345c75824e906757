"""Streams on real sockets that count what crosses, by second, and that carry nothing while they are cut."""

import time
from collections.abc import Mapping

import msgspec
import trio

from bench.capacity.configuration.messages import Crossed
from hazelhold.protocol.frames import FrameReader
from hazelhold.rehearse.fault_proxy import CHUNK, Direction, FaultProxies
from hazelhold.service.net import Handler, Net, TcpNet

FRAME_LIMIT = 8 << 20  # bytes


class Counts:
    """What crossed, by second, sender and receiver. Emptied by `take`."""

    def __init__(self) -> None:
        self.ended: set[tuple[str, str]] = set()  # between whom a connection ended; emptied by `take_ended`
        self.found: dict[tuple[int, str, str, str], list[int]] = {}

    def add(self, sender: str, receiver: str, seen: str, messages: int, size: int) -> None:
        key = (time.monotonic_ns() // 1_000_000_000, sender, receiver, seen)
        counted = self.found.setdefault(key, [0, 0])
        counted[0] += messages
        counted[1] += size

    def take_ended(self) -> list[tuple[str, str]]:
        """Between whom a connection ended since the last asking."""
        ended, self.ended = self.ended, set()
        return list(ended)

    def take(self) -> list[Crossed]:
        """All since the last asking."""
        found, self.found = self.found, {}
        return [Crossed(*key, *counted) for key, counted in found.items()]


class Cuts:
    """Which directions between machines are cut."""

    def __init__(self) -> None:
        self.directions: set[tuple[str, str]] = set()
        self.changed = trio.Event()

    def set(self, directions: set[tuple[str, str]]) -> None:
        self.directions = directions
        self.changed.set()
        self.changed = trio.Event()

    async def wait(self, sender: str, receiver: str) -> None:
        """Until this direction carries."""
        while (sender, receiver) in self.directions:
            await self.changed.wait()


class CountedStream(trio.abc.Stream):
    """One machine's end of a connection. Whom it accepted is known by the first message, a greeting."""

    def __init__(self, inner: trio.abc.Stream, own: str, peer: str, counts: Counts, cuts: Cuts) -> None:
        self.inner, self.own, self.peer = inner, own, peer
        self.counts, self.cuts = counts, cuts
        self.incoming, self.outgoing = FrameReader(FRAME_LIMIT), FrameReader(FRAME_LIMIT)

    async def send_all(self, data: bytes) -> None:
        await self.cuts.wait(self.own, self.peer)
        await self.inner.send_all(data)
        self.counts.add(self.own, self.peer, "sender", len(self.outgoing.feed(data)), len(data))

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self.inner.receive_some(max_bytes)
        bodies = self.incoming.feed(data)
        if not self.peer and bodies:
            self.peer = str(msgspec.msgpack.decode(bodies[0]).get("name", ""))
        await self.cuts.wait(self.peer, self.own)
        if data:
            self.counts.add(self.peer, self.own, "receiver", len(bodies), len(data))
        return data

    async def wait_send_all_might_not_block(self) -> None:
        await self.inner.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        self.counts.ended.add((self.own, self.peer))
        await self.inner.aclose()


class CountingNet(TcpNet):
    """One machine's network. `names`: who is reached at which address."""

    def __init__(self, own: str, names: Mapping[str, str], counts: Counts, cuts: Cuts) -> None:
        super().__init__()
        self.own, self.names, self.counts, self.cuts = own, names, counts, cuts

    async def dial(self, address: str) -> trio.abc.Stream:
        inner = await super().dial(address)
        return CountedStream(inner, self.own, self.names[address], self.counts, self.cuts)

    async def listen(self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = 64) -> str:
        async def counted(inner: trio.abc.Stream) -> None:
            await handler(CountedStream(inner, self.own, "", self.counts, self.cuts))

        return await super().listen(address, counted, nursery, at_once)


class CountingWires(FaultProxies):
    """Wires between real processes, which count themselves nothing."""

    def __init__(self, net: Net, nursery: trio.Nursery, counts: Counts) -> None:
        super().__init__(net, nursery, 1)
        self.counts = counts

    async def _pump(
        self, source: trio.abc.Stream, sink: trio.abc.Stream, direction: Direction, both: trio.CancelScope
    ) -> None:
        sender, receiver = next(ends for ends, each in self.directions.items() if each is direction)
        reader = FrameReader(FRAME_LIMIT)
        try:
            while data := await source.receive_some(CHUNK):
                while direction.faults.cut:
                    await direction.changed.wait()
                self.counts.add(sender, receiver, "between", len(reader.feed(data)), len(data))
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        both.cancel()
