"""What the connections of owners may hold in this process, all together and each of them. No I/O.

Each connection has limits of its own (the size of a message, of the queue of answers), but hundreds of them
may use these up at once. So requests that await their answer are limited in number and bytes, and so are the
buffers of bytes that are partly read or not yet written. While half of a limit is free a connection takes
what it needs; beyond, no more than its share, so that one connection does not use up what all others need.
"""

from collections.abc import Iterable
from typing import Protocol

MAX_OPEN_REQUESTS = 4096
"""Requests that await their answer, of all connections. Each is looked at in every step of the planner."""

REQUEST_SHARE, BUFFER_SHARE = 0.125, 0.125
"""Parts of the process's memory for the content of open requests, and for buffers."""

LARGEST_LIMIT = 1 << 40
"""Bytes; where the process's memory is not limited."""


class Buffering(Protocol):
    """A connection with buffers."""

    buffered: int  # bytes that were counted last

    def buffered_bytes(self) -> int: ...


class ConnectionMemory:
    """The totals of all connections, and their limits.

    `memory`: what the process may use, in bytes; not limited if it is infinite or not above 0.
    """

    def __init__(self, memory: float, max_requests: int = MAX_OPEN_REQUESTS) -> None:
        self.max_requests = max_requests
        self.max_request_bytes = _limit(memory * REQUEST_SHARE)
        self.max_buffer_bytes = _limit(memory * BUFFER_SHARE)
        self.requests = self.request_bytes = self.buffer_bytes = 0
        self.users = 0  # connections with open requests

    def admits(self, requests: "OpenRequests", size: int) -> bool:
        """Whether a connection with these open requests may have another one of this many bytes."""
        users = self.users + (not requests)
        return _admits(self.max_requests, self.requests, len(requests), 1, users) and _admits(
            self.max_request_bytes, self.request_bytes, requests.bytes, size, users
        )

    def count_buffers(self, connection: Buffering) -> None:
        """Updates the total after a change of a connection's buffers."""
        size = connection.buffered_bytes()
        self.buffer_bytes += size - connection.buffered
        connection.buffered = size

    def forget_buffers(self, connection: Buffering) -> None:
        """The connection is closed."""
        self.buffer_bytes -= connection.buffered
        connection.buffered = 0

    def largest_user(self, connections: Iterable[Buffering]) -> Buffering | None:
        """The connection with the largest buffers if all together exceed their limit; else None."""
        if self.buffer_bytes <= self.max_buffer_bytes:
            return None
        return max(connections, key=lambda each: each.buffered, default=None)


def _limit(size: float) -> int:
    return int(size) if 0 < size < LARGEST_LIMIT else LARGEST_LIMIT


def _admits(limit: int, total: int, own: int, more: int, users: int) -> bool:
    shared = limit // 2  # by all users once the other half is in use
    return total + more <= limit - shared or own + more <= max(1, shared // users)


class OpenRequests(dict[str, int]):
    """A connection's requests that await their answer, with the bytes of each; emptied by answers,
    cancellations and the connection's end."""

    def __init__(self, memory: ConnectionMemory) -> None:
        super().__init__()
        self.memory, self.bytes = memory, 0

    def add(self, guest: str, size: int) -> None:
        """Adds a request of this many bytes."""
        self.remove(guest)
        self.memory.users += not self
        self[guest] = size
        self._changed(1, size)

    def remove(self, guest: str) -> None:
        """Removes a request; one that is not there is ignored."""
        size = self.pop(guest, None)
        if size is None:
            return
        self._changed(-1, -size)
        self.memory.users -= not self

    def remove_all(self) -> None:
        """Removes all requests."""
        for guest in list(self):
            self.remove(guest)

    def _changed(self, requests: int, size: int) -> None:
        self.bytes += size
        self.memory.requests += requests
        self.memory.request_bytes += size
