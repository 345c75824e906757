"""A machine: takes offers, says yes once it has looked at them, answers tests, ends tasks in time."""

import asyncio
import contextlib
import json

from standins.record import Record
from standins.reset import reset
from standins.wire import FULL, MOVED, OK, line


class Machine:
    """One machine at an address of its own; `kind` is the place of its kind in the settings."""

    def __init__(
        self,
        name: str,
        record: Record,
        size: tuple[float, float] = (26.0, 41.0),
        kind: str = "small-box",
        zone: str = "bne-dc1",
    ) -> None:
        self.name, self.record, self.kind, self.zone = name, record, kind, zone
        self.size = size  # cores and memory
        self.others = (0.0, 0.0)  # what the tasks of other planners use of them
        self.admit_s, self.life_s = 0.02, 20.0
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.looking: dict[str, asyncio.Task] = {}  # offers that it has not answered
        self.standing: dict[str, asyncio.Task] = {}  # tasks that it runs, until their end
        self.offers: list[tuple[float, str]] = []  # when each came whole, and its task
        self.ran: list[tuple[float, str]] = []  # when each was accepted, and its task
        self.refuses = ""  # the note of the refusal of all offers; empty: none is refused

    async def open(self, address: str = "") -> None:
        host, _, port = (address or "127.0.0.1:0").partition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def die(self) -> None:
        """The process dies: it listens no more, its connections are reset, its tasks cut."""
        self.record.note(self.name, f"its process dies, with {len(self.standing)} tasks")
        self.server.close()
        for task in [*self.looking.values(), *self.standing.values()]:
            task.cancel()
        self.looking.clear()
        self.standing.clear()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    def free(self) -> tuple[float, float]:
        """What is not in use; a task uses half a core and 0.8 units of memory."""
        running = len(self.standing)
        return (
            round(self.size[0] - self.others[0] - 0.5 * running, 2),
            round(self.size[1] - self.others[1] - 0.8 * running, 2),
        )

    def room(self) -> list[float]:
        """What nobody has asked for: each task asks for one core and one unit of memory."""
        running = len(self.standing)
        return [
            self.size[0] - 2 * self.others[0] - running,
            self.size[1] - self.others[1] - running,
        ]

    def entry(self, health: str = "in_service", born_ms: int = 0) -> dict:
        return {
            "host": self.name,
            "dial": self.address,
            "site": self.zone,
            "class": self.kind,
            "block": 0,
            "health": health,
            "share": 1,
            "born_ms": born_ms,
            "room": self.room(),
        }

    def _say(self, writer: asyncio.StreamWriter | None, data: bytes) -> None:
        """On the connection of the set-up, otherwise on any open one."""
        if writer not in self.writers:
            writer = next(iter(self.writers), None)
        if writer is not None:
            writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        here: set[str] = set()
        with contextlib.suppress(OSError, ValueError, asyncio.CancelledError):
            while data := await reader.readline():
                self._heard(writer, here, json.loads(data))
        self.writers.discard(writer)
        for task in here & self.looking.keys():  # its connection is closed: the set-up is given up
            self.looking.pop(task).cancel()
            self.gaveup(task)
        writer.close()

    def gaveup(self, task: str) -> None:
        """A set-up was given up, since its connection has ended."""
        self.record.note(self.name, f"set-up {task} is given up: its connection has ended")

    def _heard(self, writer: asyncio.StreamWriter, here: set[str], said: dict) -> None:
        op, task = said["op"], said["call"]
        if op == "test":
            cores, memory = self.free()
            report = f"x0:{cores:g};x1:{memory:g}"
            writer.write(line(op="tested", call=task, **{"with": {"load": report}}, why=1))
        elif op == "offer":
            self.offers.append((self.record.now(), task))
            self.record.note(self.name, f"offer {task} {json.dumps(said['with'])}")
            here.add(task)
            self.looking[task] = asyncio.ensure_future(self._look(writer, task))
        elif op == "end":
            self.record.note(self.name, f"end {task} cause {said.get('why')}")
            if looked := self.looking.pop(task, None):
                looked.cancel()
            elif stood := self.standing.pop(task, None):
                stood.cancel()
                self._say(writer, line(op="end", call=task, **{"with": {}}, why=MOVED))

    async def _look(self, writer: asyncio.StreamWriter, task: str) -> None:
        await asyncio.sleep(self.admit_s)
        del self.looking[task]
        if self.refuses:
            self._say(writer, line(op="end", call=task, **{"with": {"note": self.refuses}}, why=FULL))
            self.record.note(self.name, f"refuses {task}: {self.refuses}")
            return
        self.ran.append((self.record.now(), task))
        self.record.note(self.name, f"accepts {task}")
        self._say(writer, line(op="accept", call=task, **{"with": {}}, desc=f"{self.name} {task}"))
        self.standing[task] = asyncio.ensure_future(self._run(writer, task))

    async def _run(self, writer: asyncio.StreamWriter, task: str) -> None:
        self._say(writer, line(op="info", call=task, **{"with": {"note": "up", "value": 1}}))
        for note, value in (("cpu", 0.5), ("mem", 0.8)):
            self._say(writer, line(op="info", call=task, **{"with": {"note": note, "value": value}}))
        await asyncio.sleep(self.life_s)
        del self.standing[task]
        self._say(writer, line(op="end", call=task, **{"with": {}}, why=OK))
        self.record.note(self.name, f"ends {task}: it has come to its end")
