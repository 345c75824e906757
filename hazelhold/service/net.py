"""Where connections come from: real sockets, or memory for whole days in virtual time.

Both give trio streams and one clock in whole microseconds. Everything above is the same on either.
"""

import errno
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Protocol

import structlog
import trio

from hazelhold.config.load import split_address
from hazelhold.service.arrival_time import EmptySince

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class DatagramPort(Protocol):
    """Where datagrams come and go. What cannot be sent at once is dropped: datagrams may be lost anyway."""

    address: str
    numeric: bool  # addresses are (IP address, port); else words

    async def readable(self) -> None: ...

    def pending(self) -> Iterator[tuple[bytes, Any]]: ...

    def send(self, body: bytes, to: Any) -> bool: ...  # noqa: ANN401 - an address of this kind of network

    def close(self) -> None: ...


SHORTAGES = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN))
"""Errors of system calls for want of something that others may give back."""

RETRY = 0.05  # seconds after a shortage
ACCEPT_AGAIN = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05)
"""Seconds after a connection could not be accepted, by how often that failed in a row; then the last."""

LISTEN_TRIES = 20.0  # seconds for which a listening socket is tried to be had
BACKLOG = 2048  # connections that wait to be accepted
AT_ONCE = 256  # datagrams taken before others in the process have their turn
ACCEPTED = 64  # connections taken before others in the process have their turn
DATAGRAM = 2048  # bytes read of one: more than any planner sends


