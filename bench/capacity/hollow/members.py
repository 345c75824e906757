"""A process of hollow members: real membership on real datagrams, with no planner behind it.

python -m bench.capacity.hollow.members '{"names": ["m0"], ...}'     (started by the rig)

Each member counts the datagrams that it exchanges with the one address that is watched: a real planner's.
"""

import sys
from collections.abc import Iterator
from typing import Any

import msgspec
import structlog
import trio
from msgspec import Struct

from bench.capacity.hollow.messages import Command, Counts, Stop
from bench.capacity.hollow.tally import Flow, PeerFlows
from hazelhold.config.planner import MembershipConfig
from hazelhold.membership.host import MembershipHost
from hazelhold.membership.rows import ALIVE
from hazelhold.service.net import DatagramPort, TcpNet, UdpPort


class Settings(Struct):
    """The members of this process, and whom they join by. `watched` is the planner's name and address."""

    names: list[str]
    addresses: list[str]
    seeds: list[str]
    zones: int
    watched: str
    watched_address: str
    most_seconds: float


class CountingPort:
    """A datagram port that counts what it exchanges with one address."""

    numeric = True

    def __init__(self, inner: UdpPort, watched: str, flows: PeerFlows) -> None:
        host, _, port = watched.rpartition(":")
        self.inner, self.watched, self.flows = inner, (host, int(port)), flows
        self.address = inner.address

    async def readable(self) -> None:
        await self.inner.readable()

    def pending(self) -> Iterator[tuple[bytes, Any]]:
        for body, source in self.inner.pending():
            if source == self.watched:
                self.flows.received.setdefault("datagram", Flow()).add(Flow(1, len(body)))
            yield body, source

    def send(self, body: bytes, to: Any) -> bool:  # noqa: ANN401 - an address of this kind of network
        if to == self.watched:
            self.flows.sent.setdefault("datagram", Flow()).add(Flow(1, len(body)))
        return self.inner.send(body, to)

    def close(self) -> None:
        self.inner.close()


class CountingNet(TcpNet):
    """A network whose datagram ports count."""

    def __init__(self, watched: str) -> None:
        super().__init__()
        self.watched, self.flows = watched, PeerFlows()

    async def port(self, address: str) -> DatagramPort:
        return CountingPort(await super().port(address), self.watched, self.flows)


async def serve(settings: Settings) -> None:
    net = CountingNet(settings.watched_address)
    made = [
        MembershipHost(
            name,
            MembershipConfig(
                listen=address,
                seeds=[seed for seed in settings.seeds if seed != address],
                zone=f"z{number % settings.zones}",
            ),
            net,
        )
        for number, (name, address) in enumerate(zip(settings.names, settings.addresses, strict=True))
    ]
    async with trio.open_nursery() as nursery:
        for each in made:
            await nursery.start(each.run)
        with trio.move_on_after(settings.most_seconds):
            await obey(net, made, settings.watched)
        nursery.cancel_scope.cancel()


def counts(net: CountingNet, made: list[MembershipHost], watched: str) -> Counts:
    """`ready`: how many members here hold the watched one alive."""
    knowing = sum(each.core is not None and each.core.state_of(watched) == ALIVE for each in made)
    return Counts(flows={watched: net.flows}, ready={watched: knowing})


async def obey(net: CountingNet, made: list[MembershipHost], watched: str) -> None:
    """Answers commands until one stops it or their pipe ends."""
    say(counts(net, made, watched))
    decoder = msgspec.json.Decoder(Command)
    held = b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as source:
        while data := await source.receive_some(1 << 16):
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                command = decoder.decode(line)
                say(counts(net, made, watched))
                if isinstance(command, Stop):
                    return


def say(said: Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(said) + b"\n")
    sys.stdout.buffer.flush()


def main() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    trio.run(serve, msgspec.json.decode(sys.argv[1], type=Settings))


if __name__ == "__main__":
    main()
