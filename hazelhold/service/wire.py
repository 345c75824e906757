"""A connection that carries frames: reads messages, writes from a bounded queue, notes what crossed."""

from collections.abc import AsyncIterator, Iterator

import trio

from hazelhold.capture.write import CapturedConnection
from hazelhold.protocol.frames import FrameError, FrameReader, frame
from hazelhold.protocol.messages import VERSION, Codec, Fault, Hello, Message, Welcome, encode
from hazelhold.protocol.record import Recorder

READ = 1 << 16


class SendQueue:
    """What leaves by one connection. Putting something in never waits: a peer that reads nothing fills its
    own queue, and is cut off when that is full, while everybody else goes on."""

    def __init__(self, stream: trio.abc.Stream, send_bytes: int = 1 << 20) -> None:
        self.stream, self.send_bytes = stream, send_bytes
        self.queue = bytearray()
        self.more = trio.Event()
        self.closing = False
        self.reset = False  # the peer's side did not close in order
        self.sending = False  # bytes were taken out and have not all left
        self.sending_from = 0.0  # since when
        self.scope = trio.CancelScope()  # the reading side; cancelled when the connection is to end
        self.writing = trio.CancelScope()  # the writing side; bounds a peer that reads nothing

    def put(self, data: bytes) -> bool:
        """Queues bytes; False if the connection is ending, or just ended because its queue is full."""
        if self.closing:
            return False
        if len(self.queue) + len(data) > self.send_bytes:
            self.cut()
            return False
        self.queue += data
        self.more.set()
        return True

    def leaving(self) -> bytes:
        """What is to be written next, taken out of the queue; empty if there is nothing."""
        data = bytes(self.queue)
        self.queue.clear()
        return data

    def waits(self) -> bool:
        return bool(self.queue)

    def unsent(self) -> bool:
        """Whether bytes wait or are on their way out."""
        return self.sending or self.waits()

    def left(self, data: bytes) -> None:
        """All of these bytes were written."""

    async def read_out(self) -> None:
        """Waits for what the peer still said, once nothing can be written to it any more."""

    def cut(self) -> None:
        """Ends the connection without ceremony."""
        self.closing = True
        self.scope.cancel()
        self.writing.cancel()

    def drop(self) -> None:
        """Closes at once what nothing waits for."""
        if (held := getattr(self.stream, "socket", None)) is not None:
            held.close()

    def end(self) -> None:
        """Ends the connection after what is queued has gone; a second at most."""
        self.closing = True
        self.writing.deadline = min(self.writing.deadline, trio.current_time() + 1.0)
        self.more.set()

    async def write(self) -> None:
        """Writes what is queued until the connection ends; then closes the stream."""
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
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError) as wrong:
            self.closing = True
            self.reset = self.reset or isinstance(wrong, trio.BrokenResourceError)
            await self.read_out()
        finally:
            self.closing = True
            self.scope.cancel()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.2):
                await self.stream.aclose()


class Wire(SendQueue):
    """One side of a connection that carries frames."""

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
        self.captured_connection: CapturedConnection | None = None  # this connection in the capture
        self.body = b""  # of the message that was read last
        self.raw = b""  # what was read last, whatever it is

    def send(self, message: Message) -> bool:
        """Queues a message; False if the wire is ending, or just ended because its queue is full."""
        body = encode(message)
        if not self.put(body):
            return False
        if self.captured_connection is not None:
            self.captured_connection.data(True, body, self.now())
        self.note("out", message)
        return True

    def finish(self, message: Message | None = None) -> None:
        """Ends the wire after what is queued, and a last message, have gone; a second at most."""
        if message is not None:
            self.send(message)
        self.end()

    def note(self, way: str, message: Message | None) -> None:
        if self.recorder is not None and self.peer:
            self.recorder.note(self.now(), self.peer, way, message)

    async def messages(self) -> AsyncIterator[Message]:
        """What the peer says, until either side ends. FrameError if the peer breaks the protocol."""
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
            data = await self.stream.receive_some(READ)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if not data:
            self.ended = True
            self.reader.close()
            return []
        self.raw = data
        return self.reader.feed(data)

    async def first(self, kind: type[Message], seconds: float) -> Message:
        """The peer's first message, of this kind and within this time, else FrameError."""
        with trio.move_on_after(seconds):
            while not self.ended:
                bodies = await self.frames()
                if bodies:
                    self.body = bodies[0]
                    message = self.codec.decode(self.body)
                    self.held_back = bodies[1:]
                    if isinstance(message, Fault):
                        raise FrameError(message.code, message.text, message.again_after)
                    if not isinstance(message, kind):
                        raise FrameError("wrong_first", f"the first message was no {kind.__name__}")
                    if isinstance(message, Hello | Welcome) and message.version != VERSION:
                        raise FrameError("version", f"version {message.version}; spoken here: {VERSION}")
                    return message
            raise FrameError("ended", "the peer left before its first message")
        raise FrameError("no_hello", f"no first message within {seconds:g} s")

    def rest(self) -> Iterator[Message]:
        """What came in one read with the first message."""
        bodies, self.held_back = self.held_back, []
        for body in bodies:
            self.body = body
            message = self.codec.decode(body)
            self.note("in", message)
            yield message

    def captured(self) -> None:
        """Puts the message that was read last into the capture."""
        if self.captured_connection is not None:
            self.captured_connection.data(False, frame(self.body), self.now())

    held_back: list[bytes] = []
