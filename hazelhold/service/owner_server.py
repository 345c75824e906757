"""The door for owners: each connection from its Hello to its end, and who is let in when many come."""

from collections import Counter
from random import Random

import structlog
import trio

from hazelhold.config.planner import PlannerConfig
from hazelhold.engine.advice import Doorman
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError, frame
from hazelhold.service.connection import MessageConnection
from hazelhold.service.connection_factory import ConnectionFactory
from hazelhold.service.driver import EngineDriver

OWNERS = m.Codec(m.FROM_OWNER)


class OwnerServer:
    """Serves owners. `owners` holds the wire of each that has said its Hello."""

    def __init__(
        self,
        config: PlannerConfig,
        seed: int,
        driver: EngineDriver,
        connection_factory: ConnectionFactory,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self.config, self.limits, self.driver, self.connection_factory = (
            config,
            config.limits,
            driver,
            connection_factory,
        )
        self.counts, self.log = counts, log
        self.owners: dict[str, MessageConnection] = {}
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
        connection = self.connection_factory.connection(stream, OWNERS)
        self.connections += 1
        later = self.doorman.admits(self.driver.net.now(), self.greeting)
        self.greeting += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.write)
                if self.connections > self.limits.connections:
                    limit = self.limits.connections
                    self._refuse(connection, FrameError("too_many", f"{limit} connections are open"))
                elif later:
                    self.counts["connections_put_off"] += 1
                    connection.finish(m.Fault(code="busy", text="come back later", again_after=later))
                else:
                    with connection.scope:
                        await self._serve_owner(connection)
                connection.finish()
        finally:
            self.connections -= 1
            self._greeted(connection)

    def return_window(self) -> int:
        """Microseconds over which owners should spread their return, were they all to lose this planner."""
        return self.doorman.window(round(self.limits.return_spread_ms * 1000), len(self.owners))

    def _greeted(self, connection: MessageConnection) -> None:
        """A handshake is over, one way or the other."""
        if not connection.greeted:
            connection.greeted = True
            self.greeting -= 1

    async def _serve_owner(self, connection: MessageConnection) -> None:
        name = ""
        try:
            hello = await connection.first(m.Hello, self.limits.hello_ms / 1000)
            if hello.role != "owner":
                raise FrameError("wrong_role", f"this door is for owners, not for a {hello.role}")
            self._greeted(connection)
            name = connection.peer = hello.name
            if old := self.owners.get(name):
                old.finish(m.Bye(reason="replaced"))
                old.scope.cancel()
            self.owners[name] = connection
            connection.note("open", None)
            self.connection_factory.begin_capture("owner", name, connection, False)
            connection.captured()
            connection.send(m.Welcome(name=self.config.name, spread=self.return_window()))
            self.log.debug("owner_here", owner=name)
            for message in connection.rest():
                self._owner_said(name, connection, message)
            async for message in connection.messages():
                if isinstance(message, m.Bye):
                    break
                self._owner_said(name, connection, message)
        except FrameError as wrong:
            self._refuse(connection, wrong)
        finally:
            if name and self.owners.get(name) is connection:
                del self.owners[name]
            connection.note("shut", None)
            self.connection_factory.end_capture(connection)

    def _owner_said(self, name: str, connection: MessageConnection, message: m.Message) -> None:
        if isinstance(message, m.Hello):
            raise FrameError("second_hello", "a connection has one Hello")
        self.driver.deliver_message("owner_said", connection, name, message)

    def _refuse(self, connection: MessageConnection, wrong: FrameError) -> None:
        if self.connection_factory.tap is not None:  # what was wrong is worth keeping, too
            if connection.trunk is None:
                self.connection_factory.begin_capture(
                    "refused", connection.peer or "unknown", connection, False
                )
            told = (
                connection.raw
                if wrong.code.startswith("frame")
                else frame(connection.body)
                if connection.body
                else b""
            )
            connection.trunk.data(False, told, self.driver.net.now())
        self.counts["refused_" + wrong.code] += 1
        self.log.warning("connection_refused", code=wrong.code, reason=wrong.text, peer=connection.peer)
        connection.finish(m.Fault(code=wrong.code, text=wrong.text))
