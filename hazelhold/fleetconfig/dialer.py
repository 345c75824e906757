"""Connections that a core asks for: dials, greets, hands on what comes, and tells of the end. The numbers of
connections are the core's."""

from collections import Counter
from collections.abc import Mapping
from typing import Protocol

import structlog
import trio

from hazelhold.fleetconfig.connection import GREETING, Connection
from hazelhold.fleetconfig.messages import ConfigMessage, Greeting, GreetingAnswer
from hazelhold.fleetconfig.spread_actions import Close, Dial, Send
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net


class DialEvents(Protocol):
    """What a host hears of its dialed connections."""

    def connected(self, connection: int) -> None: ...

    def heard(self, connection: int, message: ConfigMessage) -> None: ...

    def disconnected(self, connection: int, reason: str) -> None: ...


class _Dialed:
    """One connection, being dialed or open."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.scope = trio.CancelScope()
        self.open: Connection | None = None  # None: greetings were not exchanged yet


class Dialer:
    """All connections that one core dialed."""

    def __init__(
        self,
        net: Net,
        greeting: Greeting,
        reach: Mapping[str, str],
        nursery: trio.Nursery,
        events: DialEvents,
    ) -> None:
        """`reach`: by name or told address, where it is reached from here."""
        self.net, self.greeting, self.reach = net, greeting, reach
        self.nursery, self.events = nursery, events
        self.dialed: dict[int, _Dialed] = {}  # emptied as connections end
        self.counts: Counter[str] = Counter()
        self.log = structlog.get_logger().bind(planner=greeting.name)

    def dial(self, action: Dial) -> None:
        """Begins; `connected` or `disconnected` follows unless it is closed before."""
        address = self.reach.get(action.name) or self.reach.get(action.address) or action.address
        made = self.dialed[action.connection] = _Dialed(action.name)
        self.nursery.start_soon(self._run, action.connection, address, made)

    def send(self, action: Send) -> None:
        """What cannot be sent is dropped: the end of the connection is told."""
        made = self.dialed.get(action.connection)
        if made is not None and made.open is not None:
            made.open.tell(action.message)

    def close(self, action: Close) -> None:
        """Ends a connection; nothing more is told of it."""
        made = self.dialed.pop(action.connection, None)
        if made is not None:
            self.log.debug("source_closed", source=made.name, reason=action.reason)
            made.scope.cancel()

    def opened(self) -> dict[int, Connection]:
        """The connections on which greetings were exchanged."""
        return {number: made.open for number, made in self.dialed.items() if made.open is not None}

    async def _run(self, number: int, address: str, made: _Dialed) -> None:
        reason = "ended"
        with made.scope:
            try:
                with trio.fail_after(GREETING):
                    stream = await self.net.dial(address)
                reason = await self._carry(number, made, stream)
            except (OSError, ValueError, trio.TooSlowError) as wrong:  # ValueError: the address is none
                self.counts["dials_failed"] += 1
                reason = f"cannot be reached at {address}: {wrong or 'no answer'}"
        if self.dialed.get(number) is made:
            del self.dialed[number]
            self.events.disconnected(number, reason)

    async def _carry(self, number: int, made: _Dialed, stream: trio.abc.Stream) -> str:
        """Until the connection ends; why it did."""
        wire, reason = Connection(stream, self.net.now), "ended by the other side"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wire.write)
            with wire.scope:
                try:
                    await wire.greet(self.greeting, made.name)
                    made.open = wire
                    self.events.connected(number)
                    for message in wire.rest():
                        self._heard(number, made, message)
                    async for message in wire.messages():
                        self._heard(number, made, message)
                except FrameError as wrong:
                    self.counts["dialed_" + wrong.code] += 1
                    self.log.info("source_left", source=made.name, code=wrong.code, reason=wrong.text)
                    reason = str(wrong)
            made.open = None
            wire.finish()
        return reason

    def _heard(self, number: int, made: _Dialed, message: ConfigMessage) -> None:
        if isinstance(message, Greeting | GreetingAnswer):
            raise FrameError("second_greeting", "a connection has one greeting")
        if self.dialed.get(number) is made:
            self.events.heard(number, message)
