"""Settings of the fleet's configuration service (docs/fleetconfig.md): a planner's section `fleetconfig`, and
the file of a control machine.

The checks report all errors of a file together. Addresses are IP address and port; durations are in
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
    """One of the control machines, which agree on the order of revisions."""

    name: Name
    address: str  # where followers, writers and the other control machines reach it, TCP
    region: Label = ""


class FleetConfigSection(Struct, frozen=True):
    """A planner's section: which sources it may follow, and where others may follow it."""

    listen: str = ""  # TCP address for the planners that follow this one; empty: the section is off. Others
    # learn the address from the document's item `planners/NAME`
    deployment: Name = "hazelhold"
    zone: Label = ""
    region: Label = ""
    control: list[ControlMachine] = []
    folder: str = ""  # stores the last revision, so that a partitioned planner can start with it
    reach: dict[str, str] = {}  # by name or advertised address: the address at which it is reached from here
    relays: Annotated[int, Meta(ge=0, le=16)] = 2  # planners of each zone and region that others follow, the
    # same in all planners' files; 0: all follow control machines
    slow_ms: Millis = 2000.0  # a commit to the folder that takes longer counts as a disk failure
    retry_ms: Millis = 1000.0  # interval at which a failed disk is retried


class ControlSeat(Struct, frozen=True):
    """One control machine in the control machines' own files, with the address of its votes on the head."""

    name: Name
    address: str  # where followers, writers and the other control machines reach it, TCP
    votes: str  # TCP address of its votes
    region: Label = ""
    zone: Label = ""  # the replicas of the votes are spread over zones


class VotesSection(Struct, frozen=True):
    """This machine's votes on the head of the order of revisions.

    All keys except `listen`, `folder` and `reach` are the same in the files of all control machines.
    """

    listen: str  # TCP address for the other control machines
    folder: str  # for its votes alone; created by `hazelhold fleetconfig found`
    replicas: Annotated[int, Meta(ge=1, le=15)] = 5  # machines that store the head; odd
    epoch: Annotated[int, Meta(ge=1, le=1 << 31)] = 1
    reach: dict[str, str] = {}  # by name: the address of its votes from here, if it differs


class ControlFile(Struct, frozen=True):
    """The configuration file of one control machine."""

    name: Name
    listen: str  # TCP address for followers, writers and the other control machines
    deployment: Name
    folder: str  # for the revisions
    control: list[ControlSeat]
    votes: VotesSection
    reach: dict[str, str] = {}  # by name of a control machine: the address at which it is reached from here
    propose_ms: Millis = 5000.0  # time limit for proposing a change
    slow_ms: Millis = 2000.0
    retry_ms: Millis = 1000.0


def _address_faults(addresses: list[tuple[str, str]]) -> Faults:
    """Checks addresses, given by place. Only a listening address may have port 0 (chosen by the system)."""
    faults = []
    for place, text in addresses:
        try:
            host, port = split_address(text)
            ip_address(host)
        except ValueError as error:
            faults.append((place, str(error)))
            continue
        if not port and not place.endswith("listen"):
            faults.append((place, "needs a port"))
    return faults


def _duplicate_faults(place: str, names: list[str]) -> Faults:
    return [
        (f"{place}[{at}].name", f"the name {name!r} is not unique")
        for at, name in enumerate(names)
        if name in names[:at]
    ]


def _control_faults(place: str, machines: Sequence[ControlMachine | ControlSeat]) -> Faults:
    """Checks the addresses and names of a list of control machines."""
    faults = _address_faults([(f"{place}[{at}].address", m.address) for at, m in enumerate(machines)])
    return faults + _duplicate_faults(place, [m.name for m in machines])


def check_section(section: FleetConfigSection, planner: str, state_folder: str, captures: bool) -> Faults:
    """Checks a planner's section. Without `listen` the section is off, and no other key may be set."""
    if not section.listen:
        reason = "is missing: without it the fleet's configuration is off, but other keys are set"
        return [("fleetconfig.listen", reason)] if section != FleetConfigSection() else []
    addresses = [("fleetconfig.listen", section.listen)]
    addresses += [(f"fleetconfig.reach[{name!r}]", address) for name, address in section.reach.items()]
    faults = _address_faults(addresses) + _control_faults("fleetconfig.control", section.control)
    if not section.control:
        faults.append(("fleetconfig.control", "is empty: there is no source to follow"))
    if planner in [m.name for m in section.control]:
        faults.append(("fleetconfig.control", f"{planner!r} is this planner's own name"))
    if not section.folder:
        faults.append(("fleetconfig.folder", "is missing: the last revision has to survive a restart"))
    elif section.folder == state_folder:
        faults.append(("fleetconfig.folder", "is also the state folder: revisions need their own folder"))
    if captures:
        faults.append(
            ("fleetconfig", "cannot be combined with a capture: replay does not support revisions yet")
        )
    return faults


def check_control(file: ControlFile) -> Faults:
    """Checks a control machine's file as a whole."""
    votes = file.votes
    addresses = [("listen", file.listen), ("votes.listen", votes.listen)]
    addresses += [(f"reach[{name!r}]", address) for name, address in file.reach.items()]
    addresses += [(f"votes.reach[{name!r}]", address) for name, address in votes.reach.items()]
    addresses += [(f"control[{at}].votes", seat.votes) for at, seat in enumerate(file.control)]
    faults = _address_faults(addresses) + _control_faults("control", file.control)
    names = [seat.name for seat in file.control]
    if file.name not in names:
        faults.append(("control", f"this machine, {file.name!r}, is missing"))
    for place, reach in (("reach", file.reach), ("votes.reach", votes.reach)):
        faults += [(f"{place}[{n!r}]", "is not a control machine") for n in reach if n not in names]
    if votes.replicas % 2 == 0:
        faults.append(("votes.replicas", "is even: one replica less tolerates as many failures"))
    if votes.replicas > len(names):
        faults.append(("votes.replicas", f"exceeds the {len(names)} control machines"))
    for place, folder in (("folder", file.folder), ("votes.folder", votes.folder)):
        if not folder:
            faults.append((place, "is empty: revisions and votes have to survive a restart"))
    if file.folder and file.folder == votes.folder:
        faults.append(("votes.folder", "is also the folder of the revisions: votes need their own folder"))
    return faults


def read_control(path: Path) -> ControlFile:
    """Reads and checks the file of a control machine; ConfigError lists all its errors."""
    file = build(ControlFile, parse(read_text(path), str(path)), str(path))
    if faults := check_control(file):
        raise ConfigError(str(path), faults)
    return file
