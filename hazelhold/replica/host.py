"""Runs one planner's part in agreed values: a door for the others' askings, links for its own, the disk.

A link to another planner is opened by the first asking that needs it, and closed when nobody has for a while.
What cannot be sent is dropped: the proposer asks again or gives up in time. An answer leaves once what it
promises is safe; answers that come while a commit is under way share the next.
"""

import os
from collections import Counter, deque
from collections.abc import Callable
from random import SystemRandom

import structlog
import trio
from msgspec import Struct

from hazelhold.config.planner import CopiesConfig
from hazelhold.protocol.frames import FrameError
from hazelhold.protocol.messages import Codec, encode
from hazelhold.protocol.record import Recorder
from hazelhold.replica import messages
from hazelhold.replica.proposer import Change as Asked
from hazelhold.replica.proposer import Done, Proposer, Send
from hazelhold.replica.votes import Retention, Votes, keep_open_claims
from hazelhold.service.net import Net
from hazelhold.service.slowly import slowly
from hazelhold.service.wire import Wire
from hazelhold.state import frames
from hazelhold.state.disk import Disk
from hazelhold.state.images import Change

VERSION = 1
HELLO = 2.0  # seconds for a first message
IDLE = 60.0  # seconds after which an unused link is closed
RETRY = (0.05, 1.0)  # seconds between dials of a planner that is away, first and longest
WAITING = 256  # messages kept for a link that is being opened; older ones go
BUSY = 20_000  # messages that wait for the disk; past that they are dropped, and asked again


class Greet(Struct, frozen=True, tag_field="t", tag="greet"):
    """First message of either side."""

    name: str
    deployment: str
    epoch: int
    version: int = VERSION


ASKS = Codec(
    Greet
    | messages.Prepare
    | messages.Accept
    | messages.Query
    | messages.RejoinQuery
    | messages.RejoinEntry
    | messages.PageRequest
)
ANSWERS = Codec(
    Greet
    | messages.Promise
    | messages.Accepted
    | messages.QueryReply
    | messages.Refused
    | messages.RejoinReply
    | messages.CellPage
)
LATELY = 5_000_000  # microseconds without an answer after which a planner is named to operators
REJOIN = 0.5  # seconds after which somebody who has not answered one that comes back is asked again


class Note(Struct, omit_defaults=True):
    """An asking, or its end, in the planner's record. `change` is the kind with its fields."""

    process: str
    no: int
    change: list = []
    outcome: str = ""
    value: bytes = b""
    reason: str = ""
    rounds: int = 0


class RemoteReplica:
    """The way to another planner."""

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address
        self.wire: Wire | None = None
        self.waiting: deque[messages.Message] = deque(maxlen=WAITING)
        self.opening = False
        self.used = 0.0
        self.heard = -1  # its last answer, on this clock


