"""The platform's configuration file, checked whole.

The settings are nested; they are flattened to the paths that the simulator's wire uses, and one reader turns
both forms into the facts of the module.
"""

import math
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from hazelhold.config.load import ConfigError, read_text, split_address
from hazelhold.config.planner import LimitsConfig
from hazelhold.engine.terms import Peers, Terms
from hazelhold.interface import Deployment
from hazelhold.simhost import Pairs, WireError, read_deployment, truth

PLATFORM = Peers(
    rolls=False,
    names_attempts=False,
    asks_again=False,
    hears_held=False,
    advised=False,
    list_confirms=True,
)
DECISIONS_AT_ONCE = (
    8  # decisions before peers are read again: of up to some 10 ms each, within a drain's 250 ms grace
)
MAX_SETTING = 1e12  # a setting past this is none
LEASE_PART = 0.8  # of the grace for drains: the rest is for an offer's way to its machine
MIN_LEASE = 20_000  # microseconds; the protocol makes each limit 50 ms longer
DRAIN_GRACE = 250_000  # microseconds, where the settings name none
MAX_GRACE = 86_400_000_000  # microseconds; more is none
LOST_AFTER_MS = 3500.0  # a machine out of reach so long has lost what stood there; owners must hear in 8 s


class ResourceLimits(Struct, frozen=True):
    """What the planner's processes may use."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 256


class KnownEvents(Struct, frozen=True):
    """The events of the bulletin up to number `no`."""

    no: int
    items: list[dict[str, Any]]


class ConfigurationFile(Struct, frozen=True):
    """The file as it stands; keys that are not known are passed over."""

    name: str
    listen: str
    seed: str
    bulletin: str
    known: KnownEvents
    settings: dict[str, Any]
    limits: ResourceLimits = ResourceLimits()


class StartSettings(NamedTuple):
    """A checked configuration."""

    name: str
    listen: str
    seed: int
    bounds: ResourceLimits
    bulletin: str
    known: KnownEvents
    engine_settings: Terms
    zones: dict[str, int]
    max_resources: tuple[float, float]  # cores and memory that the largest machine may be asked for in all
    max_time_left: tuple[int, ...]  # by product: the longest, in microseconds


def flatten(settings: dict[str, Any]) -> dict[str, str]:
    """Path and text of each setting, as the simulator's first message has them: lists of plain values joined
    by commas, lists of objects by number with a count, spaces and commas inside values as underlines."""
    found: dict[str, str] = {}

    def plain(value: object) -> str:
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value).replace(" ", "_").replace(",", "_")

    def walk(path: str, value: object) -> None:
        if isinstance(value, dict):
            for key, each in value.items():
                walk(f"{path}.{key}" if path else str(key), each)
        elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
            found[f"{path}.count"] = str(len(value))
            for at, each in enumerate(value):
                walk(f"{path}.{at}", each)
        elif isinstance(value, list):
            found[path] = ",".join(plain(each) for each in value)
        elif value is not None:
            found[path] = plain(value)

    walk("", settings)
    return found


def item_names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """The names in a list of objects, or of plain names; as they come, for they are compared with
    messages."""
    listed = settings.get(key) or []
    if not isinstance(listed, list):
        return ()
    return tuple(str(each.get("name", "")) if isinstance(each, dict) else str(each) for each in listed)


def read_start(path: Path, tries: int = 1) -> StartSettings:
    """ConfigError names all that is wrong with the file. `tries` as of `read_text`."""
    return check_start(read_text(path, tries), str(path))


def check_start(text: str, file: str) -> StartSettings:
    try:
        raw = msgspec.json.decode(text)
    except msgspec.MsgspecError as error:
        raise ConfigError(file, [("syntax", str(error))]) from None
    if not isinstance(raw, dict):
        raise ConfigError(file, [("top", "expected an object")])
    faults: list[tuple[str, str]] = []
    given: dict[str, Any] = {}
    for each in msgspec.structs.fields(ConfigurationFile):
        if each.name not in raw:
            if each.required:
                faults.append((each.name, "is missing"))
            continue
        try:
            given[each.name] = msgspec.convert(raw[each.name], each.type)
        except msgspec.ValidationError as error:
            faults.append((each.name, str(error)))
    for key in ("listen", "bulletin"):
        if key in given:
            try:
                split_address(given[key])
            except ValueError as error:
                faults.append((key, str(error)))
    seed = 0
    if "seed" in given:
        try:
            seed = int(given["seed"], 16)
        except ValueError:
            faults.append(("seed", f"{given['seed']!r} are no hex digits"))
    bounds = given.get("limits", ResourceLimits())
    if bounds.sockets < 32:
        faults.append(("limits.sockets", f"{bounds.sockets}: at least 32 are needed"))
    deployment = None
    settings = given.get("settings", {})
    pairs = Pairs([])
    pairs.values = flatten(settings)
    if settings:
        try:
            deployment = read_deployment(pairs)
            deployment = deployment._replace(
                dispatches_named=PLATFORM.names_attempts,
                ages_by_clock=True,
                list_lease=list_lease(pairs) if PLATFORM.list_confirms else 0,
            )
        except (WireError, ValueError, OverflowError) as error:
            faults.append(("settings", str(error)))
        else:
            faults += check_deployment(deployment)
    limits = _limits(pairs, bounds, faults)
    if faults or deployment is None:
        raise ConfigError(file, faults or [("settings", "are empty")])
    engine_settings = Terms(
        deployment,
        item_names(settings, "classes"),
        item_names(settings, "tenants"),
        item_names(settings, "kinds"),
        limits,
        PLATFORM._replace(tells_use=truth(pairs.values.get("family-info.use-notes", ""))),
    )
    max_resources = (
        max(k.cores for k in deployment.kinds) * deployment.cores_multiple,
        max(k.memory for k in deployment.kinds) * deployment.memory_multiple,
    )
    max_time_left = tuple(pairs.span(f"classes.{at}.deadline") for at in range(len(deployment.products)))
    return StartSettings(
        given["name"],
        given["listen"],
        seed,
        bounds,
        given["bulletin"],
        given["known"],
        engine_settings,
        {name: at for at, name in enumerate(item_names(settings, "zones"))},
        max_resources,
        max_time_left,
    )


def list_lease(pairs: Pairs) -> int:
    """For how long a confirmation of the list holds, in microseconds; WireError if the grace is none."""
    grace = pairs.span("rules.drain-grace") if "rules.drain-grace" in pairs.values else DRAIN_GRACE
    if not 0 <= grace <= MAX_GRACE:
        raise WireError(f"setting rules.drain-grace: {grace} microseconds are no grace")
    return max(MIN_LEASE, round(LEASE_PART * grace))


def check_deployment(deployment: Deployment) -> list[tuple[str, str]]:
    """Figures that can be read and cannot be meant: the module reckons with all of them."""
    found = [
        (f"settings: {name}", f"{value} is no figure")
        for name, value in deployment._asdict().items()
        if isinstance(value, float) and not abs(value) <= MAX_SETTING
    ]
    for place, figures in (("kinds", deployment.kinds), ("classes", deployment.products)):
        found += [
            (f"settings: {place}.{at}", f"{value} is no figure")
            for at, each in enumerate(figures)
            for value in each
            if isinstance(value, float) and not abs(value) <= MAX_SETTING
        ]
    if not deployment.kinds or not deployment.products:
        found.append(("settings", "at least one class and one kind are needed"))
    found += [
        ("settings: kinds", f"a machine of {kind.cores:g} cores and {kind.memory:g} of memory")
        for kind in deployment.kinds
        if not (kind.cores > 0 and kind.memory > 0)
    ]
    found += [
        (f"settings: {name}", f"{value}: at least 1 is needed")
        for name, value in (
            ("balancers", deployment.planners),
            ("limits.max-attempts", deployment.max_dispatches),
        )
        if value < 1
    ]
    return found


def _limits(pairs: Pairs, bounds: ResourceLimits, faults: list[tuple[str, str]]) -> LimitsConfig:
    """Bounds on peers from the settings: how long a connection may take to come up, and to stay idle."""
    durations = {"connect": 250.0, "idle": 15_000.0}
    for key, path in (("connect", "limits.connect-timeout"), ("idle", "limits.idle-close")):
        text = pairs.values.get(path, "")
        try:
            value = float(text) if text else durations[key]
        except ValueError:
            value = math.nan
        if not 0 < value <= 86_400_000:
            faults.append((f"settings.{path}", f"{text!r} is no span"))
        else:
            durations[key] = value
    # Owners hold a third of the descriptors, bad ones may come on top; some are for the listener, the
    # bulletin and connections that are being closed; machines get the rest.
    owners = max(8, bounds.sockets * 2 // 5)
    # Ours closes first: four fifths of the time after which a machine closes.
    return LimitsConfig(
        connect_ms=durations["connect"],
        idle_close_ms=0.8 * durations["idle"],
        reconnect_ms=LOST_AFTER_MS,
        open_guests=20_000,
        keep_answers_ms=8000.0,
        send_bytes=1 << 18,
        connections=owners,
        decisions_at_once=DECISIONS_AT_ONCE,
        links=max(4, bounds.sockets - owners - max(16, bounds.sockets // 12)),
    )
