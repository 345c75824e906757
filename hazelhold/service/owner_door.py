"""The door for owners: each connection from its Hello to its end, and who is let in when many come."""

from collections import Counter
from random import Random

import structlog
import trio

from hazelhold.config.planner import PlannerConfig
from hazelhold.engine.advice import Doorman
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError, frame
from hazelhold.service.driver import EngineDriver
from hazelhold.service.wire import Wire
from hazelhold.service.wires import WireFactory

OWNERS = m.Codec(m.FROM_OWNER)


class OwnerDoor:
    """Serves owners. `owners` holds the wire of each that has said its Hello."""

    def __init__(
        self,
        config: PlannerConfig,
        seed: int,
        driver: EngineDriver,
        wires: WireFactory,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self.config, self.limits, self.driver, self.wires = config, config.limits, driver, wires
        self.counts, self.log = counts, log
        self.owners: dict[str, Wire] = {}
        self.connections = self.greeting = 0  # open ones, and those before their Hello
        self.doorman = Doorman(
            config.limits.handshakes_a_second,
            config.limits.handshake_burst,
            config.limits.handshakes_at_once,
            round(config.limits.return_most_ms * 1000),
            Random(f"door/{seed}"),
        )

    async def serve(self, stream: trio.abc.Stream) -> None:
        """One owner's connection, from its Hello to its end. Whatever is wrong with it ends it alone."""
        wire = self.wires.wire(stream, OWNERS)
        self.connections += 1
        later = self.doorman.admits(self.driver.net.now(), self.greeting)
        self.greeting += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.write)
                if self.connections > self.limits.connections:
                    limit = self.limits.connections
                    self._refuse(wire, FrameError("too_many", f"{limit} connections are open"))
                elif later:
                    self.counts["connections_put_off"] += 1
                    wire.finish(m.Fault(code="busy", text="come back later", again_after=later))
                else:
                    with wire.scope:
                        await self._serve_owner(wire)
                wire.finish()
        finally:
            self.connections -= 1
            self._greeted(wire)

    def return_window(self) -> int:
        """Microseconds over which owners should spread their return, were they all to lose this planner."""
        return self.doorman.window(round(self.limits.return_spread_ms * 1000), len(self.owners))

    def _greeted(self, wire: Wire) -> None:
        """A handshake is over, one way or the other."""
        if not wire.greeted:
            wire.greeted = True
            self.greeting -= 1

    async def _serve_owner(self, wire: Wire) -> None:
        name = ""
        try:
            hello = await wire.first(m.Hello, self.limits.hello_ms / 1000)
            if hello.role != "owner":
                raise FrameError("wrong_role", f"this door is for owners, not for a {hello.role}")
            self._greeted(wire)
            name = wire.peer = hello.name
            if old := self.owners.get(name):
                old.finish(m.Bye(reason="replaced"))
                old.scope.cancel()
            self.owners[name] = wire
            wire.note("open", None)
            self.wires.begin_capture("owner", name, wire, False)
            wire.captured()
            wire.send(m.Welcome(name=self.config.name, spread=self.return_window()))
            self.log.debug("owner_here", owner=name)
            for message in wire.rest():
                self._owner_said(name, wire, message)
            async for message in wire.messages():
                if isinstance(message, m.Bye):
                    break
                self._owner_said(name, wire, message)
        except FrameError as wrong:
            self._refuse(wire, wrong)
        finally:
            if name and self.owners.get(name) is wire:
                del self.owners[name]
            wire.note("shut", None)
            self.wires.end_capture(wire)

    def _owner_said(self, name: str, wire: Wire, message: m.Message) -> None:
        if isinstance(message, m.Hello):
            raise FrameError("second_hello", "a connection has one Hello")
        self.driver.hear("owner_said", wire, name, message)

    def _refuse(self, wire: Wire, wrong: FrameError) -> None:
        if self.wires.tap is not None:  # what was wrong is worth keeping, too
            if wire.captured_connection is None:
                self.wires.begin_capture("refused", wire.peer or "unknown", wire, False)
            told = wire.raw if wrong.code.startswith("frame") else frame(wire.body) if wire.body else b""
            wire.captured_connection.data(False, told, self.driver.net.now())
        self.counts["refused_" + wrong.code] += 1
        self.log.warning("connection_refused", code=wrong.code, reason=wrong.text, peer=wire.peer)
        wire.finish(m.Fault(code=wrong.code, text=wrong.text))
