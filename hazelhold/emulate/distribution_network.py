"""Virtual time and connections for the configuration's cores: messages are encoded, take time, and may be
lost, doubled, reordered, damaged or cut; each is counted with its bytes.
"""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple, Protocol

from hazelhold.fleetconfig.codec import MessageError, decode, encode
from hazelhold.fleetconfig.messages import ConfigMessage

FRAME_BYTES = 4  # the length before each message


class Faults(NamedTuple):
    """Chances by message, 0 to 1. All 0: connections behave as TCP does."""

    lost: float = 0.0
    doubled: float = 0.0
    reordered: float = 0.0
    damaged: float = 0.0


class Port(Protocol):
    """One end of a connection: what happens there."""

    def opened(self, connection: int) -> None: ...

    def message(self, connection: int, message: ConfigMessage) -> None: ...

    def written(self, connection: int) -> None: ...

    def ended(self, connection: int, reason: str) -> None: ...


class End:
    """One side of a wire: the machine's name, its port (None once it closed) and its number there."""

    def __init__(self, machine: str, port: Port, connection: int) -> None:
        self.machine, self.connection = machine, connection
        self.port: Port | None = port
        self.arrives_at = 0  # of the last message to this end: in order


class Wire:
    """A connection between two machines."""

    def __init__(self, dialer: End, listener: End) -> None:
        self.dialer, self.listener = dialer, listener

    def other(self, end: End) -> End:
        return self.listener if end is self.dialer else self.dialer


class SimulatedNetwork:
    """The clock, the events and the connections of a world."""

    def __init__(self, seed: int, latency: int = 2_000) -> None:
        """`latency`: the least time of a message on its way, microseconds; up to three times that."""
        self.now = 0
        self.random = Random(f"wires/{seed}")
        self.faults = Faults()
        self.cuts: set[tuple[str, str]] = set()  # from, to: nothing arrives
        self.messages: Counter[tuple[str, str, str]] = Counter()  # by from, to, type
        self.bytes: Counter[tuple[str, str, str]] = Counter()
        self.tamper: Callable[[str, ConfigMessage], ConfigMessage] | None = (
            None  # what a machine sends instead
        )
        self.wires: dict[tuple[int, int], Wire] = {}  # by the identity of a port and its number
        self._latency = latency
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = 0
        self._encoded: tuple[ConfigMessage | None, bytes] = (None, b"")

    def at(self, moment: int, do: Callable[[], None]) -> None:
        """Does something later."""
        self._numbers += 1
        heappush(self._events, (max(moment, self.now), self._numbers, do))

    def run(self, until: int) -> None:
        """Runs up to that moment."""
        while self._events and self._events[0][0] <= until:
            self.now, _, do = heappop(self._events)
            do()
        self.now = until

    def delay(self) -> int:
        """A message's time on its way."""
        return self.random.randint(self._latency, 3 * self._latency)

    def connect(self, dialer: End, listener: End) -> None:
        """A dial that reaches a listener, who answers. A cut either way loses it."""
        if {(dialer.machine, listener.machine), (listener.machine, dialer.machine)} & self.cuts:
            return
        wire = Wire(dialer, listener)
        moment = self.now
        for end in (listener, dialer):
            port = end.port
            self.wires[id(port), end.connection] = wire
            moment += self.delay()
            self.at(moment, lambda end=end, port=port: self._open(end, port))

    def send(self, port: Port, connection: int, message: ConfigMessage) -> None:
        """A message from that end of its wire."""
        wire = self.wires.get((id(port), connection))
        if wire is None:
            return
        end = wire.dialer if wire.dialer.port is port else wire.listener
        if self.tamper is not None:
            message = self.tamper(end.machine, message)
        body = self._encode(message)
        other = wire.other(end)
        kind = (end.machine, other.machine, type(message).__name__)
        self.messages[kind] += 1
        self.bytes[kind] += FRAME_BYTES + len(body)
        self.at(self.now + self._latency // 4, lambda: self._written(end, port))
        if (end.machine, other.machine) in self.cuts or self._hits(self.faults.lost):
            return
        for _ in range(2 if self._hits(self.faults.doubled) else 1):
            self._deliver(wire, other, self._damage(body))

    def close(self, port: Port, connection: int, reason: str) -> None:
        """One end closes; the other hears of it unless that is cut."""
        wire = self.wires.pop((id(port), connection), None)
        if wire is None:
            return
        end = wire.dialer if wire.dialer.port is port else wire.listener
        other = wire.other(end)
        end.port = None
        if (end.machine, other.machine) not in self.cuts:
            moment = max(self.now + self.delay(), other.arrives_at)
            self.at(moment, lambda: self._end(other, reason))

    def break_all(self, port: Port) -> None:
        """All connections of a port break; both ends hear of it."""
        for owner, connection in list(self.wires):
            wire = self.wires.get((owner, connection))
            if wire is not None and owner == id(port):
                for end in (wire.dialer, wire.listener):
                    self.at(self.now + self.delay(), lambda end=end: self._end(end, "the connection broke"))

    def close_all(self, port: Port, reason: str) -> None:
        """A port's process ended."""
        for owner, connection in list(self.wires):
            if owner == id(port):
                self.close(port, connection, reason)

    def _encode(self, message: ConfigMessage) -> bytes:
        if self._encoded[0] is not message:
            self._encoded = (message, encode(message))
        return self._encoded[1]

    def _hits(self, chance: float) -> bool:
        return chance > 0 and self.random.random() < chance

    def _damage(self, body: bytes) -> bytes:
        if not self._hits(self.faults.damaged):
            return body
        changed = bytearray(body)
        changed[self.random.randrange(len(changed))] ^= self.random.randint(1, 255)
        return bytes(changed)

    def _deliver(self, wire: Wire, end: End, body: bytes) -> None:
        moment = self.now + self.delay()
        if self._hits(self.faults.reordered):
            moment += self.random.randint(0, 100 * self._latency)
        else:
            moment = end.arrives_at = max(moment, end.arrives_at)
        self.at(moment, lambda: self._arrive(wire, end, body))

    def _arrive(self, wire: Wire, end: End, body: bytes) -> None:
        port = end.port
        if port is None:
            self._reset(wire, end)
            return
        try:
            message = decode(body)
        except MessageError as wrong:
            self.close(port, end.connection, wrong.text)
            port.ended(end.connection, wrong.text)
            return
        port.message(end.connection, message)

    def _reset(self, wire: Wire, end: End) -> None:
        """A message came where the connection is closed already: the sender hears of it."""
        other = wire.other(end)
        if (end.machine, other.machine) not in self.cuts:
            self.at(self.now + self.delay(), lambda: self._end(other, "reset"))

    def _open(self, end: End, port: Port | None) -> None:
        if port is not None and end.port is port:
            port.opened(end.connection)

    def _written(self, end: End, port: Port) -> None:
        if end.port is port:
            port.written(end.connection)

    def _end(self, end: End, reason: str) -> None:
        port = end.port
        if port is not None:
            end.port = None
            self.wires.pop((id(port), end.connection), None)
            port.ended(end.connection, reason)
