"""Agrees on a key's value by majority of its replica set: a change function over the last value (CASPaxos;
Rystsov 2018).

Without I/O: `ask` and `hear` and `wake` in, `actions` out, times in microseconds of the host's own clock. A
round prepares with a ballot of its own, takes the value that was accepted under the highest ballot among a
majority's promises, applies the change and has a majority accept the result. A read accepts what it found:
only then is it sure to be what a majority holds. No leader, no lease, no word on who is alive: time only
decides when to try again and when to give up.

Outcomes: `agreed` (the value now, which may be another's); `refused` with a reason, if no accept of this
asking left: it is as if it had never been; `open` if one did: its value may be chosen yet by whoever comes
next.
"""

from collections import deque
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from hazelhold.replica import messages


class SetOnce(NamedTuple):
    """Write-once: takes an empty key, and keeps what is there otherwise."""

    value: bytes

    def __call__(self, last: bytes) -> bytes:
        return last or self.value


class CompareAndSwap(NamedTuple):
    """Compare-and-set: `value` if what is there is `expect`, else what is there."""

    expect: bytes
    value: bytes

    def __call__(self, last: bytes) -> bytes:
        return self.value if last == self.expect else last


class Read(NamedTuple):
    """Asks first what a majority accepted; if all of it say the same, that is the value, and nothing was
    written."""

    def __call__(self, last: bytes) -> bytes:
        return last


Change = Callable[[bytes], bytes]


class Send(NamedTuple):
    to: str
    message: messages.Prepare | messages.Accept | messages.Query


class Done(NamedTuple):
    """`asked` is the number that `ask` gave. `rounds` counts those whose accept left: a round that was not
    heard of may have been chosen and changed by others since, so that the change of an agreed asking was made
    up to `rounds` times, the last on what others had made of it. Whoever swaps has to bear that."""

    number: int
    key: str
    outcome: str
    value: bytes
    reason: str = ""
    rounds: int = 0


class Times(NamedTuple):
    round_most: int = 300_000  # how long a round waits for a majority
    pause: int = 20_000  # the first pause after a lost ballot; drawn up to twice as long each time
    pause_most: int = 500_000
    most: int = 8192  # askings under way; more are refused at once
    known: int = 10_000  # keys whose next change may go without Prepare; the oldest is forgotten


class Operation:
    """One asking under way."""

    __slots__ = (
        "no",
        "key",
        "change",
        "deadline",
        "replicas",
        "ballot",
        "phase",
        "promises",
        "accepts",
        "refusals",
        "value",
        "exposed",
        "tries",
        "reason",
    )

    def __init__(self, no: int, key: str, change: Change, deadline: int, replicas: tuple[str, ...]) -> None:
        self.no, self.key, self.change, self.deadline, self.replicas = no, key, change, deadline, replicas
        self.ballot = messages.NO_BALLOT
        self.phase = "wait"
        self.promises: dict[str, messages.Promise | messages.QueryReply] = {}
        self.accepts: dict[str, messages.Accepted] = {}
        self.refusals: dict[str, messages.Refused] = {}
        self.value = b""
        self.exposed = 0  # rounds whose accept left: what they carried may be chosen
        self.tries = 0
        self.reason = "no_majority"


