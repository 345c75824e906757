"""When new revisions are told: at once after a while without any, then at most once in `Times.batch`."""

from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.messages import PAGE_BYTES, Follow, Heartbeat, PackedRevisions, Revisions
from hazelhold.fleetconfig.packed import last_number
from hazelhold.fleetconfig.revision import Position
from hazelhold.fleetconfig.source import SourceCore
from hazelhold.fleetconfig.spread_actions import Send, Times
from tests.spread_rig import chain_of, item

CHAIN = chain_of(*([item(f"teams/t{n}", n)] for n in range(40)))
TIMES = Times()


class Served:
    """A source with followers that read at once. `told`: per follower, when and up to which revision."""

    def __init__(self, followers: int = 2, packed: bool = True) -> None:
        self.now = 0
        self.history = History()
        self.source = SourceCore("c0", self.history, Subtree(), TIMES, 0)
        self.told: dict[int, list[tuple[int, int]]] = {n: [] for n in range(followers)}
        self.kinds: set[type] = set()
        for number in range(followers):
            self.source.connected(0, number, f"p{number}")
            self.ask(number, Position(), packed)

    def ask(self, follower: int, position: Position, packed: bool = True) -> None:
        follow = Follow(number=position.number, chain=position.chain, packed=packed)
        self.source.heard(self.now, follower, follow)
        self.settle()

    def commit(self, count: int = 1, chain: list = CHAIN) -> None:
        for _ in range(count):
            self.history.append(chain[self.history.position.number])
            self.source.advanced(self.now)
        self.settle()

    def wait(self, until: int) -> None:
        while self.source.next_at() <= until:
            self.now = max(self.now, self.source.next_at())
            self.source.tick(self.now)
            self.settle()
        self.now = until

    def settle(self) -> None:
        while actions := self.source.take_actions():
            for action in actions:
                assert isinstance(action, Send)
                message = action.message
                self.kinds.add(type(message))
                if isinstance(message, PackedRevisions):
                    self.told[action.connection].append((self.now, last_number(message)))
                elif isinstance(message, Revisions):
                    had = self.told[action.connection]
                    self.told[action.connection].append(
                        (self.now, had[-1][1] + len(message.bodies) if had else len(message.bodies))
                    )
                self.source.written(self.now, action.connection)


def test_the_first_after_a_while_goes_at_once_and_what_follows_together() -> None:
    served = Served()
    served.wait(10_000_000)
    served.commit()
    served.wait(10_100_000)
    served.commit(2)
    served.wait(10_300_000)
    served.commit()
    served.wait(12_000_000)
    served.commit()
    expected = [(10_000_000, 1), (10_000_000 + TIMES.batch, 4), (12_000_000, 5)]
    assert served.told == {0: expected, 1: expected}


def test_a_steady_burst_is_told_once_a_batch_and_nothing_waits_for_longer() -> None:
    served = Served()
    served.wait(1_000_000)
    for _ in range(40):
        served.commit()
        served.wait(served.now + 90_000)
    served.wait(served.now + TIMES.batch)
    moments = [at for at, _ in served.told[0]]
    assert all(after - before >= TIMES.batch for before, after in zip(moments, moments[1:], strict=False))
    committed = {n + 1: 1_000_000 + n * 90_000 for n in range(40)}
    for number, at in committed.items():
        told = next(moment for moment, last in served.told[0] if last >= number)
        assert told - at <= TIMES.batch
    assert served.told[0][-1][1] == 40


def test_who_asks_is_answered_at_once() -> None:
    served = Served(3)
    served.wait(5_000_000)
    served.commit()
    served.wait(5_050_000)
    served.commit(3)
    served.ask(2, CHAIN[0].position)
    assert served.told[2][-1] == (5_050_000, 4)
    assert served.told[0][-1] == (5_000_000, 1)


def test_a_page_does_not_wait() -> None:
    big = chain_of(*([item("teams/a", f"{n}" + "x" * (PAGE_BYTES // 2))] for n in range(4)))
    served = Served()
    served.wait(5_000_000)
    served.commit(1, big)
    served.commit(1, big)
    assert served.told[0][-1][1] == 1
    served.commit(1, big)
    assert served.told[0][-1] == (5_000_000, 3)


def test_who_did_not_say_that_it_understands_packed_revisions_is_sent_none() -> None:
    served = Served(1, packed=False)
    served.wait(1_000_000)
    served.commit(3)
    served.wait(2_000_000)
    assert served.kinds == {Heartbeat, Revisions}
    assert served.told[0][-1][1] == 3
