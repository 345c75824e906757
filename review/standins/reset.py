"""Ends a connection by a reset, as the kernel does for a process that dies."""

import asyncio
import contextlib
import socket
import struct


def reset(writer: asyncio.StreamWriter) -> None:
    held = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
