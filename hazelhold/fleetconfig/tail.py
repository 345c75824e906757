"""The register's tail as one control machine knows it, and who has stored what. No I/O."""

from collections.abc import Iterable

from hazelhold.fleetconfig.revision import SealedRevision


class StoredFacts:
    """Up to which revision each control machine said to have all on disk. Facts only grow."""

    def __init__(self, machines: Iterable[str]) -> None:
        self.by_machine = dict.fromkeys(machines, 0)

    def learn(self, machine: str, number: int) -> bool:
        """Whether that is news; a machine that is none of the set tells none."""
        if number <= self.by_machine.get(machine, number):
            return False
        self.by_machine[machine] = number
        return True

    @property
    def by_majority(self) -> int:
        """The last revision that more than half of the machines have stored."""
        return sorted(self.by_machine.values(), reverse=True)[len(self.by_machine) // 2]


class Tail:
    """The revisions that the register carries, and those committed after it was read. They close a gap, and
    tell how much room the next revision has beside them."""

    def __init__(self, most_bytes: int) -> None:
        self.most_bytes = most_bytes
        self.revisions: list[SealedRevision] = []  # in order

    def found(self, tail: list[SealedRevision], number: int) -> None:
        """The register's tail, up to its head of this number."""
        self.revisions = tail + [each for each in self.revisions if each.revision.number > number]

    def add(self, revisions: list[SealedRevision]) -> None:
        """These were committed."""
        last = self.revisions[-1].revision.number if self.revisions else 0
        self.revisions += [each for each in revisions if each.revision.number > last]

    def trim(self, stored: int) -> int:
        """Drops what the next Advance drops; how many bytes that leaves. Of what is past the bound all the
        same, so that nothing fits beside it, only so much is kept that it is still past it."""
        left = sum(len(each.body) for each in self.revisions if each.revision.number > stored)
        dropped = 0
        for each in self.revisions:
            size = len(each.body) if each.revision.number > stored else 0
            if size and left - size <= self.most_bytes:
                break
            left -= size
            dropped += 1
        del self.revisions[:dropped]
        return left
