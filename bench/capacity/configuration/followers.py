"""A process of hollow followers: the real follower on real sockets, no planner behind it, its disk in memory.

python -m bench.capacity.configuration.followers FILE     (started by the rig; FILE holds `Settings` as JSON)
"""

import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec
import structlog
import trio
from msgspec import Struct

from bench.capacity.configuration.counting import CountingNet, Counts, Cuts
from bench.capacity.configuration.messages import Answer, Calm, Command, Cut, Enforced, Lose, Return, Stop
from hazelhold.config.fleetconfig import FleetConfigSection
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.follower_host import FollowerHost
from hazelhold.rehearse.fault_proxy import FaultProxies
from hazelhold.standin.disk import FaultyDisk, Points


class Settings(Struct):
    """Followers by name, and all machines of the fleet by address."""

    sections: dict[str, FleetConfigSection]
    names: dict[str, str]
    most_seconds: float


class Hollow:
    """One follower, which may be killed and started again."""

    def __init__(self, name: str, section: FleetConfigSection, process: "Process") -> None:
        self.name, self.section, self.process = name, section, process
        self.disk = FaultyDisk(Points(set(), 0))
        self.scope = trio.CancelScope()
        self.host: FollowerHost | None = None  # while it runs

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        process = self.process
        net = CountingNet(self.name, process.names, process.counts, process.cuts)
        self.host = FollowerHost(self.name, self.section, net, self.disk, self._put_in_force)
        await self.host.open()
        with trio.CancelScope() as self.scope:
            await self.host.run(task_status)

    def kill(self) -> None:
        self.scope.cancel()
        self.host = None
        self.disk.crash()
        kept, self.disk = self.disk.safe, FaultyDisk(Points(set(), 0))
        self.disk.safe = kept

    def follows_best(self) -> bool:
        links = self.host.follower.links
        return links.current is not None and links.current.source.role == links.choice.sources[0].role

    def _put_in_force(self, document: Document, changed: Iterable[str] | None) -> None:
        """There is no engine here: the moment is noted."""
        number = self.host.follower.enforcement.offered.number
        self.process.enforced.append(Enforced(self.name, number, self.host.net.now()))


class Process:
    """All followers of this process."""

    def __init__(self, settings: Settings, nursery: trio.Nursery) -> None:
        self.names, self.nursery = settings.names, nursery
        self.counts, self.cuts = Counts(), Cuts()
        self.enforced: list[Enforced] = []
        self.hollow = {name: Hollow(name, section, self) for name, section in settings.sections.items()}

    async def obey(self, command: Command) -> None:
        if isinstance(command, Cut):
            ends = FaultProxies.between(command.ones, command.others, command.way)
            self.cuts.set(self.cuts.directions | set(ends))
        elif isinstance(command, Calm):
            self.cuts.set(set())
        elif isinstance(command, Lose):
            for each in self._mine(command.names):
                each.kill()
        elif isinstance(command, Return):
            for each in self._mine(command.names):
                await self.nursery.start(each.run)

    def answer(self) -> Answer:
        enforced, self.enforced = self.enforced, []
        running = [each for each in self.hollow.values() if each.host is not None]
        return Answer(
            crossed=self.counts.take(),
            enforced=enforced,
            ended=self.counts.take_ended(),
            in_force={each.name: each.host.follower.enforcement.in_force.number for each in running},
            best=sum(each.follows_best() for each in running),
        )

    def _mine(self, names: list[str]) -> list[Hollow]:
        return [self.hollow[name] for name in names if name in self.hollow]


async def serve(settings: Settings) -> None:
    """Until a command or the end of the commands' pipe stops it, or its time is over."""
    with trio.move_on_after(settings.most_seconds):
        async with trio.open_nursery() as nursery:
            process = Process(settings, nursery)
            for each in process.hollow.values():
                await nursery.start(each.run)
            say(process.answer())
            await obey(process)
            nursery.cancel_scope.cancel()


async def obey(process: Process) -> None:
    decoder, held = msgspec.json.Decoder(Command), b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as source:
        while data := await source.receive_some(1 << 16):
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                command = decoder.decode(line)
                await process.obey(command)
                say(process.answer())
                if isinstance(command, Stop):
                    return


def say(answer: Answer) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    trio.run(serve, msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings))


if __name__ == "__main__":
    main()