class ReplicaHost:
    """One planner's part. `told` hears how each asking ended: number, outcome, value, reason."""

    def __init__(
        self,
        name: str,
        config: CopiesConfig,
        net: Net,
        disk: Disk,
        on_outcome: Callable[[int, str, bytes, str], None],
        recorder: Recorder | None = None,
        retention: Retention = keep_open_claims,
    ) -> None:
        self.name, self.config, self.net, self.on_outcome, self.recorder = (
            name,
            config,
            net,
            on_outcome,
            recorder,
        )
        draw = SystemRandom()
        self.process = f"{name}/{net.wall()}/{draw.getrandbits(62):x}"
        self.proposer = Proposer(self.process, config.epoch, draw.getrandbits(62))
        self.votes = Votes(disk, name, config, draw.getrandbits(62), retention)
        self.sets = self.votes.sets
        self.vote_writer = VoteWriter(self.votes, config, self._notify)
        self.far = {
            p.name: RemoteReplica(p.name, config.reach.get(p.name, p.address))
            for p in config.planners
            if p.name != name
        }
        # The proposer's number: the asker's, and when it asked; emptied by each end.
        self.proposals: dict[int, tuple[int, int]] = {}
        self.packed: tuple[Struct | None, bytes] = None, b""  # the message sent last, and its frame
        self.counts: Counter[str] = Counter()
        self.log = structlog.get_logger().bind(planner=name)
        self.wake_event = trio.Event()
        self.unavailable_reason = ""  # why nothing could be agreed lately
        self.address = ""

    def open(self) -> None:
        """Reads the votes. StateError if the folder must not be used."""
        seen = self.votes.open(self.net.wall(), f"{self.name} {os.getpid()}")
        for note in seen.notes:
            self.log.warning("votes_damaged", note=note)
        if self.votes.why:
            self.log.error("votes_lost", why=self.votes.why, folder=self.config.folder)
        self.vote_writer.begin(self.net.wall())
        self.log.info(
            "votes", cells=len(self.votes.acceptor.cells), vouched=self.votes.rejoin_client.is_complete()
        )

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Until it is cancelled; `open` first."""
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.address = await self.net.listen(self.config.listen, self._door, nursery)
                self.log.info(
                    "copies",
                    address=self.address,
                    epoch=self.config.epoch,
                    planners=len(self.config.planners),
                    replicas=self.config.replicas,
                )
                nursery.start_soon(self.vote_writer.run, self.net)
                nursery.start_soon(self._sweep)
                nursery.start_soon(self._idle)
                nursery.start_soon(self._rejoin)
                task_status.started()
                await self._tend()
        finally:
            self.votes.store.close()

    # Askings.

    def propose(self, no: int, key: str, change: Asked, deadline: int) -> None:
        """Agrees on a change; `told` hears of it by the deadline, on this clock."""
        mine = self.proposer.number + 1
        self.proposals[mine] = no, self.net.now()
        kind = type(change).__name__.lower()
        self._note(key, "ask", Note(self.process, mine, [kind, *change]))
        if (cell := self.votes.acceptor.cells.get(key)) is not None:
            self.proposer.promised(key, cell.promised)
        self.proposer.propose(self.net.now(), key, change, self.sets(key), deadline)
        self._notify()

    def _notify(self) -> None:
        self.wake_event.set()

    async def _tend(self) -> None:
        """Carries out what the proposer wants, and wakes it in time."""
        while True:
            self.proposer.wake(self.net.now())
            while self.proposer.actions:
                actions, self.proposer.actions = self.proposer.actions, []
                for action in actions:
                    if isinstance(action, Send):
                        self._send(action)
                    else:
                        self._done(action)
            due = self.proposer.next_at()
            span = float("inf") if due is None else max(0.0, (due - self.net.now()) / 1e6)
            with trio.move_on_after(span):
                await self.wake_event.wait()
            await trio.lowlevel.checkpoint()
            self.wake_event = trio.Event()

    def _done(self, done: Done) -> None:
        no, began = self.proposals.pop(done.number)
        self.counts["asked_" + done.outcome] += 1
        self._note(
            done.key,
            "agreed",
            Note(self.process, done.number, [], done.outcome, done.value, done.reason, done.rounds),
        )
        if done.outcome == "agreed" and self.unavailable_reason:
            self.unavailable_reason = ""
            self.log.warning("agrees_again")
        elif done.outcome != "agreed" and done.reason not in (self.unavailable_reason, "contended", "busy"):
            self.unavailable_reason = done.reason
            heard = sorted(f.name for f in self.far.values() if f.heard >= began)
            self.log.warning(
                "cannot_agree",
                reason=done.reason,
                key=done.key,
                replicas=self.sets(done.key),
                heard=heard,
                votes=self._voting_status(),
            )
        self.on_outcome(no, done.outcome, done.value, done.reason)

    def status(self) -> dict[str, str]:
        """For operators: whether claims are agreed from here, why not, and who is not heard."""
        silent = sorted(f.name for f in self.far.values() if f.used and self.net.now() - f.heard > LATELY)
        named = ", ".join(silent[:8]) + (f" and {len(silent) - 8} more" if silent[8:] else "")
        return {"agrees": self.unavailable_reason or "yes", "votes": self._voting_status(), "silent": named}

    def _voting_status(self) -> str:
        some, all_ = len(self.votes.acceptor.voting), len(self.votes.rejoin_client.others)
        return "yes" if some == all_ else f"on {some} of {all_} slots"

    def _note(self, key: str, way: str, note: Note) -> None:
        if self.recorder is not None:
            self.recorder.note(self.net.now(), key, way, note)

    # To the others.

    def _send(self, send: Send) -> None:
        if send.to == self.name:
            answer, changes = self.votes.receive(send.message, self.net.wall())
            self.vote_writer.take(changes, lambda: self._answered(self.name, answer))
            return
        self._post(send.to, send.message)

    def _post(self, to: str, message: Struct) -> None:
        far = self.far[to]
        far.used = trio.current_time()
        if far.wire is not None:
            if message is not self.packed[0]:  # the same goes to all of a set
                self.packed = message, encode(message)
            far.wire.put(self.packed[1])
            return
        far.waiting.append(message)
        if not far.opening:
            far.opening = True
            self.nursery.start_soon(self._link, far)

    def _answered(
        self, sender: str, answer: messages.Message | messages.RejoinReply | messages.CellPage
    ) -> None:
        if far := self.far.get(sender):
            far.heard = self.net.now()
        if isinstance(answer, messages.RejoinReply | messages.CellPage):
            self._copied(sender, answer)
            return
        self.proposer.receive(self.net.now(), sender, answer)
        self._notify()

    # Coming back.

    async def _rejoin(self) -> None:
        """Until this planner votes on all its slots again."""
        rejoin_client, began = self.votes.rejoin_client, self.net.now()
        while not rejoin_client.is_complete():
            rejoin_client.tick()
            self._join_on()
            await trio.sleep(REJOIN)
        while len(self.votes.acceptor.voting) < len(rejoin_client.others):
            self._vote([])  # again, if the disk failed under its copies: they are in all that is written anew
            await trio.sleep(REJOIN / 10)
        lost = self.votes.why
        self.vote_writer.take(self.votes.restore_seat(), lambda: None)
        self.log.warning(
            "votes_again" if lost else "votes",
            slots=len(rejoin_client.others),
            lost=lost,
            incarnation=self.votes.acceptor.inc.number,
            ms=(self.net.now() - began) // 1000,
            **rejoin_client.counts,
        )

    def _join_on(self) -> None:
        out, self.votes.rejoin_client.outgoing = self.votes.rejoin_client.outgoing, []
        for each in out:
            self._post(each.to, each.message)

    def _copied(self, sender: str, message: messages.RejoinReply | messages.CellPage) -> None:
        self._vote(self.votes.receive_rejoin_reply(sender, message, self.net.wall()))
        self._join_on()

    def _vote(self, changes: list[Change]) -> None:
        """Votes on what is copied so far, once these and all before them are safe."""
        slots, inc = set(self.votes.rejoin_client.voted), self.votes.acceptor.inc
        self.vote_writer.take(changes, lambda: self.votes.vote(slots, inc))

    async def _link(self, far: RemoteReplica) -> None:
        """Opens the way and listens, again and again while anybody needs it."""
        pause = RETRY[0]
        while True:
            try:
                with trio.fail_after(HELLO):
                    stream = await self.net.dial(far.address)
                began = trio.current_time()
                await self._listen(far, stream)
                if trio.current_time() - began > HELLO:
                    pause = RETRY[0]
            except (OSError, trio.TooSlowError) as wrong:
                self.log.debug("copies_dial_failed", to=far.name, address=far.address, reason=str(wrong))
            far.wire = None
            far.waiting.clear()  # it would be late: whoever still waits asks again
            if trio.current_time() - far.used > IDLE:
                far.opening = False
                return
            await trio.sleep(pause)
            pause = min(2 * pause, RETRY[1])

    async def _listen(self, far: RemoteReplica, stream: trio.abc.Stream) -> None:
        wire = Wire(stream, ANSWERS, self.net.now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wire.write)
            with wire.scope:
                try:
                    wire.send(self._greet())
                    greet = await wire.first(Greet, HELLO)
                    if (greet.name, greet.deployment) != (far.name, self.config.deployment):
                        raise FrameError("wrong_planner", f"{greet.name!r} of {greet.deployment!r} answered")
                    far.wire = wire
                    while far.waiting:
                        wire.send(far.waiting.popleft())
                    for answer in wire.rest():
                        self._answered(far.name, answer)
                    async for answer in wire.messages():
                        if isinstance(answer, Greet):
                            raise FrameError("second_greet", "a connection has one greeting")
                        self._answered(far.name, answer)
                except FrameError as wrong:
                    self.counts["far_" + wrong.code] += 1
                    self.log.info("copies_left", to=far.name, code=wrong.code, reason=wrong.text)
            far.wire = None
            wire.finish()

    def _greet(self) -> Greet:
        return Greet(self.name, self.config.deployment, self.config.epoch)

    async def _idle(self) -> None:
        while True:
            await trio.sleep(IDLE / 4)
            for far in self.far.values():
                if far.wire is not None and trio.current_time() - far.used > IDLE:
                    far.wire.finish()

    # From the others.

    async def _door(self, stream: trio.abc.Stream) -> None:
        """One planner's askings. Whatever is wrong with a connection ends it alone."""
        wire = Wire(stream, ASKS, self.net.now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wire.write)
            with wire.scope:
                try:
                    greet = await wire.first(Greet, HELLO)
                    if greet.version != VERSION:
                        raise FrameError("version", f"version {greet.version}; spoken here: {VERSION}")
                    if greet.deployment != self.config.deployment or greet.name not in self.far:
                        raise FrameError("stranger", f"{greet.name!r} of {greet.deployment!r} has no seat")
                    wire.send(self._greet())
                    for message in wire.rest():
                        self._heard(greet.name, wire, message)
                    async for message in wire.messages():
                        self._heard(greet.name, wire, message)
                except FrameError as wrong:
                    self.counts["refused_" + wrong.code] += 1
                    self.log.warning("copies_refused", code=wrong.code, reason=wrong.text)
            wire.finish()

    def _heard(
        self,
        sender: str,
        wire: Wire,
        message: messages.Message | messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest,
    ) -> None:
        if isinstance(message, Greet):
            raise FrameError("second_greet", "a connection has one greeting")
        if len(self.vote_writer.queue) > BUSY:
            self.counts["words_dropped"] += 1
            return
        if isinstance(message, messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest):
            answer, changes = self.votes.receive_rejoin(sender, message)
        else:
            answer, changes = self.votes.receive(message, self.net.wall())
        self.vote_writer.take(changes, lambda: wire.send(answer))

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(5.0)
            if self.votes.rejoin_client.is_complete() and (changes := self.votes.sweep(self.net.wall())):
                self.vote_writer.take(changes, lambda: None)


