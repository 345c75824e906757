"""Owners: connections to a planner, requests, and what was answered."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field

from standins.record import Record
from standins.wire import (
    ANSWER,
    CAUSE,
    CLASS,
    DESCRIPTION,
    END,
    FIGURES,
    LEFT,
    MOVE,
    NAME,
    OK,
    SET_UP,
    TENANT,
    TEST,
    TESTED,
    Binary,
    decode,
    encode,
)

numbers = itertools.count(1)


@dataclass
class Request:
    """One set-up and all that was sent for it."""

    task: str
    product: str
    patience_s: float
    sent_at: float = 0.0
    replies: list[tuple[float, str]] = field(default_factory=list)  # when, and what
    machine: str = ""  # named by the description of its answer
    closed_at: float = 0.0  # its connection ended then, without an answer
    given_up_at: float = 0.0


class Connection:
    """One connection of owners."""

    def __init__(self, record: Record, name: str, requests: dict[str, Request]) -> None:
        self.record, self.name, self.requests = record, name, requests
        self.open: dict[str, Request] = {}
        self.ended_at = 0.0
        self.tested: list[int] = []

    async def connect(self, address: str) -> "Connection":
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.listening = asyncio.ensure_future(self._listen())
        return self

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def test(self) -> None:
        self.write(encode(Binary(TEST, "00000000000000aa", {CAUSE: b"\0"})))

    def set_up(
        self, product: str, patience_s: float, at: str = "", service: str = "", task: str = "", **more: str
    ) -> Request:
        number = next(numbers)
        request = Request(task or f"{0xA5 << 56 | number:016x}", product, patience_s)
        self.requests[request.task] = request
        figures = more.get("figures") or "cores:1;memory:1"
        figures += f";service:{service or f'{number % 7 + 1:016x}'}"
        parameters = {
            CLASS: product.encode(),
            LEFT: (more.get("left") or f"{patience_s * 1000:.0f}").encode(),
            TENANT: more.get("tenant", "").encode(),
            NAME: request.task.encode(),
            FIGURES: (figures + (f";at:{at}" if at else "")).encode(),
            DESCRIPTION: (more.get("desc") or f"ask {request.task}\r\n").encode(),
        }
        self.write(encode(Binary(SET_UP, request.task, parameters)))
        request.sent_at = self.record.now()
        if not at:
            self.open[request.task] = request
        self.record.note(self.name, f"set-up {request.task} {product}{f' at {at}' if at else ''}")
        return request

    def end(self, request: Request) -> None:
        """Gives a set-up up, or ends what stands."""
        self.write(encode(Binary(END, request.task, {CAUSE: bytes((OK,))})))
        request.given_up_at = self.record.now()
        self.open.pop(request.task, None)
        self.record.note(self.name, f"end {request.task}")

    def close(self) -> None:
        self.writer.close()

    async def _listen(self) -> None:
        held = bytearray()
        with contextlib.suppress(OSError):
            while data := await self.reader.read(1 << 16):
                held += data
                for message in decode(held):
                    self._heard(message)
        self.ended_at = self.record.now()
        for request in self.open.values():
            request.closed_at = self.ended_at
            self.record.note(self.name, f"its connection ended with {request.task} unanswered")

    def _heard(self, message: Binary) -> None:
        if message.type == TESTED:
            self.tested.append(message.cause)
            return
        request = self.requests.get(message.task)
        if request is None or message.type not in (ANSWER, END, MOVE):
            return
        text = {ANSWER: "answer", MOVE: "move"}.get(message.type, f"release {message.cause}")
        if message.type == ANSWER:
            request.machine = message.parameters.get(DESCRIPTION, b"").decode().split()[0]
        request.replies.append((self.record.now(), text))
        self.open.pop(message.task, None)
        self.record.note(self.name, f"heard {text} of {message.task} {request.machine}")


async def passes_test(address: str) -> bool:
    """Whether a planner passes a test, on a connection of its own."""
    connection = Connection(Record.__new__(Record), "front", {})
    connection.record.now = lambda: 0.0
    with contextlib.suppress(OSError):
        await connection.connect(address)
        connection.test()
        for _ in range(20):
            if connection.tested or connection.listening.done():
                break
            await asyncio.sleep(0.05)
        connection.close()
    return 1 in connection.tested
