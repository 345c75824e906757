"""A platform planner on memory streams in virtual time, or on sockets, with small scripted peers."""

import json
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from hazelhold.platform.codec import (
    ANSWER,
    CAUSE,
    CLASS,
    DESCRIPTION,
    END,
    FIGURES,
    LEFT,
    NAME,
    SET_UP,
    TENANT,
    BinaryMessage,
    BinaryReader,
    encode_binary,
)
from hazelhold.platform.configuration import check_start
from hazelhold.platform.planner import PlatformPlanner
from hazelhold.service.net import MemoryNet, TcpNet

PLACED = [(ANSWER, None)]  # all that an owner receives about a guest that was placed and has not ended
DEPLOYMENT = {
    "balancers": 1,
    "slot-no": 0,
    "discovery": "push",
    "classes": [
        {
            "name": "plain",
            "deadline": 3000.0,
            "dedup-window": 5000.0,
            "group": "all",
            "late-worth": 0.1,
            "idempotency": "retryable",
            "on-time": 400.0,
            "points": 1.0,
        },
        {
            "name": "once",
            "deadline": 2500.0,
            "dedup-window": 5000.0,
            "group": "all",
            "late-worth": 0.1,
            "idempotency": "fragile",
            "on-time": 500.0,
            "points": 3.0,
        },
    ],
    "family-info": {
        "accepts-memory": 1.5,
        "class-kind": [-1, -1],
        "class-most": [2, 2],
        "class-priority": [0, 1],
        "confirms": "accepted",
        "cores-multiple": 4.0,
        "easy-until": [1.0, 0.8],
        "fresh-offers": 113.0,
        "lists-free": True,
        "lost-after": [1.0, 0.2],
        "makes-room": True,
        "mem-of-kind": [41.0, 80.0],
        "report-counts": "used",
        "size-cores": [26, 47],
        "spread-over": ["off", "off"],
        "start-bonus-s": [10.0, 8.0],
    },
    "kinds": ["small box", "large-box"],
    "limits": {"connect-timeout": 250.0, "idle-close": 15000.0, "max-attempts": 4, "probing": True},
    "rules": {"cold": 15000.0, "cold-from": 0.24, "tip-after": 2000.0},
    "tenants": [{"name": "acme"}, {"name": "beta"}],
    "zones": ["z1"],
}
TELLING_USE = DEPLOYMENT | {"family-info": DEPLOYMENT["family-info"] | {"use-notes": True}}


def host(name: str, health: str = "in_service", born: float = 0, dial: str = "") -> dict:
    return {
        "host": name,
        "dial": dial or f"{name}:1",
        "site": "z1",
        "class": "small box",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born,
        "room": [26.0, 41.0],
    }


def event(no: int, *hosts: dict, whole: bool = False) -> dict:
    return {"no": no, "roster": {"seq": no, "whole": whole, "hosts": list(hosts)}}


def file(machines: str = "ab", **changes: object) -> str:
    known = {"no": 1, "items": [event(1, *(host(name) for name in machines), whole=True)]}
    return json.dumps(
        {
            "name": "n0",
            "listen": "door:1",
            "seed": "8c1f",
            "bulletin": "news:1",
            "known": known,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
            "settings": DEPLOYMENT,
        }
        | changes
    )


def set_up(
    guest: int,
    product: str = "plain",
    left: str = "2000",
    figures: str = "",
    tenant: str = "acme",
    **more: object,
) -> BinaryMessage:
    figures = figures or f"cores:1;memory:2;service:{guest:016x}"
    parameters = {
        CLASS: product.encode(),
        LEFT: left.encode(),
        TENANT: tenant.encode(),
        NAME: f"{guest:016x}".encode(),
        FIGURES: figures.encode(),
        DESCRIPTION: f"ask {guest}\r\n\u00fc".encode(),
    }
    return BinaryMessage(SET_UP, f"{guest:016x}", parameters | more.get("parameters", {}))


def end(guest: int, cause: int = 16) -> BinaryMessage:
    return BinaryMessage(END, f"{guest:016x}", {CAUSE: bytes((cause,))})


