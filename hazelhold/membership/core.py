"""Membership without I/O: datagrams and time in, datagrams and news out; deterministic from its seed.

Driven like the engine: `hear(now, body)` and `wake(now)`, then `actions` in order, `next_at()` for when to
come back. Times are whole microseconds of this process's own monotonic clock, which need agree with
nobody's.

The rule of the whole: *alive means answers*. A member is accused only after its probe failed, directly and
through helpers, and at least one helper said so (a witness: proof that this planner is heard and hears).
Who is deaf, cannot be heard, is alone or was just paused has no witness and accuses nobody. What nobody
answered for long without a witness is shown as unanswered in this planner's own view and told to no other.
"""

from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import ceil, log2
from random import Random
from typing import NamedTuple

import msgspec

from hazelhold.membership import words as w
from hazelhold.membership.doubt import CONFIRMATIONS, Doubt, patience, wanted
from hazelhold.membership.rows import ALIVE, GONE, LEFT, SEQ_BOUND, STATES, SUSPECTED, Row, key, same_life
from hazelhold.membership.table import Member, Table

RECENT = 24  # whose helpers are drawn from: some three seconds of senders at the usual pace
ALONE_AFTER = 3  # probes in a row without any answer or witness: one or two fail by chance


class Terms(NamedTuple):
    """What a deployment sets. Times in microseconds."""

    deployment: str
    probe: int = 250_000  # how often another member is probed
    answer: int = 200_000  # how long a ping is waited for; a whole probe takes four times that
    suspect: int = 1_500_000  # how long a suspicion waits at least, with all confirmations
    suspect_most: int = 6_000_000  # and without any
    sync: int = 10_000_000  # how often whole tables are compared
    heal: int = 2_000_000  # how often somebody who is gone, or a seed that is not known, is tried
    join: int = 250_000  # the first pause between attempts to join; it doubles up to `join_most`
    join_most: int = 4_000_000
    leave: int = 200_000  # between the tellings of a leave
    forget: int = 3_600_000_000  # how long who is gone or left is kept
    helpers: int = 3
    most_members: int = 4096
    answers_a_second: int = 40  # table comparisons and pages answered, at most


class Post(NamedTuple):
    """A datagram to send. `name` is empty where only the address is known."""

    address: str
    name: str
    body: bytes


class Reply(NamedTuple):
    """A datagram back to where the one being heard came from: to operators' commands alone."""

    body: bytes


class News(NamedTuple):
    """Something that an operator should see. `name` is whom it is about."""

    what: str
    name: str
    cause: dict


class Probe:
    """A probe under way: by this planner, or for `asker`, who numbered it `asked`."""

    __slots__ = ("no", "name", "began", "step", "helpers", "witnesses", "asker", "asked", "where", "life")

    def __init__(self, no: int, name: str, began: int, life: tuple[int, int]) -> None:
        self.no, self.name, self.began, self.life = no, name, began, life
        self.step = 0
        self.helpers: list[str] = []
        self.witnesses: set[str] = set()
        self.asker = self.where = ""
        self.asked = 0


