"""Commits changes of the configuration on one control machine (docs/fleetconfig.md).

Without I/O: inputs are methods with `now` in microseconds of the host's clock, outputs are `actions`.
Interface first: the bodies follow.
"""

from collections import Counter

from hazelhold.fleetconfig.control_actions import Action, ControlLimits, StoredState
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.revision import Change, Position


class ControlCore:
    """One control machine's part in the agreed order.

    Usage: `start` once; then any input; after each input drain `take_actions()`; call `tick` at `next_at()`.
    """

    def __init__(
        self,
        name: str,
        machines: tuple[str, ...],
        stored: StoredState,
        seed: int,
        limits: ControlLimits = ControlLimits(),  # noqa: B008
        wall_offset: int = 0,
    ) -> None:
        """`machines`: the names of all control machines, this one among them. `wall_offset`: wall clock less
        the host's clock, microseconds; only for the time of commit that people read."""
        self.position = Position()
        self.document = Document()
        self.actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.broken = ""  # why nothing can be committed until an operator acts; empty: nothing is wrong

    def start(self, now: int) -> None:
        """Begins: settles the register before anything else. Stored revisions count as stored here."""
        raise NotImplementedError

    def propose(self, now: int, asker: object, change: Change, deadline: int) -> None:
        """Commit this change. Exactly one Answer for the asker follows, by `deadline` (on the host's clock) if
        `tick` is called in time. The same asking may come again, also with another asker."""
        raise NotImplementedError

    def withdraw(self, now: int, asker: object) -> None:
        """The asker's connection has ended: no Answer goes to it any more. Its changes may be carried out."""
        raise NotImplementedError

    def register_answered(self, now: int, asking: int, outcome: str, value: bytes, reason: str = "") -> None:
        """How an AskRegister ended: `agreed`, `refused` or `open`, as the replica's proposer tells it."""
        raise NotImplementedError

    def revisions_heard(self, now: int, bodies: tuple[bytes, ...]) -> None:
        """Encoded committed revisions from another control machine, in order: published or fetched. What is
        known already is passed over; what does not follow is counted and asked for (Fetch)."""
        raise NotImplementedError

    def snapshot_heard(self, now: int, stored: StoredState) -> None:
        """A committed snapshot from another control machine, for one that is too far behind. One that is not
        ahead of this machine is passed over."""
        raise NotImplementedError

    def stored(self, now: int, machine: str, number: int) -> None:
        """That control machine has made all revisions up to this number durable. A lower number than before
        changes nothing."""
        raise NotImplementedError

    def tick(self, now: int) -> None:
        """Does what is due."""
        raise NotImplementedError

    def next_at(self) -> int | None:
        """When `tick` is to be called next."""
        raise NotImplementedError

    def take_actions(self) -> list[Action]:
        """What to do since the last call, in order."""
        actions, self.actions = self.actions, []
        return actions

    def confirmed_age(self, now: int) -> int:
        """How long ago a majority said that nothing newer than `position` was committed; messages.NEVER if
        that was never so in this life."""
        raise NotImplementedError
