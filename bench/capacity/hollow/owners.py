"""A process of owners: one for each planner; each submits tasks at a stated rate, whatever the answers.

python -m bench.capacity.hollow.owners '{"planners": ["127.0.0.1:7400"], ...}'     (started by the rig)
"""

import socket
import sys
from collections import Counter

import msgspec
from msgspec import Struct

from bench.capacity.hollow.loop import Commands, Connection, Loop, now_us
from bench.capacity.hollow.messages import Command, Counts, Drive, Stop
from hazelhold.protocol import messages as m

CODEC = m.Codec(m.TO_OWNER)
SERVICES = 60
PATIENCE = 6 * 1_000_000  # microseconds


class Settings(Struct):
    """Whom to ask for what. Times in microseconds."""

    planners: list[str]
    task_life: int
    most_seconds: float
    product: str = "till-import"
    prefix: str = "owner"  # of the owners' names, and of their tasks' names
    cores: float = 0.25
    memory: float = 0.25


class Owner:
    """One owner's connection to one planner."""

    def __init__(self, process: "Process", number: int, address: str) -> None:
        self.process, self.number = process, number
        self.submitted = self.placed = self.ended = self.refused = 0
        self.round = 0  # of the rate that is in force; an older one's timer does nothing
        host, port = address.rsplit(":", 1)
        stream = socket.create_connection((host, int(port)), timeout=10)
        self.connection = Connection(process.loop, stream, CODEC, self._hear)
        self.connection.send(m.Hello(role="owner", name=f"{process.settings.prefix}-{number}"))

    def drive(self, rate: float) -> None:
        self.round += 1
        if rate:
            self._submit(self.round, now_us(), round(1e6 / rate))

    def _submit(self, turn: int, due: int, interval: int) -> None:
        if turn != self.round:
            return
        settings = self.process.settings
        self.connection.send(
            m.Submit(
                guest=f"{settings.prefix}-task-{self.number}-{self.submitted}",
                product=settings.product,
                service=f"service-{self.submitted % SERVICES}",
                cores=settings.cores,
                memory=settings.memory,
                patience=PATIENCE,
                customer="reef-coast",
                life=settings.task_life,
            )
        )
        self.submitted += 1
        self.process.loop.later(due + interval, self._submit, turn, due + interval, interval)

    def _hear(self, connection: Connection, message: m.Message) -> None:
        self.placed += isinstance(message, m.Placed)
        self.ended += isinstance(message, m.GuestEnded)
        if isinstance(message, m.Rejected | m.GuestRefused | m.GuestFailed):
            self.refused += 1
            why = message.code if isinstance(message, m.Rejected) else message.reason
            self.process.reasons[f"{message.__struct_config__.tag} {why}"] += 1


class Process:
    """All owners of this process."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.reasons: Counter[str] = Counter()
        self.loop = Loop(settings.most_seconds)
        self.owners = [Owner(self, number, address) for number, address in enumerate(settings.planners)]

    def obey(self, command: Command) -> Counts:
        if isinstance(command, Drive):
            for owner in self.owners:
                owner.drive(command.rate)
        elif isinstance(command, Stop):
            self.loop.stop()
        return self.counts()

    def counts(self) -> Counts:
        return Counts(
            flows=self.loop.tally.peers,
            faults=self.loop.faults,
            submitted=sum(owner.submitted for owner in self.owners),
            placed=sum(owner.placed for owner in self.owners),
            ended=sum(owner.ended for owner in self.owners),
            refused=sum(owner.refused for owner in self.owners),
            reasons=dict(self.reasons),
        )


def main() -> None:
    process = Process(msgspec.json.decode(sys.argv[1], type=Settings))
    commands = Commands(process.loop, sys.stdin.buffer, sys.stdout.buffer, Command, process.obey)
    commands.answer(process.counts())
    process.loop.run()


if __name__ == "__main__":
    main()
