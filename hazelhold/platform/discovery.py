"""Follows the bulletin: long polls over HTTP/1.1 for as long as the module wishes.

What the bulletin tells counts as told whether or not this planner hears it, so two things are kept apart:
which events came, in their order, and as of when the list is known to be current. The second is the moment
at which the call was made that showed no event to be missing: its answer may have been on its way for any
time. Calls follow one another so soon that each renews the planner's lease on the list (`engine.list_lease`)
before the last one's is over. A call that takes long is not given up: the next is made beside it on a new
connection, so that a bulletin whose answers take seconds is heard all the same.
"""

from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import h11
import msgspec
import structlog
import trio

from hazelhold.platform.configuration import KnownEvents
from hazelhold.service.net import Net

WAIT_WITHOUT_LEASE = 0.001  # seconds that a call asks the bulletin to wait while the lease is not held
WAIT_PART = 0.25  # of the lease: how long a call asks to wait for news. Two calls and their ways fit into one
MIN_INTERVAL_PART = (
    0.125  # of the lease: the least time from one call to the next, also where each brings news
)
LATE_AFTER = 0.25  # seconds past what it asks for after which an answer is late, for the log
NEXT_POLL_AFTER = 0.6  # seconds past what it asks for after which the next call is made beside this one
MAX_ANSWER_BYTES = 1 << 23  # bytes of an answer: news of some 40,000 machines at once
MAX_EVENT_TRIES = 3  # calls that end at the same event before it is passed over: it was not spoilt on its way
FAILURE_PAUSES = (0.05, 0.1, 0.2, 0.4)  # seconds between calls that fail one after another
SLOW_CALLS = 2  # late calls that go on beside the current one
MAX_SILENCE = 8.0  # seconds without a byte after which a late call is given up
MAX_POLL_DURATION = 30.0  # seconds after which a call is given up whatever it brings

T = TypeVar("T")


class DiscoveryError(Exception):
    """A call that brought nothing that can be used, or an event of which only `part` can be read."""

    def __init__(self, text: str, part: object = None) -> None:
        super().__init__(text)
        self.part = part


FAILURES = (
    DiscoveryError,
    OSError,
    ValueError,
    trio.TooSlowError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.ProtocolError,
)


class Answer(msgspec.Struct):
    no: int
    items: list[dict[str, Any]]


class Connection:
    """One connection to the bulletin; carries one call after another."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.wire = h11.Connection(h11.CLIENT)
        self.heard_at = trio.current_time()  # when bytes came last

    async def poll(self, host: str, after: int, patience: float) -> bytes:
        """The body of the answer to one call; any of FAILURES."""
        target = f"/bulletins?after={after}&patience={round(patience * 1000)}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        await self.stream.send_all(self.wire.send(request) + self.wire.send(h11.EndOfMessage()))
        body = bytearray()
        status = 0
        while True:
            event = self.wire.next_event()
            if event is h11.NEED_DATA:
                self.wire.receive_data(await self.stream.receive_some(1 << 16))
                self.heard_at = trio.current_time()
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER_BYTES:
                    raise DiscoveryError("a body without end")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise DiscoveryError("the connection was closed")
        if status != 200:
            raise DiscoveryError(f"status {status}")
        return bytes(body)

    def renew(self) -> bool:
        """Makes it ready for another call; False if it is of no more use."""
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.2):
            await trio.aclose_forcefully(self.stream)


class Poll(Generic[T]):
    """One call, from its dial to its answer, which the bulletin may keep back for `wait` seconds where it has
    no news. `connection` may be given; else one is dialled."""

    def __init__(self, follower: "DiscoveryFollower[T]", connection: Connection | None, wait: float) -> None:
        self.follower, self.connection, self.wait = follower, connection, wait
        self.asked_at = self.began_at = trio.current_time()
        self.scope = trio.CancelScope()
        self.finished = trio.Event()
        self.body: bytes | None = None  # set if it was answered
        self.error: BaseException | None = None  # set if it failed

    async def run(self) -> None:
        """Ends with `body` or `wrong` set, or with neither if it was cancelled."""
        try:
            with self.scope:
                with trio.fail_after(MAX_POLL_DURATION):
                    if self.connection is None:
                        self.connection = Connection(await self.follower.net.dial(self.follower.address))
                    self.asked_at = trio.current_time()
                    self.body = await self.connection.poll(
                        self.follower.address, self.follower.last, self.wait
                    )
        except FAILURES as error:
            self.error = error
        finally:
            if self.connection is not None and (self.body is None or not self.connection.renew()):
                connection, self.connection = self.connection, None
                await connection.close()
            self.finished.set()

    async def close(self) -> None:
        """Closes a connection that is not used for another call."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await connection.close()

    @property
    def heard_at(self) -> float:
        """When it brought something last."""
        return self.connection.heard_at if self.connection is not None else self.began_at


