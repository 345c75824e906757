"""Many clients round one planner, in virtual time: losses, returns and overload at any number of clients.

The clients' cores, the planner's door and its engine with the module are the ones that run on sockets.
Emulated are the network (a fixed delay; a connection breaks for both sides at once), the machines (they take
what is offered and end it when its life is over) and the planner's processor, one queue in which each thing
has a cost: `Costs`, measured by bench.throughput on one core. Without costs an overload would show nothing,
since everything would be done at once.
"""

from collections import Counter, deque
from random import Random
from typing import NamedTuple

from msgspec.structs import replace

from hazelhold.client.core import ClientCore
from hazelhold.client.types import ClientPolicy, Connect, Leave, Send, TaskRequest, Tell
from hazelhold.config.planner import PlannerConfig
from hazelhold.emulate.clock import Clock
from hazelhold.engine.advice import Doorman
from hazelhold.engine.cases import AskList, Dial
from hazelhold.engine.cases import Send as Say
from hazelhold.engine.engine import Engine
from hazelhold.protocol import messages as m

SECOND = 1_000_000
BIN = SECOND // 10


class Costs(NamedTuple):
    """What a planner's processor takes, in microseconds."""

    handshake: int = 150
    frame: int = 12
    decision: int = 900
    refusal: int = 10  # of an ask, beside its frame: bench.overload --costs


class Demand(NamedTuple):
    """What each client wants: guests a second over all clients, for how long, with which patience."""

    rate: float
    patience: int = 2 * SECOND
    life: int = 5 * SECOND
    effect: str = "rerunnable"
    product: str = "plain"


