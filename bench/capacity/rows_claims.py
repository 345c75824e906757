"""Rows of the voter: what agreeing on claims costs one planner's process, by claims and by planners."""

import tempfile
from collections.abc import Iterator
from pathlib import Path

from bench.capacity.meters import processor_time, traced_bytes
from bench.capacity.registry import measurement
from bench.copies import Unsafe, configs, name_of
from hazelhold.protocol.messages import encode
from hazelhold.replica import messages
from hazelhold.replica.acceptor import Acceptor, Cell
from hazelhold.replica.claims import Claim, Take
from hazelhold.replica.claims import encode as packed
from hazelhold.replica.proposer import Proposer, Send
from hazelhold.replica.sets import ReplicaCandidate, ReplicaSets
from hazelhold.replica.votes import Votes, found

CLAIMS = (1000, 2000, 4000, 8000, 16000)
FEW_CLAIMS = (50, 100, 200, 400)
REPLICAS = 3
GROUP = 16  # planners between which claims are agreed; each claim asks REPLICAS of them


class Round:
    """Claims agreed between planners in one process, with every word counted as the bytes of its frame."""

    def __init__(self, planners: int) -> None:
        names = [f"planner-{number}" for number in range(planners)]
        self.sets = ReplicaSets(
            [ReplicaCandidate(name, f"z{n % 24}") for n, name in enumerate(names)], REPLICAS
        )
        self.voters = {name: Acceptor(1, True, name=name, sets=self.sets) for name in names}
        self.proposer = Proposer("planner-0/1", 1, 1)
        self.messages = self.bytes = 0
        self.votes_time = 0.0

    def claim(self, number: int) -> None:
        key = f"claim/task-{number:08d}"
        take = Take("planner-0", 1, 0, 0, "worker-00001", number)
        self.proposer.propose(number, key, take, self.sets(key), number + 10**9)
        while self.proposer.actions:
            actions, self.proposer.actions = self.proposer.actions, []
            for action in actions:
                if isinstance(action, Send):
                    self._carry(number, action)

    def _carry(self, now: int, action: Send) -> None:
        answer = None

        def vote() -> None:
            nonlocal answer
            answer = self.voters[action.to].receive(action.message)[0]

        self.votes_time += processor_time(vote)
        self.messages += 2
        self.bytes += len(encode(action.message)) + len(encode(answer))
        self.proposer.receive(now, action.to, answer)


def agreed(claims: int, planners: int = GROUP) -> Round:
    made = Round(planners)
    for number in range(1, claims + 1):
        made.claim(number)
    return made


@measurement(
    id="voter.claim.bytes",
    role="voter",
    quantity="bytes of all messages for claims, both ways, between three replicas",
    unit="bytes",
    by="claims",
    how="module alone",
    sizes=CLAIMS,
    small=FEW_CLAIMS,
    note="frames without TCP and IP headers; the first change of each claim: from asked to taken",
)
def claim_bytes(size: int) -> Iterator[float]:
    yield agreed(size).bytes


@measurement(
    id="voter.claim.cpu",
    role="voter",
    quantity="processor time of claims: proposer and all three voters",
    unit="s",
    by="claims",
    how="module alone",
    sizes=CLAIMS,
    small=FEW_CLAIMS,
    note="with the coding of all messages; without sockets and disk",
    rounds=3,
)
def claim_time(size: int) -> Iterator[float]:
    for _ in range(3):
        yield processor_time(lambda: agreed(size))


@measurement(
    id="voter.claim.messages",
    role="voter",
    quantity="messages of 100 claims",
    unit="messages",
    by="planners",
    how="module alone",
    sizes=(16, 32, 64, 128, 256),
    small=(4, 8, 16, 32),
)
def claim_messages(size: int) -> Iterator[float]:
    yield agreed(100, size).messages


@measurement(
    id="voter.cell.memory",
    role="voter",
    quantity="memory of cells",
    unit="bytes",
    by="cells",
    how="module alone",
    sizes=(*CLAIMS, 32000, 64000),
    small=FEW_CLAIMS,
    note="traced by Python's allocator; placed claims, kept copies.keep_s (a day) after their end",
)
def cell_memory(size: int) -> Iterator[float]:
    sets = ReplicaSets([ReplicaCandidate(f"planner-{n}", f"z{n % 24}") for n in range(GROUP)], REPLICAS)

    def make() -> Acceptor:
        made = Acceptor(1, True, name="planner-0", sets=sets)
        for number in range(size):
            ballot = messages.Ballot(number + 1, "planner-1/1234567890/abcdef")
            value = packed(Claim("planner-1", 3, 0, 0, "placed", f"worker-{number % 7300:05d}", "", number))
            made.set(f"claim/task-{number:08d}", Cell(ballot, ballot, value))
        return made

    yield traced_bytes(make)[0]


@measurement(
    id="voter.claim.disk",
    role="voter",
    quantity="bytes that one voter writes for claims",
    unit="bytes",
    by="claims",
    how="module alone",
    sizes=CLAIMS,
    small=FEW_CLAIMS,
    note="promise and acceptance, a commit each; not synced; commits that are shared write less",
)
def claim_disk(size: int) -> Iterator[float]:
    with tempfile.TemporaryDirectory() as text:
        config = configs(1, Path(text), 1)[0]
        disk, name = Unsafe(Path(config.folder)), name_of(config)
        found(disk, name, config, 0)
        votes = Votes(disk, name, config, 1)
        votes.open(0, name)
        votes.store.begin(0)
        before = votes.store.bytes
        proposer = Proposer("p/1", 1, 1)
        for number in range(1, size + 1):
            key = f"claim/task-{number:08d}"
            proposer.propose(number, key, Take("p", 1, 0, 0, "worker-00001", number), votes.sets(key), 10**12)
            while proposer.actions:
                actions, proposer.actions = proposer.actions, []
                for action in (a for a in actions if isinstance(a, Send)):
                    answer, changes = votes.receive(action.message, 0)
                    votes.store.commit(changes)
                    proposer.receive(number, action.to, answer)
        yield votes.store.bytes - before
        votes.store.close()
