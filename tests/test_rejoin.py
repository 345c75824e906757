"""Acceptors that lose their disks, or get older ones back, during proposals: histories stay linearizable, and
a variant without any one part of the safety argument is detected."""

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.audit.history import Call, linearizable
from hazelhold.replica import messages
from hazelhold.replica.acceptor import Acceptor
from hazelhold.replica.proposer import CompareAndSwap, Done, Operation, Proposer, Read, Send, SetOnce
from hazelhold.replica.rejoin import PAGE, RejoinClient, RejoinServer
from hazelhold.replica.sets import ReplicaCandidate, ReplicaSets

MS = 1000


class Member:
    """One planner's acceptor over its restarts. Its disk keeps every state that it ever had."""

    def __init__(self, name: str, sets: ReplicaSets, kinds: dict[str, type]) -> None:
        self.name, self.sets, self.kinds, self.starts = name, sets, kinds, 0
        self.disk: list[tuple[dict, dict, messages.Incarnation]] = [({}, {}, messages.NO_INCARNATION)]
        self.start(0, True)

    def start(self, back: int, gives: bool) -> None:
        """Starts a new process with the disk as it was `back` states ago."""
        cells, known, inc = self.disk[max(0, len(self.disk) - 1 - back)]
        self.starts += 1
        self.acceptor = self.kinds.get("acceptor", Acceptor)(
            1, set(), dict(cells), name=self.name, sets=self.sets
        )
        self.acceptor.known, self.acceptor.inc = dict(known), inc
        self.rejoin_client = self.kinds.get("client", RejoinClient)(
            self.name, self.sets, self.acceptor, self.starts
        )
        self.source = self.kinds.get("server", RejoinServer)(self.name, self.sets, self.acceptor)
        self.source.can_serve = gives
        self.acceptor.voting = set(self.rejoin_client.voted)

    def safe(self) -> None:
        a = self.acceptor
        self.disk.append((dict(a.cells), dict(a.known), a.inc))

    def votes(self) -> None:
        self.acceptor.voting = set(self.rejoin_client.voted)
        if self.rejoin_client.is_complete():
            self.source.can_serve = True


