"""Which listed machine has an address, where the list shows more than one there.

The address of a machine that has gone may be that of a new one, and the list may show the new one long before
the end of the other. What answers at the address is the machine that was listed there last: nothing that it
says is evidence of the other.
"""

from typing import NamedTuple

NOT_DISPLACED = 1 << 62
"""Later than any time: before those that were displaced, the last of them."""


class AddressClaim(NamedTuple):
    """A machine that has an address.

    `listing` is the number of the listing that showed it there, and `started` its start in microseconds, 0 if
    that is not known.
    """

    machine: str
    listing: int
    started: int


class Addresses:
    """The addresses of all listed machines; emptied as machines leave the list."""

    def __init__(self) -> None:
        self.by_machine: dict[str, str] = {}
        self.at_address: dict[str, dict[str, None]] = {}  # all machines that are listed at an address
        self.claims: dict[str, AddressClaim] = {}  # by address: the machine that has it
        # By machine: when another one was listed at its address, in microseconds.
        self.displaced_at: dict[str, int] = {}
        self.listing = 0  # the number of the present one

    def begin_listing(self) -> None:
        """What is claimed from now on is shown by the next listing."""
        self.listing += 1

    def claim(self, now: int, machine: str, address: str, started: int) -> None:
        """The list shows a machine, or a new incarnation of it, at this address.

        Of two that are shown there at once, the one that started later has it; if that is not known, nothing
        shows that either has gone.
        """
        self.release(machine)
        holder = self.claims.get(address)
        others = list(self.at_address.setdefault(address, {}))
        self.by_machine[machine] = address
        self.at_address[address][machine] = None
        if holder is not None and holder.listing == self.listing:
            if not (holder.started and started) or holder.started == started:
                return
            if holder.started > started:
                self.displaced_at[machine] = now
                return
        self.claims[address] = AddressClaim(machine, self.listing, started)
        for other in others:
            self.displaced_at.setdefault(other, now)

    def release(self, machine: str) -> None:
        """The machine has left the list, or its address."""
        address = self.by_machine.pop(machine, "")
        self.displaced_at.pop(machine, None)
        if not address:
            return
        others = self.at_address[address]
        del others[machine]
        if not others:
            del self.at_address[address]
            self.claims.pop(address, None)
        elif self.claims[address].machine == machine:
            heir = max(others, key=lambda name: self.displaced_at.get(name, NOT_DISPLACED))
            self.displaced_at.pop(heir, None)
            self.claims[address] = AddressClaim(heir, 0, 0)
