"""What one connection may hand over: placed guests of which its owner's word is all that is known. No I/O.

A machine accepts no more than a multiple of its size, so an owner that names more guests there is wrong about
some of them. Each one that is believed takes a place among the guests of this planner for as long as its
machine does not report its end.
"""

from hazelhold.interface import MachineKind

CAPACITY_FACTOR = 2.0
"""Of what a machine accepts: guests may end and others follow while their owner hands over."""

MAX_ON_MACHINE = 1024
"""Guests that one connection may hand over on one machine."""

CONNECTION_SHARE = 0.25
"""Part of the guests that this planner holds at most which one connection may hand over."""


class HandoverLimits:
    """The guests that one connection has handed over, by machine; dropped with the connection."""

    def __init__(self, max_guests: int) -> None:
        self.max_guests = int(max_guests * CONNECTION_SHARE)
        self.guests = 0
        self.by_machine: dict[str, tuple[int, float, float]] = {}  # guests, cores, memory

    def admits(self, machine: str, capacity: MachineKind | None, cores: float, memory: float) -> bool:
        """Whether another guest may be handed over there. `capacity` is what the machine accepts, None if it
        is not listed."""
        guests, used_cores, used_memory = self.by_machine.get(machine, (0, 0.0, 0.0))
        if self.guests >= self.max_guests or guests >= MAX_ON_MACHINE:
            return False
        return capacity is None or (
            used_cores + cores <= CAPACITY_FACTOR * capacity.cores
            and used_memory + memory <= CAPACITY_FACTOR * capacity.memory
        )

    def add(self, machine: str, cores: float, memory: float) -> None:
        """A guest was handed over there."""
        guests, used_cores, used_memory = self.by_machine.get(machine, (0, 0.0, 0.0))
        self.guests += 1
        self.by_machine[machine] = guests + 1, used_cores + cores, used_memory + memory