class Machine:
    """A machine that records the lines it receives and answers as configured; `silent` ones do not answer."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.heard: list[dict] = []  # all lines
        self.streams: list[trio.abc.Stream] = []
        self.accepts, self.silent = True, False
        self.load = "x0:20;x1:30"  # the load report in answers to probes; empty: none
        self.closes = True  # see close_idle of the tests
        self.owed: list[str] = []  # guests whose end is sent on the next connection
        self.turn, self.pen = trio.Lock(), trio.Lock()  # it answers and sends one line at a time

    async def door(self, stream: trio.abc.Stream) -> None:
        self.streams.append(stream)
        held = bytearray()
        try:
            while self.owed:
                await self.end(self.owed.pop(), 16)
            while data := await stream.receive_some(1 << 16):
                held += data
                while b"\n" in held:
                    line, _, rest = bytes(held).partition(b"\n")
                    held = bytearray(rest)
                    self.heard.append(json.loads(line) | {"at": trio.current_time()})
                    self.nursery.start_soon(self._answered, stream, self.heard[-1])
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _answered(self, stream: trio.abc.Stream, line: dict) -> None:
        try:
            async with self.turn:
                await self.answer(stream, line)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def answer(self, stream: trio.abc.Stream, line: dict) -> None:
        if self.silent:
            return
        if line["op"] == "test":
            report = {"load": self.load} if self.load else {}
            await self.say(stream, {"op": "tested", "call": line["call"], "with": report, "why": 1})
        elif line["op"] == "offer" and self.accepts:
            await self.accept(stream, line["call"])

    async def say(self, stream: trio.abc.Stream, line: dict) -> None:
        async with self.pen:
            await stream.send_all(json.dumps(line).encode() + b"\n")

    async def accept(self, stream: trio.abc.Stream, call: str) -> None:
        await self.say(
            stream, {"op": "accept", "call": call, "with": {}, "desc": f"{self.name} has {call}\r\n"}
        )

    async def end(self, call: str, why: int, note: str = "") -> None:
        fields = {"note": note} if note else {}
        await self.say(self.streams[-1], {"op": "end", "call": call, "with": fields, "why": why})

    def offers(self) -> list[dict]:
        return [line for line in self.heard if line["op"] == "offer"]


class Bulletin:
    """A discovery service that answers long polls with `events`, or with the bytes in `broken` if set."""

    def __init__(self) -> None:
        self.events: list[dict] = []
        self.asked: list[tuple[int, float]] = []  # of each poll: the event after which, and the time
        self.broken: bytes | None = None
        self.silent = False

    async def door(self, stream: trio.abc.Stream) -> None:
        held = bytearray()
        try:
            while data := await stream.receive_some(1 << 16):
                held += data
                while b"\r\n\r\n" in held:
                    head, _, rest = bytes(held).partition(b"\r\n\r\n")
                    held = bytearray(rest)
                    await self.answer(stream, head.decode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def answer(self, stream: trio.abc.Stream, head: str) -> None:
        query = dict(part.split("=") for part in head.split()[1].partition("?")[2].split("&"))
        after = int(query["after"])
        self.asked.append((after, trio.current_time()))
        if self.silent:
            return
        if self.broken is not None:
            await stream.send_all(self.broken)
            await stream.aclose()
            return
        with trio.move_on_after(int(query["patience"]) / 1000):
            while not any(e["no"] > after for e in self.events) and not self.silent:
                await trio.sleep(0.01)
        if self.silent:
            return
        new = [e for e in self.events if e["no"] > after]
        body = json.dumps({"no": new[-1]["no"] if new else after, "items": new}).encode()
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class Owner:
    """One connection of an owner; `heard` holds the messages received, in order."""

    def __init__(self, stream: trio.abc.Stream, nursery: trio.Nursery) -> None:
        self.stream = stream
        self.heard: list[BinaryMessage] = []
        self.closed_at: float | None = None
        nursery.start_soon(self._listen)

    async def _listen(self) -> None:
        reader = BinaryReader()
        try:
            while data := await self.stream.receive_some(1 << 16):
                self.heard += reader.feed(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.closed_at = trio.current_time()

    async def say(self, *binaries: BinaryMessage) -> None:
        await self.stream.send_all(b"".join(encode_binary(binary) for binary in binaries))

    def of(self, guest: int) -> list[tuple[int, int | None]]:
        """Type and cause of all messages received about a guest."""
        return [(p.type, p.cause) for p in self.heard if p.id == f"{guest:016x}"]


class Rig:
    def __init__(self, machines: str, **changes: object) -> None:
        self.net = MemoryNet()
        self.planner = PlatformPlanner(check_start(file(machines, **changes), "test"), self.net)
        self.bulletin = Bulletin()
        self.machines = {name: Machine(name) for name in machines}

    async def owner(self) -> Owner:
        return Owner(await self.net.dial("door:1"), self.nursery)

    async def begin(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        await self.net.listen("news:1", self.bulletin.door, nursery)
        for name, machine in self.machines.items():
            machine.nursery = nursery
            await self.net.listen(f"{name}:1", machine.door, nursery)
        await nursery.start(self.planner.run)

    def offers(self, guest: int) -> list[str]:
        """The machines that received an offer of a guest, once per offer."""
        return [
            name
            for name, machine in self.machines.items()
            for line in machine.offers()
            if line["call"] == f"{guest:016x}"
        ]


def play(test: Callable[[Rig], Awaitable[None]], machines: str = "ab", **changes: object) -> Rig:
    """Runs a planner with its peers until the test is done."""
    rigs: list[Rig] = []

    async def run() -> None:
        rig = Rig(machines, **changes)
        rigs.append(rig)
        async with trio.open_nursery() as nursery:
            await rig.begin(nursery)
            await test(rig)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return rigs[0]


class SocketRig(Rig):
    """The same on loopback sockets, in real time."""

    def __init__(self, machines: str, **changes: object) -> None:
        self.net, self.changes = TcpNet(), changes
        self.bulletin = Bulletin()
        self.machines = {name: Machine(name) for name in machines}

    async def owner(self) -> Owner:
        return Owner(await self.net.dial(self.planner.address), self.nursery)

    async def begin(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        news = await self.net.listen("127.0.0.1:0", self.bulletin.door, nursery)
        hosts = []
        for name, machine in self.machines.items():
            machine.nursery = nursery
            hosts.append(host(name, dial=await self.net.listen("127.0.0.1:0", machine.door, nursery)))
        known = {"no": 1, "items": [event(1, *hosts, whole=True)]}
        self.planner = PlatformPlanner(
            check_start(file(listen="127.0.0.1:0", bulletin=news, known=known, **self.changes), "test"),
            self.net,
        )
        await nursery.start(self.planner.run)


def on_sockets(
    test: Callable[[SocketRig], Awaitable[None]], machines: str = "ab", **changes: object
) -> SocketRig:
    """Like `play`, on loopback sockets and with a limit of 20 s."""
    rig = SocketRig(machines, **changes)

    async def run() -> None:
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await rig.begin(nursery)
                await test(rig)
                nursery.cancel_scope.cancel()

    trio.run(run)
    return rig


async def until(holds: Callable[[], object]) -> None:
    """Waits until a condition holds; fails if it does not within a minute."""
    with trio.move_on_after(60):
        while not holds():
            await trio.sleep(0.002)
        return
    raise AssertionError("the condition did not hold within a minute")
