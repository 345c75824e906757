"""Shared by tests: a small deployment, machines, and a scheduler and an engine that are driven by hand."""

from hazelhold.config.planner import (
    FleetSettings,
    GuestClassConfig,
    LimitsConfig,
    ListConfig,
    MachineKindConfig,
    MachinesConfig,
    PlannerConfig,
)
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import AskList, Dial, ProposeChange, Send
from hazelhold.interface import (
    Decision,
    DecisionKind,
    Deployment,
    GuestClass,
    ListedMachine,
    MachineKind,
    MachineMode,
    RepeatSemantics,
    Scope,
    Submission,
)
from hazelhold.protocol import messages as m
from hazelhold.scheduler import Scheduler

MS = 1000
GUEST_CLASS = GuestClass(
    RepeatSemantics.IDEMPOTENT, Scope.ALL, 5000 * MS, 800 * MS, 1.0, 10.0, 0, 0.8, 0.2, -1, Scope.NOWHERE, 2
)
GUEST_CLASSES = (
    GUEST_CLASS,
    GUEST_CLASS._replace(repeat=RepeatSemantics.AT_MOST_ONCE),
    GUEST_CLASS._replace(repeat=RepeatSemantics.DEDUPLICATED, dedup_scope=Scope.CELL),
    GUEST_CLASS._replace(repeat=RepeatSemantics.DEDUPLICATED, dedup_scope=Scope.ALL),
    GUEST_CLASS._replace(spread_scope=Scope.MACHINE),
)
DEPLOYMENT = Deployment(
    planners=1,
    slot=0,
    guest_classes=GUEST_CLASSES,
    machine_kinds=(MachineKind(24.0, 40.0),),
    list_is_polled=True,
    list_poll_limit=10_000 * MS,
    list_shows_free=True,
    cores_multiple=2.5,
    memory_multiple=1.5,
    preempts=False,
    confirms_when_running=False,
    probing=True,
    reports_count_requested=False,
    max_dispatches=4,
    warmup_time=15_000 * MS,
    cold_from=0.2,
    cold_budget_window=2000 * MS,
    cold_offers=20.0,
    fleet_price=0.0,
)


def entry(
    name: str, mode: MachineMode = MachineMode.READY, started: int = 0, cell: int = 0, room: float = 24.0
) -> ListedMachine:
    return ListedMachine(name, mode, started, 0, cell, 0, room, room * 40 / 24)


def submission(name: str, product: int = 0, cores: float = 1.0, time_left: int = 5000 * MS) -> Submission:
    return Submission(name, product, 0, "service-" + str(product), cores, 2 * cores, time_left)


