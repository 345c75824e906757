"""A relay before each planner's address for claims: it forwards connections and counts what crosses them.

python -m bench.capacity.hollow.relay '{"targets": {"planner-0": "127.0.0.1:7800"}, ...}'     (by the rig)

Planners speak to each other directly, so that no far side of the rig sees their messages. What crosses the
connections to a planner's address counts under its name, whoever says it.
"""

import sys
from functools import partial

import msgspec
import structlog
import trio
from msgspec import Struct

from bench.capacity.hollow.lister import CountingStream
from bench.capacity.hollow.messages import Command, Counts, Stop
from bench.capacity.hollow.tally import Tally
from hazelhold.service.net import TcpNet

CHUNK = 1 << 16  # bytes


class Settings(Struct):
    """Where each planner listens for the others, by name."""

    targets: dict[str, str]
    most_seconds: float


class Relays(Struct):
    """The first line of this process: where each planner is reached through it, by name."""

    addresses: dict[str, str]


async def pump(source: trio.abc.Stream, sink: trio.abc.Stream, ends: trio.CancelScope) -> None:
    """Carries one direction until it ends, and then ends both."""
    try:
        while data := await source.receive_some(CHUNK):
            await sink.send_all(bytes(data))
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    ends.cancel()


async def forward(net: TcpNet, tally: Tally, name: str, target: str, stream: trio.SocketStream) -> None:
    """One connection to a planner."""
    try:
        far = await net.dial(target)
    except OSError:
        return
    near = CountingStream(stream, tally)
    near.peer = name
    async with trio.open_nursery() as nursery:
        nursery.start_soon(pump, near, far, nursery.cancel_scope)
        nursery.start_soon(pump, far, near, nursery.cancel_scope)
    await trio.aclose_forcefully(far)


async def serve(settings: Settings) -> None:
    net, tally = TcpNet(), Tally()
    async with trio.open_nursery() as nursery:
        addresses = {
            name: await net.listen("127.0.0.1:0", partial(forward, net, tally, name, target), nursery)
            for name, target in settings.targets.items()
        }
        say(Relays(addresses))
        with trio.move_on_after(settings.most_seconds):
            await obey(tally)
        nursery.cancel_scope.cancel()


async def obey(tally: Tally) -> None:
    """Answers commands until one stops it or their pipe ends."""
    decoder = msgspec.json.Decoder(Command)
    held = b""
    async with trio.lowlevel.FdStream(sys.stdin.fileno()) as source:
        while data := await source.receive_some(CHUNK):
            *lines, held = (held + data).split(b"\n")
            for line in lines:
                command = decoder.decode(line)
                say(Counts(flows=tally.peers))
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
