"""Control machines and writers of a world in virtual time (`fleetconfig_model`), and what befalls them."""

from typing import TYPE_CHECKING, NamedTuple

from hazelhold.fleetconfig import control_actions as a
from hazelhold.fleetconfig.control import ControlCore
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.revision import Change, Position, SealedRevision
from hazelhold.replica.acceptor import Acceptor
from hazelhold.replica.proposer import Proposer, Times

if TYPE_CHECKING:
    from fleetconfig_model import World

KEY = "fleetconfig/head"
TIMES = Times(round_timeout=90_000, pause=10_000, max_pause=60_000)
LIMITS = a.ControlLimits(
    ask_within=250_000, pause=8000, confirm_every=100_000, fetch_every=40_000, longest_deadline=2_000_000
)


class Faults(NamedTuple):
    """Until `until` (microseconds), how often."""

    until: int = 1_500_000
    lost: float = 0.1  # part of the messages
    doubled: float = 0.1
    late: int = 40_000  # the longest time that a message takes, microseconds
    crashes: int = 4
    disks: int = 1  # stores that are lost, one after another
    cuts: int = 2  # times that one machine's messages to another are lost
    peers_lost: float = 0.0  # part of what control machines tell each other beside the register


# Machines that start anew again and again while some answers are lost.
RESTARTING = Faults(until=3_000_000, lost=0.05, doubled=0.0, late=3000, crashes=30, disks=0, cuts=0)
# Machines that lose their revisions while most of what they tell each other beside the register is lost.
LOSING_DISKS = Faults(lost=0.0, doubled=0.0, late=3000, crashes=0, disks=6, cuts=0, peers_lost=0.9)


class Store:
    """What one control machine has on disk: a snapshot and the revisions around it. `kept`: how many behind
    the snapshot."""

    def __init__(self, kept: int) -> None:
        self.kept = kept
        self.position, self.items = Position(), []
        self.revisions: list[SealedRevision] = []

    @property
    def number(self) -> int:
        return max(self.position.number, self.revisions[-1].revision.number if self.revisions else 0)

    def state(self) -> a.StoredState:
        return a.StoredState(self.position, Document(self.items), tuple(self.revisions))

    def append(self, revisions: tuple[SealedRevision, ...]) -> None:
        for sealed in revisions:
            assert sealed.revision.number == self.number + 1, "stored with a gap"
            self.revisions.append(sealed)
        if len(self.revisions) > 3 * self.kept:
            self._compact()

    def _compact(self) -> None:
        document = Document(self.items)
        for sealed in self.revisions:
            if sealed.revision.number > self.position.number:
                document.apply(sealed.revision.edits)
        self.position, self.items = self.revisions[-1].position, document.puts()
        self.revisions = self.revisions[-self.kept :]


class Machine:
    """One control machine: its acceptor outlives crashes, its store may be lost, the rest is of one life."""

    def __init__(self, name: str, kept: int) -> None:
        self.name = name
        self.acceptor = Acceptor(1, True)
        self.store = Store(kept)
        self.life = 0
        self.core: ControlCore | None = None
        self.proposer: Proposer | None = None
        self.asked: dict[int, int] = {}
        self.wakes_at = 0  # the next time that it is woken, if that lies ahead
        self.refilled_at = 0  # revision up to which a lost store has to come again


class Writer:
    """Changes one thing after another; asks again with the same id while it does not know."""

    def __init__(self, world: "World", name: str, changes: int) -> None:
        self.world, self.name, self.left = world, name, changes
        self.seen = self.made = self.tries = 0
        self.change: Change | None = None

    def next(self) -> None:
        if self.left <= 0:
            return
        self.left -= 1
        self.made += 1
        self.tries = 0
        random = self.world.random
        base = max(0, self.seen - random.choice([0, 0, 0, 1, 3]))
        id_ = f"{self.name}-{self.made}"
        self.change = self.world.draw_change(id_, base)
        self.ask()

    def ask(self) -> None:
        world, change = self.world, self.change
        self.tries += 1
        asked = self.tries, change.id
        machine = world.random.choice(list(world.machines.values()))
        world.send(self.name, machine.name, lambda: world.propose(machine, self, change))
        world.later(world.random.randint(150_000, 400_000), lambda: self.timeout(asked))

    def timeout(self, asked: tuple[int, str]) -> None:
        if self.change and asked == (self.tries, self.change.id):
            if self.tries < 6:
                self.ask()
            else:
                self.finish()

    def answered(self, answer: ProposeAnswer) -> None:
        if self.change is None or answer.id != self.change.id:
            return
        self.seen = max(self.seen, answer.number)
        if answer.outcome in ("refused", "unknown") and self.tries < 6:
            if self.world.random.random() < 0.7:
                self.ask()
                return
        self.finish()

    def finish(self) -> None:
        """Now and then the asking comes once more later on, when nobody waits for its answer."""
        world, change = self.world, self.change
        if world.random.random() < 0.25:
            machine = world.random.choice(list(world.machines.values()))
            again = world.random.randint(0, 500_000)
            world.later(again, lambda: world.propose(machine, self, change))
        self.change = None
        self.world.later(self.world.random.randint(0, 60_000), self.next)
