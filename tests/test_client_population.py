"""Clients at numbers, in virtual time; whole clients beside planners that misbehave; planner lists that
change."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
import trio
from trio.testing import MockClock

from hazelhold.client import ClientPolicy, MayHaveRunError, RefusedError, TaskRequest, open_client
from hazelhold.client.backoff import AdaptiveThrottle
from hazelhold.client.places import Watch, read_places
from hazelhold.client.types import Outcome
from hazelhold.config.load import ConfigError
from hazelhold.emulate.client_population import BIN, SECOND, ClientPopulation, Demand
from hazelhold.protocol import messages as m
from hazelhold.service.net import MemoryNet
from hazelhold.service.wire import Wire
from tests.helpers import MS, EngineHarness, planner_config


def town(size: int, spread: bool, **demand: object) -> ClientPopulation:
    wanted = Demand(20.0, **{"patience": 5 * SECOND, "life": SECOND, **demand})
    made = ClientPopulation(planner_config(), size, 1, wanted, ClientPolicy(), spread, machines=2)
    made.open(2 * SECOND)
    while len(made.back) < size:
        made.clock.run(made.clock.now + SECOND)
    made.want(made.clock.now + 60 * SECOND)
    made.clock.run(made.clock.now + 2 * SECOND)
    return made


@pytest.mark.parametrize("losses", [(0.05,), (2.0,), (30.0,), (2.0, 1.0, 2.0)])
def test_a_planners_clients_come_back_spread_however_long_it_is_away(losses: tuple[float, ...]) -> None:
    found = []
    for spread in (True, False):
        here = town(300, spread)
        gone = here.clock.now
        for number, span in enumerate(losses):
            if number % 2 == 0:
                here.planner.stop(True)
            here.clock.run(here.clock.now + round(span * SECOND))
            if number % 2 == 0:
                here.planner.start()
        here.clock.run(here.clock.now + 35 * SECOND)
        assert len(here.back) == 300 and not here.counts["late_retries"]
        found.append((here.peak(here.dials, gone), here.counts["placed"]))
    (calm, placed), (wild, _) = found
    window = 2 * SECOND  # what this planner asks for at least
    assert calm <= 3 * 300 * BIN / window and wild > 5 * calm and placed > 100


def test_guests_outlive_a_planner_that_dies_and_none_is_lost_or_run_twice() -> None:
    here = town(100, True, product="once", effect="exclusive", life=20 * SECOND)
    ran = here.counts["runs"]
    here.planner.stop(False)
    here.clock.run(here.clock.now + 2 * SECOND)
    here.planner.start()
    here.clock.run(here.clock.now + 10 * SECOND)
    here.fresh_until = 0
    here.clock.run(here.clock.now + 60 * SECOND)
    assert ran and not here.counts["lost"] and here.counts["runs"] <= here.made
    assert here.counts["done"] == here.counts["runs"] == here.counts["placed"]


def test_a_throttle_keeps_to_a_multiple_of_what_is_taken_and_opens_when_it_is() -> None:
    throttle, sent = AdaptiveThrottle(Random(1)), 0
    for now in range(0, 20 * SECOND, 10 * MS):
        if throttle.allows(now):
            sent += 1
            throttle.told(now, now % (200 * MS) == 0)  # a twentieth is taken
    assert sent < 500  # of 2,000
    opened = [
        throttle.allows(now) and (throttle.told(now, True) or True)
        for now in range(20 * SECOND, 40 * SECOND, 10 * MS)
    ]
    assert sum(opened[-500:]) == 500


def test_a_pump_stops_after_so_many_decisions_and_asks_to_be_called_again() -> None:
    harness = EngineHarness("", decisions_at_once=3)
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
        said = [getattr(action, "message", None) for action in harness.engine.actions]
        answered.append(sum(isinstance(each, m.TurnedBack) for each in said))
        if not harness.engine.more:
            break
        assert harness.engine.next_at(late) == late
    assert max(answered) == 10 and len(answered) >= 4


# Whole clients beside scripted planners.


def beside(
    scripts: dict[str, Callable[[Wire, m.Message], None]],
    test: Callable[[object, MemoryNet], Awaitable[None]],
    policy: ClientPolicy | None = None,
) -> None:
    """A client whose planners are scripts: each is called with what the client says."""

    async def run() -> None:
        net = MemoryNet()

        async def serve(stream: trio.abc.Stream, name: str) -> None:
            wire = Wire(stream, m.Codec(m.FROM_OWNER), net.now)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.write)
                with wire.scope:
                    await wire.first(m.Hello, 5)
                    wire.send(m.Welcome(name=name))
                    async for said in wire.messages():
                        scripts[name](wire, said)
                wire.finish()

        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                for name in scripts:

                    async def door(stream: trio.abc.Stream, name: str = name) -> None:
                        await serve(stream, name)

                    await net.listen(name, door, nursery)
                async with open_client("c", {n: n for n in scripts}, policy, net, seed=1) as client:
                    await trio.sleep(1)
                    await test(client, net)
                nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def silent(wire: Wire, said: m.Message) -> None:
    """Accepts all and answers nothing: a planner that hangs, or a connection whose other end is gone."""


def placing(wire: Wire, said: m.Message) -> None:
    if isinstance(said, m.Submit):
        wire.send(m.Held(guest=said.guest, ask=said.ask))
        wire.send(m.Placed(guest=said.guest, ask=said.ask, machine="m"))
    elif isinstance(said, m.Query):
        wire.send(m.State(guest=said.guest, ask=said.ask, state="running", machine="m"))


def halving(wire: Wire, said: m.Message) -> None:
    """Answers for half its guests."""
    if isinstance(said, m.Submit) and int(said.guest[1:]) % 2:
        placing(wire, said)


def want(name: str, effect: str = "rerunnable", patience: int = 4 * SECOND) -> TaskRequest:
    return TaskRequest(name, "plain", "s", 1.0, 1.0, patience, effect, life=60 * SECOND)


@pytest.mark.parametrize("bad", [silent, halving])
def test_a_planner_that_answers_nothing_or_half_is_passed_over(bad: Callable) -> None:
    async def test(client: object, net: MemoryNet) -> None:
        placed = 0
        for number in range(40):
            outcome = await client.place(want(f"g{number}"))
            placed += outcome.state == "placed"
        assert placed == 40 and client.core.choice.known["bad"].bad > client.core.choice.known["good"].bad
        assert (await client.query("g39")).state == "running"

    beside({"bad": bad, "good": placing}, test)


def test_a_connection_whose_other_end_is_gone_is_left_and_dialled_anew() -> None:
    async def test(client: object, net: MemoryNet) -> None:
        with pytest.raises(MayHaveRunError):
            (await client.place(want("g1", "exclusive", 8 * SECOND))).or_raise()
        assert client.core.counts["silent"] >= 1

    beside({"p": silent}, test)


def test_an_answer_lost_on_the_way_is_asked_for_and_no_exclusive_guest_goes_elsewhere() -> None:
    asked: dict[str, int] = {"p": 0, "q": 0}

    def lossy(name: str) -> Callable[[Wire, m.Message], None]:
        def say(wire: Wire, said: m.Message) -> None:
            asked[name] += isinstance(said, m.Submit)
            if isinstance(said, m.Submit):
                wire.send(m.Held(guest=said.guest, ask=said.ask))
                wire.cut()  # and the answer with it
            else:
                placing(wire, said)

        return say

    async def test(client: object, net: MemoryNet) -> None:
        assert (await client.place(want("g1", "exclusive", 20 * SECOND))).state == "placed"
        assert sum(asked.values()) == 1

    beside({"p": lossy("p"), "q": lossy("q")}, test)


def test_clocks_that_are_minutes_apart_change_nothing() -> None:
    class Off(MemoryNet):
        """The client's network: the same streams, another clock."""

        def now(self) -> int:
            return super().now() + 600 * SECOND

    from hazelhold.service.planner import Planner

    async def run() -> None:
        net, off = MemoryNet(), Off()
        off.doors = net.doors
        async with trio.open_nursery() as nursery:
            await nursery.start(Planner(planner_config(), 1, net).run)
            async with open_client("c", {"p": "door"}, net=off, seed=1) as client:
                await trio.sleep(1)
                began = trio.current_time()
                outcome = await client.place(want("g", "exclusive", 3 * SECOND))
                assert outcome.state == "turned_back" and 2.9 < trio.current_time() - began <= 3
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def test_outcomes_raise_by_what_they_are() -> None:
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
        asked = []

        async def door(stream: trio.abc.Stream) -> None:
            wire = Wire(stream, m.Codec(m.FROM_OWNER), net.now)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.write)
                with wire.scope:
                    await wire.first(m.Hello, 5)
                    wire.send(m.Welcome(name="x"))
                    async for said in wire.messages():
                        asked.append(said)
                        placing(wire, said)
                wire.finish()

        async with trio.open_nursery() as nursery:
            for address in ("a:1", "b:2"):
                await net.listen(address, door, nursery)
            async with open_client("c", path, net=net, seed=1) as client:
                await trio.sleep(1)
                await client.place(want("g1"))
                path.write_text("{planners: {}}")
                await trio.sleep(3)
                assert client.watch.refused == 1 and list(client.core.listed) == ["a:1"]
                path.write_text('{planners: {"b:2": "b:2"}}')
                await trio.sleep(3)
                # a:1 has a guest of ours: its connection stays, and it gets nothing new
                assert client.core.up == {"a:1": True, "b:2": True}
                assert (await client.place(want("g2"))).state == "placed"
                assert client.core.pending["g2"].planner == "b:2"
                client.core.said(net.now(), "a:1", m.GuestEnded(guest="g1", how="done"))
                await trio.sleep(2)
                assert client.core.up == {"b:2": True} and list(client.wires) == ["b:2"]
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    with pytest.raises(ConfigError, match="no such key|is missing"):
        path.write_text('{planer: {"b:2": "b:2"}}')
        read_places(path)
    with pytest.raises(ConfigError, match="is not host:port(.|\n)*has the address of"):
        path.write_text('{planners: {b: "b", c: "b"}}')
        Watch(path)