class DiscoveryFollower(Generic[T]):
    """Keeps to one address; `read(item)` makes an event of one item or raises DiscoveryError, `hear(events,
    age, whole)` gets new events in order, how many seconds ago the call was made that brought them, and
    whether it shows that none is missing; `fail()` hears of each failed call. `lease`: seconds for which an
    answer is of use, counted from its call."""

    def __init__(
        self,
        net: Net,
        address: str,
        known: KnownEvents,
        lease: float,
        read: Callable[[dict], T],
        on_events: Callable[[list[T], float, bool], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.net, self.address, self.lease, self.read = net, address, lease, read
        self.on_events, self.on_failure = on_events, on_failure
        self.unreadable = (0, 0)  # the number of an event that could not be read, and how often
        self.last = known.no
        self.update_requested = trio.Event()
        self.scope = trio.CancelScope()
        self.failures = 0  # in a row
        self.confirmed = False  # the last answer showed that no event is missing, soon enough to be of use
        self.polls = 0
        self.answers_late = False  # as it was written to the log last
        self.slow: list[Poll[T]] = []  # emptied as they end
        self.log = structlog.get_logger()

    def request_update(self) -> None:
        self.update_requested.set()

    def move(self, address: str) -> None:
        """Asks a new address from now on, at once. What the old one would still say is not waited for."""
        self.address = address
        self.failures, self.confirmed = 0, False
        self.scope.cancel()

    async def run(self) -> None:
        await self.update_requested.wait()
        while True:
            with trio.CancelScope() as self.scope:
                async with trio.open_nursery() as nursery:
                    await self._follow(nursery)
            self.slow.clear()

    async def _follow(self, nursery: trio.Nursery) -> None:
        """Calls one after another, with what is left of late ones beside them."""
        connection: Connection | None = None
        poll: Poll[T] | None = None
        try:
            while True:
                wait = WAIT_PART * self.lease if self.confirmed else WAIT_WITHOUT_LEASE
                poll, connection = Poll(self, connection, wait), None
                self.polls += 1
                nursery.start_soon(poll.run)
                with trio.move_on_after(wait + NEXT_POLL_AFTER):
                    await poll.finished.wait()
                if not poll.finished.is_set():
                    self._set_aside(poll, nursery)
                    self._failed(f"no answer within {wait + NEXT_POLL_AFTER:.3g} s")
                    continue
                if self._process_answer(poll):
                    connection, poll.connection = poll.connection, None
                    await trio.sleep(
                        max(0.0, poll.began_at + MIN_INTERVAL_PART * self.lease - trio.current_time())
                    )
                    continue
                await poll.close()
                await trio.sleep(FAILURE_PAUSES[min(self.failures, len(FAILURE_PAUSES)) - 1])
        finally:
            if connection is not None:
                await connection.close()
            if poll is not None and poll.finished.is_set():
                await poll.close()

    def _set_aside(self, poll: Poll[T], nursery: trio.Nursery) -> None:
        """Lets a late call go on beside the next ones, as long as it brings something now and then. Where
        there are enough of them it ends: those that wait longer are nearer to their answers."""
        if len(self.slow) >= SLOW_CALLS:
            poll.scope.cancel()
            return
        self.slow.append(poll)
        nursery.start_soon(self._process_late_answer, poll)

    async def _process_late_answer(self, poll: Poll[T]) -> None:
        while not poll.finished.is_set():
            with trio.move_on_at(poll.heard_at + MAX_SILENCE):
                await poll.finished.wait()
            if trio.current_time() >= poll.heard_at + MAX_SILENCE:
                poll.scope.cancel()
        self.slow.remove(poll)
        if poll.body is not None:
            self._process_answer(poll)
        await poll.close()

    def _process_answer(self, poll: Poll[T]) -> bool:
        """Hears what a call brought; False if it failed."""
        try:
            if poll.body is None:
                raise poll.error or DiscoveryError("cancelled")
            events, whole = self._decode_answer(poll.body)
        except FAILURES as error:
            self._failed(repr(error)[:200])
            return False
        if self.failures:
            self.log.info("discovery_answers", address=self.address, failures=self.failures, no=self.last)
        self.failures = 0
        took = trio.current_time() - poll.asked_at
        self._log_lateness(took - poll.wait)
        self.confirmed = whole and took < self.lease
        self.on_events(events, took, whole)
        return True

    def _log_lateness(self, seconds: float) -> None:
        """Writes a line when answers begin to come late, and when they come in time again."""
        late = seconds > LATE_AFTER
        if late is not self.answers_late:
            self.answers_late = late
            change = "discovery_slow" if late else "discovery_in_time"
            self.log.info(change, address=self.address, late_ms=round(seconds * 1000), no=self.last)

    def _failed(self, reason: str) -> None:
        if not self.failures:
            self.log.info("discovery_failed", address=self.address, reason=reason, no=self.last)
        self.failures += 1
        self.confirmed = False
        self.on_failure()

    # Events.

    def _decode_answer(self, body: bytes) -> tuple[list[T], bool]:
        """The events that are new, checked and in order, and whether these are all."""
        try:
            answer = msgspec.json.decode(body, type=Answer)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise DiscoveryError(f"not an answer: {error}") from None
        events = self.new_events(answer.items)
        return events, self.last >= answer.no

    def new_events(self, items: list[dict]) -> list[T]:
        """Those of the events that come after the last one, up to the first that is out of order or cannot be
        read; marks them as heard. DiscoveryError if there is such a one and none before it: what came whole
        is not kept waiting by what did not."""
        new: list[T] = []
        for item, no in self._numbered_events(items, new):
            if no != self.last + 1:
                if new:
                    break
                raise DiscoveryError(f"event {no} follows {self.last}")
            try:
                made = self._read_event(no, item)
            except DiscoveryError as error:
                if error.part is not None:  # it comes again with the next call, and once more as a whole
                    new.append(error.part)
                if new:
                    break
                raise
            self.last = no
            new += made
        return new

    def _numbered_events(self, items: list[dict], before: list[T]) -> Iterator[tuple[dict, int]]:
        """The events that are not known yet, with their numbers. DiscoveryError at one without a number, if
        nothing came before it."""
        for item in items:
            no = item.get("no")
            if not isinstance(no, int):
                if before:
                    return
                raise DiscoveryError("an event without a number")
            if no > self.last:
                yield item, no

    def _read_event(self, no: int, item: dict) -> list[T]:
        """The event as it is read; nothing for one that came so a few times, which is passed over."""
        try:
            return [self.read(item)]
        except DiscoveryError as error:
            times = self.unreadable[1] + 1 if self.unreadable[0] == no else 1
            self.unreadable = no, times
            if times < MAX_EVENT_TRIES:
                raise
            self.log.warning("event_passed_over", no=no, reason=str(error)[:200])
            return [] if error.part is None else [error.part]
