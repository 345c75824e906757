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
AT_ONCE = 8  # decisions before peers are read again: of up to some 10 ms each, within a drain's 250 ms grace
WIDEST = 1e12  # a setting past this is none
LEASE_PART = 0.8  # of the grace for drains: the rest is for an offer's way to its machine
LEASE_LEAST = 20_000  # microseconds; the protocol makes each limit 50 ms longer
DRAIN_GRACE = 250_000  # microseconds, where the settings name none
LONGEST_GRACE = 86_400_000_000  # microseconds; more is none
LOST_AFTER_MS = 3500.0  # a machine out of reach so long has lost what stood there; owners must hear in 8 s


class Bounds(Struct, frozen=True):
    """What the planner's processes may use."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 256


class Known(Struct, frozen=True):
    """The events of the bulletin up to number `no`."""

    no: int
    items: list[dict[str, Any]]


class File(Struct, frozen=True):
    """The file as it stands; keys that are not known are passed over."""

    name: str
    listen: str
    seed: str
    bulletin: str
    known: Known
    settings: dict[str, Any]
    limits: Bounds = Bounds()


class Start(NamedTuple):
    """A checked configuration."""

    name: str
    listen: str
    seed: int
    bounds: Bounds
    bulletin: str
    known: Known
    terms: Terms
    zones: dict[str, int]
    most: tuple[float, float]  # cores and memory that the largest machine may be asked for in all
    patience: tuple[int, ...]  # by product: the longest, in microseconds


def flat(settings: dict[str, Any]) -> dict[str, str]:
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


def names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    """The names in a list of objects, or of plain names; as they come, for they are compared with
    messages."""
    listed = settings.get(key) or []
    if not isinstance(listed, list):
        return ()
    return tuple(str(each.get("name", "")) if isinstance(each, dict) else str(each) for each in listed)


def read_start(path: Path, tries: int = 1) -> Start:
    """ConfigError names all that is wrong with the file. `tries` as of `read_text`."""
    return check_start(read_text(path, tries), str(path))


def check_start(text: str, file: str) -> Start:
    try:
        raw = msgspec.json.decode(text)
    except msgspec.MsgspecError as wrong:
        raise ConfigError(file, [("syntax", str(wrong))]) from None
    if not isinstance(raw, dict):
        raise ConfigError(file, [("top", "expected an object")])
    faults: list[tuple[str, str]] = []
    given: dict[str, Any] = {}
    for each in msgspec.structs.fields(File):
        if each.name not in raw:
            if each.required:
                faults.append((each.name, "is missing"))
            continue
        try:
            given[each.name] = msgspec.convert(raw[each.name], each.type)
        except msgspec.ValidationError as wrong:
            faults.append((each.name, str(wrong)))
    for key in ("listen", "bulletin"):
        if key in given:
            try:
                split_address(given[key])
            except ValueError as wrong:
                faults.append((key, str(wrong)))
    seed = 0
    if "seed" in given:
        try:
            seed = int(given["seed"], 16)
        except ValueError:
            faults.append(("seed", f"{given['seed']!r} are no hex digits"))
    bounds = given.get("limits", Bounds())
    if bounds.sockets < 32:
        faults.append(("limits.sockets", f"{bounds.sockets}: at least 32 are needed"))
    facts = None
    settings = given.get("settings", {})
    pairs = Pairs([])
    pairs.values = flat(settings)
    if settings:
        try:
            facts = read_deployment(pairs)
            facts = facts._replace(
                dispatches_identified=PLATFORM.names_attempts,
                ages_by_clock=True,
                list_lease=list_lease(pairs) if PLATFORM.list_confirms else 0,
            )
        except (WireError, ValueError, OverflowError) as wrong:
            faults.append(("settings", str(wrong)))
        else:
            faults += unsound(facts)
    limits = _limits(pairs, bounds, faults)
    if faults or facts is None:
        raise ConfigError(file, faults or [("settings", "are empty")])
    terms = Terms(
        facts,
        names(settings, "classes"),
        names(settings, "tenants"),
        names(settings, "kinds"),
        limits,
        PLATFORM._replace(tells_use=truth(pairs.values.get("family-info.use-notes", ""))),
    )
    most = (
        max(k.cores for k in facts.machine_kinds) * facts.cores_multiple,
        max(k.memory for k in facts.machine_kinds) * facts.memory_multiple,
    )
    patience = tuple(pairs.duration(f"classes.{at}.deadline") for at in range(len(facts.guest_classes)))
    return Start(
        given["name"],
        given["listen"],
        seed,
        bounds,
        given["bulletin"],
        given["known"],
        terms,
        {name: at for at, name in enumerate(names(settings, "zones"))},
        most,
        patience,
    )


def list_lease(pairs: Pairs) -> int:
    """For how long a confirmation of the list holds, in microseconds; WireError if the grace is none."""
    grace = pairs.duration("rules.drain-grace") if "rules.drain-grace" in pairs.values else DRAIN_GRACE
    if not 0 <= grace <= LONGEST_GRACE:
        raise WireError(f"setting rules.drain-grace: {grace} microseconds are no grace")
    return max(LEASE_LEAST, round(LEASE_PART * grace))


def unsound(facts: Deployment) -> list[tuple[str, str]]:
    """Figures that can be read and cannot be meant: the module reckons with all of them."""
    found = [
        (f"settings: {name}", f"{value} is no figure")
        for name, value in facts._asdict().items()
        if isinstance(value, float) and not abs(value) <= WIDEST
    ]
    for place, figures in (("kinds", facts.machine_kinds), ("classes", facts.guest_classes)):
        found += [
            (f"settings: {place}.{at}", f"{value} is no figure")
            for at, each in enumerate(figures)
            for value in each
            if isinstance(value, float) and not abs(value) <= WIDEST
        ]
    if not facts.machine_kinds or not facts.guest_classes:
        found.append(("settings", "at least one class and one kind are needed"))
    found += [
        ("settings: kinds", f"a machine of {kind.cores:g} cores and {kind.memory:g} of memory")
        for kind in facts.machine_kinds
        if not (kind.cores > 0 and kind.memory > 0)
    ]
    found += [
        (f"settings: {name}", f"{value}: at least 1 is needed")
        for name, value in (("balancers", facts.planners), ("limits.max-attempts", facts.max_dispatches))
        if value < 1
    ]
    return found


def _limits(pairs: Pairs, bounds: Bounds, faults: list[tuple[str, str]]) -> LimitsConfig:
    """Bounds on peers from the settings: how long a connection may take to come up, and to stay idle."""
    spans = {"connect": 250.0, "idle": 15_000.0}
    for key, path in (("connect", "limits.connect-timeout"), ("idle", "limits.idle-close")):
        text = pairs.values.get(path, "")
        try:
            value = float(text) if text else spans[key]
        except ValueError:
            value = math.nan
        if not 0 < value <= 86_400_000:
            faults.append((f"settings.{path}", f"{text!r} is no span"))
        else:
            spans[key] = value
    # Owners hold a third of the descriptors, bad ones may come on top; some are for the listener, the
    # bulletin and connections that are being closed; machines get the rest.
    owners = max(8, bounds.sockets * 2 // 5)
    # Ours closes first: four fifths of the time after which a machine closes.
    return LimitsConfig(
        connect_ms=spans["connect"],
        idle_close_ms=0.8 * spans["idle"],
        reconnect_ms=LOST_AFTER_MS,
        open_guests=20_000,
        keep_answers_ms=8000.0,
        send_bytes=1 << 18,
        connections=owners,
        decisions_at_once=AT_ONCE,
        links=max(4, bounds.sockets - owners - max(16, bounds.sockets // 12)),
    )
