"""A planner's part in the fleet's configuration: follows a source, stores what comes, has it put in force,
and serves whoever follows this planner. Loaded only by a planner whose file has it on.
"""

import os
from collections.abc import Callable, Iterable
from random import SystemRandom

import structlog
import trio

from hazelhold.config.fleetconfig import FleetConfigSection
from hazelhold.config.planner import PlannerConfig
from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig import spread_actions as a
from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.dialer import Dialer
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.door import Door
from hazelhold.fleetconfig.follower import FollowerCore
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.items import read_items
from hazelhold.fleetconfig.relay import pass_on, relay_times
from hazelhold.fleetconfig.roster import ControlMachine, Place, Roster
from hazelhold.fleetconfig.settings import SettingsError, starting_config
from hazelhold.fleetconfig.source import SourceCore
from hazelhold.fleetconfig.store import KINDS, RevisionStore, Stored, read_ledger
from hazelhold.fleetconfig.writer import StoreWriter
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net
from hazelhold.state.disk import Disk
from hazelhold.state.store import InUseError, read

TAKE_OVER = 10.0  # seconds for which a folder is waited for that the process before still has
WARNINGS = ("cut_off", "source_lost")  # events of the core that operators should see
# Puts a document in force, whole or not at all; SettingsError if it cannot be. `changed`: items that differ
# from the last document that was given; None: it may be all.
PutInForce = Callable[[Document, Iterable[str] | None], None]


def starting_point(config: PlannerConfig, disk: Disk) -> PlannerConfig:
    """The configuration to start with, by what the folder holds. Harmless while a process uses the folder."""
    found = read(disk, config.name, KINDS)
    stored = read_ledger(found.state_table, found.complete, found.notes)
    starting = starting_config(config, stored.document)
    if starting.refused and stored.in_force is not None:
        starting = starting_config(config, stored.in_force[1])
    if starting.refused:
        structlog.get_logger().error("revision_refused", planner=config.name, reason=starting.refused)
    return starting.config


