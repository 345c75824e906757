"""Connections to machines: dialled at the engine's request, with the engine's messages written to them and
theirs passed to it.

A dispatch of a guest must not be sent while an earlier dispatch of it on another connection may still be
open: `fences` hold it back until that one is settled."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import structlog
import trio

from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Dial
from hazelhold.platform import translation
from hazelhold.platform.codec import CodecError, Line
from hazelhold.platform.peer import MachinePeer
from hazelhold.platform.reading import ReadingFaultError, guarded
from hazelhold.protocol import messages as m
from hazelhold.service.net import Net


class MachineLink(NamedTuple):
    """A connection to a machine, or its dial; `peer` is None until the connection is up."""

    scope: trio.CancelScope | None
    peer: MachinePeer | None


NO_LINK = MachineLink(None, None)


class MachineLinks:
    """All connections of one planner to machines.

    `progress` carries out the engine's actions after it has received input, and wakes the ticker; `notify`
    only wakes the ticker. `nursery` and `has_unread_input`, which tells whether an owner's connection waits
    to be read, have to be set before the first dial."""

    nursery: trio.Nursery
    has_unread_input: Callable[[str], bool]
    log_frames = False

    def __init__(
        self,
        net: Net,
        engine: Engine,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
        progress: Callable[[], None],
        notify: Callable[[], None],
    ) -> None:
        self.net, self.engine, self.counts, self.log = net, engine, counts, log
        self.progress, self.notify = progress, notify
        self.by_machine: dict[str, MachineLink] = {}  # emptied as connections end
        # The connection on which a dispatch may still be open, by guest id; emptied when its withdrawal is
        # written or the connection is closed.
        self.fences: dict[str, MachinePeer] = {}
        # Guests whose offers wait until their owner's connection is read, by owner; emptied by that.
        self.waiting_for_owner: dict[str, list[str]] = {}

    def peer(self, machine: str) -> MachinePeer | None:
        """The connection to a machine, if it is up."""
        return self.by_machine.get(machine, NO_LINK).peer

    def dial(self, dial: Dial) -> None:
        """Starts a connection; an existing one to the machine is closed."""
        self.hang_up(dial.machine)
        scope = trio.CancelScope()
        self.by_machine[dial.machine] = MachineLink(scope, None)
        self.nursery.start_soon(self._run, dial, scope)

    def hang_up(self, machine: str) -> None:
        """Closes a connection or cancels its dial at once."""
        scope, peer = self.by_machine.pop(machine, NO_LINK)
        if peer is not None:
            self.fences.update(dict.fromkeys(peer.open, peer))  # open there until the connection is closed
            peer.cut()
        if scope is not None:
            scope.cancel()

    def send(self, machine: str, message: m.Message) -> None:
        """Sends a message. An offer that is withdrawn before a byte of it is written is removed instead, and
        reported to the engine as not sent."""
        peer = self.peer(machine)
        withdraws = peer is not None and isinstance(message, m.Withdraw)
        if withdraws and (offer := peer.remove_unsent(message)):
            self.engine.offer_held_back(self.net.now(), offer)
            return
        sent = peer is not None and peer.send(message)
        if withdraws and (
            sent or message.guest in peer.open
        ):  # if not sent, the connection's end withdraws it
            self.fences[message.guest] = peer
        if not sent:
            self.counts["unsent"] += 1
        elif self.log_frames:
            self.log.debug("to_machine", machine=machine, message=repr(message))

    async def _run(self, dial: Dial, scope: trio.CancelScope) -> None:
        """Runs one connection: dials within its timeout, then serves it until either side closes."""
        name, peer, refused = dial.machine, None, False
        with scope:
            try:
                with trio.fail_after(dial.timeout / 1e6):
                    stream = await self.net.dial(dial.address)
                if not self._is_current(name, scope):  # closed while the dial completed
                    await trio.aclose_forcefully(stream)
                    return
                peer = MachinePeer(
                    stream, self.engine.limits.send_bytes, self._time_left, self._offers_settled
                )
                await self._serve(name, scope, peer)
            except (OSError, ValueError, trio.TooSlowError) as error:  # ValueError: invalid address
                refused = is_refused(error)
                self.counts["dials_refused" if refused else "dials_failed"] += 1
                self.log.debug("dial_failed", machine=name, address=dial.address, reason=repr(error)[:200])
        if not scope.cancelled_caught and self._is_current(name, scope):
            self._connection_closed(name, peer, refused)

    def _is_current(self, machine: str, scope: trio.CancelScope) -> bool:
        return self.by_machine.get(machine, NO_LINK).scope is scope

    async def _serve(self, machine: str, scope: trio.CancelScope, peer: MachinePeer) -> None:
        """Reads and writes until either side closes."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peer.write)
                with peer.scope:
                    self.by_machine[machine] = MachineLink(scope, peer)
                    self.engine.link_up(self.net.now(), machine)
                    self.progress()
                    await self._receive(machine, peer)
                peer.end()
                peer.writing.cancel()
        finally:
            self._offers_settled(peer, [guest for guest, at in self.fences.items() if at is peer])

    def _connection_closed(self, machine: str, peer: MachinePeer | None, refused: bool) -> None:
        """Reports a connection that closed by itself, or a failed dial, to the engine."""
        del self.by_machine[machine]
        now = self.net.now()
        if peer is None:
            self.engine.link_failed(now, machine, refused)
        else:
            for offer in peer.unsent_offers():
                self.engine.offer_held_back(now, offer)
            self.engine.link_down(now, machine, peer.reset)
        self.progress()

    def _offers_settled(self, peer: MachinePeer, guests: list[str]) -> None:
        """Removes the fences of guests whose offers on a connection are no longer open, and resumes their
        deferred offers."""
        for guest in guests:
            if self.fences.get(guest) is not peer:
                continue
            del self.fences[guest]
            self._resume(guest)

    def _resume(self, guest: str) -> None:
        """Resumes the deferred offer of a guest, if it has one."""
        record = self.engine.newest_records.get(guest)
        if record and (peer := self.peer(record.machine)):
            peer.resume(guest)

    def owner_read(self, owner: str) -> None:
        """Called after an owner's connection was read; resumes the offers that waited for it."""
        for guest in self.waiting_for_owner.pop(owner, ()):
            self._resume(guest)

    def _time_left(self, offer: m.Offer) -> int:
        """Microseconds left for an offer; 0 if it must not be sent, below 0 if it is deferred."""
        now = self.net.now()
        left = self.engine.time_left(now, offer)
        if left and offer.guest in self.fences:
            self.counts["offers_behind"] += 1
            return -1
        if left and self.has_unread_input(offer.owner):
            # The process was suspended for a while, so the owner may have cancelled meanwhile. Its input is
            # read in this iteration of the event loop or the next.
            self.counts["offers_behind_owner"] += 1
            self.waiting_for_owner.setdefault(offer.owner, []).append(offer.guest)
            return -1
        if left:
            self.engine.offer_sent(now, offer.guest)
        else:
            self.counts["offers_held_back"] += 1
            self.engine.offer_held_back(now, offer)
            self.notify()
        return left

    async def _receive(self, machine: str, peer: MachinePeer) -> None:
        try:
            async for batch in peer.batches():
                for line in batch:
                    if line.op in ("accept", "end"):
                        peer.close_offer(line.call)
                    self._message_received(machine, line)
        except (CodecError, ReadingFaultError) as error:
            self.counts["machine_" + error.code] += 1
            self.log.info("machine_unreadable", machine=machine, code=error.code, reason=error.text[:200])

    def _message_received(self, machine: str, line: Line) -> None:
        if self.log_frames:
            self.log.debug("machine_said", machine=machine, line=repr(line))
        placed = not self.engine.is_outstanding(line.call)
        message = guarded(translation.from_machine)(line, placed)
        if message is None:
            return
        self.engine.machine_said(self.net.now(), machine, message)
        self.progress()


def is_refused(error: BaseException | None) -> bool:
    """Whether a dial failed only because no process listens at the address."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        if isinstance(error, BaseExceptionGroup):
            return all(is_refused(each) for each in error.exceptions)
        error = error.__cause__
    return False
