"""The client for trio programs: connections and waiting round the core, which decides everything."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import NamedTuple

import structlog
import trio

from hazelhold.client.addresses import Watch
from hazelhold.client.core import ClientCore
from hazelhold.client.types import ClientPolicy, Connect, Leave, Notify, Outcome, Send, TaskRequest
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net, TcpNet
from hazelhold.service.ticker import Ticker
from hazelhold.service.wire import Wire

CODEC = m.Codec(m.TO_OWNER)
WATCH_S = 1.0  # how often a file of planners is looked at


class Standing(NamedTuple):
    """How a guest stands: `state` is the planner's word (held, out, running, unsettled, unknown, an end), or
    silent if it gave none in time, idle if no planner has the guest now."""

    guest: str
    state: str
    machine: str = ""
    planner: str = ""
    asks: int = 0


class Slot:
    """Where callers wait for one guest."""

    def __init__(self) -> None:
        self.answered, self.ended = trio.Event(), trio.Event()
        self.answer: Outcome | None = None
        self.end: Outcome | None = None


class Client:
    """One client process. Use `open_client`; every method belongs to the task that runs trio."""

    def __init__(
        self,
        name: str,
        planners: dict[str, str] | Path,
        policy: ClientPolicy | None = None,
        net: Net | None = None,
        seed: int | None = None,
        connect_s: float = 2.0,
    ) -> None:
        self.watch = Watch(planners) if isinstance(planners, Path) else None
        planners = dict(self.watch.planners if self.watch else planners)
        self.net, self.planners, self.connect_s = net or TcpNet(), planners, connect_s
        self.log = structlog.get_logger().bind(client=name)
        self.queries: dict[str, list[tuple[trio.Event, list]]] = {}  # emptied by the answers, or in time
        self.core = ClientCore(name, list(planners), policy or ClientPolicy(), Random(seed))
        self.slots: dict[str, Slot] = {}  # emptied as guests end
        self.wires: dict[str, Wire] = {}
        self.ticker = Ticker(self.net.now, lambda now: self.core.next_at(), self._work)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.core.start(self.net.now())
            nursery.start_soon(self.ticker.run)
            if self.watch is not None:
                nursery.start_soon(self._watch)
            task_status.started()
            await trio.sleep_forever()

    async def place(self, request: TaskRequest) -> Outcome:
        """Asks for a guest and waits until it is placed, or for the final answer that says why not; never
        longer than its patience. ValueError if this guest is on its way already."""
        self.core.submit(self.net.now(), request)
        slot = self.slots[request.guest] = Slot()
        self._act()
        await slot.answered.wait()
        return slot.answer

    async def place_all(self, requests: Iterable[TaskRequest]) -> list[Outcome]:
        """A batch, all at once; outcomes in the order of the requests."""
        requests = list(requests)
        found: list[Outcome | None] = [None] * len(requests)

        async def one(number: int, request: TaskRequest) -> None:
            found[number] = await self.place(request)

        async with trio.open_nursery() as nursery:
            for number, request in enumerate(requests):
                nursery.start_soon(one, number, request)
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

    async def query(self, guest: str, seconds: float = 1.0) -> Standing:
        """Asks the guest's planner how it stands, and waits so long at most. KeyError if no guest of this
        client has this name."""
        task = self.core.pending[guest]
        known = Standing(guest, "idle" if task.state == "idle" else "silent", "", task.planner, task.ask + 1)
        waiter: tuple[trio.Event, list] = trio.Event(), []
        if not self.core.query(self.net.now(), guest):
            return known
        waiters = self.queries.setdefault(guest, [])
        waiters.append(waiter)
        self._act()
        with trio.move_on_after(seconds):
            await waiter[0].wait()
        waiters.remove(waiter)
        if not waiters and self.queries.get(guest) is waiters:
            del self.queries[guest]
        if not waiter[1]:
            return known
        return known._replace(state=waiter[1][0].state, machine=waiter[1][0].machine)

    async def _watch(self) -> None:
        """Follows the file of planners."""
        while True:
            await trio.sleep(WATCH_S)
            if wrong := self.watch.changed():
                self.log.warning("planners_refused", reason=str(wrong))
            elif self.watch.planners != self.planners:
                self._update_planners(dict(self.watch.planners))

    def _update_planners(self, planners: dict[str, str]) -> None:
        moved = [p for p, at in planners.items() if self.planners.get(p, at) != at]
        kept = {p: self.planners[p] for p in self.core.up if p not in planners and p in self.planners}
        self.planners = kept | planners
        self.log.info("planners", named=sorted(planners), moved=moved)
        for planner in moved:
            if wire := self.wires.get(planner):
                wire.cut()
        self.core.update_planners(self.net.now(), list(planners))
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
            elif isinstance(action, Leave):
                if wire := self.wires.pop(action.planner, None):
                    wire.cut()
            elif isinstance(action, Notify):
                self._told(action)

    def _told(self, tell: Notify) -> None:
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
        if was_up and self.wires.get(planner) is not wire:
            return  # it was left
        self.wires.pop(planner, None)
        core.disconnected(self.net.now(), planner, spread)
        self._act()

    def _heard(self, planner: str, message: m.Message) -> None:
        self.core.receive(self.net.now(), planner, message)
        if isinstance(message, m.State):
            for event, found in self.queries.get(message.guest, ()):
                found.append(message)
                event.set()
        self._act()


@asynccontextmanager
async def open_client(
    name: str,
    planners: dict[str, str] | Path,
    policy: ClientPolicy | None = None,
    net: Net | None = None,
    seed: int | None = None,
) -> AsyncIterator[Client]:
    """A running client; leaving the block leaves its guests to their planners. `planners` are addresses by
    name, or a file of them that is followed as it changes (ConfigError if it cannot be used at the start)."""
    client = Client(name, planners, policy, net, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(client.run)
        yield client
        nursery.cancel_scope.cancel()
