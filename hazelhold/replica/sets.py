"""The replica set of a key. It depends on the configured set and its epoch alone, never on who is considered
alive.

Rendezvous hashing (Thaler, Ravishankar 1998): each planner's score for a key is the hash of both, and the
planners with the highest scores hold the key. Zones are used in turn, so that no zone has two replicas while
another has none. Adding or removing a planner moves that planner's share of the keys and no others.
"""

from collections.abc import Sequence
from functools import lru_cache
from heapq import nlargest
from typing import NamedTuple

import xxhash

SLOTS = (
    4096  # keys share sets by slot, so that few sets are computed; of 230 planners each holds about 53 slots
)


class ReplicaCandidate(NamedTuple):
    """A planner of the configured set, which can hold replicas."""

    name: str
    zone: str = ""


def replicas(key: str, planners: Sequence[ReplicaCandidate], count: int) -> tuple[str, ...]:
    """The planners that hold the key: the same wherever the configured set is the same, and all planners if
    there are fewer than `count`."""
    prefix = f"{len(key)}/{key}/".encode()
    zones: dict[str, list[tuple[int, str]]] = {}  # scores, the best of a zone last
    for zone, name, encoded in _encoded(tuple(planners)):
        zones.setdefault(zone, []).append((xxhash.xxh3_64_intdigest(prefix + encoded), name))
    for zone, scores in zones.items():
        zones[zone] = nlargest(count, scores)[::-1]
    used = dict.fromkeys(zones, 0)
    chosen: list[str] = []
    while zones and len(chosen) < count:
        zone = min(zones, key=lambda z: (used[z], -zones[z][-1][0], zones[z][-1][1]))
        chosen.append(zones[zone].pop()[1])
        used[zone] += 1
        if not zones[zone]:
            del zones[zone]
    return tuple(chosen)


@lru_cache(maxsize=8)
def _encoded(planners: tuple[ReplicaCandidate, ...]) -> list[tuple[str, str, bytes]]:
    return [(p.zone, p.name, p.name.encode()) for p in planners]


class ReplicaSets:
    """The replica sets of one epoch. A key's slot is a hash of the key alone and each slot's set is computed
    once, so the work for a key does not grow with the number of planners."""

    def __init__(self, planners: Sequence[ReplicaCandidate], count: int, size: int = SLOTS) -> None:
        self.planners, self.count, self.size = tuple(planners), count, size
        self.slots: dict[int, tuple[str, ...]] = {}  # at most `size` entries
        self.held_slots: dict[str, dict[int, tuple[str, ...]]] = {}  # results of `slots_of` by planner

    def slot(self, key: str) -> int:
        """The slot of a key."""
        return xxhash.xxh3_64_intdigest(key.encode()) % self.size

    def __call__(self, key: str) -> tuple[str, ...]:
        """The replica set of a key."""
        return self.of(self.slot(key))

    def of(self, slot: int) -> tuple[str, ...]:
        """The replica set of a slot."""
        chosen = self.slots.get(slot)
        if chosen is None:
            chosen = self.slots[slot] = replicas(f"slot/{slot}", self.planners, self.count)
        return chosen

    def slots_of(self, name: str) -> dict[int, tuple[str, ...]]:
        """The slots that a planner holds, each with its other replicas."""
        if name not in self.held_slots:
            members = {slot: self.of(slot) for slot in range(self.size)}
            self.held_slots[name] = {
                s: tuple(n for n in m if n != name) for s, m in members.items() if name in m
            }
        return self.held_slots[name]
