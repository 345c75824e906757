"""What the tests of kept state share: disks, stores and times."""

from hazelhold.standin.disk import FaultyDisk, Points
from hazelhold.state import store
from hazelhold.state.images import Change, EndImage, put

S = 1_000_000


def disk() -> FaultyDisk:
    return FaultyDisk(Points(set(), 1))


def end(number: int) -> Change:
    return put("end", f"g{number}", EndImage(f"g{number}", "done"))


def kept(on: FaultyDisk, count: int = 5) -> store.Store:
    made = store.Store(on, "p0")
    made.open(0, "p0 1")
    made.begin(0)
    for number in range(count):
        made.commit([end(number)])
    return made
