"""The day file of a rehearsal: fleet, demand, owners and injected faults, in JSON5."""

from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from hazelhold.config.load import ConfigError, build, parse, read_text
from hazelhold.config.planner import FleetSettings, Name, Positive, check_estate

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Part = Annotated[float, Meta(ge=0, le=1)]
Few = Annotated[int, Meta(ge=1, le=2000)]
Bound = Annotated[float, Meta(ge=0, le=1e6)]
Range = tuple[Bound, Bound]
TROUBLES = (
    "burst",
    "deploy",
    "list_down",
    "flush",
    "heavy_tail",
    "hot_service",
    "mass_restart",
    "preempt",
    "vanish",
    "report_late",
    "fast_errors",
    "answer_lost",
    "ageing",
    "crash",
    "zone_cut",
    "planner_kill",
    "planner_stop",
    "reconnect",
    "planner_pause",
    "planner_cut",
    "planner_loss",
    "planner_disk",
)
BETWEEN = ("planner_pause", "planner_cut", "planner_loss", "planner_disk")  # faults between planners


class GuestMix(Struct, frozen=True):
    """How guests of one guest class arrive and behave. `product` names the guest class in the estate."""

    product: Name
    share: Positive
    shapes: Annotated[list[Range], Meta(min_length=1)]  # requested cores and memory of a service's guests
    life_s: Range = (5.0, 20.0)
    cores_use: Range = (0.4, 0.65)
    memory_use: Range = (0.55, 0.8)
    work_ms: Positive = 60.0


class MachineStock(Struct, frozen=True):
    """Machines of one kind. A value of each range is drawn for each machine."""

    kind: Name
    count: Few
    look_ms: Range = (10.0, 40.0)
    line: Range = (6.0, 32.0)
    starts: Range = (3.0, 5.0)
    setup: Range = (7.0, 12.0)
    kept: Range = (5.0, 12.0)
    report_ms: Range = (260.0, 690.0)


class ListServiceSettings(Struct, frozen=True):
    """The delays of the list service."""

    notice_s: Range = (0.5, 3.0)
    period_ms: Positive = 500.0
    answer_ms: Range = (20.0, 300.0)


class Demand(Struct, frozen=True):
    """The demand of owners: how many guests they submit, cancel and submit again."""

    owners: Few = 3
    rate: Positive = 8.0  # new guests per second, of all owners together
    services: Few = 24
    cancel_share: Part = 0.02
    again_ms: Range = (1000.0, 2500.0)
    until_s: Seconds = 0.0  # no new guests after this time; 0: until the end of the day


class Trouble(Struct, frozen=True):
    """An injected fault. `part` is the share of the machines it affects; `size` depends on the kind."""

    kind: Literal[TROUBLES]
    at_s: Seconds
    for_s: Seconds = 5.0
    part: Part = 0.25
    size: Annotated[float, Meta(ge=0, le=1000)] = 0.5
    extra: Seconds = 3.0
    by: Literal["any", "kind", "cell", "zone"] = "any"
    which: Annotated[int, Meta(ge=0, le=10_000)] = 0
    # Affected planners; empty: planner `which`, or with `by` zone those of zone `which`.
    whom: list[Annotated[int, Meta(ge=0, le=2000)]] = []
    others: list[Annotated[int, Meta(ge=0, le=2000)]] = []  # partitioned from these; empty: from all others
    way: Literal["both", "out", "in"] = "both"  # the direction a partition drops: both, sent or received


class DayMembers(Struct, frozen=True):
    """Membership among the day's planners, over connections that faults can affect."""

    on: bool = False
    probe_ms: Positive = 250.0
    answer_ms: Positive = 200.0
    suspect_ms: Positive = 1500.0
    suspect_most_ms: Positive = 6000.0


class DayCopies(Struct, frozen=True):
    """Claims agreed among the day's planners, over the same connections as membership."""

    on: bool = False
    replicas: Annotated[int, Meta(ge=1, le=15)] = 3
    claim_ms: Positive = 500.0


class ViewConfig(Struct, frozen=True):
    """How wrong and how late the planners' membership views may be on this day."""

    wrongly_gone: Annotated[int, Meta(ge=0, le=100_000)] = 0
    missed: Annotated[int, Meta(ge=0, le=100_000)] = 0
    notice_s: Positive = 15.0
    heal_s: Positive = 20.0


