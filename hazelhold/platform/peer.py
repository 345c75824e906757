"""Connections on the platform: each reads complete messages and writes from a bounded queue."""

import fcntl
import select
import termios
from collections import deque
from collections.abc import AsyncIterator, Callable

import trio

from hazelhold.platform.codec import BinaryMessage, BinaryReader, LineReader, encode_binary, encode_line
from hazelhold.platform.connection_memory import ConnectionMemory, OpenRequests
from hazelhold.platform.handover_limits import HandoverLimits
from hazelhold.platform.reading import guarded
from hazelhold.platform.translation import to_machine
from hazelhold.protocol import messages as m
from hazelhold.service.arrival_time import EmptySince
from hazelhold.service.connection import SendQueue
from hazelhold.service.net import accept_delay

READ = 1 << 14
# Seconds; half of the time for which a dispatch may still start after its owner has closed the connection.
MAX_INPUT_DELAY = 0.05
READ_SOON = 0.02  # seconds; input that may have waited longer is checked for more
# Seconds to read what a peer sent before its connection broke, and to write the rest of a partly sent offer.
DRAIN_TIMEOUT = 0.2


class ReadingPeer(SendQueue):
    """A connection whose received bytes are decoded by a reader."""

    reader: BinaryReader | LineReader

    def __init__(self, stream: trio.abc.Stream, send_bytes: int) -> None:
        super().__init__(stream, send_bytes)
        self.reading_done = trio.Event()  # set when nothing more will be read

    async def batches(self) -> AsyncIterator[list]:
        """Yields the messages of each read until either side closes. CodecError if received bytes are
        invalid, ReadingFaultError if the reader failed."""
        try:
            while True:
                self.read_begins()
                try:
                    data = await self.read()
                except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                    self.reset = self.reset or isinstance(error, trio.BrokenResourceError)
                    return
                if not data:
                    return
                self.was_read(len(data))
                yield guarded(self.reader.feed)(data)
                if self.reader.fault is not None:
                    raise self.reader.fault
        finally:
            self.reading_done.set()

    async def read(self) -> bytes:
        """Reads the next bytes; returns none at the end of the connection."""
        return await self.stream.receive_some(READ)

    def read_begins(self) -> None:
        """Called before each wait for input."""

    def was_read(self, size: int) -> None:
        """Called after each read, with the number of bytes."""

    def unread(self) -> bool:
        """Whether received bytes wait to be read; False if the stream is not a socket."""
        held = getattr(self.stream, "socket", None)
        if held is None or held.fileno() < 0:
            return False
        try:
            waiting = fcntl.ioctl(held.fileno(), termios.FIONREAD, bytes(4))
        except OSError:
            return held.is_readable()
        return any(waiting)

    def readable(self) -> bool:
        """Whether received bytes or the end of input wait to be read; False if the stream is not a socket."""
        held = getattr(self.stream, "socket", None)
        return held is not None and held.fileno() >= 0 and held.is_readable()

    def ended_by_peer(self) -> bool:
        """Whether the peer has closed its side, even if that is not read yet; False if the stream is not a
        socket."""
        held = getattr(self.stream, "socket", None)
        if held is None or held.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(held.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def read_out(self) -> None:
        """After a failed write, waits until the input is read: it may hold an answer."""
        with trio.move_on_after(DRAIN_TIMEOUT):
            await self.reading_done.wait()


class OwnerPeer(ReadingPeer):
    """An owner's connection. `open` holds the guests submitted on it that await their answer.

    `memory` counts what all connections hold together, and `max_guests` is what this planner holds at most.
    """

    def __init__(
        self,
        name: str,
        stream: trio.abc.Stream,
        send_bytes: int,
        at: float,
        memory: ConnectionMemory | None = None,
        max_guests: int = 0,
    ) -> None:
        super().__init__(stream, send_bytes)
        self.reader = BinaryReader()
        self.memory = memory or ConnectionMemory(0)
        self.handovers = HandoverLimits(max_guests)
        self.buffered = 0  # bytes in buffers, as last counted by `memory`
        self.discarded = False  # it is being closed for its buffers, which count no more
        self.name, self.opened_at, self.used_at = name, at, at
        self.open = OpenRequests(self.memory)
        self.arrival = EmptySince()
        self.accept_delay = accept_delay(stream)  # seconds, beside `arrival`; 0 from the second read on
        self.sent_valid = False  # the owner has sent a valid message
        self.was_sent_message = False  # the owner was sent a message
        self.had_placement = False  # a guest submitted on it was placed
        self.handed_over = False  # placed guests were handed over on it: their ends are owed to it
        self.partial_at: float | None = None  # when the buffered partial message began
        self.due = float("inf")  # when the connection is closed without input, in seconds of trio's clock
        self.timed_out = False  # it was closed at `due`
        self.awaiting = trio.CancelScope()  # of the current read
        self.bytes_put = self.bytes_left = 0
        # Ends of placed guests that are not written yet, with the stream offset of each one's last byte;
        # emptied as bytes are written.
        self.releases: deque[tuple[int, BinaryMessage]] = deque()
        self.peer_closed = False  # before the bytes that are being written
        self.has_left = False  # the owner had closed the connection before the last batch was handled
        self.not_taken: set[str] = set()  # guests submitted in such batches; emptied by their ends

    def set_due(self, due: float) -> None:
        """Sets when the connection is closed if no input comes, in seconds of trio's clock."""
        self.due = self.awaiting.deadline = due

    async def read(self) -> bytes:
        while True:
            self.awaiting = trio.CancelScope(deadline=self.due)
            with self.awaiting:
                return await self.stream.receive_some(READ)
            if not self.unread():
                self.timed_out = True
                return b""
            self.due = float("inf")  # input came in time, but the process may have been suspended then

    def read_begins(self) -> None:
        self.arrival.begin()

    def was_read(self, size: int) -> None:
        """Records since when the input may have waited. A short read left nothing that had come before it."""
        self.arrival.data_arrived()
        if size < READ and (self.arrival.waited() < READ_SOON or not self.unread()):
            self.arrival.emptied()

    def has_unread_input(self) -> bool:
        """Whether input of the owner waits to be read, or was read and may not be processed yet."""
        return self.unread() or self.arrival.has_just_begun()

    def has_overdue_input(self) -> bool:
        """Whether input of the owner, or its closing, has waited for longer than MAX_INPUT_DELAY."""
        return trio.current_time() - self.arrival.empty_at > MAX_INPUT_DELAY and self.readable()

    def send(self, binary: BinaryMessage) -> bool:
        """Queues a message; False if it is too long or the connection is closing."""
        try:
            data = encode_binary(binary)
        except ValueError:
            return False
        if not self.put(data):
            return False
        self.was_sent_message = True
        self.bytes_put += len(data)
        self.memory.count_buffers(self)
        return True

    def buffered_bytes(self) -> int:
        """Bytes that were read and are no message yet, and those that are not written yet."""
        return 0 if self.discarded else len(self.reader.held) + self.bytes_put - self.bytes_left

    def release(self, binary: BinaryMessage) -> bool:
        """Like `send`, for the end of a placed guest, which is sent elsewhere if this connection closes
        first."""
        if not self.send(binary):
            return False
        self.releases.append((self.bytes_put, binary))
        return True

    def leaving(self) -> bytes:
        # The owner may have closed the connection while the process was suspended. A release that is written
        # now would be lost, so it stays among those that are sent elsewhere once the close is read.
        self.peer_closed = bool(self.releases) and self.ended_by_peer()
        return super().leaving()

    def left(self, data: bytes) -> None:
        self.bytes_left += len(data)
        self.memory.count_buffers(self)
        if self.peer_closed:
            return
        while self.releases and self.releases[0][0] <= self.bytes_left:
            self.releases.popleft()


class MachinePeer(ReadingPeer):
    """A connection to a machine.

    Messages are encoded when they are written: an offer then carries the time that is left, an obsolete one
    is not written, and one whose guest's previous offer elsewhere may still be open is deferred until that
    is settled.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        send_bytes: int,
        time_left: Callable[[m.Offer], int],
        over: Callable[["MachinePeer", list[str]], None] = lambda peer, guests: None,
    ) -> None:
        super().__init__(stream, send_bytes)
        self.reader = LineReader()
        self.time_left = time_left  # in microseconds; 0: the offer is obsolete, below 0: it is deferred
        self.over = over  # called with the guests whose offers here were withdrawn by written bytes
        self.messages: deque[m.Message] = deque()
        self.size = 0  # approximate bytes of the waiting messages
        self.offered = ""  # the guest whose offer is among the bytes being written
        # By guest; emptied by resume, remove_unsent and the connection's end.
        self.deferred: dict[str, m.Offer] = {}
        # Guests whose offers were written and await an answer; emptied by answers, withdrawals and the
        # connection's end.
        self.open: dict[str, None] = {}
        self.withdrawing: list[str] = []  # guests whose offers the bytes being written withdraw

    def send(self, message: m.Message) -> bool:
        """Queues a message; False if the connection is closing, or is closed since its queue is full."""
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
        """Bounds the time for writing, since the socket may be full: the rest of a partly written offer must
        not follow late, and no other offer of its guest may be sent before this one is withdrawn or the
        connection is closed."""
        self.writing.deadline = min(self.writing.deadline, trio.current_time() + DRAIN_TIMEOUT)

    def left(self, data: bytes) -> None:
        self.offered = ""
        if self.withdrawing:
            withdrawn, self.withdrawing = self.withdrawing, []
            for guest in withdrawn:
                self.open.pop(guest, None)
            self.over(self, withdrawn)
        if not self.closing and not any(isinstance(each, m.Withdraw) for each in self.messages):
            self.writing.deadline = float("inf")

    def resume(self, guest: str) -> None:
        """Queues a deferred offer again."""
        if offer := self.deferred.pop(guest, None):
            self.messages.append(offer)
            self.more.set()

    def close_offer(self, guest: str) -> None:
        """Marks a guest's offer as answered by the machine."""
        self.open.pop(guest, None)

    def remove_unsent(self, message: m.Withdraw) -> m.Offer | None:
        """Removes an offer of which no byte is written, which needs no withdrawal; None if there is none."""
        if offer := self.deferred.pop(message.guest, None):
            return offer
        for each in self.messages:
            if isinstance(each, m.Offer) and each.guest == message.guest:
                self.messages.remove(each)
                return each
        return None

    def waits(self) -> bool:
        """Whether messages wait to be written."""
        return bool(self.messages)

    def leaving(self) -> bytes:
        """Encodes what is written next, up to the first offer, so that each offer is checked just before it
        is written. In a batch, offers behind a full socket would be sent even if their machine began to drain
        meanwhile."""
        out = bytearray()
        while self.messages:
            message, left = self.messages.popleft(), 0
            offer = isinstance(message, m.Offer)
            if offer and (left := self.time_left(message)) <= 0:
                if left < 0:
                    self.deferred[message.guest] = message
                continue
            line = to_machine(message, left)
            if line is None:
                continue
            try:
                out += encode_line(line)
            except ValueError:
                continue
            if isinstance(message, m.Withdraw):
                self.withdrawing.append(message.guest)
            if offer:
                self.offered = message.guest
                self.open[message.guest] = None
                break
        if self.withdrawing:
            self._hurry()
        self.size = self.size if self.messages else 0
        return bytes(out)

    def unsent_offers(self) -> list[m.Offer]:
        """Offers of which no byte is written."""
        return [*self.deferred.values(), *(each for each in self.messages if isinstance(each, m.Offer))]
