"""Configuration files' parts for the fleet's configuration (docs/fleetconfig.md): a planner's section
`fleetconfig`, and the file of a control machine.

Plain structures and checks that name all that is wrong at once. Addresses are IP address and port; spans are
milliseconds.
"""

from collections.abc import Sequence
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

from msgspec import Meta, Struct

from hazelhold.config.load import ConfigError, build, parse, read_text, split_address

Name = Annotated[str, Meta(min_length=1, max_length=100)]
Label = Annotated[str, Meta(max_length=60)]
Millis = Annotated[float, Meta(gt=0, le=86_400_000)]
Faults = list[tuple[str, str]]


class ControlMachine(Struct, frozen=True):
    """One of the machines that hold the agreed order."""

    name: Name
    address: str  # where followers, writers and the other control machines reach it, TCP
    region: Label = ""


class FleetConfigSection(Struct, frozen=True):
    """A planner's part: whom it may follow, and where others follow it. Off without `listen`."""

    listen: str = ""  # where those that follow this planner reach it, TCP; empty: off. Others learn of it
    # by the document's item `planners/NAME`
    deployment: Name = "hazelhold"
    zone: Label = ""
    region: Label = ""
    control: list[ControlMachine] = []
    folder: str = ""  # for the last revision, so that a planner that is cut off starts with it
    reach: dict[str, str] = {}  # by name or told address: where it is reached from here
    relays: Annotated[int, Meta(ge=0, le=16)] = 2  # planners of each zone and region that others follow, the
    # same in the files of all; 0: all follow control machines
    slow_ms: Millis = 2000.0  # a commit to the folder that takes longer counts as a failed disk
    retry_ms: Millis = 1000.0  # how often a failed disk is tried again


class ControlSeat(Struct, frozen=True):
    """One control machine as the others of its kind know it: it also votes on the head of the order."""

    name: Name
    address: str  # where followers, writers and the other control machines reach it, TCP
    votes: str  # where its votes are reached, TCP
    region: Label = ""
    zone: Label = ""  # the votes are spread over these


class VotesSection(Struct, frozen=True):
    """This machine's votes on the head of the order. All but `listen`, `folder` and `reach` is the same in
    the files of all."""

    listen: str  # where the other control machines reach them, TCP
    folder: str  # for its votes alone; made by `hazelhold fleetconfig found`
    replicas: Annotated[int, Meta(ge=1, le=15)] = 5  # how many keep the head; odd
    epoch: Annotated[int, Meta(ge=1, le=1 << 31)] = 1
    reach: dict[str, str] = {}  # by name: where its votes are reached from here, if not at that address


class ControlFile(Struct, frozen=True):
    """The file of one control machine."""

    name: Name
    listen: str  # where followers, writers and the other control machines reach it, TCP
    deployment: Name
    folder: str  # for the revisions
    control: list[ControlSeat]
    votes: VotesSection
    reach: dict[str, str] = {}  # by name of a control machine: where it is reached from here
    propose_ms: Millis = 5000.0  # the longest that a change may be tried for
    slow_ms: Millis = 2000.0
    retry_ms: Millis = 1000.0


def _addresses(given: list[tuple[str, str]]) -> Faults:
    """What is wrong with addresses, by place. Those to listen at may leave the port to the system."""
    faults = []
    for place, text in given:
        try:
            host, port = split_address(text)
            ip_address(host)
        except ValueError as wrong:
            faults.append((place, str(wrong)))
            continue
        if not port and not place.endswith("listen"):
            faults.append((place, "needs a port"))
    return faults


def _doubles(place: str, names: list[str]) -> Faults:
    return [
        (f"{place}[{at}].name", f"the name {name!r} is there twice")
        for at, name in enumerate(names)
        if name in names[:at]
    ]


def _control(place: str, machines: Sequence[ControlMachine | ControlSeat]) -> Faults:
    """What is wrong with a list of control machines."""
    faults = _addresses([(f"{place}[{at}].address", m.address) for at, m in enumerate(machines)])
    return faults + _doubles(place, [m.name for m in machines])


def check_section(section: FleetConfigSection, planner: str, state_folder: str, captures: bool) -> Faults:
    """What is wrong with a planner's section. Only if it is on: off, nothing else may be set."""
    if not section.listen:
        wrong = "is missing: without it the fleet's configuration is off, but other keys are set"
        return [("fleetconfig.listen", wrong)] if section != FleetConfigSection() else []
    given = [("fleetconfig.listen", section.listen)]
    given += [(f"fleetconfig.reach[{name!r}]", to) for name, to in section.reach.items()]
    faults = _addresses(given) + _control("fleetconfig.control", section.control)
    if not section.control:
        faults.append(("fleetconfig.control", "is empty: there is nobody to follow"))
    if planner in [m.name for m in section.control]:
        faults.append(("fleetconfig.control", f"{planner!r} is this planner's own name"))
    if not section.folder:
        faults.append(("fleetconfig.folder", "is missing: the last revision has to outlive the process"))
    elif section.folder == state_folder:
        faults.append(("fleetconfig.folder", "is that of the state: revisions need one of their own"))
    if captures:
        faults.append(("fleetconfig", "a capture cannot be replayed with revisions in it yet: not both"))
    return faults


def check_control(file: ControlFile) -> Faults:
    """All that is wrong with a control machine's file."""
    votes = file.votes
    given = [("listen", file.listen), ("votes.listen", votes.listen)]
    given += [(f"reach[{name!r}]", to) for name, to in file.reach.items()]
    given += [(f"votes.reach[{name!r}]", to) for name, to in votes.reach.items()]
    given += [(f"control[{at}].votes", seat.votes) for at, seat in enumerate(file.control)]
    faults = _addresses(given) + _control("control", file.control)
    names = [seat.name for seat in file.control]
    if file.name not in names:
        faults.append(("control", f"this machine, {file.name!r}, is not among them"))
    for place, reach in (("reach", file.reach), ("votes.reach", votes.reach)):
        faults += [(f"{place}[{n!r}]", "is no control machine") for n in reach if n not in names]
    if votes.replicas % 2 == 0:
        faults.append(("votes.replicas", "is even: an odd number bears as many losses with one less"))
    if votes.replicas > len(names):
        faults.append(("votes.replicas", f"is more than the {len(names)} control machines"))
    for place, folder in (("folder", file.folder), ("votes.folder", votes.folder)):
        if not folder:
            faults.append((place, "is empty: revisions and votes have to outlive the process"))
    if file.folder and file.folder == votes.folder:
        faults.append(("votes.folder", "is that of the revisions: votes need one of their own"))
    return faults


def read_control(path: Path) -> ControlFile:
    """The checked file of a control machine; ConfigError names all that is wrong with it."""
    file = build(ControlFile, parse(read_text(path), str(path)), str(path))
    if faults := check_control(file):
        raise ConfigError(str(path), faults)
    return file
