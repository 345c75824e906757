"""How an acceptor that starts comes back to its votes, whatever became of its disk.

A disk may be gone, or have been put back older than it was, and its planner cannot tell. So each start is a
new incarnation: it enters with the others of its sets, which from then on tell everybody of it, and copies
what they know. It votes on a slot once that is so for

- a majority's number of other members of the slot's set that vote on it themselves, or
- all other members, if they have votes to give (after all were down at once).

Why nothing is forgotten: what an earlier incarnation promised or accepted counts for something only in a
majority. Such a majority has a member among those entered with. If it answered before the entering, the copy
has what it knew; if after, its answer tells of the new incarnation, and the proposer leaves the old answer
out (`Proposer._majority`). What was copied is told to whoever prepares but is no vote (`Cell.copied`).

Without I/O. `Joiner` is the side that comes back, `Source` the side that is asked.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from hazelhold.replica import claims, messages
from hazelhold.replica.acceptor import Acceptor, Change
from hazelhold.replica.sets import ReplicaSets

PAGE = 200  # cells at a time: some 40 KB


class OutgoingMessage(NamedTuple):
    """Send to that planner."""

    to: str
    message: (
        messages.RejoinQuery
        | messages.RejoinEntry
        | messages.PageRequest
        | messages.RejoinReply
        | messages.CellPage
    )


class RejoinPeer:
    """How far the coming back is with one other planner."""

    def __init__(self) -> None:
        self.no = 0  # of what was asked last
        self.state = "hail"  # hail; wait, until another's copying is over; enter, copy, done
        self.done = False  # all was copied once, as this incarnation; stays so while it is asked once more
        self.known = messages.NO_INCARNATION  # the latest incarnation of ours that it knows
        self.cells = 0  # copied so far in this round
        self.moved = False  # since the last tick
        self.unready: frozenset[int] = frozenset()


class RejoinClient:
    """One planner's coming back. `trusted`: an operator vouches that its disk is the newest."""

    def __init__(
        self, name: str, sets: ReplicaSets, acceptor: Acceptor, nonce: int, trusted: bool = False
    ) -> None:
        self.name, self.sets, self.acceptor, self.nonce = name, sets, acceptor, nonce
        self.others = sets.slots_of(name)  # by slot of ours: the other members
        self.shared: dict[str, set[int]] = defaultdict(set)  # by planner: slots that both keep
        for slot, others in self.others.items():
            for other in others:
                self.shared[other].add(slot)
        self.peers = {other: RejoinPeer() for other in self.shared}
        self.voted: set[int] = set()  # slots with all copied: the host lets it vote once that is safe
        self.outgoing: list[OutgoingMessage] = []  # emptied by the host
        self.counts: Counter[str] = Counter()
        self.no = 0
        if trusted or not self.peers:  # its own disk is enough
            acceptor.inc = messages.Incarnation(acceptor.inc.number + 1, nonce)
            self.voted = set(self.others)

    def is_complete(self) -> bool:
        return len(self.voted) == len(self.others)

    def tick(self) -> None:
        """Now and then: asks again whoever has not answered, or does not vote itself yet."""
        if self.is_complete():
            return
        waits = any(m.state in ("wait", "enter", "copy") for m in self.peers.values())
        for other, mate in self.peers.items():
            if mate.state == "done" and (waits or not (mate.unready - self.voted)):
                continue
            if mate.state == "wait":
                continue
            if mate.state in ("enter", "copy") and mate.moved:  # its pages come
                mate.moved = False
                continue
            if mate.state != "done":
                mate.state = "hail"  # anew, which digests make short
            self._ask(other, mate, messages.RejoinQuery)
        if not any(m.state in ("enter", "copy") for m in self.peers.values()):
            self._next()

    def receive(self, other: str, message: messages.RejoinReply | messages.CellPage) -> list[Change]:
        """Returns what was copied: to be made safe before any vote on it."""
        mate = self.peers.get(other)
        if mate is None or message.no != mate.no or self.is_complete():
            return []
        if isinstance(message, messages.RejoinReply):
            mate.known = max(mate.known, message.known)
            if message.source and mate.state in ("hail", "enter", "done"):
                self._rise()
                if all(m is mate or m.state not in ("enter", "copy") for m in self.peers.values()):
                    self._enter(other, mate)
                else:
                    mate.state = "wait"
            return []
        return self._page(other, mate, message)

    def _rise(self) -> None:
        """Above all that others know of us: whoever was entered with before has to be told anew."""
        mine, highest = self.acceptor.inc, max(m.known for m in self.peers.values())
        if highest > mine or mine.nonce != self.nonce:
            self.acceptor.inc = messages.Incarnation(max(highest.number, mine.number) + 1, self.nonce)
            for mate in self.peers.values():
                mate.done = False
                if mate.state != "hail":
                    mate.state, mate.no = "hail", 0
            self.voted.clear()
            self.acceptor.voting = set()  # not a moment longer: those entered with do not know this one

    def _enter(self, other: str, mate: RejoinPeer) -> None:
        mate.state, mate.cells, mate.moved = "enter", 0, True
        open_slots = self.shared[other] - self.voted
        self._ask(
            other,
            mate,
            messages.RejoinEntry,
            inc=self.acceptor.inc,
            digests=self.acceptor.digests_of(open_slots),
        )

    def _page(self, other: str, mate: RejoinPeer, page: messages.CellPage) -> list[Change]:
        if page.total < 0:
            mate.state = "hail"
            return []
        if mate.state not in ("enter", "copy") or page.after != mate.cells:
            return []
        changes = []
        for found in page.cells:
            if self.sets.slot(found.key) not in self.voted and (change := self.acceptor.copy(found)):
                changes.append(change)
        for name, inc in page.known.items():
            if name != self.name:
                self.acceptor.record_incarnation(name, inc)
        self.acceptor.raise_floor(page.floor)
        mate.cells, mate.moved = mate.cells + len(page.cells), True
        self.counts["cells_heard"] += len(page.cells)
        self.counts["cells_copied"] += len(changes)
        mate.unready = frozenset(page.unready)
        if mate.cells < page.total:
            mate.state = "copy"
            self._ask(other, mate, messages.PageRequest, inc=self.acceptor.inc, after=mate.cells)
        else:
            mate.state, mate.done = "done", True
            self._complete()
            self._next()
        return changes

    def _next(self) -> None:
        """One at a time: what the one has sent, the next need not."""
        waiting = [o for o, m in self.peers.items() if m.state == "wait"]
        if waiting and not self.is_complete():
            other = min(waiting, key=lambda o: self.peers[o].done)  # those not copied from yet come first
            self._enter(other, self.peers[other])

    def _complete(self) -> None:
        for slot, others in self.others.items():
            done = [n for n in others if self.peers[n].done]
            voting = sum(slot not in self.peers[n].unready for n in done)
            if 2 * voting > len(others) + 1 or len(done) == len(others):
                self.voted.add(slot)

    def _ask(self, other: str, mate: RejoinPeer, kind: type, **more: object) -> None:
        self.no += 1
        mate.no = self.no
        self.outgoing.append(OutgoingMessage(other, kind(no=self.no, **more)))


