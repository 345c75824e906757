"""Proxies between planners' processes that lose, delay, duplicate or block datagrams and connections.

Each direction of each pair of planners has faults of its own. `Direction` decides, from a seed and without
I/O; `FaultProxies` listens at an address for each pair and forwards. It neither reads nor changes what it
forwards. The setting `reach` directs a planner to the proxies.

A blocked direction carries nothing. Its datagrams are lost, and the bytes of a connection wait, neither
delivered nor refused, as behind a router that went silent; they are delivered once the direction is open
again, as lost segments are sent again.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import trio

from hazelhold.service.net import DatagramPort, Net

CHUNK = 65_536


class LinkFaults(NamedTuple):
    """The faults of a direction. Delays in milliseconds, `rate` in bytes a second (0: unlimited)."""

    loss: float = 0.0
    double: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)  # uniformly distributed; a wide range reorders datagrams
    cut: bool = False
    rate: float = 0.0


class Direction:
    """One direction between two planners; draws its faults from the seed."""

    def __init__(self, seed: object) -> None:
        self.random = Random(f"wire/{seed}")
        self.faults = LinkFaults()
        self.carried = self.lost = 0
        self.free = 0.0  # when the rate admits the next bytes, in seconds
        self.changed = trio.Event()

    def set(self, faults: LinkFaults) -> None:
        self.faults = faults
        self.changed.set()
        self.changed = trio.Event()

    def fate(self, size: int, now: float) -> list[float]:
        """Draws the delay in seconds of each copy of a datagram; empty if it is lost."""
        faults = self.faults
        if faults.cut or self.random.random() < faults.loss:
            self.lost += 1
            return []
        self.carried += 1
        copies = 2 if self.random.random() < faults.double else 1
        return [self._slow(size, now) + self.random.uniform(*faults.delay) / 1000 for _ in range(copies)]

    def _slow(self, size: int, now: float) -> float:
        """By how many seconds the rate delays so many bytes."""
        if not self.faults.rate:
            return 0.0
        self.free = max(self.free, now) + size / self.faults.rate
        return self.free - now


class FaultProxies:
    """The proxies between the planners of a rehearsal, on any network. Their tasks run in `nursery`."""

    def __init__(self, net: Net, nursery: trio.Nursery, seed: int, host: str = "127.0.0.1") -> None:
        self.net, self.nursery, self.seed, self.host = net, nursery, seed, host
        self.directions: dict[tuple[str, str], Direction] = {}

    def way(self, a: str, b: str) -> Direction:
        if (a, b) not in self.directions:
            self.directions[a, b] = Direction(f"{self.seed}/{a}/{b}")
        return self.directions[a, b]

    # Faults.

    def degrade(
        self, ones: Iterable[str], others: Iterable[str], way: str = "both", **faults: object
    ) -> None:
        """Adds faults to the directions from `ones` to `others` (`out`), back (`in`) or `both`; other faults
        stay."""
        for a, b in self.between(ones, others, way):
            self.way(a, b).set(self.way(a, b).faults._replace(**faults))

    def cut(self, ones: Iterable[str], others: Iterable[str], way: str = "both") -> None:
        self.degrade(ones, others, way, cut=True)

    def heal(self, ones: Iterable[str], others: Iterable[str], way: str = "both") -> None:
        self.degrade(ones, others, way, cut=False)

    def clear_faults(self) -> None:
        """Removes all faults."""
        for direction in self.directions.values():
            direction.set(LinkFaults())

    @staticmethod
    def between(ones: Iterable[str], others: Iterable[str], way: str) -> list[tuple[str, str]]:
        pairs = []
        for a in ones:
            for b in others:
                if a != b:
                    pairs += [(a, b)] if way != "in" else []
                    pairs += [(b, a)] if way != "out" else []
        return pairs

    # Datagrams.

    async def datagrams(self, a: str, b: str, target: str, at: str = "") -> str:
        """Returns an address at which `a` reaches the datagram port of `b`, which is at `target`."""
        inner = await self.net.port(at or f"{self.host}:0")
        self.nursery.start_soon(self._carry, inner, self.way(a, b), target)
        return inner.address

    async def _carry(self, port: DatagramPort, direction: Direction, target: str) -> None:
        to = target
        if port.numeric:
            host, _, number = target.rpartition(":")
            to = (host, int(number))
        try:
            while True:
                await port.readable()
                for body, _ in port.pending():
                    for delay_s in direction.fate(len(body), trio.current_time()):
                        if delay_s <= 0:
                            port.send(body, to)
                        else:
                            self.nursery.start_soon(self._later, port, body, to, delay_s)
        finally:
            port.close()

    async def _later(self, port: DatagramPort, body: bytes, to: object, delay_s: float) -> None:
        await trio.sleep(delay_s)
        port.send(body, to)

    # Connections.

    async def streams(self, a: str, b: str, target: str, at: str = "") -> str:
        """Returns an address at which `a` reaches the server of `b`, which is at `target`."""

        async def accept(stream: trio.abc.Stream) -> None:
            async with stream:
                while self.way(a, b).faults.cut:  # looks open, but does not respond
                    await self.way(a, b).changed.wait()
                try:
                    far = await self.net.dial(target)
                except OSError:
                    return
                async with far, trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, stream, far, self.way(a, b), nursery.cancel_scope)
                    nursery.start_soon(self._pump, far, stream, self.way(b, a), nursery.cancel_scope)

        return await self.net.listen(at or f"{self.host}:0", accept, self.nursery)

    async def _pump(
        self, source: trio.abc.Stream, sink: trio.abc.Stream, direction: Direction, both: trio.CancelScope
    ) -> None:
        try:
            while True:
                data = await source.receive_some(CHUNK)
                delay_s = direction._slow(len(data), trio.current_time()) + (
                    direction.random.uniform(*direction.faults.delay) / 1000
                )
                if delay_s > 0:
                    await trio.sleep(delay_s)
                while direction.faults.cut:
                    await direction.changed.wait()
                if not data:
                    break
                await sink.send_all(data)
            if isinstance(sink, trio.SocketStream):
                await sink.send_eof()
                await trio.sleep(1.0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        both.cancel()
