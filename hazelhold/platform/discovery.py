"""Follows the bulletin: long polls over HTTP/1.1, one after another, for as long as the module wishes.

The module's wish to follow stands. It is told of each call that failed, and the next is made at once all the
same, since what the bulletin tells counts as told whether or not this planner hears it.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import h11
import msgspec
import structlog
import trio

from hazelhold.platform.configuration import Known
from hazelhold.service.net import Net

PATIENCE = 1.0  # seconds that a call asks the bulletin to wait for news; short, so that silence shows soon
GRACE = 0.6  # seconds past that after which a call is given up
MOST = 1 << 23  # bytes of an answer: news of some 40,000 machines at once
TRIES = 3  # calls that end at the same event before it is passed over: it was not spoilt on its way
PAUSES = (0.05, 0.1, 0.2, 0.4)  # seconds between calls that fail one after another

T = TypeVar("T")


class DiscoveryError(Exception):
    """A call that brought nothing that can be used, or an event of which only `part` can be read."""

    def __init__(self, text: str, part: object = None) -> None:
        super().__init__(text)
        self.part = part


class Answer(msgspec.Struct):
    no: int
    items: list[dict[str, Any]]


class Follower:
    """Keeps to one address; `read(item)` makes an event of one item or raises DiscoveryError, `hear(events)`
    gets new events in order, `fail()` hears of each failed call."""

    def __init__(
        self,
        net: Net,
        address: str,
        known: Known,
        read: Callable[[dict], T],
        hear: Callable[[list[T]], None],
        fail: Callable[[], None],
    ) -> None:
        self.net, self.address, self.read, self.hear, self.fail = net, address, read, hear, fail
        self.unread = (0, 0)  # the number of an event that could not be read, and how often
        self.last = known.no
        self.wished = trio.Event()
        self.scope = trio.CancelScope()
        self.failures = 0  # in a row
        self.stream: trio.abc.Stream | None = None
        self.wire: h11.Connection | None = None
        self.log = structlog.get_logger()

    def wish(self) -> None:
        self.wished.set()

    def move(self, address: str) -> None:
        """Asks a new address from now on, at once."""
        self.address = address
        self.failures = 0
        self.scope.cancel()

    async def run(self) -> None:
        await self.wished.wait()
        while True:
            with trio.CancelScope() as self.scope:
                await self._turn()
            if self.scope.cancelled_caught:
                await self._close()

    async def _turn(self) -> None:
        """One call, and a pause if it failed."""
        try:
            with trio.fail_after(PATIENCE + GRACE):
                body = await self._call()
            items = self._news(body)
        except (
            DiscoveryError,
            OSError,
            ValueError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
        ) as wrong:
            await self._close()
            if not self.failures:
                self.log.info("discovery_failed", address=self.address, reason=repr(wrong)[:200])
            self.fail()
            pause = PAUSES[min(self.failures, len(PAUSES) - 1)]
            self.failures += 1
            await trio.sleep(pause)
            return
        self.failures = 0
        self.hear(items)

    def _news(self, body: bytes) -> list[T]:
        """The events that are new, checked and in order."""
        try:
            answer = msgspec.json.decode(body, type=Answer)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as wrong:
            raise DiscoveryError(f"not an answer: {wrong}") from None
        return self.fresh(answer.items)

    def fresh(self, items: list[dict]) -> list[T]:
        """Those of the events that come after the last one, up to the first that is out of order or cannot be
        read; marks them as heard. DiscoveryError if there is such a one and none before it: what came whole
        is not kept waiting by what did not."""
        new: list[T] = []
        for item in items:
            no = item.get("no")
            try:
                if not isinstance(no, int):
                    raise DiscoveryError("an event without a number")
                if no <= self.last:
                    continue
                if no != self.last + 1:
                    raise DiscoveryError(f"event {no} follows {self.last}")
                made = self._made(no, item)
            except DiscoveryError as wrong:
                if wrong.part is not None:  # it comes again with the next call, and once more as a whole
                    new.append(wrong.part)
                if new:
                    break
                raise
            self.last = no
            new += made
        return new

    def _made(self, no: int, item: dict) -> list[T]:
        """The event as it is read; nothing for one that came so a few times, which is passed over."""
        try:
            return [self.read(item)]
        except DiscoveryError as wrong:
            times = self.unread[1] + 1 if self.unread[0] == no else 1
            self.unread = no, times
            if times < TRIES:
                raise
            self.log.warning("event_passed_over", no=no, reason=str(wrong)[:200])
            return [] if wrong.part is None else [wrong.part]

    async def _call(self) -> bytes:
        """The body of the answer to one call."""
        if self.stream is None:
            self.stream = await self.net.dial(self.address)
            self.wire = h11.Connection(h11.CLIENT)
        target = f"/bulletins?after={self.last}&patience={round(PATIENCE * 1000)}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        await self.stream.send_all(self.wire.send(request) + self.wire.send(h11.EndOfMessage()))
        body = bytearray()
        status = 0
        while True:
            event = self.wire.next_event()
            if event is h11.NEED_DATA:
                self.wire.receive_data(await self.stream.receive_some(1 << 16))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST:
                    raise DiscoveryError("a body without end")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise DiscoveryError("the connection was closed")
        if status != 200:
            raise DiscoveryError(f"status {status}")
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
        else:
            await self._close()
        return bytes(body)

    async def _close(self) -> None:
        stream, self.stream, self.wire = self.stream, None, None
        if stream is not None:
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.2):
                await trio.aclose_forcefully(stream)
