"""Stand-ins written from PROTOCOL.md, DEPLOY.md and DAYS.md alone: no code of the project is used.

One event loop plays the bulletin, the machines and the owners. The planner is a process of its own, started
by the command `run` of the deploy file. All addresses are loopback addresses with ports that were free.
"""

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
"""Exit codes of a case. `run.sh` makes 1 of BROKEN, with which no interpreter fails, and 2 of all others."""
SET_UP, ANSWER, END, TEST, TESTED, MOVE = 1, 9, 12, 52, 53, 51
CAUSE_16 = {17: b"\x10"}  # the cause with which an owner gives a set-up up
MAX_LAG = 0.25  # seconds for which the stand-ins may stand still, or the planner wait for a processor
LATE_SLACK = 0.05  # seconds by which each time limit is longer (PROTOCOL.md)
NAMES = {SET_UP: "set-up", ANSWER: "answer", END: "end", TEST: "test", TESTED: "tested", MOVE: "move"}


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, by seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Bulletin:
    """Events by number, over long polls. It is never late and never fails."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict] = []
        self.changed = asyncio.Event()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def tell(self, hosts: list[dict], whole: bool = False) -> None:
        no = len(self.events) + 1
        self.events.append({"no": no, "roster": {"seq": no, "whole": whole, "hosts": hosts}})
        for each in hosts[:4]:
            self.record.note(f"bulletin {no}: {each['host']} {each['health']} at {each['dial']}")
        if len(hosts) > 4:
            self.record.note(f"bulletin {no}: and {len(hosts) - 4} more")
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def known(self) -> dict:
        return {"no": len(self.events), "items": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(part.split("=") for part in head.split()[1].partition("?")[2].split("&"))
                after, until = int(query["after"]), time.monotonic() + int(query["patience"]) / 1000
                while len(self.events) <= after and (left := until - time.monotonic()) > 0:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), left)
                new = self.events[after:]
                body = json.dumps({"no": max(after, len(self.events)), "items": new}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()


class Machine:
    """One machine: it accepts a set-up after `admit` seconds; a task stands for `life` seconds."""

    def __init__(
        self, name: str, record: Record, kind: str = "small-box", room: tuple = (26.0, 41.0)
    ) -> None:
        self.name, self.record, self.kind, self.room = name, record, kind, room
        self.admit, self.life, self.born_ms = 0.02, 600.0, 0
        self.describe: Callable[[str], str] = lambda call: f"{name} has {call}\r\n"
        self.vanished = False  # nothing is read or sent any more
        self.moot_every = self.copy_every = 0  # of its set-ups, and of their answers; 0: none
        self.copy_late = 0.0  # seconds after which the second copy of an answer comes
        self.moots = 0
        self.notes_every = 1.0  # seconds between two notes on what a task uses; 0: it sends none
        self.tasks: dict[str, asyncio.StreamWriter] = {}  # what stands, with the connection of its set-up
        self.waiting: dict[str, asyncio.StreamWriter] = {}  # set-ups without an answer
        self.writers: list[asyncio.StreamWriter] = []
        self.accepted: list[tuple[float, str]] = []
        self.offered: list[tuple[float, str]] = []
        self.jobs: set[asyncio.Task] = set()
        self.fillers: list[socket.socket] = []

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(64)
        listener.setblocking(False)
        self.listener = listener
        self.accepting = asyncio.ensure_future(self._accept())
        self.dial = f"{host}:{listener.getsockname()[1]}"

    def entry(self, health: str = "in_service") -> dict:
        return {
            "host": self.name,
            "dial": self.dial,
            "site": "bne-dc1",
            "class": self.kind,
            "block": 2,
            "health": health,
            "share": 1,
            "born_ms": self.born_ms,
            "room": list(self.room),
        }

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader, writer = await asyncio.open_connection(sock=accepted)
            self._start(self._serve(reader, writer))

    def vanish(self) -> list[str]:
        """Cuts its tasks without a word: open connections stay open and silent, and new ones never come up,
        since the queue of its listener is full. Returns what stood."""
        self.vanished = True
        cut, self.tasks, self.waiting = list(self.tasks), {}, {}
        self.record.note(f"{self.name} vanishes; cut: {' '.join(cut)}")
        self.accepting.cancel()
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)
        return cut

    def leave_address(self) -> None:
        """Frees the address of a machine that has vanished, for another one."""
        for each in (*self.fillers, self.listener):
            each.close()

    def _start(self, job: Awaitable[None]) -> None:
        task = asyncio.ensure_future(job)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.vanished:
            return
        self.writers.append(writer)
        try:
            while line := await reader.readline():
                if self.vanished:
                    await asyncio.sleep(3600)
                self._hear(json.loads(line), writer)
        except (OSError, ValueError):
            pass
        if self.vanished:
            await asyncio.sleep(3600)
        self.writers.remove(writer)
        for call in [c for c, at in self.waiting.items() if at is writer]:
            del self.waiting[call]
            self.record.note(f"{self.name}: connection closed, set-up {call} is given up")
        writer.close()

    def _hear(self, line: dict, writer: asyncio.StreamWriter) -> None:
        call = line["call"]
        if line["op"] == "test":
            fields = {"load": f"x0:{self.room[0]};x1:{self.room[1]}"}
            self._say(writer, {"op": "tested", "call": call, "with": fields, "why": 1})
        elif line["op"] == "offer":
            self.record.note(f"{self.name} <- offer {call} {line['with']} desc of {len(line['desc'])}")
            self.offered.append((self.record.now(), call))
            if call in self.waiting or call in self.tasks:  # a copy is here
                self._refuse(call, writer, 34, "wrong_host")
                return
            self.waiting[call] = writer
            self._start(self._answer(call, writer))
        elif line["op"] == "end":
            self.record.note(f"{self.name} <- end {call} why {line.get('why')}")
            if self.waiting.pop(call, None):
                return
            if self.tasks.pop(call, None):
                self._refuse(call, writer, 31, "")

    async def _answer(self, call: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.admit)
        if self.vanished or self.waiting.pop(call, None) is None:
            return
        if self.moot_every and len(self.offered) % self.moot_every == 0:
            self.moots += 1
            self._refuse(call, writer, 102, "")
            if self.copy_every and self.moots % self.copy_every == 0:
                await asyncio.sleep(self.copy_late)
                self._refuse(call, writer, 102, "")
            return
        self.tasks[call] = writer
        self.accepted.append((self.record.now(), call))
        self.record.note(f"{self.name} -> accept {call}; it runs")
        self._say(writer, {"op": "accept", "call": call, "with": {}, "desc": self.describe(call)})
        if self.notes_every:
            self._start(self._note(call, writer))
        await asyncio.sleep(self.life)
        if not self.vanished and self.tasks.pop(call, None):
            self.record.note(f"{self.name} -> end {call}; it is done")
            self._say_of(writer, {"op": "end", "call": call, "with": {}, "why": 16})

    async def _note(self, call: str, writer: asyncio.StreamWriter) -> None:
        """Tells now and then what a task uses."""
        await asyncio.sleep(self.admit)
        self._say_of(writer, {"op": "info", "call": call, "with": {"note": "up", "value": 0}})
        while call in self.tasks and not self.vanished:
            await asyncio.sleep(self.notes_every)
            for note, value in (("cpu", 0.5), ("mem", 1.0)):
                self._say_of(writer, {"op": "info", "call": call, "with": {"note": note, "value": value}})

    def _say_of(self, writer: asyncio.StreamWriter, line: dict) -> None:
        """On the connection of the task's set-up, otherwise on any open one."""
        to = writer if writer in self.writers else next(iter(self.writers), None)
        if to is not None and (line["call"] in self.tasks or line["op"] == "end"):
            if line["op"] == "info":
                self.record.note(f"{self.name} -> info {line['call']} {line['with']}")
            self._say(to, line)

    def _refuse(self, call: str, writer: asyncio.StreamWriter, why: int, note: str) -> None:
        self.record.note(f"{self.name} -> end {call} why {why} {note}")
        self._say(writer, {"op": "end", "call": call, "with": {"note": note} if note else {}, "why": why})

    def _say(self, writer: asyncio.StreamWriter, line: dict) -> None:
        if not self.vanished and not writer.is_closing():
            writer.write(json.dumps(line).encode() + b"\n")


