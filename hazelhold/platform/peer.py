"""One connection on the platform: reads whole messages, writes from a bounded queue."""

import fcntl
import select
import termios
from collections import deque
from collections.abc import AsyncIterator, Callable

import trio

from hazelhold.platform.codec import BinaryMessage, BinaryReader, LineReader, encode_binary, encode_line
from hazelhold.platform.words import to_machine
from hazelhold.protocol import messages as m
from hazelhold.service.arrival_time import EmptySince
from hazelhold.service.connection import SendQueue
from hazelhold.service.net import accept_delay

READ = 1 << 14
HEARD_IN_TIME = 0.05  # seconds; half of what an attempt may begin after its owner has left
READ_SOON = 0.02  # seconds; what may have waited so long is looked at more closely
REST = 0.2  # seconds for what a peer still said before its connection broke, and for half an offer to leave


class Reading(SendQueue):
    """A connection whose peer's bytes go through a reader."""

    reader: BinaryReader | LineReader

    def __init__(self, stream: trio.abc.Stream, send_bytes: int) -> None:
        super().__init__(stream, send_bytes)
        self.heard_out = trio.Event()  # nothing more is read

    async def batches(self) -> AsyncIterator[list]:
        """What each read brought, until either side ends. CodecError if the peer's bytes cannot be read."""
        try:
            while True:
                self.read_begins()
                try:
                    data = await self.read()
                except (trio.BrokenResourceError, trio.ClosedResourceError) as wrong:
                    self.reset = self.reset or isinstance(wrong, trio.BrokenResourceError)
                    return
                if not data:
                    return
                self.was_read(len(data))
                yield self.reader.feed(data)
                if self.reader.fault is not None:
                    raise self.reader.fault
        finally:
            self.heard_out.set()

    async def read(self) -> bytes:
        """The bytes that come next; none if the connection ends."""
        return await self.stream.receive_some(READ)

    def read_begins(self) -> None:
        """Bytes of the peer are waited for from now on."""

    def was_read(self, size: int) -> None:
        """So many bytes came."""

    def unread(self) -> bool:
        """Whether bytes of the peer wait to be read; False where the stream is no socket."""
        held = getattr(self.stream, "socket", None)
        if held is None or held.fileno() < 0:
            return False
        try:
            waiting = fcntl.ioctl(held.fileno(), termios.FIONREAD, bytes(4))
        except OSError:
            return held.is_readable()
        return any(waiting)

    def readable(self) -> bool:
        """Whether bytes of the peer, or its end, wait to be read; False where the stream is no socket."""
        held = getattr(self.stream, "socket", None)
        return held is not None and held.fileno() >= 0 and held.is_readable()

    def ended_by_peer(self) -> bool:
        """Whether the peer has ended its side, read or not; False where the stream is no socket."""
        held = getattr(self.stream, "socket", None)
        if held is None or held.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(held.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def read_out(self) -> None:
        """A write that breaks takes nothing from what the peer said before: an answer may lie unread."""
        with trio.move_on_after(REST):
            await self.heard_out.wait()


class OwnerPeer(Reading):
    """An owner's connection. `open` holds the set-ups that came on it and await their answer."""

    def __init__(self, name: str, stream: trio.abc.Stream, send_bytes: int, at: float) -> None:
        super().__init__(stream, send_bytes)
        self.reader = BinaryReader()
        self.name, self.came_at, self.used_at = name, at, at
        self.open: dict[str, None] = {}  # emptied by answers, give-ups and the connection's end
        self.arrival = EmptySince()
        self.accept_delay = accept_delay(stream)  # seconds, beside `arrival`; 0 from the second read on
        self.good = False  # it sent something that can be used
        self.told = False  # it was sent something
        self.proven = False  # a task of it was placed
        self.handed_over = False  # it handed over tasks that stand: their ends are owed to it
        self.half_at: float | None = None  # when the part of a message that is held began
        self.due = float("inf")  # when the connection ends if nothing comes, in seconds of trio's clock
        self.timed_out = False  # it ended so
        self.awaiting = trio.CancelScope()  # the read that is on
        self.bytes_put = self.bytes_left = 0
        # Ends of what stands that have not left, with the byte at which each ends; emptied as bytes leave.
        self.releases: deque[tuple[int, BinaryMessage]] = deque()
        self.read_by_nobody = False  # the bytes that are leaving

    def set_due(self, due: float) -> None:
        """Sets when the connection ends if nothing comes."""
        self.due = self.awaiting.deadline = due

    async def read(self) -> bytes:
        while True:
            self.awaiting = trio.CancelScope(deadline=self.due)
            with self.awaiting:
                return await self.stream.receive_some(READ)
            if not self.unread():
                self.timed_out = True
                return b""
            self.due = float("inf")  # the process may have been stopped when it came in time

    def read_begins(self) -> None:
        self.arrival.begin()

    def was_read(self, size: int) -> None:
        """Notes since when what was read may have waited. What a short read has left came no later."""
        self.arrival.data_arrived()
        if size < READ and (self.arrival.waited() < READ_SOON or not self.unread()):
            self.arrival.emptied()

    def unheard(self) -> bool:
        """Whether bytes of its owner wait to be read, or were read and may not have been heard yet."""
        return self.unread() or self.arrival.has_just_begun()

    def waits_to_be_heard(self) -> bool:
        """Whether its owner may have said something, or have gone, that was not read in time."""
        return trio.current_time() - self.arrival.empty_at > HEARD_IN_TIME and self.readable()

    def send(self, binary: BinaryMessage) -> bool:
        try:
            data = encode_binary(binary)
        except ValueError:
            return False
        if not self.put(data):
            return False
        self.told = True
        self.bytes_put += len(data)
        return True

    def release(self, binary: BinaryMessage) -> bool:
        """As `send`, for the end of what stands: it is owed though this connection may end under it."""
        if not self.send(binary):
            return False
        self.releases.append((self.bytes_put, binary))
        return True

    def leaving(self) -> bytes:
        # The process may have been stopped while its owner closed: a release that leaves now would be read by
        # nobody, and stays among those that are told elsewhere once the end is read.
        self.read_by_nobody = bool(self.releases) and self.ended_by_peer()
        return super().leaving()

    def left(self, data: bytes) -> None:
        self.bytes_left += len(data)
        if self.read_by_nobody:
            return
        while self.releases and self.releases[0][0] <= self.bytes_left:
            self.releases.popleft()


class MachinePeer(Reading):
    """A connection to a machine. Messages take their form when they leave: an offer tells the time that is
    left then, one that is not wanted any more stays here, and one whose guest's last offer elsewhere is not
    surely over stands aside until it is."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        send_bytes: int,
        time_left: Callable[[m.Offer], int],
        over: Callable[["MachinePeer", list[str]], None] = lambda peer, guests: None,
    ) -> None:
        super().__init__(stream, send_bytes)
        self.reader = LineReader()
        self.time_left = time_left  # in microseconds; 0: it is not to leave, below 0: not yet
        self.over = over  # told of guests whose offers here were taken back by bytes that left
        self.messages: deque[m.Message] = deque()
        self.size = 0  # bytes of what waits, about
        self.offered = ""  # the guest whose offer is among the bytes that are leaving
        self.aside: dict[str, m.Offer] = {}  # by guest; emptied by resume, taken_out and the connection's end
        self.open: dict[str, None] = {}  # guests whose offers left and await a word; emptied as `aside`
        self.taking_back: list[str] = []  # guests whose offers the bytes that are leaving take back

    def send(self, message: m.Message) -> bool:
        if self.closing:
            return False
        if isinstance(message, m.Withdraw) and self.sending:
            self._hurry()
        self.size += 200 + len(getattr(message, "description", b""))
        if self.size > self.send_bytes:
            self.cut()
            return False
        self.messages.append(message)
        self.more.set()
        return True

    def _hurry(self) -> None:
        """The socket may be full. Half an offer must not be followed late by its rest, and no other may leave
        for its guest before the word that takes it back or the end of the connection."""
        self.writing.deadline = min(self.writing.deadline, trio.current_time() + REST)

    def left(self, data: bytes) -> None:
        self.offered = ""
        if self.taking_back:
            gone, self.taking_back = self.taking_back, []
            for guest in gone:
                self.open.pop(guest, None)
            self.over(self, gone)
        if not self.closing and not any(isinstance(each, m.Withdraw) for each in self.messages):
            self.writing.deadline = float("inf")

    def resume(self, guest: str) -> None:
        """An offer that stood aside may leave."""
        if offer := self.aside.pop(guest, None):
            self.messages.append(offer)
            self.more.set()

    def heard_of(self, guest: str) -> None:
        """The machine has spoken of a guest: its offer is not open any more."""
        self.open.pop(guest, None)

    def taken_out(self, message: m.Withdraw) -> m.Offer | None:
        """An offer of which no byte has left is taken out instead of taken back."""
        if offer := self.aside.pop(message.guest, None):
            return offer
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
            if offer and (left := self.time_left(message)) <= 0:
                if left < 0:
                    self.aside[message.guest] = message
                continue
            line = to_machine(message, left)
            if line is None:
                continue
            try:
                out += encode_line(line)
            except ValueError:
                continue
            if isinstance(message, m.Withdraw):
                self.taking_back.append(message.guest)
            if offer:
                self.offered = message.guest
                self.open[message.guest] = None
                break
        if self.taking_back:
            self._hurry()
        self.size = self.size if self.messages else 0
        return bytes(out)

    def offers_kept(self) -> list[m.Offer]:
        """Offers of which no byte has left."""
        return [*self.aside.values(), *(each for each in self.messages if isinstance(each, m.Offer))]
