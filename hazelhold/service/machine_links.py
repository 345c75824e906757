"""The links to machines: each is dialled when the engine asks for it, and heard until either side ends it."""

from collections import Counter

import structlog
import trio

from hazelhold.engine.cases import Dial
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.service.connection import MessageConnection
from hazelhold.service.connection_factory import ConnectionFactory
from hazelhold.service.driver import EngineDriver

MACHINES = m.Codec(m.FROM_MACHINE)


class MachineLinks:
    """The connections of the planner `name` to machines. `machines` holds for each the scope of its link, and
    its wire once the machine has welcomed it."""

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
        """The wire to a machine that has welcomed this planner."""
        return self.machines.get(machine, (None, None))[1]

    def open_connections(self) -> list[MessageConnection]:
        """The wires to all machines that have welcomed this planner."""
        return [connection for _, connection in self.machines.values() if connection]

    def dial(self, action: Dial, nursery: trio.Nursery) -> None:
        """Opens a link in place of any that there is."""
        self.hang_up(action.machine)
        scope = trio.CancelScope()
        self.machines[action.machine] = scope, None
        nursery.start_soon(self._link, action, scope)

    def hang_up(self, machine: str) -> None:
        """Ends a machine's link, if there is one, at once."""
        scope, connection = self.machines.pop(machine, (None, None))
        if connection is not None:
            connection.cut()
        if scope is not None:
            scope.cancel()

    async def _link(self, dial: Dial, scope: trio.CancelScope) -> None:
        """One connection to a machine: dials within its span, then listens until either side ends."""
        name, up = dial.machine, False
        with scope:
            try:
                with trio.fail_after(dial.span / 1e6):
                    stream = await self.driver.net.dial(dial.address)
                connection = self.connection_factory.connection(stream, MACHINES, name)
                self.connection_factory.begin_capture("machine", name, connection, True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.write)
                    with connection.scope:
                        try:
                            connection.send(m.Hello(role="planner", name=self.name))
                            welcome = await connection.first(m.Welcome, dial.span / 1e6)
                            up = True
                            self.machines[name] = scope, connection
                            connection.note("open", None)
                            connection.captured()
                            self.driver.deliver("link_up", who=name, welcome=welcome)
                            self.driver.ticker.notify()
                            await self._hear_machine(name, connection)
                        except FrameError as wrong:
                            self.counts["machine_" + wrong.code] += 1
                            self.log.info("machine_left", machine=name, code=wrong.code, reason=wrong.text)
                    connection.finish()
                    connection.note("shut", None)
                    self.connection_factory.end_capture(connection)
            except (OSError, trio.TooSlowError) as wrong:
                self.counts["dials_failed"] += 1
                self.log.debug("dial_failed", machine=name, address=dial.address, reason=str(wrong))
        if scope.cancelled_caught or self.machines.get(name, (None,))[0] is not scope:
            return
        del self.machines[name]
        self.driver.deliver("link_down" if up else "link_failed", who=name)
        self.driver.ticker.notify()

    async def _hear_machine(self, name: str, connection: MessageConnection) -> None:
        for message in connection.rest():
            self._machine_said(name, connection, message)
        async for message in connection.messages():
            if isinstance(message, m.Bye):
                return
            self._machine_said(name, connection, message)

    def _machine_said(self, name: str, connection: MessageConnection, message: m.Message) -> None:
        if isinstance(message, m.Fault):
            raise FrameError(message.code, message.text)
        self.driver.deliver_message("machine_said", connection, name, message)
