"""Recovers an acceptor's votes at each start, whatever happened to its disk.

A disk may be lost or restored to an older state, and its planner cannot tell. So each start is a new
incarnation. It enters with the other replicas of its sets, which from then on report it in their replies,
and copies what they know. It votes on a slot once it has done both with

- as many other replicas of the slot's set as make a majority of the set, each of which votes on the slot
  itself, or
- all other replicas of the set, if they can serve their votes (after all were down at once).

Why nothing is forgotten: what an earlier incarnation promised or accepted matters only as part of a majority.
Each such majority contains a replica that this one entered with. If that replica replied before the entry,
the copy contains what it knew; if after, its reply reports the new incarnation, and the proposer leaves out
the old reply (`Proposer._majority`). Copied values are reported to proposers that prepare, but are not votes
(`Cell.copied`).

No I/O. `RejoinClient` is the side that rejoins, `RejoinServer` the side that serves its votes.
"""

from collections import Counter, defaultdict
from typing import NamedTuple

from hazelhold.replica import claims, messages
from hazelhold.replica.acceptor import Acceptor, Change
from hazelhold.replica.sets import ReplicaSets

PAGE = 200  # cells in one message: about 40 KB


class OutgoingMessage(NamedTuple):
    """A message to send to the planner `to`."""

    to: str
    message: (
        messages.RejoinQuery
        | messages.RejoinEntry
        | messages.PageRequest
        | messages.RejoinReply
        | messages.CellPage
    )


class RejoinPeer:
    """The progress of rejoining with one other planner."""

    def __init__(self) -> None:
        self.no = 0  # of the last request
        self.state = "hail"  # hail; wait, until the copy from another planner is done; enter, copy, done
        self.done = False  # everything was copied once as this incarnation; remains set during another copy
        self.known = messages.NO_INCARNATION  # the latest incarnation of this planner that it knows
        self.cells = 0  # received so far in this copy
        self.moved = False  # a page arrived since the last tick
        self.unready: frozenset[int] = frozenset()