def encode(kind: int, call: str, parameters: dict[int, bytes]) -> bytes:
    body = bytes((kind,)) + bytes.fromhex(call)
    for code, value in parameters.items():
        body += bytes((code,)) + struct.pack(">H", len(value)) + value
    return struct.pack(">H", len(body)) + body


class Ask:
    """A set-up that an owner sent, and what it was answered."""

    def __init__(self, call: str, sent: float, left: float) -> None:
        self.call, self.sent, self.due = call, sent, sent + left
        self.answers: list[tuple[float, str]] = []  # in order: time, and answer, end CAUSE or move

    @property
    def placed(self) -> bool:
        return bool(self.answers) and self.answers[0][1].startswith("answer")


class Owner:
    """One connection of an owner."""

    numbers = 0

    def __init__(self, name: str, record: Record, quiet: bool = False) -> None:
        self.name, self.record, self.quiet = name, record, quiet
        self.asks: dict[str, Ask] = {}
        self.closed_at: float | None = None  # by the planner
        self.tested: list[int] = []

    async def open(self, address: str) -> None:
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        self.job = asyncio.ensure_future(self._listen())

    def set_up(self, product: str, left_ms: int, **more: object) -> Ask:
        """Sends a set-up. `more`: `cores`, `memory`, `service`, `tenant`, `description`, `at`."""
        Owner.numbers += 1
        call = f"{0x9B1F03AA5C000000 + Owner.numbers:016x}"
        service = more.get("service") or f"{Owner.numbers:016x}"
        figures = f"cores:{more.get('cores', 1)};memory:{more.get('memory', 2)};service:{service}"
        parameters = {
            3: product.encode(),
            4: str(left_ms).encode(),
            5: str(more.get("tenant", "reef-coast-dining")).encode(),
            7: f"{Owner.numbers:016x}".encode(),
            8: figures.encode(),
            18: bytes(more.get("description", b"c=IN IP4 127.0.0.1\r\n")),
        }
        self.writer.write(encode(SET_UP, call, parameters))
        ask = self.asks[call] = Ask(call, self.record.now(), left_ms / 1000)
        if not self.quiet:
            self.record.note(f"{self.name} -> set-up {call} {product} {figures} left {left_ms}")
        return ask

    def hand_over(self, call: str, product: str, left_ms: int, machine: str) -> None:
        """Sends a set-up for a task that a machine holds already."""
        figures = f"cores:1;memory:2;service:{call};at:{machine}"
        fields = {3: product, 4: str(left_ms), 5: "reef-coast-dining", 7: call, 8: figures}
        parameters = {code: value.encode() for code, value in fields.items()} | {
            18: b"c=IN IP4 127.0.0.1\r\n"
        }
        self.writer.write(encode(SET_UP, call, parameters))
        self.asks[call] = Ask(call, self.record.now(), left_ms / 1000)
        self.record.note(f"{self.name} -> set-up {call} {figures}")

    def test(self) -> None:
        self.writer.write(encode(TEST, "00000000000000aa", {17: b"\0"}))

    async def _listen(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                (size,) = struct.unpack(">H", await self.reader.readexactly(2))
                body = await self.reader.readexactly(size)
                self._hear(body[0], body[1:9].hex(), body[9:])
        self.closed_at = self.record.now()
        if not self.quiet:
            self.record.note(f"{self.name}: its connection has ended")

    def _hear(self, kind: int, call: str, rest: bytes) -> None:
        parameters, at = {}, 0
        while at < len(rest):
            size = int.from_bytes(rest[at + 1 : at + 3])
            parameters[rest[at]] = rest[at + 3 : at + 3 + size]
            at += 3 + size
        if kind == TESTED:
            self.tested.append(parameters[17][0])
            return
        what = NAMES.get(kind, str(kind)) + (f" {parameters[17][0]}" if 17 in parameters else "")
        if not self.quiet:
            self.record.note(f"{self.name} <- {what} {call}")
        if kind in (ANSWER, END, MOVE) and call in self.asks:
            self.asks[call].answers.append((self.record.now(), what))


def settings(**changes: object) -> dict:
    """The settings of the wire page's example, nested; `changes` by path with dots as double underscores."""
    made = {
        "balancers": 1,
        "slot-no": 0,
        "classes": [
            _product("till-import", "retryable", 6000.0, 800.0, 1.0, 0.1),
            _product("pool-calc", "retryable", 6000.0, 600.0, 3.0, 0.1),
            _product("payout-run", "fragile", 5000.0, 1000.0, 3.0, 0.2),
        ],
        "client-habits": {"marks-retry": False},
        "discovery": "ask",
        "family-info": {
            "accepts-memory": 1.5,
            "class-kind": [-1, -1, -1],
            "class-most": [2, 2, 2],
            "class-priority": [0, 1, 1],
            "confirms": "accepted",
            "cores-multiple": 4.0,
            "easy-until": [1.0, 0.8, 0.8],
            "eviction-as-moves": 2.0,
            "fresh-offers": 113.0,
            "lists-free": True,
            "lost-after": [1.0, 0.2, 0.15],
            "makes-room": True,
            "mean-cores": 1.0,
            "mem-of-kind": [41.0, 80.0],
            "pressure-notes": True,
            "refusal-fee": 0.03,
            "report-counts": "used",
            "report-x0": "cores of the machine that are not in use",
            "report-x1": "memory units of the machine that are not in use",
            "settle": 3000.0,
            "share-cores": [258.0, 73.0],
            "size-cores": [26, 47],
            "spread-over": ["off", "off", "off"],
            "start-bonus-s": [10.0, 8.0, 8.0],
            "sticks": False,
            "unit-memory": 1.82,
            "use-notes": True,
        },
        "goal": {"whole": 0.3, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.4},
        "kind-of-service": "place",
        "kinds": ["small-box", "large-box"],
        "limits": {
            "cancel": True,
            "connect-timeout": 250.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 631029,
            "idle-close": 15000.0,
            "max-attempts": 4,
            "max-retry-after": 3000.0,
            "open-cap": 1577574,
            "peer-messages": False,
            "per-conn": 1048576,
            "probing": True,
            "retry-after": True,
            "second-copies": False,
        },
        "load-report": {"fields": ["x0", "x1"], "how": "inline"},
        "locality": 0,
        "over-share-worth": 0.05,
        "penalties": {"connection": 0.0, "discovery": 0.004, "moves": 0.051, "probe": 0.003, "waste": 0.05},
        "resolution": 2.0,
        "rules": {
            "answer-slack": 8.0,
            "ask-within": 10000.0,
            "cold": 15000.0,
            "cold-from": 0.24,
            "drain-grace": 250.0,
            "tip-after": 2000.0,
            "tip-multiple": 2.5,
        },
        "tenants": [
            {"name": "reef-coast-dining", "quota-rps": 25.0, "share": 0.78},
            {"name": "fig-tree-kitchens", "quota-rps": 7.0, "share": 0.22},
        ],
        "tier": 0,
        "tiers": ["pool-fleet"],
        "weights": "off",
        "worth-by": "work",
        "zones": ["bne-dc1"],
    }
    for path, value in changes.items():
        at = made
        *folders, last = path.replace("_", "-").split("--")
        for each in folders:
            at = at[each]
        at[last] = value
    return made


def _product(name: str, effect: str, deadline: float, aim: float, points: float, late: float) -> dict:
    return {
        "name": name,
        "deadline": deadline,
        "dedup-window": 5000.0,
        "group": "all",
        "idempotency": effect,
        "late-worth": late,
        "long-lived": True,
        "on-time": aim,
        "points": points,
    }


class Planner:
    """One planner, started by `run` of the deploy file. Its log goes to the case's temporary folder."""

    def __init__(
        self, folder: Path, record: Record, bulletin: Bulletin, chosen: dict, sockets: int = 256
    ) -> None:
        self.folder, self.record, self.bulletin = folder, record, bulletin
        self.chosen, self.sockets = chosen, sockets
        # An address of its own: no connection that is made meanwhile can have the same port there.
        host = f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.4"
        with socket.socket() as free:
            free.bind((host, 0))
            self.address = f"{host}:{free.getsockname()[1]}"
        self.lives = 0

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        self.lives += 1
        file = self.folder / "config.json"
        self.write(file)
        tmp = self.folder / f"tmp{self.lives}"
        tmp.mkdir()
        environment = os.environ | {
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": self.address,
            "BALANCER_CONFIG": str(file),
            "TMPDIR": str(tmp),
        }

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

        self.log = (self.folder / "planner.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=limit,
        )
        self.record.note(f"planner process {self.lives} is started")

    def write(self, file: Path) -> None:
        raw = {
            "name": "n0",
            "listen": self.address,
            "seed": f"8c1f30d27a5be9{self.lives:02x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "bulletin": self.bulletin.address,
            "known": self.bulletin.known(),
            "settings": self.chosen,
        }
        file.write_text(json.dumps(raw), encoding="utf-8")

    async def ready(self, seconds: float = 30.0) -> None:
        """Tests it as the front does until it passes."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRunError(f"the planner ended with {self.process.returncode}")
            front = Owner("front", self.record, quiet=True)
            with contextlib.suppress(OSError):
                await front.open(self.address)
                front.test()
                for _ in range(20):
                    await asyncio.sleep(0.05)
                    if front.tested:
                        break
                front.writer.close()
                if front.tested and front.tested[0] == 1:
                    self.record.note("the planner has passed a test")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the planner was not ready in time")

    def waited_for_processor(self) -> float:
        """Seconds for which the process was ready to run and another one ran; 0 if the system tells none."""
        try:
            return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[1]) / 1e9
        except (OSError, IndexError, ValueError):
            return 0.0

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


class World:
    """The record, the bulletin and the planner of one case."""

    def __init__(self, folder: Path, record: Record, chosen: dict, sockets: int = 256) -> None:
        self.record = record
        self.bulletin = Bulletin(record)
        self.folder, self.chosen, self.sockets = folder, chosen, sockets
        self.machines: list[Machine] = []
        self.lag = 0.0  # the longest time for which the stand-ins stood still, in seconds
        self.starved = 0.0  # the most that the planner waited for a processor within a second, in seconds

    async def _watch(self) -> None:
        waits: deque[float] = deque(maxlen=50)  # of about a second
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.lag = max(self.lag, time.monotonic() - before - 0.02)
            waits.append(self.planner.waited_for_processor())
            self.starved = max(self.starved, waits[-1] - waits[0])

    async def begin(self, machines: list[Machine]) -> None:
        await self.bulletin.open()
        for each in machines:
            await each.open()
        self.machines = machines
        self.bulletin.tell([each.entry() for each in machines], whole=True)
        self.planner = Planner(self.folder, self.record, self.bulletin, self.chosen, self.sockets)
        self.planner.start()
        await self.planner.ready()
        self.watch = asyncio.ensure_future(self._watch())

    async def owner(self, name: str, quiet: bool = False) -> Owner:
        made = Owner(name, self.record, quiet)
        await made.open(self.planner.address)
        return made


def main(case: Callable[[World], Awaitable[list[str]]], chosen: dict, sockets: int = 256) -> None:
    """Plays a case, which returns what broke the rule; exits as the review asks."""
    where = Path(sys.argv[1]).resolve()
    record = Record(where / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard) if hard > 0 else 8192, hard))
    record.note(f"TROUBLE={int(TROUBLE)}")
    world = World(folder, record, chosen, sockets)

    async def run() -> list[str]:
        return await asyncio.wait_for(case(world), 110)

    status = COULD_NOT_RUN
    try:
        broken = asyncio.run(run())
        for each in broken:
            record.note(f"BROKEN: {each}")
        record.note(f"the stand-ins stood still for {world.lag:.3f} s at most")
        record.note(f"the planner waited for a processor for {world.starved:.3f} s in a second at most")
        if max(world.lag, world.starved) > MAX_LAG:
            raise CannotRunError("the machine was too busy for a verdict")
        status = BROKEN if broken else HELD
    except Exception as error:  # an error of the case itself is no verdict
        record.note(f"could not run: {error!r}")
        traceback.print_exc()
    finally:
        if hasattr(world, "planner") and hasattr(world.planner, "process"):
            record.note(f"the planner's exit code before it is ended: {world.planner.process.poll()}")
            world.planner.kill()
        shutil.rmtree(folder, ignore_errors=True)
        verdict = {HELD: "0, the rule held", BROKEN: "1, the rule was broken"}.get(status, "2, could not run")
        record.note(f"exit {verdict}")
    print(f"{where.name}: exit {verdict}", flush=True)
    record.file.close()
    os._exit(status)  # the stand-ins' open connections need no farewell
