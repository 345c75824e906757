"""The list of machines at the expected size, 7,300, through every part that reads a whole list."""

from pathlib import Path

import msgspec
import pytest
import trio
import trio.testing
from msgspec.structs import replace

from bench.capacity import workers
from bench.capacity.target import WORKERS
from hazelhold.capture.read import read
from hazelhold.capture.skips import Skips
from hazelhold.capture.streams import Frame
from hazelhold.config.planner import CaptureConfig, ListConfig, PlannerConfig, StateConfig
from hazelhold.model.listing import ListService
from hazelhold.platform import discovery
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import MAX_FRAME, MAX_LIST_FRAME, FrameReader
from hazelhold.protocol.record import Recorder
from hazelhold.service.net import MemoryNet
from hazelhold.service.planner import Planner
from hazelhold.standin.list_service import ListHost
from tests.helpers import planner_config
from tests.platform_rig import DEPLOYMENT, Rig, event, host, play

UP_FOR = 10 * 86_400 * 1_000_000  # microseconds that workers have been up
HELD_S = 20.0  # seconds of virtual time, far more than a planner needs to receive a list


def large_list_config(**changes: object) -> PlannerConfig:
    """A planner's configuration with the default limits, without polling the list."""
    config = replace(planner_config(), listen="door", planners=64)
    return replace(config, list=ListConfig("list", asked=False), **changes)


async def listed(nursery: trio.Nursery, net: MemoryNet) -> ListService:
    """Starts a list service with all machines, cordoned so that none is considered for a decision."""
    service = ListService(1, net.now(), (0, 0), 500_000, (0, 0))
    kind = planner_config().estate.kinds[0].name
    for entry in workers.entries(WORKERS):
        cordoned = replace(entry, mode="cordoned", kind=kind)
        service.set(net.now(), cordoned, net.now() - UP_FOR, at_once=True)
    service.advance(net.now())
    await ListHost(net, service, Recorder(None, "list", "list")).run("list", nursery)
    return service


def receive_list(config: PlannerConfig, complete: bool = True) -> Planner:
    """Runs a planner until it has received the whole list, HELD_S at most; checks that it did if `complete`
    and that it did not otherwise."""
    kept: list[Planner] = []

    async def run() -> None:
        net = MemoryNet()
        async with trio.open_nursery() as nursery:
            await listed(nursery, net)
            planner = Planner(config, 1, net)
            kept.append(planner)
            await nursery.start(planner.run)
            with trio.move_on_after(HELD_S):
                while len(planner.engine.roster.machines) < WORKERS:
                    await trio.sleep(0.1)
            planner.stop()
            await trio.sleep(5)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert (len(kept[0].engine.roster.machines) == WORKERS) is complete
    return kept[0]


def whole_list() -> bytes:
    return m.encode(m.Listing(version=1, whole=True, entries=workers.entries(WORKERS)))


def test_the_whole_list_is_longer_than_the_limit_of_other_frames() -> None:
    """The premise of the tests below."""
    assert MAX_FRAME < len(whole_list()) < MAX_LIST_FRAME / 4


def test_the_default_limits_are_those_of_the_protocol() -> None:
    assert ListConfig("list").frame_bytes == MAX_LIST_FRAME
    assert planner_config().limits.frame_bytes == MAX_FRAME


def test_a_planner_receives_the_whole_list() -> None:
    planner = receive_list(large_list_config())
    assert not planner.counts["list_frame_too_long"]
    assert len(planner.engine.scheduler.machines) == WORKERS


def test_with_the_limit_of_other_frames_it_would_not() -> None:
    planner = receive_list(
        replace(large_list_config(), list=ListConfig("list", False, frame_bytes=MAX_FRAME)), False
    )
    assert planner.counts["list_frame_too_long"] > 1
    assert not planner.engine.roster.machines


def test_a_larger_limit_of_other_frames_also_holds_for_the_list() -> None:
    made = large_list_config()
    limits = replace(made.limits, frame_bytes=1 << 22)
    receive_list(replace(made, list=ListConfig("list", False, frame_bytes=1024), limits=limits))


@pytest.mark.parametrize("role", ["owner", "machine"])
def test_owners_and_machines_have_the_lower_limit(role: str) -> None:
    said: list[bytes] = []

    async def run() -> None:
        net = MemoryNet()
        too_long = (MAX_FRAME + 1).to_bytes(4)

        async def machine(stream: trio.abc.Stream) -> None:
            await stream.send_all(m.encode(m.Welcome(name="a", incarnation=1)) + too_long)
            said.append(await stream.receive_some())
            await trio.sleep(1)

        async with trio.open_nursery() as nursery:
            address = await net.listen("a:0", machine, nursery)
            planner = Planner(large_list_config(), 1, net)
            await nursery.start(planner.run)
            if role == "owner":
                stream = await net.dial("door")
                await stream.send_all(m.encode(m.Hello(role="owner", name="o")) + too_long)
                await trio.sleep(1)
                assert planner.counts["refused_frame_too_long"] == 1
            else:
                entry = replace(workers.entry(0), machine="a", address=address, kind="box")
                entry = replace(entry, kind=planner_config().estate.kinds[0].name)
                told = m.Listing(version=1, whole=True, entries=[entry])
                planner.engine.list_said(net.now(), told)
                planner.driver.carry_out()
                await trio.sleep(1)
                assert planner.counts["machine_frame_too_long"] >= 1
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_frame_beyond_the_list_limit_is_rejected_by_its_length_prefix() -> None:
    reader = FrameReader(MAX_LIST_FRAME)
    with pytest.raises(Exception, match="frame_too_long"):
        reader.feed((MAX_LIST_FRAME + 1).to_bytes(4))
    assert len(reader.buffer) == 4


def test_a_list_of_this_size_is_captured_and_read_again(tmp_path: Path) -> None:
    file = tmp_path / "planner.pcap"
    receive_list(large_list_config(capture=CaptureConfig(file=str(file))))
    skips = Skips()
    told = [item.message for item in read([file], skips) if isinstance(item, Frame)]
    lists = [each for each in told if each["t"] == "listing" and each["whole"]]
    assert [len(each["entries"]) for each in lists] == [WORKERS]
    assert not skips.table()


def test_a_list_of_this_size_is_persisted_and_recovered(tmp_path: Path) -> None:
    made = large_list_config(state=StateConfig(folder=str(tmp_path / "state")))
    receive_list(made)
    found: list[int] = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            planner = Planner(made, 2, MemoryNet())  # without a list service
            await nursery.start(planner.run)
            found.append(len(planner.engine.roster.machines))
            planner.stop()

    trio.run(run)
    assert found == [WORKERS]


def test_a_platform_planner_receives_all_machines_in_one_answer() -> None:
    """Discovery sends a planner that was away all missed events in one answer."""
    names = [workers.name(number) for number in range(WORKERS)]
    hosts = [host(name, "terminating", dial=f"{name}.region-1:7070") for name in names]
    told = event(2, *hosts)
    assert MAX_FRAME < len(msgspec.json.encode(told)) < discovery.MAX_ANSWER_BYTES / 4

    async def test(rig: Rig) -> None:
        rig.bulletin.events = [told]
        await trio.sleep(5)
        assert rig.planner.follower.last == 2
        assert set(names) <= rig.planner.engine.roster.machines.keys()
        assert not rig.planner.counts["discovery_failures"]

    play(test, settings=DEPLOYMENT | {"balancers": 16})
