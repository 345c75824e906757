"""One planner's claims: which offers may leave, what has to be agreed first, and what the answers mean.

Without I/O, driven by the engine: it asks `clear` before an offer leaves and hands `told` what was agreed;
askings come out of `wanted`. Each ends with one `told`, within the span, whoever is cut off or dead: whoever
hosts this sees to it (`proposer.Proposer` does).
"""

from collections import Counter
from typing import NamedTuple

from hazelhold.replica import claims as c
from hazelhold.replica.proposer import Change, Read

FACTS_MOST = 10_000  # facts under way; past that they are dropped: others then say less, and nothing wrong
FACT_SPAN = 20_000_000  # microseconds that a fact is tried for
LIFE = "life/"  # keys of lives; those of guests are in `claim/`
CLAIM = "claim/"


class Wanted(NamedTuple):
    """To be agreed on by `deadline`; answered by `told` with the number."""

    no: int
    key: str
    change: Change
    deadline: int


class Verdict(NamedTuple):
    """What follows for a case. `mine`: the offer may leave, `value` is its claim; `theirs`: `claim` stands,
    and this planner must not send; `not_agreed`: with the reason, and `value` if the claim may be agreed yet;
    `again`: ask `clear` once more; `looked`: answers `look`, with the claim that stands (None: nobody's), or
    the reason why that is not known."""

    what: str
    name: str
    value: bytes = b""
    claim: c.Claim | None = None
    reason: str = ""


class Asking(NamedTuple):
    what: str  # take, look, fact, life
    name: str
    change: Change


class Gate:
    """`planner` is a name in the agreed set; `span` is how long a claim is waited for."""

    def __init__(self, planner: str, span: int) -> None:
        self.planner, self.span = planner, span
        self.life = 0  # this process's, once agreed
        self.wanted: list[Wanted] = []  # emptied by the engine
        self.under_way: dict[int, Asking] = {}  # emptied by `told`
        self.taking: dict[str, int] = {}  # case: its asking; emptied with that
        self.unborn: dict[str, None] = {}  # cases that wait for the life's number; emptied by its answer
        self.life_asked = False
        self.facts = self.number = 0
        self.counts: Counter[str] = Counter()

    def begin(self, now: int) -> None:
        """Asks for this life's number."""
        if not self.life and not self.life_asked:
            self.life_asked = True
            self._want(now, Asking("life", "", c.NextLife()), LIFE + self.planner, self.span)

    def may_dispatch(
        self, now: int, name: str, guest: str, ask: int, attempt: int, machine: str, known: bytes
    ) -> bool:
        """Whether this dispatch of the case's may leave now. If not, its claim is on its way, and `told` says
        what came of it. `known` is the claim that the case has, or had in the life before."""
        if self.mine(known):
            had = c.decode(known)
            if (had.ask, had.attempt, had.machine) == (ask, attempt, machine):
                return True
        if name in self.taking or name in self.unborn:
            return False
        if not self.life:
            self.unborn[name] = None
            self.begin(now)
            return False
        take = c.Take(self.planner, self.life, ask, attempt, machine, self.number + 1, known)
        self.taking[name] = self._want(now, Asking("take", name, take), CLAIM + guest, self.span)
        return False

    def mine(self, value: bytes) -> bool:
        """Whether this claim is of this very life."""
        claim = c.decode(value)
        return claim is not None and (claim.planner, claim.life) == (self.planner, self.life)

    def report_fact(
        self, now: int, guest: str, ask: int, state: c.State, machine: str, how: str = ""
    ) -> None:
        """Tells the others what became of a claimed guest; nothing waits for it."""
        self._tell(now, guest, c.Fact(self.planner, ask, state, machine, how))

    def release(self, now: int, guest: str, known: bytes) -> None:
        """Nothing of this claim left, or all of it is proven never to have run."""
        if known:
            self._tell(now, guest, c.Release(known))

    def query(self, now: int, guest: str, name: str) -> None:
        """Asks what stands; `told` gives it back under this name."""
        self._want(now, Asking("look", name, Read()), CLAIM + guest, self.span)

    def proposal_ended(self, now: int, no: int, outcome: str, value: bytes, reason: str) -> list[Verdict]:
        asking = self.under_way.pop(no, None)
        if asking is None:
            return []
        self.counts[f"{asking.what}_{outcome}"] += 1
        agreed = outcome == "agreed"
        if asking.what == "life":
            return self._born(agreed, value, reason)
        if asking.what == "fact":
            self.facts -= 1
            return []
        if asking.what == "look":
            claim = c.decode(value) if agreed else None
            return [Verdict("looked", asking.name, value, claim, "" if agreed else reason)]
        self.taking.pop(asking.name, None)
        asked = c.encode(asking.change.claim())
        if not agreed:
            return [Verdict("not_agreed", asking.name, asked if outcome == "open" else b"", reason=reason)]
        if value == asked:
            return [Verdict("mine", asking.name, value)]
        return [Verdict("theirs", asking.name, value, c.decode(value))]

    def _born(self, agreed: bool, value: bytes, reason: str) -> list[Verdict]:
        self.life_asked = False
        if agreed:
            self.life = int(value)
        names, self.unborn = self.unborn, {}
        return [Verdict("again" if agreed else "not_agreed", name, reason=reason) for name in names]

    def _tell(self, now: int, guest: str, change: Change) -> None:
        if self.facts >= FACTS_MOST:
            self.counts["facts_dropped"] += 1
            return
        self.facts += 1
        self._want(now, Asking("fact", guest, change), CLAIM + guest, FACT_SPAN)

    def _want(self, now: int, asking: Asking, key: str, span: int) -> int:
        self.number += 1
        self.under_way[self.number] = asking
        self.wanted.append(Wanted(self.number, key, asking.change, now + span))
        return self.number
