"""The planners of a client, from a JSON5 file that may change while it is used.

{planners: {"planner-0": "127.0.0.1:7400", "planner-1": "127.0.0.1:7401"}}
"""

from pathlib import Path

from msgspec import Struct

from hazelhold.config.load import ConfigError, build, parse, read_text, split_address


class PlannerAddresses(Struct, frozen=True):
    """Addresses (host:port) by the planners' names; a name belongs to one planner over all its restarts."""

    planners: dict[str, str]


def read_addresses(path: Path) -> dict[str, str]:
    """The planners that a file names; ConfigError tells all that is wrong with it."""
    config = build(PlannerAddresses, parse(read_text(path), str(path)), str(path))
    faults, seen = [], {}
    if not config.planners:
        faults.append(("planners", "names no planner"))
    for name, address in config.planners.items():
        try:
            split_address(address)
        except ValueError as wrong:
            faults.append((f"planners.{name}", str(wrong)))
        if address in seen:
            faults.append((f"planners.{name}", f"has the address of {seen[address]!r}"))
        seen[address] = name
    if faults:
        raise ConfigError(str(path), faults)
    return config.planners


class Watch:
    """Looks whether a file of planners has changed. A version that cannot be used is refused, counted and
    told once; the last good one stays in force."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.planners = read_addresses(path)
        self.seen = self._mark()
        self.refused = 0

    def _mark(self) -> tuple[int, int, int]:
        try:
            found = self.path.stat()
        except OSError:
            return 0, 0, 0
        return found.st_mtime_ns, found.st_size, found.st_ino

    def changed(self) -> ConfigError | None:
        """Reads the file again if it looks different; `planners` has what is in force then. The error tells
        why a new version is refused."""
        mark = self._mark()
        if mark == self.seen:
            return None
        self.seen = mark
        try:
            self.planners = read_addresses(self.path)
        except ConfigError as wrong:
            self.refused += 1
            return wrong
        return None
