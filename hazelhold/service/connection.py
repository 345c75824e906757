"""A connection that carries frames: reads messages, writes from a bounded queue, records both."""

from collections.abc import AsyncIterator, Iterator

import trio

from hazelhold.capture.write import CapturedConnection
from hazelhold.protocol.frames import FrameError, FrameReader, frame
from hazelhold.protocol.messages import VERSION, Codec, Fault, Hello, Message, Welcome, encode
from hazelhold.protocol.record import Recorder

READ_BYTES = 1 << 16


class SendQueue:
    """The outgoing bytes of one connection. `put` never blocks: a peer that does not read fills its own queue
    and is disconnected when that is full, without effect on other connections."""

    def __init__(self, stream: trio.abc.Stream, send_bytes: int = 1 << 20) -> None:
        self.stream, self.send_bytes = stream, send_bytes
        self.queue = bytearray()
        self.more = trio.Event()
        self.closing = False
        self.reset = False  # the peer did not close the connection properly
        self.sending = False  # bytes were taken from the queue and not all are written
        self.sending_from = 0.0  # trio time at which that write began
        self.scope = trio.CancelScope()  # the reader; cancelled to end the connection
        self.writing = trio.CancelScope()  # the writer; its deadline limits a peer that does not read

    def put(self, data: bytes) -> bool:
        """Queues bytes; returns False if the connection is ending, or was just ended because its queue is
        full."""
        if self.closing:
            return False
        if len(self.queue) + len(data) > self.send_bytes:
            self.cut()
            return False
        self.queue += data
        self.more.set()
        return True

    def leaving(self) -> bytes:
        """Takes the bytes to write next out of the queue; empty if there are none."""
        data = bytes(self.queue)
        self.queue.clear()
        return data

    def waits(self) -> bool:
        return bool(self.queue)

    def unsent(self) -> bool:
        """Returns whether bytes are queued or being written."""
        return self.sending or self.waits()

    def left(self, data: bytes) -> None:
        """Called once all of these bytes are written."""

    async def read_out(self) -> None:
        """Called when writing has failed: a subclass may read what the peer sent before."""

    def cut(self) -> None:
        """Ends the connection immediately; queued bytes are lost."""
        self.closing = True
        self.scope.cancel()
        self.writing.cancel()

    def drop(self) -> None:
        """Closes the socket at once, without waiting for the writer."""
        if (socket := getattr(self.stream, "socket", None)) is not None:
            socket.close()

    def end(self) -> None:
        """Ends the connection once the queue is written, or after one second."""
        self.closing = True
        self.writing.deadline = min(self.writing.deadline, trio.current_time() + 1.0)
        self.more.set()

    async def write(self) -> None:
        """Writes the queue until the connection ends; then closes the stream."""
        try:
            with self.writing:
                while not self.closing or self.waits():
                    await self.more.wait()
                    self.more = trio.Event()
                    while data := self.leaving():
                        self.sending, self.sending_from = True, trio.current_time()
                        await self.stream.send_all(data)
                        self.sending = False
                        self.left(data)
                    if self.closing:
                        break
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError) as error:
            self.closing = True
            self.reset = self.reset or isinstance(error, trio.BrokenResourceError)
            await self.read_out()
        finally:
            self.closing = True
            self.scope.cancel()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.2):
                await self.stream.aclose()


class MessageConnection(SendQueue):
    """One side of a connection that carries messages in frames."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        codec: Codec,
        now: callable,
        recorder: Recorder | None = None,
        peer: str = "",
        frame_bytes: int = 1 << 20,
        send_bytes: int = 1 << 20,
    ) -> None:
        super().__init__(stream, send_bytes)
        self.codec, self.now = codec, now
        self.recorder, self.peer = recorder, peer
        self.reader = FrameReader(frame_bytes)
        self.captured_connection: CapturedConnection | None = (
            None  # this connection in the capture, if it is captured
        )
        self.body = b""  # body of the last message read
        self.raw = b""  # bytes of the last read

    def send(self, message: Message) -> bool:
        """Queues a message; returns False if the connection is ending, or was just ended because its queue is
        full."""
        body = encode(message)
        if not self.put(body):
            return False
        if self.captured_connection is not None:
            self.captured_connection.data(True, body, self.now())
        self.note("out", message)
        return True

    def finish(self, message: Message | None = None) -> None:
        """Ends the connection once the queue and a last message are written, or after one second."""
        if message is not None:
            self.send(message)
        self.end()

    def note(self, direction: str, message: Message | None) -> None:
        """Adds a line to the record: "in" or "out" with a message, "open" or "shut" without one."""
        if self.recorder is not None and self.peer:
            self.recorder.note(self.now(), self.peer, direction, message)

    async def messages(self) -> AsyncIterator[Message]:
        """Yields the peer's messages until either side ends. Raises FrameError if the peer violates the
        protocol."""
        while True:
            for body in await self.frames():
                self.body = body
                message = self.codec.decode(body)
                self.note("in", message)
                yield message
            if self.ended:
                return

    ended = greeted = False

    async def frames(self) -> list[bytes]:
        try:
            data = await self.stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if not data:
            self.ended = True
            self.reader.close()
            return []
        self.raw = data
        return self.reader.feed(data)

    async def first(self, kind: type[Message], seconds: float) -> Message:
        """Returns the peer's first message; raises FrameError if it is of another kind or does not arrive in
        time."""
        with trio.move_on_after(seconds):
            while not self.ended:
                bodies = await self.frames()
                if bodies:
                    self.body = bodies[0]
                    message = self.codec.decode(self.body)
                    self.read_ahead = bodies[1:]
                    if isinstance(message, Fault):
                        raise FrameError(message.code, message.text, message.again_after)
                    if not isinstance(message, kind):
                        raise FrameError("wrong_first", f"the first message was not a {kind.__name__}")
                    if isinstance(message, Hello | Welcome) and message.version != VERSION:
                        raise FrameError(
                            "version", f"version {message.version}; this side speaks version {VERSION}"
                        )
                    return message
            raise FrameError("ended", "the peer disconnected before its first message")
        raise FrameError("no_hello", f"no first message within {seconds:g} s")

    def rest(self) -> Iterator[Message]:
        """Yields the messages that were read together with the first one."""
        bodies, self.read_ahead = self.read_ahead, []
        for body in bodies:
            self.body = body
            message = self.codec.decode(body)
            self.note("in", message)
            yield message

    def captured(self) -> None:
        """Writes the last message read to the capture."""
        if self.captured_connection is not None:
            self.captured_connection.data(False, frame(self.body), self.now())

    read_ahead: list[bytes] = []
