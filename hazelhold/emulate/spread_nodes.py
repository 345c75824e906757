"""The processes of an emulated fleet's configuration: control machines and planners with the real cores, and
hosts that carry out their actions in virtual time.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.everywhere import FleetCoverage
from hazelhold.fleetconfig.exchange import CoverageExchange
from hazelhold.fleetconfig.follower import FollowerCore
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import ConfigMessage
from hazelhold.fleetconfig.relay import pass_on, relay_times
from hazelhold.fleetconfig.revision import Position
from hazelhold.fleetconfig.roster import ControlMachine, Place, Roster
from hazelhold.fleetconfig.source import SourceCore
from hazelhold.fleetconfig.spread_actions import PutInForce, Received, Replaced

if TYPE_CHECKING:
    from hazelhold.emulate.spread_world import World

APPLY = 3_000  # how long a host takes to put a document in force, microseconds
QUORUM = 500_000  # how often a control machine asks a majority for the head


class Planned(NamedTuple):
    """A planner that the document lists."""

    name: str
    place: Place


class Stored(NamedTuple):
    """What a planner's disk holds."""

    position: Position
    document: Document


class Dialing:
    """The port of a core that dials: a `FollowerCore` or a `CoverageExchange`."""

    def __init__(self, node: "Node", core: FollowerCore | CoverageExchange) -> None:
        self.node, self.core = node, core

    def opened(self, connection: int) -> None:
        self.node.event(lambda now: self.core.connected(now, connection))

    def message(self, connection: int, message: ConfigMessage) -> None:
        if isinstance(self.core, FollowerCore):
            core = self.core
            self.node.event(lambda now: core.heard(now, connection, message))

    def written(self, connection: int) -> None:
        pass

    def ended(self, connection: int, reason: str) -> None:
        self.node.event(lambda now: self.core.disconnected(now, connection, reason))


class Listening:
    """The port of a `SourceCore`."""

    def __init__(self, node: "Node", core: SourceCore) -> None:
        self.node, self.core = node, core
        self.names: dict[int, str] = {}
        self._connections = 0

    def accept(self, name: str) -> int:
        """The number of a new connection."""
        self._connections += 1
        self.names[self._connections] = name
        return self._connections

    def opened(self, connection: int) -> None:
        self.node.event(lambda now: self.core.connected(now, connection, self.names[connection]))

    def message(self, connection: int, message: ConfigMessage) -> None:
        self.node.event(lambda now: self.core.heard(now, connection, message))

    def written(self, connection: int) -> None:
        self.node.event(lambda now: self.core.written(now, connection))

    def ended(self, connection: int, reason: str) -> None:
        self.node.event(lambda now: self.core.disconnected(now, connection))


