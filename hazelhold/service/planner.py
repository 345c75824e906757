"""The planner on the network: its parts are made, started and ended here.

The parts stand in modules of their own: `owner_door`, `machine_links` and `list_link` hold the connections,
`driver` takes what they hear to the one engine and has its actions carried out, `recovery` and `keeper` keep
state, `ending` holds the stop and the hand-over. Everything lives in one nursery. Whatever can hang has a
cancel scope of its own: a dial, a first message, a peer's writer, the stop.
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
from hazelhold.engine.records import Action, Dial, Disconnect, FetchList, HangUp, Send
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import Recorder
from hazelhold.service.driver import EngineDriver
from hazelhold.service.ending import hand_over, stop
from hazelhold.service.keeper import Keeper
from hazelhold.service.list_link import ListLink
from hazelhold.service.machine_links import MachineLinks
from hazelhold.service.net import Net, TcpNet
from hazelhold.service.owner_door import OwnerDoor
from hazelhold.service.recovery import recover
from hazelhold.service.wire import Wire
from hazelhold.service.wires import WireFactory
from hazelhold.state.clock import lasting_offset
from hazelhold.state.disk import Disk, RealDisk
from hazelhold.state.store import Store

if TYPE_CHECKING:
    from hazelhold.fleetconfig.document import Document


class Planner:
    """One planner from its start to its stop. `run` ends once a stop that was asked for is done."""

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
            from hazelhold.fleetconfig.follower_host import starting_point  # not above: off costs nothing

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
        self.stop_asked = trio.Event()
        self.handing_over, self.take_over = False, take_over
        self._make_connections(seed)
        self._make_members()
        self._make_copies(votes)
        self._make_follower(file, revisions)
        self._make_keeper(disk)

    def _make_connections(self, seed: int) -> None:
        """The driver of the engine, and what it and the network meet by."""
        config = self.config
        batch_s = config.limits.batch_ms / 1000
        self.driver = EngineDriver(self.engine, self.net, self.tap, batch_s, self.perform)
        wires = WireFactory(config.limits, self.net, self.recorder, self.tap)
        self.door = OwnerDoor(config, seed, self.driver, wires, self.counts, self.log)
        self.links = MachineLinks(config.name, self.driver, wires, self.counts, self.log)
        self.list_link = ListLink(config, self.driver, wires, self.counts, self.log)

    def _make_members(self) -> None:
        """Membership, if the planner's file has it on."""
        self.members = None
        if self.config.membership.listen:
            from hazelhold.membership.host import Members  # not above: off costs nothing

            self.members = Members(self.config.name, self.config.membership, self.net, self.recorder)

    def _make_copies(self, votes: Disk | None) -> None:
        """Agreement on claims, if the planner's file has it on."""
        self.copies = None
        config = self.config
        if config.copies.listen:
            from hazelhold.replica.host import Copies

            self.copies = self.driver.copies = Copies(
                config.name,
                config.copies,
                self.net,
                votes or RealDisk(Path(config.copies.folder)),
                self.driver.agreed,
                self.recorder,
            )
            if self.members is not None:
                self.members.beside = self.copies.standing

    def _make_follower(self, file: PlannerConfig, revisions: Disk | None) -> None:
        """The follower of the fleet's configuration, if the planner's file has it on."""
        self.follower = None
        if file.fleetconfig.listen:
            from hazelhold.fleetconfig.follower_host import FollowerHost
            from hazelhold.fleetconfig.settings import RunningSettings

            self.settings = RunningSettings(file, self.config, self.engine)
            self.follower = FollowerHost(file.name, file.fleetconfig, self.net, revisions, self._put_in_force)

    def _make_keeper(self, disk: Disk | None) -> None:
        """The keeping of state, if there is a folder or a disk for it."""
        self.keeper: Keeper | None = None
        config = self.config
        if disk is None and config.state.folder:
            disk = RealDisk(Path(config.state.folder))
            if isinstance(self.net, TcpNet):
                self.net.wall_offset = lasting_offset(Path(config.state.folder), self.net.wall_offset)
        if disk is not None:
            self.keeper = self.driver.keeper = Keeper(
                Store(disk, config.name),
                config.state,
                self.engine,
                self.net.now,
                self.perform,
                self.driver.state_news,
            )

    @property
    def owners(self) -> dict[str, Wire]:
        """The wires of the owners that are connected, by name."""
        return self.door.owners

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until a stop or a hand-over that was asked for is done; started once owners can dial."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            if self.keeper is not None:
                await recover(self.keeper, self.driver, self.config.name, self.take_over, self.log)
                nursery.start_soon(self.keeper.run)
                nursery.start_soon(self.keeper.tend)
                nursery.start_soon(self.keeper.let_go)
            if self.copies is not None:
                await self._claim(nursery)
            if self.follower is not None:
                await self.follower.open(self.take_over)
                await nursery.start(self.follower.run)
            self.address = await self.net.listen(self.config.listen, self.door.serve, nursery)
            nursery.start_soon(self.driver.ticker.run)
            nursery.start_soon(self.list_link.run)
            if self.members is not None:
                await nursery.start(self.members.run)
            self.log.info("up", address=self.address, planners=self.config.planners, slot=self.config.slot)
            task_status.started(self.address)
            await self.stop_asked.wait()
            try:
                await (hand_over(self) if self.handing_over else stop(self))
            finally:
                if self.keeper is not None:
                    self.keeper.store.close()
            nursery.cancel_scope.cancel()

    def _put_in_force(self, document: "Document", changed: Iterable[str] | None) -> None:
        """Takes a revision of the fleet's configuration, whole; SettingsError if the engine cannot."""
        self.settings.put_in_force(document, changed)
        self.driver.ticker.stir()

    async def _claim(self, nursery: trio.Nursery) -> None:
        """From here on guests that must not run twice are claimed among the planners."""
        from hazelhold.replica.gate import Gate

        self.copies.open()
        await nursery.start(self.copies.run)
        self.engine.use_claims(
            self.net.now(), Gate(self.config.name, round(self.config.copies.claim_ms * 1000))
        )
        self.driver.carry_out()

    def hand_over(self) -> None:
        """Asks for an end that leaves all that is held to the next process, by way of the kept state. Without
        kept state nothing happens."""
        if self.keeper is None:
            self.log.warning("nothing_to_hand_over")
            return
        self.handing_over = True
        self.stop_asked.set()

    def stop(self) -> None:
        """Asks for a clean stop."""
        self.stop_asked.set()

    def perform(self, action: Action) -> None:
        """Carries out one action of the engine."""
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Dial):
            self.links.dial(action, self.nursery)
        elif isinstance(action, HangUp):
            self.links.hang_up(action.machine)
        elif isinstance(action, FetchList):
            self.list_link.ask(action.since)
        elif isinstance(action, Disconnect):
            self.counts["peers_lost"] += 1
            self.log.warning(
                "peer_lost", role=action.role, machine=action.peer, code=action.code, reason=action.text
            )
            self.links.hang_up(action.peer)

    def _send(self, action: Send) -> None:
        """Queues a message; one that cannot leave is counted and noted."""
        if action.role == "owner":
            wire = self.owners.get(action.peer)
        else:
            wire = self.links.wire(action.peer)
        if wire is None or not wire.send(action.message):
            self.counts["unsent"] += 1
            if self.tap is not None:
                self.tap.note(
                    self.net.now(),
                    "unsent",
                    role=action.role,
                    who=action.peer,
                    message=msgspec.to_builtins(action.message),
                )
            if action.role == "owner" and self.recorder is not None:  # kept for an owner that asks again
                self.recorder.note(self.net.now(), action.peer, "kept", action.message)
        self._log_send(action)

    def _log_send(self, action: Send) -> None:
        said = action.message
        if isinstance(said, m.Offer | m.Withdraw | m.Stop):
            self.log.debug(
                said.__struct_config__.tag,
                guest=said.guest,
                ask=said.ask,
                attempt=said.attempt,
                machine=action.peer,
            )
        elif isinstance(said, m.Placed | m.TurnedBack | m.BrokenOff | m.GuestEnded | m.Rejected):
            more = {
                key: value
                for key in ("machine", "reason", "how", "code")
                if (value := getattr(said, key, ""))
            }
            self.log.debug(
                said.__struct_config__.tag, guest=said.guest, ask=said.ask, owner=action.peer, **more
            )
