"""The smallest spread, exhaustively: a source with one chain, a relay A and its follower B, and every order,
repetition and loss of a few messages."""

from unittest.mock import patch

from hazelhold.fleetconfig import snapshot
from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.follower import FollowerCore
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import ConfigMessage, Heartbeat
from hazelhold.fleetconfig.relay import pass_on
from hazelhold.fleetconfig.revision import Position
from hazelhold.fleetconfig.roster import ControlMachine, Roster
from hazelhold.fleetconfig.source import SourceCore
from hazelhold.fleetconfig.spread_actions import Dial, PutInForce, Send, Times
from tests.spread_rig import chain_of, document_at, fork, item, packed, revisions, snapshot_at

CHAIN = chain_of(
    [item("teams/a", "x" * 20), item("teams/b", "y" * 20)],
    [item("teams/a", 1), item("teams/d", "z" * 20)],
    [item("teams/b", 2)],
)
OTHER = fork(CHAIN)
FOREVER = 10**15
TIMES = Times(silent=FOREVER, stale=FOREVER, stuck=FOREVER, follower_silent=FOREVER, write=FOREVER, batch=0)

SMALL_PAGES = patch.object(snapshot, "PAGE_BYTES", 60)  # two pages for the documents above

with SMALL_PAGES:
    PAGES = snapshot_at(CHAIN, 2).pages
assert len(PAGES) == 2

POOL: tuple[ConfigMessage, ...] = (
    revisions(CHAIN[0]),
    revisions(CHAIN[1]),
    revisions(*CHAIN[1:]),
    revisions(OTHER[1]),
    packed(*CHAIN[:2]),
    packed(*CHAIN[1:]),
    packed(OTHER[1]),
    *PAGES,
    Heartbeat(number=3, chain=CHAIN[2].chain, confirmed_age=0, route=("c0",)),
    Heartbeat(number=2, chain=OTHER[1].chain, confirmed_age=0, route=("c0",)),
)
DEPTH = 6  # moves
QUEUE = 2  # messages on their way from A to B, beyond which the source waits

Move = tuple[str, int]


class Small:
    """A follows c0, whose messages are chosen; B follows A, whose messages wait in `queue`."""

    def __init__(self) -> None:
        self.now = 0
        self.queue: list[ConfigMessage] = []
        self.in_force = {"A": Position(), "B": Position()}
        control = [ControlMachine("c0", "c0")]
        self.subtree, self.history = Subtree(), History(window_revisions=2)
        self.a = FollowerCore("A", self.history, Roster(control), self.subtree, TIMES, 1, 0)
        self.source = SourceCore("A", self.history, self.subtree, TIMES, 0)
        self.b = FollowerCore("B", History(), Roster([ControlMachine("A", "A")]), Subtree(), TIMES, 2, 0)
        self.links = {"A": 0, "B": 0}
        self.settle()

    def move(self, move: Move) -> None:
        what, number = move
        if what == "to A":
            self.a.heard(self.now, self.links["A"], POOL[number])
        else:
            message = self.queue[number] if what == "repeat" else self.queue.pop(number)
            if what != "lose":
                self.b.heard(self.now, self.links["B"], message)
        self.settle()

    def moves(self) -> list[Move]:
        waiting = range(len(self.queue))
        found = [(what, number) for what in ("deliver", "repeat", "lose") for number in waiting]
        if len(self.queue) <= QUEUE:
            found += [("to A", number) for number in range(len(POOL))]
        return found

    def settle(self) -> None:
        """Does what the cores ask for; who left its source comes back to it."""
        for _ in range(3):
            pass_on(self.now, self.a, self.source)
            self._carry_out("A", self.a)
            self._carry_out("B", self.b)
            for action in self.source.take_actions():
                if isinstance(action, Send) and action.connection == self.links["B"]:
                    self.queue.append(action.message)
                    self.source.written(self.now, action.connection)
            for core in (self.a, self.b):
                if core.links.current is None and core.links.trial is None:
                    self.now = max(self.now, core.next_at())
                    core.tick(self.now)

    def _carry_out(self, name: str, core: FollowerCore) -> None:
        for action in core.take_actions():
            if isinstance(action, PutInForce):
                assert action.position.number > self.in_force[name].number
                assert action.position == CHAIN[action.position.number - 1].position
                assert action.document.items == document_at(CHAIN, action.position.number).items
                self.in_force[name] = action.position
                core.in_force(self.now, action.position)
            elif isinstance(action, Dial):
                self.links[name] = action.connection
                if name == "B":
                    self.queue.clear()
                    self.source.connected(self.now, action.connection, "B")
                core.connected(self.now, action.connection)
            elif isinstance(action, Send) and name == "B":
                self.source.heard(self.now, action.connection, action.message)

    def digest(self) -> tuple:
        """All that later behaviour depends on, but for times."""
        served = [
            (one.asked, one.sent, one.page, one.snapshot and one.snapshot.position, one.owes_heartbeat)
            + (one.packed, one.through, self.source._released)
            for one in self.source._followers.values()
        ]
        followers = []
        for core in (self.a, self.b):
            link = core.links.current or core.links.trial
            assembly = link.assembly if link else None
            head = assembly._head if assembly else None
            progress = (head.number, assembly._next) if assembly and head else None
            followers.append(
                (core.history.position.number, progress, link is core.links.current, link and link.is_plain)
            )
        waiting = [(type(one).__name__, getattr(one, "page", 0), vars_of(one)) for one in self.queue]
        return (tuple(followers), tuple(served), tuple(waiting))

    def finish(self) -> None:
        """The source is sound from now on and nothing is lost: both come to have the last revision."""
        last = CHAIN[-1].position
        for _ in range(30):
            if self.in_force == {"A": last, "B": last}:
                return
            self.now += TIMES.heartbeat * 2
            self.source.tick(self.now)
            self.settle()
            after = self.history.position.number
            if after < 3:
                self.move(("to A", min(after, 2)))
            while self.queue:
                self.move(("deliver", 0))
        raise AssertionError(f"{self.in_force} in the end")


def vars_of(message: ConfigMessage) -> tuple:
    return (getattr(message, "number", 0), getattr(message, "first", 0), getattr(message, "chain", b""))


@SMALL_PAGES
def test_every_order_repetition_and_loss() -> None:
    seen: set[tuple] = set()
    frontier: list[tuple[Move, ...]] = [()]
    for _ in range(DEPTH):
        deeper = []
        for path in frontier:
            for move in replay(path).moves():
                after = replay((*path, move))
                digest = after.digest()
                if digest not in seen:
                    seen.add(digest)
                    deeper.append((*path, move))
                    after.finish()
        frontier = deeper
    assert len(seen) > 500


def replay(path: tuple[Move, ...]) -> Small:
    small = Small()
    for move in path:
        small.move(move)
    return small
