"""The planner as a network service: a faulty peer loses its connection, all others continue. In virtual time,
except for a few tests on TCP."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest
import trio
from trio.testing import MockClock

from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameReader, frame
from hazelhold.service.net import MemoryNet, Net, TcpNet
from hazelhold.service.planner import Planner
from tests.bound_process import end_with_parent
from tests.helpers import planner_config

TO_OWNER = m.Codec(m.TO_OWNER)
HELLO = m.encode(m.Hello(role="owner", name="o"))


class Peer:
    """One end of a connection, on which a test sends arbitrary bytes."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream, self.reader, self.codec = stream, FrameReader(), TO_OWNER

    async def receive(self, count: int = 1) -> list[m.Message]:
        """Returns the next `count` messages, or fewer if the planner closes the connection."""
        messages: list[m.Message] = []
        while len(messages) < count:
            data = await self.stream.receive_some()
            if not data:
                break
            messages += [self.codec.decode(body) for body in self.reader.feed(data)]
        return messages


def with_planner(
    test: Callable[[Planner, Net], Awaitable[None]], net: Net | None = None, **limits: object
) -> Planner:
    """Runs the test beside a planner, in virtual time unless the net is real."""
    planners = []

    async def run() -> None:
        network = net or MemoryNet()
        address = "127.0.0.1:0" if isinstance(network, TcpNet) else "door"
        config = msgspec.structs.replace(planner_config(**limits), listen=address)
        if isinstance(network, TcpNet):  # without a list service
            config = msgspec.structs.replace(
                config, list=msgspec.structs.replace(config.list, address="127.0.0.1:1")
            )
        planner = Planner(config, 1, network)
        planners.append(planner)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await nursery.start(planner.run)
                await test(planner, network)
                planner.stop()

    trio.run(run, clock=None if isinstance(net, TcpNet) else MockClock(autojump_threshold=0))
    return planners[0]


async def owner(planner: Planner, net: Net, name: str = "o") -> Peer:
    """Connects an owner that has received its Welcome."""
    peer = Peer(await net.dial(planner.address))
    await peer.stream.send_all(m.encode(m.Hello(role="owner", name=name)))
    assert isinstance((await peer.receive())[0], m.Welcome)
    return peer


@pytest.mark.parametrize(
    ("data", "code"),
    [
        ((2 << 30).to_bytes(4), "frame_too_long"),
        (HELLO + b"\0\0\0\0", "frame_empty"),
        (frame(b"\xc1"), "not_msgpack"),
        (m.encode(m.Query(guest="g")), "wrong_first"),
        (HELLO + HELLO, "second_hello"),
        (HELLO + frame(msgspec.msgpack.encode({"t": "offer"})), "unknown_type"),
        (m.encode(m.Hello(role="planner", name="x")), "wrong_role"),
        (m.encode(m.Hello(role="owner", name="x", version=99)), "version"),
        (HELLO + frame(msgspec.msgpack.encode({"t": "cancel"})), "bad_message"),
    ],
)
def test_a_peer_that_violates_the_protocol_gets_the_reason_and_only_its_connection_ends(
    data: bytes, code: str
) -> None:
    async def test(planner: Planner, net: Net) -> None:
        bystander = await owner(planner, net, "bystander")
        peer = Peer(await net.dial(planner.address))
        await peer.stream.send_all(data)
        received = await peer.receive(9)
        assert isinstance(received[-1], m.Fault) and received[-1].code == code
        await bystander.stream.send_all(m.encode(m.Query(guest="g")))
        assert isinstance((await bystander.receive())[0], m.State)

    assert with_planner(test).counts["refused_" + code] == 1


def test_what_was_refused_is_in_the_capture(tmp_path: Path) -> None:
    from hazelhold.capture.read import read
    from hazelhold.capture.replay import replay
    from hazelhold.capture.skips import Skips
    from hazelhold.capture.streams import Frame

    async def run() -> None:
        net = MemoryNet()
        config = planner_config()
        config = msgspec.structs.replace(
            config, capture=msgspec.structs.replace(config.capture, file=str(tmp_path / "c.pcap"))
        )
        planner = Planner(config, 1, net)
        async with trio.open_nursery() as nursery:
            await nursery.start(planner.run)
            for data in (HELLO + frame(msgspec.msgpack.encode({"t": "offer"})), (2 << 30).to_bytes(4)):
                peer = Peer(await net.dial("door"))
                await peer.stream.send_all(data)
                await peer.receive(9)
            planner.stop()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    skips = Skips()
    items = list(read([tmp_path / "c.pcap"], skips))
    types = [item.message["t"] for item in items if isinstance(item, Frame)]
    assert "offer" in types and types.count("fault") == 2
    assert skips.reasons() == {"other protocol in the stream": 1}
    result = replay(items)
    assert result["planners"][0]["damaged_messages"] == 1 and result["planners"][0]["differing"] == 0