class RejoinClient:
    """The rejoin of one planner. `trusted`: an operator confirmed that its disk is the newest."""

    def __init__(
        self, name: str, sets: ReplicaSets, acceptor: Acceptor, nonce: int, trusted: bool = False
    ) -> None:
        self.name, self.sets, self.acceptor, self.nonce = name, sets, acceptor, nonce
        self.others = sets.slots_of(name)  # by slot of this planner: the other replicas
        self.shared: dict[str, set[int]] = defaultdict(set)  # by planner: slots that both hold
        for slot, others in self.others.items():
            for other in others:
                self.shared[other].add(slot)
        self.peers = {other: RejoinPeer() for other in self.shared}
        self.voted: set[int] = set()  # slots that are copied; the host lets it vote once that is durable
        self.outgoing: list[OutgoingMessage] = []  # emptied by the host
        self.counts: Counter[str] = Counter()
        self.no = 0
        if trusted or not self.peers:  # its own disk is sufficient
            acceptor.inc = messages.Incarnation(acceptor.inc.number + 1, nonce)
            self.voted = set(self.others)

    def is_complete(self) -> bool:
        """Whether all slots are copied."""
        return len(self.voted) == len(self.others)

    def tick(self) -> None:
        """Called periodically: repeats the request to planners that have not replied or do not vote yet."""
        if self.is_complete():
            return
        waits = any(m.state in ("wait", "enter", "copy") for m in self.peers.values())
        for other, peer in self.peers.items():
            if peer.state == "done" and (waits or not (peer.unready - self.voted)):
                continue
            if peer.state == "wait":
                continue
            if peer.state in ("enter", "copy") and peer.moved:  # its pages are arriving
                peer.moved = False
                continue
            if peer.state != "done":
                peer.state = "hail"  # starts again; digests keep that short
            self._request(other, peer, messages.RejoinQuery)
        if not any(m.state in ("enter", "copy") for m in self.peers.values()):
            self._next()

    def receive(self, other: str, message: messages.RejoinReply | messages.CellPage) -> list[Change]:
        """Handles a reply. Returns what was copied, which has to be durable before any vote on it."""
        peer = self.peers.get(other)
        if peer is None or message.no != peer.no or self.is_complete():
            return []
        if isinstance(message, messages.RejoinReply):
            peer.known = max(peer.known, message.known)
            if message.source and peer.state in ("hail", "enter", "done"):
                self._raise_incarnation()
                if all(m is peer or m.state not in ("enter", "copy") for m in self.peers.values()):
                    self._enter(other, peer)
                else:
                    peer.state = "wait"
            return []
        return self._page(other, peer, message)

    def _raise_incarnation(self) -> None:
        """Raises the incarnation above all that others know of this planner. Planners that it entered with
        before have to learn the new one."""
        mine, highest = self.acceptor.inc, max(m.known for m in self.peers.values())
        if highest > mine or mine.nonce != self.nonce:
            self.acceptor.inc = messages.Incarnation(max(highest.number, mine.number) + 1, self.nonce)
            for peer in self.peers.values():
                peer.done = False
                if peer.state != "hail":
                    peer.state, peer.no = "hail", 0
            self.voted.clear()
            self.acceptor.voting = set()  # at once: the others do not know this incarnation yet

    def _enter(self, other: str, peer: RejoinPeer) -> None:
        peer.state, peer.cells, peer.moved = "enter", 0, True
        open_slots = self.shared[other] - self.voted
        self._request(
            other,
            peer,
            messages.RejoinEntry,
            inc=self.acceptor.inc,
            digests=self.acceptor.digests_of(open_slots),
        )

    def _page(self, other: str, peer: RejoinPeer, page: messages.CellPage) -> list[Change]:
        if page.total < 0:
            peer.state = "hail"
            return []
        if peer.state not in ("enter", "copy") or page.after != peer.cells:
            return []
        changes = []
        for found in page.cells:
            if self.sets.slot(found.key) not in self.voted and (change := self.acceptor.copy(found)):
                changes.append(change)
        for name, inc in page.known.items():
            if name != self.name:
                self.acceptor.record_incarnation(name, inc)
        self.acceptor.raise_floor(page.floor)
        peer.cells, peer.moved = peer.cells + len(page.cells), True
        self.counts["cells_heard"] += len(page.cells)
        self.counts["cells_copied"] += len(changes)
        peer.unready = frozenset(page.unready)
        if peer.cells < page.total:
            peer.state = "copy"
            self._request(other, peer, messages.PageRequest, inc=self.acceptor.inc, after=peer.cells)
        else:
            peer.state, peer.done = "done", True
            self._complete()
            self._next()
        return changes

    def _next(self) -> None:
        """Starts the next copy. One at a time: the next planner need not send what is already copied."""
        waiting = [o for o, m in self.peers.items() if m.state == "wait"]
        if waiting and not self.is_complete():
            other = min(waiting, key=lambda o: self.peers[o].done)  # planners not copied from yet come first
            self._enter(other, self.peers[other])

    def _complete(self) -> None:
        for slot, others in self.others.items():
            copied = [n for n in others if self.peers[n].done]
            voting = sum(slot not in self.peers[n].unready for n in copied)
            if 2 * voting > len(others) + 1 or len(copied) == len(others):
                self.voted.add(slot)

    def _request(self, other: str, peer: RejoinPeer, kind: type, **fields: object) -> None:
        self.no += 1
        peer.no = self.no
        self.outgoing.append(OutgoingMessage(other, kind(no=self.no, **fields)))


class RejoinServer:
    """Serves a planner's votes to planners that rejoin. `can_serve`: its own votes are not lost."""

    def __init__(self, name: str, sets: ReplicaSets, acceptor: Acceptor) -> None:
        self.name, self.sets, self.acceptor = name, sets, acceptor
        self.can_serve = False
        # the last copy of each rejoining planner: its incarnation, the keys, and the slots not voted on
        self.lists: dict[str, tuple[messages.Incarnation, list[str], list[int]]] = {}

    def receive(
        self, other: str, message: messages.RejoinQuery | messages.RejoinEntry | messages.PageRequest
    ) -> messages.RejoinReply | messages.CellPage:
        """Returns the reply. The known incarnations have to be durable before it is sent."""
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
        """The keys of the slots that differ, those whose values must be kept first."""
        shared = {s for s, others in self.sets.slots_of(self.name).items() if other in others}
        mine = self.acceptor.digests_of(shared)
        differ = {s for s in shared if mine.get(s, 0) != message.digests.get(s, 0)}
        cells = self.acceptor.cells
        keys = [k for k in cells if self.sets.slot(k) in differ]
        keys.sort(key=lambda k: not claims.lasts(cells[k].value))
        unready = [s for s in shared if not self.acceptor.votes_on(s)]
        return message.inc, keys, unready

    def _page(self, other: str, no: int, after: int) -> messages.CellPage:
        _, keys, unready = self.lists[other]
        if after + PAGE >= len(keys):
            del self.lists[other]  # a lost page restarts the copy; digests keep that short
        cells = self.acceptor.cells
        page = []
        for key in keys[after : after + PAGE]:
            cell = cells.get(key, self.acceptor.empty)
            page.append(messages.CellCopy(key, cell.promised, cell.accepted, cell.value))
        return messages.CellPage(
            no, after, len(keys), page, unready, dict(self.acceptor.known), self.acceptor.floor
        )
