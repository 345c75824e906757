"""Shared parts of the race condition tests: gated streams, resets, changed settings."""

import socket
import struct
from copy import deepcopy

import trio

from hazelhold.platform.codec import ANSWER
from tests.platform_rig import DEPLOYMENT

PLACED = [(ANSWER, None)]


def name(guest: int) -> str:
    return f"{guest:016x}"


def settings(**changes: object) -> dict:
    """A copy of the rig's settings with some parts changed."""
    made = deepcopy(DEPLOYMENT)
    for key, value in changes.items():
        if isinstance(value, dict):
            made[key] = made[key] | value
        else:
            made[key] = value
    return made


def reset(stream: trio.SocketStream) -> None:
    """Closes with a reset, regardless of unread bytes."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


class Tap:
    """A stream whose writes can be blocked, as those into a full socket are."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.open, self.stopped = stream, trio.Event(), False
        self.half = 0  # bytes of the next write that are still sent

    def __getattr__(self, attribute: str) -> object:
        return getattr(self.stream, attribute)

    async def send_all(self, data: bytes) -> None:
        if self.stopped:
            await self.stream.send_all(data[: self.half])
            await self.open.wait()
            data = data[self.half :]
        await self.stream.send_all(data)
