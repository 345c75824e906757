"""Networks: real sockets, or streams in memory for simulations in virtual time.

Both provide trio streams, datagrams and a clock in whole microseconds, so that all other code runs on either.
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
    """Sends and receives datagrams. What cannot be sent at once is dropped: datagrams may be lost anyway."""

    address: str
    numeric: bool  # peers' addresses are (IP address, port) pairs rather than names

    async def readable(self) -> None: ...

    def pending(self) -> Iterator[tuple[bytes, Any]]: ...

    def send(self, body: bytes, to: Any) -> bool: ...  # noqa: ANN401 - an address of this kind of network

    def close(self) -> None: ...


SHORTAGES = frozenset((errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN))
"""Errors of system calls that lack a resource which may become free again."""

RETRY_S = 0.05  # seconds after a shortage
ACCEPT_AGAIN = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05)
"""Seconds to wait after a failed accept, by the number of failures in a row; the last value repeats."""

LISTEN_TIMEOUT_S = 20.0  # seconds for which opening a listening socket is retried
BACKLOG = 2048  # connections that may wait to be accepted
DATAGRAM_BATCH = 256  # datagrams received before other tasks of the process run
ACCEPT_BATCH = 64  # connections accepted before other tasks of the process run
DATAGRAM_BYTES = 2048  # maximum bytes read of a datagram: more than any planner sends


class UdpPort:
    """A UDP socket that never blocks."""

    numeric = True

    def __init__(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.bind((host, port))
        except OSError as error:
            self.socket.close()
            raise OSError(error.errno, error.strerror, f"{host}:{port}") from None
        bound = self.socket.getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def readable(self) -> None:
        await trio.lowlevel.wait_readable(self.socket)

    def pending(self) -> Iterator[tuple[bytes, Any]]:
        for _ in range(DATAGRAM_BATCH):
            try:
                yield self.socket.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # reports that an earlier datagram was undeliverable; this one is unaffected

    def send(self, body: bytes, to: Any) -> bool:  # noqa: ANN401
        try:
            self.socket.sendto(body, to)
        except OSError:
            return False
        return True

    def close(self) -> None:
        self.socket.close()


class MemoryPort:
    """Datagrams in memory, delivered at once and in order; tests replace `MemoryNet.carry` to lose or delay
    them."""

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
    """What the service and the stand-ins require of a network."""

    def now(self) -> int: ...

    def wall(self) -> int: ...

    def wall_stepped(self) -> float: ...

    async def dial(self, address: str) -> trio.abc.Stream: ...

    async def listen(
        self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = 1
    ) -> str: ...

    async def port(self, address: str) -> DatagramPort: ...


ACCEPT_DELAY = "hazelhold_accept_delay"
"""Attribute of a stream: maximum seconds for which it waited to be accepted and served."""


def accept_delay(stream: trio.abc.Stream) -> float:
    """Returns the maximum seconds for which a connection waited: accepts failed, or the process did not
    run."""
    return getattr(stream, ACCEPT_DELAY, 0.0)


async def serve(listener: socket.socket, handler: Handler, at_once: int) -> None:
    """Accepts up to `at_once` connections in each iteration of the event loop. With one per iteration, as
    `trio.serve_listeners` does it, a peer behind hundreds of silent ones waits for as many iterations.
    Without free descriptors it waits as `ACCEPT_AGAIN` says."""
    listener.setblocking(False)
    queue, queue_empty = EmptySince(), True
    failures = 0  # in a row

    async def run(stream: trio.SocketStream, arrived_after: float) -> None:
        setattr(stream, ACCEPT_DELAY, trio.current_time() - arrived_after)
        try:
            await handler(stream)
        finally:
            await trio.aclose_forcefully(stream)

    with listener:
        async with trio.open_nursery() as nursery:
            while True:
                queue.begin()
                await trio.lowlevel.wait_readable(listener)
                if queue_empty:  # otherwise some have been waiting since the last iteration
                    queue.data_arrived()
                queue_empty = False
                try:
                    for _ in range(at_once):
                        peer = listener.accept()[0]
                        stream = trio.SocketStream(trio.socket.from_stdlib_socket(peer))
                        failures = 0
                        nursery.start_soon(run, stream, queue.arrived_after)
                except BlockingIOError:
                    queue_empty = True
                    queue.emptied()
                except ConnectionAbortedError:
                    pass
                except OSError as error:
                    if not failures:
                        structlog.get_logger().warning("accept_put_off", reason=str(error))
                    await trio.sleep(ACCEPT_AGAIN[min(failures, len(ACCEPT_AGAIN) - 1)])
                    failures += 1


async def _listener(address: tuple[str, int], family: int) -> socket.socket:
    """Opens a listening socket. Shortages of system resources are retried for `LISTEN_TIMEOUT_S`; raises
    OSError after that, or at once if the address is wrong or in use."""
    deadline = trio.current_time() + LISTEN_TIMEOUT_S
    while True:
        try:
            return socket.create_server(address, family=family, backlog=BACKLOG)
        except OSError as error:
            if error.errno not in SHORTAGES or trio.current_time() >= deadline:
                raise
            structlog.get_logger().warning("listen_put_off", reason=str(error))
            await trio.sleep(RETRY_S)


class TcpNet:
    """TCP, and UDP between planners. The clock is the system's monotonic one, so that all processes of a
    rehearsal share it."""

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def __init__(self) -> None:
        self.wall_offset = time.time_ns() - time.monotonic_ns()

    def wall(self) -> int:
        """Returns Unix time in microseconds, for times that outlive the process. It is the wall clock as read
        when the process started, advanced by the monotonic clock, so later steps of the wall clock have no
        effect."""
        return (time.monotonic_ns() + self.wall_offset) // 1000

    def wall_stepped(self) -> float:
        """Returns the seconds by which the wall clock was stepped since the process started; positive if
        forward."""
        return (time.time_ns() - time.monotonic_ns() - self.wall_offset) / 1e9

    async def dial(self, address: str) -> trio.abc.Stream:
        host, port = split_address(address)
        stream = await trio.open_tcp_stream(host, port)
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        return stream

    async def listen(
        self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = ACCEPT_BATCH
    ) -> str:
        """Serves connections until the nursery is cancelled; returns the address with the port in use."""
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
    """Streams in memory under trio's clock, real or virtual. Addresses are arbitrary names."""

    def __init__(self) -> None:
        self.ports: dict[str, MemoryPort] = {}
        self.listeners: dict[str, tuple[Handler, trio.Nursery]] = {}
        self.last_port = 0

    def now(self) -> int:
        return round(trio.current_time() * 1e6)

    def wall(self) -> int:
        return self.now()

    def wall_stepped(self) -> float:
        return 0.0

    async def dial(self, address: str) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        if address not in self.listeners:
            raise OSError(f"nothing listens at {address}")
        from trio.testing import memory_stream_pair  # not at the top: it loads megabytes

        handler, nursery = self.listeners[address]
        near, far = memory_stream_pair()
        nursery.start_soon(handler, far)
        return near

    async def listen(
        self, address: str, handler: Handler, nursery: trio.Nursery, at_once: int = ACCEPT_BATCH
    ) -> str:
        if address.endswith(":0"):
            self.last_port += 1
            address = f"{address[:-2]}:{self.last_port}"
        self.listeners[address] = handler, nursery
        nursery.start_soon(self._remove_at_end, address, handler)
        return address

    async def port(self, address: str) -> DatagramPort:
        await trio.lowlevel.checkpoint()
        if address.endswith(":0"):
            self.last_port += 1
            address = f"{address[:-2]}:{self.last_port}"
        port = self.ports[address] = MemoryPort(self, address)
        return port

    def carry(self, body: bytes, source: str, to: str) -> None:
        if port := self.ports.get(to):
            port.take(body, source)

    async def _remove_at_end(self, address: str, handler: Handler) -> None:
        try:
            await trio.sleep_forever()
        finally:
            if self.listeners.get(address, (None,))[0] is handler:
                del self.listeners[address]
