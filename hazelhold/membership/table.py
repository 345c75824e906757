"""All members that a planner knows, the queue of rows to gossip, and digests for comparing whole tables.

Every operation takes constant time in the number of members, except the shuffle of a new probe round, which
happens once for as many probes.
"""

from random import Random

import msgspec

from hazelhold.membership.messages import BUCKETS
from hazelhold.membership.rows import ALIVE, GONE, SUSPECTED, Row, bucket, digest, encode_row, key, same_life


class Member:
    """A member's row, and what only this planner knows about the member. Times are on this planner's clock,
    in microseconds."""

    __slots__ = (
        "row",
        "raw",
        "digest",
        "bucket",
        "since",
        "last_ack_at",
        "rtt",
        "unanswered",
        "via",
        "accusers",
        "suspected",
    )

    def __init__(self, row: Row, now: int) -> None:
        self.bucket = bucket(row.name, BUCKETS)
        self.last_ack_at = self.rtt = -1
        self.unanswered = 0  # consecutive own probes without an ack or a witness
        self.via = ""
        self.accusers: list[str] = []  # at most as many as the confirmations that count
        self.suspected = 0  # when the suspicion began here
        self.set(row, now)

    def add_accuser(self, by: str) -> None:
        """Adds a member that suspects this one and puts it into the row, since each confirmation has to reach
        the others."""
        self.accusers.append(by)
        self.row = msgspec.structs.replace(self.row, by=by)
        self.raw = encode_row(self.row)

    def set(self, row: Row, now: int) -> None:
        """Replaces the row."""
        self.row, self.raw, self.digest, self.since = row, encode_row(row), digest(row), now


class Pool:
    """A set of names from which random ones are drawn in constant time."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.positions: dict[str, int] = {}

    def add(self, name: str) -> None:
        if name not in self.positions:
            self.positions[name] = len(self.names)
            self.names.append(name)

    def drop(self, name: str) -> None:
        position = self.positions.pop(name, None)
        if position is None:
            return
        last = self.names.pop()
        if position < len(self.names):
            self.names[position] = last
            self.positions[last] = position

    def sample(self, random: Random, count: int, but: tuple[str, ...] = ()) -> list[str]:
        """Up to `count` different random names, none of `but`."""
        drawn = random.sample(self.names, min(len(self.names), count + len(but)))
        return [n for n in drawn if n not in but][:count]

    def __len__(self) -> int:
        return len(self.names)


class GossipQueue:
    """Names whose rows are still to be gossiped: those sent least often first, each up to a limit."""

    def __init__(self) -> None:
        self.rounds: list[dict[str, None]] = []
        self.times_sent: dict[str, int] = {}

    def add(self, name: str) -> None:
        self.drop(name)
        self._put(name, 0)

    def _put(self, name: str, times: int) -> None:
        while len(self.rounds) <= times:
            self.rounds.append({})
        self.rounds[times][name] = None
        self.times_sent[name] = times

    def drop(self, name: str) -> None:
        times = self.times_sent.pop(name, None)
        if times is not None:
            del self.rounds[times][name]
            if not self.rounds[times]:
                self.rounds[times] = {}  # a dict that was large remains slow to iterate

    def take(self, table: "Table", space: int, max_times: int) -> tuple[list[msgspec.Raw], int]:
        """Returns rows that fit in `space` bytes, and the bytes left. Each name is returned `max_times` times
        at most."""
        rows: list[msgspec.Raw] = []
        taken: list[tuple[str, int]] = []
        if not self.times_sent:
            return rows, space
        for times, names in enumerate(self.rounds):
            for name in names:
                raw = table.members[name].raw
                if len(raw) > space:
                    break
                space -= len(raw)
                rows.append(raw)
                taken.append((name, times))
            if space < 60:  # the length of the shortest row
                break
        for name, times in taken:
            self.drop(name)
            if times + 1 < max_times:
                self._put(name, times + 1)
        return rows, space


class Table:
    """All members by name, including the planner itself."""

    def __init__(self, me: Row, now: int, random: Random, max_members: int) -> None:
        self.me, self.random, self.max_members = me.name, random, max_members
        self.members: dict[str, Member] = {}
        self.digests = [0] * BUCKETS
        self.in_bucket: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        self.live, self.lost = Pool(), Pool()  # other members: alive or suspected; gone
        self.gossip = GossipQueue()
        self.at_address: dict[str, str] = {}  # the member last reported at each address
        self.order: list[str] = []  # probe targets of this round
        self.at = 0
        self.put(me, now)

    def __len__(self) -> int:
        """The number of members that are alive or suspected, including this one."""
        return len(self.live) + 1

    def row(self, name: str) -> Row | None:
        member = self.members.get(name)
        return member.row if member else None

    def newer(self, row: Row) -> bool:
        member = self.members.get(row.name)
        return member is None or key(row) > key(member.row)

    def put(self, row: Row, now: int) -> Row | None:
        """Stores a row that is newer than the current one; returns the row that it replaces."""
        member = self.members.get(row.name)
        before = member.row if member else None
        if member is None:
            member = self.members[row.name] = Member(row, now)
            self.in_bucket[member.bucket][row.name] = None
        else:
            self.digests[member.bucket] ^= member.digest
            member.set(row, now)
            if not same_life(before, row):
                member.last_ack_at = member.rtt = -1
                member.unanswered, member.via = 0, ""
        self.digests[member.bucket] ^= member.digest
        member.accusers = []
        if (
            before is not None
            and before.address != row.address
            and self.at_address.get(before.address) == row.name
        ):
            del self.at_address[before.address]
        self.at_address[row.address] = row.name
        if row.name != self.me:
            if row.state in (ALIVE, SUSPECTED):
                self.lost.drop(row.name)
                self._add_target(row.name)
            else:
                self.live.drop(row.name)
                (self.lost.add if row.state == GONE else self.lost.drop)(row.name)
        self.gossip.add(row.name)
        return before

    def _add_target(self, name: str) -> None:
        """Adds a probe target at a random position in the rest of the round, so that new members are not
        preferred."""
        if name in self.live.positions:
            return
        self.live.add(name)
        position = self.random.randint(self.at, len(self.order))
        self.order.append(name)
        self.order[position], self.order[-1] = self.order[-1], self.order[position]

    def live_at(self, address: str) -> bool:
        return self.at_address.get(address, "") in self.live.positions

    def forget(self, name: str) -> None:
        member = self.members.pop(name)
        if self.at_address.get(member.row.address) == name:
            del self.at_address[member.row.address]
        self.digests[member.bucket] ^= member.digest
        del self.in_bucket[member.bucket][name]
        self.live.drop(name)
        self.lost.drop(name)
        self.gossip.drop(name)

    def next_probe(self, busy: set[str]) -> str:
        """The next probe target: each member once a round, in a new random order each round. Empty if there
        is no target."""
        for _ in range(2 * len(self.live) + 2):
            if self.at >= len(self.order):
                self.order = list(self.live.names)
                self.random.shuffle(self.order)
                self.at = 0
                if not self.order:
                    return ""
            name = self.order[self.at]
            self.at += 1
            if name in self.live.positions and name not in busy:
                return name
        return ""

    def rows_of(self, which: int) -> list[msgspec.Raw]:
        return [self.members[name].raw for name in self.in_bucket[which]]
