"""A fleet's configuration in discrete events: real cores of control machines and planners, one agreed order.

The truth (the order, who is up, who refuses what) is known here alone; every document that a planner puts in
force is judged against it.
"""

from collections.abc import Iterable

from hazelhold.emulate.distribution_network import End, SimulatedNetwork
from hazelhold.emulate.spread_nodes import (
    ControlNode,
    Dialing,
    Listening,
    Node,
    Planned,
    PlannerNode,
    Stored,
)
from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.history import WINDOW_REVISIONS
from hazelhold.fleetconfig.revision import Change, Position, Revision, SealedRevision, seal
from hazelhold.fleetconfig.roster import RELAYS, ControlMachine
from hazelhold.fleetconfig.spread_actions import Close, Dial, PutInForce, Received, Replaced, Send, Times


def make_revision(position: Position, document: Document, change: Change) -> SealedRevision:
    """The next revision of a chain, with one change."""
    return seal(
        Revision(
            number=position.number + 1,
            parent=position.chain,
            content=document.checksum_after([change.edit]),
            changes=(change,),
        )
    )


class World:
    """A fleet. `planned` are the planners that the first revisions list; others may be started as well."""

    def __init__(
        self,
        control: Iterable[ControlMachine],
        planned: Iterable[Planned],
        seed: int,
        times: Times = Times(),  # noqa: B008 - immutable
        node_type: type[PlannerNode] = PlannerNode,
        window: int = WINDOW_REVISIONS,
        latency: int = 2_000,
        relays: int = RELAYS,
    ) -> None:
        """`window`: how many revisions each machine keeps to pass on as deltas. `latency`: the least time of
        a message on its way, microseconds. `relays`: of each zone and region; 0: all follow control
        machines."""
        self.control, self.times = tuple(control), times
        self.wires, self.window = SimulatedNetwork(seed, latency), window
        self.relays = relays
        self.order: list[SealedRevision] = []  # the agreed order; revision n stands at n - 1
        self.committed_at: list[int] = []
        self.truth = [dict[str, bytes]()]  # the items after each revision
        self.disks: dict[str, list[Stored]] = {}
        self.refused: set[tuple[str, int]] = set()
        self.judged = 0
        self.last_in_force_at: dict[int, int] = {}  # by number: the latest planner so far
        self._document, self._node_type = Document(), node_type
        self.planned = {one.name: one for one in planned}
        puts = [put_planner(one) for one in self.planned.values()]
        self.commit("planners", puts)
        self.nodes: dict[str, ControlNode | PlannerNode] = {}
        for machine in self.control:
            self.nodes[machine.name] = ControlNode(self, machine)

    @property
    def now(self) -> int:
        return self.wires.now

    @property
    def head(self) -> Position:
        return self.order[-1].position

    @property
    def planners(self) -> list[PlannerNode]:
        return [node for node in self.nodes.values() if isinstance(node, PlannerNode)]

    @property
    def controls(self) -> list[ControlNode]:
        return [node for node in self.nodes.values() if isinstance(node, ControlNode)]

    def new_seed(self) -> int:
        return self.wires.random.getrandbits(32)

    def start(self, planned: Planned, stored: Stored | None = None) -> None:
        """Starts a planner, in place of the one under its name."""
        before = self.nodes.get(planned.name)
        if before is not None:
            before.stop()
        self.nodes[planned.name] = self._node_type(self, planned, stored)

    def start_all(self) -> None:
        for planned in self.planned.values():
            self.start(planned)

    def commit(self, label: str, puts: Iterable[Put], removals: tuple[str, ...] = ()) -> SealedRevision:
        """The next revision of the agreed order; control machines in touch learn of it at their next read."""
        position = self.order[-1].position if self.order else Position()
        change = Change(
            id=f"{label}/{position.number + 1}", base=0, puts=tuple(puts), removals=tuple(removals)
        )
        sealed = make_revision(position, self._document, change)
        self._document.apply([change.edit])
        self.order.append(sealed)
        self.committed_at.append(self.now)
        self.truth.append(dict(self._document.items))
        return sealed

    def commit_at(self, name: str, label: str, puts: Iterable[Put], removals: tuple[str, ...] = ()) -> None:
        """A commit by a control machine, which knows of it at once."""
        self.commit(label, puts, removals)
        node = self.nodes[name]
        assert isinstance(node, ControlNode)
        node.event(node.read_head)

    def refuses(self, name: str, number: int) -> bool:
        return (name, number) in self.refused

    def run(self, seconds: float) -> None:
        self.wires.run(self.now + round(seconds * 1e6))

    def judge(self, node: PlannerNode, action: PutInForce) -> None:
        """What is put in force is a revision of the one order, whole, and no older one than before."""
        position = action.position
        assert 0 < position.number <= len(self.order), f"{node.name}: there is no revision {position.number}"
        assert position == self.order[position.number - 1].position, f"{node.name}: another chain"
        assert action.document.items == self.truth[position.number], f"{node.name}: not the whole document"
        assert position.number >= node.in_force.number, f"{node.name}: went back"
        self.judged += 1
        for number in range(node.in_force.number + 1, position.number + 1):
            self.last_in_force_at[number] = self.now

    def carry_out(self, node: "ControlNode | PlannerNode", port: Dialing | Listening, actions: list) -> None:
        """Does what a core asks for."""
        for action in actions:
            if isinstance(action, Send):
                self.wires.send(port, action.connection, action.message)
            elif isinstance(action, Close):
                self.wires.close(port, action.connection, action.reason)
            elif isinstance(action, Dial):
                self._dial(node, port, action)
            elif isinstance(action, PutInForce) and isinstance(node, PlannerNode):
                node.put_in_force(action)
            elif isinstance(action, Received | Replaced) and isinstance(node, PlannerNode):
                node.store(action)

    def _dial(self, node: Node, port: Dialing | Listening, action: Dial) -> None:
        target = self.nodes.get(action.address)
        if target is None or not target.is_up:
            moment = self.now + self.wires.delay()
            self.wires.at(moment, lambda: port.ended(action.connection, "nobody is there"))
            return
        number = target.listening.accept(node.name)
        dialer = End(node.name, port, action.connection)
        self.wires.connect(dialer, End(target.name, target.listening, number))


def put_planner(planned: Planned) -> Put:
    """The item that lists a planner; its address is its name here."""
    value = {"address": planned.name, "zone": planned.place.zone, "region": planned.place.region}
    return Put(f"planners/{planned.name}", canonical(value))
