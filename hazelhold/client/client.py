"""The client for trio programs: connections and waiting around the core, which makes all decisions."""

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
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net, TcpNet
from hazelhold.service.ticker import Ticker

CODEC = m.Codec(m.TO_OWNER)
WATCH_S = 1.0  # seconds between checks of a file of planners


class Standing(NamedTuple):
    """The status of a guest. `state` is what its planner reports (held, out, running, unsettled, unknown, an
    end), `silent` if it did not reply in time, or `idle` if no planner has the guest now."""

    guest: str
    state: str
    machine: str = ""
    planner: str = ""
    asks: int = 0


class Slot:
    """The events and outcomes that callers wait for, of one guest."""

    def __init__(self) -> None:
        self.answered, self.ended = trio.Event(), trio.Event()
        self.answer: Outcome | None = None
        self.end: Outcome | None = None


class Client:
    """One client process. Use `open_client`. Call the methods only from the thread that runs trio."""

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
        # waiting queries by guest; removed by their replies or timeouts
        self.queries: dict[str, list[tuple[trio.Event, list]]] = {}
        self.core = ClientCore(name, list(planners), policy or ClientPolicy(), Random(seed))
        self.slots: dict[str, Slot] = {}  # removed as guests end
        self.connections: dict[str, MessageConnection] = {}
        self.ticker = Ticker(self.net.now, lambda now: self.core.next_at(), self._work)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.core.start(self.net.now())
            nursery.start_soon(self.ticker.run)
            if self.watch is not None:
                nursery.start_soon(self._watch)
            task_status.started()
            await trio.sleep_forever()

    async def place(self, request: TaskRequest) -> Outcome:
        """Submits a guest and waits until it is placed or has a final outcome that tells why not; never
        longer than its `patience`. ValueError if this guest is pending already."""
        self.core.submit(self.net.now(), request)
        slot = self.slots[request.guest] = Slot()
        self._act()
        await slot.answered.wait()
        return slot.answer

    async def place_all(self, requests: Iterable[TaskRequest]) -> list[Outcome]:
        """Places a batch at once; the outcomes are in the order of the requests."""
        requests = list(requests)
        outcomes: list[Outcome | None] = [None] * len(requests)

        async def one(number: int, request: TaskRequest) -> None:
            outcomes[number] = await self.place(request)

        async with trio.open_nursery() as nursery:
            for number, request in enumerate(requests):
                nursery.start_soon(one, number, request)
        return outcomes

    async def ended(self, guest: str) -> Outcome:
        """Waits for the end of a placed guest. KeyError if there is no such guest."""
        slot = self.slots[guest]
        await slot.ended.wait()
        return slot.end

    def cancel(self, guest: str) -> None:
        """Cancels a guest wherever it is; its last outcome follows as usual."""
        self.core.cancel(self.net.now(), guest)
        self._act()

    async def query(self, guest: str, seconds: float = 1.0) -> Standing:
        """Queries the guest's planner, and waits `seconds` at most. KeyError if this client has no such
        guest."""
        entry = self.core.pending[guest]
        known = Standing(
            guest,
            "idle" if entry.state == "idle" else "silent",
            "",
            entry.planner,
            entry.submission_number + 1,
        )
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
        """Follows the changes of the file of planners."""
        while True:
            await trio.sleep(WATCH_S)
            if error := self.watch.changed():
                self.log.warning("planners_refused", reason=str(error))
            elif self.watch.planners != self.planners:
                self._update_planners(dict(self.watch.planners))

    def _update_planners(self, planners: dict[str, str]) -> None:
        moved = [p for p, at in planners.items() if self.planners.get(p, at) != at]
        retained = {p: self.planners[p] for p in self.core.up if p not in planners and p in self.planners}
        self.planners = retained | planners
        self.log.info("planners", named=sorted(planners), moved=moved)
        for planner in moved:
            if connection := self.connections.get(planner):
                connection.cut()
        self.core.update_planners(self.net.now(), list(planners))
        self._act()

    def _work(self, now: int) -> None:
        self.core.advance(now)
        self._carry_out()

    def _act(self) -> None:
        """Carries out the actions of an input, and has the ticker check the timers again."""
        self._carry_out()
        self.ticker.notify()

    def _carry_out(self) -> None:
        actions, self.core.actions = self.core.actions, []
        for action in actions:
            if isinstance(action, Send):
                if connection := self.connections.get(action.planner):
                    connection.send(action.message)
            elif isinstance(action, Connect):
                self.nursery.start_soon(self._connect, action.planner)
            elif isinstance(action, Leave):
                if connection := self.connections.pop(action.planner, None):
                    connection.cut()
            elif isinstance(action, Notify):
                self._notify_caller(action)

    def _notify_caller(self, notification: Notify) -> None:
        slot = self.slots.get(notification.outcome.guest)
        if slot is None:
            return
        if not slot.answered.is_set():
            slot.answer = notification.outcome
            slot.answered.set()
        if notification.final:
            slot.end = notification.outcome
            slot.ended.set()
            del self.slots[notification.outcome.guest]

    async def _connect(self, planner: str) -> None:
        core, spread, was_connected = self.core, 0, False
        try:
            with trio.fail_after(self.connect_s):
                stream = await self.net.dial(self.planners[planner])
            connection = MessageConnection(stream, CODEC, self.net.now, send_bytes=1 << 24)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.write)
                with connection.scope:
                    try:
                        connection.send(m.Hello(role="owner", name=core.name))
                        welcome = await connection.first(m.Welcome, self.connect_s)
                        self.connections[planner], was_connected = connection, True
                        core.connected(self.net.now(), planner, welcome.spread)
                        self._act()
                        for message in connection.rest():
                            self._handle_message(planner, message)
                        async for message in connection.messages():
                            if isinstance(message, m.Bye):
                                spread = message.spread
                                break
                            self._handle_message(planner, message)
                    except FrameError as error:
                        if error.again_after:
                            core.refused(self.net.now(), planner, error.again_after)
                            self._act()
                            connection.finish()
                            return
                connection.finish()
        except (OSError, trio.TooSlowError):
            core.refused(self.net.now(), planner)
            self._act()
            return
        if was_connected and self.connections.get(planner) is not connection:
            return  # the client left this planner
        self.connections.pop(planner, None)
        core.disconnected(self.net.now(), planner, spread)
        self._act()

    def _handle_message(self, planner: str, message: m.Message) -> None:
        self.core.receive(self.net.now(), planner, message)
        if isinstance(message, m.State):
            for event, replies in self.queries.get(message.guest, ()):
                replies.append(message)
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
    """A running client. Its guests stay with their planners when the block ends. `planners` are addresses by
    name, or a file of them that is watched for changes (ConfigError if it is invalid at the start)."""
    client = Client(name, planners, policy, net, seed)
    async with trio.open_nursery() as nursery:
        await nursery.start(client.run)
        yield client
        nursery.cancel_scope.cancel()