class FixedDelayBackoff:
    """What clients do without spreading: dial again after a fixed wait, whatever they are told."""

    def __init__(self, wait: int = SECOND // 20) -> None:
        self.gap = wait

    def succeeded(self, usual: int = 0) -> None:
        """Nothing is remembered."""

    def lost(self, window: int) -> None:
        """Nothing is remembered."""

    def wait(self, advised: int = 0, urgent: bool = False) -> int:
        return self.gap

    def cap(self, urgent: bool) -> int:
        return self.gap


class EmulatedPlanner:
    """The planner: a door, an engine, one processor; and the machines behind it, which outlive it."""

    def __init__(self, town: "ClientPopulation", config: PlannerConfig, costs: Costs, machines: int) -> None:
        self.town, self.config, self.costs = town, config, costs
        self.clock = town.clock
        self.names = [f"m{n:03d}" for n in range(machines)]
        self.stands: dict[str, dict[tuple[str, int], m.Stand]] = {n: {} for n in self.names}
        self.missed: dict[str, list[m.Stand]] = {n: [] for n in self.names}  # ends that no planner heard
        self.life = 0
        self.up = False

    def start(self) -> None:
        limits, self.life, self.up = self.config.limits, self.life + 1, True
        self.engine = Engine(self.config, self.life, self.clock.now)
        self.door = Doorman(
            limits.handshakes_a_second,
            limits.handshake_burst,
            limits.handshakes_at_once,
            round(limits.return_most_ms * 1000),
            Random(f"door/{self.life}"),
        )
        self.owners: dict[str, int] = {}  # who is connected, and by which connection
        self.inbox: deque[tuple] = deque()
        self.greeting = 0
        self.free_at = self.clock.now
        self.wakes_at: int | None = None
        self.inbox.append(("list",))
        self._stir()

    def stop(self, last_words: bool) -> None:
        """The end of this life; what is connected hears of it at once, with last words or without."""
        self.up = False
        window = self._window() if last_words else 0
        for owner in list(self.owners):
            self.town.lost(owner, window)
        self.owners.clear()

    def _window(self) -> int:
        return self.door.window(round(self.config.limits.return_spread_ms * 1000), len(self.owners))

    def reached(self, owner: str, number: int) -> int:
        """A dial: 0 if it may go on, else in how many microseconds to come back."""
        later = self.door.admits(self.clock.now, self.greeting)
        if not later:
            self.greeting += 1
            self.inbox.append(("hello", owner, number))
            self._stir()
        return later

    def frame(self, owner: str, message: m.Message) -> None:
        self.inbox.append(("owner", owner, message))
        self._stir()

    def _stir(self) -> None:
        """Has the processor work as soon as it is free."""
        self._wake(max(self.clock.now, self.free_at))

    def _wake(self, when: int) -> None:
        if self.wakes_at is None or when < self.wakes_at:
            self.wakes_at = when
            self.clock.at(when, self._work, self.life, when)

    def _work(self, life: int, when: int) -> None:
        """What a turn of the service does: reads what has come, lets the engine decide, sends what it
        said."""
        if life != self.life or not self.up or when != self.wakes_at:
            return
        self.wakes_at = None
        now, spent, engine = self.clock.now, 0, self.engine
        came, self.inbox = self.inbox, deque()
        answers: list = []
        for item in came:
            spent += self._read(now, item)
        taken = engine.counts["dispatches"]
        refused = sum(n for what, n in engine.counts.items() if what.startswith("rejected_"))
        engine.pump(now)
        spent += (engine.counts["dispatches"] - taken) * self.costs.decision
        spent += (refused - self.refused_before) * self.costs.refusal
        self.refused_before = refused
        answers, engine.actions = engine.actions, []
        self.free_at = now + spent
        self.clock.at(self.free_at, self._say, life, answers)
        due = engine.next_at(now)
        if due is not None:
            self._wake(max(due, self.free_at + 1))
        if self.inbox:
            self._stir()

    refused_before = 0

    def _read(self, now: int, item: tuple) -> int:
        what, engine = item[0], self.engine
        if what == "hello":
            self.greeting -= 1
            self.owners[item[1]] = item[2]
            self.clock.at(now + self.town.delay, self.town.welcomed, item[1], item[2], self._window())
            return self.costs.handshake
        if what == "owner":
            engine.owner_said(now, item[1], item[2])
        elif what == "machine":
            engine.machine_said(now, item[1], item[2])
        elif what == "up":
            engine.link_up(now, item[1], m.Welcome(name=item[1], incarnation=1))
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

    def _say(self, life: int, actions: list) -> None:
        if life != self.life or not self.up:
            return
        delay = self.town.delay
        for action in actions:
            if isinstance(action, Say) and action.role == "owner":
                if action.peer in self.owners:
                    self.clock.at(
                        self.clock.now + delay,
                        self.town.heard,
                        action.peer,
                        self.owners[action.peer],
                        action.message,
                    )
            elif isinstance(action, Say):
                self.clock.at(self.clock.now + delay, self._machine, action.peer, action.message)
            elif isinstance(action, Dial):
                self._later(("up", action.machine))
            elif isinstance(action, AskList):
                self._later(("list",))

    def _later(self, item: tuple) -> None:
        self.clock.at(self.clock.now + 2 * self.town.delay, self._arrives, self.life, item)

    def _arrives(self, life: int, item: tuple) -> None:
        if life == self.life and self.up:
            self.inbox.append(item)
            self._stir()

    def _machine(self, name: str, said: m.Message) -> None:
        """A machine: takes what it is offered, tells what it has, ends what it is told to stop."""
        here = self.stands[name]
        if isinstance(said, m.Roll):
            missed, self.missed[name] = self.missed[name], []
            self._later(("machine", name, m.Running(guests=[*here.values(), *missed])))
        elif isinstance(said, m.Offer):
            key = said.guest, said.ask
            here[key] = m.Stand(
                guest=said.guest,
                ask=said.ask,
                attempt=said.attempt,
                state="runs",
                product=said.product,
                service=said.service,
                cores=said.cores,
                memory=said.memory,
                owner=said.owner,
            )
            self.town.counts["runs"] += 1
            self.clock.at(self.clock.now + said.life, self._over, name, key)
            for kind in (m.Taken, m.Started):
                self._later(("machine", name, kind(guest=said.guest, ask=said.ask, attempt=said.attempt)))
        elif isinstance(said, m.Stop):
            self._over(name, (said.guest, said.ask))

    def _over(self, name: str, key: tuple[str, int]) -> None:
        if stand := self.stands[name].pop(key, None):
            if not self.up:
                self.missed[name].append(replace(stand, state="ended", how="done"))
            self._later(
                (
                    "machine",
                    name,
                    m.Ended(guest=stand.guest, ask=stand.ask, attempt=stand.attempt, how="done"),
                )
            )


class ClientPopulation:
    """The clients, their demand, and what is counted.

    `bins` has, for each tenth of a second, dials and frames that reached the planner; `counts` what became of
    the guests, as the clients saw it, and broken promises (late_retries: 0).
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
        self.useful: Counter[int] = Counter()  # guests placed within their patience, by tenth of a second
        self.counts: Counter[str] = Counter()
        self.back: dict[str, int] = {}  # when each client was welcomed last
        self.numbers = self.made = 0
        self.cores: dict[str, ClientCore] = {}
        self.wakes: dict[str, int] = {}
        self.links: dict[str, int] = {}  # the connection that each client has, 0 while dialling
        self.fresh_until = 0
        for number in range(clients):
            core = ClientCore(f"c{number}", ["p"], policy, self.random)
            if not spread:
                core.backoffs["p"] = FixedDelayBackoff()
            self.cores[core.name] = core

    def open(self, over: int) -> None:
        """Starts the planner, and the clients over a span."""
        self.planner.start()
        for core in self.cores.values():
            self.clock.at(int(self.random.uniform(0, over)), self._begin, core)

    def _begin(self, core: ClientCore) -> None:
        core.start(self.clock.now)
        self._act(core)

    def want(self, until: int) -> None:
        """Fresh guests come from now until then, at the demand's rate, from clients drawn at random."""
        self.fresh_until = until
        self.names = list(self.cores)
        self._fresh()

    def _fresh(self) -> None:
        if self.clock.now >= self.fresh_until:
            return
        self.clock.at(
            self.clock.now + max(1, int(self.random.expovariate(self.demand.rate) * SECOND)), self._fresh
        )
        core = self.cores[self.random.choice(self.names)]
        self.made += 1
        d = self.demand
        core.submit(
            self.clock.now,
            TaskRequest(
                f"g{self.made}",
                d.product,
                f"s{self.made % 20}",
                1.0,
                1.0,
                d.patience,
                d.effect,
                life=d.patience + d.life,
            ),
        )
        self._act(core)

    # What happens to clients.

    def welcomed(self, name: str, number: int, spread: int) -> None:
        if self.planner.owners.get(name) != number or self.links.get(name) != number:
            return
        self.back[name] = self.clock.now
        core = self.cores[name]
        core.connected(self.clock.now, "p", spread)
        self._act(core)

    def heard(self, name: str, number: int, message: m.Message) -> None:
        if self.links.get(name) == number:
            core = self.cores[name]
            core.said(self.clock.now, "p", message)
            self._act(core)

    def lost(self, name: str, window: int) -> None:
        """The connection of a client is gone."""
        self.links.pop(name, None)
        self.back.pop(name, None)
        core = self.cores[name]
        core.disconnected(self.clock.now, "p", window)
        self._act(core)

    def _dial(self, core: ClientCore) -> None:
        now = self.clock.now
        self.dials[now // BIN] += 1
        self.numbers += 1
        office, number = self.planner, self.numbers
        self.links[core.name] = number
        later = office.reached(core.name, number) if office.up else 0
        if not office.up or later:
            self.counts["put_off" if later else "found_nobody"] += 1
            self.clock.at(now + 2 * self.delay, self._refused, core, later)

    def _refused(self, core: ClientCore, later: int) -> None:
        core.refused(self.clock.now, "p", later)
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
                self.links.pop(core.name, None)
                self.back.pop(core.name, None)
                self.planner.owners.pop(core.name, None)
            elif isinstance(action, Tell):
                self._told(action)
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
            task = core.pending[message.guest]
            self.counts["asks"] += 1
            if message.ask:
                self.counts["retries"] += 1
                self.counts["late_retries"] += now + message.patience > task.deadline
        if office.up and core.name in office.owners:
            self.frames[now // BIN] += 1
            self.clock.at(now + self.delay, self._reach, office.life, core.name, message)

    def _reach(self, life: int, name: str, message: m.Message) -> None:
        if self.planner.up and self.planner.life == life:
            self.planner.frame(name, message)

    def _told(self, tell: Tell) -> None:
        outcome = tell.outcome
        self.counts[outcome.state] += 1
        if outcome.state == "placed":
            self.useful[self.clock.now // BIN] += 1
            self.counts["retries_that_served"] += outcome.asks > 1

    # What is read off.

    def peak(self, bins: Counter, start: int) -> int:
        """The fullest tenth of a second from then on."""
        return max((n for at, n in bins.items() if at >= start // BIN), default=0)
