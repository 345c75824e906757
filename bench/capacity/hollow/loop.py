"""A single-threaded event loop for thousands of framed connections, with timers and a command pipe.

trio spends two tasks on a connection, which would make the hollow side dearer than the planners that it
stands beside. Here a connection is one object with two buffers.
"""

import os
import selectors
import socket
import time
from collections.abc import Callable
from heapq import heappop, heappush
from types import UnionType
from typing import Any, BinaryIO

import msgspec
from msgspec import Struct

from bench.capacity.hollow.tally import Tally
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError, FrameReader, frame

READ = 1 << 16  # bytes
FRAME_LIMIT = 1 << 26  # bytes; this side refuses no list for its size
FAULTS = 100
BACKLOG = 64  # connections that wait to be accepted at one listener


def now_us() -> int:
    """Microseconds of the monotonic clock, which all processes of a machine share."""
    return time.monotonic_ns() // 1000


class Connection:
    """One stream that carries frames. `peer` is the name that the far side gave in its first message."""

    def __init__(
        self, loop: "Loop", stream: socket.socket, codec: m.Codec, hear: Callable[..., None]
    ) -> None:
        self.loop, self.stream, self.codec, self.hear = loop, stream, codec, hear
        self.reader = FrameReader(FRAME_LIMIT)
        self.unsent = bytearray()
        self.peer = ""
        self.open = True
        self.on_close: Callable[[], None] = lambda: None
        stream.setblocking(False)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.selector.register(stream, selectors.EVENT_READ, self)

    def send(self, message: m.Message) -> None:
        """Writes at once what the socket takes; the rest goes when it takes more."""
        if not self.open:
            return
        body = m.ENCODER.encode(message)
        self.loop.tally.sent(self.peer, message.__struct_config__.tag, body)
        waited = bool(self.unsent)
        self.unsent += frame(body)
        if not waited:
            self.write()

    def ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self.write()
        if self.open and events & selectors.EVENT_READ:
            self.read()

    def read(self) -> None:
        try:
            data = self.stream.recv(READ)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        try:
            for body in self.reader.feed(data):
                self.receive(body)
                if not self.open:
                    return
        except FrameError as wrong:
            self.loop.fault(f"{self.peer}: {wrong}")
            self.close()

    def receive(self, body: bytes) -> None:
        message = self.codec.decode(body)
        if not self.peer and isinstance(message, m.Hello | m.Welcome):
            self.peer = message.name
        self.loop.tally.received(self.peer, message.__struct_config__.tag, body)
        self.hear(self, message)

    def write(self) -> None:
        try:
            sent = self.stream.send(self.unsent) if self.unsent else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        del self.unsent[:sent]
        wanted = selectors.EVENT_READ | (selectors.EVENT_WRITE if self.unsent else 0)
        if self.loop.selector.get_key(self.stream).events != wanted:
            self.loop.selector.modify(self.stream, wanted, self)

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.selector.unregister(self.stream)
        self.stream.close()
        self.on_close()


class Listener:
    """A listening socket at one address; `accepted` gets each new stream."""

    def __init__(self, loop: "Loop", host: str, port: int, accepted: Callable[[socket.socket], None]) -> None:
        self.loop, self.accepted = loop, accepted
        self.socket = socket.create_server((host, port), backlog=BACKLOG)
        self.socket.setblocking(False)
        self.address = f"{host}:{self.socket.getsockname()[1]}"
        loop.selector.register(self.socket, selectors.EVENT_READ, self)

    def ready(self, events: int) -> None:
        for _ in range(BACKLOG):
            try:
                stream = self.socket.accept()[0]
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as wrong:  # no descriptors: told, and the connection waits
                self.loop.fault(f"accept: {wrong}")
                return
            self.accepted(stream)

    def close(self) -> None:
        self.loop.selector.unregister(self.socket)
        self.socket.close()


class Loop:
    """Runs until `stop` is called, its command pipe ends, or `most_seconds` are over."""

    def __init__(self, most_seconds: float) -> None:
        self.selector = selectors.DefaultSelector()
        self.tally = Tally()
        self.faults: list[str] = []  # what went wrong
        self.ends_at = now_us() + round(most_seconds * 1e6)
        self.timers: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.turn = 0
        self.running = True

    def fault(self, text: str) -> None:
        """Notes what went wrong; the first FAULTS are kept."""
        if len(self.faults) < FAULTS:
            self.faults.append(text)

    def later(self, at: int, call: Callable[..., None], *given: Any) -> None:  # noqa: ANN401
        """Calls at a moment on the monotonic clock, in microseconds."""
        self.turn += 1
        heappush(self.timers, (at, self.turn, call, given))

    def stop(self) -> None:
        self.running = False

    def run(self) -> None:
        while self.running and (now := now_us()) < self.ends_at:
            while self.timers and self.timers[0][0] <= now:
                _, _, call, given = heappop(self.timers)
                call(*given)
            due = self.timers[0][0] if self.timers else self.ends_at
            wait = max(0.0, min(due - now_us(), 1_000_000) / 1e6)
            for key, events in self.selector.select(wait):
                if key.fileobj.fileno() >= 0:  # not closed by an earlier event of this turn
                    key.data.ready(events)


class Commands:
    """Commands as JSON lines on a descriptor; each is answered by one line on another. The end of the pipe,
    which is the end of whoever drives this process, ends the loop."""

    def __init__(
        self,
        loop: Loop,
        source: BinaryIO,
        sink: BinaryIO,
        kind: type | UnionType,
        obey: Callable[[Any], Struct],
    ) -> None:
        self.loop, self.source, self.sink, self.obey = loop, source, sink, obey
        self.decoder = msgspec.json.Decoder(kind)
        self.held = b""
        loop.selector.register(source, selectors.EVENT_READ, self)

    def ready(self, events: int) -> None:
        data = os.read(self.source.fileno(), READ)
        if not data:
            self.loop.stop()
            return
        *lines, self.held = (self.held + data).split(b"\n")
        for line in lines:
            self.answer(self.obey(self.decoder.decode(line)))

    def answer(self, said: Struct) -> None:
        self.sink.write(msgspec.json.encode(said) + b"\n")
        self.sink.flush()
