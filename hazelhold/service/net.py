"""Where connections come from: real sockets, or memory for whole days in virtual time.

Both give trio streams and one clock in whole microseconds. Everything above is the same on either.
"""

import time
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from hazelhold.config.load import split_address

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class Net(Protocol):
    """What the service and the stand-ins need of a network."""

    def now(self) -> int: ...

    def wall(self) -> int: ...

    async def dial(self, address: str) -> trio.abc.Stream: ...

    async def listen(self, address: str, handler: Handler, nursery: trio.Nursery) -> str: ...


class TcpNet:
    """TCP. The clock is the host's monotonic one, so that all processes of a rehearsal share it."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def wall(self) -> int:
        """Microseconds of the wall clock, for what outlives the process."""
        return time.time_ns() // 1000

    async def dial(self, address: str) -> trio.abc.Stream:
        host, port = split_address(address)
        stream = await trio.open_tcp_stream(host, port)
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        return stream

    async def listen(self, address: str, handler: Handler, nursery: trio.Nursery) -> str:
        """Serves connections in the nursery, which ends with it; returns the address with the port in use."""
        host, port = split_address(address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=2048)
        bound = listeners[0].socket.getsockname()
        nursery.start_soon(trio.serve_listeners, handler, listeners)
        return f"{bound[0]}:{bound[1]}"


class MemoryNet:
    """Streams in memory under trio's clock, real or virtual. Addresses are any words."""

    def __init__(self) -> None:
        self.doors: dict[str, tuple[Handler, trio.Nursery]] = {}
        self.numbers = 0

    def now(self) -> int:
        return round(trio.current_time() * 1e6)

    def wall(self) -> int:
        return self.now()

    async def dial(self, address: str) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        if address not in self.doors:
            raise OSError(f"nobody listens at {address}")
        from trio.testing import memory_stream_pair  # not above: it brings megabytes that sockets do without

        handler, nursery = self.doors[address]
        mine, theirs = memory_stream_pair()
        nursery.start_soon(handler, theirs)
        return mine

    async def listen(self, address: str, handler: Handler, nursery: trio.Nursery) -> str:
        if address.endswith(":0"):
            self.numbers += 1
            address = f"{address[:-2]}:{self.numbers}"
        self.doors[address] = handler, nursery
        nursery.start_soon(self._leave, address, handler)
        return address

    async def _leave(self, address: str, handler: Handler) -> None:
        try:
            await trio.sleep_forever()
        finally:
            if self.doors.get(address, (None,))[0] is handler:
                del self.doors[address]
