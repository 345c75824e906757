"""Disks, stores and times shared by the tests of stored state."""

from hazelhold.standin.disk import FaultyDisk, Points
from hazelhold.state import store
from hazelhold.state.images import Change, EndImage, put

S = 1_000_000  # microseconds in a second


def disk() -> FaultyDisk:
    """Returns a disk without faults."""
    return FaultyDisk(Points(set(), 1))


def end(number: int) -> Change:
    """Returns the change that stores the end of guest `g<number>`."""
    return put("end", f"g{number}", EndImage(f"g{number}", "done"))


def open_store(on: FaultyDisk, count: int = 5) -> store.Store:
    """Returns an open store of planner p0 with `count` ends committed."""
    opened = store.Store(on, "p0")
    opened.open(0, "p0 1")
    opened.begin(0)
    for number in range(count):
        opened.commit([end(number)])
    return opened
