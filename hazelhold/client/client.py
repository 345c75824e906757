"""The client for trio programs: connections and waiting round the core, which decides everything."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from random import Random

import trio

from hazelhold.client.core import ClientCore, Connect, Manners, Outcome, Send, Tell, Want
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net, TcpNet
from hazelhold.service.ticker import Ticker
from hazelhold.service.wire import Wire

CODEC = m.Codec(m.TO_OWNER)
FINALS = ("turned_back", "broken_off", "unknown", "rejected", "cancelled")


class Slot:
    """Where callers wait for one guest."""

    def __init__(self) -> None:
        self.answered, self.ended = trio.Event(), trio.Event()
        self.answer: Outcome | None = None
        self.end: Outcome | None = None


class Client:
    """One client process. Use `open_client`; every method belongs to the task that runs trio."""

    def __init__(self, name: str, planners: dict[str, str], manners: Manners | None = None, net: Net | None
    = None,
                 seed: int | None = None, connect_s: float = 2.0) -> None:
        self.net, self.planners, self.connect_s = net or TcpNet(), planners, connect_s
        self.core = ClientCore(name, list(planners), manners or Manners(), Random(seed))
        self.slots: dict[str, Slot] = {}  # emptied as guests end
        self.wires: dict[str, Wire] = {}
        self.ticker = Ticker(self.net.now, lambda now: self.core.next_at(), self._work)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.core.start(self.net.now())
            nursery.start_soon(self.ticker.run)
            task_status.started()
            await trio.sleep_forever()

    async def place(self, want: Want) -> Outcome:
        """Asks for a guest and waits until it is placed, or for the final answer that says why not; never
        longer
        than its patience. ValueError if this guest is on its way already."""
        self.core.submit(self.net.now(), want)
        slot = self.slots[want.guest] = Slot()
        self._act()
        await slot.answered.wait()
        return slot.answer

    async def place_all(self, wants: Iterable[Want]) -> list[Outcome]:
        """A batch, all at once; outcomes in the order of the wants."""
        wants = list(wants)
        found: list[Outcome | None] = [None] * len(wants)

        async def one(number: int, want: Want) -> None:
            found[number] = await self.place(want)

        async with trio.open_nursery() as nursery:
            for number, want in enumerate(wants):
                nursery.start_soon(one, number, want)
        return found

    async def ended(self, guest: str) -> Outcome:
        """Waits for the end of a placed guest. KeyError if there is none of this name."""
        slot = self.slots[guest]
        await slot.ended.wait()
        return slot.end

    def cancel(self, guest: str) -> None:
        """No longer wanted, wherever it is; its last outcome follows as any does."""
        self.core.cancel(self.net.now(), guest)
        self._act()

    def _work(self, now: int) -> None:
        self.core.advance(now)
        self._carry_out()

    def _act(self) -> None:
        """Carries out what an input caused, and has the ticker look at the times anew."""
        self._carry_out()
        self.ticker.stir()

    def _carry_out(self) -> None:
        actions, self.core.actions = self.core.actions, []
        for action in actions:
            if isinstance(action, Send):
                if wire := self.wires.get(action.planner):
                    wire.send(action.message)
            elif isinstance(action, Connect):
                self.nursery.start_soon(self._connect, action.planner)
            elif isinstance(action, Tell):
                self._told(action)

    def _told(self, tell: Tell) -> None:
        slot = self.slots.get(tell.outcome.guest)
        if slot is None:
            return
        if not slot.answered.is_set():
            slot.answer = tell.outcome
            slot.answered.set()
        if tell.final:
            slot.end = tell.outcome
            slot.ended.set()
            del self.slots[tell.outcome.guest]

    async def _connect(self, planner: str) -> None:
        core, spread, was_up = self.core, 0, False
        try:
            with trio.fail_after(self.connect_s):
                stream = await self.net.dial(self.planners[planner])
            wire = Wire(stream, CODEC, self.net.now, send_bytes=1 << 24)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.write)
                with wire.scope:
                    try:
                        wire.send(m.Hello(role="owner", name=core.name))
                        welcome = await wire.first(m.Welcome, self.connect_s)
                        self.wires[planner], was_up = wire, True
                        core.connected(self.net.now(), planner, welcome.spread)
                        self._act()
                        for message in wire.rest():
                            self._heard(planner, message)
                        async for message in wire.messages():
                            if isinstance(message, m.Bye):
                                spread = message.spread
                                break
                            self._heard(planner, message)
                    except FrameError as wrong:
                        if wrong.again_after:
                            core.refused(self.net.now(), planner, wrong.again_after)
                            self._act()
                            wire.finish()
                            return
                wire.finish()
        except (OSError, trio.TooSlowError):
            core.refused(self.net.now(), planner)
            self._act()
            return
        self.wires.pop(planner, None)
        if was_up:
            core.disconnected(self.net.now(), planner, spread)
        else:
            core.disconnected(self.net.now(), planner)
        self._act()

    def _heard(self, planner: str, message: m.Message) -> None:
        self.core.said(self.net.now(), planner, message)
        self._act()


@asynccontextmanager
async def open_client(name: str, planners: dict[str, str], manners: Manners | None = None, net: Net | None =
None,
                      seed: int | None = None) -> AsyncIterator[Client]:
    """A running client; leaving the block leaves its guests to their planners."""
    client = Client(name, planners, manners, net, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(client.run)
        yield client
        nursery.cancel_scope.cancel()