class FollowerHost:
    """One planner's part. `open`, then `run`."""

    def __init__(
        self, name: str, section: FleetConfigSection, net: Net, disk: Disk, put_in_force: PutInForce
    ) -> None:
        self.name, self.section, self.net = name, section, net
        self.put_in_force = put_in_force
        self.store = RevisionStore(disk, name)
        self.writer = StoreWriter(self.store, net, section.slow_ms, section.retry_ms)
        self.door = Door(name, section.deployment, net, self)
        self.log = structlog.get_logger().bind(planner=name)
        self.notified = trio.Event()
        self.address = ""
        self.offered: a.PutInForce | None = None  # waits until what leads to it is safe
        self.writer.on_failed = self._put_offered

    async def open(self, take_over: bool = False) -> None:
        """Reads the folder. StateError if it must not be used; `take_over`: it is waited for."""
        stored = await self._opened(take_over)
        for note in stored.notes:
            self.log.warning("revisions_damaged" if not stored.complete else "revisions_cut", note=note)
        self.writer.begin()
        section, now = self.section, self.net.now()
        self.history = History(stored.position, stored.document, stored.revisions)
        self.subtree = Subtree()
        control = [ControlMachine(c.name, c.address, c.region) for c in section.control]
        self.follower = FollowerCore(
            self.name,
            self.history,
            Roster(control, section.relays),
            self.subtree,
            a.Times(),
            SystemRandom().getrandbits(62),
            now,
            Place(section.region, section.zone),
            stored.in_force,
        )
        self.source = SourceCore(self.name, self.history, self.subtree, relay_times(a.Times()), now)

    async def _opened(self, take_over: bool) -> Stored:
        text = f"{self.name} {os.getpid()}"
        until = trio.current_time() + (TAKE_OVER if take_over else 0)
        while True:
            try:
                return self.store.open(self.net.wall(), text)
            except InUseError:
                if trio.current_time() >= until:
                    raise
            await trio.sleep(0.01)

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Until it is cancelled."""
        greeting = m.Greeting(name=self.name, deployment=self.section.deployment, purpose="follow")
        try:
            async with trio.open_nursery() as nursery:
                self.dialer = Dialer(self.net, greeting, self.section.reach, nursery, self)
                self.address = await self.net.listen(self.section.listen, self.door.accept, nursery)
                nursery.start_soon(self.writer.run)
                self.settle()
                self.log.info("fleetconfig", address=self.address, number=self.history.position.number)
                task_status.started()
                await self._tend()
        finally:
            self.store.files.close()

    async def _tend(self) -> None:
        """Wakes the cores in time."""
        while True:
            self.notified = trio.Event()
            due = min(self.follower.next_at(), self.source.next_at())
            with trio.move_on_after(max(0.0, (due - self.net.now()) / 1e6)):
                await self.notified.wait()
            await trio.lowlevel.checkpoint()
            now = self.net.now()
            if now >= self.source.next_at():
                self.source.tick(now)
            if now >= self.follower.next_at():
                self.follower.tick(now)
            self.settle()

    def settle(self) -> None:
        """Carries out what the cores want, until they want nothing more."""
        while True:
            pass_on(self.net.now(), self.follower, self.source)
            wanted, served = self.follower.take_actions(), self.source.take_actions()
            for action in wanted:
                self._carry_out(action)
            for action in served:
                (self.door.send if isinstance(action, a.Send) else self.door.close)(action)
            if not wanted and not served:
                break
        self.notified.set()

    def _carry_out(self, action: object) -> None:
        if isinstance(action, a.Dial):
            self.dialer.dial(action)
        elif isinstance(action, a.Send):
            self.dialer.send(action)
        elif isinstance(action, a.Close):
            self.dialer.close(action)
        elif isinstance(action, a.Received):
            self.writer.take(self.store.append(action.revisions), _nothing)
        elif isinstance(action, a.Replaced):
            self.writer.take(self.store.replace(action.position, Document(action.items)), _nothing)
        elif isinstance(action, a.PutInForce):
            self._offer(action)
        elif isinstance(action, a.Log):
            tell = self.log.warning if action.event in WARNINGS else self.log.info
            tell("fleetconfig_" + action.event, **action.details)

    def _offer(self, action: a.PutInForce) -> None:
        """Puts it in force once all that leads to it is safe, so that no restart goes back behind it; at once
        while the disk fails."""
        if not self.writer.waits:
            self._put_in_force(action)
            return
        self.offered = action
        self.writer.take([], lambda: self._put_offered(action))

    def _put_offered(self, stored: a.PutInForce | None = None) -> None:
        """What was offered is safe (`stored`), or cannot be."""
        if (action := self.offered) is not None and (stored is None or stored is action):
            self.offered = None
            self._put_in_force(action)
            self.settle()

    def _put_in_force(self, action: a.PutInForce) -> None:
        number = action.position.number
        try:
            self.put_in_force(action.document, action.changed)
        except SettingsError as wrong:
            self.log.error("revision_refused", number=number, reason=str(wrong))
            self.follower.refused(self.net.now(), action.position, str(wrong))
            return
        self.writer.take(self.store.put_in_force(action.position, action.document), _nothing)
        self.log.info("in_force", number=number)
        self.follower.in_force(self.net.now(), action.position)

    # From the dialer: the source that is followed.

    def connected(self, connection: int) -> None:
        self.follower.connected(self.net.now(), connection)
        self.settle()

    def heard(self, connection: int, message: m.ConfigMessage) -> None:
        self.follower.heard(self.net.now(), connection, message)
        self.settle()

    def disconnected(self, connection: int, reason: str) -> None:
        self.follower.disconnected(self.net.now(), connection, reason)
        self.settle()

    # From the door: followers and operators.

    def accepted(self, connection: int, greeting: m.Greeting) -> None:
        if greeting.purpose == "follow":
            self.source.connected(self.net.now(), connection, greeting.name)
            self.settle()

    def heard_from(self, connection: int, message: m.ConfigMessage) -> None:
        if isinstance(message, m.Follow | m.Coverage):
            self.source.heard(self.net.now(), connection, message)
            self.settle()
        elif isinstance(message, m.StatusQuery):
            self.door.send(a.Send(connection, self.status()))
        elif isinstance(message, m.ReadItems):
            self.door.send(a.Send(connection, read_items(self.history, message)))
        elif isinstance(message, m.Propose):
            text = "this is a planner: changes are taken by control machines"
            answer = m.ProposeAnswer(id=message.change.id, outcome="refused", text=text)
            self.door.send(a.Send(connection, answer))
        else:
            raise FrameError("unexpected", f"a {type(message).__name__} to a planner")

    def written(self, connection: int) -> None:
        self.source.written(self.net.now(), connection)
        self.settle()

    def ended(self, connection: int) -> None:
        self.source.disconnected(self.net.now(), connection)
        self.settle()

    def status(self) -> m.Status:
        """For operators: what this planner has, and whether it can know better."""
        standing = self.follower.standing(self.net.now())
        counts = self.follower.counts + self.source.counts + self.door.counts + self.dialer.counts
        cut_off = standing.cut_off.reason if standing.cut_off else ""
        return m.Status(
            name=self.name,
            number=standing.received.number,
            chain=standing.received.chain,
            in_force=standing.in_force.number,
            confirmed_age=standing.confirmed_age,
            route=standing.route,
            cut_off="; ".join(text for text in (cut_off, standing.reason) if text),
            counts={**counts, "commits": self.writer.commits, "disk_failures": self.writer.failures},
        )


def _nothing() -> None:
    """Nothing waits for this to be safe."""
