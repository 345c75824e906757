"""Many clients in virtual time, single clients with misbehaving planners, and planner lists that change."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
import trio
from trio.testing import MockClock

from hazelhold.client import ClientPolicy, MayHaveRunError, RefusedError, TaskRequest, open_client
from hazelhold.client.addresses import Watch, read_addresses
from hazelhold.client.backoff import AdaptiveThrottle
from hazelhold.client.types import Outcome
from hazelhold.config.load import ConfigError
from hazelhold.emulate.client_population import BIN, SECOND, ClientPopulation, Demand
from hazelhold.protocol import messages as m
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import MemoryNet
from tests.helpers import MS, ConfirmedHarness, planner_config


def settled_population(size: int, spread: bool, **demand: object) -> ClientPopulation:
    demand_settings = Demand(20.0, **{"patience": 5 * SECOND, "life": SECOND, **demand})
    population = ClientPopulation(
        planner_config(), size, 1, demand_settings, ClientPolicy(), spread, machines=2
    )
    population.open(2 * SECOND)
    while len(population.connected_at) < size:
        population.clock.run(population.clock.now + SECOND)
    population.generate_guests(population.clock.now + 60 * SECOND)
    population.clock.run(population.clock.now + 2 * SECOND)
    return population


@pytest.mark.parametrize("losses", [(0.05,), (2.0,), (30.0,), (2.0, 1.0, 2.0)])
def test_clients_spread_their_reconnects_however_long_the_planner_is_away(losses: tuple[float, ...]) -> None:
    found = []
    for spread in (True, False):
        population = settled_population(300, spread)
        lost_at = population.clock.now
        for number, duration in enumerate(losses):
            if number % 2 == 0:
                population.planner.stop(True)
            population.clock.run(population.clock.now + round(duration * SECOND))
            if number % 2 == 0:
                population.planner.start()
        population.clock.run(population.clock.now + 35 * SECOND)
        assert len(population.connected_at) == 300 and not population.counts["late_retries"]
        found.append((population.peak(population.dials, lost_at), population.counts["placed"]))
    (spread_peak, placed), (unspread, _) = found
    window = 2 * SECOND  # the least return window that this planner asks for
    assert spread_peak <= 3 * 300 * BIN / window and unspread > 5 * spread_peak and placed > 100


def test_guests_outlive_a_planner_that_dies_and_none_is_lost_or_run_twice() -> None:
    population = settled_population(100, True, product="once", effect="exclusive", life=20 * SECOND)
    ran = population.counts["runs"]
    population.planner.stop(False)
    population.clock.run(population.clock.now + 2 * SECOND)
    population.planner.start()
    population.clock.run(population.clock.now + 10 * SECOND)
    population.generate_until = 0
    population.clock.run(population.clock.now + 60 * SECOND)
    assert ran and not population.counts["lost"] and population.counts["runs"] <= population.submitted
    assert population.counts["done"] == population.counts["runs"] == population.counts["placed"]


def test_a_throttle_sends_a_multiple_of_what_is_accepted_and_opens_again() -> None:
    throttle, sent = AdaptiveThrottle(Random(1)), 0
    for now in range(0, 20 * SECOND, 10 * MS):
        if throttle.allows(now):
            sent += 1
            throttle.record(now, now % (200 * MS) == 0)  # one in twenty is accepted
    assert sent < 500  # of 2,000
    opened = [
        throttle.allows(now) and (throttle.record(now, True) or True)
        for now in range(20 * SECOND, 40 * SECOND, 10 * MS)
    ]
    assert sum(opened[-500:]) == 500


def test_a_pump_stops_after_its_decision_limit_and_is_due_again() -> None:
    harness = ConfirmedHarness("", decisions_at_once=3)
    for number in range(10):
        harness.engine.owner_said(
            0,
            "o",
            m.Submit(
                guest=f"g{number}", product="plain", service="s", cores=1.0, memory=1.0, patience=100 * MS
            ),
        )
    late = 99 * MS
    answered = []
    while True:
        harness.engine.pump(late)
        messages = [getattr(action, "message", None) for action in harness.engine.actions]
        answered.append(sum(isinstance(each, m.GuestRefused) for each in messages))
        if not harness.engine.more:
            break
        assert harness.engine.next_at(late) == late
    assert max(answered) == 10 and len(answered) >= 4


# Clients with scripted planners.


def with_scripted_planners(
    scripts: dict[str, Callable[[MessageConnection, m.Message], None]],
    test: Callable[[object, MemoryNet], Awaitable[None]],
    policy: ClientPolicy | None = None,
) -> None:
    """Runs a test with a client whose planners are scripts: each is called with the client's messages."""

    async def run() -> None:
        net = MemoryNet()

        async def serve(stream: trio.abc.Stream, name: str) -> None:
            connection = MessageConnection(stream, m.Codec(m.FROM_OWNER), net.now)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.write)
                with connection.scope:
                    await connection.first(m.Hello, 5)
                    connection.send(m.Welcome(name=name))
                    async for message in connection.messages():
                        scripts[name](connection, message)
                connection.finish()

        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                for name in scripts:

                    async def accept(stream: trio.abc.Stream, name: str = name) -> None:
                        await serve(stream, name)

                    await net.listen(name, accept, nursery)
                async with open_client("c", {n: n for n in scripts}, policy, net, seed=1) as client:
                    await trio.sleep(1)
                    await test(client, net)
                nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def silent(connection: MessageConnection, message: m.Message) -> None:
    """Answers nothing: a planner that hangs, or a connection whose peer is gone."""


