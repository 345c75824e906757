"""Replica hosts in memory: faulty peers, failing disks and crashes at every point of a disk; configuration
and commands."""

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
import trio
from click.testing import CliRunner
from msgspec.structs import replace
from trio.testing import MockClock

from hazelhold.cli.main import main
from hazelhold.config.planner import ReplicaPlannerConfig, ReplicationConfig, check_planner
from hazelhold.protocol.frames import frame
from hazelhold.protocol.messages import encode
from hazelhold.replica import claims as c
from hazelhold.replica import messages
from hazelhold.replica.host import Greet, ReplicaHost
from hazelhold.replica.proposer import Read
from hazelhold.replica.votes import Retention, Seat, Votes, found, keep_all, keep_open_claims
from hazelhold.service.net import MemoryNet
from hazelhold.standin.disk import FaultyDisk, Killed, Points
from hazelhold.state.store import StateError
from tests.helpers import planner_config

NAMES = ("p0", "p1", "p2")
CONFIGS = {
    n: ReplicationConfig(
        listen=f"at-{n}", folder="-", planners=[ReplicaPlannerConfig(x, f"at-{x}") for x in NAMES]
    )
    for n in NAMES
}


class Trio:
    """Three replica hosts in memory, each with a disk that survives its crashes."""

    def __init__(self, nursery: trio.Nursery, points: Points | None = None) -> None:
        self.net, self.nursery = MemoryNet(), nursery
        self.disks = {n: FaultyDisk(Points(set(), 1)) for n in NAMES}
        self.hosts: dict[str, ReplicaHost] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.ends: dict[str, dict[int, tuple[str, bytes, str]]] = {n: {} for n in NAMES}
        self.number = self.deaths = 0
        for name in NAMES:
            found(self.disks[name], name, CONFIGS[name], 0)
        if points is not None:
            self.disks["p1"].points = points

    async def start(self, name: str) -> None:
        ends = self.ends[name]

        def on_outcome(no: int, outcome: str, value: bytes, reason: str) -> None:
            ends[no] = outcome, value, reason

        disk, scope = self.disks[name], trio.CancelScope()
        host = ReplicaHost(name, CONFIGS[name], self.net, disk, on_outcome)
        self.hosts[name], self.scopes[name] = host, scope

        async def live(task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
            try:
                with scope:
                    host.open()
                    await host.run(task_status=task_status)
            except* Killed:
                self.deaths += 1
                disk.crash()
                self.nursery.start_soon(self.start, name)
                if not host.address:
                    task_status.started()
            else:
                disk.crash()

        await self.nursery.start(live)

    async def all_vote(self) -> None:
        await self.until(
            lambda: all(
                len(p.votes.acceptor.voting) == len(p.votes.rejoin_client.others) for p in self.hosts.values()
            )
        )

    async def until(self, condition: Callable[[], bool]) -> None:
        with trio.fail_after(60):
            while not condition():
                await trio.sleep(0.02)

    async def agree(
        self, name: str, key: str, change: object, timeout: float = 2.0
    ) -> tuple[str, bytes, str]:
        self.number += 1
        number, host = self.number, self.hosts[name]
        host.propose(number, key, change, host.net.now() + round(timeout * 1e6))
        await self.until(lambda: number in self.ends[name])
        return self.ends[name].pop(number)


def play(scenario: Callable, points: Points | None = None) -> Trio:
    async def run() -> Trio:
        async with trio.open_nursery() as nursery:
            made = Trio(nursery, points)
            for name in NAMES:
                await made.start(name)
            await scenario(made)
            nursery.cancel_scope.cancel()
        return made

    return trio.run(run, clock=MockClock(autojump_threshold=0))


def take(planner: str, no: int) -> c.Take:
    return c.Take(planner, 1, 0, 0, "m", no)


def test_a_faulty_peer_ends_only_its_own_connection() -> None:
    async def scenario(made: Trio) -> None:
        await made.all_vote()
        greet = Greet("p1", "hazelhold", 1)
        bad = {
            "not_msgpack": frame(b"\xc1"),
            "frame_too_long": b"\xff\xff\xff\xff",
            "no_type": frame(b"\x80"),
            "unknown_type": frame(msgspec.msgpack.encode({"t": "offer"})),
            "wrong_first": encode(messages.Query("k", 1, messages.Ballot(1, "x"))),
            "version": encode(msgspec.structs.replace(greet, version=2)),
            "stranger": encode(msgspec.structs.replace(greet, name="nobody")),
            "second_greet": encode(greet) + encode(greet),
            "bad_message": encode(greet) + frame(msgspec.msgpack.encode({"t": "prepare", "key": 5})),
        }
        for code, body in bad.items():
            stream = await made.net.dial("at-p0")
            await stream.send_all(body)
            with trio.fail_after(10):
                while await stream.receive_some(1000):
                    pass
            assert made.hosts["p0"].counts["refused_" + code] == 1, code
        assert (await made.agree("p1", "claim/g", take("p1", 1)))[0] == "agreed"

    play(scenario)


def test_replicas_with_failing_disks_do_not_reply_and_vote_again_once_they_work() -> None:
    async def scenario(made: Trio) -> None:
        await made.all_vote()
        for name in ("p1", "p2"):
            made.disks[name].error_codes = {"write": 5, "sync": 5, "rename": 5}
        outcome, _, reason = await made.agree("p0", "claim/g", take("p0", 1))
        assert (outcome, reason) == ("refused", "no_majority")
        assert all(made.hosts[n].vote_writer.failures == 1 for n in ("p1", "p2"))
        made.disks["p1"].error_codes = {}
        await made.until(lambda: not made.hosts["p1"].vote_writer.failed)
        assert (await made.agree("p0", "claim/g", take("p0", 2)))[0] == "agreed"

    play(scenario)


def test_a_disk_failure_during_a_rejoin_does_not_keep_the_replica_from_voting() -> None:
    async def scenario(made: Trio) -> None:
        await made.all_vote()
        for number in range(3):
            assert (await made.agree("p0", f"claim/g{number}", take("p0", number)))[0] == "agreed"
        made.scopes["p1"].cancel()
        await made.until(lambda: made.disks["p1"].lock_holder == "")
        made.disks["p1"].safe.clear()
        await made.start("p1")
        made.disks["p1"].error_codes = {"write": 5}
        await made.until(
            lambda: (
                made.hosts["p1"].vote_writer.failures > 0
                and made.hosts["p1"].votes.rejoin_client.is_complete()
            )
        )
        await trio.sleep(3)
        assert not made.hosts["p1"].votes.acceptor.voting
        made.disks["p1"].error_codes = {}
        await made.all_vote()
        made.scopes["p2"].cancel()
        assert (await made.agree("p0", "claim/after", take("p0", 9)))[0] == "agreed"

    play(scenario)


def test_a_crash_at_every_point_of_a_replicas_disk_loses_no_agreed_value() -> None:
    """One of three crashes at its Nth read, write, sync or rename and rejoins. Then the third is stopped, so
    that its votes are needed."""
    reached = 0

    async def scenario(made: Trio) -> None:
        agreed: dict[str, bytes] = {}
        for number in range(4):
            key = f"claim/g{number}"
            outcome, value, _ = await made.agree("p0", key, take("p0", number), 10.0)
            if outcome == "agreed" and value:
                agreed[key] = value
        assert len(agreed) == 4
        await made.until(lambda: made.hosts["p1"].address != "")
        await made.all_vote()
        made.scopes["p0"].cancel()
        del made.hosts["p0"]
        for key, value in agreed.items():
            assert (await made.agree("p2", key, Read(), 10.0))[:2] == ("agreed", value)

    without_crashes = Points(set(), 1)
    play(scenario, without_crashes)
    assert without_crashes.count > 15
    for point in range(1, without_crashes.count + 1):
        points = Points({point}, point)
        reached += play(scenario, points).deaths
    assert reached > without_crashes.count * 0.8


def test_a_discarded_cell_does_not_come_back_by_an_old_ballot() -> None:
    disk = FaultyDisk(Points(set(), 1))
    alone = replace(CONFIGS["p0"], planners=CONFIGS["p0"].planners[:1], replicas=1, keep_s=60.0)
    found(disk, "p0", alone, 0)
    votes = Votes(disk, "p0", alone, 1)
    votes.open(0, "p0 1")
    value = c.encode(c.Claim("p0", 1, 0, 0, "over", "m", "done"))
    held = c.encode(c.Claim("p0", 1, 0, 0, "held", "m"))
    for key, body in (("claim/over", value), ("claim/held", held)):
        votes.store.apply(votes.receive(messages.Accept(key, 1, messages.Ballot(7, "x"), body), 0)[1])
    assert votes.sweep(59_000_000) == []
    votes.store.apply(votes.sweep(61_000_000))
    assert list(votes.acceptor.cells) == ["claim/held"]
    assert (
        votes.receive(messages.Accept("claim/over", 1, messages.Ballot(7, "y"), b"?"), 0)[0].why == "ballot"
    )
    votes.store.begin(62_000_000)
    votes.store.close()
    again = Votes(disk, "p0", alone, 2)
    again.open(62_000_000, "p0 2")
    assert again.receive(messages.Prepare("claim/over", 1, messages.Ballot(7, "y")), 0)[0].why == "ballot"
    assert again.acceptor.cells["claim/held"].value == held


@pytest.mark.parametrize("retention", [keep_open_claims, keep_all])
def test_only_the_retention_decides_what_is_discarded_also_after_a_restart(retention: Retention) -> None:
    """A value that is no claim (the head of a configuration) and one that looks like an ended claim."""
    alone = replace(CONFIGS["p0"], planners=CONFIGS["p0"].planners[:1], replicas=1, keep_s=60)
    disk = FaultyDisk(Points(set(), 1))
    found(disk, "p0", alone, 0)
    votes = Votes(disk, "p0", alone, 1, retention)
    votes.open(0, "p0 1")
    ended = c.encode(c.Claim("p0", 1, 0, 0, "over", "m", "done"))
    bodies = {"head": ended, "empty": b"", "other": msgspec.msgpack.encode({"number": 7})}
    for key, body in bodies.items():
        votes.store.apply(votes.receive(messages.Accept(key, 1, messages.Ballot(7, "x"), body), 0)[1])
    lasting = set(bodies) if retention is keep_all else {"other"}
    votes.store.begin(1)
    votes.store.close()
    again = Votes(disk, "p0", alone, 2, retention)
    again.open(2, "p0 2")  # the retention times start again
    for each in (votes, again):
        each.sweep(10**15)
        assert set(each.acceptor.cells) == lasting


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"epoch": 2}, "is not changed by its file"),
        ({"replicas": 1}, "is not changed by its file"),
        ({"deployment": "other"}, "is the seat of 'p0' in 'hazelhold'"),
    ],
)
def test_a_folder_of_another_set_is_refused_with_the_reason(change: dict, why: str) -> None:
    disk = FaultyDisk(Points(set(), 1))
    found(disk, "p0", CONFIGS["p0"], 0)
    with pytest.raises(StateError, match=why):
        Votes(disk, "p0", replace(CONFIGS["p0"], **change), 1).open(0, "p0 1")
    assert Seat("p0", "hazelhold", 1, "x").planner == "p0" and disk.lock_holder == ""