class Day(Struct, frozen=True):
    """A rehearsal's day."""

    name: Name
    length_s: Annotated[float, Meta(gt=0, le=86_400)]
    estate: FleetSettings
    wares: Annotated[list[GuestMix], Meta(min_length=1)]
    stock: Annotated[list[MachineStock], Meta(min_length=1)]
    planners: Few = 2
    roster: ListServiceSettings = ListServiceSettings()
    demand: Demand = Demand()
    troubles: list[Trouble] = []
    zones: Few = 1
    cell_size: Few = 4
    drains: Literal["none", "paced", "at_once"] = "paced"
    list_asked: bool = True
    list_has_room: bool = True
    weights: tuple[Part, Part, Part, Part] = (0.3, 0.4, 0.2, 0.1)
    membership: DayMembers = DayMembers()
    copies: DayCopies = DayCopies()
    views: ViewConfig = ViewConfig()


def check_day(day: Day) -> list[tuple[str, str]]:
    """Checks a day as a whole; returns a (place, reason) for each error."""
    faults = check_estate(day.estate)
    guest_classes = {p.name for p in day.estate.products}
    kinds = {k.name for k in day.estate.kinds}
    for at, mix in enumerate(day.wares):
        if mix.product not in guest_classes:
            faults.append((f"wares[{at}].product", f"no guest class is called {mix.product!r}"))
        for each, shape in enumerate(mix.shapes):
            if min(shape) <= 0:
                faults.append((f"wares[{at}].shapes[{each}]", "cores and memory have to be more than 0"))
    for at, stock in enumerate(day.stock):
        if stock.kind not in kinds:
            faults.append((f"stock[{at}].kind", f"no kind of machine is called {stock.kind!r}"))
    if day.copies.on and not day.membership.on:
        faults.append(("copies.on", "needs the connections between planners: membership.on has to be true"))
    if day.copies.on and (day.copies.replicas % 2 == 0 or day.copies.replicas > day.planners):
        faults.append(("copies.replicas", f"has to be odd, and no more than the {day.planners} planners"))
    for at, injected in enumerate(day.troubles):
        if injected.at_s >= day.length_s:
            faults.append((f"troubles[{at}].at_s", "is after the end of the day"))
        if injected.kind == "planner_disk" and injected.extra > injected.at_s:
            faults.append((f"troubles[{at}].extra", "exceeds at_s: the restored disk would predate the day"))
        if (
            injected.kind in ("planner_kill", "planner_stop", "planner_disk")
            and injected.which >= day.planners
        ):
            faults.append((f"troubles[{at}].which", f"planners are numbered 0 to {day.planners - 1}"))
        if injected.kind in BETWEEN:
            faults += _check_between(day, injected, f"troubles[{at}]")
        if injected.kind == "zone_cut" and day.zones < 2:
            faults.append((f"troubles[{at}].kind", "needs at least two zones"))
    for where, pair in [
        (f"{name}[{at}].{key}", getattr(item, key))
        for name, items in (("wares", day.wares), ("stock", day.stock))
        for at, item in enumerate(items)
        for key in item.__struct_fields__
        if key != "shapes" and isinstance(getattr(item, key), tuple)
    ]:
        if pair[0] > pair[1]:
            faults.append((where, f"the lower end of the range exceeds the upper: {pair}"))
    return faults


def _check_between(day: Day, injected: Trouble, place: str) -> list[tuple[str, str]]:
    """Checks a fault between planners."""
    faults = [
        (f"{place}.{key}", f"planners are numbered 0 to {day.planners - 1}")
        for key in ("whom", "others")
        if any(n >= day.planners for n in getattr(injected, key))
    ]
    if injected.by not in ("any", "zone"):
        faults.append((f"{place}.by", "has to be any or zone: planners have neither kind nor cell"))
    if injected.by == "any" and not injected.whom and injected.which >= day.planners:
        faults.append((f"{place}.which", f"planners are numbered 0 to {day.planners - 1}"))
    if injected.kind == "planner_disk" and not day.copies.on:
        faults.append((f"{place}.kind", "affects a planner's votes: copies.on has to be true"))
    if injected.kind in ("planner_cut", "planner_loss") and not day.membership.on:
        faults.append((f"{place}.kind", "affects connections between planners: membership.on has to be true"))
    return faults


def read_day(path: Path) -> Day:
    """Reads and checks a day file; ConfigError lists all its errors."""
    day = build(Day, parse(read_text(path), str(path)), str(path))
    if faults := check_day(day):
        raise ConfigError(str(path), faults)
    return day
