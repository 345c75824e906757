"""Owners of the emulated fleet: their models, connected to planners by scheduled calls."""

from typing import TYPE_CHECKING

from hazelhold.emulate.fleet_time import Notes, Wake
from hazelhold.model.owners import OwnerModel
from hazelhold.protocol import messages as m

if TYPE_CHECKING:
    from hazelhold.emulate.fleet import Fleet


class Sender:
    """An owner's model, connected to all running planners; reconnects some time after a planner's start."""

    def __init__(self, fleet: "Fleet", model: OwnerModel, recorder: Notes) -> None:
        self.fleet, self.model, self.recorder = fleet, model, recorder
        self.ticker = Wake(fleet.clock, fleet.net.now, lambda now: model.next_at(), self._work)

    def connect(self, planner: str) -> None:
        host = self.fleet.planners.get(planner)
        if host is not None and host.up:
            self.fleet.reach.setdefault(self.model.name, set()).add(planner)
            self.recorder.note(self.fleet.clock.now, planner, "open")
            self.model.connected(self.fleet.clock.now, planner)
            self.ticker.notify()

    def lose(self, planner: str) -> None:
        self.fleet.reach.get(self.model.name, set()).discard(planner)
        self.recorder.note(self.fleet.clock.now, planner, "shut")
        self.model.disconnected(self.fleet.clock.now, planner)
        self.ticker.notify()

    def receive(self, planner: str, message: m.Message) -> None:
        now = self.fleet.clock.now
        self.recorder.note(now, planner, "in", message)
        self.model.advance(now)
        self.model.said(now, planner, message)
        self.ticker.notify()

    def _work(self, now: int) -> None:
        self.model.advance(now)
        outgoing, self.model.out = self.model.out, []
        for planner, message in outgoing:
            if planner in self.fleet.reach.get(self.model.name, ()):
                self.recorder.note(now, planner, "out", message)
                host = self.fleet.planners[planner]
                self.fleet.clock.at(now + self.fleet.delay, host.owner_said, self.model.name, message)
