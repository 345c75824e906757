"""One connection on the platform: reads whole messages, writes from a bounded queue."""

from collections import deque
from collections.abc import AsyncIterator, Callable

import trio

from hazelhold.platform.codec import LineReader, Parcel, ParcelReader, encode_line, encode_parcel
from hazelhold.platform.words import to_machine
from hazelhold.protocol import messages as m
from hazelhold.service.wire import SendQueue

READ = 1 << 14
REST = 0.2  # seconds for what a peer still said before its connection broke, and for half an offer to leave


class Reading(SendQueue):
    """A connection whose peer's bytes go through a reader."""

    reader: ParcelReader | LineReader

    def __init__(self, stream: trio.abc.Stream, send_bytes: int) -> None:
        super().__init__(stream, send_bytes)
        self.heard_out = trio.Event()  # nothing more is read

    async def batches(self) -> AsyncIterator[list]:
        """What each read brought, until either side ends. CodecError if the peer's bytes cannot be read."""
        try:
            while True:
                try:
                    data = await self.stream.receive_some(READ)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return
                if not data:
                    return
                yield self.reader.feed(data)
                if self.reader.fault is not None:
                    raise self.reader.fault
        finally:
            self.heard_out.set()

    async def read_out(self) -> None:
        """A write that breaks takes nothing from what the peer said before: an answer may lie unread."""
        with trio.move_on_after(REST):
            await self.heard_out.wait()


class OwnerPeer(Reading):
    """An owner's connection. `open` holds the set-ups that came on it and await their answer."""

    def __init__(self, name: str, stream: trio.abc.Stream, send_bytes: int, at: float) -> None:
        super().__init__(stream, send_bytes)
        self.reader = ParcelReader()
        self.name, self.came_at, self.used_at = name, at, at
        self.open: dict[str, None] = {}  # emptied by answers, give-ups and the connection's end
        self.good = False  # it sent something that can be used
        self.told = False  # it was sent something
        self.proven = False  # a guest of it was placed
        self.half_at: float | None = None  # when the part of a message that is held began
        self.bytes_put = self.bytes_left = 0
        # Ends of what stands that have not left, with the byte at which each ends; emptied as bytes leave.
        self.releases: deque[tuple[int, Parcel]] = deque()

    def send(self, parcel: Parcel) -> bool:
        try:
            data = encode_parcel(parcel)
        except ValueError:
            return False
        if not self.put(data):
            return False
        self.told = True
        self.bytes_put += len(data)
        return True

    def release(self, parcel: Parcel) -> bool:
        """As `send`, for the end of what stands: it is owed though this connection may end under it."""
        if not self.send(parcel):
            return False
        self.releases.append((self.bytes_put, parcel))
        return True

    def left(self, data: bytes) -> None:
        self.bytes_left += len(data)
        while self.releases and self.releases[0][0] <= self.bytes_left:
            self.releases.popleft()


class MachinePeer(Reading):
    """A connection to a machine. Messages take their form when they leave: an offer tells the time that is
    left then, and one that is not wanted any more stays here."""

    def __init__(self, stream: trio.abc.Stream, send_bytes: int, time_left: Callable[[m.Offer], int]) -> None:
        super().__init__(stream, send_bytes)
        self.reader = LineReader()
        self.time_left = time_left  # in microseconds; 0: it is not to leave
        self.messages: deque[m.Message] = deque()
        self.size = 0  # bytes of what waits, about
        self.offered = ""  # the guest whose offer is among the bytes that are leaving

    def send(self, message: m.Message) -> bool:
        if self.closing:
            return False
        if isinstance(message, m.Withdraw) and self.sending and self.offered == message.guest:
            # Half of the offer may have left and the socket be full. The rest must not follow late.
            self.writing.deadline = min(self.writing.deadline, trio.current_time() + REST)
        self.size += 200 + len(getattr(message, "description", b""))
        if self.size > self.send_bytes:
            self.cut()
            return False
        self.messages.append(message)
        self.more.set()
        return True

    def left(self, data: bytes) -> None:
        self.offered = ""
        if not self.closing:
            self.writing.deadline = float("inf")

    def taken_out(self, message: m.Withdraw) -> m.Offer | None:
        """An offer of which no byte has left is taken out instead of taken back."""
        for each in self.messages:
            if isinstance(each, m.Offer) and each.guest == message.guest:
                self.messages.remove(each)
                return each
        return None

    def waits(self) -> bool:
        return bool(self.messages)

    def leaving(self) -> bytes:
        """What is written next: up to the first offer, so that each is asked for at the moment at which it
        leaves. One run of many would keep those behind a full socket past a drain that was told meanwhile."""
        out = bytearray()
        while self.messages:
            message, left = self.messages.popleft(), 0
            offer = isinstance(message, m.Offer)
            if offer and not (left := self.time_left(message)):
                continue
            line = to_machine(message, left)
            if line is None:
                continue
            try:
                out += encode_line(line)
            except ValueError:
                continue
            if offer:
                self.offered = message.guest
                break
        self.size = self.size if self.messages else 0
        return bytes(out)

    def offers_kept(self) -> list[m.Offer]:
        """Offers of which no byte has left."""
        return [message for message in self.messages if isinstance(message, m.Offer)]


