"""Simulates many clients of one planner in virtual time: lost connections, reconnects and overload.

The client cores, the planner's admission control, its engine and the scheduler are the production code.
Emulated are the network (a fixed delay; a connection breaks for both sides at once), the machines (they
accept every offer and end the guest after its lifetime) and the planner's processor: one queue in which
each operation has a cost (`Costs`, measured by bench.throughput on one core). Without costs an overload
would not show, since all work would be done at once.
"""

from collections import Counter, deque
from random import Random
from typing import NamedTuple

from msgspec.structs import replace

from hazelhold.client.core import ClientCore
from hazelhold.client.types import ClientPolicy, Connect, Leave, Notify, Send, TaskRequest
from hazelhold.config.planner import PlannerConfig
from hazelhold.emulate.clock import Clock
from hazelhold.engine.admission import ConnectionAdmission
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import AskList, Dial, FetchList
from hazelhold.engine.records import Send as EngineSend
from hazelhold.protocol import messages as m

SECOND = 1_000_000
BIN = SECOND // 10


class Costs(NamedTuple):
    """Processor time that a planner spends on each operation, in microseconds."""

    handshake: int = 150
    frame: int = 12
    decision: int = 900
    refusal: int = 10  # of a submission, in addition to its frame: bench.overload --costs


class Demand(NamedTuple):
    """The guests that clients submit: `rate` a second over all clients; other times in microseconds."""

    rate: float
    patience: int = 2 * SECOND
    life: int = 5 * SECOND
    effect: str = "rerunnable"
    product: str = "plain"


