"""The configuration file of a planner, with the settings that all planners of a deployment share.

Keys that end in `_ms` or `_s` are durations in milliseconds or seconds.
"""

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
REPEAT_SEMANTICS = {
    "rerunnable": interface.RepeatSemantics.IDEMPOTENT,
    "ticketed": interface.RepeatSemantics.DEDUPLICATED,
    "exclusive": interface.RepeatSemantics.AT_MOST_ONCE,
}
SCOPES = {
    "nowhere": interface.Scope.NOWHERE,
    "machine": interface.Scope.MACHINE,
    "cell": interface.Scope.CELL,
    "zone": interface.Scope.ZONE,
    "all": interface.Scope.ALL,
}


class GuestClassConfig(Struct, frozen=True):
    """One guest class: what a repeated run does, its service targets, and how it tolerates busy cores."""

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


class MachineKindConfig(Struct, frozen=True):
    """One kind of machine, with its cores and memory."""

    name: Name
    cores: Positive
    memory: Positive


class MachinesConfig(Struct, frozen=True):
    """How the machines of this deployment admit guests, and what they report."""

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
    """Where the list of machines comes from, and how it is read."""

    address: str
    asked: bool = True
    ask_within_ms: Millis = 10000.0
    has_room: bool = True
    frame_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 1 << 23  # a whole list is one frame


class LimitsConfig(Struct, frozen=True):
    """Limits on connections, messages and time."""

    frame_bytes: Annotated[int, Meta(ge=1024, le=1 << 28)] = 1 << 20
    hello_ms: Millis = 2000.0
    connect_ms: Millis = 250.0
    reconnect_ms: Millis = 2000.0
    probe_ms: Millis = 250.0
    idle_close_ms: Millis = 60000.0
    silent_ms: Millis = 3500.0  # a machine with guests that sends nothing for this time is checked
    lost_ms: Millis = 6000.0  # one that stays silent for this time, also on a new connection, has lost them
    send_bytes: Annotated[int, Meta(ge=4096, le=1 << 30)] = 1 << 20
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 4096
    links: Annotated[int, Meta(ge=1, le=100_000)] = 100_000  # concurrent connections to machines
    open_guests: Annotated[int, Meta(ge=1, le=10_000_000)] = 100_000
    patience_ms: Millis = 600_000.0
    keep_answers_ms: Millis = 30_000.0
    stop_ms: Millis = 3000.0
    handshakes_a_second: Annotated[float, Meta(gt=0, le=1e6)] = 500.0
    handshake_burst: Annotated[int, Meta(ge=1, le=100_000)] = 200
    handshakes_at_once: Annotated[int, Meta(ge=1, le=100_000)] = 512
    return_most_ms: Millis = 60_000.0  # the longest delay that is advised for a reconnect
    return_spread_ms: Millis = 2000.0  # after a stop, owners are advised to spread reconnects over this time
    again_least_ms: Millis = 100.0  # bounds of the wait that a refused guest's owner is advised
    again_most_ms: Millis = 5000.0
    batch_ms: Annotated[float, Meta(ge=0, le=1000)] = 2.0
    decisions_at_once: Annotated[int, Meta(ge=1, le=1_000_000)] = 32  # before peers are read again


class CaptureConfig(Struct, frozen=True):
    """Where the planner's traffic is captured, and how much disk space that may take."""

    file: str = ""  # empty: no capture; a name in .pcapng selects that format, any other classic pcap
    rotate_mb: Annotated[float, Meta(ge=0, le=1e6)] = 0.0  # 0: no rotation by size
    rotate_s: Annotated[float, Meta(ge=0, le=1e7)] = 0.0  # 0: no rotation by time
    total_mb: Annotated[float, Meta(ge=0, le=1e7)] = 0.0  # 0: unlimited; else the oldest files are deleted
    queue_mb: Annotated[float, Meta(gt=0, le=1024)] = 16.0


class StateConfig(Struct, frozen=True):
    """Where the planner persists the state that must survive a restart."""

    folder: str = ""  # empty: no state is persisted
    slow_ms: Millis = 2000.0  # a commit that takes longer counts as a disk failure
    learned_s: Annotated[float, Meta(gt=0, le=86_400)] = 5.0  # interval at which learned state is persisted
    retry_ms: Millis = 1000.0  # interval at which a failed disk is retried


class MembershipConfig(Struct, frozen=True):
    """Group membership among the planners.

    It is only a hint: no rule depends on it. Addresses are IP address and port.
    """

    listen: str = ""  # UDP address for its datagrams; empty: membership is off
    seeds: list[str] = []  # members through any of which it can join
    deployment: Name = "hazelhold"  # datagrams of other deployments are ignored
    zone: Annotated[str, Meta(max_length=60)] = ""
    advertise: str = ""  # the address at which others reach it, if that is not `listen`
    reach: dict[str, str] = {}  # by name or advertised address: the address at which it is reached from here
    metrics: str = ""  # address for Prometheus; empty: none
    probe_ms: Millis = 250.0  # interval at which another member is probed
    answer_ms: Millis = 200.0  # a probe fails after four times this
    suspect_ms: Millis = 1500.0  # how long a suspicion lasts that other members confirm
    suspect_most_ms: Millis = 6000.0  # how long one lasts that no other member confirms
    sync_ms: Millis = 10_000.0  # interval at which whole tables are compared
    heal_ms: Millis = 2000.0  # interval at which a member that is gone is contacted again
    forget_s: Annotated[float, Meta(ge=1, le=1e7)] = 3600.0  # how long a member that is gone or left is kept
    most_members: Annotated[int, Meta(ge=2, le=100_000)] = 4096


