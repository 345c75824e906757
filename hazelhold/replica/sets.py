"""Which planners keep a key: from the configured set and its epoch alone, never from who is thought alive.

Rendezvous hashing (Thaler, Ravishankar 1998): each planner's draw for a key is the hash of both; the
highest draws keep it, zones in turn so that no zone has two while another has none. A planner that is added
or removed moves its own share of keys and no others.
"""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

SLOTS = 4096  # keys share sets by slot, so that a set is drawn once; 230 planners keep some 53 slots each


class Keeper(NamedTuple):
    """A planner of the configured set."""

    name: str
    zone: str = ""


def draw(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{len(key)}/{key}/{name}".encode())


def replicas(key: str, planners: Sequence[Keeper], count: int) -> tuple[str, ...]:
    """The planners that keep the key, the same for everyone with the same set; all of them if there are too
    few."""
    order = sorted(planners, key=lambda p: (-draw(key, p.name), p.name))
    found: list[Keeper] = []
    while order and len(found) < count:
        used = {zone: sum(p.zone == zone for p in found) for zone in {p.zone for p in order}}
        least = min(used.values())
        chosen = next(p for p in order if used[p.zone] == least)
        order.remove(chosen)
        found.append(chosen)
    return tuple(p.name for p in found)


class Sets:
    """The sets of one epoch. A key's slot is a hash of the key alone, so the work for a key does not grow
    with planners; each slot's set is drawn once."""

    def __init__(self, planners: Sequence[Keeper], count: int, size: int = SLOTS) -> None:
        self.planners, self.count, self.size = tuple(planners), count, size
        self.slots: dict[int, tuple[str, ...]] = {}  # `size` of them at most

    def slot(self, key: str) -> int:
        return xxhash.xxh3_64_intdigest(key.encode()) % self.size

    def __call__(self, key: str) -> tuple[str, ...]:
        return self.of(self.slot(key))

    def of(self, slot: int) -> tuple[str, ...]:
        found = self.slots.get(slot)
        if found is None:
            found = self.slots[slot] = replicas(f"slot/{slot}", self.planners, self.count)
        return found
