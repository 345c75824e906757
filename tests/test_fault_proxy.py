"""Fault proxies between planners: faults of a direction, datagrams, connections; in memory and on sockets."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from trio.testing import MockClock

from hazelhold.rehearse.fault_proxy import Direction, FaultProxies, LinkFaults
from hazelhold.service.net import MemoryNet, Net, TcpNet

NETS = [pytest.param(True, id="memory"), pytest.param(False, id="sockets")]


def with_proxies(memory: bool, test: Callable[[FaultProxies, Net], Awaitable[None]]) -> None:
    async def run() -> None:
        net = MemoryNet() if memory else TcpNet()
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await test(FaultProxies(net, nursery, 1, "memory" if memory else "127.0.0.1"), net)
                nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0) if memory else None)


def test_a_direction_draws_the_same_faults_from_the_same_seed_and_in_the_stated_shares() -> None:
    def fates(seed: int) -> list[list[float]]:
        direction = Direction(seed)
        direction.set(LinkFaults(loss=0.3, double=0.2, delay=(10.0, 30.0)))
        return [direction.fate(100, 0.0) for _ in range(4000)]

    first = fates(1)
    assert first == fates(1) != fates(2)
    assert 0.27 < sum(not f for f in first) / 4000 < 0.33
    assert 0.17 < sum(len(f) == 2 for f in first) / sum(bool(f) for f in first) < 0.23
    assert all(0.01 <= late <= 0.03 for f in first for late in f)


def test_a_rate_delays_bytes_one_after_another() -> None:
    direction = Direction(1)
    direction.set(LinkFaults(rate=1000.0))
    assert [round(direction.fate(500, 0.0)[0], 3) for _ in range(3)] == [0.5, 1.0, 1.5]
    assert round(direction.fate(500, 10.0)[0], 3) == 0.5


def address(net: Net, text: str) -> object:
    host, _, port = text.rpartition(":")
    return text if isinstance(net, MemoryNet) else (host, int(port))


@pytest.mark.parametrize("memory", NETS)
def test_each_direction_of_datagrams_is_blocked_separately(memory: bool) -> None:
    async def test(proxies: FaultProxies, net: Net) -> None:
        a = await net.port("memory:0" if memory else "127.0.0.1:0")
        b = await net.port("memory:0" if memory else "127.0.0.1:0")
        to_b = address(net, await proxies.datagrams("a", "b", b.address))
        to_a = address(net, await proxies.datagrams("b", "a", a.address))
        proxies.cut(["a"], ["b"], "out")
        a.send(b"lost", to_b)
        b.send(b"back", to_a)
        await a.readable()
        assert [body for body, _ in a.pending()] == [b"back"]
        while not proxies.way("a", "b").lost:  # until the proxy has received and dropped it
            await trio.sleep(0.01)
        proxies.heal(["a"], ["b"], "out")
        a.send(b"comes", to_b)
        await b.readable()
        assert [body for body, _ in b.pending()] == [b"comes"]
        assert (proxies.way("a", "b").lost, proxies.way("a", "b").carried) == (1, 1)

    with_proxies(memory, test)


@pytest.mark.parametrize("memory", NETS)
def test_a_connection_over_a_blocked_direction_stays_open_and_resumes_after_it(memory: bool) -> None:
    async def test(proxies: FaultProxies, net: Net) -> None:
        received: list[bytes] = []

        async def echo(stream: trio.abc.Stream) -> None:
            async with stream:
                while data := await stream.receive_some(100):
                    received.append(data)
                    await stream.send_all(data.upper())

        server = await net.listen("memory:0" if memory else "127.0.0.1:0", echo, proxies.nursery)
        stream = await net.dial(await proxies.streams("a", "b", server))
        await stream.send_all(b"one")
        assert await stream.receive_some(100) == b"ONE"
        proxies.cut(["a"], ["b"], "in")  # only b's answers
        await stream.send_all(b"two")
        with trio.move_on_after(0.5) as waited:
            await stream.receive_some(100)
        assert waited.cancelled_caught and received == [b"one", b"two"]
        proxies.clear_faults()
        assert await stream.receive_some(100) == b"TWO"
        proxies.cut(["a"], ["b"], "out")
        await stream.send_all(b"three")
        late = await net.dial(await proxies.streams("a", "b", server))  # looks open
        with trio.move_on_after(0.5) as waited:
            await late.send_all(b"four")
            await late.receive_some(100)
        assert waited.cancelled_caught and received == [b"one", b"two"]
        proxies.clear_faults()
        assert await stream.receive_some(100) == b"THREE"
        assert await late.receive_some(100) == b"FOUR"

    with_proxies(memory, test)


def test_a_server_that_refuses_or_closes_ends_the_connection() -> None:
    async def test(proxies: FaultProxies, net: Net) -> None:
        async def shut(stream: trio.abc.Stream) -> None:
            await stream.aclose()

        server = await net.listen("127.0.0.1:0", shut, proxies.nursery)
        for target in (server, "127.0.0.1:1"):
            stream = await net.dial(await proxies.streams("a", "b", target))
            with trio.fail_after(20):
                try:
                    assert await stream.receive_some(100) == b""
                except trio.BrokenResourceError:
                    pass

    with_proxies(False, test)
