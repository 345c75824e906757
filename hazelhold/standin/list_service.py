"""The stand-in list service: the model behind a server."""

import trio

from hazelhold.model.listing import ListService
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Recorder
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker
from hazelhold.standin.server import StandInServer

CODEC = m.Codec(m.TO_LIST)


class ListHost:
    """Serves the list of machines; `set_down` makes it unreachable."""

    def __init__(self, net: Net, service: ListService, recorder: Recorder) -> None:
        self.net, self.service = net, service
        self.known: set[str] = set()  # machines that have registered; bounded by the number of machines
        self.server = StandInServer(
            net, "list", "list", CODEC, recorder, self.welcome, self._received, service.left
        )
        self.ticker = Ticker(net.now, lambda now: service.next_at(), self._work)

    async def run(self, address: str, nursery: trio.Nursery) -> str:
        """Starts to serve; returns the address with the port in use."""
        nursery.start_soon(self.ticker.run)
        return await self.server.serve(address, nursery)

    def welcome(self) -> m.Welcome:
        """The greeting to planners."""
        return m.Welcome(name="list", confirms=True)

    def set_down(self, down: bool) -> None:
        self.service.down = down
        self.server.open = not down
        if down:
            self.service.watchers.clear()
            self.server.shut()

    def _received(self, planner: str, message: m.Message) -> None:
        now = self.net.now()
        if isinstance(message, m.Watch):
            self.service.watched(now, planner, message.since)
        elif isinstance(message, m.ConfirmList):
            self.service.confirm(now, planner, message.number)
        elif isinstance(message, m.RegisterMachines) and message.rooms:
            self.service.rooms({e.machine: (e.cores_room, e.memory_room) for e in message.entries})
        elif isinstance(message, m.RegisterMachines):
            for entry in message.entries:
                self.service.set(now, entry, now - (entry.up_for or 0), entry.machine not in self.known)
                self.known.add(entry.machine)
        self.ticker.notify()

    def _work(self, now: int) -> None:
        self.service.advance(now)
        out, self.service.out = self.service.out, []
        for planner, message in out:
            self.server.send(planner, message)
