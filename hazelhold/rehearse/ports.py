"""Chooses port numbers for processes that need them before they start."""

import fcntl
import os
import socket
import tempfile
from contextlib import ExitStack
from pathlib import Path

RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL = (32_768, 65_535)
"""Covers the defaults of Linux and the range of RFC 6335."""

FIRST_PORT, LAST_PORT = 10_240, 65_535
FEWEST_PORTS = 1_024
"""If the ephemeral ports leave fewer than this in one piece, they are used as well."""


class PortsError(Exception):
    """There are fewer free ports than requested."""


def ephemeral_ports(source: Path = RANGE_FILE) -> tuple[int, int]:
    """The first and last port that the system gives to outgoing connections and sockets bound to port 0."""
    try:
        first, last = source.read_text(encoding="ascii").split()
        return int(first), int(last)
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL


def fixed_ports(ephemeral: tuple[int, int]) -> range:
    """The ports to choose from: those below or above the ephemeral ones, whichever are more."""
    below = range(FIRST_PORT, min(ephemeral[0], LAST_PORT + 1))
    above = range(max(ephemeral[1] + 1, FIRST_PORT), LAST_PORT + 1)
    chosen = max(below, above, key=len)
    return chosen if len(chosen) >= FEWEST_PORTS else range(FIRST_PORT, LAST_PORT + 1)


def default_cursor() -> Path:
    """The file that the processes of one user share; it holds the port that was given out last."""
    return Path(tempfile.gettempdir()) / f"hazelhold-ports-{os.getuid()}"


def free_ports(
    count: int, kind: int = socket.SOCK_STREAM, choice: range | None = None, cursor: Path | None = None
) -> list[int]:
    """Returns free ports of 127.0.0.1, not given out again for long; a process can bind its port again
    after a restart.

    They are not ephemeral, so no connection that is dialled and no socket bound to port 0 takes one. All
    processes of a user take turns through a locked file, so that two are given the same port only once
    all ports have been given out in between. `kind`: `SOCK_STREAM` or `SOCK_DGRAM`. Raises `PortsError`.
    """
    ports = fixed_ports(ephemeral_ports()) if choice is None else choice
    path = default_cursor() if cursor is None else cursor
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW, 0o600)
    with os.fdopen(descriptor, "r+", encoding="ascii", errors="replace") as file, ExitStack() as held:
        fcntl.flock(file, fcntl.LOCK_EX)
        found = _next_free(count, kind, ports, _position(file.read(), ports), held)
        file.seek(0)
        file.truncate()
        file.write(str(found[-1] if found else ""))
    return found


def _position(text: str, ports: range) -> int:
    """The position in the range to continue from; 0 if the file is new or of another range."""
    last = int(text) if text.isascii() and text.isdigit() else -1
    return ports.index(last) + 1 if last in ports else 0


def _next_free(count: int, kind: int, ports: range, position: int, held: ExitStack) -> list[int]:
    """The next ports that can be bound, from this position on, round the end of the range."""
    found: list[int] = []
    for step in range(len(ports)):
        if len(found) == count:
            break
        port = ports[(position + step) % len(ports)]
        candidate = held.enter_context(socket.socket(socket.AF_INET, kind))
        try:
            candidate.bind(("127.0.0.1", port))
        except OSError:
            candidate.close()
            continue
        found.append(port)
    if len(found) < count:
        raise PortsError(f"{count} free ports are needed, {len(found)} were found in {ports}")
    return found
