"""The server for owners: each connection from its Hello to its end, and admission when many connect."""

from collections import Counter
from random import Random

import structlog
import trio

from hazelhold.config.planner import PlannerConfig
from hazelhold.engine.admission import ConnectionAdmission
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError, frame
from hazelhold.service.connection import MessageConnection
from hazelhold.service.connection_factory import ConnectionFactory
from hazelhold.service.driver import EngineDriver

CODEC = m.Codec(m.FROM_OWNER)


class OwnerServer:
    """Serves owners. `owners` holds the connection of each owner that has sent its Hello."""

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
        self.connections = self.handshakes = 0  # open connections, and those of them without a Hello yet
        self.admission = ConnectionAdmission(
            config.limits.handshakes_a_second,
            config.limits.handshake_burst,
            config.limits.handshakes_at_once,
            round(config.limits.return_most_ms * 1000),
            Random(f"door/{seed}"),
        )

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves one owner's connection, from its Hello to its end. A fault in it ends only this
        connection."""
        connection = self.connection_factory.create(stream, CODEC)
        self.connections += 1
        retry_after = self.admission.admits(self.driver.net.now(), self.handshakes)
        self.handshakes += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.write)
                if self.connections > self.limits.connections:
                    limit = self.limits.connections
                    self._refuse(connection, FrameError("too_many", f"{limit} connections are open"))
                elif retry_after:
                    self.counts["connections_put_off"] += 1
                    connection.finish(m.Fault(code="busy", text="come back later", again_after=retry_after))
                else:
                    with connection.scope:
                        await self._serve_owner(connection)
                connection.finish()
        finally:
            self.connections -= 1
            self._handshake_done(connection)

    def return_window(self) -> int:
        """Returns the microseconds over which owners should spread their reconnects if this planner goes
        away."""
        return self.admission.window(round(self.limits.return_spread_ms * 1000), len(self.owners))

    def _handshake_done(self, connection: MessageConnection) -> None:
        """Counts a handshake as finished, whether it succeeded or not."""
        if not connection.greeted:
            connection.greeted = True
            self.handshakes -= 1

    async def _serve_owner(self, connection: MessageConnection) -> None:
        name = ""
        try:
            hello = await connection.first(m.Hello, self.limits.hello_ms / 1000)
            if hello.role != "owner":
                raise FrameError("wrong_role", f"this address serves owners, not a {hello.role}")
            self._handshake_done(connection)
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
                self._deliver(name, connection, message)
            async for message in connection.messages():
                if isinstance(message, m.Bye):
                    break
                self._deliver(name, connection, message)
        except FrameError as error:
            self._refuse(connection, error)
        finally:
            if name and self.owners.get(name) is connection:
                del self.owners[name]
            connection.note("shut", None)
            self.connection_factory.end_capture(connection)

    def _deliver(self, name: str, connection: MessageConnection, message: m.Message) -> None:
        if isinstance(message, m.Hello):
            raise FrameError("second_hello", "a connection has one Hello")
        self.driver.deliver_message("owner_said", connection, name, message)

    def _refuse(self, connection: MessageConnection, error: FrameError) -> None:
        if self.connection_factory.tap is not None:  # the capture also holds what was refused
            if connection.captured_connection is None:
                self.connection_factory.begin_capture(
                    "refused", connection.peer or "unknown", connection, False
                )
            received = (
                connection.raw
                if error.code.startswith("frame")
                else frame(connection.body)
                if connection.body
                else b""
            )
            connection.captured_connection.data(False, received, self.driver.net.now())
        self.counts["refused_" + error.code] += 1
        self.log.warning("connection_refused", code=error.code, reason=error.text, peer=connection.peer)
        connection.finish(m.Fault(code=error.code, text=error.text))
