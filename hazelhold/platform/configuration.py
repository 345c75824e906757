"""Reads and checks the platform's configuration file.

Its settings are nested. They are flattened to the paths that the simulator's protocol uses, so that one
reader converts both forms to the scheduler's deployment settings.
"""

import math
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from hazelhold.config.load import ConfigError, read_text, split_address
from hazelhold.config.planner import LimitsConfig
from hazelhold.engine.list_lease import lease_duration
from hazelhold.engine.settings import EngineSettings, PeerCapabilities, StepLimits
from hazelhold.interface import Deployment
from hazelhold.platform.number_ranges import DEADLINE, DURATION_SETTING, SETTING
from hazelhold.simhost import Pairs, WireError, read_deployment, truth

PLATFORM = PeerCapabilities(
    reports_inventory=False,
    identifies_dispatches=False,
    owners_resubmit=False,
    acknowledges_submission=False,
    advises_retry=False,
    list_confirms=True,
    reports_moves=True,
)
# Decisions between reads of peers. One takes up to some 10 ms, and a drain has to be read within its grace of
# 250 ms.
DECISIONS_AT_ONCE = 8
STEP_LIMITS = StepLimits(machines=4_000, answers=64)  # a machine considered takes some 5 us
MIN_LEASE = 20_000  # microseconds; the protocol extends each limit by 50 ms
DRAIN_GRACE = 250_000  # microseconds; the default
MAX_GRACE = 86_400_000_000  # microseconds; larger values are rejected
# A machine that is unreachable for this time has lost its guests; owners must be told within 8 s.
LOST_AFTER_MS = 3500.0


