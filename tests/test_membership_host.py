"""Planners with membership in memory and virtual time; the datagram port on real sockets; the
configuration and the command."""

import json
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest
import trio
from trio.testing import MockClock

from hazelhold.config.load import ConfigError
from hazelhold.config.planner import MembershipConfig, check_membership, read_planner
from hazelhold.membership import messages
from hazelhold.membership.rows import ALIVE, GONE, LEFT, SUSPECTED, Row
from hazelhold.service.net import MemoryNet, TcpNet
from hazelhold.service.planner import Planner
from tests.helpers import planner_config

EXAMPLE = Path(__file__).parent.parent / "examples" / "planner.json5"


class Fleet:
    """Planners p0, p1, ... in this process, each in its own cancel scope."""

    def __init__(self, net: MemoryNet, nursery: trio.Nursery) -> None:
        self.net, self.nursery = net, nursery
        self.planners: dict[str, Planner] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start(self, name: str, seeds: tuple[str, ...] = ("m-p0", "m-p1")) -> Planner:
        made = Planner(
            msgspec.structs.replace(
                planner_config(),
                name=name,
                listen=f"door-{name}",
                membership=MembershipConfig(listen=f"m-{name}", seeds=list(seeds)),
            ),
            1,
            self.net,
        )
        self.planners[name], self.scopes[name] = made, trio.CancelScope()

        async def run(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
            with self.scopes[name]:
                await made.run(task_status=task_status)

        await self.nursery.start(run)
        return made

    def view(self, of: str, other: str) -> int | None:
        return self.planners[of].members.core.state_of(other)

    async def until(self, condition: Callable[[], bool]) -> None:
        with trio.fail_after(120):
            while not condition():
                await trio.sleep(0.05)


def with_fleet(count: int, test: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(MemoryNet(), nursery)
            for number in range(count):
                await fleet.start(f"p{number}")
            names = list(fleet.planners)
            await fleet.until(lambda: all(fleet.view(a, b) == ALIVE for a in names for b in names))
            await test(fleet)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


def test_planners_find_each_other_detect_a_crash_and_a_leave_and_accept_a_return() -> None:
    async def test(fleet: Fleet) -> None:
        fleet.scopes["p2"].cancel()
        await fleet.until(lambda: fleet.view("p0", "p2") == fleet.view("p3", "p2") == GONE)
        fleet.planners["p1"].stop()
        await fleet.until(lambda: fleet.view("p0", "p1") == fleet.view("p3", "p1") == LEFT)
        await fleet.start("p2")
        await fleet.until(lambda: fleet.view("p0", "p2") == fleet.view("p2", "p3") == ALIVE)

    with_fleet(4, test)


def test_a_planner_keeps_running_whatever_its_view_is() -> None:
    """A view is only a hint: a planner that is alone still accepts connections."""

    async def test(fleet: Fleet) -> None:
        fleet.net.carry = lambda body, source, to: None
        await fleet.until(lambda: fleet.view("p0", "p1") == SUSPECTED)
        assert fleet.planners["p0"].members.core.alone_since >= 0
        stream = await fleet.net.dial("door-p0")
        await stream.aclose()
        assert not fleet.planners["p0"].stop_requested.is_set()

    with_fleet(3, test)


def test_a_planner_without_membership_has_no_port_task_or_module() -> None:
    code = (
        "import sys, trio\nfrom trio.testing import MockClock\n"
        "from hazelhold.service.net import MemoryNet\nfrom hazelhold.service.planner import Planner\n"
        "from tests.helpers import planner_config\n"
        "async def run():\n"
        "    net = MemoryNet()\n"
        "    async with trio.open_nursery() as nursery:\n"
        "        planner = Planner(planner_config(), 1, net)\n"
        "        await nursery.start(planner.run)\n"
        "        assert planner.members is None and not net.ports\n"
        "        planner.stop()\n"
        "trio.run(run, clock=MockClock(autojump_threshold=0))\n"
        "bad = ('hazelhold.membership', 'hazelhold.replica', 'xxhash', 'prometheus')\n"
        "print([n for n in sys.modules if n.startswith(bad)])\n"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=EXAMPLE.parent.parent, timeout=60
    )
    assert output.stdout.splitlines()[-1:] == ["[]"], output.stderr


def test_a_port_receives_many_datagrams_at_once_and_drops_what_cannot_be_sent() -> None:
    async def run() -> None:
        net = TcpNet()
        one, other = await net.port("127.0.0.1:0"), await net.port("127.0.0.1:0")
        host, port = other.address.split(":")
        for number in range(20):
            assert one.send(b"%d" % number, (host, int(port)))
        with trio.fail_after(10):
            received: list[bytes] = []
            while len(received) < 20:
                await other.readable()
                received += [body for body, _ in other.pending()]
        assert received == [b"%d" % n for n in range(20)]
        assert not one.send(b"x" * 70_000, (host, int(port)))
        with pytest.raises(OSError, match=other.address):
            await net.port(other.address)
        one.close(), other.close()

    trio.run(run)


def test_a_reported_address_that_is_no_ip_address_is_never_looked_up() -> None:
    from hazelhold.membership.host import numeric

    assert numeric("127.0.0.1:80") == ("127.0.0.1", 80) and numeric("[::1]:9") == ("::1", 9)
    assert [numeric(a) for a in ("example.org:80", "127.0.0.1:0", "x", "127.0.0.1", "::1:x")] == [None] * 5


def test_the_faults_of_a_configuration_are_listed_by_setting(tmp_path: Path) -> None:
    assert check_membership(MembershipConfig()) == []
    assert check_membership(MembershipConfig(seeds=["a:1"]))[0][0] == "membership.listen"
    wrong = MembershipConfig(
        listen="0.0.0.0:70",
        seeds=["10.0.0.1:70", "here:70", "10.0.0.1:0"],
        reach={"p1": "nowhere"},
        metrics="x",
    )
    places = [place for place, _ in check_membership(wrong)]
    assert places == [
        "membership.seeds[1]",
        "membership.seeds[2]",
        "membership.reach['p1']",
        "membership.metrics",
    ]
    places = check_membership(MembershipConfig(listen="0.0.0.0:70", suspect_ms=9e3))
    assert [p for p, _ in places] == ["membership.advertise", "membership.suspect_most_ms"]
    file = tmp_path / "planner.json5"
    example = EXAMPLE.read_text().rstrip().rstrip("}").rstrip().rstrip(",")
    file.write_text(example + ", membership: { lissen: '1.2.3.4:5' } }")
    with pytest.raises(ConfigError, match="did you mean 'listen'"):
        read_planner(file)


def members(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "hazelhold", "members", *arguments], capture_output=True, text=True, timeout=60
    )


def test_the_command_reads_a_view_of_many_pages_and_reports_a_missing_answer() -> None:
    from hazelhold.membership.core import MembershipCore, MembershipSettings

    async def run() -> None:
        port = await TcpNet().port("127.0.0.1:0")
        core = MembershipCore(
            Row("p0", 5, 9, 0, ALIVE, port.address),
            [],
            MembershipSettings("here", answers_a_second=1000),
            1,
            0,
        )
        core.start(0)
        for number in range(100):
            core._merge(Row(f"x{number:03d}", 1, 1, 0, SUSPECTED, "10.0.0.1:7", "p7"), "p7")
        done: list[subprocess.CompletedProcess] = []

        async def ask(*arguments: str) -> None:
            done.append(await trio.to_thread.run_sync(members, port.address, *arguments))
            if len(done) == 3:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "--deployment", "here", "--json")
            nursery.start_soon(ask, "--deployment", "here")
            nursery.start_soon(ask, "--deployment", "elsewhere", "--wait", "0.5")
            while True:
                await port.readable()
                for body, source in port.pending():
                    core.receive(1000, body)
                    for action in core.actions:
                        port.send(action.body, source) if hasattr(action, "body") else None
                    core.actions.clear()
        port.close()
        refused = next(d for d in done if d.returncode == 1)
        assert "no answer" in refused.stderr
        output = next(json.loads(d.stdout) for d in done if d.stdout.startswith("{"))
        assert len(output["members"]) == 101 and output["planner"]["name"] == "p0"
        assert output["members"][5]["accusers"] == ["p7"] and output["members"][5]["state"] == "suspected"
        assert any("accused by p7" in d.stdout for d in done)

    trio.run(run)
    assert members().returncode == 2
    assert members("nonsense").returncode == 2
    assert "membership is off" in members("--config", str(EXAMPLE)).stderr


def test_metrics_are_served_if_an_address_is_configured() -> None:
    from prometheus_client import generate_latest

    from hazelhold.membership.core import MembershipCore, MembershipSettings
    from hazelhold.membership.metrics import MembershipMetrics

    core = MembershipCore(Row("p0", 5, 9, 0, ALIVE, "a"), [], MembershipSettings("d"), 1, 0)
    core.start(0)
    core.receive(5, b"torn")
    core.receive(6, messages.encode("elsewhere", core.me, messages.Ping(1, "p0"), []))
    text = generate_latest(MembershipMetrics(core, "127.0.0.1:1").registry).decode()
    assert 'hazelhold_members{state="alive"} 1.0' in text
    assert 'hazelhold_member_events_total{what="stranger"} 1.0' in text
