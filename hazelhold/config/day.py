"""A rehearsal's day: fleet, demand, owners and troubles, as a JSON5 file."""

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
BETWEEN = ("planner_pause", "planner_cut", "planner_loss", "planner_disk")  # of planners among themselves


class GuestMix(Struct, frozen=True):
    """How guests of one product come and behave, by the name of the product in the estate."""

    product: Name
    share: Positive
    shapes: Annotated[list[Range], Meta(min_length=1)]  # cores and memory that a service's guests ask
    life_s: Range = (5.0, 20.0)
    cores_use: Range = (0.4, 0.65)
    memory_use: Range = (0.55, 0.8)
    work_ms: Positive = 60.0


class MachineStock(Struct, frozen=True):
    """Machines of one kind; each range is drawn for each machine."""

    kind: Name
    count: Few
    look_ms: Range = (10.0, 40.0)
    line: Range = (6.0, 32.0)
    starts: Range = (3.0, 5.0)
    setup: Range = (7.0, 12.0)
    kept: Range = (5.0, 12.0)
    report_ms: Range = (260.0, 690.0)


class ListServiceSettings(Struct, frozen=True):
    """The list service: how late it is, and how."""

    notice_s: Range = (0.5, 3.0)
    period_ms: Positive = 500.0
    answer_ms: Range = (20.0, 300.0)


class Demand(Struct, frozen=True):
    """What owners want."""

    owners: Few = 3
    rate: Positive = 8.0  # new guests a second, all owners together
    services: Few = 24
    cancel_share: Part = 0.02
    again_ms: Range = (1000.0, 2500.0)
    until_s: Seconds = 0.0  # no new guests from then on; 0: until the day's length


class Trouble(Struct, frozen=True):
    """Something that goes wrong. `part` is of the machines, `size` depends on the kind."""

    kind: Literal[TROUBLES]
    at_s: Seconds
    for_s: Seconds = 5.0
    part: Part = 0.25
    size: Annotated[float, Meta(ge=0, le=1000)] = 0.5
    extra: Seconds = 3.0
    by: Literal["any", "kind", "cell", "zone"] = "any"
    which: Annotated[int, Meta(ge=0, le=10_000)] = 0
    whom: list[Annotated[int, Meta(ge=0, le=2000)]] = []  # planners; empty: planner `which`, by zone its zone
    others: list[Annotated[int, Meta(ge=0, le=2000)]] = []  # from whom they are cut; empty: from all others
    way: Literal["both", "out", "in"] = "both"  # of a cut: neither, not what they send, not what they hear


class DayMembers(Struct, frozen=True):
    """Membership among the day's planners, behind wires that troubles strike."""

    on: bool = False
    probe_ms: Positive = 250.0
    answer_ms: Positive = 200.0
    suspect_ms: Positive = 1500.0
    suspect_most_ms: Positive = 6000.0


class DayCopies(Struct, frozen=True):
    """Claims agreed among the day's planners, by the wires that membership has."""

    on: bool = False
    replicas: Annotated[int, Meta(ge=1, le=15)] = 3
    claim_ms: Positive = 500.0


class ViewConfig(Struct, frozen=True):
    """What the day allows its planners' views of each other."""

    wrongly_gone: Annotated[int, Meta(ge=0, le=100_000)] = 0
    missed: Annotated[int, Meta(ge=0, le=100_000)] = 0
    notice_s: Positive = 15.0
    heal_s: Positive = 20.0


class Day(Struct, frozen=True):
    """A whole day."""

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
    faults = check_estate(day.estate)
    products = {p.name for p in day.estate.products}
    kinds = {k.name for k in day.estate.kinds}
    for at, wares in enumerate(day.wares):
        if wares.product not in products:
            faults.append((f"wares[{at}].product", f"no product is called {wares.product!r}"))
        for each, shape in enumerate(wares.shapes):
            if min(shape) <= 0:
                faults.append((f"wares[{at}].shapes[{each}]", "cores and memory are more than 0"))
    for at, stock in enumerate(day.stock):
        if stock.kind not in kinds:
            faults.append((f"stock[{at}].kind", f"no kind of machine is called {stock.kind!r}"))
    if day.copies.on and not day.membership.on:
        faults.append(("copies.on", "goes by the wires between planners: membership.on has to be true"))
    if day.copies.on and (day.copies.replicas % 2 == 0 or day.copies.replicas > day.planners):
        faults.append(("copies.replicas", f"has to be odd, and no more than the {day.planners} planners"))
    for at, trouble in enumerate(day.troubles):
        if trouble.at_s >= day.length_s:
            faults.append((f"troubles[{at}].at_s", "lies past the end of the day"))
        if trouble.kind == "planner_disk" and trouble.extra > trouble.at_s:
            faults.append((f"troubles[{at}].extra", "the disk that is put back is from before the day"))
        if trouble.kind in ("planner_kill", "planner_stop", "planner_disk") and trouble.which >= day.planners:
            faults.append((f"troubles[{at}].which", f"planners are numbered 0 to {day.planners - 1}"))
        if trouble.kind in BETWEEN:
            faults += _check_between(day, trouble, f"troubles[{at}]")
        if trouble.kind == "zone_cut" and day.zones < 2:
            faults.append((f"troubles[{at}].kind", "a cut needs two zones or more"))
    for where, pair in [
        (f"{name}[{at}].{key}", getattr(item, key))
        for name, items in (("wares", day.wares), ("stock", day.stock))
        for at, item in enumerate(items)
        for key in item.__struct_fields__
        if key != "shapes" and isinstance(getattr(item, key), tuple)
    ]:
        if pair[0] > pair[1]:
            faults.append((where, f"the range runs backwards: {pair}"))
    return faults


def _check_between(day: Day, trouble: Trouble, place: str) -> list[tuple[str, str]]:
    faults = [
        (f"{place}.{key}", f"planners are numbered 0 to {day.planners - 1}")
        for key in ("whom", "others")
        if any(n >= day.planners for n in getattr(trouble, key))
    ]
    if trouble.by not in ("any", "zone"):
        faults.append((f"{place}.by", "planners have zones, and neither kind nor cell"))
    if trouble.by == "any" and not trouble.whom and trouble.which >= day.planners:
        faults.append((f"{place}.which", f"planners are numbered 0 to {day.planners - 1}"))
    if trouble.kind == "planner_disk" and not day.copies.on:
        faults.append((f"{place}.kind", "strikes the votes of a planner: copies.on has to be true"))
    if trouble.kind in ("planner_cut", "planner_loss") and not day.membership.on:
        faults.append((f"{place}.kind", "there are no wires between planners unless membership.on is true"))
    return faults


def read_day(path: Path) -> Day:
    """The checked day in a file; ConfigError names all that is wrong with it."""
    day = build(Day, parse(read_text(path), str(path)), str(path))
    if faults := check_day(day):
        raise ConfigError(str(path), faults)
    return day
