"""The stand-in for discovery: one long-poll service a planner, with outages of several kinds."""

import json
import time
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import trio

from tests.faults.record import Record
from tests.faults.servers import Server

DRIP_BYTES = 64  # of a slow answer at a time


class Fault(Enum):
    """What is wrong with the discovery service of one planner."""

    NONE = "answers"
    SILENT = "takes connections and calls, and answers nothing"
    REFUSING = "takes no connection and has closed those it had"
    BREAKING = "closes in the middle of each answer"
    SLOW = "answers seconds late"
    DRIPPING = "answers some bytes at a time"
    LAGGING = "answers each call late by the same span"
    CROWDED = "answers 503"


@dataclass
class Event:
    """A change of the list, by its number among all changes."""

    at: float
    server: str
    health: str


def entry(server: Server, health: str, planner: str) -> dict:
    return {
        "host": server.name,
        "dial": f"{server.host(planner)}:{server.port(planner)}",
        "site": "z1",
        "class": "small box",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": round(server.started_wall * 1000),
        "room": [100.0, 160.0],
    }


@dataclass
class View:
    """What one life of a planner is told: event 1 is the whole list at its start."""

    planner: str
    entries: dict[str, dict]  # of the list as it was told
    events: list[dict] = field(default_factory=list)

    def add(self, hosts: list[dict], whole: bool) -> None:
        no = len(self.events) + 1
        self.events.append({"no": no, "roster": {"seq": no, "whole": whole, "hosts": hosts}})


class Discovery:
    """The list as one planner is told it."""

    def __init__(self, planner: str, record: Record, random: Random, nursery: trio.Nursery) -> None:
        self.planner, self.record, self.random, self.nursery = planner, record, random, nursery
        self.fault = Fault.NONE
        self.changed = trio.Event()
        self.view = View(planner, {})
        self.frozen_file: dict | None = None  # what a file says that was written before an outage
        self.listener: trio.SocketListener | None = None
        self.scope = trio.CancelScope()
        self.streams: set[trio.SocketStream] = set()
        self.asked: list[float] = []
        self.drip_pause = 0.02  # seconds
        self.lag = 0.5  # seconds of a lagging answer

    async def open(self) -> None:
        (self.listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=64)
        self.nursery.start_soon(self._serve, self.listener)

    async def move(self) -> None:
        """Takes a new address; the old one closes its connections after 1.5 s."""
        old, old_streams = self.listener, set(self.streams)
        await self.open()

        async def close() -> None:
            await old.aclose()
            await trio.sleep(1.5)
            for stream in old_streams:
                stream.socket.close()

        self.nursery.start_soon(close)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.socket.getsockname()[1]}"

    def begin_life(self, servers: list[Server], file_is_current: bool = True) -> dict:
        """Numbers begin anew; returns what the configuration file holds under `known`. With a file that is
        not current the planner is told all that came since by the service, from event 2 on."""
        hosts = [entry(server, self._health(server), self.planner) for server in servers]
        old = self.frozen_file
        self.view = View(self.planner, {host["host"]: host for host in hosts})
        if file_is_current or old is None:
            self.view.add(hosts, whole=True)
        else:
            self.view.events.append(old["items"][0])
            self.view.add(hosts, whole=True)
        first = self.view.events[:1]
        self.frozen_file = {"no": 1, "items": first}
        return self.frozen_file

    def _health(self, server: Server) -> str:
        """As the list has it for this planner, whatever the server does."""
        return "terminating" if self.planner in server.life.drain_told else "in_service"

    def tell(self, server: Server, health: str) -> None:
        """An event that counts as told from now on."""
        if health in ("terminating", "terminated"):
            server.life.drain_told.setdefault(self.planner, time.monotonic())
        self.view.add([entry(server, health, self.planner)], whole=False)
        event, self.changed = self.changed, trio.Event()
        event.set()

    async def set_fault(self, fault: Fault) -> None:
        self.fault = fault
        if fault is Fault.REFUSING:
            for stream in list(self.streams):
                stream.socket.close()

    # Calls.

    async def _serve(self, listener: trio.SocketListener) -> None:
        async with trio.open_nursery() as own:
            while True:
                try:
                    stream = await listener.accept()
                except trio.ClosedResourceError:
                    return
                if self.fault is Fault.REFUSING:
                    await trio.aclose_forcefully(stream)
                    continue
                own.start_soon(self._connection, stream)

    async def _connection(self, stream: trio.SocketStream) -> None:
        self.streams.add(stream)
        held = bytearray()
        try:
            while data := await stream.receive_some(1 << 16):
                held += data
                while b"\r\n\r\n" in held:
                    head, _, rest = bytes(held).partition(b"\r\n\r\n")
                    held = bytearray(rest)
                    if not await self._answer(stream, head.decode()):
                        return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams.discard(stream)
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.1):
                await trio.aclose_forcefully(stream)

    async def _answer(self, stream: trio.SocketStream, head: str) -> bool:
        query = dict(part.split("=") for part in head.split()[1].partition("?")[2].split("&"))
        after, patience = int(query["after"]), int(query["patience"]) / 1000
        self.asked.append(time.monotonic())
        view = self.view
        with trio.move_on_after(patience):
            while len(view.events) <= after:
                await self.changed.wait()
        while self.fault is Fault.SILENT:
            await trio.sleep(0.05)
        if self.fault is Fault.CROWDED:
            await stream.send_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.fault is Fault.SLOW:
            await trio.sleep(self.random.uniform(0.5, 3.0))
        new = view.events[after:]
        if self.fault is Fault.LAGGING:
            await trio.sleep(self.lag)
        body = json.dumps({"no": after + len(new), "items": new}).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.fault is Fault.BREAKING:
            await stream.send_all(answer[: len(answer) // 2])
            return False
        if self.fault is Fault.DRIPPING:
            for at in range(0, len(answer), DRIP_BYTES):
                await stream.send_all(answer[at : at + DRIP_BYTES])
                await trio.sleep(self.drip_pause)
            return True
        await stream.send_all(answer)
        return True
