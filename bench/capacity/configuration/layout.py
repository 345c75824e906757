"""Who is where in one trial: names, regions, zones, and which planners are real processes."""

from typing import NamedTuple

from bench.capacity.configuration.results import Trial
from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.roster import PREFIX, Place, Roster

REAL_REGIONS = ("r2", "r1")  # where real planners stand; the first is the one that is cut off


class Layout(NamedTuple):
    """One trial's machines by name. `real`: planners that are processes, with what they are for others."""

    controls: list[str]
    places: dict[str, Place]  # of planners
    control_regions: dict[str, str]
    real: dict[str, str]

    @property
    def hollow(self) -> list[str]:
        return [name for name in self.places if name not in self.real]

    def region(self, name: str) -> list[str]:
        """All machines of a region."""
        planners = [each for each, place in self.places.items() if place.region == name]
        return planners + [each for each, region in self.control_regions.items() if region == name]

    def hollow_zone(self) -> list[str]:
        """The planners of a zone in which all are hollow."""
        zones: dict[Place, list[str]] = {}
        for name, place in self.places.items():
            zones.setdefault(place, []).append(name)
        return next(names for names in zones.values() if not self.real.keys() & set(names))


def layout(trial: Trial) -> Layout:
    """Planners over all regions and zones. Real are a relay of a region and one of a zone in the region that
    is cut off, then others there and in the next region."""
    names = [f"c{number}" for number in range(trial.controls)]
    places = {
        f"p{number:03}": Place(
            f"r{number % trial.regions}", f"z{number // trial.regions % trial.zones_a_region}"
        )
        for number in range(trial.planners)
    }
    regions = {name: f"r{number % trial.regions}" for number, name in enumerate(names)}
    return Layout(names, places, regions, chosen(places, trial.real))


def chosen(places: dict[str, Place], count: int) -> dict[str, str]:
    """The real planners and their roles: region, zone or none."""
    puts = [
        Put(PREFIX + name, canonical({"address": name, **place._asdict()})) for name, place in places.items()
    ]
    roster = Roster([])
    roster.load(Document(puts))
    roles = {name: role(roster, name, place) for name, place in places.items()}
    there = [name for region in REAL_REGIONS for name in places if places[name].region == region]
    there += [name for name in places if name not in there]
    found: dict[str, str] = {}
    for wanted in ("region", "zone", "none"):
        first = next((name for name in there if roles[name] == wanted), None)
        if first is not None:
            found[first] = wanted
    for name in there:
        found.setdefault(name, roles[name])
    return dict(list(found.items())[:count])


def role(roster: Roster, name: str, place: Place) -> str:
    """Whose relay a planner is."""
    if name in roster.region_relays(place.region):
        return "region"
    return "zone" if name in roster.zone_relays(place) else "none"
