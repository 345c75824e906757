"""Writers and operators: asks control machines (or a planner, for what it has), one after the other."""

from collections.abc import Sequence
from typing import Generic, NamedTuple, TypeVar

import trio

from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.connection import Connection
from hazelhold.fleetconfig.revision import Change
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net

DIAL = 1.5  # seconds for a connection and its greetings
PAUSE = 0.2  # seconds before all are tried again
FINAL = ("committed", "invalid", "conflict")
RESOLVING = ("committed", "conflict")  # final also for earlier askings under the id whose answers were lost
MOST_REASONS = 8  # faults in a line
T = TypeVar("T", bound=m.ConfigMessage)


class UnreachableError(Exception):
    """Nobody answered; the text says why of each address."""


class Answered(NamedTuple):
    """How a change ended, and who said so."""

    answer: m.ProposeAnswer
    by: str


class _Tried(Generic[T]):
    """What came of asking one address."""

    def __init__(self) -> None:
        self.answer: T | None = None
        self.sent = False  # the message may have been heard
        self.fault = self.by = ""


class ConfigClient:
    """Asks at these addresses, in their order. Each asking has a connection of its own."""

    def __init__(self, net: Net, addresses: Sequence[str], deployment: str, name: str = "operator") -> None:
        self.net, self.addresses = net, tuple(addresses)
        self.greeting = m.Greeting(name=name, deployment=deployment, purpose="write")

    async def ask(self, message: m.ConfigMessage, kind: type[T], seconds: float) -> T:
        """The answer of the first that gives one. UnreachableError if none does within this time each."""
        faults = []
        for address in self.addresses:
            tried = await self._ask(address, message, kind, seconds)
            if tried.answer is not None:
                return tried.answer
            faults.append(f"{address}: {tried.fault}")
        raise UnreachableError("; ".join(faults))

    async def _ask(
        self, address: str, message: m.ConfigMessage, kind: type[T], seconds: float
    ) -> "_Tried[T]":
        """Asks one."""
        tried: _Tried[T] = _Tried()
        try:
            with trio.fail_after(DIAL):
                stream = await self.net.dial(address)
        except (OSError, trio.TooSlowError) as wrong:
            tried.fault = str(wrong) or "no connection in time"
            return tried
        wire = Connection(stream, self.net.now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wire.write)
            try:
                await wire.greet(self.greeting, "")
                tried.sent = wire.tell(message)
                with trio.fail_after(seconds):
                    tried.answer, tried.by = await _first(wire, kind), wire.name
            except (FrameError, trio.TooSlowError) as wrong:
                tried.fault = str(wrong) or "no answer in time"
            nursery.cancel_scope.cancel()
        return tried

    async def propose(self, change: Change, seconds: float) -> Answered:
        """Has a change committed: asks one after the other, always under its id, until one gives a final
        answer or the time is over. `refused` and `invalid` are only answered if it is sure that nobody
        carried it out for this call; `unknown` if it may be carried out yet: whoever was asked first and not
        heard may still try it, and what is invalid now may be valid then."""
        until = trio.current_time() + seconds
        outcome, text, by = "refused", "", ""
        while True:
            for address in self.addresses:
                left = until - trio.current_time()
                if left <= (PAUSE if text else 0):  # its answer would only say that the time is over
                    text = text or "not asked"
                    return Answered(m.ProposeAnswer(id=change.id, outcome=outcome, text=text), by)
                message = m.Propose(change=change, deadline=round(left * 1e6))
                tried = await self._ask(address, message, m.ProposeAnswer, left + DIAL)
                answer = tried.answer
                if answer is not None and answer.outcome in (RESOLVING if outcome == "unknown" else FINAL):
                    return Answered(answer, tried.by)
                if tried.sent and (answer is None or answer.outcome == "unknown"):
                    outcome = "unknown"  # and stays so: a later refusal says nothing of this asking
                by = tried.by
                text = f"{address}: {tried.fault if answer is None else _reason(answer)}"
            await trio.sleep(PAUSE)

    async def items(self, prefix: str, seconds: float) -> tuple[int, dict[str, bytes]]:
        """All items with this prefix, all of one revision, and its number. UnreachableError also if the
        revision changed between pages again and again."""
        for _ in range(10):
            number, found, after = -1, {}, ""
            while True:
                page = await self.ask(m.ReadItems(prefix=prefix, after=after), m.Items, seconds)
                if number not in (-1, page.number):
                    break
                number = page.number
                found.update((put.name, put.value) for put in page.items)
                if not page.more:
                    return number, found
                after = page.items[-1].name
        raise UnreachableError("the configuration changed between all pages")


def _reason(answer: m.ProposeAnswer) -> str:
    """Why a change was not carried out, in a line."""
    faults = [f"{fault.item or 'the change'}: {fault.text}" for fault in answer.faults[:MOST_REASONS]]
    return "; ".join(text for text in (answer.text, *faults) if text)


async def _first(wire: Connection, kind: type[T]) -> T:
    """The next message of this kind."""
    for message in wire.rest():
        if isinstance(message, kind):
            return message
    async for message in wire.messages():
        if isinstance(message, kind):
            return message
    raise FrameError("ended", "the connection ended before the answer")