class UdpPort:
    """A UDP socket that never blocks."""

    numeric = True

    def __init__(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.bind((host, port))
        except OSError as wrong:
            self.socket.close()
            raise OSError(wrong.errno, wrong.strerror, f"{host}:{port}") from None
        at = self.socket.getsockname()
        self.address = f"{at[0]}:{at[1]}"

    async def readable(self) -> None:
        await trio.lowlevel.wait_readable(self.socket)

    def pending(self) -> Iterator[tuple[bytes, Any]]:
        for _ in range(AT_ONCE):
            try:
                yield self.socket.recvfrom(DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram came to nobody: not this one's matter

    def send(self, body: bytes, to: Any) -> bool:  # noqa: ANN401
        try:
            self.socket.sendto(body, to)
        except OSError:
            return False
        return True

    def close(self) -> None:
        self.socket.close()


class MemoryPort:
    """Datagrams in memory, at once and in order; `carry` may be replaced by whoever loses or delays them."""

    numeric = False

    def __init__(self, net: "MemoryNet", address: str) -> None:
        self.net, self.address = net, address
        self.inbox: deque[tuple[bytes, str]] = deque(maxlen=4096)
        self.data_arrived = trio.Event()

    async def readable(self) -> None:
        await trio.lowlevel.checkpoint()
        while not self.inbox:
            self.data_arrived = trio.Event()
            await self.data_arrived.wait()

    def pending(self) -> Iterator[tuple[bytes, str]]:
        while self.inbox:
            yield self.inbox.popleft()

    def send(self, body: bytes, to: str) -> bool:
        self.net.carry(body, self.address, to)
        return True

    def take(self, body: bytes, source: str) -> None:
        self.inbox.append((body, source))
        self.data_arrived.set()

    def close(self) -> None:
        if self.net.ports.get(self.address) is self:
            del self.net.ports[self.address]


class Net(Protocol):
    """What the service and the stand-ins need of a network."""

    def now(self) -> int: ...

    def wall(self) -> int: ...

    def wall_stepped(self) -> float: ...

    async def dial(self, address: str) -> trio.abc.Stream: ...

    async def listen(
        self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = 1
    ) -> str: ...

    async def port(self, address: str) -> DatagramPort: ...


ACCEPT_DELAY = "hazelhold_accept_delay"
"""Attribute of a stream: seconds for which it may have waited to be accepted."""


def accept_delay(stream: trio.abc.Stream) -> float:
    """Seconds for which a connection may have waited: accepting failed, or the process did not run."""
    return getattr(stream, ACCEPT_DELAY, 0.0)


async def serve(listener: socket.socket, handler: Handler, at_once: int) -> None:
    """Accepts so many in each turn of the loop: one a turn, as `trio.serve_listeners` does, leaves a peer
    behind hundreds of silent ones for as many turns. Without descriptors it waits a little."""
    listener.setblocking(False)
    queue, queue_empty = EmptySince(), True
    failures = 0  # in a row

    async def run(stream: trio.SocketStream, delay: float) -> None:
        setattr(stream, ACCEPT_DELAY, delay)
        try:
            await handler(stream)
        finally:
            await trio.aclose_forcefully(stream)

    with listener:
        async with trio.open_nursery() as nursery:
            while True:
                queue.begin()
                await trio.lowlevel.wait_readable(listener)
                if queue_empty:  # else some have waited since the last time already
                    queue.data_arrived()
                queue_empty = False
                try:
                    for _ in range(at_once):
                        peer = listener.accept()[0]
                        stream = trio.SocketStream(trio.socket.from_stdlib_socket(peer))
                        failures = 0
                        nursery.start_soon(run, stream, queue.waited())
                except BlockingIOError:
                    queue_empty = True
                    queue.emptied()
                except ConnectionAbortedError:
                    pass
                except OSError as wrong:
                    if not failures:
                        structlog.get_logger().warning("accept_put_off", reason=str(wrong))
                    await trio.sleep(ACCEPT_AGAIN[min(failures, len(ACCEPT_AGAIN) - 1)])
                    failures += 1


async def _listener(address: tuple[str, int], family: int) -> socket.socket:
    """A listening socket. Shortages of the system pass, so it is tried again for some seconds; OSError if it
    cannot be had, at once if the address is wrong or taken."""
    tried_until = trio.current_time() + LISTEN_TRIES
    while True:
        try:
            return socket.create_server(address, family=family, backlog=BACKLOG)
        except OSError as wrong:
            if wrong.errno not in SHORTAGES or trio.current_time() >= tried_until:
                raise
            structlog.get_logger().warning("listen_put_off", reason=str(wrong))
            await trio.sleep(RETRY)


class TcpNet:
    """TCP, and UDP between planners. The clock is the host's monotonic one, so that all processes of a
    rehearsal share it."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def __init__(self) -> None:
        self.wall_offset = time.time_ns() - time.monotonic_ns()

    def wall(self) -> int:
        """Unix time in microseconds, for what outlives the process. It is the wall clock as it stood when the
        process began, carried on by the monotonic clock: a step of it since then changes nothing."""
        return (time.monotonic_ns() + self.wall_offset) // 1000

    def wall_stepped(self) -> float:
        """Seconds by which the wall clock was stepped since the process began; positive if forward."""
        return (time.time_ns() - time.monotonic_ns() - self.wall_offset) / 1e9

    async def dial(self, address: str) -> trio.abc.Stream:
        host, port = split_address(address)
        stream = await trio.open_tcp_stream(host, port)
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        return stream

    async def listen(
        self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = ACCEPTED
    ) -> str:
        """Serves connections in the nursery, which ends with it; returns the address with the port in use."""
        await trio.lowlevel.checkpoint()
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = await _listener((host, port), family)
        bound = listener.getsockname()
        nursery.start_soon(serve, listener, handler, at_once)
        return f"{bound[0]}:{bound[1]}"

    async def port(self, address: str) -> DatagramPort:
        await trio.lowlevel.checkpoint()
        return UdpPort(*split_address(address))


class MemoryNet:
    """Streams in memory under trio's clock, real or virtual. Addresses are any words."""

    def __init__(self) -> None:
        self.ports: dict[str, MemoryPort] = {}
        self.listeners: dict[str, tuple[Handler, trio.Nursery]] = {}
        self.numbers = 0

    def now(self) -> int:
        return round(trio.current_time() * 1e6)

    def wall(self) -> int:
        return self.now()

    def wall_stepped(self) -> float:
        return 0.0

    async def dial(self, address: str) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        if address not in self.listeners:
            raise OSError(f"nobody listens at {address}")
        from trio.testing import memory_stream_pair  # not above: it brings megabytes that sockets do without

        handler, nursery = self.listeners[address]
        mine, theirs = memory_stream_pair()
        nursery.start_soon(handler, theirs)
        return mine

    async def listen(
        self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = ACCEPTED
    ) -> str:
        if address.endswith(":0"):
            self.numbers += 1
            address = f"{address[:-2]}:{self.numbers}"
        self.listeners[address] = handler, nursery
        nursery.start_soon(self._leave, address, handler)
        return address

    async def port(self, address: str) -> DatagramPort:
        await trio.lowlevel.checkpoint()
        if address.endswith(":0"):
            self.numbers += 1
            address = f"{address[:-2]}:{self.numbers}"
        made = self.ports[address] = MemoryPort(self, address)
        return made

    def carry(self, body: bytes, source: str, to: str) -> None:
        if port := self.ports.get(to):
            port.take(body, source)

    async def _leave(self, address: str, handler: Handler) -> None:
        try:
            await trio.sleep_forever()
        finally:
            if self.listeners.get(address, (None,))[0] is handler:
                del self.listeners[address]
