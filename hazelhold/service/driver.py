"""Between a planner's connections and its engine: inputs go in and into the capture, actions are carried out.

What arrives goes straight into the engine; the ticker then pumps it, so that what arrived together is decided
on together. Before actions are carried out, what they rest on goes to the disk (`keeper`), and what others
must agree to first goes to them (`copies`).
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from hazelhold.capture.tap import Tap
from hazelhold.engine.cases import Action, Agree
from hazelhold.engine.engine import Engine
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import frame
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker
from hazelhold.service.wire import Wire

if TYPE_CHECKING:
    from hazelhold.replica.host import Copies
    from hazelhold.service.keeper import Keeper


class EngineDriver:
    """Feeds one engine. `perform` carries an action out; `batch_s` is the least time between two pumps, in
    seconds. The planner sets `keeper` and `copies` if it has them."""

    def __init__(
        self, engine: Engine, net: Net, tap: Tap | None, batch_s: float, perform: Callable[[Action], None]
    ) -> None:
        self.engine, self.net, self.tap, self.perform = engine, net, tap, perform
        self.ticker = Ticker(net.now, engine.next_at, self._work, batch_s)
        self.keeper: Keeper | None = None
        self.copies: Copies | None = None
        self.handed_over = False  # another process has the state: nothing goes in any more

    def _work(self, now: int) -> None:
        if self.handed_over:
            return
        if self.tap is not None:
            self.tap.pump(now)
        self.engine.pump(now)
        self.carry_out()

    def feed(
        self, what: str, now: int | None = None, *, who: str = "", welcome: m.Welcome | None = None
    ) -> None:
        """Tells the engine of something that is no message, by one of its input methods; notes it in the
        capture."""
        now = self.net.now() if now is None else now
        if self.tap is not None:
            more = {"who": who} if who else {}
            if welcome is not None:
                more["welcome"] = msgspec.to_builtins(welcome)
            self.tap.note(now, what, **more)
        given = [each for each in (who, welcome) if each]
        getattr(self.engine, what)(now, *given)
        self.carry_out()

    def state_news(self, what: str, news: object) -> None:
        """What the keeper has to tell the engine: the disk's health, an offer that did not leave."""
        now = self.net.now()
        if self.tap is not None:
            self.tap.note(now, what, news=msgspec.to_builtins(news))
        getattr(self.engine, what)(now, news)
        self.carry_out()
        self.ticker.stir()

    def hear(self, what: str, wire: Wire, *given: object) -> None:
        """Takes a message of a peer to the engine; what needs no decision goes out before one is made."""
        if self.handed_over:
            return  # the next process hears it: what is not acknowledged is asked again
        now = self.net.now()
        if wire.captured_connection is not None:
            wire.captured_connection.data(False, frame(wire.body), now)
        getattr(self.engine, what)(now, *given)
        self.carry_out()
        self.ticker.stir()

    def agreed(self, no: int, outcome: str, value: bytes, reason: str) -> None:
        """How an asking among the planners ended."""
        if self.handed_over:
            return
        self.engine.agreed(self.net.now(), no, outcome, value, reason)
        self.carry_out()
        self.ticker.stir()

    def carry_out(self) -> None:
        """Does what the engine wants done; what a failed send causes goes in as an input and is done too."""
        if self.keeper is not None:
            while self.engine.actions or self.engine.keeping.marks:
                actions, self.engine.actions = self._ask_others(self.engine.actions), []
                self.keeper.take(actions, self.engine.flush(self.net.now()))
            return
        while self.engine.actions:
            actions, self.engine.actions = self._ask_others(self.engine.actions), []
            for action in actions:
                self.perform(action)

    def _ask_others(self, actions: list[Action]) -> list[Action]:
        """Begins the askings among these actions, which wait for nothing; returns the others."""
        if self.copies is None:
            return actions
        for action in actions:
            if isinstance(action, Agree):
                self.copies.ask(*action)
        return [a for a in actions if not isinstance(a, Agree)]
