"""Whether hollow followers on both sides of their connections count the same."""

from collections import Counter

import trio

from bench.capacity.configuration.fleet import Fleet
from bench.capacity.configuration.messages import Answer, Drain

TRIES, PAUSE = 30, 0.1  # seconds


class BothSides:
    """Bytes by sender and receiver, as each of both counted them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.hollow = fleet, set(fleet.layout.hollow)
        self.sent: Counter[tuple[str, str]] = Counter()
        self.received: Counter[tuple[str, str]] = Counter()
        self.before: Counter[tuple[str, str]] = Counter()  # differences when `begin` was called
        self.sent_before = 0
        self.ended: set[frozenset[str]] = set()  # pairs between which a connection ended since `begin`
        fleet.listeners.append(self.take)

    def take(self, answer: Answer) -> None:
        self.ended.update(frozenset(pair) for pair in answer.ended)
        for each in answer.crossed:
            if each.sender in self.hollow and each.receiver in self.hollow:
                counts = self.sent if each.seen == "sender" else self.received
                counts[each.sender, each.receiver] += each.bytes

    async def begin(self) -> None:
        """From here on both sides have to count the same, but those whose connection ended: it may have
        before all that was sent was read."""
        self.before = await self._at_rest()
        self.ended.clear()
        self.sent_before = self.sent.total()

    async def unequal(self) -> int:
        """How many pairs have not, of those whose connections stood."""
        now = await self._at_rest()
        pairs = [pair for pair in now.keys() | self.before.keys() if frozenset(pair) not in self.ended]
        return sum(now[pair] != self.before[pair] for pair in pairs)

    @property
    def compared(self) -> int:
        """How many pairs have sent anything and were not cut short."""
        return sum(bool(size) and frozenset(pair) not in self.ended for pair, size in self.sent.items())

    @property
    def relayed(self) -> int:
        """Bytes sent since `begin`."""
        return self.sent.total() - self.sent_before

    async def _at_rest(self) -> Counter[tuple[str, str]]:
        """What was sent and not received, once that stays the same: what is under way arrives meanwhile."""
        last = None
        for _ in range(TRIES):
            await self.fleet.tell(Drain())
            now = Counter({pair: self.sent[pair] - self.received[pair] for pair in self.sent | self.received})
            if now == last:
                break
            last = now
            await trio.sleep(PAUSE)
        return now
