"""The connection to the list service: reconnects when it is lost, and requests the list for the engine."""

from collections import Counter

import structlog
import trio

from hazelhold.config.planner import PlannerConfig
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.service.connection import MessageConnection
from hazelhold.service.connection_factory import ConnectionFactory
from hazelhold.service.driver import EngineDriver

CODEC = m.Codec(m.FROM_LIST)
RETRY_S = 0.5  # seconds from the end of one connection to the next dial


class ListLink:
    """Watches the list of machines. `wanted` is the version after which to request changes, or None."""

    def __init__(
        self,
        config: PlannerConfig,
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
        self.wanted: int | None = None
        self.requested = trio.Event()
        self.connection: MessageConnection | None = None  # set once the service has sent its Welcome

    def request(self, since: int) -> None:
        """Requests the changes after this version, on this connection or the next."""
        self.wanted = since
        self.requested.set()

    def ask(self, number: int) -> None:
        """Asks the service to confirm the list, if its connection is up."""
        if self.connection is not None:
            self.connection.send(m.ConfirmList(number=number))

    def drop(self) -> None:
        """Closes the connection, so that the service is dialled again."""
        if self.connection is not None:
            self.connection.cut()

    async def run(self) -> None:
        """Keeps a connection to the list service open, and sends the engine's requests on it."""
        if not self.config.list.asked:
            self.wanted = 0
        while True:
            try:
                with trio.fail_after(self.limits.hello_ms / 1000):
                    stream = await self.driver.net.dial(self.config.list.address)
                connection = self.connection_factory.create(
                    stream, CODEC, "list", self.config.list.frame_bytes
                )
                self.connection_factory.begin_capture("list", "list", connection, True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.write)
                    with connection.scope:
                        await self._receive(connection, nursery)
                    connection.finish()
                    self.connection_factory.end_capture(connection)
                    nursery.cancel_scope.cancel()
            except (OSError, trio.TooSlowError) as error:
                self.log.debug("list_unreachable", reason=str(error))
            self.connection = None
            self.driver.deliver("list_failed")
            self.wanted = self.driver.engine.list_version if not self.config.list.asked else None
            self.driver.ticker.notify()
            await trio.sleep(RETRY_S)

    async def _receive(self, connection: MessageConnection, nursery: trio.Nursery) -> None:
        try:
            connection.send(m.Hello(role="planner", name=self.config.name))
            welcome = await connection.first(m.Welcome, self.limits.hello_ms / 1000)
            connection.captured()
            self.connection = connection
            self.driver.deliver("list_greeted", welcome=welcome)
            if welcome.confirms:
                self.driver.ticker.notify()
            else:
                self.log.warning("list_confirms_nothing")
            nursery.start_soon(self._send_requests, connection)
            for message in connection.rest():
                self._deliver(connection, message)
            async for message in connection.messages():
                self._deliver(connection, message)
        except FrameError as error:
            self.counts["list_" + error.code] += 1
            self.log.info("list_left", code=error.code, reason=error.text)

    async def _send_requests(self, connection: MessageConnection) -> None:
        while True:
            if self.wanted is not None:
                connection.send(m.Watch(since=self.wanted))
                self.wanted = None
            await self.requested.wait()
            self.requested = trio.Event()

    def _deliver(self, connection: MessageConnection, message: m.Message) -> None:
        if isinstance(message, m.Fault | m.Bye):
            raise FrameError("list_left", "the list service ended the connection")
        self.driver.deliver_message("list_said", connection, message)
