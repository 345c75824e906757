"""The bulletin: events numbered from 1, told over HTTP/1.1 by long polls."""

import asyncio
import contextlib
import json

from standins.record import Record


class Bulletin:
    """One bulletin for one planner process. `silent` takes calls and answers none."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.silent = False
        self.quiet = False  # events are not noted
        self.address = ""
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def tell(self, hosts: list[dict], whole: bool = False) -> None:
        """An event; from now on it counts as told."""
        no = len(self.events) + 1
        self.events.append({"no": no, "roster": {"seq": no, "whole": whole, "hosts": hosts}})
        for each in () if self.quiet else hosts:
            self.record.note(
                "bulletin", f"event {no}: {each['host']} {each['health']} born_ms={each['born_ms']}"
            )
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def known(self) -> dict:
        return {"no": len(self.events), "items": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(part.split("=") for part in head.split()[1].partition("?")[2].split("&"))
                after, patience = int(query["after"]), min(5000, int(query["patience"])) / 1000
                loop = asyncio.get_running_loop()
                until = loop.time() + patience
                while len(self.events) <= after and (left := until - loop.time()) > 0:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), left)
                while self.silent:
                    await asyncio.sleep(0.05)
                body = json.dumps({"no": len(self.events), "items": self.events[after:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()
