"""The claims of a planner: which offers may be sent, what has to be agreed first, and what outcomes mean.

No I/O. The engine calls `may_dispatch` before it sends an offer and passes the outcome of each proposal to
`proposal_ended`; proposals come out of `wanted`. Each proposal ends with exactly one `proposal_ended` within
`timeout`, whichever planners are partitioned or dead: the host guarantees that (`proposer.Proposer` does).
"""

from collections import Counter
from typing import NamedTuple

from hazelhold.replica import claims as c
from hazelhold.replica.proposer import Change, Read

# Facts in progress. More are dropped: other planners then know less, but nothing wrong.
MAX_FACTS = 10_000
FACT_TIMEOUT = 20_000_000  # microseconds after which a fact is given up
LIFE = "life/"  # prefix of the keys of run numbers; those of guests start with `claim/`
CLAIM = "claim/"


class ProposalRequest(NamedTuple):
    """A change to agree on by `deadline` (microseconds). `proposal_ended` gets its outcome and number."""

    no: int
    key: str
    change: Change
    deadline: int


class Verdict(NamedTuple):
    """The consequence of an outcome for a guest's record.

    `mine`: the offer may be sent, `value` is its claim. `theirs`: `claim` is in force, and this planner must
    not send. `not_agreed`: with the reason, and with `value` if the claim may still be agreed. `again`: call
    `may_dispatch` again. `looked`: the reply to `query`, with the claim in force (None: there is none) or the
    reason why it is not known.
    """

    what: str
    name: str
    value: bytes = b""
    claim: c.Claim | None = None
    reason: str = ""


class PendingProposal(NamedTuple):
    """A proposal without an outcome yet."""

    what: str  # take, look, fact, life
    name: str
    change: Change


class ClaimGate:
    """Decides which dispatches of a planner may be sent.

    `planner` is a name in the agreed set; `timeout` is how long a claim may take, in microseconds.
    """

    def __init__(self, planner: str, timeout: int) -> None:
        self.planner, self.timeout = planner, timeout
        self.life = 0  # the number of this run, once agreed
        self.wanted: list[ProposalRequest] = []  # emptied by the engine
        self.in_progress: dict[int, PendingProposal] = {}  # emptied by `proposal_ended`
        self.taking: dict[str, int] = {}  # record name to its proposal; emptied by the outcome
        # records that wait for the number of this run; emptied by its outcome
        self.awaiting_run_number: dict[str, None] = {}
        self.run_number_proposed = False
        self.facts = self.number = 0
        self.counts: Counter[str] = Counter()

    def begin(self, now: int) -> None:
        """Proposes a number for this run, unless there is one or a proposal is in progress."""
        if not self.life and not self.run_number_proposed:
            self.run_number_proposed = True
            self._propose(now, PendingProposal("life", "", c.NextLife()), LIFE + self.planner, self.timeout)

    def may_dispatch(
        self, now: int, name: str, guest: str, ask: int, attempt: int, machine: str, known: bytes
    ) -> bool:
        """Whether this dispatch may be sent now. If not, its claim has been proposed, and `proposal_ended`
        returns the outcome. `known` is the claim that the record has, or had in the previous run."""
        if self.mine(known):
            previous = c.decode(known)
            if (previous.ask, previous.attempt, previous.machine) == (ask, attempt, machine):
                return True
        if name in self.taking or name in self.awaiting_run_number:
            return False
        if not self.life:
            self.awaiting_run_number[name] = None
            self.begin(now)
            return False
        take = c.Take(self.planner, self.life, ask, attempt, machine, self.number + 1, known)
        self.taking[name] = self._propose(
            now, PendingProposal("take", name, take), CLAIM + guest, self.timeout
        )
        return False

    def mine(self, value: bytes) -> bool:
        """Whether this claim was made by this run of the planner."""
        claim = c.decode(value)
        return claim is not None and (claim.planner, claim.life) == (self.planner, self.life)

    def report_fact(
        self, now: int, guest: str, ask: int, state: c.State, machine: str, how: str = ""
    ) -> None:
        """Reports what became of a claimed guest to the other planners; nothing waits for the outcome."""
        self._propose_fact(now, guest, c.Fact(self.planner, ask, state, machine, how))

    def release(self, now: int, guest: str, known: bytes) -> None:
        """Releases a claim of which nothing was sent, or all of which is proven never to have run."""
        if known:
            self._propose_fact(now, guest, c.Release(known))

    def query(self, now: int, guest: str, name: str) -> None:
        """Queries the claim in force; `proposal_ended` returns it under this name."""
        self._propose(now, PendingProposal("look", name, Read()), CLAIM + guest, self.timeout)

    def proposal_ended(self, now: int, no: int, outcome: str, value: bytes, reason: str) -> list[Verdict]:
        """Handles the outcome of proposal `no`."""
        proposal = self.in_progress.pop(no, None)
        if proposal is None:
            return []
        self.counts[f"{proposal.what}_{outcome}"] += 1
        agreed = outcome == "agreed"
        if proposal.what == "life":
            return self._run_number_agreed(agreed, value, reason)
        if proposal.what == "fact":
            self.facts -= 1
            return []
        if proposal.what == "look":
            claim = c.decode(value) if agreed else None
            return [Verdict("looked", proposal.name, value, claim, "" if agreed else reason)]
        self.taking.pop(proposal.name, None)
        proposed = c.encode(proposal.change.claim())
        if not agreed:
            return [
                Verdict("not_agreed", proposal.name, proposed if outcome == "open" else b"", reason=reason)
            ]
        if value == proposed:
            return [Verdict("mine", proposal.name, value)]
        return [Verdict("theirs", proposal.name, value, c.decode(value))]

    def _run_number_agreed(self, agreed: bool, value: bytes, reason: str) -> list[Verdict]:
        self.run_number_proposed = False
        if agreed:
            self.life = int(value)
        names, self.awaiting_run_number = self.awaiting_run_number, {}
        return [Verdict("again" if agreed else "not_agreed", name, reason=reason) for name in names]

    def _propose_fact(self, now: int, guest: str, change: Change) -> None:
        if self.facts >= MAX_FACTS:
            self.counts["facts_dropped"] += 1
            return
        self.facts += 1
        self._propose(now, PendingProposal("fact", guest, change), CLAIM + guest, FACT_TIMEOUT)

    def _propose(self, now: int, proposal: PendingProposal, key: str, timeout: int) -> int:
        self.number += 1
        self.in_progress[self.number] = proposal
        self.wanted.append(ProposalRequest(self.number, key, proposal.change, now + timeout))
        return self.number