class ReplicaPlannerConfig(Struct, frozen=True):
    """One planner of the set that agrees on claims."""

    name: Name
    address: str  # TCP address of its replica: IP address and port
    zone: Annotated[str, Meta(max_length=60)] = ""


class ReplicationConfig(Struct, frozen=True):
    """Replication of claims among the planners.

    The set of planners and its epoch are the same in the files of all planners.
    """

    listen: str = ""  # TCP address for the other planners; empty: replication is off
    folder: str = ""  # for its votes alone; created by `hazelhold copies found`
    epoch: Annotated[int, Meta(ge=1, le=1 << 31)] = 1
    planners: list[ReplicaPlannerConfig] = []
    replicas: Annotated[int, Meta(ge=1, le=15)] = 3  # planners that store each value; odd
    deployment: Name = "hazelhold"
    reach: dict[str, str] = {}  # by name: the address at which it is reached from here, if it differs
    claim_ms: Millis = 500.0  # a claim on which no agreement is reached in this time is refused
    keep_s: Annotated[float, Meta(ge=60, le=1e9)] = 86_400.0  # how long the claim of an ended guest is kept
    slow_ms: Millis = 2000.0  # a commit of votes that takes longer counts as a disk failure
    retry_ms: Millis = 1000.0  # interval at which a failed disk is retried


class FleetSettings(Struct, frozen=True):
    """Settings that are the same for all planners and stand-ins of a deployment."""

    products: Annotated[list[GuestClassConfig], Meta(min_length=1)]
    kinds: Annotated[list[MachineKindConfig], Meta(min_length=1)]
    fleet: MachinesConfig
    customers: list[Name] = []


class PlannerConfig(Struct, frozen=True):
    """The configuration file of one planner."""

    name: Name
    listen: str
    list: ListConfig
    estate: FleetSettings
    slot: Whole = 0
    planners: Annotated[int, Meta(ge=1, le=100_000)] = 1
    seed: Whole = 0
    limits: LimitsConfig = LimitsConfig()
    capture: CaptureConfig = CaptureConfig()
    state: StateConfig = StateConfig()
    membership: MembershipConfig = MembershipConfig()
    copies: ReplicationConfig = ReplicationConfig()
    fleetconfig: FleetConfigSection = FleetConfigSection()


def to_microseconds(millis: float) -> int:
    """Converts milliseconds to whole microseconds."""
    return round(millis * 1000)


def check_estate(estate: FleetSettings, place: str = "estate") -> list[tuple[str, str]]:
    """Checks fleet settings as a whole: duplicate names, times that contradict each other."""
    faults = []
    for field, names in (
        ("products", [p.name for p in estate.products]),
        ("kinds", [k.name for k in estate.kinds]),
        ("customers", estate.customers),
    ):
        faults += [
            (f"{place}.{field}[{at}]", f"the name {name!r} is not unique")
            for at, name in enumerate(names)
            if name in names[:at]
        ]
    kinds = {k.name for k in estate.kinds}
    for at, guest_class in enumerate(estate.products):
        here = f"{place}.products[{at}]"
        if guest_class.goal_ms > guest_class.patience_ms:
            faults.append((f"{here}.goal_ms", "exceeds patience_ms"))
        if guest_class.kind and guest_class.kind not in kinds:
            faults.append((f"{here}.kind", f"no kind of machine is called {guest_class.kind!r}"))
    return faults


