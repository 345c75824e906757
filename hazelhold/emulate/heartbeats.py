"""All-to-all heartbeats: a simple membership protocol to compare the real one with.

It has the interface of the real membership core as far as `MembershipSimulation` and the tests use it. Each
member sends every other a heartbeat each `probe`. A member that is silent for `suspect` plus four times
`answer` counts as gone, and returns with its next heartbeat. From other members only the existence of
members is learned: each heartbeat names some.
"""

from random import Random

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.core import MembershipChange, MembershipSettings, SendDatagram
from hazelhold.membership.rows import ALIVE, GONE, LEFT, Row


class Heartbeats:
    """One member, which judges others only by their heartbeats."""

    def __init__(self, me: Row, seeds: list[str], terms: MembershipSettings, seed: int, now: int) -> None:
        self.me, self.seeds, self.terms, self.now = me, seeds, terms, now
        self.random = Random(f"heartbeats/{seed}")
        self.rows: dict[str, Row] = {me.name: me}
        self.heard: dict[str, int] = {}
        self.actions: list[SendDatagram | MembershipChange] = []
        self.due = now
        self.left = self.yielded = self.leaving = False

    @property
    def table(self) -> "Heartbeats":
        return self

    @property
    def members(self) -> dict[str, Row]:
        return self.rows

    def start(self, now: int) -> None:
        self.due = now + self.random.randrange(self.terms.probe)

    def next_at(self) -> int | None:
        return None if self.left else self.due

    def wake(self, now: int) -> None:
        self.now = now
        while self.due <= now and not self.left:
            self.due += self.terms.probe
            if self.due < now:
                self.due = now + self.terms.probe
            silence = self.terms.suspect + 4 * self.terms.answer
            for name, row in self.rows.items():
                if row.state == ALIVE and name != self.me.name and now - self.heard[name] > silence:
                    self._set(msgspec.structs.replace(row, state=GONE))
            self._beat()

    def _beat(self) -> None:
        addresses = {
            row.address for name, row in self.rows.items() if name != self.me.name and row.state != LEFT
        }
        sample = self.random.sample(list(self.rows.values()), min(6, len(self.rows)))
        rows = [self.me, *(r for r in sample if r.state == ALIVE and r is not self.me)]
        raws = [msgspec.Raw(messages.ENCODER.encode(r)) for r in rows]
        body = messages.encode(self.terms.deployment, self.me, messages.Rows(), raws)
        for address in sorted(addresses | set(self.seeds) - {self.me.address}):
            self.actions.append(SendDatagram(address, "", body))

    def receive(self, now: int, body: bytes) -> None:
        self.now = now
        try:
            datagram = messages.decode(body, self.terms.deployment)
        except messages.UnreadableError:
            return
        for row in datagram.rows:
            known = self.rows.get(row.name)
            if row.name == self.me.name or known and (row.life, row.nonce) < (known.life, known.nonce):
                continue
            if known and known.state == LEFT and row.life == known.life:
                continue
            if known is None:  # a new member is sent the others
                rows = [msgspec.Raw(messages.ENCODER.encode(r)) for r in list(self.rows.values())[:8]]
                answer = messages.encode(self.terms.deployment, self.me, messages.Rows(), rows)
                self.actions.append(SendDatagram(row.address, row.name, answer))
            if row.name == datagram.sender or known is None:
                self.heard[row.name] = now
                if known is None or known.state != row.state or known.life != row.life:
                    self._set(row)

    def _set(self, row: Row) -> None:
        self.rows[row.name] = row
        what = {ALIVE: "alive", GONE: "gone", LEFT: "left"}.get(row.state, "suspected")
        self.actions.append(MembershipChange(what, row.name, {"life": row.life}))

    def leave(self, now: int) -> None:
        self.me = msgspec.structs.replace(self.me, state=LEFT)
        self.rows[self.me.name] = self.me
        self._beat()
        self.left = True

    def state_of(self, name: str) -> int | None:
        row = self.rows.get(name)
        return row.state if row else None
