"""Rows of roles that the target needs and for which the program has no mechanism: a demand, a budget, "none".

Whoever builds one takes its row from here and registers measurements in a module of its own.
"""

from collections.abc import Iterator

from bench.capacity.registry import RefusedError, measurement


def absent(id: str, role: str, quantity: str, unit: str, note: str) -> None:
    """Registers a row without sizes: there is nothing to measure."""

    def nothing(size: int) -> Iterator[float]:
        raise RefusedError("there is nothing to measure")
        yield 0.0

    measurement(id, role, quantity, unit, by="-", how="computed", sizes=(), note=f"none: {note}")(nothing)


absent(
    "door.none",
    "door and quotas",
    "what holding a job against its team's quota costs",
    "s",
    "a planner's door bounds its own handshakes and open tasks; no quota is known or shared",
)
absent(
    "news.none",
    "regional news of workers",
    "what a region's news of its workers costs",
    "bytes a second",
    "past eight planners each hears of its own workers and the list alone; nothing sums up a region",
)