def check_addresses(part: str, addresses: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Checks a section's addresses, given by place: each is IP address and port; only `listen` may have port
    0 (chosen by the system)."""
    faults = []
    for place, text in addresses:
        try:
            host, port = split_address(text)
            ip_address(host)
            if not port and place != "listen":
                faults.append((f"{part}.{place}", "needs a port"))
        except ValueError as error:
            faults.append((f"{part}.{place}", f"{error}"))
    return faults


def check_membership(config: MembershipConfig) -> list[tuple[str, str]]:
    """Checks the section `membership`. Without `listen` it is off, and no other key may be set."""
    if not config.listen:
        reason = "is missing: without it membership is off, but other keys are set"
        return [("membership.listen", reason)] if config != MembershipConfig() else []
    addresses = [
        ("listen", config.listen),
        *((f"seeds[{at}]", seed) for at, seed in enumerate(config.seeds)),
        *((f"reach[{name!r}]", address) for name, address in config.reach.items()),
        *((key, text) for key in ("advertise", "metrics") if (text := getattr(config, key))),
    ]
    faults = check_addresses("membership", addresses)
    advertised = config.advertise or config.listen
    if not faults and split_address(advertised)[0] in ("0.0.0.0", "::"):
        faults.append(("membership.advertise", "is needed: other planners cannot reach 0.0.0.0 or ::"))
    if config.suspect_most_ms < config.suspect_ms:
        faults.append(("membership.suspect_most_ms", "is less than suspect_ms"))
    return faults


def check_copies(config: "PlannerConfig") -> list[tuple[str, str]]:
    """Checks the section `copies`. Without `listen` it is off, and no other key may be set."""
    copies = config.copies
    if not copies.listen:
        reason = "is missing: without it copies are off, but other keys are set"
        return [("copies.listen", reason)] if copies != ReplicationConfig() else []
    names = [p.name for p in copies.planners]
    addresses = [
        ("listen", copies.listen),
        *((f"reach[{name!r}]", address) for name, address in copies.reach.items()),
        *((f"planners[{at}].address", p.address) for at, p in enumerate(copies.planners)),
    ]
    faults = check_addresses("copies", addresses)
    faults += [
        (f"copies.planners[{at}].name", f"the name {name!r} is not unique")
        for at, name in enumerate(names)
        if name in names[:at]
    ]
    faults += [
        (f"copies.reach[{name!r}]", "is not a planner of the set")
        for name in copies.reach
        if name not in names
    ]
    if config.name not in names:
        faults.append(("copies.planners", f"this planner, {config.name!r}, is missing"))
    if not copies.folder:
        faults.append(("copies.folder", "is missing: votes have to survive a restart"))
    elif copies.folder == config.state.folder:
        faults.append(("copies.folder", "is also the state folder: votes need their own folder"))
    if copies.replicas % 2 == 0:
        faults.append(("copies.replicas", "is even: one replica less tolerates as many failures"))
    if copies.replicas > len(names):
        faults.append(("copies.replicas", f"exceeds the {len(names)} planners of the set"))
    if config.capture.file:
        faults.append(("copies", "cannot be combined with a capture: replay does not support claims yet"))
    return faults


def check_planner(config: PlannerConfig) -> list[tuple[str, str]]:
    """Checks a planner's configuration as a whole; returns a (place, reason) for each error."""
    faults = check_estate(config.estate)
    for place, text in (("listen", config.listen), ("list.address", config.list.address)):
        try:
            split_address(text)
        except ValueError as error:
            faults.append((place, str(error)))
    faults += check_membership(config.membership)
    faults += check_copies(config)
    faults += check_section(config.fleetconfig, config.name, config.state.folder, bool(config.capture.file))
    if config.slot >= config.planners:
        faults.append(
            ("slot", f"slot {config.slot} of {config.planners} planners: slots are numbered from 0")
        )
    if config.capture.total_mb and not 0 < config.capture.rotate_mb <= config.capture.total_mb / 2:
        faults.append(("capture.rotate_mb", "has to be set, and at most half of total_mb"))
    if config.limits.stop_ms > 60_000:
        faults.append(("limits.stop_ms", "exceeds the maximum of 60000"))
    return faults


def read_planner(path: Path) -> PlannerConfig:
    """Reads and checks a planner's configuration file; ConfigError lists all its errors."""
    config = build(PlannerConfig, parse(read_text(path), str(path)), str(path))
    if faults := check_planner(config):
        raise ConfigError(str(path), faults)
    return config


def deployment_settings(config: PlannerConfig) -> interface.Deployment:
    """The deployment's settings as the scheduler takes them."""
    estate, fleet = config.estate, config.estate.fleet
    kinds = [k.name for k in estate.kinds]
    products = tuple(
        interface.GuestClass(
            repeat=REPEAT_SEMANTICS[p.effect],
            dedup_scope=SCOPES[p.group],
            dedup_window=to_microseconds(p.window_ms),
            start_target=to_microseconds(p.goal_ms),
            value=p.payoff,
            start_value=p.start_bonus_s,
            priority=p.priority,
            full_service_load=p.easy_until,
            service_fade=p.lost_after,
            machine_kind=kinds.index(p.kind) if p.kind else -1,
            spread_scope=SCOPES[p.spread],
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
        list_poll_limit=to_microseconds(config.list.ask_within_ms),
        list_shows_free=config.list.has_room,
        cores_multiple=fleet.cores_multiple,
        memory_multiple=fleet.memory_multiple,
        preempts=fleet.makes_room,
        confirms_when_running=fleet.confirms == "running",
        probing=fleet.probing,
        reports_count_requested=fleet.reports_count == "asked",
        max_dispatches=fleet.max_dispatches,
        warmup_time=to_microseconds(fleet.cold_for_ms),
        cold_from=fleet.cold_from,
        cold_budget_window=to_microseconds(fleet.cold_window_ms),
        cold_offers=fleet.cold_offers,
        fleet_price=fleet.price,
    )
