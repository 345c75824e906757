"""Connections to machines: dialled as the engine asks, written to by what it sends, read into it.

Over several connections to machines an attempt of a task must not leave before an earlier attempt of the same
task is surely over: `fences` hold it back until then.
"""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import structlog
import trio

from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Dial
from hazelhold.platform import words
from hazelhold.platform.codec import CodecError, Line
from hazelhold.platform.peer import MachinePeer
from hazelhold.protocol import messages as m
from hazelhold.service.net import Net


class MachineLink(NamedTuple):
    """A connection to a machine, or the dial of one; `peer` is None until it is up."""

    scope: trio.CancelScope | None
    peer: MachinePeer | None


NO_LINK = MachineLink(None, None)


class MachineLinks:
    """All connections of one planner to machines.

    `progress` carries out what the engine wants after it has heard something and wakes the ticker; `stir`
    only wakes the ticker. `nursery` and `is_unheard`, which tells of an owner whose connection waits to be
    read, have to be set before anything is dialled.
    """

    nursery: trio.Nursery
    is_unheard: Callable[[str], bool]
    log_frames = False

    def __init__(
        self,
        net: Net,
        engine: Engine,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
        progress: Callable[[], None],
        stir: Callable[[], None],
    ) -> None:
        self.net, self.engine, self.counts, self.log = net, engine, counts, log
        self.progress, self.stir = progress, stir
        self.by_machine: dict[str, MachineLink] = {}  # emptied as connections end
        # Where an attempt of a task may still be out, by the task's id; emptied as the word that takes it
        # back or its connection leaves.
        self.fences: dict[str, MachinePeer] = {}
        # Tasks whose offers wait until their owner's connection is read, by owner; emptied by that.
        self.behind_owners: dict[str, list[str]] = {}

    def peer(self, machine: str) -> MachinePeer | None:
        """The connection to a machine that is up."""
        return self.by_machine.get(machine, NO_LINK).peer

    def dial(self, dial: Dial) -> None:
        """Starts a connection, in place of one that there is."""
        self.hang_up(dial.machine)
        scope = trio.CancelScope()
        self.by_machine[dial.machine] = MachineLink(scope, None)
        self.nursery.start_soon(self._run, dial, scope)

    def hang_up(self, machine: str) -> None:
        """Ends a connection or its dial at once."""
        scope, peer = self.by_machine.pop(machine, NO_LINK)
        if peer is not None:
            self.fences.update(dict.fromkeys(peer.open, peer))  # open there until it is closed
            peer.cut()
        if scope is not None:
            scope.cancel()

    def tell(self, machine: str, message: m.Message) -> None:
        """Sends a message; what is taken back before a byte of it left is told to the engine instead."""
        peer = self.peer(machine)
        taking_back = peer is not None and isinstance(message, m.Withdraw)
        if taking_back and (offer := peer.taken_out(message)):
            self.engine.offer_held_back(self.net.now(), offer)
            return
        sent = peer is not None and peer.send(message)
        if taking_back and (sent or message.guest in peer.open):  # not sent: its end takes back what is open
            self.fences[message.guest] = peer
        if not sent:
            self.counts["unsent"] += 1
        elif self.log_frames:
            self.log.debug("to_machine", machine=machine, message=repr(message))

    async def _run(self, dial: Dial, scope: trio.CancelScope) -> None:
        """One connection: dials within its span, then listens until either side ends."""
        name, peer, refused = dial.machine, None, False
        with scope:
            try:
                with trio.fail_after(dial.timeout / 1e6):
                    stream = await self.net.dial(dial.address)
                if not self._is_current(name, scope):  # hung up just as it came up
                    await trio.aclose_forcefully(stream)
                    return
                peer = MachinePeer(stream, self.engine.limits.send_bytes, self._time_left, self._over)
                await self._serve(name, scope, peer)
            except (OSError, ValueError, trio.TooSlowError) as wrong:  # ValueError: an address that is none
                refused = is_refused(wrong)
                self.counts["dials_refused" if refused else "dials_failed"] += 1
                self.log.debug("dial_failed", machine=name, address=dial.address, reason=repr(wrong)[:200])
        if not scope.cancelled_caught and self._is_current(name, scope):
            self._ended(name, peer, refused)

    def _is_current(self, machine: str, scope: trio.CancelScope) -> bool:
        return self.by_machine.get(machine, NO_LINK).scope is scope

    async def _serve(self, machine: str, scope: trio.CancelScope, peer: MachinePeer) -> None:
        """Reads and writes until either side ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peer.write)
                with peer.scope:
                    self.by_machine[machine] = MachineLink(scope, peer)
                    self.engine.link_up(self.net.now(), machine)
                    self.progress()
                    await self._hear(machine, peer)
                peer.end()
                peer.writing.cancel()
        finally:
            self._over(peer, [task for task, at in self.fences.items() if at is peer])

    def _ended(self, machine: str, peer: MachinePeer | None, refused: bool) -> None:
        """Tells the engine of a connection that ended by itself, or of a dial that failed."""
        del self.by_machine[machine]
        now = self.net.now()
        if peer is None:
            self.engine.link_failed(now, machine, refused)
        else:
            for offer in peer.offers_kept():
                self.engine.offer_held_back(now, offer)
            self.engine.link_down(now, machine, peer.reset)
        self.progress()

    def _over(self, peer: MachinePeer, tasks: list[str]) -> None:
        """What was open on a connection is surely over: what waited for that leaves."""
        for task in tasks:
            if self.fences.get(task) is not peer:
                continue
            del self.fences[task]
            self._resume(task)

    def _resume(self, task: str) -> None:
        """Lets the offer of a task leave that stood aside."""
        case = self.engine.newest_records.get(task)
        if case and (peer := self.peer(case.machine)):
            peer.resume(task)

    def owner_heard(self, owner: str) -> None:
        """An owner's connection was read: what waited for that may leave."""
        for task in self.behind_owners.pop(owner, ()):
            self._resume(task)

    def _time_left(self, offer: m.Offer) -> int:
        """Microseconds that are left to an offer; 0 if it is not to leave, below 0 if not yet."""
        now = self.net.now()
        left = self.engine.time_left(now, offer)
        if left and offer.guest in self.fences:
            self.counts["offers_behind"] += 1
            return -1
        if left and self.is_unheard(offer.owner):
            # The process did not run for a moment: the owner may have given up meanwhile, and what it said
            # is read in this turn of the loop or the next.
            self.counts["offers_behind_owner"] += 1
            self.behind_owners.setdefault(offer.owner, []).append(offer.guest)
            return -1
        if left:
            self.engine.offer_sent(now, offer.guest)
        else:
            self.counts["offers_held_back"] += 1
            self.engine.offer_held_back(now, offer)
            self.stir()
        return left

    async def _hear(self, machine: str, peer: MachinePeer) -> None:
        try:
            async for batch in peer.batches():
                for line in batch:
                    if line.op in ("accept", "end"):
                        peer.heard_of(line.call)
                    self._said(machine, line)
        except CodecError as wrong:
            self.counts["machine_" + wrong.code] += 1
            self.log.info("machine_unreadable", machine=machine, code=wrong.code, reason=wrong.text[:200])

    def _said(self, machine: str, line: Line) -> None:
        if self.log_frames:
            self.log.debug("machine_said", machine=machine, line=repr(line))
        message = words.from_machine(line, not self.engine.is_outstanding(line.call))
        if message is None:
            return
        self.engine.machine_said(self.net.now(), machine, message)
        self.progress()


def is_refused(wrong: BaseException | None) -> bool:
    """Whether a dial failed because nobody listens there."""
    while wrong is not None:
        if isinstance(wrong, ConnectionRefusedError):
            return True
        if isinstance(wrong, BaseExceptionGroup):
            return all(is_refused(each) for each in wrong.exceptions)
        wrong = wrong.__cause__
    return False
