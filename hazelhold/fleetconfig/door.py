"""Connections that others dial here: greetings, numbers, what they say and their end. Whatever is wrong with
a connection ends it alone, and is counted.
"""

import math
from collections import Counter
from typing import Protocol

import structlog
import trio

from hazelhold.fleetconfig.connection import Connection
from hazelhold.fleetconfig.messages import ConfigMessage, Greeting, GreetingAnswer
from hazelhold.fleetconfig.spread_actions import Close, Send
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net

MOST = 8192  # connections at a time
IDLE = 90.0  # seconds without a word after which a writer's connection is ended; no asking takes so long


class DoorEvents(Protocol):
    """What a host hears of accepted connections. FrameError from `heard` ends the connection."""

    def accepted(self, connection: int, greeting: Greeting) -> None: ...

    def heard_from(self, connection: int, message: ConfigMessage) -> None: ...

    def written(self, connection: int) -> None: ...

    def ended(self, connection: int) -> None: ...


class Door:
    """All connections that were accepted."""

    def __init__(self, name: str, deployment: str, net: Net, events: DoorEvents) -> None:
        self.name, self.deployment, self.net, self.events = name, deployment, net, events
        self.opened: dict[int, Connection] = {}  # emptied as connections end
        self.number = self.connections = 0
        self.counts: Counter[str] = Counter()
        self.log = structlog.get_logger().bind(planner=name)

    async def accept(self, stream: trio.abc.Stream) -> None:
        """One connection, until it ends."""
        wire = Connection(stream, self.net.now)
        self.connections += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.write)
                with wire.scope:
                    await self._serve(wire)
                if wire.scope.cancelled_caught and not wire.closing:
                    self.counts["idle_ended"] += 1
                wire.finish()
        finally:
            self.connections -= 1

    def send(self, action: Send) -> None:
        """What cannot be sent is dropped: the end of the connection is told."""
        if wire := self.opened.get(action.connection):
            wire.tell(action.message)

    def close(self, action: Close) -> None:
        """Ends a connection; nothing more is told of it."""
        if wire := self.opened.pop(action.connection, None):
            self.log.info("follower_closed", follower=wire.name, reason=action.reason)
            wire.cut()

    def _renew(self, wire: Connection) -> None:
        """A writer that said something may be silent for a while from now on."""
        wire.scope.deadline = trio.current_time() + wire.idle

    async def _serve(self, wire: Connection) -> None:
        number = 0
        try:
            if self.connections > MOST:
                raise FrameError("too_many", f"{MOST} connections are open")
            greeting = await wire.greeted(self.name, self.deployment)
            self.number += 1
            number = self.number
            self.opened[number] = wire
            wire.on_written = lambda: self._written(number, wire)
            wire.idle = IDLE if greeting.purpose == "write" else math.inf  # who follows is judged by the core
            self.events.accepted(number, greeting)
            self._renew(wire)
            for message in wire.rest():
                self._heard(number, wire, message)
            async for message in wire.messages():
                self._heard(number, wire, message)
        except FrameError as wrong:
            self.counts["refused_" + wrong.code] += 1
            self.log.warning("connection_refused", code=wrong.code, reason=wrong.text, peer=wire.name)
        finally:
            if self.opened.get(number) is wire:
                del self.opened[number]
                self.events.ended(number)

    def _heard(self, number: int, wire: Connection, message: ConfigMessage) -> None:
        if isinstance(message, Greeting | GreetingAnswer):
            raise FrameError("second_greeting", "a connection has one greeting")
        self._renew(wire)
        if self.opened.get(number) is wire:
            self.events.heard_from(number, message)

    def _written(self, number: int, wire: Connection) -> None:
        if self.opened.get(number) is wire:
            self.events.written(number)
