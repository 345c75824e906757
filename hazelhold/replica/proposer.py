"""The proposer: agrees on a key's value by a majority of its replica set. A change is a function of the last
value (CASPaxos; Rystsov 2018).

No I/O: `propose`, `receive` and `wake` in, `actions` out, times in microseconds of the host's own clock. A
round prepares with its own ballot, takes the value that was accepted under the highest ballot among a
majority's promises, applies the change and has a majority accept the result. A read also has its value
accepted, unless a majority reports the same: only then is it certain that a majority holds it. There is no
leader, no lease and no opinion on who is alive: time only decides when to retry and when to give up.

Outcomes: `agreed`, with the current value, which may be another proposer's; `refused` with a reason, if no
accept of this proposal was sent: it has no effect; `open` if one was: a later round may still choose its
value.
"""

from collections import deque
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from hazelhold.replica import messages


class SetOnce(NamedTuple):
    """Sets the value of an empty key; otherwise keeps the current value."""

    value: bytes

    def __call__(self, last: bytes) -> bytes:
        return last or self.value


class CompareAndSwap(NamedTuple):
    """Sets `value` if the current value is `expect`; otherwise keeps the current value."""

    expect: bytes
    value: bytes

    def __call__(self, last: bytes) -> bytes:
        return self.value if last == self.expect else last


class Read(NamedTuple):
    """Reads the value. It first queries what a majority accepted; if all of them report the same, that is the
    value, and nothing is written."""

    def __call__(self, last: bytes) -> bytes:
        return last


Change = Callable[[bytes], bytes]


class Send(NamedTuple):
    """A message to send to the acceptor of a planner."""

    to: str
    message: messages.Prepare | messages.Accept | messages.Query


class Done(NamedTuple):
    """The outcome of a proposal. `number` is the one that `propose` returned.

    `rounds` counts the rounds whose accept was sent. A round without a majority of replies may have been
    chosen and then changed by others, so the change of an agreed proposal was applied up to `rounds` times,
    the last time to what others had made of it. Callers that compare and swap have to tolerate that.
    """

    number: int
    key: str
    outcome: str
    value: bytes
    reason: str = ""
    rounds: int = 0


class Times(NamedTuple):
    """Timeouts in microseconds, and limits."""

    round_timeout: int = 300_000  # how long a round waits for a majority
    pause: int = 20_000  # first backoff after a lost ballot; its upper limit doubles each time
    max_pause: int = 500_000
    max_proposals: int = 8192  # proposals in progress; more are refused at once
    max_ahead: int = 10_000  # keys whose next change may skip Prepare; the oldest is forgotten


class Operation:
    """A proposal in progress."""

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
        self.exposed = 0  # rounds whose accept was sent: their values may be chosen
        self.tries = 0
        self.reason = "no_majority"


