"""State, timers and sending of datagrams, shared by all parts of the membership core. No I/O."""

from collections import Counter
from collections.abc import Callable
from heapq import heappush
from math import ceil, log2
from random import Random

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.local_health import LocalHealth
from hazelhold.membership.probe import Probe
from hazelhold.membership.rows import ALIVE, Row
from hazelhold.membership.settings import MembershipChange, MembershipSettings, Reply, SendDatagram
from hazelhold.membership.table import Table


class MembershipBase:
    """State, timers and sending of one planner's membership. `MembershipCore` is the complete protocol."""

    def __init__(self, me: Row, seeds: list[str], settings: MembershipSettings, seed: int, now: int) -> None:
        self.settings, self.seeds, self.now = settings, seeds, now
        self.random = Random(f"membership/{seed}")
        self.table = Table(me, now, self.random, settings.most_members)
        self.local_health = LocalHealth()
        self.actions: list[SendDatagram | Reply | MembershipChange] = []
        self.counts: Counter[str] = Counter()
        self.probes: dict[int, Probe] = {}
        self.probing: set[str] = set()  # members that this planner is probing
        # indirect probes on behalf of others: (requester, its number) to the number used here
        self.relayed_probes: dict[tuple[str, int], int] = {}
        self.timers: list[tuple[int, int, str, object]] = []
        self.timer_no = 0
        self.deadlines: dict[str, int] = {}  # when each suspicion ends, by name
        self.refutations = 0  # suspicions of this incarnation that were refuted
        self.settled = False  # a member answered the join
        self.join_no = self.join_pause = 0
        self.conflict: Row | None = None  # another process with this name, which is being probed
        self.yielded = self.leaving = self.left = False
        self.extra_status: Callable[[], dict[str, str]] = dict  # more status values for operators
        self.unanswered_probes = 0  # consecutive own probes without an ack or a witness
        self.alone_since = -1
        self.away_last = self.away_times = 0
        self.tokens, self.tokens_at = float(settings.answers_a_second), now
        self.resync = False
        self.taken = 0  # received rows that changed the table
        self.recent: dict[str, None] = {}  # the last RECENT senders, the latest at the end
        # rows that are newer than those in the current datagram; emptied by the next datagram
        self.corrections: list[msgspec.Raw] = []

    @property
    def me(self) -> Row:
        return self.table.members[self.table.me].row

    def next_at(self) -> int | None:
        """When `wake` is due next, in microseconds; None if no timer is set."""
        return self.timers[0][0] if self.timers else None

    def _at(self, when: int, what: str, about: object = None) -> None:
        self.timer_no += 1
        heappush(self.timers, (when, self.timer_no, what, about))

    def _within_rate(self) -> bool:
        """Limits the rate of replies (token bucket), so that queries cannot make this planner flood the
        network."""
        rate = self.settings.answers_a_second
        self.tokens = min(float(rate), self.tokens + (self.now - self.tokens_at) * rate / 1e6)
        self.tokens_at = self.now
        if self.tokens < 1:
            self.counts["put_off"] += 1
            return False
        self.tokens -= 1
        return True

    def _number(self) -> int:
        return self.random.getrandbits(62) + 1

    def _accusation_against(self, name: str) -> list[msgspec.Raw]:
        """The receiver's own row if it is not alive here. It goes first, so that the receiver can refute."""
        member = self.table.members.get(name)
        return [member.raw] if member and member.row.state != ALIVE else []

    def _send(
        self, address: str, name: str, payload: messages.Payload, first: list[msgspec.Raw], fill: bool = True
    ) -> None:
        """Sends one datagram: the rows `first`, then as many queued gossip rows as fit."""
        rows = first
        if fill:
            space = (
                messages.MAX_BYTES
                - 8
                - len(messages.encode(self.settings.deployment, self.me, payload, first))
            )
            gossip, _ = self.table.gossip.take(self.table, space, self.retransmit_limit())
            rows = [*first, *gossip]
        self.actions.append(
            SendDatagram(address, name, messages.encode(self.settings.deployment, self.me, payload, rows))
        )

    def retransmit_limit(self) -> int:
        """How often each row is sent. It grows with the logarithm of the members, which is enough for a row
        to reach all of them with high probability (SWIM)."""
        return 2 * max(2, ceil(log2(len(self.table) + 1)))
