"""The connections to machines: each is opened at the engine's request and read until either side ends it."""

from collections import Counter

import structlog
import trio

from hazelhold.engine.records import Dial
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.service.connection import MessageConnection
from hazelhold.service.connection_factory import ConnectionFactory
from hazelhold.service.driver import EngineDriver

CODEC = m.Codec(m.FROM_MACHINE)


class MachineLinks:
    """The connections of the planner `name` to machines. `machines` holds for each the cancel scope of its
    link and, once the machine has sent its Welcome, the connection."""

    def __init__(
        self,
        name: str,
        driver: EngineDriver,
        connection_factory: ConnectionFactory,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self.name, self.driver, self.connection_factory = name, driver, connection_factory
        self.counts, self.log = counts, log
        self.machines: dict[str, tuple[trio.CancelScope, MessageConnection | None]] = {}

    def connection(self, machine: str) -> MessageConnection | None:
        """Returns the connection to a machine that has sent its Welcome, or None."""
        return self.machines.get(machine, (None, None))[1]

    def open_connections(self) -> list[MessageConnection]:
        """Returns the connections to all machines that have sent their Welcome."""
        return [connection for _, connection in self.machines.values() if connection]

    def dial(self, action: Dial, nursery: trio.Nursery) -> None:
        """Opens a link to a machine, in place of an existing one."""
        self.hang_up(action.machine)
        scope = trio.CancelScope()
        self.machines[action.machine] = scope, None
        nursery.start_soon(self._link, action, scope)

    def hang_up(self, machine: str) -> None:
        """Closes the link to a machine immediately, if there is one."""
        scope, connection = self.machines.pop(machine, (None, None))
        if connection is not None:
            connection.cut()
        if scope is not None:
            scope.cancel()

    async def _link(self, dial: Dial, scope: trio.CancelScope) -> None:
        """Runs one connection to a machine: dials within the timeout, then reads until either side ends
        it."""
        name, up = dial.machine, False
        with scope:
            try:
                with trio.fail_after(dial.timeout / 1e6):
                    stream = await self.driver.net.dial(dial.address)
                connection = self.connection_factory.create(stream, CODEC, name)
                self.connection_factory.begin_capture("machine", name, connection, True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.write)
                    with connection.scope:
                        try:
                            connection.send(m.Hello(role="planner", name=self.name))
                            welcome = await connection.first(m.Welcome, dial.timeout / 1e6)
                            up = True
                            self.machines[name] = scope, connection
                            connection.note("open", None)
                            connection.captured()
                            self.driver.deliver("link_up", who=name, welcome=welcome)
                            self.driver.ticker.notify()
                            await self._receive(name, connection)
                        except FrameError as error:
                            self.counts["machine_" + error.code] += 1
                            self.log.info("machine_left", machine=name, code=error.code, reason=error.text)
                    connection.finish()
                    connection.note("shut", None)
                    self.connection_factory.end_capture(connection)
            except (OSError, trio.TooSlowError) as error:
                self.counts["dials_failed"] += 1
                self.log.debug("dial_failed", machine=name, address=dial.address, reason=str(error))
        if scope.cancelled_caught or self.machines.get(name, (None,))[0] is not scope:
            return
        del self.machines[name]
        self.driver.deliver("link_down" if up else "link_failed", who=name)
        self.driver.ticker.notify()

    async def _receive(self, name: str, connection: MessageConnection) -> None:
        for message in connection.rest():
            self._deliver(name, connection, message)
        async for message in connection.messages():
            if isinstance(message, m.Bye):
                return
            self._deliver(name, connection, message)

    def _deliver(self, name: str, connection: MessageConnection, message: m.Message) -> None:
        if isinstance(message, m.Fault):
            raise FrameError(message.code, message.text)
        self.driver.deliver_message("machine_said", connection, name, message)
