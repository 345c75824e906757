"""Connections of owners: admission, input for the engine, answers, and eviction when all are in use.

The limits here are those of the protocol: bytes, descriptors, the time to a first message. What becomes of a
guest is decided by the engine.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable

import structlog
import trio
from msgspec.structs import replace

from hazelhold.engine.engine import Engine
from hazelhold.engine.permission import close_denied
from hazelhold.platform import translation
from hazelhold.platform.codec import END, HEARD, SET_UP, TEST, BinaryMessage, CodecError
from hazelhold.platform.connection_memory import ConnectionMemory
from hazelhold.platform.eviction import eviction_order, is_stuck
from hazelhold.platform.handover_limits import HandedOver
from hazelhold.platform.peer import OwnerPeer
from hazelhold.platform.reading import ReadingFaultError, guarded
from hazelhold.platform.releases import Releases
from hazelhold.protocol import messages as m
from hazelhold.scheduler import ANSWER_LEAD
from hazelhold.service.net import Net

FIRST_MESSAGE_TIMEOUT = 2.0  # seconds to the first valid message, and to the rest of a partial one
EARLY_END, EARLY_ENDS = 2.0, 4096  # seconds that an end waits for its set-up, and the maximum of such ends
READ_LATE = 0.1  # seconds in the input queue after which a set-up is counted as read late
MIN_TIME_LEFT = ANSWER_LEAD  # microseconds; with less, a submission is due for its refusal when it is read
MAX_UNREAD_CHECKS = 16  # idle connections that are checked for unread input before a new one is refused


class OwnerServer:
    """All connections of owners to one planner.

    `progress` carries out the engine's actions after it has received input, and wakes the ticker; `on_read`
    is called with the name of each connection that was read. `memory` is that of the process, in bytes.
    """

    log_frames = False
    leaving = False  # probes are answered as not ready

    def __init__(
        self,
        net: Net,
        engine: Engine,
        limits: translation.SubmissionLimits,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
        progress: Callable[[], None],
        on_read: Callable[[str], None],
        memory: float,
    ) -> None:
        self.net, self.engine, self.submission_limits = net, engine, limits
        self.counts, self.log, self.progress, self.on_read = counts, log, progress, on_read
        self.peers: dict[str, OwnerPeer] = {}  # by name; emptied as connections close
        self.accepted = 0  # connections accepted so far
        self.memory = ConnectionMemory(memory)
        self.releases = Releases(self.peers, counts)
        self.early_ends: OrderedDict[str, float] = OrderedDict()  # ends without a set-up; emptied by age

    # Connections.

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it is closed. An error on it closes only this connection."""
        if len(self.peers) >= self.engine.limits.connections and not self._free_connection():
            self.counts["connections_refused"] += 1
            await trio.aclose_forcefully(stream)
            return
        self.accepted += 1
        self.counts["connections"] += 1
        peer = OwnerPeer(
            f"c{self.accepted}",
            stream,
            self.engine.limits.send_bytes,
            trio.current_time(),
            self.memory,
            self.engine.limits.open_guests,
        )
        self.peers[peer.name] = peer
        self._set_deadline(peer)
        try:
            await self._read_and_write(peer)
        finally:
            self.peers.pop(peer.name, None)
            self.memory.forget_buffers(peer)
            self.on_read(peer.name)
            while peer.releases:  # not written: sent elsewhere
                self.counts["releases_again"] += 1
                self.releases.send(None, peer.releases.popleft()[1])

    async def _read_and_write(self, peer: OwnerPeer) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peer.write)
            try:
                with peer.scope:
                    await self._receive(peer)
                if peer.timed_out and not peer.closing:
                    self.counts["connections_timed_out"] += 1
                    self._check_close(peer)
            finally:
                peer.end()
                self._connection_ended(peer)  # before the rest is written, which may take a second

    async def _receive(self, peer: OwnerPeer) -> None:
        try:
            async for batch in peer.batches():
                if batch:
                    peer.partial_at = None  # what is buffered now belongs to another message
                    peer.has_left = peer.ended_by_peer()
                for binary in batch:
                    if peer.scope.cancel_called:
                        break
                    if (
                        not peer.closing or binary.type == END
                    ):  # nothing new if it cannot be answered any more
                        self._message_received(peer, binary)
                self._count_buffers(peer)
                peer.accept_delay = 0.0
                self._set_deadline(peer)
                self.on_read(peer.name)
        except (CodecError, ReadingFaultError) as error:
            self._close_faulty(peer, error)

    def has_unread_input(self, owner: str) -> bool:
        """Whether an owner may have sent a cancellation that is not read yet, or has closed its connection.
        Its offers wait until that is read."""
        peer = self.peers.get(owner)
        return peer is not None and (peer.ended_by_peer() or peer.has_overdue_input())

    def _check_close(self, peer: OwnerPeer) -> None:
        """Counts and logs a rule violation if this side closes a connection on which answers are owed."""
        if close_denied(len(peer.open)) is None:
            return
        self.counts["rule_violations"] += 1
        self.log.error(
            "rule_violated", rule="closed with answers owed", owner=peer.name, tasks=list(peer.open)
        )

    def _connection_ended(self, peer: OwnerPeer) -> None:
        """Abandons the guests that are open on a connection whose input has ended."""
        now = self.net.now()
        for guest in list(peer.open):
            self.engine.owner_left(now, guest)
        peer.open.remove_all()
        self.progress()

    def _free_connection(self) -> bool:
        """Closes an idle connection for a new one; False if there is none.

        A connection with unread input is not idle, since that may be a set-up. It is closed only if it has
        sent no valid message and all that were checked have unread input.
        """
        if self._open_connections() < self.engine.limits.connections:
            return True  # those that are closing are gone within a second, so none has to be evicted
        now = trio.current_time()
        order = eviction_order(self.peers.values(), now)
        victim = next(
            (
                peer
                for peer in order[:MAX_UNREAD_CHECKS]
                if is_stuck(peer, now) or not peer.has_unread_input()
            ),
            None,
        )
        if victim is None and order and not order[0].sent_valid:
            victim = order[0]
        if victim is None:
            return False
        self.counts["connections_closed_for_others"] += 1
        self._check_close(victim)
        del self.peers[victim.name]
        if is_stuck(victim, now):  # it reads nothing; to any other the rest is written
            victim.cut()
        elif not victim.unsent():
            victim.drop()  # frees its descriptor before the next one is used
        victim.end()
        victim.scope.cancel()
        return True

    def _open_connections(self) -> int:
        """Number of connections that are not closing."""
        return sum(not peer.closing for peer in self.peers.values())

    def _set_deadline(self, peer: OwnerPeer) -> None:
        """Sets when a connection is closed without input: one that has sent no valid message and was sent
        none, and one that has sent a partial message and awaits no answer."""
        now = trio.current_time()
        if not peer.reader.has_partial_message:
            peer.partial_at = None
        elif peer.partial_at is None:
            peer.partial_at = now
        due = float("inf")
        owed = close_denied(len(peer.open)) is not None  # open guests have to be answered first
        if peer.partial_at is not None and not owed:
            due = peer.partial_at + FIRST_MESSAGE_TIMEOUT
        if not owed and not peer.was_sent_message and not peer.had_placement:
            due = min(due, max(peer.opened_at + FIRST_MESSAGE_TIMEOUT, now + 0.2))
        peer.set_due(due)

    def _close_faulty(self, peer: OwnerPeer, error: CodecError | ReadingFaultError) -> None:
        """Closes the connection of a peer whose bytes are invalid or could not be read, which abandons its
        open guests."""
        self.counts["owner_" + error.code] += 1
        self.log.debug("owner_closed", owner=peer.name, code=error.code, reason=error.text[:200])
        peer.end()
        peer.scope.cancel()

    # Output of the engine.

    def send(self, owner: str, message: m.Message) -> None:
        """Sends an answer on its guest's connection, or the end of a guest on any suitable one."""
        binary = translation.to_owner(message)
        if binary is None:
            return
        if self.log_frames:
            self.log.debug("to_owner", owner=owner, message=repr(message))
        peer = self.peers.get(owner)
        if isinstance(message, m.GuestEnded):
            if peer is not None:
                peer.handovers.remove(message.guest)
            if message.how != "stopped" and not self.releases.send(peer, binary) and message.how == "moved":
                self.engine.move_undelivered(message.guest)
            return
        if peer is None:
            self.counts["answers_without_owner"] += 1
            return
        if isinstance(message, m.Rejected) and message.code == "open_already":
            self._duplicate_id(peer, binary)
            return
        peer.open.remove(binary.id)
        peer.had_placement = peer.had_placement or isinstance(message, m.Placed)
        if not peer.send(binary):
            self.counts["answers_unsent"] += 1
        self._limit_buffers()
        self._set_deadline(peer)

    def _duplicate_id(self, peer: OwnerPeer, refusal: BinaryMessage) -> None:
        """Refuses a set-up with the id of an open guest and closes its connection.

        The connection stays if answers are owed on it and the guest was opened on another: set-ups on two
        connections may be read in either order, so this one may be the guest's real owner.
        """
        if not self._opened_on(peer, refusal.id):
            peer.send(refusal)
            if peer.open:
                return
        self._close_faulty(peer, CodecError("open_already", "a second set-up with the id of an open guest"))

    def _opened_on(self, peer: OwnerPeer, guest: str) -> bool:
        """Whether an open guest was submitted on this connection.

        If so, the refusal of a second set-up with its id would be read there as the guest's own answer or
        end."""
        record = self.engine.newest_records.get(guest)
        return guest in peer.open or (record is not None and record.owner == peer.name)

    # Input of owners.

    def _message_received(self, peer: OwnerPeer, binary: BinaryMessage) -> None:
        now = self.net.now()
        peer.used_at = trio.current_time()
        if self.log_frames:
            self.log.debug("owner_said", owner=peer.name, binary=repr(binary))
        if binary.type == SET_UP:
            self._set_up(now, peer, binary)
        elif binary.type == END:
            self._end_received(now, peer, binary.id)
        elif binary.type == TEST:
            peer.sent_valid = True
            peer.send(translation.probe_answer(binary.id, self.engine.ready() and not self.leaving))
        elif binary.type != HEARD:
            self.counts["owner_passed_over"] += 1
        if peer.sent_valid:
            self.releases.send_waiting(peer)
        self.progress()

    def _end_received(self, now: int, peer: OwnerPeer, guest: str) -> None:
        """Handles an owner's end: it cancels an open guest or stops a placed one.

        An open guest belongs to the connection on which it was submitted, but its owner may have lost that
        one. If the end comes on another, nothing more is started for the guest, and the answer goes to its
        own connection. An end that precedes its set-up is remembered for EARLY_END seconds."""
        if guest in peer.not_taken:
            peer.not_taken.remove(guest)
            return
        if self.engine.is_outstanding(guest) and guest not in peer.open:
            self.counts["ends_of_others"] += 1
            self.engine.withdraw_guest(now, guest)
            return
        peer.open.remove(guest)
        peer.handovers.remove(guest)
        if self.engine.owner_left(now, guest):
            peer.sent_valid = True
            return
        self._remember_early_end(guest)

    def _remember_early_end(self, guest: str) -> None:
        """Remembers an end without a set-up, at most EARLY_ENDS of them."""
        at = trio.current_time()
        while self.early_ends and (
            len(self.early_ends) >= EARLY_ENDS or next(iter(self.early_ends.values())) <= at
        ):
            self.early_ends.popitem(last=False)
        self.early_ends[guest] = at + EARLY_END

    def _set_up(self, now: int, peer: OwnerPeer, binary: BinaryMessage) -> None:
        ended = self.early_ends.pop(binary.id, 0.0) > trio.current_time()
        try:
            submit, at = guarded(translation.parse_submission)(binary, self.submission_limits)
        except (translation.InvalidSubmissionError, CodecError) as error:
            self._refuse_submission(peer, binary.id, error)
            return
        if ended:
            self.counts["ended_before"] += 1
        if at:
            self._handover(now, peer, at, submit, ended)
        elif ended:
            peer.send(translation.released(binary.id, translation.FULL))
        else:
            peer.sent_valid = True
            self._submit(now, peer, self._since_sent(peer, submit), binary.size())

    def _submit(self, now: int, peer: OwnerPeer, submit: m.Submit, size: int) -> None:
        """Passes a valid submission to the engine, unless its refusal is certain: then it is given at once,
        which costs the least."""
        if peer.has_left:  # nothing is started for it, and there is no one to answer
            self.counts["submitted_before_close"] += 1
            peer.not_taken.add(submit.guest)
            return
        if submit.guest not in self.engine.newest_records:
            refusal = ""
            if submit.patience <= MIN_TIME_LEFT:
                refusal = "no_time"
            elif not self.memory.admits(peer.open, size):
                refusal = "over_share"
            if refusal:
                self.counts["refused_" + refusal] += 1
                peer.send(translation.released(submit.guest, translation.FULL))
                return
            peer.open.add(submit.guest, size)
        self.engine.owner_said(now, peer.name, submit)

    def _since_sent(self, peer: OwnerPeer, submit: m.Submit) -> m.Submit:
        """The submission with the time that is left: it runs from when the owner sent it, not from when it
        was read."""
        waited = peer.accept_delay + peer.arrival.waited()
        self.counts["requests_read_late"] += waited > READ_LATE
        return replace(submit, patience=max(0, submit.patience - round(waited * 1e6)))

    def _refuse_submission(
        self, peer: OwnerPeer, guest: str, error: translation.InvalidSubmissionError | CodecError
    ) -> None:
        """Answers an invalid set-up."""
        self.counts["ask_" + error.code] += 1
        self.log.debug("ask_refused", owner=peer.name, reason=str(error)[:200])
        if self._opened_on(peer, guest):
            self._close_faulty(
                peer, CodecError("open_already", "a second set-up with the id of an open guest")
            )
        else:
            peer.send(translation.released(guest, translation.ERROR))

    def _handover(self, now: int, peer: OwnerPeer, at: str, submit: m.Submit, ended: bool) -> None:
        """Handles a set-up that names the machine which already has its guest."""
        if self.releases.send_waiting_for(peer, submit.guest):
            peer.sent_valid = peer.was_sent_message = True
            return
        is_new = submit.guest not in self.engine.newest_records
        error = "over_share" if is_new and not self._may_hand_over(peer, at, submit) else ""
        if error := error or self.engine.adopt_guest(now, peer.name, at, submit):
            self.counts["found_" + error] += 1
            peer.send(translation.released(submit.guest, translation.RESET))
            return
        if is_new:
            peer.handovers.add(submit.guest, HandedOver(at, submit.cores, submit.memory))
        peer.sent_valid = peer.was_sent_message = peer.handed_over = True
        if ended:  # already ended by its owner: the machine has to stop it
            self.engine.owner_left(now, submit.guest)

    def _may_hand_over(self, peer: OwnerPeer, machine: str, submit: m.Submit) -> bool:
        capacity = self.engine.machine_capacity(machine)
        return peer.handovers.admits(HandedOver(machine, submit.cores, submit.memory), capacity)

    # Buffers of all connections.

    def _count_buffers(self, peer: OwnerPeer) -> None:
        self.memory.count_buffers(peer)
        self._limit_buffers()

    def _limit_buffers(self) -> None:
        """Closes the connections with the largest buffers until all together are within their limit: one that
        does not read its answers, or does not complete its request."""
        while (largest := self.memory.largest_user(self.peers.values())) is not None and largest.buffered:
            self.counts["connections_closed_for_memory"] += 1
            self.log.info("owner_closed", owner=largest.name, code="buffers", reason=str(largest.buffered))
            largest.discarded = True
            self.memory.count_buffers(largest)
            del self.peers[largest.name]
            largest.cut()
