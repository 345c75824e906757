"""What one connection may hand over: placed guests of which its owner's word is all that is known. No I/O.

A machine accepts no more than a multiple of its size, so an owner that names more guests there is wrong about
some of them. Each one that is believed takes a place among the guests of this planner for as long as its
machine does not report its end.
"""

from typing import NamedTuple

from hazelhold.interface import MachineKind

CAPACITY_FACTOR = 2.0
"""Of what a machine accepts: guests may end and others follow while their owner hands over."""

MAX_ON_MACHINE = 1024
"""Guests that one connection may hand over on one machine."""

CONNECTION_SHARE = 0.25
"""Part of the guests that this planner holds at most which one connection may hand over."""


class HandedOver(NamedTuple):
    """A guest that was handed over, with the cores and memory that it requests."""

    machine: str
    cores: float
    memory: float


class HandoverLimits:
    """The guests that one connection has handed over; emptied by their ends, dropped with the connection."""

    def __init__(self, max_guests: int) -> None:
        self.max_guests = int(max_guests * CONNECTION_SHARE)
        self.guests: dict[str, HandedOver] = {}
        self.by_machine: dict[str, tuple[int, float, float]] = {}  # guests, cores, memory; emptied with them

    def admits(self, guest: HandedOver, capacity: MachineKind | None) -> bool:
        """Whether another guest may be handed over. `capacity` is what its machine accepts, None if it is not
        listed."""
        guests, cores, memory = self.by_machine.get(guest.machine, (0, 0.0, 0.0))
        if len(self.guests) >= self.max_guests or guests >= MAX_ON_MACHINE:
            return False
        return capacity is None or (
            cores + guest.cores <= CAPACITY_FACTOR * capacity.cores
            and memory + guest.memory <= CAPACITY_FACTOR * capacity.memory
        )

    def add(self, name: str, guest: HandedOver) -> None:
        """A guest was handed over."""
        self.remove(name)
        guests, cores, memory = self.by_machine.get(guest.machine, (0, 0.0, 0.0))
        self.guests[name] = guest
        self.by_machine[guest.machine] = guests + 1, cores + guest.cores, memory + guest.memory

    def remove(self, name: str) -> None:
        """A guest has ended; one that was not handed over here is ignored."""
        guest = self.guests.pop(name, None)
        if guest is None:
            return
        guests, cores, memory = self.by_machine.pop(guest.machine)
        if guests > 1:
            self.by_machine[guest.machine] = guests - 1, cores - guest.cores, memory - guest.memory
