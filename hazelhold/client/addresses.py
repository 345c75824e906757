"""The addresses of a client's planners, from a JSON5 file that may change while it is in use.

{planners: {"planner-0": "127.0.0.1:7400", "planner-1": "127.0.0.1:7401"}}
"""

from pathlib import Path

from msgspec import Struct

from hazelhold.config.load import ConfigError, build, parse, read_text, split_address


class PlannerAddresses(Struct, frozen=True):
    """Addresses (host:port) by the planners' names; a name belongs to one planner over all its restarts."""

    planners: dict[str, str]


def read_addresses(path: Path) -> dict[str, str]:
    """Reads the planners of a file. ConfigError lists all its faults."""
    config = build(PlannerAddresses, parse(read_text(path), str(path)), str(path))
    faults, seen = [], {}
    if not config.planners:
        faults.append(("planners", "names no planner"))
    for name, address in config.planners.items():
        try:
            split_address(address)
        except ValueError as error:
            faults.append((f"planners.{name}", str(error)))
        if address in seen:
            faults.append((f"planners.{name}", f"has the address of {seen[address]!r}"))
        seen[address] = name
    if faults:
        raise ConfigError(str(path), faults)
    return config.planners


class Watch:
    """Checks whether a file of planners has changed. An invalid version is refused, counted and reported
    once; the last valid one remains in use."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.planners = read_addresses(path)
        self.seen = self._metadata()
        self.refused = 0

    def _metadata(self) -> tuple[int, int, int]:
        try:
            status = self.path.stat()
        except OSError:
            return 0, 0, 0
        return status.st_mtime_ns, status.st_size, status.st_ino

    def changed(self) -> ConfigError | None:
        """Reads the file again if its metadata changed; `planners` then holds the addresses in use. Returns
        the error if the new version is refused."""
        metadata = self._metadata()
        if metadata == self.seen:
            return None
        self.seen = metadata
        try:
            self.planners = read_addresses(self.path)
        except ConfigError as error:
            self.refused += 1
            return error
        return None
