"""Hosts a planner's replica: a listener for the proposals of others, links for its own, and the disk.

A link to another planner is opened when a proposal first needs it and closed when it was idle for a while. A
message that cannot be sent is dropped: the proposer retries or gives up in time. A reply is sent once what it
promises is durable; replies that become ready during a commit share the next one.
"""

import os
from collections import Counter, deque
from collections.abc import Callable
from random import SystemRandom

import structlog
import trio
from msgspec import Struct

from hazelhold.config.planner import ReplicationConfig
from hazelhold.protocol.frames import FrameError
from hazelhold.protocol.messages import Codec, encode
from hazelhold.protocol.record import Recorder
from hazelhold.replica import messages
from hazelhold.replica.proposer import Change as ProposedChange
from hazelhold.replica.proposer import Done, Proposer, Send
from hazelhold.replica.votes import Retention, Votes, keep_open_claims
from hazelhold.service.connection import MessageConnection
from hazelhold.service.disk_timeout import run_with_timeout
from hazelhold.service.net import Net
from hazelhold.state import frames
from hazelhold.state.disk import Disk
from hazelhold.state.images import Change

VERSION = 1
GREETING_TIMEOUT = 2.0  # seconds for a first message
IDLE_TIMEOUT = 60.0  # seconds after which an unused link is closed
RETRY_INTERVALS = (0.05, 1.0)  # seconds between dials of an unreachable planner: first and longest interval
MAX_QUEUED = 256  # messages queued for a link that is being opened; the oldest are dropped
MAX_WRITES = 20_000  # messages that wait for the disk; more are dropped, and their proposers retry


class Greet(Struct, frozen=True, tag_field="t", tag="greet"):
    """The first message of both sides of a connection."""

    name: str
    deployment: str
    epoch: int
    version: int = VERSION


REQUESTS = Codec(
    Greet
    | messages.Prepare
    | messages.Accept
    | messages.Query
    | messages.RejoinQuery
    | messages.RejoinEntry
    | messages.PageRequest
)
REPLIES = Codec(
    Greet
    | messages.Promise
    | messages.Accepted
    | messages.QueryReply
    | messages.Refused
    | messages.RejoinReply
    | messages.CellPage
)
SILENT_AFTER = 5_000_000  # microseconds without a reply after which a planner is shown to operators as silent
REJOIN_INTERVAL = 0.5  # seconds between rejoin requests to a planner that has not replied


class Note(Struct, omit_defaults=True):
    """A proposal or its outcome in the planner's record. `change` is the kind of change with its fields."""

    process: str
    no: int
    change: list = []
    outcome: str = ""
    value: bytes = b""
    reason: str = ""
    rounds: int = 0


class RemoteReplica:
    """The link to another planner."""

    def __init__(self, name: str, address: str) -> None:
        self.name, self.address = name, address
        self.connection: MessageConnection | None = None
        self.waiting: deque[messages.Message] = deque(maxlen=MAX_QUEUED)
        self.opening = False
        self.used_at = 0.0
        self.last_reply_at = -1  # time of its last reply, on this planner's clock