class ResourceLimits(Struct, frozen=True):
    """Resource limits of the planner's process."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 256


class KnownEvents(Struct, frozen=True):
    """The discovery events up to number `no` that the configuration file contains."""

    no: int
    items: list[dict[str, Any]]


class ConfigurationFile(Struct, frozen=True):
    """The configuration file; unknown keys are ignored."""

    name: str
    listen: str
    seed: str
    bulletin: str
    known: KnownEvents
    settings: dict[str, Any]
    limits: ResourceLimits = ResourceLimits()


class StartSettings(NamedTuple):
    """A checked configuration, in the form in which the planner uses it."""

    name: str
    listen: str
    seed: int
    bounds: ResourceLimits
    bulletin: str
    known: KnownEvents
    engine_settings: EngineSettings
    zones: dict[str, int]  # zone numbers by name
    max_resources: tuple[float, float]  # total cores and memory that the largest machine can have requested
    max_time_left: tuple[int, ...]  # the longest time left by guest class, in microseconds


def flatten(settings: dict[str, Any]) -> dict[str, str]:
    """Flattens settings to texts by path, as in the simulator's first message.

    Lists of plain values are joined by commas, lists of objects become numbered paths with a count, and
    spaces and commas inside values become underscores.
    """
    flat: dict[str, str] = {}

    def to_text(value: object) -> str:
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value).replace(" ", "_").replace(",", "_")

    def walk(path: str, value: object) -> None:
        if isinstance(value, dict):
            for key, each in value.items():
                walk(f"{path}.{key}" if path else str(key), each)
        elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
            flat[f"{path}.count"] = str(len(value))
            for at, each in enumerate(value):
                walk(f"{path}.{at}", each)
        elif isinstance(value, list):
            flat[path] = ",".join(to_text(each) for each in value)
        elif value is not None:
            flat[path] = to_text(value)

    walk("", settings)
    return flat


def item_names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """Returns the names in a list of objects or of plain names, unchanged: they are compared with
    messages."""
    items = settings.get(key) or []
    if not isinstance(items, list):
        return ()
    return tuple(str(each.get("name", "")) if isinstance(each, dict) else str(each) for each in items)


def read_start(path: Path, tries: int = 1) -> StartSettings:
    """Reads and checks a configuration file; ConfigError lists all its errors. `tries` as in `read_text`."""
    return check_start(read_text(path, tries), str(path))


def check_start(text: str, file: str) -> StartSettings:
    """Checks the text of a configuration file; ConfigError lists all its errors under the name `file`."""
    try:
        raw = msgspec.json.decode(text)
    except msgspec.MsgspecError as error:
        raise ConfigError(file, [("syntax", str(error))]) from None
    if not isinstance(raw, dict):
        raise ConfigError(file, [("top", "expected an object")])
    faults: list[tuple[str, str]] = []
    values: dict[str, Any] = {}
    for each in msgspec.structs.fields(ConfigurationFile):
        if each.name not in raw:
            if each.required:
                faults.append((each.name, "is missing"))
            continue
        try:
            values[each.name] = msgspec.convert(raw[each.name], each.type)
        except msgspec.ValidationError as error:
            faults.append((each.name, str(error)))
    for key in ("listen", "bulletin"):
        if key in values:
            try:
                split_address(values[key])
            except ValueError as error:
                faults.append((key, str(error)))
    seed = 0
    if "seed" in values:
        try:
            seed = int(values["seed"], 16)
        except ValueError:
            faults.append(("seed", f"{values['seed']!r} is not hexadecimal"))
    bounds = values.get("limits", ResourceLimits())
    if bounds.sockets < 32:
        faults.append(("limits.sockets", f"{bounds.sockets}: at least 32 are needed"))
    deployment, max_time_left = None, ()
    settings = values.get("settings", {})
    pairs = Pairs([])
    pairs.values = flatten(settings)
    if settings:
        try:
            deployment = read_deployment(pairs)
            deployment = deployment._replace(
                dispatches_identified=PLATFORM.identifies_dispatches,
                ages_by_clock=True,
                list_lease=list_lease(pairs) if PLATFORM.list_confirms else 0,
            )
        except (WireError, ValueError, OverflowError) as error:
            faults.append(("settings", str(error)))
        else:
            faults += check_deployment(deployment)
            max_time_left = _deadlines(pairs, len(deployment.guest_classes), faults)
    limits = _limits(pairs, bounds, faults)
    if faults or deployment is None:
        raise ConfigError(file, faults or [("settings", "are empty")])
    engine_settings = EngineSettings(
        deployment,
        item_names(settings, "classes"),
        item_names(settings, "tenants"),
        item_names(settings, "kinds"),
        limits,
        PLATFORM._replace(
            reports_load=pairs.values.get("load-report.how", "") != "off",
            reports_use=truth(pairs.values.get("family-info.use-notes", "")),
        ),
        step_limits=STEP_LIMITS,
    )
    max_resources = (
        max(k.cores for k in deployment.machine_kinds) * deployment.cores_multiple,
        max(k.memory for k in deployment.machine_kinds) * deployment.memory_multiple,
    )
    return StartSettings(
        values["name"],
        values["listen"],
        seed,
        bounds,
        values["bulletin"],
        values["known"],
        engine_settings,
        {name: at for at, name in enumerate(item_names(settings, "zones"))},
        max_resources,
        max_time_left,
    )


def list_lease(pairs: Pairs) -> int:
    """How long a confirmation of the list is valid, in microseconds; WireError if the grace is invalid."""
    grace = pairs.duration("rules.drain-grace") if "rules.drain-grace" in pairs.values else DRAIN_GRACE
    if not 0 <= grace <= MAX_GRACE:
        raise WireError(f"setting rules.drain-grace: {grace} microseconds are out of range")
    return max(MIN_LEASE, lease_duration(grace))


def check_deployment(deployment: Deployment) -> list[tuple[str, str]]:
    """Finds values that are readable but invalid, since the scheduler calculates with all of them."""
    faults = [
        (f"settings: {name}", f"{value} is out of range")
        for name, value in deployment._asdict().items()
        if isinstance(value, int | float) and not _is_valid(value)
    ]
    for place, figures in (("kinds", deployment.machine_kinds), ("classes", deployment.guest_classes)):
        faults += [
            (f"settings: {place}.{at}", f"{value} is out of range")
            for at, each in enumerate(figures)
            for value in each
            if isinstance(value, int | float) and not _is_valid(value)
        ]
    if not deployment.machine_kinds or not deployment.guest_classes:
        faults.append(("settings", "at least one class and one kind are needed"))
    faults += [
        ("settings: kinds", f"a machine with {kind.cores:g} cores and {kind.memory:g} of memory")
        for kind in deployment.machine_kinds
        if not (kind.cores > 0 and kind.memory > 0)
    ]
    faults += [
        (f"settings: {name}", f"{value}: at least 1 is needed")
        for name, value in (
            ("balancers", deployment.planners),
            ("limits.max-attempts", deployment.max_dispatches),
        )
        if value < 1
    ]
    return faults


def _is_valid(value: float) -> bool:
    """Whether a setting is in the range of its type: durations and counts are whole numbers."""
    return (DURATION_SETTING if isinstance(value, int) else SETTING).has(value)


def _deadlines(pairs: Pairs, classes: int, faults: list[tuple[str, str]]) -> tuple[int, ...]:
    """The longest time left by guest class, in microseconds. Adds errors to `faults`."""
    deadlines = []
    for at in range(classes):
        path = f"classes.{at}.deadline"
        try:
            deadlines.append(pairs.duration(path))
        except WireError as error:
            faults.append(("settings", str(error)))
            continue
        if not DEADLINE.has(deadlines[-1]):
            faults.append((f"settings: {path}", f"{deadlines[-1]} microseconds are out of range"))
    return tuple(deadlines)


def _limits(pairs: Pairs, bounds: ResourceLimits, faults: list[tuple[str, str]]) -> LimitsConfig:
    """The limits on connections, from the settings and the process's descriptors (`bounds`). Adds errors
    to `faults`."""
    durations = {"connect": 250.0, "idle": 15_000.0}
    for key, path in (("connect", "limits.connect-timeout"), ("idle", "limits.idle-close")):
        text = pairs.values.get(path, "")
        try:
            value = float(text) if text else durations[key]
        except ValueError:
            value = math.nan
        if not 0 < value <= 86_400_000:
            faults.append((f"settings.{path}", f"{text!r} is not a duration"))
        else:
            durations[key] = value
    # Owners get two fifths of the descriptors: a third for regular use and some for misbehaving ones. Some
    # are reserved for the listener, discovery and closing connections; machines get the rest.
    owners = max(8, bounds.sockets * 2 // 5)
    # Idle connections are closed after four fifths of the machines' own idle timeout: this side closes
    # first.
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
