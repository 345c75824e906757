"""The planner as a network service: creates, starts and stops its components.

The components have modules of their own: `owner_server`, `machine_links` and `list_link` hold the
connections, `driver` delivers their messages to the engine and has its actions carried out, `recovery` and
`state_writer` store and restore state, `shutdown` holds the stop and the handover. All tasks run in one
nursery. Each operation that can hang has its own cancel scope: a dial, a first message, a peer's writer, the
stop.
"""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from hazelhold.capture.tap import Tap
from hazelhold.config.planner import PlannerConfig
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Action, AskList, Dial, Disconnect, FetchList, HangUp, Send
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Recorder
from hazelhold.service.connection import MessageConnection
from hazelhold.service.connection_factory import ConnectionFactory
from hazelhold.service.driver import EngineDriver
from hazelhold.service.list_link import ListLink
from hazelhold.service.machine_links import MachineLinks
from hazelhold.service.net import Net, TcpNet
from hazelhold.service.owner_server import OwnerServer
from hazelhold.service.recovery import recover
from hazelhold.service.shutdown import hand_over, stop
from hazelhold.service.state_writer import StateWriter
from hazelhold.state.clock import lasting_offset
from hazelhold.state.disk import Disk, RealDisk
from hazelhold.state.store import Store

if TYPE_CHECKING:
    from hazelhold.fleetconfig.document import Document


