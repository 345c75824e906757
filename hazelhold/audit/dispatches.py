"""What one run of a planner did for one submission of a guest, as recorded at its ends of the connections."""

from typing import Any

from hazelhold.protocol.record import RecordedMessage


class Dispatch:
    """One offer of a guest to a machine."""

    def __init__(self, crossing: RecordedMessage) -> None:
        self.crossing, self.at, self.machine = crossing, crossing.at, crossing.peer
        self.number = crossing.message.get("attempt", 0)
        self.outstanding = True  # neither answered nor given up
        self.never_ran = False
        self.accepted = self.ended = False


class Submission:
    """One submission of a guest, from its acceptance by the planner on."""

    def __init__(self, accepted: RecordedMessage, submit: dict[str, Any] | None) -> None:
        self.accepted, self.submit = accepted, submit or {}
        self.final_answers: list[RecordedMessage] = []
        self.dispatches: list[Dispatch] = []
        self.state_lost = False  # the last answer may not have been persisted
        self.excused = False  # its planner was killed while its disk failed, and the guest is idempotent

    @property
    def guest_class(self) -> str:
        return self.submit.get("product", "")

    @property
    def may_have_run(self) -> list[Dispatch]:
        return [a for a in self.dispatches if not a.never_ran]

    def matching(self, machine: str, body: dict[str, Any]) -> list[Dispatch]:
        """The dispatches that a machine's message refers to."""
        number = body.get("attempt", 0)
        return [a for a in self.dispatches if a.machine == machine and a.number == number]

    def connections_closed(self, machine: str | None = None) -> None:
        """Marks dispatches to the machine (None: to all machines) as no longer outstanding.

        They get no answer any more, and whether they ran is unknown.
        """
        for dispatch in self.dispatches:
            dispatch.outstanding = (
                dispatch.outstanding and machine is not None and dispatch.machine != machine
            )
