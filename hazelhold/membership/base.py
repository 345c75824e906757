"""What all parts of the membership core share: state, timers, and the datagrams that leave. No I/O."""

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
    """State, timers and sending of one planner's membership; `Core` is the whole."""

    def __init__(self, me: Row, seeds: list[str], terms: MembershipSettings, seed: int, now: int) -> None:
        self.terms, self.seeds, self.now = terms, seeds, now
        self.random = Random(f"membership/{seed}")
        self.table = Table(me, now, self.random, terms.most_members)
        self.local_health = LocalHealth()
        self.actions: list[SendDatagram | Reply | MembershipChange] = []
        self.counts: Counter[str] = Counter()
        self.probes: dict[int, Probe] = {}
        self.probing: set[str] = set()  # whom own probes are after
        self.asked_for: dict[tuple[str, int], int] = {}  # probes for others, by asker and its number
        self.timers: list[tuple[int, int, str, object]] = []
        self.timer_no = 0
        self.deadlines: dict[str, int] = {}  # of suspicions, by name
        self.accused_me = 0  # accusations of this life that were refuted
        self.settled = False  # somebody answered the join
        self.join_no = self.join_pause = 0
        self.rival: Row | None = None  # another process under this name, being asked whether it is there
        self.yielded = self.leaving = self.left = False
        self.beside: Callable[[], dict[str, str]] = dict  # what else operators are told of this planner
        self.fruitless = 0  # own probes in a row without answer or witness
        self.alone_since = -1
        self.away_last = self.away_times = 0
        self.allowance, self.allowed_at = float(terms.answers_a_second), now
        self.resync = False
        self.taken = 0  # rows that were news
        self.recent: dict[str, None] = {}  # who sent something last, at most RECENT, the latest at the end
        # newer rows than the datagram being heard told; emptied by the next
        self.corrections: list[msgspec.Raw] = []

    @property
    def me(self) -> Row:
        return self.table.members[self.table.me].row

    def next_at(self) -> int | None:
        """When `wake` has something to do; None if never again."""
        return self.timers[0][0] if self.timers else None

    def _at(self, when: int, what: str, about: object = None) -> None:
        self.timer_no += 1
        heappush(self.timers, (when, self.timer_no, what, about))

    def _may(self) -> bool:
        """Bounds what is sent for the asking: no sender gets more out of this planner than it sets itself."""
        rate = self.terms.answers_a_second
        self.allowance = min(float(rate), self.allowance + (self.now - self.allowed_at) * rate / 1e6)
        self.allowed_at = self.now
        if self.allowance < 1:
            self.counts["put_off"] += 1
            return False
        self.allowance -= 1
        return True

    def _number(self) -> int:
        return self.random.getrandbits(62) + 1

    def _word_on(self, name: str) -> list[msgspec.Raw]:
        """What is held against the receiver, told to itself first, so that it can refute."""
        member = self.table.members.get(name)
        return [member.raw] if member and member.row.state != ALIVE else []

    def _send(
        self, address: str, name: str, payload: messages.Payload, first: list[msgspec.Raw], fill: bool = True
    ) -> None:
        """One datagram: the rows given, then as many rumours as fit."""
        rows = first
        if fill:
            room = (
                messages.MAX_BYTES - 8 - len(messages.encode(self.terms.deployment, self.me, payload, first))
            )
            gossip, _ = self.table.gossip.take(self.table, room, self.tellings())
            rows = [*first, *gossip]
        self.actions.append(
            SendDatagram(address, name, messages.encode(self.terms.deployment, self.me, payload, rows))
        )

    def tellings(self) -> int:
        """How often each row is told: enough that all know with any likelihood wanted, by the logarithm
        (SWIM)."""
        return 2 * max(2, ceil(log2(len(self.table) + 1)))