class Simulation:
    """Members, three proposers, and a network that loses, duplicates and delays messages."""

    def __init__(self, seed: int, count: int = 3, proposer: type = Proposer, **kinds: type) -> None:
        self.random = Random(seed)
        self.names = tuple(f"m{n}" for n in range(count))
        self.sets = ReplicaSets([ReplicaCandidate(n) for n in self.names], count, size=1)
        self.members = {n: Member(n, self.sets, kinds) for n in self.names}
        self.proposers = [proposer(f"p{n}/1", 1, seed * 10 + n) for n in range(3)]
        self.calls: list[Call] = []
        self.pending: dict[tuple[int, int], tuple[str, tuple, int]] = {}
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.now = self.number = self.restarts = 0

    def later(self, after: int, do: Callable[..., None], *arguments: object) -> None:
        self.number += 1
        self.events.append((self.now + after, self.number, do, arguments))

    def carry(self, do: Callable[..., None], *arguments: object) -> None:
        """Delivers a proposal's message, fast or very late, so that members restart during a proposal."""
        for _ in range(self.random.choice([0, 1, 1, 1, 1, 2])):
            self.later(self.random.randint(100, self.random.choice([4, 30, 200]) * MS), do, *arguments)

    def soon(self, do: Callable[..., None], *arguments: object) -> None:
        """Delivers a message of a rejoin."""
        for _ in range(self.random.choice([0, 1, 1, 1, 1, 2])):
            self.later(self.random.randint(100, 4 * MS), do, *arguments)

    # Proposals.

    def ask(self, at: int) -> None:
        kind = self.random.choice(["once", "swap", "read"])
        values = [b"x", b"y", b"z"]
        arguments = {
            "once": (self.random.choice(values),),
            "read": (),
            "swap": (self.random.choice(values), self.random.choice(values)),
        }[kind]
        change = {"once": SetOnce, "swap": CompareAndSwap, "read": Read}[kind](*arguments)
        no = self.proposers[at].propose(self.now, "k", change, self.names, self.now + 400 * MS)
        self.pending[at, no] = kind, arguments, self.now
        self.act(at)

    def act(self, at: int) -> None:
        actions, self.proposers[at].actions = self.proposers[at].actions, []
        for action in actions:
            if isinstance(action, Done):
                kind, arguments, begin = self.pending.pop((at, action.number))
                agreed = action.outcome == "agreed"
                self.calls += [Call(kind, arguments, None, begin)] * (action.rounds - agreed)
                if agreed:
                    self.calls.append(Call(kind, arguments, action.value, begin, self.now))
            else:
                self.carry(self.arrive, at, action)

    def arrive(self, at: int, send: Send) -> None:
        """Delivers to any incarnation of the acceptor that runs: worse than any connection would be."""
        member = self.members[send.to]
        reply, change = member.acceptor.receive(send.message)
        if change is not None:
            member.safe()
        self.carry(self.answered, at, send.to, reply)

    def answered(self, at: int, name: str, reply: messages.Message) -> None:
        self.proposers[at].receive(self.now, name, reply)
        self.act(at)

    def tick(self) -> None:
        for at, each in enumerate(self.proposers):
            each.wake(self.now)
            self.act(at)
        for member in self.members.values():
            if self.now % (10 * MS) == 0:
                member.rejoin_client.tick()
            self.send_rejoin_messages(member)

    # Rejoining.

    def restart(self, most: int) -> None:
        """Restarts a member if fewer than `most` are rejoining. Its disk is lost, older, or unchanged."""
        away = [m for m in self.members.values() if not m.rejoin_client.is_complete()]
        if len(away) >= most:
            return
        member = self.random.choice([m for m in self.members.values() if m.rejoin_client.is_complete()])
        back = self.random.choice([0, 1, 2, 5, 10**6])
        member.start(back, gives=back < 10**6)
        self.restarts += 1

    def send_rejoin_messages(self, member: Member) -> None:
        out, member.rejoin_client.outgoing = member.rejoin_client.outgoing, []
        for each in out:
            self.soon(self.joins, member.name, member.starts, each.to, each.message)

    def joins(
        self,
        name: str,
        life: int,
        to: str,
        message: messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest,
    ) -> None:
        member = self.members[to]
        reply = member.source.receive(name, message)
        member.safe()
        self.soon(self.joined, name, life, to, reply)

    def joined(
        self, name: str, life: int, sender: str, reply: messages.RejoinReply | messages.CellPage
    ) -> None:
        member = self.members[name]
        if member.starts != life:
            return
        member.rejoin_client.receive(sender, reply)
        member.safe()
        member.votes()
        self.send_rejoin_messages(member)

    def play(self, most: int, restarts: int, asks: int = 15, length: int = 900) -> list[Call]:
        for n in range(asks):
            self.later(self.random.randint(200, length) * MS, self.ask, n % 3)
        for _ in range(restarts):
            self.later(self.random.randint(200, length) * MS, self.restart, most)
        for n in range(length // 5 + 200):
            self.later(n * 5 * MS, self.tick)
        while self.events:
            self.events.sort(key=lambda e: e[:2])
            self.now, _, do, arguments = self.events.pop(0)
            do(*arguments)
        return self.calls


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_lost_and_old_disks_of_one_in_three_at_a_time_lose_nothing(seed: int) -> None:
    assert linearizable(Simulation(seed).play(1, 6))


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10**6))
def test_lost_and_old_disks_of_two_in_five_at_a_time_lose_nothing(seed: int) -> None:
    assert linearizable(Simulation(seed, 5).play(2, 8))


def test_proposals_are_agreed_and_members_rejoin_in_these_simulations() -> None:
    """The simulations do make progress, so the tests above are no empty proof."""
    agreed = back = 0
    for seed in range(20):
        simulation = Simulation(seed)
        agreed += sum(c.result is not None for c in simulation.play(1, 6))
        back += simulation.restarts
        assert all(m.rejoin_client.is_complete() for m in simulation.members.values())
    assert agreed > 50 and back > 60


