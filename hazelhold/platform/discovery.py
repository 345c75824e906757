"""Follows the discovery service by long polls over HTTP/1.1.

An event of the service is in force whether or not this planner has received it. Therefore two things are
tracked separately: which events have been received, in order, and the time as of which the list is known to
be current. The latter is when the poll was sent whose answer showed that no event is missing, since the
answer may have been in transit for any time. Polls follow each other soon enough that each renews the
planner's lease on the list (`engine.list_lease`) before the previous one ends. A slow poll is not abandoned:
the next one is sent beside it on a new connection, so that a service whose answers take seconds is still
followed."""

from collections.abc import Callable, Iterator
from typing import Any, Generic, TypeVar

import h11
import msgspec
import structlog
import trio

from hazelhold.platform.configuration import KnownEvents
from hazelhold.service.net import Net

WAIT_WITHOUT_LEASE = 0.001  # seconds that the service may delay its answer while the lease is not held
WAIT_PART = 0.25  # of the lease, for which the service may delay its answer: two polls fit into a lease
MIN_INTERVAL_PART = 0.125  # of the lease: the minimum time between polls, also if each brings events
LATE_AFTER = 0.25  # seconds past the requested wait after which an answer is logged as late
NEXT_POLL_AFTER = 0.6  # seconds past the requested wait after which the next poll is sent beside this one
MAX_ANSWER_BYTES = 1 << 23  # events of some 40,000 machines at once
MAX_EVENT_TRIES = 3  # polls that fail at the same event before it is skipped: it is not damaged in transit
FAILURE_PAUSES = (0.05, 0.1, 0.2, 0.4)  # seconds between consecutive failed polls
SLOW_CALLS = 2  # maximum of slow polls beside the current one
MAX_SILENCE = 8.0  # seconds without a byte after which a slow poll is cancelled
MAX_POLL_DURATION = 30.0  # seconds after which any poll is cancelled

T = TypeVar("T")


class DiscoveryError(Exception):
    """A poll without a usable answer, or an invalid event. `part` is the valid part of the event, if any."""

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
    """The answer to a poll: events, and the number of the service's last event."""

    no: int
    items: list[dict[str, Any]]


class Connection:
    """One connection to the discovery service; carries one poll after another."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.wire = h11.Connection(h11.CLIENT)
        self.heard_at = trio.current_time()  # when bytes were received last

    async def poll(self, host: str, after: int, wait: float) -> bytes:
        """Sends a poll and returns the body of its answer; raises any of FAILURES.

        `after` is the number of the last event received. The service may delay its answer by `wait` seconds.
        """
        target = f"/bulletins?after={after}&patience={round(wait * 1000)}"
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
                    raise DiscoveryError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise DiscoveryError("the connection was closed")
        if status != 200:
            raise DiscoveryError(f"status {status}")
        return bytes(body)

    def renew(self) -> bool:
        """Prepares the connection for another poll; False if it cannot be reused."""
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        """Closes the connection at once."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 0.2):
            await trio.aclose_forcefully(self.stream)


class Poll(Generic[T]):
    """One poll, from its dial to its answer, which the service may delay by `wait` seconds if it has no
    events. `connection` is reused; if it is None, a new one is dialled."""

    def __init__(self, follower: "DiscoveryFollower[T]", connection: Connection | None, wait: float) -> None:
        self.follower, self.connection, self.wait = follower, connection, wait
        self.address = follower.address
        self.asked_at = self.began_at = trio.current_time()
        self.scope = trio.CancelScope()
        self.finished = trio.Event()
        self.body: bytes | None = None  # set if it was answered
        self.error: BaseException | None = None  # set if it failed

    async def run(self) -> None:
        """Runs the poll. Then `body` or `error` is set, or neither if it was cancelled."""
        try:
            with self.scope:
                with trio.fail_after(MAX_POLL_DURATION):
                    if self.connection is None:
                        self.connection = Connection(await self.follower.net.dial(self.address))
                    self.asked_at = trio.current_time()
                    self.body = await self.connection.poll(self.address, self.follower.last, self.wait)
        except FAILURES as error:
            self.error = error
        finally:
            if self.connection is not None and (self.body is None or not self.connection.renew()):
                connection, self.connection = self.connection, None
                await connection.close()
            self.finished.set()

    async def close(self) -> None:
        """Closes the connection, if the poll still has one."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await connection.close()

    @property
    def heard_at(self) -> float:
        """When bytes were received last, in seconds of trio's clock."""
        return self.connection.heard_at if self.connection is not None else self.began_at