class Planner:
    """One planner from its start to its stop. `run` returns once a requested stop or handover is complete."""

    def __init__(
        self,
        config: PlannerConfig,
        seed: int,
        net: Net,
        recorder: Recorder | None = None,
        disk: Disk | None = None,
        take_over: bool = False,
        votes: Disk | None = None,
        revisions: Disk | None = None,
    ) -> None:
        file = config
        if file.fleetconfig.listen:
            from hazelhold.fleetconfig.follower_host import starting_point  # only when it is enabled

            revisions = revisions or RealDisk(Path(file.fleetconfig.folder))
            config = starting_point(file, revisions)
        self.config, self.net, self.recorder = config, net, recorder
        self.engine = Engine(config, seed, net.now())
        self.tap = (
            Tap(Path(config.capture.file), config.capture, config, seed, net.now())
            if config.capture.file
            else None
        )
        self.log = structlog.get_logger().bind(planner=config.name)
        self.counts: Counter[str] = Counter()
        self.address = ""
        self.stop_requested = trio.Event()
        self.handing_over, self.take_over = False, take_over
        self._make_connections(seed)
        self._make_members()
        self._make_replica_host(votes)
        self._make_follower(file, revisions)
        self._make_state_writer(disk)

    def _make_connections(self, seed: int) -> None:
        """Creates the engine's driver and the network components."""
        config = self.config
        batch_s = config.limits.batch_ms / 1000
        self.driver = EngineDriver(self.engine, self.net, self.tap, batch_s, self.perform)
        connection_factory = ConnectionFactory(config.limits, self.net, self.recorder, self.tap)
        self.owner_server = OwnerServer(config, seed, self.driver, connection_factory, self.counts, self.log)
        self.links = MachineLinks(config.name, self.driver, connection_factory, self.counts, self.log)
        self.list_link = ListLink(config, self.driver, connection_factory, self.counts, self.log)

    def _make_members(self) -> None:
        """Creates the membership component, if the configuration enables it."""
        self.members = None
        if self.config.membership.listen:
            from hazelhold.membership.host import MembershipHost  # only when it is enabled

            self.members = MembershipHost(self.config.name, self.config.membership, self.net, self.recorder)

    def _make_replica_host(self, votes: Disk | None) -> None:
        """Creates the replication of claims, if the configuration enables it."""
        self.replica_host = None
        config = self.config
        if config.copies.listen:
            from hazelhold.replica.host import ReplicaHost

            self.replica_host = self.driver.replica_host = ReplicaHost(
                config.name,
                config.copies,
                self.net,
                votes or RealDisk(Path(config.copies.folder)),
                self.driver.agreed,
                self.recorder,
            )
            if self.members is not None:
                self.members.extra_status = self.replica_host.status

    def _make_follower(self, file: PlannerConfig, revisions: Disk | None) -> None:
        """Creates the follower of the fleet's configuration, if the planner's file enables it."""
        self.follower = None
        if file.fleetconfig.listen:
            from hazelhold.fleetconfig.follower_host import FollowerHost
            from hazelhold.fleetconfig.settings import RunningSettings

            self.settings = RunningSettings(file, self.config, self.engine)
            self.follower = FollowerHost(file.name, file.fleetconfig, self.net, revisions, self._put_in_force)

    def _make_state_writer(self, disk: Disk | None) -> None:
        """Creates the state writer, if there is a folder or a disk for the state."""
        self.state_writer: StateWriter | None = None
        config = self.config
        if disk is None and config.state.folder:
            disk = RealDisk(Path(config.state.folder))
            if isinstance(self.net, TcpNet):
                self.net.wall_offset = lasting_offset(Path(config.state.folder), self.net.wall_offset)
        if disk is not None:
            self.state_writer = self.driver.state_writer = StateWriter(
                Store(disk, config.name),
                config.state,
                self.engine,
                self.net.now,
                self.perform,
                self.driver.deliver_state_event,
            )

    @property
    def owners(self) -> dict[str, MessageConnection]:
        """The connections of the owners that have sent their Hello, by name."""
        return self.owner_server.owners

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until a requested stop or handover is complete; reports as started once owners can
        connect."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            if self.state_writer is not None:
                await recover(self.state_writer, self.driver, self.config.name, self.take_over, self.log)
                nursery.start_soon(self.state_writer.run)
                nursery.start_soon(self.state_writer.maintain)
                nursery.start_soon(self.state_writer.release_held_back)
            if self.replica_host is not None:
                await self._claim(nursery)
            if self.follower is not None:
                await self.follower.open(self.take_over)
                await nursery.start(self.follower.run)
            self.address = await self.net.listen(self.config.listen, self.owner_server.serve, nursery)
            nursery.start_soon(self.driver.ticker.run)
            nursery.start_soon(self.list_link.run)
            if self.members is not None:
                await nursery.start(self.members.run)
            self.log.info("up", address=self.address, planners=self.config.planners, slot=self.config.slot)
            task_status.started(self.address)
            await self.stop_requested.wait()
            try:
                await (hand_over(self) if self.handing_over else stop(self))
            finally:
                if self.state_writer is not None:
                    self.state_writer.store.close()
            nursery.cancel_scope.cancel()

    def _put_in_force(self, document: "Document", changed: Iterable[str] | None) -> None:
        """Applies a whole revision of the fleet's configuration; raises SettingsError if the engine rejects
        it."""
        self.settings.put_in_force(document, changed)
        self.driver.ticker.notify()

    async def _claim(self, nursery: trio.Nursery) -> None:
        """Opens the replicated claims; from now on at-most-once guests are claimed among the planners."""
        from hazelhold.replica.gate import ClaimGate

        self.replica_host.open()
        await nursery.start(self.replica_host.run)
        self.engine.use_claims(
            self.net.now(), ClaimGate(self.config.name, round(self.config.copies.claim_ms * 1000))
        )
        self.driver.carry_out()

    def hand_over(self) -> None:
        """Requests a handover: the process ends and leaves its guests to the next one through the stored
        state. Does nothing if the planner stores no state."""
        if self.state_writer is None:
            self.log.warning("nothing_to_hand_over")
            return
        self.handing_over = True
        self.stop_requested.set()

    def stop(self) -> None:
        """Requests a clean stop."""
        self.stop_requested.set()

    def perform(self, action: Action) -> None:
        """Carries out one action of the engine."""
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Dial):
            self.links.dial(action, self.nursery)
        elif isinstance(action, HangUp):
            self.links.hang_up(action.machine)
        elif isinstance(action, FetchList):
            self.list_link.request(action.since)
        elif isinstance(action, AskList):
            self.list_link.ask(action.number)
        elif isinstance(action, Disconnect) and action.role == "list":
            self.log.warning(action.code, reason=action.text)
            self.list_link.drop()
        elif isinstance(action, Disconnect):
            self.counts["peers_lost"] += 1
            self.log.warning(
                "peer_lost", role=action.role, machine=action.peer, code=action.code, reason=action.text
            )
            self.links.hang_up(action.peer)

    def _send(self, action: Send) -> None:
        """Queues a message; one that cannot be sent is counted and captured.

        An offer may have waited for the disk: one whose machine must not be sent guests by now is held back.
        """
        if isinstance(action.message, m.Offer) and self.engine.machine_denied(self.net.now(), action.peer):
            self.counts["offers_held_back"] += 1
            self._note_unsent(action)
            self.driver.hold_back(action.message)
            return
        if action.role == "owner":
            connection = self.owners.get(action.peer)
        else:
            connection = self.links.connection(action.peer)
        if connection is None or not connection.send(action.message):
            self.counts["unsent"] += 1
            self._note_unsent(action)
            if action.role == "owner" and self.recorder is not None:  # persisted for an owner that asks again
                self.recorder.note(self.net.now(), action.peer, "kept", action.message)
        self._log_send(action)

    def _note_unsent(self, action: Send) -> None:
        """Notes in the capture that the engine's message was not sent."""
        if self.tap is not None:
            message = msgspec.to_builtins(action.message)
            self.tap.note(self.net.now(), "unsent", role=action.role, who=action.peer, message=message)

    def _log_send(self, action: Send) -> None:
        message = action.message
        if isinstance(message, m.Offer | m.Withdraw | m.Stop):
            self.log.debug(
                message.__struct_config__.tag,
                guest=message.guest,
                ask=message.ask,
                attempt=message.attempt,
                machine=action.peer,
            )
        elif isinstance(message, m.Placed | m.GuestRefused | m.GuestFailed | m.GuestEnded | m.Rejected):
            fields = {
                key: value
                for key in ("machine", "reason", "how", "code")
                if (value := getattr(message, key, ""))
            }
            self.log.debug(
                message.__struct_config__.tag,
                guest=message.guest,
                ask=message.ask,
                owner=action.peer,
                **fields,
            )
