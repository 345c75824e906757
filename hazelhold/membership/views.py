"""A planner's view for operators, in pages of one datagram each. No I/O."""

import msgspec

from hazelhold.membership import messages
from hazelhold.membership.probing import ALONE_AFTER, Probing
from hazelhold.membership.rows import ALIVE, SUSPECTED
from hazelhold.membership.settings import Reply


class Views(Probing):
    """The view of this planner: its own status and each member as it sees it."""

    def state_of(self, name: str) -> int | None:
        """The state of a member in this planner's view. A member that only this planner cannot reach is shown
        as suspected here and nowhere else."""
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

    def status(self) -> dict[str, int | str | bool]:
        """This planner's own status, for operators."""
        me = self.me
        return {
            "name": me.name,
            "life": me.life,
            "seq": me.seq,
            "doubt": self.local_health.level,
            "settled": self.settled,
            "yielded": self.yielded,
            "leaving": self.leaving,
            "accused": self.refutations,
            "alone_us": self.now - self.alone_since if self.alone_since >= 0 else -1,
            "away_times": self.away_times,
            "away_last_us": self.away_last,
            "members": len(self.table),
            **self.extra_status(),
        }

    def member_view(self, name: str) -> messages.MemberView:
        """A member as it is shown to operators."""
        member = self.table.members[name]
        row = msgspec.structs.replace(member.row, state=self.state_of(name))
        return messages.MemberView(
            row,
            self.now - member.since,
            self.now - member.last_ack_at if member.last_ack_at >= 0 else -1,
            member.rtt,
            member.unanswered,
            member.via,
            list(member.accusers),
        )

    def _page(self, query: messages.ViewQuery) -> None:
        """Answers an operator's query with as much of the view as one datagram holds."""
        if not self._within_rate():
            return
        names = sorted(n for n in self.table.members if n > query.after)
        mine = self.status()
        views: list[messages.MemberView] = []
        space = (
            messages.MAX_BYTES
            - 60
            - len(
                messages.encode(
                    self.settings.deployment, self.me, messages.ViewPage(query.no, [], False, mine), []
                )
            )
        )
        for name in names:
            view = self.member_view(name)
            space -= len(messages.ENCODER.encode(view))
            if space < 0:
                break
            views.append(view)
        payload = messages.ViewPage(query.no, views, len(views) < len(names), mine)
        self.actions.append(Reply(messages.encode(self.settings.deployment, self.me, payload, [])))
