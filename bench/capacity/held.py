"""One line of a budget: what is held against it."""

from typing import NamedTuple


class Held(NamedTuple):
    """A verdict before it is computed; without arithmetic there is nothing that could be measured."""

    role: str
    resource: str
    budget: float
    unit: str
    arithmetic: str = ""
    note: str = ""
