"""What a revision means for one planner: the estate that it is to work with, and whether a running engine can
take it. No I/O.

A planner's estate is that of its file with the document's items in place: `products/NAME` and `kinds/NAME`
stand for the file's of that name, or beside them; `customers/NAME` beside the file's; `fleet` for the file's.
Other sections say nothing to a planner's engine. Fields and items that this program does not know are passed
over: they are a newer program's.

A running engine takes products beside those that it has, customers, and the fields below. Whatever else
differs needs a restart, since tasks in hand were taken under the old value and what is kept of them would be
judged by the new one (effect, group, window: whether a task may have run twice), or since all planners share
a budget by it (cold machines), or since the decision module has derived figures from it (kinds, multiples).
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from msgspec.structs import replace

from hazelhold.config.planner import FleetSettings, GuestClassConfig, PlannerConfig, check_estate
from hazelhold.engine.engine import Engine
from hazelhold.engine.settings import EngineSettings, engine_settings
from hazelhold.fleetconfig.document import Document, Fault
from hazelhold.fleetconfig.schema import read_item

SECTIONS = ("products/", "kinds/", "customers/")
FLEET = "fleet"
# Fields that hold for new tasks from the moment when the revision is in force; those in hand keep their own.
PRODUCT_AT_RUN_TIME = frozenset(
    {
        "goal_ms",
        "patience_ms",
        "payoff",
        "start_bonus_s",
        "late_worth",
        "priority",
        "easy_until",
        "lost_after",
    }
)
# Fields that hold for all tasks at once. The last three say nothing to planners.
FLEET_AT_RUN_TIME = frozenset({"max_dispatches", "price", "drain_grace_ms", "tip_multiple", "settle_ms"})


class SettingsError(Exception):
    """A revision that cannot be put in force here; the text says why, for people."""


class Overrides:
    """The document's items that say something to a planner's engine, as read."""

    def __init__(self) -> None:
        self.values: dict[str, object] = {}  # by item
        self.faults: dict[str, tuple[Fault, ...]] = {}  # by item, those that have any

    def read(self, document: Document, changed: Iterable[str] | None) -> bool:
        """Takes the changed items (None: all) of the document. Whether any of them matters here."""
        names = self._relevant(document.items if changed is None else changed)
        if changed is None:
            names |= self.values.keys() | self.faults.keys()
        for name in names:
            self._take(name, document.items.get(name))
        return bool(names)

    def _relevant(self, names: Iterable[str]) -> set[str]:
        return {name for name in names if name == FLEET or name.startswith(SECTIONS)}

    def _take(self, name: str, encoded: bytes | None) -> None:
        self.values.pop(name, None)
        self.faults.pop(name, None)
        if encoded is None:
            return
        reading = read_item(name, encoded)
        if reading.faults:
            self.faults[name] = reading.faults
        elif reading.value is not None:
            self.values[name] = reading.value

    def section(self, prefix: str) -> dict[str, object]:
        """By name without the prefix, in the order of names."""
        found = sorted((name, value) for name, value in self.values.items() if name.startswith(prefix))
        return {name.removeprefix(prefix): value for name, value in found}


def effective_estate(file: FleetSettings, overrides: Overrides) -> FleetSettings:
    """The estate of this file with the document's items in place. SettingsError names all that is wrong."""
    wrong = [f"{fault.item}: {fault.text}" for faults in overrides.faults.values() for fault in faults]
    customers = overrides.section("customers/")
    made = FleetSettings(
        _beside(file.products, overrides.section("products/")),
        _beside(file.kinds, overrides.section("kinds/")),
        overrides.values.get(FLEET, file.fleet),
        [*file.customers, *(name for name in customers if name not in file.customers)],
    )
    wrong += [f"{place}: {reason}" for place, reason in check_estate(made)]
    if wrong:
        raise SettingsError("; ".join(wrong))
    return made


def _terms(file: PlannerConfig, overrides: Overrides) -> tuple[FleetSettings, EngineSettings]:
    """The estate, and what an engine is told of it. SettingsError whatever is wrong: a revision reaches all
    planners, and must not end one of them by an error that nobody thought of."""
    try:
        estate = effective_estate(file.estate, overrides)
        return estate, engine_settings(replace(file, estate=estate))
    except SettingsError:
        raise
    except Exception as wrong:  # noqa: BLE001
        raise SettingsError(f"cannot be used by this program: {wrong!r:.200}") from wrong


def _beside(filed: list, given: dict[str, object]) -> list:
    """The file's entries, each with what was given under its name in place, then the others."""
    names = {entry.name for entry in filed}
    added = [entry for name, entry in given.items() if name not in names]
    return [*(given.get(entry.name, entry) for entry in filed), *added]


def restart_reasons(before: FleetSettings, after: FleetSettings) -> list[str]:
    """What a running engine cannot take, by item and field."""
    reasons = []
    if before.kinds != after.kinds:
        reasons.append("kinds")
    products = {product.name: product for product in after.products}
    for product in before.products:
        now = products.get(product.name)
        if now is None:
            reasons.append(f"products/{product.name} (removed)")
        else:
            fields = _differing(product, now) - PRODUCT_AT_RUN_TIME
            reasons += [f"products/{product.name} {field}" for field in sorted(fields)]
    fields = _differing(before.fleet, after.fleet) - FLEET_AT_RUN_TIME
    return reasons + [f"fleet {field}" for field in sorted(fields)]


def _differing(one: msgspec.Struct, other: msgspec.Struct) -> set[str]:
    return {name for name in one.__struct_fields__ if getattr(one, name) != getattr(other, name)}


class Starting(NamedTuple):
    """A planner's configuration at its start, with the document that it starts from, and why that is not in
    it."""

    config: PlannerConfig
    refused: str = ""


def starting_config(file: PlannerConfig, document: Document) -> Starting:
    """The configuration that an engine is made from: at a start everything can be taken. If it cannot be, the
    file's own configuration with the reason."""
    overrides = Overrides()
    overrides.read(document, None)
    try:
        estate, _ = _terms(file, overrides)
    except SettingsError as wrong:
        return Starting(file, str(wrong))
    return Starting(replace(file, estate=estate))


class RunningSettings:
    """Puts documents in force in a running engine, each whole or not at all."""

    def __init__(self, file: PlannerConfig, started: PlannerConfig, engine: Engine) -> None:
        """`file` is the planner's own configuration, `started` the one that the engine was made from."""
        self.file, self.engine = file, engine
        self.estate = started.estate  # what the engine works with
        self.overrides = Overrides()
        self.refused = True  # the last document given here is not in force

    def put_in_force(self, document: Document, changed: Iterable[str] | None) -> None:
        """SettingsError: nothing was changed. `changed` are the items that differ from the last document that
        was given here, also if that was refused; None: it may be all."""
        if not self.overrides.read(document, changed) and not self.refused:
            return
        self.refused = True
        estate, _ = _terms(self.file, self.overrides)
        if reasons := restart_reasons(self.estate, estate):
            raise SettingsError("needs a restart: " + ", ".join(reasons))
        estate = self._in_engine_order(estate)
        self.engine.reconfigure(engine_settings(replace(self.file, estate=estate)))
        self.estate, self.refused = estate, False

    def _in_engine_order(self, estate: FleetSettings) -> FleetSettings:
        """Products that the engine has keep their places."""
        products: dict[str, GuestClassConfig] = {product.name: product for product in estate.products}
        kept = [products.pop(product.name) for product in self.estate.products]
        return replace(estate, products=[*kept, *products.values()])
