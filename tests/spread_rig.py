"""What the tests of the configuration's spread share: fleets, an impostor, and the laws at the end."""

import msgspec

from hazelhold.emulate.spread_nodes import ControlNode, Planned, PlannerNode
from hazelhold.emulate.spread_world import World, make_revision
from hazelhold.fleetconfig.codec import MessageError, decode
from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.follower import Action, FollowerCore
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import ConfigMessage, Heartbeat, PackedRevisions, Revisions, SnapshotPage
from hazelhold.fleetconfig.packed import last_number, pack
from hazelhold.fleetconfig.revision import Change, Position, SealedRevision, unseal
from hazelhold.fleetconfig.roster import ControlMachine, Place, Roster
from hazelhold.fleetconfig.snapshot import Snapshot
from hazelhold.fleetconfig.spread_actions import Dial, PutInForce, Times

SETTLED = 70.0  # seconds after the last fault within which all have the last revision
TOLD = 120.0  # and within which coverage says exactly so: silent connections end, the whole is told again


def control_machines(count: int, regions: int) -> list[ControlMachine]:
    return [ControlMachine(f"c{n}", f"c{n}", f"r{n % regions}") for n in range(count)]


def planned(count: int, regions: int = 2, zones: int = 2) -> list[Planned]:
    """Planners p0, p1, ... over regions and zones in turn."""
    return [Planned(f"p{n}", Place(f"r{n % regions}", f"z{n // regions % zones}")) for n in range(count)]


def fleet(
    count: int,
    seed: int = 1,
    controls: int = 3,
    regions: int = 2,
    node_type: type = PlannerNode,
    window: int = 4,
) -> World:
    """A fleet that has settled, with revision 1 in force. Short windows, so that snapshots are common."""
    machines = control_machines(controls, regions)
    world = World(machines, planned(count, regions), seed, node_type=node_type, window=window)
    world.start_all()
    world.run(3)
    return world


def item(name: str, value: object) -> Put:
    return Put(name, canonical(value))


def fork(order: list[SealedRevision]) -> list[SealedRevision]:
    """The same changes under another author from the first on: a contradicting chain."""
    position, document, made = Position(), Document(), []
    for sealed in order:
        change = msgspec.structs.replace(sealed.revision.changes[0], author="another")
        made.append(make_revision(position, document, change))
        document.apply([change.edit])
        position = made[-1].position
    return made


DELTAS = (Revisions, PackedRevisions)
ALL = (Heartbeat, *DELTAS, SnapshotPage)


class Impostor:
    """Some machines that send what contradicts the order: another chain, and snapshots that go back. Nothing
    that is a valid first word to who knows nothing: checksums prove no origin."""

    def __init__(self, world: World, names: set[str] | None = None, kinds: tuple[type, ...] = ALL) -> None:
        self.world, self.names, self.kinds = world, names or set[str](), kinds
        self.sent = 0

    def __call__(self, machine: str, message: ConfigMessage) -> ConfigMessage:
        if machine not in self.names or not isinstance(message, self.kinds):
            return message
        forged = self._forge(message)
        self.sent += forged is not message
        return forged

    def _forge(self, message: ConfigMessage) -> ConfigMessage:
        other = fork(self.world.order)
        if isinstance(message, Heartbeat) and message.number:
            return msgspec.structs.replace(message, chain=other[message.number - 1].chain)
        if isinstance(message, Revisions):
            numbers = [unseal(body).revision.number for body in message.bodies]
            if numbers[0] > 1:
                forged = [other[number - 1] for number in numbers]
                return Revisions(bodies=tuple(one.body for one in forged), chain=forged[-1].chain)
        if isinstance(message, PackedRevisions) and message.first > 1:
            forged = pack(other[message.first - 1 : last_number(message)])
            assert forged is not None
            return forged.message
        if isinstance(message, SnapshotPage):
            return self._older_page(max(1, message.number - 2))
        return message

    def _older_page(self, number: int) -> SnapshotPage:
        items = [Put(name, value) for name, value in self.world.truth[number].items()]
        return Snapshot(self.world.order[number - 1].position, Document(items)).pages[0]


