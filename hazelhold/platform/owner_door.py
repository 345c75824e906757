"""Connections of owners: admitted, read into the engine, answered, and closed for others where all are taken.

The bounds here are the protocol's own: bytes, descriptors, the time to a first message. What becomes of a
task is the engine's.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable

import structlog
import trio
from msgspec.structs import replace

from hazelhold.engine.engine import Engine
from hazelhold.engine.permission import close_denied
from hazelhold.platform import words
from hazelhold.platform.codec import END, HEARD, SET_UP, TEST, BinaryMessage, CodecError
from hazelhold.platform.eviction import eviction_order, is_stuck
from hazelhold.platform.peer import OwnerPeer
from hazelhold.platform.releases import Releases
from hazelhold.protocol import messages as m
from hazelhold.service.net import Net

FIRST_MESSAGE = 2.0  # seconds to a first message that can be used, and to the rest of one that has begun
EARLY_END, EARLY_ENDS = 2.0, 4096  # seconds for which an end waits for its set-up, and how many do
READ_LATE = 0.1  # seconds that a request may have waited to be read before it is counted
LOOKS = 16  # idle connections that are asked for unread bytes before a new one is refused


class OwnerDoor:
    """All connections of owners to one planner.

    `progress` carries out what the engine wants after it has heard something and wakes the ticker; `heard`
    is told of each connection that was read.
    """

    log_frames = False
    leaving = False  # tests are answered with: not ready

    def __init__(
        self,
        net: Net,
        engine: Engine,
        bounds: words.Bounds,
        counts: Counter[str],
        log: structlog.stdlib.BoundLogger,
        progress: Callable[[], None],
        heard: Callable[[str], None],
    ) -> None:
        self.net, self.engine, self.bounds = net, engine, bounds
        self.counts, self.log, self.progress, self.heard = counts, log, progress, heard
        self.peers: dict[str, OwnerPeer] = {}  # by name; emptied as connections end
        self.accepted = 0  # connections so far
        self.releases = Releases(self.peers, counts)
        self.early: OrderedDict[str, float] = OrderedDict()  # ends without a set-up; emptied by age

    # Connections.

    async def serve(self, stream: trio.abc.Stream) -> None:
        """One connection, from its start to its end. Whatever is wrong with it ends it alone."""
        if len(self.peers) >= self.engine.limits.connections and not self._make_room():
            self.counts["connections_refused"] += 1
            await trio.aclose_forcefully(stream)
            return
        self.accepted += 1
        self.counts["connections"] += 1
        peer = OwnerPeer(f"c{self.accepted}", stream, self.engine.limits.send_bytes, trio.current_time())
        self.peers[peer.name] = peer
        self._set_deadline(peer)
        try:
            await self._read_and_write(peer)
        finally:
            self.peers.pop(peer.name, None)
            self.heard(peer.name)
            while peer.releases:  # they did not leave: told elsewhere
                self.counts["releases_again"] += 1
                self.releases.tell(None, peer.releases.popleft()[1])

    async def _read_and_write(self, peer: OwnerPeer) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peer.write)
            try:
                with peer.scope:
                    await self._hear(peer)
                if peer.timed_out and not peer.closing:
                    self.counts["connections_timed_out"] += 1
                    self._check_close(peer)
            finally:
                peer.end()
                self._gone(peer)  # at once: what is still to be written may take a second

    async def _hear(self, peer: OwnerPeer) -> None:
        try:
            async for batch in peer.batches():
                if batch:
                    peer.half_at = None  # what is held now is part of another message
                for binary in batch:
                    if peer.scope.cancel_called:
                        break
                    if not peer.closing or binary.type == END:  # to one that cannot be told, nothing is begun
                        self._said(peer, binary)
                peer.accept_delay = 0.0
                self._set_deadline(peer)
                self.heard(peer.name)
        except CodecError as wrong:
            self._fault(peer, wrong)

    def is_unheard(self, owner: str) -> bool:
        """Whether an owner may have given up without being heard yet: nothing leaves for it before that."""
        peer = self.peers.get(owner)
        return peer is not None and peer.waits_to_be_heard()

    def _check_close(self, peer: OwnerPeer) -> None:
        """Counts and logs a connection that this side closes though answers are owed on it."""
        if close_denied(len(peer.open)) is None:
            return
        self.counts["rule_violations"] += 1
        self.log.error(
            "rule_violated", rule="closed with answers owed", owner=peer.name, tasks=list(peer.open)
        )

    def _gone(self, peer: OwnerPeer) -> None:
        """Nothing more is heard on this connection: nobody waits for what is open on it."""
        now = self.net.now()
        for task in list(peer.open):
            self.engine.owner_left(now, task)
        peer.open.clear()
        self.progress()

    def _make_room(self) -> bool:
        """Closes an idle connection for a new one; False if there is none. One whose bytes wait to be read
        is not idle, they may be a request: it goes only if it has said nothing of use and others are no
        better."""
        if self._open_connections() < self.engine.limits.connections:
            return True  # those that are closing go within a second: nothing is lost for them
        now = trio.current_time()
        order = eviction_order(self.peers.values(), now)
        victim = next((peer for peer in order[:LOOKS] if is_stuck(peer, now) or not peer.unheard()), None)
        if victim is None and order and not order[0].good:
            victim = order[0]
        if victim is None:
            return False
        self.counts["connections_closed_for_others"] += 1
        self._check_close(victim)
        del self.peers[victim.name]
        if is_stuck(victim, now):  # not waited for; any other is told all
            victim.cut()
        elif not victim.unsent():
            victim.drop()  # its descriptor is free before the next is taken
        victim.end()
        victim.scope.cancel()
        return True

    def _open_connections(self) -> int:
        """Connections that are not closing already."""
        return sum(not peer.closing for peer in self.peers.values())

    def _set_deadline(self, peer: OwnerPeer) -> None:
        """When a connection ends if nothing comes: one that has sent nothing of use and was told nothing,
        and one that has sent only part of a message and awaits no answer."""
        now = trio.current_time()
        if not peer.reader.half:
            peer.half_at = None
        elif peer.half_at is None:
            peer.half_at = now
        due = float("inf")
        owed = close_denied(len(peer.open)) is not None  # the answers to what is open come first
        if peer.half_at is not None and not owed:
            due = peer.half_at + FIRST_MESSAGE
        if not owed and not peer.told and not peer.proven:
            due = min(due, max(peer.came_at + FIRST_MESSAGE, now + 0.2))
        peer.set_due(due)

    def _fault(self, peer: OwnerPeer, wrong: CodecError) -> None:
        """A peer whose bytes cannot be used: its connection ends, and what is open on it with it."""
        self.counts["owner_" + wrong.code] += 1
        self.log.debug("owner_closed", owner=peer.name, code=wrong.code, reason=wrong.text[:200])
        peer.end()
        peer.scope.cancel()

    # What the engine says.

    def tell(self, owner: str, message: m.Message) -> None:
        """Sends an answer on its connection, or the end of a task where it can be told."""
        binary = words.to_owner(message)
        if binary is None:
            return
        if self.log_frames:
            self.log.debug("to_owner", owner=owner, message=repr(message))
        peer = self.peers.get(owner)
        if isinstance(message, m.GuestEnded):
            if message.how != "stopped":
                self.releases.tell(peer, binary)
            return
        if peer is None:
            self.counts["answers_without_owner"] += 1
            return
        if isinstance(message, m.Rejected) and message.code == "open_already":
            self._second_under_id(peer, binary)
            return
        peer.open.pop(binary.id, None)
        peer.proven = peer.proven or isinstance(message, m.Placed)
        if not peer.send(binary):
            self.counts["answers_unsent"] += 1
        self._set_deadline(peer)

    def _second_under_id(self, peer: OwnerPeer, refusal: BinaryMessage) -> None:
        """A set-up came under the id of a request in hand. It ends its connection, but for answers owed
        there: two connections may cross, and the one that is read second may be the request's owner's."""
        if not self._came_on(peer, refusal.id):
            peer.send(refusal)
            if peer.open:
                return
        self._fault(peer, CodecError("open_already", "a second set-up under an open id"))

    def _came_on(self, peer: OwnerPeer, task: str) -> bool:
        """Whether a request in hand came on this connection: a refusal of a second one under its id would be
        read there as its own answer or end. On any other connection the refusal is the second's alone."""
        case = self.engine.newest_records.get(task)
        return task in peer.open or (case is not None and case.owner == peer.name)

    # What owners say.

    def _said(self, peer: OwnerPeer, binary: BinaryMessage) -> None:
        now = self.net.now()
        peer.used_at = trio.current_time()
        if self.log_frames:
            self.log.debug("owner_said", owner=peer.name, binary=repr(binary))
        if binary.type == SET_UP:
            self._set_up(now, peer, binary)
        elif binary.type == END:
            self._taken_back(now, peer, binary.id)
        elif binary.type == TEST:
            peer.good = True
            peer.send(words.tested(binary.id, self.engine.ready() and not self.leaving))
        elif binary.type != HEARD:
            self.counts["owner_passed_over"] += 1
        if peer.good:
            self.releases.tell_waiting(peer)
        self.progress()

    def _taken_back(self, now: int, peer: OwnerPeer, task: str) -> None:
        """An owner gives up what is open, or ends what stands. What is open belongs to the connection that it
        came on, but its owner may have lost that one: named on another, nothing more is begun for it, and its
        own connection is answered. An end that comes before its set-up is kept for a while."""
        if self.engine.is_outstanding(task) and task not in peer.open:
            self.counts["ends_of_others"] += 1
            self.engine.withdraw_guest(now, task)
            return
        peer.open.pop(task, None)
        if self.engine.owner_left(now, task):
            peer.good = True
            return
        self._keep_early(task)

    def _keep_early(self, task: str) -> None:
        at = trio.current_time()
        while self.early and (len(self.early) >= EARLY_ENDS or next(iter(self.early.values())) <= at):
            self.early.popitem(last=False)
        self.early[task] = at + EARLY_END

    def _set_up(self, now: int, peer: OwnerPeer, binary: BinaryMessage) -> None:
        ended = self.early.pop(binary.id, 0.0) > trio.current_time()
        try:
            submit, at = words.wanted(binary, self.bounds)
        except (words.BadAskError, CodecError) as wrong:
            self._unusable(peer, binary.id, wrong)
            return
        if ended:
            self.counts["ended_before"] += 1
        if at:
            self._handed_over(now, peer, at, submit, ended)
        elif ended:
            peer.send(words.released(binary.id, words.FULL))
        else:
            if binary.id not in self.engine.newest_records:
                peer.open[binary.id] = None
            peer.good = True
            self.engine.owner_said(now, peer.name, self._since_sent(peer, submit))

    def _since_sent(self, peer: OwnerPeer, submit: m.Submit) -> m.Submit:
        """The request with what its client has left: its time has run since it was sent, not since it was
        read."""
        waited = peer.accept_delay + peer.arrival.waited()
        self.counts["requests_read_late"] += waited > READ_LATE
        return replace(submit, patience=max(0, submit.patience - round(waited * 1e6)))

    def _unusable(self, peer: OwnerPeer, task: str, wrong: words.BadAskError | CodecError) -> None:
        """Answers a set-up that cannot be read."""
        self.counts["ask_" + wrong.code] += 1
        self.log.debug("ask_refused", owner=peer.name, reason=str(wrong)[:200])
        if self._came_on(peer, task):
            self._fault(peer, CodecError("open_already", "a second set-up under an open id"))
        else:
            peer.send(words.released(task, words.ERROR))

    def _handed_over(self, now: int, peer: OwnerPeer, at: str, submit: m.Submit, ended: bool) -> None:
        """A set-up that names the machine where its task runs already."""
        if self.releases.tell_waiting_of(peer, submit.guest):
            peer.good = peer.told = True
            return
        if wrong := self.engine.adopt_guest(now, peer.name, at, submit):
            self.counts["found_" + wrong] += 1
            peer.send(words.released(submit.guest, words.RESET))
            return
        peer.good = peer.told = peer.handed_over = True
        if ended:  # its machine must not keep it
            self.engine.owner_left(now, submit.guest)
