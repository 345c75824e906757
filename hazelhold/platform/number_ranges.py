"""The ranges of the numbers that owners, machines and configurations send.

A finite number that is read from a peer may still overflow once it is converted or multiplied. Each number
is therefore checked against its range before anything is calculated with it.
"""

from typing import NamedTuple

MAX_DURATION = 1 << 53  # microseconds; the same as in `protocol.messages`


class NumberRange(NamedTuple):
    """The numbers from `lowest` to `highest`, both included."""

    lowest: float
    highest: float

    def has(self, value: float) -> bool:
        """Whether a value is in the range; False for NaN."""
        return self.lowest <= value <= self.highest


QUANTITY = NumberRange(-1e9, 1e9)
"""Cores, memory, shares and load: sums and squares of them stay finite."""

TIME_LEFT_MS = NumberRange(-MAX_DURATION / 1000, MAX_DURATION / 1000)
"""An owner's time left in milliseconds. It may have passed."""

SETTING = NumberRange(-1e12, 1e12)
"""A setting that is a fraction or a quantity."""

DURATION_SETTING = NumberRange(-MAX_DURATION, MAX_DURATION)
"""A setting that is a whole number: a count, or a duration in microseconds."""

DEADLINE = NumberRange(1, MAX_DURATION)
"""The longest time left of a guest class, in microseconds."""
