"""Takes what others tell of members: which rows hold, suspicions, confirmations, refutations. No I/O."""

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.base import MembershipBase
from hazelhold.membership.local_health import CONFIRMATIONS, expected_confirmations, suspicion_timeout
from hazelhold.membership.rows import ALIVE, GONE, LEFT, SEQ_BOUND, STATES, SUSPECTED, Row, key, same_life
from hazelhold.membership.settings import MembershipChange
from hazelhold.membership.table import Member


class Merging(MembershipBase):
    """Rows of others and of this planner itself, and the suspicions that rest on them."""

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
            "doubt": self.local_health.level,
            **more,
        }
        self.counts[f"became_{STATES[row.state]}"] += 1
        self.actions.append(MembershipChange(STATES[row.state], row.name, cause))

    def _confirm(self, member: Member, by: str) -> None:
        """One more who accuses: the suspicion waits less, and is told again."""
        if by in member.accusers or len(member.accusers) > CONFIRMATIONS:
            return
        member.accuse(by)
        self.table.gossip.add(member.row.name)
        span = suspicion_timeout(
            self.terms.suspect,
            self.terms.suspect_most,
            len(member.accusers),
            expected_confirmations(len(self.table)),
        )
        self._due_by(member, member.suspected + self.local_health(span))

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
            self.local_health.more()
            self.actions.append(
                MembershipChange(
                    "refuted",
                    mine.name,
                    {
                        "held": STATES[row.state],
                        "by": row.by,
                        "told_by": teller,
                        "seq": row.seq + 1,
                        "doubt": self.local_health.level,
                    },
                )
            )
        self._my_row(seq=row.seq + 1)
        self.corrections.append(self.table.members[mine.name].raw)

    def _my_row(self, **changes: object) -> None:
        self.table.put(msgspec.structs.replace(self.me, by="", **changes), self.now)
        for name in self.table.live.some(self.random, self.terms.helpers):
            self._send(self.table.row(name).address, name, messages.Rows(), [])

    def _new_life(self, life: int) -> None:
        self.actions.append(
            MembershipChange("life_raised", self.me.name, {"from": self.me.life, "life": life})
        )
        self._my_row(life=life, seq=0)

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
        self._send(rival.address, "", messages.Ping(self._number(), self.me.name), [], fill=False)
        self._at(self.now + self.terms.answer, "rival", tries + 1)
