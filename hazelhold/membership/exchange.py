"""Joining through seeds, comparing whole tables (anti-entropy) and healing after a partition. No I/O."""

from collections import deque

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.merging import Merging
from hazelhold.membership.settings import MembershipChange


class Exchange(Merging):
    """Anti-entropy: compares whole tables by the digests of their buckets."""

    def _join_due(self) -> None:
        if self.settled:
            return
        self.join_no = self.join_no or self._number()
        others = [s for s in self.seeds if s != self.me.address]
        for seed in self.random.sample(others, min(len(others), 8)):
            self._send_sync(seed, "", self.join_no)
        self._at(self.now + self.random.randint(self.join_pause // 2, self.join_pause), "join")
        self.join_pause = min(2 * self.join_pause, self.settings.join_most)

    def _settle(self, through: str) -> None:
        if not self.settled:
            self.settled = True
            self._resync()
            self.actions.append(
                MembershipChange("joined", self.me.name, {"through": through, "life": self.me.life})
            )

    def _sync_due(self) -> None:
        for name in self.table.live.sample(self.random, 1):
            self._sync_with(name)
        self._at(self.now + self.random.randint(self.settings.sync // 2, self.settings.sync), "sync")

    def _resync(self) -> None:
        if not self.resync:
            self.resync = True
            self._at(self.now + self.settings.answer, "resync")

    def _resync_due(self) -> None:
        self.resync = False
        for name in self.table.live.sample(self.random, 1):
            self._sync_with(name)

    def _sync_with(self, name: str) -> None:
        self._send_sync(self.table.row(name).address, name)

    def _send_sync(self, at: str, name: str, no: int = 0) -> None:
        payload = messages.Sync(no or self._number(), list(self.table.digests))
        self._send(at, name, payload, [self.table.members[self.me.name].raw])

    def _heal_due(self) -> None:
        """Contacts a member that is gone, or a seed at whose address no member is known, so that the two
        sides of a partition find each other again."""
        unknown = [s for s in self.seeds if s != self.me.address and not self.table.live_at(s)]
        lost = self.table.lost.sample(self.random, 1)
        if lost and (not unknown or self.random.random() < 0.5):
            self._sync_with(lost[0])
        elif unknown:
            self._send_sync(self.random.choice(unknown), "")
        self._at(self.now + self.random.randint(self.settings.heal // 2, self.settings.heal), "heal")

    def _on_sync(self, datagram: messages.Datagram, sync: messages.Sync) -> None:
        if len(sync.digests) != messages.BUCKETS:
            self.counts["spoilt"] += 1
            return
        if not self._within_rate():
            return
        differ = [at for at, bits in enumerate(self.table.digests) if bits != sync.digests[at]]
        self._send_buckets(datagram.at, datagram.sender, sync.no, differ, differ)

    def _on_rows(self, datagram: messages.Datagram, rows: messages.Rows) -> None:
        if rows.to and rows.to == self.join_no:
            self._settle(datagram.sender)
        if rows.want and self._within_rate():
            self._send_buckets(
                datagram.at, datagram.sender, 0, [b for b in rows.want if b < messages.BUCKETS], []
            )

    def _send_buckets(self, at: str, name: str, to: int, buckets: list[int], want: list[int]) -> None:
        """Sends the rows of these buckets in at most eight datagrams. The order is random, so that rows that
        do not fit are sent another time."""
        first = self._accusation_against(name)
        buckets = buckets[:]
        self.random.shuffle(buckets)
        rows = [raw for each in buckets for raw in self.table.rows_of(each)]
        mine = self.table.members[self.me.name].raw
        queue = deque([mine, *first, *rows])
        for number in range(8):
            payload = messages.Rows(to, want if not number else [])
            space = (
                messages.MAX_BYTES - 8 - len(messages.encode(self.settings.deployment, self.me, payload, []))
            )
            taken: list[msgspec.Raw] = []
            while queue and len(queue[0]) <= space:
                taken.append(queue.popleft())
                space -= len(taken[-1])
            self._send(at, name, payload, taken, fill=False)
            if not queue:
                return
