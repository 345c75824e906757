"""Which planners keep a key: from the configured set and its epoch alone, never from who is thought alive.

Rendezvous hashing (Thaler, Ravishankar 1998): each planner's draw for a key is the hash of both; the
highest draws keep it, zones in turn so that no zone has two while another has none. A planner that is added
or removed moves its own share of keys and no others.
"""

from collections.abc import Sequence
from functools import lru_cache
from heapq import nlargest
from typing import NamedTuple

import xxhash

SLOTS = 4096  # keys share sets by slot, so that a set is drawn once; 230 planners keep some 53 slots each


class ReplicaCandidate(NamedTuple):
    """A planner of the configured set."""

    name: str
    zone: str = ""


def replicas(key: str, planners: Sequence[ReplicaCandidate], count: int) -> tuple[str, ...]:
    """The planners that keep the key, the same for everyone with the same set; all of them if there are too
    few."""
    before = f"{len(key)}/{key}/".encode()
    zones: dict[str, list[tuple[int, str]]] = {}  # draws, the best of a zone last
    for zone, name, encoded in _encoded(tuple(planners)):
        zones.setdefault(zone, []).append((xxhash.xxh3_64_intdigest(before + encoded), name))
    for zone, drawn in zones.items():
        zones[zone] = nlargest(count, drawn)[::-1]
    used = dict.fromkeys(zones, 0)
    found: list[str] = []
    while zones and len(found) < count:
        zone = min(zones, key=lambda z: (used[z], -zones[z][-1][0], zones[z][-1][1]))
        found.append(zones[zone].pop()[1])
        used[zone] += 1
        if not zones[zone]:
            del zones[zone]
    return tuple(found)


@lru_cache(maxsize=8)
def _encoded(planners: tuple[ReplicaCandidate, ...]) -> list[tuple[str, str, bytes]]:
    return [(p.zone, p.name, p.name.encode()) for p in planners]


class ReplicaSets:
    """The sets of one epoch. A key's slot is a hash of the key alone, so the work for a key does not grow
    with planners; each slot's set is drawn once."""

    def __init__(self, planners: Sequence[ReplicaCandidate], count: int, size: int = SLOTS) -> None:
        self.planners, self.count, self.size = tuple(planners), count, size
        self.slots: dict[int, tuple[str, ...]] = {}  # `size` of them at most
        self.kept: dict[str, dict[int, tuple[str, ...]]] = {}  # by planner that was asked for

    def slot(self, key: str) -> int:
        return xxhash.xxh3_64_intdigest(key.encode()) % self.size

    def __call__(self, key: str) -> tuple[str, ...]:
        return self.of(self.slot(key))

    def of(self, slot: int) -> tuple[str, ...]:
        found = self.slots.get(slot)
        if found is None:
            found = self.slots[slot] = replicas(f"slot/{slot}", self.planners, self.count)
        return found

    def slots_of(self, name: str) -> dict[int, tuple[str, ...]]:
        """The slots that a planner keeps, each with its other members."""
        if name not in self.kept:
            members = {slot: self.of(slot) for slot in range(self.size)}
            self.kept[name] = {s: tuple(n for n in m if n != name) for s, m in members.items() if name in m}
        return self.kept[name]
