"""Workers as the list names them at the target size: entries for messages, machines for the module.

Names and addresses are as long as a fleet of this size is likely to have them; the list's bytes depend on it.
"""

from bench.capacity.target import RACK_WORKERS, REGIONS, WORKERS, ZONES
from hazelhold.interface import ListedMachine, MachineMode
from hazelhold.protocol.messages import Entry

CORES = 2000.0  # room for whatever comes, so that room is never what limits a measurement
MEMORY = 4000.0
ZONE_WORKERS = WORKERS / ZONES
REGION_WORKERS = WORKERS / REGIONS


SMALL_FLEET = 200


def fleet_for(size: int) -> int:
    """Workers among which so many change: all, or few for sizes that only check the command."""
    return WORKERS if size >= RACK_WORKERS else SMALL_FLEET


def name(number: int) -> str:
    return f"worker-{number:05d}"


def zone(number: int) -> int:
    return int(number // ZONE_WORKERS) % ZONES


def cell(number: int) -> int:
    return number // RACK_WORKERS


def address(number: int) -> str:
    return f"10.{zone(number)}.{number // 250 % 256}.{number % 250 + 1}:7070"


def entry(number: int, incarnation: int = 1) -> Entry:
    """One worker as a list service tells it, in use: rooms are no round numbers then."""
    return Entry(
        machine=name(number),
        address=address(number),
        mode="ready",
        kind="box",
        incarnation=incarnation,
        up_for=600_000_000 + number,
        zone=zone(number),
        cell=cell(number),
        cores_room=CORES - number % 97 / 7,
        memory_room=MEMORY - number % 89 / 7,
    )


def entries(count: int, incarnation: int = 1) -> list[Entry]:
    return [entry(number, incarnation) for number in range(count)]


def listed(number: int, started: int = 0) -> ListedMachine:
    """The same worker as the module is told of it."""
    return ListedMachine(
        name(number), MachineMode.READY, started, zone(number), cell(number), 0, CORES, MEMORY
    )
