"""What one planner is told at its start, and what is shared by all planners of a deployment."""

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from hazelhold import interface
from hazelhold.config.fleetconfig import FleetConfigSection, check_section
from hazelhold.config.load import ConfigError, build, parse, read_text, split_address

Name = Annotated[str, Meta(min_length=1, max_length=100)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
NotNegative = Annotated[float, Meta(ge=0, le=1e9)]
Millis = Annotated[float, Meta(gt=0, le=86_400_000)]
Whole = Annotated[int, Meta(ge=0, le=1 << 31)]
EFFECTS = {
    "rerunnable": interface.RepeatSemantics.IDEMPOTENT,
    "ticketed": interface.RepeatSemantics.DEDUPLICATED,
    "exclusive": interface.RepeatSemantics.AT_MOST_ONCE,
}
PLACES = {
    "nowhere": interface.Scope.NOWHERE,
    "machine": interface.Scope.MACHINE,
    "cell": interface.Scope.CELL,
    "zone": interface.Scope.ZONE,
    "all": interface.Scope.ALL,
}


class ProductConfig(Struct, frozen=True):
    """One product: what a second run does, what is promised, how it bears crowded cores."""

    name: Name
    effect: Literal["rerunnable", "ticketed", "exclusive"]
    goal_ms: Millis
    patience_ms: Millis
    payoff: Positive = 1.0
    start_bonus_s: NotNegative = 8.0
    late_worth: NotNegative = 0.0
    priority: Annotated[int, Meta(ge=0, le=3)] = 0
    easy_until: Positive = 0.8
    lost_after: Positive = 0.2
    group: Literal["machine", "cell", "zone", "all"] = "all"
    window_ms: Millis = 5000.0
    kind: str = ""
    spread: Literal["nowhere", "machine", "cell", "zone"] = "nowhere"
    spread_most: Annotated[int, Meta(ge=1, le=1000)] = 2


class KindConfig(Struct, frozen=True):
    """One kind of machine."""

    name: Name
    cores: Positive
    memory: Positive


class MachinesConfig(Struct, frozen=True):
    """How the machines of this deployment take guests and what they tell."""

    cores_multiple: Annotated[float, Meta(ge=1, le=100)] = 1.0
    memory_multiple: Annotated[float, Meta(ge=1, le=100)] = 1.0
    makes_room: bool = False
    confirms: Literal["accepted", "running"] = "accepted"
    reports_count: Literal["used", "asked"] = "used"
    probing: bool = True
    max_dispatches: Annotated[int, Meta(ge=1, le=100)] = 4
    drain_grace_ms: Millis = 250.0
    cold_for_ms: Millis = 15000.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.25
    cold_window_ms: Millis = 2000.0
    cold_offers: Positive = 40.0
    tip_multiple: Positive = 2.5
    settle_ms: Millis = 3000.0
    price: NotNegative = 0.0


class ListConfig(Struct, frozen=True):
    """Where the list of machines comes from."""

    address: str
    asked: bool = True
    ask_within_ms: Millis = 10000.0
    has_room: bool = True
    frame_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 1 << 23  # its longest frame: a whole list


class LimitsConfig(Struct, frozen=True):
    """Bounds on peers and on time."""

    frame_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 1 << 20
    hello_ms: Millis = 2000.0
    connect_ms: Millis = 250.0
    reconnect_ms: Millis = 2000.0
    probe_ms: Millis = 250.0
    idle_close_ms: Millis = 60000.0
    silent_ms: Millis = 3500.0  # a machine that has guests and says nothing for so long is looked for
    lost_ms: Millis = 6000.0  # one that says nothing for so long, asked on a new connection, has lost them
    send_bytes: Annotated[int, Meta(ge=4096, le=1 << 30)] = 1 << 20
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 4096
    links: Annotated[int, Meta(ge=1, le=100_000)] = 100_000  # connections to machines at a time
    open_guests: Annotated[int, Meta(ge=1, le=10_000_000)] = 100_000
    patience_ms: Millis = 600_000.0
    keep_answers_ms: Millis = 30_000.0
    stop_ms: Millis = 3000.0
    handshakes_a_second: Annotated[float, Meta(gt=0, le=1e6)] = 500.0
    handshake_burst: Annotated[int, Meta(ge=1, le=100_000)] = 200
    handshakes_at_once: Annotated[int, Meta(ge=1, le=100_000)] = 512
    return_most_ms: Millis = 60_000.0  # the longest advised return of a connection
    return_spread_ms: Millis = 2000.0  # over how long owners are asked to spread after a stop
    again_least_ms: Millis = 100.0  # bounds of a turn-back's advised wait
    again_most_ms: Millis = 5000.0
    batch_ms: Annotated[float, Meta(ge=0, le=1000)] = 2.0
    decisions_at_once: Annotated[int, Meta(ge=1, le=1_000_000)] = 32  # before peers are read again


class CaptureConfig(Struct, frozen=True):
    """Where the planner's exchanges are captured, and how much disk that may take."""

    file: str = ""  # empty: no capture; .pcapng for that format, else classic pcap
    rotate_mb: Annotated[float, Meta(ge=0, le=1e6)] = 0.0  # 0: one file that grows
    rotate_s: Annotated[float, Meta(ge=0, le=1e7)] = 0.0
    total_mb: Annotated[float, Meta(ge=0, le=1e7)] = 0.0  # 0: no bound; the oldest files go
    queue_mb: Annotated[float, Meta(gt=0, le=1024)] = 16.0


class StateConfig(Struct, frozen=True):
    """Where the planner keeps what must outlive its process."""

    folder: str = ""  # empty: nothing is kept
    slow_ms: Millis = 2000.0  # a commit that takes longer counts as a failed disk
    learned_s: Annotated[float, Meta(gt=0, le=86_400)] = 5.0  # how often what was learned is kept
    retry_ms: Millis = 1000.0  # how often a failed disk is tried again


class MembershipConfig(Struct, frozen=True):
    """Whom of the other planners this one knows to be there. A hint: nothing that a rule rests on follows
    from it. Addresses are IP address and port."""

    listen: str = ""  # where its datagrams come, UDP; empty: off
    seeds: list[str] = []  # members to join by, any of them
    deployment: Name = "hazelhold"  # planners of other deployments are strangers
    zone: Annotated[str, Meta(max_length=60)] = ""
    advertise: str = ""  # where others reach it, if that is not `listen`
    reach: dict[str, str] = {}  # by name or by told address: where it is reached from here
    metrics: str = ""  # address for Prometheus; empty: none
    probe_ms: Millis = 250.0  # how often another member is probed
    answer_ms: Millis = 200.0  # a probe has failed after four of these
    suspect_ms: Millis = 1500.0  # a suspicion that others confirm waits so long
    suspect_most_ms: Millis = 6000.0  # one that nobody confirms
    sync_ms: Millis = 10_000.0  # how often whole tables are compared
    heal_ms: Millis = 2000.0  # how often somebody who is gone is tried
    forget_s: Annotated[float, Meta(ge=1, le=1e7)] = 3600.0  # how long who is gone or left is kept
    most_members: Annotated[int, Meta(ge=2, le=100_000)] = 4096


class CopiesPlanner(Struct, frozen=True):
    """One planner of the agreed set."""

    name: Name
    address: str  # where its copies are reached, TCP: IP address and port
    zone: Annotated[str, Meta(max_length=60)] = ""


class CopiesConfig(Struct, frozen=True):
    """What the planners agree on, and keep for each other. The set and its epoch are the same in the files of
    all."""

    listen: str = ""  # where the others reach this one, TCP; empty: off
    folder: str = ""  # for its votes: a folder of its own, made by `hazelhold copies found`
    epoch: Annotated[int, Meta(ge=1, le=1 << 31)] = 1
    planners: list[CopiesPlanner] = []
    replicas: Annotated[int, Meta(ge=1, le=15)] = 3  # how many keep each value; odd
    deployment: Name = "hazelhold"
    reach: dict[str, str] = {}  # by name: where it is reached from here, if not at its address
    claim_ms: Millis = 500.0  # a claim that is not agreed within it is refused
    keep_s: Annotated[float, Meta(ge=60, le=1e9)] = 86_400.0  # how long the claim of an ended guest is kept
    slow_ms: Millis = 2000.0  # a commit of votes that takes longer counts as a failed disk
    retry_ms: Millis = 1000.0  # how often a failed disk is tried again


class Estate(Struct, frozen=True):
    """What all planners and stand-ins of a deployment agree on."""

    products: Annotated[list[ProductConfig], Meta(min_length=1)]
    kinds: Annotated[list[KindConfig], Meta(min_length=1)]
    fleet: MachinesConfig
    customers: list[Name] = []


class PlannerConfig(Struct, frozen=True):
    """The configuration file of one planner."""

    name: Name
    listen: str
    list: ListConfig
    estate: Estate
    slot: Whole = 0
    planners: Annotated[int, Meta(ge=1, le=100_000)] = 1
    seed: Whole = 0
    limits: LimitsConfig = LimitsConfig()
    capture: CaptureConfig = CaptureConfig()
    state: StateConfig = StateConfig()
    membership: MembershipConfig = MembershipConfig()
    copies: CopiesConfig = CopiesConfig()
    fleetconfig: FleetConfigSection = FleetConfigSection()


def micros(millis: float) -> int:
    return round(millis * 1000)


def check_estate(estate: Estate, place: str = "estate") -> list[tuple[str, str]]:
    """What is wrong with an estate as a whole: names twice, times that contradict one another."""
    faults = []
    for field, names in (
        ("products", [p.name for p in estate.products]),
        ("kinds", [k.name for k in estate.kinds]),
        ("customers", estate.customers),
    ):
        faults += [
            (f"{place}.{field}[{at}]", f"the name {name!r} is there twice")
            for at, name in enumerate(names)
            if name in names[:at]
        ]
    kinds = {k.name for k in estate.kinds}
    for at, product in enumerate(estate.products):
        here = f"{place}.products[{at}]"
        if product.goal_ms > product.patience_ms:
            faults.append((f"{here}.goal_ms", "the goal time lies past the patience"))
        if product.kind and product.kind not in kinds:
            faults.append((f"{here}.kind", f"no kind of machine is called {product.kind!r}"))
    return faults


def check_addresses(part: str, given: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """What is wrong with a part's addresses, by place: each is IP address and port; `listen` may take any."""
    faults = []
    for place, text in given:
        try:
            host, port = split_address(text)
            ip_address(host)
            if not port and place != "listen":
                faults.append((f"{part}.{place}", "needs a port"))
        except ValueError as wrong:
            faults.append((f"{part}.{place}", f"{wrong}"))
    return faults


def check_membership(config: MembershipConfig) -> list[tuple[str, str]]:
    """Only if it is on: a section that names no `listen` is off, and then nothing else may be set."""
    if not config.listen:
        wrong = "is missing: without it membership is off, but other keys are set"
        return [("membership.listen", wrong)] if config != MembershipConfig() else []
    given = [
        ("listen", config.listen),
        *((f"seeds[{at}]", seed) for at, seed in enumerate(config.seeds)),
        *((f"reach[{name!r}]", to) for name, to in config.reach.items()),
        *((key, text) for key in ("advertise", "metrics") if (text := getattr(config, key))),
    ]
    faults = check_addresses("membership", given)
    told = config.advertise or config.listen
    if not faults and split_address(told)[0] in ("0.0.0.0", "::"):
        faults.append(("membership.advertise", "is needed: nobody is reached at 0.0.0.0"))
    if config.suspect_most_ms < config.suspect_ms:
        faults.append(("membership.suspect_most_ms", "is less than suspect_ms"))
    return faults


def check_copies(config: "PlannerConfig") -> list[tuple[str, str]]:
    """Only if it is on, as with membership."""
    copies = config.copies
    if not copies.listen:
        wrong = "is missing: without it copies are off, but other keys are set"
        return [("copies.listen", wrong)] if copies != CopiesConfig() else []
    names = [p.name for p in copies.planners]
    given = [
        ("listen", copies.listen),
        *((f"reach[{name!r}]", to) for name, to in copies.reach.items()),
        *((f"planners[{at}].address", p.address) for at, p in enumerate(copies.planners)),
    ]
    faults = check_addresses("copies", given)
    faults += [
        (f"copies.planners[{at}].name", f"the name {name!r} is there twice")
        for at, name in enumerate(names)
        if name in names[:at]
    ]
    faults += [
        (f"copies.reach[{name!r}]", "is no planner of the set") for name in copies.reach if name not in names
    ]
    if config.name not in names:
        faults.append(("copies.planners", f"this planner, {config.name!r}, is not among them"))
    if not copies.folder:
        faults.append(("copies.folder", "is missing: votes have to outlive the process"))
    elif copies.folder == config.state.folder:
        faults.append(("copies.folder", "is that of the state: votes need one of their own"))
    if copies.replicas % 2 == 0:
        faults.append(("copies.replicas", "is even: an odd number bears as many losses with one less"))
    if copies.replicas > len(names):
        faults.append(("copies.replicas", f"is more than the {len(names)} planners of the set"))
    if config.capture.file:
        faults.append(("copies", "a capture cannot be replayed with claims in it yet: not both"))
    return faults


def check_planner(config: PlannerConfig) -> list[tuple[str, str]]:
    faults = check_estate(config.estate)
    for place, text in (("listen", config.listen), ("list.address", config.list.address)):
        try:
            split_address(text)
        except ValueError as wrong:
            faults.append((place, str(wrong)))
    faults += check_membership(config.membership)
    faults += check_copies(config)
    faults += check_section(config.fleetconfig, config.name, config.state.folder, bool(config.capture.file))
    if config.slot >= config.planners:
        faults.append(("slot", f"planner {config.slot} of {config.planners}: slots count from 0"))
    if config.capture.total_mb and not 0 < config.capture.rotate_mb <= config.capture.total_mb / 2:
        faults.append(("capture.rotate_mb", "a bound on the total needs files of at most half of it"))
    if config.limits.stop_ms > 60_000:
        faults.append(("limits.stop_ms", "a stop takes a minute at most"))
    return faults


def read_planner(path: Path) -> PlannerConfig:
    """The checked configuration in a file; ConfigError names all that is wrong with it."""
    config = build(PlannerConfig, parse(read_text(path), str(path)), str(path))
    if faults := check_planner(config):
        raise ConfigError(str(path), faults)
    return config


def deployment(config: PlannerConfig) -> interface.Deployment:
    """The start facts for the module."""
    estate, fleet = config.estate, config.estate.fleet
    kinds = [k.name for k in estate.kinds]
    products = tuple(
        interface.GuestClass(
            repeat=EFFECTS[p.effect],
            dedup_scope=PLACES[p.group],
            dedup_window=micros(p.window_ms),
            start_target=micros(p.goal_ms),
            value=p.payoff,
            start_value=p.start_bonus_s,
            priority=p.priority,
            full_service_load=p.easy_until,
            service_fade=p.lost_after,
            machine_kind=kinds.index(p.kind) if p.kind else -1,
            spread_scope=PLACES[p.spread],
            spread_limit=p.spread_most,
        )
        for p in estate.products
    )
    return interface.Deployment(
        planners=config.planners,
        slot=config.slot,
        guest_classes=products,
        machine_kinds=tuple(interface.MachineKind(k.cores, k.memory) for k in estate.kinds),
        list_is_polled=config.list.asked,
        list_poll_limit=micros(config.list.ask_within_ms),
        list_shows_free=config.list.has_room,
        cores_multiple=fleet.cores_multiple,
        memory_multiple=fleet.memory_multiple,
        preempts=fleet.makes_room,
        confirms_when_running=fleet.confirms == "running",
        probing=fleet.probing,
        reports_count_requested=fleet.reports_count == "asked",
        max_dispatches=fleet.max_dispatches,
        warmup_time=micros(fleet.cold_for_ms),
        cold_from=fleet.cold_from,
        cold_budget_window=micros(fleet.cold_window_ms),
        cold_offers=fleet.cold_offers,
        fleet_price=fleet.price,
    )
