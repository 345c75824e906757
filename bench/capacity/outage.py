"""One planner's engine while workers are away and when they return: virtual time, no sockets.

Every worker of the fleet is listed and connected. The first `away` of them hold one task of this planner
each. What the planner does is counted as its engine asks for it: dials, messages and their bytes. Limits are
the program's defaults.
"""

import time
from collections import Counter

from bench import throughput
from bench.capacity import workers
from hazelhold.config.planner import LimitsConfig
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Dial, Send
from hazelhold.engine.settings import PeerCapabilities, engine_settings
from hazelhold.protocol import messages as m

SECOND = 1_000_000
START = 3600 * SECOND  # when the outage begins; no worker is cold then
ROUND_TRIP = 1000  # microseconds until a dial is refused or answered
OWN_PROTOCOL = PeerCapabilities()
HELLO_BYTES = len(m.encode(m.Hello(role="planner", name="planner-000")))


def stand(number: int) -> m.InventoryItem:
    """How the worker tells of its one task of this planner."""
    service, cores, memory = throughput.shape(number)
    return m.InventoryItem(
        guest=f"task-{number:08d}",
        ask=0,
        attempt=0,
        state="runs",
        product="plain",
        service=service,
        cores=cores,
        memory=memory,
        owner="client-0",
    )


class Outage:
    """An engine whose first `away` workers stop answering. `refuses`: their machines are up and refuse
    connections, as after the end of a process; else dials are answered by nobody."""

    def __init__(
        self, listed: int, away: int, peers: PeerCapabilities = OWN_PROTOCOL, refuses: bool = True
    ) -> None:
        terms = engine_settings(throughput.planner_config())._replace(limits=LimitsConfig(), peers=peers)
        self.engine = Engine(terms, 1, START)
        self.names = [workers.name(number) for number in range(away)]
        self.refuses, self.now, self.version = refuses, START, 1
        self.dead: set[str] = set()
        self.lives = dict.fromkeys(self.names, 1)
        self.counts: Counter[str] = Counter()
        self.lost_at: list[int] = []  # when an owner was told that its task is lost
        self.failing: list[tuple[int, str]] = []  # dials that will be refused, and when
        self.processor = 0.0  # seconds inside the engine
        self.engine.list_greeted(START, m.Welcome(name="list"))  # confirmations are not counted here
        self._list(True, workers.entries(listed))
        if peers.reports_inventory:
            for number in range(listed):
                self._answer(workers.name(number), [stand(number)] if number < away else [])
        else:
            self._place(away)
        self.counts.clear()
        self.failing.clear()
        self.processor = 0.0

    def _list(self, whole: bool, entries: list[m.Entry]) -> None:
        self.version += 1
        listing = m.Listing(version=self.version, whole=whole, entries=entries)
        self.counts["list bytes"] += len(m.encode(listing))
        self._call(self.engine.list_said, listing)

    def _place(self, tasks: int) -> None:
        """Where workers tell nothing of what they hold, tasks are asked for and offered."""
        for number in range(tasks):
            service, cores, memory = throughput.shape(number)
            submit = m.Submit(
                guest=f"task-{number:08d}",
                ask=0,
                product="plain",
                service=service,
                cores=cores,
                memory=memory,
                patience=60 * SECOND,
            )
            self._call(self.engine.owner_said, "client-0", submit)
        self.run(2 * SECOND)

    def placed(self) -> int:
        """Tasks that stand on workers."""
        return sum(case.placed for case in self.engine.records.values())

    def _answer(self, name: str, stands: list[m.InventoryItem]) -> None:
        """The worker takes a connection: hello, welcome, roll call, what it has."""
        if name not in self.engine.links or self.engine.links[name].state != "dialling":
            return
        if not self.engine.peers.reports_inventory:
            self._call(self.engine.link_up, name)
            return
        welcome = m.Welcome(name=name, incarnation=self.lives.get(name, 1), up_for=SECOND)
        running = m.Inventory(guests=stands)
        self.counts["messages"] += 3
        self.counts["bytes"] += HELLO_BYTES + len(m.encode(welcome)) + len(m.encode(running))
        self._call(self.engine.link_up, name, welcome)
        self._call(self.engine.machine_said, name, running)

    def _call(self, method: object, *given: object) -> None:
        began = time.process_time()
        method(self.now, *given)
        self.processor += time.process_time() - began
        self._carry_out()

    def _carry_out(self) -> None:
        actions, self.engine.actions = self.engine.actions, []
        for action in actions:
            if isinstance(action, Dial):
                self._dial(action.machine)
            elif isinstance(action, Send) and action.role == "machine":
                self.counts["messages"] += 1
                self.counts["bytes"] += len(m.encode(action.message))
                if isinstance(action.message, m.Offer) and action.peer not in self.dead:
                    said = action.message
                    taken = m.OfferAccepted(guest=said.guest, ask=said.ask, attempt=said.attempt)
                    self._call(self.engine.machine_said, action.peer, taken)
            elif isinstance(action, Send) and isinstance(action.message, m.GuestEnded):
                self.lost_at.append(self.now)

    def _dial(self, name: str) -> None:
        self.counts["dials"] += 1
        if name not in self.dead:
            self.failing.append((self.now, name))
        elif self.refuses:
            self.failing.append((self.now + ROUND_TRIP, name))

    def _dialled(self) -> None:
        """Dials that are decided by now."""
        due = [name for at, name in self.failing if at <= self.now]
        self.failing = [(at, name) for at, name in self.failing if at > self.now]
        for name in due:
            if name in self.dead:
                self._call(self.engine.link_failed, name, True)
            else:
                self._answer(name, [])

    def run(self, span: int, until_told: int = 0) -> None:
        """On for so many microseconds, or until owners of so many tasks were told that they are lost."""
        end = self.now + span
        while self.now < end and not (until_told and len(self.lost_at) >= until_told):
            self._call(self.engine.pump)
            self._dialled()
            began = time.process_time()
            due = [at for at, _ in self.failing] + [self.engine.next_at(self.now) or end]
            self.processor += time.process_time() - began
            self.now = min(end, max(min(due), self.now + ROUND_TRIP))

    def lose(self, broken: bool = True) -> None:
        """The workers stop answering; `broken`: their connections end, else nothing is heard any more."""
        self.dead.update(self.names)
        if broken:
            for name in self.names:
                self._call(self.engine.link_down, name)

    def leave(self) -> None:
        """The list tells that they are gone."""
        gone = [workers.entry(number) for number in range(len(self.names))]
        for entry in gone:
            entry.mode = "gone"
        self._list(False, gone)

    def come_back(self) -> None:
        """They run again, in a new life, and the list tells so."""
        self.dead.clear()
        self.lives.update(dict.fromkeys(self.names, 2))
        self._list(False, [workers.entry(number, incarnation=2) for number in range(len(self.names))])
        self.run(2 * ROUND_TRIP)
