"""Stand-in machines: each is a model behind a server of its own."""

import trio

from hazelhold.model.machine import Machine
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Recorder
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker
from hazelhold.standin.server import StandInServer

CODEC = m.Codec(m.TO_MACHINE)


class Fact(m.Message, tag="fact", kw_only=True):
    """An event that a stand-in writes to its record beside messages: up, down, fell_over, tally."""

    what: str
    incarnation: int = 0
    cold_until: int = 0
    guests: list[tuple[str, int]] = []


class MachineHost:
    """One machine: passes messages between its server and its model."""

    def __init__(
        self, net: Net, machine: Machine, recorder: Recorder, zone: int = 0, cell: int = 0, clock_off: int = 0
    ) -> None:
        self.net, self.machine, self.zone, self.cell = net, machine, zone, cell
        self.clock_off = clock_off  # difference of this machine's clock from the others, in microseconds
        self.recorder = recorder
        self.server = StandInServer(
            net, machine.name, "machine", CODEC, recorder, self._welcome, self._received
        )
        self.server.muted = lambda planner: self.machine.faults.silent or planner in self.partitioned_from
        self.partitioned_from: set[str] = set()
        self.ticker = Ticker(self.now, lambda now: machine.next_at(), self._work)
        self.note("up")

    def now(self) -> int:
        return self.net.now() + self.clock_off

    async def run(self, address: str, nursery: trio.Nursery) -> str:
        nursery.start_soon(self.ticker.run)
        return await self.server.serve(address, nursery)

    def note(self, what: str, guests: list[tuple[str, int]] | None = None) -> None:
        fact = Fact(
            what=what,
            incarnation=self.machine.incarnation,
            cold_until=self.machine.warm_at - self.clock_off,
            guests=guests or [],
        )
        self.recorder.note(self.net.now(), "", "fact", fact)

    def crash(self, what: str = "down") -> None:
        """Takes the machine down; the guests on it are lost."""
        if not self.machine.up:
            return
        lost = self.machine.went_down()
        self.note(what, [(g.offer.guest, int(g.served)) for g in lost])
        self.server.open = False
        self.server.shut()

    def come_up(self) -> None:
        """Brings the machine back, cold and empty."""
        if self.machine.overloaded:
            return  # it went down under overload and stays down
        self.machine.faults.silent = False
        self.machine.came_up(self.now())
        self.server.open = True
        self.server.shut()
        self.note("up")
        self.ticker.notify()

    def tally(self) -> None:
        """Records, at the end of a day, the guests that run here and how well they were served."""
        self.machine.settle(self.now())
        self.note("tally", [(g.offer.guest, int(g.served)) for g in self.machine.guests.values() if g.runs])

    def _welcome(self) -> m.Welcome:
        machine = self.machine
        return m.Welcome(
            name=machine.name, incarnation=machine.incarnation, up_for=max(0, self.now() - machine.up_at)
        )

    def _received(self, planner: str, message: m.Message) -> None:
        now, machine = self.now(), self.machine
        machine.advance(now)
        if isinstance(message, m.Offer):
            machine.offered(now, planner, message)
        elif isinstance(message, m.Withdraw):
            machine.withdrawn(now, planner, message)
        elif isinstance(message, m.Stop):
            machine.stopped(now, planner, message)
        elif isinstance(message, m.Probe):
            machine.probed(now, planner, message)
        elif isinstance(message, m.InventoryRequest):
            machine.inventory_requested(now, planner)
        self._deliver()
        self.ticker.notify()

    def _work(self, now: int) -> None:
        self.machine.advance(now)
        self._deliver()

    def _deliver(self) -> None:
        out, self.machine.out = self.machine.out, []
        for planner, message in out:
            if planner in self.server.connections:
                self.server.send(planner, message)
            else:  # the planner is not connected; the effect remains
                self.recorder.note(self.net.now(), planner, "unheard", message)
        if self.machine.overloaded and self.machine.up:
            self.crash("fell_over")