def test_an_incomplete_frame_times_out_only_before_the_hello() -> None:
    async def test(planner: Planner, net: Net) -> None:
        late, slow = Peer(await net.dial(planner.address)), await owner(planner, net, "slow")
        await late.stream.send_all(HELLO[:5])
        query = m.encode(m.Query(guest="g"))
        await slow.stream.send_all(query[:7])
        start = trio.current_time()
        assert (await late.receive())[0].code == "no_hello" and trio.current_time() - start <= 2.1
        await trio.sleep(30)
        await slow.stream.send_all(query[7:])
        assert isinstance((await slow.receive())[0], m.State)

    with_planner(test)


def test_a_newer_connection_of_an_owner_replaces_the_older() -> None:
    async def test(planner: Planner, net: Net) -> None:
        first = await owner(planner, net)
        second = await owner(planner, net)
        assert [type(message) for message in await first.receive(2)] == [m.Bye]
        await second.stream.send_all(m.encode(m.Query(guest="g")))
        assert isinstance((await second.receive())[0], m.State)
        assert len(planner.owners) == 1

    with_planner(test)


def test_an_owner_that_reconnects_can_query_the_outcome_of_its_guest() -> None:
    async def test(planner: Planner, net: Net) -> None:
        peer = await owner(planner, net)
        await peer.stream.send_all(
            m.encode(
                m.Submit(guest="g", product="once", service="s", cores=1.0, memory=1.0, patience=1_000_000)
            )
        )
        assert isinstance((await peer.receive())[0], m.Acknowledged)
        await peer.stream.aclose()
        await trio.sleep(2)
        peer = await owner(planner, net)
        await peer.stream.send_all(m.encode(m.Query(guest="g")))
        assert (await peer.receive())[0].state == "turned_back"

    with_planner(test)


def test_a_thousand_simultaneous_connections_and_one_more_than_allowed() -> None:
    async def test(planner: Planner, net: Net) -> None:
        done = []

        async def ask(number: int) -> None:
            peer = await owner(planner, net, f"o{number}")
            await peer.stream.send_all(m.encode(m.Query(guest="g")))
            done.extend(await peer.receive())
            await trio.sleep(1)

        async with trio.open_nursery() as nursery:
            for number in range(1000):
                nursery.start_soon(ask, number)
            await trio.sleep(0.5)
            peer = Peer(await net.dial(planner.address))
            assert [message.code for message in await peer.receive()] == ["too_many"]
        assert len(done) == 1000

    with_planner(test, connections=1000, handshake_burst=2000, handshakes_at_once=2000)


def test_a_peer_that_does_not_read_is_disconnected_and_others_are_unaffected() -> None:
    async def test(planner: Planner, net: Net) -> None:
        stalled = await owner(planner, net, "stalled")
        bystander = await owner(planner, net, "bystander")
        query = m.encode(m.Query(guest="g" * 200)) * 200
        with trio.move_on_after(20):
            while "stalled" in planner.owners:
                await stalled.stream.send_all(query)
                await bystander.stream.send_all(m.encode(m.Query(guest="g")))
                assert isinstance((await bystander.receive())[0], m.State)
        assert "stalled" not in planner.owners and "bystander" in planner.owners

    with_planner(test, TcpNet(), send_bytes=20_000)


def test_a_stop_notifies_owners_and_ends_in_time() -> None:
    async def test(planner: Planner, net: Net) -> None:
        peer = await owner(planner, net)
        await peer.stream.send_all(
            m.encode(
                m.Submit(guest="g", product="once", service="s", cores=1.0, memory=1.0, patience=500_000_000)
            )
        )
        assert isinstance((await peer.receive())[0], m.Acknowledged)
        start = trio.current_time()
        planner.stop()
        received = await peer.receive(3)
        assert [type(s) for s in received] == [m.GuestRefused, m.Bye] and received[0].reason == "stopping"
        assert trio.current_time() - start < 4

    with_planner(test)


