"""A connection that carries the configuration's messages, and the greetings that begin it."""

import math
from collections.abc import Callable

import trio

from hazelhold.fleetconfig import codec
from hazelhold.fleetconfig.codec import MAX_MESSAGE, MessageError
from hazelhold.fleetconfig.messages import VERSION, ConfigMessage, Greeting, GreetingAnswer
from hazelhold.protocol.frames import FrameError, frame
from hazelhold.service.connection import MessageConnection

GREETING = 2.0  # seconds for a greeting or its answer
SEND_BYTES = 4 << 20  # what may wait for a peer that reads slowly; past it the connection is cut
UNACKNOWLEDGED = 10_000  # milliseconds after which the kernel ends a connection that acknowledges nothing
TCP_USER_TIMEOUT = 18  # of Linux; not in trio.socket


class _Codec:
    """The messages' codec as a wire wants it."""

    @staticmethod
    def decode(body: bytes) -> ConfigMessage:
        try:
            return codec.decode(body)
        except MessageError as wrong:
            raise FrameError(wrong.code, wrong.text) from None


class Connection(MessageConnection):
    """One side of a connection. `name` is the other side's, once greetings were exchanged."""

    def __init__(self, stream: trio.abc.Stream, now: Callable[[], int]) -> None:
        super().__init__(stream, _Codec(), now, frame_bytes=MAX_MESSAGE, send_bytes=SEND_BYTES)
        self.name = ""
        self.idle = math.inf  # seconds without a word after which it is ended
        self.on_written: Callable[[], None] | None = None  # all that was told has left this process
        if isinstance(stream, trio.SocketStream):
            stream.setsockopt(trio.socket.IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED)
            stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)

    def tell(self, message: ConfigMessage) -> bool:
        """Queues a message; False if the connection is ending, or just ended because its queue is full."""
        return self.put(encoded(message))

    def left(self, data: bytes) -> None:
        if not self.waits() and self.on_written is not None:
            self.on_written()

    async def greet(self, greeting: Greeting, expected: str) -> None:
        """Greets the side that was dialed. FrameError if it does not take that, or is another."""
        self.tell(greeting)
        answer = await self.first(GreetingAnswer, GREETING)
        if answer.code:
            raise FrameError("refused_" + answer.code, answer.text)
        if expected and answer.name != expected:
            raise FrameError("wrong_name", f"{answer.name!r} answered in the place of {expected!r}")
        self.name = answer.name

    async def greeted(self, name: str, deployment: str) -> Greeting:
        """Waits for the greeting of who dialed and answers it. FrameError if it cannot be taken; who dialed
        is told why."""
        greeting = await self.first(Greeting, GREETING)
        wrong = _fault(greeting, deployment)
        if wrong is not None:
            self.tell(GreetingAnswer(name=name, code=wrong.code, text=wrong.text))
            raise wrong
        self.name = greeting.name
        self.tell(GreetingAnswer(name=name))
        return greeting


def _fault(greeting: Greeting, deployment: str) -> FrameError | None:
    if greeting.version != VERSION:
        return FrameError("version", f"version {greeting.version}; spoken here: {VERSION}")
    if greeting.deployment != deployment:
        return FrameError("deployment", f"this is {deployment!r}, not {greeting.deployment!r}")
    if not 0 < len(greeting.name) <= 100:
        return FrameError("name", f"a name of {len(greeting.name)} characters")
    return None


_last: tuple[ConfigMessage | None, bytes] = None, b""


def encoded(message: ConfigMessage) -> bytes:
    """The message as a frame. The same object goes to many followers in turn: the last is kept."""
    global _last  # noqa: PLW0603 - a cache of one
    if message is not _last[0]:
        _last = message, frame(codec.encode(message))
    return _last[1]