class Direct:
    """One `FollowerCore` with one source, c0, driven by hand. The host puts all in force at once."""

    def __init__(self, history: History | None = None) -> None:
        self.history = history or History()
        self.now = 0
        roster = Roster([ControlMachine("c0", "c0")])
        self.core = FollowerCore("p0", self.history, roster, Subtree(), Times(), 1, 0)
        self.actions: list[Action] = []
        self.connection = 0
        self.settle()

    def hear(self, message: ConfigMessage) -> None:
        """The source sends this; a connection that is left is made anew, after a while."""
        self.core.heard(self.now, self.connection, message)
        self.settle()

    def hear_bytes(self, body: bytes) -> bool:
        """The source sends these bytes. Whether they are a message."""
        try:
            message = decode(body)
        except MessageError:
            return False
        self.hear(message)
        return True

    def settle(self) -> None:
        for _ in range(60):  # a contradicting source is left alone for half a minute
            for action in self.core.take_actions():
                self.actions.append(action)
                if isinstance(action, PutInForce):
                    self.core.in_force(self.now, action.position)
                elif isinstance(action, Dial):
                    self.connection = action.connection
                    self.core.connected(self.now, action.connection)
            if self.core.links.current is None and self.core.links.trial is None:
                self.now = self.core.next_at()
                self.core.tick(self.now)

    def all_of(self, kind: type) -> list:
        return [action for action in self.actions if isinstance(action, kind)]


def chain_of(*changes: list[Put]) -> list[SealedRevision]:
    """A chain with these changes, one to a revision."""
    position, document, made = Position(), Document(), []
    for number, puts in enumerate(changes, 1):
        made.append(make_revision(position, document, Change(id=f"n{number}", base=0, puts=tuple(puts))))
        document.apply(made[-1].revision.edits)
        position = made[-1].position
    return made


def document_at(chain: list[SealedRevision], number: int) -> Document:
    document = Document()
    for sealed in chain[:number]:
        document.apply(sealed.revision.edits)
    return document


def snapshot_at(chain: list[SealedRevision], number: int) -> Snapshot:
    return Snapshot(chain[number - 1].position, document_at(chain, number))


def revisions(*sealed: SealedRevision) -> Revisions:
    return Revisions(bodies=tuple(one.body for one in sealed), chain=sealed[-1].chain)


def packed(*sealed: SealedRevision) -> PackedRevisions:
    made = pack(sealed)
    assert made is not None and made.count == len(sealed)
    return made.message


def heal(world: World) -> None:
    """All faults end; who is paused goes on, who is down stays down."""
    world.wires.faults = type(world.wires.faults)()
    world.wires.cuts.clear()
    world.wires.tamper = None
    for node in world.nodes.values():
        if isinstance(node, ControlNode):
            node.is_in_touch = True
        if node.is_paused:
            node.resume()


def assert_settled(world: World) -> None:
    """All planners that run have the last revision received, and in force unless they refuse it."""
    for node in world.planners:
        if not node.is_up:
            continue
        now = node.follower.standing(world.now)
        assert now.received == world.head, (
            f"{node.name} has {now.received.number} of {world.head.number}: {now}"
        )
        if world.refuses(node.name, world.head.number):
            assert now.in_force.number < world.head.number
            assert "refused" in now.reason
        else:
            assert now.in_force == world.head
        assert now.cut_off is None, f"{node.name}: {now.cut_off}"
        assert node.name not in now.route


def assert_told(world: World) -> None:
    """Each control machine's coverage says exactly who is expected, who lacks the last revision, and why."""
    document = Document(Put(name, value) for name, value in world.truth[-1].items())
    expected = {name.removeprefix("planners/") for name, _ in document.under("planners/")}
    up = {node.name: node for node in world.planners if node.is_up}
    last = world.head.number
    in_force = {name: node.follower.enforcement.in_force.number for name, node in up.items()}
    missing = {name for name in expected if name not in up}
    behind = {name for name in expected & up.keys() if in_force[name] < last}
    for control in world.controls:
        fleet_coverage = control.fleet
        assert fleet_coverage.expected == len(expected)
        assert fleet_coverage.unexpected == len(up.keys() - expected)
        lacking = {state.name: state for state in fleet_coverage.lacking(world.now)}
        assert behind <= lacking.keys()
        for name in behind:
            assert lacking[name].connected and "refused" in lacking[name].reason, lacking[name]
            assert lacking[name].in_force == in_force[name]
        for name in lacking.keys() - behind:
            assert name in missing, f"{control.name} says that {name} lacks {last}: {lacking[name]}"
            assert not lacking[name].connected
        latest = fleet_coverage.revisions(world.now)[0]
        assert latest.number == last
        assert latest.have == len(expected) - len(lacking)
        if not lacking and expected:
            assert latest.everywhere_after >= 0
        if behind:
            assert latest.everywhere_after < 0