class Node:
    """One process: its cores, and events that wait while it is paused."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.is_up, self.is_paused = True, False
        self._waiting: list[Callable[[int], None]] = []
        self._wake_at = -1

    def event(self, do: Callable[[int], None]) -> None:
        """Something happens in this process now, or when it goes on."""
        if not self.is_up:
            return
        if self.is_paused:
            self._waiting.append(do)
            return
        do(self.world.now)
        self.settle()
        self._set_wake()

    def resume(self) -> None:
        """Goes on after a pause, with all that came meanwhile."""
        self.is_paused = False
        waiting, self._waiting = self._waiting, []
        for do in [*waiting, self.tick]:
            self.event(do)

    def stop(self) -> None:
        """The process ends."""
        self.is_up = False
        for port in self.ports():
            self.world.wires.close_all(port, "the process ended")

    def ports(self) -> list[Dialing | Listening]:
        raise NotImplementedError

    def settle(self) -> None:
        raise NotImplementedError

    def tick(self, now: int) -> None:
        raise NotImplementedError

    def next_at(self) -> int:
        raise NotImplementedError

    def _set_wake(self) -> None:
        moment = max(self.next_at(), self.world.now + 1)
        if self._wake_at <= self.world.now or moment < self._wake_at:
            self._wake_at = moment
            self.world.wires.at(moment, lambda: self._wake(moment))

    def _wake(self, moment: int) -> None:
        if moment == self._wake_at and self.is_up and not self.is_paused:
            self.event(self.tick)


class ControlNode(Node):
    """A control machine. The agreed order is the world's; it is seen here while in touch with a majority."""

    def __init__(self, world: "World", machine: ControlMachine) -> None:
        super().__init__(world, machine.name)
        others = [one for one in world.control if one != machine]
        now = world.now
        self.history, self.subtree = History(window_revisions=world.window), Subtree()
        self.is_in_touch = True
        self.roster = Roster(world.control, world.relays)
        self.fleet = FleetCoverage(self.history, self.roster, self.subtree, now)
        peers = [one.name for one in others]
        self.source = SourceCore(
            machine.name, self.history, self.subtree, world.times, now, peers, self.fleet
        )
        self.exchange = CoverageExchange(self.subtree, others, world.times, world.new_seed(), now)
        self.listening, self.dialing = Listening(self, self.source), Dialing(self, self.exchange)
        self.event(self.read_head)

    def ports(self) -> list[Dialing | Listening]:
        return [self.listening, self.dialing]

    def read_head(self, now: int) -> None:
        """A quorum read: takes what was committed."""
        if not self.is_in_touch:
            return
        new = self.world.order[self.history.position.number :]
        for sealed in new:
            self.history.append(sealed)
        if new:
            self.fleet.committed(now, new)
            self.source.advanced(now)
        self.source.confirmed(now, ())

    def tick(self, now: int) -> None:
        self.read_head(now)
        self.source.tick(now)
        self.exchange.tick(now)

    def settle(self) -> None:
        self.exchange.tick(self.world.now)
        self.world.carry_out(self, self.listening, self.source.take_actions())
        self.world.carry_out(self, self.dialing, self.exchange.take_actions())

    def next_at(self) -> int:
        moments = [self.source.next_at(), self.world.now + QUORUM]
        exchange = self.exchange.next_at()
        return min(moments if exchange is None else [*moments, exchange])


class PlannerNode(Node):
    """A planner: both cores, a disk, and a program that may refuse revisions."""

    def __init__(self, world: "World", planned: Planned, stored: Stored | None) -> None:
        super().__init__(world, planned.name)
        self.place, self.stored = planned.place, stored
        now = world.now
        position, document = (stored.position, stored.document.copy()) if stored else (Position(), Document())
        self.history = History(position, document, window_revisions=world.window)
        self.subtree = Subtree()
        self.follower = FollowerCore(
            planned.name,
            self.history,
            Roster(world.control, world.relays),
            self.subtree,
            world.times,
            world.new_seed(),
            now,
            planned.place,
        )
        self.source = SourceCore(planned.name, self.history, self.subtree, relay_times(world.times), now)
        self.listening, self.dialing = Listening(self, self.source), Dialing(self, self.follower)
        self.in_force = Position()  # in this life
        self.event(self.tick)

    def ports(self) -> list[Dialing | Listening]:
        return [self.listening, self.dialing]

    def tick(self, now: int) -> None:
        self.follower.tick(now)
        self.source.tick(now)

    def settle(self) -> None:
        pass_on(self.world.now, self.follower, self.source)
        self.world.carry_out(self, self.dialing, self.follower.take_actions())
        self.world.carry_out(self, self.listening, self.source.take_actions())

    def next_at(self) -> int:
        return min(self.follower.next_at(), self.source.next_at())

    def store(self, action: Received | Replaced) -> None:
        """Writes to the disk; `world.disks` keeps what it held before, for restarts with old state."""
        if isinstance(action, Replaced):
            self.stored = Stored(action.position, Document(action.items))
        else:
            document = self.stored.document.copy() if self.stored else Document()
            for sealed in action.revisions:
                document.apply(sealed.revision.edits)
            self.stored = Stored(action.revisions[-1].position, document)
        self.world.disks.setdefault(self.name, []).append(self.stored)

    def put_in_force(self, action: PutInForce) -> None:
        """The host's part, some time later."""
        self.world.wires.at(self.world.now + APPLY, lambda: self.event(lambda now: self._apply(now, action)))

    def _apply(self, now: int, action: PutInForce) -> None:
        if self.world.refuses(self.name, action.position.number):
            self.follower.refused(now, action.position, "this program does not know it")
            return
        self.world.judge(self, action)
        self.in_force = action.position
        self.follower.in_force(now, action.position)