def test_the_configuration_check_lists_all_faults() -> None:
    full = replace(
        planner_config(), listen="127.0.0.1:1", list=replace(planner_config().list, address="127.0.0.1:2")
    )
    assert check_planner(full) == []
    assert [p for p, _ in check_planner(replace(full, copies=ReplicationConfig(folder="x")))] == [
        "copies.listen"
    ]
    wrong = ReplicationConfig(
        listen="somewhere:1",
        replicas=4,
        reach={"p9": "127.0.0.1:5"},
        planners=[ReplicaPlannerConfig("p1", "127.0.0.1:0"), ReplicaPlannerConfig("p1", "127.0.0.1:4")],
    )
    places = [p for p, _ in check_planner(replace(full, copies=wrong))]
    assert places == [
        "copies.listen",
        "copies.planners[0].address",
        "copies.planners[1].name",
        "copies.reach['p9']",
        "copies.planners",
        "copies.folder",
        "copies.replicas",
        "copies.replicas",
    ]


def test_the_commands_found_once_show_and_vouch(tmp_path: Path) -> None:
    made = replace(
        planner_config(),
        listen="127.0.0.1:1",
        list=replace(planner_config().list, address="127.0.0.1:2"),
        copies=ReplicationConfig(
            listen="127.0.0.1:3",
            folder=str(tmp_path / "votes"),
            replicas=1,
            planners=[ReplicaPlannerConfig("p0", "127.0.0.1:3")],
        ),
    )
    file = tmp_path / "p0.json5"
    file.write_bytes(msgspec.json.encode(made))
    run = CliRunner().invoke
    assert run(main, ["copies", "vouch", str(file)]).exit_code == 2
    assert "no seat" in run(main, ["copies", "show", str(file)]).output
    assert run(main, ["copies", "found", str(file)]).exit_code == 0
    twice = run(main, ["copies", "found", str(file)])
    assert twice.exit_code == 2 and "founded already" in twice.output
    shown = run(main, ["copies", "show", str(file)])
    assert shown.exit_code == 0 and "p0 of hazelhold, epoch 1" in shown.output
    assert run(main, ["copies", "vouch", str(file)]).exit_code == 0
    off = tmp_path / "off.json5"
    off.write_bytes(msgspec.json.encode(replace(made, copies=ReplicationConfig())))
    assert "copies are off" in run(main, ["copies", "show", str(off)]).output