class DiscoveryFollower(Generic[T]):
    """Polls the discovery service at one address.

    `read(item)` converts an item to an event or raises DiscoveryError. `on_events(events, age, whole)` gets
    the new events in order, how many seconds ago their poll was sent, and whether its answer shows that no
    event is missing. `on_failure()` is called for each failed poll. `lease` is how long an answer is valid,
    in seconds from its poll."""

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
        self.unreadable = (0, 0)  # the number of the invalid event, and how often it came
        self.last = known.no
        self.update_requested = trio.Event()
        self.scope = trio.CancelScope()
        self.failures = 0  # consecutive
        self.confirmed = False  # the last answer showed within the lease that no event is missing
        self.polls = 0
        self.answers_late = False  # as logged last
        self.slow: list[Poll[T]] = []  # emptied as they finish
        self.log = structlog.get_logger()

    def request_update(self) -> None:
        """Starts polling; after the first call it has no effect."""
        self.update_requested.set()

    def move(self, address: str) -> None:
        """Polls a new address from now on, starting at once. Answers of the old one count no more, also one
        that has been received and not processed yet."""
        self.address = address
        self.failures, self.confirmed = 0, False
        self.scope.cancel()

    async def run(self) -> None:
        """Polls until cancelled, from the first request_update on."""
        await self.update_requested.wait()
        while True:
            with trio.CancelScope() as self.scope:
                async with trio.open_nursery() as nursery:
                    await self._follow(nursery)
            self.slow.clear()

    async def _follow(self, nursery: trio.Nursery) -> None:
        """Sends one poll after another, while slow ones finish in `nursery`."""
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
        """Lets a slow poll continue beside the next ones, for as long as bytes arrive within MAX_SILENCE. If
        there are SLOW_CALLS of them already it is cancelled, since the older ones are closer to their
        answers."""
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
        """Processes the answer to a poll; False if it failed, or came from an address that was left since."""
        if poll.address != self.address:
            return False
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
        """Logs when answers become late, and when they are in time again."""
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
        """Returns the new events, checked and in order, and whether none is missing."""
        try:
            answer = msgspec.json.decode(body, type=Answer)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise DiscoveryError(f"invalid answer: {error}") from None
        events = self.new_events(answer.items)
        return events, self.last >= answer.no

    def new_events(self, items: list[dict]) -> list[T]:
        """Returns the events after the last one, up to the first that is out of order or invalid, and marks
        them as received. DiscoveryError if there is such an event and no valid one before it: valid events
        are not delayed by a later invalid one."""
        new: list[T] = []
        for item, no in self._numbered_events(items, new):
            if no != self.last + 1:
                if new:
                    break
                raise DiscoveryError(f"event {no} follows {self.last}")
            try:
                read_events = self._read_event(no, item)
            except DiscoveryError as error:
                if error.part is not None:  # the event is polled again until it is complete or skipped
                    new.append(error.part)
                if new:
                    break
                raise
            self.last = no
            new += read_events
        return new

    def _numbered_events(self, items: list[dict], before: list[T]) -> Iterator[tuple[dict, int]]:
        """Yields the new events with their numbers. At an event without a number it stops if valid ones came
        before, else raises DiscoveryError."""
        for item in items:
            no = item.get("no")
            if not isinstance(no, int):
                if before:
                    return
                raise DiscoveryError("event without a number")
            if no > self.last:
                yield item, no

    def _read_event(self, no: int, item: dict) -> list[T]:
        """Reads an event; returns nothing, or its valid part, for one that failed MAX_EVENT_TRIES times and
        is skipped."""
        try:
            return [self.read(item)]
        except DiscoveryError as error:
            times = self.unreadable[1] + 1 if self.unreadable[0] == no else 1
            self.unreadable = no, times
            if times < MAX_EVENT_TRIES:
                raise
            self.log.warning("event_passed_over", no=no, reason=str(error)[:200])
            return [] if error.part is None else [error.part]