class Core:
    """One planner's membership. `me` is its first row: alive, seq 0, with the life to begin with."""

    def __init__(self, me: Row, seeds: list[str], terms: Terms, seed: int, now: int) -> None:
        self.terms, self.seeds, self.now = terms, seeds, now
        self.random = Random(f"membership/{seed}")
        self.table = Table(me, now, self.random, terms.most_members)
        self.doubt = Doubt()
        self.actions: list[Post | Reply | News] = []
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
        # newer rows than the letter being heard told; emptied by the next
        self.corrections: list[msgspec.Raw] = []

    @property
    def me(self) -> Row:
        return self.table.members[self.table.me].row

    def start(self, now: int) -> None:
        self.now = now
        self.join_pause = self.terms.join
        self.settled = not any(s != self.me.address for s in self.seeds)  # nobody to ask: others come
        self._at(now, "join")
        self._at(now + self.random.randrange(self.terms.probe), "probe")
        self._at(now + self.random.randrange(self.terms.sync), "sync")
        self._at(now + self.random.randrange(self.terms.heal), "heal")

    def next_at(self) -> int | None:
        """When `wake` has something to do; None if never again."""
        return self.timers[0][0] if self.timers else None

    # Time.

    def _at(self, when: int, what: str, about: object = None) -> None:
        self.timer_no += 1
        heappush(self.timers, (when, self.timer_no, what, about))

    def wake(self, now: int) -> None:
        """Does all that is due."""
        self._notice(now)
        while self.timers and self.timers[0][0] <= now:
            _, _, what, about = heappop(self.timers)
            if not self.left:
                getattr(self, f"_{what}_due")(about) if about is not None else getattr(self, f"_{what}_due")()

    def _notice(self, now: int) -> None:
        """Notices from its own clock that it was away: nothing that it waited for in that time says
        anything."""
        self.now = max(now, self.now)
        if not self.timers:
            return
        late = self.now - self.timers[0][0]
        if late <= self.terms.answer or self.left:
            return
        self.away_last, self.away_times = late, self.away_times + 1
        for probe in list(self.probes.values()):
            self._end_probe(probe)
        self.deadlines = {name: at + late for name, at in self.deadlines.items()}
        self.doubt.more(1 + late // self.terms.suspect)
        self.timers = [
            (at + late if what == "gone" else max(at, self.now), no, what, about)
            for at, no, what, about in self.timers
        ]
        self.timers.sort()
        for name in self.table.live.some(self.random, self.terms.helpers):
            self._sync_with(name)  # they say at once if this life is accused
        self.actions.append(News("away", self.me.name, {"late_us": late, "doubt": self.doubt.level}))

    # What comes.

    def hear(self, now: int, body: bytes) -> None:
        """Takes a datagram. What is wrong with one is counted under its word, and it does nothing."""
        self._notice(now)
        try:
            letter = w.decode(body, self.terms.deployment)
        except w.UnreadableError as wrong:
            self.counts[str(wrong)] += 1
            return
        matter = letter.matter
        if isinstance(matter, w.Query):
            self._page(matter)
            return
        if self.left or self.yielded or not letter.sender:
            self.counts["not_taken"] += 1
            return
        if letter.sender == self.me.name:
            self._namesake(letter)
            return
        known = self.table.row(letter.sender)
        if known is not None and (letter.life, letter.nonce) < (known.life, known.nonce):
            self.counts["earlier_life"] += 1  # a replay, or a process that should yield: told what stands
            if self._may():
                self._send(letter.at, letter.sender, w.Rows(), [self.table.members[letter.sender].raw])
            return
        self.recent.pop(letter.sender, None)
        self.recent[letter.sender] = None
        if len(self.recent) > RECENT:
            del self.recent[next(iter(self.recent))]
        self.corrections, taken = [], self.taken
        for row in letter.rows:
            self._merge(row, letter.sender)
        if isinstance(matter, w.Page):
            self.counts["not_taken"] += 1
            return
        if self.taken > taken and isinstance(matter, w.Rows):
            self._resync()  # a comparison that brought something is followed by another
        getattr(self, f"_on_{type(matter).__name__.lower()}")(letter, matter)
        known = self.table.row(letter.sender)
        if (known is None or (letter.life, letter.nonce) > (known.life, known.nonce)) and self._may():
            self._send_sync(letter.at, letter.sender)  # its row is not here

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

    def _on_ping(self, letter: w.Letter, ping: w.Ping) -> None:
        if ping.who != self.me.name:
            self.counts["misled"] += 1
            return
        first = [*self._word_on(letter.sender), *self.corrections[:4]]
        self._send(letter.at, letter.sender, w.Ack(ping.no, self.me.name), first)

    def _on_ask(self, letter: w.Letter, ask: w.Ask) -> None:
        if ask.who == self.me.name:
            self._send(letter.at, letter.sender, w.Ack(ask.no, self.me.name), self._word_on(letter.sender))
            return
        if (letter.sender, ask.no) in self.asked_for or not self._may():
            return
        row = self.table.row(ask.who)
        probe = self._new_probe(ask.who, row)
        probe.asker, probe.asked, probe.where = letter.sender, ask.no, row.address if row else ask.where
        self.asked_for[letter.sender, ask.no] = probe.no
        self._ping(probe)
        self._at(self.now + self.terms.answer // 2, "help", probe.no)

    def _help_due(self, no: int) -> None:
        """Half the time of an answer has passed: one more ping; at its end, the word that nobody answers."""
        probe = self.probes.get(no)
        if probe is None:
            return
        probe.step += 1
        if probe.step == 1:
            self._ping(probe)
            self._at(self.now + self.terms.answer // 2, "help", no)
            return
        if probe.step == 2:
            if row := self.table.row(probe.asker):
                self._send(row.address, row.name, w.Nack(probe.asked, probe.name), self._word_on(row.name))
            self._at(self.now + self.terms.answer, "help", no)  # a late answer still goes on
            return
        self._end_probe(probe)

    def _on_ack(self, letter: w.Letter, ack: w.Ack) -> None:
        probe = self.probes.get(ack.no)
        if probe is None or probe.name != ack.who:
            self.counts["late_ack"] += 1
            return
        if probe.asker:
            if letter.sender == ack.who and (row := self.table.row(probe.asker)):
                self._send(row.address, row.name, w.Ack(probe.asked, probe.name), self._word_on(row.name))
                self._end_probe(probe)
            return
        if letter.sender != ack.who and letter.sender not in probe.helpers:
            self.counts["late_ack"] += 1
            return
        self._end_probe(probe)
        self.doubt.less()
        self._heard_again()
        self._settle(letter.sender)  # whoever joined through this one shows it as well as a seed would
        member = self.table.members.get(probe.name)
        if member is None or (member.row.life, member.row.nonce) != probe.life:
            return
        member.unanswered, member.heard = 0, self.now
        member.via = "" if letter.sender == probe.name else letter.sender
        if not member.via and not probe.step:  # of a ping sent once: a later answer may be to either
            span = self.now - probe.began
            member.rtt = span if member.rtt < 0 else (7 * member.rtt + span) // 8

    def _on_nack(self, letter: w.Letter, nack: w.Nack) -> None:
        probe = self.probes.get(nack.no)
        if probe and not probe.asker and probe.name == nack.who and letter.sender in probe.helpers:
            probe.witnesses.add(letter.sender)

    def _on_sync(self, letter: w.Letter, sync: w.Sync) -> None:
        if len(sync.digests) != w.BUCKETS:
            self.counts["spoilt"] += 1
            return
        if not self._may():
            return
        differ = [at for at, bits in enumerate(self.table.digests) if bits != sync.digests[at]]
        self._send_buckets(letter.at, letter.sender, sync.no, differ, differ)

    def _on_rows(self, letter: w.Letter, rows: w.Rows) -> None:
        if rows.to and rows.to == self.join_no:
            self._settle(letter.sender)
        if rows.want and self._may():
            self._send_buckets(letter.at, letter.sender, 0, [b for b in rows.want if b < w.BUCKETS], [])

    def _send_buckets(self, at: str, name: str, to: int, buckets: list[int], want: list[int]) -> None:
        """The rows of these buckets in at most eight datagrams, begun anywhere, so that the next time
        brings others."""
        first = self._word_on(name)
        buckets = buckets[:]
        self.random.shuffle(buckets)
        rows = [raw for each in buckets for raw in self.table.rows_of(each)]
        mine = self.table.members[self.me.name].raw
        queue = deque([mine, *first, *rows])
        for number in range(8):
            matter = w.Rows(to, want if not number else [])
            room = w.BYTES - 8 - len(w.encode(self.terms.deployment, self.me, matter, []))
            taken: list[msgspec.Raw] = []
            while queue and len(queue[0]) <= room:
                taken.append(queue.popleft())
                room -= len(taken[-1])
            self._send(at, name, matter, taken, fill=False)
            if not queue:
                return

    # Rows.

    def _word_on(self, name: str) -> list[msgspec.Raw]:
        """What is held against the receiver, told to itself first, so that it can refute."""
        member = self.table.members.get(name)
        return [member.raw] if member and member.row.state != ALIVE else []

    def _merge(self, row: Row, teller: str) -> None:
        """Takes a row that somebody told, if it is newer than what stands."""
        if row.name == self.me.name:
            self._about_me(row, teller)
            return
        member = self.table.members.get(row.name)
        if member is None:
            if row.state in (GONE, LEFT):
                return  # nobody that this planner ever knew
            if len(self.table.members) >= self.terms.most_members:
                self.counts["table_full"] += 1
                return
        elif key(row) < key(member.row):
            if row.state != ALIVE:
                self.corrections.append(member.raw)
            return
        elif key(row) == key(member.row):
            if row.state == SUSPECTED:
                self._confirm(member, row.by)
            return
        elif row.state == GONE:
            self._called_gone(member, row, teller)
            return
        self._take(row, teller)

    def _called_gone(self, member: Member, row: Row, teller: str) -> None:
        """Others' word that one is gone holds here once it had the least time to say otherwise: after a
        split has healed each half still holds the other gone, and tells it so."""
        if key(member.row)[:4] != key(row)[:4] or member.row.state != SUSPECTED:
            self._take(msgspec.structs.replace(row, state=SUSPECTED), teller)
        elif self.now - member.suspected >= self.terms.suspect and not self.fruitless:
            self._take(row, teller)
            return
        self._due_by(member, member.suspected + self.terms.suspect)

    def _due_by(self, member: Member, deadline: int) -> None:
        """The suspicion ends then, or before if that was set already."""
        name = member.row.name
        if name not in self.deadlines or deadline < self.deadlines[name]:
            self.deadlines[name] = deadline
            self._at(deadline, "gone", (name, key(member.row)))

    def _take(self, row: Row, teller: str, **more: object) -> None:
        self.taken += 1
        before = self.table.put(row, self.now)
        member = self.table.members[row.name]
        self.deadlines.pop(row.name, None)
        if row.state == SUSPECTED:
            member.suspected = self.now
            self._confirm(member, row.by)
        elif row.state in (GONE, LEFT):
            self._at(self.now + self.terms.forget, "forget", (row.name, key(row)))
        if before is None or before.state != row.state or not same_life(before, row):
            self._tell(row, before, teller, member, more)

    def _tell(
        self, row: Row, before: Row | None, teller: str, member: Member, more: dict[str, object]
    ) -> None:
        cause = {
            "from": STATES[before.state] if before else "unknown",
            "life": row.life,
            "seq": row.seq,
            "told_by": teller,
            "by": row.by,
            "accusers": list(member.accusers),
            "doubt": self.doubt.level,
            **more,
        }
        self.counts[f"became_{STATES[row.state]}"] += 1
        self.actions.append(News(STATES[row.state], row.name, cause))

    def _confirm(self, member: Member, by: str) -> None:
        """One more who accuses: the suspicion waits less, and is told again."""
        if by in member.accusers or len(member.accusers) > CONFIRMATIONS:
            return
        member.accuse(by)
        self.table.rumours.add(member.row.name)
        span = patience(
            self.terms.suspect, self.terms.suspect_most, len(member.accusers), wanted(len(self.table))
        )
        self._due_by(member, member.suspected + self.doubt(span))

    def _gone_due(self, about: tuple) -> None:
        name, stood = about
        member = self.table.members.get(name)
        deadline = self.deadlines.get(name)
        if member is None or key(member.row) != stood or deadline is None:
            return
        if deadline > self.now or self.fruitless:  # whoever has no answers now may have missed the refutation
            self._at(max(deadline, self.now + self.terms.answer), "gone", about)
            return
        row = msgspec.structs.replace(member.row, state=GONE, by=self.me.name)
        self._take(row, self.me.name, accusers=list(member.accusers))

    def _forget_due(self, about: tuple) -> None:
        name, stood = about
        member = self.table.members.get(name)
        if member and key(member.row) == stood:
            self.table.forget(name)

    def _about_me(self, row: Row, teller: str) -> None:
        """Somebody's word on this planner: an accusation is refuted, another process under the name is
        asked."""
        mine = self.me
        if not same_life(row, mine):
            if (row.life, row.nonce) > (mine.life, mine.nonce):
                if self.settled:
                    self._challenge(row)
                else:
                    self._new_life(row.life + 1)  # an earlier process's, still remembered
            return
        if key(row) <= key(mine) or self.leaving:
            if row.state != ALIVE:
                self.corrections.append(self.table.members[mine.name].raw)  # refuted, and not heard there
            return
        if row.state == LEFT or row.seq + 1 >= SEQ_BOUND:
            self._new_life(mine.life + 1)
            return
        if row.state != ALIVE:
            self.accused_me += 1
            self.doubt.more()
            self.actions.append(
                News(
                    "refuted",
                    mine.name,
                    {
                        "held": STATES[row.state],
                        "by": row.by,
                        "told_by": teller,
                        "seq": row.seq + 1,
                        "doubt": self.doubt.level,
                    },
                )
            )
        self._my_row(seq=row.seq + 1)
        self.corrections.append(self.table.members[mine.name].raw)

    def _my_row(self, **changes: object) -> None:
        self.table.put(msgspec.structs.replace(self.me, by="", **changes), self.now)
        for name in self.table.live.some(self.random, self.terms.helpers):
            self._send(self.table.row(name).address, name, w.Rows(), [])

    def _new_life(self, life: int) -> None:
        self.actions.append(News("life_raised", self.me.name, {"from": self.me.life, "life": life}))
        self._my_row(life=life, seq=0)

    # Two processes of one name.

    def _namesake(self, letter: w.Letter) -> None:
        """A letter from a process of this planner's own name: the answer to a challenge, or a rival's
        traffic."""
        if letter.nonce == self.me.nonce:
            self.counts["own_word"] += 1
            return
        self.counts["namesake"] += 1
        rival = self.rival
        if (
            rival
            and isinstance(letter.matter, w.Ack)
            and (letter.life, letter.nonce) >= (rival.life, rival.nonce) > (self.me.life, self.me.nonce)
        ):
            self.yielded = True
            self.timers.clear()
            self.probes.clear()
            self.probing.clear()
            self.actions.append(
                News("yielded", self.me.name, {"to_life": letter.life, "life": self.me.life, "at": letter.at})
            )
        elif isinstance(letter.matter, w.Ping) and letter.matter.who == self.me.name:
            self._send(letter.at, letter.sender, w.Ack(letter.matter.no, self.me.name), [])
        for row in letter.rows:
            if row.name == self.me.name and not self.yielded:
                self._about_me(row, letter.sender)

    def _challenge(self, row: Row) -> None:
        """A younger life of this name is told of: is it there? If so this one yields; a ghost is outlived."""
        if self.rival is None:
            self.rival = row
            self._at(self.now, "rival", 0)

    def _rival_due(self, tries: int) -> None:
        rival = self.rival
        if rival is None or (rival.life, rival.nonce) < (self.me.life, self.me.nonce):
            self.rival = None
            return
        if tries == 4:
            self.rival = None
            self._new_life(rival.life + 1)
            return
        self._send(rival.address, "", w.Ping(self._number(), self.me.name), [], fill=False)
        self._at(self.now + self.terms.answer, "rival", tries + 1)

    # Joining, comparing, healing, leaving.

    def _join_due(self) -> None:
        if self.settled:
            return
        self.join_no = self.join_no or self._number()
        others = [s for s in self.seeds if s != self.me.address]
        for seed in self.random.sample(others, min(len(others), 8)):
            self._send_sync(seed, "", self.join_no)
        self._at(self.now + self.random.randint(self.join_pause // 2, self.join_pause), "join")
        self.join_pause = min(2 * self.join_pause, self.terms.join_most)

    def _settle(self, through: str) -> None:
        if not self.settled:
            self.settled = True
            self._resync()
            self.actions.append(News("joined", self.me.name, {"through": through, "life": self.me.life}))

    def _sync_due(self) -> None:
        for name in self.table.live.some(self.random, 1):
            self._sync_with(name)
        self._at(self.now + self.random.randint(self.terms.sync // 2, self.terms.sync), "sync")

    def _resync(self) -> None:
        if not self.resync:
            self.resync = True
            self._at(self.now + self.terms.answer, "resync")

    def _resync_due(self) -> None:
        self.resync = False
        for name in self.table.live.some(self.random, 1):
            self._sync_with(name)

    def _sync_with(self, name: str) -> None:
        self._send_sync(self.table.row(name).address, name)

    def _send_sync(self, at: str, name: str, no: int = 0) -> None:
        matter = w.Sync(no or self._number(), list(self.table.digests))
        self._send(at, name, matter, [self.table.members[self.me.name].raw])

    def _heal_due(self) -> None:
        """Tries one who is gone or a seed where nobody is known: so the halves of a split find each other."""
        unknown = [s for s in self.seeds if s != self.me.address and not self.table.live_at(s)]
        lost = self.table.lost.some(self.random, 1)
        if lost and (not unknown or self.random.random() < 0.5):
            self._sync_with(lost[0])
        elif unknown:
            self._send_sync(self.random.choice(unknown), "")
        self._at(self.now + self.random.randint(self.terms.heal // 2, self.terms.heal), "heal")

    def leave(self, now: int) -> None:
        """Leaves on purpose: tells some members three times; `left` once that is done."""
        self._notice(now)
        if self.leaving or self.yielded:
            self.left = True
            return
        self.leaving = True
        self.table.put(msgspec.structs.replace(self.me, state=LEFT), self.now)
        self._leave_due(0)

    def _leave_due(self, times: int) -> None:
        for name in self.table.live.some(self.random, 4):
            self._send(self.table.row(name).address, name, w.Rows(), [self.table.members[self.me.name].raw])
        if times == 2 or not len(self.table.live):
            self.left = True
            self.timers.clear()
            return
        self._at(self.now + self.terms.leave, "leave", times + 1)

    # Probes.

    def _number(self) -> int:
        return self.random.getrandbits(62) + 1

    def _probe_due(self) -> None:
        self._at(self.now + self.doubt(self.terms.probe), "probe")
        name = self.table.next_probe(self.probing)
        if name and not self.leaving:
            probe = self._new_probe(name, self.table.row(name))
            self.probing.add(name)
            self._ping(probe)
            self._at(self.now + self.doubt(self.terms.answer), "answer", probe.no)

    def _new_probe(self, name: str, row: Row | None) -> Probe:
        probe = Probe(self._number(), name, self.now, (row.life, row.nonce) if row else (-1, -1))
        probe.where = row.address if row else ""
        self.probes[probe.no] = probe
        return probe

    def _ping(self, probe: Probe) -> None:
        self._send(probe.where, probe.name, w.Ping(probe.no, probe.name), self._word_on(probe.name))

    def _answer_due(self, no: int) -> None:
        """No answer yet: asked again, through helpers as well; the fourth time it has failed."""
        probe = self.probes.get(no)
        if probe is None:
            return
        probe.step += 1
        if probe.step < 3:
            self._ping(probe)
            if not probe.helpers:
                probe.helpers = self._helpers(probe.name)
            for helper in probe.helpers:
                if row := self.table.row(helper):  # it may have been forgotten meanwhile
                    self._send(row.address, helper, w.Ask(no, probe.name, probe.where), self._word_on(helper))
        if probe.step < 4:
            self._at(self.now + self.doubt(self.terms.answer), "answer", no)
            return
        self._end_probe(probe)
        self._failed(probe)

    def _helpers(self, target: str) -> list[str]:
        """Members heard lately: the likeliest to run, however many others just died or never were."""
        found = [n for n in self.recent if n != target and n in self.table.live.places]
        found = self.random.sample(found, min(self.terms.helpers, len(found)))
        more = self.terms.helpers - len(found)
        return found + (self.table.live.some(self.random, more, (target, *found)) if more else [])

    def _failed(self, probe: Probe) -> None:
        member = self.table.members.get(probe.name)
        if member is None or (member.row.life, member.row.nonce) != probe.life:
            return
        if not probe.witnesses:
            self.doubt.more()
            member.unanswered += 1
            self.fruitless += 1
            if self.fruitless >= ALONE_AFTER and self.alone_since < 0:
                self.alone_since = self.now
                self.actions.append(News("alone", self.me.name, {"unanswered": self.fruitless}))
            return
        self._heard_again()
        self.counts["accused"] += 1
        row = member.row
        if row.state == ALIVE:
            self._take(
                msgspec.structs.replace(row, state=SUSPECTED, by=self.me.name),
                self.me.name,
                witnesses=sorted(probe.witnesses),
                asked=len(probe.helpers),
            )
        elif row.state == SUSPECTED:
            self._confirm(member, self.me.name)

    def _heard_again(self) -> None:
        self.fruitless = 0
        if self.alone_since >= 0:
            self.actions.append(News("heard_again", self.me.name, {"alone_us": self.now - self.alone_since}))
            self.alone_since = -1

    def _end_probe(self, probe: Probe) -> None:
        del self.probes[probe.no]
        if probe.asker:
            self.asked_for.pop((probe.asker, probe.asked), None)
        else:
            self.probing.discard(probe.name)

    # What goes.

    def _send(
        self, address: str, name: str, matter: w.Matter, first: list[msgspec.Raw], fill: bool = True
    ) -> None:
        """One datagram: the rows given, then as many rumours as fit."""
        rows = first
        if fill:
            room = w.BYTES - 8 - len(w.encode(self.terms.deployment, self.me, matter, first))
            rumours, _ = self.table.rumours.take(self.table, room, self.tellings())
            rows = [*first, *rumours]
        self.actions.append(Post(address, name, w.encode(self.terms.deployment, self.me, matter, rows)))

    def tellings(self) -> int:
        """How often each row is told: enough that all know with any likelihood wanted, by the logarithm
        (SWIM)."""
        return 2 * max(2, ceil(log2(len(self.table) + 1)))

    # What is seen.

    def state_of(self, name: str) -> int | None:
        """How this planner sees a member; one that only it cannot reach counts as suspected here and
        nowhere else."""
        member = self.table.members.get(name)
        if member is None:
            return None
        if (
            member.row.state == ALIVE
            and name != self.me.name
            and (self.alone_since >= 0 or member.unanswered >= ALONE_AFTER)
        ):
            return SUSPECTED
        return member.row.state

    def standing(self) -> dict[str, int | str | bool]:
        """This planner's own state, for operators."""
        me = self.me
        return {
            "name": me.name,
            "life": me.life,
            "seq": me.seq,
            "doubt": self.doubt.level,
            "settled": self.settled,
            "yielded": self.yielded,
            "leaving": self.leaving,
            "accused": self.accused_me,
            "alone_us": self.now - self.alone_since if self.alone_since >= 0 else -1,
            "away_times": self.away_times,
            "away_last_us": self.away_last,
            "members": len(self.table),
            **self.beside(),
        }

    def seen(self, name: str) -> w.Seen:
        member = self.table.members[name]
        row = msgspec.structs.replace(member.row, state=self.state_of(name))
        return w.Seen(
            row,
            self.now - member.since,
            self.now - member.heard if member.heard >= 0 else -1,
            member.rtt,
            member.unanswered,
            member.via,
            list(member.accusers),
        )

    def _page(self, query: w.Query) -> None:
        """Answers an operator's question with as much of the view as one datagram holds."""
        if not self._may():
            return
        names = sorted(n for n in self.table.members if n > query.after)
        mine = self.standing()
        seen: list[w.Seen] = []
        room = (
            w.BYTES
            - 60
            - len(w.encode(self.terms.deployment, self.me, w.Page(query.no, [], False, mine), []))
        )
        for name in names:
            each = self.seen(name)
            room -= len(w.ENCODER.encode(each))
            if room < 0:
                break
            seen.append(each)
        matter = w.Page(query.no, seen, len(seen) < len(names), mine)
        self.actions.append(Reply(w.encode(self.terms.deployment, self.me, matter, [])))