class ReplicaHost:
    """A planner's replica and proposer. `on_outcome` is called with number, outcome, value and reason of each
    proposal that ends."""

    def __init__(
        self,
        name: str,
        config: ReplicationConfig,
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
        random = SystemRandom()
        self.process = f"{name}/{net.wall()}/{random.getrandbits(62):x}"
        self.proposer = Proposer(self.process, config.epoch, random.getrandbits(62))
        self.votes = Votes(disk, name, config, random.getrandbits(62), retention)
        self.sets = self.votes.sets
        self.vote_writer = VoteWriter(self.votes, config, self._notify)
        self.remotes = {
            p.name: RemoteReplica(p.name, config.reach.get(p.name, p.address))
            for p in config.planners
            if p.name != name
        }
        # By the proposer's number: the caller's number, and the start time; removed at the end.
        self.proposals: dict[int, tuple[int, int]] = {}
        self.packed: tuple[Struct | None, bytes] = None, b""  # the message sent last, and its frame
        self.counts: Counter[str] = Counter()
        self.log = structlog.get_logger().bind(planner=name)
        self.wake_event = trio.Event()
        self.unavailable_reason = ""  # why the last proposals were not agreed
        self.address = ""

    def open(self) -> None:
        """Reads the votes. StateError if the folder must not be used."""
        seen = self.votes.open(self.net.wall(), f"{self.name} {os.getpid()}")
        for note in seen.notes:
            self.log.warning("votes_damaged", note=note)
        if self.votes.unusable_reason:
            self.log.error("votes_lost", why=self.votes.unusable_reason, folder=self.config.folder)
        self.vote_writer.begin(self.net.wall())
        self.log.info(
            "votes", cells=len(self.votes.acceptor.cells), vouched=self.votes.rejoin_client.is_complete()
        )

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Until it is cancelled; `open` first."""
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.address = await self.net.listen(self.config.listen, self._serve, nursery)
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
                await self._run_proposer()
        finally:
            self.votes.store.close()

    # Own proposals.

    def propose(self, no: int, key: str, change: ProposedChange, deadline: int) -> None:
        """Proposes a change. `on_outcome` is called by the deadline, in microseconds on this planner's
        clock."""
        number = self.proposer.number + 1
        self.proposals[number] = no, self.net.now()
        kind = type(change).__name__.lower()
        self._note(key, "ask", Note(self.process, number, [kind, *change]))
        if (cell := self.votes.acceptor.cells.get(key)) is not None:
            self.proposer.promised(key, cell.promised)
        self.proposer.propose(self.net.now(), key, change, self.sets(key), deadline)
        self._notify()

    def _notify(self) -> None:
        self.wake_event.set()

    async def _run_proposer(self) -> None:
        """Carries out the proposer's actions, and wakes it in time."""
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
            timeout = float("inf") if due is None else max(0.0, (due - self.net.now()) / 1e6)
            with trio.move_on_after(timeout):
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
            heard = sorted(f.name for f in self.remotes.values() if f.last_reply_at >= began)
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
        """For operators: whether proposals of this planner are agreed, why not, and which planners are
        silent."""
        silent = sorted(
            f.name
            for f in self.remotes.values()
            if f.used_at and self.net.now() - f.last_reply_at > SILENT_AFTER
        )
        named = ", ".join(silent[:8]) + (f" and {len(silent) - 8} more" if silent[8:] else "")
        return {"agrees": self.unavailable_reason or "yes", "votes": self._voting_status(), "silent": named}

    def _voting_status(self) -> str:
        voting, total = len(self.votes.acceptor.voting), len(self.votes.rejoin_client.others)
        return "yes" if voting == total else f"on {voting} of {total} slots"

    def _note(self, key: str, way: str, note: Note) -> None:
        if self.recorder is not None:
            self.recorder.note(self.net.now(), key, way, note)

    # To other planners.

    def _send(self, send: Send) -> None:
        if send.to == self.name:
            reply, changes = self.votes.receive(send.message, self.net.wall())
            self.vote_writer.take(changes, lambda: self._handle_reply(self.name, reply))
            return
        self._send_to_planner(send.to, send.message)

    def _send_to_planner(self, to: str, message: Struct) -> None:
        remote = self.remotes[to]
        remote.used_at = trio.current_time()
        if remote.connection is not None:
            if message is not self.packed[0]:  # the same message goes to a whole set
                self.packed = message, encode(message)
            remote.connection.put(self.packed[1])
            return
        remote.waiting.append(message)
        if not remote.opening:
            remote.opening = True
            self.nursery.start_soon(self._run_link, remote)

    def _handle_reply(
        self, sender: str, reply: messages.Message | messages.RejoinReply | messages.CellPage
    ) -> None:
        if remote := self.remotes.get(sender):
            remote.last_reply_at = self.net.now()
        if isinstance(reply, messages.RejoinReply | messages.CellPage):
            self._handle_rejoin_reply(sender, reply)
            return
        self.proposer.receive(self.net.now(), sender, reply)
        self._notify()

    # Rejoining.

    async def _rejoin(self) -> None:
        """Runs until this planner votes on all its slots again."""
        rejoin_client, began = self.votes.rejoin_client, self.net.now()
        while not rejoin_client.is_complete():
            rejoin_client.tick()
            self._send_rejoin_messages()
            await trio.sleep(REJOIN_INTERVAL)
        while len(self.votes.acceptor.voting) < len(rejoin_client.others):
            self._vote([])  # again, if the disk failed while copying; a new generation has it all
            await trio.sleep(REJOIN_INTERVAL / 10)
        lost = self.votes.unusable_reason
        self.vote_writer.take(self.votes.restore_seat(), lambda: None)
        self.log.warning(
            "votes_again" if lost else "votes",
            slots=len(rejoin_client.others),
            lost=lost,
            incarnation=self.votes.acceptor.inc.number,
            ms=(self.net.now() - began) // 1000,
            **rejoin_client.counts,
        )

    def _send_rejoin_messages(self) -> None:
        out, self.votes.rejoin_client.outgoing = self.votes.rejoin_client.outgoing, []
        for each in out:
            self._send_to_planner(each.to, each.message)

    def _handle_rejoin_reply(self, sender: str, message: messages.RejoinReply | messages.CellPage) -> None:
        self._vote(self.votes.receive_rejoin_reply(sender, message, self.net.wall()))
        self._send_rejoin_messages()

    def _vote(self, changes: list[Change]) -> None:
        """Votes on the slots that are copied so far, once these changes and all before them are durable."""
        slots, inc = set(self.votes.rejoin_client.voted), self.votes.acceptor.inc
        self.vote_writer.take(changes, lambda: self.votes.vote(slots, inc))

    async def _run_link(self, remote: RemoteReplica) -> None:
        """Opens the link and listens; reconnects as long as the link is used."""
        pause = RETRY_INTERVALS[0]
        while True:
            try:
                with trio.fail_after(GREETING_TIMEOUT):
                    stream = await self.net.dial(remote.address)
                began = trio.current_time()
                await self._listen(remote, stream)
                if trio.current_time() - began > GREETING_TIMEOUT:
                    pause = RETRY_INTERVALS[0]
            except (OSError, trio.TooSlowError) as error:
                self.log.debug(
                    "copies_dial_failed", to=remote.name, address=remote.address, reason=str(error)
                )
            remote.connection = None
            remote.waiting.clear()  # too late by now: the proposer retries if it still waits
            if trio.current_time() - remote.used_at > IDLE_TIMEOUT:
                remote.opening = False
                return
            await trio.sleep(pause)
            pause = min(2 * pause, RETRY_INTERVALS[1])

    async def _listen(self, remote: RemoteReplica, stream: trio.abc.Stream) -> None:
        connection = MessageConnection(stream, REPLIES, self.net.now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.write)
            with connection.scope:
                try:
                    connection.send(self._greet())
                    greet = await connection.first(Greet, GREETING_TIMEOUT)
                    if (greet.name, greet.deployment) != (remote.name, self.config.deployment):
                        raise FrameError("wrong_planner", f"{greet.name!r} of {greet.deployment!r} answered")
                    remote.connection = connection
                    while remote.waiting:
                        connection.send(remote.waiting.popleft())
                    for reply in connection.rest():
                        self._handle_reply(remote.name, reply)
                    async for reply in connection.messages():
                        if isinstance(reply, Greet):
                            raise FrameError("second_greet", "a connection has one greeting")
                        self._handle_reply(remote.name, reply)
                except FrameError as error:
                    self.counts["far_" + error.code] += 1
                    self.log.info("copies_left", to=remote.name, code=error.code, reason=error.text)
            remote.connection = None
            connection.finish()

    def _greet(self) -> Greet:
        return Greet(self.name, self.config.deployment, self.config.epoch)

    async def _idle(self) -> None:
        while True:
            await trio.sleep(IDLE_TIMEOUT / 4)
            for remote in self.remotes.values():
                if remote.connection is not None and trio.current_time() - remote.used_at > IDLE_TIMEOUT:
                    remote.connection.finish()

    # From other planners.

    async def _serve(self, stream: trio.abc.Stream) -> None:
        """Serves one planner's connection. An error ends only that connection."""
        connection = MessageConnection(stream, REQUESTS, self.net.now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.write)
            with connection.scope:
                try:
                    greet = await connection.first(Greet, GREETING_TIMEOUT)
                    if greet.version != VERSION:
                        raise FrameError("version", f"version {greet.version}; spoken here: {VERSION}")
                    if greet.deployment != self.config.deployment or greet.name not in self.remotes:
                        raise FrameError("stranger", f"{greet.name!r} of {greet.deployment!r} has no seat")
                    connection.send(self._greet())
                    for message in connection.rest():
                        self._handle_message(greet.name, connection, message)
                    async for message in connection.messages():
                        self._handle_message(greet.name, connection, message)
                except FrameError as error:
                    self.counts["refused_" + error.code] += 1
                    self.log.warning("copies_refused", code=error.code, reason=error.text)
            connection.finish()

    def _handle_message(
        self,
        sender: str,
        connection: MessageConnection,
        message: messages.Message | messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest,
    ) -> None:
        if isinstance(message, Greet):
            raise FrameError("second_greet", "a connection has one greeting")
        if len(self.vote_writer.queue) > MAX_WRITES:
            self.counts["words_dropped"] += 1
            return
        if isinstance(message, messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest):
            reply, changes = self.votes.receive_rejoin(sender, message)
        else:
            reply, changes = self.votes.receive(message, self.net.wall())
        self.vote_writer.take(changes, lambda: connection.send(reply))

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(5.0)
            if self.votes.rejoin_client.is_complete() and (changes := self.votes.sweep(self.net.wall())):
                self.vote_writer.take(changes, lambda: None)


class VoteWriter:
    """Makes votes durable, then lets their replies be sent: one commit at a time, and changes that arrive
    meanwhile share the next. While the disk fails no reply is sent; every `retry_ms` all votes are written
    as a new generation."""

    def __init__(self, votes: Votes, config: ReplicationConfig, on_commit: Callable[[], None]) -> None:
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
        except OSError as error:
            self._disk_failed(error)

    def take(self, changes: list[Change], then: Callable[[], object]) -> None:
        """Calls `then` once these changes and all before them are durable; never, if the disk fails first."""
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
        batch, self.queue = self.queue, deque()
        changes = list({(c.kind, c.key): c for each, _ in batch for c in each}.values())
        if changes:
            self.store.apply(changes)
            error = await self._run_with_timeout(self.store.log, frames.batch(changes))
            if error is None and self.store.due():
                error = await self._run_with_timeout(self.store.finish, *self.store.prepare(wall))
            if error is not None:
                self._disk_failed(error)
                return
            self.commits += 1
        for _, then in batch:
            then()
        self.on_commit()

    async def _run_with_timeout(self, call: Callable[..., None], *arguments: object) -> OSError | None:
        if self.store.disk.threaded:
            return await run_with_timeout(self.store, self.config.slow_ms, call, *arguments)
        try:
            call(*arguments)
        except OSError as error:
            return error
        return None

    def _disk_failed(self, error: OSError) -> None:
        self.failures += 1
        self.failed = True
        self.log.error("votes_fail", reason=str(error))

    async def _renew(self, wall: int) -> None:
        """Writes all votes as a new generation. Messages that waited get no reply: their proposers retry or
        have given up."""
        for changes, _ in self.queue:
            self.store.apply(changes)
        self.queue.clear()
        error = await self._run_with_timeout(self.store.finish, *self.store.prepare(wall))
        if error is None:
            self.failed = False
            self.log.warning("votes_work_again", waiting=len(self.queue))
