"""All members as one planner knows them, what is still to be told of them, and digests for comparing whole
tables.

Every operation costs the same whatever the number of members, but for the round's new shuffle (once for as
many probes).
"""

from random import Random

import msgspec

from hazelhold.membership.messages import BUCKETS
from hazelhold.membership.rows import ALIVE, GONE, SUSPECTED, Row, bucket, digest, key, same_life, told


class Member:
    """One member, and what this planner alone knows of it. Times are this planner's."""

    __slots__ = (
        "row",
        "raw",
        "digest",
        "bucket",
        "since",
        "heard",
        "rtt",
        "unanswered",
        "via",
        "accusers",
        "suspected",
    )

    def __init__(self, row: Row, now: int) -> None:
        self.bucket = bucket(row.name, BUCKETS)
        self.heard = self.rtt = -1
        self.unanswered = 0  # own probes in a row without an answer or a witness
        self.via = ""
        self.accusers: list[str] = []  # bounded by the confirmations that count
        self.suspected = 0  # when the suspicion began here
        self.set(row, now)

    def accuse(self, by: str) -> None:
        """One more accuser, who is told of from now on: each confirmation has to reach the others."""
        self.accusers.append(by)
        self.row = msgspec.structs.replace(self.row, by=by)
        self.raw = told(self.row)

    def set(self, row: Row, now: int) -> None:
        self.row, self.raw, self.digest, self.since = row, told(row), digest(row), now


class Pool:
    """Names of which one is drawn in constant time."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.places: dict[str, int] = {}

    def add(self, name: str) -> None:
        if name not in self.places:
            self.places[name] = len(self.names)
            self.names.append(name)

    def drop(self, name: str) -> None:
        place = self.places.pop(name, None)
        if place is None:
            return
        last = self.names.pop()
        if place < len(self.names):
            self.names[place] = last
            self.places[last] = place

    def some(self, random: Random, count: int, but: tuple[str, ...] = ()) -> list[str]:
        """Up to so many different names, none of `but`."""
        drawn = random.sample(self.names, min(len(self.names), count + len(but)))
        return [n for n in drawn if n not in but][:count]

    def __len__(self) -> int:
        return len(self.names)


class GossipQueue:
    """Names whose rows are still to be told: those told least first, each up to a bound."""

    def __init__(self) -> None:
        self.rounds: list[dict[str, None]] = []
        self.told: dict[str, int] = {}

    def add(self, name: str) -> None:
        self.drop(name)
        self._put(name, 0)

    def _put(self, name: str, times: int) -> None:
        while len(self.rounds) <= times:
            self.rounds.append({})
        self.rounds[times][name] = None
        self.told[name] = times

    def drop(self, name: str) -> None:
        times = self.told.pop(name, None)
        if times is not None:
            del self.rounds[times][name]
            if not self.rounds[times]:
                self.rounds[times] = {}  # a dict that was large stays slow to go through

    def take(self, raws: "Table", room: int, most: int) -> tuple[list[msgspec.Raw], int]:
        """Rows that fit in `room` bytes, and the room left; each name is told `most` times at most."""
        found: list[msgspec.Raw] = []
        taken: list[tuple[str, int]] = []
        if not self.told:
            return found, room
        for times, names in enumerate(self.rounds):
            for name in names:
                raw = raws.members[name].raw
                if len(raw) > room:
                    break
                room -= len(raw)
                found.append(raw)
                taken.append((name, times))
            if room < 60:  # no row is shorter
                break
        for name, times in taken:
            self.drop(name)
            if times + 1 < most:
                self._put(name, times + 1)
        return found, room


class Table:
    """Members by name, the planner itself among them."""

    def __init__(self, me: Row, now: int, random: Random, most: int) -> None:
        self.me, self.random, self.most = me.name, random, most
        self.members: dict[str, Member] = {}
        self.digests = [0] * BUCKETS
        self.in_bucket: list[dict[str, None]] = [{} for _ in range(BUCKETS)]
        self.live, self.lost = Pool(), Pool()  # others: alive or suspected; gone
        self.gossip = GossipQueue()
        self.at_address: dict[str, str] = {}  # the last member told at an address; as many as members
        self.order: list[str] = []  # whom to probe, this round
        self.at = 0
        self.put(me, now)

    def __len__(self) -> int:
        """Members held alive or suspected, this one included."""
        return len(self.live) + 1

    def row(self, name: str) -> Row | None:
        member = self.members.get(name)
        return member.row if member else None

    def newer(self, row: Row) -> bool:
        member = self.members.get(row.name)
        return member is None or key(row) > key(member.row)

    def put(self, row: Row, now: int) -> Row | None:
        """Takes a row that is newer than what stands; returns what stood before."""
        member = self.members.get(row.name)
        before = member.row if member else None
        if member is None:
            member = self.members[row.name] = Member(row, now)
            self.in_bucket[member.bucket][row.name] = None
        else:
            self.digests[member.bucket] ^= member.digest
            member.set(row, now)
            if not same_life(before, row):
                member.heard = member.rtt = -1
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
                self._bring(row.name)
            else:
                self.live.drop(row.name)
                (self.lost.add if row.state == GONE else self.lost.drop)(row.name)
        self.gossip.add(row.name)
        return before

    def _bring(self, name: str) -> None:
        """One more to probe: at a random place of what is left of the round, so that no newcomer comes
        first."""
        if name in self.live.places:
            return
        self.live.add(name)
        place = self.random.randint(self.at, len(self.order))
        self.order.append(name)
        self.order[place], self.order[-1] = self.order[-1], self.order[place]

    def live_at(self, address: str) -> bool:
        return self.at_address.get(address, "") in self.live.places

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
        """Whom to probe next: everyone once a round, in an order drawn anew each round; empty if there is
        nobody."""
        for _ in range(2 * len(self.live) + 2):
            if self.at >= len(self.order):
                self.order = list(self.live.names)
                self.random.shuffle(self.order)
                self.at = 0
                if not self.order:
                    return ""
            name = self.order[self.at]
            self.at += 1
            if name in self.live.places and name not in busy:
                return name
        return ""

    def rows_of(self, which: int) -> list[msgspec.Raw]:
        return [self.members[name].raw for name in self.in_bucket[which]]
