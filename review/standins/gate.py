"""A proxy in front of a machine, at the address that the bulletin gives. While the machine has vanished, open
connections stay open and silent, and new ones never come up: the queue of the listening socket is full."""

import asyncio
import contextlib
import socket

from standins.reset import reset


class Gate:
    """Passes connections on to `target`, unless it is shut."""

    def __init__(self) -> None:
        self.target = ""
        self.shut = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.fillers: list[socket.socket] = []
        self.filler_ports: set[int] = set()
        self.silent: list[asyncio.StreamWriter] = []  # connections of the time before it vanished
        self.passing: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self.tasks: set[asyncio.Task] = set()
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.listener, self._accept)

    def vanish(self) -> None:
        """From now on nothing passes; what is open stays open."""
        self.shut = True
        self.loop.remove_reader(self.listener)
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)
            self.filler_ports.add(filler.getsockname()[1])
        self.silent += self.passing
        for away in self.passing.values():
            away.transport.abort()

    def come_back(self) -> None:
        """A new process answers at the address; it resets the connections of the old one when it hears of
        them."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(64)
        self.shut = False
        self.loop.add_reader(self.listener, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            made, peer = self.listener.accept()
            if peer[1] in self.filler_ports:
                self.filler_ports.discard(peer[1])
                made.close()
                return
            task = asyncio.ensure_future(self._pass(made))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _pass(self, made: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=made)
        host, port = self.target.split(":")
        try:
            away_reader, away = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        self.passing[writer] = away
        back = asyncio.ensure_future(self._copy(away_reader, writer, writer))
        await self._copy(reader, away, writer)
        back.cancel()
        self.passing.pop(writer, None)
        writer.transport.abort()
        away.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, to: asyncio.StreamWriter, near: asyncio.StreamWriter
    ) -> None:
        """Passes bytes on. What comes on a connection of a process that is gone is answered by a reset."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(1 << 16):
                if self.shut:
                    continue
                if near in self.silent:
                    reset(near)
                    return
                to.write(data)
        if self.shut and to is near:  # the machine's end of it has gone: nothing is said of that
            return
        if near not in self.silent and to is near:
            near.close()
