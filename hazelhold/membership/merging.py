"""Merges rows from other members: precedence, suspicions, confirmations, refutations. No I/O."""

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.base import MembershipBase
from hazelhold.membership.local_health import CONFIRMATIONS, expected_confirmations, suspicion_timeout
from hazelhold.membership.rows import ALIVE, GONE, LEFT, SEQ_BOUND, STATES, SUSPECTED, Row, key, same_life
from hazelhold.membership.settings import MembershipChange
from hazelhold.membership.table import Member


class Merging(MembershipBase):
    """Merges rows about others and about this planner, and runs the suspicions that follow."""

    def _merge(self, row: Row, reporter: str) -> None:
        """Merges a row that `reporter` sent; it is taken if it is newer than the row in the table."""
        if row.name == self.me.name:
            self._merge_own_row(row, reporter)
            return
        member = self.table.members.get(row.name)
        if member is None:
            if row.state in (GONE, LEFT):
                return  # this planner never knew the member
            if len(self.table.members) >= self.settings.most_members:
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
            self._merge_gone(member, row, reporter)
            return
        self._take(row, reporter)

    def _merge_gone(self, member: Member, row: Row, reporter: str) -> None:
        """Accepts another's report that a member is gone only after the minimum suspicion time, in which the
        member can refute it: after a partition has healed, each side still has the other as gone, and reports
        it so."""
        if key(member.row)[:4] != key(row)[:4] or member.row.state != SUSPECTED:
            self._take(msgspec.structs.replace(row, state=SUSPECTED), reporter)
        elif self.now - member.suspected >= self.settings.suspect and not self.unanswered_probes:
            self._take(row, reporter)
            return
        self._due_by(member, member.suspected + self.settings.suspect)

    def _due_by(self, member: Member, deadline: int) -> None:
        """Ends the suspicion at `deadline`, or earlier if an earlier end is set."""
        name = member.row.name
        if name not in self.deadlines or deadline < self.deadlines[name]:
            self.deadlines[name] = deadline
            self._at(deadline, "gone", (name, key(member.row)))

    def _take(self, row: Row, reporter: str, **details: object) -> None:
        self.taken += 1
        previous = self.table.put(row, self.now)
        member = self.table.members[row.name]
        self.deadlines.pop(row.name, None)
        if row.state == SUSPECTED:
            member.suspected = self.now
            self._confirm(member, row.by)
        elif row.state in (GONE, LEFT):
            self._at(self.now + self.settings.forget, "forget", (row.name, key(row)))
        if previous is None or previous.state != row.state or not same_life(previous, row):
            self._report(row, previous, reporter, member, details)

    def _report(
        self, row: Row, previous: Row | None, reporter: str, member: Member, details: dict[str, object]
    ) -> None:
        cause = {
            "from": STATES[previous.state] if previous else "unknown",
            "life": row.life,
            "seq": row.seq,
            "told_by": reporter,
            "by": row.by,
            "accusers": list(member.accusers),
            "doubt": self.local_health.level,
            **details,
        }
        self.counts[f"became_{STATES[row.state]}"] += 1
        self.actions.append(MembershipChange(STATES[row.state], row.name, cause))

    def _confirm(self, member: Member, by: str) -> None:
        """Adds a confirmation: the suspicion becomes shorter, and the row is sent again."""
        if by in member.accusers or len(member.accusers) > CONFIRMATIONS:
            return
        member.add_accuser(by)
        self.table.gossip.add(member.row.name)
        timeout = suspicion_timeout(
            self.settings.suspect,
            self.settings.suspect_most,
            len(member.accusers),
            expected_confirmations(len(self.table)),
        )
        self._due_by(member, member.suspected + self.local_health(timeout))

    def _gone_due(self, about: tuple) -> None:
        name, expected_key = about
        member = self.table.members.get(name)
        deadline = self.deadlines.get(name)
        if member is None or key(member.row) != expected_key or deadline is None:
            return
        if deadline > self.now or self.unanswered_probes:  # without acks, a refutation may have been missed
            self._at(max(deadline, self.now + self.settings.answer), "gone", about)
            return
        row = msgspec.structs.replace(member.row, state=GONE, by=self.me.name)
        self._take(row, self.me.name, accusers=list(member.accusers))

    def _forget_due(self, about: tuple) -> None:
        name, expected_key = about
        member = self.table.members.get(name)
        if member and key(member.row) == expected_key:
            self.table.forget(name)

    def _merge_own_row(self, row: Row, reporter: str) -> None:
        """Handles a row about this planner: refutes a suspicion, and probes another process with this
        name."""
        mine = self.me
        if not same_life(row, mine):
            if (row.life, row.nonce) > (mine.life, mine.nonce):
                if self.settled:
                    self._challenge(row)
                else:
                    self._new_life(row.life + 1)  # of an earlier process, still remembered
            return
        if key(row) <= key(mine) or self.leaving:
            if row.state != ALIVE:
                self.corrections.append(
                    self.table.members[mine.name].raw
                )  # refuted, but the refutation did not arrive there
            return
        if row.state == LEFT or row.seq + 1 >= SEQ_BOUND:
            self._new_life(mine.life + 1)
            return
        if row.state != ALIVE:
            self.refutations += 1
            self.local_health.more()
            self.actions.append(
                MembershipChange(
                    "refuted",
                    mine.name,
                    {
                        "held": STATES[row.state],
                        "by": row.by,
                        "told_by": reporter,
                        "seq": row.seq + 1,
                        "doubt": self.local_health.level,
                    },
                )
            )
        self._my_row(seq=row.seq + 1)
        self.corrections.append(self.table.members[mine.name].raw)

    def _my_row(self, **changes: object) -> None:
        self.table.put(msgspec.structs.replace(self.me, by="", **changes), self.now)
        for name in self.table.live.sample(self.random, self.settings.helpers):
            self._send(self.table.row(name).address, name, messages.Rows(), [])

    def _new_life(self, life: int) -> None:
        self.actions.append(
            MembershipChange("life_raised", self.me.name, {"from": self.me.life, "life": life})
        )
        self._my_row(life=life, seq=0)

    def _challenge(self, row: Row) -> None:
        """Probes a younger incarnation of this name that was reported. If it answers, this process yields;
        otherwise it takes a greater incarnation."""
        if self.conflict is None:
            self.conflict = row
            self._at(self.now, "conflict", 0)

    def _conflict_due(self, tries: int) -> None:
        conflict = self.conflict
        if conflict is None or (conflict.life, conflict.nonce) < (self.me.life, self.me.nonce):
            self.conflict = None
            return
        if tries == 4:
            self.conflict = None
            self._new_life(conflict.life + 1)
            return
        self._send(conflict.address, "", messages.Ping(self._number(), self.me.name), [], fill=False)
        self._at(self.now + self.settings.answer, "conflict", tries + 1)