class RejoinServer:
    """What one planner tells those who come back. `gives`: its own votes are not lost."""

    def __init__(self, name: str, sets: ReplicaSets, acceptor: Acceptor) -> None:
        self.name, self.sets, self.acceptor = name, sets, acceptor
        self.can_serve = False
        self.lists: dict[
            str, tuple[messages.Incarnation, list[str], list[int]]
        ] = {}  # by rejoin client; the last copying of each

    def receive(
        self, other: str, message: messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest
    ) -> messages.RejoinReply | messages.CellPage:
        """The answer. What is known of incarnations has to be safe before it leaves."""
        known = self.acceptor.known.get(other, messages.NO_INCARNATION)
        if isinstance(message, messages.RejoinQuery):
            return messages.RejoinReply(message.no, known, self.can_serve)
        if isinstance(message, messages.RejoinEntry):
            if not self.can_serve or not self.acceptor.record_incarnation(other, message.inc):
                return messages.RejoinReply(message.no, known, self.can_serve)
            self.lists[other] = self._list(other, message)
            return self._page(other, message.no, 0)
        inc, _, _ = self.lists.get(other, (messages.NO_INCARNATION, [], []))
        if inc != message.inc:
            return messages.CellPage(message.no, 0, -1)
        return self._page(other, message.no, message.after)

    def _list(
        self, other: str, message: messages.RejoinEntry
    ) -> tuple[messages.Incarnation, list[str], list[int]]:
        """Keys of the slots that differ, those whose fate is open first."""
        both = {s for s, others in self.sets.slots_of(self.name).items() if other in others}
        mine = self.acceptor.digests_of(both)
        differ = {s for s in both if mine.get(s, 0) != message.digests.get(s, 0)}
        cells = self.acceptor.cells
        keys = [k for k in cells if self.sets.slot(k) in differ]
        keys.sort(key=lambda k: not claims.lasts(cells[k].value))
        unready = [s for s in both if not self.acceptor.votes_on(s)]
        return message.inc, keys, unready

    def _page(self, other: str, no: int, after: int) -> messages.CellPage:
        _, keys, unready = self.lists[other]
        if after + PAGE >= len(keys):
            del self.lists[other]  # a page that is lost begins it anew, which digests make short
        cells = self.acceptor.cells
        found = []
        for key in keys[after : after + PAGE]:
            cell = cells.get(key, self.acceptor.empty)
            found.append(messages.CellCopy(key, cell.promised, cell.accepted, cell.value))
        return messages.CellPage(
            no, after, len(keys), found, unready, dict(self.acceptor.known), self.acceptor.floor
        )
