"""What one life of a planner did for one ask of a task, as its own end of the connections saw it."""

from typing import Any

from hazelhold.protocol.record import Crossing


class Dispatch:
    """One offer to a machine."""

    def __init__(self, crossing: Crossing) -> None:
        self.crossing, self.at, self.machine = crossing, crossing.at, crossing.peer
        self.number = crossing.message.get("attempt", 0)
        self.outstanding = True  # neither answered nor given up
        self.never_ran = False
        self.accepted = self.ended = False


class Submission:
    """One ask of a task, from when it was taken."""

    def __init__(self, accepted: Crossing, submit: dict[str, Any] | None) -> None:
        self.accepted, self.submit = accepted, submit or {}
        self.final_answers: list[Crossing] = []
        self.dispatches: list[Dispatch] = []
        self.state_lost = False  # what was answered last may not have been kept
        self.excused = False  # its planner died while its disk failed, and a second run does no harm

    @property
    def guest_class(self) -> str:
        return self.submit.get("product", "")

    @property
    def may_have_run(self) -> list[Dispatch]:
        return [a for a in self.dispatches if not a.never_ran]

    def matching(self, machine: str, body: dict[str, Any]) -> list[Dispatch]:
        """The attempts that a machine's message is about."""
        number = body.get("attempt", 0)
        return [a for a in self.dispatches if a.machine == machine and a.number == number]

    def connections_closed(self, machine: str | None = None) -> None:
        """No answer comes any more to what was out there; whether it ran is open. None: at all machines."""
        for dispatch in self.dispatches:
            dispatch.outstanding = (
                dispatch.outstanding and machine is not None and dispatch.machine != machine
            )