class MixesLives(Proposer):
    """Counts replies of earlier incarnations together with later ones."""

    def _majority(self, op: Operation, found: dict[str, messages.Reply]) -> bool:
        return 2 * len(found) > len(op.replicas)


class VotesAtOnce(RejoinClient):
    """Trusts any disk."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments, trusted=True)


class CopiesVote(Acceptor):
    """Counts copied values as its own votes."""

    def copy(self, found: messages.CellCopy) -> object:
        change = super().copy(found)
        if found.key in self.cells:
            self.cells[found.key] = self.cells[found.key]._replace(copied=False)
        return change


class OneIsEnough(RejoinClient):
    """Votes once it has copied from a single other member."""

    def _complete(self) -> None:
        if any(m.state == "done" for m in self.peers.values()):
            self.voted = set(self.others)


class TellsNobody(RejoinServer):
    """Does not record new incarnations of others."""

    def receive(
        self, other: str, message: messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest
    ) -> object:
        before = dict(self.acceptor.known)
        reply = super().receive(other, message)
        self.acceptor.known.clear()
        self.acceptor.known.update(before)
        return reply


class ForgetsPromises(Acceptor):
    """Copies what was accepted but not what was promised."""

    def copy(self, found: messages.CellCopy) -> object:
        return super().copy(found._replace(promised=messages.NO_BALLOT))


@pytest.mark.parametrize(
    "broken",
    [
        pytest.param({"client": VotesAtOnce}, id="votes-at-once"),
        pytest.param({"client": OneIsEnough}, id="one-is-enough"),
    ],
)
def test_a_variant_without_a_part_of_the_safety_argument_is_detected(broken: dict) -> None:
    assert not all(linearizable(Simulation(seed, **broken).play(1, 14)) for seed in range(600)), broken


def outgoing(proposer: Proposer) -> dict[str, messages.Message]:
    """The messages that it wants to send, by receiver."""
    actions, proposer.actions = proposer.actions, []
    return {a.to: a.message for a in actions if isinstance(a, Send)}


def deliver(simulation: Simulation, proposer: Proposer, *arguments: tuple[str, messages.Message]) -> None:
    """Delivers messages to members, and their replies at once to the proposer."""
    for name, message in arguments:
        proposer.receive(1, name, simulation.members[name].acceptor.receive(message)[0])


def gone_and_back(simulation: Simulation, name: str) -> None:
    """Restarts a member without its disk; it copies from both others."""
    member = simulation.members[name]
    member.start(10**6, gives=False)
    for _ in range(4):
        member.rejoin_client.tick()
        while member.rejoin_client.outgoing:
            out, member.rejoin_client.outgoing = member.rejoin_client.outgoing, []
            for each in out:
                member.rejoin_client.receive(
                    each.to, simulation.members[each.to].source.receive(name, each.message)
                )
    member.votes()
    assert member.rejoin_client.is_complete()


def ready(proposer: type = Proposer, **kinds: type) -> tuple[Simulation, Proposer, Proposer]:
    simulation = Simulation(1, **kinds)
    gone_and_back(simulation, "m0")
    for member in simulation.members.values():
        member.acceptor.voting = {0}
        member.source.can_serve = True
    return simulation, proposer("p/1", 1, 1), proposer("q/1", 1, 2)


def began(**kinds: type) -> tuple[Simulation, Proposer, Proposer, dict, dict]:
    """p proposes v, promised by m0 and m1; q proposes w with a higher ballot, promised by m0 and m2."""
    simulation, p, q = ready(**kinds)
    p.propose(0, "k", SetOnce(b"v"), simulation.names, 10**9)
    mine = outgoing(p)
    deliver(simulation, p, ("m0", mine["m0"]), ("m1", mine["m1"]))
    q.highest = 5
    q.propose(0, "k", SetOnce(b"w"), simulation.names, 10**9)
    other = outgoing(q)
    deliver(simulation, q, ("m0", other["m0"]), ("m2", other["m2"]))
    return simulation, p, q, outgoing(p), outgoing(q)


def agreed(*proposers: Proposer) -> set[bytes]:
    return {a.value for p in proposers for a in p.actions if isinstance(a, Done) and a.outcome == "agreed"}


BROKEN = pytest.mark.xfail(strict=True, raises=AssertionError)


@pytest.mark.parametrize(
    "broken",
    [
        {},
        pytest.param({"proposer": MixesLives}, marks=BROKEN),
        pytest.param({"server": TellsNobody}, marks=BROKEN),
    ],
)
def test_a_reply_from_before_a_disk_loss_is_not_counted_with_one_from_after(broken: dict) -> None:
    simulation, p, q = ready(**broken)
    p.propose(0, "k", SetOnce(b"v"), simulation.names, 10**9)
    requests = outgoing(p)
    deliver(simulation, p, ("m0", requests["m0"]), ("m1", requests["m1"]))
    requests = outgoing(p)
    deliver(simulation, p, ("m0", requests["m0"]))  # m0 accepts, replies, and loses its disk
    gone_and_back(simulation, "m0")
    deliver(simulation, p, ("m1", requests["m1"]))
    q.highest = 5
    q.propose(0, "k", SetOnce(b"w"), simulation.names, 10**9)
    for _ in range(2):
        requests = outgoing(q)
        deliver(simulation, q, ("m0", requests["m0"]), ("m2", requests["m2"]))
    assert len(agreed(p, q)) == 1


@pytest.mark.parametrize("acceptor", [Acceptor, pytest.param(ForgetsPromises, marks=BROKEN)])
def test_a_promise_that_was_lost_with_a_disk_is_kept_by_the_copy(acceptor: type) -> None:
    simulation, p, q, mine, other = began(acceptor=acceptor)
    gone_and_back(simulation, "m0")  # m2 knows q's ballot and serves it
    deliver(simulation, p, ("m0", mine["m0"]), ("m1", mine["m1"]))
    deliver(simulation, q, ("m1", other["m1"]), ("m2", other["m2"]))
    assert len(agreed(p, q)) == 1


@pytest.mark.parametrize("acceptor", [Acceptor, pytest.param(CopiesVote, marks=BROKEN)])
def test_a_copied_value_is_not_a_vote(acceptor: type) -> None:
    simulation, p, q, mine, other = began(acceptor=acceptor)
    simulation.members["m1"].acceptor.receive(mine["m1"])  # p's value at m1 alone
    gone_and_back(simulation, "m0")
    reader = Proposer("r/1", 1, 3)
    reader.propose(0, "k", Read(), simulation.names, 10**9)
    looks = outgoing(reader)
    deliver(simulation, reader, ("m0", looks["m0"]), ("m1", looks["m1"]))
    read = agreed(reader)
    deliver(simulation, q, ("m0", other["m0"]), ("m2", other["m2"]))
    assert len(read | agreed(q)) == 1


def test_many_that_start_together_all_vote_soon() -> None:
    """Each repeats its requests to members that do not vote yet; that must not keep it from members it has
    not contacted at all."""
    names = [f"m{n}" for n in range(12)]
    sets = ReplicaSets([ReplicaCandidate(n) for n in names], 5, size=64)
    acceptors = {n: Acceptor(1, set(), name=n, sets=sets) for n in names}
    sources = {n: RejoinServer(n, sets, a) for n, a in acceptors.items()}
    rejoin_clients = {n: RejoinClient(n, sets, a, at) for at, (n, a) in enumerate(acceptors.items())}
    for source in sources.values():
        source.can_serve = True
    for _ in range(40):  # ticks; between two of them each planner gets only two rounds of replies
        for rejoin_client in rejoin_clients.values():
            rejoin_client.tick()
        for _ in range(2):
            for name, rejoin_client in rejoin_clients.items():
                out, rejoin_client.outgoing = rejoin_client.outgoing, []
                for each in out:
                    rejoin_client.receive(each.to, sources[each.to].receive(name, each.message))
                acceptors[name].voting = set(rejoin_client.voted)
    assert all(j.is_complete() for j in rejoin_clients.values())


# Single steps of a rejoin.


def pair(cells: int) -> tuple[RejoinClient, RejoinServer, Acceptor]:
    sets = ReplicaSets([ReplicaCandidate("a"), ReplicaCandidate("b"), ReplicaCandidate("c")], 3, size=16)
    full = Acceptor(1, set(range(16)), name="b", sets=sets)
    for n in range(cells):
        ballot = messages.Ballot(n + 1, "p")
        full.receive(messages.Prepare(f"k{n}", 1, ballot))
        full.receive(messages.Accept(f"k{n}", 1, ballot, b"\x90"))
    blank = Acceptor(1, set(), name="a", sets=sets)
    source = RejoinServer("b", sets, full)
    source.can_serve = True
    return RejoinClient("a", sets, blank, 7), source, blank


def run(rejoin_client: RejoinClient, source: RejoinServer, lose: int = 0) -> int:
    """Delivers the messages to and from b; returns their number."""
    rejoin_client.tick()
    count = 0
    while rejoin_client.outgoing:
        out, rejoin_client.outgoing = rejoin_client.outgoing, []
        for each in out:
            count += 1
            if each.to == source.name and count != lose:
                rejoin_client.receive("b", source.receive("a", each.message))
    return count


def test_cells_are_copied_in_pages_and_only_where_slots_differ() -> None:
    rejoin_client, source, blank = pair(3 * PAGE + 5)
    run(rejoin_client, source)
    assert rejoin_client.counts["cells_copied"] == len(blank.cells) == 3 * PAGE + 5
    assert (
        rejoin_client.peers["b"].state == "done" and not rejoin_client.voted
    )  # one of two others is not enough
    again = RejoinClient("a", source.sets, blank, 8)
    run(again, source)
    assert again.counts["cells_heard"] == 0 and again.peers["b"].state == "done"
    assert not source.lists


def test_a_lost_page_restarts_the_copy_which_then_completes() -> None:
    rejoin_client, source, blank = pair(3 * PAGE)
    run(rejoin_client, source, lose=4)
    assert rejoin_client.peers["b"].state == "copy"
    for _ in range(3):  # it waits for the page, then queries again, then enters
        run(rejoin_client, source)
    assert rejoin_client.peers["b"].state == "done" and len(blank.cells) == 3 * PAGE


def test_a_member_that_lost_its_votes_serves_none_until_it_has_them_again() -> None:
    rejoin_client, source, _ = pair(5)
    source.can_serve = False
    run(rejoin_client, source)
    assert rejoin_client.peers["b"].state == "hail" and not rejoin_client.voted


def test_a_rejoin_exceeds_any_known_later_incarnation() -> None:
    rejoin_client, source, blank = pair(5)
    source.acceptor.known["a"] = messages.Incarnation(4, 1)
    run(rejoin_client, source)
    run(rejoin_client, source)
    assert blank.inc == messages.Incarnation(5, 7) and source.acceptor.known["a"] == messages.Incarnation(
        5, 7
    )


def test_a_member_that_raises_its_incarnation_does_not_vote_until_it_has_entered_again() -> None:
    """Another process of its name ran: a member that knows only the lower number would count both."""
    rejoin_client, source, blank = pair(5)
    run(rejoin_client, source)
    rejoin_client.peers["c"].done = True
    rejoin_client._complete()
    blank.voting = set(rejoin_client.voted)
    assert blank.voting
    rejoin_client.voted.pop()  # not complete yet
    rejoin_client.tick()
    hail = next(each for each in rejoin_client.outgoing if each.to == "c")
    rejoin_client.receive("c", messages.RejoinReply(hail.message.no, messages.Incarnation(9, 1), True))
    assert blank.inc == messages.Incarnation(10, 7) and not blank.voting and not rejoin_client.voted
    assert not any(m.done for m in rejoin_client.peers.values())


def test_the_floor_is_copied_with_the_cells() -> None:
    rejoin_client, source, blank = pair(5)
    source.acceptor.discard("k4")
    run(rejoin_client, source)
    assert blank.floor == source.acceptor.floor == 6 and "k4" not in blank.cells
