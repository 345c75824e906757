"""How long ago a majority of the control machines confirmed that nothing newer was committed.

For people and for the choice of sources; nothing in safety rests on it. No I/O.
"""

from hazelhold.fleetconfig.history import History
from hazelhold.fleetconfig.links import Link, Links
from hazelhold.fleetconfig.messages import NEVER
from hazelhold.fleetconfig.spread_actions import CutOff, Times


class Confirmation:
    """`confirmed_at`: the latest such moment that is known, on this process's clock; it does not contain the
    time that the word was on its way. None: not known."""

    def __init__(self, history: History, links: Links, times: Times) -> None:
        self.confirmed_at: int | None = None
        self._history, self._links, self._times = history, links, times

    def update(self) -> None:
        """Takes what the sources said. The word of one counts once all that it knew is here."""
        for link in (self._links.current, self._links.trial):
            heartbeat = link.heartbeat if link else None
            if link is None or heartbeat is None or link.confirmed_at is None:
                continue
            if self._history.chain_at(heartbeat.number) == heartbeat.chain:
                before = self.confirmed_at
                self.confirmed_at = link.confirmed_at if before is None else max(before, link.confirmed_at)

    def age(self, now: int) -> int:
        """Microseconds since then; NEVER if it is not known."""
        return NEVER if self.confirmed_at is None else max(now - self.confirmed_at, 0)

    def cut_off(self, now: int) -> CutOff | None:
        """Why nothing newer can be known; None if it can."""
        age = self.age(now)
        if 0 <= age <= self._times.cut_off:
            return None
        current = self._links.current
        if current is None:
            return CutOff(
                age, f"no source is followed; the last one: {self._links.last_reason or 'none yet'}"
            )
        if current.is_stale(now, self._times):
            return CutOff(age, f"{current.source.name} is not in touch with a majority")
        return CutOff(age, self._why_its_word_does_not_count(current))

    def _why_its_word_does_not_count(self, link: Link) -> str:
        """It is in touch, but what it knows is not all here."""
        name, here = link.source.name, self._history.position.number
        if link.heartbeat is not None and link.heartbeat.number < here:
            return (
                f"{name} is in touch with a majority, at revision {link.heartbeat.number}, before the {here} "
                "that is here: this planner's folder may be of another deployment"
            )
        return f"{name} knows of revisions that did not come yet"
