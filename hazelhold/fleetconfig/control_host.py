"""One control machine: commits changes with the others, stores revisions, and serves followers, writers and
the other control machines.
"""

import os
from collections.abc import Sequence
from random import Random, SystemRandom

import structlog
import trio

from hazelhold.config.fleetconfig import ControlFile
from hazelhold.config.planner import ReplicaPlannerConfig, ReplicationConfig
from hazelhold.fleetconfig import control_actions as c
from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.control import ControlCore
from hazelhold.fleetconfig.control_peers import ControlPeers
from hazelhold.fleetconfig.control_status import control_status
from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.door import Door
from hazelhold.fleetconfig.everywhere import FleetCoverage
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.items import read_items
from hazelhold.fleetconfig.revision import Position, SealedRevision
from hazelhold.fleetconfig.roster import ControlMachine, Roster
from hazelhold.fleetconfig.source import SourceCore
from hazelhold.fleetconfig.spread_actions import Send, Times
from hazelhold.fleetconfig.store import RevisionStore, Stored
from hazelhold.fleetconfig.writer import StoreWriter
from hazelhold.protocol.frames import FrameError
from hazelhold.replica.host import ReplicaHost
from hazelhold.replica.votes import keep_all
from hazelhold.service.net import Net
from hazelhold.state.disk import Disk

KEY = "fleetconfig/head"  # of the agreed register


def copies_config(file: ControlFile) -> ReplicationConfig:
    """The register's set as the agreed values want it."""
    votes = file.votes
    return ReplicationConfig(
        listen=votes.listen,
        folder=votes.folder,
        epoch=votes.epoch,
        planners=[ReplicaPlannerConfig(seat.name, seat.votes, seat.zone) for seat in file.control],
        replicas=votes.replicas,
        deployment=file.deployment,
        reach=votes.reach,
        slow_ms=file.slow_ms,
        retry_ms=file.retry_ms,
    )