class VoteWriter:
    """Makes votes safe and lets answers go: one commit at a time, what comes meanwhile shares the next. While
    the disk fails nothing is answered; every `retry_ms` all votes are written anew as a whole."""

    def __init__(self, votes: Votes, config: CopiesConfig, on_commit: Callable[[], None]) -> None:
        self.votes, self.config, self.on_commit = votes, config, on_commit
        self.store = votes.store
        self.queue: deque[tuple[list[Change], Callable[[], object]]] = deque()  # emptied by each commit
        self.busy = self.failed = False
        self.more = trio.Event()
        self.log = structlog.get_logger().bind(planner=votes.name)
        self.commits = self.failures = 0

    def begin(self, wall: int) -> None:
        try:
            self.store.begin(wall)
        except OSError as wrong:
            self._fails(wrong)

    def take(self, changes: list[Change], then: Callable[[], object]) -> None:
        """Calls `then` once the changes, and all before them, are safe; never, if the disk fails first."""
        if not changes and not self.queue and not self.busy and not self.failed:
            then()
            return
        self.queue.append((changes, then))
        self.more.set()

    async def run(self, net: Net) -> None:
        while True:
            if self.failed:
                await trio.sleep(self.config.retry_ms / 1000)
                await self._renew(net.wall())
            else:
                await self.more.wait()
            self.more = trio.Event()
            while self.queue and not self.failed:
                self.busy = True
                await self._commit(net.wall())
                self.busy = False

    async def _commit(self, wall: int) -> None:
        taken, self.queue = self.queue, deque()
        changes = list({(c.kind, c.key): c for each, _ in taken for c in each}.values())
        if changes:
            self.store.apply(changes)
            wrong = await self._run_with_timeout(self.store.log, frames.batch(changes))
            if wrong is None and self.store.due():
                wrong = await self._run_with_timeout(self.store.finish, *self.store.prepare(wall))
            if wrong is not None:
                self._fails(wrong)
                return
            self.commits += 1
        for _, then in taken:
            then()
        self.on_commit()

    async def _run_with_timeout(self, call: Callable[..., None], *given: object) -> OSError | None:
        if self.store.disk.threaded:
            return await slowly(self.store, self.config.slow_ms, call, *given)
        try:
            call(*given)
        except OSError as wrong:
            return wrong
        return None

    def _fails(self, wrong: OSError) -> None:
        self.failures += 1
        self.failed = True
        self.log.error("votes_fail", reason=str(wrong))

    async def _renew(self, wall: int) -> None:
        """All votes as a new generation. What waited is not answered: it is asked again, or was given up."""
        for changes, _ in self.queue:
            self.store.apply(changes)
        self.queue.clear()
        wrong = await self._run_with_timeout(self.store.finish, *self.store.prepare(wall))
        if wrong is None:
            self.failed = False
            self.log.warning("votes_work_again", waiting=len(self.queue))
