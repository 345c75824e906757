"""Connects a planner's network code to its engine: delivers and captures inputs, carries out actions.

Inputs go straight into the engine; the ticker pumps it afterwards, so that inputs that arrive together are
decided on together. Before actions are carried out, the state that they depend on is written to disk
(`state_writer`), and proposals that need the agreement of other planners are sent to them (`copies`).
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from hazelhold.capture.tap import Tap
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Action, ProposeChange
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import frame
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker

if TYPE_CHECKING:
    from hazelhold.replica.host import ReplicaHost
    from hazelhold.service.state_writer import StateWriter


class EngineDriver:
    """Drives one engine. `perform` carries out an action; `batch_s` is the minimum time between two pumps, in
    seconds. The planner sets `state_writer` and `copies` if it has them."""

    def __init__(
        self, engine: Engine, net: Net, tap: Tap | None, batch_s: float, perform: Callable[[Action], None]
    ) -> None:
        self.engine, self.net, self.tap, self.perform = engine, net, tap, perform
        self.ticker = Ticker(net.now, engine.next_at, self._work, batch_s)
        self.state_writer: StateWriter | None = None
        self.replica_host: ReplicaHost | None = None
        self.held_back: list[m.Offer] = []  # offers that were not sent; emptied by the next pump
        self.handed_over = False  # another process owns the state: no input is accepted any more

    def _work(self, now: int) -> None:
        if self.handed_over:
            return
        if self.held_back:
            held_back, self.held_back = self.held_back, []
            for offer in held_back:
                self.deliver_state_event("offer_held_back", offer)
            now = self.net.now()
        if self.tap is not None:
            self.tap.pump(now)
        self.engine.pump(now)
        self.carry_out()

    def deliver(
        self, what: str, now: int | None = None, *, who: str = "", welcome: m.Welcome | None = None
    ) -> None:
        """Passes an event that is not a message to the engine's input method `what`, and records it in the
        capture."""
        now = self.net.now() if now is None else now
        if self.tap is not None:
            fields = {"who": who} if who else {}
            if welcome is not None:
                fields["welcome"] = msgspec.to_builtins(welcome)
            self.tap.note(now, what, **fields)
        arguments = [each for each in (who, welcome) if each]
        getattr(self.engine, what)(now, *arguments)
        self.carry_out()

    def hold_back(self, offer: m.Offer) -> None:
        """The offer was not sent; the engine learns that before it decides next, not within its actions."""
        self.held_back.append(offer)
        self.ticker.notify()

    def deliver_state_event(self, what: str, event: object) -> None:
        """Passes an event of the state writer to the engine: the disk's health, or an offer that was not
        sent."""
        now = self.net.now()
        if self.tap is not None:
            self.tap.note(now, what, news=msgspec.to_builtins(event))
        getattr(self.engine, what)(now, event)
        self.carry_out()
        self.ticker.notify()

    def deliver_message(self, what: str, connection: MessageConnection, *arguments: object) -> None:
        """Passes a peer's message to the engine; actions that need no decision are carried out at once.

        The engine is pumped afterwards, unless it answers that the message changes nothing.
        """
        if self.handed_over:
            return  # peers send what was not acknowledged again, to the next process
        now = self.net.now()
        if connection.captured_connection is not None:
            connection.captured_connection.data(False, frame(connection.body), now)
        changes = getattr(self.engine, what)(now, *arguments)
        self.carry_out()
        if changes is not False:
            self.ticker.notify()

    def agreed(self, no: int, outcome: str, value: bytes, reason: str) -> None:
        """Passes the outcome of proposal `no` among the planners to the engine."""
        if self.handed_over:
            return
        self.engine.agreed(self.net.now(), no, outcome, value, reason)
        self.carry_out()
        self.ticker.notify()

    def carry_out(self) -> None:
        """Carries out the engine's actions, including those that result from a failed send."""
        if self.state_writer is not None:
            while self.engine.actions or self.engine.persistence.changed_keys:
                actions, self.engine.actions = self._propose_changes(self.engine.actions), []
                self.state_writer.take(actions, self.engine.flush(self.net.now()))
            return
        while self.engine.actions:
            actions, self.engine.actions = self._propose_changes(self.engine.actions), []
            for action in actions:
                self.perform(action)

    def _propose_changes(self, actions: list[Action]) -> list[Action]:
        """Starts the proposals among these actions, which need not wait for the disk; returns the others."""
        if self.replica_host is None:
            return actions
        for action in actions:
            if isinstance(action, ProposeChange):
                self.replica_host.propose(*action)
        return [a for a in actions if not isinstance(a, ProposeChange)]