class ControlHost:
    """One control machine. `open`, then `run`."""

    def __init__(self, file: ControlFile, net: Net, disk: Disk, votes: Disk) -> None:
        """`disk` is the folder of the revisions, `votes` that of the votes."""
        self.file, self.name, self.net = file, file.name, net
        self.limits = c.ControlLimits()
        self.store = RevisionStore(disk, file.name, self.limits.history)
        self.writer = StoreWriter(self.store, net, file.slow_ms, file.retry_ms)
        self.replica_host = ReplicaHost(
            file.name, copies_config(file), net, votes, self._agreed, retention=keep_all
        )
        self.door = Door(file.name, file.deployment, net, self)
        self.followers: dict[int, str] = {}  # accepted connections that follow; the others write or ask
        self.machines = tuple(seat.name for seat in file.control)
        self.notified = trio.Event()
        self.random = Random(SystemRandom().getrandbits(62))
        self.log = structlog.get_logger().bind(control=file.name)
        self.told_broken = self.address = ""

    def open(self) -> None:
        """Reads both folders. StateError if one must not be used."""
        stored = self.store.open(self.net.wall(), f"{self.name} {os.getpid()}")
        for note in stored.notes:
            self.log.warning("revisions_damaged" if not stored.complete else "revisions_cut", note=note)
        self.writer.begin()
        self._make_cores(stored)
        self.replica_host.open()

    def _make_cores(self, stored: Stored) -> None:
        now = self.net.now()
        state = c.StoredState(stored.position, stored.document.copy(), stored.revisions)
        seed, offset = self.random.getrandbits(62), self.net.wall() - now
        self.core = ControlCore(self.name, self.machines, state, seed, self.limits, offset)
        self.history = History(stored.position, stored.document, stored.revisions)
        self.subtree = Subtree()
        control = [ControlMachine(seat.name, seat.address, seat.region) for seat in self.file.control]
        self.fleet = FleetCoverage(self.history, Roster(control), self.subtree, now)
        others = [name for name in self.machines if name != self.name]
        self.source = SourceCore(self.name, self.history, self.subtree, Times(), now, others, self.fleet)
        self.peers = ControlPeers(self.file, self.net, self.core, self.subtree, self.random, self.settle)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Until it is cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self.peers.begin(nursery)
                await nursery.start(self.replica_host.run)
                self.address = await self.net.listen(self.file.listen, self.door.accept, nursery)
                nursery.start_soon(self.writer.run)
                self.core.start(self.net.now())
                self.settle()
                self.log.info("control", address=self.address, number=self.core.position.number)
                task_status.started()
                await self._tend()
        finally:
            self.store.files.close()

    async def _tend(self) -> None:
        """Wakes the cores in time."""
        while True:
            self.notified = trio.Event()
            moments = (self.core.next_at(), self.source.next_at(), self.peers.exchange.next_at())
            due = min(moment for moment in moments if moment is not None)
            with trio.move_on_after(max(0.0, (due - self.net.now()) / 1e6)):
                await self.notified.wait()
            await trio.lowlevel.checkpoint()
            now = self.net.now()
            if (at := self.core.next_at()) is not None and now >= at:
                self.core.tick(now)
            if now >= self.source.next_at():
                self.source.tick(now)
            self.settle()

    def settle(self) -> None:
        """Carries out what the cores want, until they want nothing more."""
        more = True
        while more:
            now = self.net.now()
            committing = self.core.take_actions()
            for action in committing:
                self._carry_out(now, action)
            age = self.core.confirmed_age(now)
            self.source.confirmed(None if age == m.NEVER else now - age, ())
            more = self.peers.carry_out() | self._serve() | bool(committing)
        if self.core.broken != self.told_broken:
            self.told_broken = self.core.broken
            self.log.error("control_broken", reason=self.core.broken)
        self.notified.set()

    # What the cores want.

    def _serve(self) -> bool:
        """Does what the source wants; whether it wanted anything."""
        actions = self.source.take_actions()
        for action in actions:
            if isinstance(action, Send):
                self.door.send(action)
            else:
                self.followers.pop(action.connection, None)
                self.door.close(action)
        return bool(actions)

    def _carry_out(self, now: int, action: c.Action) -> None:
        if isinstance(action, c.AskRegister):
            self.replica_host.propose(action.asking, KEY, action.change, action.deadline)
        elif isinstance(action, c.Answer):
            self.door.send(Send(action.asker, action.answer))
        elif isinstance(action, c.Store):
            self._store(now, action.revisions)
        elif isinstance(action, c.StoreSnapshot):
            self._store_snapshot(now, action.position)
        elif isinstance(action, c.ClaimStored):
            self.peers.tell_stored(action.number)
        elif isinstance(action, c.Publish):
            self.peers.publish(action.revisions)
        elif isinstance(action, c.Fetch):
            self.peers.fetch(action.after)

    def _store(self, now: int, revisions: Sequence[SealedRevision]) -> None:
        for sealed in revisions:
            self.history.append(sealed)
        self.fleet.committed(now, revisions)
        self.source.advanced(now)
        number = revisions[-1].revision.number
        self.writer.take(self.store.append(revisions), lambda: self._is_stored(number))

    def _store_snapshot(self, now: int, position: Position) -> None:
        heard, document = self.peers.snapshot
        if heard != position:
            raise ValueError(f"the snapshot that was heard is {heard}, not {position}")
        self.history.replace(position, document)
        self.fleet.replaced(now)
        self.source.advanced(now)
        self.writer.take(self.store.replace(position, document), lambda: self._is_stored(position.number))

    def _is_stored(self, number: int) -> None:
        self.core.stored(self.net.now(), self.name, number)
        self.peers.tell_stored(number)
        self.settle()

    def _agreed(self, asking: int, outcome: str, value: bytes, reason: str) -> None:
        self.core.register_answered(self.net.now(), asking, outcome, value, reason)
        self.settle()

    # From the door: followers, the other control machines, writers and operators.

    def accepted(self, connection: int, greeting: m.Greeting) -> None:
        if greeting.purpose == "follow":
            self.followers[connection] = greeting.name
            self.source.connected(self.net.now(), connection, greeting.name)
            self.settle()

    def heard_from(self, connection: int, message: m.ConfigMessage) -> None:
        now, follower = self.net.now(), self.followers.get(connection, "")
        if follower and isinstance(message, m.Follow | m.Coverage):
            self.source.heard(now, connection, message)
        elif follower in self.machines and isinstance(message, m.Stored):
            self.core.stored(now, follower, message.number)
        elif follower in self.machines and isinstance(message, m.Revisions):
            self.core.revisions_heard(now, message.bodies)
        elif not follower and isinstance(message, m.Propose):
            span = min(max(message.deadline, 0), round(self.file.propose_ms * 1000))
            self.core.propose(now, connection, message.change, now + span)
        elif isinstance(message, m.StatusQuery):
            self.door.send(Send(connection, self.status()))
        elif isinstance(message, m.ReadItems):
            self.door.send(Send(connection, read_items(self.history, message)))
        else:
            raise FrameError("unexpected", f"a {type(message).__name__} on this connection")
        self.settle()

    def written(self, connection: int) -> None:
        if connection in self.followers:
            self.source.written(self.net.now(), connection)
            self.settle()

    def ended(self, connection: int) -> None:
        if self.followers.pop(connection, ""):
            self.source.disconnected(self.net.now(), connection)
            self.settle()

    def status(self) -> m.Status:
        """For operators."""
        counts = self.core.counts + self.source.counts + self.door.counts + self.peers.dialer.counts
        counts["stored"] = self.peers.stored
        counts["commits"], counts["disk_failures"] = self.writer.commits, self.writer.failures
        counts["unexpected_planners"] = self.fleet.unexpected
        return control_status(
            self.net.now(), self.name, self.core, self.fleet, self.replica_host.unavailable_reason, counts
        )