def placing(connection: MessageConnection, message: m.Message) -> None:
    if isinstance(message, m.Submit):
        connection.send(m.Acknowledged(guest=message.guest, ask=message.ask))
        connection.send(m.Placed(guest=message.guest, ask=message.ask, machine="m"))
    elif isinstance(message, m.Query):
        connection.send(m.State(guest=message.guest, ask=message.ask, state="running", machine="m"))


def halving(connection: MessageConnection, message: m.Message) -> None:
    """Answers for every other guest."""
    if isinstance(message, m.Submit) and int(message.guest[1:]) % 2:
        placing(connection, message)


def guest_request(name: str, effect: str = "rerunnable", patience: int = 4 * SECOND) -> TaskRequest:
    return TaskRequest(name, "plain", "s", 1.0, 1.0, patience, effect, life=60 * SECOND)


@pytest.mark.parametrize("bad", [silent, halving])
def test_a_planner_that_answers_nothing_or_half_is_avoided(bad: Callable) -> None:
    async def test(client: object, net: MemoryNet) -> None:
        placed = 0
        for number in range(40):
            outcome = await client.place(guest_request(f"g{number}"))
            placed += outcome.state == "placed"
        assert (
            placed == 40
            and client.core.chooser.stats["bad"].failure_share
            > client.core.chooser.stats["good"].failure_share
        )
        assert (await client.query("g39")).state == "running"

    with_scripted_planners({"bad": bad, "good": placing}, test)


def test_a_connection_whose_peer_is_gone_is_closed_and_dialled_again() -> None:
    async def test(client: object, net: MemoryNet) -> None:
        with pytest.raises(MayHaveRunError):
            (await client.place(guest_request("g1", "exclusive", 8 * SECOND))).or_raise()
        assert client.core.counts["silent"] >= 1

    with_scripted_planners({"p": silent}, test)


def test_a_lost_answer_is_queried_and_no_at_most_once_guest_goes_elsewhere() -> None:
    submissions: dict[str, int] = {"p": 0, "q": 0}

    def lossy(name: str) -> Callable[[MessageConnection, m.Message], None]:
        def answer(connection: MessageConnection, message: m.Message) -> None:
            submissions[name] += isinstance(message, m.Submit)
            if isinstance(message, m.Submit):
                connection.send(m.Acknowledged(guest=message.guest, ask=message.ask))
                connection.cut()  # the answer is lost with the connection
            else:
                placing(connection, message)

        return answer

    async def test(client: object, net: MemoryNet) -> None:
        assert (await client.place(guest_request("g1", "exclusive", 20 * SECOND))).state == "placed"
        assert sum(submissions.values()) == 1

    with_scripted_planners({"p": lossy("p"), "q": lossy("q")}, test)


def test_clocks_that_are_minutes_apart_change_nothing() -> None:
    class SkewedNet(MemoryNet):
        """The client's network: the same streams, a clock 600 s ahead."""

        def now(self) -> int:
            return super().now() + 600 * SECOND

    from hazelhold.service.planner import Planner

    async def run() -> None:
        net, skewed_net = MemoryNet(), SkewedNet()
        skewed_net.listeners = net.listeners
        async with trio.open_nursery() as nursery:
            await nursery.start(Planner(planner_config(), 1, net).run)
            async with open_client("c", {"p": "door"}, net=skewed_net, seed=1) as client:
                await trio.sleep(1)
                began = trio.current_time()
                outcome = await client.place(guest_request("g", "exclusive", 3 * SECOND))
                assert outcome.state == "turned_back" and 2.9 < trio.current_time() - began <= 3
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def test_outcomes_raise_by_their_state() -> None:
    assert Outcome("g", "placed").or_raise().state == "placed"
    with pytest.raises(RefusedError, match="g: turned_back, no_time"):
        Outcome("g", "turned_back", reason="no_time").or_raise()


def test_a_file_of_planners_is_followed_and_a_bad_one_refused(tmp_path: Path) -> None:
    path = tmp_path / "planners.json5"
    path.write_text('{planners: {"a:1": "a:1"}}')

    async def test(client: object, net: MemoryNet) -> None:
        pass

    async def run() -> None:
        net = MemoryNet()
        received = []

        async def accept(stream: trio.abc.Stream) -> None:
            connection = MessageConnection(stream, m.Codec(m.FROM_OWNER), net.now)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.write)
                with connection.scope:
                    await connection.first(m.Hello, 5)
                    connection.send(m.Welcome(name="x"))
                    async for message in connection.messages():
                        received.append(message)
                        placing(connection, message)
                connection.finish()

        async with trio.open_nursery() as nursery:
            for address in ("a:1", "b:2"):
                await net.listen(address, accept, nursery)
            async with open_client("c", path, net=net, seed=1) as client:
                await trio.sleep(1)
                await client.place(guest_request("g1"))
                path.write_text("{planners: {}}")
                await trio.sleep(3)
                assert client.watch.refused == 1 and list(client.core.listed) == ["a:1"]
                path.write_text('{planners: {"b:2": "b:2"}}')
                await trio.sleep(3)
                # a:1 has a guest of this client: the connection stays, but gets no new guests
                assert client.core.up == {"a:1": True, "b:2": True}
                assert (await client.place(guest_request("g2"))).state == "placed"
                assert client.core.pending["g2"].planner == "b:2"
                client.core.receive(net.now(), "a:1", m.GuestEnded(guest="g1", how="done"))
                await trio.sleep(2)
                assert client.core.up == {"b:2": True} and list(client.connections) == ["b:2"]
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    with pytest.raises(ConfigError, match="no such key|is missing"):
        path.write_text('{planer: {"b:2": "b:2"}}')
        read_addresses(path)
    with pytest.raises(ConfigError, match="is not host:port(.|\n)*has the address of"):
        path.write_text('{planners: {b: "b", c: "b"}}')
        Watch(path)
