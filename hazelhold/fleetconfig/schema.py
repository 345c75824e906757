"""The known sections of the configuration and their types. No I/O.

An item is known if its name is SECTION/NAME with a known section, or `fleet`. All other items, and fields
that a type does not have, are a newer program's: they are kept and passed on to the byte, and told as
unknown.
"""

from collections.abc import Iterator
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta, Struct

from hazelhold.config.load import ConfigError, build
from hazelhold.config.planner import GuestClassConfig, MachineKindConfig, MachinesConfig, NotNegative
from hazelhold.fleetconfig.document import Fault

PlaceName = Annotated[str, Meta(max_length=60)]


class PlannerItem(Struct, frozen=True):
    """`planners/NAME`: one planner of the fleet, where it is reached and where it stands."""

    address: str  # IP address and port, TCP
    zone: PlaceName
    region: PlaceName


class TeamItem(Struct, frozen=True):
    """`teams/NAME`: a team and what it may use at a time. The children of a team have quotas that together
    are within its own."""

    quota_cores: NotNegative
    quota_accelerators: NotNegative = 0.0
    parent: str = ""  # another team's name; empty: none


class CustomerItem(Struct, frozen=True):
    """`customers/NAME`: a customer whose requests are taken."""


SECTIONS: dict[str, type[Struct]] = {
    "planners": PlannerItem,
    "teams": TeamItem,
    "products": GuestClassConfig,
    "kinds": MachineKindConfig,
    "customers": CustomerItem,
}
SINGLE_ITEMS: dict[str, type[Struct]] = {"fleet": MachinesConfig}
QUOTAS = ("quota_cores", "quota_accelerators")


class Reading(NamedTuple):
    """One item as this program reads it: `value` is None if the item is unknown or has faults."""

    value: Any
    faults: tuple[Fault, ...] = ()
    unknown: tuple[Fault, ...] = ()  # what is kept without being understood


def item_type(name: str) -> type[Struct] | None:
    """The type of a known item."""
    section, _, rest = name.partition("/")
    if "/" in rest:
        return None
    return SECTIONS.get(section) if rest else SINGLE_ITEMS.get(name)


def read_item(name: str, encoded: bytes) -> Reading:
    """Reads an item's JSON and names all that is wrong with it."""
    kind = item_type(name)
    if kind is None:
        return Reading(None, unknown=(Fault(name, "is an item that this program does not know"),))
    try:
        value = msgspec.json.decode(encoded)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as wrong:  # let through by another program
        return Reading(None, (Fault(name, f"cannot be read: {wrong}"),))
    if not isinstance(value, dict):
        return Reading(None, (Fault(name, "is no object"),))
    fields = {field.encode_name for field in msgspec.structs.fields(kind)}
    unknown = tuple(
        Fault(name, f"{key!r:.100} is a field that this program does not know")
        for key in sorted(value.keys() - fields)
    )
    known = {key: value[key] for key in value if key in fields}
    faults = []
    if "name" in fields:  # the structures of a planner's file name themselves; here the item's name does
        own = name.partition("/")[2]
        if known.setdefault("name", own) != own:
            faults.append(Fault(name, "names itself differently in its field `name`"))
            known["name"] = own
    try:
        read = build(kind, known, name)
    except ConfigError as wrong:
        faults += [Fault(name, f"{place}: {reason}") for place, reason in wrong.faults]
    return Reading(None if faults else read, tuple(faults), unknown)


def references(name: str, value: object) -> Iterator[str]:
    """What an item points to: items' names, or `address IP:PORT`, which only one planner may have."""
    if isinstance(value, TeamItem) and value.parent:
        yield f"teams/{value.parent}"
    elif isinstance(value, GuestClassConfig) and value.kind:
        yield f"kinds/{value.kind}"
    elif isinstance(value, PlannerItem):
        yield f"address {value.address}"