def scheduler(names: str = "ab", at: int = 0, **changes: object) -> Scheduler:
    """A scheduler that knows the named machines; each pair of them shares a cell."""
    made = Scheduler(7, DEPLOYMENT._replace(**changes))
    made.machines_listed(at, [entry(n, cell=i // 2) for i, n in enumerate(names)], True)
    return made


def decisions(made: Scheduler, now: int) -> list[Decision]:
    """All decisions at this timestamp except probes and list polls."""
    found = []
    while (decision := made.decide(now)) is not None:
        if decision.kind not in (DecisionKind.PROBE, DecisionKind.WATCH_LIST):
            found.append(decision)
    return found


def planner_config(**limits: object) -> PlannerConfig:
    """A planner's configuration with one guest class of each kind of repeat semantics."""
    products = [
        GuestClassConfig("plain", "rerunnable", 800, 5000),
        GuestClassConfig("once", "exclusive", 800, 5000),
        GuestClassConfig("ticket", "ticketed", 800, 5000, group="cell", window_ms=4000),
    ]
    estate = FleetSettings(
        products, [MachineKindConfig("box", 24, 40)], MachinesConfig(cores_multiple=2.5, probing=False)
    )
    return PlannerConfig("p0", "door", ListConfig("list"), estate, limits=LimitsConfig(**limits))


class EngineHarness:
    """An engine driven by hand. Dialled machines connect at once unless they are in `dead`.

    The list service sends the machines at 0 and then nothing; ConfirmedHarness has one that answers.
    """

    def __init__(self, machines: str = "ab", **limits: object) -> None:
        self.engine = Engine(planner_config(**limits), 1, 0)
        self.dead: set[str] = set()
        self.dialled: list[str] = []
        self.stands: dict[str, list[m.InventoryItem]] = {}
        self.lives: dict[str, int] = {}
        self.said: list[tuple[str, m.Message]] = []  # every message sent, with its receiver
        self.asks: list[ProposeChange] = []  # proposals to the other planners
        self.lists(0, [self.entry(name) for name in machines])

    def entry(self, name: str, mode: str = "ready", **more: object) -> m.Entry:
        return m.Entry(
            machine=name,
            address="at-" + name,
            mode=mode,
            kind="box",
            cores_room=24.0,
            memory_room=40.0,
            incarnation=self.lives.get(name, 1),
            **more,
        )

    def lists(self, now: int, entries: list[m.Entry], whole: bool = False) -> list[m.Message]:
        self.engine.list_said(now, m.Listing(version=1, whole=whole, entries=entries))
        return self.run(now)

    def run(self, now: int) -> list[m.Message]:
        """Runs the engine and its actions; returns the messages sent."""
        start = len(self.said)
        for _ in range(50):
            self.engine.pump(now)
            actions, self.engine.actions = self.engine.actions, []
            if not actions:
                break
            for action in actions:
                if isinstance(action, Send):
                    self.said.append((action.peer, action.message))
                elif isinstance(action, ProposeChange):
                    self.asks.append(action)
                elif isinstance(action, AskList):
                    self.asked_list(now, action.number)
                elif isinstance(action, Dial):
                    self.dialled.append(action.address)
                    if action.machine not in self.dead:
                        self.comes_up(now, action.machine)
        return [message for _, message in self.said[start:]]

    def asked_list(self, now: int, number: int) -> None:
        """The engine asks the list service for a confirmation, which it does not give."""

    def comes_up(self, now: int, name: str, complete: bool = True) -> None:
        self.engine.link_up(now, name, m.Welcome(name=name, incarnation=self.lives.get(name, 1)))
        self.engine.machine_said(now, name, m.Inventory(guests=self.stands.get(name, []), complete=complete))

    def submits(
        self,
        now: int,
        guest: str,
        product: str = "plain",
        ask: int = 0,
        patience: int = 5000 * MS,
        reason: str = "",
    ) -> list[m.Message]:
        self.engine.owner_said(
            now,
            "o",
            m.Submit(
                guest=guest,
                ask=ask,
                product=product,
                service="s" + product,
                cores=1.0,
                memory=2.0,
                patience=patience,
                reason=reason,
            ),
        )
        return self.run(now)

    def says(self, now: int, machine: str, message: m.Message) -> list[m.Message]:
        self.engine.machine_said(now, machine, message)
        return self.run(now)

    def owner(self, now: int, message: m.Message) -> list[m.Message]:
        self.engine.owner_said(now, "o", message)
        return self.run(now)

    def offer(self, now: int, guest: str, product: str = "plain", **more: object) -> tuple[m.Offer, str]:
        """Submits a guest; returns its offer and the machine that got it."""
        self.submits(now, guest, product, **more)
        offers = [
            (message, peer)
            for peer, message in self.said
            if isinstance(message, m.Offer) and message.guest == guest
        ]
        return offers[-1]

    def sent(self, kind: type, guest: str = "") -> list[m.Message]:
        return [
            message
            for _, message in self.said
            if isinstance(message, kind) and (not guest or message.guest == guest)
        ]


class ConfirmedHarness(EngineHarness):
    """A harness whose list service answers each question of the engine at once."""

    def __init__(self, machines: str = "ab", **limits: object) -> None:
        self.greeted = False
        super().__init__(machines, **limits)

    def lists(self, now: int, entries: list[m.Entry], whole: bool = False) -> list[m.Message]:
        if not self.greeted:
            self.greeted = True
            self.engine.list_greeted(now, m.Welcome(name="list", confirms=True))
        return super().lists(now, entries, whole)

    def asked_list(self, now: int, number: int) -> None:
        self.engine.list_said(now, m.ListConfirmed(number=number))


def stand(offer: m.Offer, state: str = "runs", how: str = "") -> m.InventoryItem:
    """A machine's inventory item for an offered guest."""
    return m.InventoryItem(
        guest=offer.guest,
        ask=offer.ask,
        attempt=offer.attempt,
        state=state,
        product=offer.product,
        service=offer.service,
        cores=offer.cores,
        memory=offer.memory,
        owner=offer.owner,
        how=how,
    )


def of(kind: type, offer: m.Offer, **more: object) -> m.Message:
    """A machine's message about an offer."""
    return kind(guest=offer.guest, ask=offer.ask, attempt=offer.attempt, **more)
