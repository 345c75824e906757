"""Wires between planners' processes: datagrams and connections that are lost, late, doubled, cut or half
open.

Each direction of each pair is a wire of its own. `Direction` decides, from a seed and without I/O; `Wires`
stands at an address for each pair and carries. What it carries it neither reads nor changes. A planner is
told, by `reach`, to go through them.

A direction that is cut carries nothing: its datagrams are gone, and what a connection sent waits, unheard
and unrefused, as where a router went silent; it goes on once the cut heals, as lost segments are sent
again.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import trio

from hazelhold.service.net import Net, Port

CHUNK = 65_536


class LinkFaults(NamedTuple):
    """What a direction does to what it carries. Delays in milliseconds, `rate` in bytes a second (0: any)."""

    loss: float = 0.0
    double: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)  # evenly between; a wide spread reorders datagrams
    cut: bool = False
    rate: float = 0.0


class Direction:
    """One way between two planners. `fate` says what becomes of a datagram."""

    def __init__(self, seed: object) -> None:
        self.random = Random(f"wire/{seed}")
        self.faults = LinkFaults()
        self.carried = self.lost = 0
        self.free = 0.0  # when the rate lets the next bytes through, in seconds
        self.changed = trio.Event()

    def set(self, ills: LinkFaults) -> None:
        self.faults = ills
        self.changed.set()
        self.changed = trio.Event()

    def fate(self, size: int, now: float) -> list[float]:
        """After how many seconds each copy arrives; empty if none does."""
        ills = self.faults
        if ills.cut or self.random.random() < ills.loss:
            self.lost += 1
            return []
        self.carried += 1
        copies = 2 if self.random.random() < ills.double else 1
        return [self._slow(size, now) + self.random.uniform(*ills.delay) / 1000 for _ in range(copies)]

    def _slow(self, size: int, now: float) -> float:
        """How long the rate holds so many bytes back."""
        if not self.faults.rate:
            return 0.0
        self.free = max(self.free, now) + size / self.faults.rate
        return self.free - now


class FaultProxies:
    """All wires between the planners of a rehearsal, on any network. Lives in the nursery given."""

    def __init__(self, net: Net, nursery: trio.Nursery, seed: int, host: str = "127.0.0.1") -> None:
        self.net, self.nursery, self.seed, self.host = net, nursery, seed, host
        self.directions: dict[tuple[str, str], Direction] = {}

    def way(self, a: str, b: str) -> Direction:
        if (a, b) not in self.directions:
            self.directions[a, b] = Direction(f"{self.seed}/{a}/{b}")
        return self.directions[a, b]

    # What goes wrong.

    def degrade(self, ones: Iterable[str], others: Iterable[str], way: str = "both", **ills: object) -> None:
        """Gives the directions from these to those (`out`), back (`in`) or `both` these ills, beside what
        they had."""
        for a, b in self.between(ones, others, way):
            self.way(a, b).set(self.way(a, b).faults._replace(**ills))

    def cut(self, ones: Iterable[str], others: Iterable[str], way: str = "both") -> None:
        self.degrade(ones, others, way, cut=True)

    def heal(self, ones: Iterable[str], others: Iterable[str], way: str = "both") -> None:
        self.degrade(ones, others, way, cut=False)

    def clear_faults(self) -> None:
        """Takes away all ills."""
        for direction in self.directions.values():
            direction.set(LinkFaults())

    @staticmethod
    def between(ones: Iterable[str], others: Iterable[str], way: str) -> list[tuple[str, str]]:
        found = []
        for a in ones:
            for b in others:
                if a != b:
                    found += [(a, b)] if way != "in" else []
                    found += [(b, a)] if way != "out" else []
        return found

    # Datagrams.

    async def datagrams(self, a: str, b: str, target: str, at: str = "") -> str:
        """An address at which `a` reaches the port of `b`, which is at `target`."""
        inner = await self.net.port(at or f"{self.host}:0")
        self.nursery.start_soon(self._carry, inner, self.way(a, b), target)
        return inner.address

    async def _carry(self, port: Port, direction: Direction, target: str) -> None:
        to = target
        if port.numeric:
            host, _, number = target.rpartition(":")
            to = (host, int(number))
        try:
            while True:
                await port.readable()
                for body, _ in port.pending():
                    for late in direction.fate(len(body), trio.current_time()):
                        if late <= 0:
                            port.send(body, to)
                        else:
                            self.nursery.start_soon(self._later, port, body, to, late)
        finally:
            port.close()

    async def _later(self, port: Port, body: bytes, to: object, late: float) -> None:
        await trio.sleep(late)
        port.send(body, to)

    # Connections.

    async def streams(self, a: str, b: str, target: str, at: str = "") -> str:
        """An address at which `a` dials the door of `b`, which is at `target`."""

        async def door(stream: trio.abc.Stream) -> None:
            async with stream:
                while self.way(a, b).faults.cut:  # it looks open, and says nothing
                    await self.way(a, b).changed.wait()
                try:
                    far = await self.net.dial(target)
                except OSError:
                    return
                async with far, trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, stream, far, self.way(a, b), nursery.cancel_scope)
                    nursery.start_soon(self._pump, far, stream, self.way(b, a), nursery.cancel_scope)

        return await self.net.listen(at or f"{self.host}:0", door, self.nursery)

    async def _pump(
        self, source: trio.abc.Stream, sink: trio.abc.Stream, direction: Direction, both: trio.CancelScope
    ) -> None:
        try:
            while True:
                data = await source.receive_some(CHUNK)
                late = direction._slow(len(data), trio.current_time()) + (
                    direction.random.uniform(*direction.faults.delay) / 1000
                )
                if late > 0:
                    await trio.sleep(late)
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
