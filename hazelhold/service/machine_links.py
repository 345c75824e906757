"""The links to machines: each is dialled when the engine asks for it, and heard until either side ends it."""

from collections import Counter

import structlog
import trio

from hazelhold.engine.records import Dial
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.service.driver import EngineDriver
from hazelhold.service.wire import Wire
from hazelhold.service.wires import WireFactory

MACHINES = m.Codec(m.FROM_MACHINE)


class MachineLinks:
    """The connections of the planner `name` to machines. `machines` holds for each the scope of its link, and
    its wire once the machine has welcomed it."""

    def __init__(
        self,
        name: str,
        driver: EngineDriver,
        wires: WireFactory,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
    ) -> None:
        self.name, self.driver, self.wires = name, driver, wires
        self.counts, self.log = counts, log
        self.machines: dict[str, tuple[trio.CancelScope, Wire | None]] = {}

    def wire(self, machine: str) -> Wire | None:
        """The wire to a machine that has welcomed this planner."""
        return self.machines.get(machine, (None, None))[1]

    def open_wires(self) -> list[Wire]:
        """The wires to all machines that have welcomed this planner."""
        return [wire for _, wire in self.machines.values() if wire]

    def dial(self, action: Dial, nursery: trio.Nursery) -> None:
        """Opens a link in place of any that there is."""
        self.hang_up(action.machine)
        scope = trio.CancelScope()
        self.machines[action.machine] = scope, None
        nursery.start_soon(self._link, action, scope)

    def hang_up(self, machine: str) -> None:
        """Ends a machine's link, if there is one, at once."""
        scope, wire = self.machines.pop(machine, (None, None))
        if wire is not None:
            wire.cut()
        if scope is not None:
            scope.cancel()

    async def _link(self, dial: Dial, scope: trio.CancelScope) -> None:
        """One connection to a machine: dials within its span, then listens until either side ends."""
        name, up = dial.machine, False
        with scope:
            try:
                with trio.fail_after(dial.timeout / 1e6):
                    stream = await self.driver.net.dial(dial.address)
                wire = self.wires.wire(stream, MACHINES, name)
                self.wires.begin_capture("machine", name, wire, True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wire.write)
                    with wire.scope:
                        try:
                            wire.send(m.Hello(role="planner", name=self.name))
                            welcome = await wire.first(m.Welcome, dial.timeout / 1e6)
                            up = True
                            self.machines[name] = scope, wire
                            wire.note("open", None)
                            wire.captured()
                            self.driver.feed("link_up", who=name, welcome=welcome)
                            self.driver.ticker.stir()
                            await self._hear_machine(name, wire)
                        except FrameError as wrong:
                            self.counts["machine_" + wrong.code] += 1
                            self.log.info("machine_left", machine=name, code=wrong.code, reason=wrong.text)
                    wire.finish()
                    wire.note("shut", None)
                    self.wires.end_capture(wire)
            except (OSError, trio.TooSlowError) as wrong:
                self.counts["dials_failed"] += 1
                self.log.debug("dial_failed", machine=name, address=dial.address, reason=str(wrong))
        if scope.cancelled_caught or self.machines.get(name, (None,))[0] is not scope:
            return
        del self.machines[name]
        self.driver.feed("link_down" if up else "link_failed", who=name)
        self.driver.ticker.stir()

    async def _hear_machine(self, name: str, wire: Wire) -> None:
        for message in wire.rest():
            self._machine_said(name, wire, message)
        async for message in wire.messages():
            if isinstance(message, m.Bye):
                return
            self._machine_said(name, wire, message)

    def _machine_said(self, name: str, wire: Wire, message: m.Message) -> None:
        if isinstance(message, m.Fault):
            raise FrameError(message.code, message.text)
        self.driver.hear("machine_said", wire, name, message)
