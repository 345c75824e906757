"""What one life of a planner did for one ask of a task, as its own end of the connections saw it."""

from typing import Any

from hazelhold.protocol.record import Crossing


class Attempt:
    """One offer to a machine."""

    def __init__(self, crossing: Crossing) -> None:
        self.crossing, self.at, self.machine = crossing, crossing.at, crossing.peer
        self.number = crossing.message.get("attempt", 0)
        self.out = True  # neither answered nor given up
        self.never_ran = False
        self.taken = self.ended = False


class Ask:
    """One ask of a task, from when it was taken."""

    def __init__(self, taken: Crossing, submit: dict[str, Any] | None) -> None:
        self.taken, self.submit = taken, submit or {}
        self.finals: list[Crossing] = []
        self.attempts: list[Attempt] = []
        self.forgotten = False  # what was answered last may not have been kept
        self.excused = False  # its planner died while its disk failed, and a second run does no harm

    @property
    def product(self) -> str:
        return self.submit.get("product", "")

    @property
    def may_have_run(self) -> list[Attempt]:
        return [a for a in self.attempts if not a.never_ran]

    def matching(self, machine: str, body: dict[str, Any]) -> list[Attempt]:
        """The attempts that a machine's message is about."""
        number = body.get("attempt", 0)
        return [a for a in self.attempts if a.machine == machine and a.number == number]

    def connections_shut(self, machine: str | None = None) -> None:
        """No answer comes any more to what was out there; whether it ran is open. None: at all machines."""
        for attempt in self.attempts:
            attempt.out = attempt.out and machine is not None and attempt.machine != machine