class Proposer:
    """The proposals of one process. `process` is a name that no other process ever has."""

    def __init__(self, process: str, epoch: int, seed: int, times: Times = Times()) -> None:  # noqa: B008
        self.process, self.epoch, self.times = process, epoch, times
        self.random = Random(f"proposer/{seed}")
        self.actions: list[Send | Done] = []
        self.ops: dict[str, Operation] = {}  # by key: one at a time
        self.waiting: dict[str, deque[Operation]] = {}  # queued behind it; emptied as proposals end
        self.timers: list[tuple[int, int, Operation, int]] = []  # each is removed at its time
        self.highest = 0  # highest ballot number seen
        # By key: the ballot that a majority promised with its last accept, and the value. Used once; bounded
        # by `times.max_ahead`.
        self.ahead: dict[str, tuple[messages.Ballot, bytes]] = {}
        self.number = self.timer_no = self.under_way = 0

    def propose(self, now: int, key: str, change: Change, replicas: Iterable[str], deadline: int) -> int:
        """Starts a proposal and returns its number. Its Done follows by `deadline`, if `wake` is called in
        time."""
        self.number += 1
        op = Operation(self.number, key, change, deadline, tuple(replicas))
        if self.under_way >= self.times.max_proposals:
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
        """Notes that the acceptor of this process has promised that ballot for the key. The other acceptors
        probably have, too, and would refuse a lower one. A hint that saves rounds; safety does not depend on
        it."""
        self.highest = max(self.highest, ballot.number)
        ahead = self.ahead.get(key)
        if ahead is not None and ahead[0] < ballot:
            del self.ahead[key]

    def next_at(self) -> int | None:
        """When `wake` is due next; None if no timer is set."""
        return self.timers[0][0] if self.timers else None

    def wake(self, now: int) -> None:
        """Ends proposals past their deadline and starts the next rounds that are due."""
        while self.timers and self.timers[0][0] <= now:
            _, _, op, tries = heappop(self.timers)
            if op.phase == "over":
                continue
            if tries < 0:
                self._end(now, op, "open" if op.exposed else "refused", b"", op.reason)
            elif tries == op.tries and self.ops.get(op.key) is op:
                self._round(now, op)

    def receive(self, now: int, sender: str, message: messages.Message) -> None:
        """Handles an acceptor's reply. A reply to no ballot in progress has no effect."""
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
                if len(self.ahead) > self.times.max_ahead:
                    del self.ahead[next(iter(self.ahead))]
                self._end(now, op, "agreed", op.value)
        elif isinstance(message, messages.Refused):
            self._refused(now, op, sender, message)

    def _majority(self, op: Operation, replies: dict[str, messages.Reply]) -> bool:
        """Whether these replies make a majority whose replies are consistent. A replica that another of them
        knows in a later incarnation may have forgotten its reply, which is therefore left out."""
        stale = [
            n
            for n, a in replies.items()
            if any(b.known.get(n, messages.NO_INCARNATION) > a.inc for b in replies.values())
        ]
        for name in stale:
            del replies[name]
        return 2 * len(replies) > len(op.replicas)

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
            self._at(now + self.times.round_timeout, op, op.tries)
        else:
            self._round(now, op)

    def _look(self, now: int, op: Operation) -> None:
        self.highest += 1  # own number, so that a late reply to an earlier query does not count
        op.ballot, op.phase, op.tries = messages.Ballot(self.highest, self.process), "look", op.tries + 1
        self._send(op, messages.Query(op.key, self.epoch, op.ballot))
        self._at(now + self.times.round_timeout, op, op.tries)

    def _round(self, now: int, op: Operation) -> None:
        self.highest += 1
        op.ballot, op.phase, op.tries = messages.Ballot(self.highest, self.process), "prepare", op.tries + 1
        op.promises, op.accepts, op.refusals = {}, {}, {}
        self._send(op, messages.Prepare(op.key, self.epoch, op.ballot))
        self._at(now + self.times.round_timeout, op, op.tries)

    def _accept(self, op: Operation, last: bytes) -> None:
        op.value, op.phase, op.exposed = op.change(last), "accept", op.exposed + 1
        self.highest = max(self.highest, op.ballot.number + 1)  # `next` uses that number
        self._send(op, messages.Accept(op.key, self.epoch, op.ballot, op.value, self._next(op)))

    def _next(self, op: Operation) -> messages.Ballot:
        return messages.Ballot(op.ballot.number + 1, self.process)

    def _send(self, op: Operation, message: messages.Prepare | messages.Accept | messages.Query) -> None:
        self.actions += [Send(replica, message) for replica in op.replicas]

    def _refused(self, now: int, op: Operation, sender: str, message: messages.Refused) -> None:
        op.refusals[sender] = message
        if 2 * len(op.refusals) < len(op.replicas):
            return  # the others may still be a majority
        reasons = {r.why for r in op.refusals.values()}
        op.reason = (
            "old_epoch" if "epoch" in reasons else "no_votes" if reasons == {"no_vote"} else "contended"
        )
        if op.reason == "old_epoch" and max(r.now for r in op.refusals.values()) > self.epoch:
            self._end(now, op, "open" if op.exposed else "refused", b"", op.reason)
            return
        op.phase, op.ballot = "wait", messages.NO_BALLOT
        max_pause = min(self.times.pause * 2 ** min(op.tries, 10), self.times.max_pause)
        self._at(now + self.random.randint(self.times.pause // 2, max_pause), op, op.tries)

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
