"""Who follows whom, from the configuration itself: relays of zones and regions, and a planner's sources in
order of preference. No I/O, no view of who is alive.

Relays are drawn by rendezvous hashing (Thaler, Ravishankar 1998; `replica.sets`): a planner that is added or
removed changes the relays of its own zone and region alone. In one roster every source has a higher rank than
its follower (plain, zone relay, region relay, control machine), so there is no cycle. Rosters of different
revisions may disagree; a cycle that comes of it is found by the route in `Heartbeat`.
"""

from collections.abc import Iterable, Sequence
from typing import Literal, NamedTuple

import msgspec
import xxhash
from msgspec import Struct

from hazelhold.fleetconfig.document import Document
from hazelhold.replica.sets import ReplicaCandidate, replicas

PREFIX = "planners/"
RELAYS = 2  # of each zone and each region

Role = Literal["zone", "region", "control"]


class PlannerItem(Struct, frozen=True):
    """The value of an item `planners/NAME`. Other fields are passed over."""

    address: str
    zone: str
    region: str


class ControlMachine(NamedTuple):
    """One of the fixed list of control machines."""

    name: str
    address: str
    region: str = ""


class Source(NamedTuple):
    """Whom a planner may follow, and as what."""

    name: str
    address: str
    role: Role


class Place(NamedTuple):
    """A zone; its name need only be unique in its region."""

    region: str
    zone: str


class Roster:
    """The planners of one document. Changed by `load` and `note`; relays are drawn when they are asked for
    and kept until a planner of their zone or region changes."""

    def __init__(self, control: Sequence[ControlMachine], relays: int = RELAYS) -> None:
        self.control = tuple(control)
        self.planners: dict[str, PlannerItem] = {}
        self.unreadable: set[str] = set()  # planners whose items have no such value
        self._relays = relays
        self._by_zone: dict[Place, set[str]] = {}
        self._by_region: dict[str, set[str]] = {}
        self._zone_relays: dict[Place, tuple[str, ...]] = {}
        self._region_relays: dict[str, tuple[str, ...]] = {}

    def load(self, document: Document) -> bool:
        """Takes the whole document. Whether any planner changed."""
        present = {name for name, _ in document.under(PREFIX)}
        gone = {PREFIX + name for name in (*self.planners, *self.unreadable)} - present
        return self.note(document, present | gone)

    def note(self, document: Document, changed: Iterable[str]) -> bool:
        """Takes changed items of the document; names beside `planners/` cost a comparison. Whether any
        planner changed."""
        any_changed = False
        for item in changed:
            if item.startswith(PREFIX):
                any_changed |= self._set(item.removeprefix(PREFIX), document.items.get(item))
        return any_changed

    def zone_relays(self, place: Place) -> tuple[str, ...]:
        """The planners of a zone that the others there follow."""
        if place not in self._zone_relays:
            members = [ReplicaCandidate(name) for name in sorted(self._by_zone.get(place, ()))]
            key = f"zone/{place.region}/{place.zone}"
            self._zone_relays[place] = replicas(key, members, self._relays)
        return self._zone_relays[place]

    def region_relays(self, region: str) -> tuple[str, ...]:
        """The planners of a region that its zones' relays follow; of different zones if there are several."""
        if region not in self._region_relays:
            members = [
                ReplicaCandidate(name, self.planners[name].zone)
                for name in sorted(self._by_region.get(region, ()))
            ]
            self._region_relays[region] = replicas(f"region/{region}", members, self._relays)
        return self._region_relays[region]

    def sources(self, name: str, place: Place = Place("", "")) -> tuple[Source, ...]:  # noqa: B008
        """Whom a planner follows, the best first. `place` counts only while the document does not list it."""
        item = self.planners.get(name)
        if item is not None:
            place = Place(item.region, item.zone)
        region_relays = self.region_relays(place.region)
        zone_relays = self.zone_relays(place)
        if name in region_relays:
            region_relays = zone_relays = ()
        elif name in zone_relays:
            zone_relays = ()
        found = self._as_sources(name, zone_relays, "zone")
        found += self._as_sources(name, [r for r in region_relays if r not in zone_relays], "region")
        return (*found, *self._control_sources(name, place.region))

    def _as_sources(self, follower: str, relays: Iterable[str], role: Role) -> list[Source]:
        drawn = sorted(relays, key=lambda relay: _draw(follower, relay), reverse=True)
        return [Source(relay, self.planners[relay].address, role) for relay in drawn]

    def _control_sources(self, follower: str, region: str) -> list[Source]:
        drawn = sorted(
            self.control,
            key=lambda machine: (machine.region == region, _draw(follower, machine.name)),
            reverse=True,
        )
        return [Source(machine.name, machine.address, "control") for machine in drawn]

    def _set(self, name: str, value: bytes | None) -> bool:
        before = self.planners.get(name)
        self.unreadable.discard(name)
        after = None
        if value is not None:
            try:
                after = msgspec.json.decode(value, type=PlannerItem)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                self.unreadable.add(name)
        if after == before:
            return False
        if before is not None:
            self._unlist(name, before)
        if after is not None:
            self._list(name, after)
        return True

    def _list(self, name: str, item: PlannerItem) -> None:
        self.planners[name] = item
        place = Place(item.region, item.zone)
        self._by_zone.setdefault(place, set()).add(name)
        self._by_region.setdefault(item.region, set()).add(name)
        self._forget_relays(place)

    def _unlist(self, name: str, item: PlannerItem) -> None:
        del self.planners[name]
        place = Place(item.region, item.zone)
        self._by_zone[place].discard(name)
        self._by_region[item.region].discard(name)
        self._forget_relays(place)

    def _forget_relays(self, place: Place) -> None:
        self._zone_relays.pop(place, None)
        self._region_relays.pop(place.region, None)


def _draw(follower: str, source: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{len(follower)}/{follower}/{source}".encode())