class Machines:
    """Scripted machines and a list service, for one planner on a network in memory."""

    def __init__(self, net: Net, names: str = "a") -> None:
        self.net, self.names = net, names
        self.peers: dict[str, list[Peer]] = {name: [] for name in names}

    async def open(self, nursery: trio.Nursery) -> None:
        await self.net.listen("list", self._list, nursery)
        for name in self.names:

            async def serve(stream: trio.abc.Stream, name: str = name) -> None:
                peer = Peer(stream)
                peer.codec = m.Codec(m.TO_MACHINE)
                await peer.receive()
                await stream.send_all(m.encode(m.Welcome(name=name, incarnation=1)))
                self.peers[name].append(peer)
                await trio.sleep_forever()

            await self.net.listen("at-" + name, serve, nursery)

    async def _list(self, stream: trio.abc.Stream) -> None:
        peer = Peer(stream)
        peer.codec = m.Codec(m.TO_LIST)
        await peer.receive()
        entries = [
            m.Entry(
                machine=n,
                address="at-" + n,
                mode="ready",
                kind="box",
                cores_room=24.0,
                memory_room=40.0,
                incarnation=1,
            )
            for n in self.names
        ]
        await stream.send_all(m.encode(m.Welcome(name="list")))
        await stream.send_all(m.encode(m.Listing(version=1, whole=True, entries=entries)))
        await trio.sleep_forever()


def test_a_broken_link_is_reopened_in_time_and_the_inventory_is_requested_again() -> None:
    async def test(planner: Planner, net: Net) -> None:
        async with trio.open_nursery() as nursery:
            machines = Machines(net)
            await machines.open(nursery)
            await trio.sleep(1)
            peer = await owner(planner, net)
            first = machines.peers["a"][0]
            assert isinstance((await first.receive())[0], m.InventoryRequest)
            await first.stream.send_all(m.encode(m.Inventory(guests=[])))
            await peer.stream.send_all(
                m.encode(
                    m.Submit(
                        guest="g", product="once", service="s", cores=1.0, memory=1.0, patience=5_000_000
                    )
                )
            )
            offer = (await first.receive())[0]
            assert isinstance(offer, m.Offer)
            broken_at = trio.current_time()
            await first.stream.aclose()
            while len(machines.peers["a"]) < 2:
                await trio.sleep(0.01)
            assert trio.current_time() - broken_at < 0.1
            second = machines.peers["a"][1]
            assert isinstance((await second.receive())[0], m.InventoryRequest)
            await second.stream.send_all(m.encode(m.Inventory(guests=[])))
            assert (await second.receive())[0] == msgspec.structs.replace(offer, attempt=1)
            nursery.cancel_scope.cancel()

    with_planner(test)


def test_a_machine_that_violates_the_protocol_is_disconnected_and_the_planner_goes_on() -> None:
    async def test(planner: Planner, net: Net) -> None:
        async with trio.open_nursery() as nursery:
            machines = Machines(net, "ab")
            await machines.open(nursery)
            await trio.sleep(1)
            await machines.peers["a"][0].stream.send_all(frame(msgspec.msgpack.encode({"t": "watch"})))
            await machines.peers["b"][0].stream.send_all((1 << 31).to_bytes(4))
            await trio.sleep(0.1)
            assert planner.counts["machine_unknown_type"] == planner.counts["machine_frame_too_long"] == 1
            assert isinstance(
                (await (await owner(planner, net)).stream.send_all(m.encode(m.Query(guest="g")))), type(None)
            )
            nursery.cancel_scope.cancel()

    with_planner(test)


def test_the_command_runs_stops_on_sigterm_and_records(tmp_path: Path) -> None:
    import signal
    import subprocess
    import sys

    config = msgspec.structs.replace(
        planner_config(),
        listen="127.0.0.1:0",
        list=msgspec.structs.replace(planner_config().list, address="127.0.0.1:1"),
    )
    (tmp_path / "p.json5").write_bytes(msgspec.json.encode(config))
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "hazelhold",
            "planner",
            "--config",
            str(tmp_path / "p.json5"),
            "--ready",
            "--log",
            "json",
            "--record",
            str(tmp_path / "r.jsonl"),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        preexec_fn=end_with_parent(),
    )
    host, port = process.stdout.readline().decode().strip().split(":")

    async def talk() -> m.Message:
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(HELLO + m.encode(m.Query(guest="g")))
        return (await Peer(stream).receive(2))[1]

    assert trio.run(talk).state == "unsettled"
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 0
    lines = [msgspec.json.decode(line) for line in errors.splitlines()]
    assert lines[-1]["event"] == "stopped" and all("planner" in line for line in lines)
    assert (tmp_path / "r.jsonl").read_text().count("\n") >= 3