class FixedDelayBackoff:
    """A backoff that does not spread reconnects: a fixed delay, whatever the planner advises."""

    def __init__(self, wait: int = SECOND // 20) -> None:
        self.gap = wait

    def succeeded(self, usual: int = 0) -> None:
        """Keeps no state."""

    def lost(self, window: int) -> None:
        """Keeps no state."""

    def wait(self, advised: int = 0, urgent: bool = False) -> int:
        return self.gap

    def cap(self, urgent: bool) -> int:
        return self.gap


class EmulatedPlanner:
    """A planner (admission control, an engine, one processor) and its machines, which outlive its runs."""

    def __init__(
        self, population: "ClientPopulation", config: PlannerConfig, costs: Costs, machines: int
    ) -> None:
        self.population, self.config, self.costs = population, config, costs
        self.clock = population.clock
        self.names = [f"m{n:03d}" for n in range(machines)]
        self.placed: dict[str, dict[tuple[str, int], m.InventoryItem]] = {n: {} for n in self.names}
        # By machine, the guests that ended while the planner was down.
        self.unreported_ends: dict[str, list[m.InventoryItem]] = {n: [] for n in self.names}
        self.life = 0
        self.up = False

    def start(self) -> None:
        limits, self.life, self.up = self.config.limits, self.life + 1, True
        self.engine = Engine(self.config, self.life, self.clock.now)
        self.engine.list_greeted(self.clock.now, m.Welcome(name="list", confirms=True))
        self.admission = ConnectionAdmission(
            limits.handshakes_a_second,
            limits.handshake_burst,
            limits.handshakes_at_once,
            round(limits.return_most_ms * 1000),
            Random(f"door/{self.life}"),
        )
        self.owners: dict[str, int] = {}  # connected owners and the number of their connection
        self.inbox: deque[tuple] = deque()
        self.handshakes = 0
        self.processor_free_at = self.clock.now
        self.next_work_at: int | None = None
        self.inbox.append(("list",))
        self._notify()

    def stop(self, announced: bool) -> None:
        """Ends this run: all connections close, if `announced` with a window in which to dial again."""
        self.up = False
        window = self._window() if announced else 0
        for owner in list(self.owners):
            self.population.lost(owner, window)
        self.owners.clear()

    def _window(self) -> int:
        return self.admission.window(round(self.config.limits.return_spread_ms * 1000), len(self.owners))

    def accept_dial(self, owner: str, number: int) -> int:
        """Admits a new connection: returns 0, or after how many microseconds the client is to dial again."""
        retry_after = self.admission.admits(self.clock.now, self.handshakes)
        if not retry_after:
            self.handshakes += 1
            self.inbox.append(("hello", owner, number))
            self._notify()
        return retry_after

    def frame(self, owner: str, message: m.Message) -> None:
        self.inbox.append(("owner", owner, message))
        self._notify()

    def _notify(self) -> None:
        """Schedules the processor's next iteration for when it is free."""
        self._wake(max(self.clock.now, self.processor_free_at))

    def _wake(self, when: int) -> None:
        if self.next_work_at is None or when < self.next_work_at:
            self.next_work_at = when
            self.clock.at(when, self._work, self.life, when)

    def _work(self, life: int, when: int) -> None:
        """Runs one iteration of the service: reads the inbox, lets the engine decide, sends its messages."""
        if life != self.life or not self.up or when != self.next_work_at:
            return
        self.next_work_at = None
        now, spent, engine = self.clock.now, 0, self.engine
        received, self.inbox = self.inbox, deque()
        answers: list = []
        for item in received:
            spent += self._read(now, item)
        dispatched_before = engine.counts["dispatches"]
        refused = sum(n for what, n in engine.counts.items() if what.startswith("rejected_"))
        engine.pump(now)
        spent += (engine.counts["dispatches"] - dispatched_before) * self.costs.decision
        spent += (refused - self.rejected_before) * self.costs.refusal
        self.rejected_before = refused
        answers, engine.actions = engine.actions, []
        self.processor_free_at = now + spent
        self.clock.at(self.processor_free_at, self._perform, life, answers)
        due = engine.next_at(now)
        if due is not None:
            self._wake(max(due, self.processor_free_at + 1))
        if self.inbox:
            self._notify()

    rejected_before = 0

    def _read(self, now: int, item: tuple) -> int:
        what, engine = item[0], self.engine
        if what == "hello":
            self.handshakes -= 1
            self.owners[item[1]] = item[2]
            self.clock.at(
                now + self.population.delay, self.population.welcomed, item[1], item[2], self._window()
            )
            return self.costs.handshake
        if what == "owner":
            engine.owner_said(now, item[1], item[2])
        elif what == "machine":
            engine.machine_said(now, item[1], item[2])
        elif what == "up":
            engine.link_up(now, item[1], m.Welcome(name=item[1], incarnation=1))
        elif what == "confirmed":
            engine.list_said(now, m.ListConfirmed(number=item[1]))
        elif what == "list":
            size = 1e6
            engine.list_said(
                now,
                m.Listing(
                    version=1,
                    whole=True,
                    entries=[
                        m.Entry(
                            machine=n,
                            address=n,
                            mode="ready",
                            kind=self.config.estate.kinds[0].name,
                            incarnation=1,
                            cores_room=size,
                            memory_room=size,
                        )
                        for n in self.names
                    ],
                ),
            )
        return self.costs.frame

    def _perform(self, life: int, actions: list) -> None:
        if life != self.life or not self.up:
            return
        delay = self.population.delay
        for action in actions:
            if isinstance(action, EngineSend) and action.role == "owner":
                if action.peer in self.owners:
                    self.clock.at(
                        self.clock.now + delay,
                        self.population.receive,
                        action.peer,
                        self.owners[action.peer],
                        action.message,
                    )
            elif isinstance(action, EngineSend):
                self.clock.at(self.clock.now + delay, self._machine_receives, action.peer, action.message)
            elif isinstance(action, Dial):
                self._deliver_later(("up", action.machine))
            elif isinstance(action, FetchList):
                self._deliver_later(("list",))
            elif isinstance(action, AskList):
                self._deliver_later(("confirmed", action.number))

    def _deliver_later(self, item: tuple) -> None:
        self.clock.at(self.clock.now + 2 * self.population.delay, self._deliver, self.life, item)

    def _deliver(self, life: int, item: tuple) -> None:
        if life == self.life and self.up:
            self.inbox.append(item)
            self._notify()

    def _machine_receives(self, name: str, message: m.Message) -> None:
        """Lets a machine accept an offer, answer an inventory request or stop a guest."""
        here = self.placed[name]
        if isinstance(message, m.InventoryRequest):
            ended, self.unreported_ends[name] = self.unreported_ends[name], []
            self._deliver_later(("machine", name, m.Inventory(guests=[*here.values(), *ended])))
        elif isinstance(message, m.Offer):
            key = message.guest, message.ask
            here[key] = m.InventoryItem(
                guest=message.guest,
                ask=message.ask,
                attempt=message.attempt,
                state="runs",
                product=message.product,
                service=message.service,
                cores=message.cores,
                memory=message.memory,
                owner=message.owner,
            )
            self.population.counts["runs"] += 1
            self.clock.at(self.clock.now + message.life, self._end_guest, name, key)
            for kind in (m.OfferAccepted, m.Started):
                self._deliver_later(
                    ("machine", name, kind(guest=message.guest, ask=message.ask, attempt=message.attempt))
                )
        elif isinstance(message, m.Stop):
            self._end_guest(name, (message.guest, message.ask))

    def _end_guest(self, name: str, key: tuple[str, int]) -> None:
        if stand := self.placed[name].pop(key, None):
            if not self.up:
                self.unreported_ends[name].append(replace(stand, state="ended", how="done"))
            self._deliver_later(
                (
                    "machine",
                    name,
                    m.Ended(guest=stand.guest, ask=stand.ask, attempt=stand.attempt, how="done"),
                )
            )


class ClientPopulation:
    """Clients of one planner, the guests that they submit, and counters.

    `dials`, `frames` and `useful` count by tenth of a second. `counts` has the outcomes of guests as the
    clients saw them, and violations of the retry rules (late_retries has to stay 0).
    """

    def __init__(
        self,
        config: PlannerConfig,
        clients: int,
        seed: int,
        demand: Demand,
        policy: ClientPolicy,
        spread: bool = True,
        costs: Costs | None = None,
        machines: int = 8,
    ) -> None:
        self.clock, self.random, self.delay = Clock(), Random(f"town/{seed}"), 500
        self.demand, self.policy = demand, policy
        self.planner = EmulatedPlanner(self, config, costs or Costs(), machines)
        self.dials: Counter[int] = Counter()
        self.frames: Counter[int] = Counter()
        self.useful: Counter[int] = Counter()  # guests placed before their deadline
        self.counts: Counter[str] = Counter()
        self.connected_at: dict[str, int] = {}  # when each connected client was last welcomed
        self.last_connection = self.submitted = 0
        self.cores: dict[str, ClientCore] = {}
        self.wakes: dict[str, int] = {}
        self.connections: dict[str, int] = {}  # the number of each client's current connection
        self.generate_until = 0
        for number in range(clients):
            core = ClientCore(f"c{number}", ["p"], policy, self.random)
            if not spread:
                core.backoffs["p"] = FixedDelayBackoff()
            self.cores[core.name] = core

    def open(self, over: int) -> None:
        """Starts the planner, and the clients at random times within `over` microseconds."""
        self.planner.start()
        for core in self.cores.values():
            self.clock.at(int(self.random.uniform(0, over)), self._begin, core)

    def _begin(self, core: ClientCore) -> None:
        core.start(self.clock.now)
        self._act(core)

    def generate_guests(self, until: int) -> None:
        """Submits new guests until the time `until`, at the demand's rate, from clients drawn at random."""
        self.generate_until = until
        self.names = list(self.cores)
        self._generate()

    def _generate(self) -> None:
        if self.clock.now >= self.generate_until:
            return
        self.clock.at(
            self.clock.now + max(1, int(self.random.expovariate(self.demand.rate) * SECOND)), self._generate
        )
        core = self.cores[self.random.choice(self.names)]
        self.submitted += 1
        d = self.demand
        core.submit(
            self.clock.now,
            TaskRequest(
                f"g{self.submitted}",
                d.product,
                f"s{self.submitted % 20}",
                1.0,
                1.0,
                d.patience,
                d.effect,
                life=d.patience + d.life,
            ),
        )
        self._act(core)

    # Events of clients.

    def welcomed(self, name: str, number: int, spread: int) -> None:
        if self.planner.owners.get(name) != number or self.connections.get(name) != number:
            return
        self.connected_at[name] = self.clock.now
        core = self.cores[name]
        core.connected(self.clock.now, "p", spread)
        self._act(core)

    def receive(self, name: str, number: int, message: m.Message) -> None:
        if self.connections.get(name) == number:
            core = self.cores[name]
            core.receive(self.clock.now, "p", message)
            self._act(core)

    def lost(self, name: str, window: int) -> None:
        """Closes a client's connection; the client dials again within `window` microseconds if given."""
        self.connections.pop(name, None)
        self.connected_at.pop(name, None)
        core = self.cores[name]
        core.disconnected(self.clock.now, "p", window)
        self._act(core)

    def _dial(self, core: ClientCore) -> None:
        now = self.clock.now
        self.dials[now // BIN] += 1
        self.last_connection += 1
        office, number = self.planner, self.last_connection
        self.connections[core.name] = number
        retry_after = office.accept_dial(core.name, number) if office.up else 0
        if not office.up or retry_after:
            self.counts["put_off" if retry_after else "found_nobody"] += 1
            self.clock.at(now + 2 * self.delay, self._refused, core, retry_after)

    def _refused(self, core: ClientCore, retry_after: int) -> None:
        core.refused(self.clock.now, "p", retry_after)
        self._act(core)

    def _act(self, core: ClientCore) -> None:
        now = self.clock.now
        actions, core.actions = core.actions, []
        for action in actions:
            if isinstance(action, Send):
                self._send(core, action.message)
            elif isinstance(action, Connect):
                self._dial(core)
            elif isinstance(action, Leave):
                self.connections.pop(core.name, None)
                self.connected_at.pop(core.name, None)
                self.planner.owners.pop(core.name, None)
            elif isinstance(action, Notify):
                self._record_outcome(action)
        due = core.next_at()
        if due is not None and due < self.wakes.get(core.name, 1 << 62):
            self.wakes[core.name] = due
            self.clock.at(max(now, due), self._wake, core, due)

    def _wake(self, core: ClientCore, due: int) -> None:
        if self.wakes.get(core.name) == due:
            del self.wakes[core.name]
            core.advance(self.clock.now)
            self._act(core)

    def _send(self, core: ClientCore, message: m.Message) -> None:
        now, office = self.clock.now, self.planner
        if isinstance(message, m.Submit):
            pending = core.pending[message.guest]
            self.counts["asks"] += 1
            if message.ask:
                self.counts["retries"] += 1
                self.counts["late_retries"] += now + message.patience > pending.deadline
        if office.up and core.name in office.owners:
            self.frames[now // BIN] += 1
            self.clock.at(now + self.delay, self._arrive, office.life, core.name, message)

    def _arrive(self, life: int, name: str, message: m.Message) -> None:
        if self.planner.up and self.planner.life == life:
            self.planner.frame(name, message)

    def _record_outcome(self, tell: Notify) -> None:
        outcome = tell.outcome
        self.counts[outcome.state] += 1
        if outcome.state == "placed":
            self.useful[self.clock.now // BIN] += 1
            self.counts["retries_that_served"] += outcome.asks > 1

    # Results.

    def peak(self, bins: Counter, start: int) -> int:
        """The largest count of a tenth of a second from `start` on."""
        return max((n for at, n in bins.items() if at >= start // BIN), default=0)