class Proposer:
    """One process's askings. `process` is a name that no other process ever has."""

    def __init__(self, process: str, epoch: int, seed: int, times: Times = Times()) -> None:  # noqa: B008
        self.process, self.epoch, self.times = process, epoch, times
        self.random = Random(f"proposer/{seed}")
        self.actions: list[Send | Done] = []
        self.ops: dict[str, Operation] = {}  # by key: one at a time
        self.waiting: dict[str, deque[Operation]] = {}  # behind it; emptied as they end
        self.timers: list[tuple[int, int, Operation, int]] = []  # each goes at its time
        self.highest = 0  # number of any ballot seen
        # A ballot that a majority promised with its last accept, and the value then, by key; used once, and
        # emptied by use and by `times.known`.
        self.ahead: dict[str, tuple[messages.Ballot, bytes]] = {}
        self.number = self.timer_no = self.under_way = 0

    def propose(self, now: int, key: str, change: Change, replicas: Iterable[str], deadline: int) -> int:
        """Begins an asking; its Done follows, by `deadline` at the latest if `wake` is called in time."""
        self.number += 1
        op = Operation(self.number, key, change, deadline, tuple(replicas))
        if self.under_way >= self.times.most:
            self.actions.append(Done(op.no, key, "refused", b"", "busy"))
            return op.no
        self.under_way += 1
        if key in self.ops:
            self.waiting.setdefault(key, deque()).append(op)
        else:
            self._begin(now, op)
        self._at(deadline, op, -1)
        return op.no

    def promised(self, key: str, ballot: messages.Ballot) -> None:
        """The acceptor of this process has promised that ballot for the key: the others will have, most
        likely, and a lower one would be lost there. A hint, which saves rounds; nothing rests on it."""
        self.highest = max(self.highest, ballot.number)
        ahead = self.ahead.get(key)
        if ahead is not None and ahead[0] < ballot:
            del self.ahead[key]

    def next_at(self) -> int | None:
        return self.timers[0][0] if self.timers else None

    def wake(self, now: int) -> None:
        while self.timers and self.timers[0][0] <= now:
            _, _, op, tries = heappop(self.timers)
            if op.phase == "over":
                continue
            if tries < 0:
                self._end(now, op, "open" if op.exposed else "refused", b"", op.reason)
            elif tries == op.tries and self.ops.get(op.key) is op:
                self._round(now, op)

    def receive(self, now: int, sender: str, message: messages.Message) -> None:
        """An acceptor's answer. What belongs to no ballot under way does nothing."""
        op = self.ops.get(message.key)
        if isinstance(message, messages.Refused):
            self.highest = max(self.highest, message.higher.number)
        if (
            op is None
            or message.ballot != op.ballot
            or sender not in op.replicas
            or message.epoch != self.epoch
        ):
            return
        if isinstance(message, messages.QueryReply) and op.phase == "look":
            op.promises[sender] = message
            if self._majority(op, op.promises):
                if len({p.accepted for p in op.promises.values()}) == 1:
                    self._end(now, op, "agreed", message.value)
                else:
                    self._round(now, op)
        elif isinstance(message, messages.Promise) and op.phase == "prepare":
            op.promises[sender] = message
            if self._majority(op, op.promises):
                self._accept(op, max(op.promises.values(), key=lambda p: p.accepted).value)
        elif isinstance(message, messages.Accepted) and op.phase == "accept":
            op.accepts[sender] = message
            if self._majority(op, op.accepts):
                self.ahead[op.key] = self._next(op), op.value
                if len(self.ahead) > self.times.known:
                    del self.ahead[next(iter(self.ahead))]
                self._end(now, op, "agreed", op.value)
        elif isinstance(message, messages.Refused):
            self._refused(now, op, sender, message)

    def _majority(self, op: Operation, found: dict[str, messages.Reply]) -> bool:
        """Whether these are a majority whose answers go together. Whoever another of them knows in a later
        incarnation may have forgotten what it answered: it is left out."""
        old = [
            n
            for n, a in found.items()
            if any(b.known.get(n, messages.NO_INCARNATION) > a.inc for b in found.values())
        ]
        for name in old:
            del found[name]
        return 2 * len(found) > len(op.replicas)

    def _at(self, when: int, op: Operation, tries: int) -> None:
        self.timer_no += 1
        heappush(self.timers, (when, self.timer_no, op, tries))

    def _begin(self, now: int, op: Operation) -> None:
        self.ops[op.key] = op
        if isinstance(op.change, Read):
            self._look(now, op)
        elif op.key in self.ahead:
            op.ballot, last = self.ahead.pop(op.key)
            op.tries += 1
            self._accept(op, last)
            self._at(now + self.times.round_most, op, op.tries)
        else:
            self._round(now, op)

    def _look(self, now: int, op: Operation) -> None:
        self.highest += 1  # a number of its own: a late answer to an earlier look is not taken for this one's
        op.ballot, op.phase, op.tries = messages.Ballot(self.highest, self.process), "look", op.tries + 1
        self._send(op, messages.Query(op.key, self.epoch, op.ballot))
        self._at(now + self.times.round_most, op, op.tries)

    def _round(self, now: int, op: Operation) -> None:
        self.highest += 1
        op.ballot, op.phase, op.tries = messages.Ballot(self.highest, self.process), "prepare", op.tries + 1
        op.promises, op.accepts, op.refusals = {}, {}, {}
        self._send(op, messages.Prepare(op.key, self.epoch, op.ballot))
        self._at(now + self.times.round_most, op, op.tries)

    def _accept(self, op: Operation, last: bytes) -> None:
        op.value, op.phase, op.exposed = op.change(last), "accept", op.exposed + 1
        self.highest = max(self.highest, op.ballot.number + 1)  # the number of `next` is taken with it
        self._send(op, messages.Accept(op.key, self.epoch, op.ballot, op.value, self._next(op)))

    def _next(self, op: Operation) -> messages.Ballot:
        return messages.Ballot(op.ballot.number + 1, self.process)

    def _send(self, op: Operation, message: messages.Prepare | messages.Accept | messages.Query) -> None:
        self.actions += [Send(replica, message) for replica in op.replicas]

    def _refused(self, now: int, op: Operation, sender: str, message: messages.Refused) -> None:
        op.refusals[sender] = message
        if 2 * len(op.refusals) < len(op.replicas):
            return  # the others may still be a majority
        whys = {r.why for r in op.refusals.values()}
        op.reason = "old_epoch" if "epoch" in whys else "no_votes" if whys == {"no_vote"} else "contended"
        if op.reason == "old_epoch" and max(r.now for r in op.refusals.values()) > self.epoch:
            self._end(now, op, "open" if op.exposed else "refused", b"", op.reason)
            return
        op.phase, op.ballot = "wait", messages.NO_BALLOT
        most = min(self.times.pause * 2 ** min(op.tries, 10), self.times.pause_most)
        self._at(now + self.random.randint(self.times.pause // 2, most), op, op.tries)

    def _end(self, now: int, op: Operation, outcome: str, value: bytes, reason: str = "") -> None:
        op.phase = "over"
        self.under_way -= 1
        why = "" if outcome == "agreed" else reason
        self.actions.append(Done(op.no, op.key, outcome, value, why, op.exposed))
        queue = self.waiting.get(op.key)
        if self.ops.get(op.key) is op:
            del self.ops[op.key]
            while queue:
                if (after := queue.popleft()).phase != "over":
                    self._begin(now, after)
                    break
        if not queue:
            self.waiting.pop(op.key, None)
